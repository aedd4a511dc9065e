"""Evacuated failure domains, and what may still be sent to their servers.

Load pattern: the operator evacuates a failure domain, shortly after its servers were
restarted or just before they are lost. A few seconds later nothing may be sent there
any more, also by VMs that were paused, have just started, or no longer hear the store.

This VM knows the list of evacuated domains from a feed. It sends nothing to any server
while its list is so old that an evacuation may have been in force for too long. An
exception is an outage: while the store and the VMs that read it are known to be out of
reach, the last list remains valid.
"""

import logging
import math
from collections.abc import Callable

from citronwood.decisions import log_state
from citronwood.metrics import Metrics
from citronwood.relay.clock import now
from citronwood.relay.model import BackendServer

log = logging.getLogger(__name__)

# Part of the time for an evacuation after which this VM must know of it. The rest is
# for statements that have passed the check and are on their way to the server.
KNOWN_SHARE = 0.9
# Part of the time for an evacuation that open transactions get, from the moment at
# which this VM learns of the evacuation.
TRANSACTION_SHARE = 0.5
# Reads of the store must have failed for this time, without news from another VM,
# before the store counts as out of reach. A VM that was paused or cut off hears from
# the leader or the store earlier, unless both are away.
OUTAGE_AFTER_S = 1.0
# A longer time between two failed reads was a pause, and the first one proves nothing.
# Of 94 VMs without news, each reads every 2.4 s, and a read fails within 0.8 s.
MAX_FAILURE_GAP_S = 3.5
# A store that was restored from a copy may lack an evacuation that the operator writes
# again. It stays in force for this time, as long as a server that is missing then.
RESTORED_GRACE_S = 2.5
# Retry delays of refused statements: while another server can become the primary, and
# while there is none outside of the evacuated domains.
CHANGE_RETRY_S = 0.5
NO_SERVER_RETRY_S = 2.0
LIST_TOO_OLD = "the list of evacuated failure domains is too old"


class StoreContact:
    """Whether the store and the VMs that read it are known to be out of reach."""

    def __init__(self) -> None:
        self._failing_since = math.inf
        self._failed_at = -math.inf

    def note_heard(self) -> None:
        """Record a read of the store, by this VM or by another one that it heard."""
        self._failing_since = math.inf
        self._failed_at = -math.inf

    def note_failed(self, asked_at: float) -> None:
        """Record a read of the store by this VM that failed."""
        if asked_at - self._failed_at > MAX_FAILURE_GAP_S:
            self._failing_since = asked_at
        self._failed_at = asked_at

    @property
    def is_lost(self) -> bool:
        """Whether all reads have failed for a while, up to now."""
        return (
            now() - self._failed_at <= MAX_FAILURE_GAP_S
            and self._failed_at - self._failing_since >= OUTAGE_AFTER_S
        )


class Evacuations:
    """Evacuated failure domains as this VM knows them.

    Parameters
    ----------
    evacuation_s : float or None
        Time after which nothing is sent to servers of an evacuated domain; None if the
        platform has no evacuations, and every server may be used.
    known_at : callable
        Returns the latest time at which the list is known to have matched the store.
    is_contact_lost : callable
        Returns whether the store is known to be out of reach.
    """

    def __init__(
        self,
        evacuation_s: float | None,
        metrics: Metrics,
        known_at: Callable[[], float],
        is_contact_lost: Callable[[], bool],
    ) -> None:
        self._evacuation_s = evacuation_s
        self._metrics = metrics
        self._known_at = known_at
        self._is_contact_lost = is_contact_lost
        self._is_read = False
        # By evacuated domain: when its open transactions are aborted.
        self._aborts_at: dict[str, float] = {}
        # By evacuated domain: since when a restored store lacks it.
        self._missing_since: dict[str, float] = {}
        self._generation = 0

    @property
    def is_read(self) -> bool:
        """Whether the list was read, or is not needed."""
        return self._evacuation_s is None or self._is_read

    @property
    def is_current(self) -> bool:
        """Whether the list is recent enough to send statements to servers."""
        if self._evacuation_s is None:
            return True
        if not self._is_read:
            return False
        max_age_s = self._evacuation_s * KNOWN_SHARE
        return now() <= self._known_at() + max_age_s or self._is_contact_lost()

    def is_known_since(self, time: float) -> bool:
        """Whether the list was read at this time or later, unless that is impossible.

        A new leader knows with that what its predecessor knew.
        """
        if self._evacuation_s is None:
            return True
        return self._is_read and (self._known_at() >= time or self._is_contact_lost())

    def update(self, domains: frozenset[str], generation: int = 0) -> None:
        """Apply a list that differs from the previous one, or the first one.

        ``known_at`` must still refer to the previous list, which was in force then.
        ``generation`` is the number of restores of the store before the list was read.
        """
        if self._evacuation_s is None:
            return
        time = now()
        previous_at = self._known_at() if self._is_read else -math.inf
        aborts_at = min(
            time + self._evacuation_s * TRANSACTION_SHARE,
            previous_at + self._evacuation_s * KNOWN_SHARE,
        )
        self._is_read = True
        for domain in sorted(domains - self._aborts_at.keys()):
            self._aborts_at[domain] = aborts_at
            log_state(
                log,
                "evacuation",
                "begun",
                f"gateway: failure domain {domain} is evacuated",
                failure_domain=domain,
                transactions_left_ms=round(max(0.0, aborts_at - time) * 1000),
            )
        for domain in domains:
            self._missing_since.pop(domain, None)
        for domain in sorted(self._aborts_at.keys() - domains):
            if generation != self._generation:
                self._missing_since[domain] = time
            elif domain not in self._missing_since:
                self._end(domain)
        self._generation = generation
        self._metrics.gauge("evacuations.domains", len(self._aborts_at))

    def end_missing(self) -> None:
        """End the evacuations that nobody has written again after a restore."""
        cutoff = now() - RESTORED_GRACE_S
        for domain, since in list(self._missing_since.items()):
            if since <= cutoff:
                del self._missing_since[domain]
                self._end(domain)

    def _end(self, domain: str) -> None:
        del self._aborts_at[domain]
        self._metrics.gauge("evacuations.domains", len(self._aborts_at))
        log_state(
            log,
            "evacuation",
            "ended",
            f"gateway: failure domain {domain} is no longer evacuated",
            failure_domain=domain,
        )

    def mark(self, server: BackendServer) -> BackendServer:
        """Return a listed server with what follows from the evacuations.

        A server in an evacuated domain gets no reads and no new transactions, like one
        that is draining.
        """
        if server.failure_domain not in self._aborts_at:
            return server
        return server._replace(draining=True, evacuated=True)

    def reason_to_refuse(self, server: BackendServer) -> str | None:
        """Return why nothing new may be sent to a server; None if it may."""
        if server.failure_domain in self._aborts_at:
            return f"failure domain {server.failure_domain} is evacuated"
        if not self.is_current:
            return LIST_TOO_OLD
        return None

    def has_to_abort(self, server: BackendServer) -> bool:
        """Whether the time for open transactions at a server has passed."""
        return now() >= self._aborts_at.get(server.failure_domain, math.inf)

    def reason_to_abort(self, server: BackendServer) -> str | None:
        """Return why an open transaction may not go on; None if it may."""
        if self.has_to_abort(server):
            return f"failure domain {server.failure_domain} is evacuated"
        if not self.is_current:
            return LIST_TOO_OLD
        return None

    def retry_s(self, servers: list[BackendServer]) -> float:
        """Return when a request to a group with an evacuated primary may be retried."""
        domains = {server.failure_domain for server in servers}
        has_other = bool(domains - self._aborts_at.keys())
        return CHANGE_RETRY_S if has_other else NO_SERVER_RETRY_S

    def count_refused(self, forwarded: bool = False) -> None:
        """Count a statement, of a caller or another VM, that was refused."""
        name = "refused_forwarded" if forwarded else "refused_statements"
        self._metrics.count(f"evacuations.{name}")


# For a platform without evacuations.
NO_EVACUATIONS = Evacuations(None, Metrics(), lambda: -math.inf, lambda: False)
