"""Transactions that are executed immediately and whose answers are lost, for each kind of commit.

Other nodes read the written values meanwhile. Each test asserts that answers of its kind were
lost, and runs again with a deliberate bug that it must detect.
"""

import asyncio
from collections.abc import Callable
from contextlib import nullcontext
from typing import Any

import msgspec
import pytest

from chalkgrade import constants
from chalkgrade.membership.registration import MEMBERS_PREFIX
from chalkgrade.outside import NoAnswer
from chalkgrade.record.changes import KeyWrite, encode_raw
from chalkgrade.record.jobs import BATCH_PREFIX, END_PREFIX, JOB_PREFIX, TASK_PREFIX
from chalkgrade.record.oplog import LOG_PREFIX
from chalkgrade.record.writer import Writer
from chalkgrade.region.world import World, tell
from chalkgrade.serving.job_api import JobApi
from chalkgrade.state.client import LedgerClient, Row
from chalkgrade.state.leadership import LEADER_KEY, Leadership
from test_gap import _long_job
from test_membership import _acting_leader, _check_single_leader, _give_lead, _wait_until

Transaction = dict[str, Any]
MAX_DELAY_S = 0.5  # for which a lost answer may delay its sender, whose time-out is 2 s


def _ops(data: Transaction, prefix: str) -> list[dict[str, Any]]:
    return [op for op in data["apply"] if (op.get("write") or op["remove"]).startswith(prefix)]


def _stamp(data: Transaction, key: str) -> int | None:
    return {row["k"]: row["stamp"] for row in data["if"]}.get(key)


def _end(data: Transaction, status: str) -> bool:
    return any(op["v"]["status"] == status for op in _ops(data, END_PREFIX))


def _abort(data: Transaction) -> bool:
    return not _ops(data, END_PREFIX) and any(
        job.get("aborted")
        for op in _ops(data, BATCH_PREFIX)
        for job in op.get("v", {"jobs": []})["jobs"]
    )


def _admits(data: Transaction) -> bool:
    absent = any(row["k"].startswith(JOB_PREFIX) and not row["stamp"] for row in data["if"])
    return absent and bool(_ops(data, BATCH_PREFIX)) and not _ops(data, END_PREFIX)


# Which transactions belong to each kind.
KINDS: dict[str, Callable[[Transaction], bool]] = {
    "batch": _admits,
    "launch": lambda data: bool(_ops(data, LOG_PREFIX)),
    "end": lambda data: _end(data, "done"),
    "withdrawn": lambda data: _end(data, "withdrawn"),
    "abort": _abort,
    "own": lambda data: any(
        _stamp(data, op.get("write", "")) == 0 for op in _ops(data, JOB_PREFIX)
    ),
    "campaign": lambda data: _stamp(data, LEADER_KEY) == 0 and bool(_ops(data, LEADER_KEY)),
    "handover": lambda data: bool(_stamp(data, LEADER_KEY)) and bool(_ops(data, LEADER_KEY)),
    "join": lambda data: bool(_ops(data, MEMBERS_PREFIX)),
    "checkpoint": lambda data: any("write" in op for op in _ops(data, TASK_PREFIX)),
    "split": lambda data: len([op for op in _ops(data, BATCH_PREFIX) if "write" in op]) > 1,
    "clean-up": lambda data: any("remove" in op for op in _ops(data, TASK_PREFIX)),
    "kept": lambda data: bool(_ops(data, "cg/shares")) or bool(_ops(data, "cg/flavors")),
}


class AnswerLossWorld(World):
    """A world that executes the next transactions of a kind and loses their answers."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.is_matching: Callable[[Transaction], bool] = lambda data: False
        self.left = 0  # number of answers still to be lost
        self.lost_answers: list[tuple[float, int]] = []  # time and status of each lost answer
        self.durations_s: list[float] = []  # s; from the first loss until its sender knew
        plain = self.store.handle

        async def handle(
            source: str, method: str, path: str, body: bytes
        ) -> tuple[int, Any] | None:
            answer = await plain(source, method, path, body)
            if path != "/commit" or answer is None or answer[0] not in (200, 409):
                return answer
            data = msgspec.json.decode(body)
            if not data.get("apply") or not self.left or not self.is_matching(data):
                return answer
            self.left -= 1
            self.lost_answers.append((self.now, answer[0]))
            await asyncio.sleep(30.0)
            return None

        self.store.handle = handle  # type: ignore[method-assign]

    def lose(self, kind: str, times: int) -> None:
        """Lose the next `times` answers to transactions of a kind."""
        self.is_matching, self.left, self.lost_answers = KINDS[kind], times, []

    def disagreement(self) -> str:
        """Return where the leader's memory and the state service differ; empty if they agree."""
        leader = _acting_leader(self)
        if leader is None or leader.job_api.term is None:
            return "nobody leads"
        registry, keys = leader.job_api.term.registry, self.store.keys
        batches = {key: row[1] for key, row in keys.items() if key.startswith(BATCH_PREFIX)}
        if batches != {key: batch.stamp for key, batch in registry.batches.items()}:
            return f"batches {batches}"
        own = {key: row[1] for key, row in keys.items() if key.startswith(JOB_PREFIX)}
        if own != {
            JOB_PREFIX + name: job.stamp for name, job in registry.jobs.items() if job.stamp
        }:
            return f"records {own}"
        for segment in [*registry.oplog.segments.values(), *registry.oplog.free]:
            if segment.stamp != keys.get(segment.key, (None, 0, None))[1]:
                return f"segment {segment.key}"
        for kept in registry.persisted_values:
            if not kept.is_dirty and kept.stamp != keys.get(kept.key, (None, 0, None))[1]:
                return f"kept {kept.key}"
        return ""


def _measure_commits(patch: pytest.MonkeyPatch, durations_s: list[float]) -> None:
    """Measure how long commits take, including those that lose an answer."""
    plain = Writer._commit

    async def commit(self: Writer, changes: Any, edits: Any) -> int:
        loop = asyncio.get_running_loop()
        began = loop.time()
        found = await plain(self, changes, edits)
        durations_s.append(loop.time() - began)
        return found

    patch.setattr(Writer, "_commit", commit)


def _token(world: World) -> int:
    row = world.store.keys.get(LEADER_KEY)
    return 0 if row is None else row[1]


async def _settled(world: AnswerLossWorld) -> None:
    await _wait_until(world, 20.0, lambda: not world.disagreement())


def _done(world: World, name: str) -> bool:
    return name in world.jobs and world.jobs[name]["over"] == "done"


def _short(number: int, **changes: Any) -> dict[str, Any]:
    return _long_job(number, 1) | {"expectedS": 4.0} | changes


async def _start_machine(world: AnswerLossWorld) -> None:
    """Run a first job, so that a machine is up and later tasks start immediately."""
    world.spawn(world.user(_short(1), None))
    await _wait_until(world, 90.0, lambda: END_PREFIX + "run-000001" in world.store.keys)
    await asyncio.sleep(3.0)


WRITTEN = ["batch", "launch", "end", "withdrawn", "abort", "kept"]


async def _end_and_cancel(world: AnswerLossWorld, kind: str, times: int) -> None:
    """Run three jobs to their end and cancel three, while answers of a kind are lost."""
    await _start_machine(world)
    token, leader = _token(world), _acting_leader(world)
    assert leader is not None and leader.job_api.term is not None
    world.lose(kind, times)
    for number in range(2, 5):
        leader.job_api.term.renter.flavor_record.mark_changed()  # a persisted value
        world.spawn(world.user(_short(number), None))
        world.spawn(world.user(_short(number + 3, tasks=3, expectedS=300.0), 8.0))
        await asyncio.sleep(2.0)
    await _wait_until(world, 90.0, lambda: all(job["over"] for job in world.jobs.values()))
    executed = [at for at, status in world.lost_answers if status == 200]
    assert len(executed) >= min(times, 3), "answers of the kind were lost"
    world.left = 0
    await _settled(world)
    assert _token(world) == token, "the lead was lost over an answer"


def _taken_for_not_executed(patch: pytest.MonkeyPatch) -> None:
    """Bug: a commit without an answer counts as not executed."""

    async def nothing(self: Writer, writes: Any) -> int:
        return 0

    patch.setattr(Writer, "_applied_revision", nothing)


@pytest.mark.parametrize("bug", [False, True])
@pytest.mark.parametrize("kind", WRITTEN)
def test_a_leader_goes_on_when_only_the_answer_of_its_commit_is_lost(
    kind: str, bug: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One lost answer, and all of them, so that one key loses several in a row.

    A leader that takes its own executed commit for a foreign one steps down.
    """
    for times in (1, 1000):
        with monkeypatch.context() as patch:
            durations_s: list[float] = []
            _measure_commits(patch, durations_s)
            if bug:
                _taken_for_not_executed(patch)

            async def scenario(world: Any, times: int = times) -> None:
                await _end_and_cancel(world, kind, times)

            with pytest.raises(AssertionError) if bug else nullcontext():
                tell(scenario, 4, loss=0.0, kind=AnswerLossWorld)
            assert bug or max(durations_s) < MAX_DELAY_S


# -- commits that need special conditions -------------------------------------------------------


class SmallValuesWorld(AnswerLossWorld):
    """A world with a low value limit, so that log segments are reused and batches are too large."""

    STATE = {**World.STATE, "value_kb": 16, "next": {"value_kb": 2}}


async def _write_checkpoints(world: Any, kind: str) -> None:
    """Run a long job and many short ones: its pages are written, and removed after its end."""
    await _start_machine(world)
    token = _token(world)
    world.lose(kind, 1000)
    world.spawn(world.user(_short(2, tasks=2, expectedS=900.0), 70.0))
    for number in range(3, 25):
        world.spawn(world.user(_short(number, tasks=8, expectedS=2.0), None))
        await asyncio.sleep(1.0)
    await _wait_until(world, 300.0, lambda: all(job["over"] for job in world.jobs.values()))
    # Users are told on cancellation; the job ends once its machines have reported.
    await _wait_until(world, 20.0, lambda: END_PREFIX + "run-000002" in world.store.keys)
    await _wait_until(
        world, 3.0, lambda: not any(key.startswith(TASK_PREFIX) for key in world.store.keys)
    )
    assert [status for _, status in world.lost_answers if status == 200], "answers were lost"
    world.left = 0
    await _settled(world)
    assert _token(world) == token


async def _split_batch(world: Any, kind: str) -> None:
    """Wait until a batch that was written under larger limits is split."""
    token = _token(world)
    await asyncio.sleep(1.0)
    assert [status for _, status in world.lost_answers if status == 200], "answers were lost"
    for number in range(1, 9):
        world.spawn(world.user(_short(number), None))
    await _wait_until(world, 120.0, lambda: len(world.jobs) == 8)
    await _wait_until(world, 120.0, lambda: all(job["over"] for job in world.jobs.values()))
    world.left = 0
    await _settled(world)
    assert _token(world) == token


def _large_batch(world: World) -> None:
    """Store eight accepted jobs under one key, as a leader under larger limits does."""
    assert isinstance(world, AnswerLossWorld)
    jobs = [{"spec": _short(number), "at": 1700001000.0} for number in range(1, 9)]
    world.store._apply([{"write": f"{BATCH_PREFIX}1-1", "v": {"jobs": jobs}}])
    world.lose("split", 1000)


@pytest.mark.parametrize("bug", [False, True])
@pytest.mark.parametrize("kind", ["checkpoint", "clean-up", "split"])
def test_lost_answers_of_pages_and_splits_cost_no_lead(
    kind: str, bug: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Checkpoints, removals and batch splits must be recognised as own commits too."""
    monkeypatch.setattr(constants, "MIN_LOG_SEGMENTS", 1)
    monkeypatch.setattr(constants, "MIN_LOG_BYTES", 0)
    durations_s: list[float] = []
    _measure_commits(monkeypatch, durations_s)
    if bug:
        _taken_for_not_executed(monkeypatch)
    split = kind == "split"

    async def scenario(world: Any) -> None:
        await (_split_batch if split else _write_checkpoints)(world, kind)

    with pytest.raises(AssertionError) if bug else nullcontext():
        tell(scenario, 4, loss=0.0, kind=SmallValuesWorld, prepare=_large_batch if split else None)
    assert bug or max(durations_s) < MAX_DELAY_S


# -- leadership and membership ------------------------------------------------------------------


async def _elect(world: Any, times: int) -> None:
    """Stop the leader; the answers to the campaigns of its successors are lost."""
    world.spawn(_check_single_leader(world))
    await _start_machine(world)
    old = next(iter(world.leaders()))
    world.lose("campaign", times)
    world.spawn(world.restart(old, 20.0))
    await _wait_until(world, 8.0, lambda: world.lost_answers)
    took = await _wait_until(world, 8.0, lambda: _acting_leader(world))
    assert world.lost_answers[0][1] == 200
    assert took < MAX_DELAY_S, "it leads as soon as it sees that the key is its own"
    world.left = 0
    token = _token(world)
    world.spawn(world.user(_short(2), None))
    await _wait_until(world, 60.0, lambda: _done(world, "run-000002"))
    assert _token(world) == token


def _no_read_back(patch: pytest.MonkeyPatch) -> None:
    """Bug: nobody reads the keys that a commit without an answer writes."""

    async def settled(self: Any, commit: Any, look: Any) -> int:
        return int(await commit)

    patch.setattr(LedgerClient, "commit_or_observe", settled)


@pytest.mark.parametrize("bug", [False, True])
@pytest.mark.parametrize("times", [1, 1000])
def test_a_new_leader_leads_though_the_answer_to_its_campaign_is_lost(
    times: int, bug: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A candidate that doesn't recognise its own leader key would leave the lead to time out."""
    if bug:
        _no_read_back(monkeypatch)
    with pytest.raises(AssertionError) if bug else nullcontext():
        tell(lambda world: _elect(world, times), 4, loss=0.0, kind=AnswerLossWorld)


async def _hand_over(world: Any) -> None:
    """Hand the lead over; the answer of the commit that moves the leader key is lost."""
    world.spawn(_check_single_leader(world))
    await _start_machine(world)
    leader = _acting_leader(world)
    assert leader is not None
    for node in world.nodes.values():
        node.handover.direct_report_at = world.now
    token = _token(world)
    world.lose("handover", 1000)
    world.spawn(_give_lead(world, leader))
    await _wait_until(world, 5.0, lambda: world.lost_answers)
    took = await _wait_until(world, 5.0, lambda: _acting_leader(world) and _token(world) > token)
    assert world.lost_answers[0][1] == 200 and _acting_leader(world) is not leader
    assert took < MAX_DELAY_S
    token = _token(world)
    world.spawn(world.user(_short(2), None))
    await _wait_until(world, 60.0, lambda: _done(world, "run-000002"))
    assert _token(world) == token, "the old leader's lease took the key with it"


@pytest.mark.parametrize("bug", [False, True])
def test_a_lead_is_handed_over_though_the_answer_is_lost(
    bug: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The old leader must stop in time, and its lease must not remove the moved key."""
    if bug:  # the old leader continues until it is told that the key was moved

        async def hand_over(self: Any, *args: Any) -> bool:
            step_down = self.step_down
            self.step_down = lambda: None
            try:
                return bool(await plain(self, *args))
            finally:
                self.step_down = step_down
                step_down()

        plain = Leadership.hand_over
        monkeypatch.setattr(Leadership, "hand_over", hand_over)
    with pytest.raises(AssertionError) if bug else nullcontext():
        tell(_hand_over, 4, loss=0.0, kind=AnswerLossWorld)


async def _join(world: Any) -> None:
    """Restart a controller; the answers to its registration are lost."""
    await _start_machine(world)
    back = next(member for member in world.members if member not in world.leaders())
    world.lose("join", 3)
    before = set(world.store.leases)
    world.spawn(world.restart(back, 14.0))
    await _wait_until(world, 20.0, lambda: world.lost_answers)
    node = world.nodes[back]
    took = await _wait_until(world, 30.0, lambda: node.presence.is_registered)
    row = world.store.keys[MEMBERS_PREFIX + back]
    assert (row[1], row[2]) == (node.views.stamp, node.presence.permit)
    assert took < 5.0, "one time-out and a pause"
    assert len(set(world.store.leases) - before) == 1, "it has one lease"


@pytest.mark.parametrize("bug", [False, True])
def test_a_controller_is_registered_though_the_answer_is_lost(
    bug: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A controller that doesn't recognise its own key would register again with another lease."""
    if bug:  # it does not recognise its own key
        plain = LedgerClient.get

        async def get(self: LedgerClient, key: str) -> Row | None:
            row = await plain(self, key)
            if row is not None and key.startswith(MEMBERS_PREFIX):
                row.permit = None
            return row

        monkeypatch.setattr(LedgerClient, "get", get)
    with pytest.raises(AssertionError) if bug else nullcontext():
        tell(_join, 4, loss=0.0, kind=AnswerLossWorld)


async def _move_lead(world: Any, kind: str) -> None:
    """Hand the lead over while the answer of an executed commit is awaited."""
    world.spawn(_check_single_leader(world))
    await _start_machine(world)
    leader, token = _acting_leader(world), _token(world)
    assert leader is not None
    world.lose(kind, 1)
    world.spawn(world.user(_short(2), None))
    world.spawn(world.user(_short(3, tasks=3, expectedS=300.0), 8.0))
    await _wait_until(world, 60.0, lambda: world.lost_answers)
    for node in world.nodes.values():
        node.handover.direct_report_at = world.now
    world.spawn(_give_lead(world, leader))
    await _wait_until(world, 10.0, lambda: _acting_leader(world) and _token(world) > token)
    assert world.lost_answers[0][1] == 200
    await _wait_until(world, 60.0, lambda: len(world.jobs) == 3)
    await _wait_until(world, 90.0, lambda: all(job["over"] for job in world.jobs.values()))
    await _settled(world)


@pytest.mark.parametrize("kind", ["batch", "launch", "end", "withdrawn", "abort"])
def test_the_next_leader_goes_by_a_commit_that_the_last_one_never_heard_of(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The next leader reads what was committed, also where the last one never learned of it."""
    _no_read_back(monkeypatch)  # otherwise the last leader sees the commit within 0.1 s
    tell(lambda world: _move_lead(world, kind), 4, loss=0.0, kind=AnswerLossWorld)


# -- submissions by any node ---------------------------------------------------------------------


async def _accept_elsewhere(world: Any, times: int) -> None:
    """A node that reaches no leader accepts a job on its own; others read it meanwhile."""
    await _start_machine(world)
    token, leader = _token(world), next(iter(world.leaders()))
    others = [member for member in world.members if member != leader]
    world.cut({others[0]}, {leader, others[1]}, 40.0, False)
    await asyncio.sleep(3.0)
    world.lose("own", times)
    spec = _short(2)
    name = spec["nameId"]
    world.jobs[name] = {"spec": spec, "aborted": None, "accepted": False, "over": None}
    world.jobs[name] |= {"at": world.now, "replicas": set()}

    async def submit() -> None:
        while not world.jobs[name]["accepted"]:
            answer = await _request(world, others[0], "POST", "/v2/runs", spec)
            if answer[0] in (200, 201):
                world.record_status(name, answer[1])
                world.jobs[name]["accepted"] = True
                return
            assert answer[0] in (0, 503), answer
            await asyncio.sleep(1.0)

    began = world.now
    task = world.spawn(submit())
    await _wait_until(world, 10.0, lambda: world.lost_answers)
    for member in world.members:  # a recorded job may be reported, and must not be denied later
        answer = await _request(world, member, "GET", f"/v2/runs/{name}", b"")
        assert answer[0] in (200, 503), (member, answer)
    await task
    took = world.now - began
    assert [status for _, status in world.lost_answers][0] == 200
    assert took < 2.5 + 1.5 * (times - 1), took
    await _wait_until(world, 60.0, lambda: END_PREFIX + name in world.store.keys)
    world.left = 0
    await _settled(world)
    assert _token(world) == token


async def _request(world: Any, member: str, method: str, path: str, body: Any) -> tuple[int, Any]:
    try:
        found: tuple[int, Any] = await world.request("users", member, method, path, body, 5.0)
    except NoAnswer:
        return 0, {}
    return found


@pytest.mark.parametrize("bug", [False, True])
@pytest.mark.parametrize("times", [1, 2, 4])
def test_a_submission_by_any_node_is_accepted_though_its_answer_is_lost(
    times: int, bug: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A retry conflicts with the executed first copy; that must not count as a rejection."""
    if bug:  # a conflict with its own copy counts as a rejection

        async def query(self: Any, name: str) -> tuple[int, dict[str, Any]]:
            return 422, {}

        monkeypatch.setattr(JobApi, "query", query)
    with pytest.raises(AssertionError) if bug else nullcontext():
        tell(lambda world: _accept_elsewhere(world, times), 4, loss=0.0, kind=AnswerLossWorld)


# -- recognising own commits --------------------------------------------------------------------


@pytest.mark.parametrize("bug", [False, True])
def test_what_the_next_leader_writes_is_not_taken_for_an_own_commit(
    bug: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A leader paused between a conflict and its check for another copy reads newer values.

    It must not take the next leader's write of the key for its own commit.
    """

    async def scenario(world: Any) -> None:
        await _start_machine(world)
        old = _acting_leader(world)
        assert old is not None and old.job_api.term is not None
        writer = old.job_api.term.writer
        before = {k: row[1] for k, row in world.store.keys.items() if k.startswith(LOG_PREFIX)}
        world.loop.freeze(old.settings.member, world.now + 8.0)
        world.spawn(world.user(_short(2), None))
        await _wait_until(world, 30.0, lambda: _acting_leader(world) not in (None, old))
        changed = lambda: [k for k in before if world.store.keys[k][1] != before[k]]  # noqa: E731
        await _wait_until(world, 30.0, changed)
        writes = [KeyWrite(changed()[0], before[changed()[0]], msgspec.Raw(b"{}"))]
        if bug:
            plain = old.ledger.get

            async def get(name: str) -> Any:
                row = await plain(name)
                if name == LEADER_KEY and row is not None:
                    row.stamp = writer.context.token
                return row

            old.ledger.get = get
        found = await world.run_as(old.settings.member, writer._applied_revision(writes))
        assert (found is None) != bug

    tell(scenario, 4, loss=0.0, kind=AnswerLossWorld)


@pytest.mark.parametrize("aborted", [False, True])
def test_a_submission_at_another_node_is_not_taken_for_an_own_cancellation(aborted: bool) -> None:
    """An abort of a job whose batch can't be rewritten creates a key that other nodes create too.

    If the other node's submission passed for the abort, users would be told of a cancellation
    that is not on record.
    """

    async def scenario(world: Any) -> None:
        await _start_machine(world)
        leader = _acting_leader(world)
        assert leader is not None and leader.job_api.term is not None
        record = {"spec": world.spec(900), "at": 1.0}
        mine = KeyWrite(JOB_PREFIX + "run-000900", 0, encode_raw(record | {"aborted": True}))
        there = record | {"aborted": True} if aborted else record
        end = END_PREFIX + "run-000900"
        made = leader.ledger.commit({mine.key: 0, end: 0}, [{"write": mine.key, "v": there}])
        stamp = await world.run_as(leader.settings.member, made)
        writer = leader.job_api.term.writer
        found = await world.run_as(leader.settings.member, writer._applied_revision([mine]))
        assert found == (stamp if aborted else 0)

    tell(scenario, 4, loss=0.0, kind=AnswerLossWorld)
