"""Consistency of job statuses when users ask all controllers within milliseconds.

The jobs have one task each. After an acceptance, an end or a cancellation users ask every
controller, submit the job again, and some cancel it at once. The simulated region judges each
answer by the time of its request: once any controller has answered anybody, no answer to a later
request may be older, in the order 404, accepted, finished.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import pytest

from chalkgrade import constants
from chalkgrade.leading.term import Term
from chalkgrade.outside import NoAnswer
from chalkgrade.record.changes import Admission, encode_raw
from chalkgrade.record.in_flight import InFlightCommits, JobStatusReport
from chalkgrade.record.jobs import BATCH_PREFIX, END_PREFIX, JOB_PREFIX, JobValue
from chalkgrade.record.registry import JobRegistry
from chalkgrade.region.rules import Broken
from chalkgrade.region.world import World, tell
from chalkgrade.serving.job_status import FINAL_STATUSES
from chalkgrade.serving.record_reader import RecordReader, RecordSummary
from chalkgrade.serving.submissions import Submissions
from test_membership import _acting_leader, _give_lead, _wait_until

Patch = pytest.MonkeyPatch
BOOT_S = 14.0  # s; until machines are up and have work
QUERY_PERIOD_S = 24.0  # s; after that, how long users query closely
LOSS_PERIOD_S = 4.0  # s; responses are lost for this long, then none for as long
QUERIES = 5  # queries to each controller after an event, within OPEN_S
OPEN_S = 2.0  # s; timeout of a commit, during which its outcome may be unknown
DELAYED_SHARE = 0.01  # of all messages are delayed, also those between controllers
FAULT_S = 8.0  # s; duration of a fault that lasts


class CloseQueries(World):
    """Four one-task jobs per second, some of them cancelled near their end or at any time."""

    PIPELINE_SHARE = 0.15  # share of jobs that wait for earlier ones, and are cancelled with those
    TEAMS = ({"name": "red", "cpus": 20, "cpus_max": 60}, {"name": "blue", "cpus": 0})

    def on_status_change(self, name: str) -> None:
        """Query also while the event may not yet have reached some controller."""
        super().on_status_change(name)
        if self.now < self.close_checks_until:
            for member in self.members:
                for _ in range(QUERIES):
                    self.spawn(self._query_later(name, member, self.rng.uniform(0.0, OPEN_S)))

    async def _query_later(self, name: str, member: str, after: float) -> None:
        await asyncio.sleep(after)
        if self.up(member):
            await (self.submit if self.rng.random() < 0.2 else self.query_status)(name, member)

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
            self.store.answer_loss = (self.now + LOSS_PERIOD_S, share)
            await asyncio.sleep(2 * LOSS_PERIOD_S)


Trouble = Callable[[CloseQueries, str], Awaitable[None]]


async def _no_fault(world: CloseQueries, leader: str) -> None:
    pass


async def _leader_restarts(world: CloseQueries, leader: str) -> None:
    await world.restart(leader, 5.0)


async def _leader_restarts_at_once(world: CloseQueries, leader: str) -> None:
    await world.restart(leader, 0.1)


async def _leader_refused(world: CloseQueries, leader: str) -> None:
    world.store.unavailable_until[leader] = world.now + FAULT_S


async def _cut_off(world: CloseQueries, leader: str) -> None:
    world.isolate(leader, FAULT_S, False)


async def _handover(world: CloseQueries, leader: str) -> None:
    node = world.nodes[leader]
    assert node is not None
    while not await _give_lead(world, node):
        await asyncio.sleep(0.2)
        if world.nodes[leader] is not node or not node.leadership.token:
            return


async def _slow_store(world: CloseQueries, leader: str) -> None:
    world.store.slow = (0.1, world.now + FAULT_S)


TROUBLES: list[Trouble] = [
    _no_fault,
    _leader_restarts,
    _leader_restarts_at_once,
    _leader_refused,
    _cut_off,
    _handover,
    _slow_store,
]


def _play(seed: int, trouble: Trouble, lost: float) -> CloseQueries:
    """Run one simulation until all jobs are finished, and return its world."""
    worlds: list[CloseQueries] = []

    async def story(world: World) -> None:
        assert isinstance(world, CloseQueries)
        worlds.append(world)
        await _wait_until(world, 20.0, lambda: _acting_leader(world) is not None)
        until = world.now + BOOT_S + QUERY_PERIOD_S
        world.spawn(world.jobs_come(until))
        await asyncio.sleep(BOOT_S)
        world.close_checks_until = until
        world.cancelling_at_end = (until, 0.3)
        world.spawn(world.answers_lost(until, lost))
        await asyncio.sleep(QUERY_PERIOD_S / 2)
        leader = _acting_leader(world)
        if leader is not None:
            await trouble(world, leader.settings.member)
        await asyncio.sleep(max(0.0, until - world.now))
        most = world.now + 90.0
        while world.failure is None and world.now < most:
            if all(job["over"] for job in world.jobs.values()):
                break
            await asyncio.sleep(0.5)
        assert world.failure is not None or all(job["over"] for job in world.jobs.values())

    tell(story, seed=seed, loss=DELAYED_SHARE, kind=CloseQueries)
    return worlds[0]


@pytest.mark.parametrize("lost", [0.0, 0.8])
@pytest.mark.parametrize("trouble", TROUBLES)
def test_no_answer_is_older_than_what_any_node_had_told(trouble: Trouble, lost: float) -> None:
    """A controller that answers from an outdated book or read would take back a told status.

    That comes about while the outcome of a commit is unknown, in which some controllers see its
    effect and others don't, most of all around a change of leader.
    """
    world = _play(11, trouble, lost)
    # The case occurred: many events of all three kinds were queried, and responses were lost.
    over = [job["over"] for job in world.jobs.values()]
    assert world.close_checks > 60 and world.trouble_cancellations > 6
    assert over.count("done") > 10 and over.count("withdrawn") > 10
    kinds = world.store.answers_lost
    assert not lost or all(kinds.get(kind) for kind in ("cg/in/", "cg/end/", "cg/log/")), kinds


# -- each answer, while a single commit is in progress ---------------------------------------


class LostResponses(CloseQueries):
    """Loses the responses of transactions that write a kind of key, but executes them at once."""

    LOSS = 0.0

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.holds: Callable[[dict[str, Any]], bool] = lambda op: False
        self.executed = 0  # transactions whose responses were lost
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
        """Register a job as known to users and return its name."""
        name = str(spec["nameId"])
        self.jobs[name] = {"spec": spec, "aborted": None, "accepted": True, "over": None}
        self.jobs[name] |= {"at": self.now, "replicas": set()}
        return name

    async def begun(self, name: str) -> None:
        """Submit a job and wait until it runs."""
        await _wait_until(self, 5.0, lambda: self.failure is None)
        while (answer := await self.submit(name)) is None or answer[0] not in (200, 201):
            await asyncio.sleep(0.2)
        await _wait_until(self, 60.0, lambda: self.present_of_job(name))


def _writes(prefix: str, word: str = "") -> Callable[[dict[str, Any]], bool]:
    """Return a predicate: an operation writes a key with a prefix, and its value has a text."""
    return lambda op: (
        str(op.get("write", "")).startswith(prefix)
        and word in msgspec.json.encode(op["v"]).decode()
    )


async def _check_all_agree(world: LostResponses, name: str, status: str) -> None:
    """Check that a controller cut off from the leader reads the status, and all then agree."""
    leader = _acting_leader(world)
    assert leader is not None
    first = leader.settings.member
    alone, third = [member for member in world.members if member != first]
    world.cut({alone}, {first}, 30.0, False)  # so that it has to read the records
    answer = None
    begun = world.now
    while answer is None or answer[0] != 200:
        assert world.now < begun + 3.0, answer
        answer = await world.query_status(name, alone)
    assert answer[1]["status"] == status and world.executed
    term = leader.job_api.term
    assert term is not None and term.writer.in_flight.keys_of(name), "its commit is open"
    again = {"GET": world.query_status, "POST": world.submit}
    for member in (first, third, alone):
        for what, ask in again.items():
            answer = await ask(name, member)
            assert answer is not None and answer[0] in (200, 201), (member, what, answer)
            assert answer[1]["status"] == status, (member, what, answer)
            assert term.writer.in_flight.keys_of(name) or status in FINAL_STATUSES, "still open"


async def _write_second_record(world: World, name: str, member: str) -> None:
    """Give a job in a batch a second record, as a controller does that read before the batch."""
    node = world.nodes[member]
    assert node is not None
    record = {"spec": world.jobs[name]["spec"], "at": world.now}
    key = JOB_PREFIX + name
    created = node.ledger.commit({key: 0, END_PREFIX + name: 0}, [{"write": key, "v": record}])
    await world.run_as(member, created)


async def _accept_response_lost(world: LostResponses) -> None:
    """The response to the leader's batch is lost; its job is accepted, depended on, cancelled."""
    name = world.known(world.job(1))
    world.holds = _writes(BATCH_PREFIX)
    leader = _acting_leader(world)
    assert leader is not None
    first = leader.settings.member
    world.spawn(world.submit(name, first))
    await asyncio.sleep(0.3)
    await _check_all_agree(world, name, "pending")
    dependent = world.known(world.job(2) | {"waitsOn": [name], "jobclass": "heirs"})
    term = leader.job_api.term
    assert term is not None and name in term.registry.admissions
    answer = await world.submit(dependent, first)
    # The dependency is known, so the answer must never be 422.
    assert answer is not None and answer[0] in (200, 201, 503), answer
    world.jobs[name]["asked"] = True
    aborts = [world.spawn(world.abort(name, member)) for member in world.members[:2]]
    await asyncio.sleep(0.3)
    world.holds = lambda op: False
    for asked in aborts:
        answer = await asked
        assert answer is not None and answer[0] in (200, 503), answer  # never 404
    await world.cancel_until_over(name)


async def _end_response_lost(world: LostResponses) -> None:
    name = world.known(world.job(1))
    await world.begun(name)
    world.holds = _writes(END_PREFIX, "done")
    await _wait_until(world, 60.0, lambda: world.completed(name) and world.executed)
    await _check_all_agree(world, name, "done")


async def _cancel_response_lost(world: LostResponses) -> None:
    name = world.known(world.job(1) | {"expectedS": 30.0})
    await world.begun(name)
    world.holds = _writes(BATCH_PREFIX, '"aborted":true')
    world.jobs[name]["asked"] = True
    world.spawn(world.abort(name))
    await _wait_until(world, 5.0, lambda: world.executed)
    await _check_all_agree(world, name, "withdrawn")


async def _cancelled_in_own_record(world: LostResponses) -> None:
    """A job has two records, as the first response was lost; the second says it is cancelled."""
    name = world.known(world.job(1) | {"expectedS": 30.0})
    leader = _acting_leader(world)
    assert leader is not None
    first = leader.settings.member
    other = next(member for member in world.members if member != first)
    world.holds = _writes(BATCH_PREFIX)
    world.spawn(world.submit(name, first))
    await _wait_until(world, 5.0, lambda: world.executed)
    await asyncio.sleep(constants.PEER_REQUEST_TIMEOUT_S)  # it asked the leader in vain
    await _write_second_record(world, name, other)
    term = leader.job_api.term
    assert term is not None
    await _wait_until(world, 5.0, lambda: name in term.jobs and name in term.registry.admissions)
    world.jobs[name]["asked"] = True
    while world.jobs[name]["over"] is None:
        await world.abort(name, first)
        await asyncio.sleep(0.05)
    assert name in term.registry.admissions, "its batch is still unheard"
    for member in world.members:
        answer = await world.query_status(name, member)
        assert answer is not None and answer[1].get("status") == "withdrawn", answer
    world.holds = lambda op: False
    while name in term.registry.admissions:
        world.spawn(world.submit(name, first))  # waits until the outcome of its batch is known
        await asyncio.sleep(0.1)
    await asyncio.sleep(2.0)


async def _cancelled_in_batch(world: LostResponses) -> None:
    """A job's batch says that it is cancelled, but a second record of it does not."""
    name = world.known(world.job(1) | {"expectedS": 30.0})
    await world.begun(name)
    leader = _acting_leader(world)
    assert leader is not None
    first = leader.settings.member
    other = next(member for member in world.members if member != first)
    for host, _ in world.present_of_job(name):
        world.loop.freeze(host.name, world.now + 6.0)  # so that it does not end before that
    world.jobs[name]["asked"] = True
    while world.jobs[name]["over"] is None:
        await world.abort(name, first)
    world.cut({other}, {first}, 5.0, False)
    await asyncio.sleep(constants.PEER_REQUEST_TIMEOUT_S)  # it asked the leader in vain
    await _write_second_record(world, name, other)
    answer = None
    while answer is None or answer[0] not in (200, 201):
        answer = await world.submit(name, other)
    assert answer[1]["status"] == "withdrawn"
    assert JOB_PREFIX + name in world.store.keys and END_PREFIX + name not in world.store.keys


async def _ends_between_two_scans(world: LostResponses) -> None:
    """As above, and the end, which removes both records, comes between two scans."""
    await _cancelled_in_batch(world)
    name = "run-000001"
    leader = _acting_leader(world)
    assert leader is not None
    third = world.nodes[[m for m in world.members if m != leader.settings.member][-1]]
    assert third is not None
    plain, scans = third.ledger.scan, list[str]()

    async def scan(under: str) -> Any:
        found = await plain(under)
        scans.append(under)
        if len(scans) == 1:
            assert JOB_PREFIX + name in [row.k for row in found[0]]
            await _wait_until(world, 60.0, lambda: END_PREFIX + name in world.store.keys)
        return found

    third.ledger.scan = scan  # type: ignore[method-assign]
    answer = await world.run_as(
        third.settings.member, third.job_api.record_reader.read_status(name, absent_at_leader=False)
    )
    assert answer[1]["status"] == "withdrawn" and scans[:2] == [JOB_PREFIX, BATCH_PREFIX], answer


Story = Callable[[LostResponses], Awaitable[None]]
STORIES: list[Story] = [_accept_response_lost, _end_response_lost, _cancel_response_lost]
STORIES += [_cancelled_in_own_record, _cancelled_in_batch]
STORIES.append(_ends_between_two_scans)


def _run_story(story: Story, seed: int = 3) -> None:
    async def begun(world: World) -> None:
        assert isinstance(world, LostResponses)
        await _wait_until(world, 20.0, lambda: _acting_leader(world) is not None)
        await story(world)

    with Patch.context() as patch:
        # The leader does not read back its writes, so the commit stays open as long as possible.
        patch.setattr(constants, "COMMIT_OBSERVATION_DELAY_RATIO", 1e6)
        tell(begun, seed=seed, loss=0.0, kind=LostResponses)


@pytest.mark.parametrize("story", STORIES)
def test_a_commit_whose_answer_is_lost_is_told_by_all_once_one_has(story: Story) -> None:
    """A lost response leaves the leader's registry older than what others read and tell users."""
    _run_story(story)


# -- deliberate bugs, which the checks above have to find ----------------------------------


def _always_pending(patch: Patch) -> None:
    """A submission is answered with the status from when its commit was sent."""

    async def admit(self: JobRegistry, value: JobValue, timeout: float) -> bool:
        name = value.spec.nameId
        admission = self.admissions.get(name)
        if admission is None:
            if name in self.jobs or name in self.over:
                return False
            future = asyncio.get_running_loop().create_future()
            admission = self.admissions[name] = Admission(value, encode_raw(value), future)
            self.admit_wanted.set()
        done, _ = await asyncio.wait({admission.result}, timeout=timeout)
        if not done:
            raise NoAnswer("not durable in time")
        return admission.result.result()

    plain = Submissions.submit_as_leader

    async def pending(self: Submissions, spec: Any) -> Any:
        decision = await plain(self, spec)
        if decision.answer[0] != 201:
            return decision
        return decision._replace(answer=(201, {"nameId": spec.nameId, "status": "pending"}))

    patch.setattr(JobRegistry, "admit", admit)
    patch.setattr(Submissions, "submit_as_leader", pending)


def _book_while_the_end_is_open(patch: Patch) -> None:
    plain = InFlightCommits.keys_of
    patch.setattr(
        InFlightCommits,
        "keys_of",
        lambda self, name: [k for k in plain(self, name) if END_PREFIX not in k],
    )


def _book_while_the_abort_is_open(patch: Patch) -> None:
    plain = InFlightCommits.keys_of
    patch.setattr(
        InFlightCommits,
        "keys_of",
        lambda self, name: [k for k in plain(self, name) if END_PREFIX in k],
    )


def _unknown_while_it_is_admitted(patch: Patch) -> None:
    """Queries and aborts get "unknown job" although the commit of the job is in progress."""
    account, abort = Term.job_account, Term.abort

    def without(self: Term, name: str) -> JobStatusReport:
        return account(self, name) if name in self.jobs else JobStatusReport()

    async def at_once(self: Term, name: str) -> str | None:
        return await abort(self, name) if name in self.jobs else None

    patch.setattr(Term, "job_account", without)
    patch.setattr(Term, "abort", at_once)


def _own_key_only(patch: Patch) -> None:
    """Only a job's own record is read, not its batch."""
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
    """What the first scan shows of a job is not checked again."""
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
        (_always_pending, "went_back|forgotten"),
        (_own_key_only, "went_back|forgotten"),
    ],
)
def test_a_bug_in_what_is_told_is_found(
    bug: Callable[[Patch], None], rule: str, monkeypatch: Patch
) -> None:
    """The random simulation has to detect each bug, else it would miss such a fault."""
    bug(monkeypatch)
    monkeypatch.setattr(
        constants, "COMMIT_OBSERVATION_DELAY_RATIO", 1e6
    )  # open commits stay open for longer
    with pytest.raises(Broken, match=rule):
        for seed in range(10):
            _play(seed, _no_fault, 0.8)


@pytest.mark.parametrize(
    ("bug", "story"),
    [
        (_unknown_while_it_is_admitted, _accept_response_lost),
        (_book_while_the_end_is_open, _end_response_lost),
        (_book_while_the_abort_is_open, _cancel_response_lost),
        (_own_key_only, _accept_response_lost),
        (_own_key_only, _cancelled_in_batch),
        (_always_pending, _cancelled_in_own_record),
        (_own_record_is_proof, _ends_between_two_scans),
    ],
)
def test_a_bug_is_found_by_the_commit_that_it_is_about(
    bug: Callable[[Patch], None], story: Story, monkeypatch: Patch
) -> None:
    """Each bug has to fail in the scenario of the commit that it concerns."""
    bug(monkeypatch)
    with pytest.raises((Broken, AssertionError)):
        _run_story(story)
