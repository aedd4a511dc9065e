"""Rate limit of calls to the platform's service."""

import asyncio
from time import monotonic
from typing import NamedTuple

# The store serves about 2,000 reads per second; 620 VMs that all use their full budget
# stay below that. The burst covers the calls of a process start.
DEFAULT_CALLS_PER_S = 3.0
DEFAULT_BURST = 12
# Tokens by which urgent calls may overdraw the bucket instead of waiting. Without this
# reserve, an operator's changes at one VM, each of about four calls, waited up to 2.4 s
# behind background calls, while a withdrawn key must be rejected within 3 s.
URGENT_RESERVE_CALLS = 8


class BudgetStatus(NamedTuple):
    """State of the budget for the status report."""

    calls_per_s: float
    burst: int
    available: float
    taken: int
    delayed: int
    refused: int


class CallBudget:
    """Token bucket that grants calls in the order of requests, urgent calls first.

    Urgent calls may overdraw the bucket, which delays the calls after them. The number
    of calls in any window of W seconds is at most
    ``burst + URGENT_RESERVE_CALLS + calls_per_s * W``.

    Parameters
    ----------
    calls_per_s : float
        Refill rate of the bucket.
    burst : int
        Capacity of the bucket.
    """

    def __init__(
        self, calls_per_s: float = DEFAULT_CALLS_PER_S, burst: int = DEFAULT_BURST
    ) -> None:
        self._calls_per_s = calls_per_s
        self._burst = burst
        self._tokens = float(burst)
        self._refilled_at = monotonic()
        self._taken = 0
        self._delayed = 0
        self._refused = 0

    @property
    def status(self) -> BudgetStatus:
        """Limits, available tokens and call counts."""
        self._refill()
        return BudgetStatus(
            self._calls_per_s,
            self._burst,
            round(self._tokens, 2),
            self._taken,
            self._delayed,
            self._refused,
        )

    async def take(self, deadline: float, urgent: bool = False) -> bool:
        """Wait for a token; False, at once, if none will be free by the deadline."""
        self._refill()
        if urgent and self._tokens >= 1 - URGENT_RESERVE_CALLS:
            self._tokens -= 1
            self._taken += 1
            return True
        wait_s = max(0.0, (1 - self._tokens) / self._calls_per_s)
        if monotonic() + wait_s >= deadline:
            self._refused += 1
            return False
        # A negative number of tokens counts the tokens that are already promised, so
        # that each later call waits longer.
        self._tokens -= 1
        self._taken += 1
        if wait_s > 0:
            self._delayed += 1
            await asyncio.sleep(wait_s)
        return True

    def _refill(self) -> None:
        now = monotonic()
        refilled = (now - self._refilled_at) * self._calls_per_s
        self._tokens = min(float(self._burst), self._tokens + refilled)
        self._refilled_at = now
