"""Which server runs a statement, and what is said when none can.

Load pattern: reads of many sessions and a few writes, while a replica is behind, a
primary is being replaced or all connections to a server are in use. A read takes a
replica that holds a position which covers the accepted age; without one, the primary.
"""

from time import monotonic
from typing import NamedTuple, Protocol

from citronwood.deadline import has_passed, time_left, until
from citronwood.errors import (
    BackendUnavailableError,
    OverloadedError,
    StatementRefusedError,
)
from citronwood.relay.clock import now
from citronwood.relay.model import Account, Consistency, Position, Route
from citronwood.relay.pool import PooledConnection, ServerPool, SessionSettings
from citronwood.relay.positions import GroupPositions
from citronwood.relay.servers import Servers
from citronwood.relay.statement import Failure, Reason
from citronwood.relay.view import PrimaryView

# Commits younger than this are looked for at the primary, as replicas receive and apply
# them a few tens of milliseconds later.
REPLICA_DELAY_S = 0.1
# Pause before a request that no server took is offered again; it doubles up to the
# second value, a fourth of the shortest time-out of the known routes.
RETRY_PAUSE_S = 0.03
MAX_RETRY_PAUSE_S = 0.25
# When callers of a group without a primary may come back: a change takes about that.
CHANGE_RETRY_S = 0.5
OVERLOAD_RETRY_S = 0.25
# A position is asked for anew when the newest has used this part of the accepted age.
REFRESH_AFTER_PART = 0.5


class Admission(Protocol):
    """Decides whether an account may start another operation."""

    async def take(self, account: Account, deadline: float) -> float | None:
        """Return None, or the seconds after which to come back."""
        ...


class PositionReader(Protocol):
    """Asks primaries for their positions."""

    def positions(self, group: str) -> GroupPositions:
        """Return the known positions of a group."""
        ...

    async def refresh(self, group: str, deadline: float) -> None:
        """Ask the group's primary."""
        ...

    def refresh_soon(self, group: str) -> None:
        """Ask the group's primary in the background."""
        ...


class Relay(NamedTuple):
    """What all sessions of a VM share."""

    servers: Servers
    view: PrimaryView
    positions: PositionReader
    admission: Admission


class Trace:
    """What decided one statement, for its log line."""

    def __init__(self) -> None:
        self.started = monotonic()
        self.account = ""
        self.group = ""
        self.servers: list[str] = []
        self.floor: Position | None = None
        self.pauses = 0


class OwnCommit(NamedTuple):
    """Position of a session's last commit and when its answer came."""

    position: Position | None
    answered_at: float


def refusal(reason: Reason, message: str) -> StatementRefusedError:
    """Return the exception that answers a statement with a failure."""
    return StatementRefusedError(Failure(reason, message))


def retry_message(text: str, retry_s: float) -> str:
    """Add the time after which the request may be repeated."""
    return f"{text}; retry in {max(1, round(retry_s * 1000))} ms"


class Router:
    """Chooses servers for the statements of one session."""

    def __init__(self, relay: Relay) -> None:
        self._relay = relay
        self.trace = Trace()

    def suspect(self, pool: ServerPool) -> None:
        """Choose a server last for a while."""
        self._relay.servers.suspect(pool.server.id)

    async def obtain(
        self,
        pool: ServerPool,
        after: Position | None,
        account: Account,
        settings: SessionSettings,
        excluded: set[str],
        deadline: float,
    ) -> PooledConnection | None:
        """Take a connection to a replica, or without ``after`` to the primary.

        None means that the choice is to be made again, without the excluded servers.
        """
        at_primary = after is None
        try:
            connection = await self._acquire(pool, account, settings, deadline)
        except BackendUnavailableError as error:
            excluded.add(pool.server.id)
            if at_primary:
                await self.pause(deadline, str(error))
            return None
        except StatementRefusedError:
            if at_primary:
                raise
            excluded.add(pool.server.id)
            return None
        server = pool.server
        if at_primary and self._relay.view.primary_of(server.group) != server.id:
            pool.release(connection)
            return None
        return connection

    async def _acquire(
        self,
        pool: ServerPool,
        account: Account,
        settings: SessionSettings,
        deadline: float,
    ) -> PooledConnection:
        """Take a connection.

        Raises ``StatementRefusedError`` when none is free in time, and
        ``BackendUnavailableError`` when the server gives none now.
        """
        self.trace.servers.append(pool.server.id)
        try:
            return await pool.acquire(account.name, settings, deadline)
        except OverloadedError as error:
            text = retry_message("too many requests wait", error.excess_s)
            raise refusal(Reason.OVERLOADED, text) from None
        except TimeoutError:
            text = retry_message("no connection became free", OVERLOAD_RETRY_S)
            raise refusal(Reason.OVERLOADED, text) from None
        except BackendUnavailableError:
            self.suspect(pool)
            raise

    async def primary(self, route: Route, deadline: float) -> ServerPool:
        """Return the group's primary, waiting for one until the deadline."""
        view = self._relay.view
        try:
            async with until(deadline):
                while True:
                    primary = view.primary_of(route.group)
                    pool = self._relay.servers.get(primary) if primary else None
                    if pool is not None:
                        return pool
                    await view.wait_for_change()
        except TimeoutError:
            text = retry_message("the group has no primary", CHANGE_RETRY_S)
            raise refusal(Reason.OVERLOADED, text) from None

    async def reader(
        self,
        route: Route,
        account: Account,
        started_at: float,
        excluded: set[str],
        own: OwnCommit,
        deadline: float,
    ) -> tuple[ServerPool, Position | None]:
        """Return a server for a read, and the position that a replica must hold.

        No position means that the server is the primary.
        """
        own_floor = self._relay.positions.positions(route.group).clamp(own.position)
        has_young_commit = (
            own_floor is not None and now() - own.answered_at < REPLICA_DELAY_S
        )
        if (
            route.max_age_s is not None
            and route.consistency is not Consistency.PRIMARY
            and not has_young_commit
        ):
            primary = self._relay.view.named_primary(route.group)
            pool = self._relay.servers.choose(
                route.group, primary, account.name, excluded
            )
            if pool is not None:
                after = await self._age_floor(
                    route, started_at - route.max_age_s, deadline
                )
                if after is not None:
                    if route.consistency is Consistency.READ_YOUR_WRITES and own_floor:
                        after = max(after, own_floor)
                    self.trace.floor = after
                    return pool, after
        if has_passed(deadline):
            raise refusal(Reason.OVERLOADED, "no server could take the read")
        return await self.primary(route, deadline), None

    async def _age_floor(
        self, route: Route, oldest: float, deadline: float
    ) -> Position | None:
        reader = self._relay.positions
        positions = reader.positions(route.group)
        floor = positions.covering(oldest)
        if floor is None:
            await reader.refresh(route.group, deadline)
            return positions.covering(oldest)
        newest = positions.newest
        assert newest is not None
        assert route.max_age_s is not None
        if newest.asked_at < now() - route.max_age_s * REFRESH_AFTER_PART:
            reader.refresh_soon(route.group)
        return floor

    async def pause(self, deadline: float, why: str) -> None:
        """Wait before another attempt, or give up when there is no time for one."""
        left_s = time_left(deadline)
        if left_s <= 2 * RETRY_PAUSE_S:
            text = retry_message(f"not run: {why}", OVERLOAD_RETRY_S)
            raise refusal(Reason.ABORTED, text)
        pause_s = min(MAX_RETRY_PAUSE_S, RETRY_PAUSE_S * 2.0**self.trace.pauses)
        # The last attempt has the time of one pause.
        pause_s = min(pause_s, left_s - RETRY_PAUSE_S)
        self.trace.pauses += 1
        try:
            async with until(monotonic() + pause_s):
                await self._relay.view.wait_for_change()
        except TimeoutError:
            return
