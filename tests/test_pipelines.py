"""Jobs with dependencies: none starts too early, is left orphaned or is never released."""

import asyncio
from typing import Any

import msgspec
import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from chalkgrade.pipelines import part as pipelines_part
from chalkgrade.pipelines.graph import Graph
from chalkgrade.pipelines.slack import propagate_requirements
from chalkgrade.record.jobs import Job, JobSpec, JobValue
from chalkgrade.record.oplog import OpLog
from chalkgrade.record.registry import JobRegistry
from chalkgrade.region.rules import Broken
from chalkgrade.region.world import World, play, tell
from chalkgrade.serving.dependency_check import DependencyCheck
from piped import Piped
from test_placement_rentals import spec

LIMIT_S = 1.0  # from the durable end of a stage to the start of the next, with idle machines


# -- the dependency graph ------------------------------------------------------------------


def _job(name: str, waits: list[str], log: OpLog, **changes: Any) -> Job:
    job = Job(JobValue(spec(nameId=name, waitsOn=waits or None, **changes), 0.0), 1, log)
    if waits:
        job.block()
    return job


class Pipelines(RuleBasedStateMachine):
    """Guards against jobs released or cancelled otherwise than the durable facts say.

    The rules submit, run, end and abort jobs, change the leader and read ends late. The durable
    facts are `ends` and the aborts of jobs that are not over.
    """

    @initialize()
    def begin(self) -> None:
        self.named: dict[str, list[str]] = {}
        self.ends: dict[str, str] = {}
        self.aborts: set[str] = set()
        self.started: set[str] = set()  # jobs with a durable attempt
        self.lead()

    def lead(self) -> None:
        """Begins a new term, which knows durable facts only."""
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
            self.graph.add_job(job, 0.0)

    @rule(data=st.data(), count=st.integers(0, 4))
    def submit(self, data: st.DataObject, count: int) -> None:
        name = f"run-{len(self.named):06d}"
        known = sorted(self.named)
        some = st.lists(st.sampled_from(known or [""]), max_size=count, unique=True)
        waits = data.draw(some) if known else []
        self.named[name] = waits
        self.jobs[name] = _job(name, waits, self.log)
        self.graph.add_job(self.jobs[name], 0.0)

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
        self.graph.remove_ended_job(job)
        self.graph.job_ended(name, status, 5.0)

    @precondition(lambda self: self.jobs)
    @rule(data=st.data(), end=st.booleans())
    def abort(self, data: st.DataObject, end: bool) -> None:
        name = data.draw(st.sampled_from(sorted(self.jobs)))
        self.aborts.add(name)
        self.jobs[name].aborted = True
        self.graph.job_aborted(self.jobs[name])
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

    @precondition(lambda self: self.graph.unresolved)
    @rule(data=st.data())
    def read(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.graph.unresolved)))
        if name in self.ends:
            self.graph.job_ended(name, self.ends[name], 5.0)

    def has_cancelled_predecessor(self, name: str) -> bool:
        """Tells whether a predecessor is cancelled according to the durable facts."""
        return any(
            self.ends.get(before) == "withdrawn"
            or before in self.aborts
            or self.has_cancelled_predecessor(before)
            for before in self.named[name]
            if self.ends.get(before) != "done"
        )

    @invariant()
    def matches_durable_facts(self) -> None:
        for name, job in getattr(self, "jobs", {}).items():
            waits = [b for b in self.named[name] if self.ends.get(b) != "done"]
            if not job.is_blocked:
                assert not waits, f"{name} may run, {waits} are not done"
            elif not job.aborted and self.graph.is_cancellation_known(job):
                assert not self.has_cancelled_predecessor(name), (
                    f"{name} is not cancelled with what it needs"
                )
                assert waits, f"{name} waits for nothing"
            if job.aborted:
                assert name in self.aborts or self.has_cancelled_predecessor(name)
            if job.is_blocked and not job.aborted:
                assert len(job.waiting) == 0 and not job.startable_count


TestPipelines = Pipelines.TestCase
TestPipelines.settings = hypothesis_settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)


def test_urgency_and_deadline_are_taken_from_successors_and_given_back() -> None:
    """Guards against predecessors that ignore a successor's deadline or keep its urgency."""
    log = OpLog(16 * 1024)
    jobs = {
        "run-1": _job("run-1", [], log, urgency="best_effort"),
        "run-2": _job("run-2", ["run-1"], log, urgency="standard"),
        "run-3": _job("run-3", ["run-2"], log, urgency="high", dueS=100.0),
        "run-4": _job("run-4", ["run-1"], log, urgency="prod", dueS=500.0),
    }
    graph = Graph(jobs, {}, lambda job: None, lambda job: None)
    for job in jobs.values():
        graph.add_job(job, 0.0)

    def dues(job: Job) -> list[float]:
        return (
            []
            if job.spec.dueS is None
            else [job.accepted_at + job.spec.dueS, job.accepted_at + 2 * job.spec.dueS]
        )

    propagate_requirements(graph, dues, lambda job: 10.0)
    assert jobs["run-1"].due_times == [80.0, 180.0] and jobs["run-2"].due_times == [90.0, 190.0]
    assert [job.spec.urgency for job in jobs.values()] == ["prod", "high", "high", "prod"]
    assert jobs["run-1"].submitted_spec.urgency == "best_effort"  # the recorded urgency stays
    jobs["run-4"].aborted = True
    propagate_requirements(graph, dues, lambda job: 10.0)
    assert jobs["run-1"].spec.urgency == "high"
    jobs["run-3"].aborted = True
    propagate_requirements(graph, dues, lambda job: 10.0)
    assert jobs["run-1"].spec.urgency == "standard" and jobs["run-1"].due_times is None
    graph.remove_ended_job(jobs["run-2"])  # over before the next propagation
    graph.remove_ended_job(jobs["run-4"])
    assert jobs["run-1"].spec.urgency == "best_effort"


# -- in the simulated region ----------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(8))
def test_a_day_of_pipelines_under_troubles(seed: int) -> None:
    """Guards against jobs with dependencies that start too early or never end under faults."""
    world = play(seed + 200, jobs=40, kind=Piped)
    assert sum(bool(job["spec"].get("waitsOn")) for job in world.jobs.values()) > 4
    assert not [name for name, job in world.jobs.items() if not job["over"]]


def _named(world: World, number: int, waits: list[str], **changes: Any) -> dict[str, Any]:
    plain: dict[str, Any] = {"jobclass": "small", "owner": "blue", "shape": "batch", "tasks": 2}
    plain |= {"oneZone": False, "spread": False, "hosttypes": None, "site": None, "standby": True}
    plain |= {"expectedS": 2.0, "vcpus": 1.0, "memoryGb": 1.0, "savepointS": 0.0, "dueS": None}
    plain |= {"urgency": "standard", "pullGb": 0.0}
    return world.spec(number, **(plain | {"waitsOn": waits} | changes))


async def _submit(world: World, submission: dict[str, Any], member: str = "n-0") -> tuple[int, Any]:
    """Submits a job as its user would, until it is accepted or rejected; then polls its status."""
    name = submission["nameId"]
    while True:
        node = world.nodes[member]
        assert node is not None
        raw = msgspec.json.encode(submission)
        answer: tuple[int, Any] = await world.run_as(member, node.handle("POST", "/v2/runs", raw))
        if answer[0] != 503:
            break
        await asyncio.sleep(0.5)
    if answer[0] in (200, 201):
        spawned = world.jobs.get(name)
        if spawned is None:
            world.spawn(world.user(submission, None))
            while not world.jobs.get(name, {}).get("accepted"):
                await asyncio.sleep(0.05)
    return answer


async def _wait_until_over(world: World, names: list[str], within: float = 200.0) -> None:
    deadline = world.now + within
    while not all(world.jobs[name]["over"] for name in names):
        if world.failure is not None:
            raise world.failure
        assert world.now < deadline, [n for n in names if not world.jobs[n]["over"]]
        await asyncio.sleep(0.25)


def test_statuses_of_submissions_that_name_jobs() -> None:
    """Guards against submissions with invalid dependencies that are accepted, at any member."""

    async def scenario(world: World) -> None:
        first = _named(world, 1, [])
        first["waitsOn"] = None
        assert (await _submit(world, first))[0] == 201
        service = _named(world, 2, [], shape="service", expectedS=0.0)
        assert (await _submit(world, service))[0] == 201
        for member in world.members:  # the leader, and members that ask it
            for waits, status in (
                (["run-000001"], 201),
                (["run-000001", "run-000001"], 201),
                ([], 201),
                (["run-777777"], 422),
                (["run-000001", "run-777777"], 422),
                (["run-000002"], 422),  # a service never ends as done
                ("run-000001", 400),
                ([1], 400),
                (["x/../y"], 400),
                ([f"run-{world.members.index(member) * 10 + 13:06d}"], 400),  # itself
            ):
                number = world.members.index(member) * 10 + 13
                submission = _named(world, number, [])
                submission["waitsOn"] = waits
                if status == 201:
                    submission["nameId"] = f"run-{number * 100 + len(waits):06d}"
                found = await _submit(world, submission, member)
                assert found[0] == status, (member, waits, found)
        # Without the state service unknown names can't be checked, so the answer is 503; accepted
        # jobs stay accepted.
        world.store.outage(4.0)
        node = world.nodes["n-0"]
        assert node is not None
        unknown = msgspec.json.encode(_named(world, 900, ["run-000001", "run-777777"]))
        assert (await world.run_as("n-0", node.handle("POST", "/v2/runs", unknown)))[0] == 503

    tell(scenario, loss=0.0, kind=Piped)


def test_a_long_list_that_no_value_can_hold() -> None:
    """Guards against lost dependencies that exceed a value of the state service.

    200 names of 100 characters under limits of 2 KiB are stored in parts, which the next leader
    must find again and which must be removed in the end.
    """

    async def scenario(world: World) -> None:
        world.store.lower_limits()
        names = []
        for number in range(1, 21):
            submission = _named(world, number, [], tasks=1, expectedS=0.5 if number < 20 else 12.0)
            submission |= {"waitsOn": None, "nameId": f"{'r' * 80}-{number:019d}"}
            assert (await _submit(world, submission))[0] == 201
            names.append(submission["nameId"])
        last = _named(world, 500, names * 10, tasks=1)
        assert (await _submit(world, last))[0] == 201
        assert len([key for key in world.store.keys if key.startswith("cg/need/")]) > 1
        for member in world.leaders():
            await world.restart(member, 0.2)
        await _wait_until_over(world, [*names, last["nameId"]])
        await asyncio.sleep(3.0)
        assert not [key for key in world.store.keys if key.startswith("cg/need/")]

    tell(scenario, loss=0.0, kind=Piped)


def test_a_stage_starts_within_a_second_of_the_durable_end_of_the_last() -> None:
    """Guards against slow releases in a chain of 50 jobs and a diamond, with idle machines."""

    async def scenario(world: World) -> None:
        chain = [_named(world, n, [f"run-{n - 1:06d}"] if n > 1 else []) for n in range(1, 51)]
        chain[0]["waitsOn"] = None
        sides = [_named(world, n, ["run-000050"]) for n in (51, 52)]
        end = _named(world, 53, ["run-000051", "run-000052"])
        for submission in (*chain, *sides, end):
            assert (await _submit(world, submission))[0] == 201
        ends: dict[str, float] = {}
        while not world.jobs["run-000053"]["over"]:
            for key in [k for k in world.store.keys if k.startswith("cg/end/")]:
                ends.setdefault(key.removeprefix("cg/end/"), world.now)
            if world.failure is not None:
                raise world.failure
            await asyncio.sleep(0.02)
        pauses = []
        for submission in (*chain[1:], *sides, end):
            begun = max(ends[name] for name in submission["waitsOn"])
            pauses.append(world.jobs[submission["nameId"]]["first"] - begun)
        pauses.sort()
        assert pauses[len(pauses) * 8 // 10] < LIMIT_S, pauses
        # At worst all idle machines are between two reports.
        assert pauses[-1] < 4 * LIMIT_S, pauses

    tell(scenario, loss=0.0, kind=Piped)


@pytest.mark.parametrize("case", ["led", "leader lost", "leader gone", "outage"])
def test_a_cascade_of_500_is_told_in_time_whoever_leads(case: str) -> None:
    """Guards against cancelled jobs that are reported as waiting, whichever member answers.

    The status must be right before the leader can afford to write the cancellations, and also at
    members that only read the record.
    """

    async def scenario(world: World) -> None:
        world.store.lower_limits()
        first = _named(world, 1, [], expectedS=500.0, tasks=1)
        first["waitsOn"] = None
        assert (await _submit(world, first))[0] == 201
        waits = ["run-000001"]
        names = []
        for number in range(2, 502):
            submission = _named(world, number, waits, tasks=1)
            if number % 50 == 0:
                waits = [submission["nameId"]]
            names.append(submission["nameId"])
            world.jobs[submission["nameId"]] = {
                "spec": submission,
                "aborted": None,
                "accepted": True,
            }
            world.jobs[submission["nameId"]] |= {"over": None, "at": world.now, "replicas": set()}
            node = world.nodes["n-1"]
            assert node is not None
            while True:
                raw = msgspec.json.encode(submission)
                if (await world.run_as("n-1", node.handle("POST", "/v2/runs", raw)))[0] < 300:
                    break
        world.jobs["run-000001"]["asked"] = True
        while world.jobs["run-000001"]["aborted"] is None:
            answer = await world.send_request("POST", "/v2/runs/run-000001/abort", b"")
            if answer is not None and answer[0] == 200:
                world.record_status("run-000001", answer[1])
        told = world.now
        for member in world.leaders() if case in ("leader lost", "leader gone") else ():
            world.crash(member)
        if case == "leader gone":  # no member can lead, so only reads of the record are left
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

    tell(scenario, loss=0.0, kind=Piped)


@pytest.mark.parametrize("off", [["leader"], ["state"], ["others"], ["state", "others"]])
def test_submissions_at_a_node_that_is_cut_off(off: list[str]) -> None:
    """Guards against wrong answers of a member without some of its links.

    It must never reject an accepted name with 422, nor accept a job with an unknown name.
    """

    async def scenario(world: World) -> None:
        first = _named(world, 1, [], expectedS=20.0)
        first["waitsOn"] = None
        assert (await _submit(world, first, world.leaders()[0]))[0] == 201
        lead = world.leaders()[0]
        member = next(name for name in world.members if name != lead)
        sides = {"leader": {lead}, "state": {"state"}, "others": set(world.members) - {member}}
        world.cut({member}, set().union(*(sides[word] for word in off)), 12.0, False)
        seen: set[int] = set()
        number = 10
        while world.now < 1030.0:
            for waits in (["run-000001"], ["run-777777"], ["run-000001", "run-777777"]):
                number += 1
                submission = _named(world, number, waits)
                node = world.nodes[member]
                assert node is not None
                raw = msgspec.json.encode(submission)
                answer = await world.run_as(member, node.handle("POST", "/v2/runs", raw))
                known = {201, 503} if waits == ["run-000001"] else {422, 503}
                assert answer[0] in known, (waits, answer)
                seen.add(answer[0])
                if answer[0] == 201:
                    world.spawn(world.user(submission, None))
            await asyncio.sleep(1.0)
        assert {201, 422} <= seen  # at the latest once the links are restored
        await _wait_until_over(world, list(world.jobs))

    tell(scenario, loss=0.0, kind=Piped)


@pytest.mark.parametrize("seed", range(3))
def test_controllers_in_a_cascade_of_restarts_with_a_slow_one(seed: int) -> None:
    """Guards against lost jobs when members restart in turn, one freezes and limits shrink."""

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


# -- injected bugs ---------------------------------------------------------------


def _release_before_durable_end(monkeypatch: pytest.MonkeyPatch) -> None:
    plain = JobRegistry.update_ending

    def progressed(self: JobRegistry, job: Job) -> None:
        plain(self, job)
        if job.is_complete:
            self.on_job_ended(job, "done")

    monkeypatch.setattr(JobRegistry, "update_ending", progressed)


def _no_dependency_check(monkeypatch: pytest.MonkeyPatch) -> None:
    async def refusal(self: DependencyCheck, names: list[str], jobs: Any) -> None:
        return None

    monkeypatch.setattr(DependencyCheck, "rejection_by_registry", refusal)
    monkeypatch.setattr(DependencyCheck, "rejection_by_records", refusal)


def _unresolved_counted_as_done(monkeypatch: pytest.MonkeyPatch) -> None:
    plain = Graph.add_job

    def enter(self: Graph, job: Job, now: float) -> None:
        plain(self, job, now)
        for name in list(self.unresolved):  # as if every ended job had ended as done
            self.job_ended(name, "done", now)

    monkeypatch.setattr(Graph, "add_job", enter)


def _never_blocked(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Job, "block", lambda self: None)
    monkeypatch.setattr(pipelines_part._DependencyConstraint, "is_ready", lambda self, job: True)


def _never_cancelled(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Graph, "_cancel_with_successors", lambda self, job: None)


@pytest.mark.parametrize(
    ("bug", "found"),
    [
        (_release_before_durable_end, "too_early"),
        (_no_dependency_check, "names no job"),
        (_unresolved_counted_as_done, "too_early|orphaned|went_back"),
        (_never_blocked, "too_early"),
        (_never_cancelled, "orphaned|went_back"),
    ],
)
def test_injected_bugs_are_detected(bug: Any, found: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Shows that the rules of the region detect each injected bug."""
    bug(monkeypatch)
    with pytest.raises(Broken, match=found):
        for seed in range(12):
            play(seed + 200, jobs=40, kind=Piped)


def test_a_wanted_urgency_never_given_back_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shows that the unit test above fails if a job keeps an urgency that it no longer inherits."""
    kept: dict[str, JobSpec] = {}
    plain = propagate_requirements

    def raises(graph: Graph, dues: Any, takes: Any) -> None:
        plain(graph, dues, takes)
        for name, job in graph.jobs.items():
            if name in kept and kept[name].urgency_rank > job.spec.urgency_rank:
                job.spec = kept[name]
            kept[name] = job.spec

    monkeypatch.setitem(globals(), "propagate_requirements", raises)
    with pytest.raises(AssertionError):
        test_urgency_and_deadline_are_taken_from_successors_and_given_back()
