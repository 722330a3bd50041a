"""Old and new controllers side by side, on each other's data, and limits that fall after that."""

import asyncio
from typing import Any

import msgspec
import pytest

from chalkgrade.record.jobs import BATCH_PREFIX, BatchValue, EndValue, JobValue, PageValue
from chalkgrade.record.oplog import INTERRUPTED, Op, SegmentValue
from chalkgrade.region.rules import Broken
from chalkgrade.region.world import World, play, tell
from chalkgrade.settings import SettingsError, parse_settings
from chalkgrade.state.limits import EffectiveLimits
from piped import Piped, production
from test_settings_and_users import GOOD


def _rolled(world: World) -> None:
    """From the version in production to this one, with troubles; new things only after that."""
    assert isinstance(world, Piped)
    world.PIPELINE_SHARE = 0.0
    world.versions = dict.fromkeys(world.members, production())

    async def story() -> None:
        await world.upgrade(world.pipeline_rng.uniform(5, 20), (3.0, 15.0))
        world.PIPELINE_SHARE = 0.5
        await world.falls(world.pipeline_rng.uniform(0, 20))

    world.spawn(story())


@pytest.mark.parametrize("seed", range(6))
def test_a_rolling_change_of_version_under_troubles_and_then_less_room(seed: int) -> None:
    world = play(seed, jobs=30, kind=Piped, prepare=_rolled)
    assert not [name for name, job in world.jobs.items() if not job["over"]]
    assert sum(bool(job["spec"].get("waitsOn")) for job in world.jobs.values()) > 0
    assert world.store.limits_lowered


@pytest.mark.parametrize("seed", range(6))
def test_both_versions_lead_in_turn_on_the_record_of_the_other(seed: int) -> None:
    """Back and forth, without anything new: neither loses what the other one wrote."""

    def prepare(world: World) -> None:
        assert isinstance(world, Piped)
        world.PIPELINE_SHARE = 0.0

        async def story() -> None:
            while world.now < 1110.0:
                await asyncio.sleep(world.pipeline_rng.uniform(4.0, 12.0))
                for member in world.leaders() or world.pipeline_rng.sample(world.members, 1):
                    if world.pipeline_rng.random() < 0.5:
                        world.versions[member] = production()
                    else:
                        world.versions.pop(member, None)
                    await world.restart(member, world.pipeline_rng.uniform(0.05, 3.0))

        world.spawn(story())

    world = play(seed, jobs=30, kind=Piped, prepare=prepare)
    assert not [name for name, job in world.jobs.items() if not job["over"]]


def test_new_work_while_an_old_version_leads_is_lost_and_found_so() -> None:
    """Why nothing new may be asked before all have the new version: the check would see it."""

    def prepare(world: World) -> None:
        world.versions = dict.fromkeys(world.members, production())

    with pytest.raises(Broken, match="too_early|got \\(20"):
        play(1, jobs=30, kind=Piped, prepare=prepare)


@pytest.mark.parametrize("seed", range(6))
def test_limits_fall_at_any_moment_of_a_day(seed: int) -> None:
    def prepare(world: World) -> None:
        assert isinstance(world, Piped)
        world.spawn(world.falls(world.pipeline_rng.uniform(1, 60)))

    world = play(seed + 40, jobs=30, kind=Piped, prepare=prepare)
    assert not [name for name, job in world.jobs.items() if not job["over"]]
    assert len(world.store.oversized_commits) < 10


async def _large_batches(world: Piped, jobs: int) -> list[str]:
    """Jobs that the version in production accepted into values of 16 KiB, in some states."""
    names = []
    for number in range(1, jobs + 1):
        spec = world.spec(number, shape="batch", jobclass="small", owner="blue", oneZone=False)
        spec |= {"tasks": 2, "expectedS": 30.0, "vcpus": 1.0, "spread": False, "site": None}
        spec |= {"hosttypes": None, "standby": True, "savepointS": 0.0}
        names.append(spec["nameId"])
        world.spawn(world.user(spec, 45.0 if number % 5 == 0 else None))
    while not all(world.jobs.get(name, {}).get("accepted") for name in names):
        await asyncio.sleep(0.1)
    return names


def _sizes(world: World) -> list[int]:
    rows = world.store.keys.items()
    return [len(msgspec.json.encode(v)) for k, (v, _, _) in rows if k.startswith(BATCH_PREFIX)]


@pytest.mark.parametrize("at", ["taken over", "splitting", "split"])
@pytest.mark.parametrize("jobs", [20, 120])
def test_batches_of_the_old_version_outlive_the_fall(at: str, jobs: int) -> None:
    """Split as long as they may be rewritten; after that their jobs' ends override them."""
    _outlive(at, jobs)


def _outlive(at: str, jobs: int, within: float = 400.0) -> None:
    steps: list[int] = []

    async def story(world: World) -> None:
        assert isinstance(world, Piped)
        world.PIPELINE_SHARE = 0.0
        names = await _large_batches(world, jobs)
        # Beyond 9 KiB one can't be split by one commit of five changes of 2 KiB.
        assert max(_sizes(world)) > (4000 if jobs < 100 else 9216), _sizes(world)
        for member in world.members:
            world.versions.pop(member, None)
            world.crash(member)
        if at == "taken over":
            world.store.lower_limits()
        for member in world.members:
            world.boot(member)
        if at == "splitting":
            while len(_sizes(world)) < 4:
                await asyncio.sleep(0.005)
            world.store.lower_limits()
        while at == "split" and max(_sizes(world), default=0) > 2048:
            await asyncio.sleep(0.05)
        world.store.lower_limits()
        await asyncio.sleep(20.0)
        # A leader that starts after the fall knows nothing of the time before.
        for member in world.leaders():
            await world.restart(member, 0.2)
        deadline = world.now + within
        while not all(world.jobs[name]["over"] for name in names):
            assert world.now < deadline, [n for n in names if not world.jobs[n]["over"]]
            if world.failure is not None:
                raise world.failure
            await asyncio.sleep(1.0)
        await asyncio.sleep(10.0)
        assert not _sizes(world), _sizes(world)
        steps.append(len(world.store.oversized_commits))

    def prepare(world: World) -> None:
        world.versions = dict.fromkeys(world.members, production())

    tell(story, loss=0.0, prepare=prepare, kind=Piped)
    # Nobody repeats for ever what is refused: once by each leader and loop that met it.
    assert steps and steps[0] <= 12
    assert at != "split" or not steps[0]


def test_a_batch_that_is_rewritten_for_ever_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """A leader that does not take the refusal for the fall loses its lead again and again."""
    monkeypatch.setattr(EffectiveLimits, "note_rejected_commit", lambda self, largest_b: False)
    with pytest.raises(AssertionError):
        _outlive("taken over", 120, within=60.0)


def test_a_refused_large_commit_is_not_repeated_unless_it_may_have_been_applied() -> None:
    limits = EffectiveLimits(parse_settings(_with_next("value_kb = 2.0")).cluster.state)
    assert limits.max_value_bytes < 2048 < limits.max_rewrite_bytes
    assert not limits.note_rejected_commit(1000)  # refused for something else
    assert limits.max_rewrite_bytes > 2048
    assert limits.note_rejected_commit(4000)
    assert limits.max_rewrite_bytes == limits.max_value_bytes
    assert limits.note_rejected_commit(4000)  # another one that was on its way
    assert not limits.note_rejected_commit(1500)  # what is small and refused has another cause


def _with_next(text: str) -> bytes:
    return (GOOD + f"\n[cluster.state]\nrps = 200.0\nvalue_kb = 16.0\ntxn_ops = 16\n"
            f"[cluster.state.next]\n{text}\n").encode()  # fmt: skip


@pytest.mark.parametrize(
    ("text", "wrong"),
    [
        ("value_kb = 0.5", "cluster.state.next.value_kb: must be over 1, is 0.5"),
        ("txn_ops = 3", "cluster.state.next.txn_ops: must be over 3, is 3"),
        ("value_kb = 1.5\ntxn_ops = 4", "cluster.state.next.value_kb: must be over"),
        ("write_rps = -1.0", "cluster.state.next.write_rps: must be over 3, is -1"),
        ('value_kb = "two"', "cluster.state.next.value_kb: expected float, found 'two'"),
    ],
)
def test_wrong_next_limits_are_one_plain_line(text: str, wrong: str) -> None:
    with pytest.raises(SettingsError) as found:
        parse_settings(_with_next(text))
    assert str(found.value).startswith(wrong) and found.value.line is not None


def test_next_limits_may_be_absent_in_part_or_larger() -> None:
    state = parse_settings(_with_next("value_kb = 64.0\nnovelty = 1")).cluster.state
    least = state.lowest_limits()
    assert (least.value_kb, least.txn_ops, least.rps) == (16.0, 16, 200.0)


def test_what_production_wrote_is_read_and_carried_on() -> None:
    """Values recorded from the production code; and what it makes of ours."""
    job = (
        b'{"spec":{"nameId":"run-000001","jobclass":"small","owner":"red","shape":"batch",'
        b'"urgency":"high","tasks":3,"vcpus":1.0,"gpus":0.0,"memoryGb":3.0,"bundle":"img-1",'
        b'"pullGb":1.0,"oneZone":false,"spread":false,"standby":true,"expectedS":4.0,'
        b'"savepointS":0.0,"flushS":0.0,"dueS":40.0},"at":1700001004.5,"aborted":true}'
    )
    values: list[tuple[bytes, Any]] = [
        (job, JobValue),
        (b'{"jobs":[' + job + b"]}", BatchValue),
        (b'{"status":"done","tasks":3}', EndValue),
        (b'{"n":2,"d":[[0,1]],"l":{"2":[1,"host-000003"]},"u":7,"f":["host-000001"]}', PageValue),
        (b'{"e":[[7,[["run-000001",[[2,1,"host-000003"],[0,1,1]]]]]]}', SegmentValue),
    ]
    old = production()
    jobs = old.node.__init__.__globals__["parse_submission"].__globals__
    for text, kind in values:
        read = msgspec.json.decode(text, type=kind)
        again = msgspec.json.encode(read)
        assert msgspec.json.decode(again, type=kind) == read
        theirs = jobs.get(kind.__name__)
        if theirs is not None:
            read_by_old = msgspec.json.decode(again, type=theirs)
            assert msgspec.json.decode(msgspec.json.encode(read_by_old), type=kind) == read


@pytest.mark.parametrize("value_kb", [16.0, 2.0])
def test_a_flood_of_operations_fits_commits_of_any_size_of_value(value_kb: float) -> None:
    """Several segments a commit, which as a whole has a bound of its own: 64 KiB."""

    def prepare(world: World) -> None:
        world.STATE = {**world.STATE, "next": {"value_kb": value_kb}}
        world.settings = world._settings(world.members[0])

    async def story(world: World) -> None:
        await asyncio.sleep(2.0)
        leaders = world.leaders()
        node = world.nodes[leaders[0]]
        assert node is not None and node.term is not None
        token, book = node.leadership.token, node.term.registry
        for index in range(12_000):
            book.oplog.add(Op("run-999999", index, 1, INTERRUPTED))
        book.flush_wanted.set()
        await asyncio.sleep(30.0)
        assert not book.oplog.pending  # the stand-in refuses what is beyond a bound
        assert node.leadership.token == token

    tell(story, loss=0.0, prepare=prepare, kind=Piped)
