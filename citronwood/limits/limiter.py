"""Limiter of one VM: sends shares to the ledgers and lets requests wait for tokens.

Every account has two ledgers, so that the loss of one takes only half of its tokens.
A VM delegates its share to its own ledger of the account, which is chosen by the place
of its share slot among those of the account. It asks this one for tokens first, and the
other one when the first has too few or does not answer. A VM without a share of the
account only asks, when it has requests.
"""

import asyncio
import logging
import math
from collections import deque
from collections.abc import Iterable
from time import monotonic
from typing import NamedTuple

from result import Err, Ok, Result

from citronwood.config.api import ConfigSource
from citronwood.deadline import time_left
from citronwood.decisions import log_request
from citronwood.errors import CitronwoodError, ErrorCode, Refusal
from citronwood.fleet.api import Membership
from citronwood.fleet.placement import choose_ledgers
from citronwood.inner.messages import LendShares, SettleGrants, TokenGrants
from citronwood.inner.rpc import Caller, Rpc
from citronwood.limits.ledger import MIN_RETRY_S, Ledger
from citronwood.limits.shares import Demand, VmShares
from citronwood.metrics import Metrics
from citronwood.operator.records import Records
from citronwood.tasks import cancel_tasks

log = logging.getLogger(__name__)

WAIT_S = 0.5
# After the loss of a ledger its shares return, empty, at the end of their delegation.
# Requests of its accounts wait that long, because refusing them would be wrong. An
# account near its rate needs a while more for its backlog.
WAIT_FOR_LEDGER_S = 2.0
DISTURBED_S = 2.0
EXCHANGE_INTERVAL_S = 0.3
# Used tokens keep their room in the burst until they are settled. Where the burst is
# less than this many seconds of the rate, that would hold back the refill.
SETTLE_AT_ONCE_S = 2.0
SETTLE_DELAY_S = 0.01
EXCHANGE_TIMEOUT_S = 0.2
# The first exchange opens connections. Many VMs that start at once take longer for it,
# and would pass over each other.
FIRST_EXCHANGE_TIMEOUT_S = 1.0
# The other ledger is asked when the first has not answered for so long.
HEDGE_AFTER_S = 0.05
# A ledger that leaves this many exchanges unanswered is passed over, which is faster
# than the membership's suspicion. It is asked again now and then, and takes its place
# when it answers.
MAX_UNANSWERED = 2
# A timeout that is noticed so late tells of a pause of this process, not of the ledger.
PAUSE_S = 0.05
PASSED_OVER_S = 3.0
PROBE_INTERVAL_S = 0.5
# Other ledgers hear of a VM that delegates nothing to them and needs nothing.
IDLE_INTERVAL_S = 30.0
# A smaller burst in two parts cannot follow requests that arrive unevenly (an account
# with a burst of 5 at 90 % of its rate had 0.4 % of its requests refused).
MIN_SPLIT_BURST = 8
RETRY_AFTER_FAILURE_S = 0.05
PLACEMENT_INTERVAL_S = 0.1
MAX_WAITING = 20_000


class _Ledger(NamedTuple):
    """Exchange task of one ledger."""

    url: str
    wakeup: asyncio.Event
    task: asyncio.Task[None]


class _Place(NamedTuple):
    """Ledgers of an account: the one that gets this VM's share, and the other one."""

    own: str
    other: str | None


class _Exchange(NamedTuple):
    """Exchange that has no answer yet, with the tokens it asks for."""

    started: float
    wanted: dict[str, int]


class FleetLimiter:
    """Limiter whose accounts are limited over the whole fleet."""

    def __init__(
        self,
        rpc: Rpc,
        config: ConfigSource,
        membership: Membership,
        metrics: Metrics,
        records: Records,
    ) -> None:
        self._rpc = rpc
        self._config = config
        self._membership = membership
        self._metrics = metrics
        self._records = records
        self.shares = VmShares(lambda: config.current)
        self.ledger = Ledger(lambda: config.current)
        self._waiting: dict[str, deque[asyncio.Future[None]]] = {}
        # By ledger and account: when tokens are expected that were not there.
        self._retry_at: dict[tuple[str, str], float] = {}
        # By ledger and account: until when it has no tokens for expected requests.
        self._exhausted: dict[tuple[str, str], float] = {}
        self._running: dict[str, _Exchange] = {}
        self._places: dict[str, _Place] = {}
        self._accounts_of: dict[str, list[str]] = {}
        self._placed_for: tuple[object, ...] = ()
        self._ledgers: dict[str, _Ledger] = {}
        self._answered_at: dict[str, float] = {}
        self._unanswered: dict[str, int] = {}
        self._passed_over: dict[str, float] = {}
        self._disturbed: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None
        self._settling: set[str] = set()
        rpc.serve(LendShares, self._lend_shares)
        rpc.listen(SettleGrants, self._settle_grants)

    def start(self) -> None:
        """Start to exchange shares and tokens."""
        self._task = asyncio.create_task(self._place_forever())

    async def close(self) -> None:
        """Stop; waiting requests are refused at their deadlines."""
        exchanges = [one.task for one in self._ledgers.values()]
        await cancel_tasks([*exchanges, self._task])

    async def acquire(self, account: str, deadline: float) -> Result[None, Refusal]:
        """Take one token, waiting at most ``WAIT_S`` and until the deadline."""
        if account not in self._config.current.accounts:
            return Err(self._refuse(account, "account without a rate"))
        now = monotonic()
        waiting = self._waiting.setdefault(account, deque())
        if not waiting and self.shares.try_take(account, now):
            self._settle_soon(account)
            return Ok(None)
        if len(waiting) >= MAX_WAITING:
            return Err(self._refuse(account, "too many waiting requests"))
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiting.append(future)
        self._wake(account)
        try:
            if await self._wait_for_token(account, future, deadline):
                return Ok(None)
            return Err(self._refuse(account, "no token in time"))
        finally:
            if not future.done():
                future.cancel()
                self._forget(waiting, future)

    async def _wait_for_token(
        self, account: str, future: asyncio.Future[None], deadline: float
    ) -> bool:
        started = monotonic()
        limit = min(deadline, started + WAIT_S)
        await asyncio.wait({future}, timeout=time_left(limit))
        if not future.done() and self._is_disturbed(account):
            limit = min(deadline, started + WAIT_FOR_LEDGER_S)
            await asyncio.wait({future}, timeout=time_left(limit))
        return future.done()

    def _is_disturbed(self, account: str) -> bool:
        """Whether the account has lost a ledger or got another one lately."""
        return monotonic() < self._disturbed.get(account, 0.0)

    def _forget(
        self, waiting: deque[asyncio.Future[None]], future: asyncio.Future[None]
    ) -> None:
        try:
            waiting.remove(future)
        except ValueError:
            log.debug("limits: request was already taken from the queue")

    def _refuse(self, account: str, reason: str) -> Refusal:
        now = monotonic()
        known = self._config.current.accounts.get(account)
        place = self._places.get(account)
        answered = self._answered_at.get(place.own) if place else None
        self._metrics.count("limits.refused")
        inputs = dict(
            account=account,
            code=int(ErrorCode.RATE_LIMITED),
            reason=reason,
            rate=known.rate if known else None,
            burst=known.burst if known else None,
            waiting_here=len(self._waiting.get(account, ())),
            tokens_here=self.shares.tokens(account, now),
            slot=self.shares.slot.number if self.shares.slot else None,
            ledger=place.own if place else None,
            other_ledger=place.other if place else None,
            ledger_answer_age_ms=(
                None if answered is None else int((now - answered) * 1000)
            ),
        )
        self._records.add("refusal", **inputs)
        inputs["config_version"] = self._config.current.version
        message = f"limits: refused over the rate: {reason}"
        log_request(log, "admission", "refused", message, **inputs)
        return Refusal(ErrorCode.RATE_LIMITED, f"Not run: rate limit: {reason}")

    def _settle_soon(self, account: str) -> None:
        known = self._config.current.accounts.get(account)
        if known is None or known.burst >= SETTLE_AT_ONCE_S * known.rate:
            return
        for ledger in self._places.get(account, ()):
            if ledger in self._settling or ledger is None:
                continue
            if self.shares.has_settlement(ledger):
                self._settling.add(ledger)
                loop = asyncio.get_running_loop()
                loop.call_later(SETTLE_DELAY_S, self._settle, ledger)

    def _settle(self, name: str) -> None:
        self._settling.discard(name)
        ledger = self._ledgers.get(name)
        message = self.shares.settlement(name)
        if ledger is not None and message is not None:
            self._rpc.notify(ledger.url, message)

    def _settle_grants(self, message: SettleGrants, caller: Caller) -> None:
        self.ledger.settle(_process(caller), message, monotonic())

    def _wake(self, account: str) -> None:
        place = self._places.get(account)
        if place is not None:
            self._wake_ledger(place.own)
            if self._is_short(place.own, account, monotonic()):
                self._wake_ledger(place.other)

    def _wake_ledger(self, name: str | None) -> None:
        ledger = self._ledgers.get(name or "")
        if ledger is not None:
            ledger.wakeup.set()

    def _wake_others(self, name: str) -> None:
        """Let the other ledgers take over what one has not given."""
        for account in self._accounts_of.get(name, ()):
            if self._waiting.get(account):
                self._wake_ledger(self._other(name, account))

    def _other(self, name: str, account: str) -> str | None:
        place = self._places[account]
        return place.other if place.own == name else place.own

    async def _lend_shares(self, message: LendShares, caller: Caller) -> TokenGrants:
        return self.ledger.handle(_process(caller), message, monotonic())

    async def _place_forever(self) -> None:
        while True:
            self._place()
            await asyncio.sleep(PLACEMENT_INTERVAL_S)

    def _place(self) -> None:
        now = monotonic()
        members = self._membership.live
        passed_over = {
            name for name in self._passed_over if self._is_passed_over(name, now)
        }
        accounts = self._config.current.accounts
        version = (members, passed_over, self.shares.slot, accounts)
        if version == self._placed_for:
            return
        self._placed_for = version
        live = [vm for vm in members if vm.name not in passed_over]
        urls: dict[str, str] = {}
        before, self._places = self._places, {}
        self._accounts_of = {}
        for name, account in accounts.items():
            chosen = choose_ledgers(name, live)
            if account.burst < MIN_SPLIT_BURST:
                del chosen[1:]
            elif self.shares.half(name):
                chosen.reverse()
            if chosen:
                names = [vm.name for vm in chosen]
                self._places[name] = _Place(names[0], (*names[1:], None)[0])
            for vm in chosen:
                urls[vm.name] = vm.url
                self._accounts_of.setdefault(vm.name, []).append(name)
        urls.update((vm.name, vm.url) for vm in members if vm.name in passed_over)
        # Shares at a former ledger return, empty, at the end of their delegation. A VM
        # that starts has delegated nothing; its ledgers change while it finds peers.
        if self.shares.is_usable(now):
            places = self._places.items()
            self._disturb(name for name, place in places if before.get(name) != place)
        self._run_ledgers(urls)
        self._retry_at = {k: v for k, v in self._retry_at.items() if v > now}
        self._exhausted = {k: v for k, v in self._exhausted.items() if v > now}

    def _is_passed_over(self, name: str, now: float) -> bool:
        until = self._passed_over.get(name)
        return until is not None and (until > now or self._unanswered[name] > 0)

    def _run_ledgers(self, urls: dict[str, str]) -> None:
        for name, known in list(self._ledgers.items()):
            if urls.get(name) != known.url:
                known.task.cancel()
                del self._ledgers[name]
                self._passed_over.pop(name, None)
                self._unanswered.pop(name, None)
                self._answered_at.pop(name, None)
        for name, url in urls.items():
            if name not in self._ledgers:
                wakeup = asyncio.Event()
                task = asyncio.create_task(self._exchange_forever(name, url, wakeup))
                self._ledgers[name] = _Ledger(url, wakeup, task)
        for ledger in self._ledgers.values():
            ledger.wakeup.set()

    async def _exchange_forever(
        self, name: str, url: str, wakeup: asyncio.Event
    ) -> None:
        while True:
            started = monotonic()
            wakeup.clear()
            answered = await self._exchange(name, url, started)
            if answered:
                await self._wait_for_demand(name, wakeup, started)
                continue
            self._serve_waiting(self._accounts_of.get(name, []))
            passed_over = self._is_passed_over(name, monotonic())
            await asyncio.sleep(
                PROBE_INTERVAL_S if passed_over else RETRY_AFTER_FAILURE_S
            )

    async def _exchange(self, name: str, url: str, now: float) -> bool:
        lent = self._lent_to(name)
        demand = self._demand(name, now)
        message = self.shares.compose(name, lent, demand, now)
        self._running[name] = _Exchange(now, demand.wanted)
        known = name in self._answered_at
        timeout_s = EXCHANGE_TIMEOUT_S if known else FIRST_EXCHANGE_TIMEOUT_S
        loop = asyncio.get_running_loop()
        # Timers may fire a little too early.
        hedge = loop.call_later(HEDGE_AFTER_S + 0.005, self._wake_others, name)
        try:
            answer = await self._rpc.call(url, message, TokenGrants, now + timeout_s)
        except CitronwoodError as error:
            self._metrics.count("limits.exchange_failed")
            log.debug("limits: no answer from ledger %s: %s", name, error)
            if monotonic() < now + timeout_s + PAUSE_S:
                self._on_no_answer(name)
            return False
        finally:
            hedge.cancel()
            self._running.pop(name, None)
        self._unanswered[name] = 0
        self._answered_at[name] = monotonic()
        if message.ledger_epoch not in (0, answer.ledger_epoch):
            # The ledger has restarted and its shares are lost.
            self._disturb(self._accounts_of.get(name, ()))
        self.shares.apply(name, message, answer, now)
        self._on_answer(name, demand, answer)
        # The first answer of a ledger only brings its stamp.
        return not lent or message.ledger_epoch == answer.ledger_epoch

    def _on_answer(self, name: str, demand: Demand, answer: TokenGrants) -> None:
        now = monotonic()
        for account in demand.wanted:
            delay = answer.retry_ms.get(account, 0) / 1000
            if account not in answer.granted:
                # A ledger with an older configuration does not know the account.
                delay = max(delay, MIN_RETRY_S)
            self._retry_at[name, account] = now + delay
        self._serve_waiting(self._accounts_of.get(name, []))
        self._wake_others(name)
        for account, tokens in demand.ahead.items():
            granted = sum(one[1] for one in answer.granted.get(account, ()))
            short = granted < tokens + demand.wanted.get(account, 0)
            self._exhausted[name, account] = now + EXCHANGE_INTERVAL_S if short else 0.0
            if short and account in self._places:
                self._wake_ledger(self._other(name, account))

    def _on_no_answer(self, name: str) -> None:
        self.shares.no_answer(name)
        self._disturb(self._accounts_of.get(name, ()))
        self._unanswered[name] = self._unanswered.get(name, 0) + 1
        if self._unanswered[name] == MAX_UNANSWERED:
            self._passed_over[name] = monotonic() + PASSED_OVER_S
        self._wake_others(name)

    def _disturb(self, accounts: Iterable[str]) -> None:
        until = monotonic() + DISTURBED_S
        self._disturbed.update(dict.fromkeys(accounts, until))

    def _demand(self, name: str, now: float) -> Demand:
        wanted: dict[str, int] = {}
        ahead: dict[str, int] = {}
        for account in self._accounts_of.get(name, ()):
            missing = self._missing(name, account, now)
            if missing:
                wanted[account] = missing
            own = self._places[account].own
            if own == name or self._is_exhausted(own, account, now):
                expected = self.shares.ahead(account, now)
                if expected:
                    ahead[account] = expected
        return Demand(wanted, ahead)

    def _missing(self, name: str, account: str, now: float) -> int:
        """Return the tokens to ask of a ledger for waiting requests."""
        waiting = len(self._waiting.get(account, ()))
        if not waiting:
            return 0
        own = self._places[account].own
        if own != name and not self._is_short(own, account, now):
            return 0
        other = self._running.get(self._other(name, account) or "")
        if other is not None and now - other.started < HEDGE_AFTER_S:
            waiting -= other.wanted.get(account, 0)
        return max(0, waiting)

    def _is_short(self, name: str, account: str, now: float) -> bool:
        """Whether a ledger cannot be expected to give a token at once."""
        if self._unanswered.get(name) or now < self._retry_at.get((name, account), 0):
            return True
        running = self._running.get(name)
        return running is not None and now - running.started >= HEDGE_AFTER_S

    def _is_exhausted(self, name: str, account: str, now: float) -> bool:
        """Whether a ledger has no tokens for expected requests."""
        if self._unanswered.get(name):
            return True
        return now < self._exhausted.get((name, account), 0.0)

    async def _wait_for_demand(
        self, name: str, wakeup: asyncio.Event, started: float
    ) -> None:
        while True:
            now = monotonic()
            left = min(self._renewal(name, started), self._due(name, now)) - now
            if left <= 0:
                return
            try:
                async with asyncio.timeout(left):
                    await wakeup.wait()
            except TimeoutError:
                return
            wakeup.clear()

    def _renewal(self, name: str, started: float) -> float:
        """Return when a ledger is asked again, whether or not requests wait."""
        lent = self._lent_to(name)
        if lent:
            returned = self.shares.next_return(name, lent, started)
            return min(started + EXCHANGE_INTERVAL_S, returned)
        for account in self._accounts_of.get(name, ()):
            own = self._places[account].own
            asked = own == name and self.shares.has_demand(account)
            if asked or self._is_exhausted(own, account, started):
                return started + EXCHANGE_INTERVAL_S
        return started + IDLE_INTERVAL_S

    def _due(self, name: str, now: float) -> float:
        """Return when a ledger is to be asked for waiting requests."""
        return min(
            (
                self._retry_at.get((name, account), 0.0)
                for account in self._accounts_of.get(name, ())
                if self._missing(name, account, now)
            ),
            default=math.inf,
        )

    def _lent_to(self, name: str) -> list[str]:
        """Return the accounts whose shares this VM delegates to a ledger."""
        accounts = self._accounts_of.get(name, ())
        return [
            one
            for one in accounts
            if self._places[one].own == name and self.shares.has_share(one)
        ]

    def _serve_waiting(self, accounts: list[str]) -> None:
        now = monotonic()
        for account in accounts:
            waiting = self._waiting.get(account)
            while waiting:
                if waiting[0].done():
                    waiting.popleft()
                elif self.shares.try_take(account, now):
                    waiting.popleft().set_result(None)
                    self._settle_soon(account)
                else:
                    break


def _process(caller: Caller) -> str:
    return f"{caller.name}/{caller.incarnation}"
