"""Membership entries of VMs, and the short ids of their processes."""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple
from zlib import crc32

from citronwood.inner.messages import VmState

# Status of a process during and after a planned stop.
LEAVING = "leaving"
LEFT = "left"
# Largest number of full entries requested by one message.
MAX_WANTED_IDS = 64
WANTED_RETRY_INTERVAL_S = 1.0
# Beyond this number, the retry times are dropped, so ids may be requested again early.
MAX_TRACKED_WANTED_IDS = 4096
# Low bits of the counter, sent in place of a full entry. They suffice as long as a
# counter does not increase by half of this range before the VM is declared dead.
COUNTER_MASK = 0xFFFF


class Liveness(StrEnum):
    """Liveness of a VM as seen by another."""

    UNHEARD = "unheard"
    LIVE = "live"
    SUSPECT = "suspect"
    DEAD = "dead"


class VmChange(NamedTuple):
    """Change of one VM, passed to listeners.

    ``ended_incarnation`` is set when a process of the VM has ended by failure, stop or
    restart. That incarnation and all earlier ones will not return.
    """

    name: str
    liveness: Liveness
    ended_incarnation: int | None


class Entry:
    """Liveness and last known state of one VM."""

    __slots__ = (
        "advanced_at",
        "heard_at",
        "listed",
        "liveness",
        "probed_at",
        "process_id",
        "process_known_at",
        "reconnect_at",
        "recovering_since",
        "removed_incarnation",
        "reported_until",
        "send_count",
        "state",
        "unlisted_while_stopping",
        "watched_until",
    )

    def __init__(self, state: VmState, now: float) -> None:
        self.state = state
        self.process_id = process_id(state.name, state.incarnation)
        self.process_known_at = now
        # Negative for a new configuration version, which is sent extra times.
        self.send_count = 0
        # This VM is a watcher of the entry's VM until then.
        self.watched_until = 0.0
        # This VM reports the entry's VM as silent until then.
        self.reported_until = 0.0
        self.liveness = Liveness.UNHEARD
        self.listed = False
        # Removed from the platform's list, but still sends heartbeats while it stops.
        self.unlisted_while_stopping = False
        # When the counter last increased. Unlike ``heard_at``, it is moved forward by
        # the pauses of this process.
        self.advanced_at = now
        self.heard_at: float | None = None
        self.recovering_since: float | None = None
        self.reconnect_at = 0.0
        self.probed_at = 0.0
        self.removed_incarnation: int | None = None


class ProcessIndex:
    """Index of entries by the short ids of their processes."""

    def __init__(self) -> None:
        # None marks an id that several processes have had; entries with it are sent in
        # full.
        self._entries: dict[int, Entry | None] = {}
        self._next_request_at: dict[int, float] = {}

    def __contains__(self, short_id: int) -> bool:
        return short_id in self._entries

    def find(self, short_id: int) -> Entry | None:
        """Return the entry of a process, None if the id is unknown or shared."""
        return self._entries.get(short_id)

    def add(self, entry: Entry) -> None:
        """Index an entry under the id of its current process."""
        self.remove(entry)
        entry.process_id = process_id(entry.state.name, entry.state.incarnation)
        is_shared = entry.process_id in self._entries
        self._entries[entry.process_id] = None if is_shared else entry

    def remove(self, entry: Entry) -> None:
        """Remove an entry from the index."""
        if self._entries.get(entry.process_id) is entry:
            del self._entries[entry.process_id]

    def take_due(self, short_ids: Iterable[int], now: float) -> tuple[int, ...]:
        """Return the ids that may be requested now, and start their cooldown."""
        due = [
            candidate
            for candidate in short_ids
            if self._next_request_at.get(candidate, 0.0) <= now
        ]
        wanted = tuple(due[:MAX_WANTED_IDS])
        if len(self._next_request_at) > MAX_TRACKED_WANTED_IDS:
            self._next_request_at.clear()
        self._next_request_at.update(
            dict.fromkeys(wanted, now + WANTED_RETRY_INTERVAL_S)
        )
        return wanted


def process_id(name: str, incarnation: int) -> int:
    """Return the 32-bit short id of a process in heartbeats."""
    return crc32(f"{name}/{incarnation}".encode())
