"""Who is there and who leads: views, the key's handover, and fleets in which several fail."""

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
from chalkgrade.membership.fitness import CLOUD, WORKERS, Fitness
from chalkgrade.membership.views import ALIVE, FAILED, SUSPECT, Views
from chalkgrade.membership.words import Word
from chalkgrade.region.fleet import play_day
from chalkgrade.region.loop import HandClock
from chalkgrade.region.world import World, tell
from chalkgrade.serving.node import Node
from chalkgrade.state import leadership
from chalkgrade.state.leadership import LEADER_KEY, Leadership
from chalkgrade.state.shelter import Shelter

QUICK = settings(
    max_examples=60,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,  # the same verdict each time
    suppress_health_check=list(HealthCheck),
)
NAMES = ["n-0", "n-1", "n-2"]
MEMBER = st.sampled_from(NAMES)


class ViewMachine(RuleBasedStateMachine):
    """Three controllers whose words are lost, held, repeated; they crash, stand still, return."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = HandClock()
        self.stamp = 0
        self.up = dict.fromkeys(NAMES, True)
        self.still = dict.fromkeys(NAMES, False)
        self.leased = dict.fromkeys(NAMES, True)
        self.views: dict[str, Views] = {}
        self.spoke: dict[tuple[str, str], float] = {}  # (to, from) -> last word in time
        self.asked: dict[tuple[str, str], float] = {}  # last unanswered question since a sign
        self.latest: dict[tuple[str, str], str] = {}  # process that last answered
        self.last_words: dict[str, Word] = {}
        self.held: list[tuple[str, Word, float]] = []  # to, what, when it was said
        for name in NAMES:
            self._start(name)

    def _start(self, name: str) -> None:
        self.stamp += 1
        others = [other for other in NAMES if other != name]
        made = self.views[name] = Views(name, others, self.clock)
        made.process, made.stamp = f"p{self.stamp}", self.stamp

    def _word(self, name: str) -> Word:
        own = self.views[name]
        word = Word(name, own.process, own.incarnation, own.next_seq(), self.clock.wall())
        word.suspects = own.suspects()
        return word

    def _runs(self, name: str) -> bool:
        return self.up[name] and not self.still[name]

    @rule(seconds=st.floats(0.05, 0.5))
    def time_passes(self, seconds: float) -> None:
        self.clock.at += seconds
        for name in NAMES:
            if self._runs(name):
                self.views[name].ran(0.0)
                self.views[name].judge()

    @rule(one=MEMBER, other=MEMBER, fate=st.sampled_from(["fine", "fine", "lost", "held"]))
    def ask(self, one: str, other: str, fate: str) -> None:
        if one == other or not self._runs(one):
            return
        if fate == "fine" and self._runs(other):
            self.views[other].take(self._word(one), answer=False)
            self.views[one].take(self._word(other), answer=True)
            for to, name in ((one, other), (other, one)):
                self.spoke[to, name] = self.clock.at
                self.asked.pop((to, name), None)
                self.latest[to, name] = self.views[name].process
        else:
            if fate == "held":
                self.held.append((other, self._word(one), self.clock.at))
            self.views[one].silent(other)
            self.asked[one, other] = self.clock.at

    @precondition(lambda self: self.held)
    @rule(again=st.booleans())
    def a_held_word_comes(self, again: bool) -> None:
        to, word, at = self.held[0] if again else self.held.pop(0)
        if self._runs(to):
            taken = self.views[to].take(word, answer=False)
            if taken and self.clock.at - at <= constants.WORD_OLD_S:
                self.spoke[to, word.member] = self.clock.at

    @rule(one=MEMBER, other=MEMBER, steps=st.integers(1, 6), wakes=st.booleans())
    def a_link_is_cut(self, one: str, other: str, steps: int, wakes: bool) -> None:
        """Questions go unanswered, and the third is asked as `to_probe` says."""
        if one == other:
            return
        third = next(name for name in NAMES if name not in (one, other))
        if wakes:
            self.ask(one, other, "fine")
        for _ in range(steps):
            if not self._runs(one):
                return
            self.ask(one, other, "lost")
            self.time_passes(0.35)
            if other in self.views[one].to_probe() and self._runs(third):
                reached = self._runs(other) and not wakes
                self.views[one].vouched(other, None, reached)
                if reached:
                    self.spoke[one, other] = self.clock.at
        if wakes:
            self.stand_still(one, 3.0)

    @rule(to=MEMBER, name=MEMBER)
    def a_word_of_an_earlier_process_comes(self, to: str, name: str) -> None:
        if to == name or not self._runs(to) or self.still[name]:
            return
        if self.up[name]:
            self.crash_or_return(name)
        self.crash_or_return(name)
        self.ask(to, name, "fine")
        self.views[to].take(self.last_words[name], answer=False)

    @rule(name=MEMBER)
    def crash_or_return(self, name: str) -> None:
        self.up[name] = not self.up[name]
        if not self.up[name]:
            self.last_words[name] = self._word(name)
        if self.up[name]:
            self._start(name)
            self.leased[name] = True
            for other in NAMES:
                for of in (self.spoke, self.asked, self.latest):
                    of.pop((name, other), None)  # type: ignore[attr-defined]

    @rule(name=MEMBER, seconds=st.floats(0.5, 9.0))
    def stand_still(self, name: str, seconds: float) -> None:
        """Its clocks go on; what it heard before is old when it wakes."""
        if not self._runs(name):
            return
        self.still[name] = True
        before = {other: self.views[name].state(other) for other in self.views[name].of}
        steps = int(seconds / 0.4) + 1
        for _ in range(steps):
            self.time_passes(seconds / steps)
        self.still[name] = False
        self.views[name].ran(seconds)
        self.views[name].judge()
        if seconds > constants.LATE_S:  # it has no fresh evidence yet
            for other, state in before.items():
                assert state == SUSPECT or self.views[name].state(other) != SUSPECT, other

    @rule(name=MEMBER)
    def lease_ends(self, name: str) -> None:
        if not self.up[name]:
            self.leased[name] = False
            for other in NAMES:
                if other != name and self._runs(other):
                    self.views[other].lease(name, "ended")

    @invariant()
    def who_speaks_is_not_suspected(self) -> None:
        for (to, name), at in self.spoke.items():
            if self._runs(to) and self.clock.at - at <= constants.SUSPECT_S:
                assert self.views[to].state(name) == ALIVE, (to, name)

    @invariant()
    def nobody_has_failed_whose_lease_lives(self) -> None:
        for to in NAMES:
            for name in NAMES:
                if name != to and self.leased[name]:
                    view = self.views[to].of[name]
                    assert view.state != FAILED or view.lease == "ended", (to, name)
                    if self.up[name] and view.lease != "ended":
                        assert view.state != FAILED

    @invariant()
    def suspicion_has_evidence(self) -> None:
        """A question, asked since it last spoke, that was not answered."""
        for to in NAMES:
            for name, view in self.views[to].of.items():
                if self._runs(to) and view.state == SUSPECT:
                    assert (to, name) in self.asked, (to, name)

    @invariant()
    def an_older_process_changes_nothing(self) -> None:
        for (to, name), process in self.latest.items():
            if self._runs(to):
                assert self.views[to].of[name].process == process


ViewMachine.TestCase.settings = QUICK
TestViews = ViewMachine.TestCase


def _run_machine() -> None:
    """As the test runs it, but what it finds need not be made small."""
    run_state_machine_as_test(
        ViewMachine, settings=settings(QUICK, max_examples=600, phases=[Phase.generate])
    )


# -- who leads ----------------------------------------------------------------------


class Two(AssertionError):
    """More than one controller acts, or one whose key is not its own."""


async def _monitor(world: World, gaps: list[float] | None = None) -> None:
    """Whoever acts holds the key at that instant; so no two act. Collects how long nobody did."""
    acted = world.now
    while True:
        if _leader(world) is not None:
            if gaps is not None:
                gaps.append(world.now - acted)
            acted = world.now
        for member, node in world.nodes.items():
            if node is None or world.loop.frozen.get(member, 0.0) > world.now:
                continue
            if node.leadership.acting():
                row = world.store.keys.get(LEADER_KEY)
                if row is None or row[1] != node.leadership.token:
                    raise Two(f"{member} acts with {node.leadership.token}, the key has {row}")
        await asyncio.sleep(0.01)


def _leader(world: World) -> Node | None:
    acting = (n for n in world.nodes.values() if n is not None and n.leadership.acting())
    return next(acting, None)


async def _until(world: World, seconds: float, there: Callable[[], object]) -> float:
    """How long it took until something is so; s."""
    began = world.now
    while not there():
        assert world.now < began + seconds, "never"
        await asyncio.sleep(0.01)
    return world.now - began


async def _handovers(world: World, gaps: list[float], troubled: bool) -> None:
    """The lead is given away again and again, among losses, cuts and standstills."""
    world.spawn(_monitor(world, gaps))
    rng = random.Random(world.rng.random())
    for _ in range(8):
        await _until(world, 30.0, lambda: _leader(world))
        node = _leader(world)
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
        node.handover.direct_report_at = world.now  # the others' proof is what counts
        for other in world.nodes.values():
            if other is not None:
                other.handover.direct_report_at = world.now
        if troubled and rng.random() < 0.4:
            await asyncio.sleep(5.0)  # trouble alone
        else:
            task = world.spawn(_give(world, node))
            await asyncio.wait({task}, timeout=8.0)
        await _until(world, 30.0, lambda: _leader(world))
        if world.failure is not None:
            raise world.failure
        await asyncio.sleep(rng.uniform(0.2, 2.0))


async def _give(world: World, node: Node) -> bool:
    try:
        return bool(await world.within(node.settings.member, node.handover.transfer_lead(WORKERS)))
    except asyncio.CancelledError:
        return False


def test_the_lead_is_handed_over_without_two_and_almost_without_a_gap() -> None:
    gaps: list[float] = []
    given = 0

    async def story(world: World) -> None:
        nonlocal given
        await _handovers(world, gaps, False)
        nodes = (node for node in world.nodes.values() if node is not None)
        given += sum(node.handover.counts.get("given", 0) for node in nodes)

    for seed in range(4):
        tell(story, seed, loss=0.0)
    assert given == 32
    assert max(gaps) < 0.6


@pytest.mark.parametrize("seed", range(8))
def test_no_two_act_whatever_befalls_a_handover(seed: int) -> None:
    tell(lambda world: _handovers(world, [], True), seed)


def test_a_leader_without_cloud_or_workers_is_replaced_within_ten_seconds() -> None:
    for what in (CLOUD, WORKERS):

        async def story(world: World, what: str = what) -> None:
            world.spawn(_monitor(world))
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
            await _until(world, 60.0, lambda: len(world.workers) >= 3)
            await asyncio.sleep(8.0)
            node = _leader(world)
            assert node is not None
            member = node.settings.member
            side = {"cloud"} if what == CLOUD else set(world.workers)
            world.cut({member}, side, 60.0, False)
            took = await _until(world, 20.0, lambda: _leader(world) not in (None, node))
            assert took <= 10.0 + constants.CLOUD_TIMEOUT_S * (what == CLOUD)
            await asyncio.sleep(0.5)  # it hears of its commit a moment after the successor
            assert node.handover.counts == {"given": 1}

        tell(story, 3, loss=0.0)


def test_no_lead_goes_to_and_fro() -> None:
    """Each controller gives it away at most once a minute, then ever more rarely."""
    clock = HandClock()
    fitness = Fitness(clock, 3.0)
    fitness.leads()
    given = []
    for _ in range(3600):
        clock.at += 1.0
        if fitness.why(-1e9, False, clock.at, 5):
            given.append(clock.at)
            fitness.tried(True)
            fitness.leads()
    assert len(given) <= 8
    assert all(b - a >= constants.HANDOVER_REST_S for a, b in zip(given, given[1:], strict=False))


def test_of_two_processes_with_one_name_the_older_steps_aside() -> None:
    async def story(world: World) -> None:
        world.spawn(_monitor(world))
        node = _leader(world)
        assert node is not None
        member = node.settings.member
        old, context, epoch = node, world.contexts[member], world.epochs[member]
        world.boot(member, "elsewhere")  # beside the old one, which goes on
        await _until(world, 20.0, lambda: old.presence.aside)
        assert not old.leadership.acting() and not old.accepts_users()
        assert (await context.run(asyncio.create_task, old.handle("GET", "/up", b"")))[0] == 503
        await _until(world, 20.0, lambda: _leader(world))
        new = world.nodes[member]
        assert new is not None and not new.presence.aside and epoch == world.epochs[member]
        stamp = new.views.stamp
        others = [n for n in world.nodes.values() if n is not None and n is not new]
        await asyncio.sleep(6.0)
        for other in others:  # words of the older one change nothing
            assert other.views.of[member].process == new.views.process
            assert other.views.of[member].incarnation[0] == stamp
        old.stop()

    tell(story, 4, loss=0.0)


# -- messages of any kind --------------------------------------------------------------


def test_malformed_huge_stale_and_lying_messages_are_dropped_and_counted() -> None:
    async def story(world: World) -> None:
        leader = _leader(world)
        assert leader is not None
        token, other = leader.leadership.token, next(m for m in NAMES if m in leader.views.of)
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
        assert leader.leadership.token == token and leader.leadership.acting()
        dropped = {k: n for k, n in leader.views.counts.items() if k.startswith("dropped")}
        assert {"dropped malformed", "dropped stranger"} <= set(dropped)
        assert "dropped token from the future" in dropped
        await asyncio.sleep(3.0)
        assert leader.leadership.token == token

    tell(story, 5, loss=0.0)


def test_a_loop_that_meets_a_bug_begins_anew() -> None:
    """Else a controller would suspect everybody for ever, and be suspected by nobody."""

    async def story(world: World) -> None:
        node = _leader(world)
        assert node is not None
        plain, times = node.views.judge, 0

        def judge() -> None:
            nonlocal times
            times += 1
            if times < 3:
                raise RuntimeError("a bug")
            plain()

        node.views.judge = judge  # type: ignore[method-assign]
        await asyncio.sleep(8.0)
        assert times > 8
        assert all(view.state == ALIVE for view in node.views.of.values())

    tell(story, 6, loss=0.0)


# -- fleets ------------------------------------------------------------------------------


@pytest.mark.parametrize("seed", [1, 2, 5])
def test_controllers_and_a_tenth_of_the_machines_fail_together(seed: int) -> None:
    day = failover.day(seed, machines=90, seconds=65.0)
    world, broken = play_day(day, seed)
    out = failover.Times()
    failover.count(world, broken, out)
    told = failover.figures(out)
    assert not broken and told["lost"] == 0 and told["served_least"] >= 0.5
    assert told["lease_kills"] == 0 and told["false_verdicts"] == 0
    assert told["takeovers"] >= 3 and told["lead_s_p50"] < 2.3
    assert world.store.refused_calls == 0


# -- bugs put in on purpose ---------------------------------------------------------------


def _silence_is_enough(patch: pytest.MonkeyPatch) -> None:
    """Old silence counts, asked or not."""
    patch.setattr(Views, "_doubtful", lambda self, view, now: True)


def _waking_is_no_reason_to_wait(patch: pytest.MonkeyPatch) -> None:
    def ran(self: Views, late_s: float) -> None:
        pass

    patch.setattr(Views, "ran", ran)


def _silence_is_a_verdict(patch: pytest.MonkeyPatch) -> None:
    plain = Views._state

    def state(self: Views, view: Any, now: float) -> str:
        found = plain(self, view, now)
        return FAILED if found == SUSPECT else found

    patch.setattr(Views, "_state", state)


def _any_process_is_believed(patch: pytest.MonkeyPatch) -> None:
    plain = Views.take

    def take(self: Views, word: Word, answer: bool) -> bool:
        if word.member in self.of:
            self.of[word.member].answered_at = self.clock.now()
            self.of[word.member].process = ""
        return plain(self, word, answer)

    patch.setattr(Views, "take", take)
    patch.setattr(constants, "WORD_OLD_S", 1e9)


VIEW_BUGS = [_silence_is_enough, _waking_is_no_reason_to_wait, _silence_is_a_verdict]
VIEW_BUGS += [_any_process_is_believed]


@pytest.mark.parametrize("bug", VIEW_BUGS)
def test_bugs_in_views_are_found(bug: Callable[[Any], None]) -> None:
    with pytest.MonkeyPatch.context() as patch:
        bug(patch)
        with pytest.raises((AssertionError, ExceptionGroup)):
            _run_machine()


def _acts_until_the_answer(patch: pytest.MonkeyPatch) -> None:
    """The old leader goes on until its commit is answered."""
    plain = Leadership.hand_over

    async def hand_over(self: Leadership, *to: Any) -> bool:
        depose = self.depose
        self.depose = lambda: None  # type: ignore[method-assign]
        try:
            return await plain(self, *to)
        finally:
            self.depose = depose  # type: ignore[method-assign]
            self._clock.now()

    patch.setattr(Leadership, "hand_over", hand_over)


def _lease_from_the_answer(patch: pytest.MonkeyPatch) -> None:
    """A lease is counted from when it was heard of, and without a margin."""

    def proved(self: Shelter, sent_at: float, ttl_s: float) -> None:
        self.proved_until = self.known_until = self._clock.now() + 2 * ttl_s

    patch.setattr(Shelter, "proved", proved)


def _resumes_when_unsure(patch: pytest.MonkeyPatch) -> None:
    """A lost answer is taken for a commit that was not applied."""
    plain = Leadership.hand_over

    async def hand_over(self: Leadership, *to: Any) -> bool:
        token, until = self.token, self.shelter.proved_until
        moved = await plain(self, *to)
        if not moved:
            self.token, self.shelter.proved_until = token, until + 3.0
        return moved

    patch.setattr(Leadership, "hand_over", hand_over)


KEY_BUGS = [_acts_until_the_answer, _lease_from_the_answer, _resumes_when_unsure]


@pytest.mark.parametrize("bug", KEY_BUGS)
def test_bugs_in_the_keys_handover_are_found(bug: Callable[[Any], None]) -> None:
    found = 0
    for seed in range(8):
        with pytest.MonkeyPatch.context() as patch:
            bug(patch)
            try:
                tell(lambda world: _handovers(world, [], True), seed)
            except Two:
                found += 1
                break
            except AssertionError:
                continue
    assert found


def test_a_token_from_the_future_would_end_a_lead() -> None:
    """Without the bound on tokens one lying message deposes a good leader."""

    async def story(world: World) -> None:
        leader = _leader(world)
        assert leader is not None
        other = next(iter(leader.views.of))
        word = world.nodes[other].own_status()  # type: ignore[union-attr]
        word.token, word.seq = leader.leadership.token + 10_000_000, word.seq + 1
        await leader.on_peer({"q": "ping", "arg": msgspec.to_builtins(word)})
        assert not leader.leadership.acting()

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(leadership.Ledger, "revision_bound", lambda self: 1 << 60)
        tell(story, 5, loss=0.0)
