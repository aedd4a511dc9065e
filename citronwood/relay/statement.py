"""Statements, their answers, and the protocol of connections to backend servers."""

import math
from enum import Enum
from typing import NamedTuple, Protocol

from citronwood.relay.model import Position


class Verb(Enum):
    """Kind of a statement."""

    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin_read_only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"


class Statement(NamedTuple):
    """Statement with the request id that the caller gave it.

    ``name`` is the name of a variable or of a prepared statement. ``value`` is the
    variable's value, the text of the statement to prepare (its shape), or the arguments
    of an execution. ``writes`` is set when the statement to prepare is a write.
    """

    id: str
    verb: Verb
    text: str
    name: str = ""
    value: str = ""
    writes: bool = False


class TransactionState(Enum):
    """Transaction state of a session between statements."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class Reason(Enum):
    """Why a statement has no result."""

    OVERLOADED = "overloaded"
    BEHIND = "behind"
    READ_ONLY = "read_only"
    WRONG_SERVER = "wrong_server"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    UNKNOWN_STATEMENT = "unknown_statement"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    ABORTED = "aborted"
    OUTCOME_UNKNOWN = "outcome_unknown"
    UNKNOWN_KEY = "unknown_key"
    UNKNOWN_DATABASE = "unknown_database"
    MALFORMED = "malformed"
    TOO_LONG = "too_long"


# With these reasons, the backend server did not run the statement.
NOT_RUN = frozenset(
    {
        Reason.OVERLOADED,
        Reason.BEHIND,
        Reason.READ_ONLY,
        Reason.WRONG_SERVER,
        Reason.TOO_MANY_CONNECTIONS,
        Reason.UNKNOWN_STATEMENT,
    }
)

# With these reasons, the backend server has run the statement.
RUN_AND_FAILED = frozenset({Reason.FAILED, Reason.TIMED_OUT})


class Failure(NamedTuple):
    """Reason with a message for the caller."""

    reason: Reason
    message: str


class Answer(NamedTuple):
    """Answer to one statement.

    ``signature`` is the backend server's proof that it ran the statement; None when the
    relay answers by itself. ``position`` is the server's log position afterwards.
    """

    rows: tuple[str, ...] = ()
    signature: str | None = None
    failure: Failure | None = None
    state: TransactionState = TransactionState.IDLE
    position: Position | None = None


class ServerStatus(NamedTuple):
    """Status that a backend server reports."""

    is_primary: bool
    term: int
    received: Position
    lag_s: float
    busy_slots: int
    connections: int


class ServerConnection(Protocol):
    """Connection to a backend server for one client account.

    All methods raise ``ConnectionLostError`` when no complete answer arrives before the
    deadline (monotonic seconds); the connection is then unusable. ``after`` is a
    position that the server's log must have reached. Methods without a request id send
    statements of the relay itself.
    """

    @property
    def is_open(self) -> bool:
        """Whether the connection can be used."""
        ...

    async def run(
        self, request_id: str, text: str, deadline: float, after: Position | None = None
    ) -> Answer:
        """Run a statement's text."""
        ...

    async def execute(
        self,
        request_id: str,
        name: str,
        arguments: str,
        deadline: float,
        after: Position | None = None,
    ) -> Answer:
        """Run a prepared statement."""
        ...

    async def begin(
        self, read_only: bool, deadline: float, after: Position | None = None
    ) -> Answer:
        """Begin a transaction."""
        ...

    async def rollback(self, deadline: float) -> Answer:
        """Roll back the transaction."""
        ...

    async def set_variable(self, name: str, value: str, deadline: float) -> Answer:
        """Set a session variable."""
        ...

    async def prepare(
        self, name: str, writes: bool, shape: str, deadline: float
    ) -> Answer:
        """Prepare a statement."""
        ...

    async def reset(self, deadline: float) -> Answer:
        """Drop variables and prepared statements."""
        ...

    async def status(self, deadline: float) -> ServerStatus | None:
        """Return the server's status; None when it is too busy to report it."""
        ...

    async def step_down(self, term: int, deadline: float) -> ServerStatus | None:
        """Order a primary of a lower term to become a replica; return its status."""
        ...

    def abort(self) -> None:
        """Close the connection at once and drop undelivered data."""
        ...


class Urgency(NamedTuple):
    """How a statement ranks among those that wait for the same server.

    ``priority`` is that of its route, 0 the highest. ``target_at`` is the monotonic
    time at which the route's target latency ends. A read that may run at another server
    is declined if it would wait for longer than ``max_wait_s``; None accepts any wait.
    """

    priority: int
    target_at: float
    max_wait_s: float | None = None


DEFAULT_URGENCY = Urgency(priority=0, target_at=math.inf)


class ServerConnector(Protocol):
    """Opens connections to backend servers."""

    async def __call__(
        self,
        host: str,
        port: int,
        group: str,
        account: str,
        server: str,
        deadline: float,
    ) -> ServerConnection:
        """Connect, or raise ``BackendUnavailableError`` or ``ServerFullError``."""
        ...
