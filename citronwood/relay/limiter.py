"""Rate limits of client accounts across all VMs.

One VM, the grantor, holds a token bucket for each account and grants tokens to the VMs
that ask. The leader is the grantor unless it does not answer. A VM uses granted tokens
within ``GRANT_LIFETIME_S`` or returns them. A VM without a grantor admits operations
from its own share, an equal part of the account's rate. The grantor's buckets leave out
the shares of the VMs that do not report to it, so that all VMs together stay within the
limit.

Load pattern: one account sends many times its rate through a few VMs, while the other
accounts' operations arrive one at a time and unevenly at all VMs.
"""

import asyncio
from collections.abc import Awaitable, Callable
from math import ceil
from time import monotonic
from typing import NamedTuple

from citronwood.relay.clock import now
from citronwood.relay.model import Account, Rules

# Short compared with the window over which the platform checks the limits, so that
# operations from outstanding grants do not add up to a second burst.
GRANT_LIFETIME_S = 0.5
# A VM that has not reported for this time is assumed to use its own share again. In
# fleets of up to 200 VMs, a VM waits at most 1.1 s between two reports (reports.py).
LENDER_TIMEOUT_S = 1.5
# Tokens requested in advance, as seconds of an account's recent rate at this VM.
PREFETCH_S = 0.4
MIN_RETRY_S = 0.05
MAX_RETRY_S = 2.0
RATE_WINDOW_S = 1.0


class Grants(NamedTuple):
    """Granted tokens by account, and retry delays for accounts that got none."""

    granted: dict[str, int]
    retry_ms: dict[str, int]


class _TokenBucket:
    def __init__(self, rate: float, burst: float, level: float) -> None:
        self.rate = rate
        self.burst = burst
        self._level = level
        self._refilled_at = now()

    @property
    def level(self) -> float:
        """Number of tokens now."""
        time = now()
        earned = (time - self._refilled_at) * self.rate
        self._level = min(self.burst, self._level + earned)
        self._refilled_at = time
        return self._level

    def take(self, count: int) -> int:
        """Take up to ``count`` tokens and return the number taken."""
        taken = min(count, int(self.level))
        self._level -= taken
        return taken

    def give_back(self, count: int) -> None:
        """Put back tokens that were not used."""
        self._level = min(self.burst, self.level + count)

    def wait_s(self) -> float:
        """Return the time until the next token is available."""
        return max(0.0, (1.0 - self.level) / max(self.rate, 1e-6))


class AccountBuckets:
    """Token buckets of a grantor.

    A bucket starts with only ``INITIAL_FILL_S`` seconds' worth of tokens, because
    grants of the previous grantor may still be in use, but with one token at least: the
    many accounts with a low rate would all be refused after a change of grantor. The
    buckets also start anew when no VM has lent its shares for a while.
    """

    INITIAL_FILL_S = 0.25

    def __init__(self, rules: Callable[[], Rules | None]) -> None:
        self._rules = rules
        self._buckets: dict[str, _TokenBucket] = {}
        self._lender_seen_at: dict[str, float] = {}
        self._vm_count = 1

    def set_vm_count(self, count: int) -> None:
        """Set the number of VMs that admit operations."""
        self._vm_count = max(1, count)

    @property
    def lenders(self) -> frozenset[str]:
        """VMs that currently lend their shares to this one."""
        cutoff = now() - LENDER_TIMEOUT_S
        return frozenset(
            vm for vm, time in self._lender_seen_at.items() if time >= cutoff
        )

    def _count_lenders(self) -> int:
        cutoff = now() - LENDER_TIMEOUT_S
        return sum(1 for time in self._lender_seen_at.values() if time >= cutoff)

    def remove_lender(self, vm: str) -> None:
        """Stop granting from a VM's shares."""
        self._lender_seen_at.pop(vm, None)

    def grant(self, vm: str, wanted: dict[str, int], unused: dict[str, int]) -> Grants:
        """Grant tokens to a VM, which lends its shares with the request."""
        if not self._count_lenders():
            self._buckets.clear()
        self._lender_seen_at[vm] = now()
        share = min(1.0, self._count_lenders() / self._vm_count)
        granted: dict[str, int] = {}
        retry: dict[str, int] = {}
        rules = self._rules()
        if rules is None:
            return Grants(granted, retry)
        for name, count in unused.items():
            bucket = self._bucket_of(rules, name, share)
            if bucket is not None and count > 0:
                bucket.give_back(count)
        for name, count in wanted.items():
            bucket = self._bucket_of(rules, name, share)
            if bucket is None:
                granted[name] = count
                continue
            granted[name] = bucket.take(count)
            if not granted[name]:
                retry[name] = ceil(bucket.wait_s() * 1000)
        return Grants(granted, retry)

    def _bucket_of(self, rules: Rules, name: str, share: float) -> _TokenBucket | None:
        account = rules.accounts.get(name)
        if account is None or account.rate is None:
            return None
        bucket = self._buckets.get(name)
        rate, burst = account.rate * share, max(1.0, account.burst * share)
        if bucket is None:
            level = max(1.0, account.rate * self.INITIAL_FILL_S)
            bucket = _TokenBucket(rate, burst, level)
            self._buckets[name] = bucket
        if bucket.rate != rate or bucket.burst != burst:
            # Refills the bucket at the old rate up to now.
            bucket.give_back(0)
            bucket.rate, bucket.burst = rate, burst
        return bucket


class _Grant(NamedTuple):
    tokens: int
    expires_at: float


class _AccountState:
    """Tokens and recent load of one account at this VM.

    After the grantor granted no tokens, operations are refused without a new request
    until ``refused_until``. Callers are told to retry at ``retry_at``.
    """

    def __init__(self) -> None:
        self.grant = _Grant(0, 0.0)
        self.waiting = 0
        self.local_bucket: _TokenBucket | None = None
        self.refused_until = 0.0
        self.retry_at = 0.0
        self.recent_count = 0.0
        self.counted_at = monotonic()

    def count_operation(self) -> None:
        """Add an operation to the decaying count of recent ones."""
        time = monotonic()
        decay = max(0.0, 1.0 - (time - self.counted_at) / RATE_WINDOW_S)
        self.recent_count = self.recent_count * decay + 1.0
        self.counted_at = time


class AccountLimiter:
    """Decides at this VM whether an account may start another operation.

    Parameters
    ----------
    request_grants : callable
        Takes wanted and unused tokens by account, and requests tokens of the grantor.
        Returns None when there is no grantor.
    vm_count : callable
        Returns the number of VMs that share the limits.
    """

    def __init__(
        self,
        request_grants: Callable[
            [dict[str, int], dict[str, int]], Awaitable[Grants | None]
        ],
        vm_count: Callable[[], int],
    ) -> None:
        self._request_grants = request_grants
        self._vm_count = vm_count
        self._accounts: dict[str, _AccountState] = {}
        self._pending_request: asyncio.Task[None] | None = None
        self._has_grantor = False
        self._local_refill_since = now()

    async def acquire(self, account: Account, deadline: float) -> float | None:
        """Take a token; return None, or the seconds after which to retry."""
        if account.rate is None:
            return None
        state = self._accounts.setdefault(account.name, _AccountState())
        state.count_operation()
        while True:
            if self._take_granted(state):
                return None
            time = now()
            if time < state.refused_until:
                return max(MIN_RETRY_S, state.retry_at - time)
            if monotonic() >= deadline:
                return MIN_RETRY_S
            state.waiting += 1
            try:
                await self._await_grants()
            finally:
                state.waiting -= 1
            if not self._has_grantor:
                return self._take_local(account, state)

    def pop_unused(self) -> dict[str, int]:
        """Remove expired grants and return their tokens by account."""
        unused: dict[str, int] = {}
        time = now()
        for name, state in self._accounts.items():
            if state.grant.tokens and state.grant.expires_at <= time:
                unused[name] = state.grant.tokens
                state.grant = _Grant(0, 0.0)
        return unused

    def count_wanted(self) -> dict[str, int]:
        """Return the tokens to request for waiting and expected operations."""
        wanted: dict[str, int] = {}
        for name, state in self._accounts.items():
            if state.waiting:
                prefetched = int(state.recent_count * PREFETCH_S)
                wanted[name] = state.waiting + prefetched
        return wanted

    def _take_granted(self, state: _AccountState) -> bool:
        grant = state.grant
        if not grant.tokens or now() >= grant.expires_at:
            return False
        state.grant = _Grant(grant.tokens - 1, grant.expires_at)
        return True

    def _take_local(self, account: Account, state: _AccountState) -> float | None:
        """Take a token of this VM's own share; return None, or the retry delay."""
        assert account.rate is not None
        count = max(1, self._vm_count())
        rate, burst = account.rate / count, max(1.0, account.burst / count)
        if state.local_bucket is None:
            initial_level = min(burst, rate * (now() - self._local_refill_since))
            state.local_bucket = _TokenBucket(rate, burst, initial_level)
        state.local_bucket.rate, state.local_bucket.burst = rate, burst
        if state.local_bucket.take(1):
            return None
        return min(MAX_RETRY_S, max(MIN_RETRY_S, state.local_bucket.wait_s()))

    async def _await_grants(self) -> None:
        """Request tokens for all accounts with waiting operations.

        Only one request is in flight at a time; later callers wait for it.
        """
        if self._pending_request is None or self._pending_request.done():
            self._pending_request = asyncio.create_task(self._refresh_grants())
        await asyncio.shield(self._pending_request)

    async def _refresh_grants(self) -> None:
        asked_at = now()
        wanted, unused = self.count_wanted(), self.pop_unused()
        answer = await self._request_grants(wanted, unused)
        self._has_grantor = answer is not None
        if answer is None:
            return
        # This VM's shares are lent from now on, so they earn no tokens here.
        self._local_refill_since = now()
        for account_state in self._accounts.values():
            account_state.local_bucket = None
        for name, count in answer.granted.items():
            state = self._accounts.get(name)
            if state is None:
                continue
            if count:
                left = state.grant.tokens if now() < state.grant.expires_at else 0
                state.grant = _Grant(left + count, asked_at + GRANT_LIFETIME_S)
            else:
                wait_s = answer.retry_ms.get(name, 0) / 1000
                time = now()
                state.refused_until = time + min(MIN_RETRY_S, wait_s)
                state.retry_at = time + min(MAX_RETRY_S, wait_s)
