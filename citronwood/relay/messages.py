"""Messages between the VMs of a relay."""

from typing import NamedTuple


class ReportToLeader(NamedTuple):
    """Regular message of a VM to the leader.

    ``wanted`` is the number of operations by account for which the VM asks leave,
    ``unused`` what it gives back of earlier grants. With ``lends`` the leader may grant
    from the VM's shares of the accounts' rates until it is told otherwise or hears
    nothing for a while.
    """

    process: int
    wanted: dict[str, int]
    unused: dict[str, int]
    lends: bool


class StoreReads(NamedTuple):
    """What a VM knows of the platform's store, and when that was so.

    ``state_version`` and ``edition`` are those of the fleet's state ``state_age_ms``
    ago, ``feed_versions`` those of the feeds by kind ``feeds_age_ms`` ago.
    """

    state_version: int
    edition: int
    state_age_ms: int
    feed_versions: dict[str, int]
    feeds_age_ms: int


class LeaderAnswer(NamedTuple):
    """Answer of the leader.

    ``is_leader`` is False when the asked VM does not lead (any more). It grants as long
    as ``grants`` is set, because it knows no other leader. ``vm_count`` is the number
    of registered VMs. ``retry_ms`` gives for an account without grants the time after
    which there may be some. ``positions`` gives (term, number, age in ms) of the newest
    position by group.
    ``deputies`` are the addresses of VMs to ask when the leader does not answer.
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
    """Question for operations while the leader does not answer.

    ``wanted``, ``unused`` and ``lends`` are those of a report to the leader.
    """

    wanted: dict[str, int]
    unused: dict[str, int]
    lends: bool


class DeputyAnswer(NamedTuple):
    """Granted operations by account, waits in ms for those without, and its reads."""

    granted: dict[str, int]
    retry_ms: dict[str, int]
    reads: StoreReads


class FenceGroup(NamedTuple):
    """Order of the leader to stop using a group's primary."""

    group: str
    change: int


class GroupFenced(NamedTuple):
    """Confirmation that this process does not use the former primary any more."""

    process: int


class StateChanged(NamedTuple):
    """Notice of a new version of the fleet's state, which is encoded as JSON."""

    version: int
    state: bytes


class AskReachable(NamedTuple):
    """Question whether a backend server answers."""

    server: str


class ReachableAnswer(NamedTuple):
    """Whether the server answered just now; None when this VM does not know it."""

    reachable: bool | None


class AskFeed(NamedTuple):
    """Request for the objects of a kind that the leader follows."""

    kind: str


class FeedAnswer(NamedTuple):
    """Objects of a kind, encoded as JSON."""

    version: int
    objects: bytes
