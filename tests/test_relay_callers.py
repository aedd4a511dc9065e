"""Listener for callers, with a session that the test controls."""

import asyncio
import socket
import struct

import uvloop

from citronwood.deadline import timeout_at
from citronwood.metrics import Metrics
from citronwood.platform.callers import CallerListener
from citronwood.platform.nodefile import Address
from citronwood.relay.model import Rules
from citronwood.relay.statement import Answer, TransactionState
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

    def check(self, rules):
        return None

    async def handle(self, statement, rules):
        self.started.set()
        await self.may_end.wait()
        return Answer()

    async def close(self):
        self.closed = True


class Node:
    """Relay node that gives every caller the same session."""

    def __init__(self, session):
        self.rules = Rules(1, {}, {}, {}, {}, 3.0)
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
        await eventually(connection._writer.is_closing)
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
