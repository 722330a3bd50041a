"""The machines of a rental plan, and where tasks can start first. Pure.

A task fits where placement would place it: on one machine, with all that it takes. A plan that
added up the CPUs of several machines, or looked at CPUs alone, would wait for room that no task can
use, and rent nothing.
"""

import bisect
import heapq
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from chalkgrade.machines.flavors import Pool
from chalkgrade.renting.headroom import NEVER, round_up_to_step
from chalkgrade.renting.machine_timeline import MachineCapacity, MachineTimeline
from chalkgrade.renting.zone_limits import ZoneLimits
from chalkgrade.vectors import Vector


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
            opening = Opening(pool, start, queues[pool].shares(fit, limits.most(pool, most)))
            openings.append(opening)
            limits.use(pool, opening.tasks)
            most -= opening.tasks
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
        """Return where `tasks` tasks can start at a time at which they all fit."""
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
        """Delay all machines of these pools equally by runs of tasks that are spread over them.

        No machine may be added to them afterwards.
        """
        wanted = list(pools)
        total = sum(self._count_finally(pool, demand) for pool in wanted)
        if not total:
            return
        for pool in wanted:
            self._delays_s[pool] = self._delay_s(pool) + tasks / total * run_s
