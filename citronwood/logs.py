"""Log formats: plain text, or one JSON object per line."""

import json
import logging
import sys
from datetime import UTC, datetime
from typing import Any, Literal

from citronwood.decisions import Decision
from citronwood.log_output import DescriptorStream, LineStream, QueuedHandler

# Prefix of the log lines of each component, by logger name.
_PREFIXES = {
    "citronwood.mysql": "entry",
    "citronwood.backend": "gateway",
    "citronwood.backend.group": "group",
    "citronwood.backend.promotion": "group",
    "citronwood.fleet": "fleet",
    "citronwood.inner": "fleet",
    "citronwood.limits": "limits",
    "citronwood.config": "config",
    "citronwood.platform": "platform",
    "citronwood.operator": "operator",
    "citronwood.standin": "standin",
    "citronwood": "entry",
}


def component_of(logger: str) -> str:
    """Return the prefix for a logger; for other libraries their package name."""
    name = logger
    while name:
        if name in _PREFIXES:
            return _PREFIXES[name]
        name = name.rpartition(".")[0]
    return logger.partition(".")[0]


class _Formatter(logging.Formatter):
    def _message(self, record: logging.LogRecord) -> tuple[str, str]:
        component = component_of(record.name)
        message = record.getMessage().removeprefix(f"{component}: ")
        return component, message

    def _time(self, record: logging.LogRecord) -> str:
        time = datetime.fromtimestamp(record.created, UTC)
        return time.isoformat(timespec="milliseconds")

    def _decision(self, record: logging.LogRecord) -> dict[str, Any]:
        decision: Decision | None = getattr(record, "decision", None)
        if decision is None:
            return {}
        fields = {"event": decision.event, "outcome": decision.outcome}
        if decision.request:
            fields["request"] = decision.request
        return {**fields, "inputs": decision.inputs}

    def _traceback(self, record: logging.LogRecord) -> str:
        return self.formatException(record.exc_info) if record.exc_info else ""


class PlainFormatter(_Formatter):
    """Lines such as ``2026-01-01T00:00:00.000+00:00 INFO config: ...``."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line, followed by the traceback if there is one."""
        component, message = self._message(record)
        # Escapes line breaks, with which a value could forge a log line.
        message = message.replace("\r", "\\r").replace("\n", "\\n")
        line = f"{self._time(record)} {record.levelname} {component}: {message}"
        decision = self._decision(record)
        if decision:
            line = f"{line} {json.dumps(decision, ensure_ascii=False)}"
        traceback = self._traceback(record)
        return f"{line}\n{traceback}" if traceback else line


class JsonFormatter(_Formatter):
    """One JSON object per line with time, VM, level, component and message.

    A decision adds its event, outcome, inputs and request id, an exception its
    traceback.
    """

    def __init__(self, vm: str = "") -> None:
        super().__init__()
        self._vm = vm

    def format(self, record: logging.LogRecord) -> str:
        """Return the JSON object."""
        component, message = self._message(record)
        fields: dict[str, Any] = {
            "time": self._time(record),
            "vm": self._vm,
            "level": record.levelname.lower(),
            "component": component,
            "message": message,
            **self._decision(record),
        }
        traceback = self._traceback(record)
        if traceback:
            fields["traceback"] = traceback
        return json.dumps(fields, ensure_ascii=False)


def configure_logs(
    log_format: Literal["plain", "json"] = "json",
    level: str = "info",
    stream: LineStream | None = None,
    vm: str = "",
) -> logging.Handler:
    """Write all log records to a stream, by default standard output.

    Returns the handler.
    """
    handler = QueuedHandler(stream or DescriptorStream(sys.stdout.fileno()))
    plain = log_format == "plain"
    handler.setFormatter(PlainFormatter() if plain else JsonFormatter(vm))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    return handler
