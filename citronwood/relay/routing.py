"""Choice of the backend server for a statement, and refusals when none can run it.

Load pattern: reads of many sessions and a few writes, while a replica is behind, a
primary is being replaced or all connections to a server are in use. A read goes to a
replica whose log has reached a position recent enough for the accepted age, or else to
the primary.
"""

from time import monotonic
from typing import NamedTuple, Protocol

from citronwood.deadline import has_passed, time_left, timeout_at
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

# For this long after its last commit, a session reads from the primary, because
# replicas receive and apply a commit some tens of milliseconds later.
REPLICATION_DELAY_S = 0.1
# First backoff of a request that no server accepted; it doubles up to the maximum.
FIRST_BACKOFF_S = 0.03
# A quarter of the shortest statement timeout of the known routes.
MAX_BACKOFF_S = 0.25
# Retry hint for callers of a group without a primary: a failover takes about as long.
FAILOVER_RETRY_S = 0.5
OVERLOAD_RETRY_S = 0.25
# A new position is requested when the age of the newest exceeds this fraction of the
# accepted age.
REFRESH_FRACTION = 0.5


class Admission(Protocol):
    """Rate limit of the client accounts."""

    async def acquire(self, account: Account, deadline: float) -> float | None:
        """Return None if the operation may start, else the seconds until a retry."""
        ...


class PositionReader(Protocol):
    """Requests the primaries' log positions."""

    def positions(self, group: str) -> GroupPositions:
        """Return the known positions of a group."""
        ...

    async def refresh(self, group: str, deadline: float) -> None:
        """Request the position of the group's primary."""
        ...

    def refresh_soon(self, group: str) -> None:
        """Request the position of the group's primary in the background."""
        ...


class SessionContext(NamedTuple):
    """Objects that all sessions of a VM share."""

    servers: Servers
    view: PrimaryView
    positions: PositionReader
    admission: Admission


class Trace:
    """Details of how one statement was served, for its log line."""

    def __init__(self) -> None:
        self.statement_started_at = monotonic()
        self.account = ""
        self.group = ""
        self.servers: list[str] = []
        self.floor: Position | None = None
        self.retries = 0


class LastCommit(NamedTuple):
    """Log position of a session's last commit, and the time of its answer."""

    position: Position | None
    answered_at: float


def refusal(reason: Reason, message: str) -> StatementRefusedError:
    """Return the exception for a statement that gets a failure as its answer."""
    return StatementRefusedError(Failure(reason, message))


def retry_message(text: str, retry_s: float) -> str:
    """Append the time after which the request may be retried."""
    return f"{text}; retry in {max(1, round(retry_s * 1000))} ms"


class Router:
    """Chooses servers for the statements of one session."""

    def __init__(self, context: SessionContext) -> None:
        self._context = context
        self.trace = Trace()

    def mark_suspect(self, pool: ServerPool) -> None:
        """Deprioritize a server for a while."""
        self._context.servers.mark_suspect(pool.server.id)

    async def acquire_connection(
        self,
        pool: ServerPool,
        after: Position | None,
        account: Account,
        settings: SessionSettings,
        excluded: set[str],
        deadline: float,
    ) -> PooledConnection | None:
        """Take a connection to a replica, or without ``after`` to the primary.

        Returns None when a server has to be chosen again. A server that gave no
        connection has then been added to ``excluded``.
        """
        at_primary = after is None
        try:
            connection = await self._acquire_from_pool(
                pool, account, settings, deadline
            )
        except BackendUnavailableError as error:
            excluded.add(pool.server.id)
            if at_primary:
                await self.wait_before_retry(deadline, str(error))
            return None
        except StatementRefusedError:
            if at_primary:
                raise
            excluded.add(pool.server.id)
            return None
        server = pool.server
        if at_primary and self._context.view.primary_of(server.group) != server.id:
            pool.release(connection)
            return None
        return connection

    async def _acquire_from_pool(
        self,
        pool: ServerPool,
        account: Account,
        settings: SessionSettings,
        deadline: float,
    ) -> PooledConnection:
        """Take a connection from the pool.

        Raises ``StatementRefusedError`` when none is free in time, and
        ``BackendUnavailableError`` when none can be opened now.
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
            self.mark_suspect(pool)
            raise

    async def wait_for_primary(self, route: Route, deadline: float) -> ServerPool:
        """Return the group's primary; wait until the deadline if there is none."""
        view = self._context.view
        try:
            async with timeout_at(deadline):
                while True:
                    primary = view.primary_of(route.group)
                    pool = self._context.servers.get(primary) if primary else None
                    if pool is not None:
                        return pool
                    await view.wait_for_change()
        except TimeoutError:
            text = retry_message("the group has no primary", FAILOVER_RETRY_S)
            raise refusal(Reason.OVERLOADED, text) from None

    async def choose_reader(
        self,
        route: Route,
        account: Account,
        started_at: float,
        excluded: set[str],
        last_commit: LastCommit,
        deadline: float,
    ) -> tuple[ServerPool, Position | None]:
        """Return a server for a read, and the position that its log must have reached.

        Without a position, the server is the primary.
        """
        commit_floor = self._context.positions.positions(route.group).clamp(
            last_commit.position
        )
        has_recent_commit = (
            commit_floor is not None
            and now() - last_commit.answered_at < REPLICATION_DELAY_S
        )
        if (
            route.max_age_s is not None
            and route.consistency is not Consistency.PRIMARY
            and not has_recent_commit
        ):
            primary = self._context.view.named_primary(route.group)
            pool = self._context.servers.choose_replica(
                route.group, primary, account.name, excluded
            )
            if pool is not None:
                after = await self._age_floor(
                    route, started_at - route.max_age_s, deadline
                )
                if after is not None:
                    if (
                        route.consistency is Consistency.READ_YOUR_WRITES
                        and commit_floor
                    ):
                        after = max(after, commit_floor)
                    self.trace.floor = after
                    return pool, after
        if has_passed(deadline):
            raise refusal(Reason.OVERLOADED, "no server could take the read")
        return await self.wait_for_primary(route, deadline), None

    async def _age_floor(
        self, route: Route, oldest: float, deadline: float
    ) -> Position | None:
        """Return a position that covers all commits before ``oldest``, or None.

        If no known position covers them, the primary is asked for its position first.
        """
        position_reader = self._context.positions
        positions = position_reader.positions(route.group)
        floor = positions.covering(oldest)
        if floor is None:
            await position_reader.refresh(route.group, deadline)
            return positions.covering(oldest)
        newest = positions.newest
        assert newest is not None
        assert route.max_age_s is not None
        if newest.asked_at < now() - route.max_age_s * REFRESH_FRACTION:
            position_reader.refresh_soon(route.group)
        return floor

    async def wait_before_retry(self, deadline: float, cause: str) -> None:
        """Back off before a retry; raise if the deadline leaves no time for one.

        A change that ends ``PrimaryView.wait_for_change`` ends the backoff early.
        """
        left_s = time_left(deadline)
        if left_s <= 2 * FIRST_BACKOFF_S:
            text = retry_message(f"not run: {cause}", OVERLOAD_RETRY_S)
            raise refusal(Reason.ABORTED, text)
        backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0**self.trace.retries)
        # The last attempt keeps at least as much time as the first backoff.
        backoff_s = min(backoff_s, left_s - FIRST_BACKOFF_S)
        self.trace.retries += 1
        try:
            async with timeout_at(monotonic() + backoff_s):
                await self._context.view.wait_for_change()
        except TimeoutError:
            return
