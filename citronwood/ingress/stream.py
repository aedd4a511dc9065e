"""Connections of callers with bounded buffers, and what they share.

A connection holds received bytes, the statement that is handled with its copies, and
answers that its caller has not read. Bytes up to ``SMALL_BYTES`` belong to the cost of
a connection and are not counted one by one, so that an ordinary statement costs two
entries in a dict and no timer.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from time import monotonic
from typing import Any

from citronwood.decisions import log_state
from citronwood.errors import MessageError
from citronwood.ingress.acceptor import RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES
from citronwood.ingress.budget import (
    ByteBudget,
    ConnectionBudget,
    HandlingBudget,
    Limits,
    RefusalPacer,
)
from citronwood.ingress.messages import MessageBuffer
from citronwood.metrics import Metrics
from citronwood.tasks import keep_running

log = logging.getLogger(__name__)

SMALL_BYTES = 4 * 1024
# Bytes of further messages that are received while a statement runs.
PIPELINED_BYTES = 64 * 1024
# Bytes of answers beyond which the next statement of a caller waits.
UNSENT_BYTES = 64 * 1024
# Bytes of one read; fewer while the budget is exceeded.
READ_BYTES = 32 * 1024
# Pipelined messages that are handled before other connections have their turn.
TURN_MESSAGES = 16
# A message of 1 MiB takes less over the slowest link that callers may use.
MESSAGE_TIMEOUT_S = 30.0
ANSWER_TIMEOUT_S = 30.0
CHECK_INTERVAL_S = 0.25
# Wait of a long statement until others have ended. Callers repeat after that.
HANDLING_WAIT_S = 1.0
# Time for a caller to read its refusal while its oversized message is discarded.
DISCARD_S = 2.0


class StatementsCrowdedError(MessageError):
    """A long statement was dropped because others use up the memory for them."""


class Ingress:
    """Limits of one listener for callers, and the connections that they apply to."""

    def __init__(self, limits: Limits, metrics: Metrics) -> None:
        self.connections: ConnectionBudget[CallerStream] = ConnectionBudget(
            limits.connections
        )
        self.buffered: ByteBudget[CallerStream] = ByteBudget(limits.buffered_bytes)
        self.handled: HandlingBudget[CallerStream] = HandlingBudget(
            limits.handled_bytes
        )
        self.unsent: ByteBudget[CallerStream] = ByteBudget(limits.unsent_bytes)
        self.pacer = RefusalPacer()
        # Deadlines of messages that have begun, and of answers that are not yet read.
        self.message_deadlines: dict[CallerStream, float] = {}
        self.answer_deadlines: dict[CallerStream, float] = {}
        self._metrics = metrics
        self._paused: set[CallerStream] = set()
        self._exceeded_at: float | None = None
        view = memoryview(bytearray(READ_BYTES))
        # Shared by all connections: it is filled and read within one event.
        self.memory, self._small_view = view, view[:SMALL_BYTES]
        # Part of ``memory`` for the next read.
        self.view = view
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to check deadlines and totals periodically."""
        self._task = asyncio.create_task(keep_running("ingress", self._check_all))

    def stop(self) -> None:
        """End the periodic checks."""
        if self._task is not None:
            self._task.cancel()

    def pause(self, stream: "CallerStream") -> None:
        """Note that a connection is not read because of the limit for all."""
        self._paused.add(stream)

    def update_buffered(self, stream: "CallerStream", count: int) -> None:
        """Record the received bytes of a connection; go on reading if there is room."""
        self.buffered.set(stream, count)
        self.view = self._small_view if self.buffered.is_exceeded else self.memory
        if self._paused and self.buffered.has_room:
            self._resume_paused()

    def update_unsent(self, stream: "CallerStream", count: int) -> None:
        """Record the unsent bytes; close connections while there are too many."""
        self.unsent.set(stream, count + 2 * SEND_BUFFER_BYTES if count else 0)
        if not count:
            self.answer_deadlines.pop(stream, None)
            return
        self.answer_deadlines[stream] = monotonic() + ANSWER_TIMEOUT_S
        if self.unsent.is_exceeded:
            for largest in self.unsent.find_largest(self.unsent.limit):
                self.close(largest, "unread_answers", self.unsent.held(largest))

    def release_handled(self, stream: "CallerStream") -> None:
        """End a long statement; admit those that wait for it."""
        for admitted in self.handled.release(stream):
            admitted.on_admitted()

    def close(self, stream: "CallerStream", reason: str, held_bytes: int = 0) -> None:
        """Close a connection because of a limit."""
        self._metrics.count(f"callers.closed.{reason}")
        log_state(
            log,
            "callers",
            f"closed_{reason}",
            f"entry: the connection of a caller was closed: {reason}",
            peer=stream.peer,
            held_bytes=held_bytes,
            connections=self.connections.open,
            buffered_bytes=self.buffered.total,
            unsent_bytes=self.unsent.total,
        )
        # The remaining bytes are counted until the connection is lost; without this, a
        # second connection would be closed for them.
        self.buffered.set(stream, 0)
        self.unsent.set(stream, 0)
        stream.abort()

    def evict(self, stream: "CallerStream") -> None:
        """Close an idle connection for a new one."""
        self.close(stream, "idle")

    def forget(self, stream: "CallerStream") -> None:
        """Release everything that a lost connection held."""
        self.connections.remove(stream)
        self._paused.discard(stream)
        self.message_deadlines.pop(stream, None)
        self.answer_deadlines.pop(stream, None)
        self.unsent.set(stream, 0)
        self.update_buffered(stream, 0)
        self.release_handled(stream)

    async def _check_all(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check(monotonic())

    def check(self, now: float) -> None:
        """Close connections whose deadline has passed or that hold too much."""
        for stream, deadline in [*self.message_deadlines.items()]:
            if now >= deadline:
                self.close(stream, "slow_message", self.buffered.held(stream))
        for stream, deadline in [*self.answer_deadlines.items()]:
            if not stream.unsent_bytes:
                self.update_unsent(stream, 0)
            elif now >= deadline:
                self.close(stream, "slow_reader", self.unsent.held(stream))
        self._relieve(now)
        self._metrics.gauge("callers.connections", self.connections.open)
        self._metrics.gauge("callers.buffered_bytes", self.buffered.total)
        self._metrics.gauge("callers.handled_bytes", self.handled.total)
        self._metrics.gauge("callers.unsent_bytes", self.unsent.total)

    def _relieve(self, now: float) -> None:
        """Close the largest holders when pausing has not helped by the next check."""
        if not self.buffered.is_exceeded:
            self._exceeded_at = None
        elif self._exceeded_at is None:
            self._exceeded_at = now
            return
        else:
            self._exceeded_at = None
            for stream in self.buffered.find_largest(self.buffered.limit * 3 // 4):
                self.close(stream, "buffered", self.buffered.held(stream))
        self._resume_paused()

    def _resume_paused(self) -> None:
        paused, self._paused = self._paused, set()
        for stream in paused:
            stream.resume()


class CallerStream(asyncio.BufferedProtocol):
    """Connection of one caller: messages in, answers out.

    ``serve`` is run as a task for the connection, which is closed after it.
    """

    def __init__(
        self,
        ingress: Ingress,
        serve: Callable[["CallerStream"], Awaitable[None]],
        message_limit: int,
    ) -> None:
        self._ingress = ingress
        self._serve = serve
        self._buffer = MessageBuffer(message_limit)
        self._transport: Any = None
        self._task: asyncio.Task[None] | None = None
        self._reading: asyncio.Future[None] | None = None
        self._draining: asyncio.Future[None] | None = None
        self._admission: asyncio.Future[None] | None = None
        self._lost: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._error: Exception | None = None
        self._ended = False
        self._is_paused = False
        self._is_discarding = False
        self._is_counted = False
        self._is_handling = False
        self._has_deadline = False
        self._messages_in_turn = 0

    # Interface of protocols.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve the caller."""
        self._transport = transport
        self._transport.set_write_buffer_limits(high=UNSENT_BYTES)
        self._ingress.connections.begin(self, monotonic())
        self._task = asyncio.get_running_loop().create_task(self._run())

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake all that wait for the connection."""
        self._ended = True
        self._error = exc
        self._buffer.drop()
        self._ingress.forget(self)
        if not self._lost.done():
            self._lost.set_result(None)
        for waiter in (self._reading, self._draining, self._admission):
            _wake(waiter)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return memory for the next read."""
        return self._ingress.view

    def buffer_updated(self, nbytes: int) -> None:
        """Add what was read to the buffer."""
        if self._is_discarding:
            return
        buffer = self._buffer
        buffer.feed(self._ingress.memory[:nbytes])
        reading = self._reading
        if reading is not None:
            if buffer.first_size < 0 and not buffer.is_oversized:
                self._begin_message()
            elif not reading.done():
                reading.set_result(None)
        if len(buffer) > SMALL_BYTES or self._is_counted:
            self._count_buffered()

    def eof_received(self) -> bool:
        """Keep the connection open for the answers."""
        self._ended = True
        _wake(self._reading)
        return True

    def pause_writing(self) -> None:
        """Let ``drain`` wait."""
        self._draining = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let ``drain`` go on."""
        _wake(self._draining)
        self._draining = None

    # Interface of the listener.

    @property
    def peer(self) -> str:
        """IP address of the caller; empty if it has disconnected."""
        address = self._transport.get_extra_info("peername")
        return str(address[0]) if address else ""

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that the kernel has not accepted."""
        return int(self._transport.get_write_buffer_size())

    def get_extra_info(self, name: str) -> Any:
        """Return a property of the transport, such as its socket."""
        return self._transport.get_extra_info(name)

    def is_closing(self) -> bool:
        """Whether the connection is closed or about to be."""
        return bool(self._transport.is_closing())

    def set_idle(self, now: float) -> None:
        """Allow that the connection is closed for a new one."""
        self._ingress.connections.set_idle(self, now)

    def set_started(self) -> None:
        """Note that the first message has arrived."""
        self._ingress.connections.set_started(self)

    def set_busy(self) -> None:
        """Forbid that the connection is closed for a new one."""
        self._ingress.connections.set_busy(self)

    async def read_message(self) -> str | None:
        """Return the next message; None at the end of the stream.

        Raises ``MessageError`` when the message is too long, and
        ``StatementsCrowdedError`` when it was dropped; the next one may then be read.
        """
        if self._is_handling:
            self._is_handling = False
            self._ingress.release_handled(self)
        buffer = self._buffer
        self._messages_in_turn += 1
        if self._messages_in_turn > TURN_MESSAGES:
            # Nothing else would run while messages that wait for nothing are handled.
            self._messages_in_turn = 0
            await asyncio.sleep(0)
        while buffer.first_size < 0 and not buffer.is_oversized:
            if self._error is not None:
                raise ConnectionResetError("the connection of the caller is lost")
            if self._ended:
                return None
            await self._wait_for_data()
        if self._error is not None:
            raise ConnectionResetError("the connection of the caller is lost")
        if self._lost.done():
            return None
        if self._has_deadline:
            self._has_deadline = False
            self._ingress.message_deadlines.pop(self, None)
        size = buffer.first_size
        if size <= SMALL_BYTES and not self._is_counted:
            return buffer.take()
        return await self._take_counted(size)

    def write(self, data: bytes) -> None:
        """Send data; what the kernel does not accept at once is counted."""
        self._transport.write(data)
        unsent = self._transport.get_write_buffer_size()
        if unsent:
            self._ingress.update_unsent(self, unsent)

    async def drain(self) -> None:
        """Wait until most of the answers are sent."""
        if self._draining is not None:
            await self._draining
        if self._lost.done():
            raise ConnectionResetError("the connection of the caller is lost")

    def close(self) -> None:
        """Close the connection after the answers are sent."""
        self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self._transport.abort()

    async def discard(self) -> None:
        """Send the end of the stream and discard what still arrives, for a while.

        A connection that is closed with unread data is reset, and its caller would not
        see the last answer.
        """
        self._is_discarding = True
        self._buffer.drop()
        self._ingress.update_buffered(self, 0)
        self.resume()
        if self.is_closing():
            return
        self._transport.write_eof()
        await asyncio.wait({self._lost}, timeout=DISCARD_S)

    # Called by the ingress.

    def resume(self) -> None:
        """Read again, unless enough is pipelined."""
        if self._is_paused and not self.is_closing():
            if self._reading is None and len(self._buffer) > PIPELINED_BYTES:
                return
            self._is_paused = False
            self._transport.resume_reading()

    def on_admitted(self) -> None:
        """Handle the long statement that has waited."""
        _wake(self._admission)

    async def _run(self) -> None:
        try:
            await self._serve(self)
        finally:
            self.close()

    async def _wait_for_data(self) -> None:
        if len(self._buffer):
            self._begin_message()
        self._reading = asyncio.get_running_loop().create_future()
        if self._is_paused and not self._ingress.buffered.is_exceeded:
            self.resume()
        elif self._is_paused:
            self._ingress.pause(self)
        try:
            await self._reading
        finally:
            self._reading = None
            self._messages_in_turn = 0

    def _begin_message(self) -> None:
        """Store the deadline of a message whose first bytes have arrived."""
        if not self._has_deadline:
            self._has_deadline = True
            self._ingress.message_deadlines[self] = monotonic() + MESSAGE_TIMEOUT_S

    def _count_buffered(self) -> None:
        ingress, count = self._ingress, len(self._buffer)
        if count <= SMALL_BYTES:
            self._is_counted = False
            ingress.update_buffered(self, 0)
            return
        self._is_counted = True
        if self._is_paused:
            count += 2 * RECEIVE_BUFFER_BYTES
        ingress.update_buffered(self, count)
        if self._is_paused or self._buffer.is_oversized or self.is_closing():
            return
        is_pipelining = self._reading is None and count > PIPELINED_BYTES
        if is_pipelining or ingress.buffered.is_exceeded:
            self._is_paused = True
            self._transport.pause_reading()
            # The kernel's buffer fills up from now on.
            ingress.update_buffered(self, count + 2 * RECEIVE_BUFFER_BYTES)
            if ingress.buffered.is_exceeded:
                ingress.pause(self)

    async def _take_counted(self, size: int) -> str | None:
        """Take a message that is long, or behind which others wait."""
        if size > SMALL_BYTES:
            self._is_handling = True
            if not self._ingress.handled.take(self, size):
                await self._wait_for_admission()
        try:
            return self._buffer.take()
        finally:
            self._count_buffered()

    async def _wait_for_admission(self) -> None:
        self._admission = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(HANDLING_WAIT_S):
                await self._admission
        except TimeoutError:
            self._ingress.release_handled(self)
            self._is_handling = False
            self._buffer.take()
            self._count_buffered()
            raise StatementsCrowdedError("crowded", "long statements") from None
        finally:
            self._admission = None
        if self._lost.done():
            raise ConnectionResetError("the connection of the caller is lost")


def _wake(waiter: "asyncio.Future[None] | None") -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)
