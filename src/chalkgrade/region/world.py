"""The whole simulated region with its controllers, and functions that run days in it."""

import asyncio
import contextvars
import random
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from chalkgrade.membership.registration import MEMBERS_PREFIX
from chalkgrade.outside import NoAnswer, Reply
from chalkgrade.region.idle import IdleRoom
from chalkgrade.region.loop import MEMBER, Clock, VirtualLoop
from chalkgrade.region.rules import Broken
from chalkgrade.region.troubles import Troubles
from chalkgrade.region.versions import Version
from chalkgrade.region.worker import WORKER_PORT
from chalkgrade.serving.node import Node
from chalkgrade.settings import Settings
from chalkgrade.sharing.wait_reasons import format_wait_reasons


class _Http:
    """HTTP and peer client of one node process; after a crash its calls are cancelled."""

    def __init__(
        self, world: "World", member: str, epoch: int, lost: type[Exception] = NoAnswer
    ) -> None:
        """`lost`: the exception of the node's own version for a call without an answer."""
        self.world, self.member, self.epoch, self.lost = world, member, epoch, lost

    def _check(self) -> None:
        """Cancel the calling task if the process has crashed since."""
        if self.world.epochs[self.member] != self.epoch:
            raise asyncio.CancelledError

    async def call(
        self, addr: str, method: str, path: str, body: bytes | None, timeout: float
    ) -> Reply:
        """Send a request to the service or worker at an address."""
        self._check()
        host, _, port = addr.rpartition(":")
        kind = {"1": "state", "2": "cloud", str(WORKER_PORT): host}.get(port, "licences")
        try:
            status, answer = await self.world.request(
                self.member, kind, method, path, body or b"", timeout
            )
        except NoAnswer as error:
            raise self.lost(*error.args) from None
        finally:
            self._check()
        return Reply(status, msgspec.json.encode(answer))

    async def ask(self, member: str, message: dict[str, Any], timeout: float) -> dict[str, Any]:
        """Send a message to another controller and return its answer."""
        self._check()
        self.world.peer_messages += 1
        raw = msgspec.json.decode(msgspec.json.encode(message))
        try:
            found = await self.world.request(self.member, member, "PEER", "", raw, timeout)
        except NoAnswer as error:
            raise self.lost(*error.args) from None
        finally:
            self._check()
        answer: dict[str, Any] = found[1]
        return answer


class World(Troubles):
    """The simulated region together with the controllers, which run the program under test."""

    def __init__(self, loop: VirtualLoop, seed: int) -> None:
        super().__init__(loop, seed)
        self.nodes: dict[str, Node | None] = dict.fromkeys(self.members)
        self.versions: dict[str, Version] = {}  # other versions of the program, by controller
        self.store.checks_conditions = lambda source: source not in self.versions
        self.epochs = dict.fromkeys(self.members, 0)  # number of crashes, by controller
        self.contexts: dict[str, contextvars.Context] = {}  # context of each controller's tasks
        self.stopped_nodes: list[Node] = []  # ended processes, for their counters
        self.peer_messages = 0  # requests between controllers
        self.idle = IdleRoom(self)
        self.health_changes: dict[str, int] = {}  # number of changes to each health state
        self.false_verdicts = 0  # verdicts on controllers that were registered, up and reached
        self.servers["state"] = lambda *request: self.store.handle(*request)
        self.servers["cloud"] = lambda *request: self.cloud.handle(*request)
        for member in self.members:
            self.servers[member] = self._serve(member)

    # -- controllers ------------------------------------------------------------------

    def up(self, target: str) -> bool:
        """Return whether a controller or service accepts connections."""
        if target in self.epochs:
            return self.nodes[target] is not None
        return target in self.servers

    def runs_earlier_version(self, member: str) -> bool:
        """Return whether a controller runs another version of the program."""
        return member in self.versions

    def leaders(self) -> list[str]:
        """Return the controllers that consider themselves leader."""
        return [m for m, node in self.nodes.items() if node is not None and node.leadership.token]

    def waiting_reason(self, jobclass: str) -> str:
        """Return the leader's reasons why jobs of a class wait, for error messages."""
        for member in self.leaders():
            node = self.nodes[member]
            term = node.term if node is not None else None
            if term is not None:
                rows = {
                    key: n for key, n in term.scheduling.standing().items() if key[0] == jobclass
                }
                return f"{member}: {format_wait_reasons(rows) or 'nothing waits'}"
        return "nobody leads"

    def boot(self, member: str, home: str | None = None) -> None:
        """Start a controller's process.

        home: name of the machine that it runs on; by default the controller's own.
        """
        home = f"home of {member}" if home is None else home
        clock = Clock(self.loop, 1 + self.rng.uniform(-5e-4, 5e-4))
        version = self.versions.get(member)
        node_class = Node if version is None else version.node
        lost = NoAnswer if version is None else version.no_answer
        http = _Http(self, member, self.epochs[member], lost)
        settings = self._settings(member, Settings if version is None else version.settings)
        settings.parts = self.parts
        node = node_class(settings, http, http, clock, random.Random(self.rng.random()), home)
        original_changed = node.views.changed

        def changed(subject: str, old: str, new: str) -> None:
            original_changed(subject, old, new)
            self.health_changes[new] = self.health_changes.get(new, 0) + 1
            if old == "suspect" and new == "alive":
                self.health_changes["refuted"] = self.health_changes.get("refuted", 0) + 1
            if new == "failed":
                key = f"{MEMBERS_PREFIX}{subject}"
                self.false_verdicts += key in self.store.keys

        node.views.changed = changed
        self.nodes[member] = node
        self.contexts[member] = contextvars.Context()
        self.contexts[member].run(MEMBER.set, member)
        self.contexts[member].run(node.start)

    def crash(self, member: str) -> None:
        """End a controller's process; does nothing if it is not running."""
        node = self.nodes[member]
        if node is None:
            return
        self.epochs[member] += 1
        self.loop.thaw(member)  # the next process must not inherit the freeze
        self.stopped_nodes.append(node)
        node.stop()
        self.nodes[member] = None

    async def run_as(self, member: str, work: Awaitable[Any]) -> Any:
        """Run a coroutine in a controller's context, so that it waits while that is frozen."""
        task: asyncio.Task[Any] = self.loop.create_task(
            work,  # type: ignore[arg-type]
            context=self.contexts[member],
        )
        return await task

    def _serve(self, member: str) -> Callable[..., Awaitable[tuple[int, Any] | None]]:
        """Return the request handler of a controller; no answer if it crashes meanwhile."""

        async def serve(source: str, method: str, path: str, body: Any) -> tuple[int, Any] | None:
            node, epoch = self.nodes[member], self.epochs[member]
            if node is None:
                return None
            if method == "PEER":
                reply = await self.run_as(member, node.on_peer(body))
                answer = 200, msgspec.json.decode(msgspec.json.encode(reply))
            else:
                raw = body if isinstance(body, bytes) else msgspec.json.encode(body)
                self.check_report_size(source, path, raw)
                status, data = await self.run_as(member, node.handle(method, path, raw))
                line = msgspec.json.encode(data)
                self.check_response_line(source, line)
                answer = status, msgspec.json.decode(line)
            return answer if self.epochs[member] == epoch else None

        return serve

    async def sweep(self) -> None:
        """Every 0.25 s, expire leases, record the cloud's list and check the periodic rules."""
        while True:
            self.store.expire()
            self.cloud.snapshot()
            self.check_all_cancelled()
            if self.is_troubled():
                self.calm_since = self.now
            self.idle.check()
            await asyncio.sleep(0.25)


async def _day(world: World, seconds: float, jobs: int, troubled: bool, calm: float) -> None:
    """Boot the controllers, submit random jobs and wait for their end."""
    for member in world.members:
        world.boot(member)
    world.spawn(world.sweep())
    world.spawn(world.query_unknown_jobs())
    begin = world.now
    if troubled:
        world.spawn(world.run_troubles(begin + seconds))
    arrivals = sorted(world.rng.uniform(0, seconds * 0.8) for _ in range(jobs))
    for number, at in enumerate(arrivals):
        spec = world.spec(number + 1)
        endless = spec["shape"] == "service" or spec["jobclass"] == "doomed"
        abort = world.rng.uniform(5, 60) if endless or world.rng.random() < 0.15 else None

        async def later(at: float = at, spec: Any = spec, abort: float | None = abort) -> None:
            await asyncio.sleep(at)
            await world.user(spec, abort)

        world.spawn(later())
    await wait_for_jobs(world, begin + seconds, begin + seconds + calm, lambda: jobs)


async def wait_for_jobs(
    world: World, earliest_end: float, latest_end: float, jobs: Callable[[], int]
) -> None:
    """Wait until all jobs are over and `earliest_end` has passed, at most until `latest_end`.

    `jobs` returns the number of jobs to wait for. Raises the first error of a background task.
    """
    while world.now < latest_end:
        await asyncio.sleep(0.5)
        if world.failure is not None:
            raise world.failure
        if (
            world.now > earliest_end
            and len(world.jobs) == jobs()
            and all(job["over"] for job in world.jobs.values())
        ):
            return


def close(world: World) -> None:
    """Stop the controllers, cancel all tasks and close the event loop of a world."""
    loop = world.loop
    for member in world.members:
        world.crash(member)
    pending = asyncio.all_tasks(loop)
    for task in pending:
        task.cancel()
    loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
    loop.close()
    asyncio.set_event_loop(None)


def play(
    seed: int,
    seconds: float = 100.0,
    jobs: int = 14,
    troubled: bool = True,
    calm: float = 300.0,
    prepare: Callable[[World], None] | None = None,
    kind: type[World] = World,
) -> World:
    """Simulate a day of random jobs and return its world; raises Broken if a rule is violated.

    seconds: random faults occur for so long if `troubled`, and jobs are submitted in 80% of it.
    calm: time in seconds that the jobs then have to end. prepare: called before the start.
    kind: class of the world.
    """
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    world = kind(loop, seed)
    if prepare is not None:
        prepare(world)
    try:
        loop.run_until_complete(_day(world, seconds, jobs, troubled, calm))
    finally:
        close(world)
    return world


def tell(
    story: Callable[[World], Awaitable[None]],
    seed: int = 1,
    loss: float = World.LOSS,
    prepare: Callable[[World], None] | None = None,
    kind: type[World] = World,
) -> None:
    """Run a test's coroutine in a world whose controllers have been up for 4 s.

    loss: share of the messages that are delayed. prepare: called before the controllers boot.
    kind: class of the world. Raises the first error of a background task.
    """

    async def run_story(world: World) -> None:
        world.loss = loss
        for member in world.members:
            world.boot(member)
        world.spawn(world.sweep())
        await asyncio.sleep(4.0)
        await story(world)
        if world.failure is not None:
            raise world.failure

    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    world = kind(loop, seed)
    if prepare is not None:
        prepare(world)
    try:
        loop.run_until_complete(run_story(world))
    finally:
        close(world)


__all__ = ["Broken", "World", "close", "play", "tell"]
