"""A leader whose writes to the state service stall must recover or give up the leadership.

If commits are executed late and the writer stalls, a leader can place work for minutes that is
never written. These tests stall the main writer in each way that is possible.
"""

import asyncio
from typing import Any

import pytest

from chalkgrade import constants
from chalkgrade.record.writer import Writer
from chalkgrade.region.world import World, tell
from chalkgrade.state.client import LedgerClient
from test_gap import _long_job
from test_membership import _acting_leader, _wait_until

Patch = pytest.MonkeyPatch


def _short_job(number: int) -> dict[str, Any]:
    return _long_job(number, 1) | {"expectedS": 4.0}


class StallingWorld(World):
    """A world in which one commit of the log is cancelled or never ends."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.stalled_by: list[str] = []  # leaders whose commits were stalled


def _stall_one_commit(world: Any, how: str, patch: Patch) -> None:
    plain = LedgerClient.commit

    async def commit(self: LedgerClient, conditions: Any, apply: Any, *rest: Any) -> int:
        keys = [op.get("write", "") for op in apply]
        leader = _acting_leader(world)
        stalls = leader is not None and leader.ledger is self and not world.stalled_by
        if stalls and any(key.startswith("cg/log/") for key in keys):
            world.stalled_by.append(leader.settings.member)
            if how == "cancelled":
                raise asyncio.CancelledError
            await asyncio.sleep(1e6)
        return await plain(self, conditions, apply, *rest)

    patch.setattr(LedgerClient, "commit", commit)
    # A second copy, or a read of what it wrote, would circumvent the stall.
    patch.setattr(LedgerClient, "_may_hedge", lambda self, changes: False)


async def _wait_for_job(world: Any, within: float) -> None:
    world.spawn(world.user(_short_job(1), None))
    await _wait_until(world, within, lambda: world.stalled_by)
    await _wait_until(world, within, lambda: world.jobs["run-000001"]["over"] == "done")


@pytest.mark.parametrize("how", ["cancelled", "for ever"])
def test_a_commit_that_is_cancelled_or_never_ends_is_repeated(how: str, monkeypatch: Patch) -> None:
    async def story(world: Any) -> None:
        _stall_one_commit(world, how, monkeypatch)
        leader = _acting_leader(world)
        await _wait_for_job(world, 40.0)
        assert _acting_leader(world) is leader  # the leadership does not change

    tell(story, 3, loss=0.0, kind=StallingWorld)


def test_without_a_time_limit_a_commit_that_never_ends_stops_all_work(monkeypatch: Patch) -> None:
    monkeypatch.setattr(constants, "COMMIT_TIMEOUT_S", 1e9)
    monkeypatch.setattr(constants, "WRITE_STALL_S", 1e9)

    async def story(world: Any) -> None:
        _stall_one_commit(world, "for ever", monkeypatch)
        with pytest.raises(AssertionError):
            await _wait_for_job(world, 100.0)

    tell(story, 3, loss=0.0, kind=StallingWorld)


@pytest.mark.parametrize("how", ["stands", "cancelled", "ends"])
def test_a_leader_whose_main_writer_stalls_is_replaced(how: str, monkeypatch: Patch) -> None:
    """The writer stalls in an unforeseen way: the next leader continues within a minute."""
    plain = Writer._write

    async def story(world: Any) -> None:
        leader = _acting_leader(world)
        first_term = leader.term

        async def write(self: Writer, changes: Any, edits: Any) -> None:
            is_main_writer = not any(change.admissions for change in changes)
            if is_main_writer and leader.term is first_term:
                world.stalled_by.append("write")
                if how == "cancelled":
                    raise asyncio.CancelledError
                if how == "stands":
                    await asyncio.sleep(1e6)
                raise RuntimeError("ends")
            await plain(self, changes, edits)

        monkeypatch.setattr(Writer, "_write", write)
        await _wait_for_job(world, constants.WRITE_STALL_S + 30.0)
        assert world.stalled_by == ["write"] and leader.term is not first_term

    tell(story, 3, loss=0.0, kind=StallingWorld)


def test_an_outage_is_not_taken_for_a_stall(monkeypatch: Patch) -> None:
    """Nothing can be written in an outage; a leader that keeps its lease continues afterwards."""

    async def story(world: Any) -> None:
        world.spawn(world.user(_short_job(1), None))
        await _wait_until(world, 30.0, lambda: world.jobs and world.jobs["run-000001"]["accepted"])
        leader = _acting_leader(world)
        world.store.outage(constants.WRITE_STALL_S + 15.0)
        await asyncio.sleep(constants.WRITE_STALL_S + 25.0)
        assert _acting_leader(world) is leader
        await _wait_until(world, 30.0, lambda: world.jobs["run-000001"]["over"] == "done")

    tell(story, 3, loss=0.0)
