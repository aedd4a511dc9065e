"""Division of an account's rate and burst over share slots.

An account is divided over a bounded number of the fleet's share slots, so that the work
of a VM does not grow with the number of accounts in a large fleet. Every VM computes
the same slots from the account's name and the number of share slots.
"""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b
from heapq import nlargest

# Limit on the slots that share one account. In a fleet with no more slots than this,
# each slot has a share of every account.
MAX_SHARES = 18
_UINT64_MASK = 2**64 - 1


def divisor_of(counts: Iterable[int]) -> int:
    """Return the most shares per account under any of these numbers of slots."""
    return max(min(count, MAX_SHARES) for count in counts)


def choose_slots(account: str, count: int) -> list[int]:
    """Return the slots that share an account, in the order of their numbers.

    ``count`` is the number of share slots of the fleet. The slots are chosen by
    rendezvous hashing, so a change of the count moves as few shares as possible.
    """
    if count <= MAX_SHARES:
        return list(range(count))
    # A multiplicative hash of two digests, because a digest for each pair of account
    # and slot would take about 1 s of CPU for 940 accounts and 620 slots.
    factor = _digest(f"account/{account}") | 1
    weights = [
        (slot_digest * factor & _UINT64_MASK, slot)
        for slot, slot_digest in enumerate(_slot_digests(count))
    ]
    return sorted(slot for _, slot in nlargest(MAX_SHARES, weights))


@lru_cache(maxsize=4)
def _slot_digests(count: int) -> tuple[int, ...]:
    return tuple(_digest(f"slot/{number}") for number in range(count))


def _digest(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest())
