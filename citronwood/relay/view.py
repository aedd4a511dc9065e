"""The primaries that this VM knows, and the lease that limits how long it uses them.

The fleet's state is kept in the platform's store and changed by one VM at a time, the
leader. A VM uses a primary only while it knows that the state was current less than
``LEASE_S`` ago and names that primary without a change in progress. Before a leader
replaces a primary, it marks the group as changing. It then waits until each VM has
confirmed that it stopped using the primary, the VM's process is known to have ended, or
the VM's lease has ended.
"""

import asyncio
import math
from typing import NamedTuple

from citronwood.relay.clock import now
from citronwood.relay.holders import Holder
from citronwood.relay.model import Position

# The lease outlasts short outages of the store, so that callers do not notice them. A
# change of primary waits up to this long and a margin for a VM that does not answer.
LEASE_S = 5.0
# A VM whose lease ended longer ago than this registers again before it uses a primary,
# because its entry in the list of VMs may have been removed meanwhile.
MAX_LAPSE_S = 60.0


class GroupState(NamedTuple):
    """Primary of a group; it must not be used while ``changing`` is set.

    ``change`` is the number of the newest change of primary in the group. The other
    fields are used where replicas acknowledge commits: the records of the servers that
    may hold commits which no other has, the position at which the primary's term began,
    and during a change the newest acknowledged commit, if all VMs have named theirs.
    """

    primary: str
    term: int
    changing: bool
    change: int
    holders: dict[str, Holder] = {}
    began_at: Position | None = None
    newest_commit: Position | None = None


class FleetState(NamedTuple):
    """State that the leader keeps in the platform's store.

    ``edition`` increases with each change of the content, but not with renewals.
    ``fence`` is the leader's fencing token, which increases with each new leader.
    ``renewal`` is a random value that makes each write of the state unique. ``secret``
    authenticates calls between VMs. ``absent`` maps VMs that have not reported for a
    long time to the ``process`` ids of their entries in the list of VMs; they have to
    register again before they use a primary.
    """

    edition: int
    leader: str
    leader_url: str
    leader_process: int
    fence: int
    renewal: str
    secret: str
    groups: dict[str, GroupState]
    absent: dict[str, int]


class PrimaryView:
    """Newest known state of the fleet, and this VM's lease on it."""

    def __init__(self) -> None:
        self._state: FleetState | None = None
        self._version = 0
        self._valid_until = 0.0
        self._registered_at = math.inf
        self._fenced: dict[str, int] = {}
        self._change_seen_at: dict[str, tuple[int, float]] = {}
        self._changed = asyncio.Event()

    @property
    def state(self) -> FleetState | None:
        """Newest known state."""
        return self._state

    @property
    def version(self) -> int:
        """Version of the store's object that holds the newest known state."""
        return self._version

    @property
    def is_registered(self) -> bool:
        """Whether leases are allowed since the last registration of this VM."""
        return self._registered_at < math.inf

    @property
    def is_valid(self) -> bool:
        """Whether the lease on the state has not ended."""
        return now() < self._valid_until

    @property
    def valid_until(self) -> float:
        """Time at which the lease ends unless it is renewed."""
        return self._valid_until

    @property
    def current_at(self) -> float:
        """Latest time at which the state is known to have matched the store."""
        return self._valid_until - LEASE_S

    def update_state(self, state: FleetState, version: int) -> None:
        """Replace the known state if this one is newer."""
        if version <= self._version:
            return
        self._state = state
        self._version = version
        for group, named in state.groups.items():
            if self._change_seen_at.get(group, (0, 0.0))[0] != named.change:
                self._change_seen_at[group] = (named.change, now())
        for group, change in list(self._fenced.items()):
            group_state = state.groups.get(group)
            if group_state is not None and (
                group_state.change > change
                or (group_state.change == change and not group_state.changing)
            ):
                del self._fenced[group]
        self._wake()

    def update_holders(self, group: str, holders: dict[str, Holder]) -> None:
        """Set a group's holder records, which the leader's next write will store."""
        if self._state is not None and group in self._state.groups:
            updated = self._state.groups[group]._replace(holders=holders)
            groups = {**self._state.groups, group: updated}
            self._state = self._state._replace(groups=groups)

    def note_registered(self, at: float) -> None:
        """Allow leases for reads of the state that are sent at ``at`` or later.

        A change of primary that began earlier may not have waited for this VM.
        """
        self._registered_at = at

    def suspend(self) -> None:
        """Stop using primaries until this VM is registered again."""
        self._registered_at = math.inf
        self._valid_until = 0.0
        self._wake()

    def renew_lease(self, asked_at: float) -> None:
        """Extend the lease; the state was current at ``asked_at`` or later."""
        if asked_at < self._registered_at:
            return
        if asked_at > max(self._valid_until, self._registered_at) + MAX_LAPSE_S:
            self.suspend()
            return
        if asked_at + LEASE_S > self._valid_until:
            was_valid = self.is_valid
            self._valid_until = asked_at + LEASE_S
            if not was_valid:
                self._wake()

    def fence(self, group: str, change: int) -> None:
        """Block a group: stop using its primary until the change is complete.

        This is unrelated to ``FleetState.fence``, the leader's fencing token.
        """
        group_state = None if self._state is None else self._state.groups.get(group)
        if group_state is not None and (
            group_state.change > change
            or (group_state.change == change and not group_state.changing)
        ):
            return
        self._fenced[group] = max(change, self._fenced.get(group, 0))

    def change_seen_at(self, group: str) -> float:
        """Return when this process learned of the newest change of a group.

        Leases on earlier states began before that. A leader that continues a change of
        its predecessor therefore need not wait for a whole lease again.
        """
        return self._change_seen_at[group][1]

    def primary_of(self, group: str) -> str | None:
        """Return the backend server that may be used as primary now, or None."""
        if self._state is None or group in self._fenced or not self.is_valid:
            return None
        group_state = self._state.groups.get(group)
        if group_state is None or group_state.changing:
            return None
        return group_state.primary

    def named_primary(self, group: str) -> str | None:
        """Return the server named as primary, whether or not it may be used."""
        group_state = None if self._state is None else self._state.groups.get(group)
        return None if group_state is None else group_state.primary

    async def wait_for_change(self) -> None:
        """Wait for a newer state, a lease after a time without one, or ``suspend``.

        The end of a lease does not end the wait.
        """
        await self._changed.wait()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
