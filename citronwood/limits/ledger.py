"""Ledger of client accounts: grants tokens from the shares delegated to it.

Why an account never exceeds its burst and rate: the account is divided over share
slots, and the weights (1/divisor) of all claimed slots that have a share of it sum to
at most 1; ``citronwood.limits.slots`` explains why. For each slot, the tokens that
exist anywhere (at its VM, at a ledger, or granted and possibly unspent) never exceed
burst/divisor, and they increase by at most rate/divisor per second. The sum over the
slots is the bound for the account. For a single slot the bound holds because:

- A share is in one place at a time: at its VM or at one ledger. A message that
  delegates a share carries back the latest timestamp that the VM has received from the
  ledger, and the ledger stops using the share ``DELEGATION_S`` after that timestamp.
  The VM does not use the share until more than ``DELEGATION_S`` after it has sent its
  last such message. So a late message cannot extend a delegation, and the clocks of
  different VMs are never compared.
- A returned share starts empty.

For a ledger, the same holds for the sum over the shares that are delegated to it:

- The level and the drawn tokens (those of grants that are not settled yet) together
  never exceed the capacity of these shares, and increase by at most their rate. A share
  that leaves takes its capacity with it, and the level is cut to the capacity left.
- Drawn tokens occupy capacity until their grant is settled or expires. A grant,
  together with all earlier ones, must fit into the capacity of the shares whose
  delegation lasts until its deadline, so that capacity exists for as long as the tokens
  can be used. The VM counts the deadline from the time at which it sent its request.

A repeated message adds its tokens only once: the ledger ignores the shares of a message
whose sequence number is not higher than the last one of the same process. A restarted
ledger has another epoch, so timestamps of its earlier process delegate nothing.
"""

import secrets
from collections.abc import Callable
from heapq import heappop, heappush
from typing import NamedTuple

from citronwood.config.model import Account, Configuration
from citronwood.inner.messages import LendShares, SettleGrants, TokenGrants
from citronwood.limits.pool import END_STEP_S, PooledShare, SharePool

DELEGATION_S = 0.9
# A grant can draw only on shares whose delegation outlasts the grant. Tokens for
# waiting requests are used on arrival. Their TTL is short, so that the grant can also
# draw on shares whose delegation ends soon.
WANTED_GRANT_TTL_S = 0.2
PREFETCH_GRANT_TTL_S = 0.3
# Limits of the delay after which a VM asks again for tokens that it did not get.
MIN_RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 0.2
# Fraction of the capacity that prefetching leaves for waiting requests.
RESERVED_FRACTION = 0.5
# Tolerance for rounding errors; far too small to turn 0.999 tokens into one.
ROUNDING_TOLERANCE = 1e-9


class _Grant(NamedTuple):
    account: str
    process_id: str
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
        self._last_sequences: dict[str, tuple[int, float]] = {}
        self._grants: dict[int, _Grant] = {}
        self._grant_expiries: list[tuple[float, int]] = []
        self._next_grant_id = 1
        # By account: processes with unmet demand, with the time of their last message.
        self._unmet_demand: dict[str, dict[str, float]] = {}

    def handle(self, process_id: str, message: LendShares, now: float) -> TokenGrants:
        """Accept delegations, settle grants and grant tokens.

        ``process_id`` identifies the sending process, not only its VM, because each
        process numbers its messages from the start.
        """
        self._expire_grants(now)
        is_current_epoch = message.ledger_epoch == self._epoch
        if is_current_epoch:
            self._settle_grants(process_id, message.settled, now)
            self._accept_delegations(process_id, message, now)
        granted, retry_ms = self._grant_all(process_id, message, now)
        return TokenGrants(
            ledger_epoch=self._epoch,
            stamp_us=int(now * 1e6),
            granted=granted,
            retry_ms=retry_ms,
        )

    def available(self, account: str, now: float) -> tuple[float, int]:
        """Return the tokens and the number of delegated shares of an account."""
        self._expire_grants(now)
        pool = self._pools.get(account)
        return (0.0, 0) if pool is None else (pool.update(now), len(pool.shares))

    def _expire_grants(self, now: float) -> None:
        while self._grant_expiries and self._grant_expiries[0][0] <= now:
            expired_at, grant_id = heappop(self._grant_expiries)
            grant = self._grants.pop(grant_id, None)
            if grant is not None:
                self._pools[grant.account].settle(grant.tokens, 0, expired_at)

    def _settle_grants(
        self, process_id: str, settled: dict[int, int], now: float
    ) -> None:
        for grant_id, unused in settled.items():
            grant = self._grants.get(grant_id)
            if (
                grant is not None
                and grant.process_id == process_id
                and 0 <= unused <= grant.tokens
            ):
                del self._grants[grant_id]
                self._pools[grant.account].settle(grant.tokens, unused, now)

    def _accept_delegations(
        self, process_id: str, message: LendShares, now: float
    ) -> None:
        until = message.stamp_us / 1e6 + DELEGATION_S
        if message.slot is None or message.divisor < 1 or until <= now:
            return
        # A timestamp in the future is invalid; a repeated message delegates nothing.
        if message.stamp_us / 1e6 > now or not self._is_new(
            process_id, message.sequence, now
        ):
            return
        if message.slot_epoch < self._slot_epochs.get(message.slot, 0):
            # Another process has claimed the slot in the meantime.
            return
        self._slot_epochs[message.slot] = message.slot_epoch
        accounts = self._config().accounts
        for name, level in message.levels.items():
            account = accounts.get(name)
            if account is not None:
                self._accept_share(
                    process_id, message, account, name, level, until, now
                )

    def _is_new(self, process_id: str, sequence: int, now: float) -> bool:
        last, _ = self._last_sequences.get(process_id, (0, 0.0))
        if sequence <= last:
            return False
        # A repeated message has a timestamp from before its process was last heard, so
        # it delegates nothing once DELEGATION_S has passed since then. Sequence numbers
        # are kept for twice this time.
        if len(self._last_sequences) > 64 and not sequence % 64:
            sequences = self._last_sequences.items()
            self._last_sequences = {
                k: v for k, v in sequences if v[1] > now - 2 * DELEGATION_S
            }
        self._last_sequences[process_id] = (sequence, now)
        return True

    def _accept_share(
        self,
        process_id: str,
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
        pool.update(now)
        old = pool.shares.get(message.slot)
        holder = (message.slot_epoch, process_id)
        end_step = int(until / END_STEP_S)
        if old is not None:
            if old.holder != holder:
                # The delegation by the slot's earlier holder has not ended yet.
                return
            end_step = max(end_step, old.end_step)
        if end_step * END_STEP_S <= now:
            return
        capacity = account.burst / message.divisor
        rate = account.rate / message.divisor
        pool.put(message.slot, PooledShare(holder, capacity, rate, end_step), now)
        if level > 0:
            pool.deposit(min(level, capacity), now)

    def settle(self, process_id: str, message: SettleGrants, now: float) -> None:
        """Settle grants between two exchanges, so that capacity refills earlier."""
        if message.ledger_epoch == self._epoch:
            self._expire_grants(now)
            self._settle_grants(process_id, message.settled, now)

    def _grant_all(
        self, process_id: str, message: LendShares, now: float
    ) -> tuple[dict[str, list[tuple[int, int, int]]], dict[str, int]]:
        """Return the grants, and the retry delays for unmet demand, by account."""
        granted: dict[str, list[tuple[int, int, int]]] = {}
        retry_ms: dict[str, int] = {}
        accounts = self._config().accounts
        for name in message.wanted.keys() & accounts.keys():
            wanted = max(0, message.wanted[name])
            new_grant = self._grant(
                name, process_id, wanted, 0.0, now, WANTED_GRANT_TTL_S
            )
            if new_grant is not None:
                granted.setdefault(name, []).append(new_grant)
            if wanted > (new_grant[1] if new_grant is not None else 0):
                retry_ms[name] = self._retry_ms(name, process_id, now)
        for name in message.ahead.keys() & accounts.keys():
            ahead = max(0, message.ahead[name])
            new_grant = self._grant(
                name, process_id, ahead, RESERVED_FRACTION, now, PREFETCH_GRANT_TTL_S
            )
            if new_grant is not None:
                granted.setdefault(name, []).append(new_grant)
        return granted, retry_ms

    def _grant(
        self,
        name: str,
        process_id: str,
        tokens: int,
        reserved_fraction: float,
        now: float,
        ttl_s: float,
    ) -> tuple[int, int, int] | None:
        """Grant up to ``tokens``; return the grant's id, tokens and TTL in ms.

        Returns None if no token can be granted.
        """
        deadline = now + ttl_s
        pool = self._pools.get(name)
        if pool is None or tokens <= 0:
            return None
        level = pool.update(now)
        usable = pool.usable_capacity(deadline)
        grantable = min(level - reserved_fraction * usable, usable - pool.drawn)
        tokens = min(tokens, int(grantable + ROUNDING_TOLERANCE))
        if tokens <= 0:
            return None
        pool.draw(tokens, now)
        grant_id = self._record_grant(name, process_id, tokens, deadline)
        return grant_id, tokens, int(ttl_s * 1000)

    def _retry_ms(self, name: str, process_id: str, now: float) -> int:
        """Record unmet demand; return the delay until the process should ask again."""
        unmet = self._unmet_demand.setdefault(name, {})
        unmet[process_id] = now
        for expired in [
            key for key, at in unmet.items() if at < now - 2 * MAX_RETRY_DELAY_S
        ]:
            del unmet[expired]
        pool = self._pools.get(name)
        rate = pool.rate if pool is not None else 0.0
        # The pool gains one token for each process with unmet demand in this time.
        wait = len(unmet) / rate if rate > 0 else MAX_RETRY_DELAY_S
        return int(1000 * min(max(wait, MIN_RETRY_DELAY_S), MAX_RETRY_DELAY_S))

    def _record_grant(
        self,
        account: str,
        process_id: str,
        tokens: int,
        deadline: float,
    ) -> int:
        grant_id = self._next_grant_id
        self._next_grant_id += 1
        self._grants[grant_id] = _Grant(account, process_id, tokens)
        heappush(self._grant_expiries, (deadline, grant_id))
        return grant_id
