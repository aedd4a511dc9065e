"""Load of one backend server, as the VM that holds the connections to it sees it.

Load pattern: statements of many VMs and accounts meet at the owner of a server, which
therefore knows how many of them run and wait without asking the server.
"""

from time import monotonic
from typing import NamedTuple

# Assumed until the first statement has ended.
INITIAL_MEAN_S = 0.015
# Weight of the newest statement in the mean; statements take 3 to 170 ms, so the mean
# of some tens is needed, and a slow server shows within as many statements.
SAMPLE_WEIGHT = 0.05


class ServerLoad(NamedTuple):
    """Statements at a server and waiting for it at its owner.

    ``mean_ms`` is the mean time for which a statement occupies a slot.
    """

    slots: int
    running: int
    waiting: int
    mean_ms: float

    @property
    def expected_wait_s(self) -> float:
        """Expected time until another statement gets a slot."""
        ahead = self.running + self.waiting + 1 - self.slots
        return max(0, ahead) * self.mean_ms / 1000 / max(1, self.slots)


class LoadMeter:
    """Counts the statements that run at a server and measures their mean time."""

    def __init__(self) -> None:
        self._running = 0
        self._mean_s = INITIAL_MEAN_S

    @property
    def running(self) -> int:
        """Number of statements that were sent and not answered."""
        return self._running

    @property
    def mean_s(self) -> float:
        """Mean time for which a statement occupies a slot."""
        return self._mean_s

    def begin(self) -> float:
        """Count a statement that is sent now; return the time."""
        self._running += 1
        return monotonic()

    def end(self, began_at: float, slots: int) -> None:
        """Count the end of a statement.

        With more statements than slots, a part of its time was spent in the server's
        queue.
        """
        took_s = monotonic() - began_at
        in_slot_s = took_s * min(1.0, max(1, slots) / self._running)
        self._mean_s += SAMPLE_WEIGHT * (in_slot_s - self._mean_s)
        self._running -= 1

    def abandon(self) -> None:
        """Count the end of a statement without an answer."""
        self._running -= 1
