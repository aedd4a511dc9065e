"""Choice and promotion of a server that takes over from a group's primary.

No VM uses the group's primary meanwhile. Without ``sync_replicas``, the old primary
steps down if it answers, and a server is promoted when it has received the old
primary's whole log, or after a time limit the most advanced one. Where replicas
acknowledge commits, a server is promoted only when it is known to have all of them, and
the old primary leads until then, so that others can receive its log.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import NamedTuple, Protocol

from citronwood.deadline import deadline_in
from citronwood.decisions import log_state
from citronwood.errors import NotLeaderError
from citronwood.metrics import Metrics
from citronwood.relay.clock import now
from citronwood.relay.holders import (
    Holder,
    Report,
    awaited_servers,
    is_log_kept,
    new_holders,
)
from citronwood.relay.leadership import Leadership
from citronwood.relay.model import BackendServer, Position
from citronwood.relay.probes import STATUS_TIMEOUT_S, Probe, Probes
from citronwood.relay.servers import Servers
from citronwood.relay.successor import (
    Candidate,
    Evidence,
    choose_successor,
    has_all_commits,
)
from citronwood.relay.view import GroupState, PrimaryView

log = logging.getLogger(__name__)

# A server that gave no status but answered this VM within this time, for example that
# it is busy, does not count as silent.
RECENT_ANSWER_S = 0.8
# Time for a replica to receive the rest of the old primary's log.
CATCH_UP_TIMEOUT_S = 1.0
# After this time without another server to promote, the old primary is a candidate
# again.
OLD_PRIMARY_EXCLUSION_S = 3.0
PROMOTE_CALL_TIMEOUT_S = 1.0
# Time for a promoted server to report itself as primary.
PROMOTION_TIMEOUT_S = 3.0
POLL_INTERVAL_S = 0.05
RETRY_INTERVAL_S = 0.2
# The promote call must end this long before this VM's lease as leader does.
LEADERSHIP_MARGIN_S = 0.1
STEP_DOWN_TIMEOUT_S = 8.0
# Promotions in one change: of a draining server with the longest log, then of another.
MAX_PROMOTIONS = 2
WAIT_LOG_INTERVAL_S = 5.0


class Promotion(Protocol):
    """Platform call that promotes a backend server to primary."""

    async def __call__(
        self, group: str, server: str, holder: str, fence: int, deadline: float
    ) -> bool:
        """Return whether the server was promoted; False when it cannot be.

        ``holder`` and ``fence`` are the leader's name and fencing token. Raises
        ``PlatformUnavailableError`` when the outcome is unknown.
        """
        ...


class NewestTerm(NamedTuple):
    """Newest term that the servers of a group know.

    ``primary`` is the server that leads it, empty if none says so. ``is_complete``
    tells whether all listed servers have answered.
    """

    term: int
    primary: str
    is_complete: bool


class _Answer(NamedTuple):
    """Server that has answered, and its status."""

    server: BackendServer
    probe: Probe

    @property
    def report(self) -> Report:
        """End of the server's log."""
        return Report(self.server, self.probe.status.received)

    @property
    def holder(self) -> Holder:
        """Record of the server."""
        return Holder(self.server.started_at, self.probe.status.received)


class Succession:
    """Promotes servers while this VM leads, and shows for which servers that waits."""

    def __init__(
        self,
        name: str,
        leadership: Leadership,
        view: PrimaryView,
        servers: Servers,
        probes: Probes,
        promote: Promotion,
        sync_replicas: Callable[[str], int],
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._leadership = leadership
        self._view = view
        self._servers = servers
        self._probes = probes
        self._call_promote = promote
        self._sync_replicas = sync_replicas
        self._metrics = metrics
        self._awaited: dict[str, list[str]] = {}
        self._wait_logged_at: dict[str, float] = {}
        self._step_down_tasks: set[asyncio.Task[None]] = set()

    async def promote_lasting(self, group: str, change: GroupState) -> GroupState:
        """Promote a server that is not about to leave; return the group's new state.

        A draining server that has received more of the log than the others is promoted
        first, so that the others can receive the rest from it. No statement is sent to
        it, because the group stays blocked until its successor leads.
        """
        try:
            return await self._promote_lasting(group, change)
        finally:
            self._note_awaited(group, [])

    async def reason_to_leave(self, group: str, primary: str) -> str | None:
        """Return why another server has to become the primary; None if it may stay.

        A primary in an evacuated domain is worse than any server elsewhere, and a
        draining one is worse than one that lasts. Servers that have begun to drain
        earlier will leave earlier and are no better.
        """
        if not self._servers.is_draining(primary):
            return None
        others = self._servers.others_of_group(group, primary)
        if self._servers.is_evacuated(primary):
            outside = [other.id for other in others if not other.evacuated]
            if await self._has_answering(outside):
                return "its failure domain is evacuated"
            return None
        lasting = [other.id for other in others if not other.draining]
        return "it is draining" if await self._has_answering(lasting) else None

    async def _has_answering(self, servers: list[str]) -> bool:
        """Whether one of the servers answers."""
        await asyncio.gather(
            *(
                self._probes.status(server, deadline_in(STATUS_TIMEOUT_S))
                for server in servers
            )
        )
        # A server without a free slot answers, but reports no status.
        return any(
            self._probes.answered_within(server, RECENT_ANSWER_S) for server in servers
        )

    async def newest_term(self, group: str, change: GroupState) -> NewestTerm:
        """Return the newest term that any server of an uncertain group knows.

        Servers that do not answer are waited for a while, because one that was promoted
        after the copy of the store was made may be among them.
        """
        started_at = now()
        while True:
            probed = await self._probe_group(group, _without_step_down(change))
            term = max(
                (answer.probe.status.term for answer in probed), default=change.term
            )
            leading = _newest_primary(probed, term - 1)
            primary = "" if leading is None else leading.server.id
            is_complete = len(probed) == len(self._servers.of_group(group)) > 0
            timeout_s = RECENT_ANSWER_S if primary else OLD_PRIMARY_EXCLUSION_S
            if is_complete or now() >= started_at + timeout_s:
                return NewestTerm(term, primary, is_complete)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _promote_lasting(self, group: str, change: GroupState) -> GroupState:
        # The primary of an uncertain group is kept if it leads the newest term.
        replaced = _without_step_down(change) if change.uncertain else change
        promoted = await self._promote_once(group, change, replaced)
        for _ in range(MAX_PROMOTIONS - 1):
            primary, term = promoted.server.id, promoted.probe.status.term
            reason = await self.reason_to_leave(group, primary)
            if reason is None:
                break
            log_state(
                log,
                "primary_change",
                "continued",
                f"group: {group}: {primary} leads until its successor has its log, "
                f"because {reason}",
                group=group,
                term=term,
            )
            holders = {**change.holders, primary: promoted.holder}
            replaced = change._replace(primary=primary, term=term, holders=holders)
            promoted = await self._promote_once(group, change, replaced)
        return self._led_by(group, change, promoted)

    async def adopt(self, group: str, change: GroupState) -> GroupState | None:
        """Return the new state of an uncertain group whose primary still leads."""
        probed = await self._probe_group(group, _without_step_down(change))
        leading = _newest_primary(probed, change.term - 1)
        if leading is None or leading.server.id != change.primary:
            return None
        return self._led_by(group, change, leading)

    def _led_by(self, group: str, change: GroupState, primary: _Answer) -> GroupState:
        """Return a group's state after a change."""
        new = GroupState(
            primary.server.id, primary.probe.status.term, False, change.change
        )
        if not self._sync_replicas(group):
            return new
        holders = new_holders(primary.report, self._servers.of_group(group))
        return new._replace(holders=holders, began_at=primary.report.received)

    async def _promote_once(
        self, group: str, change: GroupState, replaced: GroupState
    ) -> _Answer:
        """Return the server that an earlier attempt promoted, or promote one."""
        probed = await self._probe_group(group, replaced)
        promoted = _newest_primary(probed, replaced.term)
        if promoted is not None:
            return promoted
        return await self._promote_successor(group, change, replaced)

    async def _probe_group(self, group: str, current: GroupState) -> list[_Answer]:
        servers = self._servers.of_group(group)
        probes = await asyncio.gather(
            *(self._status_in_change(member.id, current) for member in servers)
        )
        return [
            _Answer(member, probe)
            for member, probe in zip(servers, probes, strict=True)
            if probe
        ]

    async def _status_in_change(self, server: str, current: GroupState) -> Probe | None:
        """Return a server's status, also while all of its slots are in use.

        A status request takes a slot. An order to step down takes none and is answered
        with the status as well; it has an effect only on a primary that is replaced.
        """
        probe = await self._probes.status(server, deadline_in(STATUS_TIMEOUT_S))
        if probe is None and self._probes.answered_within(server, RECENT_ANSWER_S):
            probe = await self._probes.step_down(
                server, current.term + 1, deadline_in(STATUS_TIMEOUT_S)
            )
        return probe

    async def _promote_successor(
        self, group: str, change: GroupState, replaced: GroupState
    ) -> _Answer:
        """Promote the most advanced server that has all acknowledged commits.

        ``replaced`` names the primary to replace and its term. In a change that goes on
        after a first promotion, that is not the primary which ``change`` names.
        """
        old_position = None
        if not self._sync_replicas(group):
            old_position = await self._step_down_old_primary(replaced)
        elif replaced.primary != change.primary:
            old_position = replaced.holders[replaced.primary].received
        has_stepped_down = False
        catch_up_until = now() + CATCH_UP_TIMEOUT_S
        excluded_until = now() + OLD_PRIMARY_EXCLUSION_S
        rejected: set[str] = set()
        while True:
            probed = await self._probe_group(group, replaced)
            promoted = _newest_primary(probed, replaced.term)
            if promoted is not None:
                return promoted
            old = _answer_of(replaced.primary, probed)
            leads = old is not None and old.probe.status.is_primary
            if old is not None and self._sync_replicas(group):
                if is_log_kept(old.report, replaced.holders, replaced.primary):
                    old_position = old.report.received
            # One that is about to leave only leads until its successor has its log.
            is_excluded = now() < excluded_until or (
                leads
                and len(probed) > 1
                and self._sync_replicas(group) > 0
                and self._servers.is_draining(replaced.primary)
            )
            chosen = choose_successor(
                Candidate(answer.server, answer.report.received)
                for answer in probed
                if answer.server.id not in rejected
                and not answer.server.evacuated
                and (answer.server.id != replaced.primary or not is_excluded)
            )
            evidence = self._evidence(group, change, old_position, probed)
            is_safe = chosen is not None and has_all_commits(chosen.received, evidence)
            awaited = []
            if not is_safe and evidence.sync_replicas:
                awaited = self._awaited_servers(group, change, probed)
            self._note_awaited(group, awaited)
            if chosen is not None:
                is_behind = old_position is not None and chosen.received < old_position
                if is_safe and (not is_behind or now() >= catch_up_until):
                    if leads and not has_stepped_down:
                        has_stepped_down = True
                        await self._step_down_old_primary(replaced)
                        continue
                    probe = await self._try_promote(group, replaced, chosen.server.id)
                    if probe is not None:
                        return _Answer(chosen.server, probe)
                    rejected.add(chosen.server.id)
                    continue
                if not is_safe:
                    # A server that was rejected may be the only one that has them.
                    rejected.clear()
            elif probed and all(answer.server.evacuated for answer in probed):
                self._log_evacuated(group)
            elif rejected:
                rejected.clear()
                await asyncio.sleep(RETRY_INTERVAL_S)
            if not self._leadership.is_leader:
                raise NotLeaderError("lost leadership during a change of primary")
            await asyncio.sleep(POLL_INTERVAL_S)

    def _evidence(
        self,
        group: str,
        change: GroupState,
        old_position: Position | None,
        probed: list[_Answer],
    ) -> Evidence:
        """Return what is known about the commits acknowledged before the change."""
        complete_logs = [] if old_position is None else [old_position]
        first = _answer_of(change.primary, probed)
        if first is not None and is_log_kept(
            first.report, change.holders, change.primary
        ):
            complete_logs.append(first.report.received)
        reports = [each.report for each in probed if each.server.id != change.primary]
        listed = self._servers.of_group(group)
        awaited = awaited_servers(change.holders, listed, reports, change.primary)
        if awaited == [change.former] and not change.primary:
            # The newest primary is among those that reported, or the former one led on,
            # and its replicas have all that they acknowledged.
            awaited = []
        return Evidence(
            sync_replicas=self._sync_replicas(group),
            complete_logs=complete_logs,
            newest_commit=change.newest_commit,
            began_at=change.began_at,
            reported=[report.received for report in reports],
            awaited=len(awaited),
        )

    def _awaited_servers(
        self, group: str, change: GroupState, probed: list[_Answer]
    ) -> list[str]:
        """Return the servers of which one may have commits that no other one has."""
        reports = [answer.report for answer in probed]
        listed = self._servers.of_group(group)
        awaited = awaited_servers(change.holders, listed, reports, change.primary)
        first = _answer_of(change.primary, probed)
        if first is None or not is_log_kept(
            first.report, change.holders, change.primary
        ):
            awaited.append(change.primary or "the newest primary")
        return awaited

    def _note_awaited(self, group: str, servers: list[str]) -> None:
        """Show for which servers a change waits, in the log and in the metrics."""
        previous = self._awaited.get(group, [])
        if servers:
            self._awaited[group] = servers
        else:
            self._awaited.pop(group, None)
        total = sum(len(awaited) for awaited in self._awaited.values())
        self._metrics.gauge("failover.awaited_servers", total)
        is_due = now() >= self._wait_logged_at.get(group, -1e9) + WAIT_LOG_INTERVAL_S
        if not servers or (servers == previous and not is_due):
            return
        self._wait_logged_at[group] = now()
        log_state(
            log,
            "primary_change",
            "waiting",
            f"group: {group}: waiting for {' or '.join(servers)}, which may have "
            "acknowledged commits that no other server has",
            group=group,
            awaited=servers,
        )

    def _log_evacuated(self, group: str) -> None:
        """Log that a change waits for a server outside of the evacuated domains."""
        if now() < self._wait_logged_at.get(group, -1e9) + WAIT_LOG_INTERVAL_S:
            return
        self._wait_logged_at[group] = now()
        log_state(
            log,
            "primary_change",
            "waiting",
            f"group: {group}: all servers that answer are in evacuated domains",
            group=group,
        )

    async def _step_down_old_primary(self, current: GroupState) -> Position | None:
        """Make the old primary step down; return its log position if it answers.

        One without a free slot is asked again: the statements that held its slots end,
        because no VM uses it any more.
        """
        give_up_at = now() + CATCH_UP_TIMEOUT_S
        while self._servers.get(current.primary) is not None:
            probe = await self._probes.step_down(
                current.primary, current.term + 1, deadline_in(STATUS_TIMEOUT_S)
            )
            if probe is not None:
                return probe.status.received
            is_busy = self._probes.answered_within(current.primary, RECENT_ANSWER_S)
            if not is_busy or now() >= give_up_at:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        return None

    async def _try_promote(
        self, group: str, current: GroupState, server: str
    ) -> Probe | None:
        """Promote a server and return its status as primary.

        Returns None when the server cannot be promoted or does not report itself as
        primary in time.
        """
        left_s = self._leadership.lease_until - now() - LEADERSHIP_MARGIN_S
        if not self._leadership.is_leader or left_s <= LEADERSHIP_MARGIN_S:
            raise NotLeaderError("too little leadership time left to promote")
        log_state(
            log,
            "promote",
            "asked",
            f"group: {group}: asking the platform to promote {server}",
            fence=self._leadership.fence,
            version=self._view.version,
            lease_left_ms=round(left_s * 1000),
        )
        deadline = deadline_in(min(PROMOTE_CALL_TIMEOUT_S, left_s))
        promoted = await self._call_promote(
            group, server, self._name, self._leadership.fence, deadline
        )
        if not promoted:
            return None
        promotion_end = now() + PROMOTION_TIMEOUT_S
        while now() < promotion_end:
            probe = await self._status_in_change(server, current)
            if (
                probe is not None
                and probe.status.is_primary
                and probe.status.term > current.term
            ):
                return probe
            await asyncio.sleep(POLL_INTERVAL_S)
        return None

    def step_down_later(self, server: str, term: int) -> None:
        """Make a replaced primary step down, in the background."""
        task = asyncio.create_task(self._retry_step_down(server, term))
        # The event loop keeps only a weak reference to the task.
        self._step_down_tasks.add(task)
        task.add_done_callback(self._step_down_tasks.discard)

    async def _retry_step_down(self, server: str, term: int) -> None:
        """Make a replaced primary step down; give up after ``STEP_DOWN_TIMEOUT_S``."""
        give_up_at = now() + STEP_DOWN_TIMEOUT_S
        while now() < give_up_at:
            probe = await self._probes.step_down(
                server, term, deadline_in(STATUS_TIMEOUT_S)
            )
            if probe is not None or self._servers.get(server) is None:
                return
            await asyncio.sleep(RETRY_INTERVAL_S)


def _newest_primary(probed: list[_Answer], term: int) -> _Answer | None:
    """Return the server that leads the newest term after this one."""
    primaries = [
        answer
        for answer in probed
        if answer.probe.status.is_primary and answer.probe.status.term > term
    ]
    return max(primaries, key=lambda each: each.probe.status.term, default=None)


def _without_step_down(change: GroupState) -> GroupState:
    """Return a change that does not replace the primary of the newest known term.

    A primary leads on if it is told to step down for the term that it leads.
    """
    return change._replace(term=change.term - 1)


def _answer_of(server: str, probed: list[_Answer]) -> _Answer | None:
    return next((answer for answer in probed if answer.server.id == server), None)
