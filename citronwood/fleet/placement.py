"""Which VM has which role: rendezvous hashing over the live VMs.

Every VM computes the same choice from the same set of live VMs, and a VM that joins or
leaves moves only the roles that it takes or had, except for pairs that have to stay in
different failure domains. VMs that see different sets may choose
differently for a while; no role depends on being held once.
"""

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from hashlib import blake2b
from typing import NamedTuple

from citronwood.fleet.api import Membership
from citronwood.inner.messages import VmState

# The first eight of many VMs lie in the same of three failure domains in one of 2,000
# groups. A group is ranked again when too many of them have left.
KEPT_VMS = 8
# A group that has missed more changes than this is ranked again.
KEPT_CHANGES = 64


def rank(key: str, members: Iterable[str]) -> list[str]:
    """Return the names ordered by preference for a key."""
    return sorted(members, key=lambda name: (_weight(key, name), name), reverse=True)


def choose_gateways(
    group: str, live: Sequence[VmState], count: int = 2
) -> list[VmState]:
    """Return the gateways of a database group, by rank.

    They lie in different failure domains as long as there are enough of them.
    """
    by_name = {vm.name: vm for vm in live}
    ranked = [by_name[name] for name in rank(_gateway_key(group), by_name)]
    return _take_by_domain(ranked, count)


def _take_by_domain(ranked: Sequence[VmState], count: int) -> list[VmState]:
    chosen: list[VmState] = []
    domains: set[str] = set()
    for vm in ranked:
        if len(chosen) < count and vm.failure_domain not in domains:
            chosen.append(vm)
            domains.add(vm.failure_domain)
    rest = [vm for vm in ranked if vm not in chosen]
    return chosen + rest[: max(0, count - len(chosen))]


class _Change(NamedTuple):
    """Names that joined and left the live VMs at once."""

    joined: tuple[str, ...]
    left: frozenset[str]


class _Best:
    """The first VMs in the order of preference for a group.

    ``complete`` tells that these are all live VMs. ``version`` counts the changes that
    have been applied.
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
        """Adopt a change of the live VMs."""
        if self.depends_on_all:
            self.chosen = None
        left = change.left
        if left and not left.isdisjoint([name for _, name in self._ranked]):
            self._ranked = [one for one in self._ranked if one[1] not in left]
            self.chosen = None
        if change.joined:
            self._add(change.joined)
        self.version += 1

    def _add(self, names: Iterable[str]) -> None:
        added = [(_weight(self._key, name), name) for name in names]
        if not self._complete:
            # Below the last one lie others that are not known here.
            last = self._ranked[-1:]
            added = [one for one in added if last and one > last[0]]
        if added:
            self._ranked = sorted(self._ranked + added, reverse=True)
            self.chosen = None
        if len(self._ranked) > KEPT_VMS:
            self._ranked = self._ranked[:KEPT_VMS]
            self._complete = False

    def choose(
        self, live: Mapping[str, VmState], domains: int, count: int
    ) -> list[str] | None:
        """Return the names of the gateways, None if other VMs have to be looked at.

        ``domains`` is the number of failure domains in which gateways must lie.
        """
        ranked = [live[name] for _, name in self._ranked]
        found = len({vm.failure_domain for vm in ranked})
        if not self._complete and (len(ranked) < count or found < domains):
            return None
        return [vm.name for vm in _take_by_domain(ranked, count)]


class GatewayChoice:
    """Gateways of the groups, kept up to date with the live VMs.

    The full choice for one group takes over a millisecond at 620 VMs, so only the first
    VMs in its order are kept, and the changes of the live VMs are applied to them when
    the group is next asked for. The results equal those of ``choose_gateways``.
    """

    def __init__(self, membership: Membership, count: int = 2) -> None:
        self._membership = membership
        self._count = count
        # The membership keeps this tuple until the set changes.
        self._live: tuple[VmState, ...] = ()
        self._by_name: dict[str, VmState] = {}
        self._domains = 0
        self._version = 0
        self._changes: deque[_Change] = deque(maxlen=KEPT_CHANGES)
        self._best: dict[str, _Best] = {}
        self._found: dict[str, list[VmState]] = {}

    def gateways(self, group: str) -> list[VmState]:
        """Return the gateways of a group, by rank.

        The list is the same object until the live VMs change.
        """
        if self._membership.live is not self._live:
            self._update(self._membership.live)
            self._found.clear()
        found = self._found.get(group)
        if found is None:
            found = self._found[group] = self._find(group)
        return found

    def _find(self, group: str) -> list[VmState]:
        best = self._best.get(group)
        if best is None or best.version != self._version:
            best = self._catch_up(group, best)
        if best.chosen is None:
            best.chosen = self._choose(group, best)
        return [self._by_name[name] for name in best.chosen]

    def _update(self, live: tuple[VmState, ...]) -> None:
        old, new = self._by_name, {vm.name: vm for vm in live}
        # A VM whose failure domain has changed leaves and joins.
        joined = [vm.name for vm in live if not _same_place(old.get(vm.name), vm)]
        left = [name for name, vm in old.items() if not _same_place(new.get(name), vm)]
        self._live, self._by_name = live, new
        domains = min(self._count, len({vm.failure_domain for vm in live}))
        if domains != self._domains:
            self._domains = domains
            for best in self._best.values():
                best.chosen = None
        if joined or left:
            self._version += 1
            self._changes.append(_Change(tuple(joined), frozenset(left)))

    def _catch_up(self, group: str, best: _Best | None) -> _Best:
        missing = 0 if best is None else self._version - best.version
        if best is None or missing > len(self._changes):
            best = _Best(group, self._by_name, self._version)
        else:
            for number in range(-missing, 0):
                best.apply(self._changes[number])
        self._best[group] = best
        return best

    def _choose(self, group: str, best: _Best) -> list[str]:
        chosen = best.choose(self._by_name, self._domains, self._count)
        if chosen is None:
            # So many of the kept VMs have left that the others must be ranked again.
            best = self._best[group] = _Best(group, self._by_name, self._version)
            chosen = best.choose(self._by_name, self._domains, self._count)
        if chosen is None:
            found = choose_gateways(group, self._live, self._count)
            chosen = [vm.name for vm in found]
            best.depends_on_all = True
        best.chosen = chosen
        return chosen


def choose_ledgers(account: str, live: Sequence[VmState]) -> list[VmState]:
    """Return the two ledgers of an account, or one if there is only one VM.

    The first takes the share slots with even numbers, the second the others. They lie
    in different failure domains if there are several. The second one moves with the
    first only where they would get into the same domain.
    """
    if not live:
        return []
    # One digest for both choices, because hashing takes most of the time.
    ranked = [(_digest(f"ledger/{account}", vm.name, 16), vm) for vm in live]
    first = max(ranked, key=lambda one: (one[0][:8], one[1].name))[1]
    domain = first.failure_domain
    rest = [one for one in ranked if one[1].failure_domain != domain] or [
        one for one in ranked if one[1].name != first.name
    ]
    second = max(rest, key=lambda one: (one[0][8:], one[1].name), default=None)
    return [first] if second is None else [first, second[1]]


def _same_place(one: VmState | None, other: VmState) -> bool:
    return one is not None and one.failure_domain == other.failure_domain


def _gateway_key(group: str) -> str:
    return f"gateway/{group}"


def _weight(key: str, name: str) -> bytes:
    return _digest(key, name, 8)


def _digest(key: str, name: str, size: int) -> bytes:
    # hashlib, because the built-in hash differs between processes.
    text = f"{len(key)}:{key}{name}".encode()
    return blake2b(text, digest_size=size).digest()
