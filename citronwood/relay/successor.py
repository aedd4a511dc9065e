"""Which backend server becomes a group's primary, and when enough is known to choose.

Load pattern: a primary fails while a replica is behind, and reads keep all slots of the
most advanced replica in use. The servers that report at once are then not those that
hold the newest commits.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from citronwood.relay.model import BackendServer, Position


class Candidate(NamedTuple):
    """Backend server that can be promoted, and the end of the log it has received."""

    server: BackendServer
    received: Position


class Evidence(NamedTuple):
    """What is known about a group's acknowledged commits during a change of primary.

    Parameters
    ----------
    sync_replicas : int
        Number of replicas that have received a commit before it is acknowledged.
    complete_logs : sequence of Position
        Ends of the logs of servers that have all commits.
    newest_commit : Position or None
        Position that covers all commits, if all VMs have named theirs.
    began_at : Position or None
        Position at which the primary's term began; earlier commits may be nowhere else.
    reported : sequence of Position
        Ends of the logs of the replicas that reported.
    awaited : int
        Number of replicas that may hold commits and have not reported them.
    """

    sync_replicas: int
    complete_logs: Sequence[Position]
    newest_commit: Position | None
    began_at: Position | None
    reported: Sequence[Position]
    awaited: int


def has_all_commits(received: Position, evidence: Evidence) -> bool:
    """Whether a server that has received this position has all acknowledged commits."""
    if not evidence.sync_replicas:
        return True
    if any(received >= end for end in evidence.complete_logs):
        return True
    if evidence.newest_commit is not None and received >= evidence.newest_commit:
        return True
    if evidence.began_at is not None and received < evidence.began_at:
        return False
    return holds_acknowledged_commits(
        received,
        evidence.reported,
        len(evidence.reported) + evidence.awaited,
        evidence.sync_replicas,
    )


def choose_successor(candidates: Iterable[Candidate]) -> Candidate | None:
    """Return the most advanced server; of equal ones, one that is not draining."""
    return max(
        candidates,
        key=lambda candidate: (candidate.received, not candidate.server.draining),
        default=None,
    )


def holds_acknowledged_commits(
    received: Position,
    reported: Sequence[Position],
    replicas: int,
    sync_replicas: int,
) -> bool:
    """Whether a server that has received this position has all acknowledged commits.

    A commit is acknowledged once ``sync_replicas`` of the ``replicas`` have received
    it. If fewer than that have not reported, one that did has the commit. Without
    ``sync_replicas`` a commit may be in no replica, and more reports tell nothing.

    Parameters
    ----------
    received : Position
        End of the log of the server in question.
    reported : sequence of Position
        Ends of the logs of the replicas that reported.
    """
    if not sync_replicas:
        return True
    is_known = replicas - len(reported) < sync_replicas
    return is_known and received >= max(reported, default=received)
