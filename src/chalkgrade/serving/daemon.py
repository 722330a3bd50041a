"""Runs one controller as a process: real clocks, sockets and event loop for a node."""

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
    """The clocks of the operating system."""

    def now(self) -> float:
        """Return monotonic time, s."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the time since the epoch, s."""
        return time.time()


def process_identity(settings: Settings) -> str:
    """Return an identifier that only one running process can have at a time.

    It consists of the listening addresses, the kernel's boot id and the network namespace: the
    kernel lets no second process listen on the same address. On a platform that hides the boot
    id or the namespace the addresses alone are used; such a platform itself guarantees that one
    process at a time uses them.
    """
    parts = [settings.bind, settings.cluster_listen]
    with contextlib.suppress(OSError):
        parts.append(Path("/proc/sys/kernel/random/boot_id").read_text().strip())
        parts.append(os.readlink("/proc/self/ns/net"))
    return " ".join(parts)


class Daemon:
    """Connects a node to real sockets between `start` and `stop`."""

    def __init__(self, settings: Settings) -> None:
        """Create the node, its HTTP client, peer connections and server."""
        self.settings = settings
        # Not seeded from the clock: two processes started at the same time must not draw the
        # same random identifiers.
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
        """Listen and start the node; raises OSError when an address is not available."""
        loop = asyncio.get_running_loop()
        settings = self.settings
        host, port = split_addr(settings.cluster_listen, "cluster_listen")
        peers = await loop.create_server(
            lambda: PeerRequestServer(self.node), host, port, reuse_address=True
        )
        self._listeners.append(peers)
        host, port = split_addr(settings.bind, "bind")
        sockets = settings.cluster.quota.sockets  # all workers may reconnect at once
        users = await loop.create_server(
            self.server, host, port, reuse_address=True, backlog=sockets
        )
        self._listeners.append(users)
        log.info(
            "listening: %s serves HTTP on %s, controllers on %s",
            settings.member,
            settings.bind,
            settings.cluster_listen,
        )
        self._guard_task = asyncio.create_task(self.server.watch_connections())
        self.node.start()

    async def stop(self) -> None:
        """Stop everything that `start` started; other controllers take over as after a crash."""
        self.node.stop()
        for listener in self._listeners:
            listener.close()
        if self._guard_task is not None:
            self._guard_task.cancel()
        await self.server.close()
        self.links.close()
        await self.http.close()


async def serve(settings: Settings) -> None:
    """Run a controller until the process ends."""
    await Daemon(settings).start()
    gc.freeze()  # objects made at start live as long as the process: exclude them from collections
    gc.enable()
    await asyncio.Event().wait()


def run(settings: Settings) -> None:
    """Run the daemon; exits with status 1 when it can't listen."""
    try:
        uvloop.run(serve(settings))
    except OSError as error:
        log.error("listening failed: %s", error)
        raise SystemExit(1) from None
