"""Fairness of the limits: 8 accounts over 18 VMs, one offering 5 times its rate.

All limiters run in this process and talk over real sockets. The baselines get the same
offered requests one after the other: a fixed share per VM, and one ledger that is asked
for every request. A request is refused wrongly when a single bucket for the
whole fleet, with the same longest wait, would have admitted one more request.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from time import monotonic, process_time
from typing import NamedTuple

import uvloop
from result import Ok

from benchmarks.report import Row, percentile
from benchmarks.series import Recorder
from citronwood.config.api import FixedConfig
from citronwood.config.model import Account, Configuration
from citronwood.deadline import deadline_in
from citronwood.errors import CitronwoodError
from citronwood.fleet.placement import choose_ledgers
from citronwood.inner.messages import LendShares, TokenGrants, VmState
from citronwood.inner.rpc import Caller, Rpc
from citronwood.limits.limiter import WAIT_S, FleetLimiter
from citronwood.limits.shares import Slot
from citronwood.metrics import Metrics
from citronwood.operator.records import Records

VMS = 18
SECONDS = 6.0
FLOODER = "a0"
OURS = "share slots"
WARM_UP_S = 4.0
ROUNDING = 1e-6
SECRET = b"secret of the benchmarks"
# (rate, burst, offered part of the rate, VMs that its requests arrive at): a few large
# accounts, small ones, and some whose connections all end at one or two VMs.
ACCOUNTS: dict[str, tuple[float, int, float, int]] = {
    FLOODER: (60.0, 60, 5.0, VMS),
    "a1": (120.0, 120, 0.95, VMS),
    "a2": (120.0, 120, 0.95, 2),
    "a3": (40.0, 40, 0.9, VMS),
    "a4": (40.0, 40, 0.9, 1),
    "a5": (20.0, 20, 0.9, VMS),
    "a6": (20.0, 20, 0.9, 2),
    "a7": (10.0, 10, 0.8, 1),
}
Acquire = Callable[[int, str], Awaitable[bool]]


class Offer(NamedTuple):
    """One offered request and its end."""

    at: float
    ended_at: float
    admitted: bool


class Outcome(NamedTuple):
    """What one account got from one way of limiting."""

    allowed: int
    refused_rightly: int
    refused_wrongly: int
    p50_ms: float
    p99_ms: float
    share: float
    excess: float


class FixedMembership:
    """All VMs are live."""

    def __init__(self, own: VmState, live: tuple[VmState, ...]) -> None:
        self.own = own
        self.live = live

    def is_dead(self, name: str) -> bool:
        """Nothing fails here."""
        return False

    def heard_majority(self, within_s: float) -> bool:
        """Everybody is heard."""
        return True


class TokenQueue:
    """Token bucket with a queue in which a request waits for ``WAIT_S`` at most.

    ``ready_at`` reserves a token; it is refused when it would come too late, so that no
    request waits in vain.
    """

    def __init__(self, rate: float, burst: float, full_at: float = 0.0) -> None:
        self._rate = rate
        self._burst = burst
        # Moment at which a bucket that started empty would have paid for everything.
        self._paid_at = full_at - burst / rate

    def ready_at(self, now: float) -> float | None:
        """Return when the token is there, or None without taking it."""
        ready = max(self._paid_at, now - self._burst / self._rate) + 1 / self._rate
        if ready > now + WAIT_S:
            return None
        self._paid_at = ready
        return max(now, ready)

    async def wait(self) -> bool:
        """Take one token and wait for it."""
        now = monotonic()
        ready = self.ready_at(now)
        if ready is not None:
            await asyncio.sleep(ready - now)
        return ready is not None


class FixedShares:
    """Baseline: each VM has 1/N of rate and burst and knows nothing of the others."""

    def __init__(self) -> None:
        self._queues = {
            (vm, name): TokenQueue(rate / VMS, burst / VMS)
            for vm in range(VMS)
            for name, (rate, burst, _, _) in ACCOUNTS.items()
        }

    async def acquire(self, vm: int, account: str) -> bool:
        """Wait for a token of the VM's own share."""
        return await self._queues[vm, account].wait()


class AskEveryTime:
    """Baseline: one ledger answers one call for each request.

    It reuses the inner protocol's token messages; only ``wanted`` matters.
    """

    def __init__(self, rpcs: list[Rpc]) -> None:
        self._queues = {
            name: TokenQueue(rate, burst)
            for name, (rate, burst, _, _) in ACCOUNTS.items()
        }
        self._rpcs = rpcs
        rpcs[0].serve(LendShares, self._answer)

    async def acquire(self, vm: int, account: str) -> bool:
        """Ask the ledger and wait for its answer."""
        message = LendShares(0, 0, 0, None, 0, 1, {}, {account: 1}, {}, {})
        try:
            answer = await self._rpcs[vm].call(
                self._rpcs[0].url, message, TokenGrants, deadline_in(2 * WAIT_S)
            )
        except CitronwoodError:
            return False
        return bool(answer.granted)

    async def _answer(self, message: LendShares, caller: Caller) -> TokenGrants:
        granted: dict[str, list[tuple[int, int, int]]] = {}
        for account in message.wanted:
            if await self._queues[account].wait():
                granted[account] = [(1, 1, round(1000 * WAIT_S))]
        return TokenGrants(1, 0, granted, {})


def measure_limits(recorder: Recorder, seconds: float = SECONDS) -> list[Row]:
    """Run the three ways in turn, print accounts and return the rows."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        offers, taken = runner.run(_run(seconds))
    results = {
        way: _judge_all(found, taken if way == OURS else {})
        for way, found in offers.items()
    }
    for way, outcomes in results.items():
        print_accounts(way, outcomes)
        _record_shares(recorder, way, offers[way])
    ours = results[OURS]
    return [
        Row(
            "requests refused wrongly",
            _wrongly(ours),
            "%",
            0.1,
            baseline=_wrongly(results["fixed share per VM"]),
        ),
        Row(
            "of these, of accounts within their rate",
            _wrongly({name: one for name, one in ours.items() if name != FLOODER}),
            "%",
        ),
        Row(
            "worst-served account, of its entitlement",
            _worst(ours),
            "%",
            95.0,
            at_most=False,
            baseline=_worst(results["fixed share per VM"]),
        ),
        Row(
            "requests above burst + rate * W in any window",
            max(one.excess for one in ours.values()),
            "requests",
            0.0,
        ),
        Row(
            "wait of accounts within their rate, p99",
            max(one.p99_ms for name, one in ours.items() if name != FLOODER),
            "ms",
            baseline=max(
                one.p99_ms
                for name, one in results["one ledger, each request"].items()
                if name != FLOODER
            ),
        ),
    ]


def _record_shares(
    recorder: Recorder, way: str, offers: list[tuple[str, Offer]]
) -> None:
    """Record what each account got of its rate, second by second."""
    begin = min(offer.at for _, offer in offers)
    got: dict[tuple[str, int], int] = {}
    for account, offer in offers:
        if offer.admitted:
            second = int(offer.ended_at - begin)
            got[account, second] = got.get((account, second), 0) + 1
    for (account, second), number in sorted(got.items()):
        share = 100 * number / ACCOUNTS[account][0]
        recorder.add(f"{way}: admitted, % of the rate", account, second, share)


def _wrongly(outcomes: dict[str, Outcome]) -> float:
    wrong = sum(one.refused_wrongly for one in outcomes.values())
    total = sum(
        one.allowed + one.refused_rightly + one.refused_wrongly
        for one in outcomes.values()
    )
    return 100 * wrong / total


def _worst(outcomes: dict[str, Outcome]) -> float:
    return 100 * min(one.share for one in outcomes.values())


async def _run(
    seconds: float,
) -> tuple[dict[str, list[tuple[str, Offer]]], dict[str, list[float]]]:
    """Return the offers by way, and when our tokens were taken by account."""
    rpcs = [_open_rpc(f"vm{n}") for n in range(VMS)]
    askers = [_open_rpc(f"ask{n}") for n in range(VMS)]
    limiters = _open_limiters(rpcs)
    try:
        for limiter in limiters:
            limiter.start()
        # The shares are usable after the quarantine and are empty then.
        await asyncio.sleep(WARM_UP_S)
        taken: dict[str, list[float]] = {name: [] for name in ACCOUNTS}
        for limiter in limiters:
            _record_taken(limiter, taken)

        async def ours(vm: int, account: str) -> bool:
            answer = await limiters[vm].acquire(account, deadline_in(2 * WAIT_S))
            return isinstance(answer, Ok)

        ways: dict[str, Acquire] = {
            OURS: ours,
            "fixed share per VM": FixedShares().acquire,
            "one ledger, each request": AskEveryTime(askers).acquire,
        }
        offers: dict[str, list[tuple[str, Offer]]] = {way: [] for way in ways}
        for way, acquire in ways.items():
            started, cpu = monotonic(), process_time()
            await asyncio.gather(
                *(
                    _offer(name, seconds, acquire, offers[way], random.Random(number))
                    for number, name in enumerate(ACCOUNTS)
                )
            )
            spent = 100 * (process_time() - cpu) / (monotonic() - started)
            print(f"{way}: the process used {spent:.0f} % of a core")
        return offers, taken
    finally:
        for limiter in limiters:
            await limiter.close()
        for rpc in (*rpcs, *askers):
            await rpc.close()


def _open_rpc(name: str) -> Rpc:
    rpc = Rpc(name, SECRET, Metrics())
    rpc.start("tcp://127.0.0.1:0")
    return rpc


def _open_limiters(rpcs: list[Rpc]) -> list[FleetLimiter]:
    live = tuple(
        VmState(rpc.name, rpc.incarnation, 1, rpc.url, f"d{n % 3}", "live", 1)
        for n, rpc in enumerate(rpcs)
    )
    accounts = {
        name: Account(rate=rate, burst=burst)
        for name, (rate, burst, _, _) in ACCOUNTS.items()
    }
    config = FixedConfig(Configuration(version=1, share_slots=VMS, accounts=accounts))
    limiters = []
    for number, rpc in enumerate(rpcs):
        membership = FixedMembership(live[number], live)
        limiter = FleetLimiter(rpc, config, membership, Metrics(), Records())
        limiter.shares.use_slot(Slot(number, number + 1, (VMS,)), monotonic())
        limiters.append(limiter)
    assert all(choose_ledgers(name, live) for name in ACCOUNTS)
    return limiters


def _record_taken(limiter: FleetLimiter, taken: dict[str, list[float]]) -> None:
    """Note the moment of each admission, which is earlier than its return."""
    take = limiter.shares.try_take

    def try_take(account: str, now: float) -> bool:
        admitted = take(account, now)
        if admitted:
            taken[account].append(now)
        return admitted

    limiter.shares.try_take = try_take  # type: ignore[method-assign]


async def _offer(
    account: str,
    seconds: float,
    acquire: Acquire,
    found: list[tuple[str, Offer]],
    source: random.Random,
) -> None:
    """Offer requests at random times, which are the same for every way."""
    rate, _, part, spread = ACCOUNTS[account]
    first = source.randrange(VMS)
    due, end = monotonic(), monotonic() + seconds
    running: list[asyncio.Task[None]] = []
    while True:
        due += source.expovariate(rate * part)
        if due >= end:
            break
        await asyncio.sleep(max(0.0, due - monotonic()))
        vm = (first + source.randrange(spread)) % VMS
        work = _one(vm, account, acquire, found)
        running.append(asyncio.create_task(work))
    await asyncio.gather(*running)


async def _one(
    vm: int, account: str, acquire: Acquire, found: list[tuple[str, Offer]]
) -> None:
    at = monotonic()
    admitted = await acquire(vm, account)
    found.append((account, Offer(at, monotonic(), admitted)))


def _judge_all(
    found: list[tuple[str, Offer]], taken: dict[str, list[float]]
) -> dict[str, Outcome]:
    return {
        name: _judge(
            name,
            [offer for account, offer in found if account == name],
            taken.get(name, []),
        )
        for name in ACCOUNTS
    }


def _judge(account: str, offers: list[Offer], taken: list[float]) -> Outcome:
    rate, burst, _, _ = ACCOUNTS[account]
    offers = sorted(offers)
    admitted = [one for one in offers if one.admitted]
    entitled = _ideal(offers, rate, burst)
    refused = len(offers) - len(admitted)
    # A request that another one of the same account took the place of is no loss:
    # only requests below the number of entitled ones count as refused wrongly.
    wrongly = max(0, min(refused, entitled - len(admitted)))
    waits = [1000 * (one.ended_at - one.at) for one in admitted]
    return Outcome(
        allowed=len(admitted),
        refused_rightly=refused - wrongly,
        refused_wrongly=wrongly,
        p50_ms=percentile(waits, 0.5),
        p99_ms=percentile(waits, 0.99),
        share=len(admitted) / entitled if entitled else 1.0,
        excess=_excess(taken, rate, burst),
    )


def _ideal(offers: list[Offer], rate: float, burst: int) -> int:
    """Return how many of the requests one bucket for the whole fleet admits."""
    queue = TokenQueue(rate, burst)
    return sum(queue.ready_at(one.at) is not None for one in offers)


def _excess(times: list[float], rate: float, burst: int) -> float:
    """Return the largest excess over ``burst + rate * W`` in any window, or 0.

    A bucket that starts full and may go below zero is at its lowest at the end of the
    worst window.
    """
    worst = 0.0
    level, last = float(burst), 0.0
    for at in sorted(times):
        level = min(float(burst), level + (at - last) * rate) - 1
        last = at
        worst = max(worst, -level)
    return 0.0 if worst < ROUNDING else worst


def print_accounts(way: str, outcomes: dict[str, Outcome]) -> None:
    """Print one line for each account."""
    print(f"{way}: account  allowed  refused rightly  wrongly  p50 ms  p99 ms  share %")
    for name, one in outcomes.items():
        print(
            f"  {name:8} {one.allowed:8} {one.refused_rightly:16}"
            f" {one.refused_wrongly:8} {one.p50_ms:7.1f} {one.p99_ms:7.1f}"
            f" {100 * one.share:8.1f}"
        )
