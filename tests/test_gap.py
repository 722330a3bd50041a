"""The gap: a cancellation confirmed elsewhere while the leader is refused, then an outage."""

import asyncio
from typing import Any

import pytest

import gap_model
from chalkgrade import constants
from chalkgrade.experiments import gap
from chalkgrade.leading.term import Term
from chalkgrade.outside import NoAnswer
from chalkgrade.record.book import Book
from chalkgrade.record.jobs import Job
from chalkgrade.region.loop import HandClock
from chalkgrade.region.rules import Broken
from chalkgrade.region.world import World, tell
from chalkgrade.serving.cancellation_poll import Told
from chalkgrade.state.leadership import Leadership
from chalkgrade.state.shelter import Shelter
from gap_model import Rules, State, walk
from test_membership import _leader, _until


class WrongInstant(Rules):
    """Counts from when a renewal was answered."""

    def proved(self, known: float, age: int) -> float:
        return super().proved(known, 0)


class BeginsAnew(Rules):
    """Each refused renewal starts the shelter once more."""

    def refused(self, known: float) -> float:
        return max(known, 0.0)


class BeforeDurable(Rules):
    """The old leader confirms what it has only sent."""

    def confirms(self, state: State) -> bool:
        return state.sent


class OnlyAnswered(Rules):
    """An own cancellation counts from when its commit was answered."""

    def asked(self) -> bool:
        return False


class GoesOn(Rules):
    """An old leader answers who has seen a higher token, under that token."""

    def heard(self, state: State) -> State:
        assert state.report is not None
        return state._replace(report=(1, state.report[1], "keep"))

    def takes(self, state: State, whose: int) -> bool:
        return True


class InTurn(Rules):
    """Whoever was answered a moment ago is kept on, so that both keep a worker in turn."""

    def keeps(self, known: float | None, answered: int) -> bool:
        return known is not None and (answered < 2 or super().keeps(known, answered))


class NoMargin(Rules):
    """The shelter lasts as long as `cancel_s` and the lease seem to allow."""

    spare = gap_model.SPARE + 1


class VouchedFromTheAnswer(Rules):
    """What others list counts from when their lists came, not from when they were asked."""

    def vouched(self, known: float, age: int) -> float:
        return super().vouched(known, 0)


class NotAllListed(Rules):
    """One that has told a user is not asked, or was just back and knows nothing of it."""

    def listed(self, state: State) -> bool:
        return False


BUGS = [
    VouchedFromTheAnswer,
    NotAllListed,
    WrongInstant,
    BeginsAnew,
    BeforeDurable,
    OnlyAnswered,
    GoesOn,
    InTurn,
    NoMargin,
]


def test_no_run_of_the_model_keeps_a_cancelled_task_for_too_long() -> None:
    seen, broken = walk(Rules())
    assert broken is None
    assert seen > 100_000  # all of them: the walk ends by itself


@pytest.mark.parametrize("bug", BUGS)
def test_bugs_of_the_gap_are_found_by_the_model(bug: type[Rules]) -> None:
    _, broken = walk(bug())
    assert broken is not None


# -- in the region ----------------------------------------------------------------------------

# Variants that came about: both sides cut from each other, machines that reach only the old
# leader, a second refusal, late transactions, tasks that save, three and five controllers.
SEEDS = [7, 9, 25]


@pytest.mark.parametrize("seed", SEEDS)
def test_drawn_gaps_break_nothing(seed: int) -> None:
    found = gap.play(seed)
    assert not found["broken"], found["why"]
    assert found["came_about"] and not found["lost"]


def _long(number: int, tasks: int = 4) -> dict[str, Any]:
    return {
        "nameId": f"run-{number:06d}",
        "jobclass": "small",
        "owner": "blue",
        "shape": "batch",
        "urgency": "high",
        "tasks": tasks,
        "vcpus": 1.0,
        "gpus": 0.0,
        "memoryGb": 1.0,
        "bundle": "img-1",
        "pullGb": 0.1,
        "hosttypes": None,
        "site": None,
        "oneZone": False,
        "spread": False,
        "standby": True,
        "expectedS": 300.0,
        "savepointS": 0.0,
        "flushS": 0.0,
        "dueS": None,
    }


async def _running(world: World, name: str, tasks: int) -> None:
    await _until(world, 120.0, lambda: len(world.of_job(name)) == tasks)


async def _asks(world: World, member: str, name: str) -> None:
    """A user asks one controller for a job's end until it is told."""
    world.jobs[name]["asked"] = True
    while world.jobs[name]["over"] is None:
        try:
            answer = await world.request(
                "users", member, "POST", f"/v2/runs/{name}/abort", b"", 5.0
            )
        except NoAnswer:
            answer = 0, {}
        if answer[0] == 200:
            world.heard(name, answer[1])
        await asyncio.sleep(1.0)


def _only(world: World, leader: str, seconds: float) -> set[str]:
    """Machines reach only this leader, and it none of the other controllers."""
    others = set(world.members) - {leader}
    world.cut(set(world.workers), others, seconds, False)
    world.cut({leader}, others, seconds, False)
    return others


async def _gap(world: World, save: float = 0.0) -> float:
    """The meeting, at its hardest; how long after the confirmation the last task was there."""
    spec = _long(1) | ({"savepointS": 5.0, "flushS": save} if save else {})
    world.spawn(world.user(spec, None))
    await _running(world, spec["nameId"], 4)
    leader = _leader(world)
    assert leader is not None
    old = leader.settings.member
    others = _only(world, old, 300.0)
    world.store.refused[old] = world.now + 300.0
    await _until(world, 20.0, lambda: any(_leads(world, member) for member in others))
    new = next(member for member in others if _leads(world, member))
    await _asks(world, new, spec["nameId"])
    assert world.of_job(spec["nameId"]), "they are still there: only the old leader keeps them"
    world.store.outage(world.CANCEL_S + 30.0)
    await _until(world, 60.0, lambda: not world.of_job(spec["nameId"]))
    return world.gone_most


def _leads(world: World, member: str) -> bool:
    node = world.nodes[member]
    return node is not None and node.leadership.acting()


class Five(World):
    MEMBERS = ("n-0", "n-1", "n-2", "n-3", "n-4")


@pytest.mark.parametrize("kind", [World, Five])
@pytest.mark.parametrize("save", [0.0, 4.0])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_old_leader_lets_its_workers_go_in_time(
    kind: type[World], save: float, seed: int
) -> None:
    took: list[float] = []

    async def story(world: World) -> None:
        took.append(await _gap(world, save))

    tell(story, seed, loss=0.0, kind=kind)
    # Kept until the margin before `cancel_s`, and not let go much sooner either.
    assert World.LEASE_S < took[0] < World.CANCEL_S - constants.LIMBO_MARGIN_S + 0.5


async def _paths(world: World, path: str, old: str, new: str) -> None:
    """Which controllers machines reach from the moment on in which two lead by their own word."""
    workers, others = sorted(world.workers), set(world.members) - {old}
    if path == "relay":  # neither leader: a third controller carries their reports
        world.cut(set(workers), {old, new}, 300.0, False)
    elif path == "split":  # both leaders shelter, each its own
        world.cut(set(workers[::2]), others, 300.0, False)
        world.cut(set(workers[1::2]), {old}, 300.0, False)
    else:  # to the one, then to the other, and back
        while True:
            for away in (others, {old}):
                world.cut(set(workers), away, 5.0, False)
                await asyncio.sleep(5.0)


@pytest.mark.parametrize("path", ["relay", "split", "to and fro"])
@pytest.mark.parametrize("kind", [World, Five])
def test_whatever_way_reports_take_in_the_gap(kind: type[World], path: str) -> None:
    async def story(world: World) -> None:
        names = [_long(number)["nameId"] for number in range(1, 5)]
        for number in range(1, 5):
            world.spawn(world.user(_long(number, 3), None))
        await _until(world, 120.0, lambda: len(world.present()) == 12)
        leader = _leader(world)
        assert leader is not None
        old = leader.settings.member
        others = set(world.members) - {old}
        world.cut({old}, others, 300.0, False)
        world.store.refused[old] = world.now + 300.0
        await _until(world, 20.0, lambda: any(_leads(world, member) for member in others))
        new = next(member for member in others if _leads(world, member))
        world.spawn(_paths(world, path, old, new))
        for name in names[:3]:
            await _asks(world, new, name)
        world.store.outage(world.CANCEL_S + 30.0)
        await asyncio.sleep(world.CANCEL_S + 5.0)
        assert not any(world.of_job(name) for name in names[:3])
        if world.failure is not None:
            raise world.failure

    for seed in (1, 2):
        tell(story, seed, loss=0.0, kind=kind)


def _each_refusal(patch: pytest.MonkeyPatch) -> None:
    plain = Leadership._touch

    async def touch(self: Leadership) -> None:
        await plain(self)
        if self.token:
            self.shelter.vouched(self._clock.now())

    patch.setattr(Leadership, "_touch", touch)


def _twice_as_long(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        Shelter, "left_s", lambda self: self.known_until + 2 * self.spare_s - self._clock.now()
    )


def _unfinished_load(patch: pytest.MonkeyPatch) -> None:
    """Workers are kept by whoever holds a token, for as long as nobody says otherwise."""
    patch.setattr(Leadership, "sheltering", lambda self: self.token > 0)
    patch.setattr(Leadership, "depose", lambda self: None)


@pytest.mark.parametrize("bug", [_each_refusal, _twice_as_long, _unfinished_load])
def test_bugs_of_the_gap_break_the_rule_in_the_region(
    bug: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    bug(monkeypatch)

    async def story(world: World) -> None:
        await _gap(world)
        if world.failure is not None:
            raise world.failure

    with pytest.raises((Broken, AssertionError), match="ran_cancelled|never"):
        tell(story, 1, loss=0.0)


def _killed_when_durable(patch: pytest.MonkeyPatch) -> None:
    plain = Book.abort

    def abort(self: Book, job: Job) -> None:
        plain(self, job)
        for attempt in job.live.values():
            attempt.kill_at = None

    patch.setattr(Book, "abort", abort)


@pytest.mark.parametrize("bug", [False, True])
def test_what_may_be_durable_counts_as_confirmed(
    bug: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The leader's own commit of a cancellation is executed, but every answer to it is lost."""
    if bug:
        _killed_when_durable(monkeypatch)
    took: list[float] = []

    async def story(world: World) -> None:
        spec = _long(1)
        name = spec["nameId"]
        world.spawn(world.user(spec, None))
        await _running(world, name, 4)
        leader = _leader(world)
        assert leader is not None
        old = leader.settings.member
        _only(world, old, 300.0)
        world.cut({"state"}, {old}, 300.0, False, one_way=True)
        world.spawn(_asks(world, old, name))  # it is never told by this one
        await _until(world, 20.0, lambda: world.jobs[name]["over"])  # but by one that reads
        world.store.outage(world.CANCEL_S + 30.0)
        await _until(world, 60.0, lambda: not world.of_job(name))
        took.append(world.gone_most)

    tell(story, 2, loss=0.0)
    assert (took[0] > World.LEASE_S) == bug, took


def test_the_operator_sees_the_gap(caplog: pytest.LogCaptureFixture) -> None:
    seen: list[float] = []

    async def story(world: World) -> None:
        leader = _leader(world)
        assert leader is not None
        _only(world, leader.settings.member, 300.0)
        world.store.outage(60.0)

        def left() -> float:
            figures = {s.name: s.values for s in leader.samples()}
            return next(iter(figures["shelter_left"].values()))

        await asyncio.sleep(6.0)
        seen.append(left())
        await asyncio.sleep(4.0)
        seen.append(left())
        await asyncio.sleep(12.0)
        seen.append(left())

    with caplog.at_level("WARNING"):
        tell(story, 3, loss=0.0)
    assert 3.9 < seen[0] - seen[1] < 4.1 and seen[2] == 0.0
    said = [r for r in caplog.records if "the lease is not proved any more" in r.getMessage()]
    assert said and said[0].token > 0 and said[0].left_s > 10.0  # type: ignore[attr-defined]
    assert any("workers are let go" in r.getMessage() for r in caplog.records)


# -- who was told of which cancellations --------------------------------------------------------


@pytest.mark.parametrize("case", ["all there", "one is down", "one is just back", "one is cut"])
def test_in_an_outage_for_all_work_goes_on_as_long_as_all_can_be_asked(case: str) -> None:
    ends: list[int] = []

    async def story(world: World) -> None:
        spec = _long(1)
        world.spawn(world.user(spec, None))
        await _running(world, spec["nameId"], 4)
        leader = _leader(world)
        assert leader is not None
        other = next(member for member in world.members if member != leader.settings.member)
        world.store.outage(60.0)
        await asyncio.sleep(4.0)
        if case == "one is down":
            world.crash(other)
        elif case == "one is just back":
            await world.restart(other, 0.2)
        elif case == "one is cut":
            world.cut({other}, set(world.members) - {other}, 60.0, False)
        await asyncio.sleep(50.0)
        ends.append(world.lease_ends)
        assert len(world.of_job(spec["nameId"])) == (4 if case == "all there" else 0)

    tell(story, 4, loss=0.0)
    assert bool(ends[0]) == (case != "all there")


def _nothing_listed(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Told, "announced_within", lambda self, ago_s: [])


def _not_believed(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Term, "believe", lambda self, told: None)


@pytest.mark.parametrize("bug", [None, _nothing_listed, _not_believed])
def test_what_others_list_is_stopped(bug: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    """The gap once more, but the old leader reaches the others and does not heed their token."""
    if bug is not None:
        bug(monkeypatch)
    plain = Leadership.heard

    def heard(self: Leadership, token: int, member: str | None = None) -> None:
        if not self.token:
            plain(self, token, member)

    monkeypatch.setattr(Leadership, "heard", heard)

    async def story(world: World) -> None:
        name = _long(1)["nameId"]
        world.spawn(world.user(_long(1), None))
        await _running(world, name, 4)
        leader = _leader(world)
        assert leader is not None
        old = leader.settings.member
        others = set(world.members) - {old}
        world.cut(set(world.workers), others, 300.0, False)
        world.store.refused[old] = world.now + 300.0
        await _until(world, 20.0, lambda: any(_leads(world, member) for member in others))
        await _asks(world, next(m for m in others if _leads(world, m)), name)
        world.store.outage(world.CANCEL_S + 40.0)
        await asyncio.sleep(world.CANCEL_S + 20.0)
        if world.failure is not None:
            raise world.failure
        assert not world.of_job(name)

    if bug is None:
        tell(story, 1, loss=0.0)
        return
    with pytest.raises(Broken, match="ran_cancelled"):
        tell(story, 1, loss=0.0)


def test_a_process_lists_only_what_it_can_know_whole() -> None:
    clock = HandClock()
    told = Told(clock)
    clock.at += 10.0
    told.note_answer(200, {"nameId": "run-1", "status": "withdrawn"})
    told.note_answer(200, {"nameId": "run-2", "status": "running"})
    told.note_answer(503, {"nameId": "run-3", "status": "withdrawn"})
    clock.at += 2.0
    told.note_answer(200, {"nameId": "run-1", "status": "withdrawn"})
    assert told.announced_within(4.0) == ["run-1"]
    # Its question's way may have taken some time: what lies just before is listed as well.
    assert told.announced_within(0.0) == ["run-1"]
    assert told.announced_within(9.5) is None  # it may have begun after that: who was it before?
    clock.at += 10.0
    assert told.announced_within(0.0) == []


@pytest.mark.parametrize("arg", [None, "soon", -1, float("nan"), True, [3.0]])
def test_a_question_that_is_none_gets_no_list(arg: Any) -> None:
    async def story(world: World) -> None:
        node = world.nodes[world.members[0]]
        assert node is not None
        answer = await node.on_peer({"q": "told", "arg": arg})
        assert answer["status"] == 400

    tell(story, 1, loss=0.0)


def test_when_the_record_is_back_only_it_counts() -> None:
    """What a peer listed, and the record does not have, does not hold up a job for ever."""

    async def story(world: World) -> None:
        name = _long(1)["nameId"]
        world.spawn(world.user(_long(1) | {"expectedS": 20.0}, None))
        await _running(world, name, 4)
        leader = _leader(world)
        assert leader is not None and leader.term is not None
        world.store.outage(8.0)
        await asyncio.sleep(4.0)
        leader.term.believe({name})
        await _until(world, 10.0, lambda: not world.of_job(name))
        await _until(world, 60.0, lambda: len(world.of_job(name)) == 4)
        assert leader.leadership.acting()

    tell(story, 4, loss=0.0)
