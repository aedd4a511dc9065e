"""Failover of a group's primary, carried out by the leader.

The leader marks the group as changing, has every VM stop using the old primary, and
makes the old primary step down if it answers. It then waits until a replica has
received the old primary's whole log, or after a time limit takes the most advanced
replica, promotes it and records it as the new primary. Where replicas acknowledge
commits, it first waits for the reports of so many that one of them has all commits.
Every step can be repeated, so that a new leader can continue a change that its
predecessor began.
"""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from typing import Protocol

from citronwood.deadline import deadline_in
from citronwood.decisions import log_state, may_log
from citronwood.errors import (
    CallFailedError,
    DeadlineExceededError,
    NotLeaderError,
    PeerUnavailableError,
    PlatformError,
)
from citronwood.inner.rpc import Rpc
from citronwood.relay.clock import now
from citronwood.relay.leadership import Leadership
from citronwood.relay.messages import (
    AskReachable,
    FenceGroup,
    GroupFenced,
    ReachableAnswer,
)
from citronwood.relay.model import BackendServer, Position, Role
from citronwood.relay.probes import STATUS_TIMEOUT_S, Probe, Probes
from citronwood.relay.registry import RegisteredVm
from citronwood.relay.servers import Servers
from citronwood.relay.statement import ServerStatus
from citronwood.relay.successor import (
    Candidate,
    choose_successor,
    holds_acknowledged_commits,
)
from citronwood.relay.view import LEASE_S, GroupState, PrimaryView

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.25
# After this time without a status from the primary, the other VMs are asked to probe
# it.
SILENCE_TIMEOUT_S = 0.9
# A primary that gave no status but answered this VM within this time, for example that
# it is busy, does not count as silent.
RECENT_ANSWER_S = 0.8
# Each VM that is asked opens a connection to the server, which has fewer connections
# than a large fleet has VMs.
MAX_WITNESSES = 15
# Time that another VM has to probe the primary. The call to that VM has 0.2 s more.
PEER_PROBE_TIMEOUT_S = 0.4
FENCE_CALL_TIMEOUT_S = 0.8
FENCE_RETRY_INTERVAL_S = 0.1
# Covers the clock drift between two VMs during one lease.
LEASE_MARGIN_S = 0.2
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


class Failover:
    """Monitors the primaries and replaces them while this VM leads."""

    def __init__(
        self,
        name: str,
        leadership: Leadership,
        view: PrimaryView,
        servers: Servers,
        probes: Probes,
        rpc: Rpc,
        promote: Promotion,
        list_vms: Callable[[], Awaitable[list[RegisteredVm]]],
        has_ended: Callable[[str], Awaitable[bool]],
        fence_locally: Callable[[FenceGroup], Awaitable[None]],
        groups: Callable[[], frozenset[str]],
        sync_replicas: Callable[[str], int],
    ) -> None:
        self._name = name
        self._leadership = leadership
        self._view = view
        self._servers = servers
        self._probes = probes
        self._rpc = rpc
        self._call_promote = promote
        self._list_vms = list_vms
        self._has_ended = has_ended
        self._fence_locally = fence_locally
        self._groups = groups
        self._sync_replicas = sync_replicas
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._step_down_tasks: set[asyncio.Task[None]] = set()
        self._last_status_at: dict[str, float] = {}
        self._was_leader = False

    async def run(self) -> None:
        """Monitor all groups until cancelled."""
        while True:
            if self._leadership.is_leader:
                if not self._was_leader:
                    self._last_status_at.clear()
                self._was_leader = True
                for group in self._groups():
                    task = self._tasks.get(group)
                    if task is None or task.done():
                        check = self._supervise_group(group)
                        self._tasks[group] = asyncio.create_task(check)
            else:
                self._was_leader = False
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _supervise_group(self, group: str) -> None:
        try:
            state = self._view.state
            current = None if state is None else state.groups.get(group)
            if current is None:
                await self._adopt_primary(group)
            elif current.changing:
                await self._replace_primary(group, current)
            else:
                await self._check_primary(group, current)
        except NotLeaderError:
            return
        except PlatformError as error:
            log_state(log, "change_delayed", "failed", f"group: {group}: {error}")
        except Exception:
            # The group is checked again with the next interval.
            if may_log(log, "change_delayed", "unexpected"):
                log.exception("group: %s: unexpected error", group)

    async def _adopt_primary(self, group: str) -> None:
        """Record the server that reports itself as primary of a new group."""
        claimants = [
            claimant
            for claimant in self._servers.of_group(group)
            if claimant.role is Role.PRIMARY
        ]
        for server in claimants:
            probe = await self._probes.status(server.id, deadline_in(STATUS_TIMEOUT_S))
            if probe is None or not probe.status.is_primary:
                continue
            new = GroupState(server.id, probe.status.term, False, 1)
            await self._write_group(group, new)
            log_state(
                log, "primary", "adopted", f"group: {group}: {server.id} is the primary"
            )
            return

    async def _check_primary(self, group: str, current: GroupState) -> None:
        """Replace a primary that is silent, draining or no longer primary."""
        reason = await self._reason_to_replace(group, current)
        if reason is None or not self._replacements(group, current.primary):
            return
        log_state(
            log,
            "primary_change",
            "started",
            f"group: {group}: replacing {current.primary} because {reason}",
            group=group,
            old_primary=current.primary,
            reason=reason,
            term=current.term,
        )
        changing = current._replace(changing=True, change=current.change + 1)
        await self._write_group(group, changing)
        self._last_status_at.pop(group, None)
        await self._replace_primary(group, changing)

    async def _reason_to_replace(self, group: str, current: GroupState) -> str | None:
        """Return why a primary has to be replaced; None if it may stay."""
        probe = await self._probes.status(
            current.primary, deadline_in(STATUS_TIMEOUT_S)
        )
        time = now()
        if probe is not None:
            self._last_status_at[group] = time
            if not probe.status.is_primary:
                return "it is no primary any more"
        elif not self._probes.answered_within(current.primary, RECENT_ANSWER_S):
            return await self._reason_of_silence(group, current.primary)
        # A server without a free slot answers, but reports no status.
        if self._is_draining(current.primary):
            return "it is draining"
        if probe is not None and self._view.primary_of(group) == current.primary:
            self._probes.record_position(group, probe)
        return None

    async def _reason_of_silence(self, group: str, primary: str) -> str | None:
        """Return for how long a primary was silent; None if it may still serve."""
        time = now()
        silent_s = time - self._last_status_at.setdefault(group, time)
        if silent_s < SILENCE_TIMEOUT_S:
            return None
        is_listed = self._servers.get(primary) is not None
        if is_listed and await self._is_reachable_by_others(primary):
            # The other VMs are asked again after half of the timeout.
            self._last_status_at[group] = time - SILENCE_TIMEOUT_S / 2
            return None
        return f"it was silent for {silent_s:.1f} s"

    async def _is_reachable_by_others(self, server: str) -> bool:
        """Whether at least half of the VMs that answer and know the server reach it."""
        vms = [
            peer
            for peer in await self._list_vms()
            if peer.url and peer.name != self._name
        ]
        vms = random.sample(vms, min(MAX_WITNESSES, len(vms)))
        answers = await asyncio.gather(*(self._ask_reachable(vm, server) for vm in vms))
        votes = [vote for vote in answers if vote is not None]
        return bool(votes) and sum(votes) * 2 >= len(votes)

    async def _ask_reachable(self, vm: RegisteredVm, server: str) -> bool | None:
        try:
            answer = await self._rpc.call(
                vm.url,
                AskReachable(server),
                ReachableAnswer,
                deadline_in(PEER_PROBE_TIMEOUT_S + 0.2),
            )
        except (PeerUnavailableError, DeadlineExceededError, CallFailedError):
            return None
        return answer.reachable

    def _replacements(self, group: str, primary: str) -> list[BackendServer]:
        return [
            replacement
            for replacement in self._servers.of_group(group)
            if replacement.id != primary
        ]

    async def _replace_primary(self, group: str, current: GroupState) -> None:
        written_at = self._view.change_seen_at(group)
        await self._fence_all_vms(group, current, written_at)
        new = await self._promote_lasting(group, current)
        await self._write_group(group, new)
        log_state(
            log,
            "primary_change",
            "done",
            f"group: {group}: {new.primary} is the primary",
            group=group,
            old_primary=current.primary,
            reason="see the start of the change",
            new_primary=new.primary,
            term=new.term,
            took_ms=round((now() - written_at) * 1000),
        )
        if current.primary != new.primary:
            coroutine = self._retry_step_down(current.primary, new.term)
            task = asyncio.create_task(coroutine)
            # The event loop keeps only a weak reference to the task.
            self._step_down_tasks.add(task)
            task.add_done_callback(self._step_down_tasks.discard)

    async def _promote_lasting(self, group: str, change: GroupState) -> GroupState:
        """Promote a server that is not about to leave; return the group's new state.

        A draining server that has received more of the log than the others is promoted
        first, so that the others can receive the rest from it. No statement is sent to
        it, because the group stays blocked until its successor leads.
        """
        replaced = change
        for _ in range(MAX_PROMOTIONS):
            successor = await self._find_promoted(group, replaced)
            if successor is None:
                successor = await self._promote_successor(group, change, replaced)
            primary, term = successor
            replaced = replaced._replace(primary=primary, term=max(term, replaced.term))
            others = self._replacements(group, primary)
            if not self._is_draining(primary) or all(
                other.draining for other in others
            ):
                break
            log_state(
                log,
                "primary_change",
                "continued",
                f"group: {group}: {primary} leads until its successor has its log, "
                "because it is draining",
                group=group,
                term=replaced.term,
            )
        return replaced._replace(changing=False)

    def _is_draining(self, server: str) -> bool:
        pool = self._servers.get(server)
        return pool is not None and pool.server.draining

    async def _write_group(self, group: str, new: GroupState) -> None:
        await self._leadership.change_groups(lambda old: {**old, group: new})

    async def _fence_all_vms(
        self, group: str, current: GroupState, written_at: float
    ) -> None:
        """Have all VMs block the group; return when none uses the old primary.

        For each VM, this takes until it has confirmed the fence, its process has ended,
        or its lease has expired.
        """
        message = FenceGroup(group, current.change)
        await self._fence_locally(message)
        vms = [peer for peer in await self._list_vms() if peer.name != self._name]
        lease_end = written_at + LEASE_S + LEASE_MARGIN_S
        await asyncio.gather(*(self._fence_vm(vm, message, lease_end) for vm in vms))

    async def _fence_vm(
        self, vm: RegisteredVm, message: FenceGroup, lease_end: float
    ) -> None:
        while now() < lease_end:
            if vm.url and await self._has_stopped_using(vm, message):
                return
            await asyncio.sleep(FENCE_RETRY_INTERVAL_S)
        log_state(
            log,
            "fence",
            "expired",
            f"group: {vm.name} did not confirm the fence; its lease has expired",
            group=message.group,
        )

    async def _has_stopped_using(self, vm: RegisteredVm, message: FenceGroup) -> bool:
        try:
            await self._rpc.call(
                vm.url, message, GroupFenced, deadline_in(FENCE_CALL_TIMEOUT_S)
            )
        except (PeerUnavailableError, DeadlineExceededError, CallFailedError):
            return await self._has_ended(vm.url)
        # An answer from a newer process at this address counts as well, because the
        # registered process has then ended.
        return True

    async def _find_promoted(
        self, group: str, replaced: GroupState
    ) -> tuple[str, int] | None:
        """Return the primary that an earlier attempt promoted and its term, or None."""
        return _newest_primary(await self._probe_group(group, replaced), replaced.term)

    async def _probe_group(
        self, group: str, current: GroupState
    ) -> list[tuple[BackendServer, Probe]]:
        servers = self._servers.of_group(group)
        probes = await asyncio.gather(
            *(self._status_in_change(member.id, current) for member in servers)
        )
        return [
            (member, probe)
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
    ) -> tuple[str, int]:
        """Promote the most advanced server; return the new primary and its term.

        ``replaced`` names the primary to replace and its term. In a change that goes on
        after a first promotion, that is not the primary which ``change`` names.
        """
        old_position = None
        if not self._sync_replicas(group):
            old_position = await self._step_down_old_primary(replaced)
        has_stepped_down = False
        catch_up_until = now() + CATCH_UP_TIMEOUT_S
        excluded_until = now() + OLD_PRIMARY_EXCLUSION_S
        rejected: set[str] = set()
        is_waiting = False
        while True:
            probed = await self._probe_group(group, replaced)
            promoted = _newest_primary(probed, replaced.term)
            if promoted is not None:
                return promoted
            old_status = _status_of(replaced.primary, probed)
            leads = old_status is not None and old_status.is_primary
            if old_status is not None and self._sync_replicas(group):
                old_position = old_status.received
            # One that is about to leave only leads until its successor has its log.
            is_excluded = now() < excluded_until or (
                leads and self._is_draining(replaced.primary)
            )
            chosen = choose_successor(
                Candidate(server, probe.status.received)
                for server, probe in probed
                if server.id not in rejected
                and (server.id != replaced.primary or not is_excluded)
            )
            if chosen is not None:
                is_behind = old_position is not None and chosen.received < old_position
                has_all_commits = (
                    old_position is not None and not is_behind
                ) or self._holds_acknowledged_commits(change, chosen, probed)
                if has_all_commits and (not is_behind or now() >= catch_up_until):
                    if leads and not has_stepped_down:
                        has_stepped_down = True
                        await self._step_down_old_primary(replaced)
                        continue
                    term = await self._try_promote(group, replaced, chosen.server.id)
                    if term is not None:
                        return chosen.server.id, term
                    rejected.add(chosen.server.id)
                    continue
                if not has_all_commits:
                    # A server that was rejected may be the only one that has them.
                    rejected.clear()
                    if not is_waiting:
                        is_waiting = True
                        _log_wait_for_reports(group, replaced, probed)
            elif rejected:
                rejected.clear()
                await asyncio.sleep(RETRY_INTERVAL_S)
            if not self._leadership.is_leader:
                raise NotLeaderError("lost leadership during a change of primary")
            await asyncio.sleep(POLL_INTERVAL_S)

    def _holds_acknowledged_commits(
        self,
        change: GroupState,
        chosen: Candidate,
        probed: list[tuple[BackendServer, Probe]],
    ) -> bool:
        """Whether a server has all commits that callers know to be kept.

        All other servers than the primary at the start of the change may have
        acknowledged them, also one that has been promoted meanwhile.
        """
        group = chosen.server.group
        replicas = self._replacements(group, change.primary)
        return holds_acknowledged_commits(
            chosen.received,
            [
                probe.status.received
                for server, probe in probed
                if server.id != change.primary
            ],
            len(replicas),
            self._sync_replicas(group),
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
    ) -> int | None:
        """Promote a server and return its term.

        Returns None when the server cannot be promoted or does not report itself as
        primary in time.
        """
        state = self._view.state
        left_s = self._leadership.lease_until - now() - LEADERSHIP_MARGIN_S
        if state is None or left_s <= LEADERSHIP_MARGIN_S:
            raise NotLeaderError("too little leadership time left to promote")
        deadline = deadline_in(min(PROMOTE_CALL_TIMEOUT_S, left_s))
        promoted = await self._call_promote(
            group, server, self._name, state.fence, deadline
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
                return probe.status.term
            await asyncio.sleep(POLL_INTERVAL_S)
        return None

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


def _newest_primary(
    probed: list[tuple[BackendServer, Probe]], term: int
) -> tuple[str, int] | None:
    """Return the server that leads the newest term after this one, and its term."""
    primaries = [
        (probe.status.term, server.id)
        for server, probe in probed
        if probe.status.is_primary and probe.status.term > term
    ]
    if not primaries:
        return None
    newest_term, server = max(primaries)
    return server, newest_term


def _status_of(
    server: str, probed: list[tuple[BackendServer, Probe]]
) -> ServerStatus | None:
    return next((probe.status for other, probe in probed if other.id == server), None)


def _log_wait_for_reports(
    group: str, current: GroupState, probed: list[tuple[BackendServer, Probe]]
) -> None:
    servers = ", ".join(server.id for server, _ in probed) or "no server"
    log_state(
        log,
        "primary_change",
        "waiting",
        f"group: {group}: only {servers} reported; another one may have commits that "
        "were acknowledged",
        group=group,
        term=current.term,
    )
