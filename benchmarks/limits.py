"""Fairness of the limits: 8 accounts over 18 VMs, one offering 5 times its rate.

All limiters run in this process and call each other over real sockets. Two baselines
receive the same requests afterwards: a fixed share per VM, and one ledger that is
called for every request. Refusals count as wrong as far as a single bucket for the
whole fleet, with the same maximum wait, would have admitted more requests.
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
from citronwood.limits.limiter import MAX_WAIT_S, FleetLimiter
from citronwood.limits.shares import Slot
from citronwood.metrics import Metrics
from citronwood.operator.records import Records

VMS = 18
DURATION_S = 6.0
FLOODER = "a0"
SHARE_SLOTS = "share slots"
WARM_UP_S = 4.0
ROUNDING_TOLERANCE = 1e-6
SECRET = b"secret of the benchmarks"
# (rate, burst, offered load as a multiple of the rate, number of VMs that receive the
# requests): large and small accounts, some with all connections on one or two VMs.
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


class OfferedRequest(NamedTuple):
    """One offered request and its result."""

    at: float
    ended_at: float
    admitted: bool


class AccountResult(NamedTuple):
    """Results of one account under one limiting scheme.

    ``share`` is the ratio of its admitted requests to those that a single bucket for
    the whole fleet admits. For ``excess`` see ``_largest_excess``.
    """

    allowed: int
    refused_rightly: int
    refused_wrongly: int
    p50_ms: float
    p99_ms: float
    share: float
    excess: float


class FixedMembership:
    """Membership in which all VMs are live."""

    def __init__(self, own: VmState, live: tuple[VmState, ...]) -> None:
        self.own = own
        self.live = live

    def is_dead(self, name: str) -> bool:
        """Return False, because no VM fails."""
        return False

    def heard_majority(self, within_s: float) -> bool:
        """Return True, because all VMs are heard."""
        return True


class TokenQueue:
    """Token bucket with a queue in which a request waits for ``MAX_WAIT_S`` at most.

    A token that would arrive later is not reserved, so that a request is refused at
    once instead of after the wait.
    """

    def __init__(self, rate: float, burst: float, full_at: float = 0.0) -> None:
        self._rate = rate
        self._burst = burst
        # Time at which the last reserved token has been refilled. It is at least
        # ``burst / rate`` seconds in the past if the bucket is full.
        self._refilled_at = full_at - burst / rate

    def reserve(self, now: float) -> float | None:
        """Reserve a token; return when it is available, None if that is too late."""
        ready = max(self._refilled_at, now - self._burst / self._rate) + 1 / self._rate
        if ready > now + MAX_WAIT_S:
            return None
        self._refilled_at = ready
        return max(now, ready)

    async def wait(self) -> bool:
        """Reserve a token and wait for it; return False if it would come too late."""
        now = monotonic()
        ready = self.reserve(now)
        if ready is not None:
            await asyncio.sleep(ready - now)
        return ready is not None


class FixedShares:
    """Baseline: each VM has 1/N of rate and burst, independent of the other VMs."""

    def __init__(self) -> None:
        self._queues = {
            (vm, name): TokenQueue(rate / VMS, burst / VMS)
            for vm in range(VMS)
            for name, (rate, burst, _, _) in ACCOUNTS.items()
        }

    async def acquire(self, vm: int, account: str) -> bool:
        """Wait for a token of the share of this VM."""
        return await self._queues[vm, account].wait()


class LedgerPerRequest:
    """Baseline: each request makes one call to a single ledger.

    The calls use the token messages of the inner protocol; only ``wanted`` is used.
    """

    def __init__(self, rpcs: list[Rpc]) -> None:
        self._queues = {
            name: TokenQueue(rate, burst)
            for name, (rate, burst, _, _) in ACCOUNTS.items()
        }
        self._rpcs = rpcs
        rpcs[0].on_call(LendShares, self._answer)

    async def acquire(self, vm: int, account: str) -> bool:
        """Call the ledger and wait for its answer."""
        message = LendShares(0, 0, 0, None, 0, 1, {}, {account: 1}, {}, {})
        try:
            answer = await self._rpcs[vm].call(
                self._rpcs[0].url, message, TokenGrants, deadline_in(2 * MAX_WAIT_S)
            )
        except CitronwoodError:
            return False
        return bool(answer.granted)

    async def _answer(self, message: LendShares, caller: Caller) -> TokenGrants:
        granted: dict[str, list[tuple[int, int, int]]] = {}
        for account in message.wanted:
            if await self._queues[account].wait():
                granted[account] = [(1, 1, round(1000 * MAX_WAIT_S))]
        return TokenGrants(1, 0, granted, {})


def measure_limits(recorder: Recorder, seconds: float = DURATION_S) -> list[Row]:
    """Run the three schemes in turn, print the result of each account, return rows."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        offers, admission_times = runner.run(_run_limiters(seconds))
    results = {
        scheme: _evaluate_accounts(
            offered_requests, admission_times if scheme == SHARE_SLOTS else {}
        )
        for scheme, offered_requests in offers.items()
    }
    for scheme, outcomes in results.items():
        print_accounts(scheme, outcomes)
        _record_shares(recorder, scheme, offers[scheme])
    slot_results = results[SHARE_SLOTS]
    return [
        Row(
            "requests refused wrongly",
            _wrongly_refused_percent(slot_results),
            "%",
            0.1,
            baseline=_wrongly_refused_percent(results["fixed share per VM"]),
        ),
        Row(
            "of these, of accounts within their rate",
            _wrongly_refused_percent(
                {
                    name: outcome
                    for name, outcome in slot_results.items()
                    if name != FLOODER
                }
            ),
            "%",
        ),
        Row(
            "worst-served account, of its entitlement",
            _lowest_share_percent(slot_results),
            "%",
            95.0,
            at_most=False,
            baseline=_lowest_share_percent(results["fixed share per VM"]),
        ),
        Row(
            "requests above burst + rate * W in any window",
            max(outcome.excess for outcome in slot_results.values()),
            "requests",
            0.0,
        ),
        Row(
            "wait of accounts within their rate, p99",
            max(
                outcome.p99_ms
                for name, outcome in slot_results.items()
                if name != FLOODER
            ),
            "ms",
            baseline=max(
                outcome.p99_ms
                for name, outcome in results["one ledger, each request"].items()
                if name != FLOODER
            ),
        ),
    ]


def _record_shares(
    recorder: Recorder, scheme: str, offers: list[tuple[str, OfferedRequest]]
) -> None:
    """Record the admitted percentage of each account's rate for every second."""
    begin = min(offer.at for _, offer in offers)
    admitted_counts: dict[tuple[str, int], int] = {}
    for account, offer in offers:
        if offer.admitted:
            second = int(offer.ended_at - begin)
            admitted_counts[account, second] = (
                admitted_counts.get((account, second), 0) + 1
            )
    for (account, second), number in sorted(admitted_counts.items()):
        share = 100 * number / ACCOUNTS[account][0]
        recorder.add(f"{scheme}: admitted, % of the rate", account, second, share)


def _wrongly_refused_percent(outcomes: dict[str, AccountResult]) -> float:
    wrong_total = sum(outcome.refused_wrongly for outcome in outcomes.values())
    total = sum(
        outcome.allowed + outcome.refused_rightly + outcome.refused_wrongly
        for outcome in outcomes.values()
    )
    return 100 * wrong_total / total


def _lowest_share_percent(outcomes: dict[str, AccountResult]) -> float:
    return 100 * min(outcome.share for outcome in outcomes.values())


async def _run_limiters(
    seconds: float,
) -> tuple[dict[str, list[tuple[str, OfferedRequest]]], dict[str, list[float]]]:
    """Return the requests by scheme, and the admission times of the share slots."""
    rpcs = [_open_rpc(f"vm{n}") for n in range(VMS)]
    baseline_rpcs = [_open_rpc(f"ask{n}") for n in range(VMS)]
    limiters = _open_limiters(rpcs)
    try:
        for limiter in limiters:
            limiter.start()
        # The shares become usable after a quarantine (see citronwood/limits/shares.py)
        # and are empty then.
        await asyncio.sleep(WARM_UP_S)
        admission_times: dict[str, list[float]] = {name: [] for name in ACCOUNTS}
        for limiter in limiters:
            _record_admissions(limiter, admission_times)

        async def acquire_share(vm: int, account: str) -> bool:
            answer = await limiters[vm].acquire(account, deadline_in(2 * MAX_WAIT_S))
            return isinstance(answer, Ok)

        acquire_by_scheme: dict[str, Acquire] = {
            SHARE_SLOTS: acquire_share,
            "fixed share per VM": FixedShares().acquire,
            "one ledger, each request": LedgerPerRequest(baseline_rpcs).acquire,
        }
        offers: dict[str, list[tuple[str, OfferedRequest]]] = {
            scheme: [] for scheme in acquire_by_scheme
        }
        for scheme, acquire in acquire_by_scheme.items():
            started, cpu = monotonic(), process_time()
            await asyncio.gather(
                *(
                    _offer_requests(
                        name,
                        seconds,
                        acquire,
                        offers[scheme],
                        random.Random(number),
                    )
                    for number, name in enumerate(ACCOUNTS)
                )
            )
            cpu_percent = 100 * (process_time() - cpu) / (monotonic() - started)
            print(f"{scheme}: the process used {cpu_percent:.0f} % of a core")
        return offers, admission_times
    finally:
        for limiter in limiters:
            await limiter.close()
        for rpc in (*rpcs, *baseline_rpcs):
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


def _record_admissions(
    limiter: FleetLimiter, admission_times: dict[str, list[float]]
) -> None:
    """Record when each token is taken, which is before ``acquire`` returns."""
    take = limiter.shares.try_take

    def try_take(account: str, now: float) -> bool:
        admitted = take(account, now)
        if admitted:
            admission_times[account].append(now)
        return admitted

    limiter.shares.try_take = try_take  # type: ignore[method-assign]


async def _offer_requests(
    account: str,
    seconds: float,
    acquire: Acquire,
    offered_requests: list[tuple[str, OfferedRequest]],
    rng: random.Random,
) -> None:
    """Offer requests at random times; a seed gives every scheme the same times."""
    rate, _, load_factor, vm_count = ACCOUNTS[account]
    first = rng.randrange(VMS)
    due_at, end = monotonic(), monotonic() + seconds
    running: list[asyncio.Task[None]] = []
    while True:
        due_at += rng.expovariate(rate * load_factor)
        if due_at >= end:
            break
        await asyncio.sleep(max(0.0, due_at - monotonic()))
        vm = (first + rng.randrange(vm_count)) % VMS
        offering = _offer_request(vm, account, acquire, offered_requests)
        running.append(asyncio.create_task(offering))
    await asyncio.gather(*running)


async def _offer_request(
    vm: int,
    account: str,
    acquire: Acquire,
    offered_requests: list[tuple[str, OfferedRequest]],
) -> None:
    at = monotonic()
    admitted = await acquire(vm, account)
    offered_requests.append((account, OfferedRequest(at, monotonic(), admitted)))


def _evaluate_accounts(
    offered_requests: list[tuple[str, OfferedRequest]],
    admission_times: dict[str, list[float]],
) -> dict[str, AccountResult]:
    return {
        name: _evaluate_account(
            name,
            [offer for account, offer in offered_requests if account == name],
            admission_times.get(name, []),
        )
        for name in ACCOUNTS
    }


def _evaluate_account(
    account: str, offers: list[OfferedRequest], admission_times: list[float]
) -> AccountResult:
    rate, burst, _, _ = ACCOUNTS[account]
    offers = sorted(offers)
    admitted = [offered for offered in offers if offered.admitted]
    entitled = _count_ideal_admissions(offers, rate, burst)
    refused = len(offers) - len(admitted)
    # It does not matter which requests of an account are admitted: refusals are wrong
    # only as far as fewer requests were admitted than the account was entitled to.
    wrong = max(0, min(refused, entitled - len(admitted)))
    waits = [1000 * (offered.ended_at - offered.at) for offered in admitted]
    return AccountResult(
        allowed=len(admitted),
        refused_rightly=refused - wrong,
        refused_wrongly=wrong,
        p50_ms=percentile(waits, 0.5),
        p99_ms=percentile(waits, 0.99),
        share=len(admitted) / entitled if entitled else 1.0,
        excess=_largest_excess(admission_times, rate, burst),
    )


def _count_ideal_admissions(
    offers: list[OfferedRequest], rate: float, burst: int
) -> int:
    """Return how many requests a single bucket for the whole fleet would admit."""
    queue = TokenQueue(rate, burst)
    return sum(queue.reserve(offered.at) is not None for offered in offers)


def _largest_excess(times: list[float], rate: float, burst: int) -> float:
    """Return the largest excess over ``burst + rate * W`` in any window, or 0.

    The excess is the lowest level below zero of a bucket that starts full and may go
    below zero; it is reached at the end of the worst window.
    """
    worst = 0.0
    level, last = float(burst), 0.0
    for at in sorted(times):
        level = min(float(burst), level + (at - last) * rate) - 1
        last = at
        worst = max(worst, -level)
    return 0.0 if worst < ROUNDING_TOLERANCE else worst


def print_accounts(scheme: str, outcomes: dict[str, AccountResult]) -> None:
    """Print one line per account."""
    print(
        f"{scheme}: account  allowed  refused rightly  wrongly  p50 ms  p99 ms  share %"
    )
    for name, outcome in outcomes.items():
        print(
            f"  {name:8} {outcome.allowed:8} {outcome.refused_rightly:16}"
            f" {outcome.refused_wrongly:8} {outcome.p50_ms:7.1f} {outcome.p99_ms:7.1f}"
            f" {100 * outcome.share:8.1f}"
        )
