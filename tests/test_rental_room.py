"""What a rental plan counts as room: what placement would use, on one machine, and nothing else.

A plan that counts more rents nothing, and a job waits for ever beside machines that the cloud
would rent. One that counts less rents machines that nobody needs.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from chalkgrade.machines.flavors import Flavor
from chalkgrade.machines.message_size import machine_capacity, machine_demand
from chalkgrade.machines.placement import Slot, choose_gang_slots, choose_slot
from chalkgrade.record.jobs import JobSpec
from chalkgrade.region.world import World, tell
from chalkgrade.renting.headroom import NEVER
from chalkgrade.renting.machine_timeline import MachineCapacity, MachineTimeline
from chalkgrade.renting.plan import RentalNeed, plan_rentals
from chalkgrade.renting.zone_limits import ZoneLimits
from chalkgrade.vectors import Vector, count_fitting, minus, plus
from test_membership import _wait_until
from test_placement_rentals import spec
from test_repeated_submissions import _accept, _add_job

BOX = Flavor("box", 4, 16, ["a", "b"], gpus=2, hourly=0.3, spotPrice=0.1, bootS=6)
FLAVORS = {"box": BOX}
WAIT_S = 90.0  # the longest that a job may wait beside machines that can be rented


def _free(*used: Vector) -> Vector:
    """What is free on a box beside attempts that take so many CPUs, GPUs and GB."""
    free = machine_capacity(BOX.resources)
    for cpus, gpus, memory_gb in used:
        free = minus(free, machine_demand(spec(vcpus=cpus, gpus=gpus, memoryGb=memory_gb)))
    return free


def _beside(*used: Vector, zone: str = "a") -> MachineCapacity:
    """A box whose room beside replicas of services never grows."""
    return MachineCapacity(("box", zone, True), _free(*used))


def _rented(one: JobSpec, have: list[MachineCapacity], **changes: Any) -> dict[Any, int]:
    need = RentalNeed(one, one.tasks, 10.0, 10.0, **changes)
    return plan_rentals([need], have, FLAVORS, [])


def test_cpus_beside_a_service_that_holds_the_memory_are_no_room() -> None:
    """Guards against a job without a machine after its spot machine was taken (review/6)."""
    have = [_beside((1.0, 0.0, 12.0))]
    assert sum(_rented(spec(tasks=1, memoryGb=12.0), have).values()) == 1
    assert _rented(spec(tasks=3, memoryGb=1.0), have) == {}


def test_cpus_beside_a_service_that_holds_the_gpus_are_no_room() -> None:
    """Guards against a job that needs GPUs and waits for ever beside a service (review/6)."""
    have = [_beside((1.0, 2.0, 1.0))]
    assert sum(_rented(spec(tasks=1, gpus=1.0), have).values()) == 1


def test_a_machine_whose_reports_are_full_is_no_room() -> None:
    """Guards against work that waits for CPUs of a machine that can't report another task."""
    free = (*_free()[:3], 10.0)
    assert sum(_rented(spec(tasks=1), [MachineCapacity(("box", "a", True), free)]).values()) == 1


def test_single_cpus_of_several_machines_are_no_room_for_a_wide_task() -> None:
    """Guards against a wide task for which free CPUs of several machines add up (review/7)."""
    have = [_beside((1.0, 0.0, 1.0), zone=zone) for zone in ("a", "b", "a")]
    assert sum(_rented(spec(tasks=1, vcpus=4.0), have).values()) == 1
    assert _rented(spec(tasks=3, vcpus=3.0), have) == {}


def test_what_ends_one_after_the_other_adds_up_on_one_machine() -> None:
    """Guards against machines that are rented for a task whose room comes free in time."""
    full = _free(*[(1.0, 0.0, 2.0)] * 4)
    ends = [(at, machine_demand(spec())) for at in (1.0, 2.0, 3.0, 8.0)]
    wide = spec(tasks=1, vcpus=4.0)
    assert _rented(wide, [MachineCapacity(("box", "a", True), full, 0.0, ends)]) == {}
    late = [*ends[:3], (40.0, ends[3][1])]
    assert sum(_rented(wide, [MachineCapacity(("box", "a", True), full, 0.0, late)]).values()) == 1


def test_room_in_a_zone_that_is_full_of_the_job_does_not_count() -> None:
    """Guards against a replica that must be in another zone and waits for ever beside room."""
    replicas = spec(shape="service", tasks=2, spread=True)
    need = RentalNeed(replicas, 1, 10.0, 10.0, {"a": 0, "b": 1})
    assert plan_rentals([need], [_beside()], FLAVORS, []) == {("box", "b", True): 1}
    assert plan_rentals([need], [_beside(), _beside(zone="b")], FLAVORS, []) == {}


def test_waiting_replicas_do_not_take_turns() -> None:
    """Guards against replicas that are planned as if they ended after a moment."""
    replicas = spec(shape="service", tasks=3, vcpus=4.0, expectedS=0.0)
    need = RentalNeed(replicas, 3, 1.0, 10.0)
    assert sum(plan_rentals([need], [_beside()], FLAVORS, []).values()) == 2


def test_a_gang_needs_room_at_once_beside_services_and_in_one_zone() -> None:
    """Guards against a gang for which machines count as empty, or those of all zones."""
    gang = spec(shape="gang", tasks=4, vcpus=3.0)
    have = [_beside((2.0, 0.0, 1.0)), _beside()]
    assert sum(_rented(gang, have).values()) == 3
    zones = [_beside(zone=zone) for zone in ("a", "a", "b", "b")]
    bound = spec(shape="gang", tasks=4, vcpus=3.0, oneZone=True)
    assert _rented(spec(shape="gang", tasks=4, vcpus=3.0), zones) == {}
    assert _rented(bound, zones) == {("box", "a", True): 2}
    half = spec(shape="gang", tasks=4, vcpus=3.0, spread=True)
    assert _rented(half, zones, zone_limits={"a": 2, "b": 2}) == {}
    assert _rented(half, zones[:2] * 2, zone_limits={"a": 2, "b": 2}) == {("box", "b", True): 2}


def _draw_task(rng: random.Random) -> JobSpec:
    return spec(
        tasks=rng.randrange(1, 4),
        shape=rng.choice(["batch", "service", "gang"]),
        vcpus=rng.choice([0.0, 0.5, 1.0, 2.0, 4.0]),
        gpus=rng.choice([0.0, 0.0, 1.0, 2.0]),
        memoryGb=rng.choice([0.0, 1.0, 4.0, 9.0, 16.0]),
        site=rng.choice([None, None, "a", "b"]),
        standby=rng.random() < 0.7,
        oneZone=rng.random() < 0.3,
        pullGb=0.0,
    )


def _draw_free(rng: random.Random) -> Vector:
    """What is free on a box beside replicas that were drawn and fit there."""
    free = _free()
    for _ in range(rng.randrange(6)):
        task = _draw_task(rng)
        if count_fitting(machine_demand(task), free, 1):
            free = minus(free, machine_demand(task))
    return free


@pytest.mark.parametrize("seed", range(4))
def test_a_plan_rents_where_placement_finds_no_room_and_only_there(seed: int) -> None:
    """Guards against any amount that the plan and the placement count by different rules.

    Nothing ends on these machines, so that what has no room now never gets any.
    """
    rng = random.Random(seed)
    outcomes = {True: 0, False: 0}
    for _ in range(400):
        one, slots, have = _draw_task(rng), [], []
        for number in range(rng.randrange(5)):
            zone, standby, free = rng.choice("ab"), rng.random() < 0.5, _draw_free(rng)
            slots.append(Slot(f"m{number}", "box", zone, standby, free, _free()))
            have.append(MachineCapacity(("box", zone, standby), free))
        if one.shape == "gang":
            fits = choose_gang_slots(one, one.tasks, slots, {}) is not None
        else:
            one = spec(**{**_fields(one), "tasks": 1})
            fits = choose_slot(one, slots, {"a", "b"}) is not None
        outcomes[fits] += 1
        assert (_rented(one, have) == {}) == fits, (one, have)
    assert min(outcomes.values()) > 40


def _fields(one: JobSpec) -> dict[str, Any]:
    return {name: getattr(one, name) for name in one.__struct_fields__}


@pytest.mark.parametrize("seed", range(3))
def test_a_timeline_counts_as_a_list_of_all_that_is_held(seed: int) -> None:
    """Compared with a sum over what is held at each moment: room is never used twice."""
    rng = random.Random(seed)
    for _ in range(100):
        total = (8.0, 0.0, 32.0, 5000.0)
        held = [
            (float(rng.randrange(1, 20)), (float(rng.randrange(3)), 0.0, 2.0, 100.0))
            for _ in range(4)
        ]
        free = total
        for _, amount in held:
            free = minus(free, amount)
        timeline = MachineTimeline(MachineCapacity(("box", "a", True), free, 0.0, held))
        taken: list[tuple[float, float, Vector]] = []

        def left_at(at: float) -> Vector:
            left = free  # noqa: B023 - called within the same turn of the loop
            for end, amount in held:  # noqa: B023
                left = plus(left, amount) if end <= at else left
            for start, end, amount in taken:  # noqa: B023
                left = minus(left, amount) if start <= at < end else left
            return left

        for _ in range(12):
            demand = (float(rng.randrange(1, 4)), 0.0, float(rng.randrange(4)), 100.0)
            start = timeline.earliest_fit(demand)
            if start == NEVER:
                continue
            tasks = rng.randrange(1, timeline.fitting_tasks(demand, start) + 1)
            end = NEVER if rng.random() < 0.2 else start + rng.randrange(1, 9)
            amount = tuple(tasks * part for part in demand)
            timeline.take(amount, start, end)
            taken.append((start, end, amount))
            times = [0.5 * step for step in range(120)]
            assert all(min(left_at(at)) >= -1e-6 for at in times), "room was used twice"
            assert all(
                timeline.fitting_tasks((1.0, 0.0, 0.0, 0.0), at) <= left_at(at)[0] + 1e-6
                for at in times
            )
            assert timeline.fitting_tasks((1.0, 0.0, 0.0, 0.0), 1e6) == left_at(1e6)[0]


def test_limits_of_zones_are_used_up() -> None:
    limits = ZoneLimits({"a": 1})
    pools = [("box", "a", True), ("box", "a", False), ("box", "b", True)]
    assert limits.count((pool, 2) for pool in pools) == 3
    limits.copy().use(pools[0], 1)
    assert limits.most(pools[1], 5) == 1 and limits.most(pools[2], 5) == 5
    limits.use(pools[0], 1)
    assert limits.most(pools[1], 5) == 0


# -- whole regions: a machine is taken back ------------------------------------------------------


Setting = Callable[[World], Awaitable[str]]


async def _run(world: World, number: int, **changes: Any) -> str:
    """Submit a job and wait until it runs; returns the machine of its first task."""
    fields = {"tasks": 1, "expectedS": 25.0, "hosttypes": ["small"], "pullGb": 0.0}
    name = _add_job(world, number, **(fields | changes))
    await _accept(world, name)
    await _wait_until(world, 60.0, lambda: world.present_of_job(name))
    return next(worker.name for worker, task in world.present() if task.name == f"{name}/0")


async def _memory_held(world: World) -> str:
    """As review/6: a service holds the memory of the only other machine."""
    machine = await _run(world, 1, memoryGb=12.0)
    service = {"shape": "service", "expectedS": 0.0, "standby": False}
    site = "b" if world.cloud.machines[machine]["site"] == "a" else "a"
    await _run(world, 2, memoryGb=12.0, site=site, **service)
    return machine


async def _single_cpus_held(world: World) -> str:
    """As review/7: two services hold one CPU each of two other machines."""
    machine = await _run(world, 1, vcpus=4.0, memoryGb=12.0, urgency="high")
    for number, site in enumerate("ab", 2):
        await _run(world, number, shape="service", expectedS=0.0, standby=False, site=site)
    return machine


@pytest.mark.parametrize("hold", [_memory_held, _single_cpus_held])
def test_a_job_whose_machine_is_taken_back_gets_another_one(hold: Setting) -> None:
    """Guards against an accepted job that never runs again (review/6 and review/7)."""

    async def story(world: World) -> None:
        machine = await hold(world)
        taken_at = world.now
        world.cloud.kill(machine)
        await _wait_until(world, WAIT_S, lambda: "run-000001/0" in world.done)
        assert any(at > taken_at for at, _ in world.cloud.rented)

    tell(story, 2, loss=0.0)


def test_a_replica_that_must_be_in_another_zone_gets_a_machine_there() -> None:
    """Guards against room in a zone that has as many replicas of the job as it may."""

    async def story(world: World) -> None:
        service = {"shape": "service", "expectedS": 0.0, "standby": False}
        await _run(world, 1, site="a", **service)
        name = _add_job(world, 2, tasks=2, spread=True, hosttypes=["small"], **service)
        await _accept(world, name)
        await _wait_until(world, WAIT_S, lambda: len(world.present_of_job(name)) == 2)

    tell(story, 2, loss=0.0)
