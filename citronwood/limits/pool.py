"""Tokens of one account at one ledger: the sum of the shares delegated to it."""

from typing import NamedTuple

# The ends of delegations are rounded down to multiples of this step, and totals are
# kept for each step, so that a grant takes the same time for any number of shares.
END_STEP_S = 0.025


class PooledShare(NamedTuple):
    """One slot's share while it is delegated."""

    # Epoch of the slot and the process that has claimed it.
    holder: tuple[int, str]
    capacity: float
    rate: float
    # End of the delegation, in multiples of END_STEP_S.
    end_step: int


class _StepTotals:
    """Totals of the shares whose delegations end in the same step."""

    __slots__ = ("capacity", "rate", "slots")

    def __init__(self) -> None:
        self.capacity = 0.0
        self.rate = 0.0
        self.slots: set[int] = set()


class SharePool:
    """Token bucket whose capacity and rate are the sums over the delegated shares.

    Drawn tokens are those of grants that are not settled yet. The level and the drawn
    tokens together never exceed the capacity of the shares whose delegation has not
    ended, and increase by at most the rate of these shares.
    """

    def __init__(self, now: float) -> None:
        self.shares: dict[int, PooledShare] = {}
        self.drawn = 0.0
        self._level = 0.0
        self._updated_at = now
        self._totals_by_step: dict[int, _StepTotals] = {}
        self._capacity = 0.0
        self._rate = 0.0

    @property
    def rate(self) -> float:
        """Rate of all delegated shares, in tokens per second."""
        return self._rate

    def update(self, now: float) -> float:
        """Remove ended delegations and refill; return the tokens that can be drawn."""
        # When a delegation ends, the pool loses the share's capacity but keeps the
        # tokens that fit into the rest. The VM of the share starts with an empty
        # bucket, so the sum over all VMs and ledgers stays within the bound.
        ended = [
            end_step
            for end_step in self._totals_by_step
            if end_step * END_STEP_S <= now
        ]
        for end_step in sorted(ended):
            self._refill(end_step * END_STEP_S)
            for slot in self._totals_by_step.pop(end_step).slots:
                del self.shares[slot]
            self._recompute_totals()
        self._refill(now)
        return self._level

    def usable_capacity(self, until: float) -> float:
        """Return the capacity of the shares delegated at least until this time."""
        pairs = self._totals_by_step.items()
        return sum(
            step.capacity for end_step, step in pairs if end_step * END_STEP_S >= until
        )

    def put(self, slot: int, share: PooledShare, now: float) -> None:
        """Add a slot's share, or replace the earlier one."""
        self.update(now)
        old = self.shares.get(slot)
        if old == share:
            return
        if old is not None:
            self._remove(slot, old)
        self._capacity += share.capacity
        self._rate += share.rate
        self.shares[slot] = share
        totals = self._totals_by_step.setdefault(share.end_step, _StepTotals())
        totals.slots.add(slot)
        totals.capacity += share.capacity
        totals.rate += share.rate
        self._set_level(self._level)

    def deposit(self, tokens: float, now: float) -> None:
        """Add tokens that a VM hands over with its share, up to the capacity."""
        self._set_level(self.update(now) + tokens)

    def draw(self, tokens: int, now: float) -> None:
        """Move tokens from the level to the drawn tokens."""
        self._level = self.update(now) - tokens
        self.drawn += tokens

    def settle(self, tokens: int, unused: int, now: float) -> None:
        """Stop counting tokens as drawn and put the ``unused`` ones back."""
        self.update(now)
        self.drawn -= tokens
        self._set_level(self._level + unused)

    def _refill(self, until: float) -> None:
        if until > self._updated_at:
            self._set_level(self._level + (until - self._updated_at) * self._rate)
            self._updated_at = until

    def _remove(self, slot: int, share: PooledShare) -> None:
        self._capacity -= share.capacity
        self._rate -= share.rate
        totals = self._totals_by_step[share.end_step]
        totals.slots.remove(slot)
        if totals.slots:
            totals.capacity -= share.capacity
            totals.rate -= share.rate
        else:
            del self._totals_by_step[share.end_step]

    def _recompute_totals(self) -> None:
        # Summed again whenever delegations end, so that the rounding errors of
        # ``_remove`` do not accumulate.
        self._capacity = sum(step.capacity for step in self._totals_by_step.values())
        self._rate = sum(step.rate for step in self._totals_by_step.values())
        self._set_level(self._level)

    def _set_level(self, level: float) -> None:
        self._level = max(0.0, min(level, self._capacity - self.drawn))
