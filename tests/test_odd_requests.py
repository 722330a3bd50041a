"""Requests that make no sense: one plain error, nothing accepted, nothing forgotten by it."""

import asyncio
from typing import Any

import msgspec
import pytest

from chalkgrade.machines.placement import zones_open
from chalkgrade.record.jobs import Invalid, parse_submission
from chalkgrade.region.askers import NEEDED
from chalkgrade.region.rules import Broken
from chalkgrade.region.world import World, tell
from chalkgrade.serving.job_api import JobApi
from test_gap import _long
from test_membership import _leader, _until
from test_placement_rentals import spec as made

GOOD = _long(1, 2)
OF_TEXT = ("nameId", "jobclass", "owner", "shape", "urgency", "bundle")
OF_NUMBER = ("vcpus", "gpus", "memoryGb", "pullGb", "expectedS", "savepointS", "flushS")
OF_CHOICE = ("oneZone", "spread", "standby")
MAY_BE_NULL = ("hosttypes", "site", "dueS")


def _wrong() -> list[tuple[str, Any]]:
    """Each field in turn with what it must not be."""
    out: list[tuple[str, Any]] = []
    for field in NEEDED:
        out += [(field, None), (field, []), (field, {})]
    out += [(field, 7) for field in OF_TEXT]
    for field in OF_NUMBER:
        out += [(field, -0.5), (field, "1"), (field, True), (field, 1e9)]
    out += [(field, value) for field in OF_CHOICE for value in (0, 1, "true")]
    out += [("tasks", value) for value in (0, -1, 100_001, 1.5, True, "3", 10**30)]
    out += [("hosttypes", value) for value in ("small", [None], [7], {"small": 1})]
    out += [("site", value) for value in (7, ["a"], True)]
    out += [("dueS", value) for value in (-1, "9", True, 1e9)]
    out += [("nameId", value) for value in ("", "run", "run-", "-1", "run-1\n", "run 1-1", "é-1")]
    out += [("shape", "array"), ("urgency", "low"), ("waitsOn", ["run-000001"]), ("waitsOn", "x")]
    return out


def _plain(error: str) -> bool:
    return 0 < len(error) < 200 and "\n" not in error and "Traceback" not in error


@pytest.mark.parametrize(("field", "value"), _wrong())
def test_a_field_that_is_wrong_is_named(field: str, value: Any) -> None:
    with pytest.raises(Invalid) as found:
        parse_submission(msgspec.json.encode(GOOD | {field: value}), 16 * 1024)
    assert field in str(found.value) and _plain(str(found.value))


@pytest.mark.parametrize("field", NEEDED)
def test_a_field_that_is_missing_is_named(field: str) -> None:
    rest = {key: value for key, value in GOOD.items() if key != field}
    with pytest.raises(Invalid, match=field) as found:
        parse_submission(msgspec.json.encode(rest), 16 * 1024)
    assert _plain(str(found.value))


def test_what_may_be_null_may_be_left_out() -> None:
    rest = {key: value for key, value in GOOD.items() if key not in MAY_BE_NULL}
    assert parse_submission(msgspec.json.encode(rest), 16 * 1024).hosttypes is None


DEEP = b"[" * 30_000
RAW = [
    b"", b"null", b"[]", b"{}", b"\xff", b"{" + DEEP, DEEP,
    msgspec.json.encode(GOOD)[:-1] + b',"novelty":' + DEEP + b"]" * 30_000 + b"}",
    msgspec.json.encode(GOOD) + b"x",
    msgspec.json.encode(GOOD).replace(b'"vcpus":1.0', b'"vcpus":NaN'),
    msgspec.json.encode(GOOD).replace(b'"vcpus":1.0', b'"vcpus":1e999'),
    msgspec.json.encode(GOOD).replace(b'"blue"', b'"\\ud800"'),
]  # fmt: skip


@pytest.mark.parametrize("raw", RAW)
def test_what_is_no_submission_is_one_plain_error(raw: bytes) -> None:
    """Also what is nested so deep that the decoder gives up with an error of its own kind."""
    with pytest.raises(Invalid) as found:
        parse_submission(raw, 16 * 1024)
    assert _plain(str(found.value))


# What no machine, zone or team can take: the region's machines have 16 CPUs and 64 GB at most,
# all "large" spot machines are in zone b as far as the cloud says both, red may use 20 CPUs.
NEVER: list[tuple[str, dict[str, Any]]] = [
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
RUNS: list[dict[str, Any]] = [
    {"owner": "red", "tasks": 21},  # an array: one task counts
    {"spread": True, "oneZone": True, "tasks": 4},  # half of it at a time
    {"spread": True, "site": "a", "tasks": 4},
    {"shape": "service", "spread": True, "tasks": 1, "site": "a"},
    {"hosttypes": ["single"], "tasks": 3},
]


class OneZoned(World):
    """With a type of machine that one zone has."""

    FLAVORS = (*World.FLAVORS, {**World.FLAVORS[0], "sku": "single", "sites": ["a"]})
    ROOMS = {**World.ROOMS, ("single", "a", True): 2}


def test_what_can_never_run_is_refused_at_every_controller_and_is_nowhere() -> None:
    async def story(world: World) -> None:
        number = 0
        for named, changes in NEVER:
            for member in world.members:
                number += 1
                body = GOOD | {"nameId": f"run-{number:06d}"} | changes
                answer = await world.request("users", member, "POST", "/v2/runs", body, 5.0)
                assert answer[0] == 422 and named in answer[1]["error"], (changes, answer)
                assert _plain(answer[1]["error"])
                name = body["nameId"]
                found = await world.request("users", member, "GET", f"/v2/runs/{name}", b"", 5.0)
                assert found[0] == 404
        for raw in RAW:
            for member in world.members:
                status, said = await world.request("users", member, "POST", "/v2/runs", raw, 5.0)
                assert status == 400 and _plain(said["error"])
        node = _leader(world)
        assert node is not None and node.term is not None and not node.term.jobs
        jobs = []
        for changes in RUNS:
            number += 1
            jobs.append(GOOD | {"nameId": f"run-{number:06d}", "expectedS": 4.0} | changes)
            world.spawn(world.user(jobs[-1], 60.0 if changes.get("shape") else None))
        names = [job["nameId"] for job in jobs]
        await asyncio.sleep(0.1)
        await _until(world, 200.0, lambda: all(world.jobs[name]["over"] for name in names))
        if world.failure is not None:
            raise world.failure

    tell(story, 6, loss=0.0, kind=OneZoned)


def test_both_zone_rules_of_a_job_hold_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """All in one zone, and at most half of all in any: found by reading; half runs at a time."""
    both = made(oneZone=True, spread=True, tasks=4)
    assert zones_open(both, {"a": 1}, ["a", "b"]) == {"a"}
    assert zones_open(both, {"a": 2}, ["a", "b"]) == set()
    assert zones_open(both, {}, ["a", "b"]) == {"a", "b"}

    def one_of_them(spec: Any, held: dict[str, int], zones: Any) -> set[str]:
        used = {zone for zone, count in held.items() if count}
        return used if used else set(zones)

    monkeypatch.setattr("chalkgrade.sharing.gates.zones_open", one_of_them)

    async def story(world: World) -> None:
        world.spawn(world.user(_long(1, 4) | {"oneZone": True, "spread": True}, None))
        await _until(world, 60.0, lambda: world.failure is not None)
        assert world.failure is not None
        raise world.failure

    with pytest.raises(Broken, match="wrong_place"):
        tell(story, 7, loss=0.0)


@pytest.mark.parametrize("bug", [False, True])
def test_accepted_jobs_are_known_whatever_the_settings_become(
    bug: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Their team's limit falls below one task, the team goes: repeated, they are no 422."""
    if bug:

        async def told(self: JobApi, name: str, answer: Any) -> Any:
            return answer

        monkeypatch.setattr(JobApi, "_unless_accepted", told)

    async def story(world: World) -> None:
        jobs = [_long(1, 2) | {"owner": "red", "vcpus": 4.0}, _long(2, 2), _long(3, 30)]
        for job in jobs:
            world.spawn(world.user(job, None))
        await asyncio.sleep(0.1)
        await _until(world, 60.0, lambda: all(world.jobs[j["nameId"]]["accepted"] for j in jobs))
        world.TEAMS = ({"name": "red", "cpus": 0, "cpus_max": 2}, {"name": "green"})
        for member in world.members:
            await world.restart(member, 0.2)
        await _until(world, 30.0, lambda: _leader(world) is not None)
        await asyncio.sleep(4.0)
        for job in jobs:
            for member in world.members:
                answer = await world.request("users", member, "POST", "/v2/runs", job, 5.0)
                assert answer[0] == 200, (job["nameId"], answer)
                path = f"/v2/runs/{job['nameId']}"
                assert (await world.request("users", member, "GET", path, b"", 5.0))[0] == 200
        new = _long(9, 1)
        answer = await world.request("users", "n-0", "POST", "/v2/runs", new, 5.0)
        assert answer[0] == 422 and "unknown team" in answer[1]["error"]
        # What ran goes on, and nothing else stands still with what can't start any more.
        free = _long(10, 2) | {"owner": "green", "expectedS": 3.0}
        monkeypatch.setitem(world._teams, "green", world._teams["blue"])
        world.spawn(world.user(free, None))
        await asyncio.sleep(0.1)
        await _until(world, 90.0, lambda: world.jobs[free["nameId"]]["over"] == "done")

    if bug:
        with pytest.raises((AssertionError, Broken), match="422"):
            tell(story, 8, loss=0.0)
    else:
        tell(story, 8, loss=0.0)
