"""Routing of reads to members.

The floor of a read is the log position that a member must have applied to serve it.
"""

import asyncio
from itertools import count
from time import monotonic
from typing import NamedTuple

from asyncmy.errors import MySQLError

from citronwood.backend.api import Position
from citronwood.backend.group import STATUS_FRESH_S, STATUS_OVERDUE_S, GroupView
from citronwood.backend.member import PRIMARY, MemberControl, MemberStatus
from citronwood.backend.pool import Pool
from citronwood.deadline import deadline_in, has_passed, time_left, timeout_at
from citronwood.errors import BackendError

# How long a read waits for a replica to catch up before it may use the primary. With an
# apply lag of 50 ms and 10 % writes, a timeout of 20 ms sent 15 % of the reads to the
# primary: the first two reads after each write timed out before a replica had applied
# it.
CATCH_UP_TIMEOUT_S = 0.06
FLOOR_ROUND_TIMEOUT_S = 0.4
FLOOR_RETRY_DELAY_S = 0.02


class ReadRequirements(NamedTuple):
    """Requirements that a member must satisfy to serve a read of a client account."""

    floor: Position | None
    max_age_ms: int | None
    account: str = ""


def may_serve(status: MemberStatus, requirements: ReadRequirements) -> bool:
    """Whether the member's last status satisfies the requirements of a read."""
    floor = requirements.floor
    # A tuple is cheaper than building ``applied_position`` for each read.
    if floor is not None and (status.applied_term, status.applied) < floor:
        return False
    if requirements.max_age_ms is None or status.role == PRIMARY:
        return floor is not None or status.role == PRIMARY
    age = status.read_age_ms
    return age is not None and age < requirements.max_age_ms


class FloorReader:
    """Reads floors for new sessions from a majority of the members.

    The highest log position of a majority covers all acknowledged writes. A request
    waits for a round of status queries that starts after its arrival. All requests that
    arrive during a round share the next one.
    """

    def __init__(self, view: GroupView, controls: dict[str, MemberControl]) -> None:
        self._view = view
        self._controls = controls
        self._current_round: asyncio.Task[Position | None] | None = None
        self._next_round: asyncio.Task[Position | None] | None = None

    async def read(self, deadline: float) -> Position | None:
        """Return a floor; None if no majority answered before the deadline."""
        while not has_passed(deadline):
            if self._next_round is None:
                self._next_round = asyncio.create_task(
                    self._read_majority(self._current_round)
                )
            try:
                async with timeout_at(deadline):
                    floor = await asyncio.shield(self._next_round)
            except TimeoutError:
                return None
            if floor is not None:
                return floor
            # A round fails immediately while there are no command connections, so it is
            # repeated after a pause.
            await asyncio.sleep(min(FLOOR_RETRY_DELAY_S, time_left(deadline)))
        return None

    def refresh(self) -> None:
        """Query the status of all members, unless a round is running or scheduled."""
        if self._next_round is None and (
            self._current_round is None or self._current_round.done()
        ):
            self._next_round = asyncio.create_task(self._read_majority(None))

    async def _read_majority(
        self, previous: asyncio.Task[Position | None] | None
    ) -> Position | None:
        if previous is not None:
            await asyncio.wait({previous})
        self._current_round, self._next_round = self._next_round, None
        deadline = deadline_in(FLOOR_ROUND_TIMEOUT_S)
        pending = {
            asyncio.create_task(control.read_status(deadline))
            for control in self._controls.values()
        }
        positions: list[Position] = []
        while pending and len(positions) < self._view.majority:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                error = task.exception()
                if error is None:
                    positions.append(task.result().log_position)
                elif not isinstance(error, BackendError | MySQLError):
                    raise error
        for task in pending:
            task.add_done_callback(_discard_result)
        return max(positions) if len(positions) >= self._view.majority else None


def _discard_result(task: asyncio.Task[MemberStatus]) -> None:
    if not task.cancelled():
        task.exception()


class ReadRouter:
    """Chooses members for reads by status and load."""

    def __init__(self, view: GroupView, pools: dict[str, Pool]) -> None:
        self._view = view
        self._pools = pools
        self._choice_counter = count(1)
        self._last_chosen: dict[str, int] = {}

    async def choose(
        self, requirements: ReadRequirements, deadline: float, excluded: frozenset[str]
    ) -> MemberStatus | None:
        """Return a member that can serve a read; None if there is none in time.

        A replica that catches up shortly is preferred to the primary.
        """

        def find_replica() -> MemberStatus | None:
            return self._find_replica(requirements, excluded)

        def find_any() -> MemberStatus | None:
            return find_replica() or self._find_primary(requirements, excluded)

        chosen = find_replica()
        if chosen is None and self._needs_refresh(requirements, excluded):
            self._view.refresh()
        if chosen is None and self._has_replica(excluded):
            catch_up_deadline = min(deadline, monotonic() + CATCH_UP_TIMEOUT_S)
            chosen = await self._view.wait_for(find_replica, catch_up_deadline)
        if chosen is None:
            chosen = await self._view.wait_for(find_any, deadline)
        if chosen is not None:
            self._last_chosen[chosen.member] = next(self._choice_counter)
        return chosen

    def is_worth_waiting_for(self, member: str, requirements: ReadRequirements) -> bool:
        """Whether a read should keep waiting for a connection to a member."""
        status = self._view.status(member)
        return (
            status is not None
            and self._is_usable(status, frozenset(), STATUS_OVERDUE_S)
            and self.serves(status, requirements)
        )

    def serves(self, status: MemberStatus, requirements: ReadRequirements) -> bool:
        """Whether a member can serve a read, by its status and the group's.

        A read with a maximum age also requires that a majority was recently known to be
        at the member's term.
        """
        if not may_serve(status, requirements):
            return False
        if requirements.max_age_ms is None:
            return True
        return self._view.term_age_s(status.term) * 1000 < requirements.max_age_ms

    def _needs_refresh(
        self, requirements: ReadRequirements, excluded: frozenset[str]
    ) -> bool:
        """Whether newer statuses could show a replica that can serve."""
        return requirements.max_age_ms is not None or any(
            self._view.silent_s(status) >= STATUS_FRESH_S
            for status in self._view.statuses
            if status.role != PRIMARY
            and self._is_usable(status, excluded, STATUS_OVERDUE_S)
        )

    def _is_usable(
        self,
        status: MemberStatus,
        excluded: frozenset[str],
        max_silent_s: float = STATUS_FRESH_S,
    ) -> bool:
        return (
            self._view.silent_s(status) < max_silent_s
            and status.member not in excluded
            and status.member in self._pools
            and not self._view.is_leaving(status)
        )

    def _has_replica(self, excluded: frozenset[str]) -> bool:
        return any(
            status.role != PRIMARY
            and self._is_usable(status, excluded, STATUS_OVERDUE_S)
            for status in self._view.statuses
        )

    def _find_replica(
        self, requirements: ReadRequirements, excluded: frozenset[str]
    ) -> MemberStatus | None:
        best, best_load = None, (0.0, 0, 0)
        for status in self._view.statuses:
            if status.role == PRIMARY or not self._is_usable(status, excluded):
                continue
            if not self.serves(status, requirements):
                continue
            load = self._load(status, requirements.account)
            if best is None or load < best_load:
                best, best_load = status, load
        return best

    def _load(self, status: MemberStatus, account: str) -> tuple[float, int, int]:
        """Return the sort key: backlog of the account, all requests, last choice."""
        # The account's own backlog comes first. With the number of requests alone, an
        # account that floods one member would steer other accounts to another member,
        # even if all of their own requests already wait there.
        pool = self._pools[status.member]
        # Callers that send one read at a time cause no load between reads. Without the
        # last choice as a tie-breaker they would all use the same replica.
        last_chosen = self._last_chosen.get(status.member, 0)
        return pool.backlog(account), pool.in_use + pool.waiting, last_chosen

    def _find_primary(
        self, requirements: ReadRequirements, excluded: frozenset[str]
    ) -> MemberStatus | None:
        status = self._view.live_primary
        if status is None or status.member in excluded:
            return None
        return status if self.serves(status, requirements) else None
