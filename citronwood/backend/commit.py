"""Acknowledgement of commits."""

from citronwood.backend.api import Position
from citronwood.backend.group import GroupView
from citronwood.backend.member import MemberStatus
from citronwood.deadline import deadline_in

# Replicas report a commit within milliseconds, unless the connection of a poll has
# stopped responding; then they are asked on another.
ASK_AFTER_S = 0.1


def holds(status: MemberStatus, position: Position) -> bool:
    """Whether a report proves that the member holds the entry at this position.

    Reports of another term do not count: an entry of an old term that a later primary
    has copied may still be overwritten.
    """
    return (
        status.term == position.term
        and status.log_term == position.term
        and status.received >= position.lsn
    )


def is_acknowledged(view: GroupView, primary: str, position: Position) -> bool | None:
    """Tell whether a majority holds a commit; None while that is open.

    False means that it can no longer be learnt, because the primary or too many
    members have moved on to a higher term.
    """
    own = view.status(primary)
    if own is None or own.term > position.term:
        return False
    statuses = view.statuses
    moved = sum(status.term > position.term for status in statuses)
    if moved > len(view.group.members) - view.majority:
        return False
    count = sum(holds(status, position) for status in statuses)
    return True if holds(own, position) and count >= view.majority else None


async def wait_for_majority(
    view: GroupView, primary: str, position: Position, deadline: float
) -> bool:
    """Wait until a commit is acknowledged; False means that the outcome is unknown."""

    def check() -> bool | None:
        return is_acknowledged(view, primary, position)

    found = await view.wait_for(check, min(deadline, deadline_in(ASK_AFTER_S)))
    if found is None:
        view.refresh()
        found = await view.wait_for(check, deadline)
    return found is True
