"""One scheduling round: steps 4 to 7 of the design on the room that reports.

Everything is worked out from the book and the fleet as they are now; what is
decided goes back into both. No input or output.
"""

import itertools
import logging
from collections import defaultdict
from collections.abc import Iterable, Sequence

from chalkgrade import constants
from chalkgrade.logs import about
from chalkgrade.machines.fleet import Fleet
from chalkgrade.machines.kinds import Flavor
from chalkgrade.machines.placement import Picker, Slot, choose_all, occupy
from chalkgrade.outside import Clock
from chalkgrade.record.jobs import Job
from chalkgrade.seams.gates import Gate, Gates
from chalkgrade.settings import Team
from chalkgrade.sharing.demands import Demands
from chalkgrade.sharing.floor import Floor
from chalkgrade.sharing.gates import NO_LIMIT, KeptRoom, Maxima, Pauses, Zones
from chalkgrade.sharing.largest import overdue
from chalkgrade.sharing.queues import Queues
from chalkgrade.sharing.shares import Demand, allocate, fair_shares, spare_order, whole_tasks
from chalkgrade.sharing.stops import MakingRoom
from chalkgrade.vectors import ZERO, Vector, dominant, fits, minus, plus

log = logging.getLogger("chalkgrade.sharing")


class Round:
    """Places what can be placed. `gates`: those of other subsystems."""

    def __init__(
        self,
        jobs: dict[str, Job],
        fleet: Fleet,
        teams: dict[str, Team],
        flavors: dict[str, Flavor],
        queues: Queues,
        clock: Clock,
        preempt: bool = True,
        gates: Sequence[Gate] = (),
    ) -> None:
        self.jobs = jobs
        self.fleet = fleet
        self.teams = teams
        self.flavors = flavors
        self.queues = queues
        self.now = clock.now()
        self.preempt = preempt
        self.maxima, self.zones, self.kept = Maxima(teams, queues), Zones(fleet), KeptRoom()
        # A seat comes before the maximum: for work without one nobody is stopped.
        self.gates = Gates([Pauses(), *gates, self.maxima, self.zones, self.kept])
        self.held: dict[str, Vector] = defaultdict(lambda: ZERO)
        self.patient = True  # work may wait for machines that hold its image
        self._pickers: dict[object, Picker] = {}
        self.stopped = 0  # running tasks that were told to stop
        self.guarding = False  # placing for queues that starve

    def run(self) -> int:
        """Place what can be placed; how many attempts were decided."""
        ready: dict[str, list[Job]] = defaultdict(list)
        self.gates.begin(self.jobs.values(), self.now)
        for job in self.jobs.values():
            if job.live:
                taken = tuple(a * len(job.live) for a in job.spec.resources)
                self.held[job.round_queue] = plus(self.held[job.round_queue], taken)
            if self.gates.ready(job):
                ready[job.round_queue].append(job)
        if not ready:
            return 0
        self.least = min(job.spec.urgency_rank for jobs in ready.values() for job in jobs)
        rooms = {job.spec.resources for jobs in ready.values() for job in jobs}
        least_cpus = min(room[0] for room in rooms)
        self.floor = Floor(self.fleet, self.flavors, self.queues, least_cpus, self.now)
        if not self.floor.slots and not self.floor.full:
            return 0
        self.making = MakingRoom(
            self.floor, self.queues, self.gates, self.maxima, self.kept, rooms, self.preempt
        )
        placed = self._fill(ready)
        self.stopped = self.making.stopped
        return placed

    def _fill(self, ready: dict[str, list[Job]]) -> int:
        """Guaranteed work, then steps 4 to 7."""
        capacity = self.floor.capacity
        self.demands = Demands(
            self.queues, self.teams, self.floor, self.held, self.least, self.gates
        )
        placed = self._place_first()
        for jobs in ready.values():
            jobs.sort(key=self.queues.order)
        placed += self._fill_guarantees(ready)
        demands = self.demands.of(ready)
        self.guarding = True
        placed += self._fill_starving(ready, demands, capacity)
        self.guarding = False
        first, rest = allocate(list(demands.values()), capacity)
        for _, group in itertools.groupby(first, key=lambda entry: demands[entry[0]].urgency):
            # What bounds need, shortest remaining first: in an overload, parts of all
            # bursts would end none of them in time. Anywhere, but first near its image.
            alike = list(group)
            for local in (True, False):
                for queue, grant in alike:
                    budget = minus(grant, self.held[queue])
                    placed += self._place_all(ready[queue], budget, not local, local)[0]
        first_jobs = [job for queue, _ in first for job in ready[queue]]
        self.making.stop_savers(sorted(first_jobs, key=self.queues.order), self.demands.needed)
        for queue, grant in rest:
            budget = minus(grant, self.held[queue])
            placed += self._fill_near_first(ready[queue], budget, reserve=True)
        order = spare_order(demands.values(), lambda d: dominant(self.held[d.queue], capacity))
        ranks = itertools.groupby(order, key=lambda q: (demands[q].guest, demands[q].urgency))
        for (_, urgency), names in ranks:
            # Urgent work that is too late for its bounds would else never see two CPUs
            # of one machine free at once: the small tasks behind it take each of them.
            mates = [job for queue in names for job in ready[queue]]
            placed += self._fill_near_first(mates, None, reserve=urgency > self.least)
        # What is left would idle: fetching images there takes nothing from anybody.
        self.patient = False
        for queue in order:
            placed += self._place_all(ready[queue], None, False)[0]
        return placed

    def _fill_near_first(self, jobs: list[Job], budget: Vector | None, reserve: bool) -> int:
        """Beyond what bounds need, work goes first to where its image is.

        Fetching can take as long as running, and the CPU idles meanwhile. Only
        within one urgency: less urgent work is never preferred for its image.
        """
        placed = 0
        for _, group in itertools.groupby(jobs, key=lambda job: job.spec.urgency_rank):
            mates = list(group)
            for local in (True, False):
                count, budget = self._place_all(mates, budget, reserve and not local, local)
                placed += count
        return placed

    def _fill_guarantees(self, ready: dict[str, list[Job]]) -> int:
        """A team's jobs that fit within its guarantee need not wait on other teams."""
        within = []
        for team in self.teams.values():
            if team.cpus <= 0 and team.gpus <= 0:
                continue
            room: Vector = (team.cpus or NO_LIMIT, team.gpus or NO_LIMIT, NO_LIMIT)
            for job in sorted(
                (
                    j
                    for j in self.jobs.values()
                    if j.spec.owner == team.name and not j.aborted and not j.is_blocked
                ),
                # The team's urgent work counts first: else its batch jobs take, as
                # guaranteed, the very room that was made for urgent ones.
                key=lambda j: (-j.spec.urgency_rank, j.eligible_at, j.name),
            ):
                left = job.startable_count + len(job.live)
                need: Vector = tuple(a * left for a in job.spec.resources)
                if not fits(need, room):
                    break
                room = minus(room, need)
                within.append(job)
        names = {j.name for jobs in ready.values() for j in jobs}
        chosen = [job for job in within if job.name in names]
        # Over all teams: an urgent job must not lose the first machine to another team's batch.
        chosen.sort(key=self.queues.order)
        self.making.guaranteed = True
        placed = self._fill_near_first(chosen, None, reserve=True)
        self.making.return_borrowed(chosen)
        self.making.guaranteed = False
        return placed

    def _fill_starving(
        self, ready: dict[str, list[Job]], demands: dict[str, Demand], capacity: Vector
    ) -> int:
        """Who has waited for long gets half of its fair share, whatever the urgency of others.

        Step 6's fairness is over the long term, but what goes before it may last: urgent
        work by the thousands, or narrow tasks that take each CPU before a whole machine is
        free. Long is by the time of the oldest job, which is durable, so that a change of
        leader forgets nothing. Nothing is stopped for it; room that frees up is kept.
        """
        wall = self.queues.clock.wall()
        oldest = {
            queue: min((j.eligible_at for j in jobs if j.startable_count), default=wall)
            for queue, jobs in ready.items()
        }
        late = [queue for queue, at in oldest.items() if wall - at > constants.STARVE_S]
        if not late:
            return 0
        placed, given = 0, ZERO
        most = tuple(constants.STARVE_MOST * a for a in capacity)
        fair = fair_shares(demands.values(), self.teams, capacity)
        elders = overdue(self.jobs.values(), wall, self.queues.slack)
        served = []
        for queue in sorted(late, key=oldest.__getitem__):
            half = whole_tasks(tuple(a / 2 for a in fair[queue]), demands[queue].task)
            held = dominant(self.held[queue], capacity)
            if held > constants.STARVE_BELOW * dominant(half, capacity):
                served.append(queue)
                continue
            given = plus(given, half)
            if not fits(given, most):
                break
            if elders[queue]:
                placed += self._fill_largest(elders[queue], half)
            left = minus(half, self.held[queue])
            placed += self._fill_near_first(ready[queue], left, False)
            self._keep_for_wide(ready[queue], minus(half, self.held[queue]))
        for queue in served:
            # Its own room, in another order: after those who lack theirs.
            if elders[queue]:
                placed += self._fill_largest(elders[queue], self.held[queue])
        return placed

    def _fill_largest(self, jobs: list[Job], room: Vector) -> int:
        """The longest-waiting of a queue's largest jobs until it is done, then the next.

        Together they hold no more than a part of the queue's room, one task at least. The part
        grows to all tasks of the first job as far as half of the room holds them: in two waves
        it takes twice as long, and the second leaves most of the part to nobody.
        """
        waiting = [job for job in jobs if self.gates.ready(job)]
        if not waiting:
            return 0
        first, spec = waiting[0], waiting[0].spec
        whole = tuple(a * (spec.tasks if spec.shape == "gang" else 1) for a in spec.resources)
        at_once = tuple(a * (first.startable_count + len(first.live)) for a in spec.resources)
        most = tuple(constants.LARGEST_MOST * a for a in room)
        share = tuple(constants.LARGEST_SHARE * a for a in room)
        part = tuple(map(max, share, map(min, at_once, most), whole))
        held = ZERO
        for job in jobs:
            held = plus(held, tuple(a * len(job.live) for a in job.spec.resources))
        left = minus(part, held)
        placed, left_over = self._place_all(waiting, left, False, True)
        more, left_over = self._place_all(waiting, left_over, False)
        if left_over is not None:
            self._keep_for_wide(waiting, left_over)
        return placed + more

    def _keep_for_wide(self, jobs: list[Job], left: Vector) -> None:
        """What of its part has found no machine keeps the machines that have room soonest."""
        wide = next((j for j in jobs if j.startable_count and fits(j.spec.resources, left)), None)
        if wide is not None:
            rooms = zip(left, wide.spec.resources, strict=True)
            count = min(int(a / want) for a, want in rooms if want > 0)
            self.making.drain(wide, count)

    def _place_first(self) -> int:
        """What a gate has a machine for, as far as the other gates let it start."""
        wanted, placed = self.gates.first(), 0
        slots = {slot.name: slot for slot in self.floor.slots} if wanted else {}
        for job, index, name in wanted:
            slot = slots.get(name)
            if (
                slot is not None
                and index in job.waiting
                and index not in self.floor.strange.get(job.name, ())
                and self.gates.ready(job)
                and self.gates.most(job, 1) > 0
                and slot.site in self.gates.sites(job, self.floor.zones)
                and fits(job.spec.resources, slot.free)
                and self.gates.opens(job, slot)
            ):
                occupy(slot, job.spec)
                self._place(job, index, slot)
                placed += 1
        return placed

    # -- what goes where --------------------------------------------------------------

    def _place_all(
        self,
        jobs: list[Job],
        budget: Vector | None,
        reserve: bool,
        local: bool = False,
    ) -> tuple[int, Vector | None]:
        """Place waiting tasks in order within a budget; how many, and what is left of it.

        `local`: only where the image is.
        """
        placed = 0
        for job in jobs:
            spec = job.spec
            if budget is not None and not fits(spec.resources, budget):
                continue
            if not local and self.patient and self.demands.stays(job):
                continue
            if spec.shape == "gang":
                # All at once, wherever there is room.
                count = 0 if local else self._place_gang(job, budget, reserve)
                if budget is not None and count:
                    budget = minus(budget, tuple(a * count for a in spec.resources))
            else:
                near = local and self.queues.homely(job)
                count, budget = self._place_tasks(job, budget, reserve, near)
            placed += count
        return placed, budget

    def _place_tasks(
        self, job: Job, budget: Vector | None, reserve: bool, near: bool
    ) -> tuple[int, Vector | None]:
        """Place a job's tasks one by one until something is short; as `_place_all`."""
        spec, placed = job.spec, 0
        picker: Picker | None = None
        skip = self.floor.strange.get(job.name, set())

        def opens(slot: Slot) -> bool:
            return self.gates.opens(job, slot)

        for _ in range(min(len(job.waiting), constants.ROUND_TASKS)):
            index = job.waiting.lowest(skip)
            if index is None:
                break  # all placed, or present somewhere without our doing: wait for that
            if budget is not None and not fits(spec.resources, budget):
                break
            if self.gates.refused(job, 1, self.making):
                break
            if picker is None:
                picker = self._picker(job, near)
            slot = picker.take(opens, self.gates.sites(job, self.floor.zones))
            if slot is None:
                if reserve:
                    self.making.reserve(job)
                break
            self._place(job, index, slot)
            placed += 1
            if budget is not None:
                budget = minus(budget, spec.resources)
        return placed, budget

    def _picker(self, job: Job, near: bool) -> Picker:
        """The machines for a job's tasks: the same ranking for all jobs that are alike."""
        spec, shunned = job.spec, self._shunned(job)
        if shunned or spec.oneZone or spec.spread:
            return Picker(spec, self.floor.slots, shunned, near)
        key = (spec.machine_constraints, spec.bundle, spec.pullGb, near)
        if key not in self._pickers:
            self._pickers[key] = Picker(spec, self.floor.slots, (), near)
        return self._pickers[key]

    def _shunned(self, job: Job) -> Iterable[str]:
        """Machines that it failed on a moment ago: they are taken last, not never.

        Where no other one fits, none is rented beside a machine that has room: it would wait
        there until whatever else runs on that one has ended.
        """
        if not 0 < len(job.failures_by_machine) <= constants.FAULTY_MACHINES:
            return ()
        known = filter(None, map(self.fleet.machines.get, job.failures_by_machine))
        return [m.name for m in known if self.now < m.failed_at + constants.SHUN_S]

    def _place_gang(self, job: Job, budget: Vector | None, reserve: bool) -> int:
        """Place all that is missing of a gang, or nothing (step 7: its grant covers all of it)."""
        spec, count = job.spec, len(job.waiting)
        if not job.startable_count:
            return 0  # placed by an earlier step of this round
        if job.live:
            # Part of it is over: the rest can't go on, and all start anew together.
            for attempt in job.live.values():
                attempt.kill_requested_at = attempt.kill_requested_at or self.now
            return 0
        need: Vector = tuple(a * count for a in spec.resources)
        if self.floor.strange.get(job.name):
            return 0
        if budget is not None and not fits(need, budget):
            return 0
        if self.gates.refused(job, count, self.making):
            return 0
        sites = self.gates.sites(job, self.floor.zones)
        found = choose_all(
            spec,
            count,
            [slot for slot in self.floor.slots if slot.site in sites],
            self.zones.held(job),
            self._shunned(job),
            lambda slot: self.gates.opens(job, slot),
        )
        if found is None:
            if reserve:
                self.making.reserve(job)
            return 0
        number = job.next_try_number()
        for index, slot in zip(list(job.waiting), found, strict=True):
            occupy(slot, spec)
            self._place(job, index, slot, number)
        return count

    def _place(self, job: Job, index: int, slot: Slot, number: int | None = None) -> None:
        """Put a task on a slot whose room it has taken."""
        attempt = job.place(index, slot.name, number)
        attempt.placed_at = self.now
        attempt.is_starvation_guarded = self.guarding
        if log.isEnabledFor(logging.DEBUG):
            what = about(self.fleet.token, job.name, slot.name, attempt.label)
            log.debug("%s to %s", attempt.label, slot.name, extra=what)
        self.fleet.hold(attempt)
        self.fleet.machines[slot.name].busy_at = self.now
        self.held[job.round_queue] = plus(self.held[job.round_queue], job.spec.resources)
        self.gates.took(job, slot.site)
