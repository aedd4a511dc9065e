"""Division of an account's rate and burst over share slots.

An account is divided over a bounded number of the fleet's share slots, so that the work
of a VM does not grow with the number of accounts in a large fleet. Every VM computes
the same slots from the account's name and the number of share slots.
"""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b
from heapq import nlargest

# Slots that share one account; with as many slots or fewer, each has a share of all.
MAX_SHARES = 18
_MASK = 2**64 - 1


def divisor_of(counts: Iterable[int]) -> int:
    """Return the largest number of shares under any of these numbers of slots."""
    return max(min(count, MAX_SHARES) for count in counts)


def chosen_slots(account: str, count: int) -> list[int]:
    """Return the slots that share an account, in the order of their numbers.

    Rendezvous hashing: another number of slots changes only the shares that have to
    move.
    """
    if count <= MAX_SHARES:
        return list(range(count))
    # A multiplicative hash of two digests: a digest for each pair of an account and a
    # slot would take about 1 s of CPU for 940 accounts and 620 slots.
    factor = _digest(f"account/{account}") | 1
    weights = [(key * factor & _MASK, slot) for slot, key in enumerate(_keys(count))]
    return sorted(slot for _, slot in nlargest(MAX_SHARES, weights))


@lru_cache(maxsize=4)
def _keys(count: int) -> tuple[int, ...]:
    return tuple(_digest(f"slot/{number}") for number in range(count))


def _digest(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest())
