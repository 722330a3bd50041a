"""Invalid submissions: each gets one plain error, and nothing of them is accepted.

Nor may a job that was accepted be refused later because the settings have changed.
"""

import asyncio
from typing import Any

import msgspec
import pytest

from chalkgrade.machines.placement import eligible_zones
from chalkgrade.record.jobs import SubmissionError, parse_submission
from chalkgrade.region.adversarial_users import REQUIRED_FIELDS
from chalkgrade.region.rules import Broken
from chalkgrade.region.world import World, tell
from chalkgrade.serving.submissions import Submissions
from test_gap import _long_job
from test_membership import _acting_leader, _wait_until
from test_placement_rentals import spec as make_spec

GOOD = _long_job(1, 2)
TEXT_FIELDS = ("nameId", "jobclass", "owner", "shape", "urgency", "bundle")
NUMBER_FIELDS = ("vcpus", "gpus", "memoryGb", "pullGb", "expectedS", "savepointS", "flushS")
BOOLEAN_FIELDS = ("oneZone", "spread", "standby")
OPTIONAL_FIELDS = ("hosttypes", "site", "dueS")


def _invalid_fields() -> list[tuple[str, Any]]:
    """Return each field in turn with values that it must not have."""
    out: list[tuple[str, Any]] = []
    for field in REQUIRED_FIELDS:
        out += [(field, None), (field, []), (field, {})]
    out += [(field, 7) for field in TEXT_FIELDS]
    for field in NUMBER_FIELDS:
        out += [(field, -0.5), (field, "1"), (field, True), (field, 1e9)]
    out += [(field, value) for field in BOOLEAN_FIELDS for value in (0, 1, "true")]
    out += [("tasks", value) for value in (0, -1, 100_001, 1.5, True, "3", 10**30)]
    out += [("hosttypes", value) for value in ("small", [None], [7], {"small": 1})]
    out += [("site", value) for value in (7, ["a"], True)]
    out += [("dueS", value) for value in (-1, "9", True, 1e9)]
    out += [("nameId", value) for value in ("", "run", "run-", "-1", "run-1\n", "run 1-1", "é-1")]
    out += [("shape", "array"), ("urgency", "low"), ("waitsOn", ["run-000001"]), ("waitsOn", "x")]
    return out


def _is_plain_error(error: str) -> bool:
    return 0 < len(error) < 200 and "\n" not in error and "Traceback" not in error


@pytest.mark.parametrize(("field", "value"), _invalid_fields())
def test_a_field_that_is_wrong_is_named(field: str, value: Any) -> None:
    """A wrong type or range must neither be accepted nor reported without the field's name."""
    with pytest.raises(SubmissionError) as found:
        parse_submission(msgspec.json.encode(GOOD | {field: value}), 16 * 1024)
    assert field in str(found.value) and _is_plain_error(str(found.value))


@pytest.mark.parametrize("field", REQUIRED_FIELDS)
def test_a_field_that_is_missing_is_named(field: str) -> None:
    """A required field must not get a default silently."""
    rest = {key: value for key, value in GOOD.items() if key != field}
    with pytest.raises(SubmissionError, match=field) as found:
        parse_submission(msgspec.json.encode(rest), 16 * 1024)
    assert _is_plain_error(str(found.value))


def test_optional_fields_may_be_left_out() -> None:
    """A field that may be null must not be required."""
    rest = {key: value for key, value in GOOD.items() if key not in OPTIONAL_FIELDS}
    assert parse_submission(msgspec.json.encode(rest), 16 * 1024).hosttypes is None


DEEP = b"[" * 30_000
INVALID_BODIES = [
    b"", b"null", b"[]", b"{}", b"\xff", b"{" + DEEP, DEEP,
    msgspec.json.encode(GOOD)[:-1] + b',"novelty":' + DEEP + b"]" * 30_000 + b"}",
    msgspec.json.encode(GOOD) + b"x",
    msgspec.json.encode(GOOD).replace(b'"vcpus":1.0', b'"vcpus":NaN'),
    msgspec.json.encode(GOOD).replace(b'"vcpus":1.0', b'"vcpus":1e999'),
    msgspec.json.encode(GOOD).replace(b'"blue"', b'"\\ud800"'),
]  # fmt: skip


@pytest.mark.parametrize("raw", INVALID_BODIES)
def test_an_invalid_body_gets_one_plain_error(raw: bytes) -> None:
    """Includes input nested so deeply that the decoder raises an error of another class."""
    with pytest.raises(SubmissionError) as found:
        parse_submission(raw, 16 * 1024)
    assert _is_plain_error(str(found.value))


# Jobs that fit no machine, zone or team, each with a word that the error has to contain. The
# simulated machines have at most 16 CPUs and 64 GB, all "large" spot machines are in zone b where
# the cloud offers both, and team red may use 20 CPUs.
NEVER_RUNNABLE: list[tuple[str, dict[str, Any]]] = [
    ("owner", {"owner": "nobody"}),
    ("owner", {"owner": ""}),
    ("machine", {"vcpus": 17.0}),
    ("machine", {"gpus": 1.0}),
    ("machine", {"memoryGb": 65.0}),
    ("machine", {"hosttypes": ["small"], "vcpus": 5.0}),
    ("machine", {"hosttypes": ["no-such"]}),
    ("machine", {"hosttypes": []}),
    ("machine", {"site": "nowhere"}),
    ("machine", {"site": ""}),
    ("vcpus", {"owner": "red", "shape": "service", "tasks": 21}),
    ("vcpus", {"owner": "red", "shape": "gang", "tasks": 21}),
    ("spread", {"shape": "gang", "spread": True, "oneZone": True}),
    ("spread", {"shape": "service", "spread": True, "oneZone": True}),
    ("spread", {"shape": "service", "spread": True, "site": "a"}),
    ("spread", {"shape": "gang", "spread": True, "hosttypes": ["single"]}),
]
RUNNABLE: list[dict[str, Any]] = [
    {"owner": "red", "tasks": 21},  # tasks of a batch count one by one
    {"spread": True, "oneZone": True, "tasks": 4},  # at most half of its tasks run at a time
    {"spread": True, "site": "a", "tasks": 4},
    {"shape": "service", "spread": True, "tasks": 1, "site": "a"},
    {"hosttypes": ["single"], "tasks": 3},
]


class SingleZoneTypeWorld(World):
    """A region with a machine type that only one zone has."""

    FLAVORS = (*World.FLAVORS, {**World.FLAVORS[0], "sku": "single", "sites": ["a"]})
    ROOMS = {**World.ROOMS, ("single", "a", True): 2}


def test_what_can_never_run_is_refused_at_every_controller_and_is_nowhere() -> None:
    """A job that can never run must be refused, not kept waiting; similar valid ones must run."""

    async def story(world: World) -> None:
        number = 0
        for named, changes in NEVER_RUNNABLE:
            for member in world.members:
                number += 1
                body = GOOD | {"nameId": f"run-{number:06d}"} | changes
                answer = await world.request("users", member, "POST", "/v2/runs", body, 5.0)
                assert answer[0] == 422 and named in answer[1]["error"], (changes, answer)
                assert _is_plain_error(answer[1]["error"])
                name = body["nameId"]
                found = await world.request("users", member, "GET", f"/v2/runs/{name}", b"", 5.0)
                assert found[0] == 404
        for raw in INVALID_BODIES:
            for member in world.members:
                status, answer = await world.request("users", member, "POST", "/v2/runs", raw, 5.0)
                assert status == 400 and _is_plain_error(answer["error"])
        node = _acting_leader(world)
        assert node is not None and node.term is not None and not node.term.jobs
        jobs = []
        for changes in RUNNABLE:
            number += 1
            jobs.append(GOOD | {"nameId": f"run-{number:06d}", "expectedS": 4.0} | changes)
            world.spawn(world.user(jobs[-1], 60.0 if changes.get("shape") else None))
        names = [job["nameId"] for job in jobs]
        await asyncio.sleep(0.1)
        await _wait_until(world, 200.0, lambda: all(world.jobs[name]["over"] for name in names))
        if world.failure is not None:
            raise world.failure

    tell(story, 6, loss=0.0, kind=SingleZoneTypeWorld)


def test_both_zone_rules_of_a_job_hold_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """`oneZone` and `spread` together: all in one zone, so only half of the tasks run at a time.

    The job would break `spread` if only `oneZone` were applied once a zone is chosen.
    """
    both = make_spec(oneZone=True, spread=True, tasks=4)
    assert eligible_zones(both, {"a": 1}, ["a", "b"]) == {"a"}
    assert eligible_zones(both, {"a": 2}, ["a", "b"]) == set()
    assert eligible_zones(both, {}, ["a", "b"]) == {"a", "b"}

    def one_zone_only(spec: Any, held: dict[str, int], zones: Any) -> set[str]:
        used = {zone for zone, count in held.items() if count}
        return used if used else set(zones)

    monkeypatch.setattr("chalkgrade.sharing.constraints.eligible_zones", one_zone_only)

    async def story(world: World) -> None:
        world.spawn(world.user(_long_job(1, 4) | {"oneZone": True, "spread": True}, None))
        await _wait_until(world, 60.0, lambda: world.failure is not None)
        assert world.failure is not None
        raise world.failure

    with pytest.raises(Broken, match="wrong_place"):
        tell(story, 7, loss=0.0)


@pytest.mark.parametrize("bug", [False, True])
def test_accepted_jobs_are_known_whatever_the_settings_become(
    bug: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A team's limit falls below one task, and another team is removed from the settings.

    Submitted again, jobs that were accepted before must get their status and not 422, else
    their users would take them for refused.
    """
    if bug:

        async def without_lookup(self: Submissions, name: str, answer: Any) -> Any:
            return answer

        monkeypatch.setattr(Submissions, "_unless_accepted", without_lookup)

    async def story(world: World) -> None:
        jobs = [_long_job(1, 2) | {"owner": "red", "vcpus": 4.0}, _long_job(2, 2), _long_job(3, 30)]
        for job in jobs:
            world.spawn(world.user(job, None))
        await asyncio.sleep(0.1)
        await _wait_until(
            world, 60.0, lambda: all(world.jobs[j["nameId"]]["accepted"] for j in jobs)
        )
        world.TEAMS = ({"name": "red", "cpus": 0, "cpus_max": 2}, {"name": "green"})
        for member in world.members:
            await world.restart(member, 0.2)
        await _wait_until(world, 30.0, lambda: _acting_leader(world) is not None)
        await asyncio.sleep(4.0)
        for job in jobs:
            for member in world.members:
                answer = await world.request("users", member, "POST", "/v2/runs", job, 5.0)
                assert answer[0] == 200, (job["nameId"], answer)
                path = f"/v2/runs/{job['nameId']}"
                assert (await world.request("users", member, "GET", path, b"", 5.0))[0] == 200
        new = _long_job(9, 1)
        answer = await world.request("users", "n-0", "POST", "/v2/runs", new, 5.0)
        assert answer[0] == 422 and "unknown team" in answer[1]["error"]
        # Running tasks continue, and jobs that can't start any more don't block others.
        free = _long_job(10, 2) | {"owner": "green", "expectedS": 3.0}
        monkeypatch.setitem(world._teams, "green", world._teams["blue"])
        world.spawn(world.user(free, None))
        await asyncio.sleep(0.1)
        await _wait_until(world, 90.0, lambda: world.jobs[free["nameId"]]["over"] == "done")

    if bug:
        with pytest.raises((AssertionError, Broken), match="422"):
            tell(story, 8, loss=0.0)
    else:
        tell(story, 8, loss=0.0)
