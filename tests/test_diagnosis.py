"""Diagnosis of failed requests from log lines."""

import json

import pytest

from citronwood.operator.diagnosis import diagnose_request, parse_decision_lines

STATEMENT = {
    "account": "pantry",
    "group": "g",
    "waited_ms": 0.0,
    "duration_ms": 900.0,
    "config_version": 7,
    "config_age_ms": 40,
}
IDLE = {"m1": {"used": 0, "limit": 4, "waiting": 0}}
BUSY = {"m1": {"used": 4, "limit": 4, "waiting": 9}}


def line(second, event, outcome, request="", vm="vm1", **inputs):
    """Return a decision log line in JSON."""
    fields = {
        "time": f"2026-01-01T00:00:{second:06.3f}+00:00",
        "vm": vm,
        "message": f"{event} {outcome}",
        "event": event,
        "outcome": outcome,
        "inputs": inputs,
    }
    return json.dumps(fields | ({"request": request} if request else {}))


def statement(outcome, code, **changes):
    return line(30, "statement", outcome, "r", **STATEMENT, code=code, **changes)


def gateway(connections=IDLE, silent_ms=100):
    inputs = {"connections": connections, "silent_ms": {"m1": silent_ms}}
    return line(29.9, "gateway", "not_run", "r", vm="vm2", **inputs)


def change(second=29.5, group="g"):
    inputs = {"group": group, "reason": "silent", "old_primary": "m1", "term": 3}
    return line(second, "primary_change", "done", vm="vm2", **inputs)


def cause(*lines):
    return diagnose_request("r", parse_decision_lines(lines)).cause


@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        ([statement("unknown", 9002), change()], "primary m1 was being replaced"),
        ([statement("refused", 9001), gateway(BUSY)], "all 4 connections of vm2 to m1"),
        ([statement("refused", 9011), gateway(BUSY), change()], "all 4 connections"),
        ([statement("refused", 9001), gateway(silent_ms=5_000)], "m1 had been silent"),
        ([statement("refused", 9001), gateway()], "gateway not_run"),
        ([statement("unknown", 9002)], "log of the gateway is missing"),
        ([statement("failed", 1062)], "backend server refused"),
        (
            [line(1, "refusal", "refused", "r", code=9004, config_version=8)],
            "withdrawn",
        ),
        (
            [line(1, "refusal", "refused", "r", code=9007, config_age_ms=4_000)],
            "nobody had confirmed its configuration for 4000 ms",
        ),
        (
            [
                line(2, "relayed", "overloaded", "r", servers=["s1"], group="g"),
                line(
                    1.9,
                    "gate",
                    "refused",
                    "r",
                    vm="vm2",
                    server="s1",
                    priority=2,
                    running=5,
                    slots=4,
                    waiting=40,
                    mean_ms=16.1,
                ),
            ],
            "vm2 expected no slot of s1 in time: 5 statements ran in 4 slots, 40",
        ),
        ([gateway()], "line of the VM that the caller was connected to is missing"),
    ],
)
def test_cause_is_named(lines, expected):
    """Guards against a cause that the log lines do not show."""
    assert expected in cause(*lines)


def test_gateway_failure_takes_precedence_over_a_primary_change():
    """Guards against blaming a change of primary that the gateway's failure caused."""
    inputs = {"gateway": "vm2", "gateway_dead": True}
    attempt = line(29.8, "attempt", "given_up", "r", **inputs)
    assert "gateway vm2 failed" in cause(statement("unknown", 9002), attempt, change())


def test_changes_of_other_groups_and_times_are_no_cause():
    """Guards against blaming unrelated events."""
    unrelated = change(group="other"), change(second=20), change(second=50)
    assert "replaced" not in cause(statement("unknown", 9002), gateway(), *unrelated)


def test_lines_are_sorted_by_time_and_other_lines_are_skipped():
    """Guards against listing the logs of several VMs one after the other."""
    texts = [statement("unknown", 9002), "Traceback:", "{}", "[1]", change(), gateway()]
    diagnosis = diagnose_request("r", parse_decision_lines(texts))
    assert [decision.event for decision in diagnosis.lines] == [
        "primary_change",
        "gateway",
        "statement",
    ]


def test_missing_request_reports_the_number_of_suppressed_lines():
    """Guards against reporting a request as unknown when its lines were suppressed."""
    suppressed = line(1, "suppressed", "ok", lines=40)
    assert "40 lines were left out" in cause(suppressed)
