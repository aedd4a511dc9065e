"""Limit on the requests to a cold backend server.

Load pattern: a server that has just started is slow at first, for example after the
evacuation of its failure domain. With the full load at once its requests pile up, and
it stays slow for longer. Until it is warm, it gets a limited number of requests/s from
all VMs together. The owner of the server, where nearly all requests arrive, has the
whole limit; where VMs use the server without forwarding, each has an equal share.
"""

import math
from time import monotonic

# The limit for a group is its configured rate, multiplied by the first, plus the second
# in requests/s. Both are from the platform's rules.
COLD_FACTOR = 1.5
COLD_SLACK_PER_S = 5.0
# Part of the limit that is used. With the burst below, no second has more requests than
# the limit.
USED_SHARE = 0.8
# Requests may come earlier than evenly spaced by this time.
BURST_S = 0.05
# Retry delay at a VM without a part of the limit. The owner has it, or gets it soon.
NO_SHARE_RETRY_S = 0.5


def cold_rate(cold_per_s: float, vm_count: int, is_owner: bool | None) -> float:
    """Return how many requests/s this VM may send to a cold server.

    ``cold_per_s`` is the group's configured rate; without one there is no limit.
    ``is_owner`` is None where all VMs use the server.
    """
    if cold_per_s <= 0:
        return math.inf
    limit = (cold_per_s * COLD_FACTOR + COLD_SLACK_PER_S) * USED_SHARE
    if is_owner is None:
        return limit / max(1, vm_count)
    return limit if is_owner else 0.0


class WarmUp:
    """Spaces the requests to one server while it is cold."""

    def __init__(self) -> None:
        self._rate = math.inf
        self._next_at = -math.inf

    def set_rate(self, rate: float) -> None:
        """Change the number of requests/s; infinite for a warm server."""
        self._rate = rate

    def take(self) -> None:
        """Count a request that must not be refused."""
        if 0 < self._rate < math.inf:
            self._next_at = max(self._next_at, monotonic()) + 1 / self._rate

    def delay_s(self) -> float:
        """Return 0 and count a request if it may be sent now, else the retry delay."""
        if self._rate <= 0:
            return NO_SHARE_RETRY_S
        delay_s = self._next_at - monotonic() - BURST_S
        if delay_s > 0 and self._rate < math.inf:
            return delay_s
        self.take()
        return 0.0
