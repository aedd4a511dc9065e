"""Replies and refusals of the gateway role."""

import random

from asyncmy.errors import MySQLError

from citronwood.backend.api import Position, Reply, Request, StatementKind
from citronwood.backend.connection import StatementAnswer
from citronwood.errors import ErrorCode, Outcome, OverloadedError, Refusal

# Shortest retry time named to a caller. A caller that retried sooner would only be
# refused again while the overload lasts.
MIN_RETRY_AFTER_S = 0.5
# The retry time named to a caller is drawn from between one and this many times the
# base time.
RETRY_SPREAD_FACTOR = 2.0

# Errors with which a member refuses a statement before running it.
REFUSAL_CODES = frozenset(
    {ErrorCode.READ_ONLY, ErrorCode.TOO_MANY_CONNECTIONS, ErrorCode.STALE_TERM}
)


def is_refused(error: MySQLError) -> bool:
    """Whether a member has refused a statement without running it."""
    return bool(error.args) and error.args[0] in REFUSAL_CODES


def refuse_not_run(reason: str) -> Refusal:
    """Return the refusal of a statement that was not sent."""
    return Refusal(ErrorCode.NOT_RUN, f"Not run: {reason}; safe to repeat")


def refuse_stopped(request: Request, reason: str) -> Refusal:
    """Return the refusal of a statement at a gateway that has stopped.

    The gateway has rolled back its open transactions, so a statement of a transaction
    cannot be repeated alone.
    """
    if request.in_transaction:
        return refuse_lost_transaction(reason)
    return refuse_not_run(reason)


def refuse_withdrawn() -> Refusal:
    """Return the refusal of a statement whose key was withdrawn."""
    return Refusal(
        ErrorCode.KEY_WITHDRAWN,
        "Not run: the key of this connection was withdrawn; connect with another one",
    )


def refuse_without_connection(
    request: Request, error: TimeoutError | None = None
) -> Refusal:
    """Return the refusal of a statement that got no connection to the primary."""
    refusal = request.refusal()
    if refusal is not None:
        return refusal
    if isinstance(error, OverloadedError):
        return refuse_overloaded(error)
    return refuse_not_run("no primary or connection in time")


def refuse_overloaded(error: OverloadedError) -> Refusal:
    """Return the refusal of a statement that is not expected to run in time.

    The message names the time after which a retry may succeed. This time grows with the
    expected wait and is randomized, so that callers refused together do not retry
    together.
    """
    retry_s = max(MIN_RETRY_AFTER_S, error.excess_s) * random.uniform(
        1.0, RETRY_SPREAD_FACTOR
    )
    return Refusal(
        ErrorCode.OVERLOADED,
        "Not run: more statements wait for the database than it can run in time;"
        f" repeat in {retry_s:.1f} s",
    )


def refuse_unknown() -> Refusal:
    """Return the refusal of a statement that may have run."""
    return Refusal(
        ErrorCode.OUTCOME_UNKNOWN,
        "The outcome is unknown; repeat the statement only with an idempotency key",
        Outcome.UNKNOWN,
    )


def refuse_unanswered(request: Request, message: str) -> Refusal:
    """Return the refusal of a statement that another VM has not answered.

    This includes reads, which may have run, although repeating them is harmless. A
    BEGIN without an answer may have opened a transaction, which counts as lost.
    """
    return Refusal(
        ErrorCode.OUTCOME_UNKNOWN,
        f"The outcome is unknown: {message}",
        Outcome.UNKNOWN,
        transaction_lost=request.in_transaction or request.kind is StatementKind.BEGIN,
    )


def refuse_failed(error: MySQLError) -> Refusal:
    """Return the refusal that passes on an error of the database."""
    return Refusal(int(error.args[0]), str(error.args[-1]), Outcome.FAILED)


def loggable_message(refusal: Refusal) -> str:
    """Return the message of a refusal for the log.

    Error messages of the database are left out, because they quote statements that may
    contain secrets.
    """
    if refusal.outcome is Outcome.FAILED:
        return f"the backend server answered with error {refusal.code}"
    return refusal.message


def refuse_lost_transaction(reason: str) -> Refusal:
    """Return the refusal that tells a session that its transaction was lost."""
    return Refusal(
        ErrorCode.TRANSACTION_FAILED,
        f"The transaction was rolled back: {reason}; send ROLLBACK",
        transaction_lost=True,
    )


def make_reply(
    answer: StatementAnswer, member: str, replica: bool, position: Position | None
) -> Reply:
    """Convert the answer of a member to a reply."""
    return Reply(
        columns=answer.columns,
        rows=answer.rows,
        affected_rows=answer.affected_rows,
        last_insert_id=answer.last_insert_id,
        position=position,
        in_transaction=answer.in_transaction,
        served_by=member,
        replica=replica,
        changed_rows=answer.changed_rows,
    )


def empty_reply(
    member: str,
    position: Position | None = None,
    affected_rows: int = 0,
    last_insert_id: int = 0,
) -> Reply:
    """Return a reply without rows, for a statement that need not be run (again)."""
    return Reply(
        (), None, affected_rows, last_insert_id, position, False, member, False
    )
