"""Which backend servers may hold an acknowledged commit that no other server has.

Load pattern: replicas acknowledge commits (``sync_replicas``), and one of them is lost
or restarted without its log while another one is behind. The servers that are listed
when the primary fails are then not all that acknowledged its commits. A record of each
such server is therefore kept until others are known to have the commits.
See docs/change-of-primary.md.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from citronwood.relay.model import BackendServer, Position

# Before all positions of logs.
NO_POSITION = Position(0, 0)


class Holder(NamedTuple):
    """Record of a server: the start of its process, and its highest known position."""

    started_at: int
    received: Position


class Report(NamedTuple):
    """Server and the end of the log that it has received, as it reported it."""

    server: BackendServer
    received: Position


def new_holders(primary: Report, listed: Iterable[BackendServer]) -> dict[str, Holder]:
    """Return the records for a primary that has just begun its term."""
    holders = {server.id: Holder(server.started_at, NO_POSITION) for server in listed}
    holders[primary.server.id] = Holder(primary.server.started_at, primary.received)
    return holders


def update_holders(
    known: Mapping[str, Holder],
    primary: Report,
    listed: Collection[BackendServer],
    reports: Iterable[Report],
) -> dict[str, Holder]:
    """Return the records after the primary and then the replicas were asked.

    A server that has left the list is dropped once all listed replicas have what the
    primary had. A new process takes the place of the former one with the same id once
    it has what the primary had.

    Parameters
    ----------
    known : mapping
        Records before the reports.
    primary : Report
        The primary's report.
    listed : collection of BackendServer
        Servers that were listed before the primary was asked.
    reports : iterable of Report
        Reports of replicas that were asked after the primary.
    """
    received = {report.server.id: report.received for report in reports}
    replicas = [server for server in listed if server.id != primary.server.id]
    is_replicated = bool(replicas) and all(
        received.get(server.id, NO_POSITION) >= primary.received for server in replicas
    )
    holders = {
        server.id: _update(known, server, received, primary) for server in replicas
    }
    holders[primary.server.id] = Holder(
        primary.server.started_at,
        max(primary.received, _position_of(known, primary.server.id)),
    )
    if not is_replicated:
        for server_id, holder in known.items():
            holders.setdefault(server_id, holder)
    return holders


def is_log_kept(report: Report, holders: Mapping[str, Holder], primary: str) -> bool:
    """Whether a server still has all that it had as a holder.

    A new process has its former log if it has what the primary is known to have had:
    without a primary there is nobody from whom it could have received that.
    """
    holder = holders.get(report.server.id)
    if holder is None:
        return True
    if report.received < holder.received:
        return False
    return report.server.started_at == holder.started_at or (
        report.received >= _position_of(holders, primary)
    )


def awaited_servers(
    holders: Mapping[str, Holder],
    listed: Iterable[BackendServer],
    reports: Iterable[Report],
    primary: str,
) -> list[str]:
    """Return the replicas that may hold commits and have not reported them."""
    replicas = {*holders, *(server.id for server in listed)} - {primary}
    reported = {
        report.server.id for report in reports if is_log_kept(report, holders, primary)
    }
    return sorted(replicas - reported)


def _update(
    known: Mapping[str, Holder],
    server: BackendServer,
    received: Mapping[str, Position],
    primary: Report,
) -> Holder:
    reported = received.get(server.id, NO_POSITION)
    holder = known.get(server.id)
    if holder is None:
        return Holder(server.started_at, reported)
    if holder.started_at == server.started_at:
        return holder._replace(received=max(holder.received, reported))
    if reported >= primary.received:
        return Holder(server.started_at, reported)
    return holder


def _position_of(holders: Mapping[str, Holder], server: str) -> Position:
    holder = holders.get(server)
    return NO_POSITION if holder is None else holder.received
