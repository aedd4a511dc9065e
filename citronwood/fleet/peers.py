"""Choice of the VMs that receive the heartbeats of a VM."""

from collections.abc import Mapping
from random import Random
from zlib import crc32

from citronwood.fleet.entries import Entry, Liveness

PEERS_PER_HEARTBEAT = 2
# Heartbeats go to a small set of peers, the view, because a new connection costs about
# 1.2 ms of CPU on both sides together.
VIEW_SIZE = 16
# One peer of the view is replaced after this many heartbeats, that is, every 2 to 4 s.
VIEW_EXCHANGE_HEARTBEATS = 10
WATCHERS_PER_VM = 2


class Peers:
    """Receivers of heartbeats: a slowly changing partial view, and watchers.

    ``citronwood.fleet.membership`` explains what watchers do.
    """

    def __init__(
        self, name: str, failure_domain: str, entries: Mapping[str, Entry]
    ) -> None:
        self._name = name
        self._failure_domain = failure_domain
        self._entries = entries
        self._view: list[str] = []
        self._watchers: list[str] = []

    @property
    def view(self) -> list[str]:
        """VMs from which the receivers of the next heartbeats are chosen."""
        return self._view

    def choose_receivers(self, counter: int, random: Random) -> list[str]:
        """Return the receivers of the heartbeat with this counter."""
        self._refresh_view(counter, random)
        return random.sample(self._view, min(PEERS_PER_HEARTBEAT, len(self._view)))

    def _refresh_view(self, counter: int, random: Random) -> None:
        view = [name for name in self._view if self.is_peer(name)]
        if len(view) == VIEW_SIZE and counter % VIEW_EXCHANGE_HEARTBEATS == 0:
            view.pop(0)
        if len(view) < VIEW_SIZE:
            candidates = [
                name
                for name in self._entries
                if name not in view and self.is_peer(name)
            ]
            count = min(VIEW_SIZE - len(view), len(candidates))
            view += random.sample(candidates, count)
        self._view = view

    def is_peer(self, name: str) -> bool:
        """Whether a VM has an address and is not dead."""
        entry = self._entries.get(name)
        return (
            entry is not None
            and entry.liveness is not Liveness.DEAD
            and bool(entry.state.url)
        )

    def watchers(self, counter: int) -> list[str]:
        """Return the VMs that watch this one, in other failure domains if possible.

        They are the next VMs on a hash ring. With watchers chosen at random, some VMs
        received so few heartbeats that they heard of only half of the fleet in time.
        """
        watchers = [name for name in self._watchers if self._can_watch(name)]
        if len(watchers) < WATCHERS_PER_VM or counter % VIEW_EXCHANGE_HEARTBEATS == 0:
            own_hash = crc32(self._name.encode())
            names = sorted(
                filter(self._can_watch, self._entries),
                key=lambda name: (crc32(name.encode()) - own_hash) % (1 << 32),
            )
            domains, in_other_domains = {self._failure_domain}, []
            for name in names:
                domain = self._entries[name].state.failure_domain
                if domain not in domains:
                    domains.add(domain)
                    in_other_domains.append(name)
            watchers = list(dict.fromkeys(in_other_domains + names))[:WATCHERS_PER_VM]
        self._watchers = watchers
        return watchers

    def _can_watch(self, name: str) -> bool:
        entry = self._entries.get(name)
        return entry is not None and entry.liveness is Liveness.LIVE
