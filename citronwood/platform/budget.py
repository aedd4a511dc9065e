"""Budget of calls to the platform's service."""

import asyncio
from time import monotonic
from typing import NamedTuple

# The store answers about 2,000 reads per second; 620 VMs that all spend their
# budget stay below that. The burst covers the calls of a start.
DEFAULT_CALLS_PER_S = 3.0
DEFAULT_BURST = 12
# An urgent call does not wait while no more than so many calls are owed. The changes of
# an operator at one VM, each of about four calls, waited up to 2.4 s for background
# calls otherwise, and a withdrawn key has to stop within 3 s.
URGENT_RESERVE = 8


class BudgetStatus(NamedTuple):
    """What the status report shows of the budget."""

    calls_per_s: float
    burst: int
    available: float
    taken: int
    delayed: int
    refused: int


class CallBudget:
    """Token bucket that hands out calls in the order of requests.

    Urgent calls go first. They are paid for by the calls after them, so that the calls
    in any window W are at most ``burst + URGENT_RESERVE + calls_per_s * W``.

    Parameters
    ----------
    calls_per_s : float
        Calls that are allowed in the long run.
    burst : int
        Calls that are allowed at once after a quiet time.
    """

    def __init__(
        self, calls_per_s: float = DEFAULT_CALLS_PER_S, burst: int = DEFAULT_BURST
    ) -> None:
        self._rate = calls_per_s
        self._burst = burst
        self._level = float(burst)
        self._filled_at = monotonic()
        self._taken = 0
        self._delayed = 0
        self._refused = 0

    @property
    def status(self) -> BudgetStatus:
        """Settings and counts."""
        self._fill()
        return BudgetStatus(
            self._rate,
            self._burst,
            round(self._level, 2),
            self._taken,
            self._delayed,
            self._refused,
        )

    async def take(self, deadline: float, urgent: bool = False) -> bool:
        """Take one call, waiting for it; False if none is left by the deadline."""
        self._fill()
        if urgent and self._level >= 1 - URGENT_RESERVE:
            self._level -= 1
            self._taken += 1
            return True
        wait_s = max(0.0, (1 - self._level) / self._rate)
        if monotonic() + wait_s >= deadline:
            self._refused += 1
            return False
        # The level may become negative: it then counts the calls that wait, so that
        # each later one waits longer.
        self._level -= 1
        self._taken += 1
        if wait_s > 0:
            self._delayed += 1
            await asyncio.sleep(wait_s)
        return True

    def _fill(self) -> None:
        now = monotonic()
        gained = (now - self._filled_at) * self._rate
        self._level = min(float(self._burst), self._level + gained)
        self._filled_at = now
