"""What users are told when they ask at all controllers within milliseconds.

One-task jobs; after an acceptance, an end or a cancellation users ask every controller, submit
the job again, and some cancel at once. The region judges each answer by when its question was
asked: after any node's answer to anybody, none may be older (404, then accepted, then over).
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import pytest

from chalkgrade import constants
from chalkgrade.leading.term import Term
from chalkgrade.outside import NoAnswer
from chalkgrade.record.book import Book
from chalkgrade.record.changes import Admission, raw
from chalkgrade.record.fates import Account, Fates
from chalkgrade.record.jobs import BATCH_PREFIX, END_PREFIX, JOB_PREFIX, JobValue
from chalkgrade.region.rules import Broken
from chalkgrade.region.world import World, tell
from chalkgrade.serving.job_api import JobApi
from chalkgrade.serving.job_status import FINAL_STATUSES
from chalkgrade.serving.record_reader import RecordReader, RecordSummary
from test_membership import _give, _leader, _until

Patch = pytest.MonkeyPatch
BOOT_S = 14.0  # s; until machines are up and have work
LASTS_S = 24.0  # s; for which users look closely after that
SPELL_S = 4.0  # s; answers are lost for so long, then none are
LOOKS = 5  # questions to each controller after an event, over OPEN_S
OPEN_S = 2.0  # s; a commit's time-out: for so long its fate may be open
LATE_PART = 0.01  # of all messages are held up, answers of a controller to another too
TROUBLE_S = 8.0  # s; how long a trouble lasts that does


class Close(World):
    """Jobs of one task, four a second, some of them cancelled at their end or at any time."""

    PIPED = 0.15  # of the jobs name earlier ones, in whatever state: they are cancelled with them
    TEAMS = ({"name": "red", "cpus": 20, "cpus_max": 60}, {"name": "blue", "cpus": 0})

    def close_look(self, name: str) -> None:
        """Also while whatever made the event may still be under way to some controller."""
        super().close_look(name)
        if self.now < self.close_until:
            for member in self.members:
                for _ in range(LOOKS):
                    self.spawn(self._look_in(name, member, self.rng.uniform(0.0, OPEN_S)))

    async def _look_in(self, name: str, member: str, after: float) -> None:
        await asyncio.sleep(after)
        if self.up(member):
            await (self.submit if self.rng.random() < 0.2 else self.look)(name, member)

    def job(self, number: int) -> dict[str, Any]:
        plain = {"shape": "batch", "jobclass": "small", "tasks": 1, "vcpus": 1.0, "memoryGb": 1.0}
        plain |= {"hosttypes": None, "site": None, "oneZone": False, "spread": False}
        plain |= {"pullGb": 0.1, "standby": True, "savepointS": 0.0, "flushS": 0.0}
        return self.spec(number, **plain, expectedS=self.rng.uniform(1.0, 4.0))

    async def jobs_come(self, until: float) -> None:
        number = 0
        while self.now < until:
            number += 1
            abort = self.rng.uniform(0.0, 6.0) if self.rng.random() < 0.25 else None
            self.spawn(self.user(self.job(number), abort))
            await asyncio.sleep(self.rng.expovariate(4.0))

    async def answers_lost(self, until: float, share: float) -> None:
        while self.now < until:
            self.store.unanswered = (self.now + SPELL_S, share)
            await asyncio.sleep(2 * SPELL_S)


Trouble = Callable[[Close, str], Awaitable[None]]


async def _none(world: Close, lead: str) -> None:
    pass


async def _ended(world: Close, lead: str) -> None:
    await world.restart(lead, 5.0)


async def _back_at_once(world: Close, lead: str) -> None:
    await world.restart(lead, 0.1)


async def _refused(world: Close, lead: str) -> None:
    world.store.refused[lead] = world.now + TROUBLE_S


async def _cut_off(world: Close, lead: str) -> None:
    world.isolate(lead, TROUBLE_S, False)


async def _handed(world: Close, lead: str) -> None:
    node = world.nodes[lead]
    assert node is not None
    while not await _give(world, node):
        await asyncio.sleep(0.2)
        if world.nodes[lead] is not node or not node.leadership.token:
            return


async def _slow(world: Close, lead: str) -> None:
    world.store.slow = (0.1, world.now + TROUBLE_S)


TROUBLES: list[Trouble] = [_none, _ended, _back_at_once, _refused, _cut_off, _handed, _slow]


def _play(seed: int, trouble: Trouble, lost: float) -> Close:
    """One story; the world that it was, after all jobs are over."""
    worlds: list[Close] = []

    async def story(world: World) -> None:
        assert isinstance(world, Close)
        worlds.append(world)
        await _until(world, 20.0, lambda: _leader(world) is not None)
        until = world.now + BOOT_S + LASTS_S
        world.spawn(world.jobs_come(until))
        await asyncio.sleep(BOOT_S)
        world.close_until = until
        world.at_end = (until, 0.3)
        world.spawn(world.answers_lost(until, lost))
        await asyncio.sleep(LASTS_S / 2)
        lead = _leader(world)
        if lead is not None:
            await trouble(world, lead.settings.member)
        await asyncio.sleep(max(0.0, until - world.now))
        most = world.now + 90.0
        while world.failure is None and world.now < most:
            if all(job["over"] for job in world.jobs.values()):
                break
            await asyncio.sleep(0.5)
        assert world.failure is not None or all(job["over"] for job in world.jobs.values())

    tell(story, seed=seed, loss=LATE_PART, kind=Close)
    return worlds[0]


@pytest.mark.parametrize("lost", [0.0, 0.8])
@pytest.mark.parametrize("trouble", TROUBLES)
def test_no_answer_is_older_than_what_any_node_had_told(trouble: Trouble, lost: float) -> None:
    world = _play(11, trouble, lost)
    # It came about: many events were looked at, of all three kinds; answers were lost.
    over = [job["over"] for job in world.jobs.values()]
    assert world.looked > 60 and world.called_off > 6
    assert over.count("done") > 10 and over.count("withdrawn") > 10
    kinds = world.store.answers_lost
    assert not lost or all(kinds.get(kind) for kind in ("cg/in/", "cg/end/", "cg/log/")), kinds


# -- each answer, while just one commit is open ---------------------------------------------


class Held(Close):
    """Loses all answers of transactions that write a kind of key; they are executed at once."""

    LOSS = 0.0

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.holds: Callable[[dict[str, Any]], bool] = lambda op: False
        self.executed = 0  # transactions whose answers were lost
        plain = self.store.handle

        async def handle(
            source: str, method: str, path: str, body: bytes
        ) -> tuple[int, Any] | None:
            answer = await plain(source, method, path, body)
            ops = msgspec.json.decode(body).get("apply", []) if path == "/commit" else ()
            if answer is None or not any(self.holds(op) for op in ops):
                return answer
            self.executed += answer[0] == 200
            await asyncio.sleep(30.0)
            return None

        self.store.handle = handle  # type: ignore[method-assign]

    def known(self, spec: dict[str, Any]) -> str:
        """A job that some user knows of."""
        name = str(spec["nameId"])
        self.jobs[name] = {"spec": spec, "aborted": None, "accepted": True, "over": None}
        self.jobs[name] |= {"at": self.now, "replicas": set()}
        return name

    async def begun(self, name: str) -> None:
        """A job is accepted and runs."""
        await _until(self, 5.0, lambda: self.failure is None)
        while (answer := await self.submit(name)) is None or answer[0] not in (200, 201):
            await asyncio.sleep(0.2)
        await _until(self, 60.0, lambda: self.of_job(name))


def _is(prefix: str, word: str = "") -> Callable[[dict[str, Any]], bool]:
    """Whether an operation writes a key of a kind, with a word in what it writes."""
    return lambda op: (
        str(op.get("write", "")).startswith(prefix)
        and word in msgspec.json.encode(op["v"]).decode()
    )


async def _by_all(world: Held, name: str, status: str) -> None:
    """Whoever can't ask the leader reads it; then all controllers say so, and at once."""
    lead = _leader(world)
    assert lead is not None
    first = lead.settings.member
    alone, third = [member for member in world.members if member != first]
    world.cut({alone}, {first}, 30.0, False)  # it has to read
    answer = None
    begun = world.now
    while answer is None or answer[0] != 200:
        assert world.now < begun + 3.0, answer
        answer = await world.look(name, alone)
    assert answer[1]["status"] == status and world.executed
    leads = lead.job_api.term
    assert leads is not None and leads.writer.fates.of(name), "its commit is open"
    again = {"GET": world.look, "POST": world.submit}
    for member in (first, third, alone):
        for what, ask in again.items():
            answer = await ask(name, member)
            assert answer is not None and answer[0] in (200, 201), (member, what, answer)
            assert answer[1]["status"] == status, (member, what, answer)
            assert leads.writer.fates.of(name) or status in FINAL_STATUSES, "still open"


async def _accepted_unheard(world: Held) -> None:
    """The leader's batch is executed; the job is accepted, named by others, and cancelled."""
    name = world.known(world.job(1))
    world.holds = _is(BATCH_PREFIX)
    lead = _leader(world)
    assert lead is not None
    first = lead.settings.member
    world.spawn(world.submit(name, first))
    await asyncio.sleep(0.3)
    await _by_all(world, name, "pending")
    heir = world.known(world.job(2) | {"waitsOn": [name], "jobclass": "heirs"})
    term = lead.job_api.term
    assert term is not None and name in term.book.admissions
    answer = await world.submit(heir, first)
    assert answer is not None and answer[0] in (201, 503), answer  # known: never 422
    world.jobs[name]["asked"] = True
    aborts = [world.spawn(world.abort(name, member)) for member in world.members[:2]]
    await asyncio.sleep(0.3)
    world.holds = lambda op: False
    for asked in aborts:
        answer = await asked
        assert answer is not None and answer[0] in (200, 503), answer  # never 404
    await world.call_off(name)


async def _ended_unheard(world: Held) -> None:
    name = world.known(world.job(1))
    await world.begun(name)
    world.holds = _is(END_PREFIX, "done")
    await _until(world, 60.0, lambda: world.completed(name) and world.executed)
    await _by_all(world, name, "done")


async def _cancelled_unheard(world: Held) -> None:
    name = world.known(world.job(1) | {"expectedS": 30.0})
    await world.begun(name)
    world.holds = _is(BATCH_PREFIX, '"aborted":true')
    world.jobs[name]["asked"] = True
    world.spawn(world.abort(name))
    await _until(world, 5.0, lambda: world.executed)
    await _by_all(world, name, "withdrawn")


async def _cancelled_by_its_own(world: Held) -> None:
    """A job has two records, since the first was unheard; the second says that it is cancelled."""
    name = world.known(world.job(1) | {"expectedS": 30.0})
    lead = _leader(world)
    assert lead is not None
    first = lead.settings.member
    other = next(member for member in world.members if member != first)
    world.holds = _is(BATCH_PREFIX)
    world.spawn(world.submit(name, first))
    await _until(world, 5.0, lambda: world.executed)
    world.cut({other}, {first}, 1.5, False)
    await world.submit(name, other)
    await _until(world, 5.0, lambda: JOB_PREFIX + name in world.store.keys)
    term = lead.job_api.term
    assert term is not None
    await _until(world, 5.0, lambda: name in term.jobs and name in term.book.admissions)
    world.jobs[name]["asked"] = True
    while world.jobs[name]["over"] is None:
        await world.abort(name, first)
        await asyncio.sleep(0.05)
    assert name in term.book.admissions, "its batch is still unheard"
    for member in world.members:
        answer = await world.look(name, member)
        assert answer is not None and answer[1].get("status") == "withdrawn", answer
    world.holds = lambda op: False
    while name in term.book.admissions:
        world.spawn(world.submit(name, first))  # waits with it until its batch is heard of
        await asyncio.sleep(0.1)
    await asyncio.sleep(2.0)


async def _cancelled_by_its_batch(world: Held) -> None:
    """A job's batch says that it is cancelled; it gets a second record that does not."""
    name = world.known(world.job(1) | {"expectedS": 30.0})
    await world.begun(name)
    lead = _leader(world)
    assert lead is not None
    first = lead.settings.member
    other = next(member for member in world.members if member != first)
    for host, _ in world.of_job(name):
        world.loop.freeze(host.name, world.now + 6.0)  # it is not over before that
    world.jobs[name]["asked"] = True
    while world.jobs[name]["over"] is None:
        await world.abort(name, first)
    world.cut({other}, {first}, 5.0, False)
    answer = None
    while answer is None or answer[0] not in (200, 201):
        answer = await world.submit(name, other)
    assert answer[1]["status"] == "withdrawn"
    assert JOB_PREFIX + name in world.store.keys and END_PREFIX + name not in world.store.keys


async def _over_between_two_reads(world: Held) -> None:
    """The same; its end, which removes both records, falls between two reads of the record."""
    await _cancelled_by_its_batch(world)
    name = "run-000001"
    lead = _leader(world)
    assert lead is not None
    third = world.nodes[[m for m in world.members if m != lead.settings.member][-1]]
    assert third is not None
    plain, scans = third.ledger.scan, list[str]()

    async def scan(under: str) -> Any:
        found = await plain(under)
        scans.append(under)
        if len(scans) == 1:
            assert JOB_PREFIX + name in [row.k for row in found[0]]
            await _until(world, 60.0, lambda: END_PREFIX + name in world.store.keys)
        return found

    third.ledger.scan = scan  # type: ignore[method-assign]
    answer = await world.within(
        third.settings.member, third.job_api.record_reader.read_status(name, absent_at_leader=False)
    )
    assert answer[1]["status"] == "withdrawn" and scans[:2] == [JOB_PREFIX, BATCH_PREFIX], answer


Story = Callable[[Held], Awaitable[None]]
STORIES: list[Story] = [_accepted_unheard, _ended_unheard, _cancelled_unheard]
STORIES += [_cancelled_by_its_own, _cancelled_by_its_batch]
STORIES.append(_over_between_two_reads)


def _held(story: Story, seed: int = 3) -> None:
    async def begun(world: World) -> None:
        assert isinstance(world, Held)
        await _until(world, 20.0, lambda: _leader(world) is not None)
        await story(world)

    with Patch.context() as patch:
        # Nobody looks at what was written: the commit is open for as long as it can be.
        patch.setattr(constants, "LOOK_TIMES", 1e6)
        tell(begun, seed=seed, loss=0.0, kind=Held)


@pytest.mark.parametrize("story", STORIES)
def test_a_commit_whose_answer_is_lost_is_told_by_all_once_one_has(story: Story) -> None:
    _held(story)


# -- bugs put in on purpose ---------------------------------------------------------------


def _always_pending(patch: Patch) -> None:
    """A submission is answered by what was true when its commit was sent."""

    async def admit(self: Book, value: JobValue, timeout: float) -> bool:
        name = value.spec.nameId
        admission = self.admissions.get(name)
        if admission is None:
            if name in self.jobs or name in self.over:
                return False
            future = asyncio.get_running_loop().create_future()
            admission = self.admissions[name] = Admission(value, raw(value), future)
            self.admit_wanted.set()
        done, _ = await asyncio.wait({admission.result}, timeout=timeout)
        if not done:
            raise NoAnswer("not durable in time")
        return admission.result.result()

    plain = JobApi.submit_as_leader

    async def pending(self: JobApi, spec: Any) -> Any:
        status, body = await plain(self, spec)
        return status, {"nameId": spec.nameId, "status": "pending"} if status == 201 else body

    patch.setattr(Book, "admit", admit)
    patch.setattr(JobApi, "submit_as_leader", pending)


def _book_while_the_end_is_open(patch: Patch) -> None:
    plain = Fates.of
    patch.setattr(
        Fates, "of", lambda self, name: [k for k in plain(self, name) if END_PREFIX not in k]
    )


def _book_while_the_abort_is_open(patch: Patch) -> None:
    plain = Fates.of
    patch.setattr(Fates, "of", lambda self, name: [k for k in plain(self, name) if END_PREFIX in k])


def _unknown_while_it_is_admitted(patch: Patch) -> None:
    """Who asks or aborts hears that the book lacks the job, though its commit is open."""
    account, abort = Term.account, Term.abort

    def without(self: Term, name: str) -> Account:
        return account(self, name) if name in self.jobs else Account()

    async def at_once(self: Term, name: str) -> str | None:
        return await abort(self, name) if name in self.jobs else None

    patch.setattr(Term, "account", without)
    patch.setattr(Term, "abort", at_once)


def _own_key_only(patch: Patch) -> None:
    """A job's own record is taken for all there is of it."""
    scan = RecordReader._scan_records

    async def own(self: RecordReader, before: Any) -> dict[str, RecordSummary]:
        marks = await scan(self, before)
        for row in (await self.ledger.scan(JOB_PREFIX))[0]:
            name = row.k.removeprefix(JOB_PREFIX)
            mark = await self._record_under_key(name, row.k)
            if mark is not None:
                marks[name] = mark
        return marks

    async def settle(self: RecordReader, name: str, told: Any, keys: Any) -> Any:
        return await plain(self, name, told, [JOB_PREFIX + name])

    plain = RecordReader.read_open_commits
    patch.setattr(RecordReader, "_scan_records", own)
    patch.setattr(RecordReader, "read_open_commits", settle)


def _own_record_is_proof(patch: Patch) -> None:
    """What the first scan has shown of a job is not looked at again."""
    plain = RecordReader._scan_records

    async def once(self: RecordReader, before: Any) -> dict[str, RecordSummary]:
        marks = await plain(self, before)
        for mark in marks.values():
            mark.doubtful = False
        return marks

    patch.setattr(RecordReader, "_scan_records", once)


@pytest.mark.parametrize(
    ("bug", "rule"),
    [
        (_always_pending, "went_back"),
        (_own_key_only, "went_back|forgotten"),
    ],
)
def test_a_bug_in_what_is_told_is_found(
    bug: Callable[[Patch], None], rule: str, monkeypatch: Patch
) -> None:
    bug(monkeypatch)
    monkeypatch.setattr(constants, "LOOK_TIMES", 1e6)  # open commits stay open for longer
    with pytest.raises(Broken, match=rule):
        for seed in range(10):
            _play(seed, _none, 0.8)


@pytest.mark.parametrize(
    ("bug", "story"),
    [
        (_unknown_while_it_is_admitted, _accepted_unheard),
        (_book_while_the_end_is_open, _ended_unheard),
        (_book_while_the_abort_is_open, _cancelled_unheard),
        (_own_key_only, _accepted_unheard),
        (_own_key_only, _cancelled_by_its_batch),
        (_always_pending, _cancelled_by_its_own),
        (_own_record_is_proof, _over_between_two_reads),
    ],
)
def test_a_bug_is_found_by_the_commit_that_it_is_about(
    bug: Callable[[Patch], None], story: Story, monkeypatch: Patch
) -> None:
    bug(monkeypatch)
    with pytest.raises((Broken, AssertionError)):
        _held(story)
