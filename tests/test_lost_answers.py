"""Transactions that are executed at once and whose answers are lost, kind by kind.

Others read meanwhile what was written. Each test asserts that the answers were lost that it is
about, and each kind has a bug that is put in on purpose and found.
"""

import asyncio
from collections.abc import Callable
from contextlib import nullcontext
from typing import Any

import msgspec
import pytest

from chalkgrade import constants
from chalkgrade.membership.presence import MEMBERS_PREFIX
from chalkgrade.outside import NoAnswer
from chalkgrade.record.changes import Write, raw
from chalkgrade.record.jobs import BATCH_PREFIX, END_PREFIX, JOB_PREFIX, TASK_PREFIX
from chalkgrade.record.oplog import LOG_PREFIX
from chalkgrade.record.writer import Writer
from chalkgrade.region.world import World, tell
from chalkgrade.serving.job_api import JobApi
from chalkgrade.state.leadership import LEADER_KEY, Leadership
from chalkgrade.state.ledger import Ledger, Row
from test_gap import _long
from test_membership import _give, _leader, _monitor, _until

Transaction = dict[str, Any]
STOOD_S = 0.5  # s; for which a lost answer may hold up its sender: its time-out is 2 s


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


# Which transactions are of a kind.
OF: dict[str, Callable[[Transaction], bool]] = {
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


class Losing(World):
    """Loses the answers of the next transactions of a kind; they are executed at once."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.of: Callable[[Transaction], bool] = lambda data: False
        self.left = 0  # how many answers are still to be lost
        self.unheard: list[tuple[float, int]] = []  # when one was, and its status
        self.stood: list[float] = []  # s; from the first loss until its sender knew
        plain = self.store.handle

        async def handle(
            source: str, method: str, path: str, body: bytes
        ) -> tuple[int, Any] | None:
            answer = await plain(source, method, path, body)
            if path != "/commit" or answer is None or answer[0] not in (200, 409):
                return answer
            data = msgspec.json.decode(body)
            if not data.get("apply") or not self.left or not self.of(data):
                return answer
            self.left -= 1
            self.unheard.append((self.now, answer[0]))
            await asyncio.sleep(30.0)
            return None

        self.store.handle = handle  # type: ignore[method-assign]

    def lose(self, kind: str, times: int) -> None:
        self.of, self.left, self.unheard = OF[kind], times, []

    def agrees(self) -> str:
        """In what the leader's book and the state service differ; empty once all is written."""
        leader = _leader(self)
        if leader is None or leader.job_api.term is None:
            return "nobody leads"
        book, keys = leader.job_api.term.book, self.store.keys
        batches = {key: row[1] for key, row in keys.items() if key.startswith(BATCH_PREFIX)}
        if batches != {key: batch.stamp for key, batch in book.batches.items()}:
            return f"batches {batches}"
        own = {key: row[1] for key, row in keys.items() if key.startswith(JOB_PREFIX)}
        if own != {JOB_PREFIX + name: job.stamp for name, job in book.jobs.items() if job.stamp}:
            return f"records {own}"
        for segment in [*book.log.segments.values(), *book.log.free]:
            if segment.stamp != keys.get(segment.key, (None, 0, None))[1]:
                return f"segment {segment.key}"
        for kept in book.kept:
            if not kept.dirty and kept.stamp != keys.get(kept.key, (None, 0, None))[1]:
                return f"kept {kept.key}"
        return ""


def _timed(patch: pytest.MonkeyPatch, stood: list[float]) -> None:
    """Measure how long commits take of which an answer was lost."""
    plain = Writer._commit

    async def commit(self: Writer, changes: Any, edits: Any) -> int:
        loop = asyncio.get_running_loop()
        began = loop.time()
        found = await plain(self, changes, edits)
        stood.append(loop.time() - began)
        return found

    patch.setattr(Writer, "_commit", commit)


def _token(world: World) -> int:
    row = world.store.keys.get(LEADER_KEY)
    return 0 if row is None else row[1]


async def _settled(world: Losing) -> None:
    await _until(world, 20.0, lambda: not world.agrees())


def _done(world: World, name: str) -> bool:
    return name in world.jobs and world.jobs[name]["over"] == "done"


def _short(number: int, **changes: Any) -> dict[str, Any]:
    return _long(number, 1) | {"expectedS": 4.0} | changes


async def _first(world: Losing) -> None:
    """A machine that is up, so that what follows starts at once."""
    world.spawn(world.user(_short(1), None))
    await _until(world, 90.0, lambda: END_PREFIX + "run-000001" in world.store.keys)
    await asyncio.sleep(3.0)


WRITTEN = ["batch", "launch", "end", "withdrawn", "abort", "kept"]


async def _written(world: Losing, kind: str, times: int) -> None:
    """Three jobs that end and three that are cancelled, while answers of a kind are lost."""
    await _first(world)
    token, leader = _token(world), _leader(world)
    assert leader is not None and leader.job_api.term is not None
    world.lose(kind, times)
    for number in range(2, 5):
        leader.job_api.term.renter.types.touch()  # a kept value
        world.spawn(world.user(_short(number), None))
        world.spawn(world.user(_short(number + 3, tasks=3, expectedS=300.0), 8.0))
        await asyncio.sleep(2.0)
    await _until(world, 90.0, lambda: all(job["over"] for job in world.jobs.values()))
    executed = [at for at, status in world.unheard if status == 200]
    assert len(executed) >= min(times, 3), "answers of the kind were lost"
    world.left = 0
    await _settled(world)
    assert _token(world) == token, "the lead was lost over an answer"


def _refused(patch: pytest.MonkeyPatch) -> None:
    """A commit without an answer is taken for not executed."""

    async def nothing(self: Writer, writes: Any) -> int:
        return 0

    patch.setattr(Writer, "_applied_at", nothing)


@pytest.mark.parametrize("bug", [False, True])
@pytest.mark.parametrize("kind", WRITTEN)
def test_a_leader_goes_on_when_only_the_answer_of_its_commit_is_lost(
    kind: str, bug: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Once, and each time: several in a row for one key."""
    for times in (1, 1000):
        with monkeypatch.context() as patch:
            stood: list[float] = []
            _timed(patch, stood)
            if bug:
                _refused(patch)

            async def story(world: Any, times: int = times) -> None:
                await _written(world, kind, times)

            with pytest.raises(AssertionError) if bug else nullcontext():
                tell(story, 4, loss=0.0, kind=Losing)
            assert bug or max(stood) < STOOD_S


# -- records of a leader that take more to bring about -------------------------------------------


class Small(Losing):
    """Values so small that the log's segments are used again and again, and batches too large."""

    STATE = {**World.STATE, "value_kb": 16, "next": {"value_kb": 2}}


async def _checkpointed(world: Any, kind: str) -> None:
    """A long job and many short ones: its pages are written, and removed after its end."""
    await _first(world)
    token = _token(world)
    world.lose(kind, 1000)
    world.spawn(world.user(_short(2, tasks=2, expectedS=900.0), 70.0))
    for number in range(3, 25):
        world.spawn(world.user(_short(number, tasks=8, expectedS=2.0), None))
        await asyncio.sleep(1.0)
    await _until(world, 300.0, lambda: all(job["over"] for job in world.jobs.values()))
    # Told as soon as it is called off; over once its machines have said so.
    await _until(world, 20.0, lambda: END_PREFIX + "run-000002" in world.store.keys)
    await _until(
        world, 3.0, lambda: not any(key.startswith(TASK_PREFIX) for key in world.store.keys)
    )
    assert [status for _, status in world.unheard if status == 200], "answers were lost"
    world.left = 0
    await _settled(world)
    assert _token(world) == token


async def _split(world: Any, kind: str) -> None:
    """A batch of earlier, larger limits is divided."""
    token = _token(world)
    await asyncio.sleep(1.0)
    assert [status for _, status in world.unheard if status == 200], "answers were lost"
    for number in range(1, 9):
        world.spawn(world.user(_short(number), None))
    await _until(world, 120.0, lambda: len(world.jobs) == 8)
    await _until(world, 120.0, lambda: all(job["over"] for job in world.jobs.values()))
    world.left = 0
    await _settled(world)
    assert _token(world) == token


def _large_batch(world: World) -> None:
    """Eight accepted jobs under one key, as a leader under the larger limits left them."""
    assert isinstance(world, Losing)
    jobs = [{"spec": _short(number), "at": 1700001000.0} for number in range(1, 9)]
    world.store._apply([{"write": f"{BATCH_PREFIX}1-1", "v": {"jobs": jobs}}])
    world.lose("split", 1000)


@pytest.mark.parametrize("bug", [False, True])
@pytest.mark.parametrize("kind", ["checkpoint", "clean-up", "split"])
def test_lost_answers_of_pages_and_splits_cost_no_lead(
    kind: str, bug: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(constants, "SEGMENTS_KEPT", 1)
    monkeypatch.setattr(constants, "SEGMENTS_KEPT_B", 0)
    stood: list[float] = []
    _timed(monkeypatch, stood)
    if bug:
        _refused(monkeypatch)
    split = kind == "split"

    async def story(world: Any) -> None:
        await (_split if split else _checkpointed)(world, kind)

    with pytest.raises(AssertionError) if bug else nullcontext():
        tell(story, 4, loss=0.0, kind=Small, prepare=_large_batch if split else None)
    assert bug or max(stood) < STOOD_S


# -- who leads, who is there ---------------------------------------------------------------------


async def _elected(world: Any, times: int) -> None:
    """The leader ends; the answers of those who would lead next are lost."""
    world.spawn(_monitor(world))
    await _first(world)
    old = next(iter(world.leaders()))
    world.lose("campaign", times)
    world.spawn(world.restart(old, 20.0))
    await _until(world, 8.0, lambda: world.unheard)
    took = await _until(world, 8.0, lambda: _leader(world))
    assert world.unheard[0][1] == 200
    assert took < STOOD_S, "it leads as soon as it sees that the key is its own"
    world.left = 0
    token = _token(world)
    world.spawn(world.user(_short(2), None))
    await _until(world, 60.0, lambda: _done(world, "run-000002"))
    assert _token(world) == token


def _blind(patch: pytest.MonkeyPatch) -> None:
    """Nobody looks at what a commit without an answer writes."""

    async def settled(self: Any, commit: Any, look: Any) -> int:
        return int(await commit)

    patch.setattr(Ledger, "settled", settled)


@pytest.mark.parametrize("bug", [False, True])
@pytest.mark.parametrize("times", [1, 1000])
def test_a_new_leader_leads_though_the_answer_to_its_campaign_is_lost(
    times: int, bug: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if bug:
        _blind(monkeypatch)
    with pytest.raises(AssertionError) if bug else nullcontext():
        tell(lambda world: _elected(world, times), 4, loss=0.0, kind=Losing)


async def _given(world: Any) -> None:
    """The lead is given away; the answer of the commit that moves the key is lost."""
    world.spawn(_monitor(world))
    await _first(world)
    leader = _leader(world)
    assert leader is not None
    for node in world.nodes.values():
        node.handover.direct_report_at = world.now
    token = _token(world)
    world.lose("handover", 1000)
    world.spawn(_give(world, leader))
    await _until(world, 5.0, lambda: world.unheard)
    took = await _until(world, 5.0, lambda: _leader(world) and _token(world) > token)
    assert world.unheard[0][1] == 200 and _leader(world) is not leader
    assert took < STOOD_S
    token = _token(world)
    world.spawn(world.user(_short(2), None))
    await _until(world, 60.0, lambda: _done(world, "run-000002"))
    assert _token(world) == token, "the old leader's lease took the key with it"


@pytest.mark.parametrize("bug", [False, True])
def test_a_lead_is_handed_over_though_the_answer_is_lost(
    bug: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if bug:  # it goes on until it hears that the key was moved

        async def hand_over(self: Any, *args: Any) -> bool:
            depose = self.depose
            self.depose = lambda: None
            try:
                return bool(await plain(self, *args))
            finally:
                self.depose = depose
                depose()

        plain = Leadership.hand_over
        monkeypatch.setattr(Leadership, "hand_over", hand_over)
    with pytest.raises(AssertionError) if bug else nullcontext():
        tell(_given, 4, loss=0.0, kind=Losing)


async def _joined(world: Any) -> None:
    """A controller is back; the answers to its registration are lost."""
    await _first(world)
    back = next(member for member in world.members if member not in world.leaders())
    world.lose("join", 3)
    before = set(world.store.leases)
    world.spawn(world.restart(back, 14.0))
    await _until(world, 20.0, lambda: world.unheard)
    node = world.nodes[back]
    took = await _until(world, 30.0, lambda: node.presence.registered)
    row = world.store.keys[MEMBERS_PREFIX + back]
    assert (row[1], row[2]) == (node.views.stamp, node.presence.permit)
    assert took < 5.0, "one time-out and a pause"
    assert len(set(world.store.leases) - before) == 1, "it has one lease"


@pytest.mark.parametrize("bug", [False, True])
def test_a_controller_is_registered_though_the_answer_is_lost(
    bug: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if bug:  # it does not know its own key again
        plain = Ledger.get

        async def get(self: Ledger, key: str) -> Row | None:
            row = await plain(self, key)
            if row is not None and key.startswith(MEMBERS_PREFIX):
                row.permit = None
            return row

        monkeypatch.setattr(Ledger, "get", get)
    with pytest.raises(AssertionError) if bug else nullcontext():
        tell(_joined, 4, loss=0.0, kind=Losing)


async def _moved(world: Any, kind: str) -> None:
    """The lead moves on while the answer of an executed commit is awaited."""
    world.spawn(_monitor(world))
    await _first(world)
    leader, token = _leader(world), _token(world)
    assert leader is not None
    world.lose(kind, 1)
    world.spawn(world.user(_short(2), None))
    world.spawn(world.user(_short(3, tasks=3, expectedS=300.0), 8.0))
    await _until(world, 60.0, lambda: world.unheard)
    for node in world.nodes.values():
        node.handover.direct_report_at = world.now
    world.spawn(_give(world, leader))
    await _until(world, 10.0, lambda: _leader(world) and _token(world) > token)
    assert world.unheard[0][1] == 200
    await _until(world, 60.0, lambda: len(world.jobs) == 3)
    await _until(world, 90.0, lambda: all(job["over"] for job in world.jobs.values()))
    await _settled(world)


@pytest.mark.parametrize("kind", ["batch", "launch", "end", "withdrawn", "abort"])
def test_the_next_leader_goes_by_a_commit_that_the_last_one_never_heard_of(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    _blind(monkeypatch)  # else the last one has seen it within a tenth of a second
    tell(lambda world: _moved(world, kind), 4, loss=0.0, kind=Losing)


# -- submissions by any node ---------------------------------------------------------------------


async def _own(world: Any, times: int) -> None:
    """A node that reaches no leader accepts a job by itself; others read it meanwhile."""
    await _first(world)
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
            answer = await _asked(world, others[0], "POST", "/v2/runs", spec)
            if answer[0] in (200, 201):
                world.heard(name, answer[1])
                world.jobs[name]["accepted"] = True
                return
            assert answer[0] in (0, 503), answer
            await asyncio.sleep(1.0)

    began = world.now
    task = world.spawn(submit())
    await _until(world, 10.0, lambda: world.unheard)
    for member in world.members:  # what is on record may be told, and is never denied later
        answer = await _asked(world, member, "GET", f"/v2/runs/{name}", b"")
        assert answer[0] in (200, 503), (member, answer)
    await task
    took = world.now - began
    assert [status for _, status in world.unheard][0] == 200
    assert took < 2.5 + 1.5 * (times - 1), took
    await _until(world, 60.0, lambda: END_PREFIX + name in world.store.keys)
    world.left = 0
    await _settled(world)
    assert _token(world) == token


async def _asked(world: Any, member: str, method: str, path: str, body: Any) -> tuple[int, Any]:
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
    if bug:  # a conflict with its own copy is taken for a refusal

        async def query(self: Any, name: str) -> tuple[int, dict[str, Any]]:
            return 422, {}

        monkeypatch.setattr(JobApi, "query", query)
    with pytest.raises(AssertionError) if bug else nullcontext():
        tell(lambda world: _own(world, times), 4, loss=0.0, kind=Losing)


# -- what is believed of an open commit ------------------------------------------------------------


@pytest.mark.parametrize("bug", [False, True])
def test_what_the_next_leader_writes_is_not_taken_for_an_own_commit(
    bug: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After a standstill between a refusal and the look at what became of the other copy."""

    async def story(world: Any) -> None:
        await _first(world)
        old = _leader(world)
        assert old is not None and old.job_api.term is not None
        writer = old.job_api.term.writer
        before = {k: row[1] for k, row in world.store.keys.items() if k.startswith(LOG_PREFIX)}
        world.loop.freeze(old.settings.member, world.now + 8.0)
        world.spawn(world.user(_short(2), None))
        await _until(world, 30.0, lambda: _leader(world) not in (None, old))
        changed = lambda: [k for k in before if world.store.keys[k][1] != before[k]]  # noqa: E731
        await _until(world, 30.0, changed)
        writes = [Write(changed()[0], before[changed()[0]], msgspec.Raw(b"{}"))]
        if bug:
            plain = old.ledger.get

            async def get(name: str) -> Any:
                row = await plain(name)
                if name == LEADER_KEY and row is not None:
                    row.stamp = writer.office.token
                return row

            old.ledger.get = get
        found = await world.within(old.settings.member, writer._applied_at(writes))
        assert (found is None) != bug

    tell(story, 4, loss=0.0, kind=Losing)


@pytest.mark.parametrize("aborted", [False, True])
def test_a_submission_at_another_node_is_not_taken_for_an_own_cancellation(aborted: bool) -> None:
    """An abort beside a batch that can't be rewritten makes the key that such a node makes too.

    Taken for executed, the cancellation would be told, and be on no record.
    """

    async def story(world: Any) -> None:
        await _first(world)
        leader = _leader(world)
        assert leader is not None and leader.job_api.term is not None
        record = {"spec": world.spec(900), "at": 1.0}
        mine = Write(JOB_PREFIX + "run-000900", 0, raw(record | {"aborted": True}))
        there = record | {"aborted": True} if aborted else record
        end = END_PREFIX + "run-000900"
        made = leader.ledger.commit({mine.key: 0, end: 0}, [{"write": mine.key, "v": there}])
        stamp = await world.within(leader.settings.member, made)
        writer = leader.job_api.term.writer
        found = await world.within(leader.settings.member, writer._applied_at([mine]))
        assert found == (stamp if aborted else 0)

    tell(story, 4, loss=0.0, kind=Losing)
