"""Replies and refusals of the gateway role."""

import random

from asyncmy.errors import MySQLError

from citronwood.backend.api import Position, Reply, Request, StatementKind
from citronwood.backend.connection import Answer
from citronwood.errors import ErrorCode, Outcome, OverloadedError, Refusal

# Shorter pauses of refused callers would only add refusals to an overload.
MIN_RETRY_S = 0.5
# Callers return within this factor of the time that is named to them.
RETRY_SPREAD = 2.0

# With these a member refuses a statement before it runs it.
REFUSED_CODES = frozenset(
    {ErrorCode.READ_ONLY, ErrorCode.TOO_MANY_CONNECTIONS, ErrorCode.STALE_TERM}
)


def is_refused(error: MySQLError) -> bool:
    """Whether a member has refused a statement without running it."""
    return bool(error.args) and error.args[0] in REFUSED_CODES


def refuse_not_run(reason: str) -> Refusal:
    """Return the refusal of a statement that was not sent."""
    return Refusal(ErrorCode.NOT_RUN, f"Not run: {reason}; safe to repeat")


def refuse_retired(request: Request, reason: str) -> Refusal:
    """Return the refusal of a statement at a gateway that has given up its role.

    Its open transactions ended with it, so their statements cannot be repeated.
    """
    if request.in_transaction:
        return refuse_lost_transaction(reason)
    return refuse_not_run(reason)


def refuse_withdrawn() -> Refusal:
    """Return the refusal of a statement whose key is no longer in force."""
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
    """Return the refusal of a statement that could not run before its deadline.

    It names the time after which a repetition may find room. Who is refused behind a
    longer queue is asked to wait for longer, and callers that are refused together come
    back spread over that time rather than together.
    """
    retry_s = max(MIN_RETRY_S, error.excess_s) * random.uniform(1.0, RETRY_SPREAD)
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

    Also for reads: "not run" would be untrue, even though it would do no harm. A BEGIN
    without an answer may have opened a transaction.
    """
    return Refusal(
        ErrorCode.OUTCOME_UNKNOWN,
        f"The outcome is unknown: {message}",
        Outcome.UNKNOWN,
        transaction_lost=request.in_transaction or request.kind is StatementKind.BEGIN,
    )


def refuse_failed(error: MySQLError) -> Refusal:
    """Pass on an error of the database itself."""
    return Refusal(int(error.args[0]), str(error.args[-1]), Outcome.FAILED)


def shown_message(refusal: Refusal) -> str:
    """Return the message for the log.

    The messages of the database quote statements, which may contain secrets.
    """
    if refusal.outcome is Outcome.FAILED:
        return f"the backend server answered with error {refusal.code}"
    return refusal.message


def refuse_lost_transaction(reason: str) -> Refusal:
    """Report once that a transaction no longer exists."""
    return Refusal(
        ErrorCode.TRANSACTION_FAILED,
        f"The transaction was rolled back: {reason}; send ROLLBACK",
        transaction_lost=True,
    )


def make_reply(
    answer: Answer, member: str, replica: bool, position: Position | None
) -> Reply:
    """Return the reply for an answer of a member."""
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
    """Return the reply of a statement that has nothing more to run."""
    return Reply(
        (), None, affected_rows, last_insert_id, position, False, member, False
    )
