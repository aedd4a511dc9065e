"""Status polling of one member, and the commands that change the primary."""

import asyncio
import logging
import random
from collections.abc import Callable
from time import monotonic
from typing import NamedTuple

from asyncmy.errors import MySQLError

from citronwood.backend.api import Position
from citronwood.backend.connection import BackendConnection, Login, open_connection
from citronwood.backend.seats import Seat
from citronwood.config.model import Member
from citronwood.deadline import deadline_in, timeout_at
from citronwood.decisions import log_state
from citronwood.errors import (
    BackendError,
    BackendUnavailableError,
    ConnectionLostError,
    ErrorCode,
    StaleTermError,
)
from citronwood.tasks import cancel_tasks

log = logging.getLogger(__name__)

# How long a member may delay its answer to a long poll. It answers at once when its
# log position changes.
#
# If the primary stalls for 200 ms in addition, its answer still arrives before
# SUSPECT_AFTER_S of promotion.py (450 ms).
PRIMARY_LONG_POLL_S = 0.15
# Longer, because reads, commits and failovers call ``read_status`` when they need a
# newer status of a replica.
REPLICA_LONG_POLL_S = 1.0
# Used while no primary responds, and for members that do not follow the current
# primary in its term.
FAILOVER_LONG_POLL_S = 0.1
# Time added to the limit of a long poll before the connection is closed. Longer than a
# stall of 200 ms; together with PRIMARY_LONG_POLL_S it is shorter than SUSPECT_AFTER_S,
# so a silent connection to the primary is replaced before the primary is suspect.
POLL_TIMEOUT_MARGIN_S = 0.25
RESPONSE_TIMEOUT_S = 0.35
CONNECT_TIMEOUT_S = 0.3
RETRY_DELAY_S = 0.05
# Delay between attempts to take a seat. The polling connection is closed in between,
# because the member's connection limit leaves room for only one connection without a
# seat (see seats.py).
NO_SEAT_RETRY_S = 0.4

PRIMARY = "primary"
REPLICA = "replica"
FENCED = "fenced"


class MemberStatus(NamedTuple):
    """Status row of a member.

    The row describes a moment between ``asked_at`` and ``received_at``, which are times
    of this VM's monotonic clock. ``primary_heard_ms`` is the time since the last
    heartbeat of the primary.
    """

    member: str
    term: int
    log_term: int
    received: int
    applied_term: int
    applied: int
    role: str
    primary_heard_ms: int | None
    data_age_ms: int | None
    leaving: bool
    asked_at: float
    received_at: float

    @property
    def log_position(self) -> Position:
        """Position of the last entry stored in the log."""
        return Position(self.log_term, self.received)

    @property
    def applied_position(self) -> Position:
        """Position of the last entry that is visible to reads."""
        return Position(self.applied_term, self.applied)

    @property
    def silent_s(self) -> float:
        """Seconds since the member last answered."""
        return monotonic() - self.received_at

    @property
    def read_age_ms(self) -> float | None:
        """Upper bound of the age of the member's data now; None if unknown."""
        if self.data_age_ms is None:
            return None
        return self.data_age_ms + (monotonic() - self.asked_at) * 1000.0


def _parse_status(
    name: str, row: dict[str, bytes | None], asked_at: float
) -> MemberStatus:
    def number(column: str) -> int:
        return int(row[column] or 0)

    def optional(column: str) -> int | None:
        value = row[column]
        return None if value is None else int(value)

    return MemberStatus(
        member=name,
        term=number("term"),
        log_term=number("log_term"),
        received=number("received"),
        applied_term=number("applied_term"),
        applied=number("applied"),
        role=(row["role"] or b"").decode(),
        primary_heard_ms=optional("primary_heard_ms"),
        data_age_ms=optional("data_age_ms"),
        leaving=(row["leaving"] or b"0") not in (b"0", b""),
        asked_at=asked_at,
        received_at=monotonic(),
    )


class MemberControl:
    """Polls the status of a member and runs commands on it, on two connections.

    ``on_status`` receives every status row, and ``long_poll_s`` returns how long the
    member may delay its answer to the next poll. The polling connection holds ``seat``;
    without a seat there is no command connection.
    """

    def __init__(
        self,
        name: str,
        member: Member,
        database: str,
        login: Login,
        on_status: Callable[[MemberStatus], None],
        seat: Seat,
        long_poll_s: Callable[[MemberStatus], float] = lambda _: FAILOVER_LONG_POLL_S,
    ) -> None:
        self._database = database
        self._login = login
        self._on_status = on_status
        self._long_poll_s = long_poll_s
        self._command_connection: BackendConnection | None = None
        self._command_lock = asyncio.Lock()
        self._task: asyncio.Task[None] | None = None
        self._reachable = True
        self.name = name
        self.member = member
        self.seat = seat

    @property
    def address(self) -> str:
        """Address at which other members reach this one."""
        return f"{self.member.host}:{self.member.port}"

    def start(self) -> None:
        """Start polling."""
        self._task = asyncio.create_task(
            self._poll_repeatedly(), name=f"watch {self.name}"
        )

    async def stop(self) -> None:
        """Stop polling and close both connections."""
        await cancel_tasks([self._task])
        if self._command_connection is not None:
            self._command_connection.close()

    async def connect(self, deadline: float) -> BackendConnection:
        """Open a connection to the member."""
        return await open_connection(
            self.member.host, self.member.port, self._database, self._login, deadline
        )

    async def _poll_repeatedly(self) -> None:
        while True:
            pause_s = RETRY_DELAY_S
            try:
                await self._poll()
                pause_s = NO_SEAT_RETRY_S
            except (BackendError, MySQLError) as error:
                self._set_reachable(False, str(error))
            except Exception:
                # An unexpected error, such as a malformed row, must not end polling.
                log.exception("group: polling of member %s failed", self.name)
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))

    async def _poll(self) -> None:
        """Poll until the connection fails; return if no seat is free."""
        connection = await self.connect(deadline_in(CONNECT_TIMEOUT_S))
        try:
            status = await self._query_status(
                connection, "SHOW GROUP STATUS", RESPONSE_TIMEOUT_S
            )
            self._set_reachable(True, "")
            while True:
                if not await self.seat.ensure_held(connection):
                    if not self.seat.is_reserved:
                        return
                    await asyncio.sleep(NO_SEAT_RETRY_S)
                    status = await self._query_status(
                        connection, "SHOW GROUP STATUS", RESPONSE_TIMEOUT_S
                    )
                    continue
                wait_s = self._long_poll_s(status)
                status = await self._query_status(
                    connection,
                    f"CALL group_wait({status.term}, {status.received},"
                    f" {status.applied}, {wait_s * 1000:.0f})",
                    wait_s + POLL_TIMEOUT_MARGIN_S,
                )
        finally:
            self.seat.mark_lost()
            connection.close()

    async def _query_status(
        self, connection: BackendConnection, sql: str, limit_s: float
    ) -> MemberStatus:
        asked_at = monotonic()
        rows = await connection.query(sql, asked_at + limit_s)
        status = _parse_status(self.name, rows[0], asked_at)
        self._on_status(status)
        return status

    def _set_reachable(self, reachable: bool, reason: str) -> None:
        if reachable and not self._reachable:
            message = f"group: member {self.name} responds again"
            log_state(log, "dependency", "regained", message, member=self.name)
        elif not reachable and self._reachable:
            message = f"group: member {self.name} does not respond: {reason}"
            log_state(log, "dependency", "lost", message, member=self.name)
        self._reachable = reachable

    async def read_status(self, deadline: float) -> MemberStatus:
        """Query the status now."""
        status = await self._command("SHOW GROUP STATUS", deadline)
        assert status is not None
        return status

    async def fence(self, term: int, deadline: float) -> MemberStatus:
        """Raise the member's term and make it fenced, neither primary nor replica.

        It refuses lower terms from then on. Raises ``StaleTermError`` if its term was
        not lower than ``term``.
        """
        status = await self._command(f"CALL group_fence({term})", deadline)
        return status or await self.read_status(deadline)

    async def promote(self, term: int, deadline: float) -> None:
        """Make the member primary at a term at which it is fenced."""
        await self._command(f"CALL group_promote({term})", deadline)

    async def follow(self, term: int, address: str, deadline: float) -> None:
        """Make the member follow a primary."""
        await self._command(f"CALL group_follow({term}, '{address}')", deadline)

    async def kill(self, connection_id: int, deadline: float) -> None:
        """Kill a connection on the member; it may have ended already."""
        try:
            await self._command(f"KILL {connection_id}", deadline)
        except MySQLError:
            log.debug("group: connection %s had ended already", connection_id)

    async def query(self, sql: str, deadline: float) -> list[dict[str, bytes | None]]:
        """Run a command and return its rows.

        The command must be safe to run twice, because it is repeated on a new
        connection if the first one is lost.
        """
        try:
            async with timeout_at(deadline), self._command_lock:
                return await self._run_command(sql, deadline)
        except TimeoutError as error:
            raise BackendUnavailableError(f"{self.name}: no answer") from error

    async def _run_command(
        self, sql: str, deadline: float
    ) -> list[dict[str, bytes | None]]:
        if not self.seat.is_held:
            raise BackendUnavailableError(f"{self.name}: no seat")
        connection = self._command_connection
        if connection is not None and connection.is_open:
            # The limit leaves time to repeat the command on a new connection if this
            # one has stopped responding.
            limit = min(deadline, deadline_in(RESPONSE_TIMEOUT_S))
            try:
                return await connection.query(sql, limit)
            except ConnectionLostError:
                log.debug("group: lost the command connection to %s", self.name)
        self._command_connection = None
        connection = await self.connect(deadline)
        self._command_connection = connection
        return await connection.query(sql, deadline)

    async def _command(self, sql: str, deadline: float) -> MemberStatus | None:
        asked_at = monotonic()
        try:
            rows = await self.query(sql, deadline)
        except MySQLError as error:
            if error.args[0] == ErrorCode.STALE_TERM:
                raise StaleTermError(f"{self.name}: {error.args[-1]}") from error
            raise
        if not rows or "log_term" not in rows[0]:
            return None
        status = _parse_status(self.name, rows[0], asked_at)
        self._on_status(status)
        return status
