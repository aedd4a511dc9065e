"""What callers, backend servers and the platform have seen during a simulation."""

import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple

# Answers that promise that nothing of the request is kept.
PROMISES = frozenset({"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"})


class Entry(NamedTuple):
    """Entry of a server's log: one commit and the writes that it contains.

    ``writes`` has the request id, the item and the data of each write, and ``commit``
    the id of the request that committed them.
    """

    term: int
    number: int
    commit: str
    writes: tuple[tuple[str, str, str], ...]


class Request(NamedTuple):
    """Request of a caller with its answer.

    ``result`` is the last line of the answer, None without a complete answer, and
    ``writes`` the requests of the transaction that it commits, or its own id.
    """

    sent_at: float
    ended_at: float
    id: str
    session: int
    text: str
    result: str | None
    rows: tuple[str, ...]
    writes: tuple[str, ...] = ()

    @property
    def succeeded(self) -> bool:
        """Whether the caller was told that the request was done."""
        return self.result is not None and self.result.startswith("DONE")

    @property
    def code(self) -> str:
        """Code of the failure that the caller was told; empty without one."""
        words = (self.result or "").split(" ")
        return words[1] if words[0] == "ERROR" and len(words) > 1 else ""


class Run(NamedTuple):
    """Statement of a caller that a server has run.

    ``signature`` is None if it failed. For a read, ``seen`` are the commits with writes
    of the item that the server's log held.
    """

    at: float
    server: str
    group: str
    id: str
    text: str
    account: str
    signature: str | None
    rows: tuple[str, ...]
    seen: frozenset[str]


class Commit(NamedTuple):
    """Commit at a primary.

    ``host`` is the primary's host, ``sender`` the one from which it got the request to
    commit, and ``sent_at`` the time at which that one sent it.
    """

    at: float
    server: str
    group: str
    entry: Entry
    host: str = ""
    sender: str = ""
    sent_at: float = math.inf


class Promoted(NamedTuple):
    """Promotion that has taken effect, with the commits that the server's log held."""

    at: float
    server: str
    group: str
    term: int
    commits: frozenset[str]


class PromoteCall(NamedTuple):
    """Call to promote a server, and the host that it came from."""

    at: float
    server: str
    holder: str
    fence: int
    host: str = ""


class Drained(NamedTuple):
    """The store has acknowledged that a server is draining."""

    at: float
    server: str


class Restarted(NamedTuple):
    """A server that was draining has ended, and a new process that is not starts."""

    at: float
    server: str


class Disturbance(NamedTuple):
    """Time in which a machine was disturbed, or its links to another host.

    ``peer`` is empty if the machine itself or all of its links were disturbed.
    """

    began_at: float
    ended_at: float
    host: str
    peer: str = ""


class History(NamedTuple):
    """Everything that was seen in one run, in the order of time."""

    requests: list[Request]
    runs: list[Run]
    commits: list[Commit]
    promoted: list[Promoted]
    promote_calls: list[PromoteCall]
    drained: list[Drained]
    restarted: list[Restarted]
    disturbances: list[Disturbance]


class Violation(NamedTuple):
    """Rule that was broken, and how."""

    rule: str
    at: float
    text: str


def new_history() -> History:
    """Return an empty history."""
    return History([], [], [], [], [], [], [], [])


def acknowledged(history: History) -> dict[str, Request]:
    """Return the requests with which callers were told of a commit, by their ids."""
    committed = {commit.entry.commit for commit in history.commits}
    return {
        request.id: request
        for request in history.requests
        if request.succeeded and request.id in committed
    }


def first_violations(
    violations: Iterable[Violation], most: int = 5
) -> Sequence[Violation]:
    """Return the earliest violations."""
    return sorted(violations, key=lambda each: each.at)[:most]
