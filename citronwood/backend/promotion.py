"""Failure detection and failover of the primary of a database group.

Terms alone make a failover safe, so several gateways may attempt one at the same time.
The delays by rank only reduce the number of attempts that collide.
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
from citronwood.backend.group import STATUS_FRESH_S, GroupView
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

# A primary that is silent for this time is suspect: the other members are asked whether
# they miss its heartbeats too.
SUSPECT_AFTER_S = 0.45
PRIMARY_HEARTBEAT_TIMEOUT_MS = 400
# A failover starts after this time even if the other members do not confirm that the
# primary has failed.
UNCONFIRMED_FAILOVER_AFTER_S = 3.0
# A primary whose log no majority receives is replaced after this time. It is longer
# than it takes to send a replica another follow command and let it catch up.
REPLICATION_STALL_TIMEOUT_S = 3.0
# Delay of an attempt for each gateway that ranks before this one.
RANK_DELAY_S = 0.3
# A failover starts after this time without a primary, unless members still receive
# heartbeats from one. A running failover needs well under this time between its fence
# and promote commands, so no second one starts.
NO_PRIMARY_TIMEOUT_S = 0.6
FENCE_TIMEOUT_S = 0.6
# How long to wait for the other members once a majority is fenced.
FENCE_GRACE_S = 0.03
PROMOTE_TIMEOUT_S = 1.0
FOLLOW_TIMEOUT_S = 0.5
FOLLOW_GRACE_S = 0.3
FOLLOW_RETRY_S = 0.5
FOLLOWER_HEARTBEAT_TIMEOUT_MS = 1000
CHECK_INTERVAL_S = 0.05
# Limits a status query; the connection to a replica may have stopped responding.
STATUS_TIMEOUT_S = 0.5
RETRY_DELAY_S = 0.2


class Change(NamedTuple):
    """Record of a completed change of primary."""

    reason: str
    old_primary: str | None
    new_primary: str
    term: int


class Promoter:
    """Monitors the primary of one group and fails over when necessary.

    ``change_planned`` makes another member primary while the old one still responds;
    it is called when the primary is leaving.
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
        self._rank = host.promotion_rank
        self._records = host.records
        self._metrics = host.metrics
        self._change_planned = change_planned
        self._task: asyncio.Task[None] | None = None
        self._lock = asyncio.Lock()
        self._status_tasks: dict[str, asyncio.Task[MemberStatus]] = {}
        self._follow_sent_at: dict[str, float] = {}
        self._needs_follow_since: dict[str, float] = {}
        self._no_primary_since: float | None = None
        self._checkpoint: tuple[Position, float] | None = None

    def start(self) -> None:
        """Start monitoring the primary."""
        self._task = asyncio.create_task(self._run(), name="promoter")

    async def stop(self) -> None:
        """Stop monitoring; a running failover is cancelled."""
        await cancel_tasks([self._task, *self._status_tasks.values()])

    async def _run(self) -> None:
        while True:
            await self._wait_until_unhealthy()
            try:
                await self._check_group()
            except Exception as error:
                # An unexpected error must not end the monitoring.
                expected = isinstance(error, BackendError | MySQLError)
                log.warning(
                    "group: monitoring failed: %s", error, exc_info=not expected
                )
                # A failed attempt counts as NO_PRIMARY_TIMEOUT_S without a primary, so
                # the next one does not wait for this time again.
                if self._no_primary_since is not None:
                    self._no_primary_since -= NO_PRIMARY_TIMEOUT_S
                await asyncio.sleep(RETRY_DELAY_S * random.uniform(0.5, 1.5))

    async def _wait_until_unhealthy(self) -> None:
        """Wait until the group may need a failover or a repair.

        In a healthy group, wait until a status shows a problem or the primary has been
        silent long enough to be suspect; otherwise for ``CHECK_INTERVAL_S``.
        """
        primary = self._view.live_primary
        if primary is None or not self._is_healthy():
            await asyncio.sleep(CHECK_INTERVAL_S)
            return
        await self._view.wait_for(
            lambda: None if self._is_healthy() else True,
            primary.received_at + SUSPECT_AFTER_S,
        )

    def _is_healthy(self) -> bool:
        """Whether a primary responds, is not leaving, and live members follow it."""
        primary = self._view.live_primary
        return (
            primary is not None
            and not self._view.is_leaving(primary)
            and not any(
                _needs_follow(status, primary)
                for status in self._view.statuses
                if status.member != primary.member
            )
        )

    async def _check_group(self) -> None:
        reason = await self._confirm_reason()
        if reason is not None:
            await asyncio.sleep(self._rank() * RANK_DELAY_S)
            reason = await self._confirm_reason()
            if reason is not None:
                await self.change(reason)
            return
        if self._is_replication_stalled():
            await asyncio.sleep(self._rank() * RANK_DELAY_S)
            primary = self._view.primary
            if primary is not None and self._is_replication_stalled():
                await self.change("no majority receives its log", None, primary.member)
            return
        primary = self._view.live_primary
        if primary is not None:
            await self._repair_followers(primary)
            await self._replace_leaving_primary(primary)

    async def _confirm_reason(self) -> str | None:
        """Return a reason for a failover; query the replicas of a suspect primary."""
        primary, reason = self._view.primary, self.find_reason()
        if reason is None and primary and primary.silent_s >= SUSPECT_AFTER_S:
            await self._poll_others(primary)
            reason = self.find_reason()
        return reason

    async def _poll_others(self, primary: MemberStatus) -> None:
        """Query the status of the other members, because replicas are polled rarely."""
        for name, control in self._controls.items():
            previous = self._status_tasks.get(name)
            if name != primary.member and (previous is None or previous.done()):
                query = control.read_status(deadline_in(STATUS_TIMEOUT_S))
                task = self._status_tasks[name] = asyncio.create_task(query)
                task.add_done_callback(_discard_result)
        pending_tasks = [
            task for task in self._status_tasks.values() if not task.done()
        ]
        if pending_tasks:
            await asyncio.wait(pending_tasks, timeout=CHECK_INTERVAL_S)

    def find_reason(self) -> str | None:
        """Return why a failover is necessary now; None if it is not."""
        primary = self._view.primary
        if primary is None:
            return self._find_no_primary_reason()
        self._no_primary_since = None
        if primary.silent_s < SUSPECT_AFTER_S:
            return None
        others = [
            status for status in self._view.statuses if status.member != primary.member
        ]
        missing_heartbeats = sum(_misses_heartbeats(status) for status in others)
        if missing_heartbeats > (len(self._view.group.members) - 1) // 2:
            return "primary silent, confirmed by the other members"
        if primary.silent_s >= UNCONFIRMED_FAILOVER_AFTER_S:
            return "primary silent for too long"
        return None

    def _find_no_primary_reason(self) -> str | None:
        responding = sum(
            status.silent_s < STATUS_FRESH_S for status in self._view.statuses
        )
        if responding < self._view.majority:
            self._no_primary_since = None
            return None
        if self._no_primary_since is None:
            self._no_primary_since = monotonic()
        # Members that receive heartbeats prove that a primary exists, but this gateway
        # has not reached it yet.
        primary_exists = any(
            _receives_heartbeats(status) for status in self._view.statuses
        )
        timeout_s = (
            UNCONFIRMED_FAILOVER_AFTER_S if primary_exists else NO_PRIMARY_TIMEOUT_S
        )
        if monotonic() - self._no_primary_since < timeout_s:
            return None
        return "no primary at the highest term"

    def _is_replication_stalled(self) -> bool:
        """Whether the primary responds but no majority receives its log.

        The checkpoint is a log position and the time at which it was read. It advances
        once a majority holds the entry at that position. Replication has stalled if it
        has not advanced for ``REPLICATION_STALL_TIMEOUT_S``.
        """
        primary, now = self._view.live_primary, monotonic()
        if primary is None:
            self._checkpoint = None
            return False
        position = Position(primary.term, primary.received)
        if self._checkpoint is None or self._checkpoint[0].term != primary.term:
            self._checkpoint = (position, now)
        elif is_acknowledged(self._view, primary.member, self._checkpoint[0]):
            self._checkpoint = (position, now)
        return now - self._checkpoint[1] >= REPLICATION_STALL_TIMEOUT_S

    async def change(
        self, reason: str, target: str | None = None, excluded: str | None = None
    ) -> Change | None:
        """Replace the primary; None if another promoter used the term or a higher one.

        Among the members with the longest log, ``target`` is preferred. ``excluded`` is
        not fenced or elected if the other members form a majority. Raises
        ``BackendUnavailableError`` if no majority can be fenced.
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
            self._checkpoint = None
            try:
                chosen = await self._elect(term, target, excluded)
                await self._controls[chosen].promote(
                    term, deadline_in(PROMOTE_TIMEOUT_S)
                )
            except StaleTermError:
                log.info("group: another promoter used term %s or a higher one", term)
                await self._read_statuses()
                return None
            await self._redirect_followers(chosen, term)
            change = Change(reason, old.member if old else None, chosen, term)
            self._record(change, monotonic() - started)
            return change

    async def _elect(self, term: int, target: str | None, excluded: str | None) -> str:
        """Fence a majority and return a fenced member with the longest log."""
        controls = dict(self._controls)
        if excluded is not None and len(controls) > self._view.majority:
            controls.pop(excluded, None)
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
        deadline = deadline_in(FENCE_TIMEOUT_S)
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
            fenced.extend(_successful_results(done))
            if len(fenced) >= self._view.majority:
                deadline = min(deadline, deadline_in(FENCE_GRACE_S))
        if len(fenced) < self._view.majority:
            await cancel_tasks(pending)
            _raise_stale_term(tasks)
            raise BackendUnavailableError("could not fence a majority of the members")
        # The other fence commands finish in the background; safety does not depend on
        # them.
        for task in pending:
            task.add_done_callback(_discard_result)
        return fenced

    async def _redirect_followers(self, primary: str, term: int) -> None:
        """Make the other members follow a new primary, and query its status.

        The follow commands finish in the background. ``_check_group`` repeats them for
        members that do not respond now.
        """
        controls = dict(self._controls)
        address = controls.pop(primary).address
        status_task = asyncio.create_task(
            self._controls[primary].read_status(deadline_in(FOLLOW_TIMEOUT_S))
        )
        followers = {
            asyncio.create_task(
                control.follow(term, address, deadline_in(FOLLOW_TIMEOUT_S))
            )
            for control in controls.values()
        }
        await asyncio.wait({status_task})
        _successful_results({status_task})
        for task in followers:
            task.add_done_callback(_discard_result)

    async def _read_statuses(self) -> None:
        tasks = {
            asyncio.create_task(control.read_status(deadline_in(FOLLOW_TIMEOUT_S)))
            for control in self._controls.values()
        }
        await asyncio.wait(tasks)
        _successful_results(tasks)

    async def _repair_followers(self, primary: MemberStatus) -> None:
        address = self._controls[primary.member].address
        for status in self._view.statuses:
            now, member = monotonic(), status.member
            if member == primary.member or not _needs_follow(status, primary):
                self._needs_follow_since.pop(member, None)
                continue
            # A member that has just begun to follow has not received a heartbeat yet.
            if now - self._needs_follow_since.setdefault(member, now) < FOLLOW_GRACE_S:
                continue
            if now - self._follow_sent_at.get(member, 0.0) < FOLLOW_RETRY_S:
                continue
            self._follow_sent_at[member] = now
            task = asyncio.create_task(
                self._controls[status.member].follow(
                    primary.term, address, deadline_in(FOLLOW_TIMEOUT_S)
                )
            )
            task.add_done_callback(_discard_result)

    async def _replace_leaving_primary(self, primary: MemberStatus) -> None:
        if not self._view.is_leaving(primary) or self._rank() != 0:
            return
        await self._poll_others(primary)
        replicas = [
            status
            for status in self._view.statuses
            if status.member != primary.member
            and status.silent_s < STATUS_FRESH_S
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


def _misses_heartbeats(status: MemberStatus) -> bool:
    """Whether a recent status shows that a member misses the primary's heartbeats.

    The age of the status is not added to that of the last heartbeat, because the member
    may have received another heartbeat since.
    """
    if status.silent_s >= STATUS_FRESH_S or status.role == PRIMARY:
        return False
    heartbeat_age_ms = status.primary_heard_ms
    return heartbeat_age_ms is None or heartbeat_age_ms >= PRIMARY_HEARTBEAT_TIMEOUT_MS


def _receives_heartbeats(status: MemberStatus) -> bool:
    heartbeat_age_ms = status.primary_heard_ms
    return (
        status.role == REPLICA
        and status.silent_s < STATUS_FRESH_S
        and heartbeat_age_ms is not None
        and heartbeat_age_ms < PRIMARY_HEARTBEAT_TIMEOUT_MS
    )


def _needs_follow(status: MemberStatus, primary: MemberStatus) -> bool:
    """Whether a member must be sent a follow command."""
    if status.silent_s >= STATUS_FRESH_S or status.term > primary.term:
        return False
    heartbeat_age_ms = status.primary_heard_ms
    return (
        status.term < primary.term
        or status.role in (FENCED, PRIMARY)
        or heartbeat_age_ms is None
        or heartbeat_age_ms >= FOLLOWER_HEARTBEAT_TIMEOUT_MS
    )


def _successful_results(
    tasks: Iterable[asyncio.Task[MemberStatus]],
) -> list[MemberStatus]:
    """Return the results of the tasks that succeeded; raise unexpected errors."""
    results = []
    for task in tasks:
        if task.cancelled():
            continue
        error = task.exception()
        if error is None:
            results.append(task.result())
        elif not isinstance(error, BackendError | MySQLError):
            raise error
    return results


def _raise_stale_term(tasks: Iterable[asyncio.Task[MemberStatus]]) -> None:
    for task in tasks:
        if task.done() and not task.cancelled():
            error = task.exception()
            if isinstance(error, StaleTermError):
                raise error


def _discard_result(task: asyncio.Task[object]) -> None:
    """Retrieve the exception of a background task, so that asyncio logs no warning."""
    if not task.cancelled() and task.exception() is not None:
        log.debug("group: member command failed: %s", task.exception())
