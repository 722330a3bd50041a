"""The region's checkers: what they hold against the program, and that they find what is wrong."""

import asyncio
import copy
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from chalkgrade import constants
from chalkgrade.leading import reports
from chalkgrade.leading.term import Term
from chalkgrade.machines.fleet import Machine
from chalkgrade.record.jobs import Job
from chalkgrade.region import adversarial_users
from chalkgrade.region import day as days
from chalkgrade.region.day import Day, Fault
from chalkgrade.region.fleet import figures, play_day
from chalkgrade.region.loop import VirtualLoop
from chalkgrade.region.rules import Broken
from chalkgrade.region.worker import Task
from chalkgrade.region.world import World, close, tell
from chalkgrade.serving import submissions
from chalkgrade.serving.job_api import JobApi
from chalkgrade.serving.submissions import Submissions
from chalkgrade.sharing import constraints
from chalkgrade.state.leadership import LEADER_KEY
from test_gap import _long_job
from test_membership import _wait_until

Patch = pytest.MonkeyPatch
FLEET = days.read(Path(__file__).parent / "days" / "fleet.toml")
PENDING, DONE, WITHDRAWN = ({"status": one} for one in ("pending", "done", "withdrawn"))


@pytest.fixture
def history() -> Iterator[World]:
    """A world in which nothing runs, with one job; its clock is set by hand."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    world = World(loop, 1)
    spec = _long_job(1, 2)
    world.jobs["run-000001"] = {"spec": spec, "aborted": None, "accepted": True, "over": None}
    world.jobs["run-000001"] |= {"at": world.now, "replicas": set(), "asked": True}
    try:
        yield world
    finally:
        close(world)


def _at(world: World, seconds: float) -> float:
    world.loop._virtual.now = 1000.0 + seconds
    return world.now


# -- answers -----------------------------------------------------------------------


def _tells(world: World, asked: float, came: float, answer: tuple[int, Any]) -> None:
    """One user's question and its answer, seconds from the beginning."""
    _at(world, came)
    world.check_answer("run-000001", 1000.0 + asked, answer)


def _complete(world: World) -> None:
    for index in range(2):
        world.finish(f"run-000001/{index}")


OLDER = [
    # What had been told, when it came; then what was asked for later, and is older.
    ([(201, PENDING)], (404, {}), "forgotten"),
    ([(200, PENDING)], (422, {}), "forgotten"),
    ([(200, PENDING)], (400, {}), "forgotten"),
    ([(201, PENDING)], (201, PENDING), "forgotten"),
    ([(200, PENDING)], (201, PENDING), "forgotten"),
    ([(201, PENDING), (200, WITHDRAWN)], (200, PENDING), "went_back"),
    ([(201, PENDING), (200, WITHDRAWN)], (201, PENDING), "went_back"),
    ([(200, DONE)], (200, {"status": "running"}), "went_back"),
    ([(200, DONE)], (404, {}), "forgotten"),
    ([(200, WITHDRAWN)], (200, DONE), "went_back"),
    ([(200, DONE)], (200, WITHDRAWN), "went_back"),
]


@pytest.mark.parametrize(("told", "older", "rule"), OLDER)
def test_an_answer_older_than_one_that_had_come_breaks_the_rule(
    told: list[tuple[int, Any]], older: tuple[int, Any], rule: str, history: World
) -> None:
    _complete(history)
    for number, answer in enumerate(told):
        _tells(history, float(number), number + 0.5, answer)
    with pytest.raises(Broken, match=rule):
        _tells(history, 5.0, 5.1, older)


@pytest.mark.parametrize("older", [(200, PENDING), (201, PENDING), (404, {})])
def test_answers_that_cross_on_their_way_break_nothing(
    older: tuple[int, Any], history: World
) -> None:
    """A question that was asked before the newer answer came may be answered with less."""
    _complete(history)
    _tells(history, 0.0, 2.0, (200, DONE))
    _tells(history, 1.9, 2.3, older)
    with pytest.raises(Broken):
        _tells(history, 2.1, 2.4, older)


def test_two_ends_of_one_job_break_the_rule_even_when_they_cross(history: World) -> None:
    _complete(history)
    _tells(history, 0.0, 2.0, (200, DONE))
    with pytest.raises(Broken, match="went_back"):
        _tells(history, 1.0, 2.1, (200, WITHDRAWN))


def _small(*faults: Fault, seconds: float = 40.0, **changes: Any) -> Day:
    """A short day of a small fleet with these troubles."""
    day = copy.deepcopy(FLEET)
    day.faults, day.seconds, day.calm_s = list(faults), seconds, 200.0
    for field, value in changes.items():
        setattr(day, field, value)
    return day


def _answers_from_what_it_heard_once(patch: Patch) -> None:
    """A node that repeats the leader's last counts to whoever asks."""
    plain = JobApi.query

    async def query(self: JobApi, name: str) -> tuple[int, dict[str, Any]]:
        if self.term is None and name in self.last_leader_answers and name not in self.finals:
            return 200, self.last_leader_answers[name]
        return await plain(self, name)

    patch.setattr(JobApi, "query", query)


def _calls_off_what_is_complete(patch: Patch) -> None:
    """A job whose last task ended counts as cancelled while its end is being written."""
    plain = Term.abort

    async def abort(self: Term, name: str) -> str | None:
        job = self.jobs.get(name)
        if job is not None and job.is_complete:
            return "withdrawn"
        return await plain(self, name)

    patch.setattr(Term, "abort", abort)


@pytest.mark.parametrize("bug", [False, True])
def test_close_looks_find_an_answer_that_is_milliseconds_old(bug: bool, monkeypatch: Patch) -> None:
    if bug:
        _answers_from_what_it_heard_once(monkeypatch)
    world, broken = play_day(_small(Fault(3.0, "close_looks", 30.0)), 1)
    assert broken.startswith("went_back") if bug else not broken, broken
    if not bug:
        assert world.close_checks > 25 and world.trouble_cancellations > 0


@pytest.mark.parametrize("bug", [False, True])
def test_cancellations_that_meet_the_end_of_the_last_task(bug: bool, monkeypatch: Patch) -> None:
    if bug:
        _calls_off_what_is_complete(monkeypatch)
    day = _small(Fault(3.0, "cancel_at_end", 40.0, share=1.0), Fault(20.0, "crash", 3.0))
    world, broken = play_day(day, 1)
    assert broken.startswith("went_back") if bug else not broken, broken
    assert world.trouble_cancellations > 0 if bug else world.trouble_cancellations > 10


def test_a_day_of_close_looks_and_cancellations_repeats_bit_for_bit() -> None:
    faults = Fault(3.0, "close_looks", 20.0), Fault(5.0, "cancel_at_end", 20.0)
    day = _small(*faults, Fault(9.0, "odd_requests", 9.0), seconds=20.0)
    assert figures(*play_day(day, 3)) == figures(*play_day(day, 3))


# -- odd requests ----------------------------------------------------------------------


def _takes_what_fits_nothing(patch: Patch) -> None:
    patch.setattr(Submissions, "rejection_reason", lambda self, spec: None)


def _fills_in_what_is_missing(patch: Patch) -> None:
    """A field that is not there is taken for 0."""
    plain = submissions.parse_submission

    def parse(body: bytes, value_b: int) -> Any:
        found = {"flushS": 0.0, "savepointS": 0.0} | msgspec.json.decode(body)
        return plain(msgspec.json.encode(found), value_b)

    patch.setattr(submissions, "parse_submission", parse)


@pytest.mark.parametrize("bug", [None, _takes_what_fits_nothing, _fills_in_what_is_missing])
def test_odd_requests_are_refused(bug: Any, monkeypatch: Patch) -> None:
    if bug is not None:
        bug(monkeypatch)
    day = _small(Fault(1.0, "odd_requests", 55.0), seconds=50.0)
    world, broken = play_day(day, 1)
    assert broken.startswith("accepted_bad") if bug else not broken, broken
    if bug is None:
        # Each field in turn, and each thing that fits nothing.
        assert {f"no {field}" for field in adversarial_users.REQUIRED_FIELDS} <= set(
            world.invalid_refusals
        )
        assert {"vcpus", "gpus", "memoryGb", "hosttypes", "owner", "limit"} <= set(
            world.invalid_refusals
        )


# -- idle room ---------------------------------------------------------------------------


def _starves(patch: Patch, jobclass: str) -> None:
    plain = constraints.TeamLimits.max_starts

    def most(self: constraints.TeamLimits, job: Job, count: int) -> int:
        return 0 if job.spec.jobclass == jobclass else plain(self, job, count)

    patch.setattr(constraints.TeamLimits, "max_starts", most)


def test_a_class_that_waits_beside_room_is_found_and_it_is_said_why(monkeypatch: Patch) -> None:
    _starves(monkeypatch, "quote")
    # Alone, on machines that stay a while in a lull too: else what is rented for it comes and
    # goes before it counts, and others wait beside it.
    monkeypatch.setattr(constants, "SUBMISSION_LULL_S", 1e9)
    quote = [work for work in FLEET.classes if work.name == "quote"]
    _, broken = play_day(_small(calm_s=300.0, classes=quote), 1)
    assert broken.startswith("idle_room: ") and "'jobclass': 'quote'" in broken
    assert "host-" in broken and "its team holds" in broken and "the leader says: n-" in broken


def _waits(world: World, seconds: float = 110.0) -> bool:
    """Whether the job of `history` breaks the rule when nobody starts it for so long."""
    for half in range(int(2 * seconds)):
        _at(world, half / 2)
        try:
            world.idle.check()
        except Broken as broken:
            assert str(broken).startswith("idle_room: run-000001"), broken
            return True
    return False


ROOMS = [("small", "a", True), ("small", "b", False), ("large", "b", True)]
Change = dict[str, Any]


@pytest.mark.parametrize(
    ("pools", "changes", "breaks"),
    [
        (ROOMS, {}, True),
        ([], {}, False),
        # Wrong type, zone or kind of machine, or too small ones.
        (ROOMS[:2], {"hosttypes": ["large"]}, False),
        (ROOMS, {"hosttypes": ["large"]}, True),
        (ROOMS[1:], {"site": "a"}, False),
        (ROOMS[:1], {"standby": False}, False),
        (ROOMS[:2], {"vcpus": 5.0}, False),
        (ROOMS[:2], {"memoryGb": 17.0}, False),
        (ROOMS, {"memoryGb": 17.0}, True),
        (ROOMS, {"gpus": 1.0}, False),
        # A gang needs room for all at once, and in one zone if it is bound to one.
        (ROOMS[:2], {"shape": "gang", "tasks": 8}, True),
        (ROOMS[:2], {"shape": "gang", "tasks": 9}, False),
        (ROOMS[:2], {"shape": "gang", "tasks": 8, "oneZone": True}, False),
        (ROOMS[:2], {"shape": "gang", "tasks": 4, "oneZone": True}, True),
        # Half of a spread gang's tasks may be in one zone.
        (ROOMS[:1], {"shape": "gang", "tasks": 2, "spread": True}, False),
        (ROOMS[:2], {"shape": "gang", "tasks": 2, "spread": True}, True),
        # The team of 20 CPUs at most; jobs whose tasks always fail, and early or licensed ones.
        (ROOMS * 3, {"owner": "red", "shape": "gang", "tasks": 20}, True),
        (ROOMS * 3, {"owner": "red", "shape": "gang", "tasks": 21}, False),
        (ROOMS, {"jobclass": "doomed"}, False),
        (ROOMS, {"waitsOn": ["run-000002"]}, False),
        (ROOMS, {"licences": {"sim": 1}}, False),
    ],
)
def test_idle_room_is_judged_by_what_a_job_may_have(
    pools: list[tuple[str, str, bool]], changes: Change, breaks: bool, history: World
) -> None:
    other = history.jobs["run-000001"] | {"spec": _long_job(2, 1), "accepted": False}
    history.jobs["run-000002"] = other
    history.jobs["run-000001"]["asked"] = False
    history.jobs["run-000001"]["spec"] |= changes
    for pool in pools:
        history.cloud.add_running(pool, 1)
    assert _waits(history) == breaks


def _cancelled(world: World) -> None:
    world.jobs["run-000001"]["asked"] = True


def _sick(world: World) -> None:
    for worker in world.workers.values():
        worker.sick = True


def _leaving(world: World) -> None:
    for worker in world.workers.values():
        worker.warning = 20.0


def _full(world: World) -> None:
    """Others hold all but a moment's room now and then."""
    worker = world.workers["host-000001"]
    task = Task("run-000003/0", 1, _long_job(3, 1) | {"vcpus": 4.0})
    worker.tasks["run-000003/0", 1] = task
    world.loop.call_soon(lambda: None)
    plain = world.idle.check

    def look() -> None:
        task.status = "ended" if int(world.now) % 6 == 0 else "running"
        plain()

    world.idle.check = look  # type: ignore[method-assign]


def _troubled(world: World) -> None:
    plain = world.idle.check

    def look() -> None:
        if int(world.now) % 60 == 0:  # something is in trouble once a minute
            world.calm_since = world.now
        plain()

    world.idle.check = look  # type: ignore[method-assign]


@pytest.mark.parametrize("change", [_cancelled, _sick, _leaving, _full, _troubled])
def test_idle_room_is_none_where_nothing_could_start(change: Any, history: World) -> None:
    history.jobs["run-000001"]["asked"] = False
    history.cloud.add_running(ROOMS[0], 1)
    change(history)
    assert not _waits(history, 200.0)


# -- half of a class's largest jobs ---------------------------------------------------------


def _of_class(world: World, count: int, large: int) -> list[dict[str, Any]]:
    """Jobs that were submitted at once, the last ones large; all but those are done."""
    world.jobs.clear()
    for number in range(count):
        tasks = 9 if number >= count - large else 1
        spec = _long_job(number, tasks) | {"expectedS": 1.0}
        job: dict[str, Any] = {"spec": spec, "aborted": None, "accepted": True, "at": world.now}
        job |= {"over": "done", "first": world.now, "replicas": set()}
        world.jobs[spec["nameId"]] = job
    return [*world.jobs.values()][count - large :]


@pytest.mark.parametrize(("done", "fails"), [(0, True), (1, True), (2, False), (4, False)])
def test_half_of_the_largest_jobs_of_a_class_have_to_be_served(
    done: int, fails: bool, history: World
) -> None:
    """A tenth of a class, by what they ask for: the many small ones do not make up for them."""
    largest = _of_class(history, 40, 4)
    for job in largest[done:]:
        job["over"] = None
    _at(history, 600.0)
    assert history.unserved() == ([f"the largest of small {done / 4:.2f}"] if fails else [])


def test_the_largest_jobs_of_a_class_have_to_begin_within_four_minutes(history: World) -> None:
    largest = _of_class(history, 40, 4)
    small = next(iter(history.jobs.values()))
    small["first"] = largest[0]["first"] = history.now + 239.0
    _at(history, 600.0)
    assert history.unserved() == []
    small["first"] = history.now  # no rule for small ones
    largest[0]["first"] = largest[0]["at"] + 241.0
    assert history.unserved() == ["one of the largest of small began after 241 s"]


# -- cancellations ------------------------------------------------------------------------


def test_starts_after_a_confirmed_cancellation_are_counted_and_late_ones_break(
    history: World,
) -> None:
    """One whose launch was under way may still start for a while: it is counted."""
    history.cloud.add_running(ROOMS[0], 1)
    worker = history.workers["host-000001"]
    spec = history.jobs["run-000001"]["spec"]
    history.record_status("run-000001", WITHDRAWN)
    _at(history, history.CANCEL_S - 1.0)
    task = Task("run-000001/0", 1, spec)
    history.enter(worker, task)
    history.leave(task)
    assert history.starts_after_cancel == 1
    _at(history, history.CANCEL_S + 1.0)
    with pytest.raises(Broken, match="ran_cancelled"):
        history.enter(worker, Task("run-000001/1", 1, spec))


def _kills_for_some_seconds(patch: Patch) -> None:
    """What was told to stop for five seconds counts as stopped, whether or not it could hear."""
    plain = reports.orders

    def orders(machine: Machine, *args: Any, **named: Any) -> list[dict[str, Any]]:
        now = args[1].now()
        late = {
            key
            for key in machine.tasks
            if key not in machine.attempts
            or (machine.attempts[key].kill_requested_at is not None)
            and now - (machine.attempts[key].kill_requested_at or 0.0) > 5.0
        }
        return [
            order
            for order in plain(machine, *args, **named)
            if order["order"] != "kill" or (order["task"], order["try"]) not in late
        ]

    patch.setattr(reports, "orders", orders)


@pytest.mark.parametrize("bug", [False, True])
def test_a_cancelled_task_that_goes_on_after_its_machine_hung(
    bug: bool, monkeypatch: Patch
) -> None:
    """Up to eight machines hang while their jobs are called off; they are back in their lease."""
    if bug:
        _kills_for_some_seconds(monkeypatch)
    day = _small(Fault(15.0, "cancel_now", count=20, hang_s=6.0), seconds=20.0)
    for work in day.classes:
        work.run_s = (60.0, 90.0)
    world, broken = play_day(day, 1)
    assert world.trouble_cancellations >= 10
    assert broken.startswith("ran_cancelled") if bug else not broken, broken
    if not bug:
        assert 6.0 < world.max_stop_delay_s < world.CANCEL_S


# -- what else a day file says comes about ---------------------------------------------------


def test_mute_machines_reach_nobody_and_hear_direct_commands() -> None:
    async def story(world: World) -> None:
        spec = _long_job(1, 4)
        world.spawn(world.user(spec, None))
        await _wait_until(world, 120.0, lambda: len(world.present_of_job(spec["nameId"])) == 4)
        worker = world.present()[0][0]
        world.mute({worker.name}, world.LEASE_S - 2.0)
        lease = worker.lease_from
        await asyncio.sleep(world.LEASE_S - 4.0)
        assert world.is_troubled() and worker.lease_from == lease
        asked = await world.request("n-0", worker.name, "GET", "/status", b"", 2.0)
        assert asked[0] == 200 and asked[1]["tasks"]
        key = {"baton": worker.baton, "tenure": worker.tenure}
        order = {"order": "kill", "graceS": 0, **asked[1]["tasks"][0]}
        for wrong, status in (({"baton": 0}, 409), ({"tenure": 9}, 409), ({"baton": None}, 400)):
            made = {k: v for k, v in (key | wrong).items() if v is not None} | {"orders": [order]}
            body = msgspec.json.encode(made)
            told = await world.request("n-0", worker.name, "POST", "/do", body, 2.0)
            assert told[0] == status and len(world.present_of_job(spec["nameId"])) == 4
        body = msgspec.json.encode(key | {"orders": [order]})
        told = await world.request("n-0", worker.name, "POST", "/do", body, 2.0)
        assert told[0] == 200 and told[1]["seq"] > asked[1]["seq"]
        assert worker.tasks[order["task"], order["try"]].status == "ended"
        assert worker.lease_from == lease  # direct commands do not renew it
        await asyncio.sleep(8.0)
        assert worker.lease_from > lease

    tell(story, 1, loss=0.0)


def test_copies_that_were_kept_come_in_the_first_second_of_the_next_leader() -> None:
    async def story(world: World) -> None:
        world.spawn(world.user(_long_job(1, 8), None))
        await _wait_until(world, 120.0, lambda: len(world.present_of_job("run-000001")) == 8)
        came: list[float] = []
        plain = world.deliver_old_report

        async def give(*args: Any) -> None:
            await plain(*args)
            came.append(world.now)

        world.deliver_old_report = give  # type: ignore[method-assign]
        world.spawn(world.resend_to_next_leader(10.0, 1.0))
        await asyncio.sleep(15.0)
        assert not came and sum(len(bodies) for bodies in world.saved_reports.values()) >= 4
        world.store.written[LEADER_KEY] = []
        world.spawn(world.restart(world.leaders()[0], 2.0))
        await _wait_until(world, 60.0, lambda: bool(world.leaders()))
        await asyncio.sleep(3.0)
        begun = world.store.written[LEADER_KEY][0]
        assert came and all(begun <= at <= begun + 1.1 for at in came)

    tell(story, 1, loss=0.0)


def test_lost_answers_meet_executed_commits_of_every_kind() -> None:
    faults = Fault(4.0, "late_writes", 50.0, share=0.4, at_once=True), Fault(20.0, "crash", 2.0)
    world, broken = play_day(_small(*faults), 1)
    assert not broken
    lost = world.store.answers_lost
    assert {"cg/in/", "cg/log/", "cg/end/"} <= set(lost) and sum(lost.values()) > 40, lost


def test_machines_that_are_rented_are_up_at_once() -> None:
    day = _small(Fault(1.0, "quick_boots", 30.0), Fault(5.0, "take", 0.1, count=20))
    world, broken = play_day(day, 1)
    assert not broken
    quick = [boot.took for boot in world.cloud.boots if boot.at < 1030.0]
    assert len(quick) > 2 and max(quick) <= 2.0, quick
