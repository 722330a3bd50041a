"""Placement, preemption and rental plans, on small cases with exact expected results."""

import random
from collections import Counter
from dataclasses import replace
from typing import Any

import pytest

from chalkgrade.machines.flavors import Flavor
from chalkgrade.machines.message_size import machine_capacity
from chalkgrade.machines.placement import (
    Occupant,
    PreemptionOffers,
    Slot,
    SlotPicker,
    choose_gang_slots,
    choose_slot,
    eligible_zones,
    occupy_slot,
    room_wait_s,
    select_victims,
)
from chalkgrade.record.jobs import JobSpec
from chalkgrade.renting.machine_timeline import MachineCapacity, MachineTimeline
from chalkgrade.renting.plan import RentalNeed, plan_rentals
from chalkgrade.renting.room import FleetRoom

SMALL = Flavor("small", 4, 16, ["a", "b"], hourly=0.3, spotPrice=0.1, bootS=30)
LARGE = Flavor("large", 64, 256, ["a"], hourly=5.0, spotPrice=1.6, bootS=40)
FLAVORS = {"small": SMALL, "large": LARGE}


def spec(**changes: Any) -> JobSpec:
    base: dict[str, Any] = {
        "nameId": "run-1",
        "jobclass": "c",
        "owner": "red",
        "shape": "batch",
        "urgency": "high",
        "tasks": 4,
        "vcpus": 1.0,
        "gpus": 0.0,
        "memoryGb": 2.0,
        "bundle": "img",
        "pullGb": 2.0,
        "oneZone": False,
        "spread": False,
        "standby": True,
        "expectedS": 10.0,
        "savepointS": 0.0,
        "flushS": 0.0,
    }
    return JobSpec(**(base | changes))


def slot(name: str, cpus: float = 4.0, site: str = "a", **changes: Any) -> Slot:
    return Slot(name, "small", site, True, (cpus, 0.0, 16.0), (4.0, 0.0, 16.0), **changes)


def machine(up_in_s: float = 0.0, zone: str = "a") -> MachineCapacity:
    return MachineCapacity(("small", zone, True), machine_capacity(SMALL.resources), up_in_s)


def busy(name: str, rank: int, left: float, lost: float, owner: str = "blue") -> Occupant:
    return Occupant(name, 1, owner, rank, (1.0, 0.0, 2.0), left, lost)


def test_a_held_image_beats_a_tighter_fit_and_tight_beats_empty() -> None:
    slots = [slot("empty"), slot("tight", 1.0), slot("holds", images={"img"})]
    assert choose_slot(spec(), slots, {"a"}).name == "holds"  # type: ignore[union-attr]
    assert choose_slot(spec(), slots[:2], {"a"}).name == "tight"  # type: ignore[union-attr]
    assert choose_slot(spec(), slots, {"b"}) is None
    assert choose_slot(spec(standby=False), slots, {"a"}) is None


def test_zones() -> None:
    assert eligible_zones(spec(oneZone=True), {"a": 1}, ["a", "b"]) == {"a"}
    assert eligible_zones(spec(spread=True), {"a": 2}, ["a", "b"]) == {"b"}
    # A task on an unknown machine may be in either zone.
    assert eligible_zones(spec(spread=True), {"a": 1, "": 1}, ["a", "b"]) == {"b"}


def test_a_gang_is_placed_whole_or_not_at_all() -> None:
    slots = [slot("one", 2.0), slot("two", 1.0)]
    assert choose_gang_slots(spec(), 4, slots, {}) is None
    assert [s.free[0] for s in slots] == [2.0, 1.0]
    found = choose_gang_slots(spec(), 3, slots, {})
    assert found is not None
    assert sorted(s.name for s in found) == ["one", "one", "two"]


def test_room_is_made_by_the_least_loss_among_lower_priorities_only() -> None:
    full = slot(
        "m",
        0.0,
        load_occupants=lambda: [busy("x", 0, 9, 5), busy("y", 0, 3, 1), busy("z", 2, 1, 0)],
    )
    found = select_victims(spec(), full, own=False)
    assert [victim.task for victim in found or []] == ["y"]
    assert select_victims(spec(urgency="best_effort"), full, own=False) is None
    assert select_victims(spec(), full, own=True) is None  # none of them belongs to the same team
    assert room_wait_s(spec(vcpus=2.0), full) == 3


def test_borrowed_room_returns_to_a_guarantee_but_no_more_than_was_borrowed() -> None:
    full = slot("m", 0.0, load_occupants=lambda: [busy("x", 1, 9, 5), busy("y", 1, 3, 1)])
    low = spec(urgency="best_effort", vcpus=2.0)
    assert len(select_victims(low, full, own=False, excess={"blue": (2.0, 0.0)}) or []) == 2
    assert select_victims(low, full, own=False, excess={"blue": (1.0, 0.0)}) is None
    assert select_victims(low, full, own=False, excess={}) is None


def test_rents_nothing_when_cpus_come_free_in_time() -> None:
    have = [machine(5.0)]
    assert plan_rentals([RentalNeed(spec(), 4, 10.0, 20.0)], have, FLAVORS, []) == {}


def test_rents_the_cheapest_useful_room() -> None:
    """Only capacity that the tasks can fill counts: four tasks don't justify a large machine.

    A small machine for 0.1 is chosen over a large one for 1.6, even if it isn't cheaper per CPU.
    """
    assert plan_rentals([RentalNeed(spec(), 4, 50.0, 20.0)], [], FLAVORS, []) == {
        ("small", "a", True): 1
    }
    # Per CPU both cost the same here, but boot time is charged: the faster boot is cheaper.
    rented = plan_rentals([RentalNeed(spec(), 64, 50.0, 20.0)], [], FLAVORS, [])
    assert rented == {("small", "a", True): 16}


def test_a_refused_pool_is_passed_over_and_dear_ones_serve_who_would_wait_for_ever() -> None:
    shut = [("small", "a", True), ("small", "b", True), ("large", "a", True)]
    rented = plan_rentals([RentalNeed(spec(), 4, 50.0, 20.0)], [], FLAVORS, shut)
    assert rented == {("small", "a", False): 1}
    # A strict price limit would leave a job waiting for ever if all cheap pools have refused.
    soon = [machine(35.0)]
    assert plan_rentals([RentalNeed(spec(), 4, 50.0, 20.0)], soon, FLAVORS, shut) == {}


def test_picking_in_a_row_chooses_what_looking_at_all_machines_each_time_chooses() -> None:
    """`SlotPicker` must choose as `choose_slot` does, on random machines and jobs."""
    rng = random.Random(3)
    for _ in range(300):
        many = [
            slot(
                f"m{number}",
                rng.choice([0.5, 1.0, 2.0, 4.0]),
                rng.choice(["a", "b"]),
                images={"img"} if rng.random() < 0.3 else set(),
                fetching={"img"} if rng.random() < 0.2 else set(),
                recent_failures=rng.randrange(2),
            )
            for number in range(rng.randrange(1, 12))
        ]
        twins = [replace(s, fetching=set(s.fetching)) for s in many]
        job = spec(vcpus=rng.choice([0.5, 1.0, 2.0]), spread=rng.random() < 0.3, tasks=6)
        avoid = ["m1"] if rng.random() < 0.2 else []
        picker, held, other = SlotPicker(job, many, avoid), dict.fromkeys("ab", 0), {"a": 0, "b": 0}
        for _ in range(6):
            found = picker.take_best(lambda _: True, eligible_zones(job, held, "ab"))
            plain = choose_slot(job, twins, eligible_zones(job, other, "ab"), avoid)
            assert (found and found.name) == (plain and plain.name)
            if found is None or plain is None:
                break
            occupy_slot(plain, job)
            held[found.site] += 1
            other[plain.site] += 1


def test_offers_are_the_least_loss_and_are_not_made_twice() -> None:
    slots = [
        slot(f"m{lost}", 0.0, load_occupants=lambda lost=lost: [busy("x", 0, 9, lost)])
        for lost in (5, 2, 9)
    ]
    offers = PreemptionOffers(spec(), slots, False, None)
    assert offers.take_cheapest(lambda s: s.name != "m2", 4) is None
    taken = offers.take_cheapest(lambda s: True, 4)
    assert taken is not None and taken[0].name == "m2"
    for victim in taken[1]:
        victim.stopping = True
    taken = offers.take_cheapest(lambda s: True, 8)
    assert taken is not None and taken[0].name == "m5"


def test_a_plan_for_thousands_takes_few_steps(monkeypatch: pytest.MonkeyPatch) -> None:
    """A plan's work must grow with the time steps at which CPUs become free, not with tasks."""
    steps: Counter[str] = Counter()

    def count_calls(owner: type, name: str) -> None:
        plain = getattr(owner, name)

        def counted(*args: Any) -> Any:
            steps[name] += 1
            return plain(*args)

        monkeypatch.setattr(owner, name, counted)

    count_calls(FleetRoom, "earliest")
    count_calls(MachineTimeline, "earliest_fit")
    have = [machine(float(number % 7)) for number in range(400)]
    assert plan_rentals([RentalNeed(spec(), 8000, 10.0, 1e9)], have, FLAVORS, []) == {}
    assert steps["earliest"] < 100
    waves = 8000 // (4 * len(have))
    assert steps["earliest_fit"] <= len(have) * (1 + waves), "once a machine and wave of tasks"


def test_a_gang_that_the_machines_can_only_run_in_turns_gets_more() -> None:
    """Guards against a gang that waits for ever because its tasks would fit one after the other.

    The tasks are short, so CPUs seem to become free in time, but all of them must run at once.
    """
    have = [machine()]
    gang = spec(shape="gang", tasks=3, vcpus=2.0, pullGb=0.0)
    assert plan_rentals([RentalNeed(gang, 3, 2.0, 10.0)], have, FLAVORS, []) == {
        ("small", "a", True): 1
    }
    assert (
        plan_rentals([RentalNeed(spec(tasks=3, vcpus=2.0), 3, 2.0, 10.0)], have, FLAVORS, []) == {}
    )
    # The 15 CPUs for it are there, but a machine of four CPUs can run only one task of three.
    wide = spec(shape="gang", tasks=5, vcpus=3.0)
    assert plan_rentals([RentalNeed(wide, 5, 2.0, 10.0)], have * 4, FLAVORS, []) == {
        ("small", "a", True): 1
    }
