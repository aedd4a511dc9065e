"""Forecast of the wait for a slot of a server.

Load pattern: for some seconds, statements arrive faster than a server can run them. The
forecast refuses those that cannot run in time when they arrive, instead of at their
deadline, so that their callers can retry later and the queue stays short.
"""

import math
from collections import Counter, defaultdict
from typing import NamedTuple

# Weight of the newest statement in the mean; statements take 3 to 170 ms, so the mean
# of some tens is needed, and a slow server shows within as many statements.
SAMPLE_WEIGHT = 0.05
# With fewer statements, the mean is unknown and nothing is refused.
MIN_SAMPLES = 8
# A mean without a statement for this long is stale: the server may have been slow for
# a moment, or replaced. It is longer than the gaps at a server that is up and in use.
STALE_AFTER_S = 1.0
# Time over which the use of the slots is averaged. Bursts last 3 to 7 s.
USE_WINDOW_S = 1.0
# One in eight grants goes by deadline, whatever the priority; but requests that cannot
# meet their target get hardly any beside those that can.
MAX_HIGHER_SHARE = 7 / 8
MAX_TIMELY_SHARE = 0.98
# Above this number of accounts, those without an answer for this long are forgotten.
PRUNE_ABOVE_ACCOUNTS = 1000
PRUNE_AFTER_S = 5.0


class GrantClass(NamedTuple):
    """Class of requests; those of a smaller one are granted first.

    ``is_late`` is set for requests that cannot meet their target latency.
    """

    priority: int
    is_late: bool


class AdmissionForecast:
    """Measures the statements of one server and estimates waits for a slot."""

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._samples = 0
        self._last_answer_at = -math.inf
        # Time in slots by class, of which each part loses weight with its age.
        self._used_s: dict[GrantClass, float] = {}
        # The same by priority and account, each with the time of its last change.
        self._used_by_account: defaultdict[int, dict[str, tuple[float, float]]]
        self._used_by_account = defaultdict(dict)

    def mean_s(self, now: float) -> float | None:
        """Return the mean time of a statement in its slot; None while unknown."""
        is_stale = now - self._last_answer_at > STALE_AFTER_S
        return None if is_stale or self._samples < MIN_SAMPLES else self._mean_s

    def note_answer(
        self, in_slot_s: float, grant_class: GrantClass, account: str, now: float
    ) -> None:
        """Count a statement that was answered after this time in its slot."""
        if now - self._last_answer_at > STALE_AFTER_S:
            self._samples = 0
        self._samples += 1
        weight = max(SAMPLE_WEIGHT, 1 / self._samples)
        self._mean_s += weight * (in_slot_s - self._mean_s)
        accounts = self._used_by_account[grant_class.priority]
        used_s, at = accounts.get(account, (0.0, now))
        accounts[account] = (used_s * self._decay(at, now) + in_slot_s, now)
        if len(accounts) > PRUNE_ABOVE_ACCOUNTS:
            for other in list(accounts):
                if now - accounts[other][1] > PRUNE_AFTER_S:
                    del accounts[other]
        decay = self._decay(self._last_answer_at, now)
        self._used_s = {other: used * decay for other, used in self._used_s.items()}
        self._used_s[grant_class] = self._used_s.get(grant_class, 0.0) + in_slot_s
        self._last_answer_at = now

    def wait_s(
        self,
        turn: int,
        grant_class: GrantClass,
        account: str,
        timely: Counter[str],
        slots: int,
        now: float,
    ) -> float | None:
        """Return the expected wait for a turn, 1 for the next; None while unknown.

        Requests that arrive meanwhile and are granted first are expected to use as much
        of the slots as they did in the last moments. So are those of accounts with
        fewer waiting requests (``timely``), up to their fair shares.
        """
        mean_s = self.mean_s(now)
        if mean_s is None:
            return None
        used_s = sum(
            used for other, used in self._used_s.items() if other < grant_class
        )
        capacity_s = USE_WINDOW_S * slots
        decay = self._decay(self._last_answer_at, now)
        max_share = MAX_TIMELY_SHARE if grant_class.is_late else MAX_HIGHER_SHARE
        left = 1 - min(max_share, used_s * decay / capacity_s)
        own_waiting = timely[account]
        if own_waiting and not grant_class.is_late:
            others_s = sum(
                used_s * self._decay(at, now)
                for other, (used_s, at) in self._used_by_account[
                    grant_class.priority
                ].items()
                if timely[other] < own_waiting
            )
            left = max(left - others_s / capacity_s, left / len(timely))
        return turn * mean_s / slots / left

    def _decay(self, since: float, now: float) -> float:
        return math.exp((since - now) / USE_WINDOW_S)
