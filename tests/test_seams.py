"""The layout and the seams: imports point one way, and each seam is really asked."""

import ast
import asyncio
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec
import pytest

import chalkgrade
from chalkgrade.leading import term as leading
from chalkgrade.machines.fleet import Machine
from chalkgrade.record.changes import Kept
from chalkgrade.record.jobs import Attempt, Job
from chalkgrade.region.rules import Broken
from chalkgrade.region.world import World, play, tell
from chalkgrade.seams.gates import Gate
from chalkgrade.seams.parts import Part, Sample, gauge
from chalkgrade.sharing import constraints

# A package may take from those before it, and from the modules at the root.
ORDER = ("state", "membership", "record", "machines", "seams", "pipelines", "sharing")
ORDER += ("renting", "licences", "moves", "leading", "serving", "region", "experiments")


def test_imports_point_one_way() -> None:
    root = Path(chalkgrade.__file__).parent
    for path in root.rglob("*.py"):
        here = path.relative_to(root).parts
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.ImportFrom) or not (node.module or "").startswith("chalkg"):
                continue
            taken = (node.module or "").split(".")[1:]
            if len(here) == 1 or not taken or taken[0] not in ORDER:
                continue  # the root has only what all may take, and the command line
            assert ORDER.index(taken[0]) <= ORDER.index(here[0]), f"{path}: {node.module}"


class _Pool(Gate):
    """Two of all tasks at once, whatever room there is."""

    def __init__(self) -> None:
        self.free = 0

    def begin(self, jobs: Iterable[Job], now: float) -> None:
        self.free = 2 - sum(len(job.live) for job in jobs)

    def most(self, job: Job, count: int) -> int:
        return max(0, min(count, self.free))

    def took(self, job: Job, site: str) -> None:
        self.free -= 1

    def why(self, job: Job) -> str:
        return "" if self.free > 0 else "two run"


class _Two(Part):
    """A subsystem with all that a part can have."""

    def __init__(self) -> None:
        self.gates = [_Pool()]
        self.value: dict[str, int] = {"ended": 0}
        self.kept = [Kept("cg/test/two", self._load, lambda: self.value)]
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
        self.kept[0].touch()

    def samples(self) -> Iterable[Sample]:
        yield gauge("two", "Tasks of the test", 2.0)


class _TwoAtOnce(World):
    """Sees whether more than two tasks are ever present."""

    most = 0

    def check_start(self, worker: Any, task: Any) -> None:
        super().check_start(worker, task)
        there = 1 + sum(other is not task for _, other in self.present())
        type(self).most = max(self.most, there)
        if there > 2:
            raise Broken("pool: more than two run")


def _wired(monkeypatch: pytest.MonkeyPatch) -> list[_Two]:
    """Every term gets the part by one line of wiring."""
    parts: list[_Two] = []
    plain = leading.Term.__init__

    def with_part(self: leading.Term, *args: Any) -> None:
        plain(self, *args)
        parts.append(_Two())
        self.add(parts[-1])

    monkeypatch.setattr(leading.Term, "__init__", with_part)
    return parts


def test_a_part_brings_a_gate_a_value_and_figures(monkeypatch: pytest.MonkeyPatch) -> None:
    """Through troubles and leader changes its gate holds and its value lasts."""
    parts = _wired(monkeypatch)

    def prepare(world: World) -> None:
        plain = world.spec
        world.spec = lambda number, **_: plain(  # type: ignore[method-assign]
            number, tasks=2, shape="batch", jobclass="small", expectedS=9.0
        )

    world = play(9, seconds=60.0, jobs=8, prepare=prepare, kind=_TwoAtOnce)
    assert all(job["over"] for job in world.jobs.values())
    assert _TwoAtOnce.most == 2
    assert len(parts) > 1  # several leaders
    assert parts[-1].value["ended"] > 1000  # read from the record, and counted on
    assert world.store.keys["cg/test/two"][0] == parts[-1].value
    heard = {what for part in parts for what in part.heard}
    assert heard == {"start", "stop", "job", "report"}


def test_a_gate_that_is_not_asked_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    _wired(monkeypatch)
    monkeypatch.setattr(_Pool, "took", Gate.took)
    with pytest.raises(Broken, match="pool"):
        play(5, seconds=60.0, jobs=12, troubled=False, kind=_TwoAtOnce)


def test_work_that_pauses_starts_at_once_without_its_gate(monkeypatch: pytest.MonkeyPatch) -> None:
    """Faulty jobs are probed slowly by the gate alone."""

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
            ended += leader.term.counts["error"]

        with monkeypatch.context() as patch:
            if not paused:
                patch.setattr(constraints.JobBackoff, "most", Gate.most)
                patch.setattr(constraints.JobBackoff, "ready", lambda self, job: not job.aborted)
            for seed in (6, 7):  # days on which the job meets several machines
                tell(story, seed, loss=0.0)
        return ended

    assert 0 < failures(paused=True) * 3 < failures(paused=False)


def test_no_module_imports_itself_by_way_of_others() -> None:
    """Imports for types count too: a circle of them is a circle to whoever reads."""
    root = Path(chalkgrade.__file__).parent.parent
    names = {
        ".".join(path.relative_to(root).with_suffix("").parts): path for path in root.rglob("*.py")
    }
    arrows: dict[str, set[str]] = {}
    for name, path in names.items():
        arrows[name] = taken = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module:
                inner = {f"{node.module}.{alias.name}" for alias in node.names} & set(names)
                taken |= inner or ({node.module} & set(names))
    while arrows:  # take away what takes nothing any more, until a circle is left
        free = {name for name, taken in arrows.items() if not taken & set(arrows)}
        assert free, f"a circle among {sorted(arrows)}"
        arrows = {name: taken for name, taken in arrows.items() if name not in free}
