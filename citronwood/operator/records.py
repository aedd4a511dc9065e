"""Recent events and their reasons, kept in memory for ``citronwood explain``."""

import time
from collections import deque
from typing import Any, NamedTuple

MAX_RECORDS_PER_KIND = 500


class Record(NamedTuple):
    """One event; ``at`` is wall-clock time, for display and sorting."""

    at: float
    kind: str
    details: dict[str, Any]


class Records:
    """Ring buffers of events, one for each kind."""

    def __init__(self) -> None:
        self._buffers: dict[str, deque[Record]] = {}

    @property
    def kinds(self) -> tuple[str, ...]:
        """Kinds of the recorded events."""
        return tuple(sorted(self._buffers))

    def add(self, kind: str, **details: Any) -> None:
        """Append an event, such as ``refusal`` or ``primary_change``."""
        buffer = self._buffers.setdefault(kind, deque(maxlen=MAX_RECORDS_PER_KIND))
        buffer.append(Record(time.time(), kind, details))

    def list(self, kind: str) -> list[Record]:
        """Return the events of a kind, oldest first."""
        return list(self._buffers.get(kind, ()))
