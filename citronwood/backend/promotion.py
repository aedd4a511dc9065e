"""Change of primary: suspicion, fencing, promotion and repair.

Safety rests on the terms alone, so any number of promoters may run at once; the rank
and the delays only keep them from disturbing each other.
"""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Iterable, Mapping
from time import monotonic
from typing import NamedTuple

from asyncmy.errors import MySQLError

from citronwood.backend.api import Position
from citronwood.backend.commit import is_acknowledged
from citronwood.backend.group import FRESH_S, GroupView
from citronwood.backend.host import Host
from citronwood.backend.member import (
    FENCED,
    PRIMARY,
    REPLICA,
    MemberControl,
    MemberStatus,
)
from citronwood.deadline import deadline_in, time_left
from citronwood.decisions import log_state
from citronwood.errors import BackendError, BackendUnavailableError, StaleTermError
from citronwood.tasks import cancel_tasks

log = logging.getLogger(__name__)

SUSPECT_AFTER_S = 0.45
PRIMARY_UNHEARD_MS = 400
CONFIRM_ALONE_AFTER_S = 3.0
# Longer than it takes a replica to be told again whom to follow, and to catch up.
CUT_OFF_AFTER_S = 3.0
RANK_DELAY_S = 0.3
# A promoter needs well under this time between its fence and its promote.
REPAIR_AFTER_S = 0.6
FENCE_S = 0.6
# How long a fenced majority waits for the remaining members to report as well.
FENCE_GRACE_S = 0.03
PROMOTE_S = 1.0
FOLLOW_S = 0.5
FOLLOW_AFTER_S = 0.3
FOLLOW_AGAIN_AFTER_S = 0.5
UNHEARD_FOLLOWER_MS = 1000
CHECK_EVERY_S = 0.05
# One of the connections to a replica may have stopped responding.
ASK_S = 0.5
RETRY_S = 0.2


class Change(NamedTuple):
    """A completed change of primary."""

    reason: str
    old_primary: str | None
    new_primary: str
    term: int


class Promoter:
    """Watches the primary of one group and replaces it when necessary.

    ``change_planned`` moves the primary off a leaving member.
    """

    def __init__(
        self,
        group_name: str,
        view: GroupView,
        controls: Mapping[str, MemberControl],
        host: Host,
        change_planned: Callable[[str, str], Awaitable[bool]],
    ) -> None:
        self._group_name = group_name
        self._view = view
        self._controls = controls
        self._rank = host.rank
        self._records = host.records
        self._metrics = host.metrics
        self._change_planned = change_planned
        self._task: asyncio.Task[None] | None = None
        self._lock = asyncio.Lock()
        self._asking: dict[str, asyncio.Task[MemberStatus]] = {}
        self._follow_sent: dict[str, float] = {}
        self._unheard_since: dict[str, float] = {}
        self._leaderless_since: float | None = None
        self._mark: tuple[Position, float] | None = None

    def start(self) -> None:
        """Start watching."""
        self._task = asyncio.create_task(self._run(), name="promoter")

    async def stop(self) -> None:
        """Stop watching; a change under way is abandoned."""
        await cancel_tasks([self._task, *self._asking.values()])

    async def _run(self) -> None:
        while True:
            await self._wait_for_trouble()
            try:
                await self._step()
            except Exception as error:
                # Whatever fails, the group must not be left without a watcher.
                expected = isinstance(error, BackendError | MySQLError)
                log.warning("group: watch failed: %s", error, exc_info=not expected)
                if self._leaderless_since is not None:
                    self._leaderless_since -= REPAIR_AFTER_S
                await asyncio.sleep(RETRY_S * random.uniform(0.5, 1.5))

    async def _wait_for_trouble(self) -> None:
        """Wait until there may be something to do.

        In a healthy group that is the time at which its primary could first be
        suspect; every status before it is looked at as it arrives.
        """
        primary = self._view.live_primary
        if primary is None or not self._is_healthy():
            await asyncio.sleep(CHECK_EVERY_S)
            return
        await self._view.wait_for(
            lambda: None if self._is_healthy() else True,
            primary.received_at + SUSPECT_AFTER_S,
        )

    def _is_healthy(self) -> bool:
        """Whether a primary responds, stays, and is followed by all that respond."""
        primary = self._view.live_primary
        return (
            primary is not None
            and not self._view.is_leaving(primary)
            and not any(
                _needs_primary(status, primary)
                for status in self._view.statuses
                if status.member != primary.member
            )
        )

    async def _step(self) -> None:
        reason = await self._confirm_reason()
        if reason is not None:
            await asyncio.sleep(self._rank() * RANK_DELAY_S)
            reason = await self._confirm_reason()
            if reason is not None:
                await self.change(reason)
            return
        if self._is_cut_off():
            await asyncio.sleep(self._rank() * RANK_DELAY_S)
            primary = self._view.primary
            if primary is not None and self._is_cut_off():
                await self.change("no majority receives its log", None, primary.member)
            return
        primary = self._view.live_primary
        if primary is not None:
            await self._repair_followers(primary)
            await self._move_off_leaving(primary)

    async def _confirm_reason(self) -> str | None:
        """Return a reason for a change, asking the replicas about a silent primary."""
        primary, reason = self._view.primary, self.find_reason()
        if reason is None and primary and primary.silent_s >= SUSPECT_AFTER_S:
            await self._ask_others(primary)
            reason = self.find_reason()
        return reason

    async def _ask_others(self, primary: MemberStatus) -> None:
        """Read the status of the other members, which are polled rarely."""
        for name, control in self._controls.items():
            running = self._asking.get(name)
            if name != primary.member and (running is None or running.done()):
                work = control.read_status(deadline_in(ASK_S))
                task = self._asking[name] = asyncio.create_task(work)
                task.add_done_callback(_consume)
        running_asks = [task for task in self._asking.values() if not task.done()]
        if running_asks:
            await asyncio.wait(running_asks, timeout=CHECK_EVERY_S)

    def find_reason(self) -> str | None:
        """Return why a change of primary is necessary now, or None."""
        primary = self._view.primary
        if primary is None:
            return self._find_leaderless_reason()
        self._leaderless_since = None
        if primary.silent_s < SUSPECT_AFTER_S:
            return None
        others = [
            status for status in self._view.statuses if status.member != primary.member
        ]
        unheard = sum(_has_lost_primary(status) for status in others)
        if unheard > (len(self._view.group.members) - 1) // 2:
            return "primary silent, confirmed by the other members"
        if primary.silent_s >= CONFIRM_ALONE_AFTER_S:
            return "primary silent for too long"
        return None

    def _find_leaderless_reason(self) -> str | None:
        responding = sum(status.silent_s < FRESH_S for status in self._view.statuses)
        if responding < self._view.majority:
            self._leaderless_since = None
            return None
        if self._leaderless_since is None:
            self._leaderless_since = monotonic()
        # Members that hear a primary prove that there is one; only this gateway has
        # not reached it yet.
        heard = any(_hears_primary(status) for status in self._view.statuses)
        limit = CONFIRM_ALONE_AFTER_S if heard else REPAIR_AFTER_S
        if monotonic() - self._leaderless_since < limit:
            return None
        return "no primary at the highest term"

    def _is_cut_off(self) -> bool:
        """Whether the primary answers, but its log has long reached no majority.

        The mark is a position of its log and the time at which it was seen.
        """
        primary, now = self._view.live_primary, monotonic()
        if primary is None:
            self._mark = None
            return False
        position = Position(primary.term, primary.received)
        if self._mark is None or self._mark[0].term != primary.term:
            self._mark = (position, now)
        elif is_acknowledged(self._view, primary.member, self._mark[0]):
            self._mark = (position, now)
        return now - self._mark[1] >= CUT_OFF_AFTER_S

    async def change(
        self, reason: str, target: str | None = None, avoid: str | None = None
    ) -> Change | None:
        """Replace the primary; None when another promoter was faster.

        ``target`` is preferred among the members with the longest log. ``avoid`` is
        not asked for its log, provided that the others form a majority.
        """
        async with self._lock:
            started = monotonic()
            old = self._view.last_primary
            term = self._view.highest_term + 1
            log_state(
                log,
                "primary_change",
                "started",
                f"group: changing the primary at term {term}: {reason}",
                group=self._group_name,
                reason=reason,
                old_primary=old.member if old else None,
                silent_ms=round(old.silent_s * 1000) if old else None,
                term=term,
            )
            self._mark = None
            try:
                chosen = await self._elect(term, target, avoid)
                await self._controls[chosen].promote(term, deadline_in(PROMOTE_S))
            except StaleTermError:
                log.info("group: another promoter uses term %s or a higher one", term)
                await self._read_statuses()
                return None
            await self._announce(chosen, term)
            change = Change(reason, old.member if old else None, chosen, term)
            self._record(change, monotonic() - started)
            return change

    async def _elect(self, term: int, target: str | None, avoid: str | None) -> str:
        """Fence a majority and return the member whose log is the longest."""
        controls = dict(self._controls)
        if avoid is not None and len(controls) > self._view.majority:
            controls.pop(avoid, None)
        fenced = await self._fence_majority(term, controls.values())
        longest = max(status.log_position for status in fenced)
        candidates = [s for s in fenced if s.log_position == longest]
        candidates.sort(
            key=lambda s: (s.member != target, self._view.is_leaving(s), s.member)
        )
        return candidates[0].member

    async def _fence_majority(
        self, term: int, controls: Iterable[MemberControl]
    ) -> list[MemberStatus]:
        deadline = deadline_in(FENCE_S)
        tasks = {
            asyncio.create_task(control.fence(term, deadline)) for control in controls
        }
        fenced: list[MemberStatus] = []
        pending = tasks
        while pending and time_left(deadline):
            done, pending = await asyncio.wait(
                pending,
                timeout=time_left(deadline),
                return_when=asyncio.FIRST_COMPLETED,
            )
            fenced.extend(_results(done))
            if len(fenced) >= self._view.majority:
                deadline = min(deadline, deadline_in(FENCE_GRACE_S))
        if len(fenced) < self._view.majority:
            await cancel_tasks(pending)
            _raise_stale(tasks)
            raise BackendUnavailableError("no majority could be fenced")
        # The members that have not answered are fenced in the background; whether they
        # are does not matter for safety.
        for task in pending:
            task.add_done_callback(_consume)
        return fenced

    async def _announce(self, primary: str, term: int) -> None:
        """Make the others follow; a silent one is told later by ``_step``."""
        controls = dict(self._controls)
        address = controls.pop(primary).address
        own = asyncio.create_task(
            self._controls[primary].read_status(deadline_in(FOLLOW_S))
        )
        followers = {
            asyncio.create_task(control.follow(term, address, deadline_in(FOLLOW_S)))
            for control in controls.values()
        }
        await asyncio.wait({own})
        _results({own})
        for task in followers:
            task.add_done_callback(_consume)

    async def _read_statuses(self) -> None:
        tasks = {
            asyncio.create_task(control.read_status(deadline_in(FOLLOW_S)))
            for control in self._controls.values()
        }
        await asyncio.wait(tasks)
        _results(tasks)

    async def _repair_followers(self, primary: MemberStatus) -> None:
        address = self._controls[primary.member].address
        for status in self._view.statuses:
            now, member = monotonic(), status.member
            if member == primary.member or not _needs_primary(status, primary):
                self._unheard_since.pop(member, None)
                continue
            # A member that has just begun to follow has not heard its primary yet.
            if now - self._unheard_since.setdefault(member, now) < FOLLOW_AFTER_S:
                continue
            if now - self._follow_sent.get(member, 0.0) < FOLLOW_AGAIN_AFTER_S:
                continue
            self._follow_sent[member] = now
            task = asyncio.create_task(
                self._controls[status.member].follow(
                    primary.term, address, deadline_in(FOLLOW_S)
                )
            )
            task.add_done_callback(_consume)

    async def _move_off_leaving(self, primary: MemberStatus) -> None:
        if not self._view.is_leaving(primary) or self._rank() != 0:
            return
        await self._ask_others(primary)
        replicas = [
            status
            for status in self._view.statuses
            if status.member != primary.member
            and status.silent_s < FRESH_S
            and not self._view.is_leaving(status)
        ]
        if replicas:
            target = max(replicas, key=lambda status: status.log_position)
            await self._change_planned(target.member, "primary is leaving")

    def _record(self, change: Change, duration_s: float) -> None:
        duration_ms = round(duration_s * 1000)
        inputs = dict(
            group=self._group_name,
            reason=change.reason,
            old_primary=change.old_primary,
            new_primary=change.new_primary,
            term=change.term,
            duration_ms=duration_ms,
        )
        message = (
            f"group: {change.new_primary} is primary at term {change.term}"
            f" after {duration_ms} ms"
        )
        log_state(log, "primary_change", "done", message, **inputs)
        self._metrics.count("group.primary_changes")
        self._records.add("primary_change", **inputs)


def _has_lost_primary(status: MemberStatus) -> bool:
    """Whether a member has reported just now that it does not hear the primary.

    The time since the report does not count: the member may have heard it meanwhile.
    """
    if status.silent_s >= FRESH_S or status.role == PRIMARY:
        return False
    heard = status.primary_heard_ms
    return heard is None or heard >= PRIMARY_UNHEARD_MS


def _hears_primary(status: MemberStatus) -> bool:
    heard = status.primary_heard_ms
    return (
        status.role == REPLICA
        and status.silent_s < FRESH_S
        and heard is not None
        and heard < PRIMARY_UNHEARD_MS
    )


def _needs_primary(status: MemberStatus, primary: MemberStatus) -> bool:
    """Whether a member must be told whom to follow."""
    if status.silent_s >= FRESH_S or status.term > primary.term:
        return False
    heard = status.primary_heard_ms
    return (
        status.term < primary.term
        or status.role in (FENCED, PRIMARY)
        or heard is None
        or heard >= UNHEARD_FOLLOWER_MS
    )


def _results(
    tasks: Iterable[asyncio.Task[MemberStatus]],
) -> list[MemberStatus]:
    found = []
    for task in tasks:
        if task.cancelled():
            continue
        error = task.exception()
        if error is None:
            found.append(task.result())
        elif not isinstance(error, BackendError | MySQLError):
            raise error
    return found


def _raise_stale(tasks: Iterable[asyncio.Task[MemberStatus]]) -> None:
    for task in tasks:
        if task.done() and not task.cancelled():
            error = task.exception()
            if isinstance(error, StaleTermError):
                raise error


def _consume(task: asyncio.Task[object]) -> None:
    """Fetch the result of a task that nobody waits for."""
    if not task.cancelled() and task.exception() is not None:
        log.debug("group: member command failed: %s", task.exception())
