"""Order of the statements that wait for the same server.

Load pattern: callers send more than a server can run, in bursts of one database or of a
few accounts. Statements of a higher priority go first; within a priority, those that
can still meet their target latency; then the accounts take turns, so that an account at
several times its usual rate delays only itself.
"""

import heapq
from asyncio import Future
from collections import Counter
from collections.abc import Callable, Iterator
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citronwood.relay.admission import Permit

# One in this number of grants goes to the request with the earliest deadline, so that a
# lower priority is served also while a higher one alone exceeds the capacity.
DEADLINE_GRANT_INTERVAL = 8
# Above this number of accounts, finish tags that the virtual time has reached are
# removed. They no longer affect the order.
PRUNE_ABOVE_ACCOUNTS = 1000
# A heap of this size is rid of requests that no longer wait, when its size has doubled.
MIN_COMPACTED_SIZE = 64


class WaitingRequest:
    """Request of a slot. ``granted`` is completed when it gets one or is refused."""

    def __init__(
        self,
        account: str,
        priority: int,
        target_at: float,
        deadline: float,
        granted: "Future[Permit]",
    ) -> None:
        self.account = account
        self.priority = priority
        self.target_at = target_at
        self.deadline = deadline
        self.granted = granted
        self.start_tag = 0.0
        self.number = 0
        self.is_waiting = True
        # Set once the target latency cannot be met any more.
        self.is_late = False


class _RequestHeap:
    """Heap of requests that removes those that are no members any more when needed."""

    def __init__(self, is_member: Callable[[WaitingRequest], bool]) -> None:
        self._is_member = is_member
        self._entries: list[tuple[float, int, WaitingRequest]] = []
        self._compact_at = MIN_COMPACTED_SIZE

    def push(self, key: float, request: WaitingRequest) -> None:
        """Add a request."""
        heapq.heappush(self._entries, (key, request.number, request))
        if len(self._entries) > self._compact_at:
            self._entries = [
                entry for entry in self._entries if self._is_member(entry[2])
            ]
            heapq.heapify(self._entries)
            self._compact_at = max(MIN_COMPACTED_SIZE, 2 * len(self._entries))

    def first(self) -> WaitingRequest | None:
        """Return the member with the smallest key."""
        while self._entries and not self._is_member(self._entries[0][2]):
            heapq.heappop(self._entries)
        return self._entries[0][2] if self._entries else None


class _PriorityLevel:
    """Requests of one priority, in fair order by account.

    Start tags are as in ``citronwood.backend.queue.FairQueue``, with equal weights.
    """

    def __init__(self) -> None:
        # Requests by account: those that can meet their target, and the others.
        self.timely: Counter[str] = Counter()
        self.late: Counter[str] = Counter()
        self._virtual_time = 0.0
        self._finish_tags: dict[str, float] = {}
        self._timely_heap = _RequestHeap(_is_timely)
        self._target_heap = _RequestHeap(_is_timely)
        self._late_heap = _RequestHeap(_is_waiting)

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return self.timely.total() + self.late.total()

    def tag(self, request: WaitingRequest) -> None:
        """Set the start tag of a request."""
        tags, account = self._finish_tags, request.account
        request.start_tag = max(self._virtual_time, tags.get(account, 0.0))
        tags[account] = request.start_tag + 1.0
        if len(tags) > PRUNE_ABOVE_ACCOUNTS:
            self._finish_tags = {
                name: tag for name, tag in tags.items() if tag > self._virtual_time
            }

    def add(self, request: WaitingRequest) -> None:
        """Add a request that has its start tag."""
        self.timely[request.account] += 1
        self._timely_heap.push(request.start_tag, request)
        self._target_heap.push(request.target_at, request)

    def remove(self, request: WaitingRequest) -> None:
        """Stop counting a request, which is no longer a member of the heaps."""
        _decrement(self.late if request.is_late else self.timely, request.account)

    def note_grant(self, request: WaitingRequest) -> None:
        """Advance the virtual time to the start tag of a granted request."""
        self._virtual_time = max(self._virtual_time, request.start_tag)

    def first(self, earliest_end: float) -> WaitingRequest | None:
        """Return the next request."""
        self.update_late(earliest_end)
        return self._timely_heap.first() or self._late_heap.first()

    def update_late(self, earliest_end: float) -> None:
        """Mark the requests as late whose target is before this time."""
        while (request := self._target_heap.first()) is not None:
            if request.target_at >= earliest_end:
                return
            request.is_late = True
            self.late[request.account] += 1
            _decrement(self.timely, request.account)
            self._late_heap.push(request.start_tag, request)

    def ahead_of(self, account: str, is_late: bool) -> int:
        """Return how many requests would be granted before another one."""
        if is_late:
            return self.timely.total() + _turns_before(self.late, account)
        return _turns_before(self.timely, account)


class AdmissionOrder:
    """Requests that wait for a slot of one server, and which of them is next."""

    def __init__(self) -> None:
        self._levels: dict[int, _PriorityLevel] = {}
        self._by_deadline = _RequestHeap(_is_waiting)
        self._numbers = count()
        self._granted = 0

    def waiting_by_priority(self) -> dict[int, int]:
        """Return the number of waiting requests of each priority."""
        return {
            priority: level.waiting for priority, level in sorted(self._levels.items())
        }

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return sum(level.waiting for level in self._levels.values())

    def timely(self, priority: int) -> Counter[str]:
        """Return the waiting requests that can meet their target, by account."""
        return self._level(priority).timely

    def ahead_of(
        self, account: str, priority: int, is_late: bool, earliest_end: float
    ) -> int:
        """Return how many waiting requests would be granted before another one.

        ``earliest_end`` is as in ``pop``.
        """
        ahead = 0
        for other, level in self._levels.items():
            if other < priority:
                ahead += level.waiting
            elif other == priority:
                level.update_late(earliest_end)
                ahead += level.ahead_of(account, is_late)
        return ahead

    def grant_now(self, request: WaitingRequest) -> None:
        """Count a request that is granted a slot without waiting."""
        level = self._level(request.priority)
        level.tag(request)
        level.note_grant(request)
        request.is_waiting = False

    def add(self, request: WaitingRequest) -> None:
        """Add a request that has to wait."""
        request.number = next(self._numbers)
        level = self._level(request.priority)
        level.tag(request)
        level.add(request)
        self._by_deadline.push(request.deadline, request)

    def remove(self, request: WaitingRequest) -> None:
        """Remove a request that was granted, refused or given up, if it still waits."""
        if request.is_waiting:
            request.is_waiting = False
            self._levels[request.priority].remove(request)

    def pop_hopeless(self, latest_end: float) -> Iterator[WaitingRequest]:
        """Remove and yield the requests whose deadline is before a time."""
        while (request := self._by_deadline.first()) is not None:
            if request.deadline >= latest_end:
                return
            self.remove(request)
            yield request

    def pop(self, earliest_end: float) -> WaitingRequest | None:
        """Remove and return the request that is granted the next slot.

        By the earliest deadline, a priority is chosen and not a request: that one is
        mostly late and of an account that sends too much, and would take the slot of
        one that can meet its target.
        ``earliest_end`` is the time at which a statement that starts now would end.
        """
        self._granted += 1
        if self._granted % DEADLINE_GRANT_INTERVAL == 0:
            earliest = self._by_deadline.first()
            levels = [] if earliest is None else [self._level(earliest.priority)]
        else:
            levels = [level for _, level in sorted(self._levels.items())]
        for level in levels:
            request = level.first(earliest_end)
            if request is not None:
                self.remove(request)
                level.note_grant(request)
                return request
        return None

    def pop_all(self) -> Iterator[WaitingRequest]:
        """Remove and yield all requests."""
        while (request := self._by_deadline.first()) is not None:
            self.remove(request)
            yield request

    def _level(self, priority: int) -> _PriorityLevel:
        level = self._levels.get(priority)
        if level is None:
            level = self._levels[priority] = _PriorityLevel()
        return level


def _turns_before(waiting: Counter[str], account: str) -> int:
    """Return how many requests go before another one while the accounts take turns."""
    turn = waiting[account] + 1
    return sum(min(turn, number) for number in waiting.values())


def _decrement(counter: Counter[str], account: str) -> None:
    counter[account] -= 1
    if not counter[account]:
        del counter[account]


def _is_waiting(request: WaitingRequest) -> bool:
    return request.is_waiting


def _is_timely(request: WaitingRequest) -> bool:
    return request.is_waiting and not request.is_late
