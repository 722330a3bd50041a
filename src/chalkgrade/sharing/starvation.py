"""Serves queues that have waited for too long, before steps 4 to 7 of a round.

A starved queue gets half of its long-term fair share, and its largest jobs a part of that, so that
neither urgent floods nor small tasks keep it waiting for ever.
"""

from collections.abc import Iterable
from typing import Protocol

from chalkgrade import constants
from chalkgrade.extensions.constraints import ConstraintSet
from chalkgrade.record.jobs import TASKS_MAX, Job
from chalkgrade.settings import Team
from chalkgrade.sharing.bopf import QueueDemand, fair_shares, round_up_to_tasks
from chalkgrade.sharing.isolation import JobIsolation
from chalkgrade.sharing.largest_jobs import overdue_largest_jobs
from chalkgrade.sharing.preemption import Preemptor
from chalkgrade.sharing.queues import Queues
from chalkgrade.vectors import (
    ZERO,
    Vector,
    count_fitting,
    dominant_share,
    fits,
    is_nothing,
    minus,
    plus,
)


class Placer(Protocol):
    """Places waiting tasks within a budget; a round, as far as it is needed here."""

    queue_usage: dict[str, Vector]  # queue -> what its running tasks hold

    def place_within_budget(
        self, jobs: list[Job], budget: Vector | None, reserve: bool, local: bool = False
    ) -> tuple[int, Vector | None]:
        """Place tasks in order; return their number and the rest of the budget."""
        ...

    def place_preferring_local(self, jobs: list[Job], budget: Vector | None, reserve: bool) -> int:
        """Place tasks, first where their images are; return their number."""
        ...


class StarvationGuard:
    """Places the work of starved queues in one round and reserves machines for it."""

    def __init__(
        self,
        placer: Placer,
        queues: Queues,
        teams: dict[str, Team],
        constraints: ConstraintSet,
        preemptor: Preemptor,
        isolation: JobIsolation,
    ) -> None:
        self._placer = placer
        self._queues = queues
        self._teams = teams
        self._constraints = constraints
        self._preemptor = preemptor
        self._isolation = isolation

    def place_starved(
        self,
        ready: dict[str, list[Job]],
        demands: dict[str, QueueDemand],
        jobs: Iterable[Job],
        capacity: Vector,
    ) -> int:
        """Give queues that have waited too long half of their fair share, whatever the urgency.

        Step 6 is fair over the long term, but what precedes it may last: thousands of urgent
        tasks, or narrow tasks that take each CPU before a whole machine is free. The wait is
        measured from the submission of the queue's oldest job, which is durable, so that it
        survives a change of leader. Nothing is preempted for it, but what becomes free is
        reserved. `ready` holds the startable jobs by queue, and `jobs` all unfinished ones.
        Returns the number of attempts.
        """
        wall = self._queues.clock.wall()
        oldest = {
            queue: min((j.eligible_at for j in jobs if j.startable_count), default=wall)
            for queue, jobs in ready.items()
        }
        starved = [queue for queue, at in oldest.items() if wall - at > constants.STARVATION_WAIT_S]
        if not starved:
            return 0
        placed, total_granted = 0, ZERO
        most = tuple(constants.STARVATION_CAPACITY_RATIO * a for a in capacity)
        fair = fair_shares(demands.values(), self._teams, capacity)
        overdue_by_queue = overdue_largest_jobs(
            self._isolation.each(filter(self._isolation.is_ready, jobs)),
            wall,
            self._queues.slack_s,
        )
        served = []
        for queue in sorted(starved, key=oldest.__getitem__):
            half = round_up_to_tasks(tuple(a / 2 for a in fair[queue]), demands[queue].task)
            held = dominant_share(self._placer.queue_usage[queue], capacity)
            if held > constants.STARVATION_ALLOCATION_RATIO * dominant_share(half, capacity):
                served.append(queue)
                continue
            total_granted = plus(total_granted, half)
            if not fits(total_granted, most):
                break
            if overdue_by_queue[queue]:
                placed += self._place_largest_jobs(overdue_by_queue[queue], half)
            left = minus(half, self._placer.queue_usage[queue])
            placed += self._placer.place_preferring_local(ready[queue], left, False)
            self._reserve_for_wide_job(ready[queue], minus(half, self._placer.queue_usage[queue]))
        for queue in served:
            # These queues hold their share already; only its use changes, in favour of their
            # largest jobs. Queues that lack their share come before them.
            if overdue_by_queue[queue]:
                placed += self._place_largest_jobs(
                    overdue_by_queue[queue], self._placer.queue_usage[queue]
                )
        return placed

    def _place_largest_jobs(self, jobs: list[Job], room: Vector) -> int:
        """Place a queue's largest jobs, the longest-waiting one until it is done, then the next.

        `room` is the queue's share, or what it holds. Together the largest jobs hold at most
        `LARGEST_SHARE` of it, but at least one task, or one gang. The part grows to all tasks of
        the first job as far as `LARGEST_LIMIT` of the share holds them: in two waves the job would
        take twice as long, and most of the part would be unused during the second.
        """
        waiting = [job for job in jobs if self._constraints.is_ready(job)]
        if not waiting:
            return 0
        first, spec = waiting[0], waiting[0].spec
        whole = tuple(a * (spec.tasks if spec.shape == "gang" else 1) for a in spec.resources)
        at_once = tuple(a * (first.startable_count + len(first.live)) for a in spec.resources)
        most = tuple(constants.LARGEST_LIMIT * a for a in room)
        share = tuple(constants.LARGEST_SHARE * a for a in room)
        part = tuple(map(max, share, map(min, at_once, most), whole))
        held = ZERO
        for job in jobs:
            held = plus(held, tuple(a * len(job.live) for a in job.spec.resources))
        left = minus(part, held)
        placed, left_over = self._placer.place_within_budget(waiting, left, False, True)
        more, left_over = self._placer.place_within_budget(waiting, left_over, False)
        if left_over is not None:
            self._reserve_for_wide_job(waiting, left_over)
        return placed + more

    def _reserve_for_wide_job(self, jobs: list[Job], left: Vector) -> None:
        """Reserve machines for the first job that fits what is left of its queue's share.

        A job whose tasks take nothing needs no room, and must not be the one in place of others.
        """
        for job in self._isolation.each(jobs):
            resources = job.spec.resources
            if job.startable_count and not is_nothing(resources) and fits(resources, left):
                count = count_fitting(resources, left, TASKS_MAX)
                self._preemptor.reserve_for_starved(job, count)
                return
