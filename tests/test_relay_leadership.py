"""Only one VM is the leader at a time, and each leader has its own fencing token."""

import asyncio
import json

import pytest

from citronwood.errors import (
    PlatformUnavailableError,
    StoreRestoredError,
    VersionConflictError,
)
from citronwood.relay import leadership as leadership_module
from citronwood.relay import view as view_module
from citronwood.relay.holders import Holder
from citronwood.relay.leadership import (
    LEADER_LEASE_S,
    RESTORED_TAKEOVER_TIMEOUT_S,
    STATE_KIND,
    STATE_NAME,
    TAKEOVER_TIMEOUT_S,
    Leadership,
    NotLeaderError,
)
from citronwood.relay.model import Position
from citronwood.relay.state_records import decode_state, encode_state
from citronwood.relay.view import (
    LEASE_MARGIN_S,
    LEASE_S,
    GroupState,
    PrimaryView,
)
from citronwood.versions import make_version
from tests.relay_standins import MemoryStore


class Vm:
    def __init__(self, store, name, process=1, is_first_start=True):
        self.view = PrimaryView()
        # The time at which the clock of these tests starts.
        self.view.note_registered(1000.0)
        self.written = []
        self.leadership = Leadership(
            store,
            self.view,
            name,
            process,
            f"tcp://{name}",
            self._record_write,
            is_first_start=is_first_start,
        )

    @property
    def leads(self):
        return self.leadership.is_leader

    def _record_write(self, state, version):
        self.written.append(state)

    async def step(self):
        try:
            await self.leadership._step()
        except (VersionConflictError, NotLeaderError, PlatformUnavailableError):
            return


@pytest.fixture
def clock(monkeypatch):
    time = [1000.0]
    monkeypatch.setattr(leadership_module, "now", lambda: time[0])
    monkeypatch.setattr(view_module, "now", lambda: time[0])
    monkeypatch.setattr(leadership_module, "MAX_TAKEOVER_JITTER_S", 0.0)
    return time


def test_first_vm_leads_and_others_follow(clock):
    async def scenario():
        store = MemoryStore()
        first, second = Vm(store, "a"), Vm(store, "b")
        await asyncio.gather(first.step(), second.step())
        await second.step()
        await first.step()
        leaders = [vm for vm in (first, second) if vm.leadership.is_leader]
        assert len(leaders) == 1
        assert first.view.state.leader == second.view.state.leader

    asyncio.run(scenario())


def test_takeover_starts_only_after_the_lease_of_the_old_leader(clock):
    async def scenario():
        store = MemoryStore()
        first, second = Vm(store, "a"), Vm(store, "b")
        await first.step()
        await second.step()
        first_fence = first.view.state.fence
        clock[0] += TAKEOVER_TIMEOUT_S - 0.1
        await second.step()
        assert not second.leadership.is_leader
        assert not first.leadership.is_leader
        clock[0] += 0.2
        await second.step()
        assert second.leadership.is_leader
        version = store.version
        await first.step()
        assert not first.leadership.is_leader
        assert store.version == version
        assert first.view.state.fence == second.view.state.fence > first_fence

    asyncio.run(scenario())
    assert LEADER_LEASE_S < TAKEOVER_TIMEOUT_S


def test_takeover_by_another_vm_during_the_delay_is_kept(clock, monkeypatch):
    # Guards against a VM that receives the state of another VM's takeover during the
    # random delay before its own, and overwrites it with the same fencing token.
    async def scenario():
        store = MemoryStore()
        first, second, third = Vm(store, "a"), Vm(store, "b"), Vm(store, "c")
        await first.step()
        await second.step()
        await third.step()
        clock[0] += TAKEOVER_TIMEOUT_S + 1

        async def take_over_meanwhile(_):
            monkeypatch.setattr(leadership_module.asyncio, "sleep", original_sleep)
            await third.step()
            second.view.update_state(third.view.state, third.view.version)

        original_sleep = asyncio.sleep
        monkeypatch.setattr(leadership_module.asyncio, "sleep", take_over_meanwhile)
        await second.step()
        assert third.leadership.is_leader
        assert not second.leadership.is_leader
        assert second.view.state.leader == "c"

    asyncio.run(scenario())


def test_lost_answer_to_a_renewal_does_not_extend_leadership(clock):
    async def scenario():
        store = MemoryStore()
        vm = Vm(store, "a")
        await vm.step()
        clock[0] += 1.0
        lease_end = vm.leadership.lease_until
        store.answers_to_lose = 1
        await vm.step()
        assert vm.leadership.lease_until == lease_end
        await vm.step()
        assert vm.leadership.lease_until == clock[0] + LEADER_LEASE_S

    asyncio.run(scenario())


def test_change_of_a_former_leader_is_refused(clock):
    async def scenario():
        store = MemoryStore()
        first, second = Vm(store, "a"), Vm(store, "b")
        await first.step()
        await second.step()
        clock[0] += TAKEOVER_TIMEOUT_S + 1
        await second.step()
        group = GroupState("x", 1, False, 1)
        with pytest.raises(NotLeaderError):
            await first.leadership.change_groups(lambda old: {**old, "g": group})
        await second.leadership.change_groups(lambda old: {**old, "g": group})
        assert second.view.state.groups == {"g": group}

    asyncio.run(scenario())


def test_resigned_leader_is_replaced_at_once(clock):
    async def scenario():
        store = MemoryStore()
        first, second = Vm(store, "a"), Vm(store, "b")
        await first.step()
        await second.step()
        await first.leadership.resign()
        assert not first.leadership.is_leader
        await second.step()
        assert second.leadership.is_leader

    asyncio.run(scenario())


def test_answer_of_the_leader_renews_only_a_known_state(clock):
    async def scenario():
        store = MemoryStore()
        first, second = Vm(store, "a"), Vm(store, "b")
        await first.step()
        await second.step()
        edition, version = first.view.state.edition, first.view.version
        clock[0] += 2.0
        second.leadership.confirm_state(clock[0], version, edition)
        assert second.leadership.has_leader_contact
        assert second.view.valid_until == clock[0] + view_module.LEASE_S
        clock[0] += 2.0
        second.leadership.confirm_state(clock[0], version + 1, edition + 1)
        assert not second.leadership.has_leader_contact
        assert second.view.valid_until == clock[0] - 2.0 + view_module.LEASE_S

    asyncio.run(scenario())


def test_state_survives_encoding(clock):
    async def scenario():
        store = MemoryStore()
        vm = Vm(store, "a")
        await vm.step()
        holders = {"x": Holder(7, Position(1, 2)), "y": Holder(8, Position(0, 0))}
        group = GroupState(
            "x", 1, True, 3, holders, Position(1, 0), Position(1, 2), uncertain=True
        )
        plain = GroupState("z", 1, False, 1)
        await vm.leadership.change_groups(lambda old: {"g": group, "h": plain})
        assert decode_state(encode_state(vm.view.state)) == vm.view.state
        other = Vm(store, "b")
        await other.step()
        assert other.view.state == vm.view.state

    asyncio.run(scenario())


def test_renewals_store_the_positions_of_holders(clock):
    # Guards against a new leader that cannot tell that a server has lost its log.
    async def scenario():
        store = MemoryStore()
        vm = Vm(store, "a")
        await vm.step()
        holders = {"x": Holder(7, Position(1, 2))}
        group = GroupState("x", 1, False, 1, holders, Position(1, 0))
        await vm.leadership.change_groups(lambda old: {"g": group})
        edition = vm.view.state.edition
        newer = {"x": Holder(7, Position(1, 9))}
        vm.view.update_holders("g", newer)
        await vm.step()
        other = Vm(store, "b")
        await other.step()
        assert other.view.state.groups["g"].holders == newer
        assert other.view.state.edition == edition

    asyncio.run(scenario())


def test_resigning_leader_does_not_act_beside_its_successor(restored):
    # Guards against two holders of one token: the successor takes over as soon as the
    # resignation is executed, while its answer is on its way.
    async def scenario():
        first, second = await restored.start("b")
        put = restored.store.put

        async def put_and_be_replaced(*arguments):
            written = await put(*arguments)
            restored.store.put = put
            assert restored.stored.leader == "" and not first.leads
            await second.step()
            assert second.leads
            first.view.update_state(second.view.state, second.view.version)
            assert not first.leads
            assert first.leadership.fence != second.leadership.fence
            return written

        restored.store.put = put_and_be_replaced
        await first.leadership.resign()
        assert restored.store.put == put and not first.leads

    asyncio.run(scenario())


class RestoredFleet:
    """VMs before a store that is restored; VM a leads first."""

    def __init__(self, clock):
        self.clock = clock
        self.store = MemoryStore()
        self.empty = self.store.copy()

    @property
    def stored(self):
        """The state in the store."""
        value = self.store.objects[STATE_KIND][STATE_NAME].value
        return decode_state(json.dumps(value))

    async def add(self, name):
        vm = Vm(self.store, name)
        await vm.step()
        return vm

    async def set_primary(self, vm, server, term=1):
        """Record a server as primary of the group g."""
        group = GroupState(server, term, False, vm.view.version + 1)
        await vm.leadership.change_groups(lambda old: {**old, "g": group})

    async def start(self, *others):
        """Return VM a, which leads, and others that know the state."""
        leader = await self.add("a")
        assert leader.leads and not self.stored.restored
        await self.set_primary(leader, "x")
        return [leader, *[await self.add(name) for name in others]]

    async def take_over(self, vm):
        """Let a VM take over at the first time at which it may."""
        await vm.step()
        self.clock[0] += TAKEOVER_TIMEOUT_S + 0.1
        await vm.step()
        assert vm.leads


@pytest.fixture
def restored(clock):
    return RestoredFleet(clock)


@pytest.mark.parametrize("has_state", [True, False])
@pytest.mark.parametrize("restores", [1, 2])
def test_living_leader_leads_on_after_a_restore(restored, has_state, restores):
    # Guards against seconds without a leader, its lost changes, and a promotion with
    # its former token that arrives after one with a new.
    async def scenario():
        leader, other = await restored.start("b")
        copy = restored.store.copy() if has_state else restored.empty
        await restored.set_primary(leader, "y")
        before = leader.view.state
        for _ in range(restores):
            restored.store.restore(copy)
        restored.clock[0] += LEADER_LEASE_S - 0.1
        start_call, was_leading = restored.store._start_call, []

        def note_leadership(*arguments):
            was_leading.append(leader.leads)
            start_call(*arguments)

        restored.store._start_call = note_leadership
        await leader.step()
        assert was_leading and all(was_leading) and leader.leads
        assert leader.view.is_current and restored.stored.restored
        assert leader.leadership.fence == restored.stored.fence == before.fence
        assert restored.stored.edition > before.edition
        assert restored.stored.groups == before.groups
        assert restored.stored.secret == before.secret
        assert leader.written[-1] == restored.stored
        await other.step()
        assert not other.leads
        assert other.view.state == leader.view.state

    asyncio.run(scenario())


CASES = ["unknown", "ended", "known", "resigned", "itself", "leader", "missing"]


@pytest.mark.parametrize("case", CASES)
def test_copy_is_taken_over_only_after_the_leases_of_lost_leaders(restored, case):
    # Guards against two leaders: the copy does not name the leader of the lost seconds,
    # and another VM may have written the state since the lease of its leader has ended.
    async def scenario():
        leader, known = await restored.start("b")
        if case == "resigned":
            await leader.leadership.resign()
        is_missing = case == "missing"
        restored.store.restore(restored.empty if is_missing else restored.store.copy())
        restored.clock[0] += LEADER_LEASE_S if case == "leader" else 100.0
        vm = {"known": known, "leader": leader}.get(case)
        if case == "itself":
            vm = Vm(restored.store, "a", process=2)
        elif vm is None:
            vm = Vm(restored.store, "c", is_first_start=False)
        if case in ("ended", "known"):
            vm.leadership.note_leader_ended("a", 1)
        version = restored.store.version
        await vm.step()
        timeout_s = TAKEOVER_TIMEOUT_S if is_missing else RESTORED_TAKEOVER_TIMEOUT_S
        restored.clock[0] += timeout_s - 0.1
        await vm.step()
        assert not vm.leads and restored.store.version == version
        restored.clock[0] += 0.2
        await vm.step()
        assert vm.leads and restored.stored.restored
        assert restored.stored.fence > leader.written[0].fence
        assert is_missing or restored.stored.groups["g"].uncertain

    asyncio.run(scenario())


@pytest.mark.parametrize("newest_in", ["memory", "copy"])
def test_take_over_from_a_copy_uses_the_newest_primary_after_a_check(
    restored, newest_in
):
    # Guards against the use of a primary that was replaced in the lost seconds.
    async def scenario():
        leader, other = await restored.start("b")
        copy = restored.store.copy()
        await restored.set_primary(leader, "y", 2)
        if newest_in == "memory":
            await other.step()
        else:
            copy = restored.store.copy()
        restored.store.restore(copy)
        await other.step()
        assert not other.view.is_current
        known = other.view.state.groups["g"].primary
        assert known == ("y" if newest_in == "memory" else "x")
        await restored.take_over(other)
        group = restored.stored.groups["g"]
        assert (group.primary, group.changing, group.uncertain) == ("y", True, True)
        assert group.change > leader.view.state.groups["g"].change

    asyncio.run(scenario())


@pytest.mark.parametrize("has_late_update", [True, False])
def test_numbers_of_leaders_and_changes_are_not_used_again(restored, has_late_update):
    # Guards against a fencing token with two holders, after one restore or several.
    async def scenario():
        (leader,) = await restored.start()
        copy = restored.store.copy()
        written = list(leader.written)
        for generation in range(3):
            for name in ("b", "c"):
                vm = await restored.add(f"{name}{generation}")
                await restored.take_over(vm)
                await restored.set_primary(vm, name, 2)
                written += vm.written
            late = json.loads(encode_state(vm.view.state))
            restored.store.restore(copy)
            if has_late_update:
                restored.store.put_directly(STATE_KIND, STATE_NAME, late)
        editions = [state.edition for state in written]
        assert editions == sorted({*editions})
        leaders = {(each.fence, each.leader) for each in written}
        assert len(leaders) == len({fence for fence, _ in leaders}) == 7
        changes = [each.groups["g"].change for each in written if each.groups]
        assert changes == sorted(changes)

    asyncio.run(scenario())


def test_late_update_from_before_a_restore_is_not_believed(restored):
    # Guards against a former primary that a late update of its leader names again, and
    # a lease on or a take-over from its content: the revision in the condition of that
    # update was given out again.
    async def scenario():
        leader, other = await restored.start("b")
        late = json.loads(encode_state(leader.view.state))
        restored.store.restore(restored.store.copy())
        await leader.step()
        other.view.note_registered(restored.clock[0], 1)
        await restored.set_primary(leader, "y", 2)
        await other.step()
        lease_end = other.view.valid_until
        assert lease_end == restored.clock[0] + LEASE_S
        restored.store.put_directly(STATE_KIND, STATE_NAME, late)
        restored.clock[0] += 1.0
        other.leadership.note_leader_ended("a", 1)
        await other.step()
        assert other.view.named_primary("g") == "y"
        assert other.view.valid_until == lease_end and not other.leads
        await leader.step()
        assert leader.leads and leader.view.is_current
        assert restored.stored.groups["g"].primary == "y"
        restored.store.put_directly(STATE_KIND, STATE_NAME, late)
        await restored.take_over(other)
        assert restored.stored.groups["g"].uncertain

    asyncio.run(scenario())


def test_write_acknowledged_before_a_restore_that_is_known_is_refused(restored):
    # Guards against a change of primary that is carried out but recorded nowhere.
    async def scenario():
        (leader,) = await restored.start()
        put = restored.store.put

        async def put_before_a_restore(*arguments):
            written = await put(*arguments)
            leader.view.note_missing(make_version(1, 0))
            return written

        restored.store.put = put_before_a_restore
        before, lease_end = leader.view.state, leader.leadership.lease_until
        restored.clock[0] += 1.0
        for error in (StoreRestoredError, NotLeaderError):
            with pytest.raises(error):
                await restored.set_primary(leader, "y", 2)
            assert leader.view.state == before
            assert leader.leadership.lease_until == lease_end

    asyncio.run(scenario())


@pytest.mark.parametrize("lost_answers", [0, 1])
def test_mark_of_a_restore_outlasts_the_leases_from_before(restored, lost_answers):
    # Guards against a change of primary that does not wait for VMs in no list, also if
    # the leader counts from its first take-over because an answer was lost.
    async def scenario():
        (leader,) = await restored.start()
        restored.clock[0] += 60.0
        await leader.step()
        restored.store.restore(restored.store.copy())
        restored.store.answers_to_lose = lost_answers
        while not leader.view.is_current or not restored.stored.restored:
            await leader.step()
        since, edition = restored.clock[0], restored.stored.edition
        lease_s = LEASE_S + LEASE_MARGIN_S
        for after_s in (0.0, 1.0, 2.0, 3.0, 4.0, lease_s - 0.1, lease_s + 0.1):
            restored.clock[0] = since + after_s
            await leader.step()
            assert restored.stored.restored == (after_s < lease_s)
        assert restored.stored.edition > edition

    asyncio.run(scenario())


@pytest.mark.parametrize("is_known", [True, False])
def test_living_leader_does_not_replace_another_one(restored, is_known):
    # Guards against two leaders if one leads in the restored store already, and a lease
    # that outlasts a take-over which did not wait for its end.
    async def scenario():
        (leader,) = await restored.start()
        restored.store.restore(restored.empty)
        other = await restored.add("b")
        assert other.leads
        if is_known:
            leader.view.update_state(other.view.state, other.view.version)
            assert not leader.leads
        for _ in range(2):
            await leader.step()
            assert not leader.leads
        assert restored.stored.leader == leader.view.state.leader == "b"

    asyncio.run(scenario())
