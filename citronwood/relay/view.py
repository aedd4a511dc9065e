"""The primaries that this VM knows, and the lease that limits how long it uses them.

The fleet's state is kept in the platform's store and changed by one VM at a time, the
leader. A VM uses a primary only while it knows that the state was current less than
``LEASE_S`` ago and names that primary without a change in progress. Before a leader
replaces a primary, it marks the group as changing. It then waits until each VM has
confirmed that it stopped using the primary, the VM's process is known to have ended, or
the VM's lease has ended.

A state that was written before the store was restored from a copy is not used, because
the copy may lack later changes (docs/restored-store.md).
"""

import asyncio
import math
from typing import NamedTuple

from citronwood.relay.clock import now
from citronwood.relay.holders import Holder
from citronwood.relay.model import Position
from citronwood.versions import generation_of

# The lease outlasts short outages of the store, so that callers do not notice them. A
# change of primary waits up to this long and a margin for a VM that does not answer.
LEASE_S = 5.0
# Covers the clock drift between two VMs during one lease.
LEASE_MARGIN_S = 0.2
# A VM whose lease ended longer ago than this registers again before it uses a primary,
# because its entry in the list of VMs may have been removed meanwhile.
MAX_LAPSE_S = 60.0


class GroupState(NamedTuple):
    """Primary of a group; it must not be used while ``changing`` is set.

    ``change`` is the number of the newest change of primary in the group. With
    ``uncertain``, the store was restored from a copy, and a later primary may have been
    lost with it; the group then is changing. During such a change, ``primary`` is empty
    while nobody has named the newest one, and ``former`` is the last that is known;
    ``former`` is not stored. The other
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
    uncertain: bool = False
    former: str = ""


class FleetState(NamedTuple):
    """State that the leader keeps in the platform's store.

    ``edition`` is the number (``citronwood.versions``) of the update that last changed
    the content; renewals leave it. ``fence`` is the leader's fencing token, the number
    of the update with which it became leader.
    ``renewal`` is a random value that makes each write of the state unique. ``secret``
    authenticates calls between VMs. ``absent`` maps VMs that have not reported for a
    long time to the ``process`` ids of their entries in the list of VMs; they have to
    register again before they use a primary. With ``restored``, the store was restored
    from a copy lately, and VMs that its list lacks may use primaries.
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
    restored: bool = False


class PrimaryView:
    """Newest known state of the fleet, and this VM's lease on it."""

    def __init__(self) -> None:
        self._state: FleetState | None = None
        self._version = 0
        # Whether the content at the newest known version was written in its generation.
        self._is_current = False
        self._current_since = math.inf
        # Content at the newest known version if it is of an earlier generation.
        self._restored_state: FleetState | None = None
        # By group, its state in the newest term that this process has known.
        self._newest_groups: dict[str, GroupState] = {}
        self._registered_generation = 0
        self._valid_until = 0.0
        self._registered_at = math.inf
        self._fenced: dict[str, int] = {}
        self._change_seen_at: dict[str, tuple[int, float]] = {}
        self._changed = asyncio.Event()

    @property
    def state(self) -> FleetState | None:
        """Newest known state, without one that is only known from a copy."""
        return self._state

    @property
    def version(self) -> int:
        """Newest known version of the store's object with the state."""
        return self._version

    @property
    def is_current(self) -> bool:
        """Whether the state is that of the newest known version.

        After a restore the store may have the content of an earlier generation, from
        the copy or by an update that was executed late.
        """
        return self._is_current

    @property
    def current_since(self) -> float:
        """Time at which the first state of the newest generation was known.

        Leases on states of earlier generations began before that.
        """
        return self._current_since

    @property
    def newest_knowledge(self) -> FleetState | None:
        """Newest content of the state, also of earlier generations or of a copy."""
        states = [
            state for state in (self._state, self._restored_state) if state is not None
        ]
        return max(states, key=lambda state: state.edition, default=None)

    @property
    def _is_lease_allowed(self) -> bool:
        is_unknown = self._state is None and self._restored_state is None
        return (is_unknown or self.is_current) and (
            self._registered_generation == generation_of(self._version)
        )

    @property
    def is_registered(self) -> bool:
        """Whether leases are allowed since the last registration of this VM."""
        return self._registered_at < math.inf

    @property
    def is_registration_lost(self) -> bool:
        """Whether this VM's entry may be missing in a store that was restored."""
        return self._registered_generation < generation_of(self._version)

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
        """Replace the known state if this one is newer.

        A state that was last written in an earlier generation of the store only
        replaces the version.
        """
        if version <= self._version:
            return
        self._version = version
        generation = generation_of(version)
        self._is_current = generation_of(state.edition) == generation
        if not self._is_current:
            self._restored_state = state
            self._wake()
            return
        if self._state is None or generation_of(self._state.edition) != generation:
            self._current_since = now()
        self._state = state
        self._restored_state = None
        for group, named in state.groups.items():
            newest = self._newest_groups.get(group)
            if newest is None or named.term >= newest.term:
                self._newest_groups[group] = named
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

    def note_missing(self, version: int) -> None:
        """Record that the store has no state; ``version`` is that of a missing one."""
        if version > self._version:
            self._version = version
            self._is_current = False
            self._restored_state = None
            self._wake()

    def update_holders(self, group: str, holders: dict[str, Holder]) -> None:
        """Set a group's holder records, which the leader's next write will store."""
        if self._state is not None and group in self._state.groups:
            updated = self._state.groups[group]._replace(holders=holders)
            groups = {**self._state.groups, group: updated}
            self._state = self._state._replace(groups=groups)

    def note_registered(self, at: float, generation: int = 0) -> None:
        """Allow leases for reads of the state that are sent at ``at`` or later.

        A change of primary that began earlier may not have waited for this VM, nor one
        in another generation of the store than the one that has its entry.
        """
        self._registered_at = at
        self._registered_generation = generation

    def suspend(self) -> None:
        """Stop using primaries until this VM is registered again."""
        self._registered_at = math.inf
        self._valid_until = 0.0
        self._wake()

    def renew_lease(self, asked_at: float) -> None:
        """Extend the lease; the state was current at ``asked_at`` or later."""
        if asked_at < self._registered_at or not self._is_lease_allowed:
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

    def newest_group(self, group: str) -> GroupState | None:
        """Return a group's state in the newest term that this process has known."""
        return self._newest_groups.get(group)

    def named_primary(self, group: str) -> str | None:
        """Return the server named as primary, whether or not it may be used."""
        group_state = None if self._state is None else self._state.groups.get(group)
        return None if group_state is None else group_state.primary

    async def wait_for_change(self) -> None:
        """Wait for a newer version, a lease after a time without one, or ``suspend``.

        The end of a lease does not end the wait.
        """
        await self._changed.wait()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
