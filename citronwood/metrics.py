"""Counters, gauges and histograms.

They are served at the metrics address and by ``citronwood status``, and sent to statsd.
"""

from bisect import bisect_left
from typing import Protocol

# Limit for the histograms of accounts and statement classes. Further accounts share one
# histogram per class.
MAX_HISTOGRAMS = 5_000
OTHER_ACCOUNTS = "other accounts"
BUCKET_BOUNDS_MS = (0.25, 0.5, 1, 2, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 10000)


class StatsdClient(Protocol):
    """Client that sends metrics to a statsd server."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Increment a counter."""
        ...

    def timing(self, stat: str, delta: float) -> None:
        """Send a duration in milliseconds."""
        ...

    def gauge(self, stat: str, value: float) -> None:
        """Send the current value of a gauge."""
        ...


class Histogram:
    """Histogram of durations in milliseconds, with fixed buckets."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_BOUNDS_MS) + 1)
        self.total_ms = 0.0

    def add(self, value_ms: float) -> None:
        """Record a duration."""
        self.counts[bisect_left(BUCKET_BOUNDS_MS, value_ms)] += 1
        self.total_ms += value_ms


class Metrics:
    """Counters, gauges and histograms by name, histograms also by account and class."""

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
        """Counts since the start of the process, by name."""
        return dict(self._counters)

    @property
    def gauges(self) -> dict[str, float]:
        """Current values, by name."""
        return dict(self._gauges)

    @property
    def histograms(self) -> dict[tuple[str, str], Histogram]:
        """Histograms of statements, by (account, class)."""
        return dict(self._histograms)

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter, such as ``limits.refused``."""
        self._counters[name] = self._counters.get(name, 0) + amount
        if self._client is not None:
            self._client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge, such as ``config.version``."""
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
        """Record the duration of a statement of a class, such as ``read``."""
        key = (account, kind)
        histogram = self._histograms.get(key)
        if histogram is None:
            if len(self._histograms) >= MAX_HISTOGRAMS:
                key = (OTHER_ACCOUNTS, kind)
            histogram = self._histograms.setdefault(key, Histogram())
        histogram.add(value_ms)
        if self._client is not None:
            self._client.timing(f"statement.{account}.{kind}", value_ms)
