"""What the callers' side sees of a database group."""

from collections.abc import AsyncIterator, Callable
from enum import StrEnum
from typing import NamedTuple, Protocol

from result import Result

from citronwood.errors import Refusal

Row = tuple[bytes | None, ...]
"""One result row: values as in MySQL's text protocol."""


class StatementKind(StrEnum):
    """Class of a statement, as far as routing depends on it."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    OTHER = "other"


class Position(NamedTuple):
    """Place in the log of a database group, ordered by term, then LSN."""

    term: int
    lsn: int


class Column(NamedTuple):
    """Definition of a result column.

    Attributes
    ----------
    name : str
    type_code : int
        Column type of the MySQL protocol.
    binary : bool
        Whether the values are bytes without a character set.
    flags, length, decimals : int
        As in the protocol's column definition; clients need the unsigned flag to
        read large integers of prepared statements.
    """

    name: str
    type_code: int
    binary: bool
    flags: int = 0
    length: int = 0
    decimals: int = 0


class Request(NamedTuple):
    """A statement on its way to a database group.

    ``check`` returns a refusal when the caller may no longer run requests; it is asked
    again before each attempt and before the statement is sent to a member, because it
    may wait for seconds. ``key`` is the id of the caller's key and the version of the
    configuration in which it was found valid; None for callers without a key.
    ``request_id`` names the statement in the logs of all VMs on its way. Until
    ``answer_by``, by default the deadline, the answer of another VM is waited for.
    """

    session_id: str
    account: str
    route: str
    group: str
    sql: str
    kind: StatementKind
    floor: Position | None
    max_age_ms: int | None
    idempotency_key: str | None
    in_transaction: bool
    deadline: float
    check: Callable[[], Refusal | None] | None = None
    key: tuple[str, int] | None = None
    request_id: str = ""
    answer_by: float | None = None

    def refusal(self) -> Refusal | None:
        """Return why the caller may no longer run the request, None if it may."""
        return None if self.check is None else self.check()


class Reply(NamedTuple):
    """Result of a statement that ran.

    ``rows`` yields batches and is None for statements without a result set; the
    receiver must exhaust it or call ``aclose``. ``affected_rows`` counts the rows
    that an UPDATE found if ``changed_rows`` counts those that it changed; callers
    choose one of the counts at login.
    """

    columns: tuple[Column, ...]
    rows: AsyncIterator[list[Row]] | None
    affected_rows: int
    last_insert_id: int
    position: Position | None
    in_transaction: bool
    served_by: str
    replica: bool
    changed_rows: int | None = None


class Executor(Protocol):
    """Runs statements on a database group, on this VM or through another."""

    async def execute(self, request: Request) -> Result[Reply, Refusal]:
        """Run one statement."""
        ...

    async def end_session(self, session_id: str) -> None:
        """Roll back and release what the session still holds."""
        ...


async def close_rows(rows: AsyncIterator[list[Row]]) -> None:
    """End a result that is not read to its end, so that its connection is released."""
    close = getattr(rows, "aclose", None)
    if close is not None:
        await close()
