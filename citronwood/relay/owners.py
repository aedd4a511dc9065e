"""Choice of the VM that holds the connections to a backend server.

Load pattern: hundreds of VMs each receive a few statements of many accounts, and a
connection serves one account. If every VM opened its own connections, hardly any would
be used twice, and opening them would take a good part of a server's slots. So one VM,
the owner, holds the connections to a server, and the others forward statements to it.
The owner is chosen by rendezvous hashing among the VMs of the server's failure domain,
weighted by their processor time.
VMs that know different lists of VMs may choose different owners for a while, which
costs connections but does no harm.
"""

from collections.abc import Iterable
from time import monotonic
from typing import NamedTuple

from citronwood.fleet.placement import rank_weighted
from citronwood.relay.model import BackendServer
from citronwood.relay.registry import Peer

# The owner and the VMs that are asked in its place when it does not answer.
MAX_CANDIDATES = 2
# A VM that gave no sign of life is left out at least for this time, and then until a
# message of it arrives.
SILENT_RETRY_S = 0.5
# A stopping VM refuses statements for most of its grace period.
LEAVING_S = 4.0
# After so many VMs fell silent and none answered within ``OWN_FAILURE_WINDOW_S``, this
# VM's own connections are the likelier cause, and it forwards nothing for
# ``OWN_FAILURE_S``.
OWN_FAILURE_COUNT = 3
OWN_FAILURE_WINDOW_S = 1.0
OWN_FAILURE_S = 2.0
# A VM that could not use a server is not asked for that server for this time.
REFUSED_S = 1.0


class Owners:
    """Owners of all servers, from the list of VMs.

    Parameters
    ----------
    name : str
        Name of this VM.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._peers: dict[str, Peer] = {}
        self._domains: dict[str, list[str]] = {}
        self._candidates: dict[tuple[str, str], tuple[Peer, ...]] = {}

    @property
    def is_known(self) -> bool:
        """Whether the list of VMs is known and contains this VM."""
        return self._name in self._peers

    def set_peers(self, peers: Iterable[Peer]) -> None:
        """Replace the list of VMs."""
        self._peers = {peer.name: peer for peer in peers}
        self._domains = {}
        for peer in self._peers.values():
            self._domains.setdefault(peer.failure_domain, []).append(peer.name)
        self._candidates.clear()

    def candidates(self, server: BackendServer) -> tuple[Peer, ...]:
        """Return the owner of a server and the VMs that replace it, in this order."""
        key = (server.id, server.failure_domain)
        chosen = self._candidates.get(key)
        if chosen is None:
            names = self._domains.get(server.failure_domain) or self._peers
            weights = {name: self._peers[name].processors for name in names}
            ranked = rank_weighted(f"owner/{server.id}", weights)
            chosen = tuple(self._peers[name] for name in ranked[:MAX_CANDIDATES])
            self._candidates[key] = chosen
        return chosen

    def is_owner(self, server: BackendServer) -> bool:
        """Whether this VM is the owner of a server."""
        candidates = self.candidates(server)
        return bool(candidates) and candidates[0].name == self._name


def is_forwarding_useful(
    connection_limit: int, vm_count: int, account_count: int
) -> bool:
    """Whether a server's connections are too few for one per VM and account."""
    return connection_limit < vm_count * account_count


class _Silence(NamedTuple):
    since: float
    retry_at: float


class PeerHealth:
    """VMs to which nothing is forwarded now, and why."""

    def __init__(self) -> None:
        self._silent: dict[str, _Silence] = {}
        self._leaving_until: dict[str, float] = {}
        self._refused_until: dict[tuple[str, str], float] = {}
        self._answered_at = 0.0
        self._own_failure_until = 0.0

    def note_answered(self) -> None:
        """Record that some VM answered."""
        self._answered_at = monotonic()

    def note_silent(self, url: str) -> None:
        """Record that a VM gave no sign of life in time."""
        time = monotonic()
        self._silent[url] = _Silence(time, time + SILENT_RETRY_S)
        cutoff = time - OWN_FAILURE_WINDOW_S
        recent = [
            silence for silence in self._silent.values() if silence.since > cutoff
        ]
        if len(recent) >= OWN_FAILURE_COUNT and self._answered_at < cutoff:
            self._own_failure_until = time + OWN_FAILURE_S

    def note_leaving(self, url: str) -> None:
        """Record that a VM is stopping."""
        self._leaving_until[url] = monotonic() + LEAVING_S

    def note_refused(self, url: str, server: str) -> None:
        """Record that a VM could not use a server."""
        self._refused_until[url, server] = monotonic() + REFUSED_S

    def may_ask(self, url: str, server: str) -> bool:
        """Whether statements for a server may be forwarded to a VM."""
        time = monotonic()
        return not (
            time < self._own_failure_until
            or url in self._silent
            or time < self._leaving_until.get(url, 0.0)
            or time < self._refused_until.get((url, server), 0.0)
        )

    def update_silence(self, url: str, heard_at: float) -> bool:
        """Apply the time of the last message of a VM; return whether to probe it now.

        A VM is used again once a message has arrived after it fell silent.
        """
        silence = self._silent.get(url)
        if silence is None:
            return False
        if heard_at > silence.since:
            del self._silent[url]
            return False
        if monotonic() < silence.retry_at:
            return False
        self._silent[url] = silence._replace(retry_at=monotonic() + SILENT_RETRY_S)
        return True
