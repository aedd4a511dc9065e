"""Forecast of the wait for a connection.

The forecast handles a sustained overload: for longer than the timeout of a statement,
statements arrive faster than the connections to a member can run them. Without a
forecast each statement would wait until its deadline and then be refused. With it,
statements that cannot run in time are refused on arrival, and the caller can use
another gateway or retry later.
"""

from collections import deque

# Number of grants over which the rate is averaged. The standard error of the mean of
# 256 exponentially distributed gaps is 6 %.
WINDOW_GRANTS = 256
# Until this number of gaps is measured, the rate is unknown and no request is refused.
MIN_GRANTS = 20
# Longer gaps between grants are left out of the rate. While the primary is replaced no
# connection is granted for up to 2 s, but the waiting requests are served right after.
MAX_GAP_S = 0.25
# A request is refused if the forecast wait exceeds this multiple of its time left. At a
# load of twice the capacity, the excess of the factor over 1 is the share of requests
# that are refused late, at their deadline.
REFUSAL_FACTOR = 1.05


class WaitForecast:
    """Count waiting requests and measure the rate at which they get connections."""

    def __init__(self) -> None:
        self._waiting: dict[str, int] = {}
        self._weights: dict[str, float] = {}
        self._weights_sum = 0.0
        self._gaps: deque[float] = deque()
        self._gaps_sum_s = 0.0
        self._last_granted_at: float | None = None

    def add_waiting(self, account: str, weight: float) -> None:
        """Count a request that starts to wait."""
        self._waiting[account] = self._waiting.get(account, 0) + 1
        self._weights_sum += weight - self._weights.get(account, 0.0)
        self._weights[account] = weight

    def remove_waiting(self, account: str) -> None:
        """Stop counting a request; forget the measured rate once none waits.

        Without waiting requests, the gaps between grants do not show the capacity.
        """
        self._waiting[account] -= 1
        if not self._waiting[account]:
            del self._waiting[account]
            self._weights_sum -= self._weights.pop(account)
        if not self._waiting:
            self._gaps.clear()
            self._gaps_sum_s, self._last_granted_at = 0.0, None
            # Reset the sum to discard accumulated rounding errors.
            self._weights_sum = 0.0

    def record_grant(self, now: float) -> None:
        """Record that a waiting request got a connection."""
        previous, self._last_granted_at = self._last_granted_at, now
        if previous is None or now - previous >= MAX_GAP_S:
            return
        self._gaps.append(now - previous)
        self._gaps_sum_s += now - previous
        if len(self._gaps) > WINDOW_GRANTS:
            self._gaps_sum_s -= self._gaps.popleft()

    def excess_s(
        self, account: str, weight: float, time_left_s: float, waiting: int
    ) -> float | None:
        """Return by how much the expected wait exceeds the time left.

        None if another request of the account may be served in time, or if the wait is
        unknown. ``waiting`` is the number of waiting requests of all accounts.
        """
        expected_wait_s = self.expected_wait_s(account, weight, waiting)
        if expected_wait_s is None or expected_wait_s <= REFUSAL_FACTOR * time_left_s:
            return None
        return expected_wait_s - time_left_s

    def expected_wait_s(
        self, account: str, weight: float, waiting: int
    ) -> float | None:
        """Return the expected wait of another request; None while it is unknown.

        While other accounts have waiting requests, an account gets its share by weight.
        A request waits at most for all requests that are already waiting.
        """
        mean_gap_s = self._mean_gap_s()
        if mean_gap_s is None:
            return None
        other_weights = self._weights_sum - self._weights.get(account, 0.0)
        own_waiting = self._waiting.get(account, 0)
        grants_by_share = (own_waiting + 1) * (other_weights + weight) / weight
        return mean_gap_s * min(grants_by_share, waiting + 1)

    def _mean_gap_s(self) -> float | None:
        if len(self._gaps) < MIN_GRANTS:
            return None
        return self._gaps_sum_s / len(self._gaps)
