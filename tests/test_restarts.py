"""Controllers that restart within a fraction of a second, once or repeatedly.

A quick restart must not leave the cluster without a leader until an old lease expires, revive an
ended process through delayed messages, or let old commits take effect.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from chalkgrade import constants
from chalkgrade.experiments import failover
from chalkgrade.machines.fleet import Fleet, Report
from chalkgrade.membership.messages import MemberStatus
from chalkgrade.membership.registration import MEMBERS_PREFIX
from chalkgrade.membership.views import ALIVE, Views
from chalkgrade.outside import NoAnswer
from chalkgrade.record.jobs import Attempt, Job, JobValue, parse_submission
from chalkgrade.record.oplog import OpLog
from chalkgrade.region.day import Fault
from chalkgrade.region.fleet import figures, play_day
from chalkgrade.region.loop import ManualClock
from chalkgrade.region.world import World, tell
from chalkgrade.serving.node import Node
from chalkgrade.state.client import LedgerClient
from chalkgrade.state.leadership import LEADER_KEY, Leadership
from test_membership import MultipleLeaders, _acting_leader, _check_single_leader, _wait_until

BACK_S = 0.2


def _any_machine_job(world: World, number: int, **changes: Any) -> dict[str, Any]:
    """A job specification that any machine can run, registered with the world."""
    plain = {"jobclass": "small", "owner": "blue", "oneZone": False, "spread": False}
    plain |= {"hosttypes": None, "site": None, "standby": True, "shape": "batch", "tasks": 4}
    plain |= {"expectedS": 4.0, "vcpus": 1.0, "memoryGb": 1.0, "savepointS": 0.0, "dueS": None}
    spec = world.spec(number, **(plain | changes))
    world.jobs[spec["nameId"]] = {"spec": spec, "aborted": None, "over": None}
    return spec


async def _restart_and_wait(
    world: World, who: list[str], after: float = BACK_S
) -> tuple[float, Node]:
    """Restart these controllers; returns the time until there is a leader, s, and the leader."""
    before = world.nodes[who[0]].leadership.highest_token  # type: ignore[union-attr]
    for member in who:
        world.spawn(world.restart(member, after))
    await asyncio.sleep(0.001)

    def next_leader() -> bool:
        node = _acting_leader(world)
        return node is not None and node.leadership.token > before

    took = await _wait_until(world, 30.0, next_leader)
    node = _acting_leader(world)
    assert node is not None
    return took, node


@pytest.mark.parametrize("case", ["leader", "two", "all"])
def test_a_leader_that_restarts_at_once_does_not_wait_for_its_own_lease(case: str) -> None:
    """Otherwise there is no leader for 1.8 s or more, until the old lease expires."""
    gaps: list[float] = []

    async def story(world: World) -> None:
        world.spawn(_check_single_leader(world))
        for _ in range(4):
            node = _acting_leader(world)
            assert node is not None
            lead = node.settings.member
            others = [member for member in world.members if member != lead]
            who = {"leader": [lead], "two": [lead, others[0]], "all": [lead, *others]}[case]
            took, _ = await _restart_and_wait(world, who)
            gaps.append(took - BACK_S)
            await asyncio.sleep(world.rng.uniform(0.2, 4.0))
        if world.failure is not None:
            raise world.failure

    for seed in range(3):
        tell(story, seed, loss=0.0)
    assert max(gaps) < 0.3


def test_after_restarts_within_an_outage_a_leader_is_elected_at_its_end() -> None:
    async def story(world: World) -> None:
        world.spawn(_check_single_leader(world))
        await asyncio.sleep(2.0)
        world.store.outage(8.0)
        await asyncio.sleep(3.0)
        took, _ = await _restart_and_wait(world, list(world.members))
        assert took < 5.0 + 0.8, took
        if world.failure is not None:
            raise world.failure

    tell(story, 3, loss=0.0)


def test_after_restarts_within_an_outage_all_stay_ready_and_serve_at_its_end() -> None:
    """Restarted controllers know no machine types before the first read.

    If they report not ready because of that, the load balancer removes them and readmits them
    seconds after the outage.
    """

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
        raw = msgspec.json.encode(_any_machine_job(world, 1))
        while True:
            answer = await world.run_as(nodes[0].settings.member, nodes[0].handle(
                "POST", "/v2/runs", raw))  # fmt: skip
            if answer[0] in (200, 201):
                break
            await asyncio.sleep(0.1)
        assert world.now < end + 1.5
        assert all(node.accepts_users() for node in nodes)

    for seed in range(3):
        tell(story, seed, loss=0.0)


async def _start_second_process(world: World) -> None:
    """Two processes of one name on two machines: the older one leads, and is suspended."""
    old = _acting_leader(world)
    assert old is not None
    member, lead = old.settings.member, old.leadership
    world.loop.freeze(member, world.now + 0.9)
    world.loop.thaw(member)  # pending waits go on, and the new process runs
    world.boot(member, "on another machine")
    for _ in range(400):
        row = world.store.keys.get(LEADER_KEY)
        if lead.may_act() and (row is None or row[1] != lead.token):
            raise MultipleLeaders("the older process may act, but the key is not its own")
        await asyncio.sleep(0.01)
    await _wait_until(world, 20.0, lambda: _acting_leader(world))
    old.stop()


def test_a_process_elsewhere_with_the_leaders_name_waits_for_the_lease() -> None:
    for seed in range(4):
        tell(_start_second_process, seed, loss=0.0)


def _ignore_home(patch: pytest.MonkeyPatch) -> None:
    """Bug: a process revokes the lease of its name wherever the other process runs."""
    plain = Leadership._is_own_stale_key

    def is_own_stale_key(self: Leadership, value: Any) -> bool:
        return bool(value.member == self.member) or plain(self, value)

    patch.setattr(Leadership, "_is_own_stale_key", is_own_stale_key)


def test_revoking_the_lease_of_a_process_elsewhere_is_detected() -> None:
    with pytest.MonkeyPatch.context() as patch:
        _ignore_home(patch)
        with pytest.raises(MultipleLeaders):
            for seed in range(4):
                tell(_start_second_process, seed, loss=0.0)


def test_a_leader_that_stepped_down_revokes_its_own_lease() -> None:
    """Otherwise its key stays until the lease expires, and nobody leads meanwhile."""

    async def story(world: World) -> None:
        world.spawn(_check_single_leader(world))
        node = _acting_leader(world)
        assert node is not None
        token = node.leadership.token
        node.leadership.step_down()
        new = lambda: (n := _acting_leader(world)) is not None and n.leadership.token > token  # noqa: E731
        assert await _wait_until(world, 5.0, new) < 0.3
        if world.failure is not None:
            raise world.failure

    tell(story, 2, loss=0.0)


def test_a_successor_that_restarts_during_a_handover_leaves_no_vacancy() -> None:
    """The key goes to a controller whose new process does not know the prepared lease."""

    async def story(world: World) -> None:
        world.spawn(_check_single_leader(world))
        node = _acting_leader(world)
        assert node is not None
        other = next(n for n in world.nodes.values() if n is not None and n is not node)
        member = other.settings.member
        offer = await world.run_as(member, other.leadership.prepare_takeover())
        world.spawn(world.restart(member, BACK_S))
        await asyncio.sleep(0.1)
        home, lead = other.leadership.home, node.leadership
        moved = await world.run_as(
            node.settings.member,
            lead.hand_over(member, offer.permit, offer.nonce, offer.lease_s, home),
        )
        assert moved
        assert await _wait_until(world, 5.0, lambda: _acting_leader(world)) < 0.5

    tell(story, 1, loss=0.0)


def test_a_recently_started_process_lets_others_lead_first() -> None:
    """Otherwise a controller that crashes repeatedly would take the leadership each time."""

    async def story(world: World) -> None:
        await asyncio.sleep(constants.MIN_CAMPAIGN_UPTIME_S)
        for _ in range(3):
            node = _acting_leader(world)
            assert node is not None
            member = node.settings.member
            _, then = await _restart_and_wait(world, [member])
            assert then.settings.member != member
            await asyncio.sleep(constants.MIN_CAMPAIGN_UPTIME_S + 1.0)

    tell(story, 4, loss=0.0)


def test_a_follower_restarted_in_an_outage_redirects_workers_to_the_leader() -> None:
    """Before its first read it has no bound for tokens, and must not reject the leader's token."""

    async def story(world: World) -> None:
        leader = _acting_leader(world)
        assert leader is not None
        world.store.rev += 1_000_000
        _, leader = await _restart_and_wait(world, [leader.settings.member])
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
        answer = await world.run_as(
            member, node.handle("POST", "/hello", msgspec.json.encode(report | {"site": "a"}))
        )
        assert answer == (421, {"reportsTo": lead})
        assert not node.views.unlogged_drops.get("token from the future")

    tell(story, 2, loss=0.0)


def test_delayed_statuses_do_not_revive_an_ended_process() -> None:
    """Delayed statuses of the first process must not replace the second, which has no key yet."""
    clock = ManualClock()
    views = Views("n-0", ["n-1", "n-2"], clock)

    def status(process: str, stamp: int, seq: int) -> MemberStatus:
        return MemberStatus("n-1", process, (stamp, 0), seq, clock.wall())

    assert views.accept_status(status("first", 50, 1), answer=True)
    delayed, recent = status("first", 50, 2), status("first", 50, 3)
    clock.at += 0.2
    # It answers a current request, so it is alive even without a key.
    assert views.accept_status(status("second", 0, 1), answer=True)
    assert not views.accept_status(recent, answer=False)
    assert views.by_member["n-1"].process == "second" and views.state_of("n-1") == ALIVE
    clock.at += 1.5
    assert not views.accept_status(delayed, answer=False)
    assert views.by_member["n-1"].process == "second"
    assert views.accept_status(status("second", 0, 2), answer=False)
    assert views.accept_status(status("second", 60, 3), answer=False)
    assert not views.accept_status(status("first", 50, 4), answer=False)


def test_a_delayed_first_report_does_not_prove_that_a_task_is_absent() -> None:
    """A machine that had seen no token when it sent the report may have got work since."""
    clock = ManualClock()
    spec = {"nameId": "run-000001", "jobclass": "x", "owner": "blue", "shape": "batch"}
    spec |= {"urgency": "high", "tasks": 2, "vcpus": 1.0, "gpus": 0.0, "memoryGb": 1.0}
    spec |= {"bundle": "i", "pullGb": 1.0, "hosttypes": None, "site": None, "oneZone": False}
    spec |= {"spread": False, "standby": True, "expectedS": 1.0, "savepointS": 0.0}
    spec |= {"flushS": 0.0, "dueS": None}
    job = Job(
        JobValue(parse_submission(msgspec.json.encode(spec), 16 * 1024), 0.0), 1, OpLog(16 * 1024)
    )
    fleet = Fleet(clock, 40, 12.0, 3.0)
    earlier = Attempt(job, 0, 1, "host-1", 0)  # loaded from the record
    fleet.attach_attempt(earlier)
    own = Attempt(job, 1, 1, "host-1", 0)
    own.placed_at = clock.now()
    fleet.attach_attempt(own)
    machine = fleet.accept_report(Report("host-1", 1, 1, 0, "small", "a"))
    assert machine is not None
    assert not fleet.is_surely_absent(machine, earlier)
    assert fleet.is_surely_absent(machine, own)  # nobody has launched it yet
    assert fleet.accept_report(Report("host-1", 1, 2, 40, "small", "a")) is machine
    assert fleet.is_surely_absent(machine, earlier)


class _HoldingHttp:
    """An HTTP client that holds back writes, to be delivered once the successor leads."""

    def __init__(self, plain: Any) -> None:
        self.plain = plain
        self.writes: list[tuple[str, str, bytes]] = []

    async def call(self, addr: str, method: str, path: str, body: Any, timeout: float) -> Any:
        if path in ("/commit", "/rentals"):
            self.writes.append((addr, path, body))
            raise NoAnswer("held")
        return await self.plain.call(addr, method, path, body, timeout)


def test_late_commits_and_rentals_of_an_earlier_process_change_nothing() -> None:
    """All requests of the old process arrive after its successor has read the state."""

    async def story(world: World) -> None:
        leader = _acting_leader(world)
        assert leader is not None and leader.term is not None
        member, token = leader.settings.member, leader.leadership.token
        held = _HoldingHttp(leader.http)
        leader.ledger._http = leader.cloud._http = held  # type: ignore[assignment]
        spec = _any_machine_job(world, 1)
        raw = msgspec.json.encode(spec)
        world.spawn(world.run_as(member, leader.handle("POST", "/v2/runs", raw)))
        other = parse_submission(msgspec.json.encode(_any_machine_job(world, 2)), 16 * 1024)
        leader.term.registry.add(
            JobValue(other, 0.0), 0, observe=True
        )  # it rents machines for this job
        await asyncio.sleep(1.0)
        took, then = await _restart_and_wait(world, [member], 0.05)
        assert took < 0.5 and then.leadership.token > token
        await _wait_until(world, 5.0, lambda: then.term is not None and then.term.ready)
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
        answer = await world.run_as(name, then.handle("GET", f"/v2/runs/{spec['nameId']}", b""))
        assert answer[0] == 404  # no user was told that the job exists
        answer = await world.run_as(name, then.handle("POST", "/v2/runs", raw))
        assert answer[0] == 201
        await _wait_until(world, 60.0, lambda: len(world.done) == spec["tasks"])
        assert not any(hire in hires for hire in list(world.cloud.rental_machines)[1:])
        term = then.term
        assert term is not None
        there = set(term.fleet.machines) | set(term.fleet.gone)
        assert set(found["hosts"]) & set(world.cloud.machines) <= there  # adopted or returned

    for seed in (1, 2, 3):
        tell(story, seed, loss=0.0)


# -- crash loops ------------------------------------------


def _crash_loop_day(seed: int, machines: int = 90, seconds: float = 120.0) -> Any:
    """A day on which each process of all five controllers runs only 1 to 5 s, for a minute."""
    day = failover.day(seed, machines=machines, seconds=seconds)
    day.faults = [Fault(10.0, "flap", BACK_S, who="all", times=20, every=3.0)]
    return day


@pytest.mark.parametrize("seed", [1, 2])
def test_a_crash_loop_breaks_no_rule_and_has_no_lasting_effect(seed: int) -> None:
    day = _crash_loop_day(seed)
    day.faults.append(Fault(30.0, "stop", count=9))
    world, broken = play_day(day, seed)
    summary = figures(world, broken)
    assert summary["verdict"] == "ok" and summary["unfinished"] == 0
    assert world.store.refused_calls == 0  # neither requests nor changes exceeded the limits
    tokens = sorted(world.token_adoptions)
    assert len(tokens) > 3
    ended = world.last_flap_at
    assert any(ended < at < ended + 10.0 for at, _ in world.starts)
    urgent = [job["first"] - job["at"] for job in world.jobs.values()
              if job["at"] > ended + 10.0 and job["spec"]["jobclass"] == "urgent"]  # fmt: skip
    assert urgent and max(urgent) < 10.0


def test_incarnations_and_tokens_rise_during_a_crash_loop() -> None:
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
        assert len(world.store.leases) < 60  # leases of ended processes expire by themselves
        await asyncio.sleep(constants.MEMBER_LEASE_S + 2.0)
        assert len(world.store.leases) <= 2 * len(world.members) + 1

    tell(story, 5, loss=0.0)


def test_a_crash_loop_costs_the_state_service_little_and_serves_within_ten_seconds() -> None:
    """One controller, the preferred leader, crashes again and again."""

    async def story(world: World) -> None:
        await asyncio.sleep(constants.MIN_CAMPAIGN_UPTIME_S)
        node = _acting_leader(world)
        assert node is not None
        member, before = node.settings.member, world.store.rev
        world.spawn(world.flap(member, 20, 3.0, BACK_S))
        await asyncio.sleep(60.0)
        assert world.store.rev - before < 60 * 3  # changes: its own key, and its share of elections
        assert world.store.refused_calls == 0
        leads = [n for n in world.nodes.values() if n is not None and n.leadership.may_act()]
        assert leads and leads[0].settings.member != member

    tell(story, 6, loss=0.0)


def _low_bound_before_first_read(patch: pytest.MonkeyPatch) -> None:
    """Bug: a process that has read nothing rejects every token above 6,000."""
    patch.setattr(LedgerClient, "max_possible_revision", lambda self: self.highest_revision + 6000)


def _delayed_statuses_accepted(patch: pytest.MonkeyPatch) -> None:
    """Bug: the process of a status is accepted before the age of the status is checked."""
    patch.setattr(
        Views,
        "_is_newer_process",
        lambda self, view, status, answer: status.incarnation > view.incarnation,
    )


@pytest.mark.parametrize(
    ("bug", "found_by"),
    [
        (_low_bound_before_first_read,
         test_a_follower_restarted_in_an_outage_redirects_workers_to_the_leader),
        (_delayed_statuses_accepted, test_delayed_statuses_do_not_revive_an_ended_process),
    ],
)  # fmt: skip
def test_bugs_in_quick_restarts_are_detected(
    bug: Callable[[Any], None], found_by: Callable[[], None]
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        bug(patch)
        with pytest.raises(AssertionError):
            found_by()
