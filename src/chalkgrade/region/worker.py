"""Simulated machine agents, as the protocol describes them, and their tasks."""

import asyncio
import contextvars
from collections.abc import Coroutine
from typing import Any

import msgspec

from chalkgrade.outside import NoAnswer
from chalkgrade.region.loop import MEMBER
from chalkgrade.region.rules import History

WORKER_PORT = 9000
ANSWER_TIMEOUT_S = 4.0  # set by the protocol; a later answer is dropped


class Task:
    """One attempt of a task on a worker."""

    def __init__(self, name: str, number: int, spec: dict[str, Any]) -> None:
        self.name, self.number, self.spec = name, number, spec
        self.status, self.kept = "fetching", False
        self.cause: str | None = None
        self.timers: list[asyncio.Task[None]] = []
        self.began = self.saved_work_s = 0.0  # start of its work; seconds checkpointed before

    @property
    def present(self) -> bool:
        """Whether the task has its image and has not ended."""
        return self.status in ("waiting", "running", "saving")


class Worker:
    """The agent of one machine, with its lease, reports and tasks."""

    def __init__(self, world: History, machine: dict[str, Any], flavor: dict[str, Any]) -> None:
        self.world, self.machine, self.flavor = world, machine, flavor
        self.name, self.zone = machine["nameId"], machine["site"]
        self.tenure, self.seq, self.baton = 1, 0, 0
        self.lease_from = world.now
        self.tasks: dict[tuple[str, int], Task] = {}
        self.images: set[str] = set()
        self.alive, self.sick = True, False
        self.warning: float | None = None
        self.target = world.rng.choice(sorted(world.members))
        self.changed = asyncio.Event()
        self.loops: list[asyncio.Task[None]] = []
        # Code in this context stops while the machine hangs. The lease timer runs outside it: an
        # agent that resumes after its lease ended has killed its tasks before anything else.
        self.context = contextvars.Context()
        self.context.run(MEMBER.set, self.name)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        return self.world.spawn(work, self.context)

    def start(self) -> None:
        """Start the report loop and the lease timer."""
        self.loops = [self._spawn(self._report_loop()), self.world.spawn(self._lease_loop())]

    def die(self) -> None:
        """Stop the agent and all of its tasks, as when the machine is lost."""
        self.alive = False
        self._kill_tasks()
        for loop in self.loops:
            loop.cancel()

    def _save(self, task: Task) -> None:
        """Record a task's progress: all of it after a flush, else up to its last checkpoint."""
        every, ran = task.spec["savepointS"], self.world.now - task.began
        if every > 0 and task.status in ("running", "saving"):
            saved = ran if task.status == "saving" else ran // every * every
            self.world.progress[task.name] = task.saved_work_s + saved
            self.world.lost_work_s += ran - saved
        elif task.status == "running" and task.name not in self.world.done:
            self.world.lost_work_s += ran

    def _kill_tasks(self) -> None:
        for task in self.tasks.values():
            if task.began and task.status != "ended":
                self._save(task)
            for timer in task.timers:
                timer.cancel()
            self._leave_machine(task)
        self.tasks.clear()

    def _leave_machine(self, task: Task) -> None:
        self.world.leave(task)
        if self.world.licensed_tool is not None:
            self.world.licensed_tool.end(task)

    async def _lease_loop(self) -> None:
        while self.alive:
            left = self.lease_from + self.world.LEASE_S - self.world.now
            if left < 0:
                self.world.lease_ends += sum(t.status != "ended" for t in self.tasks.values())
                self._kill_tasks()
                self.tenure += 1
                self.lease_from = self.world.now
                self.changed.set()
                left = self.world.LEASE_S
            await asyncio.sleep(left + 0.01)

    def report(self) -> dict[str, Any]:
        """The next status report, as sent to controllers; increments the sequence number."""
        self.seq += 1
        return {
            "host": self.name,
            "addr": f"{self.name}:{WORKER_PORT}",
            "hosttype": self.machine["hosttype"],
            "site": self.zone,
            "standby": self.machine["standby"],
            "tenure": self.tenure,
            "seq": self.seq,
            "baton": self.baton,
            "warningS": self.warning,
            "tasks": [
                {
                    "task": t.name,
                    "try": t.number,
                    "status": t.status,
                    "cause": t.cause,
                    "kept": t.kept,
                }
                for t in self.tasks.values()
            ],
        }

    async def serve(self, source: str, method: str, path: str, body: Any) -> tuple[int, Any] | None:
        """Handle a direct request of a controller; it doesn't renew the lease. None: no answer."""
        answer: tuple[int, Any] | None = await self.world.spawn(
            self._direct(path, body), self.context
        )
        return answer

    async def _direct(self, path: str, body: Any) -> tuple[int, Any] | None:
        if not self.alive:
            return None
        if path == "/status":
            return 200, self.report()
        data = msgspec.json.decode(body) if body else {}
        if path != "/do" or "baton" not in data or "tenure" not in data:
            return 400, {"error": "baton or tenure is missing"}
        if data["baton"] < self.baton or data["tenure"] != self.tenure:
            return 409, self.report()
        if data["baton"] > self.baton:
            self._adopt_token(data["baton"])
        for order in data["orders"]:
            self._execute(order)
        return 200, self.report()

    def _adopt_token(self, baton: int) -> None:
        """Accept a higher leader token."""
        self.baton = baton
        self.world.token_adoptions.setdefault(baton, {})[self.name] = self.world.now
        self.changed.set()

    async def _report_loop(self) -> None:
        world = self.world
        while self.alive:
            sent, tenure = world.now, self.tenure
            self.changed.clear()
            try:
                status, body = await world.request(
                    self.name, self.target, "POST", "/hello", self.report(), ANSWER_TIMEOUT_S
                )
            except NoAnswer:
                await self._try_next_controller()
                continue
            if world.now - sent > ANSWER_TIMEOUT_S:
                continue  # the machine hung while it waited, so the answer is too old
            if status == 200 and body.get("baton", -1) >= self.baton and tenure == self.tenure:
                if body["baton"] > self.baton:
                    self._adopt_token(body["baton"])
                self.lease_from = max(self.lease_from, sent)
                for order in body["orders"]:
                    self._execute(order)
            elif (
                status == 421
                and body.get("reportsTo") in world.members
                and (body["reportsTo"] != self.target)
            ):
                self.target = body["reportsTo"]
                continue
            elif status != 200:
                await self._try_next_controller()
                continue
            await asyncio.sleep(0.5)
            try:
                async with asyncio.timeout(world.REPORT_S * world.rng.uniform(0.75, 1.25) - 0.5):
                    await self.changed.wait()
            except TimeoutError:
                pass

    async def _try_next_controller(self) -> None:
        names = sorted(self.world.members)
        self.target = names[(names.index(self.target) + 1) % len(names)]
        await asyncio.sleep(1.0)

    def _used(self) -> tuple[float, float]:
        held = [t.spec for t in self.tasks.values() if t.status != "ended"]
        return sum(s["vcpus"] for s in held), sum(s["memoryGb"] for s in held)

    def _execute(self, order: dict[str, Any]) -> None:
        key = (order["task"], order["try"])
        task = self.tasks.get(key)
        if order["order"] == "launch" and task is None:
            self._launch(*key)
        elif order["order"] == "forget" and task is not None and task.status == "ended":
            del self.tasks[key]
            self.changed.set()
        elif order["order"] == "kill" and task is not None and task.status != "ended":
            spec = task.spec
            is_expected = self.world.jobs[spec["nameId"]].get("asked") or self.warning is not None
            if task.present and not is_expected:
                self.world.unrequested_stops.append(self.world.now)
            saves = task.status == "running" and spec["savepointS"] > 0
            if saves and order["graceS"] >= spec["flushS"]:
                task.status = "saving"
                task.timers.append(self._spawn(self._end(task, spec["flushS"], "halted")))
            else:
                self._exit(task, "halted")
            self.changed.set()

    def _launch(self, name: str, number: int) -> None:
        world = self.world
        world.first_used_at.setdefault(self.name, world.now)
        job = world.jobs.get(name.rpartition("/")[0])
        task = Task(name, number, job["spec"] if job else {})
        is_duplicate = any(t.name == name and t.status != "ended" for t in self.tasks.values())
        self.tasks[name, number] = task
        self.changed.set()
        if job is None:
            task.status, task.cause = "ended", "unknown"
        elif is_duplicate:
            task.status, task.cause = "ended", "in_use"
        else:
            cpus, memory = self._used()
            flavor = self.flavor
            if cpus > flavor["vcpus"] + 1e-6 or memory > flavor["memoryGb"] + 1e-6:
                task.status, task.cause = "ended", "no_room"
                world.refusals += 1
            else:
                task.timers.append(self._spawn(self._run(task)))

    async def _run(self, task: Task) -> None:
        world, spec = self.world, task.spec
        if spec["bundle"] not in self.images:
            await asyncio.sleep(spec["pullGb"] / self.flavor["pullGbPerS"])
            self.images.add(spec["bundle"])
        world.enter(self, task)
        if spec["shape"] == "gang" and not await self._wait_for_gang(task):
            return
        task.status = "running"
        world.started += 1
        self.changed.set()
        if spec["shape"] == "service":
            world.jobs[spec["nameId"]]["replicas"].add(task.name)
            return
        total_s = world.task_run_s.setdefault(
            task.name, spec["expectedS"] * world.rng.uniform(0.5, 2)
        )
        task.began, task.saved_work_s = world.now, world.progress.get(task.name, 0.0)
        seconds = 0.0 if task.name in world.done else max(0.0, total_s - task.saved_work_s)
        if world.licensed_tool is not None and not world.licensed_tool.start(task):
            await self._end(task, 0.5 + 0.3 * seconds, "error")  # fails partway through
        elif self.sick or spec["jobclass"] == "doomed":
            await self._end(task, 0.5, "error")
        else:
            await self._end(task, seconds, "done")

    async def _wait_for_gang(self, task: Task) -> bool:
        """Wait for the other tasks of a gang; the task ends if they miss `GANG_WAIT_S`."""
        world = self.world
        task.status = "waiting"
        self.changed.set()
        job = task.spec["nameId"]
        try:
            async with asyncio.timeout(world.GANG_WAIT_S):
                while True:
                    present = {t.name for _, t in world.present_of_job(job)}
                    names = (f"{job}/{index}" for index in range(task.spec["tasks"]))
                    if all(name in present or name in world.done for name in names):
                        return True
                    await asyncio.sleep(0.2)
        except TimeoutError:
            self._exit(task, "incomplete")
            self.changed.set()
            return False

    async def _end(self, task: Task, seconds: float, cause: str) -> None:
        await asyncio.sleep(seconds)
        if task.status == "ended":
            return
        if cause == "done":
            self.world.finish(task.name)
        task.kept = task.status == "saving"
        self._exit(task, cause)
        self.changed.set()

    def _exit(self, task: Task, cause: str) -> None:
        if task.began:
            self._save(task)
        task.status, task.cause = "ended", cause
        if cause == "error":
            failures = self.world.failures
            failures[task.spec["nameId"]] = failures.get(task.spec["nameId"], 0) + 1
        self._leave_machine(task)
        current = asyncio.current_task()
        for timer in task.timers:
            if timer is not current:
                timer.cancel()
