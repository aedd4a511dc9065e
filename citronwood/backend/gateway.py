"""Gateway role: runs statements on the members of a database group."""

import asyncio
import logging
from functools import partial
from time import monotonic

from asyncmy.errors import MySQLError
from result import Err, Ok, Result

from citronwood.backend.answers import (
    empty_reply,
    loggable_message,
    make_reply,
    refuse_failed,
    refuse_not_run,
    refuse_overloaded,
    refuse_stopped,
)
from citronwood.backend.api import Position, Reply, Request, StatementKind
from citronwood.backend.connection import BackendConnection, StatementAnswer
from citronwood.backend.group import GroupView
from citronwood.backend.handover import Handover
from citronwood.backend.host import Host
from citronwood.backend.member import MemberControl, MemberStatus
from citronwood.backend.pool import Pool
from citronwood.backend.primary import PrimaryAccess
from citronwood.backend.promotion import Promoter
from citronwood.backend.reads import FloorReader, ReadRequirements, ReadRouter
from citronwood.backend.seats import Seat, data_connections
from citronwood.backend.transactions import Transactions
from citronwood.backend.writes import Writer
from citronwood.config.model import Group
from citronwood.deadline import deadline_in, has_passed, time_left
from citronwood.decisions import log_request, may_log, write_request
from citronwood.errors import (
    BackendUnavailableError,
    ConnectionLostError,
    ErrorCode,
    OverloadedError,
    Refusal,
)

log = logging.getLogger(__name__)

STOP_TIMEOUT_S = 10.0
# With less time left than this, a read spends all of it on one member and keeps none
# in reserve to fail over to another.
MIN_FAILOVER_TIME_S = 0.5
# A gateway with too few seats refuses statements after this time, because another
# gateway of the group may be able to run them. The wait covers the start of the gateway
# and brief losses of control connections.
SEAT_WAIT_S = 0.5
# How long a read waits for a member on which it has not failed yet. After that it tries
# the members on which it has failed again, too.
ALTERNATIVE_WAIT_S = 0.05

_TIMING_METRICS = {kind: f"gateway.{kind.value}" for kind in StatementKind}


class Gateway:
    """Run statements on one database group from this VM."""

    def __init__(self, group_name: str, group: Group, host: Host) -> None:
        self._group_name = group_name
        self._host = host
        self._metrics = host.metrics
        self._running = False
        self._active_statements = 0
        self._seat_wait_ends_at: float | None = None
        self._controls: dict[str, MemberControl] = {}
        self._pools: dict[str, Pool] = {}
        self.view = GroupView(group, lambda: self._floors.refresh())
        self._access = PrimaryAccess(self.view, self._pools)
        self._writer = Writer(self.view, self._controls, self._access)
        self._transactions = Transactions(self.view, self._access, self._writer)
        self._floors = FloorReader(self.view, self._controls)
        self._router = ReadRouter(self.view, self._pools)
        self._promoter = Promoter(
            group_name, self.view, self._controls, host, self.change_primary
        )
        self._handover = Handover(
            self.view, self._controls, self._access, self._run_promotion
        )

    @property
    def open_transactions(self) -> int:
        """Number of open transactions."""
        return self._transactions.count

    def start(self) -> None:
        """Connect to the members and accept statements."""
        self._running = True
        for member in self.view.group.members:
            self._add_member(member)
        self._access.start()
        self._promoter.start()
        self._handover.start()

    async def stop(self, deadline: float | None = None) -> None:
        """Refuse new statements, drain the running ones and close all connections.

        Open transactions may continue until the deadline.
        """
        self._running = False
        stop_deadline = (
            deadline if deadline is not None else deadline_in(STOP_TIMEOUT_S)
        )

        def is_idle() -> bool | None:
            return None if self._active_statements or self._transactions.count else True

        await self.view.wait_for(is_idle, stop_deadline)
        await self._handover.stop()
        await self._promoter.stop()
        await self._access.stop()
        await asyncio.gather(
            *(
                self._drop_member(member_name, stop_deadline)
                for member_name in [*self._controls]
            )
        )

    async def update(self, group: Group) -> None:
        """Adopt a changed definition of the group."""
        old = self.view.group
        self.view.update(group)
        for member in set(self._controls) - set(group.members):
            await self._drop_member(member, deadline_in(STOP_TIMEOUT_S))
        for member, definition in group.members.items():
            existing = self._controls.get(member)
            moved = existing is not None and (
                existing.address != f"{definition.host}:{definition.port}"
                or old.database != group.database
            )
            if moved:
                self.view.forget(member)
                await self._drop_member(member, deadline_in(STOP_TIMEOUT_S))
            if member not in self._controls:
                self._add_member(member)
        for member, pool in self._pools.items():
            pool.resize(data_connections(group))
            self._controls[member].seat.slot_count = data_connections(group)

    def _add_member(self, member: str) -> None:
        group = self.view.group
        seat = Seat(
            self._host.vm,
            self._group_name,
            self._host.is_dead,
            self._host.peers,
            lambda: self._pools[member].abort_all(),
        )
        control = MemberControl(
            member,
            group.members[member],
            group.database,
            self._host.login,
            self.view.publish,
            seat,
            self.view.long_poll_s,
        )
        pool = Pool(control, data_connections(group), self._host.weight)
        seat.slot_count = data_connections(group)
        seat.own_connections = lambda: pool.connection_ids
        self._controls[member] = control
        self._pools[member] = pool
        control.start()

    async def _drop_member(self, member: str, deadline: float) -> None:
        await self._pools[member].close(deadline)
        await self._controls[member].stop()
        self._pools.pop(member, None)
        self._controls.pop(member, None)

    async def execute(self, request: Request) -> Result[Reply, Refusal]:
        """Run one statement."""
        if not self._running and not self._transactions.has(request.session_id):
            return Err(refuse_stopped(request, "this VM no longer serves the group"))
        started = monotonic()
        self._active_statements += 1
        try:
            outcome = await self._dispatch(request)
        finally:
            self._active_statements -= 1
            if not self._running:
                self.view.wake()
        # This metric covers only the gateway's share of the latency. The entry VM
        # records the latency per client account.
        elapsed_ms = (monotonic() - started) * 1000
        if isinstance(outcome, Err):
            self._log_failure(outcome.err_value, elapsed_ms)
        self._metrics.timing(_TIMING_METRICS[request.kind], elapsed_ms)
        return outcome

    def _log_failure(self, refusal: Refusal, elapsed_ms: float) -> None:
        """Log a refused or failed statement together with the state of the group."""
        outcome = str(refusal.outcome)
        # During an overload most statements are refused, so the group's state is
        # collected only for lines that the log's rate limit lets through.
        if not may_log(log, "gateway", outcome):
            return
        primary = self.view.last_primary
        write_request(
            log,
            "gateway",
            outcome,
            f"gateway: {loggable_message(refusal)}",
            group=self._group_name,
            code=int(refusal.code),
            duration_ms=round(elapsed_ms, 1),
            primary=None if primary is None else primary.member,
            term=None if primary is None else primary.term,
            silent_ms={
                status.member: round(status.silent_s * 1000)
                for status in self.view.statuses
            },
            connections={
                name: {
                    "used": member_pool.in_use,
                    "limit": member_pool.limit,
                    "waiting": member_pool.waiting,
                }
                for name, member_pool in self._pools.items()
            },
        )

    async def end_session(self, session_id: str) -> None:
        """Roll back the session's open transaction and release its connection."""
        await self._transactions.end_session(session_id)

    async def _dispatch(self, request: Request) -> Result[Reply, Refusal]:
        has_transaction = self._transactions.has(request.session_id)
        if has_transaction and not request.in_transaction:
            # The entry VM no longer knows of the transaction and will not end it.
            await self.end_session(request.session_id)
        if not request.in_transaction and not await self._wait_for_seats(
            request.deadline
        ):
            return Err(refuse_not_run("this gateway has too few seats on the members"))
        if request.in_transaction or request.kind is StatementKind.BEGIN:
            floor = request.floor
            if floor is None and request.kind is StatementKind.BEGIN:
                floor = await self._floors.read(request.deadline)
                if floor is None:
                    return Err(refuse_not_run("no majority of the members responds"))
            return await self._transactions.execute(request, floor)
        if request.kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
            return Ok(empty_reply(""))
        if request.kind is StatementKind.READ:
            return await self._read(request)
        return await self._writer.run(request)

    def _check_seats(self) -> bool | None:
        """Return True if the seats suffice to run statements; None to wait for more.

        The gateway needs at least one seat, and a majority of members that have not
        denied it one, because floors and commit acknowledgements come from a majority.
        A member that does not respond counts as one that has not denied a seat.
        """
        has_seat, seats_not_denied = False, 0
        for control in self._controls.values():
            seat = control.seat
            has_seat = has_seat or seat.is_held
            seats_not_denied += not seat.is_denied
        return True if has_seat and seats_not_denied >= self.view.majority else None

    async def _wait_for_seats(self, deadline: float) -> bool:
        """Wait for seats on the members.

        All requests share one wait of at most ``SEAT_WAIT_S``, which starts when the
        seats are first found missing.
        """
        if self._check_seats():
            self._seat_wait_ends_at = None
            return True
        if self._seat_wait_ends_at is None:
            self._seat_wait_ends_at = deadline_in(SEAT_WAIT_S)
        wait_deadline = min(deadline, self._seat_wait_ends_at)
        return await self.view.wait_for(self._check_seats, wait_deadline) is True

    async def _read(self, request: Request) -> Result[Reply, Refusal]:
        floor = request.floor
        if floor is None and request.max_age_ms is None:
            floor = await self._floors.read(request.deadline)
            if floor is None:
                return Err(refuse_not_run("no majority of the members responds"))
        requirements = ReadRequirements(floor, request.max_age_ms, request.account)
        excluded: frozenset[str] = frozenset()
        while not has_passed(request.deadline):
            choice_deadline = request.deadline
            if excluded:
                choice_deadline = min(choice_deadline, deadline_in(ALTERNATIVE_WAIT_S))
            status = await self._router.choose(requirements, choice_deadline, excluded)
            if status is None:
                # Members that failed earlier may have recovered.
                excluded = frozenset()
                continue
            outcome = await self._try_read(request, requirements, status)
            if outcome is not None:
                return outcome
            excluded |= {status.member}
        return Err(refuse_not_run("no member could serve the read in time"))

    async def _try_read(
        self, request: Request, requirements: ReadRequirements, status: MemberStatus
    ) -> Result[Reply, Refusal] | None:
        """Run the read on one member; None if another member must be tried."""
        pool = self._pools[status.member]
        try:
            connection = await pool.acquire(
                request.account,
                request.deadline,
                False,
                partial(self._router.is_worth_waiting_for, status.member, requirements),
            )
        except OverloadedError as error:
            # The router has chosen the member with the smallest backlog of this
            # account, so the wait for another one would be no shorter.
            return Err(request.refusal() or refuse_overloaded(error))
        except (TimeoutError, BackendUnavailableError):
            return None
        current = self.view.status(status.member)
        if current is None or not self._router.serves(current, requirements):
            pool.release(connection)
            return None
        refusal = request.refusal()
        if refusal is not None:
            pool.release(connection)
            return Err(refusal)
        deadline = _attempt_deadline(request.deadline)
        try:
            answer = await connection.run(request.sql, deadline)
        except ConnectionLostError as error:
            pool.release(connection)
            self._metrics.count("group.reads_retried")
            log_request(
                log,
                "read",
                "retried",
                f"gateway: {error}",
                group=self._group_name,
                member=status.member,
                silent_ms=round(status.silent_s * 1000),
            )
            return None
        except MySQLError as error:
            pool.release(connection, request.sql)
            if error.args[0] in (ErrorCode.TOO_MANY_CONNECTIONS, ErrorCode.READ_ONLY):
                return None
            return Err(refuse_failed(error))
        except BaseException:
            pool.release(connection)
            raise
        self.view.note_answer(status.member)
        _release_after_rows(pool, connection, answer, request.sql)
        primary = self.view.primary
        replica = primary is None or primary.member != status.member
        self._metrics.count("group.reads_replica" if replica else "group.reads_primary")
        position: Position | None = requirements.floor
        return Ok(make_reply(answer, status.member, replica, position))

    async def change_primary(
        self, target: str, reason: str = "planned by the operator"
    ) -> bool:
        """Make ``target`` the primary; hold writes meanwhile instead of refusing them.

        Returns False if the change failed, for example because another promoter was
        faster or the target did not catch up.
        """
        return await self._handover.change_primary(target, reason)

    async def _run_promotion(self, reason: str, target: str) -> str | None:
        change = await self._promoter.change(reason, target)
        return None if change is None else change.new_primary


def _attempt_deadline(deadline: float) -> float:
    """Return the deadline of a read on one member.

    Half of the time is reserved for another member in case this one does not respond.
    """
    left = time_left(deadline)
    return deadline if left < MIN_FAILOVER_TIME_S else deadline_in(left / 2)


def _release_after_rows(
    pool: Pool, connection: BackendConnection, answer: StatementAnswer, sql: str
) -> None:
    if answer.rows is None:
        pool.release(connection, sql)
    else:
        answer.rows.notify_end(lambda: pool.release(connection, sql))


def open_gateway(group_name: str, group: Group, host: Host) -> Gateway:
    """Return the gateway of a group; it accepts statements after ``start``."""
    return Gateway(group_name, group, host)
