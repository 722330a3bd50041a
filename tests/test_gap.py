"""Cancelled tasks must end in time even if the old leader does not learn of the cancellation.

The state service refuses the old leader, a new leader confirms a cancellation to a user, and then
the service has an outage. The old leader may still renew the worker, and must stop in time.
"""

import asyncio
from typing import Any

import pytest

import gap_model
from chalkgrade import constants
from chalkgrade.experiments import gap
from chalkgrade.leading.term import Term
from chalkgrade.outside import NoAnswer
from chalkgrade.record.jobs import Job
from chalkgrade.record.registry import JobRegistry
from chalkgrade.region.loop import ManualClock
from chalkgrade.region.rules import Broken
from chalkgrade.region.world import World, tell
from chalkgrade.serving.cancellation_poll import Told
from chalkgrade.state.leadership import Leadership
from chalkgrade.state.lease_expiry import LeaseExpiry
from gap_model import Rules, State, explore
from test_membership import _acting_leader, _wait_until


class CountsFromAnswer(Rules):
    """Bug: a lease counts from when its renewal was answered."""

    def after_renewal(self, known: float, age: int) -> float:
        return super().after_renewal(known, 0)


class RestartsGraceOnRefusal(Rules):
    """Bug: each refused renewal starts the grace time for workers again."""

    def after_refusal(self, known: float) -> float:
        return max(known, 0.0)


class ConfirmsBeforeDurable(Rules):
    """Bug: the old leader confirms a cancellation whose commit it has only sent."""

    def tells_user(self, state: State) -> bool:
        return state.commit_sent


class KnownOnlyWhenAnswered(Rules):
    """Bug: an own cancellation counts as known only once its commit is answered."""

    def known_when_requested(self) -> bool:
        return False


class IgnoresHigherToken(Rules):
    """Bug: an old leader answers a worker that has seen a higher token, under that token."""

    def on_higher_token(self, state: State) -> State:
        assert state.report is not None
        return state._replace(report=(1, state.report[1], "keep"))

    def worker_accepts(self, state: State, whose: int) -> bool:
        return True


class RenewsRecentlyAnswered(Rules):
    """Bug: a recently answered worker is renewed, so that two leaders keep it in turn."""

    def renews_worker(self, known: float | None, answered: int) -> bool:
        return known is not None and (answered < 2 or super().renews_worker(known, answered))


class GraceWithoutMargin(Rules):
    """Bug: the grace time has no margin below `cancel_s` less the lease."""

    grace = gap_model.WORKER_GRACE + 1


class ListsCountFromAnswer(Rules):
    """Bug: lists of others count from when they arrived, not from when they were requested."""

    def after_peer_lists(self, known: float, age: int) -> float:
        return super().after_peer_lists(known, 0)


class IncompleteLists(Rules):
    """Bug: a controller that told a user is not asked, or has restarted and does not know."""

    def is_listed(self, state: State) -> bool:
        return False


BUGS = [
    ListsCountFromAnswer,
    IncompleteLists,
    CountsFromAnswer,
    RestartsGraceOnRefusal,
    ConfirmsBeforeDurable,
    KnownOnlyWhenAnswered,
    IgnoresHigherToken,
    RenewsRecentlyAnswered,
    GraceWithoutMargin,
]


def test_no_run_of_the_model_keeps_a_cancelled_task_too_long() -> None:
    seen, broken = explore(Rules())
    assert broken is None
    assert seen > 100_000  # all reachable states: the exploration ends by itself


@pytest.mark.parametrize("bug", BUGS)
def test_the_model_finds_each_bug(bug: type[Rules]) -> None:
    _, broken = explore(bug())
    assert broken is not None


# -- in the simulated region ------------------------------------------

# These seeds contain: both sides cut from each other, machines that reach only the old
# leader, a second refusal, late transactions, tasks that save, three and five controllers.
SEEDS = [7, 9, 25]


@pytest.mark.parametrize("seed", SEEDS)
def test_random_gaps_break_no_rule(seed: int) -> None:
    found = gap.play(seed)
    assert not found["broken"], found["why"]
    assert found["came_about"] and not found["lost"]


def _long_job(number: int, tasks: int = 4) -> dict[str, Any]:
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


async def _wait_for_tasks(world: World, name: str, tasks: int) -> None:
    await _wait_until(world, 120.0, lambda: len(world.present_of_job(name)) == tasks)


async def _abort_until_told(world: World, member: str, name: str) -> None:
    """A user requests the abort of a job from one controller until it is confirmed."""
    world.jobs[name]["asked"] = True
    while world.jobs[name]["over"] is None:
        try:
            answer = await world.request(
                "users", member, "POST", f"/v2/runs/{name}/abort", b"", 5.0
            )
        except NoAnswer:
            answer = 0, {}
        if answer[0] == 200:
            world.record_status(name, answer[1])
        await asyncio.sleep(1.0)


def _isolate_with_workers(world: World, leader: str, seconds: float) -> set[str]:
    """Cut machines off from all controllers but the leader, and it from the other ones."""
    others = set(world.members) - {leader}
    world.cut(set(world.workers), others, seconds, False)
    world.cut({leader}, others, seconds, False)
    return others


async def _run_gap(world: World, save: float = 0.0) -> float:
    """The worst case; returns how long after the confirmation the last task still ran, s."""
    spec = _long_job(1) | ({"savepointS": 5.0, "flushS": save} if save else {})
    world.spawn(world.user(spec, None))
    await _wait_for_tasks(world, spec["nameId"], 4)
    leader = _acting_leader(world)
    assert leader is not None
    old = leader.settings.member
    others = _isolate_with_workers(world, old, 300.0)
    world.store.unavailable_until[old] = world.now + 300.0
    await _wait_until(world, 20.0, lambda: any(_is_acting(world, member) for member in others))
    new = next(member for member in others if _is_acting(world, member))
    await _abort_until_told(world, new, spec["nameId"])
    assert world.present_of_job(spec["nameId"]), (
        "tasks ended early: the old leader should still renew them"
    )
    world.store.outage(world.CANCEL_S + 30.0)
    await _wait_until(world, 60.0, lambda: not world.present_of_job(spec["nameId"]))
    return world.max_stop_delay_s


def _is_acting(world: World, member: str) -> bool:
    node = world.nodes[member]
    return node is not None and node.leadership.may_act()


class FiveControllers(World):
    MEMBERS = ("n-0", "n-1", "n-2", "n-3", "n-4")


@pytest.mark.parametrize("kind", [World, FiveControllers])
@pytest.mark.parametrize("save", [0.0, 4.0])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_old_leader_stops_renewing_workers_in_time(
    kind: type[World], save: float, seed: int
) -> None:
    took: list[float] = []

    async def story(world: World) -> None:
        took.append(await _run_gap(world, save))

    tell(story, seed, loss=0.0, kind=kind)
    # Renewed until the margin before `cancel_s`, and not stopped much sooner either.
    assert World.LEASE_S < took[0] < World.CANCEL_S - constants.CANCELLATION_GRACE_MARGIN_S + 0.5


async def _cut_report_paths(world: World, path: str, old: str, new: str) -> None:
    """Restrict which controllers machines reach once two controllers consider themselves leader."""
    workers, others = sorted(world.workers), set(world.members) - {old}
    if path == "relay":  # neither leader: a third controller forwards their reports
        world.cut(set(workers), {old, new}, 300.0, False)
    elif path == "split":  # each leader has workers of its own
        world.cut(set(workers[::2]), others, 300.0, False)
        world.cut(set(workers[1::2]), {old}, 300.0, False)
    else:  # alternating between the leaders
        while True:
            for away in (others, {old}):
                world.cut(set(workers), away, 5.0, False)
                await asyncio.sleep(5.0)


@pytest.mark.parametrize("path", ["relay", "split", "to and fro"])
@pytest.mark.parametrize("kind", [World, FiveControllers])
def test_cancelled_tasks_end_on_every_path_of_reports(kind: type[World], path: str) -> None:
    async def story(world: World) -> None:
        names = [_long_job(number)["nameId"] for number in range(1, 5)]
        for number in range(1, 5):
            world.spawn(world.user(_long_job(number, 3), None))
        await _wait_until(world, 120.0, lambda: len(world.present()) == 12)
        leader = _acting_leader(world)
        assert leader is not None
        old = leader.settings.member
        others = set(world.members) - {old}
        world.cut({old}, others, 300.0, False)
        world.store.unavailable_until[old] = world.now + 300.0
        await _wait_until(world, 20.0, lambda: any(_is_acting(world, member) for member in others))
        new = next(member for member in others if _is_acting(world, member))
        world.spawn(_cut_report_paths(world, path, old, new))
        for name in names[:3]:
            await _abort_until_told(world, new, name)
        world.store.outage(world.CANCEL_S + 30.0)
        await asyncio.sleep(world.CANCEL_S + 5.0)
        assert not any(world.present_of_job(name) for name in names[:3])
        if world.failure is not None:
            raise world.failure

    for seed in (1, 2):
        tell(story, seed, loss=0.0, kind=kind)


def _extend_on_each_renewal(patch: pytest.MonkeyPatch) -> None:
    plain = Leadership._renew

    async def renew(self: Leadership) -> None:
        await plain(self)
        if self.token:
            self.lease_expiry.record_peer_lists(self._clock.now())

    patch.setattr(Leadership, "_renew", renew)


def _double_grace(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        LeaseExpiry,
        "worker_grace_left_s",
        lambda self: self.cancellations_known_until + 2 * self.worker_grace_s - self._clock.now(),
    )


def _never_step_down(patch: pytest.MonkeyPatch) -> None:
    """Bug: whoever holds a token renews workers until somebody objects."""
    patch.setattr(Leadership, "may_renew_workers", lambda self: self.token > 0)
    patch.setattr(Leadership, "step_down", lambda self: None)


@pytest.mark.parametrize("bug", [_extend_on_each_renewal, _double_grace, _never_step_down])
def test_bugs_break_the_rule_in_the_simulated_region(
    bug: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    bug(monkeypatch)

    async def story(world: World) -> None:
        await _run_gap(world)
        if world.failure is not None:
            raise world.failure

    with pytest.raises((Broken, AssertionError), match="ran_cancelled|never"):
        tell(story, 1, loss=0.0)


def _kill_only_when_durable(patch: pytest.MonkeyPatch) -> None:
    plain = JobRegistry.abort

    def abort(self: JobRegistry, job: Job) -> None:
        plain(self, job)
        for attempt in job.live.values():
            attempt.kill_requested_at = None

    patch.setattr(JobRegistry, "abort", abort)


@pytest.mark.parametrize("bug", [False, True])
def test_a_possibly_durable_cancellation_counts_as_confirmed(
    bug: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The leader's commit of a cancellation is executed, but every answer to it is lost."""
    if bug:
        _kill_only_when_durable(monkeypatch)
    took: list[float] = []

    async def story(world: World) -> None:
        spec = _long_job(1)
        name = spec["nameId"]
        world.spawn(world.user(spec, None))
        await _wait_for_tasks(world, name, 4)
        leader = _acting_leader(world)
        assert leader is not None
        old = leader.settings.member
        _isolate_with_workers(world, old, 300.0)
        world.cut({"state"}, {old}, 300.0, False, one_way=True)
        world.spawn(_abort_until_told(world, old, name))  # never confirmed by this controller
        await _wait_until(
            world, 20.0, lambda: world.jobs[name]["over"]
        )  # but by one that reads the record
        world.store.outage(world.CANCEL_S + 30.0)
        await _wait_until(world, 60.0, lambda: not world.present_of_job(name))
        took.append(world.max_stop_delay_s)

    tell(story, 2, loss=0.0)
    assert (took[0] > World.LEASE_S) == bug, took


def test_metrics_and_logs_show_the_grace_time(caplog: pytest.LogCaptureFixture) -> None:
    seen: list[float] = []

    async def story(world: World) -> None:
        leader = _acting_leader(world)
        assert leader is not None
        _isolate_with_workers(world, leader.settings.member, 300.0)
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
    logged = [r for r in caplog.records if "lease no longer proved valid" in r.getMessage()]
    assert logged and logged[0].token > 0 and logged[0].left_s > 10.0  # type: ignore[attr-defined]
    assert any("worker leases no longer renewed" in r.getMessage() for r in caplog.records)


# -- which cancellations users were told of ------------------------------------------


@pytest.mark.parametrize("case", ["all there", "one is down", "one is just back", "one is cut"])
def test_in_an_outage_work_continues_while_all_controllers_answer(case: str) -> None:
    ends: list[int] = []

    async def story(world: World) -> None:
        spec = _long_job(1)
        world.spawn(world.user(spec, None))
        await _wait_for_tasks(world, spec["nameId"], 4)
        leader = _acting_leader(world)
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
        assert len(world.present_of_job(spec["nameId"])) == (4 if case == "all there" else 0)

    tell(story, 4, loss=0.0)
    assert bool(ends[0]) == (case != "all there")


def _empty_lists(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Told, "announced_within", lambda self, ago_s: [])


def _lists_ignored(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Term, "apply_reported_cancellations", lambda self, told: None)


@pytest.mark.parametrize("bug", [None, _empty_lists, _lists_ignored])
def test_tasks_whose_cancellation_others_list_are_stopped(
    bug: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The old leader reaches the other controllers, but ignores their higher token."""
    if bug is not None:
        bug(monkeypatch)
    plain = Leadership.observe_token

    def observe_token(self: Leadership, token: int, member: str | None = None) -> None:
        if not self.token:
            plain(self, token, member)

    monkeypatch.setattr(Leadership, "observe_token", observe_token)

    async def story(world: World) -> None:
        name = _long_job(1)["nameId"]
        world.spawn(world.user(_long_job(1), None))
        await _wait_for_tasks(world, name, 4)
        leader = _acting_leader(world)
        assert leader is not None
        old = leader.settings.member
        others = set(world.members) - {old}
        world.cut(set(world.workers), others, 300.0, False)
        world.store.unavailable_until[old] = world.now + 300.0
        await _wait_until(world, 20.0, lambda: any(_is_acting(world, member) for member in others))
        await _abort_until_told(world, next(m for m in others if _is_acting(world, m)), name)
        world.store.outage(world.CANCEL_S + 40.0)
        await asyncio.sleep(world.CANCEL_S + 20.0)
        if world.failure is not None:
            raise world.failure
        assert not world.present_of_job(name)

    if bug is None:
        tell(story, 1, loss=0.0)
        return
    with pytest.raises(Broken, match="ran_cancelled"):
        tell(story, 1, loss=0.0)


def test_a_process_lists_only_a_period_that_it_knows_completely() -> None:
    clock = ManualClock()
    told = Told(clock)
    clock.at += 10.0
    told.note_answer(200, {"nameId": "run-1", "status": "withdrawn"})
    told.note_answer(200, {"nameId": "run-2", "status": "running"})
    told.note_answer(503, {"nameId": "run-3", "status": "withdrawn"})
    clock.at += 2.0
    told.note_answer(200, {"nameId": "run-1", "status": "withdrawn"})
    assert told.announced_within(4.0) == ["run-1"]
    # The question may have been delayed, so entries from just before are listed as well.
    assert told.announced_within(0.0) == ["run-1"]
    assert (
        told.announced_within(9.5) is None
    )  # the process may have started later: it knows nothing earlier
    clock.at += 10.0
    assert told.announced_within(0.0) == []


@pytest.mark.parametrize("arg", [None, "soon", -1, float("nan"), True, [3.0]])
def test_a_malformed_question_is_rejected(arg: Any) -> None:
    async def story(world: World) -> None:
        node = world.nodes[world.members[0]]
        assert node is not None
        answer = await node.on_peer({"q": "told", "arg": arg})
        assert answer["status"] == 400

    tell(story, 1, loss=0.0)


def test_after_an_outage_only_the_record_counts() -> None:
    """A cancellation that a peer lists but the record lacks must not block a job for ever."""

    async def story(world: World) -> None:
        name = _long_job(1)["nameId"]
        world.spawn(world.user(_long_job(1) | {"expectedS": 20.0}, None))
        await _wait_for_tasks(world, name, 4)
        leader = _acting_leader(world)
        assert leader is not None and leader.term is not None
        world.store.outage(8.0)
        await asyncio.sleep(4.0)
        leader.term.apply_reported_cancellations({name})
        await _wait_until(world, 10.0, lambda: not world.present_of_job(name))
        await _wait_until(world, 60.0, lambda: len(world.present_of_job(name)) == 4)
        assert leader.leadership.may_act()

    tell(story, 4, loss=0.0)
