"""Log, term and data of one member, in one SQLite database.

All methods are synchronous, so each is atomic for callers on one event loop. In
particular no fence can come between the check that a commit is allowed and the commit.
"""

import sqlite3
from collections.abc import Iterable
from enum import StrEnum
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import quote

import msgspec

from citronwood.backend.api import Position
from citronwood.errors import ErrorCode
from citronwood.standin.functions import StatementContext, register_functions

APPLY_BATCH_ENTRIES = 500

_SCHEMA = """
CREATE TABLE IF NOT EXISTS citronwood_log (
    lsn INTEGER PRIMARY KEY, term INTEGER NOT NULL, applied INTEGER NOT NULL,
    body BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS citronwood_state (
    id INTEGER PRIMARY KEY, term INTEGER NOT NULL, role TEXT NOT NULL,
    primary_address TEXT NOT NULL);
-- Makes SQLite create its table of sequences, which TRUNCATE refers to.
CREATE TABLE IF NOT EXISTS citronwood_sequence (
    id INTEGER PRIMARY KEY AUTOINCREMENT);
"""
INTERNAL_TABLES = ("citronwood_log", "citronwood_state", "citronwood_sequence")

Value = str | int | float | bytes | None


class Role(StrEnum):
    """Replication role of a member."""

    PRIMARY = "primary"
    REPLICA = "replica"
    FENCED = "fenced"


class LoggedStatement(NamedTuple):
    """Statement with all inputs that its result depends on besides the data."""

    sql: str
    params: list[Any]
    now_us: int
    last_insert_id: int
    seed: int


class Entry(NamedTuple):
    """Log entry: the encoded statements of one transaction."""

    term: int
    lsn: int
    body: bytes


class TermRun(NamedTuple):
    """Consecutive log entries of one term."""

    term: int
    first: int
    last: int


class StoreError(Exception):
    """Refused operation, with its MySQL error code."""

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(list[LoggedStatement]).decode


def open_database(path: str, context: StatementContext) -> sqlite3.Connection:
    """Open a connection to the member's database."""
    # unix-excl locks the file for the process and keeps the index of the write-ahead
    # log in its memory, which saves system calls per statement.
    connection = sqlite3.connect(
        f"file:{quote(path)}?vfs=unix-excl",
        uri=True,
        isolation_level=None,
        check_same_thread=False,
        cached_statements=512,
    )
    connection.execute("PRAGMA journal_mode=WAL")
    # Without fsync, writes survive a killed process but not the loss of the machine,
    # which is out of scope for a stand-in.
    connection.execute("PRAGMA synchronous=OFF")
    connection.execute("PRAGMA busy_timeout=0")
    register_functions(connection, context)
    return connection


def quote_name(name: str) -> str:
    """Return a quoted identifier."""
    return '"' + name.replace('"', '""') + '"'


class Store:
    """Durable state of a member and the rules for its changes."""

    def __init__(self, data_dir: str | Path) -> None:
        Path(data_dir).mkdir(parents=True, exist_ok=True)
        self.path = str(Path(data_dir) / "data.sqlite")
        self.context = StatementContext()
        self.writer = open_database(self.path, self.context)
        self.writer.executescript(_SCHEMA)
        self.writer.execute("PRAGMA foreign_keys=ON")
        self.schema_version = 0
        self.term = 0
        self.role = Role.FENCED
        self.primary_address = ""
        self._pending_statements: list[LoggedStatement] = []
        self._is_new = True
        self._load()

    @property
    def is_new(self) -> bool:
        """Whether the database had no term and role yet when it was opened."""
        return self._is_new

    @property
    def in_transaction(self) -> bool:
        """Whether the writer has a transaction open."""
        return self.writer.in_transaction

    def _load(self) -> None:
        row = self.writer.execute(
            "SELECT term, role, primary_address FROM citronwood_state"
        ).fetchone()
        if row is not None:
            self._is_new = False
            self.term, self.role, self.primary_address = row[0], Role(row[1]), row[2]
        self._load_positions()

    def _load_positions(self) -> None:
        self.received = self._last_position("")
        self.applied = self._last_position("WHERE applied = 1")

    def _last_position(self, condition: str) -> Position:
        row = self.writer.execute(
            f"SELECT term, lsn FROM citronwood_log {condition}"
            " ORDER BY lsn DESC LIMIT 1"
        ).fetchone()
        return Position(0, 0) if row is None else Position(*row)

    def close(self) -> None:
        """Close the database."""
        self.writer.close()

    def _save_state(self, term: int, role: Role, primary_address: str) -> None:
        self.writer.execute(
            "INSERT OR REPLACE INTO citronwood_state VALUES (1, ?, ?, ?)",
            (term, role.value, primary_address),
        )

    def _set_state(self, term: int, role: Role, primary_address: str = "") -> None:
        assert not self.writer.in_transaction
        self._save_state(term, role, primary_address)
        self.term, self.role, self.primary_address = term, role, primary_address

    def bootstrap_primary(self) -> None:
        """Make an empty member the primary of term 1."""
        self._set_state(1, Role.FENCED)
        self.promote(1)

    def bootstrap_replica(self, primary_address: str) -> None:
        """Make an empty member a replica in term 1."""
        self._set_state(1, Role.REPLICA, primary_address)

    # Transactions of the primary.

    def begin(self) -> None:
        """Open the write transaction; only the primary may."""
        self.check_primary()
        self.writer.execute("BEGIN IMMEDIATE")
        self._pending_statements = []

    def check_primary(self) -> None:
        """Raise ``StoreError`` unless this member is the primary."""
        if self.role is not Role.PRIMARY:
            raise StoreError(
                ErrorCode.READ_ONLY,
                f"This member is {self.role.value} in term {self.term} and accepts no"
                " writes; use the primary",
            )

    def execute(self, sql: str, params: list[Value]) -> sqlite3.Cursor:
        """Run a statement of the open write transaction and record it for the log."""
        context = self.context
        context.start_statement()
        statement = LoggedStatement(
            sql, params, context.now_us, context.last_insert_id, context.seed
        )
        cursor = self.writer.execute(sql, params)
        self._pending_statements.append(statement)
        return cursor

    def statement_count(self) -> int:
        """Return the number of statements in the open transaction."""
        return len(self._pending_statements)

    def discard_statements_after(self, statement_count: int) -> None:
        """Discard the statements that a rollback to a savepoint has undone."""
        del self._pending_statements[statement_count:]

    def commit(self) -> Position:
        """Commit the open transaction as one log entry."""
        if self.role is not Role.PRIMARY:
            self.rollback()
            self.check_primary()
        position = self.received
        if self._pending_statements:
            position = Position(self.term, self.received.lsn + 1)
            self.writer.execute(
                "INSERT INTO citronwood_log VALUES (?, ?, 1, ?)",
                (position.lsn, position.term, _encode(self._pending_statements)),
            )
        self.writer.execute("COMMIT")
        self._pending_statements = []
        self.received = self.applied = position
        return position

    def rollback(self) -> None:
        """Roll back the open transaction, if any."""
        if self.writer.in_transaction:
            self.writer.execute("ROLLBACK")
        self._pending_statements = []

    # Changes of term and role.

    def fence(self, term: int) -> None:
        """Raise the term and become fenced; from then on, lower terms are refused."""
        if term <= self.term:
            raise StoreError(
                ErrorCode.STALE_TERM,
                f"Term {term} is not higher than this member's term {self.term}",
            )
        self.rollback()
        self._set_state(term, Role.FENCED)

    def promote(self, term: int) -> Position:
        """Become primary of the term in which the member is fenced.

        Applies all received entries and appends an empty entry of the new term.
        """
        if term != self.term or self.role is not Role.FENCED:
            raise StoreError(
                ErrorCode.STALE_TERM,
                f"This member is {self.role.value} in term {self.term}, not fenced"
                f" in term {term}",
            )
        self.apply(self.received.lsn)
        position = Position(term, self.received.lsn + 1)
        self.writer.execute("BEGIN IMMEDIATE")
        self.writer.execute(
            "INSERT INTO citronwood_log VALUES (?, ?, 1, ?)",
            (position.lsn, term, _encode([])),
        )
        self._save_state(term, Role.PRIMARY, "")
        self.writer.execute("COMMIT")
        self.role, self.primary_address = Role.PRIMARY, ""
        self.received = self.applied = position
        return position

    def follow(self, term: int, primary_address: str) -> None:
        """Become a replica of the primary of this term."""
        if term < self.term or (term == self.term and self.role is Role.PRIMARY):
            raise StoreError(
                ErrorCode.STALE_TERM,
                f"This member is {self.role.value} in term {self.term} and cannot"
                f" follow in term {term}",
            )
        self.rollback()
        self._set_state(term, Role.REPLICA, primary_address)

    def demote_after_restart(self) -> None:
        """Fence a member that was primary when its process ended.

        Another member may have been promoted since then, unknown to this one.
        """
        if self.role is Role.PRIMARY:
            self._set_state(self.term, Role.FENCED)

    # Replication.

    def entries_after(self, lsn: int, limit: int) -> list[Entry]:
        """Return the committed entries after ``lsn``, at most ``limit``."""
        rows = self.writer.execute(
            "SELECT term, lsn, body FROM citronwood_log WHERE lsn > ? AND lsn <= ?"
            " ORDER BY lsn LIMIT ?",
            (lsn, self.received.lsn, limit),
        )
        return [Entry(*row) for row in rows]

    def term_at(self, lsn: int) -> int:
        """Return the term of an entry, 0 at the start of the log, -1 beyond its end."""
        if lsn == 0:
            return 0
        row = self.writer.execute(
            "SELECT term FROM citronwood_log WHERE lsn = ?", (lsn,)
        ).fetchone()
        return -1 if row is None else int(row[0])

    def term_runs(self) -> list[TermRun]:
        """Return the range of LSNs of each term in the log."""
        rows = self.writer.execute(
            "SELECT term, MIN(lsn), MAX(lsn) FROM citronwood_log GROUP BY term"
            " ORDER BY term"
        )
        return [TermRun(*row) for row in rows]

    def append(self, term: int, after: Position, entries: Iterable[Entry]) -> None:
        """Store entries of the primary of ``term`` that follow position ``after``."""
        if term != self.term or self.role is not Role.REPLICA:
            raise StoreError(
                ErrorCode.STALE_TERM,
                f"This member is {self.role.value} in term {self.term} and accepts no"
                f" entries from a primary of term {term}",
            )
        if after != self.received:
            raise StoreError(
                ErrorCode.STALE_TERM, f"Entries after {after} do not continue this log"
            )
        rows = [(entry.lsn, entry.term, entry.body) for entry in entries]
        if not rows:
            return
        self.writer.execute("BEGIN IMMEDIATE")
        self.writer.executemany("INSERT INTO citronwood_log VALUES (?, ?, 0, ?)", rows)
        self.writer.execute("COMMIT")
        self.received = Position(rows[-1][1], rows[-1][0])

    def apply(self, up_to_lsn: int) -> None:
        """Apply received entries; the data and the applied flags commit together."""
        while self.applied.lsn < min(up_to_lsn, self.received.lsn):
            last = min(up_to_lsn, self.applied.lsn + APPLY_BATCH_ENTRIES)
            self.writer.execute("BEGIN IMMEDIATE")
            try:
                position = self._replay(self.applied.lsn, last)
                self.writer.execute(
                    "UPDATE citronwood_log SET applied = 1 WHERE lsn > ? AND lsn <= ?",
                    (self.applied.lsn, last),
                )
                self.writer.execute("COMMIT")
            except BaseException:
                self.writer.execute("ROLLBACK")
                raise
            self.applied = position

    def _replay(self, after: int, last: int) -> Position:
        position = self.applied
        rows = self.writer.execute(
            "SELECT term, lsn, body FROM citronwood_log WHERE lsn > ? AND lsn <= ?"
            " ORDER BY lsn",
            (after, last),
        ).fetchall()
        for term, lsn, body in rows:
            for statement in _decode(body):
                self.context.restore(
                    statement.now_us, statement.last_insert_id, statement.seed
                )
                self.writer.execute(statement.sql, statement.params)
                if is_schema_change(statement.sql):
                    self.schema_version += 1
            position = Position(term, lsn)
        return position

    def common_prefix(self, runs: list[TermRun]) -> int:
        """Return the last LSN up to which this log equals the log with these runs.

        Each term has one primary that appends in order, so a term and an LSN identify
        an entry, and logs that share an entry are equal up to it.
        """
        other_runs = {run.term: run for run in runs}
        for run in reversed(self.term_runs()):
            if run.term in other_runs and run.first <= other_runs[run.term].last:
                return min(run.last, other_runs[run.term].last)
        return 0

    def truncate(self, lsn: int) -> None:
        """Remove all entries after ``lsn`` in one transaction.

        If some of them are applied, the data is rebuilt from the start of the log.
        """
        if lsn >= self.received.lsn:
            return
        self.rollback()
        # Foreign keys are off because tables are dropped in any order. The pragma comes
        # before BEGIN because it has no effect inside a transaction.
        self.writer.execute("PRAGMA foreign_keys=OFF")
        self.writer.execute("BEGIN IMMEDIATE")
        try:
            if lsn < self.applied.lsn:
                self._drop_user_tables()
                self._replay(0, lsn)
            self.writer.execute("DELETE FROM citronwood_log WHERE lsn > ?", (lsn,))
            self.writer.execute("COMMIT")
        except BaseException:
            self.writer.execute("ROLLBACK")
            raise
        finally:
            self.writer.execute("PRAGMA foreign_keys=ON")
        self.schema_version += 1
        self._load_positions()

    def _drop_user_tables(self) -> None:
        user_objects = self.writer.execute(
            "SELECT type, name FROM sqlite_master WHERE type IN ('view', 'table')"
            " AND name NOT LIKE 'sqlite_%'"
        ).fetchall()
        for kind, name in user_objects:
            if name not in INTERNAL_TABLES:
                self.writer.execute(f"DROP {kind} {quote_name(name)}")


def is_schema_change(sql: str) -> bool:
    """Return whether a statement in SQLite's SQL changes the schema."""
    return sql.lstrip()[:6].upper().startswith(("CREATE", "DROP", "ALTER"))
