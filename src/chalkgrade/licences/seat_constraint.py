"""The gate for seats: who gets the free ones, and who makes way for urgent work.

Nothing is stored: what is taken follows from the live attempts, which are in the
record, by the rules of absence that hold for attempts anyway. At the beginning of
each round the free seats are *allotted*: urgency first, within one the team with the
least share of the pools it asks for, within a team in order of arrival. An allotment
is a right of way, not a holding: who can't use it for `SEAT_CLAIM_S` lets others by.
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
    """How many seats of a pool our tasks may hold together, and whether that is fresh."""

    seats: int
    fresh: bool = True


def _min_start_tasks(job: Job) -> int:
    """How many of its tasks start at once at least."""
    return max(1, len(job.waiting)) if job.spec.shape == "gang" else 1


class SeatConstraint(StartConstraint):
    """All seats of a task's pools, or none of them."""

    def __init__(
        self, needs: SeatRequirements, queues: Queues, usable: Callable[[str], UsableSeats]
    ) -> None:
        self.requirements = needs
        self.queues = queues
        self.usable_seats = usable
        teams = queues.settings.cluster.teams
        self._guaranteed = {team.name for team in teams if team.cpus or team.gpus}
        self.used: dict[str, int] = dict.fromkeys(needs.pools, 0)  # seats of live attempts
        self.waiting: dict[str, int] = dict(self.used)  # seats that waiting tasks ask for
        self.free: dict[str, int] = dict(self.used)
        self._seats_by_job: dict[Job, PoolSeats] = {}  # jobs that need seats
        self._holders_by_pool: dict[str, list[Job]] = {}  # those with live attempts, by pool
        self._allotted_tasks: dict[Job, int] = {}  # tasks that may start
        self._open_seats: dict[str, int] = {}  # free beyond what is allotted to those who use it
        self._unused_since: dict[
            Job, float
        ] = {}  # since when it has an allotment that it does not use
        self._lacking_since: dict[Job, float] = {}  # since when it lacks a seat
        self._requested_stops: dict[
            Attempt, tuple[Job, float]
        ] = {}  # whom we stopped, for whom, when
        self._preemption_tried: set[Job] = set()  # for whom a way was looked for in this round
        self._pledged_seats: dict[
            str, dict[Job, int]
        ] = {}  # seats that room is made for in a round
        self._now = 0.0

    # -- what is taken --------------------------------------------------------------

    def begin_round(self, jobs: Iterable[Job], now: float) -> None:
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
        self._requested_stops.pop(attempt, None)

    # -- who gets what is free ------------------------------------------------------

    def _allot_seats(self, asking: list[Job]) -> None:
        """Share out the free seats. It costs a step for each task that gets one."""
        left = dict(self.free)
        shares: dict[tuple[str, str], int] = defaultdict(int)  # (team, pool) -> seats
        for pool, holders in self._holders_by_pool.items():
            for job in holders:
                shares[job.spec.owner, pool] += dict(self._seats_by_job[job])[pool] * len(job.live)
        self._allotted_tasks = {}
        asking.sort(key=lambda job: (-job.spec.urgency_rank, job.eligible_at, job.name))
        for _, group in itertools.groupby(asking, key=lambda job: job.spec.urgency_rank):
            mates = list(group)
            for job in sorted(self._starving_jobs(mates), key=lambda job: self._lacking_since[job]):
                self._reserve_for_starving(job, left, shares)
            self._allot_fairly(mates, left, shares)
        for job in [job for job in self._unused_since if job not in self._allotted_tasks]:
            del self._unused_since[job]
        lacking = {job for job in asking if job not in self._allotted_tasks}
        self._lacking_since = {job: self._lacking_since.get(job, self._now) for job in lacking}
        # What nobody who uses it was allotted is open to all; what starving jobs keep is not.
        self._open_seats = left
        for job, tasks in self._allotted_tasks.items():
            self._unused_since.setdefault(job, self._now)
            if self._has_lapsed(job):
                for pool, seats in self._seats_by_job[job]:
                    self._open_seats[pool] += seats * tasks

    def _starving_jobs(self, jobs: list[Job]) -> list[Job]:
        """Jobs that need several seats at once and have lacked one of them for long."""
        return [
            job
            for job in jobs
            if self._now - self._lacking_since.get(job, self._now) > constants.SEAT_STARVES_S
            and _min_start_tasks(job) * sum(seats for _, seats in self._seats_by_job[job]) > 1
        ]

    def _reserve_for_starving(
        self, job: Job, left: dict[str, int], shares: dict[tuple[str, str], int]
    ) -> None:
        """Allot what it needs to start, or keep for it what is free of that.

        Else work that needs fewer seats would always be served first. The order, the
        longest waiting first, is the same for all pools, so that two that need the
        same pools never keep from each other what both need.
        """
        needs, tasks = self._seats_by_job[job], _min_start_tasks(job)
        if all(left[pool] >= seats * tasks for pool, seats in needs):
            self._allot_start(job, left, shares)
            return
        for pool, seats in needs:
            left[pool] -= max(0, min(left[pool], seats * tasks))

    def _allot_start(
        self, job: Job, left: dict[str, int], shares: dict[tuple[str, str], int]
    ) -> None:
        tasks = _min_start_tasks(job)
        for pool, seats in self._seats_by_job[job]:
            left[pool] -= seats * tasks
            shares[job.spec.owner, pool] += seats * tasks
        self._allotted_tasks[job] = self._allotted_tasks.get(job, 0) + tasks

    def _allot_fairly(
        self, jobs: list[Job], left: dict[str, int], shares: dict[tuple[str, str], int]
    ) -> None:
        """One urgency: the team with the least dominant share of its pools gets the next task."""
        lines: dict[tuple[str, PoolSeats, int], list[Job]] = {}
        for job in jobs:
            lines.setdefault(
                (job.spec.owner, self._seats_by_job[job], _min_start_tasks(job)), []
            ).append(job)

        def share(team: str, needs: PoolSeats, _: int) -> float:
            return max(
                shares[team, pool] / self.requirements.pools[pool].seats for pool, _ in needs
            )

        order = [
            (share(*key), line[0].accepted_at, number, key, iter(line), line[0])
            for number, (key, line) in enumerate(lines.items())
        ]
        heapq.heapify(order)
        while order:
            before, at, number, key, rest, job = heapq.heappop(order)
            now = share(*key)
            if now > before:  # another line of the team got a seat meanwhile
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
            if any(left[pool] < seats * key[2] for pool, seats in key[1]):
                continue  # nobody behind it in this line fares better
            self._allot_start(job, left, shares)
            heapq.heappush(order, (share(*key), at, number, key, rest, job))

    def _has_lapsed(self, job: Job) -> bool:
        """Whether it lets others by: it had its turn and found no room.

        By turns, since the room may come: for so long it has the right, for so long not.
        """
        gone = self._now - self._unused_since.get(job, self._now)
        return gone % (2 * constants.SEAT_CLAIM_S) >= constants.SEAT_CLAIM_S

    def _has_stoppable_holder(self, job: Job) -> bool:
        """Whether anybody less urgent, or of another team, holds what the job lacks."""
        spec = job.spec
        promised = spec.owner in self._guaranteed  # only then may others' excess be stopped
        return any(
            self.free[pool] < seats
            and any(
                other.spec.urgency_rank < spec.urgency_rank
                or (promised and other.spec.owner != spec.owner)
                for other in self._holders_by_pool[pool]
            )
            for pool, seats in self._seats_by_job[job]
        )

    def is_ready(self, job: Job) -> bool:
        """What has no seat, and nobody to take one from, costs the round nothing further."""
        if job not in self._seats_by_job or self.max_starts(job, 1):
            return True
        return self._has_stoppable_holder(job)

    # -- what a round asks ------------------------------------------------------------

    def max_starts(self, job: Job, count: int) -> int:
        needs = self._seats_by_job.get(job)
        if needs is None:
            return count
        count = min(count, *(max(0, self.free[pool]) // seats for pool, seats in needs))
        own = 0 if self._has_lapsed(job) else self._allotted_tasks.get(job, 0)
        if count <= own:
            return count
        return min(
            count, own + min(max(0, self._open_seats[pool]) // seats for pool, seats in needs)
        )

    def holds_scarce_resource(self, job: Job) -> bool:
        return bool(self.requirements.seats_per_task(job.spec))

    def max_demand(self, job: Job, count: int) -> int:
        if job in self._seats_by_job:
            return min(count, self._allotted_tasks.get(job, 0))
        # Since the last round, nothing is rented for it before the next.
        return 0 if self.requirements.seats_per_task(job.spec) else count

    def on_placed(self, job: Job, site: str) -> None:
        needs = self._seats_by_job.get(job)
        if needs is None:
            return
        own = self._allotted_tasks.get(job, 0)
        by_right = own > 0 and not self._has_lapsed(job)
        if own > 0:
            self._allotted_tasks[job] = own - 1
        self._unused_since.pop(job, None)
        for pool, seats in needs:
            self.free[pool] -= seats
            self.used[pool] += seats
            if not by_right:
                self._open_seats[pool] -= seats

    def refusal_reason(self, job: Job) -> str:
        needs = self._seats_by_job.get(job)
        if needs is None or self.max_starts(job, 1):
            return ""
        if any(not self.usable_seats(pool).fresh for pool, _ in needs):
            return REASON_LICENCE_SERVER_UNREACHABLE
        return REASON_NO_SEAT

    # -- urgent work ------------------------------------------------------------------

    def preempt_for(self, job: Job, stops: Preemption) -> None:
        """Stop less urgent work that holds what an urgent job lacks, as room is made.

        Only where all its pools can be had that way, and not for seats that come free
        by themselves in time, or by earlier stops.
        """
        needs = self._seats_by_job.get(job)
        waited = self.queues.clock.wall() - job.eligible_at
        slack = self.queues.slack_s(job)
        if needs is None or not stops.preempt or slack < 0 or waited <= constants.PREEMPT_WAIT_S:
            return
        if job in self._preemption_tried or not self._has_stoppable_holder(job):
            return
        self._preemption_tried.add(job)
        late = max(constants.PREEMPT_WAIT_S, slack)
        tasks = max(_min_start_tasks(job), min(len(job.waiting), constants.SEAT_STOPS))
        chosen: dict[Attempt, None] = {}
        for pool, seats in needs:
            missing = seats * tasks - max(0, self.free[pool])
            missing += sum(s for other, s in self._pledged_seats[pool].items() if other is not job)
            offers: list[tuple[int, float, str, Attempt, int]] = []
            for holder in self._holders_by_pool[pool]:
                held = dict(self._seats_by_job[holder])[pool]
                for attempt in holder.live.values():
                    ends = attempt.kill_requested_at is not None or attempt in chosen
                    if ends or self.queues.remaining_run_s(attempt, self._now) <= late:
                        missing -= held
                    elif stops.may_preempt(attempt, job):
                        loss = stops.preemption_loss(attempt)
                        entry = (holder.spec.urgency_rank, loss, attempt.label, attempt, held)
                        offers.append(entry)
            offers.sort(key=lambda offer: offer[:3])
            for _, loss, _, attempt, held in offers:
                if missing <= 0:
                    break
                if loss <= stops.max_preemption_loss(job):
                    chosen[attempt] = None
                    missing -= held
            if missing > seats * (tasks - _min_start_tasks(job)):
                return  # not even its first would start: nothing is stopped for it
            self._pledged_seats[pool][job] = seats * tasks
        if chosen:
            stops.stop(list(chosen), job)
            for attempt in chosen:
                self._requested_stops[attempt] = (job, attempt.kill_requested_at or self._now)

    def _withdraw_stops(self) -> None:
        """A stop that was not sent yet is taken back if the seat came free meanwhile."""
        for attempt, (job, at) in list(self._requested_stops.items()):
            if attempt.kill_sent or attempt.kill_requested_at != at or attempt.job.aborted:
                del self._requested_stops[attempt]  # under way, or wanted for another reason
                continue
            needs = self._seats_by_job.get(job, ())
            tasks = min(job.startable_count, max(_min_start_tasks(job), constants.SEAT_STOPS))
            if all(self.free[pool] >= seats * tasks for pool, seats in needs):
                attempt.kill_requested_at = None
                del self._requested_stops[attempt]
