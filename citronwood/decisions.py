"""Decision log lines: decisions on requests and changes of a VM's state.

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

# Outcomes whose lines are dropped first when the log queue fills up.
LOW_PRIORITY_OUTCOMES = frozenset({"ok"})
# Rate limit for the lines of one event and outcome, so that a VM under full load writes
# at most a few hundred lines per second. Suppressed lines are counted.
LINES_PER_S = 25.0
BURST_LINES = 100.0


class Decision(NamedTuple):
    """Structured fields of a log line.

    ``inputs`` are the values that the decision was based on, with their age or version
    where they have one.
    """

    event: str
    outcome: str
    request: str
    inputs: dict[str, Any]


def log_request(
    logger: logging.Logger, event: str, outcome: str, message: str, **inputs: Any
) -> None:
    """Log a decision on the current request."""
    if may_log(logger, event, outcome):
        write_request(logger, event, outcome, message, **inputs)


def log_state(
    logger: logging.Logger, event: str, outcome: str, message: str, **inputs: Any
) -> None:
    """Log a change of this process's state."""
    if may_log(logger, event, outcome):
        _write(logger, Decision(event, outcome, "", inputs), message)


def may_log(logger: logging.Logger, event: str, outcome: str) -> bool:
    """Return whether a line may be written; lines over the rate limit are counted.

    Lets a hot path skip the computation of the inputs of a suppressed line.
    """
    return logger.isEnabledFor(logging.INFO) and line_limiter.allow_line(
        event, outcome, logger.name
    )


def write_request(
    logger: logging.Logger, event: str, outcome: str, message: str, **inputs: Any
) -> None:
    """Log a decision after ``may_log`` returned True for it."""
    _write(logger, Decision(event, outcome, current_request.get(), inputs), message)


def _write(logger: logging.Logger, decision: Decision, message: str) -> None:
    logger.info("%s", message, extra={"decision": decision})


class _TokenBucket:
    """Token bucket for the lines of one event and outcome."""

    def __init__(self, now: float, logger: str) -> None:
        self.tokens = BURST_LINES
        self.refilled_at = now
        self.suppressed = 0
        self.logger = logger

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

    Events and outcomes are constants in the code, so the number of buckets is bounded.
    The event loop counts suppressed lines; the log writer thread collects the counts.
    """

    def __init__(self) -> None:
        self._lock = Lock()
        self._buckets: dict[tuple[str, str], _TokenBucket] = {}

    def allow_line(self, event: str, outcome: str, logger: str) -> bool:
        """Return whether a line is within the rate limit; count it if it is not."""
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
        """Return a log record for each event and outcome with suppressed lines."""
        summaries = []
        for (event, outcome), bucket in [*self._buckets.items()]:
            with self._lock:
                count, bucket.suppressed = bucket.suppressed, 0
            if count:
                inputs = {"event": event, "outcome": outcome, "lines": count}
                decision = Decision("suppressed", outcome, "", inputs)
                summaries.append(_summary_record(bucket.logger, decision, count))
        return summaries


line_limiter = LineRateLimiter()


def _summary_record(logger: str, decision: Decision, count: int) -> logging.LogRecord:
    event = decision.inputs["event"]
    message = f"{count} lines of {event} {decision.outcome} were left out"
    record = logging.LogRecord(logger, logging.INFO, "", 0, message, (), None)
    record.decision = decision
    return record


def is_low_priority(record: logging.LogRecord) -> bool:
    """Return whether a record may be dropped before others."""
    decision: Decision | None = getattr(record, "decision", None)
    if decision is None:
        return record.levelno < logging.WARNING
    return decision.outcome in LOW_PRIORITY_OUTCOMES
