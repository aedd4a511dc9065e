"""Requests of one session to its database group, in and outside of transactions."""

import logging
import re
from collections.abc import AsyncIterator, Awaitable, Callable
from time import monotonic
from typing import Any, NamedTuple, Protocol
from uuid import uuid4

from mysql_mimic.errors import MysqlError
from result import Err

from citronwood.backend.answers import loggable_message
from citronwood.backend.api import (
    Executor,
    Reply,
    Request,
    Row,
    StatementKind,
    close_rows,
)
from citronwood.config.api import ConfigSource
from citronwood.deadline import deadline_in
from citronwood.decisions import current_request, log_request, may_log, write_request
from citronwood.errors import ErrorCode, Outcome, Refusal
from citronwood.limits.api import Limiter
from citronwood.metrics import Metrics
from citronwood.mysql.access import Access, Target
from citronwood.mysql.codes import MysqlCode
from citronwood.mysql.handler import StatementResult
from citronwood.mysql.login_backoff import LoginBackoff
from citronwood.mysql.packets import MAX_PACKET_BYTES
from citronwood.mysql.positions import Positions
from citronwood.mysql.state import SessionState
from citronwood.operator.records import Records

log = logging.getLogger(__name__)

STATEMENT_TIMEOUT_S = 10.0
# Longest wait for a rate token. The limiter itself refuses sooner: after 0.5 s, or
# after 2 s if a VM that grants the account's tokens has recently been replaced, has
# restarted or has not answered (see limits/limiter.py).
MAX_RATE_WAIT_S = 2.5
# A message between VMs has at most 1 MiB, like a packet; this leaves 16 KiB for the
# other fields of a request.
MAX_STATEMENT_BYTES = MAX_PACKET_BYTES - (1 << 14)
MAX_IDEMPOTENCY_KEY_CHARS = 128
# Request ids from clients. Common trace ids have up to 55 characters; the limits on
# length and characters keep an id from forging or flooding log lines.
_REQUEST_ID = re.compile(r"[\w.:/=+-]{1,64}", re.ASCII)

_METRIC_KINDS = {kind: kind.value for kind in StatementKind}
_LOGGED_OUTCOMES = {
    Outcome.NOT_RUN: "refused",
    Outcome.UNKNOWN: "unknown",
    Outcome.FAILED: "failed",
}


class EntryServices(NamedTuple):
    """Services that all client sessions of a VM share.

    ``secret`` signs session tokens.
    """

    config: ConfigSource
    executor: Executor
    limiter: Limiter
    metrics: Metrics
    records: Records
    secret: bytes
    login_backoff: LoginBackoff


class Owner(Protocol):
    """Session that owns the requests."""

    access: Access

    @property
    def state(self) -> SessionState:
        """Variables of the session."""
        ...

    async def check_access(self) -> None:
        """Raise ``MysqlError`` if the client may no longer run requests."""
        ...

    def refusal(self, code: int, message: str, logged: bool = False) -> MysqlError:
        """Record a refusal and return the error for the client.

        ``logged`` is True if the component that refused has already logged it.
        """
        ...


class GroupRequests:
    """Runs the statements of one session on its group and tracks the transaction."""

    __slots__ = (
        "_access",
        "_has_sent_requests",
        "_idempotency_key",
        "_in_transaction",
        "_owner",
        "_positions",
        "_request_count",
        "_request_id",
        "_request_id_prefix",
        "_services",
        "_session_id",
        "_state",
        "_transaction_failed",
        "_transaction_key",
        "_transaction_target",
    )

    def __init__(self, services: EntryServices, owner: Owner) -> None:
        self._services = services
        self._owner = owner
        self._access = owner.access
        self._state = owner.state
        self._session_id = uuid4().hex
        self._request_id_prefix = self._session_id[:12]
        self._request_count = 0
        self._request_id: str | None = None
        self._positions = Positions()
        self._idempotency_key: str | None = None
        self._transaction_key: str | None = None
        self._transaction_target: Target | None = None
        self._in_transaction = False
        self._transaction_failed = False
        self._has_sent_requests = False

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open on the group."""
        return self._in_transaction

    @property
    def failed(self) -> bool:
        """Whether the client must roll back a transaction that has failed."""
        return self._transaction_failed

    def set_idempotency_key(self, key: object) -> None:
        """Set the key of the next write or transaction; None removes it."""
        if self._in_transaction:
            if key == self._transaction_key:
                return
            # The key would apply to a later transaction than the client intends.
            raise MysqlError(
                "The idempotency key must be set before the transaction starts",
                MysqlCode.NOT_IN_TRANSACTION,
            )
        if key is None or key == "":
            self._idempotency_key = None
            return
        if not isinstance(key, str) or len(key) > MAX_IDEMPOTENCY_KEY_CHARS:
            raise MysqlError(
                "An idempotency key is a string of at most"
                f" {MAX_IDEMPOTENCY_KEY_CHARS} characters",
                MysqlCode.WRONG_VALUE,
            )
        self._idempotency_key = key

    def idempotency_key(self) -> str | None:
        """Return the key of the next write or transaction."""
        return self._idempotency_key

    def set_request_id(self, text: object) -> None:
        """Set the id of the following requests; None generates one for each."""
        if text is not None and not (
            isinstance(text, str) and _REQUEST_ID.fullmatch(text)
        ):
            raise MysqlError(
                "A request id has 1 to 64 letters, digits and . : / = + - _",
                MysqlCode.WRONG_VALUE,
            )
        self._request_id = text

    def request_id(self) -> str | None:
        """Return the id that was set for the following requests."""
        return self._request_id

    def begin_request(self) -> None:
        """Set the id of the next request for the logs."""
        self._request_count += 1
        generated_id = f"{self._request_id_prefix}-{self._request_count}"
        current_request.set(self._request_id or generated_id)

    def accept_token(self, text: object) -> None:
        """Raise the minimum position to that of a session token; None is ignored."""
        if text is not None:
            self._positions.accept(self._services.secret, self._access, str(text))

    def issue_token(self) -> str | None:
        """Return a session token for the group of the selected route.

        None without a route, or if the session has no position in the group.
        """
        route = self._access.route
        if route is None:
            return None
        group = self._access.target().group
        return self._positions.issue(self._services.secret, self._access.account, group)

    async def begin(self, sql: str) -> StatementResult:
        """Start a transaction after committing an open one."""
        if self._in_transaction:
            await self.commit("COMMIT")
        # READ ONLY or READ WRITE in the statement overrides the session's setting.
        if self._state.take_read_only() and "READ" not in sql.upper():
            sql = "START TRANSACTION READ ONLY"
        self._transaction_target = self._access.target()
        self._transaction_key = self._idempotency_key
        try:
            return await self.forward(sql, StatementKind.BEGIN)
        finally:
            if not self._in_transaction:
                self._transaction_target = self._transaction_key = None

    async def commit(self, sql: str = "COMMIT") -> StatementResult:
        """Commit the open transaction, if there is one."""
        if not self._in_transaction:
            return StatementResult()
        return await self.forward(sql, StatementKind.COMMIT)

    async def rollback(self, sql: str) -> StatementResult:
        """Roll back the transaction; the client always gets a success."""
        self._state.last_error = None
        if self._in_transaction and self._access.may_serve() and self.has_access():
            outcome = await self._execute(
                self._make_request(sql, StatementKind.ROLLBACK)
            )
            if isinstance(outcome, Reply):
                self._apply_reply(outcome, StatementKind.ROLLBACK)
                return StatementResult()
        # Releasing the backend connection rolls back a transaction that is still open.
        await self.end()
        self._clear_transaction()
        return StatementResult()

    def fail_transaction(self) -> None:
        """Refuse statements until ROLLBACK.

        ``end`` must be called afterwards, to release the transaction on the group.
        """
        self._clear_transaction()
        self._transaction_failed = True

    def has_access(self) -> bool:
        """Whether the client's key and route are still valid."""
        try:
            return self._access.is_valid()
        except MysqlError:
            # The route was removed or is now forbidden.
            return False

    async def forward(self, sql: str, kind: StatementKind) -> StatementResult:
        """Run one statement on the group, or raise ``MysqlError``."""
        if kind is StatementKind.WRITE and not self._in_transaction:
            self._check_writable()
        request = self._make_request(sql, kind)
        started = monotonic()
        if not request.in_transaction:
            await self._acquire_token(request)
        admitted = monotonic()
        outcome = await self._execute(request)
        duration_ms = (monotonic() - admitted) * 1000
        self._services.metrics.observe(
            request.account, _METRIC_KINDS[kind], duration_ms
        )
        self._log_outcome(request, outcome, (admitted - started) * 1000, duration_ms)
        if isinstance(outcome, Refusal):
            raise await self._handle_refusal(outcome, request)
        self._clear_idempotency_key(kind)
        self._apply_reply(outcome, kind)
        rows = (
            None
            if outcome.rows is None
            else _RowStream(outcome.rows, self._handle_result_failure)
        )
        return StatementResult(
            outcome.columns,
            rows,
            outcome.affected_rows,
            outcome.last_insert_id,
            changed_rows=outcome.changed_rows,
        )

    def _log_outcome(
        self,
        request: Request,
        outcome: Reply | Refusal,
        waited_ms: float,
        duration_ms: float,
    ) -> None:
        result = "ok"
        if isinstance(outcome, Refusal):
            result = _LOGGED_OUTCOMES[outcome.outcome]
        if not may_log(log, "statement", result):
            return
        config = self._services.config
        outcome_inputs: dict[str, Any]
        if isinstance(outcome, Refusal):
            message = loggable_message(outcome)
            outcome_inputs = {"code": int(outcome.code)}
        else:
            message = "statement has run"
            outcome_inputs = {
                "served_by": outcome.served_by,
                "replica": outcome.replica,
            }
        write_request(
            log,
            "statement",
            result,
            f"entry: {message}",
            account=request.account,
            group=request.group,
            kind=request.kind.value,
            in_transaction=request.in_transaction,
            waited_ms=round(waited_ms, 1),
            duration_ms=round(duration_ms, 1),
            config_version=config.current.version,
            config_age_ms=config.validation_age_ms,
            **outcome_inputs,
        )

    def _check_writable(self) -> None:
        if self._state.system_variable("transaction_read_only") == 1:
            raise MysqlError(
                "The session is read-only; set transaction_read_only to 0 first",
                MysqlCode.READ_ONLY_TRANSACTION,
            )

    async def _acquire_token(self, request: Request) -> None:
        deadline = min(request.deadline, deadline_in(MAX_RATE_WAIT_S))
        admission = await self._services.limiter.acquire(request.account, deadline)
        if isinstance(admission, Err):
            refusal = admission.err_value
            raise self._owner.refusal(refusal.code, refusal.message, logged=True)
        # The key may have been withdrawn while the request waited for the limiter.
        if self._access.refusal() is not None:
            await self._owner.check_access()

    async def _execute(self, request: Request) -> Reply | Refusal:
        self._has_sent_requests = True
        try:
            outcome = await self._services.executor.execute(request)
        except Exception:
            log.exception("entry: statement for group %s failed", request.group)
            await self.end()
            return Refusal(
                ErrorCode.OUTCOME_UNKNOWN,
                "The outcome is unknown; check before you repeat the statement",
                Outcome.UNKNOWN,
                request.in_transaction,
            )
        return outcome.err_value if isinstance(outcome, Err) else outcome.ok_value

    def _make_request(self, sql: str, kind: StatementKind) -> Request:
        # A character has at most 4 bytes in UTF-8, so shorter texts cannot be too long.
        if len(sql) > MAX_STATEMENT_BYTES >> 2:
            _check_length(sql)
        target = self._transaction_target or self._access.target()
        key = self._transaction_key
        if key is None and kind is StatementKind.WRITE and not self._in_transaction:
            key = self._idempotency_key
        return Request(
            session_id=self._session_id,
            account=self._access.account,
            route=target.route,
            group=target.group,
            sql=sql,
            kind=kind,
            floor=self._positions.get(target.group),
            max_age_ms=target.max_age_ms,
            idempotency_key=key,
            in_transaction=self._in_transaction,
            deadline=deadline_in(STATEMENT_TIMEOUT_S),
            check_refusal=self._access.refusal,
            key=self._access.key,
            request_id=current_request.get(),
        )

    def _apply_reply(self, reply: Reply, kind: StatementKind) -> None:
        if reply.position is not None:
            target = self._transaction_target or self._access.target()
            self._positions.advance(target.group, reply.position)
        self._in_transaction = reply.in_transaction
        if not reply.in_transaction:
            self._clear_transaction()
        if kind is StatementKind.WRITE:
            self._state.row_count = reply.affected_rows
            if reply.last_insert_id:
                self._state.last_insert_id = reply.last_insert_id
        elif reply.rows is not None:
            self._state.row_count = -1

    def _clear_transaction(self) -> None:
        self._in_transaction = self._transaction_failed = False
        self._transaction_target = self._transaction_key = None

    def _clear_idempotency_key(self, kind: StatementKind) -> None:
        if kind is StatementKind.BEGIN or (
            kind is StatementKind.WRITE and not self._in_transaction
        ):
            self._idempotency_key = None

    async def _handle_refusal(self, refusal: Refusal, request: Request) -> MysqlError:
        """Update the session after a refusal and return the error for the client."""
        outcome_unknown = refusal.outcome is Outcome.UNKNOWN
        if refusal.transaction_lost or (outcome_unknown and request.in_transaction):
            self._transaction_failed = request.in_transaction
            await self.end()
            self._in_transaction = False
            self._transaction_target = self._transaction_key = None
        elif outcome_unknown and request.kind is StatementKind.BEGIN:
            await self.end()
        # A statement that did not run keeps its key for the retry. A key that was
        # already used for another statement is dropped, because every later write
        # would fail with it.
        reused = refusal.code == ErrorCode.IDEMPOTENCY_KEY_REUSED
        if refusal.outcome is not Outcome.NOT_RUN or reused:
            self._clear_idempotency_key(request.kind)
        if refusal.outcome is Outcome.FAILED:
            return MysqlError(refusal.message, refusal.code)
        return self._owner.refusal(refusal.code, refusal.message, logged=True)

    async def _handle_result_failure(self, error: Exception) -> MysqlError:
        """Update the session after a failed result; return the error for the client."""
        log_request(
            log,
            "result",
            "unknown",
            f"entry: a result was interrupted before its end: {error!r}",
        )
        if self._in_transaction:
            self.fail_transaction()
            await self.end()
        return self._owner.refusal(
            ErrorCode.OUTCOME_UNKNOWN,
            "The result broke off before its end",
            logged=True,
        )

    async def end(self) -> None:
        """Roll back and release everything that the session holds on its group.

        The next request uses a new session id, so that a delayed message about this end
        cannot end the new session.
        """
        if not self._has_sent_requests:
            return
        old_session_id, self._session_id = self._session_id, uuid4().hex
        self._has_sent_requests = False
        try:
            await self._services.executor.end_session(old_session_id)
        except Exception:
            log.exception("entry: reporting the end of a session failed")


class _RowStream:
    """Result rows whose failure is raised as ``MysqlError``.

    This is a class because closing a generator that was never started would leave the
    wrapped rows open and their connection in use.
    """

    def __init__(
        self,
        rows: AsyncIterator[list[Row]],
        on_failure: Callable[[Exception], Awaitable[MysqlError]],
    ) -> None:
        self._rows = rows
        self._on_failure = on_failure

    def __aiter__(self) -> AsyncIterator[list[Row]]:
        return self

    async def __anext__(self) -> list[Row]:
        try:
            return await anext(self._rows)
        except (StopAsyncIteration, MysqlError):
            raise
        except Exception as error:
            raise await self._on_failure(error) from error

    async def aclose(self) -> None:
        """Close the wrapped rows."""
        await close_rows(self._rows)


def _check_length(sql: str) -> None:
    if len(sql.encode()) > MAX_STATEMENT_BYTES:
        raise MysqlError(
            f"Statement exceeds {MAX_STATEMENT_BYTES} bytes; send a shorter one",
            ErrorCode.STATEMENT_TOO_LONG,
        )
