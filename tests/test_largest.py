"""Overdue largest jobs of a class, and machines reserved for wide tasks of a starved queue."""

import math
from types import SimpleNamespace
from typing import Any

from chalkgrade import constants
from chalkgrade.machines.placement import Slot
from chalkgrade.region.loop import ManualClock
from chalkgrade.sharing.constraints import SlotReservations
from chalkgrade.sharing.isolation import JobIsolation
from chalkgrade.sharing.largest_jobs import overdue_largest_jobs
from chalkgrade.sharing.preemption import Preemptor

OVERDUE_S = constants.LARGEST_WAIT_S + 1.0


def _job(name: str, tasks: int, eligible_at: float = 0.0, **changes: Any) -> Any:
    spec = {"jobclass": "sums", "shape": "batch", "tasks": tasks, "vcpus": 1.0, "resources": ()}
    spec |= {"nameId": name, "gpus": 0.0, "memoryGb": 0.0}
    spec |= {key: changes.pop(key) for key in tuple(changes) if key in spec}
    fields = {
        "name": name,
        "eligible_at": eligible_at,
        "aborted": False,
        "round_queue": "red/sums",
    } | changes
    return SimpleNamespace(spec=SimpleNamespace(**spec), **fields)


def _names(
    jobs: list[Any], wall: float = OVERDUE_S, slack: float = math.inf
) -> dict[str, list[str]]:
    found = overdue_largest_jobs(jobs, wall, lambda job: slack)
    return {queue: [job.name for job in mates] for queue, mates in found.items()}


def test_a_tenth_of_the_class_counts_over_all_its_queues() -> None:
    """A tenth of a class's jobs count as its largest, whichever teams own them, oldest first."""
    jobs = [_job(f"a-{n}", n) for n in range(1, 19)]
    jobs += [
        _job("b-1", 50, 0.5, round_queue="blue/sums"),
        _job("b-2", 40, 0.2, round_queue="blue/sums"),
    ]
    assert _names(jobs) == {"blue/sums": ["b-2", "b-1"]}


def test_what_is_over_or_has_not_waited_has_no_part() -> None:
    """Aborted jobs, services and new jobs do not count as overdue.

    An aborted job or a service would hold the part for the largest jobs forever, and a new job
    is still served in the usual order.
    """
    jobs = [_job("a-1", 1), _job("a-2", 9, aborted=True), _job("a-3", 9, shape="service")]
    assert _names(jobs) == {"red/sums": ["a-1"]}
    assert _names([_job("a-1", 9, eligible_at=OVERDUE_S - 1.0)]) == {}


def test_who_can_still_meet_a_bound_is_left_to_step_five_for_longer() -> None:
    """A job that can still meet a bound becomes overdue later.

    If it were served after `LARGEST_WAIT_S` already, it would take the starts of other jobs that
    need them to meet their bounds.
    """
    jobs = [_job("a-1", 9)]
    assert _names(jobs, slack=5.0) == {}
    assert _names(jobs, slack=-1.0) == {"red/sums": ["a-1"]}
    assert _names(jobs, constants.LARGEST_BOUND_WAIT_S + 1.0, slack=5.0) == {"red/sums": ["a-1"]}


def _reserved_machines(now: float, waits: dict[str, float], machines: dict[str, Any]) -> list[str]:
    """Return the machines that a round reserves, given the seconds until each has resources."""
    resources = (4.0, 0.0, 8.0)
    slots = [Slot(name, "quad", "north", False, (0.0, 0.0, 0.0), resources) for name in waits]
    order = sorted((waits[slot.name], slot.name, slot) for slot in slots)
    fleet = SimpleNamespace(machines=machines)
    snapshot = SimpleNamespace(
        now=now,
        slots=slots,
        full_machines=[],
        zones={"north"},
        fleet=fleet,
        suitable_slots=lambda spec: order,
    )
    gates = SimpleNamespace(
        allowed_zones=lambda job, zones: zones, max_demand=lambda job, count: count
    )
    team_limits = SimpleNamespace(teams={})
    rooms = [(1.0, 0.0, 2.0), resources]
    parts: Any = (snapshot, None, gates, team_limits, SlotReservations(), rooms, True)
    Preemptor(*parts, JobIsolation(ManualClock())).reserve_for_starved(
        _job("w-1", 4, resources=resources), 1
    )
    return [slot.name for slot in slots if slot.reserved_for]


def test_a_machine_that_empties_for_a_queue_stays_the_same() -> None:
    """The machine reserved for a starved queue stays the same from round to round.

    Overdue tasks change which machine has resources soonest. If each round chose anew, another
    machine would be reserved every second and none would ever become empty. A choice is dropped
    if other machines have resources much sooner, or if it is old.
    """
    machines = {name: SimpleNamespace(kept_for_queue=("", 0.0)) for name in ("m-1", "m-2")}
    assert _reserved_machines(100.0, {"m-1": 3.0, "m-2": 4.0}, machines) == ["m-1"]
    assert _reserved_machines(101.0, {"m-1": 6.0, "m-2": 3.0}, machines) == ["m-1"]
    late = 4.0 + constants.DRAIN_RESELECTION_S
    assert _reserved_machines(102.0, {"m-1": late, "m-2": 3.0}, machines) == ["m-2"]
    later = 103.0 + constants.DRAIN_RESELECTION_S
    assert _reserved_machines(later, {"m-1": 2.0, "m-2": 3.0}, machines) == ["m-1"]
