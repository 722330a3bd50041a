"""Old reports at a leader that has just begun: what is believed of them, and what never is."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from chalkgrade.leading.scheduling import Scheduling
from chalkgrade.leading.term import Term
from chalkgrade.machines.fleet import Fleet
from chalkgrade.machines.hearing import Hearing
from chalkgrade.region.rules import Broken
from chalkgrade.region.world import World, play, tell
from chalkgrade.sharing.queues import Queues
from test_gap import _long
from test_membership import _leader, _until

Patch = pytest.MonkeyPatch


async def _new_term(world: World, seconds: float = 15.0) -> Term:
    """End who leads; the term of the next one, before any worker was answered in it."""
    old = _leader(world)
    assert old is not None
    world.spawn(world.restart(old.settings.member, 5.0))

    def begun() -> bool:
        node = _leader(world)
        return node is not None and node is not old and node.term is not None and node.term.ready

    end = world.now + seconds
    while not begun():
        assert world.now < end
        await asyncio.sleep(0.01)
    node = _leader(world)
    assert node is not None and node.term is not None
    return node.term


async def _give(world: World, bodies: list[dict[str, Any]]) -> None:
    """Old reports arrive at every controller, one after the other."""
    for body in bodies:
        for member in world.members:
            if world.up(member):
                world.spawn(world.servers[member](body["host"], "POST", "/hello", body))
        await asyncio.sleep(0.02)


def _told(world: World) -> None:
    if world.failure is not None:
        raise world.failure


def _any_end(patch: Patch) -> None:
    """What was done before: whatever a report lists as ended is over."""
    patch.setattr(Fleet, "over", lambda self, machine, attempt, cause: True)


@pytest.mark.parametrize("bug", [False, True])
def test_an_end_in_an_earlier_session_is_not_the_end(bug: bool, monkeypatch: Patch) -> None:
    """A task failed while its machine was cut off, was launched again into the next session, and
    a new leader gets the old report first: it must not start the task elsewhere beside it."""
    if bug:
        _any_end(monkeypatch)

    async def story(world: World) -> None:
        spec = _long(1, 1) | {"expectedS": 80.0}
        world.spawn(world.user(spec, None))
        for number in range(2, 5):  # machines that the task could go to
            world.spawn(world.user(_long(number, 3) | {"expectedS": 60.0}, None))
        name = spec["nameId"]

        def runs() -> bool:
            return any(task.status == "running" for _, task in world.of_job(name))

        await _until(world, 90.0, runs)
        worker, task = world.of_job(name)[0]
        # Its session ends while it is cut off, and the first report of the next one comes at once.
        left = worker.lease_from + world.LEASE_S - world.now
        world.cut({worker.name}, set(world.members), left + 0.02, False)
        await asyncio.sleep(1.0)
        worker._exit(task, "error")
        copy = worker.report()
        assert [e["cause"] for e in copy["tasks"] if e["task"] == task.name] == ["error"]
        await _until(world, 30.0, lambda: worker.tenure > copy["tenure"] and runs())
        assert world.of_job(name)[0][0] is worker  # the same attempt once more, same machine
        assert (task.name, task.number) in worker.tasks
        world.cut({worker.name}, set(world.members), 8.0, False)
        term = await _new_term(world)
        await _give(world, [copy])
        await asyncio.sleep(0.3)
        machine = term.fleet.machines[worker.name]
        assert machine.tenure == copy["tenure"]  # it was taken, before any true report
        assert term.leadership.acting()
        await asyncio.sleep(25.0)
        _told(world)
        assert (task.name, task.number) in worker.tasks, "given up, though it was there"
        await _until(world, 200.0, lambda: world.jobs[name]["over"] == "done")

    if bug:
        with pytest.raises((Broken, AssertionError), match="ran_twice|given up"):
            tell(story, 3, loss=0.0)
    else:
        tell(story, 3, loss=0.0)


def _no_doubt(patch: Patch) -> None:
    patch.setattr(Fleet, "doubtful", lambda self, machine: False)


def _doubted_once(patch: Patch) -> None:
    """What was done before: two reports, or one without a token, were enough."""
    seen: dict[str, int] = {}
    plain = Fleet.take

    def take(self: Fleet, report: Any) -> Any:
        machine = plain(self, report)
        if machine is not None:
            seen[report.host] = seen.get(report.host, 0) + 1
        return machine

    def doubtful(self: Fleet, machine: Any) -> bool:
        few = seen.get(machine.name, 0) < 2
        return machine.listed_at is None and few and machine.baton not in (0, self.token)

    patch.setattr(Fleet, "take", take)
    patch.setattr(Fleet, "doubtful", doubtful)


@pytest.mark.parametrize("bug", [None, _no_doubt, _doubted_once])
def test_copies_do_not_bring_back_a_machine_that_is_gone(
    bug: Callable[[Patch], None] | None, monkeypatch: Patch
) -> None:
    """Its first report, without a token, and several in a row; work waits that would fit it."""
    if bug is not None:
        bug(monkeypatch)

    async def story(world: World) -> None:
        for number in range(1, 17):
            world.spawn(world.user(_long(number, 11) | {"expectedS": 200.0}, None))
        await _until(world, 60.0, lambda: len(world.present()) > 20)
        chosen = sorted(world.workers)[:3]
        first = [world.workers[name].report() | {"tasks": []} for name in chosen]
        for body in first:
            body |= {"seq": 1, "baton": 0}
        later = [[body | {"seq": 9}, body | {"seq": 10, "baton": 3}] for body in first[1:]]
        for name in chosen:
            world.cloud.remove(name)
        await asyncio.sleep(2 * world.settings.cluster.cloud.list_lag_s + 35.0)  # in no list
        term = await _new_term(world)
        rows = [body for pair in later for body in pair]
        await _give(world, [*first, *rows])
        await asyncio.sleep(0.1)
        assert all(term.fleet.machines[name].reported_at is not None for name in chosen)
        assert any(len(job.waiting) for job in term.jobs.values())
        for _ in range(40):
            await asyncio.sleep(0.25)
            given = [n for n in chosen if n in term.fleet.machines]
            assert not any(term.fleet.machines[n].attempts for n in given), "work for the gone"
        await _until(world, 40.0, lambda: not set(chosen) & set(term.fleet.machines))

    if bug is None:
        tell(story, 4, loss=0.0)
    else:
        with pytest.raises(AssertionError, match="work for the gone"):
            tell(story, 4, loss=0.0)


def _never_cleared(patch: Patch) -> None:
    """What was done before: that a report shows our token said nothing of the way back."""
    plain = Hearing.reported

    def reported(self: Hearing, *args: Any) -> None:
        self._ours = True
        plain(self, *args)

    patch.setattr(Hearing, "reported", reported)


@pytest.mark.parametrize("bug", [False, True])
def test_copies_make_no_sound_machine_deaf(bug: bool, monkeypatch: Patch) -> None:
    """Three copies in a row are three answers that nobody took."""
    if bug:
        _never_cleared(monkeypatch)

    async def story(world: World) -> None:
        for number in range(1, 5):
            world.spawn(world.user(_long(number, 4) | {"expectedS": 60.0}, None))
        await _until(world, 60.0, lambda: len(world.present()) >= 12)
        names = sorted({worker.name for worker, _ in world.present()})
        copies = [world.workers[name].report() for _ in range(4) for name in names]
        term = await _new_term(world)
        await _give(world, copies)
        taken = [n for n in names if term.fleet.machines[n].hearing._unheard >= 2]
        assert taken  # answers to copies counted, until the machine itself was heard
        await asyncio.sleep(2 * world.REPORT_S)
        _told(world)
        deaf = [n for n in names if n in world.workers and term.fleet.machines[n].hearing.deaf]
        assert not deaf, "deaf"

    if bug:
        with pytest.raises(AssertionError, match="deaf"):
            tell(story, 5, loss=0.0)
    else:
        tell(story, 5, loss=0.0)


class ForNext(World):
    """Copies of half of all reports, kept for each next leader, while leaders end."""

    first = 0  # copies that were the first that a leader got of their machine
    behind = 0  # and those that came after a true one

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.spawn(self._go_on())

    async def _go_on(self) -> None:
        while True:
            await self.keep_for_next(1e6, 0.5)
            await asyncio.sleep(0.2)

    async def give(self, source: str, member: str, body: Any) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        if not self.up(member):
            return
        node = self.nodes[member]
        if node is not None and node.leadership.token and node.term is not None:
            known = node.term.fleet.machines.get(source)
            heard = known is not None and known.reported_at is not None
            type(self).behind += heard
            type(self).first += not heard
        self.given += 1
        await self.servers[member](source, "POST", "/hello", body)

    def trouble(self, kind: int, seconds: float) -> None:
        """Leaders end, machines are cut off or fail tasks, others come and go."""
        super().trouble([0, 1, 4, 8, 9, 10][kind % 6], seconds)


@pytest.mark.parametrize("seed", range(3))
def test_days_with_copies_for_each_next_leader(seed: int) -> None:
    ForNext.first = ForNext.behind = 0
    world = play(seed + 40, jobs=30, kind=ForNext)
    assert world.given > 20 and ForNext.first and ForNext.behind
    assert not [name for name, job in world.jobs.items() if not job["over"]]
    assert world.silent_most < 75.0


@pytest.mark.parametrize("bug", [False, True])
def test_what_ran_under_an_earlier_leader_is_no_short_run(bug: bool, monkeypatch: Patch) -> None:
    """Its first report to us is not its beginning: estimates would fall with each new leader."""
    seen: list[float] = []
    plain = Queues.observe_run

    def observe_run(self: Queues, job: Any, seconds: float) -> None:
        seen.append(seconds)
        plain(self, job, seconds)

    monkeypatch.setattr(Queues, "observe_run", observe_run)
    if bug:
        before = Scheduling.on_ended

        def on_ended(self: Scheduling, machine: Any, attempt: Any, cause: str) -> None:
            attempt.placed_at = attempt.placed_at or 1.0
            before(self, machine, attempt, cause)

        monkeypatch.setattr(Scheduling, "on_ended", on_ended)

    async def story(world: World) -> None:
        for number in range(1, 5):
            world.spawn(world.user(_long(number, 4) | {"expectedS": 30.0}, None))
        await _until(world, 60.0, lambda: len(world.present()) == 16)
        await asyncio.sleep(12.0)
        await _new_term(world)
        carried = {task.name for _, task in world.present()}
        assert carried
        seen.clear()
        await _until(world, 120.0, lambda: all(job["over"] for job in world.jobs.values()))
        assert all(seconds > 0.45 * 30.0 for seconds in seen), "short"

    if bug:
        with pytest.raises(AssertionError, match="short"):
            tell(story, 6, loss=0.0)
    else:
        tell(story, 6, loss=0.0)
