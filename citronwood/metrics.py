"""Metrics, kept for the metrics address and ``citronwood status``, sent with statsd.

Histograms are kept for each client account and class of statement.
"""

from bisect import bisect_left
from typing import Protocol

# Accounts times classes of statements; further accounts share one histogram a class.
MAX_HISTOGRAMS = 5_000
OTHER_ACCOUNTS = "other accounts"
BUCKET_BOUNDS_MS = (0.25, 0.5, 1, 2, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 10000)


class StatsdClient(Protocol):
    """The part of a statsd client that is used here."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Count events."""
        ...

    def timing(self, stat: str, delta: float) -> None:
        """Report a duration in milliseconds."""
        ...

    def gauge(self, stat: str, value: float) -> None:
        """Report a current value."""
        ...


class Histogram:
    """Counts of durations in fixed buckets, in milliseconds."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_BOUNDS_MS) + 1)
        self.total_ms = 0.0

    def add(self, value_ms: float) -> None:
        """Count one duration."""
        self.counts[bisect_left(BUCKET_BOUNDS_MS, value_ms)] += 1
        self.total_ms += value_ms


class Metrics:
    """Counters by name and histograms by account and class."""

    def __init__(self, client: StatsdClient | None = None) -> None:
        self._client = client
        self._counters: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._histograms: dict[tuple[str, str], Histogram] = {}
        self._timings: dict[str, Histogram] = {}

    @property
    def timings(self) -> dict[str, Histogram]:
        """Histograms of internal operations, by name."""
        return dict(self._timings)

    @property
    def counters(self) -> dict[str, int]:
        """Counts since the start, by name."""
        return dict(self._counters)

    @property
    def gauges(self) -> dict[str, float]:
        """Last values that were reported, by name."""
        return dict(self._gauges)

    @property
    def histograms(self) -> dict[tuple[str, str], Histogram]:
        """Histograms by (account, class)."""
        return dict(self._histograms)

    def count(self, name: str, amount: int = 1) -> None:
        """Count events, such as ``limits.refused``."""
        self._counters[name] = self._counters.get(name, 0) + amount
        if self._client is not None:
            self._client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Report a current value."""
        self._gauges[name] = value
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, value_ms: float) -> None:
        """Record the duration of an internal operation, such as ``platform.get``."""
        histogram = self._timings.get(name)
        if histogram is None:
            histogram = self._timings[name] = Histogram()
        histogram.add(value_ms)
        if self._client is not None:
            self._client.timing(name, value_ms)

    def observe(self, account: str, kind: str, value_ms: float) -> None:
        """Record the duration of one statement of an account."""
        key = (account, kind)
        histogram = self._histograms.get(key)
        if histogram is None:
            if len(self._histograms) >= MAX_HISTOGRAMS:
                key = (OTHER_ACCOUNTS, kind)
            histogram = self._histograms.setdefault(key, Histogram())
        histogram.add(value_ms)
        if self._client is not None:
            self._client.timing(f"statement.{account}.{kind}", value_ms)
