"""Connections between VMs: outcomes of calls, reconnecting, refused input."""

import asyncio
import random
import socket
from contextlib import asynccontextmanager, suppress
from typing import NamedTuple

import aiohttp
import msgspec
import pytest

from citronwood.deadline import deadline_in
from citronwood.errors import (
    CallFailedError,
    DeadlineExceededError,
    PeerUnavailableError,
)
from citronwood.inner import listener, peer
from citronwood.inner.codec import Codec
from citronwood.inner.messages import MAX_MESSAGE_BYTES
from tests.faults import FaultProxy
from tests.fleet_helpers import eventually, make_rpc, rpcs, run
from tests.virtual_time import run_virtually


class Question(NamedTuple):
    number: int
    padding: bytes = b""


class Solution(NamedTuple):
    number: int


class Recorder:
    """Handler that records the numbers of the questions that it answered."""

    def __init__(self):
        self.seen = []

    async def __call__(self, question, caller):
        self.seen.append(question.number)
        return Solution(question.number)


def port_of(rpc):
    return int(rpc.url.rsplit(":", 1)[1])


def refused(rpc, reason):
    return rpc._metrics.counters.get(f"inner.refused.{reason}", 0)


@asynccontextmanager
async def proxied():
    """VMs ``a`` and ``b``, with a fault proxy for the calls from ``a`` to ``b``."""
    async with rpcs("a", "b") as (a, b):
        b.recorder = Recorder()
        b.on_call(Question, b.recorder)
        with FaultProxy(port_of(b)) as proxy:
            b._url = f"tcp://127.0.0.1:{proxy.port}"
            yield a, b, proxy


@asynccontextmanager
async def foreign_websocket(rpc):
    """WebSocket of a client that is not a VM."""
    async with aiohttp.ClientSession() as session:
        url = rpc.url.replace("tcp", "ws", 1)
        async with session.ws_connect(url, timeout=_NO_WAIT) as connection:
            yield connection


_NO_WAIT = aiohttp.ClientWSTimeout(ws_close=0.1)


async def ask(rpc, target, number, timeout=5.0, padding=b""):
    question = Question(number, padding)
    return await rpc.call(target.url, question, Solution, deadline_in(timeout))


async def outcome_of(rpc, target, number, timeout, padding=b""):
    try:
        reply = await ask(rpc, target, number, timeout, padding)
    except PeerUnavailableError:
        return "not_run"
    except (DeadlineExceededError, CallFailedError):
        return "unknown"
    assert reply.number == number
    return "done"


def test_reported_outcomes_are_correct_while_connections_break(monkeypatch):
    # Guards against writing a frame to a second connection, which runs its calls twice,
    # and against reporting "not run" for a call that ran.
    monkeypatch.setattr(peer, "RECONNECT_INTERVAL_S", 0.05)

    async def scenario():
        async with proxied() as (a, b, proxy):
            rng = random.Random(7)
            outcomes = {}

            async def answer_with_random_delay(question, caller):
                b.recorder.seen.append(question.number)
                await asyncio.sleep(rng.choice((0.0, 0.0, 0.0, 0.5)))
                return Solution(question.number)

            b.on_call(Question, answer_with_random_delay)

            async def load(first):
                for number in range(first, first + 60):
                    padding = b"x" * rng.choice((10, 3000, 200_000))
                    outcomes[number] = await outcome_of(a, b, number, 0.3, padding)

            async def break_connections():
                while True:
                    await asyncio.sleep(rng.uniform(0.02, 0.2))
                    fault = rng.choice((proxy.reset, proxy.freeze, None))
                    if fault is None:
                        a.reconnect(b.url)
                    else:
                        await asyncio.to_thread(fault)

            breaking = asyncio.create_task(break_connections())
            await asyncio.gather(*(load(1000 * worker) for worker in range(8)))
            breaking.cancel()
            seen = b.recorder.seen
            assert len(seen) == len(set(seen)), "a call ran twice"
            not_run = {
                number for number, outcome in outcomes.items() if outcome == "not_run"
            }
            done = {number for number, outcome in outcomes.items() if outcome == "done"}
            assert not not_run & set(seen)
            assert done <= set(seen)
            assert done
            assert len(done) < len(outcomes), "the faults had no effect"

    run(scenario(), 50)


def test_stalled_connection_is_replaced():
    # Guards against waiting forever for space in the write buffer, and against sending
    # frames again on the new connection that were written to the old one.
    async def scenario():
        async with proxied() as (a, b, proxy):
            await ask(a, b, 0)
            await asyncio.to_thread(proxy.freeze)
            # More data than the kernel buffers and the buffers of the proxy can hold.
            waiting = [
                asyncio.create_task(
                    outcome_of(a, b, number, 4.0, b"x" * (MAX_MESSAGE_BYTES // 4))
                )
                for number in range(1, 31)
            ]
            outcomes = await asyncio.gather(*waiting)
            assert outcomes[0] == "unknown"
            assert outcomes[-1] == "done"
            assert "not_run" not in outcomes
            expected = [
                number
                for number, outcome in enumerate(outcomes, 1)
                if outcome == "done"
            ]
            assert b.recorder.seen == [0, *expected]

    run(scenario())


def test_slow_connection_is_kept(monkeypatch):
    # Guards against replacing a connection that still makes progress, which would lose
    # the buffered data.
    monkeypatch.setattr(peer, "STALL_TIMEOUT_S", 0.5)

    async def scenario():
        async with rpcs("a", "b") as (a, b), slow_proxy(port_of(b)) as url:
            b._url = url
            b.on_call(Question, Recorder())
            await ask(a, b, 0)
            connection = a.transport._peers[b.url]._connection
            padding = b"x" * (MAX_MESSAGE_BYTES // 4)
            outcomes = await asyncio.gather(
                *(outcome_of(a, b, number, 9.0, padding) for number in range(1, 31))
            )
            assert set(outcomes) == {"done"}
            assert a.transport._peers[b.url]._connection is connection

    run(scenario())


@asynccontextmanager
async def slow_proxy(port):
    """Forward connections with small buffers at about 2.5 MB/s."""

    async def serve(reader, writer):
        upstream = await asyncio.open_connection("127.0.0.1", port)

        async def copy(source, target, pause):
            while data := await source.read(1 << 16):
                target.write(data)
                await target.drain()
                await asyncio.sleep(pause)

        with suppress(OSError, asyncio.CancelledError):
            await asyncio.gather(
                copy(reader, upstream[1], 0.025), copy(upstream[0], writer, 0)
            )
        for stream in (writer, upstream[1]):
            stream.close()

    listening = socket.create_server(("127.0.0.1", 0))
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
    server = await asyncio.start_server(serve, sock=listening)
    yield f"tcp://127.0.0.1:{listening.getsockname()[1]}"
    server.close()


def test_handshake_without_a_response_times_out(monkeypatch):
    # Guards against waiting forever for a handshake while a new connection would work.
    monkeypatch.setattr(peer, "MAX_DIAL_TIMEOUT_S", 0.2)

    async def scenario():
        async with proxied() as (a, b, proxy):
            await asyncio.to_thread(proxy.freeze, True)
            call = asyncio.create_task(ask(a, b, 1))
            await asyncio.sleep(0.5)
            assert not call.done()
            # From here on, new connections work; the open ones stay frozen.
            await asyncio.to_thread(proxy.freeze)
            await call
            assert b.recorder.seen == [1]

    run(scenario())


@asynccontextmanager
async def counting_server(answer=b""):
    """Accept connections, send ``answer`` and close them."""
    accepted = []

    async def serve(reader, writer):
        accepted.append(writer)
        with suppress(OSError):
            await reader.read(1000)
            writer.write(answer)
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    accepted_url = f"tcp://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    yield accepted_url, accepted
    server.close()


@pytest.mark.parametrize(
    "answer",
    [b"", b"garbage\r\n\r\n", b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"],
)
def test_failed_dials_are_retried_at_a_bounded_rate(answer):
    # Guards against reconnecting without a delay, and against giving up.
    async def scenario():
        async with rpcs("a") as (a,), counting_server(answer) as (url, accepted):
            with pytest.raises(PeerUnavailableError):
                await a.call(url, Question(1), Solution, deadline_in(1.5))
            assert 5 <= len(accepted) <= 75

    run(scenario())


def test_reconnect_replaces_a_connection_at_most_once_per_interval():
    # Guards against one new connection for each of many calls that time out together.
    async def scenario():
        async with proxied() as (a, b, _):
            await ask(a, b, 0)
            await asyncio.sleep(peer.RECONNECT_INTERVAL_S)
            connections = set()
            for number in range(1, 41):
                a.reconnect(b.url)
                await outcome_of(a, b, number, 1.0)
                connections.add(a.transport._peers[b.url]._connection)
                await asyncio.sleep(0.025)
            assert 2 <= len(connections) <= 4

    run(scenario())


def test_idle_connection_is_closed_on_both_sides(monkeypatch):
    # Guards against open connections to all 619 peers, and against leaked peers.
    monkeypatch.setattr(peer, "IDLE_TIMEOUT_S", 0.3)

    async def scenario():
        async with rpcs("a", "b") as (a, b):
            b.on_call(Question, Recorder())
            for number in range(2):
                await ask(a, b, number)
                assert b.transport._listener.connections == 1
                await eventually(lambda: not a.transport._peers)
                await eventually(lambda: not b.transport._listener.connections)
                assert not b.transport._listener._last_frame_at
            assert a.transport.sent[1] == 2

    run(scenario())


def test_messages_to_an_unreachable_peer_are_dropped(monkeypatch):
    # Guards against a queue and a task that are never freed after a VM was replaced.
    monkeypatch.setattr(peer, "UNREACHABLE_DROP_AFTER_S", 0.3)
    monkeypatch.setattr(peer, "IDLE_TIMEOUT_S", 0.3)

    async def scenario():
        async with rpcs("a") as (a,):
            a.notify("tcp://127.0.0.1:1", Question(1))
            await asyncio.sleep(0.1)
            assert a.transport._peers
            await eventually(lambda: not a.transport._peers)
            assert a.transport.sent == (0, 0, 0)

    run(scenario())


def test_invalid_address_does_not_affect_other_peers():
    # Guards against an invalid address, received from another VM, that stops the
    # sending to other peers.
    async def scenario():
        async with rpcs("a", "b") as (a, b):
            b.on_call(Question, Recorder())
            for url in ("", "http://x", "tcp://127.0.0.1:99999", "tcp://[", "tcp:// "):
                a.notify(url, Question(1))
            await ask(a, b, 1)
            await eventually(lambda: refused(a, "peer_failed") >= 3)

    run(scenario())


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"\x16\x03\x01\x02\x00garbage\r\n\r\n", "malformed"),
        (b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "not_websocket"),
        (
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 999999999\r\n\r\nx",
            "not_websocket",
        ),
        (b"GET /" + b"x" * 100_000 + b" HTTP/1.1\r\n\r\n", "malformed"),
        (
            b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
            b"Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
            b"Sec-WebSocket-Key: short\r\n\r\n",
            "not_websocket",
        ),
    ],
)
def test_request_that_is_no_websocket_is_refused(data, reason):
    async def scenario():
        async with rpcs("a", "b") as (a, b):
            b.on_call(Question, Recorder())
            reader, writer = await asyncio.open_connection("127.0.0.1", port_of(b))
            writer.write(data)
            with suppress(ConnectionError):
                assert b" 400 " in await reader.read() or reason == "malformed"
            await eventually(lambda: refused(b, reason) == 1)
            writer.close()
            await ask(a, b, 1)
            await eventually(lambda: b.transport._listener.connections == 1)

    run(scenario())


def test_invalid_websocket_messages_close_the_connection_and_are_counted():
    async def scenario():
        async with rpcs("a", "b") as (a, b):
            b.on_call(Question, Recorder())
            for send, reason in (
                (lambda websocket: websocket.send_str("text"), "malformed"),
                (lambda websocket: websocket.send_frame(b"x", 5), "malformed"),
                (lambda websocket: websocket.send_bytes(_TOO_LONG), "oversized"),
            ):
                before = refused(b, reason)
                async with foreign_websocket(b) as connection:
                    with suppress(OSError):
                        await send(connection)
                    await eventually(lambda: refused(b, reason) == before + 1)  # noqa: B023
                    await eventually(lambda: not b.transport._listener.connections)
            assert b._metrics.counters["inner.refused.malformed"] == 2
            await ask(a, b, 1)

    run(scenario())


_TOO_LONG = b"x" * (MAX_MESSAGE_BYTES + 1)


def test_connection_closed_during_the_handshake_logs_no_error(caplog):
    # Guards against a stack trace in the log for each peer that closed its connection
    # because a busy VM did not complete the handshake in time.
    async def scenario():
        async with rpcs("b") as (b,):
            request = (
                b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
                b"Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                b"Sec-WebSocket-Key: MDEyMzQ1Njc4OWFiY2RlZg==\r\n\r\n"
            )
            for _ in range(20):
                _, writer = await asyncio.open_connection("127.0.0.1", port_of(b))
                writer.write(request)
                writer.transport.abort()
            await asyncio.sleep(0.1)
            await eventually(lambda: not b.transport._listener.connections)

    run(scenario())
    assert [record for record in caplog.records if record.levelname == "ERROR"] == []


def test_idle_inbound_connections_are_closed(monkeypatch):
    # Guards against connections of unknown clients or dead VMs that are never closed.
    monkeypatch.setattr(listener, "HANDSHAKE_TIMEOUT_S", 0.3)
    monkeypatch.setattr(listener, "INBOUND_IDLE_TIMEOUT_S", 0.3)
    monkeypatch.setattr(listener, "IDLE_CHECK_INTERVAL_S", 0.1)

    async def scenario():
        async with rpcs("b") as (b,):
            silent = await asyncio.open_connection("127.0.0.1", port_of(b))
            partial = await asyncio.open_connection("127.0.0.1", port_of(b))
            partial[1].write(b"GET / HTTP/1.1\r\nHost")
            async with foreign_websocket(b):
                await eventually(lambda: b.transport._listener.connections == 3)
                await eventually(lambda: b.transport._listener.connections == 0, 2)
            for _, writer in (silent, partial):
                writer.close()

    run(scenario())


def test_number_of_connections_is_bounded(monkeypatch):
    # Guards against a client that exhausts memory with connections.
    monkeypatch.setattr(listener, "MAX_CONNECTIONS", 5)

    async def scenario():
        async with rpcs("b") as (b,):
            opened = [
                await asyncio.open_connection("127.0.0.1", port_of(b))
                for _ in range(12)
            ]
            await eventually(lambda: refused(b, "too_many_connections") == 7)
            await eventually(lambda: b.transport._listener.connections == 5)
            for _, writer in opened:
                writer.close()

    run(scenario())


def test_connections_send_small_frames_at_once():
    # Guards against Nagle's algorithm, which delays an answer by up to 40 ms.
    async def scenario():
        async with rpcs("a", "b") as (a, b):
            b.on_call(Question, Recorder())
            await ask(a, b, 1)
            for rpc, target in ((a, b), (b, a)):
                connection = rpc.transport._peers[target.url]._connection
                raw_socket = connection.get_extra_info("socket")
                assert raw_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run(scenario())


def test_call_after_close_is_refused():
    # Guards against connections that are opened after ``close`` and never closed.
    async def scenario():
        async with rpcs("b") as (b,):
            a = make_rpc("a")
            await a.close()
            with pytest.raises(PeerUnavailableError):
                await a.call(b.url, Question(1), Solution, deadline_in(1))
            assert not a.transport._peers

    run(scenario())


@pytest.mark.parametrize("steps", range(4))
def test_address_is_free_after_close(steps):
    # Guards against a listening socket that stays open when the process stops during
    # its start, so that the next process cannot listen on the address. ``steps`` counts
    # the iterations of the event loop between start and close.
    async def scenario():
        first = make_rpc("b")
        for _ in range(steps):
            await asyncio.sleep(0)
        await first.close()
        restarted = make_rpc("b", url=first.url)
        await restarted.close()

    run(scenario())


@pytest.mark.parametrize("lost, sent_within_s", [(1, 0.5), (2, 1.1)])
def test_lost_opening_packet_delays_a_message_by_less_than_its_repetition(
    lost, sent_within_s
):
    # Guards against a second without a grantor after a loss of all power: connections
    # to the leader that were opened before it had power again were tried for 1 s, and
    # the accounts of those VMs were refused meanwhile.
    sent = []

    async def scenario(loop):
        written = asyncio.Event()

        class Connected:
            is_open = True

            async def write(self, frame):
                sent.append(loop.time())
                written.set()

            def close_after_flush(self):
                pass

        attempts = []

        async def connect():
            attempts.append(loop.time())
            if len(attempts) <= lost:
                await asyncio.sleep(3600)
            return Connected()

        sender = peer.Peer("tcp://10.0.0.1:1", Codec(b"secret"), None)
        sender._connect = connect
        task = asyncio.create_task(sender.run())
        sender.enqueue(peer.Outgoing(msgspec.msgpack.encode("message")))
        await written.wait()
        task.cancel()

    run_virtually(scenario, peer)
    assert sent[0] < sent_within_s
