"""Finds the largest jobs of each class that have waited for too long. Pure functions.

Shortest remaining time first (step 5) and the order after a missed bound both put a queue's
largest jobs last: while it is overloaded, there is always a smaller job, or one that can still
meet its bound. The starvation guard works on queues, so that it does not help a queue whose small
jobs are served.
"""

import heapq
import math
from collections import defaultdict
from collections.abc import Callable, Iterable

from chalkgrade import constants
from chalkgrade.record.jobs import Job


def requested_cpus(job: Job) -> float:
    """Return the CPUs that all tasks of a job ask for together."""
    return job.spec.tasks * job.spec.vcpus


def overdue_largest_jobs(
    jobs: Iterable[Job], wall: float, slack: Callable[[Job], float]
) -> dict[str, list[Job]]:
    """Return by queue those of each class's largest unfinished jobs that have waited too long.

    `wall` is the wall time in seconds, and `slack` returns the seconds a job can still wait and
    meet a bound. A job that can still meet a bound is left to step 5 for longer. The oldest job
    comes first. Submission time and size are durable, so that a new leader continues with the
    same jobs. Jobs without waiting tasks are included, because what their last tasks hold counts
    towards the part reserved for the queue's largest jobs.
    """
    jobs_by_class: dict[str, list[Job]] = defaultdict(list)
    for job in jobs:
        if not job.aborted and job.spec.shape != "service":
            jobs_by_class[job.spec.jobclass].append(job)
    out: dict[str, list[Job]] = defaultdict(list)
    for group in jobs_by_class.values():
        count = math.ceil(constants.LARGEST_JOBS_RATIO * len(group))
        min_cpus = heapq.nlargest(count, map(requested_cpus, group))[-1]
        for job in group:
            if requested_cpus(job) < min_cpus or wall - job.eligible_at <= constants.LARGEST_WAIT_S:
                continue
            can_meet_bound = 0 <= slack(job) < math.inf
            if not can_meet_bound or wall - job.eligible_at > constants.LARGEST_BOUND_WAIT_S:
                out[job.round_queue].append(job)
    for group in out.values():
        group.sort(key=lambda job: (job.eligible_at, job.name))
    return out
