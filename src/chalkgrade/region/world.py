"""The whole region: controllers among users, troubles and rules, and the days they play."""

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
    """One node's way out; a crashed node's calls never return."""

    def __init__(
        self, world: "World", member: str, epoch: int, lost: type[Exception] = NoAnswer
    ) -> None:
        """`lost`: what the node's own version calls a call without an answer."""
        self.world, self.member, self.epoch, self.lost = world, member, epoch, lost

    def _check(self) -> None:
        if self.world.epochs[self.member] != self.epoch:
            raise asyncio.CancelledError

    async def call(
        self, addr: str, method: str, path: str, body: bytes | None, timeout: float
    ) -> Reply:
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
    """Everything, and the program under test in its midst."""

    def __init__(self, loop: VirtualLoop, seed: int) -> None:
        super().__init__(loop, seed)
        self.nodes: dict[str, Node | None] = dict.fromkeys(self.members)
        self.versions: dict[str, Version] = {}  # controllers that start as another version
        self.store.checked = lambda source: source not in self.versions
        self.epochs = dict.fromkeys(self.members, 0)
        self.contexts: dict[str, contextvars.Context] = {}
        self.last_nodes: list[Node] = []  # those that have ended, for their counts
        self.peer_messages = 0
        self.idle = IdleRoom(self)
        self.seen: dict[str, int] = {}  # suspicions and verdicts, of all controllers
        self.false_verdicts = 0  # of controllers that were up, reached and registered
        self.servers["state"] = lambda *request: self.store.handle(*request)
        self.servers["cloud"] = lambda *request: self.cloud.handle(*request)
        for member in self.members:
            self.servers[member] = self._serve(member)

    # -- controllers ------------------------------------------------------------------

    def up(self, target: str) -> bool:
        if target in self.epochs:
            return self.nodes[target] is not None
        return target in self.servers

    def leaders(self) -> list[str]:
        return [m for m, node in self.nodes.items() if node is not None and node.leadership.token]

    def waiting_reason(self, jobclass: str) -> str:
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
        """Start a process of that name, on the controller's own machine if not said."""
        home = f"home of {member}" if home is None else home
        clock = Clock(self.loop, 1 + self.rng.uniform(-5e-4, 5e-4))
        version = self.versions.get(member)
        made = Node if version is None else version.node
        lost = NoAnswer if version is None else version.no_answer
        http = _Http(self, member, self.epochs[member], lost)
        settings = self._settings(member, Settings if version is None else version.settings)
        settings.parts = self.parts
        node = made(settings, http, http, clock, random.Random(self.rng.random()), home)
        plain = node.views.changed

        def changed(subject: str, old: str, new: str) -> None:
            plain(subject, old, new)
            self.seen[new] = self.seen.get(new, 0) + 1
            if old == "suspect" and new == "alive":
                self.seen["refuted"] = self.seen.get("refuted", 0) + 1
            if new == "failed":
                key = f"{MEMBERS_PREFIX}{subject}"
                self.false_verdicts += key in self.store.keys

        node.views.changed = changed
        self.nodes[member] = node
        self.contexts[member] = contextvars.Context()
        self.contexts[member].run(MEMBER.set, member)
        self.contexts[member].run(node.start)

    def crash(self, member: str) -> None:
        node = self.nodes[member]
        if node is None:
            return
        self.epochs[member] += 1
        self.loop.thaw(member)  # the next process runs, however long this one would have stood
        self.last_nodes.append(node)
        node.stop()
        self.nodes[member] = None

    async def within(self, member: str, work: Awaitable[Any]) -> Any:
        """Have a controller do something, as part of it: it waits while that is silent."""
        task: asyncio.Task[Any] = self.loop.create_task(
            work,  # type: ignore[arg-type]
            context=self.contexts[member],
        )
        return await task

    def _serve(self, member: str) -> Callable[..., Awaitable[tuple[int, Any] | None]]:
        async def serve(source: str, method: str, path: str, body: Any) -> tuple[int, Any] | None:
            node, epoch = self.nodes[member], self.epochs[member]
            if node is None:
                return None
            if method == "PEER":
                reply = await self.within(member, node.on_peer(body))
                answer = 200, msgspec.json.decode(msgspec.json.encode(reply))
            else:
                raw = body if isinstance(body, bytes) else msgspec.json.encode(body)
                status, data = await self.within(member, node.handle(method, path, raw))
                answer = status, msgspec.json.decode(msgspec.json.encode(data))
            return answer if self.epochs[member] == epoch else None

        return serve

    async def sweep(self) -> None:
        while True:
            self.store.expire()
            self.cloud.snapshot()
            self.check_all_cancelled()
            if self.is_troubled():
                self.calm_since = self.now
            self.idle.check()
            await asyncio.sleep(0.25)


async def _day(world: World, seconds: float, jobs: int, troubled: bool, calm: float) -> None:
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
    await wait(world, begin + seconds, begin + seconds + calm, lambda: jobs)


async def wait(world: World, least: float, most: float, jobs: Callable[[], int]) -> None:
    """Until all jobs are over, within two times; raises what broke."""
    while world.now < most:
        await asyncio.sleep(0.5)
        if world.failure is not None:
            raise world.failure
        if (
            world.now > least
            and len(world.jobs) == jobs()
            and all(job["over"] for job in world.jobs.values())
        ):
            return


def close(world: World) -> None:
    """End all that a world has started."""
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
    """Play one day; raises Broken when a rule is broken."""
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
    """Play one story in a world whose controllers are up."""

    async def begun(world: World) -> None:
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
        loop.run_until_complete(begun(world))
    finally:
        close(world)


__all__ = ["Broken", "World", "close", "play", "tell"]
