"""Rules for a configuration that its schema does not express."""

from collections import Counter
from collections.abc import Iterator

from citronwood.config.draft import Finding
from citronwood.config.model import ANONYMOUS, Configuration, Group

# Each slot is for one member, which needs one connection on which a gateway polls for a
# seat, and at least two for each of its two seats (see backend/seats.py).
MIN_CONNECTIONS_PER_SLOT = 5


def find_violations(old: Configuration, new: Configuration) -> Iterator[Finding]:
    """Yield a finding for each rule that a new configuration violates."""
    yield from _check_routes(new)
    if ANONYMOUS in new.accounts and new.accounts[ANONYMOUS].keys:
        place = f"accounts.{ANONYMOUS}.keys"
        yield Finding(place, "the account of callers without a key has no keys")
    yield from _check_addresses(new)
    for name, group in new.groups.items():
        place = f"groups.{name}"
        yield from _check_group(place, group)
        if name in old.groups:
            yield from _check_member_changes(place, old.groups[name], group)


def find_warnings(config: Configuration) -> Iterator[str]:
    """Yield warnings on valid settings that reduce security or availability."""
    for name, route in config.routes.items():
        if route.open_to_all:
            yield f"route {name} admits callers without a key"
            if ANONYMOUS not in config.accounts:
                yield (
                    f"route {name} refuses callers without a key until there is an"
                    f" account {ANONYMOUS}, whose rate limits them all together"
                )
    for name, group in config.groups.items():
        yield from _group_warnings(name, group)


def _check_routes(config: Configuration) -> Iterator[Finding]:
    for name, route in config.routes.items():
        place = f"routes.{name}"
        if route.group not in config.groups:
            yield Finding(f"{place}.group", f"there is no group {route.group}")
        for account in route.accounts or ():
            if account not in config.accounts:
                yield Finding(f"{place}.accounts", f"there is no account {account}")


def _check_addresses(config: Configuration) -> Iterator[Finding]:
    places: dict[tuple[str, int], str] = {}
    for group_name, group in config.groups.items():
        for name, member in group.members.items():
            place = f"groups.{group_name}.members.{name}"
            address = (member.host, member.port)
            if address in places:
                yield Finding(place, f"has the same address as {places[address]}")
            places[address] = place


def _check_group(place: str, group: Group) -> Iterator[Finding]:
    if all(member.leaving for member in group.members.values()):
        yield Finding(f"{place}.members", "no member is left that is not leaving")
    if len(group.members) > group.slots:
        yield Finding(
            f"{place}.members", f"{len(group.members)} members for {group.slots} slots"
        )
    if group.max_connections // group.slots < MIN_CONNECTIONS_PER_SLOT:
        yield Finding(
            f"{place}.max_connections",
            f"must be at least {MIN_CONNECTIONS_PER_SLOT * group.slots}:"
            f" {MIN_CONNECTIONS_PER_SLOT} for each slot",
        )
    change = group.primary_change
    if change is not None and change.member not in group.members:
        yield Finding(f"{place}.primary_change", f"there is no member {change.member}")


def _check_member_changes(place: str, old: Group, new: Group) -> Iterator[Finding]:
    # Majorities before and after a change are certain to overlap only if one member
    # changes. Without an overlap an acknowledged write could be lost.
    before = {(name, m.host, m.port) for name, m in old.members.items()}
    after = {(name, m.host, m.port) for name, m in new.members.items()}
    if len(after - before) > 1 or len(before - after) > 1:
        yield Finding(f"{place}.members", "only one member may change in one plan")
    elif after - before and before - after:
        yield Finding(
            f"{place}.members",
            "a member is replaced in two plans: add the new one, then remove the old",
        )


def _group_warnings(name: str, group: Group) -> Iterator[str]:
    staying = [m for m in group.members.values() if not m.leaving]
    if len(group.members) % 2 == 0:
        yield (
            f"group {name} has {len(group.members)} members; an odd number"
            " survives as many failures with one member less"
        )
    domains = Counter(member.failure_domain for member in staying)
    for domain, count in domains.items():
        if 2 * count > len(group.members):
            yield (
                f"a majority of group {name} is in {domain}; its loss stops the group"
            )
