"""Shares and granted tokens of one VM.

A VM delegates its share of every account to one of the account's ledgers and renews the
delegation before it ends; it may ask any ledger for tokens. A delegation that is not
renewed ends, and the share returns to the VM empty. Requests use granted tokens, or the
VM's own share while it is not delegated. This module keeps the state and composes the
messages; ``citronwood.limits.limiter`` sends them. ``citronwood.limits.ledger``
explains why no account exceeds its burst and rate.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from citronwood.config.model import Configuration
from citronwood.inner.messages import LendShares, SettleGrants, TokenGrants
from citronwood.limits.bucket import ShareBucket
from citronwood.limits.ledger import DELEGATION_S
from citronwood.limits.weights import choose_slots, divisor_of

# Time after its last message until the VM uses a delegated share again. Longer than the
# delegation at the ledger, because the clocks may run at different speeds.
RECLAIM_AFTER_S = DELEGATION_S * 1.02
# A VM stops using a grant this long before the grant expires at the ledger.
GRANT_EXPIRY_MARGIN_S = 0.005
# Unused tokens that expire within this time are given back with the next message to
# their ledger, so that they are not lost.
RETURN_BEFORE_EXPIRY_S = 0.15
# Tokens are prefetched for the requests expected within this time.
PREFETCH_S = 0.25
# Weight of a new measurement in the demand rate, for an interval of ``PREFETCH_S``.
DEMAND_SMOOTHING = 0.5
# Limits the unanswered messages to a ledger that are remembered. Answers to older ones
# are ignored, and their grants expire unused.
MAX_PENDING_MESSAGES = 16
# A message sent earlier than this after the last renewal does not extend the
# delegation, so that the delegation ends soon after its ledger has died.
RENEW_AFTER_S = 0.25


class Slot(NamedTuple):
    """Share slot claimed by this VM.

    ``counts`` are the fleet's numbers of share slots: usually one, more while the
    number changes. The slot has a share of an account if it has one under each count;
    the weight of the share is then ``1 / divisor``.
    """

    number: int
    epoch: int
    counts: tuple[int, ...]

    @property
    def divisor(self) -> int:
        """Largest number of shares per account under any of the counts."""
        return divisor_of(self.counts)

    def position(self, account: str) -> int | None:
        """Return the slot's index among the account's slots; None if it has no share.

        While there are several counts, the index is that under the last one.
        """
        for count in self.counts:
            chosen = choose_slots(account, count)
            if self.number not in chosen:
                return None
        return chosen.index(self.number)


class Demand(NamedTuple):
    """Tokens for waiting requests and for expected ones, by account."""

    wanted: dict[str, int]
    ahead: dict[str, int]


class _HeldGrant:
    """Grant received from a ledger, with the tokens that are still unused."""

    __slots__ = ("deadline", "grant_id", "ledger", "unused_tokens")

    def __init__(
        self, ledger: str, grant_id: int, unused_tokens: int, deadline: float
    ) -> None:
        self.ledger = ledger
        self.grant_id = grant_id
        self.unused_tokens = unused_tokens
        self.deadline = deadline


class _OwnShare:
    """Share of an account at this VM, and the ledger it was last delegated to."""

    __slots__ = ("bucket", "delegated_until", "ledger")

    def __init__(self, bucket: ShareBucket) -> None:
        self.bucket = bucket
        self.ledger: str | None = None
        self.delegated_until = 0.0


class _LedgerState:
    """State of the exchange with one ledger."""

    __slots__ = (
        "epoch",
        "pending",
        "settled",
        "stamp_us",
        "timestamp_requested_at",
        "unresponsive",
    )

    def __init__(self) -> None:
        self.epoch = 0
        self.stamp_us = 0
        # When this VM sent the message whose answer carried ``stamp_us``.
        self.timestamp_requested_at = 0.0
        self.unresponsive = False
        # Sequence numbers of unanswered messages, so that each answer is applied once.
        self.pending: set[int] = set()
        # Settlements that the ledger has not confirmed, by grant id: unused tokens, and
        # when the grant expires at the ledger.
        self.settled: dict[int, tuple[int, float]] = {}


class VmShares:
    """Shares and grants of one VM; times are in its monotonic seconds."""

    def __init__(self, config: Callable[[], Configuration]) -> None:
        self._config = config
        self._slot: Slot | None = None
        self._usable_at = 0.0
        # Start of the refill for shares that have no bucket yet.
        self._refilling_since = 0.0
        self._positions: dict[str, int | None] = {}
        self._own_shares: dict[str, _OwnShare] = {}
        self._held_grants: dict[str, list[_HeldGrant]] = {}
        self._ledger_states: dict[str, _LedgerState] = {}
        self._sequence = 0
        self._taken_tokens: dict[str, int] = {}
        self._demand_rates: dict[str, tuple[float, float]] = {}

    @property
    def slot(self) -> Slot | None:
        """Share slot in use; None if this VM uses none."""
        return self._slot

    def use_slot(self, slot: Slot | None, now: float) -> None:
        """Start to use a share slot, or stop using the current one.

        The shares of a newly claimed slot are in quarantine for ``RECLAIM_AFTER_S``,
        because an earlier holder of the slot, or this process before it released the
        slot, may have delegated them until up to ``DELEGATION_S`` from now.
        """
        old, self._slot = self._slot, slot
        if old == slot:
            return
        self._positions = {}
        if old is None or slot is None or old[:2] != slot[:2]:
            self._own_shares = {}
            self._usable_at = self._refilling_since = now + RECLAIM_AFTER_S
            return
        # Only the counts have changed. The buckets are resized at once and not at their
        # next use, because other VMs may already use the weight that this VM gives up.
        self._refilling_since = max(now, self._usable_at)
        for account, share in self._own_shares.items():
            share.bucket.resize(*self._share_size(account), now)

    def has_share(self, account: str) -> bool:
        """Whether the VM's slot has a share of an account."""
        return self._position(account) is not None

    def ledger_index(self, account: str) -> int:
        """Return which of the account's two ledgers (0 or 1) is this VM's own one.

        Shares at even and odd positions go to different ledgers, so each gets half.
        """
        position = self._position(account)
        if position is None:
            position = self._slot.number if self._slot is not None else 0
        return position % 2

    def is_usable(self, now: float) -> bool:
        """Whether the VM has a share slot and its quarantine is over."""
        return self._slot is not None and now >= self._usable_at

    def granted_tokens(self, account: str, now: float) -> int:
        """Return the unused granted tokens at this VM."""
        held_grants = self._held_grants.get(account, ())
        return sum(
            held_grant.unused_tokens
            for held_grant in held_grants
            if held_grant.deadline > now
        )

    def try_take(self, account: str, now: float) -> bool:
        """Take one token for a request; return False if there is none."""
        held_grants = self._held_grants.get(account)
        while held_grants:
            first = held_grants[0]
            if first.deadline > now and first.unused_tokens > 0:
                first.unused_tokens -= 1
                if first.unused_tokens == 0:
                    self._add_settlement(held_grants.pop(0), 0)
                return self._count_taken(account)
            held_grants.pop(0)
        share = self._own_share(account, now)
        if (
            share is not None
            and now >= share.delegated_until
            and share.bucket.take(1.0, now)
        ):
            return self._count_taken(account)
        return False

    def expects_demand(self, account: str) -> bool:
        """Whether requests of the account are expected soon."""
        demand_rate, _ = self._demand_rates.get(account, (0.0, 0.0))
        return account in self._taken_tokens or round(demand_rate * PREFETCH_S) > 0

    def measure_prefetch_demand(self, account: str, now: float) -> int:
        """Update the demand rate and return the tokens to prefetch."""
        taken = self._taken_tokens.pop(account, 0)
        demand_rate, since = self._demand_rates.get(account, (0.0, now - 1.0))
        elapsed = max(now - since, 0.01)
        weight = min(1.0, DEMAND_SMOOTHING * elapsed / PREFETCH_S)
        demand_rate += (taken / elapsed - demand_rate) * weight
        self._demand_rates[account] = (demand_rate, now)
        return max(
            0, round(demand_rate * PREFETCH_S) - self.granted_tokens(account, now)
        )

    def compose(
        self, ledger: str, accounts: Iterable[str], demand: Demand, now: float
    ) -> LendShares:
        """Return the next message to a ledger.

        From now on, the shares of ``accounts`` count as delegated to this ledger,
        except those that are delegated to another one.
        """
        state = self._ledger_states.setdefault(ledger, _LedgerState())
        self._return_expiring_grants(ledger, now)
        self._sequence += 1
        state.pending.add(self._sequence)
        if len(state.pending) > MAX_PENDING_MESSAGES:
            state.pending.remove(min(state.pending))
        slot = self._slot
        levels: dict[str, float] = {}
        # With an old timestamp the ledger might refuse the share, and the tokens handed
        # over with it would be lost.
        has_fresh_timestamp = (
            state.epoch and now - state.timestamp_requested_at < DELEGATION_S / 2
        )
        if self.is_usable(now) and has_fresh_timestamp and not state.unresponsive:
            levels = self._delegate(ledger, accounts, now)
        expired = [key for key, value in state.settled.items() if value[1] <= now]
        for grant_id in expired:
            del state.settled[grant_id]
        return LendShares(
            ledger_epoch=state.epoch,
            stamp_us=state.stamp_us,
            sequence=self._sequence,
            slot=slot.number if slot is not None and levels else None,
            slot_epoch=slot.epoch if slot is not None else 0,
            divisor=slot.divisor if slot is not None else 1,
            levels=levels,
            wanted=demand.wanted,
            ahead=demand.ahead,
            settled={key: value[0] for key, value in state.settled.items()},
        )

    def apply(
        self, ledger: str, sent: LendShares, answer: TokenGrants, sent_at: float
    ) -> None:
        """Apply the tokens and the timestamp of a ledger's answer."""
        state = self._ledger_states.setdefault(ledger, _LedgerState())
        if sent.sequence not in state.pending:
            return
        state.pending.remove(sent.sequence)
        if answer.ledger_epoch != state.epoch:
            state.epoch = answer.ledger_epoch
            state.stamp_us = 0
            state.settled.clear()
        else:
            for grant_id in sent.settled:
                state.settled.pop(grant_id, None)
        state.unresponsive = False
        if answer.stamp_us > state.stamp_us:
            state.stamp_us = answer.stamp_us
            state.timestamp_requested_at = sent_at
        for account, grants in answer.granted.items():
            held_grants = self._held_grants.setdefault(account, [])
            for grant_id, tokens, time_left_ms in grants:
                deadline = sent_at + time_left_ms / 1000 - GRANT_EXPIRY_MARGIN_S
                held_grants.append(_HeldGrant(ledger, grant_id, tokens, deadline))
            held_grants.sort(key=lambda held_grant: held_grant.deadline)

    def has_settlement(self, ledger: str) -> bool:
        """Whether there are grants to settle with a ledger."""
        state = self._ledger_states.get(ledger)
        return state is not None and bool(state.settled)

    def settlement(self, ledger: str) -> SettleGrants | None:
        """Return a message that settles grants; None if there are none to settle."""
        state = self._ledger_states.get(ledger)
        if state is None or not state.settled:
            return None
        settled = {key: value[0] for key, value in state.settled.items()}
        return SettleGrants(state.epoch, settled)

    def mark_unresponsive(self, ledger: str) -> None:
        """Stop renewing delegations to a ledger until it answers."""
        self._ledger_states.setdefault(ledger, _LedgerState()).unresponsive = True

    def next_return(self, ledger: str, accounts: Iterable[str], now: float) -> float:
        """Return when the first share that is delegated to another ledger comes back.

        If there is no such share, return ``now`` plus ``DELEGATION_S``.
        """
        own_shares = [
            self._own_shares[account_name]
            for account_name in accounts
            if account_name in self._own_shares
        ]
        return min(
            (
                share.delegated_until
                for share in own_shares
                if share.ledger != ledger and share.delegated_until > now
            ),
            default=now + DELEGATION_S,
        )

    def _count_taken(self, account: str) -> bool:
        self._taken_tokens[account] = self._taken_tokens.get(account, 0) + 1
        return True

    def _add_settlement(self, grant: _HeldGrant, unused: int) -> None:
        state = self._ledger_states.get(grant.ledger)
        if state is not None:
            state.settled[grant.grant_id] = (
                unused,
                grant.deadline + GRANT_EXPIRY_MARGIN_S,
            )

    def _return_expiring_grants(self, ledger: str, now: float) -> None:
        for account, held_grants in self._held_grants.items():
            kept = []
            for held_grant in held_grants:
                if (
                    held_grant.ledger != ledger
                    or held_grant.deadline - now > RETURN_BEFORE_EXPIRY_S
                ):
                    kept.append(held_grant)
                elif held_grant.deadline > now:
                    self._add_settlement(held_grant, held_grant.unused_tokens)
            self._held_grants[account] = kept

    def _delegate(
        self, ledger: str, accounts: Iterable[str], now: float
    ) -> dict[str, float]:
        levels: dict[str, float] = {}
        for account in accounts:
            share = self._own_share(account, now)
            if share is None:
                continue
            if now >= share.delegated_until:
                levels[account] = share.bucket.take_all(now)
            elif share.ledger == ledger:
                if share.delegated_until - now > RECLAIM_AFTER_S - RENEW_AFTER_S:
                    continue
                levels[account] = 0.0
            else:
                # Still delegated to another ledger, which may be unreachable.
                continue
            share.ledger = ledger
            share.delegated_until = now + RECLAIM_AFTER_S
            share.bucket.stay_empty_until(share.delegated_until)
        return levels

    def _own_share(self, name: str, now: float) -> _OwnShare | None:
        if not self.is_usable(now) or not self.has_share(name):
            return None
        if name not in self._config().accounts:
            return None
        capacity, rate = self._share_size(name)
        share = self._own_shares.get(name)
        if share is None:
            bucket = ShareBucket(capacity, rate, self._refilling_since)
            share = self._own_shares[name] = _OwnShare(bucket)
        if (share.bucket.capacity, share.bucket.rate) != (capacity, rate):
            share.bucket.resize(capacity, rate, now)
        return share

    def _position(self, account: str) -> int | None:
        if self._slot is None:
            return None
        if account not in self._positions:
            self._positions[account] = self._slot.position(account)
        return self._positions[account]

    def _share_size(self, name: str) -> tuple[float, float]:
        """Return the capacity and the rate of this VM's share of an account."""
        account = self._config().accounts.get(name)
        if account is None or self._slot is None or not self.has_share(name):
            return 0.0, 0.0
        divisor = self._slot.divisor
        return account.burst / divisor, account.rate / divisor
