"""Limiter of one VM: delegates shares to the ledgers and lets requests wait for tokens.

Every account has two ledgers, so that the loss of one takes only half of its tokens.
A VM delegates its share to its own ledger of the account, which is chosen by the
position of its share slot among the account's slots. It asks its own ledger for tokens
first, and the other one if its own has too few or does not answer. A VM without a share
of the account asks for tokens only when it has requests.
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
from citronwood.limits.ledger import MIN_RETRY_DELAY_S, Ledger
from citronwood.limits.shares import Demand, VmShares
from citronwood.metrics import Metrics
from citronwood.operator.records import Records
from citronwood.tasks import cancel_tasks

log = logging.getLogger(__name__)

MAX_WAIT_S = 0.5
# After the loss of a ledger, its shares return empty at the end of their delegation.
# Until then, requests of its accounts wait, because they may well be within the rate.
# The wait is longer than a delegation, because an account near its rate also has to
# work off its backlog.
LEDGER_CHANGE_WAIT_S = 2.0
# How long after a change of ledgers the longer wait applies to new requests.
LEDGER_CHANGE_WINDOW_S = 2.0
EXCHANGE_INTERVAL_S = 0.3
# Used tokens occupy capacity until they are settled. This would delay the refill of an
# account whose burst is less than this many seconds of its rate, so its grants are
# settled between the exchanges.
EARLY_SETTLE_BURST_S = 2.0
SETTLE_DELAY_S = 0.01
EXCHANGE_TIMEOUT_S = 0.2
# The first exchange opens connections, which takes longer while many VMs start at once.
# With a short timeout the VMs would put each other's ledgers into cooldown.
FIRST_EXCHANGE_TIMEOUT_S = 1.0
# The other ledger is asked too when the first has not answered within this time.
HEDGE_AFTER_S = 0.05
# A ledger is in cooldown after this many unanswered exchanges in a row, which is faster
# than waiting until the membership suspects its VM. It is probed in the meantime and
# used again after the cooldown, if it answers.
MAX_UNANSWERED_EXCHANGES = 2
# A timeout noticed this late shows that this process has paused, so the exchange does
# not count as unanswered.
MIN_PROCESS_PAUSE_S = 0.05
COOLDOWN_S = 3.0
PROBE_INTERVAL_S = 0.5
# Interval of the exchanges with a ledger to which this VM delegates nothing and from
# which it needs no tokens.
IDLE_EXCHANGE_INTERVAL_S = 30.0
# An account with a smaller burst has one ledger. Divided over two, a small burst does
# not cover requests that arrive unevenly: an account with a burst of 5 at 90 % of its
# rate had 0.4 % of its requests refused.
MIN_SPLIT_BURST = 8
RETRY_AFTER_FAILURE_S = 0.05
PLACEMENT_INTERVAL_S = 0.1
MAX_WAITING_REQUESTS = 20_000


class _LedgerTask(NamedTuple):
    """Address of a ledger and the task that exchanges messages with it."""

    url: str
    wakeup: asyncio.Event
    task: asyncio.Task[None]


class _AccountLedgers(NamedTuple):
    """Ledgers of an account: the VM's own, which gets its share, and the other one."""

    own: str
    other: str | None


class _Exchange(NamedTuple):
    """Exchange in flight, with the tokens that it asks for."""

    started: float
    wanted: dict[str, int]


class FleetLimiter:
    """Limiter that applies each account's rate and burst to the whole fleet."""

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
        # By ledger and account: when to ask again after it granted too few tokens.
        self._retry_at: dict[tuple[str, str], float] = {}
        # By ledger and account: until when the ledger has no tokens to prefetch.
        self._exhausted_until: dict[tuple[str, str], float] = {}
        self._in_flight: dict[str, _Exchange] = {}
        self._account_ledgers: dict[str, _AccountLedgers] = {}
        self._accounts_by_ledger: dict[str, list[str]] = {}
        self._placement_inputs: tuple[object, ...] = ()
        self._ledger_tasks: dict[str, _LedgerTask] = {}
        self._last_answer_at: dict[str, float] = {}
        self._unanswered: dict[str, int] = {}
        self._cooldown_until: dict[str, float] = {}
        self._ledger_change_until: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None
        self._settlement_scheduled: set[str] = set()
        rpc.on_call(LendShares, self._on_lend_shares)
        rpc.on_notification(SettleGrants, self._on_settle_grants)

    def start(self) -> None:
        """Start to exchange shares and tokens with the ledgers."""
        self._task = asyncio.create_task(self._update_placement_forever())

    async def close(self) -> None:
        """Stop; waiting requests are refused at the limit of their wait."""
        exchanges = [entry.task for entry in self._ledger_tasks.values()]
        await cancel_tasks([*exchanges, self._task])

    async def acquire(self, account: str, deadline: float) -> Result[None, Refusal]:
        """Take one token, waiting at most until the deadline, or return a refusal.

        The wait is also limited to ``MAX_WAIT_S``, or to ``LEDGER_CHANGE_WAIT_S`` after
        a change of the account's ledgers.
        """
        if account not in self._config.current.accounts:
            return Err(self._refuse(account, "account without a rate"))
        now = monotonic()
        waiting = self._waiting.setdefault(account, deque())
        if not waiting and self.shares.try_take(account, now):
            self._schedule_settlement(account)
            return Ok(None)
        if len(waiting) >= MAX_WAITING_REQUESTS:
            return Err(self._refuse(account, "too many waiting requests"))
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiting.append(future)
        self._wake_ledgers(account)
        try:
            if await self._wait_for_token(account, future, deadline):
                return Ok(None)
            return Err(self._refuse(account, "no token in time"))
        finally:
            if not future.done():
                future.cancel()
                self._remove_from_queue(waiting, future)

    async def _wait_for_token(
        self, account: str, future: asyncio.Future[None], deadline: float
    ) -> bool:
        started = monotonic()
        wait_until = min(deadline, started + MAX_WAIT_S)
        await asyncio.wait({future}, timeout=time_left(wait_until))
        if not future.done() and self._has_ledger_change(account):
            wait_until = min(deadline, started + LEDGER_CHANGE_WAIT_S)
            await asyncio.wait({future}, timeout=time_left(wait_until))
        return future.done()

    def _has_ledger_change(self, account: str) -> bool:
        """Whether the account recently lost a ledger or got another one."""
        return monotonic() < self._ledger_change_until.get(account, 0.0)

    def _remove_from_queue(
        self, waiting: deque[asyncio.Future[None]], future: asyncio.Future[None]
    ) -> None:
        try:
            waiting.remove(future)
        except ValueError:
            log.debug("limits: request was already removed from the queue")

    def _refuse(self, account: str, reason: str) -> Refusal:
        now = monotonic()
        limits = self._config.current.accounts.get(account)
        ledgers = self._account_ledgers.get(account)
        answered_at = self._last_answer_at.get(ledgers.own) if ledgers else None
        self._metrics.count("limits.refused")
        inputs = dict(
            account=account,
            code=int(ErrorCode.RATE_LIMITED),
            reason=reason,
            rate=limits.rate if limits else None,
            burst=limits.burst if limits else None,
            waiting_here=len(self._waiting.get(account, ())),
            tokens_here=self.shares.granted_tokens(account, now),
            slot=self.shares.slot.number if self.shares.slot else None,
            ledger=ledgers.own if ledgers else None,
            other_ledger=ledgers.other if ledgers else None,
            ledger_answer_age_ms=(
                None if answered_at is None else int((now - answered_at) * 1000)
            ),
        )
        self._records.add("refusal", **inputs)
        inputs["config_version"] = self._config.current.version
        message = f"limits: refused over the rate: {reason}"
        log_request(log, "admission", "refused", message, **inputs)
        return Refusal(ErrorCode.RATE_LIMITED, f"Not run: rate limit: {reason}")

    def _schedule_settlement(self, account: str) -> None:
        limits = self._config.current.accounts.get(account)
        if limits is None or limits.burst >= EARLY_SETTLE_BURST_S * limits.rate:
            return
        for ledger in self._account_ledgers.get(account, ()):
            if ledger in self._settlement_scheduled or ledger is None:
                continue
            if self.shares.has_settlement(ledger):
                self._settlement_scheduled.add(ledger)
                loop = asyncio.get_running_loop()
                loop.call_later(SETTLE_DELAY_S, self._send_settlement, ledger)

    def _send_settlement(self, name: str) -> None:
        self._settlement_scheduled.discard(name)
        ledger = self._ledger_tasks.get(name)
        message = self.shares.settlement(name)
        if ledger is not None and message is not None:
            self._rpc.notify(ledger.url, message)

    def _on_settle_grants(self, message: SettleGrants, caller: Caller) -> None:
        self.ledger.settle(_process_id(caller), message, monotonic())

    def _wake_ledgers(self, account: str) -> None:
        ledgers = self._account_ledgers.get(account)
        if ledgers is not None:
            self._wake_ledger(ledgers.own)
            if self._cannot_grant_now(ledgers.own, account, monotonic()):
                self._wake_ledger(ledgers.other)

    def _wake_ledger(self, name: str | None) -> None:
        ledger = self._ledger_tasks.get(name or "")
        if ledger is not None:
            ledger.wakeup.set()

    def _wake_other_ledgers(self, name: str) -> None:
        """Ask the other ledgers for tokens for requests that still wait.

        ``name`` is a ledger that granted too few tokens or has not answered in time.
        """
        for account in self._accounts_by_ledger.get(name, ()):
            if self._waiting.get(account):
                self._wake_ledger(self._other_ledger(name, account))

    def _other_ledger(self, name: str, account: str) -> str | None:
        ledgers = self._account_ledgers[account]
        return ledgers.other if ledgers.own == name else ledgers.own

    async def _on_lend_shares(self, message: LendShares, caller: Caller) -> TokenGrants:
        return self.ledger.handle(_process_id(caller), message, monotonic())

    async def _update_placement_forever(self) -> None:
        while True:
            self._update_placement()
            await asyncio.sleep(PLACEMENT_INTERVAL_S)

    def _update_placement(self) -> None:
        now = monotonic()
        members = self._membership.live
        in_cooldown = {
            name for name in self._cooldown_until if self._is_in_cooldown(name, now)
        }
        accounts = self._config.current.accounts
        new_inputs = (members, in_cooldown, self.shares.slot, accounts)
        if new_inputs == self._placement_inputs:
            return
        self._placement_inputs = new_inputs
        live = [vm for vm in members if vm.name not in in_cooldown]
        urls: dict[str, str] = {}
        previous, self._account_ledgers = self._account_ledgers, {}
        self._accounts_by_ledger = {}
        for name, account in accounts.items():
            chosen = choose_ledgers(name, live)
            if account.burst < MIN_SPLIT_BURST:
                del chosen[1:]
            elif self.shares.ledger_index(name):
                chosen.reverse()
            if chosen:
                names = [vm.name for vm in chosen]
                self._account_ledgers[name] = _AccountLedgers(
                    names[0], (*names[1:], None)[0]
                )
            for vm in chosen:
                urls[vm.name] = vm.url
                self._accounts_by_ledger.setdefault(vm.name, []).append(name)
        urls.update((vm.name, vm.url) for vm in members if vm.name in in_cooldown)
        # Shares at a former ledger return empty at the end of their delegation, so
        # requests may wait longer. A VM that has just started has delegated nothing
        # yet, so it ignores changes of its ledgers while it discovers its peers.
        if self.shares.is_usable(now):
            pairs = self._account_ledgers.items()
            self._note_ledger_change(
                name for name, ledgers in pairs if previous.get(name) != ledgers
            )
        self._update_ledger_tasks(urls)
        self._retry_at = {k: v for k, v in self._retry_at.items() if v > now}
        self._exhausted_until = {
            k: v for k, v in self._exhausted_until.items() if v > now
        }

    def _is_in_cooldown(self, name: str, now: float) -> bool:
        until = self._cooldown_until.get(name)
        return until is not None and (until > now or self._unanswered[name] > 0)

    def _update_ledger_tasks(self, urls: dict[str, str]) -> None:
        for name, ledger_task in list(self._ledger_tasks.items()):
            if urls.get(name) != ledger_task.url:
                ledger_task.task.cancel()
                del self._ledger_tasks[name]
                self._cooldown_until.pop(name, None)
                self._unanswered.pop(name, None)
                self._last_answer_at.pop(name, None)
        for name, url in urls.items():
            if name not in self._ledger_tasks:
                wakeup = asyncio.Event()
                task = asyncio.create_task(self._exchange_forever(name, url, wakeup))
                self._ledger_tasks[name] = _LedgerTask(url, wakeup, task)
        for ledger in self._ledger_tasks.values():
            ledger.wakeup.set()

    async def _exchange_forever(
        self, name: str, url: str, wakeup: asyncio.Event
    ) -> None:
        while True:
            started = monotonic()
            wakeup.clear()
            is_complete = await self._exchange(name, url, started)
            if is_complete:
                await self._wait_for_demand(name, wakeup, started)
                continue
            self._serve_waiting(self._accounts_by_ledger.get(name, []))
            in_cooldown = self._is_in_cooldown(name, monotonic())
            await asyncio.sleep(
                PROBE_INTERVAL_S if in_cooldown else RETRY_AFTER_FAILURE_S
            )

    async def _exchange(self, name: str, url: str, now: float) -> bool:
        """Exchange messages once; return False if another exchange is needed soon."""
        delegated = self._delegated_accounts(name)
        demand = self._measure_demand(name, now)
        message = self.shares.compose(name, delegated, demand, now)
        self._in_flight[name] = _Exchange(now, demand.wanted)
        has_answered = name in self._last_answer_at
        timeout_s = EXCHANGE_TIMEOUT_S if has_answered else FIRST_EXCHANGE_TIMEOUT_S
        loop = asyncio.get_running_loop()
        # 5 ms later, because timers may fire slightly early and ``_cannot_grant_now``
        # compares the time passed with HEDGE_AFTER_S.
        hedge = loop.call_later(HEDGE_AFTER_S + 0.005, self._wake_other_ledgers, name)
        try:
            answer = await self._rpc.call(url, message, TokenGrants, now + timeout_s)
        except CitronwoodError as error:
            self._metrics.count("limits.exchange_failed")
            log.debug("limits: no answer from ledger %s: %s", name, error)
            if monotonic() < now + timeout_s + MIN_PROCESS_PAUSE_S:
                self._on_no_answer(name)
            return False
        finally:
            hedge.cancel()
            self._in_flight.pop(name, None)
        self._unanswered[name] = 0
        self._last_answer_at[name] = monotonic()
        if message.ledger_epoch not in (0, answer.ledger_epoch):
            # The ledger has restarted and has lost the shares delegated to it.
            self._note_ledger_change(self._accounts_by_ledger.get(name, ()))
        self.shares.apply(name, message, answer, now)
        self._on_answer(name, demand, answer)
        # Shares can be delegated only with the epoch and a timestamp from an earlier
        # answer of the ledger, so the exchange is repeated after the first answer.
        return not delegated or message.ledger_epoch == answer.ledger_epoch

    def _on_answer(self, name: str, demand: Demand, answer: TokenGrants) -> None:
        now = monotonic()
        for account in demand.wanted:
            delay = answer.retry_ms.get(account, 0) / 1000
            if account not in answer.granted:
                # A ledger with an older configuration may not know the account.
                delay = max(delay, MIN_RETRY_DELAY_S)
            self._retry_at[name, account] = now + delay
        self._serve_waiting(self._accounts_by_ledger.get(name, []))
        self._wake_other_ledgers(name)
        for account, tokens in demand.ahead.items():
            granted = sum(grant[1] for grant in answer.granted.get(account, ()))
            is_exhausted = granted < tokens + demand.wanted.get(account, 0)
            self._exhausted_until[name, account] = (
                now + EXCHANGE_INTERVAL_S if is_exhausted else 0.0
            )
            if is_exhausted and account in self._account_ledgers:
                self._wake_ledger(self._other_ledger(name, account))

    def _on_no_answer(self, name: str) -> None:
        self.shares.mark_unresponsive(name)
        self._note_ledger_change(self._accounts_by_ledger.get(name, ()))
        self._unanswered[name] = self._unanswered.get(name, 0) + 1
        if self._unanswered[name] == MAX_UNANSWERED_EXCHANGES:
            self._cooldown_until[name] = monotonic() + COOLDOWN_S
        self._wake_other_ledgers(name)

    def _note_ledger_change(self, accounts: Iterable[str]) -> None:
        until = monotonic() + LEDGER_CHANGE_WINDOW_S
        self._ledger_change_until.update(dict.fromkeys(accounts, until))

    def _measure_demand(self, name: str, now: float) -> Demand:
        wanted: dict[str, int] = {}
        ahead: dict[str, int] = {}
        for account in self._accounts_by_ledger.get(name, ()):
            missing = self._missing_tokens(name, account, now)
            if missing:
                wanted[account] = missing
            own = self._account_ledgers[account].own
            if own == name or self._is_exhausted(own, account, now):
                expected = self.shares.measure_prefetch_demand(account, now)
                if expected:
                    ahead[account] = expected
        return Demand(wanted, ahead)

    def _missing_tokens(self, name: str, account: str, now: float) -> int:
        """Return the tokens to request from a ledger for waiting requests."""
        waiting = len(self._waiting.get(account, ()))
        if not waiting:
            return 0
        own = self._account_ledgers[account].own
        if own != name and not self._cannot_grant_now(own, account, now):
            return 0
        other = self._in_flight.get(self._other_ledger(name, account) or "")
        if other is not None and now - other.started < HEDGE_AFTER_S:
            waiting -= other.wanted.get(account, 0)
        return max(0, waiting)

    def _cannot_grant_now(self, name: str, account: str, now: float) -> bool:
        """Whether a ledger is not expected to grant a token at once."""
        if self._unanswered.get(name) or now < self._retry_at.get((name, account), 0):
            return True
        exchange = self._in_flight.get(name)
        return exchange is not None and now - exchange.started >= HEDGE_AFTER_S

    def _is_exhausted(self, name: str, account: str, now: float) -> bool:
        """Whether a ledger has no tokens to prefetch."""
        if self._unanswered.get(name):
            return True
        return now < self._exhausted_until.get((name, account), 0.0)

    async def _wait_for_demand(
        self, name: str, wakeup: asyncio.Event, started: float
    ) -> None:
        while True:
            now = monotonic()
            left_s = (
                min(self._next_renewal(name, started), self._next_retry(name, now))
                - now
            )
            if left_s <= 0:
                return
            try:
                async with asyncio.timeout(left_s):
                    await wakeup.wait()
            except TimeoutError:
                return
            wakeup.clear()

    def _next_renewal(self, name: str, started: float) -> float:
        """Return when a ledger is asked again even if no requests wait."""
        delegated = self._delegated_accounts(name)
        if delegated:
            returned_at = self.shares.next_return(name, delegated, started)
            return min(started + EXCHANGE_INTERVAL_S, returned_at)
        for account in self._accounts_by_ledger.get(name, ()):
            own = self._account_ledgers[account].own
            is_needed = own == name and self.shares.expects_demand(account)
            if is_needed or self._is_exhausted(own, account, started):
                return started + EXCHANGE_INTERVAL_S
        return started + IDLE_EXCHANGE_INTERVAL_S

    def _next_retry(self, name: str, now: float) -> float:
        """Return when to ask a ledger again for tokens for waiting requests."""
        return min(
            (
                self._retry_at.get((name, account), 0.0)
                for account in self._accounts_by_ledger.get(name, ())
                if self._missing_tokens(name, account, now)
            ),
            default=math.inf,
        )

    def _delegated_accounts(self, name: str) -> list[str]:
        """Return the accounts whose shares this VM delegates to a ledger."""
        accounts = self._accounts_by_ledger.get(name, ())
        return [
            account_name
            for account_name in accounts
            if self._account_ledgers[account_name].own == name
            and self.shares.has_share(account_name)
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
                    self._schedule_settlement(account)
                else:
                    break


def _process_id(caller: Caller) -> str:
    return f"{caller.name}/{caller.incarnation}"
