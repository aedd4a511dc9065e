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
    NoPositionError,
    OverloadedError,
    ReadDeclinedError,
    StatementRefusedError,
)
from citronwood.relay.absence import PrimaryAbsences
from citronwood.relay.balance import ReadAttempts, Result
from citronwood.relay.clock import now
from citronwood.relay.connection import LeasedConnection, SessionSettings
from citronwood.relay.evacuations import NO_EVACUATIONS, Evacuations
from citronwood.relay.model import (
    Account,
    BackendServer,
    Consistency,
    Position,
    Route,
)
from citronwood.relay.pool import ServerPool
from citronwood.relay.positions import GroupPositions
from citronwood.relay.servers import Servers
from citronwood.relay.statement import (
    DEFAULT_URGENCY,
    Failure,
    Reason,
    Statement,
    Urgency,
)
from citronwood.relay.view import PrimaryView

# For this long after its last commit, a session reads from the primary, because
# replicas receive and apply a commit some tens of milliseconds later.
REPLICATION_DELAY_S = 0.1
# First backoff of a request that no server accepted; it doubles up to the maximum.
FIRST_BACKOFF_S = 0.03
# A quarter of the shortest statement timeout of the known routes.
MAX_BACKOFF_S = 0.25
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


class ReadBounds(NamedTuple):
    """What the log of a replica must hold for a read.

    That is all commits acknowledged before ``oldest``, which is ``max_age_s`` before
    the read began, and the session's last commit if there is one.
    """

    oldest: float
    max_age_s: float
    commit: Position | None


class Use(NamedTuple):
    """What a connection is needed for.

    ``bounds`` is None at the primary. ``begin`` is the kind of the transaction to begin
    ("read" or "write"), and ``statement`` a single read. ``urgency`` ranks the request
    among those that wait for the same server.
    """

    database: str
    account: str
    settings: SessionSettings
    bounds: ReadBounds | None
    begin: str
    statement: Statement | None
    urgency: Urgency = DEFAULT_URGENCY


class Forwarding(Protocol):
    """Uses connections to backend servers that other VMs hold."""

    async def open(
        self, server: BackendServer, use: Use, deadline: float
    ) -> LeasedConnection | None:
        """Return a connection of another VM; None to use one of this VM.

        Raises as ``ServerPool.acquire``, ``ReadDeclinedError`` when a read would wait
        for longer than it accepts, and ``NoPositionError`` when no position is known
        that covers the bounds. Nothing but a read or the begin of a transaction
        has run then.
        """
        ...


class SessionContext(NamedTuple):
    """Objects that all sessions of a VM share."""

    servers: Servers
    view: PrimaryView
    positions: PositionReader
    admission: Admission
    forwarding: Forwarding
    absences: PrimaryAbsences
    evacuations: Evacuations = NO_EVACUATIONS


async def find_floor(
    position_reader: PositionReader, group: str, bounds: ReadBounds, deadline: float
) -> Position:
    """Return a position that covers the bounds.

    If no known position covers them, the primary is asked for its position first.
    Raises ``NoPositionError``.
    """
    positions = position_reader.positions(group)
    floor = positions.covering(bounds.oldest)
    if floor is None:
        await position_reader.refresh(group, deadline)
        floor = positions.covering(bounds.oldest)
        if floor is None:
            raise NoPositionError(f"no recent position of {group} is known")
    else:
        newest = positions.newest
        assert newest is not None
        if newest.asked_at < now() - bounds.max_age_s * REFRESH_FRACTION:
            position_reader.refresh_soon(group)
    commit = positions.clamp(bounds.commit)
    return floor if commit is None else max(floor, commit)


class Trace:
    """Details of how one statement was served, for its log line."""

    def __init__(self) -> None:
        self.statement_started_at = monotonic()
        self.account = ""
        self.group = ""
        self.servers: list[str] = []
        # Address of the VM that held the connection, if it was another one.
        self.via = ""
        self.floor: Position | None = None
        self.retries = 0
        # Servers that declined the read because of its expected wait.
        self.declined = 0


class Reader(NamedTuple):
    """Server for a read, and what its log must hold; at the primary without bounds.

    The server may decline the read if it has to wait for longer than ``max_wait_s``.
    """

    pool: ServerPool
    bounds: ReadBounds | None
    max_wait_s: float | None = None


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
        self, pool: ServerPool, use: Use, attempts: ReadAttempts, deadline: float
    ) -> LeasedConnection | None:
        """Take a connection to a replica, or without bounds to the primary.

        Returns None when a server has to be chosen again. Servers that gave no
        connection have then been excluded from, or have declined, further attempts.
        """
        excluded = attempts.excluded
        # Chosen for its free slot; another server may serve the read as well.
        has_choice = use.urgency.max_wait_s is not None
        at_primary = use.bounds is None and not has_choice
        try:
            connection = await self._acquire(pool, use, deadline)
        except ReadDeclinedError as error:
            self.trace.declined += 1
            attempts.note_declined(pool.server.id, error.wait_s)
            return None
        except NoPositionError:
            # Only the primary can serve the read.
            servers = self._context.servers.of_group(pool.server.group)
            excluded.update(server.id for server in servers)
            return None
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
        if (
            use.bounds is None
            and self._context.view.primary_of(server.group) != server.id
        ):
            connection.release()
            return None
        self.trace.floor = connection.floor
        self.trace.via = connection.via
        return connection

    async def _acquire(
        self, pool: ServerPool, use: Use, deadline: float
    ) -> LeasedConnection:
        """Take a connection that another VM or this one holds.

        Raises ``StatementRefusedError`` when none is free in time,
        ``ReadDeclinedError`` when none is free soon enough, and
        ``BackendUnavailableError`` when none can be opened now.
        """
        self.trace.servers.append(pool.server.id)
        try:
            forwarded = await self._context.forwarding.open(pool.server, use, deadline)
            if forwarded is not None:
                return forwarded
            floor = None
            if use.bounds is not None:
                floor = await find_floor(
                    self._context.positions, pool.server.group, use.bounds, deadline
                )
            balance = self._context.servers.balance
            if balance is not None:
                wait_s = balance.accepts(pool, use.account, use.urgency)
                if wait_s is not None:
                    raise ReadDeclinedError(wait_s)
                balance.begin_arrival(pool.server.id)
            try:
                connection = await pool.acquire(
                    use.account,
                    use.settings,
                    deadline,
                    in_transaction=bool(use.begin),
                    urgency=use.urgency,
                )
            finally:
                if balance is not None:
                    balance.end_arrival(pool.server.id)
            # The list may have changed or become too old during the wait.
            reason = self._context.evacuations.reason_to_refuse(pool.server)
            if reason is not None:
                connection.release()
                raise BackendUnavailableError(reason)
            connection.floor = floor
            return connection
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
        """Return the group's primary; wait for one that is expected in time."""
        view, absences = self._context.view, self._context.absences
        try:
            async with timeout_at(deadline):
                while True:
                    self._check_evacuations(route.group)
                    primary = view.primary_of(route.group)
                    pool = self._context.servers.get(primary) if primary else None
                    if pool is not None:
                        absences.note_present(route.group)
                        return pool
                    absences.note_missing(route.group)
                    if not absences.may_end_within(route.group, time_left(deadline)):
                        break
                    await view.wait_for_change()
        except TimeoutError:
            pass
        retry_s = absences.retry_s(route.group)
        text = retry_message("the group has no primary", retry_s)
        raise refusal(Reason.OVERLOADED, text)

    def _check_evacuations(self, group: str) -> None:
        """Refuse a statement if its group's primary is in an evacuated domain."""
        evacuations = self._context.evacuations
        primary = self._context.view.named_primary(group)
        if primary is None or not self._context.servers.is_evacuated(primary):
            return
        servers = self._context.servers.of_group(group)
        domain = next(s.failure_domain for s in servers if s.id == primary)
        evacuations.count_refused()
        text = f"not run: failure domain {domain} of the primary is evacuated"
        text = retry_message(text, evacuations.retry_s(servers))
        raise refusal(Reason.OVERLOADED, text)

    async def choose_reader(
        self,
        route: Route,
        account: Account,
        started_at: float,
        attempts: ReadAttempts,
        last_commit: LastCommit,
        deadline: float,
    ) -> Reader:
        """Return a server for a read, what its log must hold, and the longest wait."""
        attempts.finish(Result.UNKNOWN)
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
            own_commit = (
                commit_floor
                if route.consistency is Consistency.READ_YOUR_WRITES
                else None
            )
            oldest = started_at - route.max_age_s
            bounds = ReadBounds(oldest, route.max_age_s, own_commit)
            view, servers = self._context.view, self._context.servers
            named_primary = view.named_primary(route.group)
            if servers.balance is None:
                pool = servers.choose_replica(
                    route.group, named_primary, account.name, attempts.excluded
                )
                if pool is not None:
                    return Reader(pool, bounds)
            else:
                primary = view.primary_of(route.group)
                chosen = servers.choose_balanced(
                    route.group, named_primary, primary, attempts
                )
                if chosen is not None:
                    pool, max_wait_s = chosen
                    at_primary = pool.server.id == primary
                    return Reader(pool, None if at_primary else bounds, max_wait_s)
        if has_passed(deadline):
            raise refusal(Reason.OVERLOADED, "no server could take the read")
        primary = self._context.view.primary_of(route.group)
        if attempts.failed_at and primary in (None, attempts.failed_at):
            raise refusal(Reason.FAILED, "no other server can run the read")
        pool = await self.wait_for_primary(route, deadline)
        self._context.servers.start_read(pool, attempts)
        return Reader(pool, None)

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
