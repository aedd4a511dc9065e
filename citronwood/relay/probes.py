"""Status probes of backend servers."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from citronwood.deadline import deadline_in
from citronwood.decisions import log_state
from citronwood.errors import (
    BackendUnavailableError,
    ConnectionLostError,
    ServerFullError,
)
from citronwood.relay.clock import now
from citronwood.relay.model import BackendServer, Position
from citronwood.relay.positions import GroupPositions, Observation
from citronwood.relay.servers import Servers
from citronwood.relay.statement import ServerConnection, ServerConnector, ServerStatus
from citronwood.relay.view import PrimaryView

log = logging.getLogger(__name__)

# Account name of the relay's own connections.
RELAY_ACCOUNT = "-"
# Under a usual load, a server answers within some tens of milliseconds.
STATUS_TIMEOUT_S = 0.4
# Probe connections that were idle for longer are closed: a server has fewer connections
# than a large fleet has VMs.
IDLE_TIMEOUT_S = 3.0
# A server refuses connections while those of VMs that have lost power hold its places,
# which it drops after 3 s. A server that refuses them for longer counts as silent.
MAX_FULL_S = 4.0


class Probe(NamedTuple):
    """Status of a server; ``asked_at`` is the time before the request was sent."""

    asked_at: float
    status: ServerStatus


class Probes:
    """Status requests over one separate connection to each server.

    Parameters
    ----------
    ask_owner : callable
        Returns a position of a primary from the VM that owns it; None to ask the
        primary itself.
    """

    def __init__(
        self,
        servers: Servers,
        connect: ServerConnector,
        view: PrimaryView,
        ask_owner: Callable[[BackendServer], Awaitable[Observation | None]],
    ) -> None:
        self._servers = servers
        self._ask_owner = ask_owner
        self._connect = connect
        self._view = view
        self._connections: dict[str, ServerConnection] = {}
        self._locks: dict[str, asyncio.Lock] = {}
        self._positions: dict[str, GroupPositions] = {}
        self._refreshing: dict[str, asyncio.Task[None]] = {}
        self._answered_at: dict[str, float] = {}
        # Servers that have refused each connection since that time.
        self._full_since: dict[str, float] = {}
        self._requested_at: dict[str, float] = {}

    def positions(self, group: str) -> GroupPositions:
        """Return the known positions of a group."""
        return self._positions.setdefault(group, GroupPositions())

    def answered_within(self, server: str, seconds: float) -> bool:
        """Whether a server has answered within the last ``seconds``."""
        return now() - self._answered_at.get(server, -1e9) <= seconds

    async def status(self, server: str, deadline: float) -> Probe | None:
        """Return a server's status; None without an answer or for an unknown server."""
        return await self._request(server, deadline, None)

    async def step_down(self, server: str, term: int, deadline: float) -> Probe | None:
        """Order a primary of a lower term to become a replica; return its status."""
        return await self._request(server, deadline, term)

    async def refresh(self, group: str, deadline: float) -> None:
        """Request the position of the group's primary and wait for the answer."""
        self.refresh_soon(group)
        task = self._refreshing.get(group)
        if task is not None:
            await asyncio.wait({task}, timeout=max(0.0, deadline - _loop_time()))

    def refresh_soon(self, group: str) -> None:
        """Request the position of the group's primary in the background."""
        running = self._refreshing.get(group)
        if running is None or running.done():
            self._refreshing[group] = asyncio.create_task(self._refresh(group))

    def record_peer_position(
        self, group: str, term: int, number: int, asked_at: float
    ) -> None:
        """Record a position that another VM has read."""
        self.positions(group).observe(Position(term, number), asked_at)

    def close_idle(self) -> None:
        """Close connections that were idle for too long."""
        cutoff = now() - IDLE_TIMEOUT_S
        for server, connection in list(self._connections.items()):
            if (
                self._requested_at.get(server, cutoff) <= cutoff
                and not self._locks[server].locked()
            ):
                connection.abort()
                del self._connections[server]
                self._requested_at.pop(server, None)

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.abort()
        self._connections.clear()

    async def _refresh(self, group: str) -> None:
        primary = self._view.primary_of(group)
        if primary is None:
            return
        pool = self._servers.get(primary)
        if pool is not None:
            observed = await self._ask_owner(pool.server)
            if observed is not None:
                self.positions(group).observe(observed.position, observed.asked_at)
                return
        probe = await self.status(primary, deadline_in(STATUS_TIMEOUT_S))
        # The position counts only if the server was the primary when it was asked.
        if probe is not None and self._view.primary_of(group) == primary:
            self.record_position(group, probe)

    def record_position(self, group: str, probe: Probe) -> None:
        """Record the position that a group's primary reported."""
        if probe.status.is_primary:
            self.positions(group).observe(probe.status.received, probe.asked_at)

    async def _request(
        self, server: str, deadline: float, step_down_term: int | None
    ) -> Probe | None:
        """Request the status, or with a term, order the server to step down."""
        lock = self._locks.setdefault(server, asyncio.Lock())
        async with lock:
            try:
                connection = await self._connection(server, deadline)
                if connection is None:
                    return None
                asked_at = self._requested_at[server] = now()
                if step_down_term is None:
                    status = await connection.status(deadline)
                else:
                    status = await connection.step_down(step_down_term, deadline)
            except (BackendUnavailableError, ConnectionLostError) as error:
                if isinstance(error, ServerFullError):
                    self._note_full(server)
                log_state(
                    log,
                    "probe",
                    "failed",
                    f"gateway: {server} gave no answer: {error}",
                )
                self._connections.pop(server, None)
                return None
        self._full_since.pop(server, None)
        self._answered_at[server] = now()
        return None if status is None else Probe(asked_at, status)

    def _note_full(self, server: str) -> None:
        """Count a refusal for lack of a connection as an answer, for a while."""
        time = now()
        since = self._full_since.setdefault(server, time)
        if time <= since + MAX_FULL_S:
            self._answered_at[server] = time

    async def _connection(
        self, server: str, deadline: float
    ) -> ServerConnection | None:
        pool = self._servers.get(server)
        if pool is None:
            return None
        connection = self._connections.get(server)
        if connection is not None and connection.is_open:
            return connection
        backend = pool.server
        connection = await self._connect(
            backend.host,
            backend.port,
            backend.group,
            RELAY_ACCOUNT,
            backend.id,
            deadline,
        )
        self._connections[server] = connection
        return connection


def _loop_time() -> float:
    return asyncio.get_running_loop().time()
