"""Keeps the holder records of the groups up to date while this VM leads.

The records are part of the fleet's state. A server that joins or leaves is written at
once, positions with the next renewal of the state.
"""

import asyncio
import logging

from citronwood.deadline import deadline_in
from citronwood.decisions import log_state
from citronwood.errors import PlatformError
from citronwood.relay.clock import now
from citronwood.relay.holders import Holder, Report, update_holders
from citronwood.relay.leadership import Leadership
from citronwood.relay.model import BackendServer
from citronwood.relay.probes import STATUS_TIMEOUT_S, Probes
from citronwood.relay.view import GroupState, PrimaryView

log = logging.getLogger(__name__)

# Also the interval of the leader's renewals, which store the positions.
REFRESH_INTERVAL_S = 1.0


class HolderRecords:
    """Asks the replicas of groups whose replicas acknowledge commits."""

    def __init__(
        self, leadership: Leadership, view: PrimaryView, probes: Probes
    ) -> None:
        self._leadership = leadership
        self._view = view
        self._probes = probes
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._refreshed_at: dict[str, float] = {}

    def note_primary(self, primary: Report, listed: list[BackendServer]) -> None:
        """Record the primary's position, and ask the replicas if that is due.

        ``listed`` are the servers that were listed before the primary was asked.
        """
        group = primary.server.group
        state = self._view.state
        current = None if state is None else state.groups.get(group)
        if current is None or current.changing or current.primary != primary.server.id:
            return
        holder = current.holders.get(current.primary)
        if holder is not None and primary.received > holder.received:
            newer = holder._replace(received=primary.received)
            self._view.update_holders(
                group, {**current.holders, current.primary: newer}
            )
        task = self._tasks.get(group)
        is_due = now() >= self._refreshed_at.get(group, -1e9) + REFRESH_INTERVAL_S
        if is_due and (task is None or task.done()):
            self._refreshed_at[group] = now()
            self._tasks[group] = asyncio.create_task(self._refresh(primary, listed))

    async def forget(self, group: str) -> None:
        """Drop the records of a group whose replicas do not acknowledge commits."""
        await self._leadership.change_groups(
            lambda groups: {
                **groups,
                group: groups[group]._replace(holders={}, began_at=None),
            }
        )

    async def _refresh(self, primary: Report, listed: list[BackendServer]) -> None:
        group = primary.server.group
        replicas = [server for server in listed if server.id != primary.server.id]
        deadline = deadline_in(STATUS_TIMEOUT_S)
        probes = await asyncio.gather(
            *(self._probes.status(replica.id, deadline) for replica in replicas)
        )
        reports = [
            Report(replica, probe.status.received)
            for replica, probe in zip(replicas, probes, strict=True)
            if probe is not None
        ]

        def update(groups: dict[str, GroupState]) -> dict[str, GroupState]:
            current = groups[group]
            if current.changing or current.primary != primary.server.id:
                return groups
            holders = update_holders(current.holders, primary, listed, reports)
            began_at = current.began_at or primary.received
            new = current._replace(holders=holders, began_at=began_at)
            return {**groups, group: new}

        state = self._view.state
        if state is None or group not in state.groups:
            return
        old, new = state.groups[group], update(dict(state.groups))[group]
        if _processes(old.holders) == _processes(new.holders) and old.began_at:
            self._view.update_holders(group, new.holders)
            return
        try:
            await self._leadership.change_groups(update)
        except PlatformError as error:
            # The next refresh writes them.
            log_state(log, "holders", "failed", f"group: {group}: {error}")
            return
        log_state(
            log,
            "holders",
            "changed",
            f"group: {group}: {', '.join(sorted(new.holders))} may hold commits",
            group=group,
            left=sorted(old.holders.keys() - new.holders.keys()),
        )


def _processes(holders: dict[str, Holder]) -> dict[str, int]:
    return {server: holder.started_at for server, holder in holders.items()}
