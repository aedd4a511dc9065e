"""Queue, connection and sender task of one peer.

Messages are sent over one WebSocket that is used in one direction only; the peer sends
its answers over its own connection. A message counts as handed over once its frame was
written to the connection: from then on it is unknown whether the peer received it, and
the frame is never written to another connection. Queued messages are not handed over.
"""

import asyncio
import logging
import random
import socket
from collections import deque
from contextlib import suppress
from time import monotonic
from typing import Any

from aiohttp import (
    ClientError,
    ClientResponse,
    ClientSession,
    ClientWebSocketResponse,
    ClientWSTimeout,
    InvalidURL,
    WSMsgType,
)
from aiohttp.http import WebSocketWriter

from citronwood.errors import PeerUnavailableError
from citronwood.inner.codec import Codec
from citronwood.inner.messages import MAX_MESSAGE_BYTES

log = logging.getLogger(__name__)

MAX_QUEUED_MESSAGES = 8192
MAX_QUEUED_BYTES = 8 * MAX_MESSAGE_BYTES
# Well below the maximum message size, so that a large frame does not delay small ones.
BATCH_BYTES = 128 * 1024
# An attempt to connect ends after the first time, which doubles with each attempt that
# times out up to the second. The opening packet to a VM without power is lost and only
# sent again after a second, when the VM has long been back.
FIRST_DIAL_TIMEOUT_S = 0.25
MAX_DIAL_TIMEOUT_S = 1.0
# A connection on which the peer accepts nothing for this long is replaced.
STALL_TIMEOUT_S = 1.0
# Shortest time between a connection attempt and a requested reconnect, so that many
# calls that time out together replace the connection only once.
RECONNECT_INTERVAL_S = 0.5
# Without an idle timeout, heartbeats to random peers would keep 619 connections open
# in a fleet of 620 VMs.
IDLE_TIMEOUT_S = 10.0
# Longer than the deadline of any statement, so that only notifications and answers are
# dropped. Without this limit, the queue to a VM that was replaced would never be freed.
UNREACHABLE_DROP_AFTER_S = 30.0
CHECK_INTERVAL_S = 0.25
# Linux accepts more data only when a third of the send buffer is free. A small buffer
# lets a slow peer show progress within STALL_TIMEOUT_S; with the 4 MB to which
# autotuning may enlarge it, a slow peer appeared to accept nothing for half a second.
SEND_BUFFER_BYTES = 256 * 1024
RECONNECT_DELAY_MIN_S = 0.02
RECONNECT_DELAY_MAX_S = 0.2
# The peer sends no data on this connection.
MAX_INBOUND_BYTES = 1024
SCHEME = "tcp://"


class Outgoing:
    """Encoded envelope to be sent to a peer, unless it is cancelled before."""

    __slots__ = ("cancelled", "data", "handed_over")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.handed_over = False
        self.cancelled = False


class Connection(ClientWebSocketResponse):
    """WebSocket to a peer; can be closed without a closing handshake."""

    def __init__(
        self,
        reader: Any,
        writer: WebSocketWriter,
        protocol: str | None,
        response: ClientResponse,
        *arguments: Any,
        **options: Any,
    ) -> None:
        super().__init__(reader, writer, protocol, response, *arguments, **options)
        self._frame_writer = writer
        self._handshake_response = response
        raw_socket = writer.transport.get_extra_info("socket")
        if raw_socket is not None:
            # Fails if the peer has already closed the connection.
            with suppress(OSError):
                raw_socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
                )
        # Bytes written so far, bytes that had left the write buffer at the last check,
        # and the time of the last progress.
        self._written_bytes = 0
        self._accepted_bytes = 0
        self._progress_at = monotonic()

    @property
    def is_open(self) -> bool:
        """Whether frames can be written."""
        return not self._frame_writer.transport.is_closing()

    async def write(self, frame: bytes) -> None:
        """Write a frame, waiting while the write buffer is full."""
        self._written_bytes += len(frame)
        await self._frame_writer.send_frame(frame, WSMsgType.BINARY)

    def is_stalled(self, now: float) -> bool:
        """Tell whether no buffered data was accepted for ``STALL_TIMEOUT_S``."""
        buffered = self._frame_writer.transport.get_write_buffer_size()
        accepted = self._written_bytes - buffered
        if not buffered or accepted > self._accepted_bytes:
            self._progress_at = now
        self._accepted_bytes = accepted
        return now - self._progress_at >= STALL_TIMEOUT_S

    def abort(self) -> None:
        """Close at once and discard buffered data."""
        self._frame_writer.transport.abort()
        self._handshake_response.close()

    def close_after_flush(self) -> None:
        """Close once the buffered data is sent."""
        self._handshake_response.close()


class Peer:
    """Queue, connection and sender task of one peer."""

    def __init__(self, url: str, codec: Codec, session: ClientSession) -> None:
        self.url = url
        self._codec = codec
        self._session = session
        self._queue: deque[Outgoing] = deque()
        self._queued_bytes = 0
        self._wakeup: asyncio.Future[None] | None = None
        self._connection: Connection | None = None
        self._last_dial_at = 0.0
        self._dial_timeout_s = FIRST_DIAL_TIMEOUT_S
        self._unreachable_since: float | None = None
        self._idle_since = monotonic()
        self.sent_frames = 0
        self.sent_messages = 0
        self.sent_bytes = 0

    def enqueue(self, item: Outgoing) -> None:
        """Queue a message or raise ``PeerUnavailableError`` if the queue is full."""
        if (
            len(self._queue) >= MAX_QUEUED_MESSAGES
            or self._queued_bytes + len(item.data) > MAX_QUEUED_BYTES
        ):
            raise PeerUnavailableError(f"the queue to {self.url} is full")
        self._queue.append(item)
        self._queued_bytes += len(item.data)
        self._wake()

    def reconnect(self) -> None:
        """Abort the connection, at most once per ``RECONNECT_INTERVAL_S``."""
        connection = self._connection
        if (
            connection is None
            or monotonic() - self._last_dial_at < RECONNECT_INTERVAL_S
        ):
            return
        connection.abort()

    async def run(self) -> None:
        """Send queued messages until the idle timeout."""
        try:
            while await self._wait_for_messages():
                if self._connection is None or not self._connection.is_open:
                    await self._dial()
                elif batch := self._next_batch():
                    await self._send(self._connection, batch)
        finally:
            if self._connection is not None:
                self._connection.close_after_flush()

    def check_timeouts(self, now: float) -> None:
        """Stop the sender task at the idle timeout; abort a stalled connection.

        Must be called every ``CHECK_INTERVAL_S``.
        """
        if now - self._idle_since >= IDLE_TIMEOUT_S:
            self._wake()
        connection = self._connection
        if connection is not None and connection.is_open and connection.is_stalled(now):
            log.info("inner: the connection to %s is stalled, reconnecting", self.url)
            connection.abort()

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)

    async def _wait_for_messages(self) -> bool:
        """Wait for a queued message; False at the idle timeout."""
        if not self._queue:
            self._idle_since = monotonic()
            self._wakeup = asyncio.get_running_loop().create_future()
            await self._wakeup
        return bool(self._queue)

    async def _dial(self) -> None:
        """Make one connection attempt, after a delay if the last one was recent."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None
        if monotonic() - self._last_dial_at < RECONNECT_DELAY_MAX_S:
            await asyncio.sleep(
                random.uniform(RECONNECT_DELAY_MIN_S, RECONNECT_DELAY_MAX_S)
            )
        self._drop_cancelled()
        if not self._queue:
            return
        self._last_dial_at = monotonic()
        try:
            async with asyncio.timeout(self._dial_timeout_s):
                self._connection = await self._connect()
        except InvalidURL:
            raise
        except (ClientError, OSError) as error:
            if isinstance(error, TimeoutError):
                self._dial_timeout_s = min(MAX_DIAL_TIMEOUT_S, 2 * self._dial_timeout_s)
            self._handle_dial_failure(error)
        else:
            self._dial_timeout_s = FIRST_DIAL_TIMEOUT_S
            self._unreachable_since = None

    async def _connect(self) -> Connection:
        if not self.url.startswith(SCHEME):
            raise ValueError("not an address of a VM")
        connection = await self._session.ws_connect(
            f"http://{self.url.removeprefix(SCHEME)}/",
            compress=0,
            max_msg_size=MAX_INBOUND_BYTES,
            timeout=ClientWSTimeout(ws_close=0.0),
        )
        assert isinstance(connection, Connection)
        return connection

    def _handle_dial_failure(self, error: Exception) -> None:
        now = monotonic()
        if self._unreachable_since is None:
            self._unreachable_since = now
            log.info("inner: no connection to %s: %r", self.url, error)
        elif now - self._unreachable_since >= UNREACHABLE_DROP_AFTER_S:
            log.info("inner: %d messages to %s dropped", len(self._queue), self.url)
            self._queue.clear()
            self._queued_bytes = 0
            self._unreachable_since = None

    def _drop_cancelled(self) -> None:
        self._queue = deque(item for item in self._queue if not item.cancelled)
        self._queued_bytes = sum(len(item.data) for item in self._queue)

    def _next_batch(self) -> list[Outgoing]:
        batch: list[Outgoing] = []
        size = 0
        while self._queue:
            item = self._queue[0]
            if batch and size + len(item.data) > BATCH_BYTES:
                break
            self._queue.popleft()
            self._queued_bytes -= len(item.data)
            if not item.cancelled:
                batch.append(item)
                size += len(item.data)
        return batch

    async def _send(self, connection: Connection, batch: list[Outgoing]) -> None:
        frame = self._codec.encode_frame(item.data for item in batch)
        # The connection is open, and ``write`` writes the frame before its first
        # suspension. If it fails while waiting afterwards, the outcome is unknown.
        for item in batch:
            item.handed_over = True
        self.sent_frames += 1
        self.sent_messages += len(batch)
        self.sent_bytes += len(frame)
        try:
            await connection.write(frame)
        except (ClientError, OSError) as error:
            log.info("inner: connection to %s lost: %r", self.url, error)
