"""Log lines about what was decided for a request, and what a VM holds to be true.

A line about a request carries its id. The id is kept for the task that runs the
request, and travels to the gateway with the statement, so that every part of the path
can name it.
"""

import logging
from contextvars import ContextVar
from threading import Lock
from time import monotonic
from typing import Any, NamedTuple

# A request's id, "" outside of requests. Tasks started for a request inherit it, so
# ``log_state`` does not use it: such a task may live longer than the request.
current_request: ContextVar[str] = ContextVar("current_request", default="")

# Outcomes that are ordinary; all others are kept longer when lines must be dropped.
ORDINARY_OUTCOMES = frozenset({"ok"})
# Lines a second of one event and outcome, so that a fleet under full load writes a few
# hundred lines a second and VM at most; the others are counted.
LINES_PER_S = 25.0
BURST_LINES = 100.0


class Decision(NamedTuple):
    """What a log line says beside its message.

    ``inputs`` are the values that decided, with the age or version of each where it has
    one.
    """

    event: str
    outcome: str
    request: str
    inputs: dict[str, Any]


def log_request(
    logger: logging.Logger, event: str, outcome: str, message: str, **inputs: Any
) -> None:
    """Log a decision that touches the current request."""
    if may_log(logger, event, outcome):
        write_request(logger, event, outcome, message, **inputs)


def log_state(
    logger: logging.Logger, event: str, outcome: str, message: str, **inputs: Any
) -> None:
    """Log a change of what this process holds to be true."""
    if may_log(logger, event, outcome):
        _write(logger, Decision(event, outcome, "", inputs), message)


def may_log(logger: logging.Logger, event: str, outcome: str) -> bool:
    """Whether a line is to be written; one that is not is counted.

    For paths on which the inputs of a line cost more than this question.
    """
    return logger.isEnabledFor(logging.INFO) and line_budget.admits(
        event, outcome, logger.name
    )


def write_request(
    logger: logging.Logger, event: str, outcome: str, message: str, **inputs: Any
) -> None:
    """Log a decision for which ``may_log`` was asked."""
    _write(logger, Decision(event, outcome, current_request.get(), inputs), message)


def _write(logger: logging.Logger, decision: Decision, message: str) -> None:
    logger.info("%s", message, extra={"decision": decision})


class _Allowance:
    """Lines that may still be written of one event and outcome."""

    def __init__(self, now: float, logger: str) -> None:
        self.lines = BURST_LINES
        self.counted_at = now
        self.suppressed = 0
        self.logger = logger

    def take(self, now: float) -> bool:
        earned = (now - self.counted_at) * LINES_PER_S
        self.lines = min(BURST_LINES, self.lines + earned)
        self.counted_at = now
        if self.lines < 1:
            return False
        self.lines -= 1
        return True


class LineBudget:
    """Bounds the lines of each event and outcome.

    Events and outcomes are constants of the code, so there are few of them. Lines are
    counted by the event loop and the counts taken by the thread that writes the log.
    """

    def __init__(self) -> None:
        self._lock = Lock()
        self._allowances: dict[tuple[str, str], _Allowance] = {}

    def admits(self, event: str, outcome: str, logger: str) -> bool:
        """Whether a line may be written; one that may not is counted."""
        now = monotonic()
        allowance = self._allowances.get((event, outcome))
        if allowance is None:
            allowance = self._allowances[event, outcome] = _Allowance(now, logger)
        if allowance.take(now):
            return True
        with self._lock:
            allowance.suppressed += 1
        return False

    def take_summaries(self) -> list[logging.LogRecord]:
        """Return a record for each event and outcome with lines that were left out."""
        summaries = []
        for (event, outcome), allowance in [*self._allowances.items()]:
            with self._lock:
                count, allowance.suppressed = allowance.suppressed, 0
            if count:
                inputs = {"event": event, "outcome": outcome, "lines": count}
                decision = Decision("suppressed", outcome, "", inputs)
                summaries.append(_record(allowance.logger, decision, count))
        return summaries


line_budget = LineBudget()


def _record(logger: str, decision: Decision, count: int) -> logging.LogRecord:
    event = decision.inputs["event"]
    message = f"{count} lines of {event} {decision.outcome} were left out"
    record = logging.LogRecord(logger, logging.INFO, "", 0, message, (), None)
    record.decision = decision
    return record


def is_ordinary(record: logging.LogRecord) -> bool:
    """Whether a record may be dropped before others."""
    decision: Decision | None = getattr(record, "decision", None)
    if decision is None:
        return record.levelno < logging.WARNING
    return decision.outcome in ORDINARY_OUTCOMES
