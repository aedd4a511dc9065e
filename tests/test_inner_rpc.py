"""Calls between VMs: outcomes, refusals and connections that stop responding."""

import asyncio
import time
from typing import NamedTuple

import aiohttp
import msgspec
import pytest

from citronwood.deadline import deadline_in
from citronwood.errors import (
    CallFailedError,
    DeadlineExceededError,
    MessageError,
    PeerUnavailableError,
)
from citronwood.inner.codec import MAX_BODY_BYTES, Codec, encode_envelope
from citronwood.inner.messages import (
    MAX_MESSAGE_BYTES,
    PROTOCOL_VERSION,
    EndSession,
    Envelope,
    FetchConfiguration,
    RowChunk,
    SessionEnded,
)
from tests.fleet_helpers import SECRET, eventually, make_rpc, rpcs, run


class Question(NamedTuple):
    number: int
    pause_s: float = 0.0
    padding: bytes = b""


class Solution(NamedTuple):
    number: int


async def answer(question, caller):
    await asyncio.sleep(question.pause_s)
    return Solution(question.number * 2)


def test_concurrent_calls_receive_their_own_answers():
    # Guards against matching answers to calls by order, which fails if they arrive out
    # of order.
    async def scenario():
        async with rpcs("a", "b") as (a, b):
            b.on_call(Question, answer)

            async def ask(number):
                question = Question(number, (number % 7) / 200)
                reply = await a.call(b.url, question, Solution, deadline_in(5))
                assert reply.number == number * 2

            await asyncio.gather(*(ask(number) for number in range(500)))
            frames, messages, _ = a.transport.sent
            assert messages == 500
            assert frames < 250, "queued messages did not share frames"

    run(scenario())


def test_call_to_an_unreachable_peer_is_reported_as_not_run():
    # Guards against the outcome "unknown" when the peer was never reached.
    async def scenario():
        async with rpcs("a") as (a,):
            with pytest.raises(PeerUnavailableError):
                await a.call(
                    "tcp://127.0.0.1:1", Question(1), Solution, deadline_in(0.3)
                )

    run(scenario())


def test_call_that_timed_out_in_the_queue_is_not_sent_later():
    # Guards against a call that was reported as "not run" and is run when the peer
    # comes back.
    async def scenario():
        async with rpcs("a", "b") as (a, b):
            url = b.url
            await b.close()
            with pytest.raises(PeerUnavailableError):
                await a.call(url, Question(1), Solution, deadline_in(0.3))
            seen = []

            async def record(question, caller):
                seen.append(question.number)
                return Solution(question.number)

            restarted = make_rpc("b", url=url)
            restarted.on_call(Question, record)
            await a.call(url, Question(2), Solution, deadline_in(5))
            assert seen == [2]
            await restarted.close()

    run(scenario())


def test_late_answer_is_dropped():
    # Guards against returning the late answer of one call as that of the next call.
    async def scenario():
        async with rpcs("a", "b") as (a, b):
            b.on_call(Question, answer)
            with pytest.raises(DeadlineExceededError):
                await a.call(b.url, Question(1, 0.2), Solution, deadline_in(0.1))
            reply = await a.call(b.url, Question(2, 0.2), Solution, deadline_in(5))
            assert reply.number == 4
            assert a._metrics.counters["inner.late_answers"] == 1

    run(scenario())


def test_failing_handler_reports_unknown_and_missing_handler_reports_not_run():
    async def fail(question, caller):
        raise ValueError("fault")

    async def scenario():
        async with rpcs("a", "b") as (a, b):
            with pytest.raises(PeerUnavailableError, match="unknown_type"):
                await a.call(b.url, Question(1), Solution, deadline_in(5))
            b.on_call(Question, fail)
            with pytest.raises(CallFailedError, match="ValueError"):
                await a.call(b.url, Question(1), Solution, deadline_in(5))

    run(scenario())


def test_handler_receives_the_deadline_and_the_sender():
    async def scenario():
        async with rpcs("a", "b") as (a, b):
            callers = []

            async def record_caller(message, caller):
                callers.append((caller, time.monotonic()))
                return SessionEnded()

            b.on_call(EndSession, record_caller)
            await a.call(b.url, EndSession("s"), SessionEnded, deadline_in(3))
            caller, now = callers[0]
            assert (caller.name, caller.url) == ("a", a.url)
            assert caller.incarnation == a.incarnation
            assert 2.0 < caller.deadline - now <= 3.0

    run(scenario())


def test_secret_is_changed_while_connections_are_open():
    # Guards against VMs that stay cut off after a restored store got another secret.
    async def scenario():
        async with rpcs("a", "b") as (a, b):
            b.on_call(Question, answer)
            await a.call(b.url, Question(1), Solution, deadline_in(5))
            b.set_secret(b"another one")
            with pytest.raises(DeadlineExceededError):
                await a.call(b.url, Question(2), Solution, deadline_in(0.2))
            a.set_secret(b"another one")
            reply = await a.call(b.url, Question(3), Solution, deadline_in(5))
            assert reply.number == 6

    run(scenario())


def test_oversized_messages_are_refused_by_the_sender():
    async def scenario():
        async with rpcs("a", "b") as (a, b):
            b.on_call(Question, answer)
            largest = Question(3, 0.0, b"x" * (MAX_BODY_BYTES - 100))
            reply = await a.call(b.url, largest, Solution, deadline_in(5))
            assert reply.number == 6
            too_long = Question(3, 0.0, b"x" * MAX_BODY_BYTES)
            with pytest.raises(MessageError):
                await a.call(b.url, too_long, Solution, deadline_in(5))

            async def long_answer(message, caller):
                return RowChunk([[b"x" * MAX_MESSAGE_BYTES]], False, None)

            b.on_call(FetchConfiguration, long_answer)
            with pytest.raises(CallFailedError, match="too long"):
                await a.call(b.url, FetchConfiguration(0), RowChunk, deadline_in(5))

    run(scenario())


def _invalid_frames():
    envelope = Envelope(
        version=PROTOCOL_VERSION,
        kind="Question",
        sender="x",
        incarnation=1,
        sender_url="tcp://127.0.0.1:1",
        call_id=0,
        is_reply=False,
        time_left_ms=100,
        body=msgspec.msgpack.encode(Question(1)),
    )
    valid = Codec(SECRET).encode_frame([encode_envelope(envelope)])

    def frame_with(**changes):
        changed = envelope._replace(**changes)
        return Codec(SECRET).encode_frame([encode_envelope(changed)])

    wrong_secret = Codec(b"other").encode_frame([encode_envelope(envelope)])
    return [
        ("malformed", b""),
        ("malformed", b"\x01abc"),
        ("foreign_version", bytes([9]) + valid[1:]),
        ("bad_mac", valid[:-1] + bytes([valid[-1] ^ 1])),
        ("bad_mac", wrong_secret),
        ("malformed", Codec(SECRET).encode_frame([b"\x01"])),
        ("malformed", Codec(SECRET).encode_frame([b"\x91" * 5000])),
        ("foreign_version", frame_with(version=7)),
        ("unknown_type", frame_with(kind="Nonsense")),
        ("malformed", frame_with(body=b"\xc1")),
        ("malformed", frame_with(body=msgspec.msgpack.encode(["no", 1, b""]))),
    ]


def test_invalid_frames_are_counted_and_ignored():
    # Guards against an invalid frame that stops the receiver or reaches a handler.
    async def scenario():
        async with rpcs("a", "b") as (a, b):
            handled = []

            async def record(question, caller):
                handled.append(question)
                return Solution(question.number)

            b.on_call(Question, record)
            expected = {}
            async with aiohttp.ClientSession() as session:
                url = b.url.replace("tcp", "ws", 1)
                websocket = await session.ws_connect(url)
                for reason, frame in _invalid_frames():
                    await websocket.send_bytes(frame)
                    name = f"inner.refused.{reason}"
                    expected[name] = expected.get(name, 0) + 1
                await eventually(lambda: b._metrics.counters == expected)
                await websocket.send_bytes(b"x" * (MAX_MESSAGE_BYTES + 1))
                expected["inner.refused.oversized"] = 1
                await eventually(lambda: b._metrics.counters == expected)
            assert handled == []
            reply = await a.call(b.url, Question(4), Solution, deadline_in(5))
            assert reply.number == 4

    run(scenario())


class _FreezableProxy:
    """Forwards connections; ``freeze`` makes all open ones unresponsive for good."""

    def __init__(self, target_url):
        self._port = int(target_url.rsplit(":", 1)[1])
        self._frozen = []
        self._open = []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"tcp://127.0.0.1:{port}"

    def freeze(self):
        for responding in self._open:
            responding.clear()

    async def _serve(self, reader, writer):
        responding = asyncio.Event()
        responding.set()
        self._open.append(responding)
        upstream = await asyncio.open_connection("127.0.0.1", self._port)
        await asyncio.gather(
            self._copy(reader, upstream[1], responding),
            self._copy(upstream[0], writer, responding),
        )

    async def _copy(self, reader, writer, responding):
        while data := await reader.read(65536):
            await responding.wait()
            writer.write(data)


@pytest.mark.parametrize("direction", ["request", "answer"])
def test_connection_that_stops_responding_is_replaced(direction):
    # Guards against waiting forever on a connection that is dead but not closed, while
    # a new one would work, in either direction.
    async def scenario():
        async with rpcs("b") as (b,):
            b.on_call(Question, answer)
            a = make_rpc("a")
            proxy = _FreezableProxy(b.url if direction == "request" else a.url)
            proxy_url = await proxy.start()
            target = b.url
            if direction == "request":
                target = b._url = proxy_url
            else:
                a._url = proxy_url
            await a.call(target, Question(1), Solution, deadline_in(5))
            proxy.freeze()
            # A connection is replaced only 0.5 s after it was opened.
            await asyncio.sleep(0.6)
            with pytest.raises(DeadlineExceededError):
                await a.call(target, Question(1), Solution, deadline_in(0.3))
            reply = await a.call(target, Question(5), Solution, deadline_in(3))
            assert reply.number == 10
            await a.close()

    run(scenario())
