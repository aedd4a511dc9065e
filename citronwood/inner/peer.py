"""Queue, connection and sender task of one peer.

Messages travel over one WebSocket that carries nothing back: the peer answers over a
connection of its own. A message counts as handed over once its frame was written to the
connection, because from then on nobody knows whether the peer received it; no frame is
ever written to a second connection. Messages that wait in the queue were not handed
over.
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
# Frames stay well below the maximum so that a large frame does not delay small ones.
BATCH_BYTES = 128 * 1024
DIAL_TIMEOUT_S = 1.0
# A peer that accepts nothing for this long gets a new connection.
STUCK_AFTER_S = 1.0
REDIAL_INTERVAL_S = 0.5
# At 620 VMs, heartbeats to random peers would otherwise keep 619 connections open.
IDLE_CLOSE_S = 10.0
# Longer than the deadline of any statement, so that only notifications and answers are
# dropped; without a limit, the queue of a VM that was replaced would stay for ever.
UNREACHABLE_DROP_S = 30.0
CHECK_INTERVAL_S = 0.25
# Linux takes more data only when a third of the send buffer is free. With the 4 MB that
# it grows to by itself, a slow peer seemed to accept nothing for half a second.
SEND_BUFFER_BYTES = 256 * 1024
RECONNECT_MIN_S = 0.02
RECONNECT_MAX_S = 0.2
# The peer sends nothing over this connection.
MAX_INBOUND_BYTES = 1024
SCHEME = "tcp://"


class Outgoing:
    """An encoded envelope on its way to a peer."""

    __slots__ = ("cancelled", "data", "handed_over")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.handed_over = False
        self.cancelled = False


class Connection(ClientWebSocketResponse):
    """WebSocket to a peer that can be aborted without a closing handshake."""

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
        self._frames = writer
        self._upgraded = response
        raw = writer.transport.get_extra_info("socket")
        if raw is not None:
            # The peer may have closed the connection already.
            with suppress(OSError):
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        # Bytes of all frames, and how many of them had left the buffer when the peer
        # was last seen to accept some.
        self._written = 0
        self._accepted = 0
        self._accepted_at = monotonic()

    @property
    def is_open(self) -> bool:
        """Whether a frame can be written."""
        return not self._frames.transport.is_closing()

    async def write(self, frame: bytes) -> None:
        """Write a frame to an open connection; wait while its buffer is full."""
        self._written += len(frame)
        await self._frames.send_frame(frame, WSMsgType.BINARY)

    def is_stuck(self, now: float) -> bool:
        """Whether the peer has accepted nothing of the buffer for a while."""
        buffered = self._frames.transport.get_write_buffer_size()
        accepted = self._written - buffered
        if not buffered or accepted > self._accepted:
            self._accepted_at = now
        self._accepted = accepted
        return now - self._accepted_at >= STUCK_AFTER_S

    def abort(self) -> None:
        """Close at once; what is still buffered is lost."""
        self._frames.transport.abort()
        self._upgraded.close()

    def finish(self) -> None:
        """Close after the buffer was sent."""
        self._upgraded.close()


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
        self._dialled_at = 0.0
        self._unreachable_since: float | None = None
        self._used_at = monotonic()
        self.sent_frames = 0
        self.sent_messages = 0
        self.sent_bytes = 0

    def enqueue(self, item: Outgoing) -> None:
        """Queue a message or raise when the queue is full."""
        if (
            len(self._queue) >= MAX_QUEUED_MESSAGES
            or self._queued_bytes + len(item.data) > MAX_QUEUED_BYTES
        ):
            raise PeerUnavailableError(f"the queue to {self.url} is full")
        self._queue.append(item)
        self._queued_bytes += len(item.data)
        self._wake()

    def redial(self) -> None:
        """Give up the connection, at most once in ``REDIAL_INTERVAL_S``."""
        connection = self._connection
        if connection is None or monotonic() - self._dialled_at < REDIAL_INTERVAL_S:
            return
        connection.abort()

    async def run(self) -> None:
        """Send queued messages until the peer has been idle for a while."""
        try:
            while await self._wait_for_work():
                if self._connection is None or not self._connection.is_open:
                    await self._dial()
                elif batch := self._next_batch():
                    await self._send(self._connection, batch)
        finally:
            if self._connection is not None:
                self._connection.finish()

    def check(self, now: float) -> None:
        """End the wait of an idle peer and give up a connection that is stuck.

        To be called every ``CHECK_INTERVAL_S``.
        """
        if now - self._used_at >= IDLE_CLOSE_S:
            self._wake()
        connection = self._connection
        if connection is not None and connection.is_open and connection.is_stuck(now):
            log.info("inner: nothing accepted by %s, dialling again", self.url)
            connection.abort()

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)

    async def _wait_for_work(self) -> bool:
        """Return whether there is a message; False after an idle time."""
        if not self._queue:
            self._used_at = monotonic()
            self._wakeup = asyncio.get_running_loop().create_future()
            await self._wakeup
        return bool(self._queue)

    async def _dial(self) -> None:
        """Open a connection, or drop messages and wait before the next attempt."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None
        if monotonic() - self._dialled_at < RECONNECT_MAX_S:
            await asyncio.sleep(random.uniform(RECONNECT_MIN_S, RECONNECT_MAX_S))
        self._drop_cancelled()
        if not self._queue:
            return
        self._dialled_at = monotonic()
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                self._connection = await self._connect()
        except InvalidURL:
            raise
        except (ClientError, OSError) as error:
            self._note_failure(error)
        else:
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

    def _note_failure(self, error: Exception) -> None:
        now = monotonic()
        if self._unreachable_since is None:
            self._unreachable_since = now
            log.info("inner: no connection to %s: %r", self.url, error)
        elif now - self._unreachable_since >= UNREACHABLE_DROP_S:
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
        # The connection is open and the frame is written before the first suspension;
        # a failure of the wait that may follow leaves the outcome unknown.
        for item in batch:
            item.handed_over = True
        self.sent_frames += 1
        self.sent_messages += len(batch)
        self.sent_bytes += len(frame)
        try:
            await connection.write(frame)
        except (ClientError, OSError) as error:
            log.info("inner: connection to %s lost: %r", self.url, error)
