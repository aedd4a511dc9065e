"""A database group as a gateway knows it."""

import asyncio
from collections.abc import Callable
from math import inf
from time import monotonic
from typing import TypeVar

from citronwood.backend.member import (
    POLL_SLACK_S,
    PRIMARY,
    PRIMARY_POLL_S,
    REPLICA,
    REPLICA_POLL_S,
    UNSETTLED_POLL_S,
    MemberStatus,
)
from citronwood.config.model import Group
from citronwood.deadline import has_passed, time_left

T = TypeVar("T")

# Two polls of the primary; a member with an older status gets no new work.
FRESH_S = 0.3
# A replica with a status up to this age is asked again before it gets work; an older
# one has missed its poll.
OVERDUE_S = REPLICA_POLL_S + POLL_SLACK_S
# Replicas hear their primary several times in this time.
HEARD_MS = 300


class GroupView:
    """Last known status of each member, and waiters for changes.

    ``refresh`` asks all members for their status now; it does not wait for them.
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
        """The primary of the highest term; None while a change is under way."""
        term, found = -1, None
        for status in self._statuses.values():
            if status.term > term:
                term, found = status.term, None
            if found is None and status.role == PRIMARY and status.term == term:
                found = status
        return found

    @property
    def last_primary(self) -> MemberStatus | None:
        """The primary of the highest term that had one."""
        found = [s for s in self._statuses.values() if s.role == PRIMARY]
        return max(found, key=lambda status: status.term, default=None)

    @property
    def live_primary(self) -> MemberStatus | None:
        """The primary if it has answered recently."""
        status = self.primary
        return status if status is not None and status.silent_s < FRESH_S else None

    def status(self, name: str) -> MemberStatus | None:
        """Return the last status of a member."""
        return self._statuses.get(name)

    def term_age_s(self, term: int) -> float:
        """Return the time since a majority was known to be at a term.

        Until then no other primary could have had a write acknowledged, so data that
        was complete in this term was the newest. A primary that is cut off, and the
        replicas cut off with it, know nothing of that themselves.
        """
        asked = [s.asked_at for s in self._statuses.values() if s.term == term]
        if len(asked) < self.majority:
            return inf
        return monotonic() - sorted(asked, reverse=True)[self.majority - 1]

    def note_answer(self, name: str) -> None:
        """Take note that a member has just answered a statement."""
        self._answered_at[name] = monotonic()

    def silent_s(self, status: MemberStatus) -> float:
        """Return the time since the member last answered a poll or a statement."""
        answered_at = self._answered_at.get(status.member, 0.0)
        return monotonic() - max(status.received_at, answered_at)

    def poll_s(self, status: MemberStatus) -> float:
        """Return how long a member may wait with its next status if nothing changes."""
        primary = self.live_primary
        if primary is None or status.term != primary.term:
            return UNSETTLED_POLL_S
        if status.member == primary.member:
            return PRIMARY_POLL_S
        heard = status.primary_heard_ms
        follows = status.role == REPLICA and heard is not None and heard < HEARD_MS
        return REPLICA_POLL_S if follows else UNSETTLED_POLL_S

    def is_leaving(self, status: MemberStatus) -> bool:
        """Whether the member or the operator says that it is leaving."""
        member = self.group.members.get(status.member)
        return status.leaving or member is None or member.leaving

    def publish(self, status: MemberStatus) -> None:
        """Store a status and wake the waiters.

        The two control connections of a member may deliver rows out of order; a row
        of a lower term is certainly older, because a member's term never decreases.
        """
        if status.member not in self.group.members:
            return
        known = self._statuses.get(status.member)
        if known is not None and status.term < known.term:
            return
        self._statuses[status.member] = status
        self.wake()

    def forget(self, name: str) -> None:
        """Drop the status of a member that another server replaces."""
        self._statuses.pop(name, None)
        self._answered_at.pop(name, None)

    def update(self, group: Group) -> None:
        """Adopt a changed definition."""
        self.group = group
        for name in [name for name in self._statuses if name not in group.members]:
            del self._statuses[name]
        self.wake()

    def wake(self) -> None:
        """Let all waiters check again."""
        for waiter in list(self._waiters):
            waiter.check()

    async def wait_for(
        self, check: Callable[[], T | None], deadline: float
    ) -> T | None:
        """Return the first result of ``check`` that is not None.

        It is evaluated after every status; None is returned at the deadline.
        """
        while True:
            found = check()
            if found is not None or has_passed(deadline):
                return found
            await self._wait_until_met(check, deadline)

    async def _wait_until_met(
        self, check: Callable[[], object | None], deadline: float
    ) -> None:
        """Wait for a wake-up at which the check has a result, or the deadline.

        Most wake-ups change nothing for most waiters, so the check runs in ``wake``
        and a task is resumed only when it can go on.
        """
        loop = asyncio.get_running_loop()
        waiter = _Waiter(check, loop.create_future())
        timer = loop.call_later(time_left(deadline), waiter.finish)
        self._waiters.add(waiter)
        try:
            await waiter.done
        finally:
            timer.cancel()
            self._waiters.discard(waiter)


class _Waiter:
    """A task that waits until its check has a result."""

    def __init__(
        self, check: Callable[[], object | None], done: asyncio.Future[None]
    ) -> None:
        self._check = check
        self.done = done

    def check(self) -> None:
        """Resume the task if the check has a result or fails."""
        try:
            met = self._check() is not None
        except Exception:
            # The task evaluates the check again and receives the exception.
            met = True
        if met:
            self.finish()

    def finish(self) -> None:
        """Resume the task."""
        if not self.done.done():
            self.done.set_result(None)
