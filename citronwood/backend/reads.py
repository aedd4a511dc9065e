"""Choice of a member for a read."""

import asyncio
from itertools import count
from time import monotonic
from typing import NamedTuple

from asyncmy.errors import MySQLError

from citronwood.backend.api import Position
from citronwood.backend.group import FRESH_S, OVERDUE_S, GroupView
from citronwood.backend.member import PRIMARY, MemberControl, MemberStatus
from citronwood.backend.pool import Pool
from citronwood.deadline import deadline_in, has_passed, time_left, until
from citronwood.errors import BackendError

# At 50 ms of apply lag and 10 % writes, a wait of 20 ms left 15 % of the reads to the
# primary, because the first two reads after a write gave up before the lag was over.
CATCH_UP_S = 0.06
FLOOR_ROUND_S = 0.4
FLOOR_PAUSE_S = 0.02


class ReadNeed(NamedTuple):
    """What a member must satisfy to serve a read of a client account."""

    floor: Position | None
    max_age_ms: int | None
    account: str = ""


def may_serve(status: MemberStatus, need: ReadNeed) -> bool:
    """Whether the member's last known state satisfies a read."""
    floor = need.floor
    # Compares what ``applied_position`` holds without making one for each read.
    if floor is not None and (status.applied_term, status.applied) < floor:
        return False
    if need.max_age_ms is None or status.role == PRIMARY:
        return floor is not None or status.role == PRIMARY
    age = status.read_age_ms
    return age is not None and age < need.max_age_ms


class FloorReader:
    """Reads floors for new sessions from a majority.

    A request waits for a round that starts after it arrived; all requests that arrive
    during a round share the next one.
    """

    def __init__(self, view: GroupView, controls: dict[str, MemberControl]) -> None:
        self._view = view
        self._controls = controls
        self._running: asyncio.Task[Position | None] | None = None
        self._next: asyncio.Task[Position | None] | None = None

    async def read(self, deadline: float) -> Position | None:
        """Return a floor, or None when no majority answered before the deadline."""
        while not has_passed(deadline):
            if self._next is None:
                self._next = asyncio.create_task(self._round(self._running))
            try:
                async with until(deadline):
                    floor = await asyncio.shield(self._next)
            except TimeoutError:
                return None
            if floor is not None:
                return floor
            # A round fails at once while there are no connections.
            await asyncio.sleep(min(FLOOR_PAUSE_S, time_left(deadline)))
        return None

    def refresh(self) -> None:
        """Read the status of all members unless that is under way."""
        if self._next is None and (self._running is None or self._running.done()):
            self._next = asyncio.create_task(self._round(None))

    async def _round(
        self, previous: asyncio.Task[Position | None] | None
    ) -> Position | None:
        if previous is not None:
            await asyncio.wait({previous})
        self._running, self._next = self._next, None
        deadline = deadline_in(FLOOR_ROUND_S)
        pending = {
            asyncio.create_task(control.read_status(deadline))
            for control in self._controls.values()
        }
        found: list[Position] = []
        while pending and len(found) < self._view.majority:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                error = task.exception()
                if error is None:
                    found.append(task.result().log_position)
                elif not isinstance(error, BackendError | MySQLError):
                    raise error
        for task in pending:
            task.add_done_callback(_consume)
        return max(found) if len(found) >= self._view.majority else None


def _consume(task: asyncio.Task[MemberStatus]) -> None:
    if not task.cancelled():
        task.exception()


class ReadRouter:
    """Chooses members for reads by their status and load."""

    def __init__(self, view: GroupView, pools: dict[str, Pool]) -> None:
        self._view = view
        self._pools = pools
        self._turns = count(1)
        self._last_turn: dict[str, int] = {}

    async def choose(
        self, need: ReadNeed, deadline: float, excluded: frozenset[str]
    ) -> MemberStatus | None:
        """Return a member, waiting for one to catch up if none can serve now."""

        def find_replica() -> MemberStatus | None:
            return self._find_replica(need, excluded)

        def find_any() -> MemberStatus | None:
            return find_replica() or self._find_primary(need, excluded)

        found = find_replica()
        if found is None and self._is_outdated(need, excluded):
            self._view.refresh()
        if found is None and self._has_replica(excluded):
            short = min(deadline, monotonic() + CATCH_UP_S)
            found = await self._view.wait_for(find_replica, short)
        if found is None:
            found = await self._view.wait_for(find_any, deadline)
        if found is not None:
            self._last_turn[found.member] = next(self._turns)
        return found

    def still_serves(self, member: str, need: ReadNeed) -> bool:
        """Whether a member is worth waiting for."""
        status = self._view.status(member)
        return (
            status is not None
            and self._usable(status, frozenset(), OVERDUE_S)
            and self.serves(status, need)
        )

    def serves(self, status: MemberStatus, need: ReadNeed) -> bool:
        """Whether a member satisfies a read by all that is known of the group."""
        if not may_serve(status, need):
            return False
        if need.max_age_ms is None:
            return True
        return self._view.term_age_s(status.term) * 1000 < need.max_age_ms

    def _is_outdated(self, need: ReadNeed, excluded: frozenset[str]) -> bool:
        """Whether newer statuses may show a replica that can serve."""
        return need.max_age_ms is not None or any(
            self._view.silent_s(status) >= FRESH_S
            for status in self._view.statuses
            if status.role != PRIMARY and self._usable(status, excluded, OVERDUE_S)
        )

    def _usable(
        self, status: MemberStatus, excluded: frozenset[str], limit_s: float = FRESH_S
    ) -> bool:
        return (
            self._view.silent_s(status) < limit_s
            and status.member not in excluded
            and status.member in self._pools
            and not self._view.is_leaving(status)
        )

    def _has_replica(self, excluded: frozenset[str]) -> bool:
        return any(
            status.role != PRIMARY and self._usable(status, excluded, OVERDUE_S)
            for status in self._view.statuses
        )

    def _find_replica(
        self, need: ReadNeed, excluded: frozenset[str]
    ) -> MemberStatus | None:
        best, best_load = None, (0.0, 0, 0)
        for status in self._view.statuses:
            if status.role == PRIMARY or not self._usable(status, excluded):
                continue
            if not self.serves(status, need):
                continue
            load = self._load(status, need.account)
            if best is None or load < best_load:
                best, best_load = status, load
        return best

    def _load(self, status: MemberStatus, account: str) -> tuple[float, int, int]:
        """Return what is compared: backlog of the account, requests, last turn."""
        # By requests alone, an account would follow the queue of another one that
        # floods, and meet its own requests at one member while another has none.
        pool = self._pools[status.member]
        # Callers with one read at a time leave no load behind, so that without turns
        # all of them would use the replica that was heard first.
        turn = self._last_turn.get(status.member, 0)
        return pool.backlog(account), pool.in_use + pool.waiting, turn

    def _find_primary(
        self, need: ReadNeed, excluded: frozenset[str]
    ) -> MemberStatus | None:
        status = self._view.live_primary
        if status is None or status.member in excluded:
            return None
        return status if self.serves(status, need) else None
