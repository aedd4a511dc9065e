"""Limits of client accounts over all VMs.

The VM that grants, as a rule the leader, holds a token bucket for each account and
grants operations to the VMs that ask. A grant is used within ``GRANT_S`` or given back.
Without a VM that grants, each admits its equal share of the rate; the VM that grants
keeps the shares of those that it does not hear out of its own rate, so that all
together stay within the limit.

Load pattern: one account sends many times its rate through a few VMs, while the other
accounts' operations arrive singly and unevenly at all of them.
"""

import asyncio
from collections.abc import Awaitable, Callable
from math import ceil
from time import monotonic
from typing import NamedTuple

from citronwood.relay.clock import now
from citronwood.relay.model import Account, Rules

# Life of a grant at a VM. Short against the window over which limits are judged, so
# that operations from grants do not add up to a second burst.
GRANT_S = 0.5
# A VM that was not heard for so long is counted as using its own share. Two reports of
# one of 200 VMs fit in.
SILENT_S = 1.5
# Tokens asked for ahead, in seconds of an account's recent operations at this VM.
AHEAD_S = 0.4
MIN_RETRY_S = 0.05
MAX_RETRY_S = 2.0
RECENT_S = 1.0


class Grants(NamedTuple):
    """Granted operations by account, and waits in ms where there were none."""

    granted: dict[str, int]
    retry_ms: dict[str, int]


class _Bucket:
    def __init__(self, rate: float, burst: float, level: float) -> None:
        self.rate = rate
        self.burst = burst
        self._level = level
        self._filled_at = now()

    @property
    def level(self) -> float:
        """Tokens now."""
        time = now()
        earned = (time - self._filled_at) * self.rate
        self._level = min(self.burst, self._level + earned)
        self._filled_at = time
        return self._level

    def take(self, count: int) -> int:
        """Take up to so many tokens and return their number."""
        taken = min(count, int(self.level))
        self._level -= taken
        return taken

    def give_back(self, count: int) -> None:
        """Return tokens that were not used."""
        self._level = min(self.burst, self.level + count)

    def wait_s(self) -> float:
        """Return the time until there is a token."""
        return max(0.0, (1.0 - self.level) / max(self.rate, 1e-6))


class AccountBuckets:
    """The buckets of a VM that grants.

    It starts with the tokens of ``START_S`` seconds, because grants of its predecessor
    may be in use; also after a time in which no VM lent it shares.
    """

    START_S = 0.25

    def __init__(self, rules: Callable[[], Rules | None]) -> None:
        self._rules = rules
        self._buckets: dict[str, _Bucket] = {}
        self._heard: dict[str, float] = {}
        self._vm_count = 1

    def set_vm_count(self, count: int) -> None:
        """Take the number of VMs that may admit operations."""
        self._vm_count = max(1, count)

    @property
    def lenders(self) -> frozenset[str]:
        """The VMs whose shares may be granted now."""
        limit = now() - SILENT_S
        return frozenset(vm for vm, time in self._heard.items() if time >= limit)

    def _count_lenders(self) -> int:
        limit = now() - SILENT_S
        return sum(1 for time in self._heard.values() if time >= limit)

    def leave(self, vm: str) -> None:
        """Grant nothing from a VM's shares any more."""
        self._heard.pop(vm, None)

    def grant(self, vm: str, wanted: dict[str, int], unused: dict[str, int]) -> Grants:
        """Grant operations to a VM, which lends its shares with the question."""
        if not self._count_lenders():
            self._buckets.clear()
        self._heard[vm] = now()
        share = min(1.0, self._count_lenders() / self._vm_count)
        granted: dict[str, int] = {}
        retry: dict[str, int] = {}
        rules = self._rules()
        if rules is None:
            return Grants(granted, retry)
        for name, count in unused.items():
            bucket = self._bucket(rules, name, share)
            if bucket is not None and count > 0:
                bucket.give_back(count)
        for name, count in wanted.items():
            bucket = self._bucket(rules, name, share)
            if bucket is None:
                granted[name] = count
                continue
            granted[name] = bucket.take(count)
            if not granted[name]:
                retry[name] = ceil(bucket.wait_s() * 1000)
        return Grants(granted, retry)

    def _bucket(self, rules: Rules, name: str, share: float) -> _Bucket | None:
        account = rules.accounts.get(name)
        if account is None or account.rate is None:
            return None
        bucket = self._buckets.get(name)
        rate, burst = account.rate * share, max(1.0, account.burst * share)
        if bucket is None:
            bucket = _Bucket(rate, burst, account.rate * self.START_S)
            self._buckets[name] = bucket
        if bucket.rate != rate or bucket.burst != burst:
            # Fills up at the old rate first.
            bucket.give_back(0)
            bucket.rate, bucket.burst = rate, burst
        return bucket


class _Grant(NamedTuple):
    tokens: int
    expires_at: float


class _AccountAllowance:
    """Tokens of one account at this VM."""

    def __init__(self) -> None:
        self.grant = _Grant(0, 0.0)
        self.waiting = 0
        self.own: _Bucket | None = None
        self.refused_until = 0.0
        self.retry_at = 0.0
        self.recent = 0.0
        self.counted_at = monotonic()

    def count_operation(self) -> None:
        """Update the decaying rate of operations."""
        time = monotonic()
        decay = max(0.0, 1.0 - (time - self.counted_at) / RECENT_S)
        self.recent = self.recent * decay + 1.0
        self.counted_at = time


class Allowance:
    """Decides at this VM whether an account may start another operation.

    Parameters
    ----------
    ask : callable
        Asks a VM that grants; None when there is none.
    """

    def __init__(
        self,
        ask: Callable[[dict[str, int], dict[str, int]], Awaitable[Grants | None]],
        vm_count: Callable[[], int],
    ) -> None:
        self._ask = ask
        self._vm_count = vm_count
        self._accounts: dict[str, _AccountAllowance] = {}
        self._asking: asyncio.Task[None] | None = None
        self._has_grantor = False
        self._alone_since = now()

    async def take(self, account: Account, deadline: float) -> float | None:
        """Return None, or the seconds after which to come back."""
        if account.rate is None:
            return None
        allowance = self._accounts.setdefault(account.name, _AccountAllowance())
        allowance.count_operation()
        while True:
            if self._take_granted(allowance):
                return None
            time = now()
            if time < allowance.refused_until:
                return max(MIN_RETRY_S, allowance.retry_at - time)
            if monotonic() >= deadline:
                return MIN_RETRY_S
            allowance.waiting += 1
            try:
                await self._ask_grantor()
            finally:
                allowance.waiting -= 1
            if not self._has_grantor:
                return self._take_own(account, allowance)

    def take_unused(self) -> dict[str, int]:
        """Return and forget the grants that have expired."""
        unused: dict[str, int] = {}
        time = now()
        for name, allowance in self._accounts.items():
            if allowance.grant.tokens and allowance.grant.expires_at <= time:
                unused[name] = allowance.grant.tokens
                allowance.grant = _Grant(0, 0.0)
        return unused

    def wanted(self) -> dict[str, int]:
        """Return the operations for which leave is needed now or soon."""
        wanted: dict[str, int] = {}
        for name, allowance in self._accounts.items():
            if allowance.waiting:
                ahead = int(allowance.recent * AHEAD_S)
                wanted[name] = allowance.waiting + ahead
        return wanted

    def _take_granted(self, allowance: _AccountAllowance) -> bool:
        grant = allowance.grant
        if not grant.tokens or now() >= grant.expires_at:
            return False
        allowance.grant = _Grant(grant.tokens - 1, grant.expires_at)
        return True

    def _take_own(self, account: Account, allowance: _AccountAllowance) -> float | None:
        assert account.rate is not None
        count = max(1, self._vm_count())
        rate, burst = account.rate / count, max(1.0, account.burst / count)
        if allowance.own is None:
            earned = min(burst, rate * (now() - self._alone_since))
            allowance.own = _Bucket(rate, burst, earned)
        allowance.own.rate, allowance.own.burst = rate, burst
        if allowance.own.take(1):
            return None
        return min(MAX_RETRY_S, max(MIN_RETRY_S, allowance.own.wait_s()))

    async def _ask_grantor(self) -> None:
        """Ask for all accounts with waiting operations; one question at a time."""
        if self._asking is None or self._asking.done():
            self._asking = asyncio.create_task(self._exchange())
        await asyncio.shield(self._asking)

    async def _exchange(self) -> None:
        asked_at = now()
        wanted, unused = self.wanted(), self.take_unused()
        answer = await self._ask(wanted, unused)
        self._has_grantor = answer is not None
        if answer is None:
            return
        # The shares are lent from now on, and earn nothing here.
        self._alone_since = now()
        for known in self._accounts.values():
            known.own = None
        for name, count in answer.granted.items():
            allowance = self._accounts.get(name)
            if allowance is None:
                continue
            if count:
                left = (
                    allowance.grant.tokens if now() < allowance.grant.expires_at else 0
                )
                allowance.grant = _Grant(left + count, asked_at + GRANT_S)
            else:
                wait_s = answer.retry_ms.get(name, 0) / 1000
                time = now()
                allowance.refused_until = time + min(MIN_RETRY_S, wait_s)
                allowance.retry_at = time + min(MAX_RETRY_S, wait_s)
