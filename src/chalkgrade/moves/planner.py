"""Decides which tasks to move where so that a large task fits one machine.

The search has no side effects, and its number of steps is bounded. A plan moves tasks of one
host to other machines. Its cost is in CPU-seconds: the work that is lost by stopping the tasks,
and the time for which their CPUs are idle while images are fetched at the targets.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from chalkgrade import constants
from chalkgrade.machines.flavors import Pool
from chalkgrade.vectors import EPS, Vector, fits, minus, plus


class MovableTask(msgspec.Struct, frozen=True):
    """A task that may be moved, with the pools in which it may run."""

    task: str
    number: int  # of its attempt
    room: Vector  # resources
    loss: float  # CPU-seconds lost by stopping it, including its save
    bundle: str
    gb: float  # size of its image
    pools: frozenset[Pool]  # pools in which it may run


class MachineState(msgspec.Struct, frozen=True):
    """A machine with its free resources and the tasks that could be moved away from it."""

    name: str
    pool: Pool
    total: Vector
    free: Vector
    images: frozenset[str]  # present or being fetched
    pull_gb_s: float  # image download rate
    residents: tuple[MovableTask, ...] = ()


class PlacementProblem(msgspec.Struct, frozen=True):
    """A large task that fits no machine at present, and the machines of the cluster."""

    room: Vector  # resources of the task
    pools: frozenset[Pool]  # in which it may run
    places: tuple[MachineState, ...]
    others: tuple[Vector, ...] = ()  # resources of other waiting tasks, whose room must not be lost


@dataclass(frozen=True)
class Move:
    """One task of a plan with its source and target machine."""

    resident: MovableTask
    source: str
    target: str
    cost: float  # CPU-seconds


@dataclass(frozen=True)
class Plan:
    """The moves that make room for the large task on a host."""

    host: str
    moves: tuple[Move, ...]

    @property
    def cost(self) -> float:
        """CPU-seconds of all moves together."""
        return sum(move.cost for move in self.moves)


def image_fetch_cost(resident: MovableTask, machine: MachineState) -> float:
    """Returns the CPU-seconds for which a task is idle at a target while its image is fetched."""
    if not resident.gb or resident.bundle in machine.images:
        return 0.0
    return resident.gb / max(machine.pull_gb_s, EPS) * resident.room[0]


def is_target_allowed(
    resident: MovableTask, machine: MachineState, free: Vector, others: Iterable[Vector]
) -> bool:
    """Tells whether a target has room for a task without losing the room of other waiting tasks."""
    if machine.pool not in resident.pools or not fits(resident.room, free):
        return False
    after = minus(free, resident.room)
    return all(fits(room, after) or not fits(room, free) for room in others)


def missing_resources(problem: PlacementProblem, machine: MachineState) -> Vector:
    """Returns the resources that a host lacks for the large task."""
    return tuple(max(0.0, n - f) for n, f in zip(problem.room, machine.free, strict=True))


@dataclass
class _HostSearch:
    """Branch and bound over the sets of tasks that are moved away from one host."""

    problem: PlacementProblem
    host: MachineState
    best: Plan | None
    steps: int
    open_machines: list[MachineState]  # machines with free CPUs that are considered as targets
    # Tasks that may be moved away, with the least cost of each, best first.
    candidates: list[tuple[float, MovableTask]] = field(default_factory=list)
    # Task -> its cheapest targets, with the cost of the image fetch.
    targets: dict[str, list[tuple[float, MachineState]]] = field(default_factory=dict)

    def run(self) -> None:
        """Searches within the steps that are left and updates `best` and `steps`."""
        self._rank_candidates()
        self._branch(0, missing_resources(self.problem, self.host), 0.0, [])

    def _rank_candidates(self) -> None:
        """Finds the cheapest targets of each task; of equal cost, those with least free CPUs."""
        for resident in self.host.residents:
            found = sorted(
                (
                    (image_fetch_cost(resident, machine), machine.free[0], machine.name, machine)
                    for machine in self.open_machines
                    if machine.name != self.host.name
                    and is_target_allowed(resident, machine, machine.free, self.problem.others)
                ),
                key=lambda row: row[:3],
            )[: constants.MAX_MOVE_TARGETS_PER_TASK]
            if found:
                self.targets[resident.task] = [(row[0], row[3]) for row in found]
                self.candidates.append((resident.loss + found[0][0], resident))
        missing = missing_resources(self.problem, self.host)
        # Tasks that free the largest share of the missing resources for their cost come first.
        self.candidates.sort(
            key=lambda row: (row[0] / max(_useful_share(row[1], missing), EPS), row[1].task)
        )

    def _branch(self, at: int, missing: Vector, cost: float, chosen: list[MovableTask]) -> None:
        self.steps -= 1
        if self.steps <= 0:
            return
        if all(amount <= EPS for amount in missing):
            self._assign_targets(chosen)
            return
        if cost + _cost_lower_bound(self.candidates[at:], missing) >= self._cost_bound():
            return
        if at == len(self.candidates):
            return
        least, resident = self.candidates[at]
        if _useful_share(resident, missing) > EPS:
            after = tuple(max(0.0, a - r) for a, r in zip(missing, resident.room, strict=True))
            self._branch(at + 1, after, cost + least, [*chosen, resident])
        self._branch(at + 1, missing, cost, chosen)

    def _cost_bound(self) -> float:
        return self.best.cost - EPS if self.best is not None else float("inf")

    def _assign_targets(self, chosen: list[MovableTask]) -> None:
        """Assigns targets to the chosen tasks, largest first, each where it costs least."""
        free: dict[str, Vector] = {}
        moves: list[Move] = []
        for resident in sorted(chosen, key=lambda r: (-r.room[0], -r.room[2], r.task)):
            for cost, machine in self.targets[resident.task]:
                left = free.get(machine.name, machine.free)
                if is_target_allowed(resident, machine, left, self.problem.others):
                    free[machine.name] = minus(left, resident.room)
                    moves.append(Move(resident, self.host.name, machine.name, resident.loss + cost))
                    break
            else:
                return
        plan = Plan(self.host.name, tuple(moves))
        if plan.cost < self._cost_bound():
            self.best = plan


def _useful_share(resident: MovableTask, missing: Vector) -> float:
    """Returns the largest share of a missing resource that moving the task would free."""
    return max(
        (min(r, a) / a for r, a in zip(resident.room, missing, strict=True) if a > EPS), default=0.0
    )


def _cost_lower_bound(candidates: list[tuple[float, MovableTask]], missing: Vector) -> float:
    """Returns a lower bound of the cost of freeing the missing resources.

    Tasks are taken in fractions, cheapest first, for the resource that costs most.
    """
    largest_bound = 0.0
    for kind, amount in enumerate(missing):
        if amount <= EPS:
            continue
        rows = sorted(
            (cost / r.room[kind], r.room[kind]) for cost, r in candidates if r.room[kind] > EPS
        )
        bound = 0.0
        for price, room in rows:
            part = min(room, amount)
            bound, amount = bound + part * price, amount - part
            if amount <= EPS:
                break
        if amount > EPS:
            return float("inf")
        largest_bound = max(largest_bound, bound)
    return largest_bound


def find_plan(
    problem: PlacementProblem, steps: int = constants.MAX_MOVE_SEARCH_STEPS
) -> Plan | None:
    """Returns the cheapest plan found within a number of search steps, or None.

    Hosts are searched in the order of their lower bounds, so that most need no search.
    """
    hosts: list[tuple[float, str, MachineState]] = []
    total_free: Vector = tuple(0.0 for _ in problem.room)
    for machine in problem.places:
        total_free = plus(total_free, machine.free)
    if not fits(problem.room, total_free):
        return None  # the free resources of all machines together are too little
    for machine in problem.places:
        if machine.pool not in problem.pools or not fits(problem.room, machine.total):
            continue
        if fits(problem.room, machine.free):
            return None  # the task fits already
        freed = machine.free
        for resident in machine.residents:
            freed = plus(freed, resident.room)
        if fits(problem.room, freed):
            rows = [(resident.loss, resident) for resident in machine.residents]
            hosts.append(
                (
                    _cost_lower_bound(rows, missing_resources(problem, machine)),
                    machine.name,
                    machine,
                )
            )
    # The targets with least free CPUs suffice: this fills gaps and keeps empty machines empty.
    gaps = (machine for machine in problem.places if machine.free[0] > EPS)
    tightest = heapq.nsmallest(
        constants.MAX_MOVE_TARGETS, gaps, key=lambda machine: (machine.free[0], machine.name)
    )
    best: Plan | None = None
    for bound, _, host in sorted(hosts, key=lambda row: row[:2])[
        : constants.MAX_MOVE_SEARCHED_HOSTS
    ]:
        if best is not None and bound >= best.cost:
            break
        search = _HostSearch(problem, host, best, steps, tightest)
        search.run()
        best, steps = search.best, search.steps
        if steps <= 0:
            break
    return best


def apply_plan(problem: PlacementProblem, found: Plan) -> PlacementProblem:
    """Returns the problem with the machines as they are once a plan is done and its task runs."""
    places = {machine.name: machine for machine in problem.places}
    for move in found.moves:
        source, target = places[move.source], places[move.target]
        left = tuple(r for r in source.residents if r.task != move.resident.task)
        places[move.source] = msgspec.structs.replace(
            source, free=plus(source.free, move.resident.room), residents=left
        )
        places[move.target] = msgspec.structs.replace(
            target, free=minus(target.free, move.resident.room)
        )
    host = places[found.host]
    places[found.host] = msgspec.structs.replace(host, free=minus(host.free, problem.room))
    return msgspec.structs.replace(problem, places=tuple(places.values()))


def find_plans(problem: PlacementProblem, count: int) -> list[Plan]:
    """Returns plans for `count` tasks that start together (a gang), or an empty list.

    A task that fits without a move needs no plan. Jobs other than gangs use a count of 1.
    """
    out: list[Plan] = []
    for _ in range(count):
        fit = next(
            (
                machine
                for machine in problem.places
                if machine.pool in problem.pools and fits(problem.room, machine.free)
            ),
            None,
        )
        found = Plan(fit.name, ()) if fit is not None else find_plan(problem)
        if found is None:
            return []
        if found.moves:
            out.append(found)
        problem = apply_plan(problem, found)
    return out
