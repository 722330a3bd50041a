"""Under overload by one class or team, every class and team still gets half of its work done.

Controllers and machines fail on each simulated day, see days/fleet.toml. Where a day submits more
than the fleet can do, half of what could be done is required: `History.could`.
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


def _scale_to_fleet(work: Work, times: float) -> Work:
    """Set the rate of the work to so many times the capacity of the fleet."""
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
    """One team submits six times the capacity of the fleet in a class of its own."""

    def change(day: Day) -> None:
        flood = _work(like, "flood", teams=[team], tasks=(20, 40), run_s=(10.0, 20.0))
        flood.vcpus, flood.memory_gb = 2.0, 4.0
        day.classes.append(_scale_to_fleet(flood, 6.0))

    change.__name__ = f"sixfold_{team}"
    return change


def _sixfold_without_a_maximum(day: Day) -> None:
    """The overloading team has no maximum, so that only the starvation guard protects others.

    With a maximum of 150 of 192 CPUs, other teams have the rest, unless the renting of machines
    ignores what a team at its maximum lacks; then the machines for that rest are missing.
    """
    _sixfold("desk", "quote")(day)
    next(team for team in day.teams if team.name == "desk").cpus_max = 0.0


def _sixfold_in_whole_machines(day: Day) -> None:
    """Six times the capacity of the fleet in urgent tasks that fill a machine each.

    The jobs have 4 to 16 tasks.
    """
    flood = _work("quote", "flood", teams=["desk"], tasks=(4, 16), run_s=(15.0, 40.0))
    flood.vcpus, flood.memory_gb = 4.0, 8.0
    day.classes.append(_scale_to_fleet(flood, 6.0))


def _wide_beside_narrow_urgent(day: Day) -> None:
    """Three times the capacity of the fleet in narrow urgent tasks, next to wide ones."""
    narrow = _work("quote", "narrow", teams=["desk", "nightly"], tasks=(40, 60), due_s=None)
    narrow.run_s = (8.0, 16.0)
    day.classes.append(_scale_to_fleet(narrow, 3.0))


def _one_class_fails(day: Day) -> None:
    """Each task of one class fails wherever it starts, until its users abort the job."""
    day.classes.append(_work("rebuild", "doomed", a_minute=30.0, stop_after_s=40.0))


def _a_zone_that_one_class_needs(day: Day) -> None:
    """The only zone that one class may use fails."""
    day.classes[0].zone = "west"
    day.faults.append(Fault(25.0, "zone", 20.0, zone="west"))


DAYS = [_eightfold(work.name) for work in BASE.classes]
DAYS += [_sixfold("desk", "quote"), _sixfold("nightly", "rebuild"), _sixfold("lab", "wide")]
DAYS += [_sixfold_without_a_maximum]
DAYS += [_wide_beside_narrow_urgent, _one_class_fails, _a_zone_that_one_class_needs]


# Days on which, without the part for the largest jobs (`LARGEST_WAIT_S`), the overloading class's
# own largest jobs or another team's wide tasks get less than half: (desk, 7 and 17) and (whole
# machines, 1). Failures on other seeds are listed in docs/measurements.md.
LARGEST = [(_sixfold("desk", "quote"), seed) for seed in (7, 17)]
LARGEST += [(_sixfold_in_whole_machines, seed) for seed in (1, 2, 3)]


def _play(change: Callable[[Day], None], seed: int = 2) -> FleetWorld:
    day = copy.deepcopy(BASE)
    change(day)
    world, broken = play_day(day, seed)
    assert not broken
    return world


def test_the_day_asks_for_no_more_than_can_be_done() -> None:
    """Without overload, everything is served, so that the days below fail by their change only."""
    world = _play(lambda day: None)
    assert set(world.could("jobclass").values()) == set(world.could("owner").values()) == {1.0}
    assert not world.unserved() and all(job["over"] for job in world.jobs.values())


def test_without_the_floor_a_flood_starves_wide_tasks_of_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without the starvation guard, nothing of the class `wide` is done for minutes.

    The small tasks of other classes take each CPU that becomes free.
    """
    monkeypatch.setattr(constants, "STARVATION_WAIT_S", 1e9)
    assert any("wide" in missing for missing in _play(_sixfold_without_a_maximum).unserved())


@pytest.mark.parametrize("change", DAYS)
def test_half_of_every_class_and_team_is_served(change: Callable[[Day], None]) -> None:
    """Guards against starvation of a class or team by the overload of another."""
    assert not _play(change).unserved()


@pytest.mark.parametrize(("change", "seed"), LARGEST)
def test_half_of_the_largest_jobs_is_served(change: Callable[[Day], None], seed: int) -> None:
    """Guards against starvation of the largest jobs by shortest remaining time first.

    That order puts them last, and under lasting overload the last is never reached.
    """
    assert not _play(change, seed).unserved()


def test_without_their_part_a_floods_largest_jobs_starve(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without a part for them, less than half of the largest jobs is done.

    The small jobs of the overloading class come first.
    """
    monkeypatch.setattr(constants, "LARGEST_WAIT_S", 1e9)
    assert "flood" in "".join(_play(_sixfold_in_whole_machines, 1).unserved())
