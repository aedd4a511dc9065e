"""MySQL functions for SQLite connections.

Functions whose value depends on the time, the session or random numbers use the
context of the statement. The time, the random seed and the last insert id of a write
are logged, so that replicas compute the same values. The values of session functions
are not logged.
"""

import hashlib
import random
import sqlite3
import time
import uuid
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any


class StatementContext:
    """Inputs that a statement's result depends on besides the data."""

    def __init__(self) -> None:
        self.now_us = 0
        self.last_insert_id = 0
        self.seed = 0
        self.session_functions: dict[str, Callable[..., Any]] = {}
        self._random: random.Random | None = None

    def start_statement(self) -> None:
        """Set the time and a new random seed for a statement."""
        self.now_us = time.time_ns() // 1000
        self.seed = random.getrandbits(32)
        self._random = None

    def restore(self, now_us: int, last_insert_id: int, seed: int) -> None:
        """Set the values of a logged statement."""
        self.now_us, self.last_insert_id, self.seed = now_us, last_insert_id, seed
        self._random = None

    @property
    def random(self) -> random.Random:
        """Random generator, seeded once for each statement."""
        if self._random is None:
            self._random = random.Random(self.seed)
        return self._random

    def now(self) -> datetime:
        """Return the time of the statement."""
        return datetime.fromtimestamp(self.now_us / 1e6, UTC).replace(tzinfo=None)

    def call_session_function(self, name: str, *arguments: Any) -> Any:
        """Call a function of the session; return NULL if there is no such function."""
        function = self.session_functions.get(name)
        return None if function is None else function(*arguments)


SESSION_FUNCTIONS = (
    "database",
    "schema",
    "connection_id",
    "current_user",
    "session_user",
    "user",
    "get_lock",
    "is_used_lock",
    "is_free_lock",
    "release_lock",
    "release_all_locks",
    "row_count",
    "found_rows",
    "sleep",
)


def register_functions(
    connection: sqlite3.Connection, context: StatementContext
) -> None:
    """Register all functions of this module on a connection."""
    for name, function in _context_functions(context).items():
        connection.create_function(name, -1, function)
    for name, function in _PURE_FUNCTIONS.items():
        connection.create_function(name, -1, function, deterministic=True)
    for name in SESSION_FUNCTIONS:
        connection.create_function(name, -1, _session_function(context, name))


def _session_function(context: StatementContext, name: str) -> Callable[..., Any]:
    return lambda *arguments: context.call_session_function(name, *arguments)


def _context_functions(context: StatementContext) -> dict[str, Callable[..., Any]]:
    def now(digits: int = 0) -> str:
        text = context.now().strftime("%Y-%m-%d %H:%M:%S.%f")
        return text[: 20 + digits] if digits else text[:19]

    def unix_timestamp(value: str | None = None) -> int:
        if value is None:
            return context.now_us // 1_000_000
        return int(datetime.fromisoformat(value).replace(tzinfo=UTC).timestamp())

    def new_uuid() -> str:
        return str(uuid.UUID(int=context.random.getrandbits(128), version=4))

    return {
        "now": now,
        "sysdate": now,
        "utc_timestamp": now,
        "curdate": lambda: now()[:10],
        "curtime": lambda: now()[11:],
        "unix_timestamp": unix_timestamp,
        "uuid": new_uuid,
        "rand": lambda *_: context.random.random(),
        "last_insert_id": lambda: context.last_insert_id,
        "version": lambda: "8.0.29",
    }


def _concat(*values: Any) -> str | None:
    if None in values:
        return None
    return "".join(_text(value) for value in values)


def _concat_ws(separator: str, *values: Any) -> str:
    return separator.join(_text(value) for value in values if value is not None)


def _text(value: Any) -> str:
    return value.decode() if isinstance(value, bytes) else str(value)


def _greatest(*values: Any) -> Any:
    return None if None in values else max(values)


def _least(*values: Any) -> Any:
    return None if None in values else min(values)


def _left(text: Any, count: int) -> str | None:
    return None if text is None else _text(text)[:count]


def _right(text: Any, count: int) -> str | None:
    return None if text is None else _text(text)[-count:] if count else ""


_PURE_FUNCTIONS: dict[str, Callable[..., Any]] = {
    "concat": _concat,
    "concat_ws": _concat_ws,
    "if": lambda condition, yes, no: yes if condition else no,
    "isnull": lambda value: int(value is None),
    "greatest": _greatest,
    "least": _least,
    "char_length": lambda value: None if value is None else len(_text(value)),
    "md5": lambda value: None if value is None else _digest("md5", value),
    "sha1": lambda value: None if value is None else _digest("sha1", value),
}


def _digest(name: str, value: Any) -> str:
    data = value if isinstance(value, bytes) else str(value).encode()
    return hashlib.new(name, data).hexdigest()
