"""Jobs that wait for others: never too early, never orphaned, never forgotten."""

import asyncio
from typing import Any

import msgspec
import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from chalkgrade.pipelines import part as pipelines_part
from chalkgrade.pipelines.graph import Graph
from chalkgrade.pipelines.slack import inherit
from chalkgrade.record.jobs import Job, JobSpec, JobValue
from chalkgrade.record.oplog import OpLog
from chalkgrade.record.registry import JobRegistry
from chalkgrade.region.rules import Broken
from chalkgrade.region.world import World, play, tell
from chalkgrade.serving.dependency_check import DependencyCheck
from piped import Piped
from test_placement_rentals import spec

LIMIT_S = 1.0  # from the durable end of a stage to the start of the next, where room is there


# -- the graph alone ------------------------------------------------------------------


def _job(name: str, waits: list[str], log: OpLog, **changes: Any) -> Job:
    job = Job(JobValue(spec(nameId=name, waitsOn=waits or None, **changes), 0.0), 1, log)
    if waits:
        job.block()
    return job


class Pipelines(RuleBasedStateMachine):
    """Submit, done, abort, takeover, late reads: held, free and cancelled as the facts say.

    Truth is what is durable: `ends`, and the aborts of jobs that are not over.
    """

    @initialize()
    def begin(self) -> None:
        self.named: dict[str, list[str]] = {}
        self.ends: dict[str, str] = {}
        self.aborts: set[str] = set()
        self.started: set[str] = set()  # some attempt is durable
        self.lead()

    def lead(self) -> None:
        """A new term: only what is durable is known."""
        self.log = OpLog(16 * 1024)
        self.jobs: dict[str, Job] = {}
        self.over: dict[str, str] = {}
        self.graph = Graph(self.jobs, self.over, lambda job: None, lambda job: None)
        for name in self.named.keys() - self.ends.keys():
            self.jobs[name] = _job(name, self.named[name], self.log)
            self.jobs[name].aborted = name in self.aborts
            if name in self.started:
                self.jobs[name].page_of(0)
        for job in list(self.jobs.values()):
            self.graph.enter(job, 0.0)

    @rule(data=st.data(), count=st.integers(0, 4))
    def submit(self, data: st.DataObject, count: int) -> None:
        name = f"run-{len(self.named):06d}"
        known = sorted(self.named)
        some = st.lists(st.sampled_from(known or [""]), max_size=count, unique=True)
        waits = data.draw(some) if known else []
        self.named[name] = waits
        self.jobs[name] = _job(name, waits, self.log)
        self.graph.enter(self.jobs[name], 0.0)

    def free(self) -> list[str]:
        return sorted(n for n, job in self.jobs.items() if not job.is_blocked and not job.aborted)

    @precondition(lambda self: self.free())
    @rule(data=st.data(), end=st.booleans())
    def run(self, data: st.DataObject, end: bool) -> None:
        name = data.draw(st.sampled_from(self.free()))
        self.jobs[name].page_of(0)
        self.started.add(name)
        if end:
            self.finish(name, "done")

    def finish(self, name: str, status: str) -> None:
        self.ends[name] = status
        job = self.jobs.pop(name)
        self.over[name] = status
        self.graph.left(job)
        self.graph.settle(name, status, 5.0)

    @precondition(lambda self: self.jobs)
    @rule(data=st.data(), end=st.booleans())
    def abort(self, data: st.DataObject, end: bool) -> None:
        name = data.draw(st.sampled_from(sorted(self.jobs)))
        self.aborts.add(name)
        self.jobs[name].aborted = True
        self.graph.aborted(self.jobs[name])
        if end:
            self.finish(name, "withdrawn")

    @precondition(lambda self: any(job.aborted for job in self.jobs.values()))
    @rule(data=st.data())
    def cancelled_ends(self, data: st.DataObject) -> None:
        gone = sorted(name for name, job in self.jobs.items() if job.aborted)
        self.finish(data.draw(st.sampled_from(gone)), "withdrawn")

    @rule()
    def takeover(self) -> None:
        self.lead()

    @precondition(lambda self: self.graph.unknown)
    @rule(data=st.data())
    def read(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.graph.unknown)))
        if name in self.ends:
            self.graph.settle(name, self.ends[name], 5.0)

    def doomed(self, name: str) -> bool:
        """Something before it is cancelled, as far as durable facts say."""
        return any(
            self.ends.get(before) == "withdrawn" or before in self.aborts or self.doomed(before)
            for before in self.named[name]
            if self.ends.get(before) != "done"
        )

    @invariant()
    def as_the_facts_say(self) -> None:
        for name, job in getattr(self, "jobs", {}).items():
            waits = [b for b in self.named[name] if self.ends.get(b) != "done"]
            if not job.is_blocked:
                assert not waits, f"{name} may run, {waits} are not done"
            elif not job.aborted and self.graph.sure(job):
                assert not self.doomed(name), f"{name} is not cancelled with what it needs"
                assert waits, f"{name} waits for nothing"
            if job.aborted:
                assert name in self.aborts or self.doomed(name)
            if job.is_blocked and not job.aborted:
                assert len(job.waiting) == 0 and not job.startable_count


TestPipelines = Pipelines.TestCase
TestPipelines.settings = hypothesis_settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)


def test_urgency_and_deadline_are_taken_from_successors_and_given_back() -> None:
    log = OpLog(16 * 1024)
    made = {
        "run-1": _job("run-1", [], log, urgency="best_effort"),
        "run-2": _job("run-2", ["run-1"], log, urgency="standard"),
        "run-3": _job("run-3", ["run-2"], log, urgency="high", dueS=100.0),
        "run-4": _job("run-4", ["run-1"], log, urgency="prod", dueS=500.0),
    }
    graph = Graph(made, {}, lambda job: None, lambda job: None)
    for job in made.values():
        graph.enter(job, 0.0)

    def dues(job: Job) -> list[float]:
        return (
            []
            if job.spec.dueS is None
            else [job.accepted_at + job.spec.dueS, job.accepted_at + 2 * job.spec.dueS]
        )

    inherit(graph, dues, lambda job: 10.0)
    assert made["run-1"].due_times == [80.0, 180.0] and made["run-2"].due_times == [90.0, 190.0]
    assert [job.spec.urgency for job in made.values()] == ["prod", "high", "high", "prod"]
    assert made["run-1"].submitted_spec.urgency == "best_effort"  # what is on record stays
    made["run-4"].aborted = True
    inherit(graph, dues, lambda job: 10.0)
    assert made["run-1"].spec.urgency == "high"
    made["run-3"].aborted = True
    inherit(graph, dues, lambda job: 10.0)
    assert made["run-1"].spec.urgency == "standard" and made["run-1"].due_times is None
    graph.left(made["run-2"])  # over before anything was worked out anew
    graph.left(made["run-4"])
    assert made["run-1"].spec.urgency == "best_effort"


# -- in the region ----------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(8))
def test_a_day_of_pipelines_under_troubles(seed: int) -> None:
    world = play(seed + 200, jobs=40, kind=Piped)
    assert sum(bool(job["spec"].get("waitsOn")) for job in world.jobs.values()) > 4
    assert not [name for name, job in world.jobs.items() if not job["over"]]


def _named(world: World, number: int, waits: list[str], **changes: Any) -> dict[str, Any]:
    plain: dict[str, Any] = {"jobclass": "small", "owner": "blue", "shape": "batch", "tasks": 2}
    plain |= {"oneZone": False, "spread": False, "hosttypes": None, "site": None, "standby": True}
    plain |= {"expectedS": 2.0, "vcpus": 1.0, "memoryGb": 1.0, "savepointS": 0.0, "dueS": None}
    plain |= {"urgency": "standard", "pullGb": 0.0}
    return world.spec(number, **(plain | {"waitsOn": waits} | changes))


async def _taken(world: World, made: dict[str, Any], member: str = "n-0") -> tuple[int, Any]:
    """Submit as its user would, until it is taken or refused, then go on asking."""
    name = made["nameId"]
    while True:
        node = world.nodes[member]
        assert node is not None
        raw = msgspec.json.encode(made)
        answer: tuple[int, Any] = await world.within(member, node.handle("POST", "/v2/runs", raw))
        if answer[0] != 503:
            break
        await asyncio.sleep(0.5)
    if answer[0] in (200, 201):
        spawned = world.jobs.get(name)
        if spawned is None:
            world.spawn(world.user(made, None))
            while not world.jobs.get(name, {}).get("accepted"):
                await asyncio.sleep(0.05)
    return answer


async def _over(world: World, names: list[str], within: float = 200.0) -> None:
    deadline = world.now + within
    while not all(world.jobs[name]["over"] for name in names):
        if world.failure is not None:
            raise world.failure
        assert world.now < deadline, [n for n in names if not world.jobs[n]["over"]]
        await asyncio.sleep(0.25)


def test_statuses_of_submissions_that_name_jobs() -> None:
    async def story(world: World) -> None:
        first = _named(world, 1, [])
        first["waitsOn"] = None
        assert (await _taken(world, first))[0] == 201
        service = _named(world, 2, [], shape="service", expectedS=0.0)
        assert (await _taken(world, service))[0] == 201
        for member in world.members:  # the leader, and others that ask it
            for waits, status in (
                (["run-000001"], 201),
                (["run-000001", "run-000001"], 201),
                ([], 201),
                (["run-777777"], 422),
                (["run-000001", "run-777777"], 422),
                (["run-000002"], 422),  # a service is never done
                ("run-000001", 400),
                ([1], 400),
                (["x/../y"], 400),
                ([f"run-{world.members.index(member) * 10 + 13:06d}"], 400),  # itself
            ):
                number = world.members.index(member) * 10 + 13
                made = _named(world, number, [])
                made["waitsOn"] = waits
                if status == 201:
                    made["nameId"] = f"run-{number * 100 + len(waits):06d}"
                found = await _taken(world, made, member)
                assert found[0] == status, (member, waits, found)
        # Without the state service nothing is known of others; who was accepted still was.
        world.store.outage(4.0)
        node = world.nodes["n-0"]
        assert node is not None
        unknown = msgspec.json.encode(_named(world, 900, ["run-000001", "run-777777"]))
        assert (await world.within("n-0", node.handle("POST", "/v2/runs", unknown)))[0] == 503

    tell(story, loss=0.0, kind=Piped)


def test_a_long_list_that_no_value_can_hold() -> None:
    """200 names of 100 characters under limits of 2 KiB; found again by the next leader."""

    async def story(world: World) -> None:
        world.store.fall()
        names = []
        for number in range(1, 21):
            made = _named(world, number, [], tasks=1, expectedS=0.5 if number < 20 else 12.0)
            made |= {"waitsOn": None, "nameId": f"{'r' * 80}-{number:019d}"}
            assert (await _taken(world, made))[0] == 201
            names.append(made["nameId"])
        last = _named(world, 500, names * 10, tasks=1)
        assert (await _taken(world, last))[0] == 201
        assert len([key for key in world.store.keys if key.startswith("cg/need/")]) > 1
        for member in world.leaders():
            await world.restart(member, 0.2)
        await _over(world, [*names, last["nameId"]])
        await asyncio.sleep(3.0)
        assert not [key for key in world.store.keys if key.startswith("cg/need/")]

    tell(story, loss=0.0, kind=Piped)


def test_a_stage_starts_within_a_second_of_the_durable_end_of_the_last() -> None:
    """A chain, a diamond and many on one, with idle machines there; also deep chains."""

    async def story(world: World) -> None:
        chain = [_named(world, n, [f"run-{n - 1:06d}"] if n > 1 else []) for n in range(1, 51)]
        chain[0]["waitsOn"] = None
        sides = [_named(world, n, ["run-000050"]) for n in (51, 52)]
        end = _named(world, 53, ["run-000051", "run-000052"])
        for made in (*chain, *sides, end):
            assert (await _taken(world, made))[0] == 201
        ends: dict[str, float] = {}
        while not world.jobs["run-000053"]["over"]:
            for key in [k for k in world.store.keys if k.startswith("cg/end/")]:
                ends.setdefault(key.removeprefix("cg/end/"), world.now)
            if world.failure is not None:
                raise world.failure
            await asyncio.sleep(0.02)
        pauses = []
        for made in (*chain[1:], *sides, end):
            begun = max(ends[name] for name in made["waitsOn"])
            pauses.append(world.jobs[made["nameId"]]["first"] - begun)
        pauses.sort()
        assert pauses[len(pauses) * 8 // 10] < LIMIT_S, pauses
        assert pauses[-1] < 4 * LIMIT_S, pauses  # all idle machines between two reports

    tell(story, loss=0.0, kind=Piped)


@pytest.mark.parametrize("case", ["led", "leader lost", "leader gone", "outage"])
def test_a_cascade_of_500_is_told_in_time_whoever_leads(case: str) -> None:
    """Before the changes for it are affordable, and by who only reads."""

    async def story(world: World) -> None:
        world.store.fall()
        first = _named(world, 1, [], expectedS=500.0, tasks=1)
        first["waitsOn"] = None
        assert (await _taken(world, first))[0] == 201
        waits = ["run-000001"]
        names = []
        for number in range(2, 502):
            made = _named(world, number, waits, tasks=1)
            if number % 50 == 0:
                waits = [made["nameId"]]
            names.append(made["nameId"])
            world.jobs[made["nameId"]] = {"spec": made, "aborted": None, "accepted": True}
            world.jobs[made["nameId"]] |= {"over": None, "at": world.now, "replicas": set()}
            node = world.nodes["n-1"]
            assert node is not None
            while True:
                raw = msgspec.json.encode(made)
                if (await world.within("n-1", node.handle("POST", "/v2/runs", raw)))[0] < 300:
                    break
        world.jobs["run-000001"]["asked"] = True
        while world.jobs["run-000001"]["aborted"] is None:
            answer = await world.send_request("POST", "/v2/runs/run-000001/abort", b"")
            if answer is not None and answer[0] == 200:
                world.record_status("run-000001", answer[1])
        told = world.now
        for member in world.leaders() if case in ("leader lost", "leader gone") else ():
            world.crash(member)
        if case == "leader gone":  # nobody can become leader: only reads are left
            for name, node in world.nodes.items():
                if node is not None:
                    node.leadership.is_eligible = lambda: False
                    assert name
        if case == "outage":
            world.store.outage(20.0)
        await asyncio.sleep(world.CANCEL_S - 2.0)
        right = 0
        while world.now < told + world.CANCEL_S + 12.0:
            name = world.rng.choice(names)
            answer = await world.send_request("GET", f"/v2/runs/{name}", b"")
            assert answer is None or answer[0] != 404
            if answer is not None and answer[0] == 200:
                world.record_status(name, answer[1])  # orphaned, went_back
                right += answer[1]["status"] == "withdrawn"
            await asyncio.sleep(0.1)
        assert right > 20
        if world.failure is not None:
            raise world.failure

    tell(story, loss=0.0, kind=Piped)


@pytest.mark.parametrize("off", [["leader"], ["state"], ["others"], ["state", "others"]])
def test_submissions_at_a_node_that_is_cut_off(off: list[str]) -> None:
    """Never 422 for an accepted name, never taken with one that nobody was told of."""

    async def story(world: World) -> None:
        first = _named(world, 1, [], expectedS=20.0)
        first["waitsOn"] = None
        assert (await _taken(world, first, world.leaders()[0]))[0] == 201
        lead = world.leaders()[0]
        member = next(name for name in world.members if name != lead)
        sides = {"leader": {lead}, "state": {"state"}, "others": set(world.members) - {member}}
        world.cut({member}, set().union(*(sides[word] for word in off)), 12.0, False)
        seen: set[int] = set()
        number = 10
        while world.now < 1030.0:
            for waits in (["run-000001"], ["run-777777"], ["run-000001", "run-777777"]):
                number += 1
                made = _named(world, number, waits)
                node = world.nodes[member]
                assert node is not None
                raw = msgspec.json.encode(made)
                answer = await world.within(member, node.handle("POST", "/v2/runs", raw))
                known = {201, 503} if waits == ["run-000001"] else {422, 503}
                assert answer[0] in known, (waits, answer)
                seen.add(answer[0])
                if answer[0] == 201:
                    world.spawn(world.user(made, None))
            await asyncio.sleep(1.0)
        assert {201, 422} <= seen  # at the latest when the cut is over
        await _over(world, list(world.jobs))

    tell(story, loss=0.0, kind=Piped)


@pytest.mark.parametrize("seed", range(3))
def test_controllers_in_a_cascade_of_restarts_with_a_slow_one(seed: int) -> None:
    """Every few seconds the next ends, as stages do; one computes late; limits fall between."""

    def prepare(world: World) -> None:
        assert isinstance(world, Piped)

        async def trouble() -> None:
            world.spawn(world.falls(world.pipeline_rng.uniform(5.0, 50.0)))
            while world.now < 1080.0:
                for member in world.pipeline_rng.sample(world.members, len(world.members)):
                    await asyncio.sleep(world.pipeline_rng.uniform(0.5, 4.0))
                    await world.restart(member, world.pipeline_rng.uniform(0.05, 2.0))
                slow = world.pipeline_rng.choice(world.members)
                world.loop.freeze(slow, world.now + world.pipeline_rng.uniform(0.3, 2.5))

        world.spawn(trouble())

    world = play(seed + 500, jobs=40, kind=Piped, troubled=False, prepare=prepare)
    assert not [name for name, job in world.jobs.items() if not job["over"]]


# -- bugs put in on purpose ---------------------------------------------------------------


def _by_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    plain = JobRegistry.update_ending

    def progressed(self: JobRegistry, job: Job) -> None:
        plain(self, job)
        if job.is_complete:
            self.on_job_ended(job, "done")

    monkeypatch.setattr(JobRegistry, "update_ending", progressed)


def _no_look_up(monkeypatch: pytest.MonkeyPatch) -> None:
    async def refusal(self: DependencyCheck, names: list[str], term: Any) -> None:
        return None

    monkeypatch.setattr(DependencyCheck, "dependency_rejection", refusal)


def _cascade_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    plain = Graph.enter

    def enter(self: Graph, job: Job, now: float) -> None:
        plain(self, job, now)
        for name in list(self.unknown):  # as if whoever is over had been done
            self.settle(name, "done", now)

    monkeypatch.setattr(Graph, "enter", enter)


def _not_held(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Job, "block", lambda self: None)
    monkeypatch.setattr(pipelines_part._Ready, "is_ready", lambda self, job: True)


def _never_cancelled(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Graph, "_cancel", lambda self, job: None)


@pytest.mark.parametrize(
    ("bug", "found"),
    [
        (_by_memory, "too_early"),
        (_no_look_up, "names no job"),
        (_cascade_lost, "too_early|orphaned|went_back"),
        (_not_held, "too_early"),
        (_never_cancelled, "orphaned|went_back"),
    ],
)
def test_bugs_put_in_on_purpose_are_found(
    bug: Any, found: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    bug(monkeypatch)
    with pytest.raises(Broken, match=found):
        for seed in range(12):
            play(seed + 200, jobs=40, kind=Piped)


def test_a_wanted_urgency_never_given_back_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """The check of the unit above fails on an `inherit` that only ever raises."""
    kept: dict[str, JobSpec] = {}
    plain = inherit

    def raises(graph: Graph, dues: Any, takes: Any) -> None:
        plain(graph, dues, takes)
        for name, job in graph.jobs.items():
            if name in kept and kept[name].urgency_rank > job.spec.urgency_rank:
                job.spec = kept[name]
            kept[name] = job.spec

    monkeypatch.setitem(globals(), "inherit", raises)
    with pytest.raises(AssertionError):
        test_urgency_and_deadline_are_taken_from_successors_and_given_back()
