"""Decision log lines: structured lines on requests and on a VM's state.

Most describe a decision and its inputs. Others report an event, such as the start of a
process or a result that ended with an error, and have the same fields.

A line on a request carries the request id. The id is a context variable of the task
that runs the request and is sent to the gateway with the statement, so every component
on the path can log it.
"""

import logging
from contextvars import ContextVar
from threading import Lock
from time import monotonic
from typing import Any, NamedTuple

# Id of the current request, "" outside of requests. ``log_state`` does not use it: a
# task started by a request inherits the id but may outlive the request.
current_request: ContextVar[str] = ContextVar("current_request", default="")

# Outcomes whose lines are dropped once the log queue is half full.
LOW_PRIORITY_OUTCOMES = frozenset({"ok"})
# Sustained rate and burst of lines for each pair of event and outcome. Lines above it
# are suppressed and counted.
LINES_PER_S = 25.0
BURST_LINES = 100.0


class Decision(NamedTuple):
    """Structured fields of a log line.

    ``inputs`` are the values that the decision was based on, with their age or version
    where they have one. A line that describes no decision has its details there.
    ``request`` is the request id, "" for a line on the state of the VM.
    """

    event: str
    outcome: str
    request: str
    inputs: dict[str, Any]


def log_request(
    logger: logging.Logger, event: str, outcome: str, message: str, **inputs: Any
) -> None:
    """Log a line on the current request, unless it exceeds the rate limit."""
    if may_log(logger, event, outcome):
        write_request(logger, event, outcome, message, **inputs)


def log_state(
    logger: logging.Logger, event: str, outcome: str, message: str, **inputs: Any
) -> None:
    """Log a line on this process's state, unless it exceeds the rate limit."""
    if may_log(logger, event, outcome):
        _write(logger, Decision(event, outcome, "", inputs), message)


def may_log(logger: logging.Logger, event: str, outcome: str) -> bool:
    """Take a token of the rate limit for a line; return whether it may be written.

    Lines over the limit are counted as suppressed. A hot path calls this function
    before it computes the inputs, and writes an admitted line with ``write_request``.
    """
    return logger.isEnabledFor(logging.INFO) and line_limiter.allow_line(
        event, outcome, logger.name
    )


def write_request(
    logger: logging.Logger, event: str, outcome: str, message: str, **inputs: Any
) -> None:
    """Log a line on the current request that ``may_log`` has admitted."""
    _write(logger, Decision(event, outcome, current_request.get(), inputs), message)


def _write(logger: logging.Logger, decision: Decision, message: str) -> None:
    logger.info("%s", message, extra={"decision": decision})


class _TokenBucket:
    """Token bucket for the lines of one event and outcome."""

    def __init__(self, now: float, logger_name: str) -> None:
        self.tokens = BURST_LINES
        self.refilled_at = now
        self.suppressed = 0
        self.logger_name = logger_name

    def take_token(self, now: float) -> bool:
        refill = (now - self.refilled_at) * LINES_PER_S
        self.tokens = min(BURST_LINES, self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class LineRateLimiter:
    """Rate limiter for the lines of each event and outcome.

    Events are constants in the code, outcomes are constants or HTTP status codes, so
    the number of buckets is bounded. The event loop counts suppressed lines and the log
    writer thread collects the counts, hence the lock.
    """

    def __init__(self) -> None:
        self._lock = Lock()
        self._buckets: dict[tuple[str, str], _TokenBucket] = {}

    def allow_line(self, event: str, outcome: str, logger: str) -> bool:
        """Take a token for a line; count the line as suppressed if there is none."""
        now = monotonic()
        bucket = self._buckets.get((event, outcome))
        if bucket is None:
            bucket = self._buckets[event, outcome] = _TokenBucket(now, logger)
        if bucket.take_token(now):
            return True
        with self._lock:
            bucket.suppressed += 1
        return False

    def take_summaries(self) -> list[logging.LogRecord]:
        """Return a record for each event and outcome with suppressed lines.

        Resets the counts.
        """
        summaries = []
        for (event, outcome), bucket in [*self._buckets.items()]:
            with self._lock:
                count, bucket.suppressed = bucket.suppressed, 0
            if count:
                inputs = {"event": event, "outcome": outcome, "lines": count}
                decision = Decision("suppressed", outcome, "", inputs)
                summaries.append(_summary_record(bucket.logger_name, decision, count))
        return summaries


line_limiter = LineRateLimiter()


def _summary_record(
    logger_name: str, decision: Decision, count: int
) -> logging.LogRecord:
    event = decision.inputs["event"]
    message = f"{count} lines of {event} {decision.outcome} were suppressed"
    record = logging.LogRecord(logger_name, logging.INFO, "", 0, message, (), None)
    record.decision = decision
    return record


def is_low_priority(record: logging.LogRecord) -> bool:
    """Return whether a record is dropped once the log queue is half full."""
    decision: Decision | None = getattr(record, "decision", None)
    if decision is None:
        return record.levelno < logging.WARNING
    return decision.outcome in LOW_PRIORITY_OUTCOMES
