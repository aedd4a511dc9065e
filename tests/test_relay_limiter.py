"""Rate limits of accounts across all VMs, under simulated load."""

import asyncio
import random

import pytest

from citronwood.relay import limiter as limiter_module
from citronwood.relay.limiter import AccountBuckets, AccountLimiter
from citronwood.relay.model import Account, Rules

VMS = 18
RATE, BURST = 40.0, 40.0
WINDOW_S = 5.0
# The platform's limit for the operations of an account in a window.
MAX_IN_WINDOW = (RATE * WINDOW_S + BURST) * 1.1 + 20


class LimitWorld:
    """VMs and the token buckets of their leader, in virtual time."""

    def __init__(self, monkeypatch):
        self.time = 100.0
        monkeypatch.setattr(limiter_module, "now", lambda: self.time)
        monkeypatch.setattr(limiter_module, "monotonic", lambda: self.time)
        self.accounts = {
            name: Account(name, RATE, BURST) for name in ("hot", "calm", "other")
        }
        rules = Rules(1, {}, self.accounts, {}, {}, {}, 3.0)
        self.buckets = AccountBuckets(lambda: rules)
        self.buckets.set_vm_count(VMS)
        self.disconnected = set()
        self.vms = [
            AccountLimiter(
                self.make_requester(number, lambda: self.buckets), lambda: VMS
            )
            for number in range(VMS)
        ]
        self.admitted = []
        self.refused = []

    def make_requester(self, number, buckets):
        async def request(wanted, unused):
            if number in self.disconnected:
                return None
            return buckets().grant(f"vm{number}", wanted, unused)

        return request

    async def send_operation(self, number, name):
        retry_s = await self.vms[number].acquire(self.accounts[name], self.time + 1)
        if retry_s is None:
            self.admitted.append((self.time, name))
        else:
            assert retry_s > 0
            self.refused.append((self.time, name))

    async def run(self, seconds, arrivals):
        """Send operations to random VMs; ``arrivals`` maps accounts to operations/s."""
        step = 0.01
        end = self.time + seconds
        report_at = {number: self.time for number in range(VMS)}
        while self.time < end:
            for number, vm in enumerate(self.vms):
                if self.time >= report_at[number]:
                    report_at[number] += 0.4
                    if number not in self.disconnected:
                        self.buckets.grant(f"vm{number}", {}, vm.pop_unused())
            for name, rate in arrivals.items():
                count = int(rate * step + random.random())
                for _ in range(count):
                    await self.send_operation(random.randrange(VMS), name)
            self.time += step

    def max_in_window(self, name):
        times = [time for time, account_name in self.admitted if account_name == name]
        return max(
            sum(1 for other in times if time <= other < time + WINDOW_S)
            for time in times[::5]
        )

    def admitted_share(self, name, since):
        admitted_count = sum(
            1
            for time, account_name in self.admitted
            if account_name == name and time >= since
        )
        refused_count = sum(
            1
            for time, account_name in self.refused
            if account_name == name and time >= since
        )
        return admitted_count / (admitted_count + refused_count)


@pytest.fixture
def world(monkeypatch):
    random.seed(5)
    return LimitWorld(monkeypatch)


def test_flood_stays_within_the_limit_without_refusals_of_others(world):
    # One account sends ten times its rate, the others unevenly and below their rates.
    arrivals = {"hot": 400, "calm": 25, "other": 25}
    asyncio.run(world.run(15, arrivals))
    assert world.max_in_window("hot") <= MAX_IN_WINDOW
    assert world.admitted_share("calm", 101) == 1.0
    assert world.admitted_share("other", 101) == 1.0
    hot = sum(1 for _, name in world.admitted if name == "hot")
    assert hot >= 0.9 * RATE * 15


def test_flood_while_some_vms_cannot_reach_the_leader(world):
    async def scenario():
        await world.run(5, {"hot": 400, "calm": 20})
        world.disconnected = {1, 5, 9, 13, 15, 17}
        await world.run(10, {"hot": 400, "calm": 20})
        world.disconnected = set()
        await world.run(5, {"hot": 400, "calm": 20})

    asyncio.run(scenario())
    assert world.max_in_window("hot") <= MAX_IN_WINDOW


def test_new_leader_starts_without_a_second_burst(world):
    async def scenario():
        await world.run(3, {"hot": 400})
        rules = world.buckets._rules
        for _ in range(3):
            world.buckets = AccountBuckets(rules)
            world.buckets.set_vm_count(VMS)
            await world.run(1, {"hot": 400})

    asyncio.run(scenario())
    assert world.max_in_window("hot") <= MAX_IN_WINDOW


def test_two_leaders_together_stay_within_the_limit(world):
    # While some VMs cannot reach the store, a former leader still grants to those that
    # do not know the new leader yet.
    async def scenario():
        await world.run(5, {"hot": 400})
        first = world.buckets
        second = AccountBuckets(first._rules)
        second.set_vm_count(VMS)
        for number, vm in enumerate(world.vms):
            if number % 3 == 0:
                vm._request_grants = world.make_requester(number, lambda: second)
            else:
                vm._request_grants = world.make_requester(number, lambda: first)
        await world.run(10, {"hot": 400})

    asyncio.run(scenario())
    assert world.max_in_window("hot") <= MAX_IN_WINDOW


def test_without_a_leader_each_vm_admits_its_share(world):
    async def scenario():
        world.disconnected = set(range(VMS))
        await world.run(15, {"hot": 400, "calm": 4})

    asyncio.run(scenario())
    assert world.max_in_window("hot") <= MAX_IN_WINDOW
    assert world.admitted_share("calm", 102) > 0.9


def test_account_without_a_rate_is_not_limited(world):
    account = Account("free", None, 0)
    assert asyncio.run(world.vms[0].acquire(account, world.time)) is None


def test_accounts_with_a_low_rate_are_served_by_a_new_grantor(world):
    # Guards against a refusal of the first operation of each small account after a
    # change of leader. In a simulated day of 195 VMs, 261 operations of 140 accounts
    # were refused in the two seconds after it.
    world.accounts.update(
        {f"small{number}": Account(f"small{number}", 2.0, 2.0) for number in range(50)}
    )

    async def scenario():
        for number in range(50):
            await world.send_operation(number % VMS, f"small{number}")

    asyncio.run(scenario())
    assert world.refused == []
