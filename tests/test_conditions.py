"""What commits are conditioned on: a transaction may be executed late, after newer ones."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from chalkgrade.record import apart
from chalkgrade.record.book import Book
from chalkgrade.record.changes import Batch
from chalkgrade.record.conditions import lacking
from chalkgrade.record.jobs import END_PREFIX, JOB_PREFIX, NEED_PREFIX
from chalkgrade.region.rules import Broken
from chalkgrade.region.store import Store
from chalkgrade.region.world import World, play, tell
from chalkgrade.state.leadership import LEADER_KEY
from chalkgrade.state.ledger import Ledger
from test_gap import _long
from test_membership import _leader, _until

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
    found = lacking(conditions, [op], {})
    assert any(wrong in text for text in found), found


def test_a_job_that_moves_between_batches_is_no_new_one() -> None:
    held = {"cg/in/7-1": {"jobs": [JOB]}}
    both = TOKEN | {"cg/in/7-1": 4, "cg/in/7-1-7-0000": 0}
    moved = {"write": "cg/in/7-1-7-0000", "v": {"jobs": [JOB]}}
    assert lacking(both, [moved, {"remove": "cg/in/7-1"}], held) == []


def _without(wanted: Callable[[str], bool]) -> Callable[[pytest.MonkeyPatch], None]:
    def bug(patch: pytest.MonkeyPatch) -> None:
        plain = Ledger.commit

        async def commit(self: Any, conditions: Any, apply: Any, timeout: float = 2.0) -> int:
            left = {key: stamp for key, stamp in conditions.items() if not wanted(key)}
            return await plain(self, left if apply else conditions, apply, timeout)

        patch.setattr(Ledger, "commit", commit)

    return bug


@pytest.mark.parametrize("kept", [LEADER_KEY, END_PREFIX, JOB_PREFIX, "cg/log/", "cg/in/"])
def test_a_commit_without_a_condition_is_found(kept: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The region's state service judges each commit that would be executed."""
    _without(lambda key: key.startswith(kept))(monkeypatch)
    with pytest.raises(Broken, match="unfenced"):
        play(3, seconds=60.0, troubled=False)


class Recording(World):
    """Keeps the transactions that were executed."""

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
    await _until(world, 90.0, lambda: END_PREFIX + name in world.store.keys)
    await asyncio.sleep(3.0)  # clean-up as well


async def _leads_for(world: World, seconds: float) -> bool:
    """Whether one leader stays, seconds after all were restarted."""
    for member in world.members:
        world.spawn(world.restart(member, 0.2))
    await asyncio.sleep(8.0)
    token = world.store.keys.get(LEADER_KEY, (None, 0, None))[1]
    await asyncio.sleep(seconds)
    return 0 < token == world.store.keys.get(LEADER_KEY, (None, 0, None))[1]


def _again(store: Store, executed: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Every transaction once more, in any order; those that are executed again."""
    return [data for data in reversed(executed) if store._commit(data)[0] == 200]


@pytest.mark.parametrize("bug", [False, True])
def test_a_late_abort_beside_a_batch_does_not_make_the_job_again(
    bug: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its record would come back after its end, and each leader that meets it would step down."""
    if bug:
        monkeypatch.setattr(Book, "_unended", lambda self, job, stamp: [])
        monkeypatch.setattr(Store, "_judge", lambda self, data: None)
    # As after limits that have fallen: its batch can't be rewritten with it, only without.
    monkeypatch.setattr(Book, "_editable", lambda self, batch, edits: None in edits.values())
    stays: list[bool] = []

    async def story(world: Any) -> None:
        name = _long(1)["nameId"]
        world.spawn(world.user(_long(1), 20.0))
        await _until(world, 30.0, lambda: world.jobs.get(name, {}).get("accepted"))
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

    tell(story, 4, loss=0.0, kind=Recording)
    assert stays == [not bug]


def test_no_transaction_of_a_day_is_executed_a_second_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each one that was executed comes once more when the leader still leads: all but clean-up."""

    async def story(world: Any) -> None:
        for number in range(1, 9):
            spec = _long(number, 3) | {"expectedS": 4.0}
            world.spawn(world.user(spec, 12.0 if number % 3 == 0 else None))
        await _until(world, 200.0, lambda: _all_over(world, 8))
        await asyncio.sleep(4.0)
        assert len(world.executed) > 10
        world.store.limits = {"requests": 1e9, "changes": 1e9}
        world.store.level = dict(world.store.limits)
        for data in _again(world.store, world.executed):
            kinds = {next(iter(op)) for op in data["apply"]}
            assert kinds == {"remove"}, data

    tell(story, 6, loss=0.0, kind=Recording)


def _all_over(world: World, count: int) -> bool:
    return len(world.jobs) == count and all(job["over"] for job in world.jobs.values())


@pytest.mark.parametrize("bug", [False, True])
def test_parts_of_a_list_are_not_left_behind_by_a_late_write(
    bug: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if bug:
        plain = Ledger.commit

        async def commit(self: Any, conditions: Any, apply: Any, timeout: float = 2.0) -> int:
            parts = all(op.get("write", "").startswith(NEED_PREFIX) for op in apply) and apply
            return await plain(self, {} if parts else conditions, apply, timeout)

        monkeypatch.setattr(Ledger, "commit", commit)
        monkeypatch.setattr(Store, "_judge", lambda self, data: None)

    async def story(world: Any) -> None:
        leader = _leader(world)
        assert leader is not None
        waits = [f"run-{number:06d}" for number in range(2000, 3200)]
        for one in waits:
            world.store._apply([{"write": END_PREFIX + one, "v": {"status": "done", "tasks": 1}}])
            world.jobs[one] = {"spec": _long(int(one[4:])), "completed_at": world.now, "at": 0.0}
            world.jobs[one] |= {"aborted": None, "over": "done", "accepted": True}
        spec = _long(1) | {"waitsOn": waits, "expectedS": 3.0}
        world.spawn(world.user(spec, None))
        await _until(world, 60.0, lambda: spec["nameId"] in world.jobs)
        await _over(world, spec["nameId"])
        assert not [key for key in world.store.keys if key.startswith(NEED_PREFIX)]
        made = [d for d in world.executed if NEED_PREFIX in d["apply"][0].get("write", "")]
        assert made, "its list was kept apart"
        for data in made:
            world.store._commit(data)
        left = [key for key in world.store.keys if key.startswith(NEED_PREFIX)]
        assert bool(left) == bug

    tell(story, 5, loss=0.0, kind=Recording)


def test_a_repeated_submission_of_a_long_list_that_is_over_is_known() -> None:
    """Its parts can't be written any more: that is an answer, not a failure."""

    async def story(world: Any) -> None:
        leader = _leader(world)
        assert leader is not None
        name = "run-000001"
        end = {"status": "done", "tasks": 1}
        for one in (name, *(f"run-{number:06d}" for number in range(2000, 3200))):
            world.store._apply([{"write": END_PREFIX + one, "v": end}])
        spec = _long(1) | {"waitsOn": [f"run-{number:06d}" for number in range(2000, 3200)]}
        for member in world.members:
            world.nodes[member].job_api.finals.clear()
            answer = await world.request("users", member, "POST", "/v2/runs", spec, 5.0)
            assert answer[0] == 200 and answer[1]["status"] == "done"

    assert apart.keys("run-1", ("ab", 2)) == ["cg/need/run-1/ab-0", "cg/need/run-1/ab-1"]
    tell(story, 5, loss=0.0, kind=Recording)


def test_a_batch_writes_what_is_left_of_it() -> None:
    batch = Batch("cg/in/7-1", 4, {"run-1": b"{}", "run-2": b"{}"})
    assert batch.write({"run-1": None}).stamp == 4
    assert batch.write({"run-1": None, "run-2": None}).value is None
