"""Inbound connections from other VMs: one web server that accepts WebSockets only.

Whatever is not a binary WebSocket message of bounded size is counted and refused, and
its connection is closed. Nothing is sent to the peer after the handshake.
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

# At 620 VMs, about 30 of them have a connection to this one at the same time; a
# thousand more may be left over from VMs that redial.
MAX_CONNECTIONS = 2048
BACKLOG = 1024
# A connection without a complete request is closed after this time.
HANDSHAKE_S = 5.0
# Senders close idle connections after 10 s themselves; one that is silent for longer
# belongs to a VM that is gone or to a stranger.
INBOUND_IDLE_S = 30.0
SWEEP_INTERVAL_S = 5.0
CLOSE_TIMEOUT_S = 1.0


class Listener:
    """Web server that passes the frames of other VMs to a function."""

    def __init__(
        self, refusals: RefusalCounter, deliver: Callable[[bytes], None]
    ) -> None:
        self._refusals = refusals
        self._deliver = deliver
        # Connections after the handshake, with the time of their last frame.
        self._heard_at: dict[asyncio.Transport, float] = {}
        self._server = _Server(self._serve, refusals)
        self._socket: socket.socket | None = None
        self._tasks: list[asyncio.Task[Any]] = []

    @property
    def connections(self) -> int:
        """Number of open connections, with or without a handshake."""
        return self._server.open_connections

    def start(self, url: str) -> str:
        """Listen and return the URL, with the actual port if ``url`` has port 0."""
        parts = urlsplit(url)
        host, port = parts.hostname or "", parts.port or 0
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listening = socket.create_server((host, port), family=family, backlog=BACKLOG)
        listening.setblocking(False)
        self._socket = listening
        # Connections wait in the backlog until the event loop accepts them.
        self._tasks = [
            asyncio.create_task(self._accept(listening)),
            asyncio.create_task(self._sweep()),
        ]
        shown = f"[{host}]" if ":" in host else host
        return f"{parts.scheme}://{shown}:{listening.getsockname()[1]}"

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await cancel_tasks(self._tasks)
        if self._socket is not None:
            # Not by the task, which may not have started.
            self._socket.close()
        for transport in list(self._heard_at):
            transport.abort()
        await self._server.shutdown(CLOSE_TIMEOUT_S)

    async def _accept(self, listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(self._server, sock=listening, backlog=BACKLOG)
        try:
            await asyncio.Event().wait()
        finally:
            server.close()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            limit = monotonic() - INBOUND_IDLE_S
            for transport, heard_at in list(self._heard_at.items()):
                if heard_at < limit:
                    log.info("inner: an idle connection from a peer was closed")
                    transport.abort()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = web.WebSocketResponse(
            timeout=0.0,
            compress=False,
            # aiohttp refuses messages of exactly this size.
            max_msg_size=MAX_MESSAGE_BYTES + 1,
            decode_text=False,
        )
        if not connection.can_prepare(request):
            self._refusals.refuse("not_websocket", f"from {request.remote}")
            response = web.Response(status=400)
            response.force_close()
            return response
        transport = request.transport
        if transport is None:
            raise ConnectionResetError("the peer closed during the handshake")
        self._heard_at[transport] = monotonic()
        try:
            await connection.prepare(request)
            await self._receive(connection, transport)
        finally:
            del self._heard_at[transport]
            transport.abort()
        return connection

    async def _receive(
        self, connection: web.WebSocketResponse, transport: asyncio.Transport
    ) -> None:
        while True:
            message = await connection.receive()
            if message.type is WSMsgType.BINARY:
                self._heard_at[transport] = monotonic()
                self._deliver(message.data)
            elif message.type is WSMsgType.TEXT:
                self._refusals.refuse("malformed", "text message")
                return
            else:
                if isinstance(message.data, WebSocketError):
                    self._refuse(message.data)
                return

    def _refuse(self, error: WebSocketError) -> None:
        oversized = error.code == WSCloseCode.MESSAGE_TOO_BIG
        self._refusals.refuse("oversized" if oversized else "malformed", str(error))


class _Server(web.Server):
    """Makes the protocol of each connection and counts the open ones."""

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
    """One inbound connection; counts requests that are malformed."""

    def __init__(self, server: _Server) -> None:
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=HANDSHAKE_S,
            lingering_time=0.0,
            access_log=None,  # type: ignore[arg-type]
        )
        self._server = server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._server.open_connections += 1
        if self._server.open_connections > MAX_CONNECTIONS:
            self._server.refusals.refuse("too_many_connections", "from a peer")
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
            log.error("inner: handler of a connection failed", exc_info=exc)
        else:
            self._server.refusals.refuse("malformed", f"HTTP: {exc!r}")
        if request.writer.output_size > 0:
            raise ConnectionError("the handshake was already answered")
        response = web.Response(status=status)
        response.force_close()
        return response
