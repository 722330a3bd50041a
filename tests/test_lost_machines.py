"""Machines that are unreachable, cut off with a controller, or gone, also across leader changes.

Guards against tasks that run twice or are lost then, and against one-zone jobs that stall after
losing machines. Each scenario asserts that the failure it is meant to cause did occur.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from chalkgrade import constants
from chalkgrade.machines.fleet import Fleet
from chalkgrade.region.rules import Broken
from chalkgrade.region.world import World, tell
from chalkgrade.renting.needs import WaitingWork
from chalkgrade.state.leadership import LEADER_KEY
from test_gap import _long_job
from test_meetings import _gone_when_silent, _live_is_done
from test_membership import _acting_leader, _wait_until

Patch = pytest.MonkeyPatch
Story = Callable[[World], Awaitable[None]]


class SubmittedWork:
    """Submits jobs to a world and waits for their start and end."""

    def __init__(self, world: World, jobs: int = 8, **changes: Any) -> None:
        self.world = world
        world.store.written.setdefault(LEADER_KEY, [])
        self.specs = [_long_job(number, 4) | {"expectedS": 40.0} for number in range(1, jobs + 1)]
        for number, spec in enumerate(self.specs):
            spec |= {"urgency": ["high", "standard", "best_effort"][number % 3]} | changes
            world.spawn(world.user(spec, None))

    async def begun(self, tasks: int) -> None:
        await _wait_until(self.world, 90.0, lambda: len(self.world.present()) >= tasks)

    async def over(self, seconds: float) -> None:
        names = [spec["nameId"] for spec in self.specs]
        end = self.world.now + seconds
        while any(self.world.jobs[name]["over"] is None for name in names):
            assert self.world.now < end, "jobs are left"
            if self.world.failure is not None:
                raise self.world.failure
            await asyncio.sleep(0.5)


def _busy(world: World) -> list[str]:
    return sorted({worker.name for worker, _ in world.present()})


async def _mute(world: World, seconds: float, changes: int = 0) -> None:
    """Half of the busy machines reach no controller, while leaders change `changes` times."""
    work = SubmittedWork(world)
    await work.begun(16)
    chosen = _busy(world)[::2]
    present = {(task.name, task.number) for host, task in world.present() if host.name in chosen}
    sessions = {name: world.workers[name].tenure for name in chosen}
    kills = world.lease_ends
    world.mute(set(chosen), seconds)
    for _ in range(changes):
        await asyncio.sleep(3.0)
        node = _acting_leader(world)
        if node is not None:
            world.spawn(world.restart(node.settings.member, 0.3))
    await asyncio.sleep(max(0.0, seconds - 3.0 * changes))
    left = {name: world.workers[name] for name in chosen if name in world.workers}
    if seconds < world.LEASE_S / 2:
        assert world.lease_ends == kills  # nothing was lost
        kept = {
            (task.name, task.number) for worker in left.values() for task in worker.tasks.values()
        }
        assert kept & present
    else:
        # The failure occurred: their sessions ended, or they were returned.
        assert all(worker.tenure > sessions[name] for name, worker in left.items())
    await work.over(150.0)
    node = _acting_leader(world)
    assert node is not None and node.term is not None
    for name in left.keys() & world.workers.keys():  # back in service
        machine = node.term.fleet.machines.get(name)
        assert machine is None or machine.releasing or node.term.fleet.usable(machine), name


async def _zone_away(world: World, leads: bool) -> None:
    """Cuts off a zone with its workers and a controller, leader or not, for 1.7 leases."""
    node = _acting_leader(world)
    assert node is not None
    zone = next(z for z in world.ZONES if (node.settings.zone == z) == leads)
    work = SubmittedWork(world)
    await work.begun(16)
    inside = {m for m in world.members if world.nodes[m].settings.zone == zone}  # type: ignore[union-attr]
    inside |= {name for name, worker in world.workers.items() if worker.zone == zone}
    outside = {*world.members, *world.workers, "state", "cloud", "users"} - inside
    assert any(host.name in inside for host, _ in world.present())
    assert (node.settings.member in inside) == leads
    stamps = len(world.store.written[LEADER_KEY])
    world.cut(inside, outside, 1.7 * world.LEASE_S, False)
    await asyncio.sleep(1.7 * world.LEASE_S)
    if leads:
        assert len(world.store.written[LEADER_KEY]) > stamps  # another controller led meanwhile
    await work.over(200.0)


async def _all_away(world: World) -> None:
    """Stops all controllers for longer than a lease; one returns first, the others later."""
    work = SubmittedWork(world)
    await work.begun(16)
    before = world.lease_ends
    for member in world.members:
        world.crash(member)
    await asyncio.sleep(world.LEASE_S + 4.0)
    assert not world.present() and world.lease_ends > before
    world.boot("n-1")
    await asyncio.sleep(10.0)
    for member in ("n-0", "n-2"):
        world.boot(member)
    await work.over(200.0)


async def _one_is_back(world: World) -> None:
    """The lead is handed over and back, all controllers crash, and one returns within 1 s."""
    work = SubmittedWork(world)
    await work.begun(16)
    for _ in range(2):
        await _wait_until(world, 20.0, lambda: _acting_leader(world) is not None)
        node = _acting_leader(world)
        assert node is not None
        other = next(m for m in world.members if m != node.settings.member)
        stamps = len(world.store.written[LEADER_KEY])
        world.cut({node.settings.member}, {"cloud"}, 12.0, False)
        await _wait_until(world, 20.0, lambda: len(world.store.written[LEADER_KEY]) > stamps)  # noqa: B023
    for member in world.members:
        world.crash(member)
    await asyncio.sleep(0.5)
    world.boot(other)
    await asyncio.sleep(10.0)
    assert _acting_leader(world) is world.nodes[other]
    for member in world.members:
        if not world.up(member):
            world.boot(member)
    await work.over(200.0)


async def _ten_changes(world: World) -> None:
    """Ten leaders end within two minutes, with the state service down for 30 s of it."""
    work = SubmittedWork(world, 12)
    await work.begun(16)
    stamps, end = len(world.store.written[LEADER_KEY]), world.now + 120.0
    ended = 0
    while world.now < end:
        if ended == 5:
            world.store.outage(30.0)
        node = _acting_leader(world)
        # There may be no leader during the outage: then one of the members is restarted.
        member = node.settings.member if node is not None else world.members[ended % 3]
        world.spawn(world.restart(member, world.rng.uniform(0.1, 1.5)))
        ended += 1
        await asyncio.sleep(9.0)
    changes = len(world.store.written[LEADER_KEY]) - stamps
    assert ended >= 10 and changes >= 8, (ended, changes)
    await work.over(200.0)


async def _more_than_room(world: World) -> None:
    """Work for three times the region's CPUs, over links that lose and delay messages."""
    world.loss = 0.05
    world.store.slow = (0.075, world.now + 90.0)
    work = SubmittedWork(world, 40, tasks=6, expectedS=15.0)
    await asyncio.sleep(30.0)
    node = _acting_leader(world)
    assert node is not None and node.term is not None
    assert sum(len(job.waiting) for job in node.term.jobs.values()) > 60
    await asyncio.sleep(60.0)
    world.loss = 0.0
    await work.over(400.0)


async def _held(world: World, seconds: float) -> None:
    """Reports of half of the busy machines arrive together, after a new leader has acted."""
    work = SubmittedWork(world)
    await work.begun(16)
    chosen = set(_busy(world)[::2])
    came: list[tuple[str, int]] = []
    for member in world.members:
        plain = world.servers[member]

        async def serve(source: str, *rest: Any, plain: Any = plain) -> Any:
            if source in chosen and rest[1] == "/hello":
                came.append((source, rest[2]["baton"]))
            return await plain(source, *rest)

        world.servers[member] = serve
    world.cut(chosen, set(world.members), seconds, True)
    node = _acting_leader(world)
    assert node is not None
    world.spawn(world.restart(node.settings.member, 2.0))
    await asyncio.sleep(seconds - 0.5)
    heir = _acting_leader(world)
    assert heir is not None and heir.term is not None
    assert not came
    await asyncio.sleep(1.0)
    assert came and all(baton < heir.term.fleet.token for _, baton in came)
    returned = chosen - world.workers.keys()
    assert bool(returned) == (seconds > 2.5 * world.LEASE_S), "the new leader has acted"
    assert not returned & heir.term.fleet.machines.keys(), "revived"
    await work.over(200.0)


STORIES: list[tuple[str, Story]] = [
    ("mute for less than a lease", lambda world: _mute(world, 5.0)),
    ("mute for two leases", lambda world: _mute(world, 24.0)),
    ("mute for four leases", lambda world: _mute(world, 48.0)),
    ("mute, and two changes of leader", lambda world: _mute(world, 24.0, 2)),
    ("held for a second lease", lambda world: _held(world, 16.0)),
    ("held until they are returned", lambda world: _held(world, 45.0)),
    ("a zone with who leads", lambda world: _zone_away(world, True)),
    ("a zone with who does not lead", lambda world: _zone_away(world, False)),
    ("all controllers", _all_away),
    ("one is back", _one_is_back),
    ("ten changes of leader", _ten_changes),
    ("more than room", _more_than_room),
]


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(("name", "story"), STORIES)
def test_rules_hold_and_no_task_is_lost(name: str, story: Story, seed: int) -> None:
    """No scenario may run a task twice, lose one or leave a job unfinished."""
    tell(story, seed, loss=0.0)


def _forgets_attempts(patch: Patch) -> None:
    """A new leader ignores the attempts that earlier leaders launched."""
    original = Fleet.attach_attempt

    def hold(self: Fleet, attempt: Any) -> None:
        if attempt.placed_at:
            original(self, attempt)

    patch.setattr(Fleet, "attach_attempt", hold)


def _forgets_removed_machines(patch: Patch) -> None:
    """Machines proven gone are not remembered, so that late reports add them again."""
    original = Fleet.remove_machine

    def drop(self: Fleet, machine: Any) -> Any:
        lost = original(self, machine)
        self.gone.pop(machine.name)
        return lost

    patch.setattr(Fleet, "remove_machine", drop)


BUGS: list[tuple[str, Callable[[Patch], None], str]] = [
    ("mute for two leases", _gone_when_silent, "ran_twice"),
    ("mute, and two changes of leader", _gone_when_silent, "ran_twice"),
    ("held until they are returned", _forgets_removed_machines, "revived"),
    ("a zone with who leads", _gone_when_silent, "ran_twice"),
    ("a zone with who does not lead", _gone_when_silent, "ran_twice"),
    ("all controllers", _live_is_done, "not_done"),
    ("one is back", _forgets_attempts, "jobs are left|idle_room"),
    ("ten changes of leader", _live_is_done, "not_done"),
    ("more than room", _gone_when_silent, "ran_twice"),
]


@pytest.mark.parametrize(("name", "bug", "rule"), BUGS)
def test_a_bug_that_breaks_a_rule_is_found(
    name: str, bug: Callable[[Patch], None], rule: str, monkeypatch: Patch
) -> None:
    """Each bug must break the given rule in its scenario with one of five seeds."""
    bug(monkeypatch)
    story = dict(STORIES)[name]
    found = []
    for seed in range(1, 6):
        try:
            tell(story, seed, loss=0.0)
        except (Broken, AssertionError) as error:
            found.append(str(error))
            if any(word in str(error) for word in rule.split("|")):
                return
    pytest.fail(f"no run broke {rule}: {found}")


# -- jobs bound to one zone ---------------------------------------------------------------------


class SmallPools(World):
    """Offers two spot and two on-demand machines in each zone."""

    ROOMS = {
        ("small", "a", True): 2,
        ("small", "b", True): 2,
        ("small", "a", False): 2,
        ("small", "b", False): 2,
    }


def _zones(world: World, name: str) -> set[str]:
    return {worker.zone for worker, _ in world.present_of_job(name)}


@pytest.mark.parametrize("bug", [False, True])
@pytest.mark.parametrize("shape", ["batch", "service"])
def test_a_one_zone_job_that_loses_a_machine_continues_in_its_zone(
    shape: str, bug: bool, monkeypatch: Patch
) -> None:
    """Spot machines are left only in the other zone, so on-demand ones must be rented."""
    if bug:
        monkeypatch.setattr(WaitingWork, "_with_bound_zone", lambda self, job: job.spec)

    async def story(world: World) -> None:
        spec = _long_job(1, 8) | {"oneZone": True, "expectedS": 300.0, "shape": shape}
        world.spawn(world.user(spec, 250.0))
        name = spec["nameId"]
        await _wait_until(world, 60.0, lambda: len(world.present_of_job(name)) == 8)
        (zone,) = _zones(world, name)
        lost = _busy(world)[0]
        pool = ("small", zone, True)
        world.cloud.remove(lost)
        world.cloud.free_machines[pool] = 0
        await asyncio.sleep(1.0)
        assert 0 < len(world.present_of_job(name)) < 8 and _zones(world, name) == {zone}
        await _wait_until(world, 120.0, lambda: len(world.present_of_job(name)) == 8)
        assert _zones(world, name) == {zone}
        if world.failure is not None:
            raise world.failure

    if bug:
        with pytest.raises((AssertionError, Broken)):
            tell(story, 2, loss=0.0, kind=SmallPools)
    else:
        tell(story, 2, loss=0.0, kind=SmallPools)


def _ignore_zones(patch: Patch) -> None:
    patch.setattr(
        "chalkgrade.sharing.constraints.eligible_zones", lambda spec, held, zones: set(zones)
    )


LOST: list[tuple[str, Callable[[Patch], None] | None]] = [
    ("gone", None),
    ("cut off", None),
    ("gone", _ignore_zones),
    ("cut off", _ignore_zones),
    ("cut off", _gone_when_silent),
]


@pytest.mark.parametrize(("how", "bug"), LOST)
def test_a_one_zone_array_whose_zone_is_lost_restarts_elsewhere(
    how: str, bug: Callable[[Patch], None] | None, monkeypatch: Patch
) -> None:
    """It restarts elsewhere only once its tasks are proven absent, also if they still run."""
    if bug is not None:
        bug(monkeypatch)

    async def story(world: World) -> None:
        spec = _long_job(1, 7) | {"oneZone": True, "expectedS": 60.0}
        world.spawn(world.user(spec, None))
        name = spec["nameId"]
        await _wait_until(world, 60.0, lambda: len(world.present_of_job(name)) == 7)
        (zone,) = _zones(world, name)
        other = next(z for z in world.ZONES if z != zone)  # the other zone has room meanwhile
        world.spawn(world.user(_long_job(2, 1) | {"site": other, "expectedS": 250.0}, None))
        await _wait_until(world, 60.0, lambda: bool(world.present_of_job("run-000002")))
        for pool in world.cloud.free_machines:
            if pool[1] == zone:
                world.cloud.free_machines[pool] = 0
        # One after the other: the remaining tasks bind the lost ones to the zone.
        hosts = sorted({worker.name for worker, _ in world.present_of_job(name)})
        assert len(hosts) == 2
        for host in hosts:
            if how == "gone":
                world.cloud.kill(host)
            else:
                world.cut({host}, {*world.members}, 80.0, False)
            for _ in range(25):
                await asyncio.sleep(1.0)
                if world.failure is not None:
                    raise world.failure
                assert _zones(world, name) <= {zone} or host != hosts[0]
        away = ({zone}, set[str]())
        await _wait_until(world, 90.0, lambda: world.failure or _zones(world, name) not in away)
        if world.failure is not None:
            raise world.failure
        assert _zones(world, name) == {other}
        await _wait_until(world, 300.0, lambda: world.jobs[name]["over"] == "done")
        if world.failure is not None:
            raise world.failure

    if bug is None:
        tell(story, 3, loss=0.0, kind=SmallPools)
        return
    with pytest.raises((Broken, AssertionError), match="wrong_place|ran_twice"):
        tell(story, 3, loss=0.0, kind=SmallPools)


# -- a machine that a job failed on -------------------------------------------------------------


class OneMachine(World):
    ROOMS = {("small", "a", False): 1}


@pytest.mark.parametrize("bug", [False, True])
def test_a_job_returns_to_the_only_machine_that_it_failed_on(bug: bool, monkeypatch: Patch) -> None:
    """Another job keeps the machine busy, so it is not returned; it has room, so none is rented."""
    if bug:
        monkeypatch.setattr(constants, "FAILED_MACHINE_AVOIDANCE_S", 1e9)

    async def story(world: World) -> None:
        world.spawn(world.user(_long_job(1, 2) | {"expectedS": 400.0}, None))
        await _wait_until(world, 60.0, lambda: len(world.present()) == 2)
        world.spawn(world.user(_long_job(2, 1) | {"expectedS": 20.0}, None))
        name = "run-000002"
        await _wait_until(world, 30.0, lambda: bool(world.present_of_job(name)))
        worker, task = world.present_of_job(name)[0]
        worker._exit(task, "error")
        worker.changed.set()
        failed_at = world.now
        await _wait_until(world, 89.0, lambda: bool(world.present_of_job(name)))
        assert world.now > failed_at + 30.0  # not at once, as the machine may be faulty
        await _wait_until(world, 60.0, lambda: world.jobs[name]["over"] == "done")

    if bug:
        with pytest.raises((AssertionError, Broken)):
            tell(story, 4, loss=0.0, kind=OneMachine)
    else:
        tell(story, 4, loss=0.0, kind=OneMachine)
