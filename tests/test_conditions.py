"""Commits carry conditions, because a transaction may be executed late, after newer ones.

Each test of a late execution also runs without the condition, where it must fail.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from chalkgrade.record import dependency_lists
from chalkgrade.record.changes import Batch
from chalkgrade.record.commit_conditions import missing_conditions
from chalkgrade.record.jobs import DEPENDENCIES_PREFIX, END_PREFIX, JOB_PREFIX
from chalkgrade.record.registry import JobRegistry
from chalkgrade.region.rules import Broken
from chalkgrade.region.store import Store
from chalkgrade.region.world import World, play, tell
from chalkgrade.state.client import LedgerClient
from chalkgrade.state.leadership import LEADER_KEY
from test_gap import _long_job
from test_membership import _acting_leader, _wait_until

TOKEN = {LEADER_KEY: 7}
JOB = {"spec": {"nameId": "run-1"}}


@pytest.mark.parametrize(
    ("conditions", "op", "wrong"),
    [
        ({LEADER_KEY: 0}, {"write": LEADER_KEY, "v": {}}, "cg/leader: a lease"),
        ({}, {"write": LEADER_KEY, "v": {}, "permit": 3}, "cg/leader: own revision"),
        ({"cg/job/run-1": 0}, {"write": "cg/job/run-1", "v": JOB}, "absence of the end"),
        ({"cg/job/run-1": 4}, {"write": "cg/job/run-1", "v": JOB}, "cg/job/run-1: token"),
        (TOKEN, {"remove": "cg/job/run-1"}, "cg/job/run-1: own revision"),
        (TOKEN | {"cg/end/run-1": 5}, {"write": "cg/end/run-1", "v": {}}, "absence of itself"),
        (TOKEN | {"cg/in/7-1": 0}, {"write": "cg/in/7-1", "v": {"jobs": [JOB]}}, "absence of run"),
        (TOKEN, {"write": "cg/log/000001", "v": {}}, "cg/log/000001: own revision"),
        ({"cg/shares": 4}, {"write": "cg/shares", "v": {}}, "cg/shares: token"),
        (TOKEN | {"cg/task/run-1/0": 0}, {"write": "cg/task/run-1/0", "v": {}}, "of the end"),
        ({}, {"remove": "cg/task/run-1/0"}, "cg/task/run-1/0: token"),
        ({}, {"write": "cg/need/run-1/ab-0", "v": []}, "the job's end or the token"),
        (TOKEN, {"write": "cg/unheard-of", "v": {}}, "cg/unheard-of: own revision"),
    ],
)
def test_each_kind_of_commit_has_what_it_lacks(
    conditions: dict[str, int], op: dict[str, Any], wrong: str
) -> None:
    """The check must notice each kind of commit that lacks a condition."""
    found = missing_conditions(conditions, [op], {})
    assert any(wrong in text for text in found), found


def test_a_job_that_moves_between_batches_is_no_new_one() -> None:
    """Moving a job between batches needs no condition on its end; the check must not demand it."""
    held = {"cg/in/7-1": {"jobs": [JOB]}}
    both = TOKEN | {"cg/in/7-1": 4, "cg/in/7-1-7-0000": 0}
    moved = {"write": "cg/in/7-1-7-0000", "v": {"jobs": [JOB]}}
    assert missing_conditions(both, [moved, {"remove": "cg/in/7-1"}], held) == []


def _without(removed: Callable[[str], bool]) -> Callable[[pytest.MonkeyPatch], None]:
    """Return a bug that drops the conditions on certain keys from each commit."""

    def bug(patch: pytest.MonkeyPatch) -> None:
        plain = LedgerClient.commit

        async def commit(self: Any, conditions: Any, apply: Any, timeout: float = 2.0) -> int:
            left = {key: stamp for key, stamp in conditions.items() if not removed(key)}
            return await plain(self, left if apply else conditions, apply, timeout)

        patch.setattr(LedgerClient, "commit", commit)

    return bug


@pytest.mark.parametrize("kept", [LEADER_KEY, END_PREFIX, JOB_PREFIX, "cg/log/", "cg/in/"])
def test_a_commit_without_a_condition_is_found(kept: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The simulated state service checks each commit that it would execute."""
    _without(lambda key: key.startswith(kept))(monkeypatch)
    with pytest.raises(Broken, match="unfenced"):
        play(3, seconds=60.0, troubled=False)


class Recording(World):
    """A world that records the transactions that were executed."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.executed: list[dict[str, Any]] = []
        plain = self.store._commit

        def commit(data: dict[str, Any]) -> tuple[int, Any]:
            found = plain(data)
            if found[0] == 200 and data.get("apply"):
                self.executed.append(data)
            return found

        self.store._commit = commit  # type: ignore[method-assign]


async def _over(world: Recording, name: str) -> None:
    await _wait_until(world, 90.0, lambda: END_PREFIX + name in world.store.keys)
    await asyncio.sleep(3.0)  # pages and list parts are removed too


async def _leads_for(world: World, seconds: float) -> bool:
    """Restart all controllers; returns whether the new leader stays for some seconds."""
    for member in world.members:
        world.spawn(world.restart(member, 0.2))
    await asyncio.sleep(8.0)
    token = world.store.keys.get(LEADER_KEY, (None, 0, None))[1]
    await asyncio.sleep(seconds)
    return 0 < token == world.store.keys.get(LEADER_KEY, (None, 0, None))[1]


def _again(store: Store, executed: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Send every transaction again in reverse order; returns those that were executed again."""
    return [data for data in reversed(executed) if store._commit(data)[0] == 200]


@pytest.mark.parametrize("bug", [False, True])
def test_a_late_abort_beside_a_batch_does_not_make_the_job_again(
    bug: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Otherwise its record exists again after its end, and each leader that meets it steps down."""
    if bug:
        monkeypatch.setattr(JobRegistry, "_end_keys_to_be_absent", lambda self, job, stamp: [])
        monkeypatch.setattr(Store, "_check_conditions", lambda self, data: None)
    # As after a reduction of the limits: the batch can be rewritten only without the job.
    monkeypatch.setattr(
        JobRegistry, "_can_rewrite", lambda self, batch, edits: None in edits.values()
    )
    stays: list[bool] = []

    async def scenario(world: Any) -> None:
        name = _long_job(1)["nameId"]
        world.spawn(world.user(_long_job(1), 20.0))
        await _wait_until(world, 30.0, lambda: world.jobs.get(name, {}).get("accepted"))
        await _over(world, name)
        aborts = [
            data
            for data in world.executed
            if any(op.get("write") == JOB_PREFIX + name for op in data["apply"])
        ]
        assert aborts, "it was aborted beside its batch"
        for data in aborts:
            world.store._commit(data)
        assert (JOB_PREFIX + name in world.store.keys) == bug
        stays.append(await _leads_for(world, 12.0))

    tell(scenario, 4, loss=0.0, kind=Recording)
    assert stays == [not bug]


def test_no_transaction_of_a_day_is_executed_a_second_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """A repeated transaction must fail while the leader still leads; removals are harmless."""

    async def scenario(world: Any) -> None:
        for number in range(1, 9):
            spec = _long_job(number, 3) | {"expectedS": 4.0}
            world.spawn(world.user(spec, 12.0 if number % 3 == 0 else None))
        await _wait_until(world, 200.0, lambda: _all_over(world, 8))
        await asyncio.sleep(4.0)
        assert len(world.executed) > 10
        world.store.limits = {"requests": 1e9, "changes": 1e9}
        world.store.level = dict(world.store.limits)
        for data in _again(world.store, world.executed):
            kinds = {next(iter(op)) for op in data["apply"]}
            assert kinds == {"remove"}, data

    tell(scenario, 6, loss=0.0, kind=Recording)


def _all_over(world: World, count: int) -> bool:
    return len(world.jobs) == count and all(job["over"] for job in world.jobs.values())


@pytest.mark.parametrize("bug", [False, True])
def test_parts_of_a_list_are_not_left_behind_by_a_late_write(
    bug: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Parts of a dependency list that are written after the job's end are never removed."""
    if bug:
        plain = LedgerClient.commit

        async def commit(self: Any, conditions: Any, apply: Any, timeout: float = 2.0) -> int:
            parts = (
                all(op.get("write", "").startswith(DEPENDENCIES_PREFIX) for op in apply) and apply
            )
            return await plain(self, {} if parts else conditions, apply, timeout)

        monkeypatch.setattr(LedgerClient, "commit", commit)
        monkeypatch.setattr(Store, "_check_conditions", lambda self, data: None)

    async def scenario(world: Any) -> None:
        leader = _acting_leader(world)
        assert leader is not None
        waits = [f"run-{number:06d}" for number in range(2000, 3200)]
        for one in waits:
            world.store._apply([{"write": END_PREFIX + one, "v": {"status": "done", "tasks": 1}}])
            world.jobs[one] = {
                "spec": _long_job(int(one[4:])),
                "completed_at": world.now,
                "at": 0.0,
            }
            world.jobs[one] |= {"aborted": None, "over": "done", "accepted": True}
        spec = _long_job(1) | {"waitsOn": waits, "expectedS": 3.0}
        world.spawn(world.user(spec, None))
        await _wait_until(world, 60.0, lambda: spec["nameId"] in world.jobs)
        await _over(world, spec["nameId"])
        assert not [key for key in world.store.keys if key.startswith(DEPENDENCIES_PREFIX)]
        made = [d for d in world.executed if DEPENDENCIES_PREFIX in d["apply"][0].get("write", "")]
        assert made, "its list was stored separately"
        for data in made:
            world.store._commit(data)
        left = [key for key in world.store.keys if key.startswith(DEPENDENCIES_PREFIX)]
        assert bool(left) == bug

    tell(scenario, 5, loss=0.0, kind=Recording)


def test_a_repeated_submission_of_a_long_list_that_is_over_is_known() -> None:
    """Its parts can't be written after its end: the user gets its status, not an error."""

    async def scenario(world: Any) -> None:
        leader = _acting_leader(world)
        assert leader is not None
        name = "run-000001"
        end = {"status": "done", "tasks": 1}
        for one in (name, *(f"run-{number:06d}" for number in range(2000, 3200))):
            world.store._apply([{"write": END_PREFIX + one, "v": end}])
        spec = _long_job(1) | {"waitsOn": [f"run-{number:06d}" for number in range(2000, 3200)]}
        for member in world.members:
            world.nodes[member].job_api.finals.clear()
            answer = await world.request("users", member, "POST", "/v2/runs", spec, 5.0)
            assert answer[0] == 200 and answer[1]["status"] == "done"

    assert dependency_lists.part_keys("run-1", ("ab", 2)) == [
        "cg/need/run-1/ab-0",
        "cg/need/run-1/ab-1",
    ]
    tell(scenario, 5, loss=0.0, kind=Recording)


def test_a_batch_writes_what_is_left_of_it() -> None:
    """A batch is removed with its last record, and conditioned on its revision otherwise."""
    batch = Batch("cg/in/7-1", 4, {"run-1": b"{}", "run-2": b"{}"})
    assert batch.key_write({"run-1": None}).stamp == 4
    assert batch.key_write({"run-1": None, "run-2": None}).value is None
