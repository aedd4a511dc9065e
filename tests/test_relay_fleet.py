"""Relay VMs over real connections, with stand-ins for the store and the servers."""

import asyncio
from contextlib import asynccontextmanager
from types import MappingProxyType

import pytest

from citronwood.errors import DeadlineExceededError, PlatformUnavailableError
from citronwood.inner.rpc import Caller as Sender
from citronwood.logs import JsonFormatter
from citronwood.metrics import Metrics
from citronwood.operator.diagnosis import diagnose_request, parse_decision_lines
from citronwood.platform.callers import CallerListener
from citronwood.platform.nodefile import Address
from citronwood.platform.process import FEED_KINDS
from citronwood.platform.wire import connect
from citronwood.relay import node as node_module
from citronwood.relay import registry as registry_module
from citronwood.relay.clock import now
from citronwood.relay.messages import FenceGroup, ReportToLeader
from citronwood.relay.node import RelayNode, RelayOptions
from citronwood.relay.statement import Reason, Statement, TransactionState, Verb
from citronwood.relay.view import LEASE_S, FleetState
from tests.fleet_helpers import eventually
from tests.processes import reserve_port
from tests.relay_standins import (
    Caller,
    Group,
    MemoryStore,
    StoreAccess,
    configuration,
)

LEADER = Sender("leader", 1, "tcp://leader", 0.0)


class Vm:
    def __init__(self, name, store, group, **relay_options):
        self.port = reserve_port()
        self.node = RelayNode(
            RelayOptions(name, "z1", "127.0.0.1", reserve_port(), **relay_options),
            store,
            FEED_KINDS,
            connect,
            group.promote,
            Metrics(),
        )
        self.listener = CallerListener(
            self.node, Address("127.0.0.1", self.port), Metrics()
        )

    def use_store(self, store):
        node = self.node
        for component in (node._feeds, node._leadership, node._registry):
            component._store = store

    def cut_off(self, other):
        """Let all calls of this VM to another one time out."""
        rpc, url = self.node._rpc, other.node._url
        call = rpc.call

        async def call_unless_cut_off(target, *arguments):
            if target == url:
                raise DeadlineExceededError("cut off")
            return await call(target, *arguments)

        rpc.call = call_unless_cut_off

    async def start(self):
        await self.node.start()
        await self.listener.start()
        await eventually(lambda: self.node.is_ready, 20.0)


@asynccontextmanager
async def fleet(count=2, zones=("z1",), relay_options=MappingProxyType({}), **options):
    store = MemoryStore()
    store.put_directly("config", "main", configuration(**options))
    async with Group("orders", zones=zones) as group:
        group.register(store)
        vms = [
            Vm(f"vm{number}", store, group, **relay_options) for number in range(count)
        ]
        await asyncio.gather(*(vm.start() for vm in vms))
        await eventually(lambda: all(primary(vm) for vm in vms), 20.0)
        try:
            yield vms, store, group
        finally:
            for vm in vms:
                await vm.listener.stop(0.0)
                await vm.node.close()


def primary(vm):
    return vm.node._view.primary_of("orders")


async def eventually_asked_again(server, count):
    """Wait until the relay has asked a server for its status this many times more."""

    def status_requests():
        return sum(text == "STATUS" for _, text in server.statements)

    target = status_requests() + count
    await eventually(lambda: status_requests() >= target, 15.0)


def run(scenario, **options):
    async def with_fleet():
        async with fleet(**options) as (vms, store, group):
            await scenario(vms, store, group)

    asyncio.run(with_fleet())


def test_write_through_one_vm_is_read_through_another():
    async def scenario(vms, store, group):
        first = await Caller.connect(vms[0].port)
        lines, state = await first.execute("WRITE x 1")
        assert lines[-1].startswith("DONE orders-0.")
        assert state == "I"
        second = await Caller.connect(vms[1].port)
        lines, _ = await second.execute("READ x")
        assert lines[0] == "ROW 1"

    run(scenario)


def test_replica_that_is_behind_is_not_read():
    async def scenario(vms, store, group):
        for server in group.servers[1:]:
            server.is_behind = True
        caller = await Caller.connect(vms[0].port)
        await caller.execute("WRITE x 1")
        lines, _ = await caller.execute("READ x")
        assert lines[0] == "ROW 1"
        # The read is sent with the position that the replica must have reached.
        await asyncio.sleep(0.15)
        await caller.execute("READ x")
        sent = [text for member in group.servers[1:] for _, text in member.statements]
        assert any(text.startswith("AFTER 1.1 READ x") for text in sent)

    run(scenario)


def test_account_is_sent_to_servers_but_the_key_is_not():
    async def scenario(vms, store, group):
        caller = await Caller.connect(vms[0].port)
        await caller.execute("WRITE x 1")
        accounts = {name for member in group.servers for name in member.accounts}
        assert accounts <= {"acme", "-"}

    run(scenario)


def test_lost_answer_to_a_write_is_an_unknown_outcome():
    async def scenario(vms, store, group):
        caller = await Caller.connect(vms[0].port)
        await caller.execute("WRITE x 1")
        group.servers[0].answers_to_lose = 1
        lines, state = await caller.execute("WRITE x 2")
        assert lines[0].startswith("ERROR UNKNOWN")
        assert state == "I"
        # The write was not retried.
        assert group.writes == [("x", "1"), ("x", "2")]

    run(scenario)


def test_read_whose_answer_was_lost_is_retried():
    async def scenario(vms, store, group):
        caller = await Caller.connect(vms[0].port)
        await caller.execute("WRITE x 1")
        for server in group.servers:
            server.answers_to_lose = 1
        lines, _ = await caller.execute("READ x")
        assert lines[0] == "ROW 1"

    run(scenario)


@pytest.mark.parametrize(
    ("setting", "begin", "expected"),
    [
        # Another attempt succeeds, on another connection.
        ("SET color red", "", "DONE orders-0."),
        ("SET color red", "BEGIN", "DONE orders-0."),
        ("PREPARE s1 READ q", "", "DONE orders-0."),
        # The transaction had begun, and ends with its connection.
        ("PREPARE s1 READ q", "BEGIN", "ERROR ABORTED"),
    ],
)
def test_setting_that_ran_and_failed_does_not_reach_another_session(
    setting, begin, expected
):
    # Guards against a connection that goes back to its pool with the variables of a
    # session, because the server changed them and answered with a failure.
    async def scenario(vms, store, group):
        server = group.servers[0]
        first = await Caller.connect(vms[0].port)
        await first.execute(setting)
        server.settings_to_fail = 1
        if begin:
            await first.execute(begin)
        text = "EXECUTE s1 x" if setting.startswith("PREPARE") else "READ x"
        lines, state = await first.execute(text)
        assert server.settings_to_fail == 0
        if state != "I":
            assert (await first.execute("ROLLBACK"))[1] == "I"
        second = await Caller.connect(vms[0].port)
        await second.execute("WRITE y 1")
        request_id, _ = next(
            statement for statement in server.statements if statement[1] == "WRITE y 1"
        )
        assert server.variables[request_id] == {}
        assert lines[-1].startswith(expected)

    run(scenario, kind="primary", count=1)


def test_aborted_transaction_does_not_begin_later():
    # Guards against transactions that a stopping VM or the idle timeout has aborted
    # before their first statement, and which then run after all.
    async def scenario(vms, store, group):
        node = vms[0].node
        session = node.open_session("shop", "key-1")
        await session.handle(Statement("r1", Verb.BEGIN, "BEGIN"), node.rules)
        session.abort_transaction()
        write = Statement("r2", Verb.WRITE, "WRITE x 1")
        answer = await session.handle(write, node.rules)
        assert answer.failure.reason is Reason.ABORTED
        assert answer.state is TransactionState.FAILED
        assert group.writes == []
        await session.close()

    run(scenario)


def test_transaction_lost_before_its_commit_is_aborted():
    async def scenario(vms, store, group):
        caller = await Caller.connect(vms[0].port)
        assert await caller.execute("BEGIN") == (["DONE -"], "T")
        await caller.execute("WRITE x 1")
        group.servers[0].answers_to_lose = 1
        lines, state = await caller.execute("WRITE y 1")
        assert lines[0].startswith("ERROR ABORTED")
        assert state == "E"
        lines, state = await caller.execute("READ x")
        assert lines[0].startswith("ERROR MALFORMED")
        assert state == "E"
        assert await caller.execute("ROLLBACK") == (["DONE -"], "I")
        assert group.writes == []

    run(scenario)


def test_lost_answer_to_a_commit_is_an_unknown_outcome():
    async def scenario(vms, store, group):
        caller = await Caller.connect(vms[0].port)
        await caller.execute("BEGIN")
        await caller.execute("WRITE x 1")
        group.servers[0].answers_to_lose = 1
        lines, state = await caller.execute("COMMIT")
        assert lines[0].startswith("ERROR UNKNOWN")
        assert state == "I"

    run(scenario)


def test_session_variables_and_prepared_names_do_not_leak():
    async def scenario(vms, store, group):
        first = await Caller.connect(vms[0].port)
        second = await Caller.connect(vms[0].port)
        await first.execute("SET zone a")
        await first.execute("PREPARE s1 WRITE q1")
        await second.execute("PREPARE s1 READ q2")
        lines, _ = await first.execute("EXECUTE s1 x 5")
        assert lines[0].startswith("DONE orders-0")
        lines, _ = await second.execute("EXECUTE s1 x")
        assert lines[0] == "ROW 5"
        lines, _ = await second.execute("EXECUTE s2 x")
        assert lines[0].startswith("ERROR NOSTMT")
        texts = [text for _, text in group.servers[0].statements]
        # The variable was set before the first session's statement.
        write = next(i for i, text in enumerate(texts) if text.startswith("EXECUTE"))
        assert "SET zone a" in texts[:write]

    run(scenario)


@pytest.mark.parametrize(
    ("database", "key", "code"),
    [("none", "key-1", "NODB"), ("shop", "stolen", "NOAUTH"), ("shop", "", "NOAUTH")],
)
def test_unknown_callers_are_refused(database, key, code):
    async def scenario(vms, store, group):
        with pytest.raises(ConnectionRefusedError, match=code):
            await Caller.connect(vms[0].port, database, key)

    run(scenario)


def test_withdrawn_key_stops_open_sessions():
    async def scenario(vms, store, group):
        caller = await Caller.connect(vms[0].port)
        await caller.execute("WRITE x 1")
        store.put_directly("config", "main", configuration(version=2, keys=["key-2"]))
        await eventually(lambda: all(vm.node.rules.version == 2 for vm in vms), 10.0)
        lines, _ = await caller.execute("READ x")
        assert lines[0].startswith("ERROR NOAUTH")

    run(scenario)


def test_older_configuration_of_a_copy_is_not_put_in_force():
    # Guards against a withdrawn key that is in use again after a restore.
    async def scenario():
        store = MemoryStore()
        node = Vm("vm0", store, Group("orders")).node
        feeds = {each.kind: each for each in node._feeds._feeds.values()}
        copy = store.copy()
        for version, expected in [(1, 1), (2, 2), (1, 2), (3, 3)]:
            if version < expected:
                store.restore(copy)
            store.put_directly("config", "main", configuration(version))
            await feeds["config"].poll(store, 0.0)
            assert node.rules.version == expected

    asyncio.run(scenario())


def test_limits_are_not_divided_by_fewer_vms_until_all_are_listed_again():
    # Guards against rates and connections beyond their limits after a restore.
    node = Vm("vm0", MemoryStore(), Group("orders")).node
    cases = [(True, 9, 9), (True, 2, 9), (False, 8, 8)]
    for version, (restored, listed, expected) in enumerate(cases, 1):
        state = FleetState(1, "vm1", "", 1, 1, "", "", {}, {}, restored)
        node._view.update_state(state, version)
        node._set_vm_count(listed)
        assert node._vm_count == expected


@pytest.mark.realtime
def test_vm_reads_the_configuration_when_the_leader_cannot():
    # Guards against VMs that wait for the leader's copy while the store refuses the
    # leader alone.
    async def scenario(vms, store, group):
        leader = next(vm for vm in vms if vm.node._leadership.is_leader)
        other = next(vm for vm in vms if vm is not leader)
        unavailable_store = MemoryStore()
        unavailable_store.unavailable = True
        leader.use_store(unavailable_store)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        store.put_directly("config", "main", configuration(version=2, keys=["key-2"]))
        await eventually(lambda: other.node.rules.version == 2, 10.0)
        # The platform's documentation sets this bound.
        assert loop.time() - started_at < 3.0

    run(scenario)


class LargeFleet:
    """Nine VMs that read the store as rarely as the VMs of a large fleet."""

    COUNT = 9

    def __init__(self, monkeypatch):
        monkeypatch.setattr(node_module, "MAX_FLEET_READS_PER_S", 0.5)

    async def roles(self, vms):
        """Return the leader, its deputies and the others once all know the deputies."""

        def deputies(vm):
            return vm.node._reports._grantors.deputies

        await eventually(lambda: all(len(deputies(vm)) == 3 for vm in vms), 10.0)
        leader = next(vm for vm in vms if vm.node._leadership.is_leader)
        deputy_vms = [vm for vm in vms if vm.node._reports.is_deputy]
        others = [vm for vm in vms if vm is not leader and vm not in deputy_vms]
        return leader, deputy_vms, others


@pytest.fixture
def large_fleet(monkeypatch):
    return LargeFleet(monkeypatch)


def test_deputies_read_the_store_for_the_others_when_the_leader_cannot(large_fleet):
    # Guards against every VM reading the store by itself when the leader cannot. In a
    # simulated day, 137 VMs made 8,586 calls to a store that refused the leader and a
    # third of the VMs.
    async def scenario(vms, store, group):
        leader, _, others = await large_fleet.roles(vms)
        stores = {vm: StoreAccess(store) for vm in vms}
        for vm, access in stores.items():
            vm.use_store(access)
        stores[leader].unavailable = True
        for vm in others:
            stores[vm].unavailable = True
        started_at = asyncio.get_running_loop().time()
        store.put_directly("config", "main", configuration(version=2, keys=["key-2"]))
        await eventually(
            lambda: all(vm.node.rules.version == 2 for vm in vms if vm is not leader),
            10.0,
        )
        assert asyncio.get_running_loop().time() - started_at < 5.0
        # Only the few deputies read often.
        assert sum(len(stores[vm].calls) for vm in others) <= 3 * len(others)

    run(scenario, count=large_fleet.COUNT)


def test_vm_that_reaches_only_a_deputy_keeps_using_primaries(large_fleet):
    async def scenario(vms, store, group):
        leader, _, (other, *_) = await large_fleet.roles(vms)
        access = StoreAccess(store)
        access.unavailable = True
        other.use_store(access)
        other.cut_off(leader)
        caller = await Caller.connect(other.port)
        loop = asyncio.get_running_loop()
        # After ``ABSENT_AFTER_S``, the leader would mark the VM as absent.
        end = loop.time() + LEASE_S + 0.6
        number = 0
        while loop.time() < end:
            number += 1
            lines, _ = await caller.execute(f"WRITE x {number}")
            assert lines[0].startswith("DONE")
            await asyncio.sleep(0.1)

    run(scenario, count=large_fleet.COUNT)


def test_draining_primary_is_replaced_without_losing_a_write():
    async def scenario(vms, store, group):
        caller = await Caller.connect(vms[0].port)
        await caller.execute("WRITE x 1")
        entry = {**group.servers[0].entry(), "state": "draining"}
        store.put_directly("servers", "orders-0", entry)
        await eventually(
            lambda: all(primary(vm) not in (None, "orders-0") for vm in vms)
        )
        lines, _ = await caller.execute("WRITE x 2")
        assert lines[0].startswith("DONE")
        lines, _ = await caller.execute("READ x")
        assert lines[0] == "ROW 2"
        assert len(group.promotions) == 1

    run(scenario)


def test_draining_primary_without_a_free_slot_is_replaced():
    # Guards against statements at a primary until it exits, because it has no slot free
    # for the status request that precedes its replacement.
    async def scenario(vms, store, group):
        draining = group.servers[0]
        draining.is_busy = True
        entry = {**draining.entry(), "state": "draining"}
        store.put_directly("servers", draining.id, entry)
        await eventually(
            lambda: all(primary(vm) not in (None, draining.id) for vm in vms)
        )
        assert len(group.promotions) == 1

    run(scenario)


def test_draining_server_with_the_longest_log_is_replaced_before_it_is_used():
    # Guards against statements at a server that is about to leave: a primary was cut
    # off while the replica with the longest log was draining.
    async def scenario(vms, store, group):
        primary_server, draining, other = group.servers
        caller = await Caller.connect(vms[0].port)
        await caller.execute("WRITE x 1")
        other.missing_writes = 1
        entry = {**draining.entry(), "state": "draining"}
        store.put_directly("servers", draining.id, entry)
        await eventually(
            lambda: all(vm.node._servers.get(draining.id).server.draining for vm in vms)
        )
        await primary_server.stop()
        async with asyncio.timeout(10):
            while not (await caller.execute("WRITE x 2"))[0][0].startswith("DONE"):
                continue
        assert [promoted for _, promoted, _, _ in group.promotions] == [
            draining.id,
            other.id,
        ]
        assert all(primary(vm) == other.id for vm in vms)
        assert all(request_id == "-" for request_id, _ in draining.statements)

    run(scenario)


def test_draining_primary_is_not_replaced_by_a_draining_server():
    # Guards against changes of primary without end, between servers that are all about
    # to leave, of which some have to be left before the primary.
    async def scenario(vms, store, group):
        old, *others = group.servers
        caller = await Caller.connect(vms[0].port)
        for server in others:
            server.is_draining = True
        group.register(store)
        leader = next(vm for vm in vms if vm.node._leadership.is_leader)
        servers = leader.node._servers
        await eventually(lambda: all(servers.is_draining(each.id) for each in others))
        old.is_draining = True
        group.register(store)
        await eventually(lambda: servers.is_draining(old.id))
        await eventually_asked_again(old, 4)
        assert group.promotions == []
        assert (await caller.execute("WRITE x 1"))[0][0].startswith("DONE")
        others[0].is_draining = False
        group.register(store)
        await eventually(lambda: all(primary(vm) == others[0].id for vm in vms), 10.0)
        assert len(group.promotions) == 1

    run(scenario)


def test_vm_does_not_confirm_a_change_whose_end_it_knows():
    # Guards against a leader that has the change from the copy of a restored store, and
    # would promote while this VM uses the primary.
    async def scenario(vms, store, group):
        node = vms[0].node
        change = node._view.state.groups["orders"].change
        assert await node._on_fence(FenceGroup("orders", change), LEADER) is None
        assert primary(vms[0]) is not None
        assert await node._on_fence(FenceGroup("orders", change + 1), LEADER)
        assert primary(vms[0]) is None

    run(scenario)


def test_draining_primary_is_not_replaced_while_no_lasting_server_answers():
    # Guards against changes of primary without end, back and forth between servers that
    # are about to leave, while the only other one is listed but down.
    async def scenario(vms, store, group):
        old, draining, down = group.servers
        await down.stop()
        draining.is_draining = old.is_draining = True
        group.register(store)
        leader = next(vm for vm in vms if vm.node._leadership.is_leader)
        await eventually(lambda: leader.node._servers.is_draining(old.id))
        await eventually_asked_again(old, 4)
        assert group.promotions == []
        await down.start()
        await eventually(lambda: all(primary(vm) == down.id for vm in vms), 10.0)
        assert len(group.promotions) == 1

    run(scenario)


def test_draining_server_leads_until_its_successor_has_its_log():
    # Guards against the loss of acknowledged commits that only the draining server has,
    # because it is left out of the count when it is to be replaced itself.
    async def scenario(vms, store, group):
        old, draining, deaf = group.servers
        deaf.is_deaf = True
        caller = await Caller.connect(vms[0].port)
        lines, _ = await caller.execute("WRITE x 1")
        assert lines[0].startswith("DONE")
        draining.is_draining = True
        group.register(store)
        await eventually(
            lambda: all(vm.node._servers.get(draining.id).server.draining for vm in vms)
        )
        await old.stop()
        await eventually(lambda: draining.is_primary, 10.0)
        await store.delete("servers", old.id, 0, 0.0)
        await eventually(
            lambda: all(vm.node._servers.get(old.id) is None for vm in vms), 10.0
        )
        # Longer than the time for which a change waits for a server that is behind.
        await eventually_asked_again(deaf, 50)
        assert [server for _, server, _, _ in group.promotions] == [draining.id]
        assert draining.is_primary
        deaf.is_deaf = False
        deaf.receive_rest()
        await eventually(lambda: all(primary(vm) == deaf.id for vm in vms), 10.0)
        assert group.lost_writes == [0, 0]

    run(scenario, sync_replicas=1)


def test_write_that_runs_at_a_primary_without_an_entry_ends_before_its_replacement():
    # Guards against a write that is acknowledged by an old primary after another one
    # leads, because the VM has dropped the old one from its list and so does not close
    # the connections to it.
    async def scenario(vms, store, group):
        old = group.servers[0]
        caller = await Caller.connect(vms[0].port)
        await caller.execute("WRITE x 1")
        old.may_answer = asyncio.Event()
        old.is_deaf = True
        running = asyncio.create_task(caller.execute("WRITE x 2"))
        await eventually(lambda: any(text == "WRITE x 2" for _, text in old.statements))
        await store.delete("servers", old.id, 0, 0.0)
        await eventually(lambda: group.promotions, 12.0)
        old.may_answer.set()
        lines, _ = await running
        assert lines[0].startswith("ERROR UNKNOWN")

    run(scenario, statement_timeout_ms=20000)


def test_primary_that_fails_is_replaced():
    async def scenario(vms, store, group):
        caller = await Caller.connect(vms[1].port)
        await caller.execute("WRITE x 1")
        await group.servers[0].stop()
        await eventually(
            lambda: all(primary(vm) not in (None, "orders-0") for vm in vms)
        )
        async with asyncio.timeout(10):
            while True:
                lines, _ = await caller.execute("WRITE x 2")
                if lines[0].startswith("DONE"):
                    break
        fences = [fence for _, _, _, fence in group.promotions]
        assert fences == sorted(fences)

    run(scenario)


@pytest.mark.parametrize("is_busy", [True, False])
def test_replica_with_acknowledged_commits_is_promoted(is_busy):
    # Guards against the promotion of a replica that lacks acknowledged commits, because
    # the one that has them answers status requests with "busy", or late.
    async def scenario(vms, store, group):
        old, newest, behind = group.servers
        newest.is_busy, behind.missing_writes = is_busy, 1
        caller = await Caller.connect(vms[1].port)
        lines, _ = await caller.execute("WRITE x 1")
        assert lines[0].startswith("DONE")
        if not is_busy:
            await newest.stop()
        await old.stop()
        if not is_busy:
            leader = next(vm for vm in vms if vm.node._leadership.is_leader)
            probes = leader.node._probes
            await eventually(lambda: probes.answered_within(behind.id, 0.1), 10.0)
            await newest.start()
        await eventually(
            lambda: all(primary(vm) not in (None, old.id) for vm in vms), 10.0
        )
        assert [server for _, server, _, _ in group.promotions] == [newest.id]

    run(scenario, sync_replicas=1)


def test_replica_that_has_left_does_not_prevent_a_change_of_primary():
    async def scenario(vms, store, group):
        old, gone, remaining = group.servers
        await gone.stop()
        await old.stop()
        await store.delete("servers", gone.id, 0, 0.0)
        await eventually(
            lambda: all(primary(vm) not in (None, old.id) for vm in vms), 12.0
        )
        assert [server for _, server, _, _ in group.promotions] == [remaining.id]

    run(scenario, sync_replicas=1)


def forget_commits(vm):
    """Let a VM answer that it does not know its newest commit, like a lost one."""
    vm.node._commits.note("orders", None)


async def lose(store, vms, server):
    """Stop a server and remove its entry; return when all VMs have dropped it."""
    await server.stop()
    await store.delete("servers", server.id, 0, 0.0)
    await eventually(
        lambda: all(vm.node._servers.get(server.id) is None for vm in vms), 10.0
    )


async def eventually_recorded(vms, *servers):
    """Wait until the leader has recorded exactly these servers as holders."""

    def is_recorded():
        states = [vm.node._view.state for vm in vms]
        return all(
            state.groups["orders"].holders.keys() == {server.id for server in servers}
            for state in states
        )

    await eventually(is_recorded, 10.0)


async def write(vm):
    caller = await Caller.connect(vm.port)
    lines, _ = await caller.execute("WRITE x 1")
    assert lines[0].startswith("DONE")
    caller.close()


@pytest.mark.parametrize("commits_known", [True, False])
def test_replica_that_left_with_the_only_commits_is_waited_for(commits_known):
    # Guards against the loss of acknowledged commits that only the primary and a lost
    # replica have, because that replica is not counted once it has left the list.
    async def scenario(vms, store, group):
        old, behind, lost = group.servers
        behind.is_deaf = True
        await write(vms[0])
        await eventually_recorded(vms, old, behind, lost)
        await lose(store, vms, lost)
        if not commits_known:
            forget_commits(vms[1])
        await old.stop()
        await eventually_asked_again(behind, 30)
        assert group.promotions == []
        await old.start()
        await eventually(lambda: all(primary(vm) == old.id for vm in vms), 15.0)
        assert group.lost_writes == [0]

    run(scenario, sync_replicas=1)


def test_new_vms_wait_for_a_replica_that_left_with_the_only_commits():
    # Guards against a change of primary that forgets whom it waits for when all VMs are
    # replaced in the middle.
    async def scenario(vms, store, group):
        old, behind, lost = group.servers
        behind.is_deaf = True
        await write(vms[0])
        await eventually_recorded(vms, old, behind, lost)
        await lost.stop()
        await old.stop()
        await eventually(lambda: all(primary(vm) is None for vm in vms), 10.0)
        await lose(store, vms, lost)
        for vm in vms:
            await vm.listener.stop(0.0)
            await vm.node.close()
        vms[:] = [Vm(vm.node._options.name, store, group) for vm in vms]
        await asyncio.gather(*(vm.start() for vm in vms))
        await eventually_asked_again(behind, 30)
        assert group.promotions == []
        await old.start()
        await eventually(lambda: all(primary(vm) == old.id for vm in vms), 15.0)
        assert group.lost_writes == [0]

    run(scenario, sync_replicas=1)


@pytest.mark.parametrize("commits_known", [True, False])
def test_replica_that_came_back_empty_does_not_replace_its_log(commits_known):
    # Guards against counting the report of a server that has lost its log as that of
    # the process which acknowledged commits, also before its new entry is known.
    async def scenario(vms, store, group):
        old, behind, lost = group.servers
        behind.is_deaf = True
        await write(vms[0])
        await eventually_recorded(vms, old, behind, lost)
        state = vms[0].node._view
        await eventually(
            lambda: state.state.groups["orders"].holders[lost.id].received.number == 1
        )
        if not commits_known:
            forget_commits(vms[1])
        await old.stop()
        await lost.stop()
        await lost.start_empty()
        await eventually_asked_again(behind, 30)
        assert group.promotions == []
        group.register(store)
        await eventually_asked_again(behind, 30)
        assert group.promotions == []
        await old.start()
        await eventually(lambda: all(primary(vm) == old.id for vm in vms), 15.0)
        assert group.lost_writes == [0]

    run(scenario, sync_replicas=1)


@pytest.mark.parametrize("commits_known", [True, False])
def test_primary_that_came_back_empty_has_no_complete_log(commits_known):
    # Guards against the promotion of a replica that is as far as a primary which has
    # lost its log, while the replica that acknowledged the commits is away.
    async def scenario(vms, store, group):
        old, behind, newest = group.servers
        behind.is_deaf = True
        await write(vms[0])
        await eventually_recorded(vms, old, behind, newest)
        state = vms[0].node._view
        await eventually(
            lambda: state.state.groups["orders"].holders[old.id].received.number == 1
        )
        if not commits_known:
            forget_commits(vms[1])
        await newest.stop()
        await old.stop()
        await old.start_empty()
        await eventually_asked_again(behind, 30)
        group.register(store)
        await eventually_asked_again(behind, 30)
        assert group.promotions == []
        await newest.start()
        await eventually(lambda: all(primary(vm) == newest.id for vm in vms), 15.0)
        assert group.lost_writes == [0]

    run(scenario, sync_replicas=1)


def test_replica_that_left_is_not_waited_for_once_the_others_have_its_commits():
    # Guards against a change that waits for a server although all listed replicas have
    # what it had.
    async def scenario(vms, store, group):
        old, remaining, lost = group.servers
        await write(vms[0])
        await eventually_recorded(vms, old, remaining, lost)
        await lose(store, vms, lost)
        await eventually_recorded(vms, old, remaining)
        forget_commits(vms[1])
        await old.stop()
        await eventually(lambda: all(primary(vm) == remaining.id for vm in vms), 10.0)
        assert group.lost_writes == [0]

    run(scenario, sync_replicas=1)


def test_commits_that_the_remaining_replica_has_are_enough():
    # Guards against waiting for the primary and a replica that were lost together,
    # although the VMs know that the other replica has all acknowledged commits.
    async def scenario(vms, store, group):
        old, remaining, lost = group.servers
        await write(vms[1])
        await eventually_recorded(vms, old, remaining, lost)
        await lost.stop()
        await old.stop()
        await eventually(lambda: all(primary(vm) == remaining.id for vm in vms), 12.0)
        assert group.lost_writes == [0]

    run(scenario, sync_replicas=1)


def test_change_goes_on_if_the_newest_commit_cannot_be_stored():
    # Guards against a change of primary that starts again and again because the store
    # does not take what only a new leader would need.
    async def scenario(vms, store, group):
        old, newest, lost = group.servers
        await write(vms[1])
        await eventually_recorded(vms, old, newest, lost)
        for vm in vms:
            change_groups = vm.node._leadership.change_groups

            async def refuse_commits(change, change_groups=change_groups):
                groups = change(dict(vms[0].node._view.state.groups))
                if any(group.newest_commit for group in groups.values()):
                    raise PlatformUnavailableError("away")
                return await change_groups(change)

            vm.node._leadership.change_groups = refuse_commits
        await lost.stop()
        await old.stop()
        await eventually(lambda: all(primary(vm) == newest.id for vm in vms), 12.0)

    run(scenario, sync_replicas=1)


def test_commits_of_an_earlier_term_are_not_lost_with_the_new_primary():
    # Guards against the loss of commits that only the promoted server has received,
    # when it fails before the others have its log.
    async def scenario(vms, store, group):
        old, promoted, behind = group.servers
        behind.is_deaf = True
        await write(vms[0])
        await old.stop()
        await eventually(lambda: all(primary(vm) == promoted.id for vm in vms), 10.0)
        await lose(store, vms, old)
        forget_commits(vms[1])
        await promoted.stop()
        await eventually_asked_again(behind, 30)
        assert [server for _, server, _, _ in group.promotions] == [promoted.id]
        await promoted.start()
        await eventually(lambda: all(primary(vm) == promoted.id for vm in vms), 15.0)
        assert group.lost_writes == [0, 0]

    run(scenario, sync_replicas=1)


def test_operator_sees_and_ends_the_wait_for_lost_servers(caplog):
    # Guards against a change that waits without end for servers that are gone for good.
    async def scenario(vms, store, group):
        old, behind, lost = group.servers
        behind.is_deaf = True
        await write(vms[0])
        await eventually_recorded(vms, old, behind, lost)
        await lose(store, vms, lost)
        await lose(store, vms, old)
        leader = next(vm for vm in vms if vm.node._leadership.is_leader)
        gauges = leader.node._metrics
        await eventually(
            lambda: gauges.gauges.get("failover.awaited_servers") == 2, 10.0
        )
        waiting = "group: orders: waiting for orders-2 or orders-0"
        assert any(waiting in record.message for record in caplog.records)
        changed = configuration(2, sync_replicas=0)
        store.put_directly("config", "main", changed)
        await eventually(lambda: all(primary(vm) == behind.id for vm in vms), 10.0)
        assert gauges.gauges["failover.awaited_servers"] == 0

    with caplog.at_level("INFO"):
        run(scenario, sync_replicas=1)


@pytest.mark.parametrize(
    "address", ["a" * 64 + ":8080", "a..b:8080", "127.0.0.1:65536", "127.0.0.1:-1"]
)
def test_entry_without_a_usable_address_does_not_prevent_a_change_of_primary(address):
    # Guards against a group without a primary while any entry has an address to which
    # connecting fails in another way than for a server that is away.
    async def scenario(vms, store, group):
        old = group.servers[0]
        foreign = {**old.entry(), "address": address, "db_role": "replica"}
        store.put_directly("servers", "another-writer", foreign)
        caller = await Caller.connect(vms[0].port)
        await caller.execute("WRITE x 1")
        await old.stop()
        await eventually(
            lambda: all(primary(vm) not in (None, old.id) for vm in vms), 10.0
        )

    run(scenario)


@pytest.mark.parametrize("entry", [{"process": 1}, {"url": 5, "process": 1}])
def test_malformed_entry_of_a_vm_delays_a_change_of_primary_by_its_lease(entry):
    # Guards against changes of primary that never end because one entry in the list of
    # VMs cannot be read.
    async def scenario(vms, store, group):
        store.put_directly("citronwood-vms", "odd", entry)
        started = now()
        await group.servers[0].stop()
        await eventually(
            lambda: all(primary(vm) not in (None, "orders-0") for vm in vms), 12.0
        )
        assert now() - started >= LEASE_S

    run(scenario)


@pytest.mark.parametrize(
    ("component", "method"),
    [
        ("_leadership", "_step"),
        ("_feeds", "_is_poll_due"),
        ("_reports", "report"),
        ("_registry", "list_vms"),
        ("_servers", "maintain"),
        ("_failover", "_groups"),
        ("_failover", "_check_primary"),
    ],
)
def test_unexpected_error_does_not_end_a_loop(monkeypatch, component, method):
    # Guards against a VM that goes on without its leader election, its reports or its
    # lists after one unexpected error.
    monkeypatch.setattr(registry_module, "VM_LIST_INTERVAL_S", 0.1)

    async def scenario(vms, store, group):
        leader = next(vm for vm in vms if vm.node._leadership.is_leader)
        part = getattr(leader.node, component)
        original, calls = getattr(part, method), []

        def fail_once(*arguments, **options):
            calls.append(arguments)
            if len(calls) == 1:
                raise ValueError("unexpected")
            return original(*arguments, **options)

        setattr(part, method, fail_once)
        await eventually(lambda: len(calls) >= 3, 10.0)

    run(scenario)


def test_unreachable_vm_delays_a_change_of_primary_by_its_lease():
    # A VM that is cut off may use the old primary until its lease expires.
    async def scenario(vms, store, group):
        leader = next(vm for vm in vms if vm.node._leadership.is_leader)
        store.put_directly(
            "citronwood-vms", "cut-off", {"url": "tcp://127.0.0.1:1", "process": 1}
        )
        has_ended = leader.node._failover._fencing._has_ended

        async def has_ended_unless_cut_off(url):
            return False if url.endswith(":1") else await has_ended(url)

        leader.node._failover._fencing._has_ended = has_ended_unless_cut_off
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        entry = {**group.servers[0].entry(), "state": "draining"}
        store.put_directly("servers", "orders-0", entry)
        await eventually(lambda: group.promotions, 20.0)
        assert loop.time() - started_at >= 5.0

    run(scenario)


def test_vm_that_is_silent_for_long_is_removed(monkeypatch):
    # The entry of a lost VM would delay each later change of primary.
    monkeypatch.setattr(registry_module, "ABSENT_AFTER_S", 1.0)
    monkeypatch.setattr(registry_module, "ABSENT_REMOVAL_DELAY_S", 1.0)
    monkeypatch.setattr(registry_module, "ABSENT_MARK_RETENTION_S", 2.0)
    monkeypatch.setattr(registry_module, "VM_LIST_INTERVAL_S", 1.0)

    async def scenario(vms, store, group):
        store.put_directly(
            "citronwood-vms", "gone", {"url": "tcp://127.0.0.1:1", "process": 1}
        )
        await eventually(lambda: "gone" not in store.objects["citronwood-vms"], 20.0)
        state = store.objects["citronwood-fleet"]["state"].value
        await eventually(
            lambda: not store.objects["citronwood-fleet"]["state"].value["absent"]
        )
        assert set(store.objects["citronwood-vms"]) == {"vm0", "vm1"}
        assert state["groups"]

    run(scenario)


def test_vm_that_was_declared_absent_registers_again():
    async def scenario(vms, store, group):
        leader = next(vm for vm in vms if vm.node._leadership.is_leader)
        other = next(vm for vm in vms if vm is not leader)
        name = other.node._options.name
        first_process = store.objects["citronwood-vms"][name].value["process"]
        await leader.node._leadership.change_absent_vms(lambda _: {name: first_process})

        def has_registered_again():
            return (
                store.objects["citronwood-vms"][name].value["process"] != first_process
            )

        await eventually(has_registered_again, 10.0)
        await eventually(lambda: primary(other) == "orders-0", 10.0)

    run(scenario)


def test_log_explains_a_relayed_statement(caplog):
    async def scenario(vms, store, group):
        caller = await Caller.connect(vms[0].port)
        await caller.execute("WRITE x 1")
        group.servers[0].answers_to_lose = 1
        await caller.execute("WRITE x 2")

    caplog.set_level("INFO")
    run(scenario)
    formatter = JsonFormatter("vm0")
    lines = list(
        parse_decision_lines(formatter.format(record) for record in caplog.records)
    )
    succeeded = diagnose_request("r1", lines)
    assert "has run on orders-0" in succeeded.cause
    lost = diagnose_request("r2", lines)
    assert "answer was lost" in lost.cause
    assert "tried: orders-0" in lost.cause


def test_restarted_leader_grants_nothing_before_it_leads_again():
    # Grants of the leader's previous process may still be in use.
    async def scenario(vms, store, group):
        leader = next(vm for vm in vms if vm.node._leadership.is_leader)
        report = ReportToLeader(1, {"acme": 5}, {}, True)
        assert leader.node.answer_report("vm", report).granted == {"acme": 5}
        leader.node._reports._process += 1
        answer = leader.node.answer_report("vm", report)
        assert not answer.grants
        assert answer.granted == {}

    run(scenario)


@pytest.mark.realtime
def test_callers_do_not_notice_an_outage_of_the_store_shorter_than_the_lease():
    async def scenario(vms, store, group):
        caller = await Caller.connect(vms[1].port)
        store.unavailable = True
        loop = asyncio.get_running_loop()
        end = loop.time() + 3.0
        number = 0
        while loop.time() < end:
            number += 1
            lines, _ = await caller.execute(f"WRITE x {number}")
            assert lines[0].startswith("DONE")
            await asyncio.sleep(0.05)
        store.unavailable = False

    run(scenario)


@pytest.mark.realtime
def test_callers_do_not_notice_a_restore_while_the_leader_lives():
    # Guards against leases that end because the store has lost the state and the VMs.
    async def scenario(vms, store, group):
        caller = await Caller.connect(vms[1].port)
        processes = registered(store)
        store.restore(store.copy()._replace(objects={}))
        end = now() + LEASE_S + 1.0
        while now() < end:
            lines, _ = await caller.execute("WRITE x 1")
            assert lines[0].startswith("DONE")
            await asyncio.sleep(0.05)
        assert len(registered(store) - processes) == len(vms)
        assert group.promotions == []

    def registered(store):
        return {vm.value["process"] for vm in store.objects["citronwood-vms"].values()}

    run(scenario)
