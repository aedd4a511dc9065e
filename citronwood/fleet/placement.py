"""Placement of roles by rendezvous hashing over the live VMs.

Every VM computes the same placement from the same set of live VMs. A VM that joins or
leaves moves only the roles that it gains or loses, except for pairs that must stay in
different failure domains. VMs with different live sets may choose differently for a
while, so no role may rely on having a single holder.
"""

import math
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from hashlib import blake2b
from typing import NamedTuple

from citronwood.fleet.api import Membership
from citronwood.inner.messages import VmState

# With many VMs in three failure domains, the first eight VMs of a group all lie in one
# domain for one in 2,000 groups. A group is ranked again when too many of its ranked
# VMs have left.
MAX_RANKED_VMS = 8
# A ranking that lags behind by more changes than this is computed again.
MAX_PENDING_CHANGES = 64


def rank(key: str, members: Iterable[str]) -> list[str]:
    """Return the names ordered by preference for a key."""
    return sorted(members, key=lambda name: (_weight(key, name), name), reverse=True)


def rank_weighted(key: str, weights: Mapping[str, float]) -> list[str]:
    """Return the names ordered by preference for a key.

    A name comes first for a share of all keys that is proportional to its weight.
    """

    def score(name: str) -> float:
        hashed = int.from_bytes(_weight(key, name), "big")
        return -weights[name] / math.log((hashed + 0.5) / 2**64)

    return sorted(weights, key=lambda name: (score(name), name), reverse=True)


def choose_gateways(
    group: str, live: Sequence[VmState], count: int = 2
) -> list[VmState]:
    """Return the gateways of a database group, best rank first.

    They lie in different failure domains if there are enough domains.
    """
    by_name = {vm.name: vm for vm in live}
    ranked = [by_name[name] for name in rank(_gateway_key(group), by_name)]
    return _spread_over_domains(ranked, count)


def _spread_over_domains(ranked: Sequence[VmState], count: int) -> list[VmState]:
    chosen: list[VmState] = []
    domains: set[str] = set()
    for vm in ranked:
        if len(chosen) < count and vm.failure_domain not in domains:
            chosen.append(vm)
            domains.add(vm.failure_domain)
    others = [vm for vm in ranked if vm not in chosen]
    return chosen + others[: max(0, count - len(chosen))]


class _Change(NamedTuple):
    """Names of VMs that joined and left the live set at the same time."""

    joined: tuple[str, ...]
    left: frozenset[str]


class _Ranking:
    """The highest-ranked live VMs of a group.

    ``_complete`` is set while they are all of the live VMs. ``version`` is the number
    of changes that have been applied. ``depends_on_all`` is set once the gateways had
    to be chosen from all live VMs; then they are chosen anew after every change.
    """

    def __init__(self, group: str, names: Iterable[str], version: int) -> None:
        self._key = _gateway_key(group)
        self._ranked: list[tuple[bytes, str]] = []
        self._complete = True
        self._add(names)
        self.version = version
        self.chosen: list[str] | None = None
        self.depends_on_all = False

    def apply(self, change: _Change) -> None:
        """Apply a change of the live VMs."""
        if self.depends_on_all:
            self.chosen = None
        left = change.left
        if left and not left.isdisjoint([name for _, name in self._ranked]):
            self._ranked = [pair for pair in self._ranked if pair[1] not in left]
            self.chosen = None
        if change.joined:
            self._add(change.joined)
        self.version += 1

    def _add(self, names: Iterable[str]) -> None:
        added = [(_weight(self._key, name), name) for name in names]
        if not self._complete:
            # Not all VMs that rank below the last kept one are known here, so no VM may
            # be added there.
            last = self._ranked[-1:]
            added = [pair for pair in added if last and pair > last[0]]
        if added:
            self._ranked = sorted(self._ranked + added, reverse=True)
            self.chosen = None
        if len(self._ranked) > MAX_RANKED_VMS:
            self._ranked = self._ranked[:MAX_RANKED_VMS]
            self._complete = False

    def choose(
        self, live: Mapping[str, VmState], domains: int, count: int
    ) -> list[str] | None:
        """Return the names of the gateways, None if the ranked VMs do not suffice.

        ``domains`` is the number of failure domains that the gateways must cover.
        """
        ranked = [live[name] for _, name in self._ranked]
        ranked_domains = len({vm.failure_domain for vm in ranked})
        if not self._complete and (len(ranked) < count or ranked_domains < domains):
            return None
        return [vm.name for vm in _spread_over_domains(ranked, count)]


class GatewayChoice:
    """Gateways of all groups, kept up to date with the live VMs.

    Ranking all VMs for one group takes over a millisecond at 620 VMs. Therefore only
    its highest-ranked VMs are kept, and changes of the live VMs are applied to them
    when the group is next requested. The results equal those of ``choose_gateways``.
    """

    def __init__(self, membership: Membership, count: int = 2) -> None:
        self._membership = membership
        self._count = count
        # Compared by identity: the membership returns the same tuple until it changes.
        self._live: tuple[VmState, ...] = ()
        self._by_name: dict[str, VmState] = {}
        self._domains = 0
        self._version = 0
        self._changes: deque[_Change] = deque(maxlen=MAX_PENDING_CHANGES)
        self._rankings: dict[str, _Ranking] = {}
        self._gateways_by_group: dict[str, list[VmState]] = {}

    def gateways(self, group: str) -> list[VmState]:
        """Return the gateways of a group, best rank first.

        The list is the same object until the live VMs change.
        """
        if self._membership.live is not self._live:
            self._update(self._membership.live)
            self._gateways_by_group.clear()
        cached = self._gateways_by_group.get(group)
        if cached is None:
            cached = self._gateways_by_group[group] = self._compute_gateways(group)
        return cached

    def _compute_gateways(self, group: str) -> list[VmState]:
        ranking = self._rankings.get(group)
        if ranking is None or ranking.version != self._version:
            ranking = self._update_ranking(group, ranking)
        if ranking.chosen is None:
            ranking.chosen = self._choose(group, ranking)
        return [self._by_name[name] for name in ranking.chosen]

    def _update(self, live: tuple[VmState, ...]) -> None:
        old, new = self._by_name, {vm.name: vm for vm in live}
        # A VM whose failure domain has changed counts as leaving and joining.
        joined = [vm.name for vm in live if not _same_domain(old.get(vm.name), vm)]
        left = [name for name, vm in old.items() if not _same_domain(new.get(name), vm)]
        self._live, self._by_name = live, new
        domains = min(self._count, len({vm.failure_domain for vm in live}))
        if domains != self._domains:
            self._domains = domains
            for ranking in self._rankings.values():
                ranking.chosen = None
        if joined or left:
            self._version += 1
            self._changes.append(_Change(tuple(joined), frozenset(left)))

    def _update_ranking(self, group: str, ranking: _Ranking | None) -> _Ranking:
        missing = 0 if ranking is None else self._version - ranking.version
        if ranking is None or missing > len(self._changes):
            ranking = _Ranking(group, self._by_name, self._version)
        else:
            for number in range(-missing, 0):
                ranking.apply(self._changes[number])
        self._rankings[group] = ranking
        return ranking

    def _choose(self, group: str, ranking: _Ranking) -> list[str]:
        chosen = ranking.choose(self._by_name, self._domains, self._count)
        if chosen is None:
            # Too many of the kept VMs have left, so all VMs must be ranked again.
            ranking = self._rankings[group] = _Ranking(
                group, self._by_name, self._version
            )
            chosen = ranking.choose(self._by_name, self._domains, self._count)
        if chosen is None:
            chosen_vms = choose_gateways(group, self._live, self._count)
            chosen = [vm.name for vm in chosen_vms]
            ranking.depends_on_all = True
        ranking.chosen = chosen
        return chosen


def choose_ledgers(account: str, live: Sequence[VmState]) -> list[VmState]:
    """Return the two ledger VMs of an account, or fewer if there are fewer VMs.

    The first serves the shares at even positions among the account's slots, the second
    those at odd positions. They lie in different failure domains if there are several.
    When the first one moves, the second moves only if the first changes its domain.
    """
    if not live:
        return []
    # One digest serves both choices, because hashing takes most of the time.
    ranked = [(_digest(f"ledger/{account}", vm.name, 16), vm) for vm in live]
    first = max(ranked, key=lambda candidate: (candidate[0][:8], candidate[1].name))[1]
    domain = first.failure_domain
    others = [
        candidate for candidate in ranked if candidate[1].failure_domain != domain
    ] or [candidate for candidate in ranked if candidate[1].name != first.name]
    second = max(
        others,
        key=lambda candidate: (candidate[0][8:], candidate[1].name),
        default=None,
    )
    return [first] if second is None else [first, second[1]]


def _same_domain(known: VmState | None, other: VmState) -> bool:
    return known is not None and known.failure_domain == other.failure_domain


def _gateway_key(group: str) -> str:
    return f"gateway/{group}"


def _weight(key: str, name: str) -> bytes:
    return _digest(key, name, 8)


def _digest(key: str, name: str, size: int) -> bytes:
    # The built-in hash differs between processes.
    text = f"{len(key)}:{key}{name}".encode()
    return blake2b(text, digest_size=size).digest()
