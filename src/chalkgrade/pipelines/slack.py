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


def propagate_requirements(graph: Graph, own: DueTimes, takes: Callable[[Job], float]) -> None:
    """Sets the latest finish and the urgency that each job inherits from its successors.

    `own` returns the wall times of a job's own deadlines in ascending order. `takes` returns the
    seconds from the moment a job may run until it is over. A cancelled successor passes nothing
    on, so a job loses what it inherited from that successor.
    """
    for job in graph.successors_first():
        asked = job.submitted_spec
        spec = asked
        needed: list[float] | None = None
        for name in graph.successors.get(job.name, ()):
            heir = graph.jobs.get(name)
            if heir is None or heir.aborted or heir.aborting:
                continue
            if heir.spec.urgency_rank > spec.urgency_rank:
                spec = msgspec.structs.replace(asked, urgency=heir.spec.urgency)
            dues = own(heir) or heir.due_times
            if dues:
                latest = sorted(due - takes(heir) for due in dues)
                if needed is None or latest[0] < needed[0]:
                    needed = latest
        if job.spec.urgency != spec.urgency:
            job.spec = spec
        job.due_times = needed
        job.in_pipeline = job.in_pipeline or job.name in graph.successors
