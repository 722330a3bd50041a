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
from chalkgrade.sharing.bopf import (
    QueueDemand,
    allocate,
    fair_shares,
    round_up_to_tasks,
    spare_capacity_order,
)
from chalkgrade.sharing.cluster_snapshot import ClusterSnapshot
from chalkgrade.sharing.constraints import (
    UNLIMITED,
    JobBackoff,
    SlotReservations,
    TeamLimits,
    ZoneConstraints,
)
from chalkgrade.sharing.demands import DemandCalculator
from chalkgrade.sharing.largest_jobs import overdue_largest_jobs
from chalkgrade.sharing.preemption import Preemptor
from chalkgrade.sharing.queues import Queues
from chalkgrade.vectors import ZERO, Vector, dominant, fits, minus, plus

log = logging.getLogger("chalkgrade.sharing")


class SchedulingRound:
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
        self.team_limits, self.zone_constraints, self.reservations = (
            TeamLimits(teams, queues),
            ZoneConstraints(fleet),
            SlotReservations(),
        )
        # A seat comes before the maximum: for work without one nobody is stopped.
        self.gates = Gates(
            [JobBackoff(), *gates, self.team_limits, self.zone_constraints, self.reservations]
        )
        self.queue_usage: dict[str, Vector] = defaultdict(lambda: ZERO)
        self.waits_for_images = True  # work may wait for machines that hold its image
        self._pickers: dict[object, Picker] = {}
        self.preempted_count = 0  # running tasks that were told to stop
        self.placing_starved = False  # placing for queues that starve

    def run(self) -> int:
        """Place what can be placed; how many attempts were decided."""
        ready: dict[str, list[Job]] = defaultdict(list)
        self.gates.begin(self.jobs.values(), self.now)
        for job in self.jobs.values():
            if job.live:
                taken = tuple(a * len(job.live) for a in job.spec.room)
                self.queue_usage[job.group] = plus(self.queue_usage[job.group], taken)
            if self.gates.ready(job):
                ready[job.group].append(job)
        if not ready:
            return 0
        self.lowest_urgency = min(job.spec.rank for jobs in ready.values() for job in jobs)
        rooms = {job.spec.room for jobs in ready.values() for job in jobs}
        least_cpus = min(room[0] for room in rooms)
        self.snapshot = ClusterSnapshot(self.fleet, self.flavors, self.queues, least_cpus, self.now)
        if not self.snapshot.slots and not self.snapshot.full_machines:
            return 0
        self.preemptor = Preemptor(
            self.snapshot,
            self.queues,
            self.gates,
            self.team_limits,
            self.reservations,
            rooms,
            self.preempt,
        )
        placed = self._place_ready_jobs(ready)
        self.preempted_count = self.preemptor.preempted_count
        return placed

    def _place_ready_jobs(self, ready: dict[str, list[Job]]) -> int:
        """Guaranteed work, then steps 4 to 7."""
        capacity = self.snapshot.capacity
        self.demand_calculator = DemandCalculator(
            self.queues,
            self.teams,
            self.snapshot,
            self.queue_usage,
            self.lowest_urgency,
            self.gates,
        )
        placed = self._place_preassigned()
        for jobs in ready.values():
            jobs.sort(key=self.queues.scheduling_key)
        placed += self._place_guaranteed(ready)
        demands = self.demand_calculator.by_queue(ready)
        self.placing_starved = True
        placed += self._place_starved(ready, demands, capacity)
        self.placing_starved = False
        first, rest = allocate(list(demands.values()), capacity)
        for _, group in itertools.groupby(first, key=lambda entry: demands[entry[0]].urgency):
            # What bounds need, shortest remaining first: in an overload, parts of all
            # bursts would end none of them in time. Anywhere, but first near its image.
            alike = list(group)
            for local in (True, False):
                for queue, grant in alike:
                    budget = minus(grant, self.queue_usage[queue])
                    placed += self._place_within_budget(ready[queue], budget, not local, local)[0]
        first_jobs = [job for queue, _ in first for job in ready[queue]]
        self.preemptor.preempt_checkpointed(
            sorted(first_jobs, key=self.queues.scheduling_key),
            self.demand_calculator.tasks_needed_now,
        )
        for queue, grant in rest:
            budget = minus(grant, self.queue_usage[queue])
            placed += self._place_preferring_local(ready[queue], budget, reserve=True)
        order = spare_capacity_order(
            demands.values(), lambda d: dominant(self.queue_usage[d.queue], capacity)
        )
        ranks = itertools.groupby(
            order, key=lambda q: (demands[q].is_best_effort, demands[q].urgency)
        )
        for (_, urgency), names in ranks:
            # Urgent work that is too late for its bounds would else never see two CPUs
            # of one machine free at once: the small tasks behind it take each of them.
            mates = [job for queue in names for job in ready[queue]]
            placed += self._place_preferring_local(
                mates, None, reserve=urgency > self.lowest_urgency
            )
        # What is left would idle: fetching images there takes nothing from anybody.
        self.waits_for_images = False
        for queue in order:
            placed += self._place_within_budget(ready[queue], None, False)[0]
        return placed

    def _place_preferring_local(self, jobs: list[Job], budget: Vector | None, reserve: bool) -> int:
        """Beyond what bounds need, work goes first to where its image is.

        Fetching can take as long as running, and the CPU idles meanwhile. Only
        within one urgency: less urgent work is never preferred for its image.
        """
        placed = 0
        for _, group in itertools.groupby(jobs, key=lambda job: job.spec.rank):
            mates = list(group)
            for local in (True, False):
                count, budget = self._place_within_budget(
                    mates, budget, reserve and not local, local
                )
                placed += count
        return placed

    def _place_guaranteed(self, ready: dict[str, list[Job]]) -> int:
        """A team's jobs that fit within its guarantee need not wait on other teams."""
        within = []
        for team in self.teams.values():
            if team.cpus <= 0 and team.gpus <= 0:
                continue
            room: Vector = (team.cpus or UNLIMITED, team.gpus or UNLIMITED, UNLIMITED)
            for job in sorted(
                (
                    j
                    for j in self.jobs.values()
                    if j.spec.owner == team.name and not j.aborted and not j.held
                ),
                # The team's urgent work counts first: else its batch jobs take, as
                # guaranteed, the very room that was made for urgent ones.
                key=lambda j: (-j.spec.rank, j.open_at, j.name),
            ):
                left = job.startable + len(job.live)
                need: Vector = tuple(a * left for a in job.spec.room)
                if not fits(need, room):
                    break
                room = minus(room, need)
                within.append(job)
        names = {j.name for jobs in ready.values() for j in jobs}
        chosen = [job for job in within if job.name in names]
        # Over all teams: an urgent job must not lose the first machine to another team's batch.
        chosen.sort(key=self.queues.scheduling_key)
        self.preemptor.within_guarantee = True
        placed = self._place_preferring_local(chosen, None, reserve=True)
        self.preemptor.reclaim_borrowed(chosen)
        self.preemptor.within_guarantee = False
        return placed

    def _place_starved(
        self, ready: dict[str, list[Job]], demands: dict[str, QueueDemand], capacity: Vector
    ) -> int:
        """Who has waited for long gets half of its fair share, whatever the urgency of others.

        Step 6's fairness is over the long term, but what goes before it may last: urgent
        work by the thousands, or narrow tasks that take each CPU before a whole machine is
        free. Long is by the time of the oldest job, which is durable, so that a change of
        leader forgets nothing. Nothing is stopped for it; room that frees up is kept.
        """
        wall = self.queues.clock.wall()
        oldest = {
            queue: min((j.open_at for j in jobs if j.startable), default=wall)
            for queue, jobs in ready.items()
        }
        late = [queue for queue, at in oldest.items() if wall - at > constants.STARVE_S]
        if not late:
            return 0
        placed, given = 0, ZERO
        most = tuple(constants.STARVE_MOST * a for a in capacity)
        fair = fair_shares(demands.values(), self.teams, capacity)
        elders = overdue_largest_jobs(self.jobs.values(), wall, self.queues.slack_s)
        served = []
        for queue in sorted(late, key=oldest.__getitem__):
            half = round_up_to_tasks(tuple(a / 2 for a in fair[queue]), demands[queue].task)
            held = dominant(self.queue_usage[queue], capacity)
            if held > constants.STARVE_BELOW * dominant(half, capacity):
                served.append(queue)
                continue
            given = plus(given, half)
            if not fits(given, most):
                break
            if elders[queue]:
                placed += self._place_largest_jobs(elders[queue], half)
            left = minus(half, self.queue_usage[queue])
            placed += self._place_preferring_local(ready[queue], left, False)
            self._reserve_for_wide_job(ready[queue], minus(half, self.queue_usage[queue]))
        for queue in served:
            # Its own room, in another order: after those who lack theirs.
            if elders[queue]:
                placed += self._place_largest_jobs(elders[queue], self.queue_usage[queue])
        return placed

    def _place_largest_jobs(self, jobs: list[Job], room: Vector) -> int:
        """The longest-waiting of a queue's largest jobs until it is done, then the next.

        Together they hold no more than a part of the queue's room, one task at least. The part
        grows to all tasks of the first job as far as half of the room holds them: in two waves
        it takes twice as long, and the second leaves most of the part to nobody.
        """
        waiting = [job for job in jobs if self.gates.ready(job)]
        if not waiting:
            return 0
        first, spec = waiting[0], waiting[0].spec
        whole = tuple(a * (spec.tasks if spec.shape == "gang" else 1) for a in spec.room)
        at_once = tuple(a * (first.startable + len(first.live)) for a in spec.room)
        most = tuple(constants.LARGEST_MOST * a for a in room)
        share = tuple(constants.LARGEST_SHARE * a for a in room)
        part = tuple(map(max, share, map(min, at_once, most), whole))
        held = ZERO
        for job in jobs:
            held = plus(held, tuple(a * len(job.live) for a in job.spec.room))
        left = minus(part, held)
        placed, left_over = self._place_within_budget(waiting, left, False, True)
        more, left_over = self._place_within_budget(waiting, left_over, False)
        if left_over is not None:
            self._reserve_for_wide_job(waiting, left_over)
        return placed + more

    def _reserve_for_wide_job(self, jobs: list[Job], left: Vector) -> None:
        """What of its part has found no machine keeps the machines that have room soonest."""
        wide = next((j for j in jobs if j.startable and fits(j.spec.room, left)), None)
        if wide is not None:
            rooms = zip(left, wide.spec.room, strict=True)
            count = min(int(a / want) for a, want in rooms if want > 0)
            self.preemptor.reserve_for_starved(wide, count)

    def _place_preassigned(self) -> int:
        """What a gate has a machine for, as far as the other gates let it start."""
        wanted, placed = self.gates.first(), 0
        slots = {slot.name: slot for slot in self.snapshot.slots} if wanted else {}
        for job, index, name in wanted:
            slot = slots.get(name)
            if (
                slot is not None
                and index in job.waiting
                and index not in self.snapshot.unknown_tasks.get(job.name, ())
                and self.gates.ready(job)
                and self.gates.most(job, 1) > 0
                and slot.site in self.gates.sites(job, self.snapshot.zones)
                and fits(job.spec.room, slot.free)
                and self.gates.opens(job, slot)
            ):
                occupy(slot, job.spec)
                self._start_attempt(job, index, slot)
                placed += 1
        return placed

    # -- what goes where --------------------------------------------------------------

    def _place_within_budget(
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
            if budget is not None and not fits(spec.room, budget):
                continue
            if (
                not local
                and self.waits_for_images
                and self.demand_calculator.waits_for_local_image(job)
            ):
                continue
            if spec.shape == "gang":
                # All at once, wherever there is room.
                count = 0 if local else self._place_gang(job, budget, reserve)
                if budget is not None and count:
                    budget = minus(budget, tuple(a * count for a in spec.room))
            else:
                near = local and self.queues.prefers_local_image(job)
                count, budget = self._place_tasks(job, budget, reserve, near)
            placed += count
        return placed, budget

    def _place_tasks(
        self, job: Job, budget: Vector | None, reserve: bool, near: bool
    ) -> tuple[int, Vector | None]:
        """Place a job's tasks one by one until something is short; as `_place_all`."""
        spec, placed = job.spec, 0
        picker: Picker | None = None
        skip = self.snapshot.unknown_tasks.get(job.name, set())

        def opens(slot: Slot) -> bool:
            return self.gates.opens(job, slot)

        for _ in range(min(len(job.waiting), constants.ROUND_TASKS)):
            index = job.waiting.first(skip)
            if index is None:
                break  # all placed, or present somewhere without our doing: wait for that
            if budget is not None and not fits(spec.room, budget):
                break
            if self.gates.refused(job, 1, self.preemptor):
                break
            if picker is None:
                picker = self._picker(job, near)
            slot = picker.take(opens, self.gates.sites(job, self.snapshot.zones))
            if slot is None:
                if reserve:
                    self.preemptor.reserve_or_preempt(job)
                break
            self._start_attempt(job, index, slot)
            placed += 1
            if budget is not None:
                budget = minus(budget, spec.room)
        return placed, budget

    def _picker(self, job: Job, near: bool) -> Picker:
        """The machines for a job's tasks: the same ranking for all jobs that are alike."""
        spec, shunned = job.spec, self._machines_to_avoid(job)
        if shunned or spec.oneZone or spec.spread:
            return Picker(spec, self.snapshot.slots, shunned, near)
        key = (spec.suits, spec.bundle, spec.pullGb, near)
        if key not in self._pickers:
            self._pickers[key] = Picker(spec, self.snapshot.slots, (), near)
        return self._pickers[key]

    def _machines_to_avoid(self, job: Job) -> Iterable[str]:
        """Machines that it failed on a moment ago: they are taken last, not never.

        Where no other one fits, none is rented beside a machine that has room: it would wait
        there until whatever else runs on that one has ended.
        """
        if not 0 < len(job.failed_on) <= constants.FAULTY_MACHINES:
            return ()
        known = filter(None, map(self.fleet.machines.get, job.failed_on))
        return [m.name for m in known if self.now < m.failed_at + constants.SHUN_S]

    def _place_gang(self, job: Job, budget: Vector | None, reserve: bool) -> int:
        """Place all that is missing of a gang, or nothing (step 7: its grant covers all of it)."""
        spec, count = job.spec, len(job.waiting)
        if not job.startable:
            return 0  # placed by an earlier step of this round
        if job.live:
            # Part of it is over: the rest can't go on, and all start anew together.
            for attempt in job.live.values():
                attempt.kill_at = attempt.kill_at or self.now
            return 0
        need: Vector = tuple(a * count for a in spec.room)
        if self.snapshot.unknown_tasks.get(job.name):
            return 0
        if budget is not None and not fits(need, budget):
            return 0
        if self.gates.refused(job, count, self.preemptor):
            return 0
        sites = self.gates.sites(job, self.snapshot.zones)
        found = choose_all(
            spec,
            count,
            [slot for slot in self.snapshot.slots if slot.site in sites],
            self.zone_constraints.tasks_by_zone(job),
            self._machines_to_avoid(job),
            lambda slot: self.gates.opens(job, slot),
        )
        if found is None:
            if reserve:
                self.preemptor.reserve_or_preempt(job)
            return 0
        number = job.next_try()
        for index, slot in zip(list(job.waiting), found, strict=True):
            occupy(slot, spec)
            self._start_attempt(job, index, slot, number)
        return count

    def _start_attempt(self, job: Job, index: int, slot: Slot, number: int | None = None) -> None:
        """Put a task on a slot whose room it has taken."""
        attempt = job.place(index, slot.name, number)
        attempt.decided = self.now
        attempt.guarded = self.placing_starved
        if log.isEnabledFor(logging.DEBUG):
            what = about(self.fleet.token, job.name, slot.name, attempt.label)
            log.debug("%s to %s", attempt.label, slot.name, extra=what)
        self.fleet.hold(attempt)
        self.fleet.machines[slot.name].busy_at = self.now
        self.queue_usage[job.group] = plus(self.queue_usage[job.group], job.spec.room)
        self.gates.took(job, slot.site)
