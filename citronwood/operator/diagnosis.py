"""Diagnosis of one request from the decision log lines of several VMs."""

import json
from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta
from typing import Any, NamedTuple

from citronwood.errors import ErrorCode

# An event this long before the start of a request may still have affected it, because
# a VM learns of a failure or of a configuration some seconds late.
LOOKBACK = timedelta(seconds=5)
# The last line of an event may come after the last line of a request that the event
# affected.
LOOKAHEAD = timedelta(seconds=5)
# A backend server without an answer for this long is reported as silent. Shorter gaps
# are normal.
MIN_SILENCE_MS = 1_300

_CONTEXT_EVENTS = frozenset({"primary_change", "membership", "dependency", "process"})


class DecisionLine(NamedTuple):
    """One decision log line, from ``log_request`` or ``log_state``."""

    at: datetime
    vm: str
    event: str
    outcome: str
    request: str
    message: str
    inputs: dict[str, Any]


class Diagnosis(NamedTuple):
    """Lines of a request and of concurrent events, and the cause of its outcome."""

    lines: list[DecisionLine]
    cause: str


def parse_decision_lines(texts: Iterable[str]) -> Iterator[DecisionLine]:
    """Yield the decision log lines in JSON logs; other lines are skipped."""
    for text in texts:
        try:
            fields = json.loads(text)
            line = DecisionLine(
                datetime.fromisoformat(fields["time"]),
                fields["vm"],
                fields["event"],
                fields["outcome"],
                fields.get("request", ""),
                fields["message"],
                fields["inputs"],
            )
        except (ValueError, KeyError, TypeError):
            continue
        yield line


def diagnose_request(request: str, lines: Iterable[DecisionLine]) -> Diagnosis:
    """Return the lines that concern a request, with the cause of its outcome."""
    all_lines = sorted(lines, key=lambda line: line.at)
    request_lines = [line for line in all_lines if line.request == request]
    if not request_lines:
        return Diagnosis([], _explain_absence(request, all_lines))
    window_start, window_end = (
        request_lines[0].at - _max_time_spent(request_lines) - LOOKBACK,
        request_lines[-1].at + LOOKAHEAD,
    )
    context = [
        line
        for line in all_lines
        if line.event in _CONTEXT_EVENTS and window_start <= line.at <= window_end
    ]
    return Diagnosis(
        sorted([*request_lines, *context], key=lambda line: line.at),
        _explain_cause(request_lines, context),
    )


def _max_time_spent(request_lines: list[DecisionLine]) -> timedelta:
    """Return how long the request may have run before its first line."""
    durations_ms = [
        line.inputs.get("duration_ms", 0.0) + line.inputs.get("waited_ms", 0.0)
        for line in request_lines
    ]
    return timedelta(milliseconds=max(durations_ms))


def _explain_absence(request: str, all_lines: list[DecisionLine]) -> str:
    left_out = sum(
        line.inputs["lines"] for line in all_lines if line.event == "suppressed"
    )
    vms = ", ".join(sorted({line.vm for line in all_lines})) or "no VM"
    return (
        f"No line names request {request}. The files have lines of {vms};"
        f" {left_out} lines were left out by the rate limit of the log."
        " Add the log of the VM that the caller was connected to."
    )


def _explain_cause(
    request_lines: list[DecisionLine], context: list[DecisionLine]
) -> str:
    admission = _last_line(request_lines, "admission")
    if admission is not None:
        return _explain_rate_limit(admission)
    refusal = _last_line(request_lines, "refusal")
    if refusal is not None:
        return _explain_refusal(refusal)
    relayed = _last_line(request_lines, "relayed")
    if relayed is not None:
        gate = _last_line(request_lines, "gate")
        return _explain_relayed(relayed, gate, context)
    statement = _last_line(request_lines, "statement")
    if statement is None:
        return (
            "The line of the VM that the caller was connected to is missing; the"
            " request may still be running, or the log of that VM was not given."
        )
    if statement.outcome == "ok":
        return _explain_success(statement)
    if statement.outcome == "failed":
        return f"The backend server refused the statement: {statement.message}."
    return _explain_failure(statement, request_lines, context)


def _explain_rate_limit(line: DecisionLine) -> str:
    inputs = line.inputs
    return (
        f"Client account {inputs['account']} was over its rate at {line.vm}:"
        f" {inputs['reason']}. Its rate is {inputs['rate']} requests a second with a"
        f" burst of {inputs['burst']}; {inputs['waiting_here']} requests were queued"
        " on this VM."
    )


def _explain_refusal(line: DecisionLine) -> str:
    inputs = line.inputs
    if inputs["code"] == ErrorCode.KEY_WITHDRAWN:
        return (
            f"The caller's key was withdrawn; {line.vm} had configuration version"
            f" {inputs['config_version']}."
        )
    if inputs["code"] == ErrorCode.VM_ISOLATED:
        return (
            f"{line.vm} was cut off from the fleet: nobody had confirmed its"
            f" configuration for {inputs['config_age_ms']} ms."
        )
    return f"{line.vm} refused the statement before it ran: {line.message}."


def _explain_success(line: DecisionLine) -> str:
    inputs = line.inputs
    return (
        f"The statement has run on {inputs['served_by']}: it was delayed by the rate"
        f" limit for {inputs['waited_ms']} ms and took {inputs['duration_ms']} ms."
    )


def _explain_failure(
    statement: DecisionLine,
    request_lines: list[DecisionLine],
    context: list[DecisionLine],
) -> str:
    prefix = _OUTCOME_PHRASES[statement.outcome]
    attempt = _last_line(request_lines, "attempt")
    if attempt is not None and attempt.inputs["gateway_dead"]:
        return f"{prefix} gateway {attempt.inputs['gateway']} failed while it ran."
    overloaded = statement.inputs["code"] == ErrorCode.OVERLOADED
    change = _last_primary_change(statement.inputs["group"], context)
    if change is not None and not overloaded:
        inputs = change.inputs
        at_term = f" at term {inputs['term']}" if change.outcome == "done" else ""
        return (
            f"{prefix} the primary {inputs['old_primary']} was being replaced{at_term}"
            f" ({inputs['reason']})."
        )
    gateway = _last_line(request_lines, "gateway")
    if gateway is None:
        return (
            f"{prefix} {statement.message}. The log of the gateway is missing; add"
            " those of the other VMs."
        )
    for member, pool in gateway.inputs["connections"].items():
        if pool["used"] >= pool["limit"]:
            return (
                f"{prefix} all {pool['used']} connections of {gateway.vm} to {member}"
                f" were in use and {pool['waiting']} other requests waited for one."
            )
    silence = _longest_silent(gateway.inputs["silent_ms"])
    if silence:
        return f"{prefix} {silence[0]} had been silent for {silence[1]} ms."
    return f"{prefix} {gateway.message}."


def _explain_relayed(
    line: DecisionLine, gate: DecisionLine | None, context: list[DecisionLine]
) -> str:
    """Explain a statement that the VM relayed to backend servers of the platform."""
    inputs = line.inputs
    tried = ", ".join(inputs["servers"]) or "no server"
    if line.outcome == "ok":
        return f"The statement has run on {tried} in {inputs['duration_ms']} ms."
    changes = [
        candidate
        for candidate in context
        if candidate.event == "primary_change"
        and candidate.outcome == "started"
        and candidate.inputs.get("group") == inputs["group"]
    ]
    explanation = f"{line.message} (tried: {tried})."
    if gate is not None and line.outcome == "overloaded":
        return (
            f"{explanation} {gate.vm} expected no slot of {gate.inputs['server']} in"
            f" time: {gate.inputs['running']} statements ran in"
            f" {gate.inputs['slots']} slots, {gate.inputs['waiting']} others waited,"
            f" and one took {gate.inputs['mean_ms']} ms; priority"
            f" {gate.inputs['priority']}."
        )
    if changes:
        last_change = changes[-1].inputs
        return (
            f"{explanation} The primary {last_change['old_primary']} was being"
            f" replaced: {last_change['reason']}."
        )
    if inputs["lease_left_ms"] <= 0:
        return (
            f"{explanation} {line.vm} had not heard from the leader or the store for"
            " too long."
        )
    return explanation


_OUTCOME_PHRASES = {
    "refused": "The statement did not run, because",
    "unknown": "It is unknown whether the statement ran, because",
}


def _last_line(lines: list[DecisionLine], event: str) -> DecisionLine | None:
    matching = [line for line in lines if line.event == event]
    return matching[-1] if matching else None


def _last_primary_change(
    group: str, context: list[DecisionLine]
) -> DecisionLine | None:
    changes = [
        line
        for line in context
        if line.event == "primary_change" and line.inputs["group"] == group
    ]
    return changes[-1] if changes else None


def _longest_silent(silent_ms: dict[str, int]) -> tuple[str, int] | None:
    member = max(silent_ms, key=silent_ms.__getitem__, default=None)
    if member is None or silent_ms[member] < MIN_SILENCE_MS:
        return None
    return member, silent_ms[member]
