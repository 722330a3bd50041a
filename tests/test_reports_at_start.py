"""Copies of old reports that arrive at a new leader.

Guards against tasks that run twice, work placed on machines that no longer exist, working machines
taken for unreachable, and wrong run times, all because of reports from an earlier term.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from chalkgrade.leading.scheduling import RoundScheduler
from chalkgrade.leading.term import Term
from chalkgrade.machines.fleet import Fleet
from chalkgrade.machines.response_tracking import ResponseTracker
from chalkgrade.region.rules import Broken
from chalkgrade.region.world import World, play, tell
from chalkgrade.sharing.queues import Queues
from test_gap import _long_job
from test_membership import _acting_leader, _wait_until

Patch = pytest.MonkeyPatch


async def _new_term(world: World, seconds: float = 15.0) -> Term:
    """Restarts the leader; returns the next leader's term before any worker gets an answer."""
    old = _acting_leader(world)
    assert old is not None
    world.spawn(world.restart(old.settings.member, 5.0))

    def begun() -> bool:
        node = _acting_leader(world)
        return node is not None and node is not old and node.term is not None and node.term.ready

    end = world.now + seconds
    while not begun():
        assert world.now < end
        await asyncio.sleep(0.01)
    node = _acting_leader(world)
    assert node is not None and node.term is not None
    return node.term


async def _deliver(world: World, bodies: list[dict[str, Any]]) -> None:
    """Delivers old reports to every controller, one after the other."""
    for body in bodies:
        for member in world.members:
            if world.up(member):
                world.spawn(world.servers[member](body["host"], "POST", "/hello", body))
        await asyncio.sleep(0.02)


def _raise_failure(world: World) -> None:
    if world.failure is not None:
        raise world.failure


def _any_end(patch: Patch) -> None:
    """Takes any end in a report for the end of the attempt."""
    patch.setattr(Fleet, "is_surely_ended", lambda self, machine, attempt, cause: True)


@pytest.mark.parametrize("bug", [False, True])
def test_an_end_in_an_earlier_session_does_not_end_the_attempt(
    bug: bool, monkeypatch: Patch
) -> None:
    """A task fails while its machine is cut off and is launched again in the next session.

    A new leader that gets the old report first must not start the task elsewhere as well.
    """
    if bug:
        _any_end(monkeypatch)

    async def story(world: World) -> None:
        spec = _long_job(1, 1) | {"expectedS": 80.0}
        world.spawn(world.user(spec, None))
        for number in range(2, 5):  # other machines that could run the task
            world.spawn(world.user(_long_job(number, 3) | {"expectedS": 60.0}, None))
        name = spec["nameId"]

        def runs() -> bool:
            return any(task.status == "running" for _, task in world.present_of_job(name))

        await _wait_until(world, 90.0, runs)
        worker, task = world.present_of_job(name)[0]
        # Its session ends while it is cut off; the first report of the next one arrives at once.
        left = worker.lease_from + world.LEASE_S - world.now
        world.cut({worker.name}, set(world.members), left + 0.02, False)
        await asyncio.sleep(1.0)
        worker._exit(task, "error")
        copy = worker.report()
        assert [e["cause"] for e in copy["tasks"] if e["task"] == task.name] == ["error"]
        await _wait_until(world, 30.0, lambda: worker.tenure > copy["tenure"] and runs())
        assert (
            world.present_of_job(name)[0][0] is worker
        )  # the same attempt again, on the same machine
        assert (task.name, task.number) in worker.tasks
        world.cut({worker.name}, set(world.members), 8.0, False)
        term = await _new_term(world)
        await _deliver(world, [copy])
        await asyncio.sleep(0.3)
        machine = term.fleet.machines[worker.name]
        assert machine.tenure == copy["tenure"]  # the copy was accepted before any current report
        assert term.leadership.may_act()
        await asyncio.sleep(25.0)
        _raise_failure(world)
        assert (task.name, task.number) in worker.tasks, "given up, though it was there"
        await _wait_until(world, 200.0, lambda: world.jobs[name]["over"] == "done")

    if bug:
        with pytest.raises((Broken, AssertionError), match="ran_twice|given up"):
            tell(story, 3, loss=0.0)
    else:
        tell(story, 3, loss=0.0)


def _always_confirmed(patch: Patch) -> None:
    """Takes every reporting machine for an existing one."""
    patch.setattr(Fleet, "is_unconfirmed", lambda self, machine: False)


def _confirmed_by_two_reports(patch: Patch) -> None:
    """Takes two reports, or one without a token, as enough evidence of a machine."""
    seen: dict[str, int] = {}
    original = Fleet.accept_report

    def take(self: Fleet, report: Any, size: int = 0) -> Any:
        machine = original(self, report, size)
        if machine is not None:
            seen[report.host] = seen.get(report.host, 0) + 1
        return machine

    def doubtful(self: Fleet, machine: Any) -> bool:
        few = seen.get(machine.name, 0) < 2
        return machine.listed_at is None and few and machine.token not in (0, self.token)

    patch.setattr(Fleet, "accept_report", take)
    patch.setattr(Fleet, "is_unconfirmed", doubtful)


@pytest.mark.parametrize("bug", [None, _always_confirmed, _confirmed_by_two_reports])
def test_copies_do_not_bring_back_a_removed_machine(
    bug: Callable[[Patch], None] | None, monkeypatch: Patch
) -> None:
    """Copies of its first report, without a token, and of several later ones, while work waits."""
    if bug is not None:
        bug(monkeypatch)

    async def story(world: World) -> None:
        for number in range(1, 17):
            world.spawn(world.user(_long_job(number, 11) | {"expectedS": 200.0}, None))
        await _wait_until(world, 60.0, lambda: len(world.present()) > 20)
        chosen = sorted(world.workers)[:3]
        first = [world.workers[name].report() | {"tasks": []} for name in chosen]
        for body in first:
            body |= {"seq": 1, "baton": 0}
        later = [[body | {"seq": 9}, body | {"seq": 10, "baton": 3}] for body in first[1:]]
        for name in chosen:
            world.cloud.remove(name)
        await asyncio.sleep(2 * world.settings.cluster.cloud.list_lag_s + 35.0)  # in no list now
        term = await _new_term(world)
        rows = [body for pair in later for body in pair]
        await _deliver(world, [*first, *rows])
        await asyncio.sleep(0.1)
        assert all(term.fleet.machines[name].reported_at is not None for name in chosen)
        assert any(len(job.waiting) for job in term.jobs.values())
        for _ in range(40):
            await asyncio.sleep(0.25)
            given = [n for n in chosen if n in term.fleet.machines]
            assert not any(term.fleet.machines[n].attempts for n in given), "work for the gone"
        await _wait_until(world, 40.0, lambda: not set(chosen) & set(term.fleet.machines))

    if bug is None:
        tell(story, 4, loss=0.0)
    else:
        with pytest.raises(AssertionError, match="work for the gone"):
            tell(story, 4, loss=0.0)


def _never_cleared(patch: Patch) -> None:
    """Ignores that a report with this term's token proves a received response."""
    original = ResponseTracker.on_report

    def reported(self: ResponseTracker, *args: Any) -> None:
        self._has_shown_token = True
        original(self, *args)

    patch.setattr(ResponseTracker, "on_report", reported)


@pytest.mark.parametrize("bug", [False, True])
def test_copies_do_not_make_a_machine_unreachable(bug: bool, monkeypatch: Patch) -> None:
    """Three copies in a row look like three lost answers, since no machine receives them."""
    if bug:
        _never_cleared(monkeypatch)

    async def story(world: World) -> None:
        for number in range(1, 5):
            world.spawn(world.user(_long_job(number, 4) | {"expectedS": 60.0}, None))
        await _wait_until(world, 60.0, lambda: len(world.present()) >= 12)
        names = sorted({worker.name for worker, _ in world.present()})
        copies = [world.workers[name].report() for _ in range(4) for name in names]
        term = await _new_term(world)
        await _deliver(world, copies)
        taken = [n for n in names if term.fleet.machines[n].response_tracker._lost_responses >= 2]
        assert taken  # answers to copies count as lost until the machine itself reports
        await asyncio.sleep(2 * world.REPORT_S)
        _raise_failure(world)
        unreachable = [
            n
            for n in names
            if n in world.workers and term.fleet.machines[n].response_tracker.responses_lost
        ]
        assert not unreachable, "deaf"

    if bug:
        with pytest.raises(AssertionError, match="deaf"):
            tell(story, 5, loss=0.0)
    else:
        tell(story, 5, loss=0.0)


class CopiesForNextLeader(World):
    """Holds copies of half of all reports for each next leader, while leaders end."""

    first = 0  # copies that were a leader's first report of their machine
    behind = 0  # copies that arrived after a current report

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.spawn(self._go_on())

    async def _go_on(self) -> None:
        while True:
            await self.resend_to_next_leader(1e6, 0.5)
            await asyncio.sleep(0.2)

    async def deliver_old_report(self, source: str, member: str, body: Any) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        if not self.up(member):
            return
        node = self.nodes[member]
        if node is not None and node.leadership.token and node.term is not None:
            known = node.term.fleet.machines.get(source)
            heard = known is not None and known.reported_at is not None
            type(self).behind += heard
            type(self).first += not heard
        self.old_reports_delivered += 1
        await self.servers[member](source, "POST", "/hello", body)

    def start_trouble(self, kind: int, seconds: float) -> None:
        """Restricts faults to ends of leaders, cut off or failing machines, and other members."""
        super().start_trouble([0, 1, 4, 8, 9, 10][kind % 6], seconds)


@pytest.mark.parametrize("seed", range(3))
def test_days_with_copies_for_each_next_leader(seed: int) -> None:
    """All jobs finish although each new leader gets copies of old reports, often first."""
    CopiesForNextLeader.first = CopiesForNextLeader.behind = 0
    world = play(seed + 40, jobs=30, kind=CopiesForNextLeader)
    assert (
        world.old_reports_delivered > 20
        and CopiesForNextLeader.first
        and CopiesForNextLeader.behind
    )
    assert not [name for name, job in world.jobs.items() if not job["over"]]
    assert world.longest_silence_s < 75.0


@pytest.mark.parametrize("bug", [False, True])
def test_runs_begun_under_an_earlier_leader_are_not_taken_for_short(
    bug: bool, monkeypatch: Patch
) -> None:
    """Their start was not observed; counted from the first report, estimates would fall."""
    seen: list[float] = []
    original = Queues.observe_run

    def observe_run(self: Queues, job: Any, seconds: float) -> None:
        seen.append(seconds)
        original(self, job, seconds)

    monkeypatch.setattr(Queues, "observe_run", observe_run)
    if bug:
        before = RoundScheduler.on_ended

        def on_ended(self: RoundScheduler, machine: Any, attempt: Any, cause: str) -> None:
            attempt.placed_at = attempt.placed_at or 1.0
            before(self, machine, attempt, cause)

        monkeypatch.setattr(RoundScheduler, "on_ended", on_ended)

    async def story(world: World) -> None:
        for number in range(1, 5):
            world.spawn(world.user(_long_job(number, 4) | {"expectedS": 30.0}, None))
        await _wait_until(world, 60.0, lambda: len(world.present()) == 16)
        await asyncio.sleep(12.0)
        await _new_term(world)
        carried = {task.name for _, task in world.present()}
        assert carried
        seen.clear()
        await _wait_until(world, 120.0, lambda: all(job["over"] for job in world.jobs.values()))
        assert all(seconds > 0.45 * 30.0 for seconds in seen), "short"

    if bug:
        with pytest.raises(AssertionError, match="short"):
            tell(story, 6, loss=0.0)
    else:
        tell(story, 6, loss=0.0)
