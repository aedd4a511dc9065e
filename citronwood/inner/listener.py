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

from citronwood.ingress.acceptor import accept_peers
from citronwood.ingress.budget import ByteBudget, ConnectionBudget, Limits
from citronwood.inner.messages import MAX_MESSAGE_BYTES
from citronwood.inner.refusals import RefusalCounter
from citronwood.metrics import Metrics
from citronwood.tasks import cancel_tasks

log = logging.getLogger(__name__)

# In a fleet of 620 VMs, about 30 are connected to this one at a time; VMs that
# reconnect may leave up to a thousand stale connections. Used when the descriptors of
# the process are not known. For connections above the limit, one without a handshake or
# a frame for a while is closed, or they are refused.
MAX_CONNECTIONS = 2048
LISTEN_BACKLOG = 1024
# A connection without a complete request is closed after this time.
HANDSHAKE_TIMEOUT_S = 5.0
# Senders close their idle connections after 10 s. A connection that is idle for longer
# belongs to a VM that is gone or to an unknown client.
INBOUND_IDLE_TIMEOUT_S = 30.0
IDLE_CHECK_INTERVAL_S = 5.0
# Connections that are idle for longer than senders keep them may be closed for new
# ones.
REPLACEABLE_IDLE_S = 10.0
# Bytes of frames and handshakes that have not ended, over all connections. Used when
# the memory of the process is not known.
MAX_BUFFERED_BYTES = 64 * MAX_MESSAGE_BYTES
# Incomplete frames up to this size are not counted.
SMALL_FRAME_BYTES = 16 * 1024
CLOSE_TIMEOUT_S = 1.0


class Listener:
    """Web server that passes the frames of other VMs to a callback."""

    def __init__(
        self,
        refusals: RefusalCounter,
        deliver: Callable[[bytes], bool],
        metrics: Metrics,
        limits: Limits | None = None,
    ) -> None:
        self._refusals = refusals
        self._metrics = metrics
        self._deliver = deliver
        # By connection: time of the last frame, or of the handshake if none came yet.
        self._last_frame_at: dict[asyncio.Transport, float] = {}
        self._server = _Server(self._handle_connection, refusals, limits)
        self._socket: socket.socket | None = None
        self._tasks: list[asyncio.Task[Any]] = []

    @property
    def connections(self) -> int:
        """Number of open connections, including those in the handshake."""
        return self._server.budget.open

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
        server = await accept_peers(
            listening,
            self._server,
            self._server.budget,
            self._server.evict,
            self._metrics,
            lambda: self._refusals.record("too_many_connections", "from a peer"),
        )
        try:
            await asyncio.Event().wait()
        finally:
            server.close()

    async def _close_idle_connections(self) -> None:
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
            self._metrics.gauge("inner.connections", self._server.budget.open)
            self._metrics.gauge("inner.incomplete_bytes", self._server.buffered.total)
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
        protocol = request.protocol
        assert isinstance(protocol, _Protocol)
        self._last_frame_at[transport] = monotonic()
        try:
            await connection.prepare(request)
            protocol.end_frame()
            protocol.set_idle()
            await self._receive(connection, transport, protocol)
        finally:
            del self._last_frame_at[transport]
            transport.abort()
        return connection

    async def _receive(
        self,
        connection: web.WebSocketResponse,
        transport: asyncio.Transport,
        protocol: "_Protocol",
    ) -> None:
        while True:
            message = await connection.receive()
            if message.type is WSMsgType.BINARY:
                protocol.end_frame()
                # A frame of anything else does not keep the connection open.
                if self._deliver(message.data):
                    self._last_frame_at[transport] = monotonic()
                    protocol.set_idle()
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
    """Creates the protocol of each connection; counts connections and their bytes."""

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Any],
        refusals: RefusalCounter,
        limits: Limits | None,
    ) -> None:
        super().__init__(handler)
        self.refusals = refusals
        self.budget: ConnectionBudget[_Protocol] = ConnectionBudget(
            MAX_CONNECTIONS if limits is None else limits.peers,
            min_idle_s=REPLACEABLE_IDLE_S,
        )
        self.buffered: ByteBudget[_Protocol] = ByteBudget(
            MAX_BUFFERED_BYTES if limits is None else limits.buffered_bytes
        )

    def __call__(self) -> web.RequestHandler:
        return _Protocol(self)

    def evict(self, protocol: "_Protocol") -> None:
        """Close a connection that another VM has probably left, for a new one."""
        self.refusals.record("idle", "closed for another connection")
        protocol.abort()

    def count_bytes(self, protocol: "_Protocol", count: int) -> None:
        """Record the incomplete frame of a connection; close the largest ones."""
        self.buffered.set(protocol, count)
        if self.buffered.is_exceeded:
            for largest in self.buffered.find_largest(self.buffered.limit * 3 // 4):
                self.buffered.set(largest, 0)
                self.refusals.record("buffered", "too many bytes of incomplete frames")
                largest.abort()


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
        # Bytes received since the last complete frame.
        self._incomplete_bytes = 0

    def abort(self) -> None:
        """Close the connection at once."""
        if isinstance(self.transport, asyncio.Transport):
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        self._incomplete_bytes += len(data)
        if self._incomplete_bytes > SMALL_FRAME_BYTES and self.transport is not None:
            self._server.count_bytes(self, self._incomplete_bytes)

    def end_frame(self) -> None:
        """Count the bytes of the next frame from zero."""
        if self._incomplete_bytes > SMALL_FRAME_BYTES:
            self._server.count_bytes(self, 0)
        self._incomplete_bytes = 0

    def set_idle(self) -> None:
        """Note that a frame of another VM, or its handshake, has just ended."""
        if self.transport is not None:
            self._server.budget.set_started(self)
            self._server.budget.set_busy(self)
            self._server.budget.set_idle(self, monotonic())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._server.budget.begin(self, monotonic())

    def connection_lost(self, exc: BaseException | None) -> None:
        self._server.budget.remove(self)
        self._server.buffered.set(self, 0)
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
