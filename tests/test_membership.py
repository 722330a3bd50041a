"""Membership views, handover of the leader key, and simultaneous failures of controllers.

A view must not suspect a controller that answers, and must not call one failed whose lease lives.
At no instant may two controllers act as leader, whatever fails during a handover.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from chalkgrade import constants
from chalkgrade.experiments import failover
from chalkgrade.membership.leader_health import CLOUD, WORKERS, LeaderHealth
from chalkgrade.membership.messages import MemberStatus
from chalkgrade.membership.views import ALIVE, FAILED, SUSPECT, Views
from chalkgrade.region.fleet import play_day
from chalkgrade.region.loop import ManualClock
from chalkgrade.region.world import World, tell
from chalkgrade.serving.node import Node
from chalkgrade.state import leadership
from chalkgrade.state.leadership import LEADER_KEY, Leadership
from chalkgrade.state.lease_expiry import LeaseExpiry

QUICK = settings(
    max_examples=60,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,  # the same examples in each run
    suppress_health_check=list(HealthCheck),
)
NAMES = ["n-0", "n-1", "n-2"]
MEMBER = st.sampled_from(NAMES)


class ViewMachine(RuleBasedStateMachine):
    """Three controllers with lost, delayed and repeated messages, which crash, stop and restart."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.stamp = 0
        self.up = dict.fromkeys(NAMES, True)
        self.suspended = dict.fromkeys(NAMES, False)
        self.leased = dict.fromkeys(NAMES, True)
        self.views: dict[str, Views] = {}
        # Time of the last current status, by (receiver, sender).
        self.last_status_at: dict[tuple[str, str], float] = {}
        # Time of the last unanswered request since the last evidence of life.
        self.unanswered_since: dict[tuple[str, str], float] = {}
        self.last_process: dict[tuple[str, str], str] = {}  # process that answered last
        self.last_statuses: dict[str, MemberStatus] = {}
        # Receiver, status and time of sending of each delayed message.
        self.delayed: list[tuple[str, MemberStatus, float]] = []
        for name in NAMES:
            self._start(name)

    def _start(self, name: str) -> None:
        self.stamp += 1
        others = [other for other in NAMES if other != name]
        made = self.views[name] = Views(name, others, self.clock)
        made.own_process, made.stamp = f"p{self.stamp}", self.stamp

    def status_of(self, name: str) -> MemberStatus:
        own = self.views[name]
        status = MemberStatus(
            name, own.own_process, own.incarnation, own.next_seq(), self.clock.wall()
        )
        status.suspects = own.suspected_members()
        return status

    def is_running(self, name: str) -> bool:
        return self.up[name] and not self.suspended[name]

    @rule(seconds=st.floats(0.05, 0.5))
    def time_passes(self, seconds: float) -> None:
        self.clock.at += seconds
        for name in NAMES:
            if self.is_running(name):
                self.views[name].record_loop_delay(0.0)
                self.views[name].update_states()

    @rule(one=MEMBER, other=MEMBER, fate=st.sampled_from(["fine", "fine", "lost", "held"]))
    def ask(self, one: str, other: str, fate: str) -> None:
        if one == other or not self.is_running(one):
            return
        if fate == "fine" and self.is_running(other):
            self.views[other].accept_status(self.status_of(one), answer=False)
            self.views[one].accept_status(self.status_of(other), answer=True)
            for to, name in ((one, other), (other, one)):
                self.last_status_at[to, name] = self.clock.at
                self.unanswered_since.pop((to, name), None)
                self.last_process[to, name] = self.views[name].own_process
        else:
            if fate == "held":
                self.delayed.append((other, self.status_of(one), self.clock.at))
            self.views[one].record_no_answer(other)
            self.unanswered_since[one, other] = self.clock.at

    @precondition(lambda self: self.delayed)
    @rule(again=st.booleans())
    def a_delayed_status_arrives(self, again: bool) -> None:
        to, status, at = self.delayed[0] if again else self.delayed.pop(0)
        if self.is_running(to):
            taken = self.views[to].accept_status(status, answer=False)
            if taken and self.clock.at - at <= constants.MAX_STATUS_AGE_S:
                self.last_status_at[to, status.member] = self.clock.at

    @rule(one=MEMBER, other=MEMBER, steps=st.integers(1, 6), wakes=st.booleans())
    def a_link_is_cut(self, one: str, other: str, steps: int, wakes: bool) -> None:
        """Requests stay unanswered, and the third controller probes as `members_to_probe` asks."""
        if one == other:
            return
        third = next(name for name in NAMES if name not in (one, other))
        if wakes:
            self.ask(one, other, "fine")
        for _ in range(steps):
            if not self.is_running(one):
                return
            self.ask(one, other, "lost")
            self.time_passes(0.35)
            if other in self.views[one].members_to_probe() and self.is_running(third):
                reached = self.is_running(other) and not wakes
                self.views[one].record_indirect_probe(other, None, reached)
                if reached:
                    self.last_status_at[one, other] = self.clock.at
        if wakes:
            self.suspend(one, 3.0)

    @rule(to=MEMBER, name=MEMBER)
    def a_status_of_an_earlier_process_arrives(self, to: str, name: str) -> None:
        if to == name or not self.is_running(to) or self.suspended[name]:
            return
        if self.up[name]:
            self.crash_or_return(name)
        self.crash_or_return(name)
        self.ask(to, name, "fine")
        self.views[to].accept_status(self.last_statuses[name], answer=False)

    @rule(name=MEMBER)
    def crash_or_return(self, name: str) -> None:
        self.up[name] = not self.up[name]
        if not self.up[name]:
            self.last_statuses[name] = self.status_of(name)
        if self.up[name]:
            self._start(name)
            self.leased[name] = True
            for other in NAMES:
                for of in (self.last_status_at, self.unanswered_since, self.last_process):
                    of.pop((name, other), None)  # type: ignore[attr-defined]

    @rule(name=MEMBER, seconds=st.floats(0.5, 9.0))
    def suspend(self, name: str, seconds: float) -> None:
        """Its clock continues, so that its evidence is outdated when it resumes."""
        if not self.is_running(name):
            return
        self.suspended[name] = True
        before = {other: self.views[name].state_of(other) for other in self.views[name].by_member}
        steps = int(seconds / 0.4) + 1
        for _ in range(steps):
            self.time_passes(seconds / steps)
        self.suspended[name] = False
        self.views[name].record_loop_delay(seconds)
        self.views[name].update_states()
        if seconds > constants.LOOP_DELAY_THRESHOLD_S:  # it has no recent evidence yet
            for other, state in before.items():
                assert state == SUSPECT or self.views[name].state_of(other) != SUSPECT, other

    @rule(name=MEMBER)
    def lease_ends(self, name: str) -> None:
        if not self.up[name]:
            self.leased[name] = False
            for other in NAMES:
                if other != name and self.is_running(other):
                    self.views[other].record_lease(name, "ended")

    @invariant()
    def a_controller_that_sends_is_not_suspected(self) -> None:
        for (to, name), at in self.last_status_at.items():
            if self.is_running(to) and self.clock.at - at <= constants.SUSPICION_TIMEOUT_S:
                assert self.views[to].state_of(name) == ALIVE, (to, name)

    @invariant()
    def no_controller_with_a_live_lease_has_failed(self) -> None:
        for to in NAMES:
            for name in NAMES:
                if name != to and self.leased[name]:
                    view = self.views[to].by_member[name]
                    assert view.state != FAILED or view.lease == "ended", (to, name)
                    if self.up[name] and view.lease != "ended":
                        assert view.state != FAILED

    @invariant()
    def suspicion_has_evidence(self) -> None:
        """There is an unanswered request since the last status of the suspected controller."""
        for to in NAMES:
            for name, view in self.views[to].by_member.items():
                if self.is_running(to) and view.state == SUSPECT:
                    assert (to, name) in self.unanswered_since, (to, name)

    @invariant()
    def an_older_process_changes_nothing(self) -> None:
        for (to, name), process in self.last_process.items():
            if self.is_running(to):
                assert self.views[to].by_member[name].process == process


ViewMachine.TestCase.settings = QUICK
TestViews = ViewMachine.TestCase


def _run_machine() -> None:
    """Run the state machine as the test does, but without shrinking what it finds."""
    run_state_machine_as_test(
        ViewMachine, settings=settings(QUICK, max_examples=600, phases=[Phase.generate])
    )


# -- leader election ----------------------------------------------------------------------


class MultipleLeaders(AssertionError):
    """More than one controller acts, or one acts without holding the leader key."""


async def _check_single_leader(world: World, gaps: list[float] | None = None) -> None:
    """Check that whoever acts holds the key, so no two act; collects the times without leader."""
    acted = world.now
    while True:
        if _acting_leader(world) is not None:
            if gaps is not None:
                gaps.append(world.now - acted)
            acted = world.now
        for member, node in world.nodes.items():
            if node is None or world.loop.frozen.get(member, 0.0) > world.now:
                continue
            if node.leadership.may_act():
                row = world.store.keys.get(LEADER_KEY)
                if row is None or row[1] != node.leadership.token:
                    raise MultipleLeaders(
                        f"{member} acts with {node.leadership.token}, the key has {row}"
                    )
        await asyncio.sleep(0.01)


def _acting_leader(world: World) -> Node | None:
    acting = (n for n in world.nodes.values() if n is not None and n.leadership.may_act())
    return next(acting, None)


async def _wait_until(world: World, seconds: float, condition: Callable[[], object]) -> float:
    """Wait until a condition holds; returns how long that took, s."""
    began = world.now
    while not condition():
        assert world.now < began + seconds, "never"
        await asyncio.sleep(0.01)
    return world.now - began


async def _run_handovers(world: World, gaps: list[float], troubled: bool) -> None:
    """Hand over repeatedly; `troubled`: with lost messages, cut links, suspensions, crashes."""
    world.spawn(_check_single_leader(world, gaps))
    rng = random.Random(world.rng.random())
    for _ in range(8):
        await _wait_until(world, 30.0, lambda: _acting_leader(world))
        node = _acting_leader(world)
        assert node is not None
        member = node.settings.member
        if troubled:
            world.loss = 0.05
            kind = rng.choice(["none", "slow", "cut", "held", "freeze", "crash"])
            at = rng.uniform(0.0, 0.02)
            if kind == "slow":
                world.store.slow = (rng.choice([0.05, 0.2]), world.now + 3.0)
            elif kind in ("cut", "held"):
                world.loop.call_later(at, world.cut, {member}, {"state"}, 4.0, kind == "held")
            elif kind == "freeze":
                world.loop.call_later(at, lambda m=member: world.loop.freeze(m, world.now + 4.0))
            elif kind == "crash":
                world.loop.call_later(at, lambda m=member: world.spawn(world.restart(m, 2.0)))
        node.handover.direct_report_at = world.now  # the successors' own reports are what counts
        for other in world.nodes.values():
            if other is not None:
                other.handover.direct_report_at = world.now
        if troubled and rng.random() < 0.4:
            await asyncio.sleep(5.0)  # the fault alone, without a handover
        else:
            task = world.spawn(_give_lead(world, node))
            await asyncio.wait({task}, timeout=8.0)
        await _wait_until(world, 30.0, lambda: _acting_leader(world))
        if world.failure is not None:
            raise world.failure
        await asyncio.sleep(rng.uniform(0.2, 2.0))


async def _give_lead(world: World, node: Node) -> bool:
    try:
        return bool(await world.run_as(node.settings.member, node.handover.transfer_lead(WORKERS)))
    except asyncio.CancelledError:
        return False


def test_a_handover_has_at_most_one_leader_and_almost_no_gap() -> None:
    gaps: list[float] = []
    given = 0

    async def story(world: World) -> None:
        nonlocal given
        await _run_handovers(world, gaps, False)
        nodes = (node for node in world.nodes.values() if node is not None)
        given += sum(node.handover.counts.get("given", 0) for node in nodes)

    for seed in range(4):
        tell(story, seed, loss=0.0)
    assert given == 32
    assert max(gaps) < 0.6


@pytest.mark.parametrize("seed", range(8))
def test_no_two_controllers_act_whatever_fails_during_a_handover(seed: int) -> None:
    tell(lambda world: _run_handovers(world, [], True), seed)


def test_a_leader_without_cloud_or_workers_is_replaced_within_ten_seconds() -> None:
    for what in (CLOUD, WORKERS):

        async def story(world: World, what: str = what) -> None:
            world.spawn(_check_single_leader(world))
            spec = world.spec(1, shape="batch", jobclass="small", tasks=30, owner="blue")
            spec |= {
                "vcpus": 1.0,
                "memoryGb": 2.0,
                "expectedS": 60.0,
                "dueS": None,
                "hosttypes": None,
                "site": None,
                "standby": True,
                "oneZone": False,
            }
            world.spawn(world.user(spec, None))
            await _wait_until(world, 60.0, lambda: len(world.workers) >= 3)
            await asyncio.sleep(8.0)
            node = _acting_leader(world)
            assert node is not None
            member = node.settings.member
            side = {"cloud"} if what == CLOUD else set(world.workers)
            world.cut({member}, side, 60.0, False)
            took = await _wait_until(world, 20.0, lambda: _acting_leader(world) not in (None, node))
            assert took <= 10.0 + constants.CLOUD_REQUEST_TIMEOUT_S * (what == CLOUD)
            await asyncio.sleep(
                0.5
            )  # it gets the answer to its commit a moment after the successor
            assert node.handover.counts == {"given": 1}

        tell(story, 3, loss=0.0)


def test_leadership_does_not_alternate_between_controllers() -> None:
    """Each controller hands over at most once a minute, and less and less often."""
    clock = ManualClock()
    health = LeaderHealth(clock, 3.0)
    health.start_leading()
    given = []
    for _ in range(3600):
        clock.at += 1.0
        if health.handover_reason(-1e9, False, clock.at, 5):
            given.append(clock.at)
            health.record_handover(True)
            health.start_leading()
    assert len(given) <= 8
    assert all(
        b - a >= constants.MIN_HANDOVER_PAUSE_S for a, b in zip(given, given[1:], strict=False)
    )


def test_of_two_processes_with_one_name_the_older_stops_serving() -> None:
    async def story(world: World) -> None:
        world.spawn(_check_single_leader(world))
        node = _acting_leader(world)
        assert node is not None
        member = node.settings.member
        old, context, epoch = node, world.contexts[member], world.epochs[member]
        world.boot(member, "elsewhere")  # in addition to the old one, which continues
        await _wait_until(world, 20.0, lambda: old.presence.is_superseded)
        assert not old.leadership.may_act() and not old.accepts_users()
        assert (await context.run(asyncio.create_task, old.handle("GET", "/up", b"")))[0] == 503
        await _wait_until(world, 20.0, lambda: _acting_leader(world))
        new = world.nodes[member]
        assert new is not None and not new.presence.is_superseded and epoch == world.epochs[member]
        stamp = new.views.stamp
        others = [n for n in world.nodes.values() if n is not None and n is not new]
        await asyncio.sleep(6.0)
        for other in others:  # statuses of the older one have no effect
            assert other.views.by_member[member].process == new.views.own_process
            assert other.views.by_member[member].incarnation[0] == stamp
        old.stop()

    tell(story, 4, loss=0.0)


# -- malformed and false messages --------------------------------------------------------------


def test_malformed_huge_stale_and_lying_messages_are_dropped_and_counted() -> None:
    async def story(world: World) -> None:
        leader = _acting_leader(world)
        assert leader is not None
        token, other = (
            leader.leadership.token,
            next(m for m in NAMES if m in leader.views.by_member),
        )
        good: dict[str, Any] = msgspec.to_builtins(world.nodes[other].own_status())  # type: ignore
        rng = random.Random(1)
        bad: list[Any] = [None, 7, "x", [], {}, {"member": 3}, {"member": ""}]
        bad += [{"member": "x" * 10_000}, good | {"member": "nobody"}, good | {"seq": -1}]
        bad += [good | {"token": 1 << 80}, good | {"suspects": {str(n): [0, 0] for n in range(99)}}]
        bad += [good | {"incarnation": [-1, 0]}, good | {"at": 0.0, "seq": 1}, good | {"at": "now"}]
        bad += [good | {"token": token + 10_000_000, "seq": good["seq"] + 5}]
        bad += [good | {key: rng.choice([None, [], {}, -5, 1e300])} for key in good]
        for arg in bad:
            for what in ("ping", "reach", "succeed", None, 3):
                reply = await leader.on_peer({"q": what, "arg": arg})
                assert reply["status"] in (200, 400, 503)
        assert leader.leadership.token == token and leader.leadership.may_act()
        dropped = {k: n for k, n in leader.views.event_counts.items() if k.startswith("dropped")}
        assert {"dropped malformed", "dropped stranger"} <= set(dropped)
        assert "dropped token from the future" in dropped
        await asyncio.sleep(3.0)
        assert leader.leadership.token == token

    tell(story, 5, loss=0.0)


def test_a_loop_that_raises_an_exception_is_restarted() -> None:
    """Otherwise a controller would suspect all others for ever, without being suspected itself."""

    async def story(world: World) -> None:
        node = _acting_leader(world)
        assert node is not None
        plain, times = node.views.update_states, 0

        def update_states() -> None:
            nonlocal times
            times += 1
            if times < 3:
                raise RuntimeError("a bug")
            plain()

        node.views.update_states = update_states  # type: ignore[method-assign]
        await asyncio.sleep(8.0)
        assert times > 8
        assert all(view.state == ALIVE for view in node.views.by_member.values())

    tell(story, 6, loss=0.0)


# -- whole clusters ------------------------------------------------------------------------------


@pytest.mark.parametrize("seed", [1, 2, 5])
def test_controllers_and_a_tenth_of_the_machines_fail_together(seed: int) -> None:
    day = failover.day(seed, machines=90, seconds=65.0)
    world, broken = play_day(day, seed)
    out = failover.Times()
    failover.count(world, broken, out)
    summary = failover.figures(out)
    assert not broken and summary["lost"] == 0 and summary["served_least"] >= 0.5
    assert summary["lease_kills"] == 0 and summary["false_verdicts"] == 0
    assert summary["takeovers"] >= 3 and summary["lead_s_p50"] < 2.3
    assert world.store.refused_calls == 0


# -- deliberate bugs, each of which a test must find ----------------------------------


def _any_silence_is_evidence(patch: pytest.MonkeyPatch) -> None:
    """Bug: silence counts as evidence even without a request."""
    patch.setattr(Views, "_is_silence_evidence", lambda self, view, now: True)


def _loop_delays_ignored(patch: pytest.MonkeyPatch) -> None:
    def record_loop_delay(self: Views, late_s: float) -> None:
        pass

    patch.setattr(Views, "record_loop_delay", record_loop_delay)


def _silence_means_failed(patch: pytest.MonkeyPatch) -> None:
    plain = Views._evaluate_state

    def evaluate_state(self: Views, view: Any, now: float) -> str:
        found = plain(self, view, now)
        return FAILED if found == SUSPECT else found

    patch.setattr(Views, "_evaluate_state", evaluate_state)


def _any_process_accepted(patch: pytest.MonkeyPatch) -> None:
    plain = Views.accept_status

    def accept_status(self: Views, status: MemberStatus, answer: bool) -> bool:
        if status.member in self.by_member:
            self.by_member[status.member].answered_at = self.clock.now()
            self.by_member[status.member].process = ""
        return plain(self, status, answer)

    patch.setattr(Views, "accept_status", accept_status)
    patch.setattr(constants, "MAX_STATUS_AGE_S", 1e9)


VIEW_BUGS = [_any_silence_is_evidence, _loop_delays_ignored, _silence_means_failed]
VIEW_BUGS += [_any_process_accepted]


@pytest.mark.parametrize("bug", VIEW_BUGS)
def test_bugs_in_views_are_detected(bug: Callable[[Any], None]) -> None:
    with pytest.MonkeyPatch.context() as patch:
        bug(patch)
        with pytest.raises((AssertionError, ExceptionGroup)):
            _run_machine()


def _acts_until_commit_answered(patch: pytest.MonkeyPatch) -> None:
    """Bug: the old leader acts until its commit is answered."""
    plain = Leadership.hand_over

    async def hand_over(self: Leadership, *to: Any) -> bool:
        depose = self.step_down
        self.step_down = lambda: None  # type: ignore[method-assign]
        try:
            return await plain(self, *to)
        finally:
            self.step_down = depose  # type: ignore[method-assign]
            self._clock.now()

    patch.setattr(Leadership, "hand_over", hand_over)


def _lease_counts_from_answer(patch: pytest.MonkeyPatch) -> None:
    """Bug: a lease counts from when its grant was answered, and without a margin."""

    def record_renewal(self: LeaseExpiry, sent_at: float, ttl_s: float) -> None:
        self.lease_valid_until = self.cancellations_known_until = self._clock.now() + 2 * ttl_s

    patch.setattr(LeaseExpiry, "record_renewal", record_renewal)


def _resumes_after_lost_answer(patch: pytest.MonkeyPatch) -> None:
    """Bug: after a lost answer the commit counts as not executed."""
    plain = Leadership.hand_over

    async def hand_over(self: Leadership, *to: Any) -> bool:
        token, until = self.token, self.lease_expiry.lease_valid_until
        moved = await plain(self, *to)
        if not moved:
            self.token, self.lease_expiry.lease_valid_until = token, until + 3.0
        return moved

    patch.setattr(Leadership, "hand_over", hand_over)


KEY_BUGS = [_acts_until_commit_answered, _lease_counts_from_answer, _resumes_after_lost_answer]


@pytest.mark.parametrize("bug", KEY_BUGS)
def test_bugs_in_the_handover_of_the_key_are_detected(bug: Callable[[Any], None]) -> None:
    found = 0
    for seed in range(8):
        with pytest.MonkeyPatch.context() as patch:
            bug(patch)
            try:
                tell(lambda world: _run_handovers(world, [], True), seed)
            except MultipleLeaders:
                found += 1
                break
            except AssertionError:
                continue
    assert found


def test_without_the_token_bound_a_false_token_ends_a_leadership() -> None:
    """Without the bound on tokens a single false message makes a healthy leader step down."""

    async def story(world: World) -> None:
        leader = _acting_leader(world)
        assert leader is not None
        other = next(iter(leader.views.by_member))
        status = world.nodes[other].own_status()  # type: ignore[union-attr]
        status.token, status.seq = leader.leadership.token + 10_000_000, status.seq + 1
        await leader.on_peer({"q": "ping", "arg": msgspec.to_builtins(status)})
        assert not leader.leadership.may_act()

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(leadership.LedgerClient, "max_possible_revision", lambda self: 1 << 60)
        tell(story, 5, loss=0.0)
