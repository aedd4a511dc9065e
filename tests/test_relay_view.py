"""The lease that lets a VM use a primary, and positions that bound the age of reads."""

import pytest

from citronwood.relay import view as view_module
from citronwood.relay.model import Position
from citronwood.relay.positions import GroupPositions
from citronwood.relay.view import LEASE_S, FleetState, GroupState, PrimaryView


class Clock:
    def __init__(self):
        self.time = 100.0

    def __call__(self):
        return self.time


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(view_module, "now", clock)
    return clock


def registered_view():
    view = PrimaryView()
    view.note_registered(Clock().time)
    return view


def state(primary="a", term=1, changing=False, change=1):
    group = GroupState(primary, term, changing, change)
    return FleetState(1, "vm", "", 1, 1, "", "", {"g": group}, {})


def test_lease_ends_even_for_a_vm_that_was_paused(clock):
    view = registered_view()
    view.update_state(state(), 1)
    view.renew_lease(clock.time)
    assert view.primary_of("g") == "a"
    # The clock includes pauses, so the lease has ended when the VM resumes.
    clock.time += LEASE_S
    assert view.primary_of("g") is None
    view.renew_lease(clock.time)
    assert view.primary_of("g") == "a"


def test_lease_starts_when_the_read_is_sent(clock):
    view = registered_view()
    view.update_state(state(), 1)
    view.renew_lease(clock.time - 3.0)
    clock.time += LEASE_S - 3.0
    assert view.primary_of("g") is None
    # A late answer does not shorten a newer lease.
    view.renew_lease(clock.time)
    view.renew_lease(clock.time - 4.0)
    assert view.valid_until == clock.time + LEASE_S


def test_state_read_before_the_registration_gives_no_lease(clock):
    # A change of primary that began in between did not wait for this VM.
    view = PrimaryView()
    view.update_state(state(), 1)
    view.renew_lease(clock.time)
    assert view.primary_of("g") is None
    view.note_registered(clock.time + 1)
    view.renew_lease(clock.time)
    assert view.primary_of("g") is None
    clock.time += 1
    view.renew_lease(clock.time)
    assert view.primary_of("g") == "a"
    view.suspend()
    assert view.primary_of("g") is None


def test_changing_group_has_no_primary(clock):
    view = registered_view()
    view.renew_lease(clock.time)
    view.update_state(state(changing=True), 1)
    assert view.primary_of("g") is None
    assert view.named_primary("g") == "a"


def test_fence_holds_until_the_change_is_settled(clock):
    view = registered_view()
    view.renew_lease(clock.time)
    view.update_state(state(change=1), 1)
    view.fence("g", 2)
    assert view.primary_of("g") is None
    # Neither a state from before the change nor its start lifts the fence.
    view.update_state(state(change=1), 2)
    assert view.primary_of("g") is None
    view.update_state(state(change=2, changing=True), 3)
    assert view.primary_of("g") is None
    view.update_state(state("b", 2, change=2), 4)
    assert view.primary_of("g") == "b"


def test_late_fence_of_a_finished_change_is_ignored(clock):
    view = registered_view()
    view.renew_lease(clock.time)
    view.update_state(state("b", 2, change=2), 4)
    view.fence("g", 2)
    assert view.primary_of("g") == "b"


def test_older_state_is_ignored(clock):
    view = registered_view()
    view.renew_lease(clock.time)
    view.update_state(state("b", 2), 4)
    view.update_state(state("a", 1), 3)
    assert view.primary_of("g") == "b"


def test_positions_cover_the_commits_before_the_request():
    positions = GroupPositions()
    positions.observe(Position(1, 10), 5.0)
    positions.observe(Position(1, 20), 6.0)
    assert positions.covering(4.0) == Position(1, 10)
    assert positions.covering(5.5) == Position(1, 20)
    assert positions.covering(6.5) is None


def test_positions_of_an_earlier_term_are_dropped():
    # Commits of the old term may have been rolled back; then no replica has them.
    positions = GroupPositions()
    positions.observe(Position(1, 10), 5.0)
    positions.observe(Position(2, 8), 6.0)
    assert positions.covering(4.0) == Position(2, 8)
    positions.observe(Position(1, 11), 7.0)
    assert positions.covering(6.5) is None
    assert positions.clamp(Position(1, 10)) == Position(2, 8)
    assert positions.clamp(Position(2, 9)) == Position(2, 9)


def test_time_of_a_change_is_that_of_its_first_state(clock):
    # A leader that continues a change would otherwise wait for a whole lease again.
    view = registered_view()
    view.update_state(state(), 1)
    clock.time += 10.0
    view.update_state(state(changing=True, change=2), 2)
    began_at = clock.time
    clock.time += 3.0
    view.update_state(state(changing=True, change=2)._replace(leader="other"), 3)
    assert view.change_seen_at("g") == began_at
    view.update_state(state("b", 2, changing=True, change=3), 4)
    assert view.change_seen_at("g") == clock.time
