"""Request and response over TCP between controllers: the client and the server side."""

import asyncio
import itertools
import logging
from typing import Any, cast

from chalkgrade.outside import NoAnswer
from chalkgrade.serving.netstrings import (
    FramingError,
    MessageTooLongError,
    NetstringDecoder,
    encode_netstring,
)
from chalkgrade.serving.node import Node
from chalkgrade.settings import Peer, split_addr

log = logging.getLogger("chalkgrade.links")

ANSWER_TOO_LONG: dict[str, Any] = {"status": 503, "body": {"error": "the answer is too long"}}


class PeerLinks:
    """Sends requests to the other controllers, over one connection to each."""

    def __init__(self, peers: list[Peer]) -> None:
        """Connections are opened by the first request to a controller."""
        self._addrs = {peer.member: split_addr(peer.addr, "others.addr") for peer in peers}
        self._connections: dict[str, _PeerConnection] = {}
        self._locks = {peer.member: asyncio.Lock() for peer in peers}

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.close()

    async def ask(self, member: str, message: dict[str, Any], timeout: float) -> dict[str, Any]:
        """Send a request to a controller and return its response; `timeout` in seconds.

        Raises NoAnswer when the controller is unknown, not reachable or too slow.
        """
        if member not in self._addrs:
            raise NoAnswer(f"{member}: not a configured controller")
        try:
            async with asyncio.timeout(timeout):
                async with self._locks[member]:
                    connection = self._connections.get(member)
                    if connection is None or connection.closed:
                        host, port = self._addrs[member]
                        loop = asyncio.get_running_loop()
                        _, connection = await loop.create_connection(_PeerConnection, host, port)
                        self._connections[member] = connection
                answer: dict[str, Any] = await connection.ask(message)
                return answer
        except TimeoutError:
            if message.get("q") == "ping":
                # The connection may be broken without an error: use a new one for the next request.
                stale = self._connections.pop(member, None)
                if stale is not None:
                    stale.close()
            raise NoAnswer(f"{member}: no response before the timeout") from None
        except OSError as error:
            raise NoAnswer(f"{member}: {error}") from None


class _NetstringProtocol(asyncio.Protocol):
    """Protocol of a connection that carries netstrings."""

    def __init__(self) -> None:
        """The connection is not open yet."""
        self._reader = NetstringDecoder()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # No isinstance check: uvloop's transports don't derive from asyncio.Transport.
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Decode the data; close the connection if it is invalid."""
        try:
            messages = self._reader.feed(data)
        except FramingError as error:
            log.warning("closing a connection between controllers: invalid data: %s", error)
            self.close()
            return
        for message in messages:
            self.message_received(message)

    def message_received(self, message: dict[str, Any]) -> None:
        """Handle one message."""
        raise NotImplementedError

    def send(self, message: dict[str, Any]) -> None:
        """Send a message, unless the connection is closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(encode_netstring(message))

    def close(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()


class _PeerConnection(_NetstringProtocol):
    """Client side: matches responses to requests by their request_id `n`."""

    def __init__(self) -> None:
        """No request is pending."""
        super().__init__()
        self._request_ids = itertools.count(1)
        self._pending: dict[int, asyncio.Future[dict[str, Any]]] = {}
        self.closed = False

    async def ask(self, message: dict[str, Any]) -> dict[str, Any]:
        """Send a request and return its response; NoAnswer when the connection is lost."""
        if self.closed:
            raise NoAnswer("connection is closed")
        request_id = next(self._request_ids)
        future: asyncio.Future[dict[str, Any]] = asyncio.get_running_loop().create_future()
        self._pending[request_id] = future
        try:
            self.send({**message, "n": request_id})
            return await future
        except MessageTooLongError as error:
            raise NoAnswer(str(error)) from None
        finally:
            self._pending.pop(request_id, None)

    def message_received(self, message: dict[str, Any]) -> None:
        """Resolve the request that the message answers."""
        request_id = message.get("n")
        future = self._pending.get(request_id) if isinstance(request_id, int) else None
        if future is not None and not future.done():
            future.set_result(message)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the requests that are still without a response."""
        self.closed = True
        for future in self._pending.values():
            if not future.done():
                future.set_exception(NoAnswer("link lost"))


class PeerRequestServer(_NetstringProtocol):
    """Server side: answers each request of another controller in a task of its own."""

    def __init__(self, node: Node) -> None:
        """`node` answers the requests."""
        super().__init__()
        self._node = node
        self._tasks: set[asyncio.Task[None]] = set()

    def message_received(self, message: dict[str, Any]) -> None:
        """Start to answer a request."""
        task = asyncio.create_task(self._answer(message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, message: dict[str, Any]) -> None:
        reply, request_id = await self._node.on_peer(message), message.get("n", 0)
        try:
            self.send({**reply, "n": request_id})
        except MessageTooLongError as error:
            # Closing the connection instead would fail all other requests on it.
            log.warning("answer to a controller not sent: %r: %s", message.get("q"), error)
            self.send({**ANSWER_TOO_LONG, "n": request_id})
