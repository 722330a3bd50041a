"""Half of every class and team: days on which one of them is asked for far more than usual.

Controllers and machines fail on each of them, see days/fleet.toml. Where a day asks for
more than the fleet can do, half of what could be done is asked for: `History.could`.
"""

import copy
from collections.abc import Callable
from pathlib import Path

import pytest

from chalkgrade import constants
from chalkgrade.region import day as days
from chalkgrade.region.day import Day, Fault, Work
from chalkgrade.region.fleet import FleetWorld, play_day

BASE = days.read(Path(__file__).parent / "days" / "fleet.toml")
CPUS = sum(room.count * BASE.kinds[0].vcpus for room in BASE.rooms)


def _work(like: str, name: str, **changes: object) -> Work:
    found = copy.deepcopy(next(work for work in BASE.classes if work.name == like))
    found.name = name
    for field, value in changes.items():
        assert hasattr(found, field)
        setattr(found, field, value)
    return found


def _fleets(work: Work, times: float) -> Work:
    """As much of it as so many times the fleet can do."""
    job = sum(work.tasks) / 2 * work.vcpus * 1.25 * sum(work.run_s) / 2
    work.a_minute, work.at_start = times * CPUS * 60 / job, 0
    return work


def _eightfold(name: str) -> Callable[[Day], None]:
    def change(day: Day) -> None:
        work = next(work for work in day.classes if work.name == name)
        work.a_minute, work.at_start = 8 * work.a_minute, 8 * work.at_start

    change.__name__ = f"eightfold_{name}"
    return change


def _sixfold(team: str, like: str) -> Callable[[Day], None]:
    """The team asks for six times the fleet in work of its own."""

    def change(day: Day) -> None:
        flood = _work(like, "flood", teams=[team], tasks=(20, 40), run_s=(10.0, 20.0))
        flood.vcpus, flood.memory_gb = 2.0, 4.0
        day.classes.append(_fleets(flood, 6.0))

    change.__name__ = f"sixfold_{team}"
    return change


def _sixfold_without_a_maximum(day: Day) -> None:
    """The flood may use all machines, so that nothing but the guard leaves others any room.

    Under a maximum of 150 of 192 CPUs others have the rest: what a team at its maximum lacked
    was not rented once, and then the rest was not there either.
    """
    _sixfold("desk", "quote")(day)
    next(team for team in day.teams if team.name == "desk").cpus_max = 0.0


def _sixfold_in_whole_machines(day: Day) -> None:
    """Urgent tasks that fill a machine each: six times the fleet, jobs of four sizes."""
    flood = _work("quote", "flood", teams=["desk"], tasks=(4, 16), run_s=(15.0, 40.0))
    flood.vcpus, flood.memory_gb = 4.0, 8.0
    day.classes.append(_fleets(flood, 6.0))


def _wide_beside_narrow_urgent(day: Day) -> None:
    narrow = _work("quote", "narrow", teams=["desk", "nightly"], tasks=(40, 60), due_s=None)
    narrow.run_s = (8.0, 16.0)
    day.classes.append(_fleets(narrow, 3.0))


def _one_class_fails(day: Day) -> None:
    """Each of its tasks fails wherever it starts, until its users abort it."""
    day.classes.append(_work("rebuild", "doomed", a_minute=30.0, stop_after_s=40.0))


def _a_zone_that_one_class_needs(day: Day) -> None:
    day.classes[0].zone = "west"
    day.faults.append(Fault(25.0, "zone", 20.0, zone="west"))


DAYS = [_eightfold(work.name) for work in BASE.classes]
DAYS += [_sixfold("desk", "quote"), _sixfold("nightly", "rebuild"), _sixfold("lab", "wide")]
DAYS += [_sixfold_without_a_maximum]
DAYS += [_wide_beside_narrow_urgent, _one_class_fails, _a_zone_that_one_class_needs]


# On (desk, 7 and 17) and (whole machines, 1) a flood's own largest jobs, or whole machines for
# another team, got less than half before the floor saw them. What fails on other seeds stands
# in docs/measurements.md.
LARGEST = [(_sixfold("desk", "quote"), seed) for seed in (7, 17)]
LARGEST += [(_sixfold_in_whole_machines, seed) for seed in (1, 2, 3)]


def _play(change: Callable[[Day], None], seed: int = 2) -> FleetWorld:
    day = copy.deepcopy(BASE)
    change(day)
    world, broken = play_day(day, seed)
    assert not broken
    return world


def test_the_day_asks_for_no_more_than_can_be_done() -> None:
    world = _play(lambda day: None)
    assert set(world.could("jobclass").values()) == set(world.could("owner").values()) == {1.0}
    assert not world.unserved() and all(job["over"] for job in world.jobs.values())


def test_without_the_floor_a_flood_starves_wide_tasks_of_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The class `wide` had nothing done in minutes, while others' tasks came and went."""
    monkeypatch.setattr(constants, "STARVE_S", 1e9)
    assert any("wide" in missing for missing in _play(_sixfold_without_a_maximum).unserved())


@pytest.mark.parametrize("change", DAYS)
def test_half_of_every_class_and_team_is_served(change: Callable[[Day], None]) -> None:
    assert not _play(change).unserved()


@pytest.mark.parametrize(("change", "seed"), LARGEST)
def test_half_of_the_largest_jobs_is_served(change: Callable[[Day], None], seed: int) -> None:
    """Shortest first leaves them for last, and a flood has no last."""
    assert not _play(change, seed).unserved()


def test_without_their_part_a_floods_largest_jobs_starve(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without it less than half of a flood's largest jobs is done: its small ones come first."""
    monkeypatch.setattr(constants, "LARGEST_WAIT_S", 1e9)
    assert "flood" in "".join(_play(_sixfold_in_whole_machines, 1).unserved())
