"""The HTTP server for users, workers and health checks."""

import asyncio
import logging
from typing import Any

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from chalkgrade import constants
from chalkgrade.outside import encode
from chalkgrade.serving.connection_guard import ConnectionGuard, RequestKind
from chalkgrade.serving.metrics import render_metrics
from chalkgrade.serving.node import Node

log = logging.getLogger("chalkgrade.server")


class _Connection(web.RequestHandler):
    """aiohttp's protocol for one connection; reports its events to the connection guard."""

    __slots__ = ("connection_guard",)

    connection_guard: "ConnectionGuard[web.RequestHandler]"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        super().connection_made(transport)
        self.connection_guard.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Report received bytes before they are parsed."""
        self.connection_guard.data_received(self)
        super().data_received(data)

    def log_exception(self, *args: Any, **kwargs: Any) -> None:
        """Count a malformed request instead of logging a traceback for each."""
        error = kwargs.get("exc_info")
        if isinstance(error, (HttpProcessingError, web.RequestPayloadError)):
            self.connection_guard.request_malformed()
            log.debug("malformed request: %s", error)
        else:
            super().log_exception(*args, **kwargs)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the connection."""
        self.connection_guard.connection_closed(self)
        super().connection_lost(exc)


def _request_kind(method: str, path: str) -> RequestKind:
    """Return the kind of a request, by its method and path."""
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
    """Serves a node over HTTP; has to be created within a running event loop."""

    def __init__(self, node: Node) -> None:
        """Create the connection guard and the aiohttp server."""
        self._node = node
        sockets = node.settings.cluster.quota.sockets
        self.connection_guard: ConnectionGuard[web.RequestHandler] = ConnectionGuard(
            node.clock, _abort_connection, sockets
        )
        self._web = web.Server(self.handle_request, access_log=None)
        self._loop = asyncio.get_running_loop()

    def __call__(self) -> web.RequestHandler:
        """Create the protocol of an accepted connection."""
        connection = _Connection(
            self._web,
            loop=self._loop,
            access_log=None,  # type: ignore[arg-type]
            keepalive_timeout=constants.KEEPALIVE_TIMEOUT_S,
        )
        connection.connection_guard = self.connection_guard
        return connection

    async def close(self) -> None:
        """Close all connections."""
        await self._web.shutdown(constants.SHUTDOWN_GRACE_S)

    async def watch_connections(self) -> None:
        """Close overdue connections; log the number closed or refused once per interval."""
        logged_at = self._node.clock.now()
        while True:
            await asyncio.sleep(constants.CONNECTION_CHECK_INTERVAL_S)
            self.connection_guard.sweep()
            if self._node.clock.now() - logged_at >= constants.STATUS_LOG_INTERVAL_S:
                logged_at = self._node.clock.now()
                drained = self.connection_guard.drain_counts()
                if drained:
                    log.warning("connections ended or refused: %s", drained)

    async def handle_request(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request and report to the guard that it is answered."""
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
            return self._respond(path, 400, {"error": "body too long"}, close=True)
        except (web.RequestPayloadError, ConnectionError):
            # Closed by the client or by the guard: nobody reads the answer. A traceback for
            # each would fill the log: up to 67 per second under a flood of such requests.
            self.connection_guard.request_interrupted()
            return self._respond(path, 400, {"error": "body incomplete"}, close=True)
        if not self.connection_guard.request_received(
            connection, _request_kind(request.method, path)
        ):
            return self._respond(path, 503, {"error": "too many requests at once"}, close=True)
        try:
            status, answer = await self._node.handle(request.method, path, body)
        except Exception:
            log.exception("request failed: %s %s", request.method, path)
            status, answer = 503, {"error": "internal error"}
        return self._respond(path, status, answer)

    def _respond(
        self, path: str, status: int, answer: dict[str, Any], close: bool = False
    ) -> web.Response:
        headers = {}
        # When sockets are short, workers and users have to reconnect for their next request.
        # So more of them than there are sockets can be served: 1,779 workers (three times the
        # usual number) that each keep a connection don't fit into 1,532 sockets.
        close = close or self.connection_guard.is_crowded()
        if status == 429:
            headers["Retry-After"] = str(constants.MEMORY_RETRY_AFTER_S)
        if status == 503:
            headers["Retry-After"] = str(constants.RETRY_AFTER_S)
            # A user's retry on a new connection may reach another controller, which can answer.
            close = close or path.startswith("/v2/")
        if close:
            headers["Connection"] = "close"
        counts = self._node.responses_by_status
        counts[str(status)] = counts.get(str(status), 0) + 1
        body = encode(answer)
        self._node.message_sizes.note_response(path, len(body))
        response = web.Response(
            status=status, body=body, content_type="application/json", headers=headers
        )
        if close:
            response.force_close()
        return response
