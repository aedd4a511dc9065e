"""Single mechanisms of the ledger that keep the sum of all tokens below the burst."""

import pytest

from citronwood.config.model import Account, Configuration
from citronwood.inner.messages import LendShares
from citronwood.limits.ledger import AHEAD_GRANT_S, LEND_S, WANTED_GRANT_S, Ledger
from citronwood.limits.shares import HOME_AFTER_S, Demand, Slot, VmShares

CONFIG = Configuration(share_slots=1, accounts={"a": Account(rate=1000, burst=100)})
T0 = 50.0


def lend(ledger, sequence, now, stamp, wanted=0, level=0.0, **changes):
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
    lend(ledger, 1, T0, T0, level=100.0)
    late = T0 + LEND_S - WANTED_GRANT_S / 2
    assert lend(ledger, 2, late, 0.0, wanted=10) == 0
    assert lend(ledger, 3, late - WANTED_GRANT_S, 0.0, wanted=10) == 10
    assert AHEAD_GRANT_S < LEND_S


def test_late_message_does_not_extend_a_delegation(ledger):
    lend(ledger, 1, T0 + 0.8 * LEND_S, T0, level=100.0)
    assert ledger.available("a", T0 + 0.9 * LEND_S)[1] == 1
    assert ledger.available("a", T0 + 1.01 * LEND_S) == (0, 0)
    lend(ledger, 2, T0 + 2 * LEND_S, T0, level=100.0)
    assert ledger.available("a", T0 + 2 * LEND_S) == (0, 0)


def test_handed_over_tokens_count_once(ledger):
    assert lend(ledger, 1, T0, T0, wanted=100, level=100.0) == 100
    settled = ledger.available("a", T0)[0]
    assert settled == 0
    lend(ledger, 2, T0, T0, settled={1: 0})
    lend(ledger, 1, T0, T0, level=100.0)
    assert ledger.available("a", T0)[0] == 0


@pytest.mark.parametrize(
    "changes",
    [{"ledger_epoch": 6}, {"slot": None}, {"divisor": 0}, {"stamp_us": 10**12}],
)
def test_foreign_stamps_and_missing_slots_delegate_nothing(ledger, changes):
    lend(ledger, 1, T0, T0, level=100.0, **changes)
    assert ledger.available("a", T0) == (0, 0)


def test_earlier_holder_of_a_slot_delegates_nothing(ledger):
    lend(ledger, 1, T0, T0, slot_epoch=2)
    lend(ledger, 2, T0 + LEND_S, T0 + LEND_S, level=100.0, slot_epoch=1)
    assert ledger.available("a", T0 + LEND_S) == (0, 0)


def test_grants_are_settled_once_and_only_by_their_vm(ledger):
    assert lend(ledger, 1, T0, T0, wanted=100, level=100.0) == 100
    ledger._settle("vm1", {1: 100}, T0)
    assert ledger.available("a", T0)[0] == 0
    for _ in range(2):
        ledger._settle("vm0", {1: 40}, T0)
    assert ledger.available("a", T0)[0] == 40


def test_new_holder_waits_out_the_longest_delegation():
    shares = VmShares(lambda: CONFIG)
    shares.use_slot(Slot(0, 1, (1,)), T0)
    assert not shares.try_take("a", T0 + LEND_S)
    assert not shares.try_take("a", T0 + HOME_AFTER_S)
    assert shares.try_take("a", T0 + HOME_AFTER_S + 0.01)
    shares.use_slot(Slot(0, 2, (1,)), T0 + 2)
    assert not shares.try_take("a", T0 + 2 + LEND_S)


@pytest.mark.parametrize("looked_at", [False, True])
def test_changed_weight_counts_from_its_first_use(looked_at):
    # Guards against a share that fills for the past with its new weight, or with the
    # old one until it is next looked at, while other VMs use the rest already.
    shares = VmShares(lambda: CONFIG)
    shares.use_slot(Slot(0, 1, (1,)), T0)
    now = T0 + 2
    if looked_at:
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
    assert not shares.try_take("a", now + HOME_AFTER_S - 0.01)
    assert not shares.try_take("a", now + HOME_AFTER_S)
    assert shares.try_take("a", now + HOME_AFTER_S + 0.01)
