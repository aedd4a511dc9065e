"""Session of one client of the member stand-in: transactions and statements."""

import re
import sqlite3
from collections.abc import Callable
from time import monotonic
from typing import Any, NamedTuple

from mysql_mimic.errors import MysqlError

from citronwood.backend.api import Position
from citronwood.config.keys import key_digest
from citronwood.errors import ErrorCode
from citronwood.mysql.server import StatementResult
from citronwood.standin.calls import run_call
from citronwood.standin.catalog import Catalog
from citronwood.standin.ddl import SchemaSyntaxError, translate_schema
from citronwood.standin.failures import mysql_error
from citronwood.standin.functions import StatementContext
from citronwood.standin.group import Member
from citronwood.standin.replication import REPLICATION_USER
from citronwood.standin.rows import buffered_result, stream_rows
from citronwood.standin.sql import Kind, Statement, parse_statement
from citronwood.standin.store import StoreError, Value, open_database
from citronwood.standin.variables import Variables

ER_LOCK_WAIT_TIMEOUT = 1205
ER_NO_SUCH_THREAD = 1094
ER_PARSE_ERROR = 1064

_SAVEPOINT = re.compile(
    r"\s*(?P<verb>SAVEPOINT|RELEASE\s+SAVEPOINT|ROLLBACK\s+(?:WORK\s+)?TO)"
    r"(?:\s+SAVEPOINT)?\s+`?(?P<name>\w+)`?\s*;?\s*$",
    re.I,
)
_WAIT_CALL = re.compile(
    r"(?:GET_LOCK\s*\(\s*(?P<name>[^,()]+),\s*(?P<wait>[^,()]+)\)"
    r"|SLEEP\s*\(\s*(?P<sleep>[^,()]+)\))",
    re.I,
)
_INSERT_INTO = re.compile(
    r"\s*(?:INSERT(?:\s+OR\s+\w+)?|REPLACE)\s+(?:INTO\s+)?[`\"]?(\w+)", re.I
)
_READ_ONLY_START = re.compile(r"\bREAD\s+ONLY\b", re.I)


class _WriteOutcome(NamedTuple):
    """Outcome of a write statement."""

    affected_rows: int
    last_insert_id: int


class MemberSession:
    """Handler that the protocol server calls for one client connection."""

    def __init__(self, member: Member, connection_id: int, host: str) -> None:
        self.connection_id = connection_id
        self.user = ""
        self.host = host
        self.database: str | None = None
        self.command = "Sleep"
        self.state_since = monotonic()
        self.statement: str | None = None
        # Both are replaced by ``MemberService``, which has the socket.
        self.on_kill: Callable[[], None] = lambda: None
        self.is_disconnected: Callable[[], bool] = lambda: False
        self._member = member
        self._store = member.store
        self._digest = key_digest(member.options.password)
        self._context = StatementContext()
        self._reader: sqlite3.Connection | None = None
        self._variables = Variables()
        self._catalog = Catalog(member, self)
        self._in_explicit_transaction = False
        self._read_only = False
        self._writing = False
        self._write_aborted = False
        # Number of statements in the write transaction at each savepoint, -1 if the
        # savepoint precedes the first write.
        self._savepoints: dict[str, int] = {}
        self._last_affected_rows = -1
        self._is_counted = False

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._in_explicit_transaction or self._writing or self._reading

    @property
    def variables(self) -> Variables:
        """The session's variables."""
        return self._variables

    @property
    def _reading(self) -> bool:
        return self._reader is not None and self._reader.in_transaction

    def kill(self) -> None:
        """Close the connection."""
        self.on_kill()

    def on_write_aborted(self) -> None:
        """Record that a change of term rolled back the open transaction."""
        self._writing = self._in_explicit_transaction = False
        self._write_aborted = True
        self._savepoints.clear()

    # Handler of the protocol server.

    async def find_key_digests(self, username: str) -> list[str] | None:
        """Return the digest of the password, None if the user is unknown."""
        known = username in (self._member.options.user, REPLICATION_USER)
        return [self._digest] if known else None

    def check_login(self, username: str, database: str | None) -> None:
        """Refuse a client at ``max_connections``, but never a replica.

        Any database name is accepted.
        """
        if username != REPLICATION_USER and not self._is_counted:
            self._member.admit_connection()
            self._is_counted = True

    async def open(self, username: str, database: str | None) -> None:
        """Open the database and list the client as connected."""
        member = self._member
        self.user, self.database = username, database
        self._reader = open_database(self._store.path, self._context)
        self._context.session_functions = self._session_functions()
        member.clients[self.connection_id] = self

    async def use(self, database: str) -> None:
        """Store the name only; a member serves one database."""
        self.database = database

    async def reset(self) -> None:
        """Return the session to its state after login."""
        self._rollback()
        self._write_aborted = False
        self._variables = Variables()
        self._member.locks.release_all(self.connection_id)

    async def close(self) -> None:
        """Roll back open transactions and release locks and connections."""
        member = self._member
        self._rollback()
        member.locks.release_all(self.connection_id)
        member.clients.pop(self.connection_id, None)
        if self._is_counted:
            self._is_counted = False
            member.connection_count -= 1
        if self._reader is not None:
            self._reader.close()
            self._reader = None

    async def run(self, sql: str, attributes: dict[str, str]) -> StatementResult:
        """Run one statement."""
        self.command, self.statement, self.state_since = "Query", sql, monotonic()
        try:
            return await self._run(sql)
        except StoreError as error:
            raise MysqlError(str(error), error.code) from error
        except sqlite3.Error as error:
            raise mysql_error(error, sql) from error
        except SchemaSyntaxError as error:
            raise MysqlError(str(error), ER_PARSE_ERROR) from error
        finally:
            self.command, self.statement, self.state_since = "Sleep", None, monotonic()

    async def _run(self, sql: str) -> StatementResult:
        statement = parse_statement(sql, self._variables.lookup)
        kind = statement.plan.kind
        if self._write_aborted:
            self._write_aborted = False
            if kind is not Kind.ROLLBACK:
                raise MysqlError(
                    "The transaction was rolled back because this member is no longer"
                    " the primary",
                    ErrorCode.READ_ONLY,
                )
        if kind is Kind.READ:
            return await self._read(statement)
        if kind is Kind.WRITE:
            return await self._write(statement)
        return await self._run_other(kind, sql)

    async def _run_other(self, kind: Kind, sql: str) -> StatementResult:
        if kind is Kind.SCHEMA:
            return await self._change_schema(sql)
        if kind is Kind.BEGIN:
            return self._begin(sql)
        if kind is Kind.COMMIT:
            return self._commit()
        if kind in (Kind.ROLLBACK, Kind.SAVEPOINT):
            return self._rollback_or_savepoint(sql)
        if kind is Kind.SET:
            return self._set_variables(sql)
        if kind is Kind.SHOW:
            return buffered_result(self._catalog.show(sql))
        if kind is Kind.CALL:
            return buffered_result(
                await run_call(self._member, sql, self.is_disconnected)
            )
        if kind is Kind.KILL:
            return self._kill(sql)
        if kind is Kind.IGNORE:
            return StatementResult()
        raise MysqlError(
            f"You have an error in your SQL syntax near '{sql[:60]}'", ER_PARSE_ERROR
        )

    # Transactions.

    def _begin(self, sql: str) -> StatementResult:
        result = self._commit()
        self._in_explicit_transaction = True
        self._read_only = _READ_ONLY_START.search(sql) is not None
        return result

    def _commit(self) -> StatementResult:
        self._in_explicit_transaction = self._read_only = False
        self._savepoints.clear()
        if self._reader is not None and self._reader.in_transaction:
            self._reader.execute("COMMIT")
        if not self._writing:
            return StatementResult()
        self._writing = False
        try:
            position = self._member.commit()
        except BaseException:
            self._store.rollback()
            raise
        finally:
            self._member.unlock_writes()
        return StatementResult(info=_position_info(position))

    def _rollback(self) -> None:
        self._in_explicit_transaction = self._read_only = False
        self._savepoints.clear()
        if self._reader is not None and self._reader.in_transaction:
            self._reader.execute("ROLLBACK")
        if self._writing:
            self._writing = False
            self._store.rollback()
            self._member.unlock_writes()

    async def _start_write(self) -> None:
        """Acquire the write lock and open the write transaction unless it is open."""
        if self._writing:
            return
        if self._read_only:
            raise MysqlError(
                "Cannot execute statement in a READ ONLY transaction", 1792
            )
        self._store.check_primary()
        timeout_s = float(self._variables.system_value("innodb_lock_wait_timeout") or 0)
        try:
            await self._member.lock_writes(self, timeout_s, self.is_disconnected)
        except TimeoutError as error:
            raise MysqlError(
                "Lock wait timeout exceeded; try restarting transaction",
                ER_LOCK_WAIT_TIMEOUT,
            ) from error
        try:
            self._store.begin()
        except BaseException:
            self._member.unlock_writes()
            raise
        self._writing = True
        if self._reader is not None and self._reader.in_transaction:
            # From its first write on, the transaction reads current data, not its
            # snapshot, as MySQL's locking statements do.
            self._reader.execute("ROLLBACK")

    def _commit_if_autocommit(self, outcome: _WriteOutcome) -> StatementResult:
        """Commit a write outside a transaction; return the result of the write."""
        info = b""
        if not self._in_explicit_transaction and self._variables.autocommit:
            info = self._commit().info
        return StatementResult(
            affected_rows=outcome.affected_rows,
            last_insert_id=outcome.last_insert_id,
            info=info,
        )

    def _rollback_if_autocommit(self) -> None:
        """Roll back a failed write outside a transaction, releasing the write lock."""
        if not self._in_explicit_transaction and self._variables.autocommit:
            self._rollback()

    def _rollback_or_savepoint(self, sql: str) -> StatementResult:
        match = _SAVEPOINT.match(sql)
        if match is None:
            self._rollback()
            return StatementResult()
        verb, name = match.group("verb").upper().split()[0], match.group("name").lower()
        if verb == "SAVEPOINT":
            self._savepoints[name] = self._set_savepoint(name)
        elif name not in self._savepoints:
            raise MysqlError(f"SAVEPOINT {name} does not exist", 1305)
        elif verb == "ROLLBACK":
            self._rollback_to(name)
        else:
            del self._savepoints[name]
        return StatementResult()

    def _set_savepoint(self, name: str) -> int:
        if self._writing:
            self._store.writer.execute(f'SAVEPOINT "{name}"')
            return self._store.statement_count()
        return -1

    def _rollback_to(self, name: str) -> None:
        saved = self._savepoints[name]
        if saved >= 0:
            self._store.writer.execute(f'ROLLBACK TO "{name}"')
            self._store.discard_statements_after(saved)
        elif self._writing:
            # The savepoint precedes the first write, so all writes are undone.
            self._store.rollback()
            self._store.begin()

    # Statements.

    async def _write(self, statement: Statement) -> StatementResult:
        await self._start_write()
        store = self._store
        store.context.session_functions = self._context.session_functions
        store.context.last_insert_id = self._context.last_insert_id
        try:
            cursor = store.execute(statement.plan.sql, statement.params)
            outcome = self._outcome(statement, cursor)
        except BaseException:
            self._rollback_if_autocommit()
            raise
        return self._commit_if_autocommit(outcome)

    def _outcome(self, statement: Statement, cursor: sqlite3.Cursor) -> _WriteOutcome:
        if cursor.description is not None:
            cursor.fetchall()
        affected = max(cursor.rowcount, 0)
        self._last_affected_rows = affected
        first_id = 0
        if affected and self._generates_ids(statement.plan.sql):
            last = cursor.lastrowid or 0
            # MySQL reports the first generated id of a statement.
            first_id = max(last - affected + 1, 0)
            self._context.last_insert_id = first_id
        return _WriteOutcome(affected, first_id)

    def _generates_ids(self, sql: str) -> bool:
        match = _INSERT_INTO.match(sql)
        if match is None:
            return False
        table = match.group(1)
        return self._member.types.has_auto_increment(table, self._store.schema_version)

    async def _change_schema(self, sql: str) -> StatementResult:
        translated = translate_schema(sql)
        self._commit()
        if not translated:
            return StatementResult()
        await self._start_write()
        try:
            for part in translated:
                self._store.execute(part, [])
        except BaseException:
            self._rollback()
            raise
        result = self._commit()
        self._store.schema_version += 1
        return result

    async def _read(self, statement: Statement) -> StatementResult:
        plan = statement.plan
        if plan.waits:
            await self._wait_for_calls(statement)
        in_transaction = self._in_explicit_transaction or not self._variables.autocommit
        if plan.locking:
            self._store.check_primary()
            if in_transaction:
                await self._start_write()
        if in_transaction and not self._writing:
            self._open_snapshot()
        return self._select(statement)

    def _open_snapshot(self) -> None:
        assert self._reader is not None
        if not self._reader.in_transaction:
            self._reader.execute("BEGIN")

    def _select(self, statement: Statement) -> StatementResult:
        assert self._reader is not None
        sql = statement.plan.sql
        connection, context = self._reader, self._context
        if self._writing:
            connection, context = self._store.writer, self._store.context
            context.session_functions = self._context.session_functions
            context.last_insert_id = self._context.last_insert_id
        context.start_statement()
        cursor = connection.execute(sql, statement.params)
        if cursor.description is None:
            return StatementResult()
        return stream_rows(
            statement, cursor, self._member.types, self._store.schema_version
        )

    async def _wait_for_calls(self, statement: Statement) -> None:
        """Wait before a statement on behalf of its GET_LOCK and SLEEP calls.

        SQLite functions would block the event loop, so in SQLite GET_LOCK only tries to
        acquire the lock and SLEEP does nothing.
        """
        # Each ``?`` of the shape stands for the next parameter.
        params = iter(statement.params)
        for part in re.split(
            r"(\b(?:GET_LOCK|SLEEP)\s*\([^()]*\))", statement.plan.shape
        ):
            values = [next(params) for _ in range(part.count("?"))]
            match = _WAIT_CALL.match(part)
            if match is None:
                continue
            if match.group("sleep"):
                await self._sleep(values)
            else:
                await self._wait_for_lock(values)

    async def _sleep(self, values: list[Value]) -> None:
        await self._member.sleep(float(values[0] or 0), self.is_disconnected)

    async def _wait_for_lock(self, values: list[Value]) -> None:
        name, timeout_s = str(values[0]), float(values[1] or 0)
        await self._member.locks.wait_until_available(
            name, self.connection_id, timeout_s, self.is_disconnected
        )

    def _set_variables(self, sql: str) -> StatementResult:
        autocommit_before = self._variables.autocommit
        self._variables.assign(sql, self._evaluate)
        if not autocommit_before and self._variables.autocommit:
            return self._commit()
        return StatementResult()

    def _evaluate(self, expression: str) -> Value:
        assert self._reader is not None
        statement = parse_statement(f"SELECT {expression}", self._variables.lookup)
        self._context.start_statement()
        row = self._reader.execute(statement.plan.sql, statement.params).fetchone()
        value: Value = row[0]
        return value

    def _kill(self, sql: str) -> StatementResult:
        if re.match(r"\s*KILL\s+QUERY\b", sql, re.I):
            raise MysqlError("KILL QUERY is not supported; use KILL", 1235)
        match = re.search(r"(\d+)\s*;?\s*$", sql)
        client = self._member.clients.get(int(match.group(1))) if match else None
        if client is None:
            raise MysqlError("Unknown thread id", ER_NO_SUCH_THREAD)
        client.kill()
        return StatementResult()

    def _session_functions(self) -> dict[str, Callable[..., Any]]:
        locks, own_id = self._member.locks, self.connection_id
        return {
            "database": lambda: self.database,
            "schema": lambda: self.database,
            "connection_id": lambda: own_id,
            "user": lambda: f"{self.user}@{self.host.rpartition(':')[0]}",
            "session_user": lambda: f"{self.user}@{self.host.rpartition(':')[0]}",
            "current_user": lambda: f"{self.user}@%",
            "get_lock": lambda name, _: int(locks.acquire(str(name), own_id)),
            "is_used_lock": lambda name: locks.owner(str(name)),
            "is_free_lock": lambda name: int(locks.owner(str(name)) is None),
            "release_lock": lambda name: locks.release(str(name), own_id),
            "release_all_locks": lambda: locks.release_all(own_id),
            "row_count": lambda: self._last_affected_rows,
            "found_rows": lambda: 0,
            "sleep": lambda _: 0,
        }


def _position_info(position: Position) -> bytes:
    return b"position=%d:%d" % position
