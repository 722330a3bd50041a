"""One-way network failures, late copies of reports, and leaders cut off with their workers.

Guards against machines that get work but never receive an order, machines that late copies of
their reports bring back, and work lost while a leader is cut off.
"""

import asyncio
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner

from chalkgrade.cli import main
from chalkgrade.experiments import troubles
from chalkgrade.machines.fleet import Fleet, Report
from chalkgrade.machines.response_tracking import ResponseTracker
from chalkgrade.outside import NoAnswer
from chalkgrade.record.jobs import END_PREFIX, JOB_PREFIX
from chalkgrade.region.loop import ManualClock, VirtualLoop
from chalkgrade.region.rules import Broken, History
from chalkgrade.region.world import World, play, tell
from chalkgrade.serving.lookups import Lookups
from test_membership import _acting_leader, _wait_until
from test_restarts import _any_machine_job

EXAMPLE = Path(__file__).parent.parent / "examples" / "first-day.toml"
LEASE_S, REPORT_S = 12.0, 3.0


def test_lost_responses_need_evidence() -> None:
    """Evidence is three lost answers in a row or a session's; late answers and silence are not."""
    key = (1, 1)
    tracker = ResponseTracker()
    for number in range(2, 9):
        tracker.on_response_sent(key, 100.0, 104.0)  # held for 4 s, too late for the worker
        key = (1, number)
        tracker.on_report(key, False, set(), 104.0 + number, LEASE_S)
    assert not tracker.responses_lost
    for number in range(9, 12):
        assert not tracker.responses_lost
        tracker.on_response_sent(key, 200.0, 200.1)
        key = (1, number)
        tracker.on_report(key, False, set(), 200.0 + number, LEASE_S)
    assert tracker.responses_lost
    tracker.launch_orders_sent.add(("run-1/0", 1))
    tracker.on_response_sent(key, 300.0, 300.0)
    tracker.on_report((1, 99), True, {("run-1/0", 1)}, 303.0, LEASE_S)
    assert not tracker.responses_lost  # it lists what was launched


@pytest.mark.parametrize("case", ["few", "zone", "new leader"])
def test_work_of_machines_without_responses_moves_and_they_come_back(case: str) -> None:
    """Machines report but receive nothing for 60 s: their jobs must be done elsewhere in time."""

    async def story(world: World) -> None:
        names = []
        for number in range(1, 13):
            made = _any_machine_job(
                world, number, tasks=4, expectedS=25.0, pullGb=0.1, oneZone=False
            )
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
            node = _acting_leader(world)
            if node is not None and node.term is not None and world.now > begun + 40.0:
                for name in chosen:
                    machine = node.term.fleet.machines.get(name)
                    if machine is not None and world._find_cut("n-0", name) is not None:
                        assert not node.term.fleet.usable(machine), name
            await asyncio.sleep(0.5)
        for job in world.jobs.values():  # the failures are not attributed to the jobs
            assert job["over"] == "done"

    tell(story, loss=0.0)


def test_a_machine_without_responses_that_gets_more_attempts_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without the detection, attempts are placed there one after the other and jobs stay open."""
    monkeypatch.setattr(ResponseTracker, "responses_lost", property(lambda self: False))
    with pytest.raises(AssertionError):
        test_work_of_machines_without_responses_moves_and_they_come_back("few")


def test_a_copy_does_not_bring_back_a_machine_that_is_gone() -> None:
    """A new leader knows nothing of a machine that was removed before its term.

    Neither several copies of its reports nor one of its first report, which carries no token, may
    make the machine usable.
    """
    clock = ManualClock()
    new_leader = Fleet(clock, 50, LEASE_S, REPORT_S)
    made = Report("host-9", 2, 40, 41, "quad", "a")
    machine = new_leader.accept_report(made)
    assert machine is not None and not new_leader.usable(machine)
    assert new_leader.accept_report(made) is None and not new_leader.usable(machine)
    assert new_leader.accept_report(Report("host-9", 2, 41, 41, "quad", "a")) is machine
    assert not new_leader.usable(machine)
    machine.listed_at = clock.now()
    assert new_leader.usable(machine)
    new = new_leader.accept_report(Report("host-10", 1, 1, 0, "quad", "a"))
    assert new is not None and not new_leader.usable(new)
    assert new_leader.accept_report(Report("host-10", 1, 2, 50, "quad", "a")) is new
    assert new_leader.usable(new)  # it carries this term's token, so the machine exists
    new_leader.get_or_add("host-11", "quad", "a", True).rented_this_term = True
    hired = new_leader.accept_report(Report("host-11", 1, 1, 0, "quad", "a"))
    # Rented in this term, so no report can be older.
    assert hired is not None and new_leader.usable(hired)


def test_a_copy_at_another_controller_is_not_a_returning_worker() -> None:
    """Late copies at a follower must not look like a worker that could not reach the leader."""

    async def story(world: World) -> None:
        leader = _acting_leader(world)
        assert leader is not None
        other = next(n for n in world.nodes.values() if n is not None and n is not leader)
        reception, lead = other.report_router, leader.settings.member
        before = other.views.by_member[lead].returned_at
        for seq, status in ((7, 421), (7, 421), (5, 421)):
            made = {"host": "host-900", "tenure": 2, "seq": seq, "baton": 1, "hosttype": "small"}
            raw = msgspec.json.encode(made | {"site": "a", "tasks": []})
            answer = await world.run_as(other.settings.member, other.handle("POST", "/hello", raw))
            assert answer == (status, {"reportsTo": lead})
        assert not reception.relayed_since and not reception.returns_at
        assert other.views.by_member[lead].returned_at == before
        # A newer report at once: the earlier ones were copies, and this is from the worker.
        raw = raw.replace(b'"seq":5', b'"seq":8')
        answer = await world.run_as(other.settings.member, other.handle("POST", "/hello", raw))
        assert answer == (421, {"reportsTo": lead}) and not reception.relayed_since
        assert other.views.by_member[lead].returned_at == before
        await asyncio.sleep(1.0)
        raw = raw.replace(b'"seq":8', b'"seq":9')
        await world.run_as(other.settings.member, other.handle("POST", "/hello", raw))
        assert other.views.by_member[lead].returned_at > before  # newer and later: it did come back

    tell(story, loss=0.0)


@pytest.mark.parametrize("hold", [False, True])
def test_a_leader_cut_off_with_its_workers_releases_them_in_time(hold: bool) -> None:
    """No work is lost, and the next leader gets the workers within seconds rather than 20 s."""

    async def story(world: World) -> None:
        for number in range(1, 7):
            world.spawn(world.user(_any_machine_job(world, number, tasks=4, expectedS=40.0), None))
        await asyncio.sleep(25.0)
        for _ in range(3):
            node = _acting_leader(world)
            assert node is not None
            old = node.settings.member
            world.isolate(old, 25.0, hold)
            cut_at, before = world.now, world.lease_ends
            await asyncio.sleep(5.0)
            heir = _acting_leader(world)
            assert heir is not None and heir.settings.member != old and heir.term is not None
            before_cut = set(world.workers)

            def moved(heir: Any = heir, before_cut: set[str] = before_cut) -> bool:
                seen = heir.term.fleet.machines
                fresh = [
                    n for n in before_cut & world.workers.keys() if n in seen and seen[n].token
                ]
                return len(fresh) >= 0.9 * len(before_cut & world.workers.keys())

            await _wait_until(world, 9.0, moved)
            assert world.now - cut_at < 14.0
            assert not world.nodes[old].accepts_users()  # type: ignore[union-attr]
            await asyncio.sleep(20.0)
            assert world.lease_ends == before
            if world.failure is not None:
                raise world.failure

    tell(story, loss=0.0)


def test_in_a_state_outage_workers_stay_with_a_leader_that_is_cut_off() -> None:
    """Workers that find no other leader return to the old one: nobody else can lead then."""

    async def story(world: World) -> None:
        for number in range(1, 5):
            world.spawn(world.user(_any_machine_job(world, number, tasks=4, expectedS=40.0), None))
        await asyncio.sleep(25.0)
        node = _acting_leader(world)
        assert node is not None
        world.store.outage(18.0)
        world.isolate(node.settings.member, 18.0, False)
        before = world.lease_ends
        await asyncio.sleep(30.0)
        assert world.lease_ends == before
        if world.failure is not None:
            raise world.failure

    tell(story, loss=0.0)


class OneWayFaults(World):
    """Makes half of the faults one-way failures, copies and isolated leaders."""

    KINDS = 21

    def start_trouble(self, kind: int, seconds: float) -> None:
        super().start_trouble(kind if kind % 2 else 17 + kind // 2 % 4, seconds)


@pytest.mark.parametrize("seed", range(8))
def test_a_day_of_one_way_faults(seed: int) -> None:
    """All jobs finish, and users get answers, on a random day with many of these faults."""
    world = play(seed + 300, jobs=30, kind=OneWayFaults)
    assert not [name for name, job in world.jobs.items() if not job["over"]]
    assert world.longest_silence_s < 20.0
    assert max(world.largest_start_delays().values()) < 240.0


@pytest.mark.parametrize("seed", range(4))
def test_days_of_faults_with_pipelines_and_wide_jobs(seed: int) -> None:
    """Runs days of the faults experiment, which can also run alone over more seeds."""
    found = troubles.play(seed)
    assert not found["broken"], found["why"]
    assert found["lost"] == found["copies_believed"] == 0
    assert found["silent_s_max"] < 75.0 and found["largest_begin_s_max"] < 240.0
    assert found["served_least"] >= 0.5


# -- the checks themselves ------------------------------------------------------------------


def _history() -> tuple[History, VirtualLoop]:
    loop = VirtualLoop()
    return World(loop, 1), loop


def test_silence_is_found_and_counted_only_after_faults() -> None:
    """The check fails if a user gets no answer for 75 s, counted from the end of faults."""
    world, loop = _history()
    try:
        world.jobs["run-1"] = {"spec": spec_of("run-1"), "aborted": None, "accepted": True}
        loop._virtual.now = 1000.0
        world.calm_since = 1000.0
        for at in range(1000, 1075, 5):
            loop._virtual.now = float(at)
            world.record_poll("run-1", False)
        loop._virtual.now = 1074.0
        world.record_poll("run-1", True)
        loop._virtual.now = 1080.0
        world.record_poll("run-1", False)
        loop._virtual.now = 1154.0
        world.record_poll("run-1", False)
        world.calm_since = 1150.0  # faults lasted until then
        loop._virtual.now = 1220.0
        world.record_poll("run-1", False)
        loop._virtual.now = 1226.0
        with pytest.raises(Broken, match="forgotten: nothing was told of run-1"):
            world.record_poll("run-1", False)
    finally:
        loop.close()


def spec_of(name: str, tasks: int = 1, jobclass: str = "array") -> dict[str, Any]:
    plain = {"nameId": name, "jobclass": jobclass, "owner": "red", "shape": "batch"}
    return {**plain, "tasks": tasks, "vcpus": 1.0, "expectedS": 1.0}


def test_the_largest_jobs_of_a_class_are_checked_separately() -> None:
    """A few large jobs that are served late must not vanish among many small ones."""
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
def test_invalid_faults_in_a_day_give_one_line(fault: str, wrong: str, tmp_path: Path) -> None:
    """An invalid fault in a day's file exits with one line that names the field."""
    text = EXAMPLE.read_text()
    begin = text.find("[[faults]]")
    kept = text[:begin] if begin >= 0 else text
    day = tmp_path / "day.toml"
    day.write_text(f"{kept}\n[[faults]]\nat = 3.0\n{fault}\n")
    found = CliRunner().invoke(main, ["play", str(day)])
    assert found.exit_code == 2
    assert wrong in found.output and found.output.count("\n") == 1


def _one_by_one(patch: pytest.MonkeyPatch) -> None:
    """Looks up each job with a request of its own, and refuses when over the limit."""

    async def present(self: Lookups, name: str) -> set[str]:
        if not self._ledger.queries.try_acquire():
            raise NoAnswer("too many questions")
        return await self._ledger.existing_keys([JOB_PREFIX + name, END_PREFIX + name])

    patch.setattr(Lookups, "existing_job_keys", present)


@pytest.mark.parametrize("bug", [False, True])
def test_no_lookup_starves_behind_others(bug: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """Restarted nodes must answer for ended jobs during a flood of requests for unknown ids."""
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
                    world.send_request(
                        "GET", f"/v2/runs/run-{world.rng.randrange(10**6, 10**7)}", b""
                    )
                )

        async def user(name: str) -> None:
            silent[name] = world.now
            while world.now < end:
                await asyncio.sleep(world.rng.uniform(2.0, 5.0))
                answer = await world.send_request("GET", f"/v2/runs/{name}", b"")
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
