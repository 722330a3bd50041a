"""BoPF: admission into hard, soft and elastic, and the rounds' grants. Pure.

A queue is one team's jobs of one class. Amounts are vectors over CPUs, GPUs
and memory; a burst's demand is a vector of amount-seconds. Section and step
numbers are those of the paper and of docs/design.md.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from chalkgrade import constants
from chalkgrade.settings import Team
from chalkgrade.vectors import EPS, Vector, dominant, fits, minus, plus


class QueueKind(Enum):
    HARD = "hard"
    SOFT = "soft"
    ELASTIC = "elastic"


@dataclass(frozen=True)
class BurstDeclaration:
    """Step 1: a bursty queue's demand per burst, its period and its deadline."""

    demand: Vector
    period_s: float
    deadline_s: float

    @property
    def rate(self) -> Vector:
        return tuple(d / max(self.deadline_s, EPS) for d in self.demand)


def admit(
    declared: dict[str, BurstDeclaration | None], capacity: Vector, nmin: int
) -> dict[str, QueueKind]:
    """Steps 2 and 3, in the order in which the queues were declared.

    None stands for a batch queue. A queue whose demand would break the safety
    of those admitted before it is not refused per job but served as elastic:
    here admission happens while work is already accepted.
    """
    kinds: dict[str, QueueKind] = {}
    fair: dict[str, BurstDeclaration] = {}
    hard_rate: Vector = tuple(0.0 for _ in capacity)
    for name, declaration in declared.items():
        kinds[name] = QueueKind.ELASTIC
        if declaration is None:
            continue
        count = max(len(fair) + 1, nmin)
        candidates = [*fair.values(), declaration]
        safe = all(
            fits(d.demand, tuple(c * d.period_s / count for c in capacity)) for d in candidates
        )
        if not safe:
            continue
        fair[name] = declaration
        if fits(declaration.rate, minus(capacity, hard_rate)):
            kinds[name] = QueueKind.HARD
            hard_rate = plus(hard_rate, declaration.rate)
        else:
            kinds[name] = QueueKind.SOFT
    return kinds


@dataclass
class QueueDemand:
    """What one queue has and wants in a round."""

    queue: str
    team: str
    kind: QueueKind
    task: Vector  # the largest task waiting, so that a grant fits at least one
    wanted: Vector  # all it could use now, running work included
    rate: Vector  # the declared fixed rate of a hard queue
    remaining_work: float  # dominant work left in its burst, in amount-seconds
    weight: float = 1.0
    urgency: int = 0
    needed_now: Vector = (0.0, 0.0, 0.0)  # what its bursts' next bounds need now
    is_best_effort: bool = False  # gets what nobody else wants
    usage: Vector = field(default=())  # what its running work takes


def _scale_within(limit: Vector, wants: Vector, room: Vector) -> Vector:
    """The largest amount in the proportions of `wants` within both bounds."""
    part = 1.0
    for want, low, free in zip(wants, limit, room, strict=True):
        if want > EPS:
            part = min(part, low / want, free / want)
    return tuple(max(0.0, part) * w for w in wants)


def drf(
    demands: dict[str, tuple[Vector, Vector, float]], room: Vector, total: Vector
) -> dict[str, Vector]:
    """Dominant resource fairness by progressive filling.

    `demands` maps a name to its task's size, the most it wants and its weight.
    The least served gets the next task; where tasks are small beside the
    cluster, as many as make a step of `DRF_STEP` of it, so that the work does
    not grow with the cluster.
    """
    given: dict[str, Vector] = {name: tuple(0.0 for _ in room) for name in demands}
    steps = {
        name: max(1, int(constants.DRF_STEP / max(dominant(task, total), EPS)))
        for name, (task, _, _) in demands.items()
    }
    shares = dict.fromkeys(demands, 0.0)
    while shares:
        name = min(shares, key=shares.__getitem__)
        task, most, weight = demands[name]
        if not any(t > EPS for t in task):
            del shares[name]
            continue
        count = steps[name]
        while count:
            more = tuple(t * count for t in task)
            if fits(more, room) and fits(plus(given[name], more), most):
                break
            count //= 2
        if not count:
            del shares[name]
            continue
        given[name] = plus(given[name], more)
        room = minus(room, more)
        shares[name] = dominant(given[name], total) / weight
    return given


def fair_shares(
    demands: Iterable[QueueDemand], teams: dict[str, Team], capacity: Vector
) -> dict[str, Vector]:
    """What each queue's share of all would be over the long term, by its team's guarantee.

    Dominant resource fairness with weights: a team's guarantee, and beside it the same small
    part of the capacity for every team, so that none counts for nothing; a team's queues
    share its weight evenly.
    """
    demands = list(demands)
    queues: dict[str, int] = {}
    for demand in demands:
        queues[demand.team] = queues.get(demand.team, 0) + 1
    weights: dict[str, float] = {}
    for name, count in queues.items():
        team = teams.get(name)
        held = dominant((team.cpus, team.gpus, 0.0), capacity) if team is not None else 0.0
        weights[name] = (held + constants.FAIR_LEAST / len(queues)) / count
    return drf({d.queue: (d.task, d.wanted, weights[d.team]) for d in demands}, capacity, capacity)


def round_up_to_tasks(amount: Vector, task: Vector) -> Vector:
    """The amount rounded up to whole tasks, in the proportions of the task; one at least.

    A share below one task would never start anything. One of a task and a half, rounded down,
    is claimed only while none runs: between two tasks a wide one waits for a machine anew.
    """
    rooms = zip(amount, task, strict=True)
    count = max(1, math.ceil(max((a / t for a, t in rooms if t > EPS), default=1) - EPS))
    return tuple(map(max, amount, (t * count for t in task)))


Grants = list[tuple[str, Vector]]


def allocate(demands: list[QueueDemand], capacity: Vector) -> tuple[Grants, Grants]:
    """Steps 4 to 6: grants in the order in which they are to be filled.

    First what bounds need, by urgency: a lower priority's fixed rate must not
    go before a higher one's burst, whatever class admission put them in. Then
    all that soft and elastic queues get of the rest.
    """
    room = capacity
    given: dict[str, Vector] = {d.queue: tuple(0.0 for _ in capacity) for d in demands}
    first: list[str] = []
    soft = [demand for demand in demands if demand.kind is QueueKind.SOFT]
    soft.sort(key=lambda d: (-d.urgency, d.remaining_work, d.queue))

    def grant(queue: str, amount: Vector) -> None:
        nonlocal room
        given[queue] = plus(given[queue], amount)
        room = minus(room, amount)

    def give(demand: QueueDemand, limit: Vector) -> None:
        grant(demand.queue, _scale_within(limit, minus(demand.wanted, given[demand.queue]), room))

    def share(some: list[QueueDemand], limit: Callable[[QueueDemand], Vector]) -> None:
        wanted = {
            d.queue: (d.task, minus(_elementwise_min(limit(d), d.wanted), given[d.queue]), d.weight)
            for d in some
        }
        for queue, amount in drf(wanted, room, capacity).items():
            grant(queue, amount)

    own = [demand for demand in demands if not demand.is_best_effort]
    for urgency in sorted({demand.urgency for demand in own}, reverse=True):
        tier = [demand for demand in own if demand.urgency == urgency]
        for demand in tier:
            if demand.kind is QueueKind.HARD:
                # A fixed rate below one task would never start anything: round up to one.
                floor = tuple(max(r, t) for r, t in zip(demand.rate, demand.task, strict=True))
                give(demand, floor)
        for demand in soft:
            if demand in tier:
                give(demand, demand.needed_now)
        bursty = [d for d in tier if d.kind is QueueKind.ELASTIC and any(d.needed_now)]
        share(bursty, lambda d: d.needed_now)
        first += [demand.queue for demand in tier]
    before = [(queue, given[queue]) for queue in first if any(given[queue])]
    for demand in soft:
        give(demand, demand.wanted)
    for guest in (False, True):
        some = [d for d in demands if d.kind is QueueKind.ELASTIC and d.is_best_effort is guest]
        share(some, lambda d: d.wanted)
    order = [d.queue for d in soft] + [d.queue for d in demands if d.kind is QueueKind.ELASTIC]
    return before, [(queue, given[queue]) for queue in order]


def _elementwise_min(one: Vector, other: Vector) -> Vector:
    return tuple(map(min, one, other))


def spare_capacity_order(
    demands: Iterable[QueueDemand], share: Callable[[QueueDemand], float]
) -> list[str]:
    """Step 7: who may use idle granted room first: urgent work, then the least served.

    Guests come after everybody else.
    """
    order = sorted(demands, key=lambda d: (d.is_best_effort, -d.urgency, share(d), d.queue))
    return [d.queue for d in order]
