"""Which VM grants this one the operations of limited accounts.

Each VM has an equal share of every account's rate. It lends its shares to the VM that
grants: the leader or, while that does not answer, one of the deputies that the leader
has named. Shares are lent to one VM at a time, so what all VMs grant stays within the
limits, also where they ask different ones.

Load pattern: the leader ends during an outage of the store, so that no other VM can
lead for seconds, and each account's operations arrive at a few of many VMs.
"""

import math
from collections.abc import Iterable
from hashlib import blake2b

from citronwood.relay.allowance import SILENT_S
from citronwood.relay.clock import now
from citronwood.relay.registry import RegisteredVm

# Deputies that a leader names. With three, the end of the leader and of one deputy in
# the same moment leaves a choice.
DEPUTIES = 3
# Longer than a VM counts shares as lent after the report, which may be under way for
# the time of a call.
LENT_S = SILENT_S + 0.5
# A VM that is lost does not grant any more, but the one that gives no answer may not be
# lost. Its shares are lent to another at once only if that did not happen lately: what
# both grant for SILENT_S is then within what the platform tolerates.
EARLY_RETURN_S = 7.0
# A deputy that gave no answer is not asked again for so long: the shares that it may
# still count are free before, so that the next deputy is asked first.
DEPUTY_RETRY_S = 2 * LENT_S


def choose_deputies(vms: Iterable[RegisteredVm], lenders: frozenset[str]) -> list[str]:
    """Return the addresses of the VMs that grant when the leader does not answer.

    Of those that lend their shares to the leader, so that they were heard lately. The
    order does not depend on other VMs, so that it changes as little as possible.
    """
    heard = sorted(
        (vm for vm in vms if vm.name in lenders),
        key=lambda vm: blake2b(vm.name.encode(), digest_size=8).digest(),
    )
    return [vm.url for vm in heard[:DEPUTIES]]


class GrantorChoice:
    """To which VM this one lends its shares."""

    def __init__(self) -> None:
        self._deputies: tuple[str, ...] = ()
        self._lent_to = ""
        self._lent_until = 0.0
        self._silent_until: dict[str, float] = {}
        self._early_return_at = 0.0
        self._has_answered = False

    @property
    def lent_to(self) -> str:
        """Address of the VM that may count this VM's shares; empty without one."""
        return self._lent_to if now() < self._lent_until else ""

    @property
    def deputies(self) -> tuple[str, ...]:
        """Addresses of the deputies that the leader has named."""
        return self._deputies

    def name_deputies(self, urls: list[str]) -> None:
        """Take the deputies that the leader has named."""
        self._deputies = tuple(urls)
        # A former leader is waited for again once it is named as a deputy.
        self._silent_until = {
            url: time
            for url, time in self._silent_until.items()
            if url == self._lent_to or (url in urls and time < math.inf)
        }

    def choose(self, leader: str) -> str:
        """Return the address of the VM to ask; empty when there is none now."""
        lent_to = self.lent_to
        for url in (lent_to,) if lent_to else (leader, *self._deputies):
            if url and not self.is_silent(url):
                return url
        return ""

    def may_lend_to(self, url: str) -> bool:
        """Whether no other VM may count the shares, and this one answers."""
        return self.lent_to in ("", url) and not self.is_silent(url)

    def is_silent(self, url: str) -> bool:
        """Whether a VM gave no answer and is not to be waited for."""
        return now() < self._silent_until.get(url, 0.0)

    def lend(self, url: str) -> None:
        """Note that the shares are lent with a question that is sent now."""
        if url != self.lent_to:
            self._has_answered = False
        self._lent_to = url
        self._lent_until = now() + LENT_S

    def returned(self, url: str) -> None:
        """Note that a VM does not count the shares any more."""
        if url == self._lent_to:
            self._lent_to = ""

    def answered(self, url: str) -> None:
        """Note an answer."""
        self._silent_until.pop(url, None)
        self._has_answered = self._has_answered or url == self._lent_to

    def leader_silent(self, url: str) -> None:
        """Note that the leader gave no answer; regular reports tell when it does."""
        self._silent_until[url] = math.inf
        self._return_early(url)

    def deputy_silent(self, url: str) -> None:
        """Note that a deputy gave no answer."""
        self._silent_until[url] = now() + DEPUTY_RETRY_S
        self._return_early(url)

    def _return_early(self, url: str) -> None:
        if url != self.lent_to:
            return
        if self._has_answered:
            if now() < self._early_return_at:
                return
            self._early_return_at = now() + EARLY_RETURN_S
        # A VM that has not answered at all is hardly one that counts the shares.
        self._lent_to = ""
