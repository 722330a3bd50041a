"""Processes that end and are back within a fraction of a second, once and again and again."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from chalkgrade import constants
from chalkgrade.experiments import failover
from chalkgrade.machines.fleet import Fleet, Report
from chalkgrade.membership.presence import MEMBERS_PREFIX
from chalkgrade.membership.views import ALIVE, Views
from chalkgrade.membership.words import Word
from chalkgrade.outside import NoAnswer
from chalkgrade.record.jobs import Attempt, Job, JobValue, parse_submission
from chalkgrade.record.oplog import OpLog
from chalkgrade.region.day import Fault
from chalkgrade.region.fleet import figures, play_day
from chalkgrade.region.loop import HandClock
from chalkgrade.region.world import World, tell
from chalkgrade.serving.node import Node
from chalkgrade.state.leadership import LEADER_KEY, Leadership
from chalkgrade.state.ledger import Ledger
from test_membership import Two, _leader, _monitor, _until

BACK_S = 0.2


def _spec(world: World, number: int, **changes: Any) -> dict[str, Any]:
    """A job that runs anywhere, known to the world."""
    plain = {"jobclass": "small", "owner": "blue", "oneZone": False, "spread": False}
    plain |= {"hosttypes": None, "site": None, "standby": True, "shape": "batch", "tasks": 4}
    plain |= {"expectedS": 4.0, "vcpus": 1.0, "memoryGb": 1.0, "savepointS": 0.0, "dueS": None}
    spec = world.spec(number, **(plain | changes))
    world.jobs[spec["nameId"]] = {"spec": spec, "aborted": None, "over": None}
    return spec


async def _restarted(world: World, who: list[str], after: float = BACK_S) -> tuple[float, Node]:
    """End these and start them again; how long until somebody leads, and who does."""
    before = world.nodes[who[0]].leadership.highest  # type: ignore[union-attr]
    for member in who:
        world.spawn(world.restart(member, after))
    await asyncio.sleep(0.001)

    def next_leader() -> bool:
        node = _leader(world)
        return node is not None and node.leadership.token > before

    took = await _until(world, 30.0, next_leader)
    node = _leader(world)
    assert node is not None
    return took, node


@pytest.mark.parametrize("case", ["leader", "two", "all"])
def test_a_leader_that_is_back_at_once_does_not_wait_for_its_own_lease(case: str) -> None:
    """It, or another, leads as soon as its new process runs; found to take 1.8 s and more."""
    gaps: list[float] = []

    async def story(world: World) -> None:
        world.spawn(_monitor(world))
        for _ in range(4):
            node = _leader(world)
            assert node is not None
            lead = node.settings.member
            others = [member for member in world.members if member != lead]
            who = {"leader": [lead], "two": [lead, others[0]], "all": [lead, *others]}[case]
            took, _ = await _restarted(world, who)
            gaps.append(took - BACK_S)
            await asyncio.sleep(world.rng.uniform(0.2, 4.0))
        if world.failure is not None:
            raise world.failure

    for seed in range(3):
        tell(story, seed, loss=0.0)
    assert max(gaps) < 0.3


def test_back_within_an_outage_the_next_leads_when_it_ends() -> None:
    async def story(world: World) -> None:
        world.spawn(_monitor(world))
        await asyncio.sleep(2.0)
        world.store.outage(8.0)
        await asyncio.sleep(3.0)
        took, _ = await _restarted(world, list(world.members))
        assert took < 5.0 + 0.8, took
        if world.failure is not None:
            raise world.failure

    tell(story, 3, loss=0.0)


def test_back_within_an_outage_all_stay_with_the_balancer_and_serve_at_its_end() -> None:
    """They knew no machine types, left the balancer, and were let in again seconds later."""

    async def story(world: World) -> None:
        await asyncio.sleep(2.0)
        world.store.outage(8.0)
        end = world.now + 8.0
        await asyncio.sleep(4.0)
        for member in world.members:
            world.spawn(world.restart(member, BACK_S))
        await asyncio.sleep(1.5)
        nodes = [node for node in world.nodes.values() if node is not None]
        while world.now < end:
            assert all(node.accepts_users() for node in nodes)
            await asyncio.sleep(0.1)
        raw = msgspec.json.encode(_spec(world, 1))
        while True:
            answer = await world.within(nodes[0].settings.member, nodes[0].handle(
                "POST", "/v2/runs", raw))  # fmt: skip
            if answer[0] in (200, 201):
                break
            await asyncio.sleep(0.1)
        assert world.now < end + 1.5
        assert all(node.accepts_users() for node in nodes)

    for seed in range(3):
        tell(story, seed, loss=0.0)


async def _beside(world: World) -> None:
    """Two processes of one name on two machines: the older one leads, and stands still."""
    old = _leader(world)
    assert old is not None
    member, lead = old.settings.member, old.leadership
    world.loop.freeze(member, world.now + 0.9)
    world.loop.thaw(member)  # what waits already waits on, and the new process runs
    world.boot(member, "on another machine")
    for _ in range(400):
        row = world.store.keys.get(LEADER_KEY)
        if lead.acting() and (row is None or row[1] != lead.token):
            raise Two("the older one may act, and the key is not its own")
        await asyncio.sleep(0.01)
    await _until(world, 20.0, lambda: _leader(world))
    old.stop()


def test_a_process_elsewhere_with_the_leaders_name_waits_for_its_lease() -> None:
    for seed in range(4):
        tell(_beside, seed, loss=0.0)


def _any_home_is_mine(patch: pytest.MonkeyPatch) -> None:
    """Whoever has the name ends the lease, wherever the other process runs."""
    plain = Leadership._left_over

    def left_over(self: Leadership, value: Any) -> bool:
        return bool(value.member == self.member) or plain(self, value)

    patch.setattr(Leadership, "_left_over", left_over)


def test_ending_the_lease_of_a_process_elsewhere_is_found() -> None:
    with pytest.MonkeyPatch.context() as patch:
        _any_home_is_mine(patch)
        with pytest.raises(Two):
            for seed in range(4):
                tell(_beside, seed, loss=0.0)


def test_who_laid_the_lead_down_ends_what_is_left_of_it() -> None:
    """Its own key stood until its lease ended, and nobody led meanwhile."""

    async def story(world: World) -> None:
        world.spawn(_monitor(world))
        node = _leader(world)
        assert node is not None
        token = node.leadership.token
        node.leadership.depose()
        new = lambda: (n := _leader(world)) is not None and n.leadership.token > token  # noqa: E731
        assert await _until(world, 5.0, new) < 0.3
        if world.failure is not None:
            raise world.failure

    tell(story, 2, loss=0.0)


def test_a_successor_that_restarts_while_it_is_handed_the_lead_leaves_no_vacancy() -> None:
    """The key comes to a name whose process has forgotten the lease that was made ready."""

    async def story(world: World) -> None:
        world.spawn(_monitor(world))
        node = _leader(world)
        assert node is not None
        other = next(n for n in world.nodes.values() if n is not None and n is not node)
        member = other.settings.member
        offer = await world.within(member, other.leadership.offer())
        world.spawn(world.restart(member, BACK_S))
        await asyncio.sleep(0.1)
        home, lead = other.leadership.home, node.leadership
        moved = await world.within(
            node.settings.member,
            lead.hand_over(member, offer.permit, offer.nonce, offer.lease_s, home),
        )
        assert moved
        assert await _until(world, 5.0, lambda: _leader(world)) < 0.5

    tell(story, 1, loss=0.0)


def test_a_young_process_lets_others_lead_first() -> None:
    """Else a controller in a loop of crashes would take the lead each time."""

    async def story(world: World) -> None:
        await asyncio.sleep(constants.YOUNG_S)
        for _ in range(3):
            node = _leader(world)
            assert node is not None
            member = node.settings.member
            _, then = await _restarted(world, [member])
            assert then.settings.member != member
            await asyncio.sleep(constants.YOUNG_S + 1.0)

    tell(story, 4, loss=0.0)


def test_a_follower_back_within_an_outage_sends_workers_to_the_leader() -> None:
    """Without a read it knew no bound for tokens and called the leader's one from the future."""

    async def story(world: World) -> None:
        leader = _leader(world)
        assert leader is not None
        world.store.rev += 1_000_000
        _, leader = await _restarted(world, [leader.settings.member])
        await asyncio.sleep(3.0)
        lead = leader.settings.member
        member = next(m for m in world.members if m != lead)
        world.store.outage(30.0)
        await asyncio.sleep(0.5)
        await world.restart(member, BACK_S)
        await asyncio.sleep(2.0)
        node = world.nodes[member]
        assert node is not None and node.leadership.leader == lead
        report = {"host": "host-x", "tenure": 1, "seq": 1, "baton": 0, "hosttype": "small"}
        answer = await world.within(
            member, node.handle("POST", "/hello", msgspec.json.encode(report | {"site": "a"}))
        )
        assert answer == (421, {"reportsTo": lead})
        assert not node.views.dropped.get("token from the future")

    tell(story, 2, loss=0.0)


def test_words_of_an_ended_process_bring_it_back_nowhere() -> None:
    """Held words of the first process reset the view of the second, which has no key yet."""
    clock = HandClock()
    views = Views("n-0", ["n-1", "n-2"], clock)

    def word(process: str, stamp: int, seq: int) -> Word:
        return Word("n-1", process, (stamp, 0), seq, clock.wall())

    assert views.take(word("first", 50, 1), answer=True)
    held, recent = word("first", 50, 2), word("first", 50, 3)
    clock.at += 0.2
    # It answers a question put just now, so that it is there, key or no key.
    assert views.take(word("second", 0, 1), answer=True)
    assert not views.take(recent, answer=False)
    assert views.of["n-1"].process == "second" and views.state("n-1") == ALIVE
    clock.at += 1.5
    assert not views.take(held, answer=False)
    assert views.of["n-1"].process == "second"
    assert views.take(word("second", 0, 2), answer=False)
    assert views.take(word("second", 60, 3), answer=False)
    assert not views.take(word("first", 50, 4), answer=False)


def test_a_first_report_that_was_held_proves_no_absence() -> None:
    """A machine that has seen no token when it wrote it may have been given work since."""
    clock = HandClock()
    spec = {"nameId": "run-000001", "jobclass": "x", "owner": "blue", "shape": "batch"}
    spec |= {"urgency": "high", "tasks": 2, "vcpus": 1.0, "gpus": 0.0, "memoryGb": 1.0}
    spec |= {"bundle": "i", "pullGb": 1.0, "hosttypes": None, "site": None, "oneZone": False}
    spec |= {"spread": False, "standby": True, "expectedS": 1.0, "savepointS": 0.0}
    spec |= {"flushS": 0.0, "dueS": None}
    job = Job(
        JobValue(parse_submission(msgspec.json.encode(spec), 16 * 1024), 0.0), 1, OpLog(16 * 1024)
    )
    fleet = Fleet(clock, 40, 12.0, 3.0)
    earlier = Attempt(job, 0, 1, "host-1", 0)  # read from the record
    fleet.hold(earlier)
    own = Attempt(job, 1, 1, "host-1", 0)
    own.decided = clock.now()
    fleet.hold(own)
    machine = fleet.take(Report("host-1", 1, 1, 0, "small", "a"))
    assert machine is not None
    assert not fleet.absent(machine, earlier)
    assert fleet.absent(machine, own)  # nobody has launched it yet
    assert fleet.take(Report("host-1", 1, 2, 40, "small", "a")) is machine
    assert fleet.absent(machine, earlier)


class _Held:
    """A process's way out on which writes are held; they come when its successor leads."""

    def __init__(self, plain: Any) -> None:
        self.plain = plain
        self.writes: list[tuple[str, str, bytes]] = []

    async def call(self, addr: str, method: str, path: str, body: Any, timeout: float) -> Any:
        if path in ("/commit", "/rentals"):
            self.writes.append((addr, path, body))
            raise NoAnswer("held")
        return await self.plain.call(addr, method, path, body, timeout)


def test_late_commits_and_rentals_of_the_process_before_change_nothing() -> None:
    """All that it sent comes after its next process, or another, has read the state."""

    async def story(world: World) -> None:
        leader = _leader(world)
        assert leader is not None and leader.term is not None
        member, token = leader.settings.member, leader.leadership.token
        held = _Held(leader.http)
        leader.ledger._http = leader.cloud._http = held  # type: ignore[assignment]
        spec = _spec(world, 1)
        raw = msgspec.json.encode(spec)
        world.spawn(world.within(member, leader.handle("POST", "/v2/runs", raw)))
        other = parse_submission(msgspec.json.encode(_spec(world, 2)), 16 * 1024)
        leader.term.book.add(JobValue(other, 0.0), 0, observe=True)  # it rents for this one
        await asyncio.sleep(1.0)
        took, then = await _restarted(world, [member], 0.05)
        assert took < 0.5 and then.leadership.token > token
        await _until(world, 5.0, lambda: then.term is not None and then.term.ready)
        commits = [body for _, path, body in held.writes if LEADER_KEY.encode() in body]
        rentals = [body for _, path, body in held.writes if path == "/rentals"]
        assert commits and rentals
        for body in commits:
            status, _ = await world.store.handle(member, "POST", "/commit", body)
            assert status == 409
        hires = [msgspec.json.decode(body)["hire"] for body in rentals]
        status, found = await world.cloud.handle(member, "POST", "/rentals", rentals[0])
        assert status == 200 and all(hire.startswith(f"h{token}-") for hire in hires)
        name = then.settings.member
        answer = await world.within(name, then.handle("GET", f"/v2/runs/{spec['nameId']}", b""))
        assert answer[0] == 404  # nobody was told otherwise
        answer = await world.within(name, then.handle("POST", "/v2/runs", raw))
        assert answer[0] == 201
        await _until(world, 60.0, lambda: len(world.done) == spec["tasks"])
        assert not any(hire in hires for hire in list(world.cloud.hires)[1:])
        term = then.term
        assert term is not None
        there = set(term.fleet.machines) | set(term.fleet.gone)
        assert set(found["hosts"]) & set(world.cloud.machines) <= there  # adopted, or returned

    for seed in (1, 2, 3):
        tell(story, seed, loss=0.0)


# -- loops of crashes -----------------------------------------------------------------------


def _loop_day(seed: int, machines: int = 90, seconds: float = 120.0) -> Any:
    """For a minute each process of all five controllers lives for 1 to 5 s."""
    day = failover.day(seed, machines=machines, seconds=seconds)
    day.faults = [Fault(10.0, "flap", BACK_S, who="all", times=20, every=3.0)]
    return day


@pytest.mark.parametrize("seed", [1, 2])
def test_a_loop_of_crashes_breaks_nothing_and_is_over_at_once(seed: int) -> None:
    day = _loop_day(seed)
    day.faults.append(Fault(30.0, "stop", count=9))
    world, broken = play_day(day, seed)
    told = figures(world, broken)
    assert told["verdict"] == "ok" and told["unfinished"] == 0
    assert world.store.refused_calls == 0  # neither requests nor changes above the budgets
    tokens = sorted(world.obeyed)
    assert len(tokens) > 3
    ended = world.flapped_until
    assert any(ended < at < ended + 10.0 for at, _ in world.starts)
    urgent = [job["first"] - job["at"] for job in world.jobs.values()
              if job["at"] > ended + 10.0 and job["spec"]["jobclass"] == "urgent"]  # fmt: skip
    assert urgent and max(urgent) < 10.0


def test_incarnations_and_tokens_rise_through_a_loop_of_crashes() -> None:
    async def story(world: World) -> None:
        stamps: dict[str, list[int]] = {member: [] for member in world.members}
        leads: list[int] = []
        for _ in range(12):
            for member in world.members:
                world.spawn(world.restart(member, world.rng.uniform(0.05, 0.3)))
            await asyncio.sleep(world.rng.uniform(1.0, 2.5))
            for member in world.members:
                row = world.store.keys.get(MEMBERS_PREFIX + member)
                stamps[member].append(row[1] if row else 0)
            row = world.store.keys.get(LEADER_KEY)
            leads.append(row[1] if row else 0)
        assert all(rows == sorted(set(rows)) and rows[0] for rows in stamps.values())
        assert leads == sorted(set(leads)) and leads[0]
        assert len(world.store.leases) < 60  # what they leave behind ends by itself
        await asyncio.sleep(constants.MEMBER_TTL_S + 2.0)
        assert len(world.store.leases) <= 2 * len(world.members) + 1

    tell(story, 5, loss=0.0)


def test_a_crash_loop_costs_the_state_service_little_and_serves_within_ten_seconds() -> None:
    """One controller, the one that would lead, does nothing but end."""

    async def story(world: World) -> None:
        await asyncio.sleep(constants.YOUNG_S)
        node = _leader(world)
        assert node is not None
        member, before = node.settings.member, world.store.rev
        world.spawn(world.flap(member, 20, 3.0, BACK_S))
        await asyncio.sleep(60.0)
        assert world.store.rev - before < 60 * 3  # changes: its key, and its part of the lead
        assert world.store.refused_calls == 0
        leads = [n for n in world.nodes.values() if n is not None and n.leadership.acting()]
        assert leads and leads[0].settings.member != member

    tell(story, 6, loss=0.0)


def _no_revision_is_bounded_low(patch: pytest.MonkeyPatch) -> None:
    """As it was: a process that has read nothing believes no token above 6,000."""
    patch.setattr(Ledger, "revision_bound", lambda self: self.revision_seen + 6000)


def _held_words_count(patch: pytest.MonkeyPatch) -> None:
    """As it was: the process of a word is taken over before the word's age is looked at."""
    patch.setattr(
        Views, "_succeeds", lambda self, view, word, answer: word.incarnation > view.incarnation
    )


@pytest.mark.parametrize(
    ("bug", "found_by"),
    [
        (_no_revision_is_bounded_low,
         test_a_follower_back_within_an_outage_sends_workers_to_the_leader),
        (_held_words_count, test_words_of_an_ended_process_bring_it_back_nowhere),
    ],
)  # fmt: skip
def test_bugs_of_quick_restarts_are_found(
    bug: Callable[[Any], None], found_by: Callable[[], None]
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        bug(patch)
        with pytest.raises(AssertionError):
            found_by()
