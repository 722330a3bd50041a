"""One record that can't be read never keeps a new leader from serving all other jobs.

Such a record may come from another version of the program. The leader used to read the whole
record again and again, and so did every leader after it: nobody was served any more.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import pytest

from chalkgrade.machines.flavors import FLAVORS_KEY
from chalkgrade.record.jobs import BATCH_PREFIX, JOB_PREFIX, TASK_PREFIX
from chalkgrade.record.oplog import LOG_PREFIX
from chalkgrade.region.world import World, tell
from chalkgrade.sharing.queues import SHARES_KEY
from test_membership import _acting_leader, _wait_until
from test_odd_amounts import ThreeZones, _plain, _submit_and_finish

BAD, GOOD = "run-000666", "run-000007"
Spoil = Callable[[Any], Any]


def _change(world: World, prefix: str, change: Spoil) -> None:
    """Changes the stored values under a prefix, in place."""
    rows = [row for row in world.store.keys.items() if row[0].startswith(prefix)]
    assert rows, prefix
    for key, (value, stamp, permit) in rows:
        world.store.keys[key] = (change(value), stamp, permit)


def _with_shape(shape: str) -> Spoil:
    """Gives the bad job's record another shape, such as a later version may have."""

    def change(record: Any) -> Any:
        if record["spec"]["nameId"] != BAD:
            return record
        return record | {"spec": record["spec"] | {"shape": shape}}

    return change


def _in_batch(change: Spoil) -> Spoil:
    return lambda batch: {"jobs": [change(record) for record in batch["jobs"]]}


async def _new_leader(world: World) -> None:
    node = _acting_leader(world)
    assert node is not None
    world.crash(node.settings.member)
    await _wait_until(world, 20.0, lambda: _acting_leader(world) not in (None, node))
    world.boot(node.settings.member)


async def _ask(world: World, name: str) -> int:
    node = _acting_leader(world)
    assert node is not None
    status, _ = await node.handle("GET", f"/v2/runs/{name}", b"")
    return status


def _long(world: World, number: int) -> dict[str, Any]:
    return _plain(world, number, tasks=3, expectedS=120.0)


async def _own_key(world: World) -> None:
    """Moves the bad job's record from its batch to a key of its own."""
    for key, (batch, stamp, permit) in list(world.store.keys.items()):
        if key.startswith(BATCH_PREFIX):
            for record in batch["jobs"]:
                if record["spec"]["nameId"] == BAD:
                    world.store.keys[JOB_PREFIX + BAD] = (record, stamp, permit)
            rest = [record for record in batch["jobs"] if record["spec"]["nameId"] != BAD]
            world.store.keys[key] = ({"jobs": rest}, stamp, permit)


KINDS: list[tuple[str, Spoil, Spoil]] = [
    (BATCH_PREFIX, _in_batch(_with_shape("array")), _in_batch(_with_shape("batch"))),
    (JOB_PREFIX + BAD, _with_shape("array"), _with_shape("batch")),
    (f"{TASK_PREFIX}{BAD}/", lambda page: page | {"l": "none"}, lambda page: page | {"l": {}}),
]


@pytest.mark.parametrize(("prefix", "spoil", "repair"), KINDS)
def test_a_job_that_cannot_be_read_is_set_aside_and_kept(
    prefix: str, spoil: Spoil, repair: Spoil, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a load that is repeated for ever, and against a job lost or started anew."""

    async def story(world: World) -> None:
        world.spawn(world.user(_long(world, 666), None))
        world.spawn(world.user(_long(world, 7), None))
        await _wait_until(world, 60.0, lambda: len(world.present()) == 6)
        if prefix.startswith(JOB_PREFIX):
            await _own_key(world)
        if prefix.startswith(TASK_PREFIX):
            page = {"n": 1, "d": [], "l": {}, "u": 0, "f": []}
            world.store.keys[f"{prefix}0"] = (page, world.store.rev, None)
        _change(world, prefix, spoil)
        await _new_leader(world)
        jobs = [_plain(world, n, owner="red") for n in range(1, 6)]
        await _submit_and_finish(world, jobs, 120.0)
        node = _acting_leader(world)
        assert node is not None and node.term is not None
        assert node.term.registry.unreadable == {BAD}
        assert not world.present_of_job(BAD), "nobody knows what may run of it"
        assert await _ask(world, BAD) != 404 and await _ask(world, GOOD) == 200
        status, _ = await node.handle("POST", f"/v2/runs/{BAD}/abort", b"")
        assert status == 503
        _change(world, prefix, repair)
        await _new_leader(world)
        await _wait_until(world, 400.0, lambda: world.completed(BAD) and world.completed(GOOD))

    with caplog.at_level(logging.ERROR):
        tell(story, kind=ThreeZones)
    assert f"job set aside: {BAD}" in caplog.text


def test_a_subsystems_value_that_cannot_be_read_is_started_anew() -> None:
    """Guards against an estimate or a plan whose value keeps a new leader from its work."""

    async def story(world: World) -> None:
        await _submit_and_finish(world, [_plain(world, 1)], 120.0)
        for key in (SHARES_KEY, FLAVORS_KEY):
            world.store.keys[key] = (["of another version"], world.store.rev, None)
        await _new_leader(world)
        await _submit_and_finish(world, [_plain(world, 2)], 120.0)

    tell(story, kind=ThreeZones)


def test_nothing_is_started_while_a_segment_of_the_log_cannot_be_read() -> None:
    """Guards against starts beside attempts that only the unreadable segment has."""

    async def story(world: World) -> None:
        world.spawn(world.user(_long(world, 7), None))
        await _wait_until(world, 60.0, lambda: len(world.present()) == 3)
        before = {k: row for k, row in world.store.keys.items() if k.startswith(LOG_PREFIX)}
        _change(world, LOG_PREFIX, lambda value: {"e": "of another version"})
        await _new_leader(world)
        started = world.started
        await asyncio.sleep(10.0)
        assert world.started == started
        world.store.keys |= before
        await _wait_until(world, 300.0, lambda: world.completed(GOOD))
        assert world.started >= started

    tell(story, kind=ThreeZones)
