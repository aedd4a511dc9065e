"""Exceptions, error codes and error responses of all packages."""

from enum import IntEnum, StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from citronwood.relay.statement import Failure


class ErrorCode(IntEnum):
    """Error codes of the proxy and the backend servers; MySQL's are below 9000."""

    TOO_MANY_CONNECTIONS = 1040
    ACCESS_DENIED = 1045
    UNKNOWN_COMMAND = 1047
    UNKNOWN_ROUTE = 1049
    SERVER_SHUTDOWN = 1053
    STATEMENT_TOO_LONG = 1153
    READ_ONLY = 1290
    STALE_TERM = 3100
    NOT_RUN = 9001
    OUTCOME_UNKNOWN = 9002
    RATE_LIMITED = 9003
    KEY_WITHDRAWN = 9004
    TRANSACTION_FAILED = 9005
    IDEMPOTENCY_KEY_REUSED = 9006
    VM_ISOLATED = 9007
    ROUTE_FORBIDDEN = 9008
    BAD_SESSION_TOKEN = 9009
    ALREADY_COMMITTED = 9010
    OVERLOADED = 9011


class Outcome(StrEnum):
    """Whether a request that ended without a result has run."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class Refusal(NamedTuple):
    """Error response to a request.

    With the outcome ``FAILED`` the backend server ran the statement and returned an
    error, whose code is passed on. ``transaction_lost`` is True if the transaction of
    the request no longer exists.
    """

    code: int
    message: str
    outcome: Outcome = Outcome.NOT_RUN
    transaction_lost: bool = False


class CitronwoodError(Exception):
    """Base class of all exceptions raised by citronwood."""


class SettingsError(CitronwoodError):
    """The settings are invalid; ``findings`` lists all errors."""

    def __init__(self, findings: list[str]) -> None:
        super().__init__("; ".join(findings))
        self.findings = findings


class DeadlineExceededError(CitronwoodError):
    """An operation did not finish before its deadline."""


class PlatformError(CitronwoodError):
    """The platform's service failed or could not be reached."""


class PlatformUnavailableError(PlatformError):
    """The platform's service gave no usable answer before the deadline."""


class VersionConflictError(PlatformError):
    """A conditional update did not find the expected version."""

    def __init__(self, kind: str, name: str, expected: int, actual: int) -> None:
        super().__init__(f"{kind}/{name}: expected version {expected}, found {actual}")
        self.expected = expected
        self.actual = actual


class StoreRestoredError(VersionConflictError):
    """The store was restored from a copy since it gave out the expected version.

    Whether the update has taken effect in the restored store is not known.
    """


class ObjectNotFoundError(PlatformError):
    """The platform's store has no object of this name.

    ``version`` is the expected version with which the object can be created.
    """

    def __init__(self, message: str, version: int = 0) -> None:
        super().__init__(message)
        self.version = version


class NotLeaderError(PlatformError):
    """The VM is not the leader, or no longer is."""


class StatementRefusedError(CitronwoodError):
    """A relayed statement ended with a failure instead of a result."""

    def __init__(self, failure: "Failure") -> None:
        super().__init__(failure.message)
        self.failure = failure


class MessageError(CitronwoodError):
    """A message between VMs is malformed, oversized or of an unknown type."""


class PeerUnavailableError(CitronwoodError):
    """A message could not be delivered to the peer and was not processed."""


class PeerSilentError(DeadlineExceededError):
    """The peer gave no sign of life during a call; the outcome is unknown."""


class CallFailedError(CitronwoodError):
    """The peer failed while processing a call; the outcome is unknown."""


class BackendError(CitronwoodError):
    """A backend server could not be used."""


class BackendUnavailableError(BackendError):
    """No connection to the backend server could be opened or used."""


class ServerFullError(BackendUnavailableError):
    """The backend server has reached its connection limit."""


class OverloadedError(BackendError, TimeoutError):
    """No connection will become free before the deadline.

    Raised at once, without waiting for the deadline, and before anything is sent.
    ``excess_s`` is how long after the deadline a connection would become free.
    """

    def __init__(self, excess_s: float) -> None:
        super().__init__(f"the queue for connections is {excess_s:.1f} s too long")
        self.excess_s = excess_s


class ReadDeclinedError(BackendError):
    """A read would wait for longer at a server than it accepts; it has not run.

    ``wait_s`` is the expected wait.
    """

    def __init__(self, wait_s: float) -> None:
        super().__init__(f"the expected wait is {wait_s:.3f} s")
        self.wait_s = wait_s


class ConnectionLostError(BackendError):
    """A backend connection broke or timed out.

    ``sent`` is True if the statement may have reached the backend server.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class NoPositionError(BackendError):
    """No log position is known that bounds the age of a read at a replica."""


class StaleTermError(BackendError):
    """A backend server is already at a higher term."""
