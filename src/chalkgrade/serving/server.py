"""The HTTP server for users, workers and health checks."""

import asyncio
import logging
from typing import Any

from aiohttp import web

from chalkgrade import constants
from chalkgrade.outside import encode
from chalkgrade.serving.connection_guard import ConnectionGuard, RequestKind
from chalkgrade.serving.metrics import render_metrics
from chalkgrade.serving.node import Node

log = logging.getLogger("chalkgrade.server")


class _Connection(web.RequestHandler):
    """aiohttp's side of a connection; tells the guard what happens on it."""

    __slots__ = ("connection_guard",)

    connection_guard: "ConnectionGuard[web.RequestHandler]"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.connection_guard.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        self.connection_guard.data_received(self)
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        self.connection_guard.connection_closed(self)
        super().connection_lost(exc)


def _request_kind(method: str, path: str) -> RequestKind:
    """What a request is for."""
    if path == "/hello":
        return RequestKind.REPORT
    if not path.startswith("/v2/"):
        return RequestKind.HEALTH
    if method == "POST":
        return RequestKind.ABORT if path.endswith("/abort") else RequestKind.SUBMISSION
    return RequestKind.QUERY


def _abort_connection(connection: web.RequestHandler) -> None:
    transport = connection.transport
    if transport is not None:
        transport.abort()


class Server:
    """A node's answers over HTTP. Made within a running loop."""

    def __init__(self, node: Node) -> None:
        self._node = node
        sockets = node.settings.cluster.quota.sockets
        self.connection_guard: ConnectionGuard[web.RequestHandler] = ConnectionGuard(
            node.clock, _abort_connection, sockets
        )
        self._web = web.Server(self.handle_request, access_log=None)
        self._loop = asyncio.get_running_loop()

    def __call__(self) -> web.RequestHandler:
        """A protocol for one accepted connection."""
        connection = _Connection(
            self._web,
            loop=self._loop,
            access_log=None,  # type: ignore[arg-type]
            keepalive_timeout=constants.KEEPALIVE_S,
        )
        connection.connection_guard = self.connection_guard
        return connection

    async def close(self) -> None:
        """Close all connections."""
        await self._web.shutdown(constants.CLOSE_S)

    async def watch_connections(self) -> None:
        """End unfinished connections in time, and say so in one counted line."""
        told_at = self._node.clock.now()
        while True:
            await asyncio.sleep(constants.GUARD_EVERY_S)
            self.connection_guard.sweep()
            if self._node.clock.now() - told_at >= constants.TELL_EVERY_S:
                told_at = self._node.clock.now()
                told = self.connection_guard.drain_counts()
                if told:
                    log.warning("connections ended or refused: %s", told)

    async def handle_request(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        try:
            return await self._answer(request, connection)
        finally:
            self.connection_guard.request_answered(connection)

    async def _answer(
        self, request: web.BaseRequest, connection: web.RequestHandler
    ) -> web.StreamResponse:
        path = request.path
        if path == "/metrics":
            self.connection_guard.request_received(connection, RequestKind.HEALTH)
            return web.Response(body=render_metrics(self._node), content_type="text/plain")
        try:
            body = await request.read() if request.body_exists else b""
        except web.HTTPRequestEntityTooLarge:
            return self._respond(path, 400, {"error": "body over 64 KiB"}, close=True)
        except (web.RequestPayloadError, ConnectionError):
            # Ended by the other side or by the guard: nobody will read an answer, and a
            # traceback for each would fill the log (found by trying: 67 a second).
            self.connection_guard.request_interrupted()
            return self._respond(path, 400, {"error": "body incomplete"}, close=True)
        if not self.connection_guard.request_received(
            connection, _request_kind(request.method, path)
        ):
            return self._respond(path, 503, {"error": "too many requests at once"}, close=True)
        if len(body) > constants.BODY_MAX:
            return self._respond(path, 400, {"error": "body over 64 KiB"})
        try:
            status, answer = await self._node.handle(request.method, path, body)
        except Exception:
            log.exception("%s %s", request.method, path)
            status, answer = 503, {"error": "internal error"}
        return self._respond(path, status, answer)

    def _respond(
        self, path: str, status: int, answer: dict[str, Any], close: bool = False
    ) -> web.Response:
        headers = {}
        # Workers and users come back on a new connection when they next have something to
        # say: that way more of them than there are sockets are served (found at three times
        # the fleet: 1,779 workers, each keeping one of 1,532).
        close = close or self.connection_guard.is_crowded()
        if status == 503:
            headers["Retry-After"] = str(constants.RETRY_AFTER_S)
            # The next try of a user may reach a better placed node.
            close = close or path.startswith("/v2/")
        if close:
            headers["Connection"] = "close"
        counts = self._node.responses_by_status
        counts[str(status)] = counts.get(str(status), 0) + 1
        response = web.Response(
            status=status, body=encode(answer), content_type="application/json", headers=headers
        )
        if close:
            response.force_close()
        return response
