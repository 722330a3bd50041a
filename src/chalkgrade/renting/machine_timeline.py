"""What is free on one machine, and from which time on, as a rental plan counts it. Pure.

Amounts are those of `machine_demand`, which placement counts by too.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from chalkgrade.machines.flavors import Pool
from chalkgrade.record.jobs import TASKS_MAX
from chalkgrade.renting.headroom import NEVER, round_up_to_step
from chalkgrade.vectors import CPUS, EPS, Vector, count_fitting, fits, minus, plus


@dataclass
class MachineCapacity:
    """A machine that is up or booting, with what is free there; times are in s from now."""

    pool: Pool
    free: Vector  # beside the attempts that it has
    up_in_s: float = 0.0
    # When which of the attempts' amounts are released; those that never end are left out.
    releases: list[tuple[float, Vector]] = field(default_factory=list)


class MachineTimeline:
    """What is free on one machine from which time on; never less later than earlier."""

    __slots__ = ("pool", "version", "_capacity", "_known_steps")

    def __init__(self, capacity: MachineCapacity) -> None:
        self.pool = capacity.pool
        self.version = 0  # number of changes
        self._capacity = capacity
        self._known_steps: list[tuple[float, Vector]] | None = None

    @property
    def _steps(self) -> list[tuple[float, Vector]]:
        """What is free from which time on, computed when first asked for."""
        if self._known_steps is None:
            up_in_s = round_up_to_step(self._capacity.up_in_s)
            steps = [(up_in_s, self._capacity.free)]
            for released_in_s, amount in sorted(self._capacity.releases):
                at, free = steps[-1]
                step = max(up_in_s, round_up_to_step(released_in_s))
                if step == at:
                    steps[-1] = at, plus(free, amount)
                else:
                    steps.append((step, plus(free, amount)))
            self._known_steps = steps
        return self._known_steps

    def earliest_fit_bound(self, demand: Vector) -> float:
        """Return a time before which no task fits, at little cost for an unchanged machine."""
        if self._known_steps is not None:
            return self.earliest_fit(demand)
        capacity = self._capacity
        if capacity.free[CPUS] >= demand[CPUS] - EPS:
            return round_up_to_step(capacity.up_in_s)
        first_release_s = min((at for at, _ in capacity.releases), default=NEVER)
        return round_up_to_step(max(capacity.up_in_s, first_release_s))

    def earliest_fit(self, demand: Vector) -> float:
        """Return from when on one more task fits, `NEVER` if it never does."""
        cpus = demand[CPUS] - EPS
        for at, free in self._steps:
            # Most steps of a full machine lack CPUs, which is found without a call.
            if free[CPUS] >= cpus and fits(demand, free):
                return at
        return NEVER

    def times(self) -> Iterator[float]:
        """Yield the times at which more becomes free."""
        return (at for at, _ in self._steps)

    def fitting_tasks(self, demand: Vector, at: float) -> int:
        """Return how many tasks fit at a time."""
        free = self._free_at(at)
        return 0 if free is None else count_fitting(demand, free, TASKS_MAX)

    def _free_at(self, at: float) -> Vector | None:
        found = None
        for step, free in self._steps:
            if step > at + EPS:
                break
            found = free
        return found

    def take(self, amount: Vector, start: float, end: float) -> None:
        """Use an amount that is free at `start` until `end`, or for ever if that is `NEVER`.

        What would be left over at `start` stays free before it.
        """
        free_at_start = self._free_at(start)
        assert free_at_start is not None
        left = minus(free_at_start, amount)
        steps: list[tuple[float, Vector]] = []
        for at, free in self._steps_with(end):
            if at < start:
                free = tuple(map(min, free, left))
            elif at < end:
                free = minus(free, amount)
            if not steps or free != steps[-1][1]:
                steps.append((at, free))
        self._known_steps = steps
        self.version += 1

    def _steps_with(self, end: float) -> Iterator[tuple[float, Vector]]:
        """Yield the steps, with one at `end` unless that is `NEVER`."""
        has_end = end == NEVER
        free_before = self._steps[0][1]
        for at, free in self._steps:
            if not has_end and at >= end:
                has_end = True
                if at > end:
                    yield end, free_before
            yield at, free
            free_before = free
        if not has_end:
            yield end, free_before
