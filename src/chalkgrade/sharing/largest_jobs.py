"""A class's largest jobs, and which of them have waited for too long. Pure.

Shortest remaining first (step 5) and arrival after a missed bound both put a queue's largest
jobs last: while a flood lasts there is always something smaller, or something that can still
meet its bound. The floor sees queues, and a queue whose small jobs are served has no claim.
"""

import heapq
import math
from collections import defaultdict
from collections.abc import Callable, Iterable

from chalkgrade import constants
from chalkgrade.record.jobs import Job


def requested_cpus(job: Job) -> float:
    """CPUs that all of it asks for."""
    return job.spec.tasks * job.spec.vcpus


def overdue_largest_jobs(
    jobs: Iterable[Job], wall: float, slack: Callable[[Job], float]
) -> dict[str, list[Job]]:
    """By queue, those of a class's largest unfinished jobs that have waited for long.

    Step 5 has its turn first: a job that can still meet a bound (`slack`) waits for longer.
    The oldest first. The time of submission and the size are durable, so that another leader
    goes on with the same jobs. With all that is there already: a job whose last tasks run
    counts for what its queue's largest hold.
    """
    of_class: dict[str, list[Job]] = defaultdict(list)
    for job in jobs:
        if not job.aborted and job.spec.shape != "service":
            of_class[job.spec.jobclass].append(job)
    out: dict[str, list[Job]] = defaultdict(list)
    for mates in of_class.values():
        count = math.ceil(constants.LARGEST_PART * len(mates))
        least = heapq.nlargest(count, map(requested_cpus, mates))[-1]
        for job in mates:
            if requested_cpus(job) < least or wall - job.open_at <= constants.LARGEST_WAIT_S:
                continue
            in_time = 0 <= slack(job) < math.inf
            if not in_time or wall - job.open_at > constants.LARGEST_LATEST_S:
                out[job.group].append(job)
    for mates in out.values():
        mates.sort(key=lambda job: (job.open_at, job.name))
    return out
