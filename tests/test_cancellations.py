"""Cancellations during a handover, a machine's hang, a last task's end, or a loss of the lead.

As in test_limits, the checks are where tasks run, what users are told, and when the leader key
was written.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any

import pytest
from msgspec import structs

from chalkgrade.leading import reports
from chalkgrade.leading.term import Term
from chalkgrade.machines.fleet import Machine
from chalkgrade.record.registry import JobRegistry
from chalkgrade.region.rules import Broken
from chalkgrade.region.world import World, tell
from chalkgrade.state.leadership import LEADER_KEY, Leadership
from test_gap import _long_job
from test_limits import Limited, _change_leader, _hand_over, _work
from test_membership import _acting_leader, _wait_until

Patch = pytest.MonkeyPatch

# -- cancellations during a handover ------------------------------------------------------------

LAUNCH_IN_FLIGHT_S = 4.0  # a launch sent before a cancellation was reported may arrive this late


class DelayedHandover(Limited):
    """A world that delays the commit that moves the leader key, before and after its execution."""

    COMMIT_DELAY_S = 0.03

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.moving = False  # such a commit is in progress
        self.on_move: Callable[[str], None] = lambda when: None
        self.moves: list[tuple[float, float, float]] = []  # times: received, executed, answered
        self.late_starts: list[str] = []
        plain = self.store.handle

        async def handle(source: str, method: str, path: str, body: bytes) -> Any:
            if path != "/commit" or LEADER_KEY.encode() not in body.partition(b'"apply"')[2]:
                return await plain(source, method, path, body)
            came = self.now
            self.on_move("before")
            await asyncio.sleep(self.COMMIT_DELAY_S)
            answer = await plain(source, method, path, body)
            executed = self.now
            self.on_move("inside")
            await asyncio.sleep(self.COMMIT_DELAY_S)
            self.on_move("after")
            self.moves.append((came, executed, self.now))
            return answer

        self.servers["state"] = lambda *request: handle(*request)

    def enter(self, worker: Any, task: Any) -> None:
        told = self.jobs[task.spec["nameId"]]["aborted"]
        if told is not None and self.now > told + LAUNCH_IN_FLIGHT_S:
            self.late_starts.append(task.name)
        super().enter(worker, task)


class Cancellations:
    """The cancellations around a commit that moves the leader key, with their times."""

    def __init__(self, world: DelayedHandover) -> None:
        self.world = world
        self.asked: dict[str, tuple[str, str, float]] = {}  # job -> member, phase, time
        self.told: dict[str, float] = {}  # job -> when its user was told of the end

    async def ask(self, name: str, whom: str, when: str) -> None:
        """Cancel at one controller, every 50 ms; then read and cancel again at all of them."""
        world = self.world
        self.asked[name] = (whom, when, world.now)
        world.jobs[name]["asked"] = True
        repeats = []
        while world.jobs[name]["over"] is None:
            repeats.append(world.spawn(world.abort(name, whom)))
            await asyncio.sleep(0.05)
            if len(repeats) > 40:  # that controller is down
                whom = world.rng.choice([m for m in world.members if world.up(m)])
        self.told[name] = world.now
        for _ in range(20):
            for member in filter(world.up, world.members):
                world.spawn(world.query_status(name, member))
                world.spawn(world.abort(name, member))
            await asyncio.sleep(world.rng.uniform(0.005, 0.3))


async def _cancel_during_handover(world: DelayedHandover, how: str, seed: int) -> Cancellations:
    """Change the leader while users cancel at the old leader, the next and a third node."""
    rng = random.Random(seed)
    names = []
    for number in range(1, 28):
        owner = ("red", "blue", "green")[number % 3]
        spec = _work(number, owner, tasks=3, pullGb=0.0)
        names.append(spec["nameId"])
        world.spawn(world.user(spec, None))
    await asyncio.sleep(20.0)
    assert all(world.jobs[name]["accepted"] for name in names)
    node = _acting_leader(world)
    assert node is not None
    old = node.settings.member
    others = [member for member in world.members if member != old]
    left, cancellations = iter(names), Cancellations(world)

    def on_move(when: str) -> None:
        for whom in (old, *others):
            for _ in range(2):
                name = next(left, None)
                if name is not None:
                    world.spawn(cancellations.ask(name, whom, when))

    world.on_move = on_move
    world.moves.clear()
    for whom in (old, *others) * 2:
        name = next(left)
        at = rng.uniform(0.0, 0.06)  # its commit may precede or follow the key's
        world.loop.call_later(
            at, lambda n=name, w=whom: world.spawn(cancellations.ask(n, w, "early"))
        )
    await asyncio.sleep(0.05)
    await _change_leader(world, how)
    await asyncio.sleep(world.CANCEL_S + 8.0)
    if world.failure is not None:
        raise world.failure
    return cancellations


def _cancelled_in_a_handover(how: str, seed: int) -> Cancellations:
    found: list[Cancellations] = []

    async def scenario(world: World) -> None:
        assert isinstance(world, DelayedHandover)
        found.append(await _cancel_during_handover(world, how, seed))

    tell(scenario, seed, loss=0.0, kind=DelayedHandover)
    return found[0]


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("how", ["given", "ended", "back", "refused"])
def test_cancellations_in_the_seconds_of_a_handover(how: str, seed: int) -> None:
    """A reported cancellation holds at all nodes, and the job's tasks end in time.

    Guards against a cancellation that only the old leader's memory has, one that the next leader
    doesn't find in the record, and starts of cancelled jobs by a leader that doesn't know it.
    """
    cancellations = _cancelled_in_a_handover(how, seed)
    world = cancellations.world
    came, executed, answered = world.moves[0]
    assert (
        cancellations.told.keys() == cancellations.asked.keys() and len(cancellations.asked) >= 21
    )
    for when in ("early", "before", "inside", "after"):
        whom = {w for w, at, _ in cancellations.asked.values() if at == when}
        assert whom == set(world.members), (when, whom)
    times = [at for _, _, at in cancellations.asked.values()]
    assert min(times) < came and came in times and executed in times and max(times) >= answered
    assert not any(world.present_of_job(name) for name in cancellations.asked)
    assert world.max_stop_delay_s < world.CANCEL_S and not world.late_starts


def _tells_before_it_is_durable(patch: Patch) -> None:
    """Bug: users are told of a cancellation that is not durable."""
    plain = Term.abort

    async def abort(self: Term, name: str) -> str | None:
        job = self.jobs.get(name)
        if job is None or not self.is_serving():
            return await plain(self, name)
        self.registry.abort(job)
        return "withdrawn"

    patch.setattr(Term, "abort", abort)


def _forgets_cancellations(patch: Patch) -> None:
    """Bug: a new leader ignores that a record says cancelled."""
    plain = JobRegistry.add

    def add(self: JobRegistry, value: Any, *args: Any, **more: Any) -> None:
        plain(self, structs.replace(value, aborted=False), *args, **more)

    patch.setattr(JobRegistry, "add", add)


def _kills_nothing(patch: Patch) -> None:
    """Bug: a new leader doesn't kill the tasks of cancelled jobs."""
    plain = Term._load

    async def load(self: Term) -> None:
        await plain(self)
        for job in self.jobs.values():
            for attempt in job.live.values():
                attempt.kill_requested_at = None

    patch.setattr(Term, "_load", load)


@pytest.mark.parametrize(
    ("bug", "rule"),
    [
        (_tells_before_it_is_durable, "went_back"),
        (_forgets_cancellations, "ran_cancelled"),
        (_kills_nothing, "ran_cancelled"),
    ],
)
def test_bugs_in_a_handover_are_found(
    bug: Callable[[Patch], None], rule: str, monkeypatch: Patch
) -> None:
    """The handover test must detect each of these bugs."""
    bug(monkeypatch)
    for seed in range(1, 7):
        for how in ("given", "back"):
            try:
                _cancelled_in_a_handover(how, seed)
            except Broken as found:
                assert rule in str(found)
                return
            except AssertionError:
                pass
    pytest.fail(f"nothing broke {rule}")


def test_a_planned_handover_is_not_undone_by_the_old_leaders_own_look(monkeypatch: Patch) -> None:
    """The state service takes 30 ms for the commit that moves the key, and 5 ms for a read.

    The old leader's loop read its own key meanwhile, took it for a leftover and revoked its
    lease. So the commit failed, and an election followed.
    """
    for bug in (False, True):
        if bug:
            never = property(lambda self: False, lambda self, value: None)
            monkeypatch.setattr(Leadership, "_handing_over", never, raising=False)
        given: list[bool] = []

        async def scenario(world: World, given: list[bool] = given) -> None:
            for _ in range(4):
                await _wait_until(world, 30.0, lambda: _acting_leader(world))
                node = _acting_leader(world)
                assert node is not None
                given.append(await _hand_over(world, node))
                await asyncio.sleep(2.0)

        tell(scenario, 5, loss=0.0, kind=DelayedHandover)
        assert given == [not bug] * 4


# -- a machine that hangs and resumes -----------------------------------------------------------


@pytest.mark.parametrize("save", [0.0, 3.0])
@pytest.mark.parametrize("hang_s", [2.0, 5.0, 8.0, 20.0, 60.0])
def test_a_cancelled_task_ends_though_its_machine_hangs_and_goes_on(
    hang_s: float, save: float
) -> None:
    """A worker that resumes within its lease gets a kill order; after it, it stops by itself.

    The cloud is unreachable, so that the machine can't be returned instead.
    """
    found: list[tuple[float, float]] = []

    async def scenario(world: World) -> None:
        found.append(await _cancel_during_hang(world, hang_s, save))

    for seed in (1, 2, 3):
        tell(scenario, seed, loss=0.0)
    for gone_s, hung_s in found:
        lease = World.LEASE_S + 0.5 + World.REPORT_S  # it may have reported just before
        assert gone_s < min(hung_s + 4.0 + World.REPORT_S + save, lease)
        assert gone_s < World.CANCEL_S


async def _cancel_during_hang(world: World, hang_s: float, save: float) -> tuple[float, float]:
    spec = _long_job(1) | ({"savepointS": 5.0, "flushS": save} if save else {})
    name = spec["nameId"]
    world.spawn(world.user(spec, None))
    await _wait_until(world, 120.0, lambda: len(world.present_of_job(name)) == 4)
    world.cut(set(world.members), {"cloud"}, 300.0, False)
    began = world.now
    for host in {worker.name for worker, _ in world.present_of_job(name)}:
        world.loop.freeze(host, began + hang_s)
    world.jobs[name]["asked"] = True
    while world.jobs[name]["over"] is None:
        await world.abort(name)
    assert world.now < began + hang_s and len(world.present_of_job(name)) == 4
    await asyncio.sleep(hang_s + world.CANCEL_S)
    assert not world.present_of_job(name)
    if world.failure is not None:
        raise world.failure
    return world.max_stop_delay_s, hang_s


def test_a_machine_that_is_not_told_again_after_it_hung_is_found(monkeypatch: Patch) -> None:
    """Bug: a kill order sent once counts as executed, although its answer was lost.

    The cancelled task would run on; the test must detect that.
    """
    plain = reports.orders

    def orders(machine: Machine, *args: Any, **more: Any) -> list[dict[str, Any]]:
        told = {key for key, attempt in machine.attempts.items() if attempt.kill_sent}
        found = plain(machine, *args, **more)
        return [row for row in found if (row["task"], row["try"]) not in told]

    monkeypatch.setattr(reports, "orders", orders)

    async def scenario(world: World) -> None:
        # The answer with the kill order is lost, as if it came while the machine hangs.
        spec = _long_job(1)
        name = spec["nameId"]
        world.spawn(world.user(spec, None))
        await _wait_until(world, 120.0, lambda: len(world.present_of_job(name)) == 4)
        world.cut(set(world.members), {"cloud"}, 300.0, False)
        hosts = {worker.name for worker, _ in world.present_of_job(name)}
        world.cut(set(world.members), hosts, 6.0, False, one_way=True)
        world.jobs[name]["asked"] = True
        while world.jobs[name]["over"] is None:
            await world.abort(name)
        await asyncio.sleep(world.CANCEL_S + 5.0)
        if world.failure is not None:
            raise world.failure

    with pytest.raises(Broken, match="ran_cancelled"):
        tell(scenario, 1, loss=0.0)
    monkeypatch.undo()
    tell(scenario, 1, loss=0.0)


# -- cancellations, reads and repeated submissions at the end of the last task -------------------


async def _race_with_end(world: World) -> tuple[int, int, int]:
    """Run four one-task jobs a second; at each end users cancel, read and resubmit at all nodes.

    Returns how many cancellations came within 0.1 s of the end, and how many jobs were done and
    withdrawn.
    """
    rng = random.Random(world.rng.random())
    names, near = [], 0

    async def meet(name: str) -> None:
        nonlocal near
        job = world.jobs[name]
        await _wait_until(world, 300.0, lambda: world.present_of_job(name))
        task = world.present_of_job(name)[0][1]
        await _wait_until(world, 300.0, lambda: task.status != "fetching" and task.began)
        ends_at = task.began + world.task_run_s[task.name]
        await asyncio.sleep(max(0.0, ends_at - world.now + rng.uniform(-0.1, 0.1)))
        job["asked"] = True
        near += abs(world.now - ends_at) <= 0.1
        for _ in range(4):
            for member in world.members:
                world.spawn(world.abort(name, member))
                world.spawn(world.query_status(name, member))
                world.spawn(world.submit(name, member))
            await asyncio.sleep(rng.uniform(0.0, 0.05))
        while job["over"] is None:
            await world.abort(name)
            await asyncio.sleep(0.2)
        await asyncio.sleep(1.0)
        for member in world.members:
            world.spawn(world.query_status(name, member))
            world.spawn(world.abort(name, member))

    for number in range(1, 81):
        owner = rng.choice(["red", "blue", "green"])
        spec = _work(number, owner, tasks=1, expectedS=rng.uniform(1.0, 4.0))
        names.append(spec["nameId"])
        world.spawn(world.user(spec, None))
        world.spawn(meet(spec["nameId"]))
        await asyncio.sleep(0.25)
    await _wait_until(
        world, 120.0, lambda: world.failure or all(world.jobs[name]["over"] for name in names)
    )
    await asyncio.sleep(3.0)
    if world.failure is not None:
        raise world.failure
    over = [world.jobs[name]["over"] for name in names]
    return near, over.count("done"), over.count("withdrawn")


def _outcomes(seed: int) -> tuple[int, int, int]:
    found: list[tuple[int, int, int]] = []

    async def scenario(world: World) -> None:
        found.append(await _race_with_end(world))

    tell(scenario, seed, loss=0.0, kind=Limited)
    return found[0]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_users_who_cancel_ask_and_repeat_at_the_end_of_the_last_task(seed: int) -> None:
    """End and cancellation race; the outcome that was reported first must hold at all nodes.

    There are no other faults.
    """
    near, done, withdrawn = _outcomes(seed)
    assert near == 80 and done > 5 and withdrawn > 5


def _cancelled_whatever_became_of_it(patch: Patch) -> None:
    """Bug: a cancellation is reported as successful although the job was done."""
    plain = Term.abort

    async def abort(self: Term, name: str) -> str | None:
        return "withdrawn" if await plain(self, name) else None

    patch.setattr(Term, "abort", abort)


def test_an_end_that_is_called_a_cancellation_is_found(monkeypatch: Patch) -> None:
    """The race test must detect an end that is reported as a cancellation."""
    _cancelled_whatever_became_of_it(monkeypatch)
    with pytest.raises(Broken, match="went_back"):
        _outcomes(1)


# -- cancelled when the leader loses the state service, with an outage a second later -----------


async def _cancel_before_outage(world: World, seed: int) -> dict[str, int]:
    """Let the state service refuse the leader while users cancel, and everyone a second later.

    Returns how many cancellations were reported before the outage, how many of these jobs had
    tasks then, and how many cancellations were reported later.
    """
    rng = random.Random(seed)
    names = []
    for number in range(1, 13):
        spec = _work(number, ("red", "blue", "green")[number % 3], tasks=2)
        names.append(spec["nameId"])
        world.spawn(world.user(spec, None))
    await _wait_until(world, 120.0, lambda: len(world.present()) >= 20)
    node = _acting_leader(world)
    assert node is not None
    old, now = node.settings.member, world.now
    world.loop.call_later(0.2, world.store.unavailable_until.__setitem__, old, now + 120.0)
    world.loop.call_later(1.2, world.store.outage, world.CANCEL_S + 30.0)

    async def ask(name: str) -> None:
        await asyncio.sleep(0.2 + rng.uniform(-0.09, 0.02))
        world.jobs[name]["asked"] = True
        while world.jobs[name]["over"] is None and world.now < now + 100.0:
            for member in world.members:
                world.spawn(world.abort(name, member))
            await asyncio.sleep(rng.uniform(0.02, 0.2) if world.now < now + 1.5 else 2.0)

    for name in names:
        world.spawn(ask(name))
    told: dict[str, bool] = {}  # job -> whether it had tasks when its user was told
    while world.now < now + 1.2:
        await asyncio.sleep(0.01)
        for name in names:
            if world.jobs[name]["over"] and name not in told:
                told[name] = bool(world.present_of_job(name))
    running = sum(told.values())
    await asyncio.sleep(world.CANCEL_S + 50.0)
    await _wait_until(
        world, 120.0, lambda: world.failure or all(world.jobs[n]["over"] for n in names)
    )
    await asyncio.sleep(5.0)
    if world.failure is not None:
        raise world.failure
    return {"told": len(told), "running": running, "later": len(names) - len(told)}


def _count_cancellations(seeds: Iterable[int]) -> dict[str, int]:
    found = {"told": 0, "running": 0, "later": 0}

    async def scenario(world: World, seed: int = 0) -> None:
        for what, count in (await _cancel_before_outage(world, world.rng.randrange(10**6))).items():
            found[what] += count

    for seed in seeds:
        tell(scenario, seed, loss=0.0, kind=Limited)
    return found


def test_cancelled_as_the_leader_is_refused_and_a_second_later_all_are() -> None:
    """Tasks of jobs reported as cancelled must end in time although nobody can lead.

    The leader keeps its workers for a while after it loses the state service.
    """
    found = _count_cancellations(range(1, 4))
    # Some users were told just before the outage, with tasks running; the others only later.
    assert found["told"] >= 8 and found["running"] >= 8 and found["later"] >= 8, found


def test_a_leader_that_only_keeps_its_workers_and_stops_nothing_is_found(
    monkeypatch: Patch,
) -> None:
    """Bug: an answer that may not launch tasks has no kill orders either."""
    plain = reports.orders

    def orders(*args: Any, launches: bool) -> list[dict[str, Any]]:
        return plain(*args, launches=launches) if launches else []

    monkeypatch.setattr(reports, "orders", orders)
    with pytest.raises(Broken, match="ran_cancelled"):
        _count_cancellations(range(1, 4))
