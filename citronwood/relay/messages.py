"""Messages between the VMs of a relay."""

from typing import NamedTuple


class ReportToLeader(NamedTuple):
    """Periodic report of a VM to the leader.

    ``wanted`` is the number of tokens by account that the VM requests, ``unused`` the
    number that it returns from expired grants. With ``lends``, the leader may grant
    from the VM's shares of the accounts' rates, until a report revokes this or no
    report arrives for a while.
    """

    process: int
    wanted: dict[str, int]
    unused: dict[str, int]
    lends: bool


class StoreReads(NamedTuple):
    """Versions of the platform's store that a VM knows, with their age.

    ``state_version`` and ``edition`` of the fleet's state were current ``state_age_ms``
    ago, and ``feed_versions`` (by kind) ``feeds_age_ms`` ago.
    """

    state_version: int
    edition: int
    state_age_ms: int
    feed_versions: dict[str, int]
    feeds_age_ms: int


class LeaderAnswer(NamedTuple):
    """Answer to a report.

    ``is_leader`` is False when the answering VM does not hold the lease as leader.
    ``grants`` is True while the newest state that it knows names it as leader; it then
    grants tokens even without the lease. ``vm_count`` is the number of registered VMs.
    ``granted`` has the tokens by account, and ``retry_ms`` the retry delay for accounts
    that got none. ``positions`` has the newest position by group as (term, number, age
    in ms). ``deputies`` are the addresses of the VMs to ask when the leader does not
    answer.
    """

    is_leader: bool
    grants: bool
    reads: StoreReads
    vm_count: int
    granted: dict[str, int]
    retry_ms: dict[str, int]
    positions: dict[str, tuple[int, int, int]]
    deputies: list[str]


class AskDeputy(NamedTuple):
    """Request for tokens to a deputy, sent while the leader does not answer.

    ``wanted``, ``unused`` and ``lends`` are as in ``ReportToLeader``.
    """

    wanted: dict[str, int]
    unused: dict[str, int]
    lends: bool


class DeputyAnswer(NamedTuple):
    """Granted tokens by account, retry delays, and the deputy's reads of the store."""

    granted: dict[str, int]
    retry_ms: dict[str, int]
    reads: StoreReads


class FenceGroup(NamedTuple):
    """Order of the leader to block a group, that is, to stop using its primary."""

    group: str
    change: int


class GroupFenced(NamedTuple):
    """Confirmation that a process does not use the former primary any more."""

    process: int


class StateChanged(NamedTuple):
    """Notification of a new version of the fleet's state, encoded as JSON."""

    version: int
    state: bytes


class AskReachable(NamedTuple):
    """Request to check whether a backend server answers."""

    server: str


class ReachableAnswer(NamedTuple):
    """Whether the server answered; None when the VM does not know the server."""

    reachable: bool | None


class AskFeed(NamedTuple):
    """Request for all objects of a kind that another VM has read."""

    kind: str


class FeedAnswer(NamedTuple):
    """Objects of a kind, encoded as JSON."""

    version: int
    objects: bytes
