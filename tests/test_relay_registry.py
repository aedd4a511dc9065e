"""The list of VMs that must stop using a primary before it is replaced."""

import asyncio

import pytest

from citronwood.errors import PlatformUnavailableError, VersionConflictError
from citronwood.platform.api import Listing, VersionedObject
from citronwood.relay import registry as registry_module
from citronwood.relay import view as view_module
from citronwood.relay.registry import (
    ABSENT_AFTER_S,
    ABSENT_MARK_RETENTION_S,
    ABSENT_REMOVAL_DELAY_S,
    VM_KIND,
    Peer,
    VmRegistry,
    decode_peers,
    share_of_stronger,
)
from citronwood.relay.view import MAX_LAPSE_S, PrimaryView
from citronwood.tasks import cancel_tasks
from citronwood.versions import make_version
from tests.fleet_helpers import eventually
from tests.relay_standins import MemoryStore


class FakeLeadership:
    def __init__(self, view):
        self.is_leader = True
        self.has_leader_contact = False
        self.absent = []
        self._view = view

    async def change_absent_vms(self, change):
        state = self._view.state
        absent = change(dict(state.absent))
        self.absent.append(absent)
        self._view.state = state._replace(absent=absent)

    def read_soon(self):
        return


class FakeState:
    restored = False

    def __init__(self):
        self.absent = {}

    def _replace(self, absent):
        new = FakeState()
        new.absent = absent
        return new


class FakeView(PrimaryView):
    state = FakeState()


class LateStore:
    """Access to a store that loses the answers to writes and executes them later."""

    def __init__(self, store):
        self.loses_answers = False
        self._store = store
        self._late = []

    @property
    def has_late_writes(self):
        return bool(self._late)

    async def get(self, *arguments):
        return await self._store.get(*arguments)

    async def put(self, *arguments):
        return await self._write(self._store.put, arguments)

    async def delete(self, *arguments):
        return await self._write(self._store.delete, arguments)

    async def _write(self, call, arguments):
        if not self.loses_answers:
            return await call(*arguments)
        self._late.append((call, arguments))
        raise PlatformUnavailableError("no answer")

    async def execute_late_writes(self):
        """Execute the writes whose condition still holds."""
        assert self._late
        for call, arguments in self._late:
            try:
                await call(*arguments)
            except VersionConflictError:
                continue


class RegistryWorld:
    def __init__(self, monkeypatch):
        self.time = 100.0
        monkeypatch.setattr(registry_module, "now", lambda: self.time)
        monkeypatch.setattr(view_module, "now", lambda: self.time)
        monkeypatch.setattr(registry_module, "VM_LIST_INTERVAL_S", 0.01)
        monkeypatch.setattr(registry_module, "ABSENT_LIST_INTERVAL_S", 0.01)
        self.store = MemoryStore()
        self.view = FakeView()
        self.leadership = FakeLeadership(self.view)
        self.counts = []
        self.is_deputy = False
        self.registry = self.new_registry(self.store)

    def new_registry(self, store):
        """Return the registry of a process of this VM."""
        return VmRegistry(
            store,
            self.view,
            self.leadership,
            Peer("me", "tcp://me", "z1"),
            self.counts.append,
            self._on_registered,
            lambda: self.is_deputy,
        )

    def restore(self, copy):
        """Restore the store, and let this VM learn of it."""
        self.store.restore(copy)
        self.view.note_missing(make_version(self.store.generation, 0))

    def own_process(self):
        """Return the id in the entry of this VM; None without an entry."""
        stored = self.store.objects.get(VM_KIND, {}).get("me")
        return None if stored is None else stored.value["process"]

    async def _on_registered(self):
        return

    def add_entry(self, name, process=1):
        self.store.put_directly(
            VM_KIND, name, {"url": f"tcp://{name}", "process": process}
        )

    def run(self, scenario):
        async def run_with_list_updates():
            task = asyncio.create_task(self.registry.follow())
            try:
                await scenario()
            finally:
                await cancel_tasks([task])

        asyncio.run(run_with_list_updates())

    async def wait_for_reads(self, count=3):
        """Wait until the list was read ``count`` more times."""
        target = len(self.counts) + count
        await eventually(lambda: len(self.counts) >= target)


async def register(registry):
    """Register a VM and end its registration task, as at a planned stop."""
    task = asyncio.create_task(registry.register())
    await eventually(lambda: registry.is_registered)
    await cancel_tasks([task])


@pytest.fixture
def world(monkeypatch):
    return RegistryWorld(monkeypatch)


def test_silent_vm_is_marked_absent_and_removed_after_its_lease(world):
    async def scenario():
        world.add_entry("me")
        world.add_entry("heard")
        world.add_entry("silent")
        await world.wait_for_reads()
        world.time += ABSENT_AFTER_S + 0.1
        world.registry.note_report("heard", 1)
        await world.wait_for_reads()
        assert world.view.state.absent == {"silent": 1}
        assert "silent" in world.store.objects[VM_KIND]
        world.time += ABSENT_REMOVAL_DELAY_S + 0.1
        world.registry.note_report("heard", 1)
        await world.wait_for_reads()
        assert set(world.store.objects[VM_KIND]) == {"me", "heard"}
        # A VM that returns later than its removal has to learn of it.
        assert world.view.state.absent == {"silent": 1}
        world.time += ABSENT_MARK_RETENTION_S
        world.registry.note_report("heard", 1)
        await world.wait_for_reads()
        assert world.view.state.absent == {}

    world.run(scenario)


def test_vm_that_registered_again_keeps_its_entry(world):
    async def scenario():
        world.add_entry("back")
        await world.wait_for_reads()
        world.time += ABSENT_AFTER_S + 0.1
        await world.wait_for_reads()
        assert world.view.state.absent == {"back": 1}
        world.add_entry("back", process=2)
        world.registry.note_report("back", 1)
        world.time += ABSENT_REMOVAL_DELAY_S + 0.1
        world.registry.note_report("back", 1)
        await world.wait_for_reads()
        assert "back" in world.store.objects[VM_KIND]
        assert world.view.state.absent == {}

    world.run(scenario)


def test_missing_reports_count_from_the_start_of_leadership(world):
    # A VM that becomes leader again got no reports while another VM was the leader.
    async def scenario():
        world.add_entry("other")
        await world.wait_for_reads()
        world.leadership.is_leader = False
        world.leadership.has_leader_contact = True
        await asyncio.sleep(0.05)
        world.time += 60
        world.leadership.is_leader = True
        await world.wait_for_reads()
        assert world.leadership.absent == []
        assert "other" in world.store.objects[VM_KIND]

    world.run(scenario)


def test_vm_in_contact_with_the_leader_does_not_read_the_list(world):
    async def scenario():
        world.leadership.is_leader = False
        world.leadership.has_leader_contact = True
        await asyncio.sleep(0.05)
        assert world.store.calls == []

    world.run(scenario)


def test_first_entry_is_created_with_two_calls(world):
    async def scenario():
        task = asyncio.create_task(world.registry.register())
        await eventually(lambda: world.registry.is_registered)
        await cancel_tasks([task])
        assert world.store.calls == [("get", VM_KIND), ("put", VM_KIND)]

    world.leadership.is_leader = False
    world.leadership.has_leader_contact = True
    world.run(scenario)


def test_entry_of_an_earlier_process_is_replaced_with_one_update(world):
    # Hundreds of VMs register at the same time after a loss of power.
    async def scenario():
        world.add_entry("me", process=1)
        task = asyncio.create_task(world.registry.register())
        await eventually(lambda: world.registry.is_registered)
        await cancel_tasks([task])
        calls = [call for call in world.store.calls if call[0] == "put"]
        assert len(calls) == 1
        assert world.store.objects[VM_KIND]["me"].value["process"] != 1

    world.leadership.is_leader = False
    world.leadership.has_leader_contact = True
    world.run(scenario)


def test_late_removal_by_an_earlier_process_keeps_the_entry(world):
    # Guards against a change of primary that does not wait for this VM, because the
    # store executed the removal of its earlier process after it had registered.
    async def scenario():
        late_store = LateStore(world.store)
        earlier = world.new_registry(late_store)
        await register(earlier)
        late_store.loses_answers = True
        await earlier.unregister()
        await register(world.registry)
        process = world.own_process()
        await late_store.execute_late_writes()
        assert world.own_process() == process

    asyncio.run(scenario())


@pytest.mark.parametrize("has_entry", [False, True])
def test_late_registration_of_an_earlier_process_keeps_the_entry(world, has_entry):
    # Guards against a VM that does not notice that it was marked as absent, because its
    # entry has the id of an earlier process.
    async def scenario():
        if has_entry:
            world.add_entry("me")
        late_store = LateStore(world.store)
        late_store.loses_answers = True
        earlier = asyncio.create_task(world.new_registry(late_store).register())
        await eventually(lambda: late_store.has_late_writes)
        await cancel_tasks([earlier])
        await register(world.registry)
        process = world.own_process()
        await late_store.execute_late_writes()
        assert world.own_process() == process

    asyncio.run(scenario())


def test_registration_without_an_answer_is_removed_at_a_stop(world):
    # Guards against changes of primary that wait for the lease of a VM that has left.
    async def scenario():
        lossy_store = LateStore(world.store)
        lossy_store.loses_answers = True
        registry = world.new_registry(lossy_store)
        task = asyncio.create_task(registry.register())
        await eventually(lambda: lossy_store.has_late_writes)
        await cancel_tasks([task])
        await lossy_store.execute_late_writes()
        lossy_store.loses_answers = False
        await registry.unregister()
        assert world.own_process() is None

    asyncio.run(scenario())


def test_vm_that_returns_after_its_removal_registers_again(world):
    # Guards against a VM that uses primaries without being in the list of VMs after it
    # was cut off until its entry had been removed.
    async def scenario():
        task = asyncio.create_task(world.registry.register())
        await eventually(lambda: world.registry.is_registered)
        process = world.own_process()
        world.view.renew_lease(world.time)
        world.time += ABSENT_AFTER_S + ABSENT_REMOVAL_DELAY_S
        del world.store.objects[VM_KIND]["me"]
        world.view.state = world.view.state._replace(absent={"me": process})
        world.view.renew_lease(world.time)
        world.view._wake()
        await eventually(lambda: world.own_process() is not None)
        assert world.own_process() != process
        await cancel_tasks([task])

    asyncio.run(scenario())


def test_vm_without_a_lease_for_long_registers_again(world):
    # The mark of a removed entry is dropped after some time.
    async def scenario():
        task = asyncio.create_task(world.registry.register())
        await eventually(lambda: world.registry.is_registered)
        process = world.own_process()
        world.view.renew_lease(world.time)
        world.time = world.view.valid_until + MAX_LAPSE_S + 0.1
        del world.store.objects[VM_KIND]["me"]
        world.view.renew_lease(world.time)
        assert not world.view.is_valid
        await eventually(lambda: world.own_process() is not None)
        assert world.own_process() != process
        await cancel_tasks([task])

    asyncio.run(scenario())


def test_deputy_knows_the_vms_before_it_leads(world):
    # Guards against a new leader that does not know the VMs that it must notify.
    async def scenario():
        world.add_entry("me")
        world.add_entry("other")
        world.leadership.is_leader, world.leadership.has_leader_contact = False, True
        # The number of VMs comes from the leader, not from the list.
        await eventually(lambda: len(world.registry.vms) == 2)
        assert world.counts == []

    world.is_deputy = True
    world.run(scenario)


def test_vm_in_contact_with_the_leader_reads_at_most_once(world):
    async def scenario():
        calls = len(world.store.calls)
        world.leadership.is_leader, world.leadership.has_leader_contact = False, True
        await asyncio.sleep(0.05)
        assert len(world.store.calls) <= calls + 1

    world.run(scenario)


def test_share_of_stronger_vms():
    peers = decode_peers(
        Listing(
            {
                "weak": VersionedObject({"url": "u1", "processors": 0.5}, 1),
                "strong": VersionedObject({"url": "u2", "processors": 2}, 2),
                "malformed": VersionedObject({"processors": "many"}, 3),
            },
            3,
        )
    )
    assert share_of_stronger(peers, "weak") == pytest.approx(2 / 3)
    assert share_of_stronger(peers, "strong") == 0
    assert share_of_stronger(peers, "unknown") == 0


@pytest.mark.parametrize("is_in_copy", [True, False])
def test_vm_registers_again_in_a_restored_store_and_keeps_its_lease(world, is_in_copy):
    # Guards against a change of primary that does not wait for this VM, and against
    # callers that are refused because of a restore.
    async def scenario():
        empty = world.store.copy()
        task = asyncio.create_task(world.registry.register())
        await eventually(lambda: world.registry.is_registered)
        process = world.own_process()
        world.view.renew_lease(world.time)
        lease_end = world.view.valid_until
        assert world.view.is_valid
        world.restore(world.store.copy() if is_in_copy else empty)
        assert world.view.is_registration_lost
        await eventually(lambda: not world.view.is_registration_lost)
        assert world.own_process() not in (None, process)
        assert world.view.is_registered and world.view.valid_until == lease_end
        await cancel_tasks([task])

    asyncio.run(scenario())


@pytest.mark.parametrize("is_known", [True, False])
@pytest.mark.parametrize("later_process", [None, 99])
def test_stop_in_a_restored_store_removes_only_the_entry_of_the_process(
    world, later_process, is_known
):
    # Guards against a list without a VM that uses primaries, or with one that has left.
    async def scenario():
        await register(world.registry)
        restore = world.restore if is_known else world.store.restore
        restore(world.store.copy())
        if later_process is not None:
            world.add_entry("me", later_process)
        await world.registry.unregister()
        assert world.own_process() == later_process

    asyncio.run(scenario())


def test_vms_are_not_counted_in_a_store_whose_restore_is_not_known(world):
    # Guards against limits that are divided by the few VMs which have registered again.
    async def scenario():
        world.add_entry("me")
        world.add_entry("other")
        await world.wait_for_reads()
        world.store.restore(world.store.copy()._replace(objects={}))
        calls = len(world.store.calls)
        await eventually(lambda: len(world.store.calls) >= calls + 3)
        assert {*world.counts} == {2}
        world.view.note_missing(make_version(1, 0))
        await world.wait_for_reads()
        assert world.counts[-1] == 1

    world.run(scenario)
