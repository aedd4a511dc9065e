"""Connections to one backend server, shared by the client accounts of this VM.

A connection belongs to the account that it was opened for. A request without an idle
connection of its account replaces an idle one of another account; when all connections
are in use, it waits in a fair queue.

Load pattern: many VMs share a server's few connections, and callers that are idle
inside transactions hold most of them. A VM that the server refuses for lack of
connections lowers its own limit and queues its requests, instead of retrying again and
again. Transactions may hold only a part of the connections, so that single statements
are served beside callers that are idle inside transactions.
"""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from time import monotonic

from citronwood.backend.queue import FairQueue
from citronwood.deadline import deadline_in, has_passed, timeout_at
from citronwood.decisions import log_state
from citronwood.errors import (
    BackendUnavailableError,
    ConnectionLostError,
    OverloadedError,
    ServerFullError,
)
from citronwood.relay.admission import Permit, StatementGate
from citronwood.relay.connection import PooledConnection, SessionSettings
from citronwood.relay.model import BackendServer, Position
from citronwood.relay.server_load import LoadMeter, ServerLoad
from citronwood.relay.statement import (
    DEFAULT_URGENCY,
    Answer,
    Reason,
    ServerConnector,
    Urgency,
)
from citronwood.relay.warm_up import WarmUp

log = logging.getLogger(__name__)

# Connections that were idle for longer are closed, because the server may be gone.
IDLE_TIMEOUT_S = 30.0
# Idle timeout of connections beyond this VM's share of the server's connections: long
# enough for the next few requests, short because other VMs need the connections.
EXCESS_IDLE_TIMEOUT_S = 0.4
# Mean cooldown after a connection to a server could not be opened, or was closed to
# leave it to another VM.
REFUSAL_COOLDOWN_S = 0.25
# An attempt to connect ends after this time, so that another VM or server can be tried
# before the deadline. It takes some tens of milliseconds unless the server is lost.
CONNECT_TIMEOUT_S = 0.3
# After a second failed attempt the cooldown is longer by this factor. After a failed
# attempt, only one at a time is made.
FAILURE_FACTOR = 2
# The cooldown of a VM without any connection to a full server shrinks with the time it
# has had none: to a half after this time, to a third after twice this time, at most by
# the factor below. VMs that were served recently retry less often and so leave the next
# free connection to a VM without any.
STARVATION_STEP_S = 0.5
MAX_STARVATION_FACTOR = 5.0
# A VM whose share is less than one connection closes each connection of this age when
# it is given back, so that busy VMs do not keep all of them. Opening a connection takes
# some tens of milliseconds.
MAX_AGE_WITHOUT_SHARE_S = 0.5
# Part of the connections that transactions may hold at once.
TRANSACTION_SHARE = 0.6
# A transaction waits no longer than this for others to end. Most end within 0.1 s, and
# the others are idle for seconds.
TRANSACTION_WAIT_S = 0.3
# A VM that a full server refused limits itself to half of the connections that it uses,
# and raises that limit by one in each such interval.
GROW_INTERVAL_S = 0.5


class ServerPool:
    """Connections of this VM to one backend server.

    Parameters
    ----------
    server : BackendServer
        The server; its id is checked when connecting.
    connect : ServerConnector
        Opens connections.
    limit : int
        Number of connections that may be in use at once.
    on_commit : callable
        Called with the group and the position when the server has acknowledged a
        commit.
    gate : StatementGate, optional
        Decides which statement runs next at the server; None leaves it to the server.
    is_primary : callable
        Returns whether this VM may use the server as the primary of its group.
    """

    def __init__(
        self,
        server: BackendServer,
        connect: ServerConnector,
        limit: int,
        on_commit: Callable[[str, Position | None], None] | None = None,
        gate: StatementGate | None = None,
        is_primary: Callable[[BackendServer], bool] = lambda _: True,
    ) -> None:
        self._server = server
        self._gate = gate
        self._is_primary = is_primary
        self.on_commit = on_commit
        self._connect = connect
        self._queue = FairQueue(limit, lambda _: 1.0)
        self._transactions = FairQueue(_transaction_limit(limit), lambda _: 1.0)
        self._idle: list[PooledConnection] = []
        self._in_use: set[PooledConnection] = set()
        self._all_released = asyncio.Event()
        self._max_idle = 0
        self._closed = False
        self._max_limit = limit
        self._limit = limit
        self._grow_at = 0.0
        self._cooldown_until = 0.0
        self._starved_since: float | None = None
        # Attempts to connect that failed since the last success, other than refusals of
        # a full server, and whether an attempt runs.
        self._failed_attempts = 0
        self._connecting = 0
        self._meter = LoadMeter()
        self.warm_up = WarmUp()

    @property
    def server(self) -> BackendServer:
        """The server as its newest entry describes it."""
        return self._server

    @server.setter
    def server(self, server: BackendServer) -> None:
        self._server = server
        if self._gate is not None:
            self._gate.set_slots(server.slots)

    @property
    def load(self) -> int:
        """Number of requests that use or wait for a connection."""
        at_gate = 0 if self._gate is None else self._gate.waiting
        return self._queue.in_use + self._queue.waiting + at_gate

    @property
    def server_load(self) -> ServerLoad:
        """Load of the server by the requests of this pool."""
        return ServerLoad(
            self.server.slots,
            self._meter.running,
            self._queue.waiting + (0 if self._gate is None else self._gate.waiting),
            self._meter.mean_s * 1000,
        )

    def expected_wait_s(self, account: str, urgency: Urgency) -> float:
        """Return how long a statement that arrives now would wait for a slot."""
        wait_s = None
        if self._gate is not None:
            wait_s = self._gate.expected_wait_s(account, urgency)
        return self.server_load.expected_wait_s if wait_s is None else wait_s

    @property
    def limit(self) -> int:
        """Number of connections that may be in use at once."""
        return self._queue.capacity

    @property
    def is_usable(self) -> bool:
        """Whether new connections may be opened now."""
        if self._failed_attempts and self._connecting:
            return False
        return monotonic() >= self._cooldown_until

    def has_idle(self, account: str) -> bool:
        """Whether a connection of this account is idle."""
        return any(idle.account == account for idle in self._idle)

    def resize(self, limit: int, max_idle: int) -> None:
        """Change the limits of connections in use and of those kept idle."""
        self._max_idle = max_idle
        if limit != self._max_limit:
            self._max_limit = limit
            self._set_limit(limit)

    async def acquire(
        self,
        account: str,
        settings: SessionSettings,
        deadline: float,
        in_transaction: bool = False,
        urgency: Urgency = DEFAULT_URGENCY,
    ) -> PooledConnection:
        """Take a connection for an account.

        Raises ``TimeoutError`` at the deadline, ``OverloadedError`` when none will be
        free in time or the server is cold, and ``BackendUnavailableError`` when none
        can be opened now. Outside of transactions, the connection has a permit of the
        gate until it is given back.
        """
        delay_s = self.warm_up.delay_s()
        if delay_s > 0:
            text = f"gateway: {self.server.id} is cold and gets no more requests now"
            log_state(log, "warm_up", "refused", text)
            raise OverloadedError(delay_s)
        permit = None
        if in_transaction:
            wait_end = min(deadline, deadline_in(TRANSACTION_WAIT_S))
            await self._transactions.acquire(account, wait_end, always_queue=False)
        elif self._gate is not None:
            permit = await self._gate.acquire(account, deadline, urgency)
        try:
            connection = await self._acquire(account, settings, deadline, permit)
        except BaseException:
            if in_transaction:
                self._transactions.release()
            if permit is not None:
                permit.release()
            raise
        connection.in_transaction = in_transaction
        connection.permit = permit
        return connection

    async def _acquire(
        self,
        account: str,
        settings: SessionSettings,
        deadline: float,
        permit: Permit | None,
    ) -> PooledConnection:
        await self._queue.acquire(account, deadline, always_queue=False)
        if permit is not None:
            permit.note_connection()
        try:
            connection = self._take_idle(account, settings)
            if connection is None:
                connection = await self._open(account, deadline)
        except BaseException:
            self._queue.release()
            raise
        self._in_use.add(connection)
        return connection

    async def admit_started(
        self, connection: PooledConnection, deadline: float
    ) -> Permit | None:
        """Wait until a statement of an open transaction or lease may run.

        Raises ``ConnectionLostError``, since nothing was sent, at the deadline or when
        the primary was replaced, or this VM's lease for it has ended, during the wait.
        """
        if self._gate is None:
            return None
        try:
            permit = await self._gate.acquire_started(deadline)
        except TimeoutError:
            raise ConnectionLostError("no slot became free", sent=False) from None
        if connection.floor is None and not self._is_primary(self.server):
            permit.release()
            raise ConnectionLostError("the primary was replaced", sent=False)
        return permit

    async def measure(
        self, statement: Awaitable[Answer], permit: Permit | None
    ) -> Answer:
        """Run a statement and count it in the load of the server."""
        began_at = self._meter.begin()
        try:
            answer = await statement
        except BaseException:
            self._meter.abandon()
            raise
        self._meter.end(began_at, self.server.slots)
        if permit is not None:
            failure = answer.failure
            is_busy = failure is not None and failure.reason is Reason.OVERLOADED
            permit.note_answer(is_busy)
        return answer

    def release(self, connection: PooledConnection) -> None:
        """Give back a connection that is lost or has no open transaction."""
        if connection not in self._in_use:
            return
        self._in_use.discard(connection)
        connection.return_permit()
        if connection.in_transaction:
            connection.in_transaction = False
            self._transactions.release()
        if not self._in_use:
            self._all_released.set()
        connection.used_at = monotonic()
        is_expired = not self._max_idle and (
            connection.used_at > connection.opened_at + MAX_AGE_WITHOUT_SHARE_S
        )
        if is_expired and self._limit < self._max_limit:
            # During the cooldown, another VM can open a connection instead.
            self._start_cooldown()
        if self._closed or is_expired or not connection.is_reusable:
            connection.raw.abort()
        else:
            self._idle.append(connection)
        self._queue.release()

    def discard(self, connection: PooledConnection) -> None:
        """Close a connection that is lost or may have an open transaction."""
        connection.raw.abort()
        self.release(connection)

    def close_idle(self) -> None:
        """Close connections that were idle for too long."""
        time = monotonic()
        kept = []
        for index, connection in enumerate(reversed(self._idle)):
            timeout_s = (
                IDLE_TIMEOUT_S if index < self._max_idle else EXCESS_IDLE_TIMEOUT_S
            )
            if connection.used_at < time - timeout_s:
                connection.raw.abort()
            else:
                kept.append(connection)
        self._idle = kept[::-1]

    def report(self) -> None:
        """Update the metrics of the gate."""
        if self._gate is not None:
            self._gate.report()

    def grow(self) -> None:
        """Raise a lowered limit by one, at most once in each interval."""
        time = monotonic()
        if self._limit < self._max_limit and time >= self._grow_at:
            self._grow_at = time + GROW_INTERVAL_S
            self._set_limit(self._limit + 1)

    def _set_limit(self, limit: int) -> None:
        self._limit = limit
        self._queue.resize(limit)
        self._transactions.resize(_transaction_limit(limit))

    def _start_cooldown(self) -> None:
        """Start a cooldown, with jitter because many VMs are refused at once."""
        cooldown_s = REFUSAL_COOLDOWN_S * random.uniform(0.5, 1.5)
        if self._failed_attempts > 1:
            cooldown_s *= FAILURE_FACTOR
        if self._starved_since is not None:
            starved_s = monotonic() - self._starved_since
            cooldown_s /= min(
                MAX_STARVATION_FACTOR, 1.0 + starved_s / STARVATION_STEP_S
            )
        self._cooldown_until = monotonic() + cooldown_s

    def _reduce_limit(self) -> None:
        """Limit the pool to half of the connections that it uses; the server is full.

        Halving the limit and raising it by one evens out the VMs' shares over time.
        """
        self._set_limit(max(1, self._queue.in_use // 2))
        self._grow_at = monotonic() + GROW_INTERVAL_S * random.uniform(1.0, 2.0)

    def abort_all(self) -> None:
        """Close all connections, including those in use."""
        for connection in [*self._idle, *self._in_use]:
            connection.is_aborted = True
            connection.raw.abort()
        self._idle.clear()

    def close(self) -> None:
        """Close idle connections now and those in use when they are given back."""
        self._closed = True
        if self._gate is not None:
            self._gate.close()
        for connection in self._idle:
            connection.raw.abort()
        self._idle.clear()

    async def wait_until_released(self, deadline: float) -> None:
        """Wait until no connection is in use, or until the deadline."""
        while self._in_use and not has_passed(deadline):
            self._all_released.clear()
            try:
                async with timeout_at(deadline):
                    await self._all_released.wait()
            except TimeoutError:
                return

    def _take_idle(
        self, account: str, settings: SessionSettings
    ) -> PooledConnection | None:
        best: PooledConnection | None = None
        for connection in reversed(self._idle):
            if connection.account == account and connection.raw.is_open:
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
        # An owner may keep more connections than may be in use at once.
        limit = max(self._queue.capacity, self._max_idle)
        if self._idle and len(self._idle) + self._queue.in_use > limit:
            self._idle.pop(0).raw.abort()
        server = self.server
        connect_end = min(deadline, deadline_in(CONNECT_TIMEOUT_S))
        self._connecting += 1
        try:
            raw = await self._connect(
                server.host, server.port, server.group, account, server.id, connect_end
            )
        except BackendUnavailableError as error:
            if not isinstance(error, ServerFullError):
                self._failed_attempts += 1
            self._start_cooldown()
            if isinstance(error, ServerFullError):
                self._reduce_limit()
                if self._idle:
                    # Makes room for the next attempt.
                    self._idle.pop(0).raw.abort()
                if not self._in_use and not self._idle and self._starved_since is None:
                    self._starved_since = monotonic()
            raise
        finally:
            self._connecting -= 1
        self._starved_since = None
        self._failed_attempts = 0
        return PooledConnection(raw, account, self)


def _transaction_limit(limit: int) -> int:
    return max(1, int(limit * TRANSACTION_SHARE))
