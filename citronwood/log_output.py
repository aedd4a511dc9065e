"""Log handler that never blocks: a thread writes lines from a bounded queue."""

import logging
import os
import threading
from collections import deque
from time import monotonic
from typing import Protocol

from citronwood.decisions import is_low_priority, line_limiter

# Size limit of the queue, which fills up while the reader of standard output is slow.
MAX_QUEUED_CHARS = 4 << 20
# Fill level of the queue, as a fraction, from which low-priority lines are dropped. The
# remaining space is reserved for lines that explain failures.
LOW_PRIORITY_SHARE = 0.5
# Interval of the lines that report how many lines were suppressed or dropped.
SUMMARY_INTERVAL_S = 1.0
# Time to write the queued lines when the process ends. Lines left after that are lost.
FLUSH_TIMEOUT_S = 1.0
MAX_BATCH_CHARS = 1 << 16


class LineStream(Protocol):
    """Text stream to write to."""

    def write(self, text: str, /) -> int:
        """Write text."""
        ...

    def flush(self) -> None:
        """Pass buffered text on to the operating system."""
        ...


class DescriptorStream:
    """Unbuffered text stream on a file descriptor.

    Used instead of ``sys.stdout``, which the interpreter flushes at exit. That flush
    would wait for a thread that is blocked in a write.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def write(self, text: str, /) -> int:
        """Write text; blocks while the reader is slow."""
        data = memoryview(text.encode(errors="backslashreplace"))
        while data:
            data = data[os.write(self._descriptor, data) :]
        return len(text)

    def flush(self) -> None:
        """Do nothing, as there is no buffer."""


class QueuedHandler(logging.Handler):
    """Writes log records to a stream that may block.

    Parameters
    ----------
    stream : LineStream
        Written to by one background thread only.
    max_queued_chars : int
        Capacity of the queue. Lines that do not fit are dropped and counted.
    """

    def __init__(
        self, stream: LineStream, max_queued_chars: int = MAX_QUEUED_CHARS
    ) -> None:
        super().__init__()
        self._stream = stream
        self._max_queued_chars = max_queued_chars
        self._queue: deque[str] = deque()
        self._queued_chars = 0
        self._dropped = 0
        self._closed = False
        self._queue_changed = threading.Condition()
        self._thread: threading.Thread | None = None

    @property
    def queued_chars(self) -> int:
        """Length of all lines that are not written yet."""
        return self._queued_chars

    def emit(self, record: logging.LogRecord) -> None:
        """Append a line to the queue, or drop and count it."""
        try:
            self._put(self.format(record), is_low_priority(record))
        except Exception:
            self.handleError(record)

    def flush(self) -> None:
        """Wait until all lines are written, for at most ``FLUSH_TIMEOUT_S``."""
        deadline = monotonic() + FLUSH_TIMEOUT_S
        self._put_summaries()
        with self._queue_changed:
            self._queue_changed.wait_for(
                lambda: not self._queued_chars, max(0.0, deadline - monotonic())
            )

    def close(self) -> None:
        """Flush the queue and let the thread end."""
        self.flush()
        with self._queue_changed:
            self._closed = True
            self._queue_changed.notify_all()
        super().close()

    def _put(self, line: str, low_priority: bool) -> None:
        share = LOW_PRIORITY_SHARE if low_priority else 1.0
        with self._queue_changed:
            if self._queued_chars + len(line) >= self._max_queued_chars * share:
                self._dropped += 1
                return
            self._queue.append(line)
            self._queued_chars += len(line) + 1
            if self._thread is None:
                self._thread = threading.Thread(
                    target=self._write_forever, name="log-output", daemon=True
                )
                self._thread.start()
            self._queue_changed.notify_all()

    def _put_summaries(self) -> None:
        for record in line_limiter.take_summaries():
            self._put(self.format(record), low_priority=False)
        with self._queue_changed:
            dropped, self._dropped = self._dropped, 0
        if dropped:
            message = f"{dropped} lines were dropped: queue full or write failed"
            record = logging.LogRecord(
                __name__, logging.WARNING, "", 0, message, (), None
            )
            self._put(self.format(record), low_priority=False)

    def _write_forever(self) -> None:
        summary_at = monotonic() + SUMMARY_INTERVAL_S
        while True:
            with self._queue_changed:
                self._queue_changed.wait_for(
                    lambda: self._queue or self._closed,
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
        while self._queue and size < MAX_BATCH_CHARS:
            batch.append(self._queue.popleft())
            size += len(batch[-1])
        return batch

    def _write(self, batch: list[str]) -> None:
        try:
            self._stream.write("\n".join(batch) + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            # The log cannot be written, for example because its reader has closed
            # it, so the error cannot be logged either.
            self._dropped += len(batch)
        with self._queue_changed:
            self._queued_chars -= sum(len(line) + 1 for line in batch)
            self._queue_changed.notify_all()
