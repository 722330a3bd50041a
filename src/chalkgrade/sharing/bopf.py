"""BoPF fair sharing: admission of queues and the grants of a scheduling round.

All functions are pure. A queue holds one team's jobs of one class. Amounts are vectors over
CPUs, GPUs and memory (GB); the demand of a burst is such a vector times seconds. Section and
step numbers refer to the BoPF paper and to docs/design.md.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from chalkgrade import constants
from chalkgrade.settings import Team
from chalkgrade.vectors import EPS, Vector, dominant_share, fits, minus, plus


class QueueKind(Enum):
    """The service class that admission gives a queue.

    A hard queue has a fixed rate, a soft queue is served shortest burst first from what is left,
    and an elastic queue shares the rest fairly.
    """

    HARD = "hard"
    SOFT = "soft"
    ELASTIC = "elastic"


@dataclass(frozen=True)
class BurstDeclaration:
    """Step 1: what a bursty queue declares.

    `demand` is the amount-seconds of one burst, `period_s` the seconds between bursts, and
    `deadline_s` the seconds within which a burst has to be done.
    """

    demand: Vector
    period_s: float
    deadline_s: float

    @property
    def rate(self) -> Vector:
        """The constant amount that completes one burst exactly by its deadline."""
        return tuple(d / max(self.deadline_s, EPS) for d in self.demand)


def admit(
    declared: dict[str, BurstDeclaration | None], capacity: Vector, nmin: int
) -> dict[str, QueueKind]:
    """Admit the queues (steps 2 and 3) in the order in which they were declared.

    None stands for a batch queue. A queue whose demand would violate the safety condition of the
    queues admitted before it becomes elastic. Its jobs are not rejected, because in this system
    admission is evaluated after their submission was accepted.
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
    """What one queue uses and wants in a round, and what its bursts need."""

    queue: str
    team: str
    kind: QueueKind
    task: Vector  # per-resource maximum over waiting tasks, so that a grant fits at least one
    wanted: Vector  # all that the queue could use now, including running tasks
    rate: Vector  # the declared fixed rate of a hard queue
    remaining_work: float  # share-seconds of the dominant resource left in the burst
    weight: float = 1.0
    urgency: int = 0
    needed_now: Vector = (0.0, 0.0, 0.0)  # what its bursts need now to meet their next bounds
    is_best_effort: bool = False  # gets only what no other queue wants
    usage: Vector = field(default=())  # what its running tasks hold


def _scale_within(limit: Vector, wanted: Vector, room: Vector) -> Vector:
    """The largest amount in the proportions of `wanted`, at most `wanted`, `limit` and `room`."""
    part = 1.0
    for want, bound, free in zip(wanted, limit, room, strict=True):
        if want > EPS:
            part = min(part, bound / want, free / want)
    return tuple(max(0.0, part) * w for w in wanted)


def drf(
    demands: dict[str, tuple[Vector, Vector, float]], room: Vector, total: Vector
) -> dict[str, Vector]:
    """Allocate by weighted dominant resource fairness (DRF) with progressive filling.

    `demands` maps a name to the size of its tasks, the most it wants and its weight. The name
    with the lowest weighted dominant share gets the next task. Where tasks are small compared to
    the cluster, it gets as many as make up a `DRF_STEP` of the cluster, so that the run time does
    not grow with the cluster.
    """
    given: dict[str, Vector] = {name: tuple(0.0 for _ in room) for name in demands}
    steps = {
        name: max(1, int(constants.DRF_STEP / max(dominant_share(task, total), EPS)))
        for name, (task, _, _) in demands.items()
    }
    shares = dict.fromkeys(demands, 0.0)
    while shares:
        name = min(shares, key=shares.__getitem__)
        task, maximum, weight = demands[name]
        if not any(t > EPS for t in task):
            del shares[name]
            continue
        count = steps[name]
        while count:
            increment = tuple(t * count for t in task)
            if fits(increment, room) and fits(plus(given[name], increment), maximum):
                break
            count //= 2
        if not count:
            del shares[name]
            continue
        given[name] = plus(given[name], increment)
        room = minus(room, increment)
        shares[name] = dominant_share(given[name], total) / weight
    return given


def fair_shares(
    demands: Iterable[QueueDemand], teams: dict[str, Team], capacity: Vector
) -> dict[str, Vector]:
    """Compute each queue's long-term fair share of the capacity from its team's guarantee.

    The shares are weighted DRF. A team's weight is its guarantee plus the same small part of the
    capacity for every team, so that a team without a guarantee has a weight too. A team's queues
    divide its weight evenly.
    """
    demands = list(demands)
    queues: dict[str, int] = {}
    for demand in demands:
        queues[demand.team] = queues.get(demand.team, 0) + 1
    weights: dict[str, float] = {}
    for name, count in queues.items():
        team = teams.get(name)
        guaranteed_share = (
            dominant_share((team.cpus, team.gpus, 0.0), capacity) if team is not None else 0.0
        )
        weights[name] = (guaranteed_share + constants.EVEN_SHARE_RATIO / len(queues)) / count
    return drf({d.queue: (d.task, d.wanted, weights[d.team]) for d in demands}, capacity, capacity)


def round_up_to_tasks(amount: Vector, task: Vector) -> Vector:
    """Round an amount up to whole tasks, at least one.

    A share below one task would never start anything. If a share of one and a half tasks were
    rounded down, it would be claimed only while no task runs, so that a queue of wide tasks would
    wait for an empty machine again after each task.
    """
    rooms = zip(amount, task, strict=True)
    count = max(1, math.ceil(max((a / t for a, t in rooms if t > EPS), default=1) - EPS))
    return tuple(map(max, amount, (t * count for t in task)))


Grants = list[tuple[str, Vector]]


def allocate(demands: list[QueueDemand], capacity: Vector) -> tuple[Grants, Grants]:
    """Compute the grants of steps 4 to 6, each list in the order in which it is to be filled.

    The first list holds what completion bounds need, by urgency: the fixed rate of a less urgent
    queue must not precede the burst of a more urgent one, whichever kinds admission gave them.
    The second list holds the total grants of soft and elastic queues, including the rest of the
    capacity.
    """
    room = capacity
    given: dict[str, Vector] = {d.queue: tuple(0.0 for _ in capacity) for d in demands}
    need_order: list[str] = []
    soft = [demand for demand in demands if demand.kind is QueueKind.SOFT]
    soft.sort(key=lambda d: (-d.urgency, d.remaining_work, d.queue))

    def grant(queue: str, amount: Vector) -> None:
        nonlocal room
        given[queue] = plus(given[queue], amount)
        room = minus(room, amount)

    def grant_up_to(demand: QueueDemand, limit: Vector) -> None:
        grant(demand.queue, _scale_within(limit, minus(demand.wanted, given[demand.queue]), room))

    def share(group: list[QueueDemand], limit: Callable[[QueueDemand], Vector]) -> None:
        wanted = {
            d.queue: (d.task, minus(_elementwise_min(limit(d), d.wanted), given[d.queue]), d.weight)
            for d in group
        }
        for queue, amount in drf(wanted, room, capacity).items():
            grant(queue, amount)

    regular = [demand for demand in demands if not demand.is_best_effort]
    for urgency in sorted({demand.urgency for demand in regular}, reverse=True):
        tier = [demand for demand in regular if demand.urgency == urgency]
        for demand in tier:
            if demand.kind is QueueKind.HARD:
                # A fixed rate below one task would never start anything, so round it up.
                fixed_rate = tuple(max(r, t) for r, t in zip(demand.rate, demand.task, strict=True))
                grant_up_to(demand, fixed_rate)
        for demand in soft:
            if demand in tier:
                grant_up_to(demand, demand.needed_now)
        bursty = [d for d in tier if d.kind is QueueKind.ELASTIC and any(d.needed_now)]
        share(bursty, lambda d: d.needed_now)
        need_order += [demand.queue for demand in tier]
    needed_grants = [(queue, given[queue]) for queue in need_order if any(given[queue])]
    for demand in soft:
        grant_up_to(demand, demand.wanted)
    for best_effort in (False, True):
        group = [
            d for d in demands if d.kind is QueueKind.ELASTIC and d.is_best_effort is best_effort
        ]
        share(group, lambda d: d.wanted)
    order = [d.queue for d in soft] + [d.queue for d in demands if d.kind is QueueKind.ELASTIC]
    return needed_grants, [(queue, given[queue]) for queue in order]


def _elementwise_min(one: Vector, other: Vector) -> Vector:
    """The smaller of the two amounts, for each resource."""
    return tuple(map(min, one, other))


def spare_capacity_order(
    demands: Iterable[QueueDemand], share: Callable[[QueueDemand], float]
) -> list[str]:
    """Order the queues for idle resources (step 7): the most urgent, then the least served.

    Best-effort queues come after all others.
    """
    order = sorted(demands, key=lambda d: (d.is_best_effort, -d.urgency, share(d), d.queue))
    return [d.queue for d in order]
