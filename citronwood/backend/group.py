"""A gateway's view of its database group: the last status of each member."""

import asyncio
from collections.abc import Callable
from math import inf
from time import monotonic
from typing import TypeVar

from citronwood.backend.member import (
    FAILOVER_LONG_POLL_S,
    POLL_TIMEOUT_MARGIN_S,
    PRIMARY,
    PRIMARY_LONG_POLL_S,
    REPLICA,
    REPLICA_LONG_POLL_S,
    MemberStatus,
)
from citronwood.config.model import Group
from citronwood.deadline import has_passed, time_left

T = TypeVar("T")

# The length of two polls of the primary. A member whose status is older than this gets
# no new requests. For a replica, the answer to a read counts like a new status.
STATUS_FRESH_S = 0.3
# A replica whose status is stale but no older than this is queried again before it gets
# requests. One with an older status has missed a poll.
STATUS_OVERDUE_S = REPLICA_LONG_POLL_S + POLL_TIMEOUT_MARGIN_S
# Covers several heartbeats of the primary to its replicas. A replica that has received
# none for this time is polled as often as during a failover.
HEARTBEAT_TIMEOUT_MS = 300


class GroupView:
    """Last status of each member, and the tasks that wait for a change.

    ``refresh`` starts a status query of all members and does not wait for the answers.
    """

    def __init__(
        self, group: Group, refresh: Callable[[], None] = lambda: None
    ) -> None:
        self._statuses: dict[str, MemberStatus] = {}
        self._answered_at: dict[str, float] = {}
        self._waiters: set[_Waiter] = set()
        self.group = group
        self.refresh = refresh

    @property
    def statuses(self) -> list[MemberStatus]:
        """Last status of every member that has ever answered."""
        return list(self._statuses.values())

    @property
    def majority(self) -> int:
        """Number of members that form a majority."""
        return len(self.group.members) // 2 + 1

    @property
    def highest_term(self) -> int:
        """Highest term that any member has reported."""
        return max((status.term for status in self._statuses.values()), default=0)

    @property
    def primary(self) -> MemberStatus | None:
        """The primary of the highest term; None during a change of primary."""
        term, primary_status = -1, None
        for status in self._statuses.values():
            if status.term > term:
                term, primary_status = status.term, None
            if (
                primary_status is None
                and status.role == PRIMARY
                and status.term == term
            ):
                primary_status = status
        return primary_status

    @property
    def last_primary(self) -> MemberStatus | None:
        """The primary of the highest term for which one is known."""
        primaries = [s for s in self._statuses.values() if s.role == PRIMARY]
        return max(primaries, key=lambda status: status.term, default=None)

    @property
    def live_primary(self) -> MemberStatus | None:
        """The primary if its status is fresh."""
        status = self.primary
        return (
            status if status is not None and status.silent_s < STATUS_FRESH_S else None
        )

    def status(self, name: str) -> MemberStatus | None:
        """Return the last status of a member."""
        return self._statuses.get(name)

    def term_age_s(self, term: int) -> float:
        """Return the time since a majority of the members was known to be at a term.

        Up to that moment no primary of a later term could have had a write
        acknowledged, so data that was complete in this term was current. A primary that
        a partition separates from the majority, and the replicas on its side, cannot
        detect themselves that there is a later term.
        """
        asked = [s.asked_at for s in self._statuses.values() if s.term == term]
        if len(asked) < self.majority:
            return inf
        return monotonic() - sorted(asked, reverse=True)[self.majority - 1]

    def note_answer(self, name: str) -> None:
        """Record that a member has just answered a statement."""
        self._answered_at[name] = monotonic()

    def silent_s(self, status: MemberStatus) -> float:
        """Return the time since the member last answered a poll or a statement."""
        answered_at = self._answered_at.get(status.member, 0.0)
        return monotonic() - max(status.received_at, answered_at)

    def long_poll_s(self, status: MemberStatus) -> float:
        """Return how long a member may delay its next status if it does not change."""
        primary = self.live_primary
        if primary is None or status.term != primary.term:
            return FAILOVER_LONG_POLL_S
        if status.member == primary.member:
            return PRIMARY_LONG_POLL_S
        heartbeat_age_ms = status.primary_heard_ms
        follows = (
            status.role == REPLICA
            and heartbeat_age_ms is not None
            and heartbeat_age_ms < HEARTBEAT_TIMEOUT_MS
        )
        return REPLICA_LONG_POLL_S if follows else FAILOVER_LONG_POLL_S

    def is_leaving(self, status: MemberStatus) -> bool:
        """Whether a member is leaving, by its own status or the configuration.

        A member that the configuration no longer contains counts as leaving.
        """
        member = self.group.members.get(status.member)
        return status.leaving or member is None or member.leaving

    def publish(self, status: MemberStatus) -> None:
        """Store a status and wake the waiters.

        The two control connections of a member may deliver rows out of order. A row of
        a lower term is dropped as stale, because a member's term never decreases.
        """
        if status.member not in self.group.members:
            return
        previous = self._statuses.get(status.member)
        if previous is not None and status.term < previous.term:
            return
        self._statuses[status.member] = status
        self.wake()

    def forget(self, name: str) -> None:
        """Drop the status of a member that moved to another server or database."""
        self._statuses.pop(name, None)
        self._answered_at.pop(name, None)

    def update(self, group: Group) -> None:
        """Use a changed definition of the group."""
        self.group = group
        for name in [name for name in self._statuses if name not in group.members]:
            del self._statuses[name]
        self.wake()

    def wake(self) -> None:
        """Make all waiters evaluate their checks again."""
        for waiter in list(self._waiters):
            waiter.check()

    async def wait_for(
        self, check: Callable[[], T | None], deadline: float
    ) -> T | None:
        """Return the first result of ``check`` that is not None; None at the deadline.

        ``check`` is evaluated at once, after every status and by ``wake``.
        """
        while True:
            result = check()
            if result is not None or has_passed(deadline):
                return result
            await self._wait_until_met(check, deadline)

    async def _wait_until_met(
        self, check: Callable[[], object | None], deadline: float
    ) -> None:
        """Wait until the check has a result or the deadline has passed.

        Most wake-ups change nothing for most waiters. ``wake`` therefore runs the check
        itself and resumes the task only if there is a result.
        """
        loop = asyncio.get_running_loop()
        waiter = _Waiter(check, loop.create_future())
        timer = loop.call_later(time_left(deadline), waiter.finish)
        self._waiters.add(waiter)
        try:
            await waiter.future
        finally:
            timer.cancel()
            self._waiters.discard(waiter)


class _Waiter:
    """A task that waits until its check has a result."""

    def __init__(
        self, check: Callable[[], object | None], future: asyncio.Future[None]
    ) -> None:
        self._check = check
        self.future = future

    def check(self) -> None:
        """Resume the task if the check has a result or raises an exception."""
        try:
            is_met = self._check() is not None
        except Exception:
            # The task evaluates the check again and receives the exception.
            is_met = True
        if is_met:
            self.finish()

    def finish(self) -> None:
        """Resume the task."""
        if not self.future.done():
            self.future.set_result(None)
