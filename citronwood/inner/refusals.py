"""Counting and logging of refused messages."""

import logging
from time import monotonic

from citronwood.metrics import Metrics

log = logging.getLogger(__name__)

LOG_INTERVAL_S = 5.0


class RefusalCounter:
    """Counts refused messages by reason, with a rate limit on their log lines."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._next_log_at: dict[str, float] = {}

    def record(self, reason: str, detail: str) -> None:
        """Count a refused message.

        ``reason`` is one of a few fixed words, because a metric is named after it.
        """
        self._metrics.count(f"inner.refused.{reason}")
        now = monotonic()
        if now >= self._next_log_at.get(reason, 0.0):
            self._next_log_at[reason] = now + LOG_INTERVAL_S
            log.warning("inner: message refused (%s): %s", reason, detail[:200])
