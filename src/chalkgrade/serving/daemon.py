"""One controller as a process: the real clocks, sockets and loop for a node."""

import asyncio
import contextlib
import gc
import logging
import os
import random
import time
from pathlib import Path

import uvloop

from chalkgrade.serving.client import HttpClient
from chalkgrade.serving.links import PeerLinks, PeerRequestServer
from chalkgrade.serving.node import Node
from chalkgrade.serving.server import Server
from chalkgrade.settings import Settings, split_addr

log = logging.getLogger("chalkgrade.daemon")


class SystemClock:
    """The machine's own clocks."""

    def now(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()


def process_identity(settings: Settings) -> str:
    """What only one living process can hold: this kernel's run, its network, our addresses.

    The kernel lets no second process listen on an address. Where it does not tell its run
    or network (a platform that hides them) the addresses alone count: there the platform
    itself promises one process at a time for each.
    """
    parts = [settings.bind, settings.cluster_listen]
    with contextlib.suppress(OSError):
        parts.append(Path("/proc/sys/kernel/random/boot_id").read_text().strip())
        parts.append(os.readlink("/proc/self/ns/net"))
    return " ".join(parts)


class Daemon:
    """A node on real sockets, from `start` to `stop`."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        # Not of the clock: two starts may read the same time, and must not draw the same marks.
        rng = random.Random(os.urandom(32))
        self.http = HttpClient()
        self.links = PeerLinks(settings.others)
        self.node = Node(
            settings, self.http, self.links, SystemClock(), rng, process_identity(settings)
        )
        self.server = Server(self.node)
        self._listeners: list[asyncio.Server] = []
        self._guard_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and begin; OSError when an address can't be had."""
        loop = asyncio.get_running_loop()
        settings = self.settings
        host, port = split_addr(settings.cluster_listen, "cluster_listen")
        peers = await loop.create_server(
            lambda: PeerRequestServer(self.node), host, port, reuse_address=True
        )
        self._listeners.append(peers)
        host, port = split_addr(settings.bind, "bind")
        sockets = settings.cluster.quota.sockets  # a fleet comes back at once
        users = await loop.create_server(
            self.server, host, port, reuse_address=True, backlog=sockets
        )
        self._listeners.append(users)
        log.info(
            "%s serves on %s, peers on %s", settings.member, settings.bind, settings.cluster_listen
        )
        self._guard_task = asyncio.create_task(self.server.watch_connections())
        self.node.start()

    async def stop(self) -> None:
        """End all that `start` began. Others take over as after a crash."""
        self.node.stop()
        for listening in self._listeners:
            listening.close()
        if self._guard_task is not None:
            self._guard_task.cancel()
        await self.server.close()
        self.links.close()
        await self.http.close()


async def serve(settings: Settings) -> None:
    """Run a controller for ever."""
    await Daemon(settings).start()
    gc.freeze()  # what the start made lives for ever: never walk it again
    gc.enable()
    await asyncio.Event().wait()


def run(settings: Settings) -> None:
    """Entry point of the daemon."""
    try:
        uvloop.run(serve(settings))
    except OSError as error:
        log.error("can't listen: %s", error)
        raise SystemExit(1) from None
