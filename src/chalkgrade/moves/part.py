"""Carries out plans of moves: a stored desired state and the loop that works towards it.

A plan is durable before any task is stopped for it. Where a task is follows from the record of
attempts alone, so that a new leader continues where the previous one stopped: a task that is
still at its source is stopped there, a task that has stopped is started at its target, and a
move whose task runs anywhere else is complete.
"""

import asyncio
import heapq
import logging
from collections.abc import Callable, Iterable

import msgspec

from chalkgrade import constants
from chalkgrade.extensions.components import Component, Sample, gauge, labelled_sample
from chalkgrade.extensions.constraints import StartConstraint
from chalkgrade.logs import decision_fields
from chalkgrade.machines.flavors import SPOT_OPTIONS, Pool, tasks_per_machine
from chalkgrade.machines.fleet import Machine
from chalkgrade.machines.message_size import machine_demand
from chalkgrade.machines.placement import Slot, may_use_machine, room_wait_s
from chalkgrade.moves.planner import MachineState, MovableTask, PlacementProblem, Plan, find_plans
from chalkgrade.moves.settings import MoveSettings
from chalkgrade.outside import TokenBucket
from chalkgrade.record.changes import PersistedValue
from chalkgrade.record.jobs import Attempt, Job
from chalkgrade.renting.renter import Renter
from chalkgrade.renting.subsystem_context import SubsystemContext
from chalkgrade.sharing.cluster_snapshot import ClusterSnapshot
from chalkgrade.sharing.constraints import TeamLimits
from chalkgrade.sharing.term_context import TermContext
from chalkgrade.vectors import Vector, fits, minus

log = logging.getLogger("chalkgrade.moves")

MOVES_KEY = "cg/moves"
REASON_MOVE = "waiting for a move"


class MoveRecord(msgspec.Struct):
    """The move of one task.

    `home_until` is set once the task has stopped: the wall time (s) until which its room at
    the target is reserved.
    """

    job: str
    index: int
    number: int  # of the attempt that is moved
    source: str  # machine
    target: str  # machine
    home_until: float = 0.0


class PlanRecord(msgspec.Struct):
    """A plan that frees a host for one task of a large job; it expires at a wall time."""

    job: str
    host: str
    until: float  # wall time, s
    moves: list[MoveRecord]


class MovesValue(msgspec.Struct):
    """The value of the key cg/moves: open plans, and stopped tasks of closed plans."""

    plans: list[PlanRecord] = []
    homes: list[MoveRecord] = []  # tasks of closed plans that may start at their targets


class MoveConstraint(StartConstraint):
    """Reserves the freed room for the large job, and room at targets for the moved tasks."""

    def __init__(self, part: "Moves") -> None:
        self._part = part
        self.reserved_resources: dict[str, list[tuple[str, Vector]]] = {}

    def begin_round(self, jobs: Iterable[Job], now: float) -> None:
        """Collects the reservations of open plans and pending moves."""
        self.reserved_resources = {}
        registered = self._part.registry.jobs
        for plan in self._part.value.plans:
            job = registered.get(plan.job)
            if job is not None:
                self.reserved_resources.setdefault(plan.host, []).append(
                    (job.name, machine_demand(job.spec))
                )
        for move in self._part.pending_moves():
            room = machine_demand(registered[move.job].spec)
            self.reserved_resources.setdefault(move.target, []).append((move.job, room))

    def unreserved_resources(self, job: Job, slot: Slot) -> Vector:
        """Returns the free resources of a machine less those reserved on it for other jobs."""
        free = slot.free
        for owner, room in self.reserved_resources.get(slot.name, ()):
            if owner != job.name:
                free = minus(free, room)
        return free

    def allows_slot(self, job: Job, slot: Slot) -> bool:
        """Allows a slot if the job fits besides what is reserved there for others."""
        return slot.name not in self.reserved_resources or fits(
            machine_demand(job.spec), self.unreserved_resources(job, slot)
        )

    def priority_starts(self) -> Iterable[tuple[Job, int, str]]:
        """Yields the stopped tasks, which start at their targets before other tasks are placed."""
        for move in self._part.pending_moves():
            if move.home_until:
                yield self._part.registry.jobs[move.job], move.index, move.target

    def refusal_reason(self, job: Job) -> str:
        """Names the reason of a job that has an open plan."""
        return REASON_MOVE if any(plan.job == job.name for plan in self._part.value.plans) else ""


class Moves(Component):
    """Plans and carries out moves within one term."""

    planner = staticmethod(find_plans)  # replaceable, so that experiments can record the plans

    def __init__(
        self,
        term_context: TermContext,
        settings: MoveSettings,
        renter: Renter,
        max_demand: Callable[[Job, int], int],
        holds_scarce_resource: Callable[[Job], bool],
    ) -> None:
        self.term_context = term_context
        self.settings = settings
        self.renter = renter
        self.max_demand = max_demand
        self.holds_scarce_resource = holds_scarce_resource
        self.clock = term_context.context.clock
        self.registry = term_context.registry
        self.fleet = term_context.fleet
        self.value = MovesValue()
        self.persisted_value = PersistedValue(MOVES_KEY, self._load, lambda: self.value)
        self.persisted_values = [self.persisted_value]
        self.constraint = MoveConstraint(self)
        self.start_constraints = [self.constraint]
        self.decision_loops = [self.run]
        self.moved_at: dict[
            tuple[str, int], float
        ] = {}  # (job, index) -> wall time of the last move
        rate = settings.per_minute / 60
        self.budget = TokenBucket(self.clock, rate, settings.per_minute)
        self.planned_at: dict[
            object, float
        ] = {}  # constraints and urgency -> time of the last search
        self.plan_outcomes: dict[str, int] = {}  # closed plans by outcome
        self.stops_by_cause: dict[str, int] = {}

    def _load(self, raw: bytes) -> None:
        self.value = msgspec.json.decode(raw, type=MovesValue)

    # -- open plans -------------------------------------------------------------------

    def _open_moves(self) -> list[MoveRecord]:
        return [*(move for plan in self.value.plans for move in plan.moves), *self.value.homes]

    def pending_moves(self) -> list[MoveRecord]:
        """Returns moves whose task is still at its source or waits to start at its target."""
        out = []
        for move in self._open_moves():
            job = self.registry.jobs.get(move.job)
            if job is None or job.aborted or job.aborting:
                continue
            attempt = job.live.get(move.index)
            if move.index in job.waiting or (attempt and attempt.number == move.number):
                out.append(move)
        return out

    def on_ended(self, machine: Machine | None, attempt: Attempt, cause: str) -> None:
        """Records the end of an attempt that is to be moved, and reserves room at its target."""
        for move in self._open_moves():
            if (move.job, move.index, move.number) == (
                attempt.job.name,
                attempt.index,
                attempt.number,
            ):
                self.stops_by_cause[cause or "lost"] = (
                    self.stops_by_cause.get(cause or "lost", 0) + 1
                )
                move.home_until = self.clock.wall() + constants.MOVE_TARGET_RESERVATION_S
                self.persisted_value.mark_changed()

    async def run(self) -> None:
        """Advances the open plans and searches new ones, every MOVE_EVERY_S, until cancelled."""
        while True:
            await asyncio.sleep(constants.MOVE_SEARCH_INTERVAL_S)
            if self.term_context.is_serving():
                self._advance()
                if len(self.value.plans) < constants.MAX_CONCURRENT_MOVE_PLANS:
                    self.term_context.isolation.run(self._plan_next_job)
                if self.persisted_value.is_dirty:
                    self.registry.flush_wanted.set()

    def _advance(self) -> None:
        """Closes plans that have an outcome; of open plans, stops tasks still at their source."""
        wall = self.clock.wall()
        for plan in list(self.value.plans):
            outcome = self._outcome(plan, wall)
            if outcome:
                self._close(plan, outcome)
            elif (
                not self.persisted_value.is_dirty
            ):  # a plan is durable before a task is stopped for it
                for move in plan.moves:
                    attempt = self._attempt_at_source(move)
                    if attempt is not None and attempt.kill_requested_at is None:
                        attempt.kill_requested_at = self.clock.now()
                        fields = decision_fields(
                            self.fleet.token, move.job, move.source, attempt.label
                        )
                        log.info("move started: %s to %s", attempt.label, move.target, extra=fields)
        homes = [m for m in self.pending_moves() if m in self.value.homes and m.home_until > wall]
        if homes != self.value.homes:
            self.value.homes = homes
            self.persisted_value.mark_changed()

    def _attempt_at_source(self, move: MoveRecord) -> Attempt | None:
        """Returns the attempt that is to be moved if it is still at its source."""
        job = self.registry.jobs.get(move.job)
        attempt = job.live.get(move.index) if job is not None else None
        return attempt if attempt is not None and attempt.number == move.number else None

    def _outcome(self, plan: PlanRecord, wall: float) -> str:
        """Returns the outcome of a plan, or an empty string while it is open."""
        job = self.registry.jobs.get(plan.job)
        if job is None or job.aborted or job.aborting:
            return "not needed"
        if any(attempt.machine == plan.host for attempt in job.live.values()):
            return "done"
        if not len(job.waiting):
            return "started elsewhere"
        if wall > plan.until:
            return "late"
        names = [
            plan.host,
            *(m.target for m in plan.moves if self._attempt_at_source(m) is not None),
        ]
        for name in names:
            machine = self.fleet.machines.get(name)
            if machine is None or not self.fleet.is_in_service(machine):
                return "machine lost"
        return ""

    def _close(self, plan: PlanRecord, outcome: str) -> None:
        """Closes a plan. Tasks that were stopped still go to their targets, the others stay."""
        self.plan_outcomes[outcome] = self.plan_outcomes.get(outcome, 0) + 1
        log.info(
            "plan closed: for %s on %s: %s",
            plan.job,
            plan.host,
            outcome,
            extra=decision_fields(self.fleet.token, plan.job, plan.host),
        )
        self.value.plans.remove(plan)
        until = self.clock.wall() + constants.MOVE_TARGET_RESERVATION_S
        for move in plan.moves:
            attempt = self._attempt_at_source(move)
            if attempt is not None and not attempt.kill_sent:
                if not (attempt.job.aborted or attempt.job.aborting):
                    attempt.kill_requested_at = None  # the stop was not sent yet
                continue
            move.home_until = move.home_until or (until if attempt is None else 0.0)
            if attempt is None or attempt.kill_sent:
                self.value.homes.append(move)
        self.persisted_value.mark_changed()

    # -- planning ---------------------------------------------------------------

    def _plan_next_job(self) -> None:
        """Searches a plan for the first waiting job whose last search is long enough ago."""
        isolation = self.term_context.isolation
        candidates = filter(
            self._is_candidate,
            isolation.each(filter(isolation.is_ready, self.registry.jobs.values())),
        )
        jobs = isolation.sort(candidates, self.term_context.queues.scheduling_key)
        if not jobs:
            return
        # A job that fits some machine needs no plan: it only waits for its turn.
        now = self.clock.now()
        min_vcpus = min(job.spec.vcpus for job in jobs)
        snapshot = ClusterSnapshot(
            self.fleet, self.term_context.flavors, self.term_context.queues, min_vcpus, now
        )
        slots = snapshot.all_slots()
        for job in isolation.each(jobs):
            # One search per call, and for each shape of work only once per MOVE_RETRY_S: a search
            # costs more than a scheduling round, and one that found no plan would find none
            # a moment later either.
            key = (job.spec.machine_constraints, job.spec.urgency_rank)
            if now - self.planned_at.get(key, -1e9) >= constants.MOVE_SEARCH_RETRY_INTERVAL_S:
                self.planned_at[key] = now
                self._plan_for_job(job, slots, jobs)
                return

    def _is_candidate(self, job: Job) -> bool:
        """Tells whether a job may get a plan: it waits long enough and may start a task."""
        spec = job.spec
        if job.aborted or job.aborting or job.is_faulty or not job.startable_count:
            return False
        if (
            self.clock.wall() - job.eligible_at < constants.MIN_MOVE_WAIT_S
            or spec.owner in self.settings.optout
        ):
            return False
        if any(plan.job == job.name for plan in self.value.plans):
            return False
        return self.max_demand(job, 1) > 0

    def _plan_for_job(self, job: Job, slots: list[Slot], jobs: list[Job]) -> None:
        """Searches a plan for one task, or for all of a gang, and adopts it if it pays off."""
        spec, demand = job.spec, machine_demand(job.spec)
        suitable = [s for s in slots if self._can_host(job, s)]
        if not suitable or any(fits(demand, slot.free) for slot in suitable):
            return
        count = len(job.waiting) if spec.shape == "gang" else 1
        teams = self.term_context.context.settings.cluster.teams
        team_limits = TeamLimits({team.name: team for team in teams}, self.term_context.queues)
        team_limits.begin_round(self.registry.jobs.values(), self.clock.now())
        if not team_limits.is_ready(job) or team_limits.max_starts(job, count) < count:
            return
        # Room is preserved only for work of at least the same urgency.
        competitors = (j.spec for j in jobs if j.spec.urgency_rank >= spec.urgency_rank)
        other_resources = {
            machine_demand(competitor)
            for competitor in competitors
            if competitor.resources != spec.resources
        }
        pools = frozenset((s.hosttype, s.site, s.standby) for s in suitable)
        # Movable tasks are determined only on a few hosts, those with most free CPUs.
        hosts = heapq.nlargest(
            constants.MAX_MOVE_CANDIDATE_HOSTS, suitable, key=lambda s: (s.free[0], s.name)
        )
        names = {slot.name for slot in hosts}
        places = tuple(self._machine_state(job, slot, slot.name in names) for slot in slots)
        plans = self.planner(
            PlacementProblem(demand, pools, places, tuple(sorted(other_resources))), count
        )
        if not plans:
            return
        duration_s = max(self._plan_duration_s(plan) for plan in plans)
        wait_s = min(min(room_wait_s(spec, slot) for slot in suitable), self._rental_wait_s(job))
        cost, tasks = sum(plan.cost for plan in plans), sum(len(plan.moves) for plan in plans)
        gain = (min(wait_s, constants.MAX_MOVE_GAIN_S) - duration_s) * spec.vcpus * count
        if (
            duration_s * self.settings.margin < wait_s
            and cost <= gain
            and self.budget.try_acquire(tasks)
        ):
            for plan in plans:
                self._adopt(job, plan, duration_s, wait_s)

    def _can_host(self, job: Job, slot: Slot) -> bool:
        spec = job.spec
        pool = (slot.hosttype, slot.site, slot.standby)
        return may_use_machine(spec, *pool) and fits(machine_demand(spec), slot.total)

    def _rental_wait_s(self, job: Job) -> float:
        """Returns the time until a machine that boots could run the job; infinite without one.

        Machines that are worth their price are requested shortly after the job is submitted,
        so that only machines that are already booting count.
        """
        now, best = self.clock.now(), float("inf")
        for machine in self.fleet.machines.values():
            flavor = self.term_context.flavors.get(machine.hosttype)
            if machine.reported_at is not None or machine.releasing or flavor is None:
                continue
            pool = (machine.hosttype, machine.site, machine.standby)
            if may_use_machine(job.spec, *pool) and tasks_per_machine(job.spec, flavor) >= 1:
                left = self.renter.boot_times.remaining_boot_s(
                    pool, flavor.bootS, now - machine.rented_at
                )
                best = min(best, left if left is not None else float("inf"))
        return best

    def _plan_duration_s(self, plan: Plan) -> float:
        """Returns the seconds until the large task can start: stops, saves and reports."""
        jobs = [self.registry.jobs[m.resident.task.rpartition("/")[0]] for m in plan.moves]
        save_s = max(job.spec.flushS for job in jobs)
        return save_s + 1.5 * self.fleet.report_s + constants.MOVE_DURATION_SLACK_S

    def _machine_state(self, job: Job, slot: Slot, host: bool) -> MachineState:
        """Returns a machine for the planner; resources reserved on it are not free.

        Only a `host` gets its movable tasks.
        """
        machine = self.fleet.machines[slot.name]
        residents = [
            self._movable_task(attempt, machine)
            for attempt in (machine.attempts.values() if host else ())
            if self._is_movable(attempt, job)
        ]
        pool = (slot.hosttype, slot.site, slot.standby)
        free = tuple(max(0.0, amount) for amount in self.constraint.unreserved_resources(job, slot))
        images = frozenset(slot.images | slot.fetching)
        return MachineState(
            slot.name, pool, slot.total, free, images, slot.pull_gb_s, tuple(residents)
        )

    def _is_movable(self, attempt: Attempt, job: Job) -> bool:
        """Tells whether a task may be moved for a job.

        These are tasks that preemption may stop and that lose little: batch tasks of lower
        urgency that write savepoints, and service replicas, which may be stopped to be moved.
        """
        spec = attempt.job.spec
        moved = self.moved_at.get((attempt.job.name, attempt.index), -1e18)
        if (
            attempt.state != "running"
            or attempt.kill_requested_at is not None
            or attempt.job is job
            or attempt.job.aborted
            or attempt.job.aborting
            or spec.owner in self.settings.optout
            or self.holds_scarce_resource(attempt.job)
            or self.clock.wall() - moved < self.settings.again_s
            or any(move.job == attempt.job.name for move in self._open_moves())
        ):
            return False
        if spec.shape == "service":
            return True
        return (
            spec.shape == "batch"
            and spec.savepointS > 0
            and spec.urgency_rank < job.spec.urgency_rank
        )

    def _movable_task(self, attempt: Attempt, machine: Machine) -> MovableTask:
        spec = attempt.job.spec
        is_zone_bound = (
            spec.oneZone or spec.spread
        )  # the zones of its other tasks permit only its present zone
        pools: set[Pool] = {
            (flavor.sku, site, spot)
            for flavor in self.term_context.flavors.values()
            for site in flavor.sites
            for spot in SPOT_OPTIONS
            if may_use_machine(spec, flavor.sku, site, spot)
            and (not is_zone_bound or site == machine.site)
        }
        loss = (spec.flushS + self.fleet.report_s) * spec.vcpus
        name = attempt.name
        return MovableTask(
            name,
            attempt.number,
            machine_demand(spec),
            loss,
            spec.bundle,
            spec.pullGb,
            frozenset(pools),
        )

    def _adopt(self, job: Job, plan: Plan, duration_s: float, wait_s: float) -> None:
        """Stores a plan; the log gets the seconds with and without it."""
        wall = self.clock.wall()
        moves = []
        for move in plan.moves:
            name, _, index = move.resident.task.rpartition("/")
            number = move.resident.number
            moves.append(MoveRecord(name, int(index), number, move.source, move.target))
            self.moved_at[name, int(index)] = wall
        until = wall + constants.MOVE_PLAN_TIMEOUT_S
        self.value.plans.append(PlanRecord(job.name, plan.host, until, moves))
        self.persisted_value.mark_changed()
        log.info(
            "plan adopted: for %s on %s: %d moves, %.0f CPU-seconds, in %.0f s instead of %.0f s",
            job.name,
            plan.host,
            len(moves),
            plan.cost,
            duration_s,
            wait_s,
            extra=decision_fields(self.fleet.token, job.name, plan.host),
        )

    def samples(self) -> Iterable[Sample]:
        """Yields the metrics of plans and moved tasks."""
        yield gauge("moves_plans_open", "Plans under way", len(self.value.plans))
        yield labelled_sample(
            "moves_plans", "Plans by what came of them", "outcome", self.plan_outcomes
        )
        yield labelled_sample(
            "moves_tasks", "Moved tasks by how they stopped", "cause", self.stops_by_cause
        )


def join(settings: MoveSettings, subsystem_context: SubsystemContext) -> Moves:
    """Creates the component; called through the table in `extensions.subsystems`."""
    return Moves(
        subsystem_context.term_context,
        settings,
        subsystem_context.renter,
        subsystem_context.startable_tasks,
        subsystem_context.holds_scarce_resource,
    )
