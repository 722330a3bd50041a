"""Deadlines and urgency that jobs inherit from their successors, by the critical path method.

The latest finish of a job is the latest finish of its successors less their duration, worked
out backwards from the last jobs. The longest path to a last job is its critical path, and the
time left until its latest start is its slack.
"""

from collections.abc import Callable

import msgspec

from chalkgrade.pipelines.graph import Graph
from chalkgrade.record.jobs import Job

DueTimes = Callable[[Job], list[float]]


def propagate_requirements(
    graph: Graph, own_due_times: DueTimes, duration_s: Callable[[Job], float]
) -> None:
    """Sets the latest finish and the urgency that each job inherits from its successors.

    `own_due_times` returns the wall times of a job's own deadlines in ascending order.
    `duration_s` returns the seconds from the moment a job may run until it is over. A cancelled
    successor passes nothing on, so a job loses what it inherited from that successor.
    """
    for job in graph.successors_first():
        submitted = job.submitted_spec
        spec = submitted
        inherited: list[float] | None = None
        for name in graph.successors.get(job.name, ()):
            successor = graph.jobs.get(name)
            if successor is None or successor.aborted or successor.aborting:
                continue
            if successor.spec.urgency_rank > spec.urgency_rank:
                spec = msgspec.structs.replace(submitted, urgency=successor.spec.urgency)
            due_times = own_due_times(successor) or successor.due_times
            if due_times:
                latest = sorted(due - duration_s(successor) for due in due_times)
                if inherited is None or latest[0] < inherited[0]:
                    inherited = latest
        if job.spec.urgency != spec.urgency:
            job.spec = spec
        job.due_times = inherited
        job.in_pipeline = job.in_pipeline or job.name in graph.successors
