"""Start-time fair queueing of client accounts for a limited number of slots."""

import asyncio
import heapq
from collections.abc import Callable
from itertools import count
from time import monotonic

from citronwood.backend.forecast import WaitForecast
from citronwood.deadline import deadline_in, has_passed, time_left, timeout_at
from citronwood.errors import OverloadedError

# Above this number of accounts, finish tags that the virtual time has reached are
# removed. They no longer affect the order.
PRUNE_ABOVE_ACCOUNTS = 1000
# Interval at which a waiting request calls ``still_wanted``.
WANTED_CHECK_INTERVAL_S = 0.5


class FairQueue:
    """Grant slots to waiting accounts in proportion to their weights.

    The virtual time is the largest start tag of the requests granted so far. The start
    tag of a request is the larger of the virtual time and the account's last finish
    tag. The finish tag is the start tag plus one over the account's weight. The waiting
    request with the smallest start tag is granted the next slot, so an account that
    exceeds its share delays only itself.
    """

    def __init__(self, capacity: int, weight: Callable[[str], float]) -> None:
        self._capacity = capacity
        self._weight = weight
        self._in_use = 0
        self._virtual_time = 0.0
        self._finish_tags: dict[str, float] = {}
        self._waiting: list[tuple[float, int, asyncio.Future[None]]] = []
        # Entries of the heap whose request has stopped waiting.
        self._abandoned = 0
        self._forecast = WaitForecast()
        self._arrival_numbers = count()

    @property
    def capacity(self) -> int:
        """Number of slots."""
        return self._capacity

    @property
    def in_use(self) -> int:
        """Number of slots in use."""
        return self._in_use

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting) - self._abandoned

    def backlog(self, account: str) -> float:
        """Return how far an account's next start tag exceeds the virtual time.

        The unit is one request at weight 1. At 0, only requests with the same start tag
        that already wait are granted a slot earlier.
        """
        if self._in_use < self._capacity and not self._waiting:
            return 0.0
        return max(0.0, self._finish_tags.get(account, 0.0) - self._virtual_time)

    def resize(self, capacity: int) -> None:
        """Change the number of slots; slots in use are not revoked."""
        self._capacity = capacity
        self._grant_waiting()

    async def acquire(
        self,
        account: str,
        deadline: float,
        always_queue: bool = True,
        still_wanted: Callable[[], bool] | None = None,
    ) -> None:
        """Take a slot, or raise ``TimeoutError`` at the deadline.

        Unless ``always_queue`` is set, ``OverloadedError`` is raised at once if there
        is a forecast of the wait and it exceeds the time left (see forecast.py). During
        the wait ``still_wanted`` is called every ``WANTED_CHECK_INTERVAL_S``;
        ``TimeoutError`` is raised once it returns False.
        """
        if self._in_use < self._capacity and not self._waiting:
            self._grant_slot(self._assign_start_tag(account))
            return
        weight = self._weight(account)
        if not always_queue:
            excess_s = self._forecast.excess_s(
                account, weight, time_left(deadline), self.waiting
            )
            if excess_s is not None:
                raise OverloadedError(excess_s)
        start_tag = self._assign_start_tag(account)
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (start_tag, next(self._arrival_numbers), future))
        self._forecast.add_waiting(account, weight)
        self._grant_waiting()
        try:
            await _wait_for_grant(future, deadline, still_wanted)
        except BaseException:
            if future.done() and not future.cancelled():
                # The slot was granted just before the wait failed; give it back.
                self.release()
            else:
                self._abandoned += 1
            future.cancel()
            raise
        finally:
            self._forecast.remove_waiting(account)

    def occupy_slot(self) -> None:
        """Take a slot without waiting, for an idle connection while it is closed.

        The number of slots in use may exceed the capacity.
        """
        self._in_use += 1

    def release(self) -> None:
        """Return a slot."""
        self._in_use -= 1
        self._grant_waiting()

    def _assign_start_tag(self, account: str) -> float:
        start_tag = max(self._virtual_time, self._finish_tags.get(account, 0.0))
        self._finish_tags[account] = start_tag + 1.0 / max(self._weight(account), 1e-6)
        if len(self._finish_tags) > PRUNE_ABOVE_ACCOUNTS:
            self._prune_finish_tags()
        return start_tag

    def _prune_finish_tags(self) -> None:
        virtual_time = self._virtual_time
        self._finish_tags = {
            name: tag for name, tag in self._finish_tags.items() if tag > virtual_time
        }

    def _grant_slot(self, start_tag: float) -> None:
        self._in_use += 1
        self._virtual_time = max(self._virtual_time, start_tag)

    def _grant_waiting(self) -> None:
        while self._waiting and self._in_use < self._capacity:
            start_tag, _, future = heapq.heappop(self._waiting)
            if future.done():
                self._abandoned -= 1
                continue
            self._grant_slot(start_tag)
            self._forecast.record_grant(monotonic())
            future.set_result(None)


async def _wait_for_grant(
    future: asyncio.Future[None],
    deadline: float,
    still_wanted: Callable[[], bool] | None,
) -> None:
    """Wait for the grant, or raise ``TimeoutError``.

    The request keeps its position in the queue when ``still_wanted`` is called.
    """
    if still_wanted is None:
        async with timeout_at(deadline):
            await future
        return
    while not future.done():
        if has_passed(deadline) or not still_wanted():
            raise TimeoutError
        next_check_at = min(deadline, deadline_in(WANTED_CHECK_INTERVAL_S))
        await asyncio.wait({future}, timeout=time_left(next_check_at))
