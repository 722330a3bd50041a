"""The start constraint for licence seats: who gets free seats, and preemption for urgent work.

Nothing is stored: the seats in use follow from the live attempts in the record, under the same
rules of proven absence that hold for attempts anyway. At the beginning of each round the free
seats are allotted: higher urgency first, within an urgency to the team with the smallest share
of the pools it asks for, and within a team in order of arrival. An allotment is a priority and
not a holding: a job that can't use it for `SEAT_CLAIM_PERIOD_S` lets others use the seats.
"""

import heapq
import itertools
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from chalkgrade import constants
from chalkgrade.extensions.constraints import Preemption, StartConstraint
from chalkgrade.licences.requirements import PoolSeats, SeatRequirements
from chalkgrade.record.jobs import Attempt, Job
from chalkgrade.sharing.queues import Queues

REASON_NO_SEAT = "no licence seat"
REASON_LICENCE_SERVER_UNREACHABLE = "licence server out of reach"


@dataclass
class UsableSeats:
    """The seats of a pool that all tasks may hold together; `fresh` while its server answers."""

    seats: int
    fresh: bool = True


def _min_start_tasks(job: Job) -> int:
    """Returns the least number of tasks that start together: all of a gang, otherwise one."""
    return max(1, len(job.waiting)) if job.spec.shape == "gang" else 1


class SeatConstraint(StartConstraint):
    """Lets a task start only if it gets the seats of all its pools."""

    def __init__(
        self,
        requirements: SeatRequirements,
        queues: Queues,
        usable_seats: Callable[[str], UsableSeats],
    ) -> None:
        self.requirements = requirements
        self.queues = queues
        self.usable_seats = usable_seats
        teams = queues.settings.cluster.teams
        self._guaranteed = {team.name for team in teams if team.cpus or team.gpus}
        self.used: dict[str, int] = dict.fromkeys(requirements.pools, 0)  # seats of live attempts
        self.waiting: dict[str, int] = dict(self.used)  # seats of waiting tasks
        self.free: dict[str, int] = dict(self.used)
        self._seats_by_job: dict[Job, PoolSeats] = {}  # of jobs that need any
        self._holders_by_pool: dict[str, list[Job]] = {}  # pool -> jobs with live attempts
        self._allotted_tasks: dict[Job, int] = {}  # job -> tasks that may start
        self._open_seats: dict[str, int] = {}  # pool -> seats that any job may use
        # time since which a job has not used its allotment
        self._unused_since: dict[Job, float] = {}
        self._lacking_since: dict[Job, float] = {}  # time since which a job lacks seats
        # stopped attempt -> job it was stopped for, time of the request
        self._requested_stops: dict[Attempt, tuple[Job, float]] = {}
        self._preemption_tried: set[Job] = set()  # jobs handled in this round
        # pool -> job -> seats freed for it in this round
        self._pledged_seats: dict[str, dict[Job, int]] = {}
        self._now = 0.0

    # -- seats in use --------------------------------------------------------------

    def begin_round(self, jobs: Iterable[Job], now: float) -> None:
        """Counts the seats in use, allots the free ones and withdraws needless stops."""
        self._now = now
        self.used = dict.fromkeys(self.requirements.pools, 0)
        self.waiting = dict.fromkeys(self.requirements.pools, 0)
        self._seats_by_job.clear()
        self._holders_by_pool = defaultdict(list)
        self._pledged_seats = defaultdict(dict)
        self._preemption_tried.clear()
        asking: list[Job] = []
        for job in jobs:
            needs = self.requirements.seats_per_task(job.spec)
            if not needs:
                continue
            self._seats_by_job[job] = needs
            startable = 0 if job.aborted or job.aborting else job.startable_count
            for pool, seats in needs:
                if job.live:
                    self.used[pool] += seats * len(job.live)
                    self._holders_by_pool[pool].append(job)
                self.waiting[pool] += seats * startable
            if startable and now >= job.retry_at:
                asking.append(job)
        self.free = {pool: self.usable_seats(pool).seats - used for pool, used in self.used.items()}
        self._allot_seats(asking)
        self._withdraw_stops()

    def on_released(self, attempt: Attempt) -> None:
        """Forgets the stop of an attempt that is over."""
        self._requested_stops.pop(attempt, None)

    # -- allotment of free seats ------------------------------------------------------

    def _allot_seats(self, asking: list[Job]) -> None:
        """Allots the free seats; takes one step for each task that gets seats."""
        available = dict(self.free)
        shares: dict[tuple[str, str], int] = defaultdict(int)  # (team, pool) -> seats
        for pool, holders in self._holders_by_pool.items():
            for job in holders:
                shares[job.spec.owner, pool] += dict(self._seats_by_job[job])[pool] * len(job.live)
        self._allotted_tasks = {}
        asking.sort(key=lambda job: (-job.spec.urgency_rank, job.eligible_at, job.name))
        for _, group in itertools.groupby(asking, key=lambda job: job.spec.urgency_rank):
            same_urgency = list(group)
            for job in sorted(
                self._starving_jobs(same_urgency), key=lambda job: self._lacking_since[job]
            ):
                self._reserve_for_starving(job, available, shares)
            self._allot_fairly(same_urgency, available, shares)
        for job in [job for job in self._unused_since if job not in self._allotted_tasks]:
            del self._unused_since[job]
        lacking = {job for job in asking if job not in self._allotted_tasks}
        self._lacking_since = {job: self._lacking_since.get(job, self._now) for job in lacking}
        # Seats that are not allotted, or whose allotment lapsed, are open to all jobs; seats that
        # are reserved for starving jobs are not.
        self._open_seats = available
        for job, tasks in self._allotted_tasks.items():
            self._unused_since.setdefault(job, self._now)
            if self._has_lapsed(job):
                for pool, seats in self._seats_by_job[job]:
                    self._open_seats[pool] += seats * tasks

    def _starving_jobs(self, jobs: list[Job]) -> list[Job]:
        """Returns jobs that need several seats at once and have lacked one for SEAT_STARVES_S."""
        return [
            job
            for job in jobs
            if self._now - self._lacking_since.get(job, self._now)
            > constants.SEAT_STARVATION_WAIT_S
            and _min_start_tasks(job) * sum(seats for _, seats in self._seats_by_job[job]) > 1
        ]

    def _reserve_for_starving(
        self, job: Job, available: dict[str, int], shares: dict[tuple[str, str], int]
    ) -> None:
        """Allots the seats a starving job needs to start, or reserves those that are free.

        Otherwise jobs that need fewer seats would always be served first. The order, longest
        wait first, is the same for all pools, so that two jobs with the same pools can't
        deadlock by reserving different pools.
        """
        needs, tasks = self._seats_by_job[job], _min_start_tasks(job)
        if all(available[pool] >= seats * tasks for pool, seats in needs):
            self._allot_start(job, available, shares)
            return
        for pool, seats in needs:
            available[pool] -= max(0, min(available[pool], seats * tasks))

    def _allot_start(
        self, job: Job, available: dict[str, int], shares: dict[tuple[str, str], int]
    ) -> None:
        """Allots the seats for the least number of tasks of a job that start together."""
        tasks = _min_start_tasks(job)
        for pool, seats in self._seats_by_job[job]:
            available[pool] -= seats * tasks
            shares[job.spec.owner, pool] += seats * tasks
        self._allotted_tasks[job] = self._allotted_tasks.get(job, 0) + tasks

    def _allot_fairly(
        self, jobs: list[Job], available: dict[str, int], shares: dict[tuple[str, str], int]
    ) -> None:
        """Allots seats within one urgency: the team with the least dominant share is next."""
        queued: dict[tuple[str, PoolSeats, int], list[Job]] = {}
        for job in jobs:
            queued.setdefault(
                (job.spec.owner, self._seats_by_job[job], _min_start_tasks(job)), []
            ).append(job)

        def share(team: str, needs: PoolSeats, _: int) -> float:
            return max(
                shares[team, pool] / self.requirements.pools[pool].seats for pool, _ in needs
            )

        order = [
            (share(*key), queue[0].accepted_at, number, key, iter(queue), queue[0])
            for number, (key, queue) in enumerate(queued.items())
        ]
        heapq.heapify(order)
        while order:
            before, at, number, key, rest, job = heapq.heappop(order)
            now = share(*key)
            if now > before:  # another queue of the team got a seat meanwhile
                heapq.heappush(order, (now, at, number, key, rest, job))
                continue
            if self._allotted_tasks.get(job, 0) >= job.startable_count:
                following = next(rest, None)
                following = next(rest, None) if following is job else following
                if following is not None:
                    heapq.heappush(
                        order, (now, following.accepted_at, number, key, rest, following)
                    )
                continue
            if any(available[pool] < seats * key[2] for pool, seats in key[1]):
                continue  # the other jobs of this queue need as many seats
            self._allot_start(job, available, shares)
            heapq.heappush(order, (share(*key), at, number, key, rest, job))

    def _has_lapsed(self, job: Job) -> bool:
        """Tells whether the allotment of a job has lapsed because it found no room to use it.

        The allotment is valid and lapsed in turns of SEAT_CLAIM_PERIOD_S, since room may come free.
        """
        elapsed_s = self._now - self._unused_since.get(job, self._now)
        return elapsed_s % (2 * constants.SEAT_CLAIM_PERIOD_S) >= constants.SEAT_CLAIM_PERIOD_S

    def _has_stoppable_holder(self, job: Job) -> bool:
        """Tells whether a less urgent job, or one of another team, holds seats that a job lacks."""
        spec = job.spec
        has_guarantee = (
            spec.owner in self._guaranteed
        )  # a guarantee permits stopping other teams' excess
        return any(
            self.free[pool] < seats
            and any(
                other.spec.urgency_rank < spec.urgency_rank
                or (has_guarantee and other.spec.owner != spec.owner)
                for other in self._holders_by_pool[pool]
            )
            for pool, seats in self._seats_by_job[job]
        )

    def is_ready(self, job: Job) -> bool:
        """Excludes jobs that have no seat and could get none by preemption, to save work."""
        if job not in self._seats_by_job or self.max_starts(job, 1):
            return True
        return self._has_stoppable_holder(job)

    # -- queries of a round ------------------------------------------------------------

    def max_starts(self, job: Job, count: int) -> int:
        """Limits starts to free seats that are allotted to the job or open to all."""
        needs = self._seats_by_job.get(job)
        if needs is None:
            return count
        count = min(count, *(max(0, self.free[pool]) // seats for pool, seats in needs))
        allotted = 0 if self._has_lapsed(job) else self._allotted_tasks.get(job, 0)
        if count <= allotted:
            return count
        return min(
            count, allotted + min(max(0, self._open_seats[pool]) // seats for pool, seats in needs)
        )

    def holds_scarce_resource(self, job: Job) -> bool:
        """Tells whether tasks of the job hold licence seats."""
        return bool(self.requirements.seats_per_task(job.spec))

    def max_demand(self, job: Job, count: int) -> int:
        """Limits the tasks for which machines may be rented to those with allotted seats."""
        if job in self._seats_by_job:
            return min(count, self._allotted_tasks.get(job, 0))
        # A job that came since the last round gets no rented machine before the next one.
        return 0 if self.requirements.seats_per_task(job.spec) else count

    def on_placed(self, job: Job, site: str) -> None:
        """Counts the seats of a placed task, from the allotment of its job if it is valid."""
        needs = self._seats_by_job.get(job)
        if needs is None:
            return
        allotted = self._allotted_tasks.get(job, 0)
        uses_allotment = allotted > 0 and not self._has_lapsed(job)
        if allotted > 0:
            self._allotted_tasks[job] = allotted - 1
        self._unused_since.pop(job, None)
        for pool, seats in needs:
            self.free[pool] -= seats
            self.used[pool] += seats
            if not uses_allotment:
                self._open_seats[pool] -= seats

    def refusal_reason(self, job: Job) -> str:
        """Names the reason of a job without seats, or that the licence server is silent."""
        needs = self._seats_by_job.get(job)
        if needs is None or self.max_starts(job, 1):
            return ""
        if any(not self.usable_seats(pool).fresh for pool, _ in needs):
            return REASON_LICENCE_SERVER_UNREACHABLE
        return REASON_NO_SEAT

    # -- preemption ------------------------------------------------------------------

    def preempt_for(self, job: Job, preemption: Preemption) -> None:
        """Stops less urgent tasks that hold the seats an urgent job lacks.

        Only if the job gets the seats of all its pools that way, and not for seats that come
        free in time by themselves or by earlier preemption.
        """
        needs = self._seats_by_job.get(job)
        waited_s = self.queues.clock.wall() - job.eligible_at
        slack_s = self.queues.slack_s(job)
        if (
            needs is None
            or not preemption.preempt
            or slack_s < 0
            or waited_s <= constants.MIN_PREEMPTION_WAIT_S
        ):
            return
        if job in self._preemption_tried or not self._has_stoppable_holder(job):
            return
        self._preemption_tried.add(job)
        deadline_s = max(constants.MIN_PREEMPTION_WAIT_S, slack_s)
        tasks = max(
            _min_start_tasks(job), min(len(job.waiting), constants.MAX_TASKS_GIVEN_FREED_SEATS)
        )
        chosen: dict[Attempt, None] = {}
        for pool, seats in needs:
            missing = seats * tasks - max(0, self.free[pool])
            missing += sum(s for other, s in self._pledged_seats[pool].items() if other is not job)
            candidates: list[tuple[int, float, str, Attempt, int]] = []
            for holder in self._holders_by_pool[pool]:
                held = dict(self._seats_by_job[holder])[pool]
                for attempt in holder.live.values():
                    ends = attempt.kill_requested_at is not None or attempt in chosen
                    if ends or self.queues.remaining_run_s(attempt, self._now) <= deadline_s:
                        missing -= held
                    elif preemption.may_preempt(attempt, job):
                        loss = preemption.preemption_loss(attempt)
                        entry = (holder.spec.urgency_rank, loss, attempt.label, attempt, held)
                        candidates.append(entry)
            candidates.sort(key=lambda candidate: candidate[:3])
            for _, loss, _, attempt, held in candidates:
                if missing <= 0:
                    break
                if loss <= preemption.max_preemption_loss(job):
                    chosen[attempt] = None
                    missing -= held
            if missing > seats * (tasks - _min_start_tasks(job)):
                return  # not even its first tasks would start
            self._pledged_seats[pool][job] = seats * tasks
        if chosen:
            preemption.stop(list(chosen), job)
            for attempt in chosen:
                self._requested_stops[attempt] = (job, attempt.kill_requested_at or self._now)

    def _withdraw_stops(self) -> None:
        """Withdraws stops that were not sent yet if the seats came free meanwhile."""
        for attempt, (job, at) in list(self._requested_stops.items()):
            if attempt.kill_sent or attempt.kill_requested_at != at or attempt.job.aborted:
                del self._requested_stops[attempt]  # already sent, or requested for another reason
                continue
            needs = self._seats_by_job.get(job, ())
            tasks = min(
                job.startable_count,
                max(_min_start_tasks(job), constants.MAX_TASKS_GIVEN_FREED_SEATS),
            )
            if all(self.free[pool] >= seats * tasks for pool, seats in needs):
                attempt.kill_requested_at = None
                del self._requested_stops[attempt]
