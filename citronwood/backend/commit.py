"""Acknowledgement of commits by a majority of the members."""

from citronwood.backend.api import Position
from citronwood.backend.group import GroupView
from citronwood.backend.member import MemberStatus
from citronwood.deadline import deadline_in

# Replicas report a commit within milliseconds, unless their polling connection has
# stopped responding. After this time they are queried on another connection.
REFRESH_AFTER_S = 0.1


def holds_entry(status: MemberStatus, position: Position) -> bool:
    """Whether a status proves that the member holds the log entry at this position.

    A status of another term proves nothing: an entry of an old term that a later
    primary has copied may still be overwritten.
    """
    return (
        status.term == position.term
        and status.log_term == position.term
        and status.received >= position.lsn
    )


def is_acknowledged(view: GroupView, primary: str, position: Position) -> bool | None:
    """Return whether a majority holds a commit; None while this is undecided.

    False means that the outcome stays unknown: the primary has no status, or it or too
    many members are at a higher term.
    """
    primary_status = view.status(primary)
    if primary_status is None or primary_status.term > position.term:
        return False
    statuses = view.statuses
    at_newer_term = sum(status.term > position.term for status in statuses)
    if at_newer_term > len(view.group.members) - view.majority:
        return False
    count = sum(holds_entry(status, position) for status in statuses)
    return (
        True
        if holds_entry(primary_status, position) and count >= view.majority
        else None
    )


async def wait_for_majority(
    view: GroupView, primary: str, position: Position, deadline: float
) -> bool:
    """Wait until a majority holds a commit; False if the outcome stays unknown.

    Returns False at the deadline, or when ``is_acknowledged`` does.
    """

    def check() -> bool | None:
        return is_acknowledged(view, primary, position)

    held = await view.wait_for(check, min(deadline, deadline_in(REFRESH_AFTER_S)))
    if held is None:
        view.refresh()
        held = await view.wait_for(check, deadline)
    return held is True
