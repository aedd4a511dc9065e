"""Tests of the choice of the newest primary that VMs and servers name."""

import pytest

from citronwood.relay.primary_search import newest_group
from citronwood.relay.succession import NewestTerm
from citronwood.relay.view import GroupState


def _group(primary, term, former=""):
    return GroupState(primary, term, True, 7, uncertain=True, former=former)


@pytest.mark.parametrize(
    "known, servers, expected",
    [
        # The record's term is the newest.
        ([None], NewestTerm(1, "a", True), _group("a", 1)),
        # Another VM, or this one, has known a newer term.
        (
            [GroupState("b", 2, False, 5), None],
            NewestTerm(1, "a", True),
            _group("b", 2),
        ),
        (
            [None, GroupState("b", 2, False, 5)],
            NewestTerm(2, "b", True),
            _group("b", 2),
        ),
        # A server leads a term that no VM has known, or knows of a leader that is gone.
        ([], NewestTerm(3, "c", True), _group("c", 3, former="a")),
        ([], NewestTerm(3, "", True), _group("", 3, former="a")),
    ],
)
def test_newest_term_of_vms_and_servers_is_chosen(known, servers, expected):
    current = _group("a", 1)._replace(newest_commit=(1, 4))
    assert newest_group(current, known, servers) == expected


def test_change_is_like_any_other_without_an_answer_of_all_servers():
    assert not newest_group(_group("a", 1), [], NewestTerm(1, "a", False)).uncertain
    assert newest_group(_group("a", 1), [], NewestTerm(2, "", False)).uncertain
