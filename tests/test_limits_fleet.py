"""Rate and burst of accounts with 18 VMs, over sockets and in real time."""

import asyncio
import random
import time
from collections import Counter

import pytest
from result import Ok

from citronwood.config.api import FixedConfig
from citronwood.config.model import Account, Configuration
from citronwood.deadline import deadline_in
from citronwood.fleet.placement import choose_ledgers
from citronwood.inner.messages import VmState
from citronwood.limits import weights
from citronwood.limits.limiter import FleetLimiter
from citronwood.limits.shares import Slot
from citronwood.metrics import Metrics
from citronwood.operator.records import Records
from tests.fleet_helpers import make_rpc, run

# All VMs run in this process. While it pauses, for example for a garbage collection,
# requests queue up, and there can be more of them than a small burst covers.
pytestmark = pytest.mark.usefixtures("frozen_heap")

RATE = 40.0
BURSTS = {"greedy": 40, "tiny": 5, "small": 10} | {f"a{n}": 40 for n in range(5)}


class SharedMembership:
    """Membership with the same live VMs for all limiters."""

    def __init__(self):
        self.live = ()


class Fleet:
    def __init__(self, size):
        accounts = {
            name: Account(rate=RATE, burst=burst) for name, burst in BURSTS.items()
        }
        self.config = FixedConfig(Configuration(share_slots=size, accounts=accounts))
        self.membership = SharedMembership()
        self.rpcs = [make_rpc(f"vm{number}") for number in range(size)]
        self.records = Records()
        self.limiters = [
            FleetLimiter(rpc, self.config, self.membership, Metrics(), self.records)
            for rpc in self.rpcs
        ]
        self.membership.live = tuple(
            VmState(rpc.name, 1, 1, rpc.url, "d", "live", 0) for rpc in self.rpcs
        )
        self.admitted = {name: [] for name in BURSTS}
        self.refused = Counter()
        self.waits = []

    async def start(self):
        for number, limiter in enumerate(self.limiters):
            slot = Slot(number, 1, (len(self.limiters),))
            limiter.shares.use_slot(slot, time.monotonic())
            limiter.start()
        await asyncio.sleep(4.0)

    async def close(self):
        for limiter, rpc in zip(self.limiters, self.rpcs, strict=True):
            await limiter.close()
            await rpc.close()

    async def kill(self, number):
        await self.limiters[number].close()
        await self.rpcs[number].close()

    async def request(self, account, limiter):
        started = time.monotonic()
        result = await limiter.acquire(account, deadline_in(2.0))
        if isinstance(result, Ok):
            self.admitted[account].append(time.monotonic())
            self.waits.append(time.monotonic() - started)
        else:
            self.refused[account] += 1

    async def traffic(self, account, rate, seconds, choose, seed):
        """Send requests at this rate; the random gaps need only a small burst."""
        rng = random.Random(f"{account}/{seed}")
        requests = []
        started = time.monotonic()
        due = started
        while due < started + seconds:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            requests.append(asyncio.create_task(self.request(account, choose(rng))))
            due += rng.uniform(0.5, 1.5) / rate
        await asyncio.gather(*requests)
        return len(requests)

    def check_bound(self):
        """Check the bound of each account in a sample of all windows."""
        for account, times in self.admitted.items():
            times.sort()
            for first, start in enumerate(times):
                for last in range(first, len(times), 7):
                    # 50 ms tolerance, because an admission is recorded with a delay.
                    bound = BURSTS[account] + RATE * (times[last] - start + 0.05)
                    assert last - first + 1 <= bound, account

    async def run(self, seconds, choose, seed=1):
        """Send "greedy" at 5 times its rate and the others at 90 % of it.

        Return the number of requests sent, by account.
        """
        sent = await asyncio.gather(
            *(
                self.traffic(
                    name,
                    RATE * (5.0 if name == "greedy" else 0.9),
                    seconds,
                    choose,
                    seed,
                )
                for name in BURSTS
            )
        )
        return dict(zip(BURSTS, sent, strict=True))


@pytest.mark.parametrize("shares", [weights.MAX_SHARES, 5])
@pytest.mark.parametrize("spread", ["random", "one VM"])
def test_accounts_within_their_rate_are_not_refused(spread, shares, monkeypatch):
    # Guards against refusals while other VMs have unused tokens, against a greedy
    # account that takes the tokens of others, against shares smaller than one token,
    # and, with 5 shares, against VMs without a share that get no tokens.
    monkeypatch.setattr(weights, "MAX_SHARES", shares)

    async def scenario():
        fleet = Fleet(18)
        await fleet.start()
        first = fleet.limiters[0]
        choose = choose_limiter(fleet, None if spread == "random" else first)
        sent = await fleet.run(6.0, choose)
        greedy_refused = fleet.refused.pop("greedy")
        total = sum(count for name, count in sent.items() if name != "greedy")
        assert sum(fleet.refused.values()) <= total * 0.001, fleet.refused
        assert greedy_refused > sent["greedy"] * 0.6
        assert len(fleet.admitted["greedy"]) > RATE * 6.0 * 0.8
        refusal = fleet.records.list("refusal")[-1].details
        assert refusal["account"] == "greedy"
        assert refusal["rate"] == RATE
        fleet.check_bound()
        await fleet.close()
        fleet.waits.sort()
        print(
            f"refused {fleet.refused} of {total}, greedy admitted"
            f" {len(fleet.admitted['greedy'])}, wait p50"
            f" {fleet.waits[len(fleet.waits) // 2] * 1000:.2f} ms, p99"
            f" {fleet.waits[len(fleet.waits) * 99 // 100] * 1000:.1f} ms"
        )

    run(scenario())


def choose_limiter(fleet, fixed):
    """Return a function that chooses the fixed limiter, or a random one without it."""
    return lambda rng: fixed or rng.choice(fleet.limiters)


@pytest.mark.parametrize("half", [0, 1])
def test_death_of_a_ledger_refuses_little(half):
    # Guards against an account that loses all of its tokens when one VM dies.
    async def scenario():
        fleet = Fleet(18)
        await fleet.start()
        victim = choose_ledgers("a1", fleet.membership.live)[half]
        number = next(
            index for index, rpc in enumerate(fleet.rpcs) if rpc.name == victim.name
        )
        others = [other for n, other in enumerate(fleet.limiters) if n != number]
        running = asyncio.create_task(fleet.run(6.5, lambda rng: rng.choice(others)))
        await asyncio.sleep(2.0)
        await fleet.kill(number)
        sent = await running
        del fleet.refused["greedy"]
        total = sum(count for name, count in sent.items() if name != "greedy")
        print(f"refused {fleet.refused} of {total}")
        assert sum(fleet.refused.values()) < total * 0.01, fleet.refused
        fleet.check_bound()
        await fleet.close()

    run(scenario())


def test_one_vm_gets_the_idle_shares_of_all_vms_at_once():
    # Guards against a burst that arrives at one VM and has to wait for the next renewal
    # of delegations.
    async def scenario():
        fleet = Fleet(18)
        await fleet.start()
        started = time.monotonic()
        requests = [fleet.request("a1", fleet.limiters[5]) for _ in range(38)]
        await asyncio.gather(*requests)
        assert fleet.refused["a1"] == 0
        assert time.monotonic() - started < 0.2
        await fleet.close()

    run(scenario())
