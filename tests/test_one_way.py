"""Machines that hear nothing, late copies of reports, controllers cut off with their workers."""

import asyncio
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner

from chalkgrade.cli import main
from chalkgrade.experiments import troubles
from chalkgrade.machines.fleet import Fleet, Report
from chalkgrade.machines.hearing import Hearing
from chalkgrade.outside import NoAnswer
from chalkgrade.record.jobs import END_PREFIX, JOB_PREFIX
from chalkgrade.region.loop import HandClock, VirtualLoop
from chalkgrade.region.rules import Broken, History
from chalkgrade.region.world import World, play, tell
from chalkgrade.serving.lookups import Lookups
from test_membership import _leader, _until
from test_restarts import _spec

EXAMPLE = Path(__file__).parent.parent / "examples" / "first-day.toml"
LEASE_S, REPORT_S = 12.0, 3.0


def test_a_machine_is_deaf_by_evidence_only() -> None:
    """Three answers in a row, or a session's; held answers and silence prove nothing."""
    key = (1, 1)
    heard = Hearing()
    for number in range(2, 9):
        heard.answers(key, 100.0, 104.0)  # held for four seconds: it came too late anyway
        key = (1, number)
        heard.reported(key, False, set(), 104.0 + number, LEASE_S)
    assert not heard.deaf
    for number in range(9, 12):
        assert not heard.deaf
        heard.answers(key, 200.0, 200.1)
        key = (1, number)
        heard.reported(key, False, set(), 200.0 + number, LEASE_S)
    assert heard.deaf
    heard.launched.add(("run-1/0", 1))
    heard.answers(key, 300.0, 300.0)
    heard.reported((1, 99), True, {("run-1/0", 1)}, 303.0, LEASE_S)
    assert not heard.deaf  # it lists what was launched


@pytest.mark.parametrize("case", ["few", "zone", "new leader"])
def test_machines_that_hear_nothing_lose_their_work_to_others_and_come_back(case: str) -> None:
    async def story(world: World) -> None:
        names = []
        for number in range(1, 13):
            made = _spec(world, number, tasks=4, expectedS=25.0, pullGb=0.1, oneZone=False)
            del world.jobs[made["nameId"]]
            names.append(made["nameId"])
            world.spawn(world.user(made, None))
        await asyncio.sleep(25.0)
        busy = sorted({worker.name for worker, _ in world.present()})
        chosen = busy[: len(busy) // 2]
        if case == "zone":
            chosen = sorted(n for n, worker in world.workers.items() if worker.zone == "a")
        world.deafen(set(chosen), 60.0)
        begun = world.now
        if case == "new leader":
            await asyncio.sleep(4.0)
            for member in world.leaders():
                await world.restart(member, 0.2)
        done: list[str] = []
        while len(done) < len(names):
            assert world.now < begun + 150.0, sorted(set(names) - set(done))
            if world.failure is not None:
                raise world.failure
            done = [name for name in names if world.jobs[name]["over"]]
            node = _leader(world)
            if node is not None and node.term is not None and world.now > begun + 40.0:
                for name in chosen:
                    machine = node.term.fleet.machines.get(name)
                    if machine is not None and world._cut("n-0", name) is not None:
                        assert not node.term.fleet.usable(machine), name
            await asyncio.sleep(0.5)
        for job in world.jobs.values():  # not blamed on the job
            assert job["over"] == "done"

    tell(story, loss=0.0)


def test_a_deaf_machine_given_one_attempt_after_another_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Hearing, "deaf", property(lambda self: False))
    with pytest.raises(AssertionError):
        test_machines_that_hear_nothing_lose_their_work_to_others_and_come_back("few")


def test_a_copy_does_not_bring_back_a_machine_that_is_gone() -> None:
    """Under a new leader, whose memory and lists know nothing of it.

    Neither several copies nor one of its very first report, which shows no token yet: such
    were believed once.
    """
    clock = HandClock()
    young = Fleet(clock, 50, LEASE_S, REPORT_S)
    made = Report("host-9", 2, 40, 41, "quad", "a")
    machine = young.take(made)
    assert machine is not None and not young.usable(machine)
    assert young.take(made) is None and not young.usable(machine)
    assert young.take(Report("host-9", 2, 41, 41, "quad", "a")) is machine
    assert not young.usable(machine)
    machine.listed_at = clock.now()
    assert young.usable(machine)
    new = young.take(Report("host-10", 1, 1, 0, "quad", "a"))
    assert new is not None and not young.usable(new)
    assert young.take(Report("host-10", 1, 2, 50, "quad", "a")) is new
    assert young.usable(new)  # it has heard us, so it is there
    young.machine("host-11", "quad", "a", True).hired = True
    hired = young.take(Report("host-11", 1, 1, 0, "quad", "a"))
    assert hired is not None and young.usable(hired)  # rented by us: no report is older


def test_a_copy_at_another_controller_is_no_worker_that_came_back() -> None:
    async def story(world: World) -> None:
        leader = _leader(world)
        assert leader is not None
        other = next(n for n in world.nodes.values() if n is not None and n is not leader)
        reception, lead = other.report_router, leader.settings.member
        before = other.views.of[lead].returned_at
        for seq, status in ((7, 421), (7, 421), (5, 421)):
            made = {"host": "host-900", "tenure": 2, "seq": seq, "baton": 1, "hosttype": "small"}
            raw = msgspec.json.encode(made | {"site": "a", "tasks": []})
            answer = await world.within(other.settings.member, other.handle("POST", "/hello", raw))
            assert answer == (status, {"reportsTo": lead})
        assert not reception.relayed_since and not reception.returns_at
        assert other.views.of[lead].returned_at == before
        # A newer one at once: what came before was a copy, and this is the worker itself.
        raw = raw.replace(b'"seq":5', b'"seq":8')
        answer = await world.within(other.settings.member, other.handle("POST", "/hello", raw))
        assert answer == (421, {"reportsTo": lead}) and not reception.relayed_since
        assert other.views.of[lead].returned_at == before
        await asyncio.sleep(1.0)
        raw = raw.replace(b'"seq":8', b'"seq":9')
        await world.within(other.settings.member, other.handle("POST", "/hello", raw))
        assert other.views.of[lead].returned_at > before  # a newer report: it did come back

    tell(story, loss=0.0)


@pytest.mark.parametrize("hold", [False, True])
def test_a_leader_cut_off_with_its_workers_lets_them_go_in_time(hold: bool) -> None:
    """They lose no work, and the next leader has them within seconds, not after 20."""

    async def story(world: World) -> None:
        for number in range(1, 7):
            world.spawn(world.user(_spec(world, number, tasks=4, expectedS=40.0), None))
        await asyncio.sleep(25.0)
        for _ in range(3):
            node = _leader(world)
            assert node is not None
            old = node.settings.member
            world.isolate(old, 25.0, hold)
            cut_at, before = world.now, world.lease_ends
            await asyncio.sleep(5.0)
            heir = _leader(world)
            assert heir is not None and heir.settings.member != old and heir.term is not None
            there = set(world.workers)

            def moved(heir: Any = heir, there: set[str] = there) -> bool:
                seen = heir.term.fleet.machines
                fresh = [n for n in there & world.workers.keys() if n in seen and seen[n].baton]
                return len(fresh) >= 0.9 * len(there & world.workers.keys())

            await _until(world, 9.0, moved)
            assert world.now - cut_at < 14.0
            assert not world.nodes[old].accepts_users()  # type: ignore[union-attr]
            await asyncio.sleep(20.0)
            assert world.lease_ends == before
            if world.failure is not None:
                raise world.failure

    tell(story, loss=0.0)


def test_in_an_outage_for_all_workers_stay_though_controllers_are_parted() -> None:
    """Who comes back to an old leader after a look around is kept: nobody else can lead."""

    async def story(world: World) -> None:
        for number in range(1, 5):
            world.spawn(world.user(_spec(world, number, tasks=4, expectedS=40.0), None))
        await asyncio.sleep(25.0)
        node = _leader(world)
        assert node is not None
        world.store.outage(18.0)
        world.isolate(node.settings.member, 18.0, False)
        before = world.lease_ends
        await asyncio.sleep(30.0)
        assert world.lease_ends == before
        if world.failure is not None:
            raise world.failure

    tell(story, loss=0.0)


class Troubled(World):
    """Half of all troubles are of the new kinds."""

    KINDS = 21

    def trouble(self, kind: int, seconds: float) -> None:
        super().trouble(kind if kind % 2 else 17 + kind // 2 % 4, seconds)


@pytest.mark.parametrize("seed", range(8))
def test_a_day_of_the_new_troubles(seed: int) -> None:
    world = play(seed + 300, jobs=30, kind=Troubled)
    assert not [name for name, job in world.jobs.items() if not job["over"]]
    assert world.silent_most < 20.0
    assert max(world.largest_begin().values()) < 240.0


@pytest.mark.parametrize("seed", range(4))
def test_days_of_troubles_with_pipelines_and_wide_jobs(seed: int) -> None:
    """The experiment's days; long searches run it by itself."""
    found = troubles.play(seed)
    assert not found["broken"], found["why"]
    assert found["lost"] == found["copies_believed"] == 0
    assert found["silent_s_max"] < 75.0 and found["largest_begin_s_max"] < 240.0
    assert found["served_least"] >= 0.5


# -- the checks themselves ------------------------------------------------------------------


def _history() -> tuple[History, VirtualLoop]:
    loop = VirtualLoop()
    return World(loop, 1), loop


def test_silence_is_found_and_counts_only_once_troubles_are_over() -> None:
    world, loop = _history()
    try:
        world.jobs["run-1"] = {"spec": spec_of("run-1"), "aborted": None, "accepted": True}
        loop._virtual.now = 1000.0
        world.calm_from = 1000.0
        for at in range(1000, 1075, 5):
            loop._virtual.now = float(at)
            world.questioned("run-1", False)
        loop._virtual.now = 1074.0
        world.questioned("run-1", True)
        loop._virtual.now = 1080.0
        world.questioned("run-1", False)
        loop._virtual.now = 1154.0
        world.questioned("run-1", False)
        world.calm_from = 1150.0  # trouble lasted until then
        loop._virtual.now = 1220.0
        world.questioned("run-1", False)
        loop._virtual.now = 1226.0
        with pytest.raises(Broken, match="forgotten: nothing was told of run-1"):
            world.questioned("run-1", False)
    finally:
        loop.close()


def spec_of(name: str, tasks: int = 1, jobclass: str = "array") -> dict[str, Any]:
    plain = {"nameId": name, "jobclass": jobclass, "owner": "red", "shape": "batch"}
    return {**plain, "tasks": tasks, "vcpus": 1.0, "expectedS": 1.0}


def test_the_largest_jobs_of_a_class_are_looked_at_by_themselves() -> None:
    world, loop = _history()
    try:
        for number in range(20):
            tasks = 500 if number < 2 else 2
            made = spec_of(f"run-{number}", tasks)
            world.jobs[made["nameId"]] = {"spec": made, "accepted": True, "at": 1000.0}
            world.jobs[made["nameId"]] |= {"over": "done", "first": 1010.0, "aborted": None}
        loop._virtual.now = 1900.0
        assert world.unserved() == []
        for name in ("run-0", "run-1"):
            world.jobs[name]["over"] = None
        assert world.unserved() == ["the largest of array 0.00"]
        world.jobs["run-0"]["over"] = world.jobs["run-1"]["over"] = "done"
        world.jobs["run-1"]["first"] = 1245.0
        assert world.unserved() == ["one of the largest of array began after 245 s"]
    finally:
        loop.close()


@pytest.mark.parametrize(
    ("fault", "wrong"),
    [
        ('kind = "copies"\nshare = 1.5', "faults[0].share: must be over 0 and at most 1, is 1.5"),
        ('kind = "copies"\nlate = [9.0, 2.0]', "faults[0].late: must be two rising times"),
        ('kind = "deaf"\ncount = 0', "faults[0].count: must be 1 or more, is 0"),
        ('kind = "deaf"\nzone = "nowhere"', "faults[0].zone: 'nowhere' is not one of"),
        ('kind = "isolate"\nwho = "nobody"', "faults[0].who: 'nobody' is not one of"),
        ('kind = "one-way"', "faults[0].kind: "),
    ],
)
def test_wrong_troubles_in_a_day_are_one_plain_line(fault: str, wrong: str, tmp_path: Path) -> None:
    text = EXAMPLE.read_text()
    begin = text.find("[[faults]]")
    kept = text[:begin] if begin >= 0 else text
    day = tmp_path / "day.toml"
    day.write_text(f"{kept}\n[[faults]]\nat = 3.0\n{fault}\n")
    found = CliRunner().invoke(main, ["play", str(day)])
    assert found.exit_code == 2
    assert wrong in found.output and found.output.count("\n") == 1


def _one_by_one(patch: pytest.MonkeyPatch) -> None:
    async def present(self: Lookups, name: str) -> set[str]:
        if not self._ledger.asking.take():
            raise NoAnswer("too many questions")
        return await self._ledger.present([JOB_PREFIX + name, END_PREFIX + name])

    patch.setattr(Lookups, "existing_job_keys", present)


@pytest.mark.parametrize("bug", [False, True])
def test_no_jobs_questions_are_last_for_ever(bug: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """Jobs that ended long ago, at nodes that know none, beside a storm about unknown ids."""
    if bug:
        _one_by_one(monkeypatch)
    silent: dict[str, float] = {}

    async def story(world: World) -> None:
        names = [f"run-{number:06d}" for number in range(1, 301)]
        for name in names:
            world.store._apply([{"write": END_PREFIX + name, "v": {"status": "done", "tasks": 1}}])
        for member in world.members:
            await world.restart(member, 0.1)
        await asyncio.sleep(12.0)
        end = world.now + 70.0

        async def storm() -> None:
            while world.now < end:
                await asyncio.sleep(world.rng.uniform(0.0, 0.04))
                world.spawn(
                    world.ask("GET", f"/v2/runs/run-{world.rng.randrange(10**6, 10**7)}", b"")
                )

        async def user(name: str) -> None:
            silent[name] = world.now
            while world.now < end:
                await asyncio.sleep(world.rng.uniform(2.0, 5.0))
                answer = await world.ask("GET", f"/v2/runs/{name}", b"")
                if answer is not None and answer[0] == 200:
                    silent.pop(name)
                    return

        for _ in range(4):
            world.spawn(storm())
        for name in names:
            world.spawn(user(name))
        await asyncio.sleep(60.0)

    class Small(World):
        STATE = {"rps": 50, "write_rps": 20, "txn_ops": 16, "value_kb": 16}

    tell(story, 3, loss=0.0, kind=Small)
    assert bool(silent) == bug, len(silent)
