"""A leader whose writing stands still, for whatever reason, does not lead on.

Once on the bench, within late transactions, a leader placed work for minutes that was never
written. Each way in which its main lane could stand is put in here.
"""

import asyncio
from typing import Any

import pytest

from chalkgrade import constants
from chalkgrade.record.writer import Writer
from chalkgrade.region.world import World, tell
from chalkgrade.state.ledger import Ledger
from test_gap import _long
from test_membership import _leader, _until

Patch = pytest.MonkeyPatch


def _short(number: int) -> dict[str, Any]:
    return _long(number, 1) | {"expectedS": 4.0}


class Standing(World):
    """One commit that writes the log meets something that should never happen."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.met: list[str] = []  # which leader's commit did


def _strikes(world: Any, how: str, patch: Patch) -> None:
    plain = Ledger.commit

    async def commit(self: Ledger, conditions: Any, apply: Any, *rest: Any) -> int:
        keys = [op.get("write", "") for op in apply]
        leader = _leader(world)
        struck = leader is not None and leader.ledger is self and not world.met
        if struck and any(key.startswith("cg/log/") for key in keys):
            world.met.append(leader.settings.member)
            if how == "cancelled":
                raise asyncio.CancelledError
            await asyncio.sleep(1e6)
        return await plain(self, conditions, apply, *rest)

    patch.setattr(Ledger, "commit", commit)
    # A second copy, or a look at what was written, would get around it.
    patch.setattr(Ledger, "_may_hedge", lambda self, changes: False)


async def _served(world: Any, within: float) -> None:
    world.spawn(world.user(_short(1), None))
    await _until(world, within, lambda: world.met)
    await _until(world, within, lambda: world.jobs["run-000001"]["over"] == "done")


@pytest.mark.parametrize("how", ["cancelled", "for ever"])
def test_a_commit_that_is_cancelled_or_never_ends_is_asked_for_again(
    how: str, monkeypatch: Patch
) -> None:
    async def story(world: Any) -> None:
        _strikes(world, how, monkeypatch)
        leader = _leader(world)
        await _served(world, 40.0)
        assert _leader(world) is leader  # it costs no lead

    tell(story, 3, loss=0.0, kind=Standing)


def test_without_a_bound_a_commit_that_never_ends_stops_all(monkeypatch: Patch) -> None:
    monkeypatch.setattr(constants, "COMMIT_MOST_S", 1e9)
    monkeypatch.setattr(constants, "STALL_S", 1e9)

    async def story(world: Any) -> None:
        _strikes(world, "for ever", monkeypatch)
        with pytest.raises(AssertionError):
            await _served(world, 100.0)

    tell(story, 3, loss=0.0, kind=Standing)


@pytest.mark.parametrize("how", ["stands", "cancelled", "ends"])
def test_a_leader_whose_main_lane_stands_gives_the_lead_away(how: str, monkeypatch: Patch) -> None:
    """What stands in a way that nobody thought of: the next leader goes on within a minute."""
    plain = Writer._write

    async def story(world: Any) -> None:
        leader = _leader(world)
        first = leader.term

        async def write(self: Writer, changes: Any, edits: Any) -> None:
            lane = not any(change.admissions for change in changes)
            if lane and leader.term is first:
                world.met.append("write")
                if how == "cancelled":
                    raise asyncio.CancelledError
                if how == "stands":
                    await asyncio.sleep(1e6)
                raise RuntimeError("ends")
            await plain(self, changes, edits)

        monkeypatch.setattr(Writer, "_write", write)
        await _served(world, constants.STALL_S + 30.0)
        assert world.met == ["write"] and leader.term is not first

    tell(story, 3, loss=0.0, kind=Standing)


def test_an_outage_is_no_standstill(monkeypatch: Patch) -> None:
    """Nothing can be written then: who still holds the lead afterwards goes on with it."""

    async def story(world: Any) -> None:
        world.spawn(world.user(_short(1), None))
        await _until(world, 30.0, lambda: world.jobs and world.jobs["run-000001"]["accepted"])
        leader = _leader(world)
        world.store.outage(constants.STALL_S + 15.0)
        await asyncio.sleep(constants.STALL_S + 25.0)
        assert _leader(world) is leader
        await _until(world, 30.0, lambda: world.jobs["run-000001"]["over"] == "done")

    tell(story, 3, loss=0.0)
