"""The lease that lets a VM use a primary, and positions that bound the age of reads."""

import pytest

from citronwood.relay import view as view_module
from citronwood.relay.model import Position
from citronwood.relay.positions import GroupPositions
from citronwood.relay.view import LEASE_S, FleetState, GroupState, PrimaryView
from citronwood.versions import make_version


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


def state(primary="a", term=1, changing=False, change=1, generation=0):
    group = GroupState(primary, term, changing, make_version(generation, change))
    edition = make_version(generation, 1)
    return FleetState(edition, "vm", "", 1, 1, "", "", {"g": group}, {})


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


# First version of a store that was restored once.
RESTORED = make_version(1, 1)


def register(view, clock, generation):
    """Register a VM, which then reads the state."""
    view.note_registered(clock.time, generation)
    view.renew_lease(clock.time)


def test_state_of_a_copy_is_not_used(clock):
    # Guards against a primary that was replaced in the lost seconds.
    view, new_process = registered_view(), PrimaryView()
    view.update_state(state("b", 2, change=2), 5)
    view.renew_lease(clock.time)
    lease_end = view.valid_until
    clock.time += 1.0
    for each in (view, new_process):
        each.update_state(state("a", 1), RESTORED)
        each.renew_lease(clock.time)
    assert (view.primary_of("g"), view.valid_until) == ("b", lease_end)
    for each in (view, new_process):
        register(each, clock, 1)
    assert (view.primary_of("g"), view.valid_until) == ("b", lease_end)
    assert not new_process.is_valid
    assert (new_process.state, new_process.newest_knowledge) == (None, state("a", 1))
    view.update_state(state("c", 3, generation=1), RESTORED + 1)
    view.renew_lease(clock.time)
    assert (view.primary_of("g"), view.valid_until) == ("c", lease_end + 1.0)


@pytest.mark.parametrize("generation", [0, 2])
def test_registration_of_another_generation_gives_no_lease(clock, generation):
    # Guards against a change of primary in a store whose list of VMs lacks this one.
    view = PrimaryView()
    view.update_state(state(generation=1), RESTORED)
    register(view, clock, generation)
    assert not view.is_valid
    assert view.is_registration_lost == (generation == 0)
    register(view, clock, 1)
    assert view.primary_of("g") == "a"


def test_missing_state_neither_replaces_the_known_one_nor_gives_a_lease(clock):
    view = registered_view()
    view.update_state(state(), 5)
    view.note_missing(make_version(1, 0))
    view.note_missing(make_version(0, 9))
    view.renew_lease(clock.time)
    assert (view.state, view.version) == (state(), make_version(1, 0))
    assert not view.is_valid and not view.is_current


def test_order_to_block_from_before_a_restore_is_ignored_after_it(clock):
    # Guards against a group that stays blocked, because its change has a high revision.
    view = registered_view()
    view.fence("g", 900)
    view.update_state(state("b", 2, generation=1), RESTORED)
    register(view, clock, 1)
    view.fence("g", 900)
    assert view.primary_of("g") == "b"


def test_newest_primary_is_kept_beside_an_older_one_in_the_restored_store(clock):
    # Guards against a change of primary that no VM remembers.
    view = registered_view()
    view.update_state(state("b", 2), 5)
    view.update_state(state("a", 1, changing=True, generation=1), RESTORED)
    assert view.named_primary("g") == "a"
    newest = view.newest_group("g")
    assert (newest.term, newest.primary) == (2, "b")
    assert view.newest_group("other") is None
