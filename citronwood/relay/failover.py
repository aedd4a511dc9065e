"""Failover of a group's primary, carried out by the leader.

The leader marks the group as changing, has every VM stop using the old primary, has
another server promoted and records it as the new primary. Every step can be repeated,
so that a new leader can continue a change that its predecessor began.
"""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import NamedTuple

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
from citronwood.relay.evacuations import NO_EVACUATIONS, Evacuations
from citronwood.relay.fencing import FencedVm, Fencing
from citronwood.relay.holder_records import HolderRecords
from citronwood.relay.holders import Report, is_log_kept, new_holders
from citronwood.relay.leadership import Leadership
from citronwood.relay.messages import AskReachable, ReachableAnswer
from citronwood.relay.model import Position, Role
from citronwood.relay.primary_search import PrimarySearch
from citronwood.relay.probes import STATUS_TIMEOUT_S, Probes
from citronwood.relay.registry import RegisteredVm, VmRegistry
from citronwood.relay.servers import Servers
from citronwood.relay.succession import RECENT_ANSWER_S, Succession
from citronwood.relay.view import GroupState, PrimaryView
from citronwood.tasks import cancel_tasks
from citronwood.versions import number_after

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.25
# After this time without a status from the primary, the other VMs are asked to probe
# it.
SILENCE_TIMEOUT_S = 0.9
# Each VM that is asked opens a connection to the server, which has fewer connections
# than a large fleet has VMs.
MAX_WITNESSES = 15
# Time that another VM has to probe the primary. The call to that VM has 0.2 s more.
PEER_PROBE_TIMEOUT_S = 0.4
# Age of the primary's last position at the start of a change up to which the commits of
# all VMs can be known. Within this time no VM joins, serves and leaves the list of VMs
# without a report to the leader, unless it never reaches it.
MAX_POSITION_AGE_S = 5.0
# Time after which no promotion takes effect any more that an earlier leader asked for
# before its lease ended. A promotion takes some hundred ms.
LATE_PROMOTION_S = 1.5
EVACUATIONS_POLL_S = 0.05


class _Observation(NamedTuple):
    """Position of a primary, and the processes of the VMs before it was asked."""

    primary: str
    position: Position
    asked_at: float
    processes: dict[str, int | None]


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
        registry: VmRegistry,
        fencing: Fencing,
        succession: Succession,
        groups: Callable[[], frozenset[str]],
        sync_replicas: Callable[[str], int],
        evacuations: Evacuations = NO_EVACUATIONS,
    ) -> None:
        self._name = name
        self._leadership = leadership
        self._view = view
        self._servers = servers
        self._probes = probes
        self._rpc = rpc
        self._registry = registry
        self._fencing = fencing
        self._succession = succession
        self._groups = groups
        self._sync_replicas = sync_replicas
        self._evacuations = evacuations
        self._records = HolderRecords(leadership, view, probes)
        self._search = PrimarySearch(view, succession)
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._last_status_at: dict[str, float] = {}
        self._observations: dict[str, _Observation] = {}
        self._was_leader = False
        self._leading_since = 0.0
        self._stopping = False

    @property
    def _may_vms_be_unlisted(self) -> bool:
        """Whether VMs that a restored store does not list may use primaries."""
        state = self._view.state
        return state is None or state.restored

    async def stop(self) -> None:
        """End all changes of primary, which another leader may continue."""
        self._stopping = True
        await cancel_tasks(self._tasks.values())

    async def run(self) -> None:
        """Monitor all groups until cancelled."""
        while True:
            if self._leadership.is_leader and not self._stopping:
                if not self._was_leader:
                    self._last_status_at.clear()
                    self._observations.clear()
                    self._leading_since = now()
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
        """Record the server that leads the newest term of a new group.

        A group is also new if a restored store has lost it; a former primary that is
        cut off from the others may then claim to lead, too.
        """
        if self._may_vms_be_unlisted:
            await self._find_primary(group)
            return
        listed = self._servers.of_group(group)
        processes = self._registry.known_processes
        claimants = [server for server in listed if server.role is Role.PRIMARY]
        probes = await asyncio.gather(
            *(
                self._probes.status(server.id, deadline_in(STATUS_TIMEOUT_S))
                for server in claimants
            )
        )
        primaries = [
            (server, probe)
            for server, probe in zip(claimants, probes, strict=True)
            if probe is not None and probe.status.is_primary
        ]
        if not primaries:
            return
        # An earlier primary leads on until it learns of the newer one.
        server, probe = max(primaries, key=lambda each: each[1].status.term)
        number = number_after(self._view.version)
        new = GroupState(server.id, probe.status.term, False, number)
        if self._sync_replicas(group):
            report = Report(server, probe.status.received)
            self._note_observation(report, probe.asked_at, processes)
            holders = new_holders(report, listed)
            new = new._replace(holders=holders, began_at=report.received)
        await self._write_group(group, new)
        log_state(
            log, "primary", "adopted", f"group: {group}: {server.id} is the primary"
        )

    async def _find_primary(self, group: str) -> None:
        """Begin a change in a group whose record the store may have lost.

        VMs may use a primary that was recorded after the copy was made, and it may have
        left since, so that none of the servers reports itself as primary any more.
        """
        if not self._servers.of_group(group):
            return
        log_state(
            log,
            "primary_change",
            "started",
            f"group: {group}: looking for its primary, which is not on record",
            group=group,
            reason="the store was restored from a copy and has no record",
        )
        number = number_after(self._view.version)
        unknown = GroupState("", 0, True, number, uncertain=True)
        await self._write_group(group, unknown)

    async def _check_primary(self, group: str, current: GroupState) -> None:
        """Replace a primary that is silent, draining, evacuated or no primary now."""
        reason = await self._reason_to_replace(group, current)
        if reason is None or not self._servers.others_of_group(group, current.primary):
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
        number = number_after(self._view.version)
        state = await self._leadership.change_groups(
            lambda groups: {**groups, group: _begin_change(groups[group], number)}
        )
        changing = state.groups[group]
        self._last_status_at.pop(group, None)
        await self._replace_primary(group, changing)

    async def _reason_to_replace(self, group: str, current: GroupState) -> str | None:
        """Return why a primary has to be replaced; None if it may stay."""
        listed = self._servers.of_group(group)
        processes = self._registry.known_processes
        probe = await self._probes.status(
            current.primary, deadline_in(STATUS_TIMEOUT_S)
        )
        time = now()
        if probe is not None:
            self._last_status_at[group] = time
            if not probe.status.is_primary:
                return "it is no primary any more"
            server = next((s for s in listed if s.id == current.primary), None)
            if server is not None and self._sync_replicas(group):
                report = Report(server, probe.status.received)
                if not is_log_kept(report, current.holders, current.primary):
                    return "it came back without its log"
                self._note_observation(report, probe.asked_at, processes)
                self._records.note_primary(report, listed)
        elif not self._probes.answered_within(current.primary, RECENT_ANSWER_S):
            # A primary in an evacuated domain may not serve, whoever reaches it.
            if not self._servers.is_evacuated(current.primary):
                return await self._reason_of_silence(group, current.primary)
        reason = await self._succession.reason_to_leave(group, current.primary)
        if reason is not None:
            return reason
        if probe is not None and self._view.primary_of(group) == current.primary:
            self._probes.record_position(group, probe)
        if current.holders and not self._sync_replicas(group):
            await self._records.forget(group)
        return None

    def _note_observation(
        self, report: Report, asked_at: float, processes: dict[str, int | None]
    ) -> None:
        server = report.server
        if self._may_vms_be_unlisted:
            # Their processes are not known, nor what they acknowledge from now on.
            self._observations.pop(server.group, None)
            return
        self._observations[server.group] = _Observation(
            server.id, report.received, asked_at, processes
        )

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
        listing = await self._registry.list_vms()
        vms = [peer for peer in listing.vms if peer.url and peer.name != self._name]
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

    async def _replace_primary(self, group: str, current: GroupState) -> None:
        written_at = self._view.change_seen_at(group)
        may_vms_be_unlisted = self._may_vms_be_unlisted
        if may_vms_be_unlisted:
            self._observations.pop(group, None)
        fenced, is_list_current = await self._fencing.block(
            group, current.change, written_at
        )
        former_primaries = {current.primary}
        new = None
        if current.uncertain:
            # A promotion that an earlier leader asked for may still take effect.
            await asyncio.sleep(LATE_PROMOTION_S)
            new = await self._search.keep_primary(group, current, fenced, written_at)
        if new is None:
            if may_vms_be_unlisted or not is_list_current:
                await self._fencing.wait_for_leases(group, written_at)
            if current.uncertain:
                current = await self._search.find_newest(group, current, fenced)
                former_primaries.add(current.primary)
            current = await self._note_newest_commit(group, current, written_at, fenced)
            await self._wait_for_evacuations()
            new = await self._succession.promote_lasting(group, current)
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
        for server in former_primaries - {new.primary, ""}:
            self._succession.step_down_later(server, new.term)

    async def _wait_for_evacuations(self) -> None:
        """Wait until this VM knows the evacuations that its predecessor knew."""
        while not self._evacuations.is_known_since(self._leading_since):
            if not self._leadership.is_leader:
                raise NotLeaderError("lost leadership before the evacuations were read")
            await asyncio.sleep(EVACUATIONS_POLL_S)

    async def _note_newest_commit(
        self,
        group: str,
        current: GroupState,
        written_at: float,
        fenced: list[FencedVm],
    ) -> GroupState:
        """Record the newest acknowledged commit in the group's state, if it is known.

        The primary's last position covers the commits of the processes that had ended
        before; the others name theirs.
        """
        seen = self._observations.get(group)
        if (
            not self._sync_replicas(group)
            or current.newest_commit is not None
            or seen is None
            or seen.primary != current.primary
            or seen.asked_at < written_at - MAX_POSITION_AGE_S
            or not self._registry.known_processes.keys()
            <= {entry.vm.name for entry in fenced}
        ):
            return current
        newest = await self._fencing.collect_newest_commit(
            group, fenced, seen.processes
        )
        if newest is None:
            return current
        noted = current._replace(newest_commit=max(newest, seen.position))
        try:
            await self._write_group(group, noted)
        except NotLeaderError:
            raise
        except PlatformError as error:
            # Only a new leader would need it from the store.
            log_state(log, "commits", "not_stored", f"group: {group}: {error}")
        return noted

    async def _write_group(self, group: str, new: GroupState) -> None:
        await self._leadership.change_groups(lambda old: {**old, group: new})


def _begin_change(current: GroupState, number: int) -> GroupState:
    return current._replace(changing=True, change=number, newest_commit=None)
