"""Tokens of one account at one ledger: the sum of the shares delegated to it."""

from typing import NamedTuple

# Ends of delegations are rounded down to multiples of this time, so that their sums
# can be kept by end. A grant takes the same time for any number of shares.
STEP_S = 0.025


class PooledShare(NamedTuple):
    """One slot's share while it is delegated."""

    # Epoch of the slot and the process that has claimed it.
    holder: tuple[int, str]
    capacity: float
    rate: float
    # End of the delegation, in steps.
    end: int


class _Sum:
    """Shares whose delegations end in the same step."""

    __slots__ = ("capacity", "rate", "slots")

    def __init__(self) -> None:
        self.capacity = 0.0
        self.rate = 0.0
        self.slots: set[int] = set()


class SharePool:
    """Bucket whose capacity and rate are the sums over the delegated shares.

    The level and the drawn tokens together never exceed the capacity of the shares
    whose delegation has not ended, and rise by at most the rate of these shares.
    """

    def __init__(self, now: float) -> None:
        self.shares: dict[int, PooledShare] = {}
        self.drawn = 0.0
        self._level = 0.0
        self._updated_at = now
        self._sums: dict[int, _Sum] = {}
        self._capacity = 0.0
        self._rate = 0.0

    @property
    def rate(self) -> float:
        """Rate of all shares."""
        return self._rate

    def level(self, now: float) -> float:
        """Return the tokens that can be drawn, after ended shares have left."""
        # An ended share takes no tokens with it but the room for them, and its VM
        # starts again without tokens, so the sum over all places does not rise.
        ended = [end for end in self._sums if end * STEP_S <= now]
        for end in sorted(ended):
            self._refill(end * STEP_S)
            for slot in self._sums.pop(end).slots:
                del self.shares[slot]
            self._add_up()
        self._refill(now)
        return self._level

    def usable_capacity(self, until: float) -> float:
        """Return the capacity of the shares that are delegated until a moment."""
        sums = self._sums.items()
        return sum(one.capacity for end, one in sums if end * STEP_S >= until)

    def put(self, slot: int, share: PooledShare, now: float) -> None:
        """Add a share, or replace its earlier state."""
        self.level(now)
        old = self.shares.get(slot)
        if old == share:
            return
        if old is not None:
            self._remove(slot, old)
        self._capacity += share.capacity
        self._rate += share.rate
        self.shares[slot] = share
        found = self._sums.setdefault(share.end, _Sum())
        found.slots.add(slot)
        found.capacity += share.capacity
        found.rate += share.rate
        self._clip(self._level)

    def deposit(self, tokens: float, now: float) -> None:
        """Add tokens that existed elsewhere, up to the capacity."""
        self._clip(self.level(now) + tokens)

    def draw(self, tokens: int, now: float) -> None:
        """Move tokens from the level to the drawn ones."""
        self._level = self.level(now) - tokens
        self.drawn += tokens

    def settle(self, tokens: int, unused: int, now: float) -> None:
        """Forget drawn tokens, of which ``unused`` were not used."""
        self.level(now)
        self.drawn -= tokens
        self._clip(self._level + unused)

    def _refill(self, until: float) -> None:
        if until > self._updated_at:
            self._clip(self._level + (until - self._updated_at) * self._rate)
            self._updated_at = until

    def _remove(self, slot: int, share: PooledShare) -> None:
        self._capacity -= share.capacity
        self._rate -= share.rate
        found = self._sums[share.end]
        found.slots.remove(slot)
        if found.slots:
            found.capacity -= share.capacity
            found.rate -= share.rate
        else:
            del self._sums[share.end]

    def _add_up(self) -> None:
        # Anew from time to time, so that rounding errors do not add up.
        self._capacity = sum(one.capacity for one in self._sums.values())
        self._rate = sum(one.rate for one in self._sums.values())
        self._clip(self._level)

    def _clip(self, level: float) -> None:
        self._level = max(0.0, min(level, self._capacity - self.drawn))
