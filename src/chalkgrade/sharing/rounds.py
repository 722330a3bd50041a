"""One scheduling round: steps 4 to 7 of BoPF on the machines that report.

Everything is computed from the current jobs and fleet, and the decisions are stored in both. A
round performs no input or output.
"""

import itertools
import logging
from collections import defaultdict
from collections.abc import Iterable, Sequence

from chalkgrade import constants
from chalkgrade.extensions.constraints import ConstraintSet, StartConstraint
from chalkgrade.logs import decision_fields
from chalkgrade.machines.flavors import Flavor
from chalkgrade.machines.fleet import Fleet
from chalkgrade.machines.message_size import machine_demand
from chalkgrade.machines.placement import Slot, SlotPicker, choose_gang_slots, occupy_slot
from chalkgrade.outside import Clock
from chalkgrade.record.jobs import Job
from chalkgrade.settings import Team
from chalkgrade.sharing.bopf import (
    allocate,
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
from chalkgrade.sharing.isolation import JobIsolation
from chalkgrade.sharing.preemption import Preemptor
from chalkgrade.sharing.queues import Queues
from chalkgrade.sharing.starvation import StarvationGuard
from chalkgrade.vectors import ZERO, Vector, dominant_share, fits, minus, plus

log = logging.getLogger("chalkgrade.sharing")


class SchedulingRound:
    """Places the waiting tasks that can be placed now.

    `constraints` are the start constraints of other subsystems, and `preempt` says whether the
    round may stop running tasks. `isolation` is told which job is being handled.
    """

    def __init__(
        self,
        jobs: dict[str, Job],
        fleet: Fleet,
        teams: dict[str, Team],
        flavors: dict[str, Flavor],
        queues: Queues,
        clock: Clock,
        preempt: bool = True,
        constraints: Sequence[StartConstraint] = (),
        isolation: JobIsolation | None = None,
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
        # Constraints of other subsystems, such as licence seats, precede the team limits, so that
        # nothing is preempted for work that would then lack a seat.
        self.constraints = ConstraintSet(
            [JobBackoff(), *constraints, self.team_limits, self.zone_constraints, self.reservations]
        )
        self.isolation = isolation or JobIsolation(clock)
        self.queue_usage: dict[str, Vector] = defaultdict(lambda: ZERO)
        self.waits_for_images = True  # jobs may wait for machines that hold their image
        self._pickers: dict[object, SlotPicker] = {}
        self.preempted_count = 0  # running attempts that were told to stop
        self.placing_starved = False  # placing tasks for starved queues; protects the attempts

    def run(self) -> int:
        """Place what can be placed; return the number of new attempts."""
        ready: dict[str, list[Job]] = defaultdict(list)
        self.constraints.begin_round(self.jobs.values(), self.now)
        for job in self.isolation.each(self.jobs.values()):
            if job.live:
                job_usage = tuple(a * len(job.live) for a in job.spec.resources)
                self.queue_usage[job.round_queue] = plus(
                    self.queue_usage[job.round_queue], job_usage
                )
            if self.constraints.is_ready(job):
                ready[job.round_queue].append(job)
        if not ready:
            return 0
        self.lowest_urgency = min(job.spec.urgency_rank for jobs in ready.values() for job in jobs)
        rooms = {job.spec.resources for jobs in ready.values() for job in jobs}
        min_task_cpus = min(room[0] for room in rooms)
        self.snapshot = ClusterSnapshot(
            self.fleet, self.flavors, self.queues, min_task_cpus, self.now
        )
        if not self.snapshot.slots and not self.snapshot.full_machines:
            return 0
        self.preemptor = Preemptor(
            self.snapshot,
            self.queues,
            self.constraints,
            self.team_limits,
            self.reservations,
            rooms,
            self.preempt,
            self.isolation,
        )
        placed = self._place_ready_jobs(ready)
        self.preempted_count = self.preemptor.preempted_count
        return placed

    def _place_ready_jobs(self, ready: dict[str, list[Job]]) -> int:
        """Place guaranteed work, then what steps 4 to 7 grant; return the number of attempts."""
        capacity = self.snapshot.capacity
        self.demand_calculator = DemandCalculator(
            self.queues,
            self.teams,
            self.snapshot,
            self.queue_usage,
            self.lowest_urgency,
            self.constraints,
            self.isolation,
        )
        placed = self._place_preassigned()
        for queue, jobs in ready.items():
            ready[queue] = self.isolation.sort(jobs, self.queues.scheduling_key)
        placed += self._place_guaranteed(ready)
        demands = self.demand_calculator.by_queue(ready)
        self.placing_starved = True
        starvation = StarvationGuard(
            self, self.queues, self.teams, self.constraints, self.preemptor, self.isolation
        )
        placed += starvation.place_starved(ready, demands, self.jobs.values(), capacity)
        self.placing_starved = False
        needed_grants, other_grants = allocate(list(demands.values()), capacity)
        for _, group in itertools.groupby(
            needed_grants, key=lambda entry: demands[entry[0]].urgency
        ):
            # What completion bounds need, shortest remaining first: in an overload, serving parts
            # of all bursts would complete none in time. Machines with the image come first.
            same_urgency = list(group)
            for local in (True, False):
                for queue, grant in same_urgency:
                    budget = minus(grant, self.queue_usage[queue])
                    placed += self.place_within_budget(ready[queue], budget, not local, local)[0]
        needed_jobs = [job for queue, _ in needed_grants for job in ready[queue]]
        self.preemptor.preempt_checkpointed(
            self.isolation.sort(needed_jobs, self.queues.scheduling_key),
            self.demand_calculator.tasks_needed_now,
        )
        for queue, grant in other_grants:
            budget = minus(grant, self.queue_usage[queue])
            placed += self.place_preferring_local(ready[queue], budget, reserve=True)
        order = spare_capacity_order(
            demands.values(), lambda d: dominant_share(self.queue_usage[d.queue], capacity)
        )
        ranks = itertools.groupby(
            order, key=lambda q: (demands[q].is_best_effort, demands[q].urgency)
        )
        for (_, urgency), names in ranks:
            # Machines are reserved above the lowest urgency. Otherwise urgent work that has missed
            # its bounds would never find two free CPUs on one machine, because the small tasks
            # after it take each of them.
            same_urgency_jobs = [job for queue in names for job in ready[queue]]
            placed += self.place_preferring_local(
                same_urgency_jobs, None, reserve=urgency > self.lowest_urgency
            )
        # The remaining resources would idle, so that fetching images there delays no other job.
        self.waits_for_images = False
        for queue in order:
            placed += self.place_within_budget(ready[queue], None, False)[0]
        return placed

    def place_preferring_local(self, jobs: list[Job], budget: Vector | None, reserve: bool) -> int:
        """Place jobs, first on machines that hold their images; return the number of attempts.

        A fetch can take as long as a run, and the CPU idles meanwhile. The preference applies
        within one urgency only: less urgent work never goes first because of its image.
        """
        placed = 0
        for _, group in itertools.groupby(jobs, key=lambda job: job.spec.urgency_rank):
            same_urgency_jobs = list(group)
            for local in (True, False):
                count, budget = self.place_within_budget(
                    same_urgency_jobs, budget, reserve and not local, local
                )
                placed += count
        return placed

    def _place_guaranteed(self, ready: dict[str, list[Job]]) -> int:
        """Place jobs that fit within their team's guarantee, without regard to other teams."""
        within = []
        for team in self.teams.values():
            if team.cpus <= 0 and team.gpus <= 0:
                continue
            room: Vector = (team.cpus or UNLIMITED, team.gpus or UNLIMITED, UNLIMITED)
            for job in sorted(
                (
                    j
                    for j in self.jobs.values()
                    if j.spec.owner == team.name and not j.aborted and not j.is_blocked
                ),
                # The team's urgent work counts first. Otherwise its batch jobs take, as
                # guaranteed work, the resources that were freed for its urgent jobs.
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
        # Sort across teams, so that an urgent job does not lose a machine to another team's batch
        # job.
        chosen = self.isolation.sort(chosen, self.queues.scheduling_key)
        self.preemptor.within_guarantee = True
        placed = self.place_preferring_local(chosen, None, reserve=True)
        self.preemptor.reclaim_borrowed(chosen)
        self.preemptor.within_guarantee = False
        return placed

    def _place_preassigned(self) -> int:
        """Place tasks for which a constraint chose a machine, if the other constraints allow it."""
        wanted, placed = self.constraints.priority_starts(), 0
        slots = {slot.name: slot for slot in self.snapshot.slots} if wanted else {}
        for job, index, name in wanted:
            slot = slots.get(name)
            if (
                slot is not None
                and index in job.waiting
                and index not in self.snapshot.unknown_tasks.get(job.name, ())
                and self.constraints.is_ready(job)
                and self.constraints.max_starts(job, 1) > 0
                and slot.site in self.constraints.allowed_zones(job, self.snapshot.zones)
                and fits(machine_demand(job.spec), slot.free)
                and self.constraints.allows_slot(job, slot)
            ):
                occupy_slot(slot, job.spec)
                self._start_attempt(job, index, slot)
                placed += 1
        return placed

    # -- placement --------------------------------------------------------------------

    def place_within_budget(
        self,
        jobs: list[Job],
        budget: Vector | None,
        reserve: bool,
        local: bool = False,
    ) -> tuple[int, Vector | None]:
        """Place waiting tasks in order within a budget; return their number and the rest of it.

        `reserve`: reserve machines, or preempt, for tasks that found no machine. `local`: jobs
        that prefer it are placed only on machines that hold their image.
        """
        placed = 0
        for job in self.isolation.each(jobs):
            spec = job.spec
            if budget is not None and not fits(spec.resources, budget):
                continue
            if (
                not local
                and self.waits_for_images
                and self.demand_calculator.waits_for_local_image(job)
            ):
                continue
            if spec.shape == "gang":
                # All tasks at once, wherever there is room.
                count = 0 if local else self._place_gang(job, budget, reserve)
                if budget is not None and count:
                    budget = minus(budget, tuple(a * count for a in spec.resources))
            else:
                prefer_local = local and self.queues.prefers_local_image(job)
                count, budget = self._place_tasks(job, budget, reserve, prefer_local)
            placed += count
        return placed, budget

    def _place_tasks(
        self, job: Job, budget: Vector | None, reserve: bool, prefer_local: bool
    ) -> tuple[int, Vector | None]:
        """Place a job's tasks one by one until a resource is short, as `place_within_budget`."""
        spec, placed = job.spec, 0
        picker: SlotPicker | None = None
        skip = self.snapshot.unknown_tasks.get(job.name, set())

        def opens(slot: Slot) -> bool:
            return self.constraints.allows_slot(job, slot)

        for _ in range(min(len(job.waiting), constants.MAX_TASKS_PER_JOB_AND_ROUND)):
            index = job.waiting.lowest(skip)
            if index is None:
                break  # all placed, or machines report them already: wait until that is resolved
            if budget is not None and not fits(spec.resources, budget):
                break
            if self.constraints.refuses_starts(job, 1, self.preemptor):
                break
            if picker is None:
                picker = self._picker(job, prefer_local)
            slot = picker.take_best(opens, self.constraints.allowed_zones(job, self.snapshot.zones))
            if slot is None:
                if reserve:
                    self.preemptor.reserve_or_preempt(job)
                break
            self._start_attempt(job, index, slot)
            placed += 1
            if budget is not None:
                budget = minus(budget, spec.resources)
        return placed, budget

    def _picker(self, job: Job, prefer_local: bool) -> SlotPicker:
        """Return the ranked machines for a job's tasks, shared by jobs with equal requirements."""
        spec, shunned = job.spec, self._machines_to_avoid(job)
        if shunned or spec.oneZone or spec.spread:
            return SlotPicker(spec, self.snapshot.slots, shunned, prefer_local)
        key = (spec.machine_constraints, spec.bundle, spec.pullGb, prefer_local)
        if key not in self._pickers:
            self._pickers[key] = SlotPicker(spec, self.snapshot.slots, (), prefer_local)
        return self._pickers[key]

    def _machines_to_avoid(self, job: Job) -> Iterable[str]:
        """Return machines on which a job failed recently: they are used last, but not excluded.

        If no other machine fits, none is rented while one of these has room, so that an excluded
        job would wait until everything else that runs on that machine has ended.
        """
        if not 0 < len(job.failures_by_machine) <= constants.MAX_FAILED_MACHINES_PER_JOB:
            return ()
        known = filter(None, map(self.fleet.machines.get, job.failures_by_machine))
        return [
            m.name for m in known if self.now < m.failed_at + constants.FAILED_MACHINE_AVOIDANCE_S
        ]

    def _place_gang(self, job: Job, budget: Vector | None, reserve: bool) -> int:
        """Place all tasks of a gang or none (step 7: its grant covers all of it)."""
        spec, count = job.spec, len(job.waiting)
        if not job.startable_count:
            return 0  # placed by an earlier step of this round
        if job.live:
            # Some of its tasks ended: the rest cannot continue, and all start again together.
            for attempt in job.live.values():
                attempt.kill_requested_at = attempt.kill_requested_at or self.now
            return 0
        need: Vector = tuple(a * count for a in spec.resources)
        if self.snapshot.unknown_tasks.get(job.name):
            return 0
        if budget is not None and not fits(need, budget):
            return 0
        if self.constraints.refuses_starts(job, count, self.preemptor):
            return 0
        sites = self.constraints.allowed_zones(job, self.snapshot.zones)
        found = choose_gang_slots(
            spec,
            count,
            [slot for slot in self.snapshot.slots if slot.site in sites],
            self.zone_constraints.tasks_by_zone(job),
            self._machines_to_avoid(job),
            lambda slot: self.constraints.allows_slot(job, slot),
        )
        if found is None:
            if reserve:
                self.preemptor.reserve_or_preempt(job)
            return 0
        number = job.next_try_number()
        for index, slot in zip(list(job.waiting), found, strict=True):
            occupy_slot(slot, spec)
            self._start_attempt(job, index, slot, number)
        return count

    def _start_attempt(self, job: Job, index: int, slot: Slot, number: int | None = None) -> None:
        """Create an attempt for a task on a slot; the caller has occupied the slot for it."""
        attempt = job.place(index, slot.name, number)
        attempt.placed_at = self.now
        self.fleet.attach_attempt(attempt)  # first: an attempt on record needs its machine
        attempt.is_starvation_guarded = self.placing_starved
        if log.isEnabledFor(logging.DEBUG):
            what = decision_fields(self.fleet.token, job.name, slot.name, attempt.label)
            log.debug("attempt placed: %s on %s", attempt.label, slot.name, extra=what)
        self.fleet.machines[slot.name].busy_at = self.now
        self.queue_usage[job.round_queue] = plus(
            self.queue_usage[job.round_queue], job.spec.resources
        )
        self.constraints.on_placed(job, slot.site)
