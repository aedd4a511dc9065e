"""Rules of the ledger and of a VM's shares that keep an account within its bound."""

import pytest

from citronwood.config.model import Account, Configuration
from citronwood.inner.messages import LendShares
from citronwood.limits.ledger import (
    DELEGATION_S,
    PREFETCH_GRANT_TTL_S,
    WANTED_GRANT_TTL_S,
    Ledger,
)
from citronwood.limits.shares import RECLAIM_AFTER_S, Demand, Slot, VmShares

CONFIG = Configuration(share_slots=1, accounts={"a": Account(rate=1000, burst=100)})
T0 = 50.0


def exchange(ledger, sequence, now, stamp, wanted=0, level=0.0, **changes):
    """Send a message with changed fields to the ledger; return the granted tokens."""
    message = LendShares(
        ledger_epoch=7,
        stamp_us=int(stamp * 1e6),
        sequence=sequence,
        slot=0,
        slot_epoch=1,
        divisor=1,
        levels={"a": level},
        wanted={"a": wanted} if wanted else {},
        ahead={},
        settled={},
    )
    answer = ledger.handle("vm0", message._replace(**changes), now)
    return sum(grant[1] for grant in answer.granted.get("a", []))


@pytest.fixture
def ledger():
    return Ledger(lambda: CONFIG, epoch=7)


def test_grants_never_outlast_the_shares_that_they_draw_on(ledger):
    exchange(ledger, 1, T0, T0, level=100.0)
    late = T0 + DELEGATION_S - WANTED_GRANT_TTL_S / 2
    assert exchange(ledger, 2, late, 0.0, wanted=10) == 0
    assert exchange(ledger, 3, late - WANTED_GRANT_TTL_S, 0.0, wanted=10) == 10
    assert PREFETCH_GRANT_TTL_S < DELEGATION_S


def test_late_message_does_not_extend_a_delegation(ledger):
    exchange(ledger, 1, T0 + 0.8 * DELEGATION_S, T0, level=100.0)
    assert ledger.available("a", T0 + 0.9 * DELEGATION_S)[1] == 1
    assert ledger.available("a", T0 + 1.01 * DELEGATION_S) == (0, 0)
    exchange(ledger, 2, T0 + 2 * DELEGATION_S, T0, level=100.0)
    assert ledger.available("a", T0 + 2 * DELEGATION_S) == (0, 0)


def test_handed_over_tokens_count_once(ledger):
    assert exchange(ledger, 1, T0, T0, wanted=100, level=100.0) == 100
    tokens_left = ledger.available("a", T0)[0]
    assert tokens_left == 0
    exchange(ledger, 2, T0, T0, settled={1: 0})
    exchange(ledger, 1, T0, T0, level=100.0)
    assert ledger.available("a", T0)[0] == 0


@pytest.mark.parametrize(
    "changes",
    [{"ledger_epoch": 6}, {"slot": None}, {"divisor": 0}, {"stamp_us": 10**12}],
)
def test_invalid_timestamps_and_missing_slots_delegate_nothing(ledger, changes):
    exchange(ledger, 1, T0, T0, level=100.0, **changes)
    assert ledger.available("a", T0) == (0, 0)


def test_earlier_holder_of_a_slot_delegates_nothing(ledger):
    exchange(ledger, 1, T0, T0, slot_epoch=2)
    exchange(ledger, 2, T0 + DELEGATION_S, T0 + DELEGATION_S, level=100.0, slot_epoch=1)
    assert ledger.available("a", T0 + DELEGATION_S) == (0, 0)


def test_grants_are_settled_once_and_only_by_their_vm(ledger):
    assert exchange(ledger, 1, T0, T0, wanted=100, level=100.0) == 100
    ledger._settle_grants("vm1", {1: 100}, T0)
    assert ledger.available("a", T0)[0] == 0
    for _ in range(2):
        ledger._settle_grants("vm0", {1: 40}, T0)
    assert ledger.available("a", T0)[0] == 40


def test_new_holder_waits_out_the_longest_delegation():
    shares = VmShares(lambda: CONFIG)
    shares.use_slot(Slot(0, 1, (1,)), T0)
    assert not shares.try_take("a", T0 + DELEGATION_S)
    assert not shares.try_take("a", T0 + RECLAIM_AFTER_S)
    assert shares.try_take("a", T0 + RECLAIM_AFTER_S + 0.01)
    shares.use_slot(Slot(0, 2, (1,)), T0 + 2)
    assert not shares.try_take("a", T0 + 2 + DELEGATION_S)


@pytest.mark.parametrize("used_before", [False, True])
def test_changed_weight_applies_from_the_time_of_the_change(used_before):
    # Guards against a share that is refilled for past time with its new weight, or with
    # its old weight until its next use, while other VMs already use the difference.
    shares = VmShares(lambda: CONFIG)
    shares.use_slot(Slot(0, 1, (1,)), T0)
    now = T0 + 2
    if used_before:
        while shares.try_take("a", now):
            pass
    shares.use_slot(Slot(0, 1, (1, 2)), now)
    now += 0.0401
    assert sum(shares.try_take("a", now) for _ in range(100)) == 20
    shares.use_slot(Slot(0, 1, (1,)), now)
    assert not shares.try_take("a", now)


def test_delegated_share_is_not_used_by_its_vm_and_returns_empty(ledger):
    shares = VmShares(lambda: CONFIG)
    shares.use_slot(Slot(0, 1, (1,)), T0)
    now = T0 + 2
    for _ in range(2):
        message = shares.compose("l", ["a"], Demand({}, {}), now)
        shares.apply("l", message, ledger.handle("vm0", message, now), now)
    assert message.levels == {"a": 100.0}
    assert ledger.available("a", now) == (100.0, 1)
    assert not shares.try_take("a", now + RECLAIM_AFTER_S - 0.01)
    assert not shares.try_take("a", now + RECLAIM_AFTER_S)
    assert shares.try_take("a", now + RECLAIM_AFTER_S + 0.01)
