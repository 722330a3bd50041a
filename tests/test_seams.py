"""Package layering and the extension points of a term.

Guards against imports from a lower layer to a higher one, import cycles, and start constraints or
component hooks that are never called.
"""

import ast
import asyncio
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec
import pytest

import chalkgrade
from chalkgrade.extensions.components import Component, Sample, gauge
from chalkgrade.extensions.constraints import StartConstraint
from chalkgrade.leading import term as leading
from chalkgrade.machines.fleet import Machine
from chalkgrade.record.changes import PersistedValue
from chalkgrade.record.jobs import Attempt, Job
from chalkgrade.region.rules import Broken
from chalkgrade.region.world import World, play, tell
from chalkgrade.sharing import constraints

# A package may import from those before it, and from the modules of the root package.
ORDER = ("state", "membership", "record", "machines", "extensions", "pipelines", "sharing")
ORDER += ("renting", "licences", "moves", "leading", "serving", "region", "experiments")


def test_imports_follow_the_layering() -> None:
    """Fails if a package imports from one that comes after it in ORDER."""
    root = Path(chalkgrade.__file__).parent
    for path in root.rglob("*.py"):
        importer = path.relative_to(root).parts
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.ImportFrom) or not (node.module or "").startswith("chalkg"):
                continue
            imported = (node.module or "").split(".")[1:]
            if len(importer) == 1 or not imported or imported[0] not in ORDER:
                continue  # root modules: shared by all, and the command line
            assert ORDER.index(imported[0]) <= ORDER.index(importer[0]), f"{path}: {node.module}"


class _Pool(StartConstraint):
    """Lets two tasks run at once, whatever room there is."""

    def __init__(self) -> None:
        self.free = 0

    def begin_round(self, jobs: Iterable[Job], now: float) -> None:
        self.free = 2 - sum(len(job.live) for job in jobs)

    def max_starts(self, job: Job, count: int) -> int:
        return max(0, min(count, self.free))

    def on_placed(self, job: Job, site: str) -> None:
        self.free -= 1

    def refusal_reason(self, job: Job) -> str:
        return "" if self.free > 0 else "two run"


class _TestComponent(Component):
    """A component that uses every extension point."""

    def __init__(self) -> None:
        self.start_constraints = [_Pool()]
        self.value: dict[str, int] = {"ended": 0}
        self.persisted_values = [PersistedValue("cg/test/two", self._load, lambda: self.value)]
        self.heard: dict[str, int] = {}

    def _load(self, raw: bytes) -> None:
        self.value["ended"] = 1000

    def _count(self, what: str) -> None:
        self.heard[what] = self.heard.get(what, 0) + 1

    def start(self) -> None:
        self._count("start")

    def stop(self) -> None:
        self._count("stop")

    def on_job(self, job: Job, fresh: bool) -> None:
        self._count("job")

    def on_report(self, machine: Machine, first: bool) -> None:
        self._count("report")

    def on_ended(self, machine: Machine | None, attempt: Attempt, cause: str) -> None:
        self.value["ended"] += 1
        self.persisted_values[0].mark_changed()

    def samples(self) -> Iterable[Sample]:
        yield gauge("two", "Tasks of the test", 2.0)


class _TwoAtOnceWorld(World):
    """Fails if more than two tasks are ever present at once."""

    most = 0

    def check_start(self, worker: Any, task: Any) -> None:
        super().check_start(worker, task)
        present = 1 + sum(other is not task for _, other in self.present())
        type(self).most = max(self.most, present)
        if present > 2:
            raise Broken("pool: more than two run")


def _add_component(monkeypatch: pytest.MonkeyPatch) -> list[_TestComponent]:
    """Adds the component to every term and returns the list of instances."""
    components: list[_TestComponent] = []
    original = leading.Term.__init__

    def with_component(self: leading.Term, *args: Any) -> None:
        original(self, *args)
        components.append(_TestComponent())
        self.add_component(components[-1])

    monkeypatch.setattr(leading.Term, "__init__", with_component)
    return components


def test_a_component_adds_a_constraint_a_value_and_metrics(monkeypatch: pytest.MonkeyPatch) -> None:
    """Through faults and leader changes its constraint holds and its persisted value lasts."""
    components = _add_component(monkeypatch)

    def prepare(world: World) -> None:
        original_spec = world.spec
        world.spec = lambda number, **_: original_spec(  # type: ignore[method-assign]
            number, tasks=2, shape="batch", jobclass="small", expectedS=9.0
        )

    world = play(9, seconds=60.0, jobs=8, prepare=prepare, kind=_TwoAtOnceWorld)
    assert all(job["over"] for job in world.jobs.values())
    assert _TwoAtOnceWorld.most == 2
    assert len(components) > 1  # several leaders
    assert components[-1].value["ended"] > 1000  # loaded from the record, then incremented
    assert world.store.keys["cg/test/two"][0] == components[-1].value
    heard = {what for component in components for what in component.heard}
    assert heard == {"start", "stop", "job", "report"}


def test_a_constraint_that_is_not_notified_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without `on_placed` the pool's limit is exceeded within a round, which the check reports."""
    _add_component(monkeypatch)
    monkeypatch.setattr(_Pool, "on_placed", StartConstraint.on_placed)
    with pytest.raises(Broken, match="pool"):
        play(5, seconds=60.0, jobs=12, troubled=False, kind=_TwoAtOnceWorld)


def test_faulty_jobs_are_retried_at_once_without_their_constraint(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Only the backoff constraint slows the retries of a job whose tasks all fail."""

    def failures(paused: bool) -> int:
        ended = 0

        async def story(world: World) -> None:
            nonlocal ended
            leader = next(n for n in world.nodes.values() if n is not None and n.term is not None)
            spec = world.spec(1, tasks=8, jobclass="doomed", shape="batch", vcpus=1.0)
            world.jobs[spec["nameId"]] = {"spec": spec, "aborted": None, "over": None}
            status, _ = await leader.handle("POST", "/v2/runs", msgspec.json.encode(spec))
            assert status == 201
            await asyncio.sleep(60.0)
            assert leader.term is not None
            ended += leader.term.ended_by_cause["error"]

        with monkeypatch.context() as patch:
            if not paused:
                patch.setattr(constraints.JobBackoff, "max_starts", StartConstraint.max_starts)
                patch.setattr(constraints.JobBackoff, "is_ready", lambda self, job: not job.aborted)
            for seed in (6, 7):  # with these seeds the job runs on several machines
                tell(story, seed, loss=0.0)
        return ended

    assert 0 < failures(paused=True) * 3 < failures(paused=False)


def test_modules_have_no_import_cycles() -> None:
    """Imports for type checking count too, since a cycle of them also couples the modules."""
    root = Path(chalkgrade.__file__).parent.parent
    names = {
        ".".join(path.relative_to(root).with_suffix("").parts): path for path in root.rglob("*.py")
    }
    imports: dict[str, set[str]] = {}
    for name, path in names.items():
        imports[name] = imported = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module:
                inner = {f"{node.module}.{alias.name}" for alias in node.names} & set(names)
                imported |= inner or ({node.module} & set(names))
    while imports:  # remove modules without imports until only cycles are left
        free = {name for name, imported in imports.items() if not imported & set(imports)}
        assert free, f"a circle among {sorted(imports)}"
        imports = {name: imported for name, imported in imports.items() if name not in free}
