"""Inbound connections from other VMs: a web server that accepts WebSockets only.

Requests that are no WebSocket handshake, and messages that are not binary or too large,
are refused and counted, and their connection is closed. No messages are sent to the
peer over an inbound connection.
"""

import asyncio
import logging
import socket
from collections.abc import Callable
from time import monotonic
from typing import Any
from urllib.parse import urlsplit

from aiohttp import WebSocketError, WSCloseCode, WSMsgType, web

from citronwood.inner.messages import MAX_MESSAGE_BYTES
from citronwood.inner.refusals import RefusalCounter
from citronwood.tasks import cancel_tasks

log = logging.getLogger(__name__)

# In a fleet of 620 VMs, about 30 are connected to this one at a time; VMs that
# reconnect may leave up to a thousand stale connections. Connections above the limit
# are closed at once.
MAX_CONNECTIONS = 2048
LISTEN_BACKLOG = 1024
# A connection without a complete request is closed after this time.
HANDSHAKE_TIMEOUT_S = 5.0
# Senders close their idle connections after 10 s. A connection that is idle for longer
# belongs to a VM that is gone or to an unknown client.
INBOUND_IDLE_TIMEOUT_S = 30.0
IDLE_CHECK_INTERVAL_S = 5.0
CLOSE_TIMEOUT_S = 1.0


class Listener:
    """Web server that passes the frames of other VMs to a callback."""

    def __init__(
        self, refusals: RefusalCounter, deliver: Callable[[bytes], None]
    ) -> None:
        self._refusals = refusals
        self._deliver = deliver
        # By connection: time of the last frame, or of the handshake if none came yet.
        self._last_frame_at: dict[asyncio.Transport, float] = {}
        self._server = _Server(self._handle_connection, refusals)
        self._socket: socket.socket | None = None
        self._tasks: list[asyncio.Task[Any]] = []

    @property
    def connections(self) -> int:
        """Number of open connections, including those in the handshake."""
        return self._server.open_connections

    def start(self, url: str) -> str:
        """Listen and return the URL, with the actual port if ``url`` has port 0."""
        parts = urlsplit(url)
        host, port = parts.hostname or "", parts.port or 0
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listening = socket.create_server(
            (host, port), family=family, backlog=LISTEN_BACKLOG
        )
        listening.setblocking(False)
        self._socket = listening
        # The backlog holds connections until the event loop accepts them.
        self._tasks = [
            asyncio.create_task(self._run_server(listening)),
            asyncio.create_task(self._close_idle_connections()),
        ]
        url_host = f"[{host}]" if ":" in host else host
        return f"{parts.scheme}://{url_host}:{listening.getsockname()[1]}"

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await cancel_tasks(self._tasks)
        if self._socket is not None:
            # Closed here because the server task may not have started.
            self._socket.close()
        for transport in list(self._last_frame_at):
            transport.abort()
        await self._server.shutdown(CLOSE_TIMEOUT_S)

    async def _run_server(self, listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            self._server, sock=listening, backlog=LISTEN_BACKLOG
        )
        try:
            await asyncio.Event().wait()
        finally:
            server.close()

    async def _close_idle_connections(self) -> None:
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
            cutoff = monotonic() - INBOUND_IDLE_TIMEOUT_S
            for transport, last_frame_at in list(self._last_frame_at.items()):
                if last_frame_at < cutoff:
                    log.info("inner: an idle connection from a peer was closed")
                    transport.abort()

    async def _handle_connection(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = web.WebSocketResponse(
            timeout=0.0,
            compress=False,
            # aiohttp refuses messages of exactly this size.
            max_msg_size=MAX_MESSAGE_BYTES + 1,
            decode_text=False,
        )
        if not connection.can_prepare(request):
            self._refusals.record("not_websocket", f"from {request.remote}")
            response = web.Response(status=400)
            response.force_close()
            return response
        transport = request.transport
        if transport is None:
            raise ConnectionResetError("the peer closed during the handshake")
        self._last_frame_at[transport] = monotonic()
        try:
            await connection.prepare(request)
            await self._receive(connection, transport)
        finally:
            del self._last_frame_at[transport]
            transport.abort()
        return connection

    async def _receive(
        self, connection: web.WebSocketResponse, transport: asyncio.Transport
    ) -> None:
        while True:
            message = await connection.receive()
            if message.type is WSMsgType.BINARY:
                self._last_frame_at[transport] = monotonic()
                self._deliver(message.data)
            elif message.type is WSMsgType.TEXT:
                self._refusals.record("malformed", "text message")
                return
            else:
                if isinstance(message.data, WebSocketError):
                    self._count_websocket_error(message.data)
                return

    def _count_websocket_error(self, error: WebSocketError) -> None:
        oversized = error.code == WSCloseCode.MESSAGE_TOO_BIG
        self._refusals.record("oversized" if oversized else "malformed", str(error))


class _Server(web.Server):
    """Creates the protocol of each connection and counts open connections."""

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Any],
        refusals: RefusalCounter,
    ) -> None:
        super().__init__(handler)
        self.refusals = refusals
        self.open_connections = 0

    def __call__(self) -> web.RequestHandler:
        return _Protocol(self)


class _Protocol(web.RequestHandler):
    """Protocol of one inbound connection; counts malformed requests."""

    def __init__(self, server: _Server) -> None:
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=HANDSHAKE_TIMEOUT_S,
            lingering_time=0.0,
            access_log=None,  # type: ignore[arg-type]
        )
        self._server = server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._server.open_connections += 1
        if self._server.open_connections > MAX_CONNECTIONS:
            self._server.refusals.record("too_many_connections", "from a peer")
            self.force_close()

    def connection_lost(self, exc: BaseException | None) -> None:
        self._server.open_connections -= 1
        super().connection_lost(exc)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        if isinstance(exc, ConnectionError):
            log.debug("inner: a peer closed its connection during the handshake")
        elif status >= 500:
            log.error("inner: the handler of a connection failed", exc_info=exc)
        else:
            self._server.refusals.record("malformed", f"HTTP: {exc!r}")
        if request.writer.output_size > 0:
            raise ConnectionError("the handshake was already answered")
        response = web.Response(status=status)
        response.force_close()
        return response
