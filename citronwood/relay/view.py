"""What this VM believes about the primaries, and for how long it may act on it.

The fleet's state lies in the platform's store, and one VM at a time, the leader,
changes it. A VM uses a primary only while its last read of the state is younger than
``LEASE_S`` and names that primary as settled. Before a leader replaces a primary, it
writes that the group is changing, and then waits for each VM: for its confirmation that
it has stopped using the primary, for a proof that its process has ended, or for the end
of its lease.
"""

import asyncio
import math
from typing import NamedTuple

from citronwood.relay.clock import now

# Longer than the outages of the store that callers should not notice; a change of
# primary waits this long for a VM that is silent.
LEASE_S = 5.0


class GroupState(NamedTuple):
    """Primary of a group; while ``changing``, it may not be used.

    ``change`` counts the changes.
    """

    primary: str
    term: int
    changing: bool
    change: int


class FleetState(NamedTuple):
    """State that the leader keeps in the platform's store.

    ``edition`` rises with each change of the content, but not with renewals.
    ``fence`` rises with each new leader. ``renewal`` tells each write of a leader from
    all others. ``absent`` names the processes of VMs that are silent for long; they
    have to register anew before they use a primary.
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
    """The fleet's state as this VM last read it."""

    def __init__(self) -> None:
        self._state: FleetState | None = None
        self._version = 0
        self._valid_until = 0.0
        self._registered_at = math.inf
        self._fenced: dict[str, int] = {}
        self._changed = asyncio.Event()

    @property
    def state(self) -> FleetState | None:
        """The newest known state."""
        return self._state

    @property
    def version(self) -> int:
        """Version of the newest known state."""
        return self._version

    @property
    def is_valid(self) -> bool:
        """Whether the state may be acted on."""
        return now() < self._valid_until

    @property
    def valid_until(self) -> float:
        """Time at which the lease ends without another read."""
        return self._valid_until

    @property
    def current_at(self) -> float:
        """Time at which the known state was certainly that of the store."""
        return self._valid_until - LEASE_S

    def learn(self, state: FleetState, version: int) -> None:
        """Take a state that may be newer than the known one."""
        if version <= self._version:
            return
        self._state = state
        self._version = version
        for group, change in list(self._fenced.items()):
            known = state.groups.get(group)
            if known is not None and (
                known.change > change or (known.change == change and not known.changing)
            ):
                del self._fenced[group]
        self._wake()

    def registered(self, at: float) -> None:
        """Let primaries be used with states that are read from this time on.

        A change of primary that began earlier may not have asked this VM.
        """
        self._registered_at = at

    def suspend(self) -> None:
        """Stop using primaries until this VM is registered again."""
        self._registered_at = math.inf
        self._valid_until = 0.0
        self._wake()

    def renew(self, asked_at: float) -> None:
        """Extend the lease: the store was asked for the state at this time."""
        if asked_at < self._registered_at:
            return
        if asked_at + LEASE_S > self._valid_until:
            was_valid = self.is_valid
            self._valid_until = asked_at + LEASE_S
            if not was_valid:
                self._wake()

    def fence(self, group: str, change: int) -> None:
        """Stop using a group's primary until the change is settled."""
        known = None if self._state is None else self._state.groups.get(group)
        if known is not None and (
            known.change > change or (known.change == change and not known.changing)
        ):
            return
        self._fenced[group] = max(change, self._fenced.get(group, 0))

    def primary_of(self, group: str) -> str | None:
        """Return the backend server that may be used as primary now."""
        if self._state is None or group in self._fenced or not self.is_valid:
            return None
        known = self._state.groups.get(group)
        if known is None or known.changing:
            return None
        return known.primary

    def named_primary(self, group: str) -> str | None:
        """Return the server named as primary, whether or not it may be used."""
        known = None if self._state is None else self._state.groups.get(group)
        return None if known is None else known.primary

    async def wait_for_change(self) -> None:
        """Wait until the state or the lease has changed."""
        await self._changed.wait()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
