"""Serve the gateways of this VM to the remote executors of other VMs."""

import asyncio
import logging
import secrets
from collections import OrderedDict, deque
from collections.abc import AsyncIterator
from typing import NamedTuple

from result import Err

from citronwood.backend.answers import refuse_lost_transaction
from citronwood.backend.api import (
    Executor,
    Position,
    Reply,
    Request,
    Row,
    StatementKind,
    close_rows,
)
from citronwood.backend.keys import KeyCheck
from citronwood.config.api import ConfigSource
from citronwood.decisions import current_request
from citronwood.errors import (
    CitronwoodError,
    ErrorCode,
    MessageError,
    Outcome,
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
from citronwood.inner.rpc import Caller, Rpc

log = logging.getLogger(__name__)

# A chunk is complete at the target size. A chunk or a single row of at most
# MAX_ROW_BYTES fits into one message.
TARGET_CHUNK_BYTES = 256 * 1024
MAX_ROW_BYTES = 900 * 1024
# Results that are not fetched for this time are dropped, because each of them keeps a
# backend connection busy.
RESULT_IDLE_TIMEOUT_S = 30.0
# Ended sessions are remembered to refuse statements that arrive after the end of their
# session.
MAX_ENDED_SESSIONS = 10_000

_KINDS = frozenset(kind.value for kind in StatementKind)
_ErrorTuple = tuple[int, str, str, bool]


class _Owner(NamedTuple):
    """Process of another VM that opened a session or fetches a result."""

    name: str
    incarnation: int


class _StoredResult:
    """Remaining rows of a result that is fetched in chunks."""

    def __init__(self, owner: _Owner, rows: AsyncIterator[list[Row]]) -> None:
        self.owner = owner
        self.expiry: asyncio.TimerHandle | None = None
        self.busy = False
        self._rows = rows
        self._buffer: deque[Row] = deque()
        self._exhausted = False

    @property
    def more(self) -> bool:
        """Whether rows may be left."""
        return bool(self._buffer) or not self._exhausted

    async def next_chunk(self) -> list[Row]:
        """Return the next rows, at least one unless the result is exhausted."""
        chunk: list[Row] = []
        size = 0
        while size < TARGET_CHUNK_BYTES:
            if not self._buffer and not await self._fetch_batch():
                break
            row_size = _row_bytes(self._buffer[0])
            if row_size > MAX_ROW_BYTES:
                raise MessageError(f"a row of {row_size} bytes is too long")
            if chunk and size + row_size > MAX_ROW_BYTES:
                break
            chunk.append(self._buffer.popleft())
            size += row_size
        return chunk

    async def close(self) -> None:
        """Release the backend connection of the result."""
        if self.expiry is not None:
            self.expiry.cancel()
        if not self._exhausted:
            self._exhausted = True
            await close_rows(self._rows)

    async def _fetch_batch(self) -> bool:
        while not self._buffer and not self._exhausted:
            batch = await anext(self._rows, None)
            if batch is None:
                self._exhausted = True
            else:
                self._buffer.extend(batch)
        return bool(self._buffer)


class ExecutorService:
    """Run the statements, row fetches and session ends sent by other VMs."""

    def __init__(
        self, rpc: Rpc, executor: Executor, config: ConfigSource | None = None
    ) -> None:
        self._executor = executor
        self._config = config
        self._results: dict[int, _StoredResult] = {}
        self._next_result_id = secrets.randbits(48) + 1
        self._sessions: dict[_Owner, set[str]] = {}
        self._ended_sessions: OrderedDict[str, None] = OrderedDict()
        self._cleanups: set[asyncio.Task[None]] = set()
        rpc.on_call(ExecuteStatement, self._execute)
        rpc.on_call(MoreRows, self._more_rows)
        rpc.on_call(EndSession, self._end_session)

    @property
    def tracked_sessions(self) -> int:
        """Number of sessions that are ended when their entry VM dies."""
        return sum(len(sessions) for sessions in self._sessions.values())

    @property
    def stored_results(self) -> int:
        """Number of results with rows left to fetch."""
        return len(self._results)

    async def end_vm_sessions(self, name: str, incarnation: int) -> None:
        """End the sessions of a dead process of a VM and of the VM's earlier ones."""

        def is_gone(owner: _Owner) -> bool:
            return owner.name == name and owner.incarnation <= incarnation

        results = [
            stored_id
            for stored_id, stored_result in self._results.items()
            if is_gone(stored_result.owner)
        ]
        for result_id in results:
            await self._drop_result(result_id)
        for owner in [owner for owner in self._sessions if is_gone(owner)]:
            for session_id in self._sessions.pop(owner):
                await self._end_in_executor(session_id)

    async def close(self) -> None:
        """Drop all stored results."""
        for result_id in list(self._results):
            await self._drop_result(result_id)

    async def _execute(
        self, message: ExecuteStatement, caller: Caller
    ) -> StatementReply:
        current_request.set(message.request_id)
        if message.session_id in self._ended_sessions:
            return _session_ended_reply(message)
        if message.kind not in _KINDS:
            return _not_run_reply(f"unknown class of statement {message.kind[:20]!r}")
        owner = _Owner(caller.name, caller.incarnation)
        request = _to_request(message, caller.deadline, self._key_check(message))
        self._sessions.setdefault(owner, set()).add(message.session_id)
        result = await self._executor.execute(request)
        if isinstance(result, Err):
            if not request.in_transaction or result.err_value.transaction_lost:
                self._forget_session(owner, message.session_id)
            return _error_reply(_error_tuple(result.err_value))
        reply = await self._statement_reply(result.ok_value, owner)
        if not (reply.more or reply.in_transaction):
            self._forget_session(owner, message.session_id)
        return reply

    def _key_check(self, message: ExecuteStatement) -> KeyCheck | None:
        if message.key is None or self._config is None:
            return None
        return KeyCheck(self._config, message.account, *message.key)

    def _forget_session(self, owner: _Owner, session_id: str) -> None:
        """Stop tracking a session that holds no resources.

        Sessions are numerous and long-lived, so idle ones would accumulate.
        """
        sessions = self._sessions.get(owner)
        if sessions is not None:
            sessions.discard(session_id)
            if not sessions:
                del self._sessions[owner]

    async def _statement_reply(self, reply: Reply, owner: _Owner) -> StatementReply:
        rows: list[Row] = []
        result_id = 0
        if reply.rows is not None:
            stored = _StoredResult(owner, reply.rows)
            try:
                rows = await stored.next_chunk()
            except BaseException as error:
                await stored.close()
                if isinstance(error, CitronwoodError | OSError):
                    return _error_reply(
                        _broken_result_error(error, reply.in_transaction)
                    )
                raise
            if stored.more:
                result_id = self._store(stored)
        position = reply.position
        return StatementReply(
            error=None,
            columns=reply.columns,
            has_rows=reply.rows is not None,
            rows=rows,
            more=result_id != 0,
            result_id=result_id,
            affected_rows=reply.affected_rows,
            last_insert_id=reply.last_insert_id,
            position=None if position is None else (position.term, position.lsn),
            in_transaction=reply.in_transaction,
            served_by=reply.served_by,
            replica=reply.replica,
            changed_rows=reply.changed_rows,
        )

    def _store(self, stored: _StoredResult) -> int:
        result_id = self._next_result_id
        self._next_result_id += 1
        self._results[result_id] = stored
        self._restart_expiry(result_id, stored)
        return result_id

    def _restart_expiry(self, result_id: int, stored: _StoredResult) -> None:
        if stored.expiry is not None:
            stored.expiry.cancel()
        loop = asyncio.get_running_loop()
        stored.expiry = loop.call_later(
            RESULT_IDLE_TIMEOUT_S, self._drop_expired, result_id
        )

    def _drop_expired(self, result_id: int) -> None:
        log.info("gateway: dropped a result whose rows were not fetched in time")
        task = asyncio.create_task(self._drop_result(result_id))
        self._cleanups.add(task)
        task.add_done_callback(self._cleanups.discard)

    async def _drop_result(self, result_id: int) -> None:
        stored = self._results.pop(result_id, None)
        if stored is not None:
            await stored.close()

    async def _more_rows(self, message: MoreRows, caller: Caller) -> RowChunk:
        stored = self._results.get(message.result_id)
        owner = _Owner(caller.name, caller.incarnation)
        if stored is None or stored.owner != owner or stored.busy:
            refusal = Refusal(ErrorCode.NOT_RUN, "the result is no longer kept")
            return RowChunk([], False, _error_tuple(refusal))
        if message.drop:
            await self._drop_result(message.result_id)
            return RowChunk([], False, None)
        return await self._read_chunk(message.result_id, stored)

    async def _read_chunk(self, result_id: int, stored: _StoredResult) -> RowChunk:
        stored.busy = True
        try:
            rows = await stored.next_chunk()
        except (CitronwoodError, OSError) as error:
            await self._drop_result(result_id)
            return RowChunk([], False, _broken_result_error(error, False))
        finally:
            stored.busy = False
        if stored.more:
            self._restart_expiry(result_id, stored)
        else:
            await self._drop_result(result_id)
        return RowChunk(rows, stored.more, None)

    async def _end_session(self, message: EndSession, caller: Caller) -> SessionEnded:
        owner = _Owner(caller.name, caller.incarnation)
        self._forget_session(owner, message.session_id)
        await self._end_in_executor(message.session_id)
        return SessionEnded()

    async def _end_in_executor(self, session_id: str) -> None:
        self._ended_sessions[session_id] = None
        if len(self._ended_sessions) > MAX_ENDED_SESSIONS:
            self._ended_sessions.popitem(last=False)
        try:
            await self._executor.end_session(session_id)
        except (CitronwoodError, OSError):
            log.exception("gateway: failed to end a session")


def _to_request(
    message: ExecuteStatement, deadline: float, check_refusal: KeyCheck | None
) -> Request:
    floor = message.floor
    return Request(
        session_id=message.session_id,
        account=message.account,
        route=message.route,
        group=message.group,
        sql=message.sql,
        kind=StatementKind(message.kind),
        floor=None if floor is None else Position(*floor),
        max_age_ms=message.max_age_ms,
        idempotency_key=message.idempotency_key,
        in_transaction=message.in_transaction,
        deadline=deadline,
        check_refusal=check_refusal,
        key=message.key,
        request_id=message.request_id,
    )


def _error_tuple(refusal: Refusal) -> _ErrorTuple:
    return (
        int(refusal.code),
        refusal.message,
        str(refusal.outcome),
        refusal.transaction_lost,
    )


def _session_ended_reply(message: ExecuteStatement) -> StatementReply:
    """Refuse a statement of a session that has ended at this gateway."""
    reason = "the session has ended"
    if message.in_transaction:
        return _error_reply(_error_tuple(refuse_lost_transaction(reason)))
    return _not_run_reply(reason)


def _not_run_reply(reason: str) -> StatementReply:
    refusal = Refusal(ErrorCode.NOT_RUN, f"Not run: {reason}")
    return _error_reply(_error_tuple(refusal))


def _broken_result_error(error: Exception, in_transaction: bool) -> _ErrorTuple:
    message = f"The statement ran, but its result broke off: {error}"
    refusal = Refusal(
        ErrorCode.OUTCOME_UNKNOWN, message, Outcome.UNKNOWN, in_transaction
    )
    return _error_tuple(refusal)


def _error_reply(error: _ErrorTuple) -> StatementReply:
    return StatementReply(
        error=error,
        columns=(),
        has_rows=False,
        rows=[],
        more=False,
        result_id=0,
        affected_rows=0,
        last_insert_id=0,
        position=None,
        in_transaction=False,
        served_by="",
        replica=False,
        changed_rows=None,
    )


def _row_bytes(row: Row) -> int:
    """Return an upper bound of the size of a row in a message."""
    return 8 + sum(5 + len(value) for value in row if value is not None) + len(row)
