"""The choice of the server that is promoted when a primary fails."""

import pytest

from citronwood.relay.model import BackendServer, Position, Role
from citronwood.relay.successor import (
    Candidate,
    Evidence,
    choose_successor,
    has_all_commits,
    holds_acknowledged_commits,
)


def candidate(name, number, draining=False):
    server = BackendServer(name, "g", "h", 1, "z", Role.REPLICA, draining, 5, 1)
    return Candidate(server, Position(1, number))


def test_most_advanced_server_is_chosen_and_of_equal_ones_one_that_stays():
    leaving, staying = candidate("a", 7, draining=True), candidate("b", 7)
    assert choose_successor([candidate("c", 6), leaving, staying]) is staying
    assert choose_successor([candidate("c", 6), leaving]) is leaving
    assert choose_successor([]) is None


@pytest.mark.parametrize(
    ("reported", "replicas", "sync_replicas", "expected"),
    [
        # Each commit may be in a single replica, so all have to report.
        ([5], 2, 1, False),
        ([5, 4], 2, 1, True),
        # Each commit is in two replicas, so one may be missing.
        ([5, 4], 3, 2, True),
        ([5], 3, 2, False),
        # A more advanced one reported, but cannot be promoted.
        ([5, 6], 2, 1, False),
        # The servers that did not report have left.
        ([5], 1, 1, True),
        ([], 2, 0, True),
    ],
)
def test_reports_of_replicas_tell_whether_a_server_has_all_commits(
    reported, replicas, sync_replicas, expected
):
    positions = [Position(1, number) for number in reported]
    known = holds_acknowledged_commits(
        Position(1, 5), positions, replicas, sync_replicas
    )
    assert known is expected


NOTHING_KNOWN = Evidence(1, [], None, None, [Position(1, 5)], 1)


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({}, False),
        ({"sync_replicas": 0}, True),
        # Another server has all commits, and this one has all that it has, or not.
        ({"complete_logs": [Position(1, 5)]}, True),
        ({"complete_logs": [Position(1, 6)]}, False),
        ({"complete_logs": [Position(1, 6), Position(1, 4)]}, True),
        ({"newest_commit": Position(1, 5)}, True),
        ({"newest_commit": Position(1, 6)}, False),
        # All replicas reported; an earlier commit may be at the primary alone.
        ({"awaited": 0}, True),
        ({"awaited": 0, "reported": [Position(1, 6)]}, False),
        ({"awaited": 0, "began_at": Position(1, 5)}, True),
        ({"awaited": 0, "began_at": Position(1, 6)}, False),
        ({"sync_replicas": 2}, True),
    ],
)
def test_server_is_safe_to_promote_only_with_proof(change, expected):
    evidence = NOTHING_KNOWN._replace(**change)
    assert has_all_commits(Position(1, 5), evidence) is expected
