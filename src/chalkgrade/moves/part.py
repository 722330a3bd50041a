"""Carrying plans out: a wanted state that lasts across leaders, and the loop towards it.

A plan is durable before anything is stopped for it. Where a task is follows from the
record of attempts alone, so that a new leader goes on wherever the last one stopped: a
move whose task is still at its source is stopped there, one that is over is started at
its target, one that runs anywhere else is settled.
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
from chalkgrade.machines.placement import Slot, may_use_machine, room_wait_s
from chalkgrade.moves.plan import Place, Plan, Problem, Resident, plan_many
from chalkgrade.moves.settings import MoveSettings
from chalkgrade.outside import TokenBucket
from chalkgrade.record.changes import PersistedValue
from chalkgrade.record.jobs import Attempt, Job
from chalkgrade.renting.joint import Joint
from chalkgrade.renting.renter import Renter
from chalkgrade.sharing.cluster_snapshot import ClusterSnapshot
from chalkgrade.sharing.constraints import TeamLimits
from chalkgrade.sharing.term_context import TermContext
from chalkgrade.vectors import Vector, fits, minus

log = logging.getLogger("chalkgrade.moves")

MOVES_KEY = "cg/moves"
WAITING = "waiting for a move"


class MoveRecord(msgspec.Struct):
    """One task on its way: `home_until` is set once it has stopped (wall time, s)."""

    job: str
    index: int
    number: int
    source: str
    target: str
    home_until: float = 0.0


class PlanRecord(msgspec.Struct):
    """Room for one task of a large job on a host, until a wall time."""

    job: str
    host: str
    until: float
    moves: list[MoveRecord]


class MovesValue(msgspec.Struct):
    """The value under cg/moves: plans under way, and stopped tasks of dropped ones."""

    plans: list[PlanRecord] = []
    homes: list[MoveRecord] = []


class MoveGate(StartConstraint):
    """Keeps freed room for its large job, and targets for the tasks that come."""

    def __init__(self, part: "Moves") -> None:
        self._part = part
        self.kept: dict[str, list[tuple[str, Vector]]] = {}

    def begin_round(self, jobs: Iterable[Job], now: float) -> None:
        self.kept = {}
        book = self._part.book.jobs
        for plan in self._part.value.plans:
            job = book.get(plan.job)
            if job is not None:
                self.kept.setdefault(plan.host, []).append((job.name, job.spec.resources))
        for move in self._part.unsettled():
            room = book[move.job].spec.resources
            self.kept.setdefault(move.target, []).append((move.job, room))

    def left(self, job: Job, slot: Slot) -> Vector:
        """What is free on a machine beyond what is kept on it for others."""
        free = slot.free
        for owner, room in self.kept.get(slot.name, ()):
            if owner != job.name:
                free = minus(free, room)
        return free

    def allows_slot(self, job: Job, slot: Slot) -> bool:
        return slot.name not in self.kept or fits(job.spec.resources, self.left(job, slot))

    def priority_starts(self) -> Iterable[tuple[Job, int, str]]:
        """Stopped tasks start at their targets before anything else is placed."""
        for move in self._part.unsettled():
            if move.home_until:
                yield self._part.book.jobs[move.job], move.index, move.target

    def refusal_reason(self, job: Job) -> str:
        return WAITING if any(plan.job == job.name for plan in self._part.value.plans) else ""


class Moves(Component):
    """Plans and carries out moves under one token."""

    find = staticmethod(plan_many)  # the planner

    def __init__(
        self,
        domain: TermContext,
        settings: MoveSettings,
        renter: Renter,
        able: Callable[[Job, int], int],
        ties: Callable[[Job], bool],
    ) -> None:
        self.domain = domain
        self.settings = settings
        self.renter = renter
        self.able = able
        self.ties = ties
        self.clock = domain.context.clock
        self.book = domain.registry
        self.fleet = domain.fleet
        self.value = MovesValue()
        self.record = PersistedValue(MOVES_KEY, self._load, lambda: self.value)
        self.persisted_values = [self.record]
        self.gate = MoveGate(self)
        self.start_constraints = [self.gate]
        self.decision_loops = [self.run]
        self.moved_at: dict[tuple[str, int], float] = {}  # task -> wall time of its last move
        rate = settings.per_minute / 60
        self.budget = TokenBucket(self.clock, rate, settings.per_minute)
        self.tried: dict[object, float] = {}  # shape of work -> when a plan was looked for
        self.plans: dict[str, int] = {}  # by what came of them
        self.moves: dict[str, int] = {}

    def _load(self, raw: bytes) -> None:
        self.value = msgspec.json.decode(raw, type=MovesValue)

    # -- what is under way -------------------------------------------------------------

    def _all(self) -> list[MoveRecord]:
        return [*(move for plan in self.value.plans for move in plan.moves), *self.value.homes]

    def unsettled(self) -> list[MoveRecord]:
        """Moves whose task is at its source, or waits to start at its target."""
        out = []
        for move in self._all():
            job = self.book.jobs.get(move.job)
            if job is None or job.aborted or job.aborting:
                continue
            attempt = job.live.get(move.index)
            if move.index in job.waiting or (attempt and attempt.number == move.number):
                out.append(move)
        return out

    def on_ended(self, machine: Machine | None, attempt: Attempt, cause: str) -> None:
        for move in self._all():
            if (move.job, move.index, move.number) == (
                attempt.job.name,
                attempt.index,
                attempt.number,
            ):
                self.moves[cause or "lost"] = self.moves.get(cause or "lost", 0) + 1
                move.home_until = self.clock.wall() + constants.MOVE_TARGET_RESERVATION_S
                self.record.mark_changed()

    async def run(self) -> None:
        while True:
            await asyncio.sleep(constants.MOVE_SEARCH_INTERVAL_S)
            if self.domain.is_serving():
                self._advance()
                if len(self.value.plans) < constants.MAX_CONCURRENT_MOVE_PLANS:
                    self._look()
                if self.record.is_dirty:
                    self.book.flush_wanted.set()

    def _advance(self) -> None:
        """Work out for each plan what is left of it; stop what is still at its source."""
        wall = self.clock.wall()
        for plan in list(self.value.plans):
            outcome = self._outcome(plan, wall)
            if outcome:
                self._close(plan, outcome)
            elif not self.record.is_dirty:  # durable before anything is stopped for it
                for move in plan.moves:
                    attempt = self._at_source(move)
                    if attempt is not None and attempt.kill_requested_at is None:
                        attempt.kill_requested_at = self.clock.now()
                        what = decision_fields(
                            self.fleet.token, move.job, move.source, attempt.label
                        )
                        log.info("moving %s to %s", attempt.label, move.target, extra=what)
        homes = [m for m in self.unsettled() if m in self.value.homes and m.home_until > wall]
        if homes != self.value.homes:
            self.value.homes = homes
            self.record.mark_changed()

    def _at_source(self, move: MoveRecord) -> Attempt | None:
        job = self.book.jobs.get(move.job)
        attempt = job.live.get(move.index) if job is not None else None
        return attempt if attempt is not None and attempt.number == move.number else None

    def _outcome(self, plan: PlanRecord, wall: float) -> str:
        """What came of a plan, or nothing while it is under way."""
        job = self.book.jobs.get(plan.job)
        if job is None or job.aborted or job.aborting:
            return "not needed"
        if any(attempt.machine == plan.host for attempt in job.live.values()):
            return "done"
        if not len(job.waiting):
            return "started elsewhere"
        if wall > plan.until:
            return "late"
        names = [plan.host, *(m.target for m in plan.moves if self._at_source(m) is not None)]
        for name in names:
            machine = self.fleet.machines.get(name)
            if machine is None or not self.fleet.is_in_service(machine):
                return "machine lost"
        return ""

    def _close(self, plan: PlanRecord, outcome: str) -> None:
        """Drop a plan: what was stopped goes on to its target, what was not stays."""
        self.plans[outcome] = self.plans.get(outcome, 0) + 1
        log.info(
            "plan for %s on %s: %s",
            plan.job,
            plan.host,
            outcome,
            extra=decision_fields(self.fleet.token, plan.job, plan.host),
        )
        self.value.plans.remove(plan)
        until = self.clock.wall() + constants.MOVE_TARGET_RESERVATION_S
        for move in plan.moves:
            attempt = self._at_source(move)
            if attempt is not None and not attempt.kill_sent:
                if not (attempt.job.aborted or attempt.job.aborting):
                    attempt.kill_requested_at = None  # nobody told it to stop yet
                continue
            move.home_until = move.home_until or (until if attempt is None else 0.0)
            if attempt is None or attempt.kill_sent:
                self.value.homes.append(move)
        self.record.mark_changed()

    # -- looking for plans ---------------------------------------------------------------

    def _look(self) -> None:
        """A plan for the first large job that gains by one."""
        jobs = sorted(
            (job for job in self.book.jobs.values() if self._waits(job)),
            key=self.domain.queues.scheduling_key,
        )
        if not jobs:
            return
        # What fits some machine as it is needs no plan, only its turn.
        now = self.clock.now()
        least = min(job.spec.vcpus for job in jobs)
        floor = ClusterSnapshot(self.fleet, self.domain.flavors, self.domain.queues, least, now)
        slots = floor.all_slots()
        for job in jobs:
            # One search a look, and each shape of work now and then: a search costs more
            # than a round, and what found no plan finds none a moment later.
            key = (job.spec.machine_constraints, job.spec.urgency_rank)
            if now - self.tried.get(key, -1e9) >= constants.MOVE_SEARCH_RETRY_INTERVAL_S:
                self.tried[key] = now
                self._try(job, slots, jobs)
                return

    def _waits(self, job: Job) -> bool:
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
        return self.able(job, 1) > 0

    def _try(self, job: Job, slots: list[Slot], jobs: list[Job]) -> None:
        """Look for a plan for one task, or all of a gang, and adopt it if it gains."""
        spec = job.spec
        fitting = [s for s in slots if self._suits(job, s)]
        if not fitting or any(fits(spec.resources, slot.free) for slot in fitting):
            return
        count = len(job.waiting) if spec.shape == "gang" else 1
        teams = self.domain.context.settings.cluster.teams
        maxima = TeamLimits({team.name: team for team in teams}, self.domain.queues)
        maxima.begin_round(self.book.jobs.values(), self.clock.now())
        if not maxima.is_ready(job) or maxima.max_starts(job, count) < count:
            return
        # Less urgent work takes what it finds; nothing is kept open for it.
        mates = (j.spec for j in jobs if j.spec.urgency_rank >= spec.urgency_rank)
        others = {mate.resources for mate in mates if mate.resources != spec.resources}
        pools = frozenset((s.hosttype, s.site, s.standby) for s in fitting)
        # Only for a few hosts need be known who could leave them: those that lack least.
        hosts = heapq.nlargest(
            constants.MAX_MOVE_CANDIDATE_HOSTS, fitting, key=lambda s: (s.free[0], s.name)
        )
        names = {slot.name for slot in hosts}
        places = tuple(self._place(job, slot, slot.name in names) for slot in slots)
        found = self.find(Problem(spec.resources, pools, places, tuple(sorted(others))), count)
        if not found:
            return
        took = max(self._takes_s(plan) for plan in found)
        instead = min(min(room_wait_s(spec, slot) for slot in fitting), self._rent_s(job))
        cost, tasks = sum(plan.cost for plan in found), sum(len(plan.moves) for plan in found)
        gain = (min(instead, constants.MAX_MOVE_GAIN_S) - took) * spec.vcpus * count
        if (
            took * self.settings.margin < instead
            and cost <= gain
            and self.budget.try_acquire(tasks)
        ):
            for plan in found:
                self._adopt(job, plan, took, instead)

    def _suits(self, job: Job, slot: Slot) -> bool:
        spec = job.spec
        pool = (slot.hosttype, slot.site, slot.standby)
        return may_use_machine(spec, *pool) and fits(spec.resources, slot.total)

    def _rent_s(self, job: Job) -> float:
        """How long until a rented machine could start it; infinite where none is coming.

        What can be had at a price worth it is asked for within a moment of the job's
        coming, so that only machines on their way count.
        """
        now, best = self.clock.now(), float("inf")
        for machine in self.fleet.machines.values():
            flavor = self.domain.flavors.get(machine.hosttype)
            if machine.reported_at is not None or machine.releasing or flavor is None:
                continue
            pool = (machine.hosttype, machine.site, machine.standby)
            if may_use_machine(job.spec, *pool) and tasks_per_machine(job.spec, flavor) >= 1:
                left = self.renter.boots.left(pool, flavor.bootS, now - machine.rented_at)
                best = min(best, left if left is not None else float("inf"))
        return best

    def _takes_s(self, plan: Plan) -> float:
        """From now until the large task can be launched: stops, saves, reports."""
        jobs = [self.book.jobs[m.resident.task.rpartition("/")[0]] for m in plan.moves]
        saves = max(job.spec.flushS for job in jobs)
        return saves + 1.5 * self.fleet.report_s + constants.MOVE_DURATION_SLACK_S

    def _place(self, job: Job, slot: Slot, host: bool) -> Place:
        """A machine as the planner sees it; room that is kept on it is not free."""
        machine = self.fleet.machines[slot.name]
        residents = [
            self._resident(attempt, machine)
            for attempt in (machine.attempts.values() if host else ())
            if self._movable(attempt, job)
        ]
        pool = (slot.hosttype, slot.site, slot.standby)
        free = tuple(max(0.0, amount) for amount in self.gate.left(job, slot))
        images = frozenset(slot.images | slot.fetching)
        return Place(slot.name, pool, slot.total, free, images, slot.pull_gb_s, tuple(residents))

    def _movable(self, attempt: Attempt, job: Job) -> bool:
        """Only what the rules of preemption let be stopped, and loses little by it.

        Less urgent work that saves, and replicas, which may be stopped to be moved.
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
            or self.ties(attempt.job)
            or self.clock.wall() - moved < self.settings.again_s
            or any(move.job == attempt.job.name for move in self._all())
        ):
            return False
        if spec.shape == "service":
            return True
        return (
            spec.shape == "batch"
            and spec.savepointS > 0
            and spec.urgency_rank < job.spec.urgency_rank
        )

    def _resident(self, attempt: Attempt, machine: Machine) -> Resident:
        spec = attempt.job.spec
        tied = spec.oneZone or spec.spread  # its mates' zones allow it where it is
        pools: set[Pool] = {
            (flavor.sku, site, spot)
            for flavor in self.domain.flavors.values()
            for site in flavor.sites
            for spot in SPOT_OPTIONS
            if may_use_machine(spec, flavor.sku, site, spot) and (not tied or site == machine.site)
        }
        loss = (spec.flushS + self.fleet.report_s) * spec.vcpus
        name = attempt.name
        return Resident(
            name, attempt.number, spec.resources, loss, spec.bundle, spec.pullGb, frozenset(pools)
        )

    def _adopt(self, job: Job, plan: Plan, took: float, instead: float) -> None:
        wall = self.clock.wall()
        moves = []
        for move in plan.moves:
            name, _, index = move.resident.task.rpartition("/")
            number = move.resident.number
            moves.append(MoveRecord(name, int(index), number, move.source, move.target))
            self.moved_at[name, int(index)] = wall
        until = wall + constants.MOVE_PLAN_TIMEOUT_S
        self.value.plans.append(PlanRecord(job.name, plan.host, until, moves))
        self.record.mark_changed()
        log.info(
            "plan for %s on %s: %d moves, %.0f CPU-seconds, in %.0f s instead of %.0f s",
            job.name,
            plan.host,
            len(moves),
            plan.cost,
            took,
            instead,
            extra=decision_fields(self.fleet.token, job.name, plan.host),
        )

    def samples(self) -> Iterable[Sample]:
        yield gauge("moves_plans_open", "Plans under way", len(self.value.plans))
        yield labelled_sample("moves_plans", "Plans by what came of them", "outcome", self.plans)
        yield labelled_sample("moves_tasks", "Moved tasks by how they stopped", "cause", self.moves)


def join(own: MoveSettings, joint: Joint) -> Moves:
    """The table of subsystems asks for this."""
    return Moves(joint.domain, own, joint.renter, joint.able, joint.ties)
