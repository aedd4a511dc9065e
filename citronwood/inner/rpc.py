"""Calls and notifications between VMs.

A call returns its answer, raises ``PeerUnavailableError`` if the peer certainly did not
process it, or raises ``DeadlineExceededError`` or ``CallFailedError`` if the outcome is
unknown. Each process starts its call ids at a random number and never reuses them, so
a late answer never matches another call, even if a new process has taken over the
address.
"""

import asyncio
import logging
import secrets
import time
from collections.abc import Awaitable, Callable
from time import monotonic
from typing import Any, NamedTuple, TypeVar

from citronwood.deadline import time_left
from citronwood.errors import (
    CallFailedError,
    DeadlineExceededError,
    MessageError,
    PeerSilentError,
    PeerUnavailableError,
)
from citronwood.ingress.budget import Limits
from citronwood.inner.codec import Codec, decode_body, encode_body, encode_envelope
from citronwood.inner.messages import (
    PROTOCOL_VERSION,
    CallRefused,
    Envelope,
    Ping,
    Pong,
    Reconnect,
)
from citronwood.inner.peer import Outgoing
from citronwood.inner.refusals import RefusalCounter
from citronwood.inner.transport import Transport
from citronwood.metrics import Metrics
from citronwood.tasks import cancel_tasks

log = logging.getLogger(__name__)

MAX_RUNNING_HANDLERS = 10_000
MAX_TIME_LEFT_MS = 3_600_000
# Limits the per-peer state for reconnecting, in which the addresses of restarted VMs
# accumulate; it is cleared when it is full.
MAX_TRACKED_PEERS = 4096

_Message = TypeVar("_Message")
_Answer = TypeVar("_Answer")


class Caller(NamedTuple):
    """Sender of a message, and the deadline of its call."""

    name: str
    incarnation: int
    url: str
    deadline: float


class _PendingCall(NamedTuple):
    url: str
    answer_type: type
    future: asyncio.Future[Any]


class _Handler(NamedTuple):
    """Handler of a message type; ``is_call`` tells calls from notifications."""

    message_type: type
    is_call: bool
    function: Callable[[Any, Caller], Any]


class Rpc:
    """Calls other VMs and dispatches their messages to handlers."""

    def __init__(self, name: str, secret: bytes, metrics: Metrics) -> None:
        self._name = name
        self._url = ""
        # Taken from the wall clock, so that it increases with every process start.
        self._incarnation = time.time_ns() // 1_000_000
        self._metrics = metrics
        self._refusals = RefusalCounter(metrics)
        self._codec = Codec(secret)
        self._transport = Transport(self._codec, self._refusals)
        self._handlers: dict[str, _Handler] = {}
        self._pending: dict[int, _PendingCall] = {}
        self._next_call_id = secrets.randbits(60) + 1
        self._handler_tasks: set[asyncio.Task[None]] = set()
        self._last_received_at: dict[str, float] = {}
        self._last_answered_at: dict[str, float] = {}
        self._next_reconnect_request_at: dict[str, float] = {}
        self.on_notification(Reconnect, self._on_reconnect)
        self.on_notification(Ping, self._on_ping)
        self.on_notification(Pong, self._on_pong)

    @property
    def name(self) -> str:
        """Name of this VM."""
        return self._name

    @property
    def incarnation(self) -> int:
        """Number that increases with every process start of this VM."""
        return self._incarnation

    def raise_incarnation(self, above: int) -> None:
        """Raise the incarnation above one that the fleet still knows."""
        self._incarnation = max(self._incarnation, above + 1)

    @property
    def url(self) -> str:
        """URL at which other VMs reach this one."""
        return self._url

    @property
    def transport(self) -> Transport:
        """Transport with its traffic counters."""
        return self._transport

    def set_secret(self, secret: bytes) -> None:
        """Use this secret for all frames from now on."""
        self._codec.set_secret(secret)

    def start(
        self,
        listen_url: str,
        advertised_url: str | None = None,
        limits: Limits | None = None,
    ) -> None:
        """Listen for messages; other VMs use ``advertised_url`` if it is set.

        Port 0 in ``listen_url`` selects a free port.
        """
        actual = self._transport.listen(
            listen_url, self._receive, self._metrics, limits
        )
        self._url = advertised_url or actual

    async def close(self) -> None:
        """Stop listening, cancel running handlers and fail pending calls."""
        await self._transport.close()
        await cancel_tasks(self._handler_tasks)
        for call in self._pending.values():
            if not call.future.done():
                call.future.set_exception(CallFailedError("this VM is stopping"))

    def on_call(
        self,
        message_type: type[_Message],
        handler: Callable[[_Message, Caller], Awaitable[Any]],
    ) -> None:
        """Register the handler of calls of a type; each call runs in its own task."""
        self._handlers[message_type.__name__] = _Handler(message_type, True, handler)

    def on_notification(
        self, message_type: type[_Message], handler: Callable[[_Message, Caller], None]
    ) -> None:
        """Register the handler of notifications of a type; it must not block."""
        self._handlers[message_type.__name__] = _Handler(message_type, False, handler)

    def notify(self, url: str, message: Any) -> None:
        """Send a notification; it is dropped if it cannot be queued."""
        try:
            self._send(url, message, 0, False, 0)
        except PeerUnavailableError as error:
            self._refusals.record("queue_full", str(error))

    def reconnect(self, url: str) -> None:
        """Replace the connections to and from a peer that stopped responding."""
        self._transport.reconnect(url)
        now = monotonic()
        if now >= self._next_reconnect_request_at.get(url, 0.0):
            if len(self._next_reconnect_request_at) >= MAX_TRACKED_PEERS:
                self._next_reconnect_request_at.clear()
            self._next_reconnect_request_at[url] = now + 1.0
            self.notify(url, Reconnect())

    async def call(
        self,
        url: str,
        message: Any,
        answer_type: type[_Answer],
        deadline: float,
        answer_deadline: float | None = None,
        silence_s: float | None = None,
    ) -> _Answer:
        """Call a peer and return its answer.

        The peer has to finish by ``deadline``. The answer is awaited until
        ``answer_deadline``, so that a refusal sent at the deadline can still arrive.

        With ``silence_s``, the peer is asked for a sign of life when it has answered
        nothing for that time, and the call ends when no answer arrives for the same
        time again. A peer that is busy with the call can thus be told from a lost one.

        Raises
        ------
        PeerUnavailableError
            The peer certainly did not process the call.
        MessageError
            The message is too long and was not sent.
        DeadlineExceededError, CallFailedError
            The call may have been processed; ``PeerSilentError`` if the peer gave no
            sign of life.
        """
        started = monotonic()
        call_id = self._next_call_id
        self._next_call_id += 1
        left_ms = int((deadline - started) * 1000)
        if left_ms <= 0:
            raise PeerUnavailableError("no time is left for the call")
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        outgoing = self._send(url, message, call_id, False, left_ms)
        self._pending[call_id] = _PendingCall(url, answer_type, future)
        # The timer fails the future; a timeout that cancels the task takes four times
        # as many instructions.
        wait_until = deadline if answer_deadline is None else answer_deadline
        timer = loop.call_later(time_left(wait_until), _fail_with_timeout, future)
        watch = None
        if silence_s is not None:
            watch = _SilenceWatch(self, url, future, silence_s)
        try:
            answer: _Answer = await future
        except TimeoutError:
            raise self._handle_timeout(url, outgoing, started) from None
        except PeerSilentError:
            self.reconnect(url)
            if not outgoing.handed_over:
                raise PeerUnavailableError(f"{url} accepted nothing") from None
            raise
        finally:
            timer.cancel()
            if watch is not None:
                watch.cancel()
            outgoing.cancelled = not outgoing.handed_over
            del self._pending[call_id]
        return answer

    def ping(self, url: str) -> None:
        """Ask a peer for a sign of life, which ``last_answered_at`` will show."""
        self.notify(url, Ping())

    def last_answered_at(self, url: str) -> float:
        """Return the monotonic time of a peer's last answer; 0 without one.

        Messages that the peer sends of its own accord do not count, because a link may
        lose the messages of one direction only.
        """
        return self._last_answered_at.get(url, 0.0)

    def _handle_timeout(
        self, url: str, outgoing: Outgoing, started: float
    ) -> Exception:
        """Return the error; reconnect if the peer sent nothing since the call began."""
        if self._last_received_at.get(url, 0.0) < started:
            self.reconnect(url)
        if not outgoing.handed_over:
            return PeerUnavailableError(f"{url} accepted nothing before the deadline")
        return DeadlineExceededError(f"{url} gave no answer before the deadline")

    def _send(
        self, url: str, message: Any, call_id: int, is_reply: bool, left_ms: int
    ) -> Outgoing:
        envelope = Envelope(
            version=PROTOCOL_VERSION,
            kind=type(message).__name__,
            sender=self._name,
            incarnation=self._incarnation,
            sender_url=self._url,
            call_id=call_id,
            is_reply=is_reply,
            time_left_ms=min(left_ms, MAX_TIME_LEFT_MS),
            body=encode_body(message),
        )
        return self._transport.send(url, encode_envelope(envelope))

    def _receive(self, envelope: Envelope) -> None:
        if envelope.version != PROTOCOL_VERSION:
            self._refusals.record("foreign_version", f"version {envelope.version}")
            return
        if len(self._last_received_at) >= MAX_TRACKED_PEERS:
            self._last_received_at.clear()
        self._last_received_at[envelope.sender_url] = monotonic()
        if envelope.is_reply or envelope.kind == Pong.__name__:
            if len(self._last_answered_at) >= MAX_TRACKED_PEERS:
                self._last_answered_at.clear()
            self._last_answered_at[envelope.sender_url] = monotonic()
        if envelope.is_reply:
            self._receive_answer(envelope)
        else:
            self._receive_message(envelope)

    def _receive_answer(self, envelope: Envelope) -> None:
        call = self._pending.get(envelope.call_id)
        if call is None or call.future.done():
            self._metrics.count("inner.late_answers")
            return
        if call.url != envelope.sender_url:
            self._refusals.record("foreign_answer", f"from {envelope.sender_url}")
            return
        try:
            if envelope.kind == CallRefused.__name__:
                refused = decode_body(envelope.body, CallRefused)
                call.future.set_exception(_refusal_error(refused))
                return
            if envelope.kind != call.answer_type.__name__:
                raise MessageError("unknown_type", f"answer {envelope.kind[:40]}")
            call.future.set_result(decode_body(envelope.body, call.answer_type))
        except MessageError as error:
            self._refusals.record(*map(str, error.args))
            call.future.set_exception(CallFailedError(str(error)))

    def _receive_message(self, envelope: Envelope) -> None:
        handler = self._handlers.get(envelope.kind)
        if handler is None:
            self._refuse(envelope, "unknown_type", envelope.kind[:40])
            return
        try:
            message: Any = decode_body(envelope.body, handler.message_type)
        except MessageError as error:
            self._refuse(envelope, str(error.args[0]), str(error.args[-1]))
            return
        left_ms = max(0, min(envelope.time_left_ms, MAX_TIME_LEFT_MS))
        deadline = monotonic() + left_ms / 1000
        caller = Caller(
            envelope.sender, envelope.incarnation, envelope.sender_url, deadline
        )
        if not handler.is_call:
            handler.function(message, caller)
        elif len(self._handler_tasks) >= MAX_RUNNING_HANDLERS:
            self._refuse(envelope, "overloaded", envelope.kind)
        else:
            coroutine = self._run_handler(handler, message, caller, envelope.call_id)
            task = asyncio.create_task(coroutine)
            self._handler_tasks.add(task)
            task.add_done_callback(self._handler_tasks.discard)

    def _refuse(self, envelope: Envelope, reason: str, detail: str) -> None:
        self._refusals.record(reason, f"{detail} from {envelope.sender[:64]}")
        if envelope.call_id:
            answer = CallRefused(not_run=True, reason=reason)
            self._reply(envelope.sender_url, envelope.call_id, answer)

    async def _run_handler(
        self, handler: _Handler, message: Any, caller: Caller, call_id: int
    ) -> None:
        try:
            answer = await handler.function(message, caller)
        except Exception as error:
            log.exception("inner: handler of %s failed", handler.message_type.__name__)
            self._metrics.count("inner.handler_failed")
            answer = CallRefused(not_run=False, reason=type(error).__name__)
        if answer is not None and call_id:
            self._reply(caller.url, call_id, answer)

    def _reply(self, url: str, call_id: int, answer: Any) -> None:
        try:
            self._send(url, answer, call_id, True, 0)
        except PeerUnavailableError as error:
            self._refusals.record("queue_full", str(error))
        except MessageError as error:
            self._refusals.record(*map(str, error.args))
            refused = CallRefused(not_run=False, reason="answer too long")
            self._send(url, refused, call_id, True, 0)

    def _on_reconnect(self, message: Reconnect, caller: Caller) -> None:
        self._transport.reconnect(caller.url)

    def _on_ping(self, message: Ping, caller: Caller) -> None:
        self.notify(caller.url, Pong())

    def _on_pong(self, message: Pong, caller: Caller) -> None:
        """Do nothing; the time of arrival was recorded like that of any message."""


class _SilenceWatch:
    """Ends a call whose peer gives no sign of life."""

    def __init__(
        self, rpc: Rpc, url: str, future: asyncio.Future[Any], silence_s: float
    ) -> None:
        self._rpc = rpc
        self._url = url
        self._future = future
        self._silence_s = silence_s
        self._heard_until = monotonic()
        self._pinged = False
        self._timer = asyncio.get_running_loop().call_later(silence_s, self._check)

    def cancel(self) -> None:
        """Stop watching."""
        self._timer.cancel()

    def _check(self) -> None:
        if self._future.done():
            return
        heard_at = self._rpc.last_answered_at(self._url)
        if heard_at > self._heard_until:
            self._heard_until, self._pinged = heard_at, False
        elif self._pinged:
            self._future.set_exception(
                PeerSilentError(f"{self._url} gave no sign of life")
            )
            return
        else:
            self._rpc.ping(self._url)
            self._pinged = True
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._silence_s, self._check)


def _fail_with_timeout(future: asyncio.Future[Any]) -> None:
    if not future.done():
        future.set_exception(TimeoutError())


def _refusal_error(refused: CallRefused) -> Exception:
    if refused.not_run:
        return PeerUnavailableError(f"refused by the peer: {refused.reason}")
    return CallFailedError(f"the peer failed: {refused.reason}")
