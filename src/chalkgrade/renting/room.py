"""What is free on which machine and when, as a rental plan counts it. Pure.

Amounts are those of `machine_demand`, and a task fits where placement would place it: on one
machine, with all that it takes. A plan that added up the CPUs of several machines, or looked at
CPUs alone, would wait for room that no task can use, and rent nothing.
"""

import bisect
import heapq
from collections.abc import Iterable, Iterator, Mapping
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


class ZoneLimits:
    """How many more tasks of a job may run at once in each zone; unlimited if not given."""

    def __init__(self, limits: Mapping[str, int]) -> None:
        self._limits = dict(limits)

    def copy(self) -> "ZoneLimits":
        """Return a copy, to use up separately."""
        return ZoneLimits(self._limits)

    def most(self, pool: Pool, tasks: int) -> int:
        """Return how many of so many tasks may start in the pool's zone."""
        return min(tasks, self._limits.get(pool[1], tasks))

    def use(self, pool: Pool, tasks: int) -> None:
        """Count tasks that start in the pool's zone."""
        if pool[1] in self._limits:
            self._limits[pool[1]] -= tasks

    def count(self, counts: Iterable[tuple[Pool, int]]) -> int:
        """Return how many tasks may start at once where so many fit in each pool."""
        by_zone: dict[str, int] = {}
        for (_, zone, _), tasks in counts:
            by_zone[zone] = by_zone.get(zone, 0) + tasks
        return sum(min(tasks, self._limits.get(zone, tasks)) for zone, tasks in by_zone.items())


@dataclass
class Opening:
    """The machines of a pool on which tasks of one shape can start, and how many each."""

    pool: Pool
    start: float  # s from now
    shares: list[tuple[MachineTimeline, int]]

    @property
    def tasks(self) -> int:
        """How many tasks can start."""
        return sum(tasks for _, tasks in self.shares)


NOT_COMPUTED = -1  # no version of a machine: the entry has only a bound of its earliest fit
# Earliest fit, number of the machine, its version then, and the machine.
_HeapEntry = tuple[float, int, int, MachineTimeline]


class _FitQueue:
    """The machines of one pool in the order in which a task of one shape first fits.

    An entry is computed only when it reaches the top, at first and after each change, as a
    machine's room only shrinks within a plan.
    """

    def __init__(self, demand: Vector, machines: Iterable[MachineTimeline]) -> None:
        self._demand = demand
        self._heap = [
            (at, number, NOT_COMPUTED, machine)
            for number, machine in enumerate(machines)
            if (at := machine.earliest_fit_bound(demand)) < NEVER
        ]
        heapq.heapify(self._heap)

    def add(self, number: int, machine: MachineTimeline) -> None:
        """Add the machine of this number in its pool."""
        at = machine.earliest_fit(self._demand)
        if at < NEVER:
            heapq.heappush(self._heap, (at, number, machine.version, machine))

    def first_fit(self) -> float:
        """Return when a task first fits on one of the machines, `NEVER` if it never does."""
        heap = self._heap
        while heap and heap[0][2] != heap[0][3].version:
            _, number, _, machine = heapq.heappop(heap)
            self.add(number, machine)
        return heap[0][0] if heap else NEVER

    def shares(self, at: float, most: int) -> list[tuple[MachineTimeline, int]]:
        """Return where up to `most` tasks can start at the time of the first fit."""
        entries: list[_HeapEntry] = []
        shares: list[tuple[MachineTimeline, int]] = []
        while most > 0 and self.first_fit() == at:
            entries.append(heapq.heappop(self._heap))
            machine = entries[-1][3]
            tasks = min(most, machine.fitting_tasks(self._demand, at))
            shares.append((machine, tasks))
            most -= tasks
        for entry in entries:
            heapq.heappush(self._heap, entry)
        return shares


class FleetRoom:
    """The machines of a plan, those to be rented included."""

    def __init__(self, capacities: Iterable[MachineCapacity]) -> None:
        self._machines: dict[Pool, list[MachineTimeline]] = {}
        self._delays_s: dict[Pool, float] = {}  # added to all times of the pool's machines
        self._queues: dict[Vector, dict[Pool, _FitQueue]] = {}  # by shape of task
        self._final_counts: dict[Pool, dict[Vector, int]] = {}  # results of `_count_finally`
        for capacity in capacities:
            self.add(capacity)

    @property
    def pools(self) -> set[Pool]:
        """The pools of all machines."""
        return set(self._machines)

    def add(self, capacity: MachineCapacity) -> None:
        """Add a machine."""
        pool = capacity.pool
        machine = MachineTimeline(capacity)
        machines = self._machines.setdefault(pool, [])
        for queues in self._queues.values():
            if pool in queues:
                queues[pool].add(len(machines), machine)
        machines.append(machine)
        self._final_counts.pop(pool, None)

    def _delay_s(self, pool: Pool) -> float:
        return self._delays_s.get(pool, 0.0)

    def earliest(
        self, pools: Iterable[Pool], demand: Vector, most: int, zones: ZoneLimits
    ) -> list[Opening]:
        """Return where up to `most` tasks can start first, all at one time; empty if nowhere."""
        queues = self._queues.setdefault(demand, {})
        start = NEVER
        first_fits: list[tuple[Pool, float]] = []  # of the pools that have it at `start`
        for pool in pools:
            if pool not in queues:
                queues[pool] = _FitQueue(demand, self._machines.get(pool, ()))
            fit = queues[pool].first_fit()
            at = fit + self._delay_s(pool)
            if at < start:
                start, first_fits = at, []
            if at == start < NEVER:
                first_fits.append((pool, fit))
        limits = zones.copy()
        openings: list[Opening] = []
        for pool, fit in first_fits:
            shares = queues[pool].shares(fit, limits.most(pool, most))
            openings.append(Opening(pool, start, shares))
            limits.use(pool, openings[-1].tasks)
            most -= openings[-1].tasks
        return openings

    def earliest_together(
        self, pools: list[Pool], demand: Vector, tasks: int, zones: ZoneLimits
    ) -> list[Opening]:
        """Return where `tasks` tasks can first start all at once; empty if nowhere."""
        times = sorted(
            {
                at + self._delay_s(pool)
                for pool in pools
                for machine in self._machines.get(pool, ())
                for at in machine.times()
            }
        )
        position = bisect.bisect_left(
            times, tasks, key=lambda at: zones.count(self._fitting_tasks(pools, demand, at))
        )
        if position == len(times):
            return []
        return self._openings_together(pools, demand, tasks, zones, times[position])

    def _fitting_tasks(
        self, pools: Iterable[Pool], demand: Vector, at: float
    ) -> Iterator[tuple[Pool, int]]:
        """Yield how many tasks fit at a time on the machines of each pool."""
        for pool in pools:
            local = at - self._delay_s(pool)
            machines = self._machines.get(pool, ())
            yield pool, sum(machine.fitting_tasks(demand, local) for machine in machines)

    def _openings_together(
        self, pools: Iterable[Pool], demand: Vector, tasks: int, zones: ZoneLimits, start: float
    ) -> list[Opening]:
        openings: list[Opening] = []
        limits = zones.copy()
        for pool in pools:
            opening = Opening(pool, start, [])
            local = start - self._delay_s(pool)
            for machine in self._machines.get(pool, ()):
                most = limits.most(pool, tasks)
                count = min(most, machine.fitting_tasks(demand, local))
                if count:
                    opening.shares.append((machine, count))
                    limits.use(pool, count)
                    tasks -= count
            openings.append(opening)
        return openings

    def take(self, opening: Opening, demand: Vector, start: float, end: float) -> None:
        """Place an opening's tasks from `start` to `end`; `NEVER`: they don't end."""
        delay_s = self._delay_s(opening.pool)
        for machine, tasks in opening.shares:
            amount = tuple(tasks * part for part in demand)
            machine.take(amount, start - delay_s, round_up_to_step(end - delay_s))
        if end == NEVER:
            self._final_counts.pop(opening.pool, None)

    def count_finally(self, pools: Iterable[Pool], demand: Vector, zones: ZoneLimits) -> int:
        """Return how many tasks fit at once when all that ends has ended."""
        return zones.count((pool, self._count_finally(pool, demand)) for pool in pools)

    def _count_finally(self, pool: Pool, demand: Vector) -> int:
        counts = self._final_counts.setdefault(pool, {})
        if demand not in counts:
            machines = self._machines.get(pool, ())
            counts[demand] = sum(one.fitting_tasks(demand, NEVER) for one in machines)
        return counts[demand]

    def delay(self, pools: Iterable[Pool], demand: Vector, tasks: int, run_s: float) -> None:
        """Delay all machines of these pools equally by runs of tasks that are spread over them."""
        wanted = list(pools)
        total = sum(self._count_finally(pool, demand) for pool in wanted)
        if not total:
            return
        for pool in wanted:
            self._delays_s[pool] = self._delay_s(pool) + tasks / total * run_s
