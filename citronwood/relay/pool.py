"""Connections to one backend server, shared by the client accounts of this VM.

A connection belongs to the account that it was opened for. A request that finds no
idle connection of its account replaces an idle one of another account; when all are in
use it waits in a fair queue.

Load pattern: many VMs share a server's few connections, and callers that rest inside
transactions hold most of them. A VM that is refused for want of room uses fewer and
lets its requests wait for those, instead of asking for more again and again.
"""

import asyncio
import hashlib
import logging
import random
from collections.abc import Awaitable
from time import monotonic

from citronwood.backend.queue import FairQueue
from citronwood.deadline import has_passed, until
from citronwood.errors import (
    BackendUnavailableError,
    ConnectionLostError,
    ServerFullError,
)
from citronwood.relay.model import BackendServer, Position
from citronwood.relay.statement import (
    Answer,
    Reason,
    ServerConnection,
    ServerConnector,
    Statement,
    TransactionState,
    Verb,
)

log = logging.getLogger(__name__)

# An idle connection may have fallen silent.
IDLE_S = 10.0
# Idle connections beyond this VM's share of the server's room are kept only for the
# next few requests, as other VMs have to find room for theirs.
SHORT_IDLE_S = 0.4
# Prepared statements kept on one connection before all are dropped.
MAX_PREPARED = 200
# A server that gave no connection is not asked again for so long, more or less.
REFUSED_S = 0.25
# A VM without any connection to a full server asks more often the longer it has none:
# twice as often after this time, three times after twice the time, at most so many
# times. Those that were served lately ask less often and leave it the next room.
STARVED_S = 0.5
MAX_STARVED_FACTOR = 5.0
# Where a VM's share is less than one connection, it gives one up after so long, so that
# busy VMs do not keep all of them. Opening one takes some tens of milliseconds.
TURN_S = 0.5
# After a server had no room, this VM uses half as many connections, and one more after
# each such time.
GROW_S = 0.5


class Prepared:
    """Statement that a session has prepared."""

    def __init__(self, shape: str, writes: bool) -> None:
        self.shape = shape
        self.writes = writes
        digest = hashlib.blake2b(f"{writes} {shape}".encode(), digest_size=8)
        # Equal statements of different sessions share a name on a connection.
        self.name = f"c{digest.hexdigest()}"


class SessionSettings:
    """Variables and prepared statements of a caller's session."""

    def __init__(self) -> None:
        self.variables: dict[str, str] = {}
        self.prepared: dict[str, Prepared] = {}


class PooledConnection:
    """Connection with the session settings that it carries."""

    def __init__(self, wire: ServerConnection, account: str, server: str) -> None:
        self.wire = wire
        self.account = account
        self.server = server
        self.opened_at = self.used_at = monotonic()
        self._variables: dict[str, str] = {}
        self._prepared: set[str] = set()

    @property
    def is_reusable(self) -> bool:
        """Whether another session may use the connection next."""
        return self.wire.is_open and len(self._prepared) < MAX_PREPARED

    def matches(self, settings: SessionSettings) -> bool:
        """Whether the connection carries a session's variables already."""
        return self._variables == settings.variables

    async def run(
        self,
        statement: Statement,
        settings: SessionSettings,
        deadline: float,
        after: Position | None = None,
    ) -> Answer:
        """Run a statement with the session's variables in force."""
        refused = await self._set_up(self._apply(settings, deadline))
        if refused is not None:
            return refused
        if statement.verb is not Verb.EXECUTE:
            return await self.wire.run(statement.id, statement.text, deadline, after)
        prepared = settings.prepared[statement.name]
        for _ in range(2):
            refused = await self._set_up(self._prepare(prepared, deadline))
            if refused is not None:
                return refused
            answer = await self.wire.execute(
                statement.id, prepared.name, statement.value, deadline, after
            )
            failure = answer.failure
            if failure is None or failure.reason is not Reason.UNKNOWN_STATEMENT:
                break
            self._prepared.discard(prepared.name)
            if answer.state is TransactionState.FAILED:
                break
        return answer

    async def begin(
        self,
        settings: SessionSettings,
        read_only: bool,
        deadline: float,
        after: Position | None,
    ) -> Answer:
        """Begin a transaction with the session's variables in force."""
        refused = await self._set_up(self._apply(settings, deadline))
        if refused is not None:
            return refused
        return await self.wire.begin(read_only, deadline, after)

    async def _set_up(self, work: Awaitable[Answer | None]) -> Answer | None:
        """Await preparatory work; its loss means that the statement was not sent."""
        try:
            return await work
        except ConnectionLostError as error:
            raise ConnectionLostError(str(error), sent=False) from error

    async def _apply(self, settings: SessionSettings, deadline: float) -> Answer | None:
        wanted = settings.variables
        if self._variables == wanted:
            return None
        if self._variables.keys() - wanted.keys():
            answer = await self.wire.reset(deadline)
            if answer.failure is not None:
                return answer
            self._variables.clear()
            self._prepared.clear()
        for name, value in wanted.items():
            if self._variables.get(name) != value:
                answer = await self.wire.set_variable(name, value, deadline)
                if answer.failure is not None:
                    return answer
                self._variables[name] = value
        return None

    async def _prepare(self, prepared: Prepared, deadline: float) -> Answer | None:
        if prepared.name in self._prepared:
            return None
        answer = await self.wire.prepare(
            prepared.name, prepared.writes, prepared.shape, deadline
        )
        if answer.failure is not None:
            return answer
        self._prepared.add(prepared.name)
        return None


class ServerPool:
    """Connections of this VM to one backend server.

    Parameters
    ----------
    server : BackendServer
        The server; its id is checked when connecting.
    connect : ServerConnector
        Opens connections.
    places : int
        Connections that may be in use at once.
    """

    def __init__(
        self, server: BackendServer, connect: ServerConnector, places: int
    ) -> None:
        self.server = server
        self._connect = connect
        self._queue = FairQueue(places, lambda _: 1.0)
        self._idle: list[PooledConnection] = []
        self._used: set[PooledConnection] = set()
        self._unused = asyncio.Event()
        self._max_idle = 0
        self._closed = False
        self._places = places
        self._allowed = places
        self._grow_at = 0.0
        self._refused_until = 0.0
        self._starved_since: float | None = None

    @property
    def load(self) -> int:
        """Requests that use or wait for a connection."""
        return self._queue.taken + self._queue.waiting

    @property
    def places(self) -> int:
        """Connections that may be in use at once."""
        return self._queue.places

    @property
    def is_usable(self) -> bool:
        """Whether connections could be opened lately."""
        return monotonic() >= self._refused_until

    def has_idle(self, account: str) -> bool:
        """Whether a connection of this account is idle."""
        return any(one.account == account for one in self._idle)

    def resize(self, places: int, max_idle: int) -> None:
        """Change the number of connections in use at once, and of those kept idle."""
        self._max_idle = max_idle
        if places != self._places:
            self._places = self._allowed = places
            self._queue.resize(places)

    async def acquire(
        self, account: str, settings: SessionSettings, deadline: float
    ) -> PooledConnection:
        """Take a connection for an account.

        Raises ``TimeoutError`` at the deadline, ``OverloadedError`` when none will be
        free in time, and ``BackendUnavailableError``.
        """
        await self._queue.acquire(account, deadline, patient=False)
        try:
            connection = self._take_idle(account, settings)
            if connection is None:
                connection = await self._open(account, deadline)
        except BaseException:
            self._queue.release()
            raise
        self._used.add(connection)
        return connection

    def release(self, connection: PooledConnection) -> None:
        """Give a connection back that is outside of transactions, or lost."""
        if connection not in self._used:
            return
        self._used.discard(connection)
        if not self._used:
            self._unused.set()
        connection.used_at = monotonic()
        turn_ended = not self._max_idle and (
            connection.used_at > connection.opened_at + TURN_S
        )
        if turn_ended and self._allowed < self._places:
            # Another VM is to find the room before this one asks again.
            self._wait_after_refusal()
        if self._closed or turn_ended or not connection.is_reusable:
            connection.wire.abort()
        else:
            self._idle.append(connection)
        self._queue.release()

    def discard(self, connection: PooledConnection) -> None:
        """Close a connection that may be inside a transaction or was lost."""
        connection.wire.abort()
        self.release(connection)

    def close_idle(self) -> None:
        """Close connections that were idle for too long."""
        time = monotonic()
        kept = []
        for place, connection in enumerate(reversed(self._idle)):
            limit_s = IDLE_S if place < self._max_idle else SHORT_IDLE_S
            if connection.used_at < time - limit_s:
                connection.wire.abort()
            else:
                kept.append(connection)
        self._idle = kept[::-1]

    def grow(self) -> None:
        """Use one connection more if the server had room lately."""
        time = monotonic()
        if self._allowed < self._places and time >= self._grow_at:
            self._grow_at = time + GROW_S
            self._allowed += 1
            self._queue.resize(self._allowed)

    def _wait_after_refusal(self) -> None:
        """Open no connection for a while; spread, as many VMs do so at once."""
        pause_s = REFUSED_S * random.uniform(0.5, 1.5)
        if self._starved_since is not None:
            starved_s = monotonic() - self._starved_since
            pause_s /= min(MAX_STARVED_FACTOR, 1.0 + starved_s / STARVED_S)
        self._refused_until = monotonic() + pause_s

    def _shrink(self) -> None:
        """Use half as many connections, as the server has no room for more.

        Halving, and growing by one, makes the shares of the VMs alike in the long run.
        """
        self._allowed = max(1, self._queue.taken // 2)
        self._queue.resize(self._allowed)
        self._grow_at = monotonic() + GROW_S * random.uniform(1.0, 2.0)

    def abort_all(self) -> None:
        """Close all connections, also those in use."""
        for connection in [*self._idle, *self._used]:
            connection.wire.abort()
        self._idle.clear()

    def close(self) -> None:
        """Close idle connections, and those in use when they are given back."""
        self._closed = True
        for connection in self._idle:
            connection.wire.abort()
        self._idle.clear()

    async def wait_unused(self, deadline: float) -> None:
        """Wait until no connection is in use, or until the deadline."""
        while self._used and not has_passed(deadline):
            self._unused.clear()
            try:
                async with until(deadline):
                    await self._unused.wait()
            except TimeoutError:
                return

    def _take_idle(
        self, account: str, settings: SessionSettings
    ) -> PooledConnection | None:
        best: PooledConnection | None = None
        for connection in reversed(self._idle):
            if connection.account == account and connection.wire.is_open:
                if connection.matches(settings):
                    best = connection
                    break
                best = best or connection
        if best is not None:
            self._idle.remove(best)
        return best

    async def _open(self, account: str, deadline: float) -> PooledConnection:
        if not self.is_usable:
            raise BackendUnavailableError(f"{self.server.id} refused lately")
        if self._idle and len(self._idle) + self._queue.taken > self._queue.places:
            self._idle.pop(0).wire.abort()
        server = self.server
        try:
            wire = await self._connect(
                server.host, server.port, server.group, account, server.id, deadline
            )
        except BackendUnavailableError as error:
            self._wait_after_refusal()
            if isinstance(error, ServerFullError):
                self._shrink()
                if not self._used and not self._idle and self._starved_since is None:
                    self._starved_since = monotonic()
            raise
        self._starved_since = None
        return PooledConnection(wire, account, server.id)
