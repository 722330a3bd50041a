"""Which machines to rent for the work that waits. Pure."""

import heapq
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from chalkgrade import constants
from chalkgrade.machines.flavors import SPOT_OPTIONS, Flavor, Pool, tasks_per_machine
from chalkgrade.machines.placement import may_use_machine
from chalkgrade.record.jobs import JobSpec
from chalkgrade.renting.boots import Boots
from chalkgrade.renting.headroom import Headroom, step
from chalkgrade.renting.report import PlanReport


@dataclass
class Need:
    """Waiting tasks of a job, or of several that are alike."""

    spec: JobSpec
    tasks: int
    run_s: float  # expected run time of one
    patience_s: float  # how long the last of them may wait for its start


@dataclass
class Have:
    """A machine there or on its way: when how many of its CPUs are free next."""

    pool: Pool
    free_in: list[tuple[float, int]]


class _Lanes:
    """CPUs by pool and by the time at which they come free, in steps of a moment.

    Counted, not listed: a plan for thousands of tasks must not take a step each.
    """

    def __init__(self, have: Iterable[Have]) -> None:
        counts: dict[tuple[Pool, float], int] = {}
        for machine in have:
            for free, cpus in machine.free_in:
                key = machine.pool, step(free)
                counts[key] = counts.get(key, 0) + cpus
        self.pools: dict[Pool, list[tuple[float, int]]] = {}
        for (pool, free), cpus in counts.items():
            self.add(pool, free, cpus)

    def add(self, pool: Pool, free: float, cpus: int) -> None:
        if cpus > 0:
            heapq.heappush(self.pools.setdefault(pool, []), (free, cpus))

    def take(self, usable: list[Pool], cpus: int) -> list[tuple[Pool, float, int]]:
        """The first CPUs to come free in these pools: so many, or all there are."""
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
        """Lay so many one-CPU runs on these pools, all their CPUs alike."""
        total = sum(count for pool in usable for _, count in self.pools.get(pool, ()))
        more = cpus / total * run_s if total else 0.0
        for pool in usable:
            self.pools[pool] = [(free + more, count) for free, count in self.pools.get(pool, ())]

    def first(self, usable: list[Pool]) -> int:
        """How many CPUs come free at the same time as the first one."""
        heads = [(*self.pools[p][0], p) for p in usable if self.pools.get(p)]
        return min(heads)[1] if heads else 0


def price(flavor: Flavor, standby: bool) -> float:
    """What an hour of use costs, with the boot time that is charged before it."""
    hourly = flavor.spotPrice if standby else flavor.hourly
    return hourly * (1 + flavor.bootS / constants.EXPECTED_RENTAL_DURATION_S)


def _offer(
    spec: JobSpec, tasks: int, start: float, flavors: dict[str, Flavor], shut: set[Pool]
) -> tuple[Pool, int] | None:
    """The pool with the cheapest useful room for so many tasks, and tasks per machine.

    `start` is when the first of them could start without it.
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
                full = price(flavor, standby) / count
                cheapest = min(cheapest, full)
                if pool not in shut:
                    # Useful room is what can be filled now, not all of a big machine.
                    offers.append((price(flavor, standby) / min(count, tasks), full, pool, count))
    # Dear pools are for work that would else wait for very long, or for ever.
    ratio = float("inf") if _dear(start) else constants.MAX_PRICE_RATIO
    for _, full, pool, count in sorted(offers):
        if full <= cheapest * ratio:
            return pool, count
    return None


def _dear(start: float) -> bool:
    """Whether work that would start then may use dear pools."""
    return start > constants.EXPENSIVE_POOL_WAIT_S


class RentalPlan:
    """One plan in the making: what is laid where so far, and what is to be rented."""

    def __init__(
        self,
        have: Iterable[Have],
        flavors: dict[str, Flavor],
        blocked: Iterable[Pool],
        boots: Boots,
        report: PlanReport,
        headroom: Mapping[str, Headroom],
    ) -> None:
        self.rented: dict[Pool, int] = {}
        self._machines = list(have)
        self._lanes = _Lanes(self._machines)
        self._flavors = flavors
        self._shut = set(blocked)
        self._boots = boots
        self._report = report
        self._headroom = headroom
        # What a team may start only after a machine that is rented now is up can wait.
        self._soonest_s = min((flavor.bootS for flavor in flavors.values()), default=0.0)

    def add(self, need: Need) -> None:
        """Lay the tasks of a need on what there is, and rent where they would wait too long."""
        spec = need.spec
        maxima = self._headroom.get(spec.owner) or Headroom()
        within_s = max(need.patience_s, self._soonest_s)
        if maxima.start(spec, self._together(need, need.tasks), within_s) > within_s:
            return
        usable = self._usable(spec)
        if spec.shape == "gang":
            self._rent_for_gang(need, usable)
        self._lay(need, maxima, within_s, usable)

    def _together(self, need: Need, left: int) -> int:
        """How many of its tasks start together at least."""
        return left if need.spec.shape == "gang" else 1

    def _usable(self, spec: JobSpec) -> list[Pool]:
        """Pools whose machines may run it; those too small for one task don't help it."""
        flavors = self._flavors
        every = {
            (f.sku, site, spot)
            for f in flavors.values()
            for site in f.sites
            for spot in SPOT_OPTIONS
        }
        return sorted(
            pool
            for pool in every | set(self._lanes.pools)
            if may_use_machine(spec, *pool)
            and pool[0] in flavors
            and tasks_per_machine(spec, flavors[pool[0]]) >= 1
        )

    def _boot_s(self, pool: Pool) -> float:
        return self._boots.expected(pool, self._flavors[pool[0]].bootS)

    def _rent(self, spec: JobSpec, pool: Pool, cpus: int) -> None:
        self.rented[pool] = self.rented.get(pool, 0) + 1
        if self.rented[pool] >= constants.MAX_RENTED_PER_REQUEST:
            self._shut.add(pool)
        self._lanes.add(pool, self._boot_s(pool), cpus)
        self._report.of(spec.owner).rented += int(self._flavors[pool[0]].vcpus)

    def _rent_for_gang(self, need: Need, usable: list[Pool]) -> None:
        """All at once: what fits the machines one after the other does not help it."""
        spec = need.spec
        rooms = [self._flavors[m.pool[0]] for m in self._machines if m.pool in usable]
        missing = need.tasks - sum(tasks_per_machine(spec, room) for room in rooms)
        while missing > 0:
            offer = _offer(spec, missing, float("inf"), self._flavors, self._shut)
            if offer is None:
                return
            self._rent(spec, offer[0], offer[1] * _width(spec))
            missing -= offer[1]

    def _lay(self, need: Need, maxima: Headroom, within_s: float, usable: list[Pool]) -> None:
        spec, left, width, lanes = need.spec, need.tasks, _width(need.spec), self._lanes
        hopeless: set[bool] = set()  # whether dear pools were asked, too, and none would do
        while left > 0:
            may_start = maxima.start(spec, self._together(need, left), within_s)
            if may_start > within_s:
                return  # what is left may not start in time, whatever is rented
            if True in hopeless:
                # Nothing can be rented for what is left, however late: it only keeps
                # the others waiting. A huge job must not cost a step each wave.
                left = maxima.count(spec, left, within_s)
                maxima.take(spec, left)
                lanes.delay(usable, left * width, need.run_s)
                self._report.laid(spec.owner, left * spec.vcpus, float("inf"), need.patience_s)
                return
            # Tasks that start at the same moment are laid at once.
            at_once = min(maxima.count(spec, left, may_start), lanes.first(usable) // width)
            tasks = max(at_once, self._together(need, left))
            taken = lanes.take(usable, tasks * width)
            full = sum(cpus for _, _, cpus in taken) == tasks * width
            start = max(free for _, free, _ in taken) if full else float("inf")
            offer = None
            if start > max(need.patience_s, may_start) and _dear(start) not in hopeless:
                offer = _offer(spec, left, start, self._flavors, self._shut)
                if offer is None:
                    hopeless.add(_dear(start))  # pools only close while a plan is made
                if offer is not None and self._boot_s(offer[0]) >= start:
                    offer = None
            if offer is None and start < float("inf"):
                start = max(start, may_start)
                for pool, _, cpus in taken:
                    lanes.add(pool, start + need.run_s, cpus)
                maxima.take(spec, tasks)
                maxima.give(spec, tasks, start + need.run_s)
                left -= tasks
                self._report.laid(spec.owner, tasks * spec.vcpus, start, need.patience_s)
                continue
            for pool, free, cpus in taken:
                lanes.add(pool, free, cpus)
            if offer is None:
                return
            self._rent(spec, offer[0], offer[1] * width)


def _width(spec: JobSpec) -> int:
    """Whole CPUs that one task takes in a plan."""
    return max(1, math.ceil(spec.vcpus - 1e-9))


def plan_rent(
    needs: Iterable[Need],
    have: Iterable[Have],
    flavors: dict[str, Flavor],
    blocked: Iterable[Pool],
    boots: Boots | None = None,
    report: PlanReport | None = None,
    headroom: Mapping[str, Headroom] | None = None,
) -> dict[Pool, int]:
    """How many machines to rent from which pool.

    Waiting tasks are laid on the CPUs there are, in the order in which they
    would start; where a task would wait longer than its job's patience, and
    longer than a new machine takes to boot, a machine is added. A team's tasks
    count from when its maxima let them start (`headroom`, by team), as far as that
    is in time for their patience, or for a machine that is rented now.
    """
    plan = RentalPlan(
        have, flavors, blocked, boots or Boots(), report or PlanReport(), headroom or {}
    )
    for need in needs:
        plan.add(need)
    return plan.rented
