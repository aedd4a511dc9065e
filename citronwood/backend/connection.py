"""One connection to a backend server."""

import asyncio
import re
from collections.abc import AsyncIterator, Callable
from typing import Any, NamedTuple

import asyncmy
from asyncmy.constants import CLIENT
from asyncmy.cursors import Cursor, SSCursor
from asyncmy.errors import MySQLError

from citronwood.backend.api import Column, Position, Row
from citronwood.deadline import time_left, timeout_at
from citronwood.errors import BackendUnavailableError, ConnectionLostError

BATCH_ROWS = 500
BINARY_CHARSET_ID = 63
# Limits of the caches of column definitions; rows of results are not cached.
MAX_COLUMNS_PER_CACHED_RESULT = 64
MAX_CACHED_RESULTS = 512

_CLIENT_ERROR_CODES = range(2000, 3000)
# The driver raises this code before the whole statement has been written to the
# socket. Its code 0, "not connected", does not prove this, because it is also raised if
# the connection is closed while the driver waits for the answer to a statement.
_NOT_SENT_CODE = 2006
_CHANGED_ROWS_PATTERN = re.compile(rb"Changed: (\d+)")
_POSITION_PATTERN = re.compile(rb"position=(\d+):(\d+)")


_column_cache: dict[tuple[bytes, ...], tuple[Column, ...]] = {}


class Login(NamedTuple):
    """Credentials of the proxy on the backend servers."""

    user: str
    password: str


class StatementAnswer(NamedTuple):
    """Result of one statement on a backend connection."""

    columns: tuple[Column, ...]
    rows: "RowStream | None"
    affected_rows: int
    last_insert_id: int
    position: Position | None
    in_transaction: bool
    changed_rows: int | None = None


class RowStream:
    """Rows of one result; must be exhausted or closed.

    This is a class and no generator, because closing a generator that was never started
    runs none of its code and would leave unread rows on the connection.
    """

    def __init__(
        self,
        connection: "BackendConnection",
        cursor: SSCursor,
        first_batch: list[Row],
        deadline: float,
    ) -> None:
        self._connection = connection
        self._cursor = cursor
        self._deadline = deadline
        self._batch = first_batch
        self._on_end: Callable[[], None] | None = None
        self.complete = len(first_batch) < BATCH_ROWS

    def notify_end(self, on_end: Callable[[], None]) -> None:
        """Call ``on_end`` once the connection is no longer needed for the rows."""
        if self.complete:
            on_end()
        else:
            self._on_end = on_end

    def __aiter__(self) -> AsyncIterator[list[Row]]:
        return self

    async def __anext__(self) -> list[Row]:
        batch, self._batch = self._batch, []
        if not batch and not self.complete:
            batch = await self._fetch()
        if not batch:
            raise StopAsyncIteration
        return batch

    async def _fetch(self) -> list[Row]:
        try:
            batch = await self._connection.fetch(self._cursor, self._deadline)
        except BaseException:
            await self.aclose()
            raise
        if len(batch) < BATCH_ROWS:
            self._complete()
        return batch

    def _complete(self) -> None:
        self.complete = True
        if self._on_end is not None:
            self._on_end()
            self._on_end = None

    async def aclose(self) -> None:
        """Drop the remaining rows; close the connection if some are unread."""
        self._batch = []
        if not self.complete:
            self._connection.close()
            self._complete()


class BackendConnection:
    """Connection to a backend server that leaves the values of results undecoded."""

    def __init__(self, raw: Any) -> None:
        self._raw = raw
        self._rows: RowStream | None = None
        self._busy = False
        self._timed_out = False
        self.connection_id: int = raw.thread_id()

    @property
    def in_transaction(self) -> bool:
        """Whether the backend server reports an open transaction."""
        return bool(self._raw.get_transaction_status())

    @property
    def is_open(self) -> bool:
        """Whether the connection can still be used."""
        return bool(self._raw.connected) and not self._raw._stream_broken

    @property
    def is_clean(self) -> bool:
        """Whether another session may use the connection."""
        rows_read = self._rows is None or self._rows.complete
        return self.is_open and rows_read and not self._busy and not self.in_transaction

    async def run(self, sql: str, deadline: float) -> StatementAnswer:
        """Run one statement.

        Raises ``ConnectionLostError`` and closes the connection if no answer arrives.
        Raises ``MySQLError`` for an error reported by the backend server.
        """
        if not self.is_open:
            raise ConnectionLostError("the connection is closed", sent=False)
        cursor = SSCursor(self._raw)
        first_batch = await self._call(_execute(cursor, sql), deadline)
        result = self._raw._result
        if cursor.description is None:
            return StatementAnswer(
                (),
                None,
                result.affected_rows,
                result.insert_id,
                _parse_position(result.message),
                self.in_transaction,
                _parse_changed_rows(result.message),
            )
        self._rows = RowStream(self, cursor, first_batch, deadline)
        columns = _parse_columns(result.fields)
        return StatementAnswer(columns, self._rows, 0, 0, None, self.in_transaction)

    async def fetch(self, cursor: SSCursor, deadline: float) -> list[Row]:
        """Return the next batch of rows; the last one has fewer than ``BATCH_ROWS``."""
        rows: list[Row] = await self._call(cursor.fetchmany(BATCH_ROWS), deadline)
        return rows

    async def query(self, sql: str, deadline: float) -> list[dict[str, bytes | None]]:
        """Run one statement and return all its rows by column name."""
        cursor = Cursor(self._raw)
        await self._call(cursor.execute(sql), deadline)
        if cursor.description is None:
            return []
        names = [entry[0] for entry in cursor.description]
        all_rows = await cursor.fetchall()
        return [dict(zip(names, row, strict=True)) for row in all_rows]

    async def _call(self, driver_call: Any, deadline: float) -> Any:
        """Await a coroutine of the driver; close the connection if no answer arrives.

        An error reported by the backend server is an answer.
        """
        self._busy = True
        # The timer aborts the transport, and the driver then raises an error in the
        # waiting task. ``asyncio.timeout``, which cancels the task, takes four times as
        # many instructions.
        loop = asyncio.get_running_loop()
        timer = loop.call_later(time_left(deadline), self._abort, self._raw._transport)
        try:
            result = await driver_call
        except OSError as error:
            self.close()
            raise ConnectionLostError(str(error) or repr(error), sent=True) from error
        except MySQLError as error:
            code = error.args[0] if error.args else None
            if _is_server_error(code):
                self._busy = False
                raise
            self.close()
            if self._timed_out:
                # Part or all of the statement may have been sent before the abort.
                message = "no answer before the deadline"
                raise ConnectionLostError(message, sent=True) from error
            raise ConnectionLostError(str(error), code != _NOT_SENT_CODE) from error
        except BaseException:
            self.close()
            raise
        finally:
            timer.cancel()
        self._busy = False
        return result

    def _abort(self, transport: asyncio.Transport | None) -> None:
        """Abort the transport, even if it is closing with unsent data."""
        self._timed_out = True
        if transport is not None:
            transport.abort()

    def close(self) -> None:
        """Close the connection without waiting for the backend server."""
        self._raw.close()

    async def quit(self, deadline: float) -> bool:
        """Close the connection; return whether the backend server has closed it too."""
        try:
            async with timeout_at(deadline):
                await self._raw.ensure_closed()
        except (TimeoutError, OSError, MySQLError):
            self.close()
            return False
        return True


async def _execute(cursor: SSCursor, sql: str) -> list[Row]:
    """Run a statement and read its first batch of rows under one deadline."""
    await cursor.execute(sql)
    if cursor.description is None:
        return []
    rows: list[Row] = await cursor.fetchmany(BATCH_ROWS)
    return rows


def _parse_columns(fields: list[Any]) -> tuple[Column, ...]:
    """Return the definitions of result columns.

    They are cached by the bytes of their packets, so that results of the same statement
    share them.
    """
    if len(fields) > MAX_COLUMNS_PER_CACHED_RESULT:
        return tuple([_parse_column(field) for field in fields])
    packets = tuple([field.get_all_data() for field in fields])
    definitions = _column_cache.get(packets)
    if definitions is None:
        if len(_column_cache) >= MAX_CACHED_RESULTS:
            _column_cache.clear()
        definitions = tuple([_parse_column(field) for field in fields])
        _column_cache[packets] = definitions
    return definitions


def _parse_column(field: Any) -> Column:
    return Column(
        field.name,
        field.type_code,
        field.charsetnr == BINARY_CHARSET_ID,
        field.flags,
        field.length,
        field.scale,
    )


def _is_server_error(code: object) -> bool:
    return isinstance(code, int) and code >= 1000 and code not in _CLIENT_ERROR_CODES


def _parse_position(message: bytes | None) -> Position | None:
    match = _POSITION_PATTERN.search(message or b"")
    if match is None:
        return None
    return Position(int(match.group(1)), int(match.group(2)))


def _parse_changed_rows(message: bytes | None) -> int | None:
    match = _CHANGED_ROWS_PATTERN.search(message or b"")
    return None if match is None else int(match.group(1))


async def open_connection(
    host: str, port: int, database: str, login: Login, deadline: float
) -> BackendConnection:
    """Connect and log in, or raise ``BackendUnavailableError``."""
    try:
        async with timeout_at(deadline):
            raw = await asyncmy.connect(
                host=host,
                port=port,
                user=login.user,
                password=login.password,
                database=database,
                autocommit=True,
                use_unicode=False,
                conv={},
                # Some callers expect the number of found rows, others that of changed
                # rows. They can share connections: with this flag an answer counts the
                # found rows, and its info string contains the number of changed rows.
                client_flag=CLIENT.FOUND_ROWS,
            )
    except (TimeoutError, OSError, RuntimeError, MySQLError) as error:
        # The driver raises RuntimeError if a new connection is reset immediately.
        message = str(error) or "no answer"
        raise BackendUnavailableError(f"{host}:{port}: {message}") from error
    return BackendConnection(raw)
