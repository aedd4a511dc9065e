"""Log output: limits on lines and queued text, and writing that never blocks."""

import io
import json
import logging
import threading
from time import monotonic

import pytest

from citronwood import decisions, log_output
from citronwood.decisions import (
    BURST_LINES,
    LineRateLimiter,
    current_request,
    log_request,
    log_state,
)
from citronwood.log_output import QueuedHandler
from citronwood.logs import JsonFormatter, PlainFormatter


class BlockingStream:
    """Stream whose writes block until ``released`` is set."""

    def __init__(self):
        self.released = threading.Event()
        self.text = ""

    def write(self, text):
        self.released.wait()
        self.text += text
        return len(text)

    def flush(self):
        pass


@pytest.fixture
def logger(monkeypatch):
    """Return a logger that passes its records only to the handlers of the test."""
    logger = logging.getLogger("citronwood.backend.test_log_output")
    logger.propagate, logger.handlers[:] = False, []
    logger.setLevel(logging.INFO)
    monkeypatch.setattr(decisions, "line_limiter", LineRateLimiter())
    monkeypatch.setattr(log_output, "line_limiter", decisions.line_limiter)
    yield logger
    for handler in logger.handlers:
        handler.close()


def attach(logger, stream, **options):
    handler = QueuedHandler(stream, **options)
    handler.setFormatter(JsonFormatter("vm1"))
    logger.addHandler(handler)
    return handler


def parse_lines(text):
    return [json.loads(line) for line in text.splitlines()]


def test_decision_names_its_request_inputs_and_outcome(logger):
    """Guards against a line that on-call engineers cannot trace to a request."""
    stream = io.StringIO()
    handler = attach(logger, stream)
    current_request.set("r-1")
    log_request(logger, "admission", "refused", "over the rate", rate=5.0)
    log_state(logger, "membership", "dead", "vm2 is dead", peer="vm2")
    handler.close()
    first, second = parse_lines(stream.getvalue())
    assert (first["vm"], first["component"]) == ("vm1", "gateway")
    assert (first["event"], first["outcome"]) == ("admission", "refused")
    assert (first["request"], first["inputs"]) == ("r-1", {"rate": 5.0})
    # State changes name no request: their task may outlive the request that started it.
    assert "request" not in second


def test_plain_line_shows_the_inputs(logger):
    """Guards against a format that omits the inputs of a decision."""
    stream = io.StringIO()
    handler = attach(logger, stream)
    handler.setFormatter(PlainFormatter())
    log_state(logger, "membership", "dead", "vm2 is dead", peer="vm2")
    handler.close()
    assert 'vm2 is dead {"event": "membership"' in stream.getvalue()


def test_lines_of_one_kind_are_bounded_and_counted(logger):
    """Guards against requests that flood the log and hide other lines."""
    stream = io.StringIO()
    handler = attach(logger, stream)
    ok_lines = int(BURST_LINES) * 20
    for _ in range(ok_lines):
        log_request(logger, "statement", "ok", "has run")
    log_request(logger, "statement", "unknown", "no answer")
    handler.close()
    lines = parse_lines(stream.getvalue())
    written = [line for line in lines if line["event"] == "statement"]
    summaries = [line for line in lines if line["event"] == "suppressed"]
    assert len(written) < ok_lines / 10
    assert sum(s["inputs"]["lines"] for s in summaries) == ok_lines + 1 - len(written)
    assert written[-1]["outcome"] == "unknown"


def test_output_that_is_not_read_blocks_nothing(logger):
    """Guards against requests blocked by a slow log reader, and unbounded memory."""
    stream = BlockingStream()
    max_chars = 200_000
    handler = attach(logger, stream, max_queued_chars=max_chars)
    started = monotonic()
    for number in range(5_000):
        logger.info("ordinary %d %s", number, "x" * 100)
    assert handler.queued_chars <= max_chars / 2
    for number in range(500):
        logger.warning("failure %d %s", number, "x" * 100)
    assert handler.queued_chars <= max_chars
    assert monotonic() - started < 2.0
    stream.released.set()
    handler.close()
    messages = [line["message"] for line in parse_lines(stream.text)]
    # Lines about failures are queued although ordinary lines have filled the half of
    # the queue that is open to them.
    assert sum("failure" in message for message in messages) > 300
    (dropped,) = [message for message in messages if "were dropped" in message]
    assert int(dropped.split()[0]) == 5_500 - len(messages) + 1


def test_broken_pipe_is_not_an_error(logger):
    """Guards against a process that exits when the reader of its log is gone."""

    class BrokenPipeStream(io.StringIO):
        def write(self, text):
            raise BrokenPipeError

    handler = attach(logger, BrokenPipeStream())
    logger.info("nobody reads this")
    handler.close()
    assert handler.queued_chars == 0
