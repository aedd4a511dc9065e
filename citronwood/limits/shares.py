"""The shares and granted tokens of one VM.

A VM delegates its share of every account to one of the account's ledgers and renews the
delegation before it ends; it may ask any ledger for tokens. Without renewal the share
returns, empty. Requests use granted tokens, or the VM's own share while it is not
delegated. This module keeps the state and composes messages;
``citronwood.limits.limiter`` sends them. The argument why no account exceeds its burst
is in ``citronwood.limits.ledger``.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from citronwood.config.model import Configuration
from citronwood.inner.messages import LendShares, SettleGrants, TokenGrants
from citronwood.limits.bucket import ShareBucket
from citronwood.limits.ledger import LEND_S
from citronwood.limits.weights import chosen_slots, divisor_of

# The VM waits longer than the ledger, for clocks that run at different speeds.
HOME_AFTER_S = LEND_S * 1.02
GRANT_MARGIN_S = 0.005
# Tokens that would expire soon are given back rather than lost.
GIVE_BACK_S = 0.15
# Expected requests for which tokens are asked ahead.
AHEAD_S = 0.25
DEMAND_WEIGHT = 0.5
MAX_PENDING = 16
# Messages in between do not extend a delegation, so that it ends soon after the ledger
# has died.
RENEW_AFTER_S = 0.25


class Slot(NamedTuple):
    """Share slot of this VM.

    ``counts`` are numbers of share slots, several while the number changes. The slot
    has a share of an account if it has one under each of them; its weight is then
    ``1 / divisor``.
    """

    number: int
    epoch: int
    counts: tuple[int, ...]

    @property
    def divisor(self) -> int:
        """Largest number of shares of an account under any of the counts."""
        return divisor_of(self.counts)

    def position(self, account: str) -> int | None:
        """Return the place among the account's slots, None without a share."""
        for count in self.counts:
            chosen = chosen_slots(account, count)
            if self.number not in chosen:
                return None
        return chosen.index(self.number)


class Demand(NamedTuple):
    """Tokens that are needed now and soon, by account."""

    wanted: dict[str, int]
    ahead: dict[str, int]


class _Held:
    """Tokens of one grant."""

    __slots__ = ("deadline", "grant_id", "ledger", "left")

    def __init__(self, ledger: str, grant_id: int, left: int, deadline: float) -> None:
        self.ledger = ledger
        self.grant_id = grant_id
        self.left = left
        self.deadline = deadline


class _Home:
    """Share of an account, and the ledger that it is delegated to."""

    __slots__ = ("away_until", "bucket", "ledger")

    def __init__(self, bucket: ShareBucket) -> None:
        self.bucket = bucket
        self.ledger: str | None = None
        self.away_until = 0.0


class _Link:
    """What is known of one ledger."""

    __slots__ = ("asked_at", "epoch", "pending", "settled", "silent", "stamp_us")

    def __init__(self) -> None:
        self.epoch = 0
        self.stamp_us = 0
        # When the message was sent whose answer brought the stamp.
        self.asked_at = 0.0
        self.silent = False
        # Sequence numbers of messages without an answer; each answer counts once.
        self.pending: set[int] = set()
        # Grant ids with unused tokens and the time at which the ledger forgets them.
        self.settled: dict[int, tuple[int, float]] = {}


class VmShares:
    """State of rate and burst on one VM; times are this VM's monotonic seconds."""

    def __init__(self, config: Callable[[], Configuration]) -> None:
        self._config = config
        self._slot: Slot | None = None
        self._usable_at = 0.0
        # When the shares began to fill that have not been looked at since.
        self._filling_since = 0.0
        self._positions: dict[str, int | None] = {}
        self._homes: dict[str, _Home] = {}
        self._held: dict[str, list[_Held]] = {}
        self._links: dict[str, _Link] = {}
        self._sequence = 0
        self._taken: dict[str, int] = {}
        self._speeds: dict[str, tuple[float, float]] = {}

    @property
    def slot(self) -> Slot | None:
        """The share slot, None without one."""
        return self._slot

    def use_slot(self, slot: Slot | None, now: float) -> None:
        """Start to use a share slot, or stop using the present one.

        An earlier holder, or this process before it gave the slot up, may have
        delegated the share until ``LEND_S`` from now, so it is unused until then.
        """
        old, self._slot = self._slot, slot
        if old == slot:
            return
        self._positions = {}
        if old is None or slot is None or old[:2] != slot[:2]:
            self._homes = {}
            self._usable_at = self._filling_since = now + HOME_AFTER_S
            return
        # At once, because other VMs may use the weight that this one has given up
        # before its share is next looked at.
        self._filling_since = max(now, self._usable_at)
        for account, home in self._homes.items():
            home.bucket.resize(*self._size(account), now)

    def has_share(self, account: str) -> bool:
        """Whether the VM's slot has a share of an account."""
        return self._position(account) is not None

    def half(self, account: str) -> int:
        """Return which of an account's two ledgers is this VM's own, 0 or 1.

        Neighbouring shares go to different ledgers, so each gets half of them.
        """
        position = self._position(account)
        if position is None:
            position = self._slot.number if self._slot is not None else 0
        return position % 2

    def is_usable(self, now: float) -> bool:
        """Whether the VM has a share slot and its quarantine is over."""
        return self._slot is not None and now >= self._usable_at

    def tokens(self, account: str, now: float) -> int:
        """Return the granted tokens that are left here."""
        held = self._held.get(account, ())
        return sum(one.left for one in held if one.deadline > now)

    def try_take(self, account: str, now: float) -> bool:
        """Use one token for a request."""
        held = self._held.get(account)
        while held:
            first = held[0]
            if first.deadline > now and first.left > 0:
                first.left -= 1
                if first.left == 0:
                    self._settle(held.pop(0), 0)
                return self._count(account)
            held.pop(0)
        home = self._home(account, now)
        if home is not None and now >= home.away_until and home.bucket.take(1.0, now):
            return self._count(account)
        return False

    def has_demand(self, account: str) -> bool:
        """Whether tokens are likely to be needed soon."""
        speed, _ = self._speeds.get(account, (0.0, 0.0))
        return account in self._taken or round(speed * AHEAD_S) > 0

    def ahead(self, account: str, now: float) -> int:
        """Return the tokens to ask for in advance, from the recent demand."""
        taken = self._taken.pop(account, 0)
        speed, since = self._speeds.get(account, (0.0, now - 1.0))
        passed = max(now - since, 0.01)
        weight = min(1.0, DEMAND_WEIGHT * passed / AHEAD_S)
        speed += (taken / passed - speed) * weight
        self._speeds[account] = (speed, now)
        return max(0, round(speed * AHEAD_S) - self.tokens(account, now))

    def compose(
        self, ledger: str, accounts: Iterable[str], demand: Demand, now: float
    ) -> LendShares:
        """Return the next message to a ledger.

        The shares of ``accounts`` count as delegated to it from now on, as far as they
        are not delegated to another ledger.
        """
        link = self._links.setdefault(ledger, _Link())
        self._give_back(ledger, now)
        self._sequence += 1
        link.pending.add(self._sequence)
        if len(link.pending) > MAX_PENDING:
            link.pending.remove(min(link.pending))
        slot = self._slot
        levels: dict[str, float] = {}
        # With an old stamp the ledger would refuse the share and its tokens be lost.
        fresh = link.epoch and now - link.asked_at < LEND_S / 2
        if self.is_usable(now) and fresh and not link.silent:
            levels = self._lend(ledger, accounts, now)
        expired = [key for key, one in link.settled.items() if one[1] <= now]
        for grant_id in expired:
            del link.settled[grant_id]
        return LendShares(
            ledger_epoch=link.epoch,
            stamp_us=link.stamp_us,
            sequence=self._sequence,
            slot=slot.number if slot is not None and levels else None,
            slot_epoch=slot.epoch if slot is not None else 0,
            divisor=slot.divisor if slot is not None else 1,
            levels=levels,
            wanted=demand.wanted,
            ahead=demand.ahead,
            settled={key: one[0] for key, one in link.settled.items()},
        )

    def apply(
        self, ledger: str, sent: LendShares, answer: TokenGrants, sent_at: float
    ) -> None:
        """Take the tokens and the stamp of an answer to a message."""
        link = self._links.setdefault(ledger, _Link())
        if sent.sequence not in link.pending:
            return
        link.pending.remove(sent.sequence)
        if answer.ledger_epoch != link.epoch:
            link.epoch = answer.ledger_epoch
            link.stamp_us = 0
            link.settled.clear()
        else:
            for grant_id in sent.settled:
                link.settled.pop(grant_id, None)
        link.silent = False
        if answer.stamp_us > link.stamp_us:
            link.stamp_us = answer.stamp_us
            link.asked_at = sent_at
        for account, grants in answer.granted.items():
            held = self._held.setdefault(account, [])
            for grant_id, tokens, time_left_ms in grants:
                deadline = sent_at + time_left_ms / 1000 - GRANT_MARGIN_S
                held.append(_Held(ledger, grant_id, tokens, deadline))
            held.sort(key=lambda one: one.deadline)

    def has_settlement(self, ledger: str) -> bool:
        """Whether there are grants to be settled with a ledger."""
        link = self._links.get(ledger)
        return link is not None and bool(link.settled)

    def settlement(self, ledger: str) -> SettleGrants | None:
        """Return a message about the grants that are used up, if there are any."""
        link = self._links.get(ledger)
        if link is None or not link.settled:
            return None
        settled = {key: one[0] for key, one in link.settled.items()}
        return SettleGrants(link.epoch, settled)

    def no_answer(self, ledger: str) -> None:
        """Delegate nothing more to a ledger until it answers, so shares return."""
        self._links.setdefault(ledger, _Link()).silent = True

    def next_return(self, ledger: str, accounts: Iterable[str], now: float) -> float:
        """Return when the next share returns that can be delegated to this ledger."""
        homes = [self._homes[one] for one in accounts if one in self._homes]
        return min(
            (
                home.away_until
                for home in homes
                if home.ledger != ledger and home.away_until > now
            ),
            default=now + LEND_S,
        )

    def _count(self, account: str) -> bool:
        self._taken[account] = self._taken.get(account, 0) + 1
        return True

    def _settle(self, held: _Held, unused: int) -> None:
        link = self._links.get(held.ledger)
        if link is not None:
            link.settled[held.grant_id] = (unused, held.deadline + GRANT_MARGIN_S)

    def _give_back(self, ledger: str, now: float) -> None:
        for account, held in self._held.items():
            kept = []
            for one in held:
                if one.ledger != ledger or one.deadline - now > GIVE_BACK_S:
                    kept.append(one)
                elif one.deadline > now:
                    self._settle(one, one.left)
            self._held[account] = kept

    def _lend(
        self, ledger: str, accounts: Iterable[str], now: float
    ) -> dict[str, float]:
        levels: dict[str, float] = {}
        for account in accounts:
            home = self._home(account, now)
            if home is None:
                continue
            if now >= home.away_until:
                levels[account] = home.bucket.take_all(now)
            elif home.ledger == ledger:
                if home.away_until - now > HOME_AFTER_S - RENEW_AFTER_S:
                    continue
                levels[account] = 0.0
            else:
                # Still delegated to another ledger, which may not be reachable.
                continue
            home.ledger = ledger
            home.away_until = now + HOME_AFTER_S
            home.bucket.stay_empty_until(home.away_until)
        return levels

    def _home(self, name: str, now: float) -> _Home | None:
        if not self.is_usable(now) or not self.has_share(name):
            return None
        if name not in self._config().accounts:
            return None
        capacity, rate = self._size(name)
        home = self._homes.get(name)
        if home is None:
            bucket = ShareBucket(capacity, rate, self._filling_since)
            home = self._homes[name] = _Home(bucket)
        if (home.bucket.capacity, home.bucket.rate) != (capacity, rate):
            home.bucket.resize(capacity, rate, now)
        return home

    def _position(self, account: str) -> int | None:
        if self._slot is None:
            return None
        if account not in self._positions:
            self._positions[account] = self._slot.position(account)
        return self._positions[account]

    def _size(self, name: str) -> tuple[float, float]:
        """Return capacity and rate of this VM's share of an account."""
        account = self._config().accounts.get(name)
        if account is None or self._slot is None or not self.has_share(name):
            return 0.0, 0.0
        divisor = self._slot.divisor
        return account.burst / divisor, account.rate / divisor
