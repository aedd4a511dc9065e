"""Backoff for failed logins.

Only the error for a wrong key is delayed, not the check itself, so that legitimate
clients of the account are not slowed, even from the same address.
"""

import asyncio
from collections import OrderedDict
from time import monotonic
from typing import NamedTuple

INITIAL_DELAY_S = 0.05
MAX_DELAY_S = 2.0
RESET_AFTER_S = 60.0
MAX_TRACKED_PAIRS = 4096


class _Failures(NamedTuple):
    number: int
    last_at: float


class LoginBackoff:
    """Exponential backoff of failed logins by peer address and account.

    Above ``MAX_TRACKED_PAIRS``, the pair that failed least recently is dropped.
    """

    def __init__(self) -> None:
        self._failures: OrderedDict[tuple[str, str], _Failures] = OrderedDict()

    async def delay(self, peer: str, account: str) -> None:
        """Count a failed login and wait for its backoff."""
        await asyncio.sleep(self.record_failure(peer, account))

    def record_failure(self, peer: str, account: str) -> float:
        """Count a failed login and return its backoff in seconds."""
        key = (peer, account)
        now = monotonic()
        previous = self._failures.pop(key, None)
        if previous is None or now - previous.last_at > RESET_AFTER_S:
            previous = _Failures(0, now)
        # The number is bounded, so that the shift below stays small.
        self._failures[key] = _Failures(min(previous.number + 1, 32), now)
        if len(self._failures) > MAX_TRACKED_PAIRS:
            self._failures.popitem(last=False)
        return min(MAX_DELAY_S, INITIAL_DELAY_S * (1 << previous.number))
