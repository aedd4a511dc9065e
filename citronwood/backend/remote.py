"""Executor that forwards statements to the gateway of another VM.

Large results are sent in chunks that the entry VM requests one by one. The gateway thus
reads a result no faster than the caller fetches it. The entry VM holds at most one
chunk in memory, the gateway at most one chunk and one batch of rows. The server side is
in ``citronwood.backend.service``.
"""

import logging
from collections.abc import AsyncIterator
from functools import lru_cache

from result import Err, Ok, Result

from citronwood.backend.answers import refuse_unanswered
from citronwood.backend.api import (
    Column,
    Position,
    Reply,
    Request,
    Row,
)
from citronwood.backend.connection import (
    # Limits of a cache of column definitions; rows of results are not cached.
    MAX_CACHED_RESULTS,
    MAX_COLUMNS_PER_CACHED_RESULT,
)
from citronwood.deadline import deadline_in
from citronwood.errors import (
    BackendUnavailableError,
    CallFailedError,
    CitronwoodError,
    DeadlineExceededError,
    ErrorCode,
    MessageError,
    Outcome,
    PeerUnavailableError,
    Refusal,
)
from citronwood.inner.messages import (
    EndSession,
    ExecuteStatement,
    MoreRows,
    RowChunk,
    SessionEnded,
    StatementReply,
)
from citronwood.inner.rpc import Rpc

log = logging.getLogger(__name__)

CHUNK_TIMEOUT_S = 5.0
END_SESSION_TIMEOUT_S = 2.0
END_SESSION_ATTEMPTS = 3

_ErrorTuple = tuple[int, str, str, bool]
_ColumnTuple = tuple[str, int, bool, int, int, int]


class RemoteExecutor:
    """Executor that forwards statements to the gateway at one address."""

    def __init__(self, rpc: Rpc, url: str) -> None:
        self._rpc = rpc
        self._url = url

    @property
    def url(self) -> str:
        """Address of the gateway's VM."""
        return self._url

    async def execute(self, request: Request) -> Result[Reply, Refusal]:
        """Run one statement on the gateway."""
        message = _statement_message(request)
        try:
            answer = await self._rpc.call(
                self._url,
                message,
                StatementReply,
                request.deadline,
                request.answer_deadline,
            )
        except MessageError as error:
            return Err(Refusal(ErrorCode.STATEMENT_TOO_LONG, f"Not run: {error}"))
        except PeerUnavailableError as error:
            return Err(Refusal(ErrorCode.NOT_RUN, f"Not run: gateway: {error}"))
        except (DeadlineExceededError, CallFailedError) as error:
            return Err(refuse_unanswered(request, str(error)))
        if answer.error is not None:
            return Err(_to_refusal(answer.error))
        return Ok(self._reply(answer))

    async def end_session(self, session_id: str) -> None:
        """Tell the gateway that a session has ended.

        The call is retried, because a lost message would leak a transaction.
        """
        for _ in range(END_SESSION_ATTEMPTS):
            deadline = deadline_in(END_SESSION_TIMEOUT_S)
            try:
                await self._rpc.call(
                    self._url, EndSession(session_id), SessionEnded, deadline
                )
                return
            except (PeerUnavailableError, DeadlineExceededError):
                continue
            except CallFailedError:
                return
        log.warning("gateway: failed to send the end of a session to %s", self._url)

    def _reply(self, answer: StatementReply) -> Reply:
        rows = None
        if answer.has_rows:
            result_id = answer.result_id if answer.more else None
            rows = _RemoteRows(self._rpc, self._url, answer.rows, result_id)
        position = answer.position
        return Reply(
            columns=_columns(answer.columns),
            rows=rows,
            affected_rows=answer.affected_rows,
            last_insert_id=answer.last_insert_id,
            position=None if position is None else Position(*position),
            in_transaction=answer.in_transaction,
            served_by=answer.served_by,
            replica=answer.replica,
            changed_rows=answer.changed_rows,
        )


class _RemoteRows(AsyncIterator[list[Row]]):
    """Rows of a remote result; ``aclose`` drops those not fetched yet."""

    def __init__(
        self, rpc: Rpc, url: str, first_batch: list[Row], result_id: int | None
    ) -> None:
        self._rpc = rpc
        self._url = url
        self._first_batch: list[Row] | None = first_batch or None
        self._result_id = result_id

    async def __anext__(self) -> list[Row]:
        """Return the next batch."""
        if self._first_batch is not None:
            batch, self._first_batch = self._first_batch, None
            return batch
        while self._result_id is not None:
            chunk = await self._fetch(self._result_id)
            if chunk.error is not None:
                self._result_id = None
                raise BackendUnavailableError(chunk.error[1])
            if not chunk.more:
                self._result_id = None
            if chunk.rows:
                return chunk.rows
        raise StopAsyncIteration

    async def aclose(self) -> None:
        """Drop the remaining rows, also at the gateway."""
        self._first_batch = None
        result_id, self._result_id = self._result_id, None
        if result_id is not None:
            self._rpc.notify(self._url, MoreRows(result_id, drop=True))

    async def _fetch(self, result_id: int) -> RowChunk:
        deadline = deadline_in(CHUNK_TIMEOUT_S)
        message = MoreRows(result_id, drop=False)
        try:
            return await self._rpc.call(self._url, message, RowChunk, deadline)
        except CitronwoodError as error:
            self._result_id = None
            raise BackendUnavailableError(f"the result broke off: {error}") from error


def _statement_message(request: Request) -> ExecuteStatement:
    floor = request.floor
    return ExecuteStatement(
        session_id=request.session_id,
        account=request.account,
        route=request.route,
        group=request.group,
        sql=request.sql,
        kind=request.kind.value,
        floor=None if floor is None else (floor.term, floor.lsn),
        max_age_ms=request.max_age_ms,
        idempotency_key=request.idempotency_key,
        in_transaction=request.in_transaction,
        key=request.key,
        request_id=request.request_id,
    )


def _columns(columns: tuple[_ColumnTuple, ...]) -> tuple[Column, ...]:
    if len(columns) > MAX_COLUMNS_PER_CACHED_RESULT:
        return _cached_columns.__wrapped__(columns)
    return _cached_columns(columns)


@lru_cache(maxsize=MAX_CACHED_RESULTS)
def _cached_columns(columns: tuple[_ColumnTuple, ...]) -> tuple[Column, ...]:
    return tuple([Column(*column) for column in columns])


def _to_refusal(error: _ErrorTuple) -> Refusal:
    code, message, outcome, transaction_lost = error
    try:
        parsed = Outcome(outcome)
    except ValueError:
        parsed = Outcome.UNKNOWN
    return Refusal(code, message, parsed, transaction_lost)
