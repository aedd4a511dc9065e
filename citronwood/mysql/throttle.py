"""Delay of failed logins.

Only the answer to a wrong key is delayed, never the check itself, so that rightful
callers of the account are not slowed, even behind the same address.
"""

import asyncio
from collections import OrderedDict
from time import monotonic
from typing import NamedTuple

FIRST_DELAY_S = 0.05
MAX_DELAY_S = 2.0
FORGET_AFTER_S = 60.0
MAX_ENTRIES = 4096


class _Failures(NamedTuple):
    number: int
    last: float


class LoginThrottle:
    """Failed logins by peer address and account, bounded in memory."""

    def __init__(self) -> None:
        self._failures: OrderedDict[tuple[str, str], _Failures] = OrderedDict()

    async def delay(self, peer: str, account: str) -> None:
        """Count a failed login and wait before it is answered."""
        await asyncio.sleep(self.record_failure(peer, account))

    def record_failure(self, peer: str, account: str) -> float:
        """Count a failed login and return the seconds to wait before the answer."""
        key = (peer, account)
        now = monotonic()
        known = self._failures.pop(key, None)
        if known is None or now - known.last > FORGET_AFTER_S:
            known = _Failures(0, now)
        self._failures[key] = _Failures(min(known.number + 1, 32), now)
        if len(self._failures) > MAX_ENTRIES:
            self._failures.popitem(last=False)
        return min(MAX_DELAY_S, FIRST_DELAY_S * (1 << known.number))
