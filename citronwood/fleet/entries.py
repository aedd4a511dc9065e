"""What a VM knows of the others, and the short ids of their processes."""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple
from zlib import crc32

from citronwood.inner.messages import VmState

# Status of a process during a planned stop, and after it.
LEAVING = "leaving"
LEFT = "left"
# Entries that one message asks for.
MAX_WANTED = 64
WANTED_INTERVAL_S = 1.0
MAX_WANTED_NOTES = 4096
# Entries that do not travel in full have this much of the counter, which is enough as
# long as a counter does not rise by half of it while the VM is not counted as dead.
COUNTER_MASK = 0xFFFF


class Liveness(StrEnum):
    """What this VM makes of another."""

    UNHEARD = "unheard"
    LIVE = "live"
    SUSPECT = "suspect"
    DEAD = "dead"


class Change(NamedTuple):
    """Change of one VM as passed to listeners.

    ``ended_incarnation`` is set when a process of this VM has ended, by death or by a
    restart; it and all earlier ones will not return.
    """

    name: str
    liveness: Liveness
    ended_incarnation: int | None


class Entry:
    """What is known of one VM."""

    __slots__ = (
        "advanced_at",
        "asked_at",
        "dropped",
        "heard_at",
        "known_at",
        "listed",
        "liveness",
        "process_id",
        "recovering_since",
        "redial_at",
        "removed_incarnation",
        "reported_until",
        "sent",
        "state",
        "watched_until",
    )

    def __init__(self, state: VmState, now: float) -> None:
        self.state = state
        self.process_id = process_id(state.name, state.incarnation)
        self.known_at = now
        self.sent = 0
        self.watched_until = 0.0
        self.reported_until = 0.0
        self.liveness = Liveness.UNHEARD
        self.listed = False
        # Not on the list any more, but still heard while it stops.
        self.dropped = False
        # Shifted by pauses of this process, unlike ``heard_at``.
        self.advanced_at = now
        self.heard_at: float | None = None
        self.recovering_since: float | None = None
        self.redial_at = 0.0
        self.asked_at = 0.0
        self.removed_incarnation: int | None = None


class ProcessIndex:
    """Entries by the ids that stand for their processes in heartbeats."""

    def __init__(self) -> None:
        # None marks an id that two processes share; their entries travel in full.
        self._entries: dict[int, Entry | None] = {}
        self._wanted_at: dict[int, float] = {}

    def __contains__(self, number: int) -> bool:
        return number in self._entries

    def find(self, number: int) -> Entry | None:
        """Return the entry of a process, None if it is not known or shares its id."""
        return self._entries.get(number)

    def add(self, entry: Entry) -> None:
        """Find the entry by the id of its present process from now on."""
        self.remove(entry)
        entry.process_id = process_id(entry.state.name, entry.state.incarnation)
        shared = entry.process_id in self._entries
        self._entries[entry.process_id] = None if shared else entry

    def remove(self, entry: Entry) -> None:
        """Forget an entry."""
        if self._entries.get(entry.process_id) is entry:
            del self._entries[entry.process_id]

    def request(self, numbers: Iterable[int], now: float) -> tuple[int, ...]:
        """Return those of the unknown ids that may be asked for again."""
        due = [one for one in numbers if self._wanted_at.get(one, 0.0) <= now]
        wanted = tuple(due[:MAX_WANTED])
        if len(self._wanted_at) > MAX_WANTED_NOTES:
            self._wanted_at.clear()
        self._wanted_at.update(dict.fromkeys(wanted, now + WANTED_INTERVAL_S))
        return wanted


def process_id(name: str, incarnation: int) -> int:
    """Return the 32 bits that stand for a process in heartbeats."""
    return crc32(f"{name}/{incarnation}".encode())
