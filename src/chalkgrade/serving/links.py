"""Netstrings over TCP between controllers: the asking and the answering side."""

import asyncio
import itertools
import logging
from typing import Any, cast

from chalkgrade.outside import NoAnswer
from chalkgrade.serving.netstrings import FramingError, NetstringDecoder, encode_netstring
from chalkgrade.serving.node import Node
from chalkgrade.settings import Peer, split_addr

log = logging.getLogger("chalkgrade.links")


class PeerLinks:
    """Outgoing questions to the other controllers, one connection each."""

    def __init__(self, peers: list[Peer]) -> None:
        self._addrs = {peer.member: split_addr(peer.addr, "others.addr") for peer in peers}
        self._connections: dict[str, _PeerConnection] = {}
        self._locks = {peer.member: asyncio.Lock() for peer in peers}

    def close(self) -> None:
        for link in self._connections.values():
            link.close()

    async def ask(self, member: str, message: dict[str, Any], timeout: float) -> dict[str, Any]:
        if member not in self._addrs:
            raise NoAnswer(f"unknown peer {member}")
        try:
            async with asyncio.timeout(timeout):
                async with self._locks[member]:
                    link = self._connections.get(member)
                    if link is None or link.closed:
                        host, port = self._addrs[member]
                        loop = asyncio.get_running_loop()
                        _, link = await loop.create_connection(_PeerConnection, host, port)
                        self._connections[member] = link
                answer: dict[str, Any] = await link.ask(message)
                return answer
        except TimeoutError:
            if message.get("q") == "ping":
                # A link that swallows pings may lie behind a cut: start afresh.
                stale = self._connections.pop(member, None)
                if stale is not None:
                    stale.close()
            raise NoAnswer(f"{member}: no answer in time") from None
        except OSError as error:
            raise NoAnswer(f"{member}: {error}") from None


class _NetstringProtocol(asyncio.Protocol):
    """A connection that carries netstrings."""

    def __init__(self) -> None:
        self._reader = NetstringDecoder()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Not checked with isinstance: uvloop's transports derive from another class.
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        try:
            messages = self._reader.feed(data)
        except FramingError as error:
            log.warning("closing a cluster connection: %s", error)
            self.close()
            return
        for message in messages:
            self.message_received(message)

    def message_received(self, message: dict[str, Any]) -> None:
        raise NotImplementedError

    def send(self, message: dict[str, Any]) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(encode_netstring(message))

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class _PeerConnection(_NetstringProtocol):
    """The asking side."""

    def __init__(self) -> None:
        super().__init__()
        self._request_ids = itertools.count(1)
        self._pending: dict[int, asyncio.Future[dict[str, Any]]] = {}
        self.closed = False

    async def ask(self, message: dict[str, Any]) -> dict[str, Any]:
        if self.closed:
            raise NoAnswer("link closed")
        number = next(self._request_ids)
        future: asyncio.Future[dict[str, Any]] = asyncio.get_running_loop().create_future()
        self._pending[number] = future
        try:
            self.send({**message, "n": number})
            return await future
        finally:
            self._pending.pop(number, None)

    def message_received(self, message: dict[str, Any]) -> None:
        future = self._pending.get(message.get("n", 0))
        if future is not None and not future.done():
            future.set_result(message)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        for future in self._pending.values():
            if not future.done():
                future.set_exception(NoAnswer("link lost"))


class PeerRequestServer(_NetstringProtocol):
    """The answering side."""

    def __init__(self, node: Node) -> None:
        super().__init__()
        self._node = node
        self._tasks: set[asyncio.Task[None]] = set()

    def message_received(self, message: dict[str, Any]) -> None:
        task = asyncio.create_task(self._answer(message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, message: dict[str, Any]) -> None:
        reply = await self._node.on_peer(message)
        self.send({**reply, "n": message.get("n", 0)})
