"""Decides which machines to rent for waiting work. Does no I/O."""

import heapq
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from chalkgrade import constants
from chalkgrade.machines.flavors import SPOT_OPTIONS, Flavor, Pool, tasks_per_machine
from chalkgrade.machines.placement import may_use_machine
from chalkgrade.record.jobs import JobSpec
from chalkgrade.renting.boot_times import BootTimes
from chalkgrade.renting.headroom import Headroom, round_up_to_step
from chalkgrade.renting.report import PlanReport


@dataclass
class RentalNeed:
    """Waiting tasks of one job, or of several jobs with the same requirements."""

    spec: JobSpec
    tasks: int
    run_s: float  # expected run time of one task
    patience_s: float  # how long the last of them may wait to start


@dataclass
class MachineCapacity:
    """A machine that is up or booting: in how many seconds how many of its CPUs become free."""

    pool: Pool
    free_cpus: list[tuple[float, int]]


class _CpuTimelines:
    """CPUs by pool and by the time step at which they become free.

    CPUs are counted per time step, not listed one by one, so that a plan for thousands of tasks
    doesn't need an operation for each.
    """

    def __init__(self, capacities: Iterable[MachineCapacity]) -> None:
        counts: dict[tuple[Pool, float], int] = {}
        for machine in capacities:
            for free, cpus in machine.free_cpus:
                key = machine.pool, round_up_to_step(free)
                counts[key] = counts.get(key, 0) + cpus
        self.pools: dict[Pool, list[tuple[float, int]]] = {}
        for (pool, free), cpus in counts.items():
            self.add(pool, free, cpus)

    def add(self, pool: Pool, free: float, cpus: int) -> None:
        """Adds CPUs of a pool that become free in `free` seconds."""
        if cpus > 0:
            heapq.heappush(self.pools.setdefault(pool, []), (free, cpus))

    def take_earliest(self, usable: list[Pool], cpus: int) -> list[tuple[Pool, float, int]]:
        """Removes and returns the first `cpus` CPUs to become free in these pools, or all."""
        out: list[tuple[Pool, float, int]] = []
        while cpus > 0:
            heads = [(self.pools[p][0][0], p) for p in usable if self.pools.get(p)]
            if not heads:
                break
            free, pool = min(heads)
            _, count = heapq.heappop(self.pools[pool])
            self.add(pool, free, count - cpus)
            out.append((pool, free, min(count, cpus)))
            cpus -= min(count, cpus)
        return out

    def delay(self, usable: list[Pool], cpus: int, run_s: float) -> None:
        """Delays all CPUs of these pools equally by `cpus` one-CPU runs spread over them."""
        total = sum(count for pool in usable for _, count in self.pools.get(pool, ()))
        more = cpus / total * run_s if total else 0.0
        for pool in usable:
            self.pools[pool] = [(free + more, count) for free, count in self.pools.get(pool, ())]

    def earliest_cpus(self, usable: list[Pool]) -> int:
        """Returns how many CPUs become free at the earliest time in one of these pools."""
        heads = [(*self.pools[p][0], p) for p in usable if self.pools.get(p)]
        return min(heads)[1] if heads else 0


def effective_hourly_price(flavor: Flavor, standby: bool) -> float:
    """Price of an hour of use, including its share of the boot time, which is charged too."""
    hourly = flavor.spotPrice if standby else flavor.hourly
    return hourly * (1 + flavor.bootS / constants.EXPECTED_RENTAL_DURATION_S)


def _cheapest_offer(
    spec: JobSpec, tasks: int, start_s: float, flavors: dict[str, Flavor], closed: set[Pool]
) -> tuple[Pool, int] | None:
    """Returns the pool with the cheapest useful capacity for the tasks, and tasks per machine.

    `start_s` is when the first of them could start without a new machine. Returns None if no
    open pool is suitable at an acceptable price.
    """
    offers = []
    cheapest = float("inf")
    for flavor in flavors.values():
        count = tasks_per_machine(spec, flavor)
        if count < 1:
            continue
        for site in flavor.sites:
            for standby in SPOT_OPTIONS:
                pool = (flavor.sku, site, standby)
                if not may_use_machine(spec, *pool):
                    continue
                full = effective_hourly_price(flavor, standby) / count
                cheapest = min(cheapest, full)
                if pool not in closed:
                    # Only capacity that can be filled now is useful, not all of a big machine.
                    offers.append(
                        (
                            effective_hourly_price(flavor, standby) / min(count, tasks),
                            full,
                            pool,
                            count,
                        )
                    )
    # Expensive pools are for work that would otherwise wait very long or for ever.
    any_price = _allows_expensive_pools(start_s)
    for _, full, pool, count in sorted(offers):
        if any_price or full <= cheapest * constants.MAX_PRICE_RATIO:
            return pool, count
    return None


def _allows_expensive_pools(start_s: float) -> bool:
    """Whether work that would otherwise start in `start_s` seconds may use expensive pools."""
    return start_s > constants.EXPENSIVE_POOL_WAIT_S


class RentalPlan:
    """A rental plan under construction: tasks placed so far and machines to rent by pool."""

    def __init__(
        self,
        capacities: Iterable[MachineCapacity],
        flavors: dict[str, Flavor],
        blocked: Iterable[Pool],
        boots: BootTimes,
        report: PlanReport,
        headroom: Mapping[str, Headroom],
    ) -> None:
        self.rented: dict[Pool, int] = {}
        self._machines = list(capacities)
        self._timelines = _CpuTimelines(self._machines)
        self._flavors = flavors
        self._closed_pools = set(blocked)
        self._boots = boots
        self._report = report
        self._headroom = headroom
        # Tasks that a limit holds back until after a machine rented now has booted can wait.
        self._min_boot_s = min((flavor.bootS for flavor in flavors.values()), default=0.0)

    def add(self, need: RentalNeed) -> None:
        """Places the tasks of a need on existing CPUs; rents where they would wait too long."""
        spec = need.spec
        headroom = self._headroom.get(spec.owner) or Headroom()
        within_s = max(need.patience_s, self._min_boot_s)
        if (
            headroom.earliest_start(spec, self._min_start_together(need, need.tasks), within_s)
            > within_s
        ):
            return
        usable = self._usable_pools(spec)
        if spec.shape == "gang":
            self._rent_for_gang(need, usable)
        self._place_tasks(need, headroom, within_s, usable)

    def _min_start_together(self, need: RentalNeed, left: int) -> int:
        """How many of the need's tasks must start together at least."""
        return left if need.spec.shape == "gang" else 1

    def _usable_pools(self, spec: JobSpec) -> list[Pool]:
        """Pools whose machines may run the job and are large enough for one of its tasks."""
        flavors = self._flavors
        every = {
            (f.sku, site, spot)
            for f in flavors.values()
            for site in f.sites
            for spot in SPOT_OPTIONS
        }
        return sorted(
            pool
            for pool in every | set(self._timelines.pools)
            if may_use_machine(spec, *pool)
            and pool[0] in flavors
            and tasks_per_machine(spec, flavors[pool[0]]) >= 1
        )

    def _boot_s(self, pool: Pool) -> float:
        """Expected boot time of a machine of the pool."""
        return self._boots.expected_boot_s(pool, self._flavors[pool[0]].bootS)

    def _rent(self, spec: JobSpec, pool: Pool, cpus: int) -> None:
        """Adds one machine to the plan; `cpus` of its CPUs are usable by the job."""
        self.rented[pool] = self.rented.get(pool, 0) + 1
        if self.rented[pool] >= constants.MAX_RENTED_PER_REQUEST:
            self._closed_pools.add(pool)
        self._timelines.add(pool, self._boot_s(pool), cpus)
        self._report.team_plan(spec.owner).rented += int(self._flavors[pool[0]].vcpus)

    def _rent_for_gang(self, need: RentalNeed, usable: list[Pool]) -> None:
        """Rents machines until all the gang's tasks fit at once, as they can't run in turns."""
        spec = need.spec
        machine_flavors = [self._flavors[m.pool[0]] for m in self._machines if m.pool in usable]
        missing = need.tasks - sum(tasks_per_machine(spec, flavor) for flavor in machine_flavors)
        while missing > 0:
            offer = _cheapest_offer(spec, missing, float("inf"), self._flavors, self._closed_pools)
            if offer is None:
                return
            self._rent(spec, offer[0], offer[1] * _cpus_per_task(spec))
            missing -= offer[1]

    def _place_tasks(
        self, need: RentalNeed, headroom: Headroom, within_s: float, usable: list[Pool]
    ) -> None:
        """Places a need's tasks in the order of their start and rents where that pays off."""
        spec, left, task_cpus, timelines = (
            need.spec,
            need.tasks,
            _cpus_per_task(need.spec),
            self._timelines,
        )
        # Each entry: whether expensive pools were included in a search that found no offer.
        searched_without_offer: set[bool] = set()
        while left > 0:
            may_start = headroom.earliest_start(
                spec, self._min_start_together(need, left), within_s
            )
            if may_start > within_s:
                return  # the limits let nothing more start in time, whatever is rented
            if True in searched_without_offer:
                # Nothing can be rented for the remaining tasks, however late they start: they
                # only delay others. A huge job must not need a step for each wave of tasks.
                left = headroom.startable_tasks(spec, left, within_s)
                headroom.consume(spec, left)
                timelines.delay(usable, left * task_cpus, need.run_s)
                self._report.add_placed(
                    spec.owner, left * spec.vcpus, float("inf"), need.patience_s
                )
                return
            # Tasks that start at the same time are placed in one step.
            at_once = min(
                headroom.startable_tasks(spec, left, may_start),
                timelines.earliest_cpus(usable) // task_cpus,
            )
            tasks = max(at_once, self._min_start_together(need, left))
            taken = timelines.take_earliest(usable, tasks * task_cpus)
            full = sum(cpus for _, _, cpus in taken) == tasks * task_cpus
            start = max(free for _, free, _ in taken) if full else float("inf")
            offer = None
            if (
                start > max(need.patience_s, may_start)
                and _allows_expensive_pools(start) not in searched_without_offer
            ):
                offer = _cheapest_offer(spec, left, start, self._flavors, self._closed_pools)
                if offer is None:
                    # Pools only close while a plan is being made, so the search isn't repeated.
                    searched_without_offer.add(_allows_expensive_pools(start))
                if offer is not None and self._boot_s(offer[0]) >= start:
                    offer = None
            if offer is None and start < float("inf"):
                start = max(start, may_start)
                for pool, _, cpus in taken:
                    timelines.add(pool, start + need.run_s, cpus)
                headroom.consume(spec, tasks)
                headroom.add_release(spec, tasks, start + need.run_s)
                left -= tasks
                self._report.add_placed(spec.owner, tasks * spec.vcpus, start, need.patience_s)
                continue
            for pool, free, cpus in taken:
                timelines.add(pool, free, cpus)
            if offer is None:
                return
            self._rent(spec, offer[0], offer[1] * task_cpus)


def _cpus_per_task(spec: JobSpec) -> int:
    """Whole CPUs that one task uses in a plan."""
    return max(1, math.ceil(spec.vcpus - 1e-9))


def plan_rentals(
    needs: Iterable[RentalNeed],
    capacities: Iterable[MachineCapacity],
    flavors: dict[str, Flavor],
    blocked: Iterable[Pool],
    boots: BootTimes | None = None,
    report: PlanReport | None = None,
    headroom: Mapping[str, Headroom] | None = None,
) -> dict[Pool, int]:
    """Returns how many machines to rent from each pool.

    Waiting tasks are placed on the existing CPUs in the order in which they would
    start. Where a task would wait longer than its job's patience, and longer than a
    new machine takes to boot, a machine is added. A team's tasks count from the time
    at which its limits let them start (`headroom`, by team), if that is within their
    patience or within the boot time of a machine rented now. Pools in `blocked` are
    not rented from.
    """
    plan = RentalPlan(
        capacities, flavors, blocked, boots or BootTimes(), report or PlanReport(), headroom or {}
    )
    for need in needs:
        plan.add(need)
    return plan.rented
