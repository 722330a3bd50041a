"""Decides which machines to rent for waiting work. Does no I/O."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from chalkgrade import constants
from chalkgrade.machines.flavors import SPOT_OPTIONS, Flavor, Pool, tasks_per_machine
from chalkgrade.machines.message_size import machine_capacity, machine_demand
from chalkgrade.machines.placement import may_use_machine
from chalkgrade.record.jobs import JobSpec
from chalkgrade.renting.boot_times import BootTimes
from chalkgrade.renting.headroom import NEVER, Headroom
from chalkgrade.renting.machine_timeline import MachineCapacity
from chalkgrade.renting.report import PlanReport
from chalkgrade.renting.room import FleetRoom, Opening
from chalkgrade.renting.zone_limits import ZoneLimits
from chalkgrade.vectors import Vector


@dataclass
class RentalNeed:
    """Waiting tasks of one job, or of several jobs with the same requirements."""

    spec: JobSpec
    tasks: int
    run_s: float  # expected run time of one task
    patience_s: float  # how long the last of them may wait to start
    # How many more of them may run at once in which zone; no entry: all.
    zone_limits: Mapping[str, int] = field(default_factory=dict)

    def min_start(self, left: int) -> int:
        """How many of the tasks must start together at least, with `left` of them waiting."""
        return left if self.spec.shape == "gang" else 1


def effective_hourly_price(flavor: Flavor, standby: bool) -> float:
    """Price of an hour of use, including its share of the boot time, which is charged too."""
    hourly = flavor.spotPrice if standby else flavor.hourly
    return hourly * (1 + flavor.bootS / constants.EXPECTED_RENTAL_DURATION_S)


def _cheapest_offer(
    spec: JobSpec,
    tasks: int,
    start_s: float,
    flavors: dict[str, Flavor],
    closed: set[Pool],
    usable: list[Pool],
) -> Pool | None:
    """Returns the usable pool with the cheapest useful capacity for the tasks.

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
                hourly = effective_hourly_price(flavor, standby)
                cheapest = min(cheapest, hourly / count)
                if pool not in closed and pool in usable:
                    # Only capacity that can be filled now is useful, not all of a big machine.
                    offers.append((hourly / min(count, tasks), hourly / count, pool))
    # Expensive pools are for work that would otherwise wait very long or for ever.
    any_price = _allows_expensive_pools(start_s)
    for _, full, pool in sorted(offers):
        if any_price or full <= cheapest * constants.MAX_PRICE_RATIO:
            return pool
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
        self._room = FleetRoom(capacities)
        self._flavors = flavors
        self._closed_pools = set(blocked)
        self._boots = boots
        self._report = report
        self._headroom = headroom
        # Tasks that a limit holds back until after a machine rented now has booted can wait.
        self._min_boot_s = min((flavor.bootS for flavor in flavors.values()), default=0.0)

    def add(self, need: RentalNeed) -> None:
        """Places the tasks of a need on existing machines; rents where they would wait too long."""
        spec = need.spec
        headroom = self._headroom.get(spec.owner) or Headroom()
        within_s = max(need.patience_s, self._min_boot_s)
        if headroom.earliest_start(spec, need.min_start(need.tasks), within_s) > within_s:
            return
        zones = ZoneLimits(need.zone_limits)
        usable = self._usable_pools(spec)
        if spec.shape == "gang":
            usable = self._gang_pools(need, usable, zones)
            self._rent_for_gang(need, usable, zones)
        self._place_tasks(need, headroom, within_s, usable, zones)

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
            for pool in every | self._room.pools
            if may_use_machine(spec, *pool)
            and pool[0] in flavors
            and tasks_per_machine(spec, flavors[pool[0]]) >= 1
        )

    def _boot_s(self, pool: Pool) -> float:
        """Expected boot time of a machine of the pool."""
        return self._boots.expected_boot_s(pool, self._flavors[pool[0]].bootS)

    def _rent(self, spec: JobSpec, pool: Pool) -> None:
        """Adds one machine to the plan, for a job."""
        self.rented[pool] = self.rented.get(pool, 0) + 1
        if self.rented[pool] >= constants.MAX_RENTED_PER_REQUEST:
            self._closed_pools.add(pool)
        flavor = self._flavors[pool[0]]
        free = machine_capacity(flavor.resources)
        self._room.add(MachineCapacity(pool, free, self._boot_s(pool)))
        self._report.team_plan(spec.owner).rented += int(flavor.vcpus)

    def _offer(self, spec: JobSpec, tasks: int, start_s: float, usable: list[Pool]) -> Pool | None:
        """Returns the best of the usable pools to rent from; see `_cheapest_offer`."""
        return _cheapest_offer(spec, tasks, start_s, self._flavors, self._closed_pools, usable)

    def _gang_pools(self, need: RentalNeed, usable: list[Pool], zones: ZoneLimits) -> list[Pool]:
        """Returns the usable pools, or those of one zone for a gang that needs one zone.

        Chosen is the zone in which most of its tasks fit, and of equal ones the first.
        """
        if not need.spec.oneZone:
            return usable
        demand = machine_demand(need.spec)
        by_zone: dict[str, list[Pool]] = {}
        for pool in usable:
            by_zone.setdefault(pool[1], []).append(pool)
        return max(
            (pools for _, pools in sorted(by_zone.items())),
            key=lambda pools: self._room.count_finally(pools, demand, zones),
            default=[],
        )

    def _rent_for_gang(self, need: RentalNeed, usable: list[Pool], zones: ZoneLimits) -> None:
        """Rents machines until all the gang's tasks fit at once, as they can't run in turns."""
        spec = need.spec
        demand = machine_demand(spec)
        while (missing := need.tasks - self._room.count_finally(usable, demand, zones)) > 0:
            # A machine is of no use in a zone that has as many tasks as it may have.
            useful = [
                pool
                for pool in usable
                if self._count_in_zone(usable, pool[1], demand) < zones.most(pool, need.tasks)
            ]
            pool = self._offer(spec, missing, NEVER, useful)
            if pool is None:
                return
            self._rent(spec, pool)

    def _count_in_zone(self, usable: list[Pool], zone: str, demand: Vector) -> int:
        """Returns how many tasks fit at once on a zone's machines when all that ends has ended."""
        pools = [pool for pool in usable if pool[1] == zone]
        return self._room.count_finally(pools, demand, ZoneLimits({}))

    def _openings(
        self, need: RentalNeed, usable: list[Pool], zones: ZoneLimits, left: int, most: int
    ) -> list[Opening]:
        """Returns where tasks of the need can start first, at one time; all of a gang's."""
        demand = machine_demand(need.spec)
        if need.spec.shape == "gang":
            return self._room.earliest_together(usable, demand, left, zones)
        return self._room.earliest(usable, demand, most, zones)

    def _place_tasks(
        self,
        need: RentalNeed,
        headroom: Headroom,
        within_s: float,
        usable: list[Pool],
        zones: ZoneLimits,
    ) -> None:
        """Places a need's tasks in the order of their start and rents where that pays off."""
        spec, left = need.spec, need.tasks
        # Each entry: whether expensive pools were included in a search that found no offer.
        searched_without_offer: set[bool] = set()
        while left > 0:
            # What remains beyond the limits of all zones waits for the job's own tasks.
            usable = [pool for pool in usable if zones.most(pool, left)]
            may_start = headroom.earliest_start(spec, need.min_start(left), within_s)
            if may_start > within_s or not usable:
                return  # the limits let nothing more start in time, whatever is rented
            if True in searched_without_offer:
                self._delay_others(need, headroom, left, within_s, usable)
                return
            most = max(1, headroom.startable_tasks(spec, left, may_start))
            openings = self._openings(need, usable, zones, left, most)
            start = openings[0].start if openings else NEVER
            offer = None
            if (
                start > max(need.patience_s, may_start)
                and _allows_expensive_pools(start) not in searched_without_offer
            ):
                offer = self._offer(spec, left, start, usable)
                if offer is None:
                    # Pools only close while a plan is being made, so the search isn't repeated.
                    searched_without_offer.add(_allows_expensive_pools(start))
                elif self._boot_s(offer) >= start:
                    offer = None
            if offer is not None:
                self._rent(spec, offer)
            elif openings:
                left -= self._take(need, headroom, openings, max(start, may_start), zones)
            else:
                return

    def _take(
        self,
        need: RentalNeed,
        headroom: Headroom,
        openings: list[Opening],
        start: float,
        zones: ZoneLimits,
    ) -> int:
        """Places tasks where they can start; returns how many."""
        spec, demand = need.spec, machine_demand(need.spec)
        # Replicas of a service don't end by themselves.
        end = NEVER if spec.shape == "service" else start + need.run_s
        for opening in openings:
            self._room.take(opening, demand, start, end)
            zones.use(opening.pool, opening.tasks)
        tasks = sum(opening.tasks for opening in openings)
        headroom.consume(spec, tasks)
        if end < NEVER:
            headroom.add_release(spec, tasks, end)
        self._report.add_placed(spec.owner, tasks * spec.vcpus, start, need.patience_s)
        return tasks

    def _delay_others(
        self,
        need: RentalNeed,
        headroom: Headroom,
        left: int,
        within_s: float,
        usable: list[Pool],
    ) -> None:
        """Counts tasks for which nothing can be rented, however late they start.

        They only delay others. A huge job must not need a step for each wave of tasks.
        """
        spec = need.spec
        tasks = headroom.startable_tasks(spec, left, within_s)
        headroom.consume(spec, tasks)
        self._room.delay(usable, machine_demand(spec), tasks, need.run_s)
        self._report.add_placed(spec.owner, tasks * spec.vcpus, NEVER, need.patience_s)


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

    Waiting tasks are placed on the existing machines in the order in which they would
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
