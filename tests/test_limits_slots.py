"""Claims of share slots in the platform's store, and waits for new ledgers."""

import asyncio
import time

import pytest
from result import Err

from citronwood.config.api import FixedConfig
from citronwood.config.model import Account, Configuration
from citronwood.deadline import deadline_in
from citronwood.errors import (
    PlatformUnavailableError,
    VersionConflictError,
)
from citronwood.inner.messages import VmState
from citronwood.limits import shares as shares_module
from citronwood.limits import slots, weights
from citronwood.limits.limiter import FleetLimiter
from citronwood.limits.shares import Demand, Slot, VmShares
from citronwood.limits.slots import SlotKeeper, SlotTable
from citronwood.metrics import Metrics
from citronwood.operator.records import Records
from tests.fleet_helpers import make_rpc, run
from tests.limits_world import Store, total_weight


def make_keeper(store, name, count):
    config = FixedConfig(Configuration(share_slots=count))
    keeper = SlotKeeper(store, name, config, VmShares(lambda: config.current))
    store.names.append(name)
    return keeper


async def check_repeatedly(keepers):
    for _ in range(60):
        for keeper in keepers:
            try:
                await keeper.check()
            except VersionConflictError:
                continue


def slot_numbers(keepers):
    return [
        slot_keeper._shares.slot.number
        for slot_keeper in keepers
        if slot_keeper._shares.slot
    ]


@pytest.fixture(autouse=True)
def short_delegations(monkeypatch):
    monkeypatch.setattr(slots, "RECLAIM_AFTER_S", 0.01)


def test_each_vm_gets_its_own_slot_and_spare_vms_none():
    async def scenario():
        store = Store()
        keepers = [make_keeper(store, f"vm{n}", 4) for n in range(6)]
        await asyncio.gather(
            *(slot_keeper.check() for slot_keeper in keepers), return_exceptions=True
        )
        await check_repeatedly(keepers)
        assert sorted(slot_numbers(keepers)) == [0, 1, 2, 3]
        version = store.version
        await check_repeatedly(keepers)
        assert store.version == version, "an unchanged claim is written again"

    run(scenario())


def test_slot_of_a_removed_vm_is_reclaimed_and_quarantined():
    # Guards against two VMs that use the same share at the same time.
    async def scenario():
        store = Store()
        first, second = (make_keeper(store, f"vm{n}", 1) for n in range(2))
        await check_repeatedly([first, second])
        assert first._shares.slot.number == 0
        assert second._shares.slot is None, "the slot of a listed VM is claimed"
        store.names.remove("vm0")
        await second.check()
        assert second._shares.slot.number == 0
        message = second._shares.compose("l", [], Demand({}, {}), time.monotonic())
        assert message.slot is None, "the slot is used during its quarantine"
        assert second._shares._usable_at >= time.monotonic() + 0.5
        await first.check()
        assert first._shares.slot is None, "the earlier holder still uses the slot"

    run(scenario())


def test_vm_that_is_not_listed_yet_claims_nothing():
    async def scenario():
        store = Store()
        keeper = make_keeper(store, "vm0", 2)
        store.names.clear()
        await keeper.check()
        assert keeper._shares.slot is None
        assert store.value is None

    run(scenario())


def test_restart_takes_the_slot_again_under_a_new_epoch():
    async def scenario():
        store = Store()
        old = make_keeper(store, "vm0", 2)
        await old.check()
        new = make_keeper(store, "vm0", 2)
        await new.check()
        assert new._shares.slot.number == old._shares.slot.number
        assert new._shares.slot.epoch > old._shares.slot.epoch
        assert new._shares._usable_at > time.monotonic()
        await new.release()
        assert SlotTable.parse(store.value).claims == {}
        assert new._shares.slot is None

    run(scenario())


def test_lost_answer_of_a_claim_is_claimed_again():
    async def scenario():
        store = Store()
        keeper = make_keeper(store, "vm0", 2)
        store.lose_answer = True
        with pytest.raises(PlatformUnavailableError):
            await keeper.check()
        assert keeper._shares.slot is None
        store.lose_answer = False
        await keeper.check()
        assert keeper._shares.slot is not None
        assert len(SlotTable.parse(store.value).claims) == 1

    run(scenario())


@pytest.mark.parametrize("shares", [2, 3, 5, 18])
@pytest.mark.parametrize(("before", "after"), [(4, 6), (6, 4)])
def test_changed_slot_count_keeps_the_sum_of_weights_at_most_one(
    before, after, shares, monkeypatch
):
    # The store asserts the sum of the weights at every write.
    monkeypatch.setattr(weights, "MAX_SHARES", shares)

    async def scenario():
        store = Store()
        keepers = [make_keeper(store, f"vm{n}", before) for n in range(6)]
        await check_repeatedly(keepers)
        for keeper in keepers:
            keeper._config = FixedConfig(Configuration(share_slots=after))
            await check_repeatedly([keeper])
        await check_repeatedly(keepers)
        assert sorted(slot_numbers(keepers)) == list(range(after))
        counts = {
            slot_keeper._shares.slot.counts
            for slot_keeper in keepers
            if slot_keeper._shares.slot
        }
        assert counts == {(after,)}
        claims = store.value["claims"]
        assert {total_weight(claims, account) for account in "abcd"} == {1}

    run(scenario())


def test_smaller_weight_is_used_before_it_is_stored():
    async def scenario():
        store = Store()
        keeper = make_keeper(store, "vm0", 2)
        await keeper.check()
        keeper._config = FixedConfig(Configuration(share_slots=3))
        store.lose_answer = True
        with pytest.raises(PlatformUnavailableError):
            await keeper.check()
        assert keeper._shares.slot.divisor == 3
        store.lose_answer = False
        keeper._config = FixedConfig(Configuration(share_slots=2))
        await keeper.check()
        assert keeper._shares.slot.divisor == 2
        assert shares_module.RECLAIM_AFTER_S > 0.5

    run(scenario())


class FixedMembership:
    def __init__(self):
        self.live = ()


@pytest.mark.realtime
@pytest.mark.parametrize(("usable", "longest_s"), [(False, 1.0), (True, 2.5)])
def test_only_a_vm_that_has_delegated_waits_longer_for_new_ledgers(usable, longest_s):
    # Guards against a VM that has just started and lets requests wait as long as after
    # the loss of a ledger. It would admit far more requests than the rate covers within
    # the usual wait of 0.5 s.
    async def scenario():
        rpc = make_rpc("vm1")
        accounts = {"a": Account(rate=0.01, burst=1)}
        config = FixedConfig(Configuration(share_slots=2, accounts=accounts))
        membership = FixedMembership()
        limiter = FleetLimiter(rpc, config, membership, Metrics(), Records())
        ago = 10.0 if usable else 0.0
        limiter.shares.use_slot(Slot(0, 1, (2,)), time.monotonic() - ago)
        limiter.start()
        await asyncio.sleep(0.05)
        membership.live = (VmState("vm1", 1, 1, rpc.url, "d", "live", 0),)
        await asyncio.sleep(0.2)
        started = time.monotonic()
        assert isinstance(await limiter.acquire("a", deadline_in(5.0)), Err)
        elapsed = time.monotonic() - started
        assert longest_s - 1.0 < elapsed < longest_s
        await limiter.close()
        await rpc.close()

    run(scenario())
