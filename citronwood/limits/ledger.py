"""Ledger of client accounts: grants tokens from the shares delegated to it.

Why an account never exceeds its burst and rate: The account is divided over share
slots, and the weights 1/divisor of all claimed slots that have a share of it sum up to
at most 1 (``citronwood.limits.slots`` has the argument). For each slot
the tokens that exist anywhere (at its VM, or at a ledger, or granted and perhaps
unspent) never exceed burst/divisor, and they rise by at most rate/divisor per second;
the sum over the slots is the bound for the account. For one slot this holds because

- a slot is at one place at a time: at its VM or at one ledger. The VM does not use a
  delegated share for ``LEND_S`` after its last message; the ledger stops ``LEND_S``
  after a stamp of its own clock that the VM had received before it sent that message,
  so a late message cannot extend a delegation, and clocks are not compared;
- a returned share starts empty.

For a ledger the same holds for the sum over the shares that are delegated to it:

- level and drawn tokens never exceed the capacity of these shares, and rise by at most
  their rate. A share that leaves takes its room with it, and the level is cut to what
  is left;
- drawn tokens keep their room until the grant is settled or expires. A grant needs room
  in the shares whose delegation lasts until its deadline, together with all earlier
  grants; so the room is there for as long as the tokens can be used. The VM counts the
  deadline from the moment at which it asked.

Handed-over levels count once, by the sequence number of the message. A restarted
ledger has another epoch, so that stamps of its predecessor delegate nothing.
"""

import secrets
from collections.abc import Callable
from heapq import heappop, heappush
from typing import NamedTuple

from citronwood.config.model import Account, Configuration
from citronwood.inner.messages import LendShares, SettleGrants, TokenGrants
from citronwood.limits.pool import STEP_S, PooledShare, SharePool

LEND_S = 0.9
# Tokens for waiting requests are used on arrival; a short life lets them draw on shares
# that are about to be renewed.
WANTED_GRANT_S = 0.2
AHEAD_GRANT_S = 0.3
MIN_RETRY_S = 0.02
MAX_RETRY_S = 0.2
# Part of the tokens that is kept for waiting requests when others ask ahead.
RESERVED = 0.5
# Rounding must not make a token out of 0.999.
EPSILON = 1e-9


class _Grant(NamedTuple):
    account: str
    vm: str
    tokens: int


class Ledger:
    """Shares and grants of the accounts for which this VM is the ledger."""

    def __init__(
        self, config: Callable[[], Configuration], epoch: int | None = None
    ) -> None:
        self._config = config
        self._epoch = epoch or secrets.randbits(48) + 1
        self._pools: dict[str, SharePool] = {}
        self._slot_epochs: dict[int, int] = {}
        self._sequences: dict[str, tuple[int, float]] = {}
        self._grants: dict[int, _Grant] = {}
        self._expiries: list[tuple[float, int]] = []
        self._next_grant = 1
        # VMs whose wants were not met, with the time, by account.
        self._short: dict[str, dict[str, float]] = {}

    def handle(self, vm: str, message: LendShares, now: float) -> TokenGrants:
        """Take delegations, settle grants and grant tokens.

        ``vm`` must identify the process, as sequence numbers start anew with it.
        """
        self._expire(now)
        current = message.ledger_epoch == self._epoch
        if current:
            self._settle(vm, message.settled, now)
            self._accept(vm, message, now)
        granted, retry_ms = self._grant_all(vm, message, now)
        return TokenGrants(
            ledger_epoch=self._epoch,
            stamp_us=int(now * 1e6),
            granted=granted,
            retry_ms=retry_ms,
        )

    def available(self, account: str, now: float) -> tuple[float, int]:
        """Return the tokens of an account and the number of shares, for records."""
        self._expire(now)
        pool = self._pools.get(account)
        return (0.0, 0) if pool is None else (pool.level(now), len(pool.shares))

    def _expire(self, now: float) -> None:
        while self._expiries and self._expiries[0][0] <= now:
            expired_at, grant_id = heappop(self._expiries)
            grant = self._grants.pop(grant_id, None)
            if grant is not None:
                self._pools[grant.account].settle(grant.tokens, 0, expired_at)

    def _settle(self, vm: str, settled: dict[int, int], now: float) -> None:
        for grant_id, unused in settled.items():
            grant = self._grants.get(grant_id)
            if grant is not None and grant.vm == vm and 0 <= unused <= grant.tokens:
                del self._grants[grant_id]
                self._pools[grant.account].settle(grant.tokens, unused, now)

    def _accept(self, vm: str, message: LendShares, now: float) -> None:
        until = message.stamp_us / 1e6 + LEND_S
        if message.slot is None or message.divisor < 1 or until <= now:
            return
        if message.stamp_us / 1e6 > now or not self._is_new(vm, message.sequence, now):
            return
        if message.slot_epoch < self._slot_epochs.get(message.slot, 0):
            # Another process has claimed the slot since.
            return
        self._slot_epochs[message.slot] = message.slot_epoch
        accounts = self._config().accounts
        for name, level in message.levels.items():
            account = accounts.get(name)
            if account is not None:
                self._accept_share(vm, message, account, name, level, until, now)

    def _is_new(self, vm: str, sequence: int, now: float) -> bool:
        last, _ = self._sequences.get(vm, (0, 0.0))
        if sequence <= last:
            return False
        # A message older than LEND_S delegates nothing, so older numbers can go.
        if len(self._sequences) > 64 and not sequence % 64:
            known = self._sequences.items()
            self._sequences = {k: v for k, v in known if v[1] > now - 2 * LEND_S}
        self._sequences[vm] = (sequence, now)
        return True

    def _accept_share(
        self,
        vm: str,
        message: LendShares,
        account: Account,
        name: str,
        level: float,
        until: float,
        now: float,
    ) -> None:
        assert message.slot is not None
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = SharePool(now)
        pool.level(now)
        old = pool.shares.get(message.slot)
        holder = (message.slot_epoch, vm)
        end = int(until / STEP_S)
        if old is not None:
            if old.holder != holder:
                # The earlier holder's delegation has not ended yet.
                return
            end = max(end, old.end)
        if end * STEP_S <= now:
            return
        capacity = account.burst / message.divisor
        rate = account.rate / message.divisor
        pool.put(message.slot, PooledShare(holder, capacity, rate, end), now)
        if level > 0:
            pool.deposit(min(level, capacity), now)

    def settle(self, vm: str, message: SettleGrants, now: float) -> None:
        """Settle grants between two exchanges, which makes room for refill."""
        if message.ledger_epoch == self._epoch:
            self._expire(now)
            self._settle(vm, message.settled, now)

    def _grant_all(
        self, vm: str, message: LendShares, now: float
    ) -> tuple[dict[str, list[tuple[int, int, int]]], dict[str, int]]:
        granted: dict[str, list[tuple[int, int, int]]] = {}
        retry_ms: dict[str, int] = {}
        accounts = self._config().accounts
        for name in message.wanted.keys() & accounts.keys():
            wanted = max(0, message.wanted[name])
            one = self._grant(name, vm, wanted, 0.0, now, WANTED_GRANT_S)
            if one is not None:
                granted.setdefault(name, []).append(one)
            if wanted > (one[1] if one is not None else 0):
                retry_ms[name] = self._retry_ms(name, vm, now)
        for name in message.ahead.keys() & accounts.keys():
            ahead = max(0, message.ahead[name])
            one = self._grant(name, vm, ahead, RESERVED, now, AHEAD_GRANT_S)
            if one is not None:
                granted.setdefault(name, []).append(one)
        return granted, retry_ms

    def _grant(
        self,
        name: str,
        vm: str,
        tokens: int,
        reserved: float,
        now: float,
        life_s: float,
    ) -> tuple[int, int, int] | None:
        deadline = now + life_s
        pool = self._pools.get(name)
        if pool is None or tokens <= 0:
            return None
        level = pool.level(now)
        usable = pool.usable_capacity(deadline)
        spare = min(level - reserved * usable, usable - pool.drawn)
        tokens = min(tokens, int(spare + EPSILON))
        if tokens <= 0:
            return None
        pool.draw(tokens, now)
        grant_id = self._record(name, vm, tokens, deadline)
        return grant_id, tokens, int(life_s * 1000)

    def _retry_ms(self, name: str, vm: str, now: float) -> int:
        # Each VM that waits gets about one token for each of its messages.
        short = self._short.setdefault(name, {})
        short[vm] = now
        for other in [one for one, at in short.items() if at < now - 2 * MAX_RETRY_S]:
            del short[other]
        pool = self._pools.get(name)
        rate = pool.rate if pool is not None else 0.0
        wait = len(short) / rate if rate > 0 else MAX_RETRY_S
        return int(1000 * min(max(wait, MIN_RETRY_S), MAX_RETRY_S))

    def _record(
        self,
        account: str,
        vm: str,
        tokens: int,
        deadline: float,
    ) -> int:
        grant_id = self._next_grant
        self._next_grant += 1
        self._grants[grant_id] = _Grant(account, vm, tokens)
        heappush(self._expiries, (deadline, grant_id))
        return grant_id
