"""Messages between the VMs of a relay."""

from typing import NamedTuple

from citronwood.relay.model import Position
from citronwood.relay.server_load import ServerLoad


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
    """Confirmation that a process does not use the former primary any more.

    ``newest`` is the group's state in the newest term that the process has known, as
    JSON; empty without one.
    """

    process: int
    newest: bytes = b""


class AskCommits(NamedTuple):
    """Request for the newest acknowledged commit, sent after the group was blocked."""

    group: str


class CommitsAnswer(NamedTuple):
    """Newest commit of a group that a process knows to be acknowledged.

    ``process`` is the process id of the VM's reports; with ``has_predecessor``, an
    earlier process of the VM may have ended without removing its entry. ``position`` is
    (0, 0) without a commit, and None if it is not known.
    """

    process: int
    has_predecessor: bool
    position: Position | None


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
    """Request for all objects of a kind that another VM has read.

    With ``here``, the answer must not name another VM.
    """

    kind: str
    here: bool


class FeedAnswer(NamedTuple):
    """Objects of a kind, as compressed JSON, or the address of a VM that has them."""

    version: int
    objects: bytes
    ask: str = ""


class ForwardedStatement(NamedTuple):
    """Statement of a caller, as in ``citronwood.relay.statement.Statement``.

    ``shape`` is the text of the prepared statement that an execution names.
    """

    id: str
    verb: str
    text: str
    name: str
    value: str
    writes: bool
    shape: str


class OpenLease(NamedTuple):
    """Request to use a connection to a backend server for one of its accounts.

    With ``statement``, a single read, the connection is given back after it has run.
    Else the caller holds the connection under the number ``lease``, which it chose, in
    a transaction that is begun with ``begin`` ("read" or "write") or for one write.
    ``max_age_ms`` is None for the primary; else the server's log must hold all commits
    that were acknowledged before this time, and ``after``, the last commit of the
    session, as (term, number). ``rules_version`` is the version of the configuration
    that allowed the request. ``priority`` and ``target_ms``, the time left until the
    route's target latency, are as in ``citronwood.relay.statement.Urgency``. A read is
    declined if its expected wait exceeds ``max_wait_ms``. ``request`` is the id of the
    caller's request for the log, empty from VMs of earlier versions.
    """

    lease: int
    database: str
    account: str
    group: str
    server: str
    rules_version: int
    max_age_ms: int | None
    after: tuple[int, int] | None
    variables: dict[str, str]
    begin: str
    statement: ForwardedStatement | None
    priority: int = 0
    target_ms: int | None = None
    max_wait_ms: int | None = None
    request: str = ""


class RunInLease(NamedTuple):
    """Request to run a statement on a held connection; None rolls back.

    The connection is given back after a ``final`` statement and after the end of its
    transaction.
    """

    lease: int
    variables: dict[str, str]
    statement: ForwardedStatement | None
    final: bool


class EndLease(NamedTuple):
    """Notification that a held connection is not used any more; it is closed."""

    lease: int


class ForwardedAnswer(NamedTuple):
    """Answer of a backend server, or the reason why there is none.

    ``outcome`` is a value of ``citronwood.relay.leases.LeaseOutcome`` and ``detail``
    describes it. ``excess_ms`` is as in ``OverloadedError``, or the expected wait of a
    declined read. The other fields are those of
    ``citronwood.relay.statement.Answer``. ``load`` is the load of the server at its
    owner after the request. With ``evacuated``, no VM may use the server.
    """

    outcome: str
    detail: str = ""
    excess_ms: int = 0
    rows: tuple[str, ...] = ()
    signature: str | None = None
    reason: str = ""
    message: str = ""
    state: str = ""
    position: tuple[int, int] | None = None
    load: ServerLoad | None = None
    evacuated: bool = False


class AskPosition(NamedTuple):
    """Request for a recent log position of a group's primary."""

    group: str


class PositionAnswer(NamedTuple):
    """Position as (term, number, age in ms); None when the VM knows no recent one."""

    position: tuple[int, int, int] | None
