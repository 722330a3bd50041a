"""The gate for seats: who gets the free ones, and who makes way for urgent work.

Nothing is stored: what is taken follows from the live attempts, which are in the
record, by the rules of absence that hold for attempts anyway. At the beginning of
each round the free seats are *allotted*: urgency first, within one the team with the
least share of the pools it asks for, within a team in order of arrival. An allotment
is a right of way, not a holding: who can't use it for `SEAT_CLAIM_PERIOD_S` lets others by.
"""

import heapq
import itertools
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from chalkgrade import constants
from chalkgrade.extensions.constraints import Preemption, StartConstraint
from chalkgrade.licences.needs import Needs, Seats
from chalkgrade.record.jobs import Attempt, Job
from chalkgrade.sharing.queues import Queues

SEAT = "no licence seat"
SERVER = "licence server out of reach"


@dataclass
class Usable:
    """How many seats of a pool our tasks may hold together, and whether that is fresh."""

    seats: int
    fresh: bool = True


def _unit(job: Job) -> int:
    """How many of its tasks start at once at least."""
    return max(1, len(job.waiting)) if job.spec.shape == "gang" else 1


class SeatGate(StartConstraint):
    """All seats of a task's pools, or none of them."""

    def __init__(self, needs: Needs, queues: Queues, usable: Callable[[str], Usable]) -> None:
        self.needs = needs
        self.queues = queues
        self.usable = usable
        teams = queues.settings.cluster.teams
        self._guaranteed = {team.name for team in teams if team.cpus or team.gpus}
        self.used: dict[str, int] = dict.fromkeys(needs.pools, 0)  # seats of live attempts
        self.waiting: dict[str, int] = dict(self.used)  # seats that waiting tasks ask for
        self.free: dict[str, int] = dict(self.used)
        self._mine: dict[Job, Seats] = {}  # jobs that need seats
        self._holders: dict[str, list[Job]] = {}  # those with live attempts, by pool
        self._allotted: dict[Job, int] = {}  # tasks that may start
        self._open: dict[str, int] = {}  # free beyond what is allotted to those who use it
        self._since: dict[Job, float] = {}  # since when it has an allotment that it does not use
        self._denied: dict[Job, float] = {}  # since when it lacks a seat
        self._stops: dict[Attempt, tuple[Job, float]] = {}  # whom we stopped, for whom, when
        self._tried: set[Job] = set()  # for whom a way was looked for in this round
        self._promised: dict[str, dict[Job, int]] = {}  # seats that room is made for in a round
        self._now = 0.0

    # -- what is taken --------------------------------------------------------------

    def begin_round(self, jobs: Iterable[Job], now: float) -> None:
        self._now = now
        self.used = dict.fromkeys(self.needs.pools, 0)
        self.waiting = dict.fromkeys(self.needs.pools, 0)
        self._mine.clear()
        self._holders = defaultdict(list)
        self._promised = defaultdict(dict)
        self._tried.clear()
        asking: list[Job] = []
        for job in jobs:
            needs = self.needs.of(job.spec)
            if not needs:
                continue
            self._mine[job] = needs
            startable = 0 if job.aborted or job.aborting else job.startable_count
            for pool, seats in needs:
                if job.live:
                    self.used[pool] += seats * len(job.live)
                    self._holders[pool].append(job)
                self.waiting[pool] += seats * startable
            if startable and now >= job.retry_at:
                asking.append(job)
        self.free = {pool: self.usable(pool).seats - used for pool, used in self.used.items()}
        self._allot(asking)
        self._take_back()

    def on_released(self, attempt: Attempt) -> None:
        self._stops.pop(attempt, None)

    # -- who gets what is free ------------------------------------------------------

    def _allot(self, asking: list[Job]) -> None:
        """Share out the free seats. It costs a step for each task that gets one."""
        left = dict(self.free)
        shares: dict[tuple[str, str], int] = defaultdict(int)  # (team, pool) -> seats
        for pool, holders in self._holders.items():
            for job in holders:
                shares[job.spec.owner, pool] += dict(self._mine[job])[pool] * len(job.live)
        self._allotted = {}
        asking.sort(key=lambda job: (-job.spec.urgency_rank, job.eligible_at, job.name))
        for _, group in itertools.groupby(asking, key=lambda job: job.spec.urgency_rank):
            mates = list(group)
            for job in sorted(self._starving(mates), key=lambda job: self._denied[job]):
                self._first_of_all(job, left, shares)
            self._share(mates, left, shares)
        for job in [job for job in self._since if job not in self._allotted]:
            del self._since[job]
        lacking = {job for job in asking if job not in self._allotted}
        self._denied = {job: self._denied.get(job, self._now) for job in lacking}
        # What nobody who uses it was allotted is open to all; what starving jobs keep is not.
        self._open = left
        for job, tasks in self._allotted.items():
            self._since.setdefault(job, self._now)
            if self._lapsed(job):
                for pool, seats in self._mine[job]:
                    self._open[pool] += seats * tasks

    def _starving(self, jobs: list[Job]) -> list[Job]:
        """Jobs that need several seats at once and have lacked one of them for long."""
        return [
            job
            for job in jobs
            if self._now - self._denied.get(job, self._now) > constants.SEAT_STARVATION_WAIT_S
            and _unit(job) * sum(seats for _, seats in self._mine[job]) > 1
        ]

    def _first_of_all(
        self, job: Job, left: dict[str, int], shares: dict[tuple[str, str], int]
    ) -> None:
        """Allot what it needs to start, or keep for it what is free of that.

        Else work that needs fewer seats would always be served first. The order, the
        longest waiting first, is the same for all pools, so that two that need the
        same pools never keep from each other what both need.
        """
        needs, tasks = self._mine[job], _unit(job)
        if all(left[pool] >= seats * tasks for pool, seats in needs):
            self._give(job, left, shares)
            return
        for pool, seats in needs:
            left[pool] -= max(0, min(left[pool], seats * tasks))

    def _give(self, job: Job, left: dict[str, int], shares: dict[tuple[str, str], int]) -> None:
        tasks = _unit(job)
        for pool, seats in self._mine[job]:
            left[pool] -= seats * tasks
            shares[job.spec.owner, pool] += seats * tasks
        self._allotted[job] = self._allotted.get(job, 0) + tasks

    def _share(
        self, jobs: list[Job], left: dict[str, int], shares: dict[tuple[str, str], int]
    ) -> None:
        """One urgency: the team with the least dominant share of its pools gets the next task."""
        lines: dict[tuple[str, Seats, int], list[Job]] = {}
        for job in jobs:
            lines.setdefault((job.spec.owner, self._mine[job], _unit(job)), []).append(job)

        def share(team: str, needs: Seats, _: int) -> float:
            return max(shares[team, pool] / self.needs.pools[pool].seats for pool, _ in needs)

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
            if self._allotted.get(job, 0) >= job.startable_count:
                following = next(rest, None)
                following = next(rest, None) if following is job else following
                if following is not None:
                    heapq.heappush(
                        order, (now, following.accepted_at, number, key, rest, following)
                    )
                continue
            if any(left[pool] < seats * key[2] for pool, seats in key[1]):
                continue  # nobody behind it in this line fares better
            self._give(job, left, shares)
            heapq.heappush(order, (share(*key), at, number, key, rest, job))

    def _lapsed(self, job: Job) -> bool:
        """Whether it lets others by: it had its turn and found no room.

        By turns, since the room may come: for so long it has the right, for so long not.
        """
        gone = self._now - self._since.get(job, self._now)
        return gone % (2 * constants.SEAT_CLAIM_PERIOD_S) >= constants.SEAT_CLAIM_PERIOD_S

    def _stoppable(self, job: Job) -> bool:
        """Whether anybody less urgent, or of another team, holds what the job lacks."""
        spec = job.spec
        promised = spec.owner in self._guaranteed  # only then may others' excess be stopped
        return any(
            self.free[pool] < seats
            and any(
                other.spec.urgency_rank < spec.urgency_rank
                or (promised and other.spec.owner != spec.owner)
                for other in self._holders[pool]
            )
            for pool, seats in self._mine[job]
        )

    def is_ready(self, job: Job) -> bool:
        """What has no seat, and nobody to take one from, costs the round nothing further."""
        if job not in self._mine or self.max_starts(job, 1):
            return True
        return self._stoppable(job)

    # -- what a round asks ------------------------------------------------------------

    def max_starts(self, job: Job, count: int) -> int:
        needs = self._mine.get(job)
        if needs is None:
            return count
        count = min(count, *(max(0, self.free[pool]) // seats for pool, seats in needs))
        own = 0 if self._lapsed(job) else self._allotted.get(job, 0)
        if count <= own:
            return count
        return min(count, own + min(max(0, self._open[pool]) // seats for pool, seats in needs))

    def holds_scarce_resource(self, job: Job) -> bool:
        return bool(self.needs.of(job.spec))

    def max_demand(self, job: Job, count: int) -> int:
        if job in self._mine:
            return min(count, self._allotted.get(job, 0))
        # Since the last round, nothing is rented for it before the next.
        return 0 if self.needs.of(job.spec) else count

    def on_placed(self, job: Job, site: str) -> None:
        needs = self._mine.get(job)
        if needs is None:
            return
        own = self._allotted.get(job, 0)
        by_right = own > 0 and not self._lapsed(job)
        if own > 0:
            self._allotted[job] = own - 1
        self._since.pop(job, None)
        for pool, seats in needs:
            self.free[pool] -= seats
            self.used[pool] += seats
            if not by_right:
                self._open[pool] -= seats

    def refusal_reason(self, job: Job) -> str:
        needs = self._mine.get(job)
        if needs is None or self.max_starts(job, 1):
            return ""
        if any(not self.usable(pool).fresh for pool, _ in needs):
            return SERVER
        return SEAT

    # -- urgent work ------------------------------------------------------------------

    def preempt_for(self, job: Job, stops: Preemption) -> None:
        """Stop less urgent work that holds what an urgent job lacks, as room is made.

        Only where all its pools can be had that way, and not for seats that come free
        by themselves in time, or by earlier stops.
        """
        needs = self._mine.get(job)
        waited = self.queues.clock.wall() - job.eligible_at
        slack = self.queues.slack_s(job)
        if (
            needs is None
            or not stops.preempt
            or slack < 0
            or waited <= constants.MIN_PREEMPTION_WAIT_S
        ):
            return
        if job in self._tried or not self._stoppable(job):
            return
        self._tried.add(job)
        late = max(constants.MIN_PREEMPTION_WAIT_S, slack)
        tasks = max(_unit(job), min(len(job.waiting), constants.MAX_TASKS_GIVEN_FREED_SEATS))
        chosen: dict[Attempt, None] = {}
        for pool, seats in needs:
            missing = seats * tasks - max(0, self.free[pool])
            missing += sum(s for other, s in self._promised[pool].items() if other is not job)
            offers: list[tuple[int, float, str, Attempt, int]] = []
            for holder in self._holders[pool]:
                held = dict(self._mine[holder])[pool]
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
            if missing > seats * (tasks - _unit(job)):
                return  # not even its first would start: nothing is stopped for it
            self._promised[pool][job] = seats * tasks
        if chosen:
            stops.stop(list(chosen), job)
            for attempt in chosen:
                self._stops[attempt] = (job, attempt.kill_requested_at or self._now)

    def _take_back(self) -> None:
        """A stop that was not sent yet is taken back if the seat came free meanwhile."""
        for attempt, (job, at) in list(self._stops.items()):
            if attempt.kill_sent or attempt.kill_requested_at != at or attempt.job.aborted:
                del self._stops[attempt]  # under way, or wanted for another reason
                continue
            needs = self._mine.get(job, ())
            tasks = min(job.startable_count, max(_unit(job), constants.MAX_TASKS_GIVEN_FREED_SEATS))
            if all(self.free[pool] >= seats * tasks for pool, seats in needs):
                attempt.kill_requested_at = None
                del self._stops[attempt]
