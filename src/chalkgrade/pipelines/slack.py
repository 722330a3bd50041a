"""By when a predecessor is needed, and how urgently: worked out from the last jobs backwards.

In the terms of planning by critical path: each job has a latest finish, which lies before
the latest finish of its successors by what those take; the longest way to a last job is its
critical path, and what is left of the time until the latest start is its slack.
"""

from collections.abc import Callable

import msgspec

from chalkgrade.pipelines.graph import Graph
from chalkgrade.record.jobs import Job

DueTimes = Callable[[Job], list[float]]


def propagate_requirements(graph: Graph, own: DueTimes, takes: Callable[[Job], float]) -> None:
    """Give each predecessor the latest finish and the urgency of those that need it.

    `own`: wall times by which a job's own deadlines lie, the first one first; `takes`: s from
    the moment in which a job may run until it is over. A successor that is cancelled passes
    nothing on, so that what was taken from it is given back.
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
