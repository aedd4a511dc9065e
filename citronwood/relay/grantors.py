"""Choice of the grantor, the VM that grants this one tokens of limited accounts.

Each VM has an equal share of every account's rate and lends its shares to one grantor:
the leader or, while the leader does not answer, one of the deputies that the leader has
named. A VM lends its shares to one grantor at a time. The tokens granted by all VMs
therefore stay within the limits, even if VMs ask different grantors.

Load pattern: the leader ends during an outage of the store, so that no other VM can
become leader for seconds, and each account's operations arrive at a few of many VMs.
"""

import math
from collections.abc import Iterable
from hashlib import blake2b

from citronwood.relay.clock import now
from citronwood.relay.limiter import LENDER_TIMEOUT_S
from citronwood.relay.registry import Peer

# With three, two deputies remain if the leader and one deputy fail at the same time.
MAX_DEPUTIES = 3
# For this time after it sent a report, a VM treats its shares as lent. A grantor does
# so for LENDER_TIMEOUT_S after it received the report, which may be in flight for up to
# the timeout of a call.
SHARE_LEASE_S = LENDER_TIMEOUT_S + 0.5
# A grantor that does not answer may still grant from the shares lent to it. At most
# once in this time, they are lent to another grantor before their lease ends. The
# tokens that both grant for up to LENDER_TIMEOUT_S then stay within the platform's
# tolerance.
EARLY_RECLAIM_INTERVAL_S = 7.0
# A deputy that did not answer is not asked again for this time. The lease on the shares
# lent to it ends earlier, so the next deputy is asked first.
DEPUTY_RETRY_INTERVAL_S = 2 * SHARE_LEASE_S


def choose_deputies(vms: Iterable[Peer], lenders: frozenset[str]) -> list[str]:
    """Return the addresses of the VMs that grant when the leader does not answer.

    Candidates are the VMs that lend their shares to the leader, which shows that they
    are running. Those with the most processor time come first, and then they are sorted
    by a hash of the name, so that a VM that joins or leaves does not change the order
    of the others.
    """
    candidates = sorted(
        (vm for vm in vms if vm.name in lenders),
        key=lambda vm: (
            -vm.processors,
            blake2b(vm.name.encode(), digest_size=8).digest(),
        ),
    )
    return [vm.url for vm in candidates[:MAX_DEPUTIES]]


class GrantorChoice:
    """Chooses the grantor to which this VM lends its shares."""

    def __init__(self) -> None:
        self._deputies: tuple[str, ...] = ()
        self._lent_to = ""
        self._lent_until = 0.0
        self._unresponsive_until: dict[str, float] = {}
        self._next_early_reclaim_at = 0.0
        self._grantor_answered = False

    @property
    def lent_to(self) -> str:
        """Address of the grantor that holds this VM's shares; empty without one."""
        return self._lent_to if now() < self._lent_until else ""

    @property
    def deputies(self) -> tuple[str, ...]:
        """Addresses of the deputies that the leader has named."""
        return self._deputies

    def set_deputies(self, urls: list[str]) -> None:
        """Set the deputies that the leader has named."""
        self._deputies = tuple(urls)
        # A former leader that did not answer may be asked again once it is a deputy.
        self._unresponsive_until = {
            url: time
            for url, time in self._unresponsive_until.items()
            if url == self._lent_to or (url in urls and time < math.inf)
        }

    def choose(self, leader: str) -> str:
        """Return the address of the grantor to ask; empty when there is none.

        ``leader`` is the leader's address, or empty to choose among the deputies only.
        """
        lent_to = self.lent_to
        for url in (lent_to,) if lent_to else (leader, *self._deputies):
            if url and not self.is_unresponsive(url):
                return url
        return ""

    def may_lend_to(self, url: str) -> bool:
        """Whether the VM at ``url`` answers and no other VM holds the shares."""
        return self.lent_to in ("", url) and not self.is_unresponsive(url)

    def is_unresponsive(self, url: str) -> bool:
        """Whether a VM did not answer and must not be asked yet."""
        return now() < self._unresponsive_until.get(url, 0.0)

    def lend(self, url: str) -> None:
        """Record that the shares are lent with a request that is sent now."""
        if url != self.lent_to:
            self._grantor_answered = False
        self._lent_to = url
        self._lent_until = now() + SHARE_LEASE_S

    def reclaim(self, url: str) -> None:
        """Record that a VM does not hold the shares any more."""
        if url == self._lent_to:
            self._lent_to = ""

    def note_answer(self, url: str) -> None:
        """Record that a VM has answered."""
        self._unresponsive_until.pop(url, None)
        self._grantor_answered = self._grantor_answered or url == self._lent_to

    def note_leader_timeout(self, url: str) -> None:
        """Record that the leader did not answer.

        It is not asked for tokens again until a leader answers a regular report.
        """
        self._unresponsive_until[url] = math.inf
        self._reclaim_early(url)

    def note_deputy_timeout(self, url: str) -> None:
        """Record that a deputy did not answer."""
        self._unresponsive_until[url] = now() + DEPUTY_RETRY_INTERVAL_S
        self._reclaim_early(url)

    def _reclaim_early(self, url: str) -> None:
        if url != self.lent_to:
            return
        if self._grantor_answered:
            if now() < self._next_early_reclaim_at:
                return
            self._next_early_reclaim_at = now() + EARLY_RECLAIM_INTERVAL_S
        # A VM that has never answered probably did not receive the shares.
        self._lent_to = ""
