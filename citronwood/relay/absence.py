"""Whether a statement waits for a group's primary, or is refused at once.

Load pattern: a change of primary usually takes half a second, and statements that wait
for it are served in time. When it has to wait for the lease of a lost VM, it takes many
seconds, and hundreds of statements would each wait until their deadline in vain. An
absence is expected to last as long again as it has lasted so far, so a statement waits
only if it has more time left than that. Its caller is told to return after that time.
"""

from typing import NamedTuple

from citronwood.relay.clock import now

# An absence that no statement has met for this time counts as ended, because a VM with
# few statements may not have seen its end.
MAX_GAP_S = 2.0
MIN_RETRY_S = 0.5
MAX_RETRY_S = 2.0


class _Absence(NamedTuple):
    since: float
    last_met_at: float


class PrimaryAbsences:
    """Groups that had no usable primary when it was last needed."""

    def __init__(self) -> None:
        self._absences: dict[str, _Absence] = {}

    def note_present(self, group: str) -> None:
        """Record that the group has a primary."""
        self._absences.pop(group, None)

    def note_missing(self, group: str) -> None:
        """Record that the group has no primary."""
        time = now()
        known = self._absences.get(group)
        if known is None or time - known.last_met_at > MAX_GAP_S:
            known = _Absence(time, time)
        self._absences[group] = _Absence(known.since, time)

    def may_end_within(self, group: str, time_left_s: float) -> bool:
        """Whether a primary is expected within this time."""
        return self._duration_s(group) <= time_left_s

    def retry_s(self, group: str) -> float:
        """Return the time after which a caller may return."""
        return min(MAX_RETRY_S, max(MIN_RETRY_S, self._duration_s(group)))

    def _duration_s(self, group: str) -> float:
        known = self._absences.get(group)
        return 0.0 if known is None else now() - known.since
