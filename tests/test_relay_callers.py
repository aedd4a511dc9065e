"""Listener for callers, with a session that the test controls."""

import asyncio
import socket
import struct
from contextlib import suppress

import pytest
import uvloop

from citronwood.deadline import timeout_at
from citronwood.ingress.budget import derive_limits
from citronwood.metrics import Metrics
from citronwood.platform import callers as callers_module
from citronwood.platform.callers import FLEET_LEAVE_RESERVE_S, CallerListener
from citronwood.platform.nodefile import Address
from citronwood.relay.model import Rules
from citronwood.relay.statement import Answer, Failure, Reason, TransactionState
from tests.fleet_helpers import eventually
from tests.processes import reserve_port


class WaitingSession:
    """Session whose statements run until the test sets ``may_end``."""

    state = TransactionState.IDLE
    account = "acme"

    def __init__(self):
        self.started = asyncio.Event()
        self.may_end = asyncio.Event()
        self.closed = False
        self.aborted = False

    def check(self, rules):
        return None

    async def handle(self, statement, rules):
        self.started.set()
        await self.may_end.wait()
        return Answer()

    def abort_transaction(self):
        self.aborted = True

    async def close(self):
        self.closed = True


class BusySession(WaitingSession):
    """Session of a caller that sends its next statement after each answer."""

    def __init__(self):
        super().__init__()
        self.run_count = 0

    async def handle(self, statement, rules):
        self.run_count += 1
        await asyncio.sleep(0.02)
        failure = None
        if self.state is TransactionState.FAILED:
            # The server rolls back, and the caller takes note of it.
            self.state = TransactionState.IDLE
            failure = Failure(Reason.ABORTED, "rolled back")
        return Answer(state=self.state, failure=failure)

    def abort_transaction(self):
        if self.state is TransactionState.OPEN:
            self.state = TransactionState.FAILED


class Node:
    """Relay node that gives every caller the same session."""

    def __init__(self, session):
        self.rules = Rules(1, {}, {}, {}, {}, {}, 3.0)
        self._session = session
        self.ready = asyncio.Event()
        self.ready.set()

    async def wait_until_ready(self, deadline):
        async with timeout_at(deadline):
            await self.ready.wait()

    def open_session(self, database, key):
        return self._session


def test_caller_that_disconnects_during_its_statement_is_no_error():
    # uvloop raises RuntimeError for a write to a closed connection. A caller that has
    # gone must not cause a traceback in the log; a simulated day logged 3,242 of these
    # tracebacks.
    errors = []

    async def scenario():
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: errors.append(context)
        )
        session = WaitingSession()
        port = reserve_port()
        metrics = Metrics()
        listener = CallerListener(Node(session), Address("127.0.0.1", port), metrics)
        await listener.start()
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"START db key\r\nQUERY 1 READ x\r\n")
        await session.started.wait()
        (connection,) = listener._connections
        # Resets the connection on close, as when the caller's process is killed.
        linger = struct.pack("ii", 1, 0)
        caller = writer.get_extra_info("socket")
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()
        await eventually(connection._stream.is_closing)
        session.may_end.set()
        await eventually(lambda: session.closed and not listener._connections)
        await listener.stop(0.0)

    uvloop.run(scenario())
    assert errors == []


def test_caller_of_a_starting_vm_waits_until_it_serves():
    # Guards against callers that are refused or reset by all VMs after a loss of power,
    # until they have used up their retries.
    async def scenario():
        session = WaitingSession()
        node = Node(session)
        node.ready.clear()
        port = reserve_port()
        listener = CallerListener(node, Address("127.0.0.1", port), Metrics())
        await listener.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"START shop key\r\n")
        reading = asyncio.create_task(reader.readuntil(b"\r\n"))
        done, _ = await asyncio.wait({reading}, timeout=0.1)
        assert not done
        node.ready.set()
        assert await reading == b"READY I -\r\n"
        writer.close()
        await listener.stop(0.0)

    asyncio.run(scenario())


def test_transaction_that_was_aborted_while_idle_makes_room_for_a_caller():
    # Guards against callers that hold all connections with transactions that were
    # aborted at their idle timeout.
    async def scenario():
        session = WaitingSession()
        session.state = TransactionState.OPEN
        node = Node(session)
        node.rules = node.rules._replace(transaction_idle_s=0.05)
        port = reserve_port()
        limits = derive_limits()._replace(connections=1)
        metrics = Metrics()
        listener = CallerListener(node, Address("127.0.0.1", port), metrics, limits)
        await listener.start()
        first = await open_session(port)
        await eventually(lambda: session.aborted)
        second = None
        # A connection that has not been idle for long is not closed for another.
        while second is None:
            await asyncio.sleep(0.1)
            second = await open_session(port)
        assert metrics.counters["callers.closed.idle"] == 1
        first.close()
        second.close()
        await listener.stop(0.0)

    asyncio.run(scenario())


async def open_session(port):
    """Return the writer of a new session; None if it is refused."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"START shop key\r\n")
    with suppress(ConnectionResetError):
        if (await reader.readline()).startswith(b"READY"):
            return writer
    writer.close()
    return None


async def send_without_pause(port, answers):
    """Send each statement right after the answer to the last one, until a refusal.

    ``answers`` gets the text of each answer, and "" for a statement without one.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"START db key\r\n")
    await reader.readline()
    while not answers or answers[-1].startswith("DONE"):
        writer.write(b"QUERY 1 WRITE x 1\r\n")
        try:
            answer = await reader.readuntil(b"\r\nREADY ")
            await reader.readuntil(b"\r\n")
        except (asyncio.IncompleteReadError, ConnectionResetError):
            answer = b""
        answers.append(answer.decode())
    writer.close()


def run_planned_stop(session, grace_s, caller_count=20):
    """Stop a listener under load; return the answers of the callers and the time."""

    async def scenario():
        port = reserve_port()
        listener = CallerListener(Node(session), Address("127.0.0.1", port), Metrics())
        await listener.start()
        answers = [[] for _ in range(caller_count)]
        callers = [
            asyncio.create_task(send_without_pause(port, of_caller))
            for of_caller in answers
        ]
        await eventually(lambda: all(answers))
        started = asyncio.get_running_loop().time()
        await listener.stop(grace_s)
        took_s = asyncio.get_running_loop().time() - started
        await asyncio.gather(*callers)
        return answers, took_s

    return asyncio.run(scenario())


def test_planned_stop_under_load_answers_every_statement_that_it_runs(monkeypatch):
    # Guards against writes that ran without an answer, because a session without pauses
    # was closed together with the VM's last connections.
    monkeypatch.setattr(callers_module, "READINESS_PROPAGATION_S", 0.1)
    session = BusySession()
    grace_s = FLEET_LEAVE_RESERVE_S + 5.0
    answers, took_s = run_planned_stop(session, grace_s)
    assert took_s < grace_s - FLEET_LEAVE_RESERVE_S
    everything = [answer for of_caller in answers for answer in of_caller]
    served = [answer for answer in everything if answer.startswith("DONE")]
    assert session.run_count == len(served)
    # Callers learn that the next statement was not run and can be repeated.
    assert any(answer.startswith("ERROR BUSY not run") for answer in everything)


def test_planned_stop_ends_transactions_of_callers_without_pauses(monkeypatch):
    # Guards against transactions that go on until the VM ends, because they are never
    # idle when the VM looks.
    monkeypatch.setattr(callers_module, "READINESS_PROPAGATION_S", 0.1)
    monkeypatch.setattr(callers_module, "TRANSACTION_GRACE_SHARE", 0.1)

    session = BusySession()
    session.state = TransactionState.OPEN
    grace_s = FLEET_LEAVE_RESERVE_S + 5.0
    answers, took_s = run_planned_stop(session, grace_s, caller_count=1)
    assert took_s < grace_s - FLEET_LEAVE_RESERVE_S
    assert any(of_caller[-1].startswith("ERROR ABORTED") for of_caller in answers)
    assert session.run_count == sum(
        answer.startswith(("DONE", "ERROR ABORTED"))
        for of_caller in answers
        for answer in of_caller
    )


@pytest.mark.parametrize(
    ("statement", "expected"),
    [
        ("WRITE x 1", b"ERROR UNKNOWN"),
        ("EXECUTE s1 x", b"ERROR UNKNOWN"),
        ("READ x", b"ERROR ABORTED"),
    ],
)
def test_statement_that_outlasts_the_grace_period_is_answered(statement, expected):
    # Guards against a connection that is closed while a statement runs, so that the
    # caller has to wait or to guess.
    async def scenario():
        session = WaitingSession()
        port = reserve_port()
        listener = CallerListener(Node(session), Address("127.0.0.1", port), Metrics())
        await listener.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"START db key\r\nQUERY 1 {statement}\r\n".encode())
        await session.started.wait()
        await listener.stop(0.0)
        received = await reader.read()
        assert received.startswith(b"READY I -\r\n" + expected)
        assert session.closed
        writer.close()

    asyncio.run(scenario())
