"""Log positions that bound the age of reads at replicas.

If a primary is asked for its position at time t, the reported position covers all
commits acknowledged before t. The data of a replica that has applied this position is
therefore not older than t.
"""

from collections import deque
from typing import NamedTuple

from citronwood.relay.model import Position

MAX_OBSERVATIONS = 64
# Observations closer together than this add no useful precision.
MIN_OBSERVATION_INTERVAL_S = 0.02


class Observation(NamedTuple):
    """Position of a primary; ``asked_at`` is the time before the request was sent."""

    asked_at: float
    position: Position


class NewestCommits:
    """Newest commit of each group that this process knows to be acknowledged."""

    def __init__(self) -> None:
        # None after a commit whose position is not known.
        self._positions: dict[str, Position | None] = {}

    def note(self, group: str, position: Position | None) -> None:
        """Record a commit that a primary has acknowledged."""
        known = self.of_group(group)
        if known is None or position is None:
            self._positions[group] = None
        else:
            self._positions[group] = max(known, position)

    def of_group(self, group: str) -> Position | None:
        """Return a position that covers all commits; None if it is not known."""
        return self._positions.get(group, Position(0, 0))


class GroupPositions:
    """Recent positions of one group's primaries."""

    def __init__(self) -> None:
        self._observations: deque[Observation] = deque(maxlen=MAX_OBSERVATIONS)

    @property
    def newest(self) -> Observation | None:
        """Most recent observation."""
        return self._observations[-1] if self._observations else None

    def observe(self, position: Position, asked_at: float) -> None:
        """Record the position that a primary reported when asked at ``asked_at``."""
        newest = self.newest
        if newest is not None:
            if position.term < newest.position.term:
                return
            if position.term > newest.position.term:
                # Commits of the old term may have been rolled back.
                self._observations.clear()
            elif asked_at < newest.asked_at + MIN_OBSERVATION_INTERVAL_S:
                return
        self._observations.append(Observation(asked_at, position))

    def covering(self, time: float) -> Position | None:
        """Return the lowest known position that covers all commits before a time."""
        for observation in self._observations:
            if observation.asked_at >= time:
                return observation.position
        return None

    def clamp(self, floor: Position | None) -> Position | None:
        """Raise a session's floor to the newest term if it is from an earlier one.

        A position of an earlier term may include commits that a change of primary
        rolled back. The commits that survived precede the first position observed in
        the new term.
        """
        if floor is None or not self._observations:
            return floor
        first = self._observations[0].position
        return first if floor.term < first.term else floor
