"""A simulated region of jobs with dependencies; its record is checked after each change."""

import asyncio
import random
import tempfile
from pathlib import Path
from typing import Any

import msgspec

from chalkgrade.record.jobs import BATCH_PREFIX, END_PREFIX, JOB_PREFIX
from chalkgrade.region import versions
from chalkgrade.region.rules import Broken
from chalkgrade.region.store import Store
from chalkgrade.region.world import World

ROOT = Path(__file__).parent.parent
NEXT = {"value_kb": 2.0, "txn_ops": 5, "write_rps": 15.0}
_loaded: list[versions.Version] = []


def production() -> versions.Version:
    """Returns the code of the version that deploy/service.toml names; may raise NoHistory."""
    if not _loaded:
        room = Path(tempfile.mkdtemp(prefix="production-"))
        _loaded.append(versions.load(ROOT, versions.production_commit(ROOT), room))
    return _loaded[0]


class CheckedStore(Store):
    """Checks after each change that accepted jobs are recorded, and ended jobs not also live."""

    def _apply(self, ops: list[dict[str, Any]]) -> None:
        super()._apply(ops)
        if any((op.get("write") or op.get("remove"))[:4] == "cg/i" for op in ops):
            self.check()

    def check(self) -> None:
        # As readers do: a batch beyond the size of new ones may still hold jobs that are over.
        room = self.world.settings.cluster.state.lowest_limits().value_kb * 1024 * 7 / 8
        seen: dict[str, int] = {}
        for key, (value, _, _) in self.keys.items():
            if key.startswith(BATCH_PREFIX):
                doubtful = len(msgspec.json.encode(value)) > room
                for one in value["jobs"]:
                    name = one["spec"]["nameId"]
                    if END_PREFIX + name in self.keys:
                        if not doubtful:
                            raise Broken(f"record: {name} is over and in {key}")
                        continue
                    seen[name] = seen.get(name, 0) + 1
        for name, job in self.world.jobs.items():  # type: ignore[attr-defined]
            if seen.get(name, 0) > 1:
                raise Broken(f"record: {name} is in {seen[name]} batches")
            there = name in seen or {END_PREFIX + name, JOB_PREFIX + name} & self.keys.keys()
            if job.get("accepted") and not there:
                raise Broken(f"record: {name} is on none")


class Piped(World):
    """A world in which half of the jobs name earlier ones; limits and versions may change."""

    PIPELINE_SHARE = 0.5
    STATE = {"rps": 200, "write_rps": 40, "txn_ops": 16, "value_kb": 16, "next": NEXT}

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.store = CheckedStore(self)
        self.pipeline_rng = random.Random(args[1])

    def boot(self, member: str, home: str | None = None) -> None:
        super().boot(member, home)
        node = self.nodes[member]
        assert node is not None
        plain = node.leadership._on_lead

        def lead(token: int) -> None:
            plain(token)
            pipelines = getattr(node.term, "pipelines", None)
            if pipelines is not None:
                self._check_released(pipelines.graph)

        node.leadership._on_lead = lead

    def _check_released(self, graph: Any) -> None:
        """Checks that no job is released before the ends of its dependencies are durable."""
        plain = graph.released

        def released(job: Any) -> None:
            for name in job.submitted_spec.waitsOn or ():
                value = self.store.keys.get(END_PREFIX + name, ({},))[0]
                if value.get("status") != "done" and self.failure is None:
                    self.failure = Broken(f"too_early: {job.name} let go, {name} is not over")
            plain(job)

        graph.released = released

    def check_start(self, worker: Any, task: Any) -> None:
        super().check_start(worker, task)
        for before in task.spec.get("waitsOn") or ():
            value = self.store.keys.get(END_PREFIX + before, ({},))[0]
            if value.get("status") != "done":
                raise Broken(f"too_early: {task.name}, {before} is not durably done")

    async def falls(self, after: float) -> None:
        await asyncio.sleep(after)
        self.store.lower_limits()

    async def upgrade(self, before: float, between: tuple[float, float]) -> None:
        """Restarts the controllers one after the other with this version."""
        await asyncio.sleep(before)
        for member in self.pipeline_rng.sample(self.members, len(self.members)):
            del self.versions[member]
            await self.restart(member, self.pipeline_rng.uniform(0.05, 4.0))
            await asyncio.sleep(self.pipeline_rng.uniform(*between))
