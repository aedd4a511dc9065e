"""Interface between the handling of callers and the database groups."""

from collections.abc import AsyncIterator, Callable
from enum import StrEnum
from typing import NamedTuple, Protocol

from result import Result

from citronwood.errors import Refusal

Row = tuple[bytes | None, ...]
"""One result row: values as in MySQL's text protocol."""


class StatementKind(StrEnum):
    """Kind of a statement, which decides its routing."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    OTHER = "other"


class Position(NamedTuple):
    """Position in the log of a database group, ordered by term, then LSN."""

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
    """A statement to run on a database group.

    Attributes
    ----------
    floor : Position or None
        Log position that a member must have applied to serve the statement.
    max_age_ms : int or None
        Maximum age of the data that a read may return; None if only the floor limits
        it.
    in_transaction : bool
        Whether the statement belongs to an open transaction of the session.
    deadline : float
        Time of the monotonic clock by which the statement must be answered.
    check_refusal : callable or None
        Returns a refusal if the caller may no longer run requests. It is called before
        each attempt and before the statement is sent to a member, because the statement
        may wait for seconds.
    key : tuple of str and int, or None
        Id of the caller's key and version of the configuration in which the key was
        found valid; None for callers without a key.
    request_id : str
        Identifies the statement in the logs of all VMs that handle it.
    answer_deadline : float or None
        Time until which an answer of another VM is awaited; by default ``deadline``.
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
    check_refusal: Callable[[], Refusal | None] | None = None
    key: tuple[str, int] | None = None
    request_id: str = ""
    answer_deadline: float | None = None

    def refusal(self) -> Refusal | None:
        """Return why the caller may no longer run the request; None if it may."""
        return None if self.check_refusal is None else self.check_refusal()


class Reply(NamedTuple):
    """Result of a statement that ran.

    ``rows`` yields batches and is None for statements without a result set; the
    receiver must exhaust it or call ``aclose``. For an UPDATE, ``affected_rows`` counts
    the rows found and ``changed_rows`` the rows changed; callers that did not set
    CLIENT_FOUND_ROWS at login get ``changed_rows``. If it is None, all callers get
    ``affected_rows``.
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
        """Roll back the session's open transaction and release its connection."""
        ...


async def close_rows(rows: AsyncIterator[list[Row]]) -> None:
    """Close a partly read result, so that its connection is released."""
    close = getattr(rows, "aclose", None)
    if close is not None:
        await close()
