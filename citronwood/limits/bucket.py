"""Token bucket of one share of an account's rate and burst."""


class ShareBucket:
    """Token bucket of one share. Drawn tokens occupy capacity until they are settled.

    The level and the drawn tokens together never exceed the capacity, so the tokens
    that can be used within any window of length W are at most capacity + rate * W.
    """

    __slots__ = ("_drawn", "_level", "_updated_at", "capacity", "rate")

    def __init__(self, capacity: float, rate: float, now: float) -> None:
        self.capacity = capacity
        self.rate = rate
        self._level = 0.0
        self._drawn = 0.0
        self._updated_at = now

    def refill(self, now: float) -> float:
        """Refill the bucket and return the tokens that can be taken or drawn."""
        if now > self._updated_at:
            filled = self._level + (now - self._updated_at) * self.rate
            self._level = min(filled, self.capacity - self._drawn)
            self._updated_at = now
        return max(0.0, self._level)

    def resize(self, capacity: float, rate: float, now: float) -> None:
        """Change capacity and rate; tokens above the capacity are dropped."""
        self.refill(now)
        self.capacity = capacity
        self.rate = rate
        self._level = min(self._level, capacity - self._drawn)

    def deposit(self, amount: float, now: float) -> None:
        """Add tokens handed over from another bucket, up to the capacity."""
        self._level = min(self.refill(now) + amount, self.capacity - self._drawn)

    def draw(self, amount: float, now: float) -> None:
        """Move tokens from the level to the drawn tokens."""
        self._level = self.refill(now) - amount
        self._drawn += amount

    def settle(self, amount: float, returned: float, now: float) -> None:
        """Stop counting tokens as drawn and put the ``returned`` unused ones back."""
        self.refill(now)
        self._drawn = max(0.0, self._drawn - amount)
        self._level = min(self._level + returned, self.capacity - self._drawn)

    def take_all(self, now: float) -> float:
        """Take all tokens and return their number."""
        taken = self.refill(now)
        self._level = 0.0
        return taken

    def take(self, amount: float, now: float) -> bool:
        """Take tokens and return True, or return False if there are too few."""
        level = self.refill(now)
        if level < amount:
            return False
        self._level = level - amount
        return True

    def stay_empty_until(self, when: float) -> None:
        """Drop all tokens and start to refill at a time in the future."""
        self._level = 0.0
        self._updated_at = when
