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
