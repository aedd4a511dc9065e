"""Search for the primary of a group in a store that was restored from a copy.

The group's record is then uncertain: a server may have been promoted after the copy was
made. Servers know the newest term of which they have heard, and VMs the primary that
they used last.
"""

import asyncio
import logging
from collections.abc import Iterable

from citronwood.decisions import log_state
from citronwood.relay.clock import now
from citronwood.relay.fencing import FencedVm
from citronwood.relay.succession import NewestTerm, Succession
from citronwood.relay.view import LEASE_S, GroupState, PrimaryView

log = logging.getLogger(__name__)

ASK_INTERVAL_S = 0.25


def newest_group(
    current: GroupState, known: Iterable[GroupState | None], servers: NewestTerm
) -> GroupState:
    """Return an uncertain group as the newest that any VM or server has known.

    ``known`` are the group's states that VMs have known. The name of the primary is
    empty if a server knows a newer term, but none leads it. If not all servers have
    answered, one of which the others have not heard may lead; the change then is like
    any other, and a server is promoted.
    """
    groups = [current, *(group for group in known if group is not None)]
    newest = max(groups, key=lambda group: group.term)
    if servers.term > newest.term:
        newest = newest._replace(
            primary=servers.primary, term=servers.term, former=newest.primary
        )
    return newest._replace(
        changing=True,
        change=current.change,
        newest_commit=None,
        uncertain=servers.is_complete or not newest.primary,
    )


class PrimarySearch:
    """Asks servers and VMs for the primary of an uncertain group, as leader."""

    def __init__(self, view: PrimaryView, succession: Succession) -> None:
        self._view = view
        self._succession = succession

    async def keep_primary(
        self,
        group: str,
        current: GroupState,
        fenced: list[FencedVm],
        written_at: float,
    ) -> GroupState | None:
        """Return an uncertain group with its primary, if that is certain to lead.

        All servers have answered, and it leads the newest term that any server or VM
        knows. When it was promoted, all VMs had stopped using the primary before it, so
        that leases from before the restore are leases on it. They need not end; None if
        they have ended without an answer of all servers. ``written_at`` is the time at
        which the change began.
        """
        while now() < written_at + LEASE_S:
            servers = await self._succession.newest_term(group, current)
            newest = self._newest_group(group, current, fenced, servers)
            is_newest = (newest.primary, newest.term) == (servers.primary, servers.term)
            if servers.is_complete and servers.primary and is_newest:
                return await self._succession.adopt(group, newest)
            await asyncio.sleep(ASK_INTERVAL_S)
        return None

    async def find_newest(
        self, group: str, current: GroupState, fenced: list[FencedVm]
    ) -> GroupState:
        """Return an uncertain group as the newest that any VM or server has known."""
        servers = await self._succession.newest_term(group, current)
        return self._newest_group(group, current, fenced, servers)

    def _newest_group(
        self,
        group: str,
        current: GroupState,
        fenced: list[FencedVm],
        servers: NewestTerm,
    ) -> GroupState:
        own = self._view.newest_group(group)
        known = [*(entry.newest for entry in fenced), own]
        newest = newest_group(current, known, servers)
        if newest.term > current.term:
            log_state(
                log,
                "primary_change",
                "newer_primary",
                f"group: {group}: term {newest.term} is not in the copy of the store",
                group=group,
                recorded_primary=current.primary,
                recorded_term=current.term,
                newest_primary=newest.primary,
            )
        return newest
