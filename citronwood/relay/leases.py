"""Connections that this VM, as the owner of a server, holds for sessions of other VMs.

A lease is the use of one connection for a transaction or for a write. The VM of the
session chose its number, so it can end a lease whose answer it did not get. A lease
that is not used for longer than a transaction may be idle is ended here.
"""

import asyncio
import logging
import math
from collections.abc import Callable
from enum import StrEnum
from time import monotonic
from typing import NamedTuple

from citronwood.deadline import deadline_in, has_passed, timeout_at
from citronwood.decisions import current_request, log_state
from citronwood.errors import (
    BackendUnavailableError,
    ConnectionLostError,
    MessageError,
    NoPositionError,
    OverloadedError,
    ServerFullError,
)
from citronwood.inner.rpc import Caller, Rpc
from citronwood.relay.clock import now
from citronwood.relay.connection import (
    PooledConnection,
    PreparedStatement,
    SessionSettings,
)
from citronwood.relay.evacuations import NO_EVACUATIONS, Evacuations
from citronwood.relay.messages import (
    AskPosition,
    EndLease,
    ForwardedAnswer,
    ForwardedStatement,
    OpenLease,
    PositionAnswer,
    RunInLease,
)
from citronwood.relay.model import Position, Rules
from citronwood.relay.routing import PositionReader, ReadBounds, find_floor
from citronwood.relay.servers import Servers
from citronwood.relay.statement import (
    Answer,
    Failure,
    Reason,
    Statement,
    TransactionState,
    Urgency,
    Verb,
)
from citronwood.relay.view import PrimaryView

log = logging.getLogger(__name__)

# A lease for one write, which its VM uses at once.
WRITE_LEASE_S = 1.0
# Added to the time that a transaction may be idle: its VM ends it after that time.
IDLE_MARGIN_S = 1.0
POSITION_TIMEOUT_S = 0.4
# A known position of this age is given to other VMs without asking the primary.
FRESH_POSITION_S = 0.1


class LeaseOutcome(StrEnum):
    """Whether a forwarded request has an answer of the backend server."""

    ANSWERED = "answered"
    # Not run, and no connection was or is held.
    LEAVING = "leaving"
    UNUSABLE = "unusable"
    FULL = "full"
    OVERLOADED = "overloaded"
    NO_POSITION = "no_position"
    # The expected wait exceeds the one that the read accepts.
    DECLINED = "declined"
    # The connection was lost before or after the statement was sent.
    LOST = "lost"
    LOST_AFTER_SENDING = "lost_after_sending"


class _Lease:
    def __init__(
        self, connection: PooledConnection, primary: str | None, idle_s: float
    ) -> None:
        self.connection = connection
        # Set while the statements of the lease need the server to be the primary.
        self.primary = primary
        self.idle_s = idle_s
        self.unused_until = deadline_in(idle_s)
        self.is_running = False


class _LeaseKey(NamedTuple):
    """Process of the session's VM, and the number that it chose."""

    vm: str
    incarnation: int
    number: int


class Leases:
    """Runs statements for sessions of other VMs."""

    def __init__(
        self,
        servers: Servers,
        view: PrimaryView,
        positions: PositionReader,
        rules: Callable[[], Rules | None],
        evacuations: Evacuations = NO_EVACUATIONS,
    ) -> None:
        self._servers = servers
        self._view = view
        self._positions = positions
        self._rules = rules
        self._evacuations = evacuations
        self._leases: dict[_LeaseKey, _Lease] = {}
        self._stopping = False
        self._opening_count = 0
        self._changed = asyncio.Event()

    @property
    def open_count(self) -> int:
        """Number of leases."""
        return len(self._leases)

    def start(self, rpc: Rpc) -> None:
        """Start to serve other VMs."""
        rpc.on_call(OpenLease, self._on_open)
        rpc.on_call(RunInLease, self._on_run)
        rpc.on_call(AskPosition, self._on_ask_position)
        rpc.on_notification(EndLease, self._on_end)

    def stop(self) -> None:
        """Refuse new leases; statements of open ones still run."""
        self._stopping = True

    async def wait_until_ended(self, deadline: float) -> None:
        """Wait until no statement runs and no lease is open, or until the deadline."""
        try:
            async with timeout_at(deadline):
                while self._leases or self._opening_count:
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            log_state(
                log,
                "lease",
                "cut",
                f"gateway: {len(self._leases)} connections of other VMs are still used",
            )

    def end_all(self) -> None:
        """End all leases and roll back their transactions."""
        for key in list(self._leases):
            self._leases.pop(key).connection.discard()

    def end_unused(self) -> None:
        """End leases that were not used for too long."""
        for key, lease in list(self._leases.items()):
            if not lease.is_running and has_passed(lease.unused_until):
                del self._leases[key]
                lease.connection.discard()
                log_state(
                    log,
                    "lease",
                    "expired",
                    f"gateway: ended a connection that {key.vm} did not use",
                )

    async def _on_open(self, message: OpenLease, caller: Caller) -> ForwardedAnswer:
        current_request.set(message.request)
        self._opening_count += 1
        try:
            answer = await self._open(message, caller)
            pool, balance = self._servers.get(message.server), self._servers.balance
            if pool is None or balance is None:
                return answer
            return answer._replace(load=balance.present_load(pool))
        finally:
            self._opening_count -= 1
            self._changed.set()

    async def _open(self, message: OpenLease, caller: Caller) -> ForwardedAnswer:
        refused = self._check(message)
        if refused is not None:
            return refused
        pool = self._servers.get(message.server)
        assert pool is not None
        settings = _decode_settings(message.variables, message.statement)
        balance = self._servers.balance
        urgency = _urgency(message)
        try:
            floor = await self._floor(message, caller.deadline)
            if balance is not None:
                wait_s = balance.accepts(pool, message.account, urgency)
                if wait_s is not None:
                    wait_ms = math.ceil(wait_s * 1000)
                    return ForwardedAnswer(LeaseOutcome.DECLINED, excess_ms=wait_ms)
                balance.begin_arrival(message.server)
            try:
                connection = await pool.acquire(
                    message.account,
                    settings,
                    caller.deadline,
                    in_transaction=bool(message.begin),
                    urgency=urgency,
                )
            finally:
                if balance is not None:
                    balance.end_arrival(message.server)
        except NoPositionError as error:
            return ForwardedAnswer(LeaseOutcome.NO_POSITION, str(error))
        except OverloadedError as error:
            excess_ms = int(error.excess_s * 1000)
            return ForwardedAnswer(LeaseOutcome.OVERLOADED, str(error), excess_ms)
        except TimeoutError:
            return ForwardedAnswer(LeaseOutcome.OVERLOADED, "no connection was free")
        except ServerFullError as error:
            return ForwardedAnswer(LeaseOutcome.FULL, str(error))
        except BackendUnavailableError as error:
            return ForwardedAnswer(LeaseOutcome.UNUSABLE, str(error))
        # The primary may have changed during the wait for the connection.
        refused = self._check(message)
        if refused is not None:
            connection.release()
            return refused
        connection.floor = floor
        return await self._use(message, caller, connection, settings)

    async def _use(
        self,
        message: OpenLease,
        caller: Caller,
        connection: PooledConnection,
        settings: SessionSettings,
    ) -> ForwardedAnswer:
        """Run the read, begin the transaction, or keep the connection for a write."""
        answer = None
        try:
            if message.statement is not None:
                statement = decode_statement(message.statement)
                answer = await connection.run(
                    statement, settings, caller.deadline, connection.floor
                )
                connection.release()
                return encode_answer(answer)
            if message.begin:
                answer = await connection.begin(
                    settings, message.begin == "read", caller.deadline
                )
        except ConnectionLostError as error:
            connection.discard()
            return _lost(error)
        except BaseException:
            connection.discard()
            raise
        if answer is not None and answer.failure is not None:
            connection.discard()
            return encode_answer(answer)
        rules = self._rules()
        idle_s = WRITE_LEASE_S
        if message.begin and rules is not None:
            idle_s = rules.transaction_idle_s + IDLE_MARGIN_S
        primary = message.group if message.max_age_ms is None else None
        key = _LeaseKey(caller.name, caller.incarnation, message.lease)
        connection.return_permit()
        self._leases[key] = _Lease(connection, primary, idle_s)
        if answer is None:
            return ForwardedAnswer(LeaseOutcome.ANSWERED)
        return encode_answer(answer)

    async def _on_run(self, message: RunInLease, caller: Caller) -> ForwardedAnswer:
        key = _LeaseKey(caller.name, caller.incarnation, message.lease)
        lease = self._leases.get(key)
        if lease is None or lease.is_running:
            return ForwardedAnswer(LeaseOutcome.LOST, "the connection was given back")
        connection = lease.connection
        if lease.primary is not None and not self._is_primary(
            lease.primary, connection.server
        ):
            del self._leases[key]
            connection.discard()
            return ForwardedAnswer(LeaseOutcome.LOST, "the primary was replaced")
        pool = self._servers.get(connection.server)
        reason = None
        if pool is not None:
            reason = self._evacuations.reason_to_abort(pool.server)
        if reason is not None:
            del self._leases[key]
            connection.discard()
            return ForwardedAnswer(LeaseOutcome.LOST, reason)
        lease.is_running = True
        try:
            if message.statement is None:
                answer = await connection.roll_back(caller.deadline)
            else:
                answer = await connection.run(
                    decode_statement(message.statement),
                    _decode_settings(message.variables, message.statement),
                    caller.deadline,
                )
        except ConnectionLostError as error:
            self._leases.pop(key, None)
            connection.discard()
            return _lost(error)
        except BaseException:
            self._leases.pop(key, None)
            connection.discard()
            raise
        finally:
            lease.is_running = False
            lease.unused_until = deadline_in(lease.idle_s)
            self._changed.set()
        if message.final or answer.state is TransactionState.IDLE:
            self._leases.pop(key, None)
            self._changed.set()
            if answer.state is TransactionState.IDLE:
                connection.release()
            else:
                connection.discard()
        return encode_answer(answer)

    def _on_end(self, message: EndLease, caller: Caller) -> None:
        key = _LeaseKey(caller.name, caller.incarnation, message.lease)
        lease = self._leases.pop(key, None)
        if lease is not None:
            lease.connection.discard()
            self._changed.set()

    async def _on_ask_position(
        self, message: AskPosition, caller: Caller
    ) -> PositionAnswer:
        group = message.group
        if self._view.primary_of(group) is None:
            return PositionAnswer(None)
        known = self._positions.positions(group)
        newest = known.newest
        if newest is None or newest.asked_at < now() - FRESH_POSITION_S:
            deadline = min(caller.deadline, deadline_in(POSITION_TIMEOUT_S))
            await self._positions.refresh(group, deadline)
            newest = known.newest
        if newest is None or self._view.primary_of(group) is None:
            return PositionAnswer(None)
        age_ms = int((now() - newest.asked_at) * 1000) + 1
        return PositionAnswer((*newest.position, age_ms))

    def _check(self, message: OpenLease) -> ForwardedAnswer | None:
        """Return why the request cannot be served here; None if it can be."""
        if self._stopping:
            return ForwardedAnswer(LeaseOutcome.LEAVING, "this VM is stopping")
        rules = self._rules()
        if rules is not None and rules.version > message.rules_version:
            # The request was allowed by an older configuration than the known one.
            route = rules.routes.get(message.database)
            is_allowed = route is not None and route.group == message.group
            is_known = message.account in rules.accounts
            if not is_allowed or not (is_known or (route and route.open_to_all)):
                detail = "the configuration does not allow it any more"
                return ForwardedAnswer(LeaseOutcome.UNUSABLE, detail)
        pool = self._servers.get(message.server)
        if pool is None or pool.server.group != message.group:
            return ForwardedAnswer(LeaseOutcome.UNUSABLE, "unknown server")
        reason = self._evacuations.reason_to_refuse(pool.server)
        if reason is not None:
            if pool.server.evacuated:
                self._evacuations.count_refused(forwarded=True)
            return ForwardedAnswer(
                LeaseOutcome.UNUSABLE, reason, evacuated=pool.server.evacuated
            )
        if message.max_age_ms is None and not self._is_primary(
            message.group, message.server
        ):
            return ForwardedAnswer(LeaseOutcome.UNUSABLE, "not the known primary")
        return None

    def _is_primary(self, group: str, server: str) -> bool:
        return self._view.primary_of(group) == server

    async def _floor(self, message: OpenLease, deadline: float) -> Position | None:
        if message.max_age_ms is None:
            return None
        max_age_s = message.max_age_ms / 1000
        commit = None if message.after is None else Position(*message.after)
        bounds = ReadBounds(now() - max_age_s, max_age_s, commit)
        return await find_floor(self._positions, message.group, bounds, deadline)


def _lost(error: ConnectionLostError) -> ForwardedAnswer:
    outcome = LeaseOutcome.LOST_AFTER_SENDING if error.sent else LeaseOutcome.LOST
    return ForwardedAnswer(outcome, str(error))


def _urgency(message: OpenLease) -> Urgency:
    target_s = math.inf if message.target_ms is None else message.target_ms / 1000
    max_wait_s = None if message.max_wait_ms is None else message.max_wait_ms / 1000
    return Urgency(message.priority, monotonic() + target_s, max_wait_s)


def _decode_settings(
    variables: dict[str, str], statement: ForwardedStatement | None
) -> SessionSettings:
    settings = SessionSettings()
    settings.variables = variables
    if statement is not None and statement.verb == Verb.EXECUTE.value:
        prepared = PreparedStatement(statement.shape, statement.writes)
        settings.prepared[statement.name] = prepared
    return settings


def decode_statement(message: ForwardedStatement) -> Statement:
    """Return the statement of a message; raises ``MessageError``."""
    try:
        verb = Verb(message.verb)
    except ValueError as error:
        raise MessageError("malformed", str(error)) from None
    return Statement(
        message.id,
        verb,
        message.text,
        message.name,
        message.value,
        message.writes,
    )


def encode_statement(
    statement: Statement, settings: SessionSettings
) -> ForwardedStatement:
    """Return a message with a statement and the prepared one that it executes."""
    shape, writes = "", statement.writes
    if statement.verb is Verb.EXECUTE:
        prepared = settings.prepared[statement.name]
        shape, writes = prepared.shape, prepared.writes
    return ForwardedStatement(
        statement.id,
        statement.verb.value,
        statement.text,
        statement.name,
        statement.value,
        writes,
        shape,
    )


def encode_answer(answer: Answer) -> ForwardedAnswer:
    """Return a message with the answer of a backend server."""
    failure = answer.failure
    return ForwardedAnswer(
        LeaseOutcome.ANSWERED,
        rows=answer.rows,
        signature=answer.signature,
        reason="" if failure is None else failure.reason.value,
        message="" if failure is None else failure.message,
        state=answer.state.value,
        position=answer.position,
    )


def decode_answer(message: ForwardedAnswer) -> Answer:
    """Return the answer in a message; raises ``MessageError``."""
    failure = None
    try:
        if message.reason:
            failure = Failure(Reason(message.reason), message.message)
        state = TransactionState(message.state)
    except ValueError as error:
        raise MessageError("malformed", str(error)) from None
    position = None if message.position is None else Position(*message.position)
    return Answer(tuple(message.rows), message.signature, failure, state, position)
