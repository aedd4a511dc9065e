"""Log handler that never blocks: a thread writes what waits in a bounded queue."""

import logging
import os
import threading
from collections import deque
from time import monotonic
from typing import Protocol

from citronwood.decisions import is_ordinary, line_budget

# Lines that wait for a reader of standard output that is slow, in characters.
MAX_WAITING_CHARS = 4 << 20
# Part of the room that ordinary successes may use; the rest is for what explains
# failures.
ORDINARY_SHARE = 0.5
# Lines that were left out are counted in the log this often.
SUMMARY_INTERVAL_S = 1.0
# Time for the last lines at the end of the process.
FLUSH_S = 1.0
WRITE_CHARS = 1 << 16


class LineStream(Protocol):
    """The part of a text stream that is written to."""

    def write(self, text: str, /) -> int:
        """Write text."""
        ...

    def flush(self) -> None:
        """Hand the text over to the system."""
        ...


class DescriptorStream:
    """Stream that writes to a file descriptor without a buffer of its own.

    The interpreter flushes ``sys.stdout`` when it ends, and would wait for the thread
    that is writing to it.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def write(self, text: str, /) -> int:
        """Write text; blocks while nobody reads."""
        data = memoryview(text.encode(errors="backslashreplace"))
        while data:
            data = data[os.write(self._descriptor, data) :]
        return len(text)

    def flush(self) -> None:
        """Nothing is kept."""


class QueuedHandler(logging.Handler):
    """Writes records to a stream that may stop to take them.

    Parameters
    ----------
    stream : LineStream
        Written to by one thread only.
    max_waiting_chars : int
        Lines beyond it are dropped and counted.
    """

    def __init__(
        self, stream: LineStream, max_waiting_chars: int = MAX_WAITING_CHARS
    ) -> None:
        super().__init__()
        self._stream = stream
        self._max_waiting = max_waiting_chars
        self._waiting: deque[str] = deque()
        self._waiting_chars = 0
        self._dropped = 0
        self._closed = False
        self._changed = threading.Condition()
        self._thread: threading.Thread | None = None

    @property
    def waiting_chars(self) -> int:
        """Size of the lines that were not written yet."""
        return self._waiting_chars

    def emit(self, record: logging.LogRecord) -> None:
        """Put a line into the queue, or count it."""
        try:
            self._put(self.format(record), is_ordinary(record))
        except Exception:
            self.handleError(record)

    def flush(self) -> None:
        """Wait until all lines are written, for a short time."""
        deadline = monotonic() + FLUSH_S
        self._put_summaries()
        with self._changed:
            self._changed.wait_for(
                lambda: not self._waiting_chars, max(0.0, deadline - monotonic())
            )

    def close(self) -> None:
        """End the thread once it has written what waits."""
        self.flush()
        with self._changed:
            self._closed = True
            self._changed.notify_all()
        super().close()

    def _put(self, line: str, ordinary: bool) -> None:
        share = ORDINARY_SHARE if ordinary else 1.0
        with self._changed:
            if self._waiting_chars + len(line) >= self._max_waiting * share:
                self._dropped += 1
                return
            self._waiting.append(line)
            self._waiting_chars += len(line) + 1
            if self._thread is None:
                self._thread = threading.Thread(
                    target=self._write_forever, name="log-output", daemon=True
                )
                self._thread.start()
            self._changed.notify_all()

    def _put_summaries(self) -> None:
        for record in line_budget.take_summaries():
            self._put(self.format(record), ordinary=False)
        with self._changed:
            dropped, self._dropped = self._dropped, 0
        if dropped:
            message = f"{dropped} lines were dropped because the log was not read"
            record = logging.LogRecord(
                __name__, logging.WARNING, "", 0, message, (), None
            )
            self._put(self.format(record), ordinary=False)

    def _write_forever(self) -> None:
        summary_at = monotonic() + SUMMARY_INTERVAL_S
        while True:
            with self._changed:
                self._changed.wait_for(
                    lambda: self._waiting or self._closed,
                    max(0.0, summary_at - monotonic()),
                )
                batch = self._take_batch()
                if self._closed and not batch:
                    return
            if batch:
                self._write(batch)
            if monotonic() >= summary_at:
                self._put_summaries()
                summary_at = monotonic() + SUMMARY_INTERVAL_S

    def _take_batch(self) -> list[str]:
        batch: list[str] = []
        size = 0
        while self._waiting and size < WRITE_CHARS:
            batch.append(self._waiting.popleft())
            size += len(batch[-1])
        return batch

    def _write(self, batch: list[str]) -> None:
        try:
            self._stream.write("\n".join(batch) + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            # Whoever reads the log has gone; there is no other place to say so.
            self._dropped += len(batch)
        with self._changed:
            self._waiting_chars -= sum(len(line) + 1 for line in batch)
            self._changed.notify_all()
