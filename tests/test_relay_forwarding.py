"""Statements that VMs forward to the owners of the backend servers.

The server has fewer connections than there are VMs and accounts, so each statement of a
VM that is not the owner passes through the owner.
"""

import asyncio
from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from citronwood.deadline import deadline_in
from citronwood.errors import CitronwoodError, DeadlineExceededError, MessageError
from citronwood.relay import forwarding as forwarding_module
from citronwood.relay import leases as leases_module
from citronwood.relay import owners as owners_module
from citronwood.relay.leases import LeaseOutcome, decode_answer
from citronwood.relay.messages import (
    ForwardedAnswer,
    ForwardedStatement,
    OpenLease,
    RunInLease,
)
from citronwood.relay.model import BackendServer, Role
from citronwood.relay.owners import (
    LEAVING_S,
    OWN_FAILURE_COUNT,
    OWN_FAILURE_S,
    REFUSED_S,
    SILENT_RETRY_S,
    Owners,
    PeerHealth,
    is_forwarding_useful,
)
from citronwood.relay.registry import Peer
from tests.fleet_helpers import eventually
from tests.relay_standins import Caller, configuration
from tests.test_relay_fleet import Vm, fleet

VM_COUNT = 4
SCARCE_CONNECTIONS = 6


class ForwardingFleet:
    """VMs of which one is the owner of the primary."""

    def __init__(self, vms, store, group):
        self.vms = vms
        self.store = store
        self.group = group
        server = vms[0].node._servers.get(group.servers[0].id).server
        candidates = vms[0].node._owners.candidates(server)
        by_name = {vm.node._options.name: vm for vm in vms}
        self.owner = by_name[candidates[0].name]
        self.replacement = by_name[candidates[1].name]
        self.others = [vm for vm in vms if vm not in (self.owner, self.replacement)]
        self.sender = self.others[0]

    @property
    def primary(self):
        return self.group.servers[0]

    def account_connections(self):
        """Return how many connections of accounts the servers have accepted."""
        return sum(server.accounts.count("acme") for server in self.group.servers)

    def lose_answers(self, message_type, count=1):
        """Let calls of the sending VM run, but lose their next answers."""
        rpc, left = self.sender.node._rpc, [count]
        call = rpc.call

        async def call_and_lose(url, message, *arguments, **options):
            answer = await call(url, message, *arguments, **options)
            if isinstance(message, message_type) and left[0]:
                left[0] -= 1
                raise DeadlineExceededError("lost")
            return answer

        rpc.call = call_and_lose

    def silence(self, vm):
        """Let a VM receive nothing from other VMs, with its connections open."""
        vm.node._rpc._transport._receiver = lambda envelope: None


async def execute_when_admitted(caller, text):
    """Repeat a statement while the VM has no tokens for it, as after its start."""
    async with asyncio.timeout(10):
        while True:
            lines, _ = await caller.execute(text)
            if "rate is used up" not in lines[0]:
                return lines
            await asyncio.sleep(0.05)


def knows_all_vms(vm):
    return len(vm.node._peers) == vm.node.vm_count == VM_COUNT


def run(scenario, **options):
    async def with_fleet():
        options.setdefault("max_conns", SCARCE_CONNECTIONS)
        async with fleet(VM_COUNT, **options) as (vms, store, group):
            await eventually(lambda: all(knows_all_vms(vm) for vm in vms), 20.0)
            await scenario(ForwardingFleet(vms, store, group))

    asyncio.run(with_fleet())


def test_all_vms_use_the_connections_of_the_owner():
    # Guards against a connection per VM and account. In a simulated day of 195 VMs,
    # 29,986 connections were opened for 31,300 statements.
    async def scenario(fleet):
        for round_number in range(5):
            for vm in fleet.vms:
                caller = await Caller.connect(vm.port)
                lines, _ = await caller.execute(f"WRITE x {round_number}")
                assert lines[0].startswith("DONE orders-0.")
                lines, _ = await caller.execute("READ x")
                assert lines[0] == f"ROW {round_number}"
                caller.close()
        assert fleet.account_connections() <= len(fleet.group.servers)

    run(scenario)


def test_transactions_of_other_vms_run_on_one_connection():
    async def scenario(fleet):
        caller = await Caller.connect(fleet.sender.port)
        await caller.execute("SET zone a")
        await caller.execute("PREPARE s1 WRITE q1")
        assert await caller.execute("BEGIN") == (["DONE -"], "T")
        lines, state = await caller.execute("EXECUTE s1 x 1")
        assert lines[0].startswith("DONE orders-0.")
        assert state == "T"
        assert fleet.owner.node._leases.open_count == 1
        assert fleet.group.writes == []
        lines, state = await caller.execute("COMMIT")
        assert lines[0].startswith("DONE orders-0.")
        assert state == "I"
        assert fleet.group.writes == [("x", "1")]
        await caller.execute("BEGIN")
        await caller.execute("WRITE x 2")
        assert await caller.execute("ROLLBACK") == (["DONE -"], "I")
        assert fleet.group.writes == [("x", "1")]
        assert fleet.owner.node._leases.open_count == 0
        texts = [text for _, text in fleet.primary.statements]
        assert texts.index("SET zone a") < texts.index("BEGIN")

    run(scenario)


def test_owner_schedules_the_statements_of_other_vms():
    # Guards against a switch that does not reach the pools of the owner.
    async def scenario(fleet):
        caller = await Caller.connect(fleet.sender.port)
        for text in ("WRITE x 1", "READ x", "BEGIN", "WRITE x 2", "COMMIT"):
            await execute_when_admitted(caller, text)
        counters = fleet.owner.node._metrics.counters
        # The write's lease; the write, and the transaction's write and commit.
        assert counters["admission.granted.0"] >= 1
        assert counters["admission.granted.started"] == 3

    run(scenario, relay_options={"schedules_statements": True})


def test_owner_bounds_the_age_of_forwarded_reads():
    async def scenario(fleet):
        caller = await Caller.connect(fleet.sender.port)
        await caller.execute("WRITE x 1")
        for server in fleet.group.servers[1:]:
            server.is_behind = True
        await asyncio.sleep(0.15)
        lines, _ = await caller.execute("READ x")
        assert lines[0] == "ROW 1"
        sent = [
            text for server in fleet.group.servers[1:] for _, text in server.statements
        ]
        assert any(text.startswith("AFTER 1.1 READ x") for text in sent)

    run(scenario)


@pytest.mark.realtime
def test_silent_owner_is_replaced_without_running_a_write_twice():
    # Guards against statements that wait for a paused owner until their deadline.
    async def scenario(fleet):
        caller = await Caller.connect(fleet.sender.port)
        await caller.execute("WRITE x 0")
        fleet.silence(fleet.owner)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        lines, _ = await caller.execute("WRITE x 1")
        assert lines[0].startswith("DONE")
        lines, _ = await caller.execute("READ x")
        assert lines[0] == "ROW 1"
        # Well before the timeout of the statements, which is 2 s.
        assert loop.time() - started_at < 1.0
        started_at = loop.time()
        for number in range(2, 12):
            lines, _ = await caller.execute(f"WRITE x {number}")
            assert lines[0].startswith("DONE")
        assert loop.time() - started_at < 1.0
        assert fleet.group.writes == [("x", str(number)) for number in range(12)]

    run(scenario)


def test_owner_that_answers_again_is_used_again(monkeypatch):
    monkeypatch.setattr(owners_module, "SILENT_RETRY_S", 0.05)

    async def scenario(fleet):
        caller = await Caller.connect(fleet.sender.port)
        transport = fleet.owner.node._rpc._transport
        receive = transport._receiver
        fleet.silence(fleet.owner)
        await caller.execute("WRITE x 1")
        url = fleet.owner.node._url
        forwarding = fleet.sender.node._forwarding
        assert not forwarding._health.may_ask(url, "orders-0")
        transport._receiver = receive

        async with asyncio.timeout(10):
            while not forwarding._health.may_ask(url, "orders-0"):
                await caller.execute("WRITE x 2")

    run(scenario)


def test_lost_answer_of_the_owner_to_a_write_is_an_unknown_outcome():
    async def scenario(fleet):
        caller = await Caller.connect(fleet.sender.port)
        await caller.execute("WRITE x 1")
        fleet.lose_answers(RunInLease)
        lines, state = await caller.execute("WRITE x 2")
        assert lines[0].startswith("ERROR UNKNOWN")
        assert state == "I"
        assert fleet.group.writes == [("x", "1"), ("x", "2")]

    run(scenario)


def test_lost_answer_of_the_owner_to_a_commit_is_an_unknown_outcome():
    async def scenario(fleet):
        caller = await Caller.connect(fleet.sender.port)
        await caller.execute("BEGIN")
        await caller.execute("WRITE x 1")
        fleet.lose_answers(RunInLease)
        lines, _ = await caller.execute("COMMIT")
        assert lines[0].startswith("ERROR UNKNOWN")

    run(scenario)


def test_lost_answer_of_the_owner_aborts_a_transaction_before_its_commit():
    async def scenario(fleet):
        caller = await Caller.connect(fleet.sender.port)
        await caller.execute("BEGIN")
        await caller.execute("WRITE x 1")
        fleet.lose_answers(RunInLease)
        lines, state = await caller.execute("WRITE y 1")
        assert lines[0].startswith("ERROR ABORTED")
        assert state == "E"
        await eventually(lambda: fleet.owner.node._leases.open_count == 0)
        assert await caller.execute("ROLLBACK") == (["DONE -"], "I")
        assert fleet.group.writes == []

    run(scenario)


@pytest.mark.parametrize("begin", ["", "BEGIN"])
def test_lost_answer_to_a_lease_is_no_unknown_outcome(begin):
    # Nothing has taken effect yet, so another VM takes the place of the owner.
    async def scenario(fleet):
        caller = await Caller.connect(fleet.sender.port)
        fleet.lose_answers(OpenLease)
        if begin:
            await caller.execute(begin)
        lines, _ = await caller.execute("WRITE x 1")
        assert lines[0].startswith("DONE orders-0.")
        if begin:
            await caller.execute("COMMIT")
        assert fleet.group.writes == [("x", "1")]
        await eventually(lambda: fleet.owner.node._leases.open_count == 0)

    run(scenario)


def test_lease_of_a_vm_that_is_gone_ends(monkeypatch):
    monkeypatch.setattr(leases_module, "IDLE_MARGIN_S", -2.5)

    async def scenario(fleet):
        caller = await Caller.connect(fleet.sender.port)
        await caller.execute("BEGIN")
        await caller.execute("WRITE x 1")
        leases = fleet.owner.node._leases
        assert leases.open_count == 1
        await eventually(lambda: leases.open_count == 0, 10.0)
        lines, _ = await caller.execute("COMMIT")
        assert lines[0].startswith("ERROR ABORTED")
        assert fleet.group.writes == []

    run(scenario)


def test_stopping_owner_ends_open_transactions_only_by_their_callers():
    # Guards against a planned stop that cuts transactions of other VMs, and against
    # new statements that are sent to a stopping VM.
    async def scenario(fleet):
        caller = await Caller.connect(fleet.sender.port)
        second = await Caller.connect(fleet.sender.port)
        await caller.execute("BEGIN")
        await caller.execute("WRITE x 1")
        fleet.owner.node.stop_accepting()
        lines, _ = await second.execute("WRITE y 1")
        assert lines[0].startswith("DONE")
        assert fleet.owner.node._leases.open_count == 1
        lines, _ = await caller.execute("COMMIT")
        assert lines[0].startswith("DONE")
        assert fleet.group.writes == [("y", "1"), ("x", "1")]
        url = fleet.owner.node._url
        assert not fleet.sender.node._forwarding._health.may_ask(url, "orders-0")

    run(scenario)


def test_planned_stop_of_the_owner_under_load_cuts_no_statement():
    # Guards against statements that a stopping owner has accepted and cuts off.
    async def scenario(fleet):
        stopped = asyncio.Event()
        answers = []

        async def send(vm, number):
            caller = await Caller.connect(vm.port)
            while not stopped.is_set():
                lines, _ = await caller.execute(f"WRITE x{number} 1")
                answers.append(lines[-1])
                lines, _ = await caller.execute(f"READ x{number}")
                answers.append(lines[-1])

        senders = [
            asyncio.create_task(send(vm, number))
            for number in range(4)
            for vm in fleet.others
        ]
        await eventually(lambda: len(answers) > 100, 20.0)
        owner = fleet.owner.node
        owner.stop_accepting()
        await owner.finish_leases(asyncio.get_running_loop().time() + 3.0)
        await owner.close()
        count = len(answers)
        await eventually(lambda: len(answers) > count + 100, 20.0)
        stopped.set()
        await asyncio.gather(*senders)
        assert [line for line in answers if not line.startswith("DONE")] == []

    run(scenario)


def test_change_of_primary_aborts_leased_transactions():
    # Guards against a commit at the old primary through its owner.
    async def scenario(fleet):
        caller = await Caller.connect(fleet.sender.port)
        await caller.execute("BEGIN")
        await caller.execute("WRITE x 1")
        entry = {**fleet.primary.entry(), "state": "draining"}
        fleet.store.put_directly("servers", "orders-0", entry)
        await eventually(lambda: fleet.group.promotions, 20.0)
        lines, _ = await caller.execute("COMMIT")
        assert lines[0].startswith("ERROR ABORTED")
        assert fleet.group.writes == []

    run(scenario)


def test_owner_refuses_what_its_newer_configuration_forbids():
    async def scenario(fleet):
        fleet.store.put_directly(
            "config", "main", configuration(version=5, name="other", max_conns=6)
        )
        owner = fleet.owner.node
        await eventually(lambda: owner.rules.version == 5, 10.0)
        message = OpenLease(
            1, "shop", "acme", "orders", "orders-0", 1, None, None, {}, "", None
        )
        assert owner._leases._check(message).outcome == LeaseOutcome.UNUSABLE
        allowed = message._replace(account="other")
        assert owner._leases._check(allowed) is None

    run(scenario)


def malformed_answers():
    text = st.text(max_size=8)
    return st.builds(
        ForwardedAnswer,
        outcome=st.sampled_from(["answered", "lost", "unusable", "other"]),
        reason=st.one_of(text, st.just("overloaded")),
        state=st.one_of(text, st.just("idle")),
        rows=st.lists(text, max_size=2).map(tuple),
        position=st.one_of(st.none(), st.just((1, 2))),
    )


@given(answer=malformed_answers())
def test_malformed_answers_are_decoded_or_refused(answer):
    # Guards against an unexpected error that ends the caller's session.
    try:
        decode_answer(answer)
    except MessageError:
        return


@pytest.mark.parametrize("message_type", [OpenLease, RunInLease])
def test_malformed_answer_of_the_owner_costs_no_session(message_type):
    async def scenario(fleet):
        caller = await Caller.connect(fleet.sender.port)
        rpc = fleet.sender.node._rpc
        call = rpc.call

        async def call_and_garble(url, message, *arguments, **options):
            answer = await call(url, message, *arguments, **options)
            if isinstance(message, message_type):
                return answer._replace(state="other", outcome="answered")
            return answer

        rpc.call = call_and_garble
        lines, _ = await caller.execute("WRITE x 1")
        expected = "DONE" if message_type is OpenLease else "ERROR UNKNOWN"
        assert lines[-1].startswith(expected)
        assert fleet.group.writes == [("x", "1")]
        lines, _ = await caller.execute("READ x")
        assert lines[0] == "ROW 1"

    run(scenario)


def test_malformed_requests_do_not_harm_the_owner():
    async def scenario(fleet):
        statement = ForwardedStatement("r1", "other", "READ x", "", "", False, "")
        owner = fleet.owner.node
        good = OpenLease(
            1, "shop", "acme", "orders", "orders-0", 1, None, None, {}, "", None
        )
        for message in (
            good._replace(statement=statement),
            good._replace(server="none"),
            good._replace(group="none"),
            good._replace(begin="other", account=""),
            RunInLease(99, {}, None, True),
            RunInLease(99, {}, statement, True),
        ):
            with suppress(CitronwoodError):
                await fleet.sender.node._rpc.call(
                    owner._url, message, ForwardedAnswer, deadline_in(1.0)
                )
        caller = await Caller.connect(fleet.sender.port)
        lines, _ = await caller.execute("WRITE x 1")
        assert lines[0].startswith("DONE")

    run(scenario)


@pytest.mark.parametrize("via_owner", [True, False])
def test_withdrawn_key_stays_withdrawn_after_a_restart(via_owner):
    # Guards against a restarted VM that takes over an old configuration.
    async def scenario(fleet):
        vm = fleet.owner if via_owner else fleet.sender
        await vm.listener.stop(0.0)
        await vm.node.close()
        fleet.store.put_directly(
            "config", "main", configuration(version=2, keys=["key-2"], max_conns=6)
        )
        others = [other for other in fleet.vms if other is not vm]
        await eventually(
            lambda: all(other.node.rules.version == 2 for other in others), 20.0
        )
        restarted = Vm(vm.node._options.name, fleet.store, fleet.group)
        fleet.vms.append(restarted)
        await restarted.start()
        with pytest.raises(ConnectionRefusedError, match="NOAUTH"):
            await Caller.connect(restarted.port, key="key-1")
        caller = await Caller.connect(restarted.port, key="key-2")
        lines = await execute_when_admitted(caller, "WRITE x 1")
        assert lines[0].startswith("DONE")

    run(scenario)


def test_server_that_left_is_not_used_after_a_restart():
    async def scenario(fleet):
        vm = fleet.sender
        await vm.listener.stop(0.0)
        await vm.node.close()
        gone = fleet.group.servers[2]
        await fleet.store.delete("servers", gone.id, 0, 0.0)
        restarted = Vm(vm.node._options.name, fleet.store, fleet.group)
        fleet.vms.append(restarted)
        await restarted.start()
        await eventually(
            lambda: all(
                other.node._servers.get(gone.id) is None
                for other in fleet.vms
                if other is not vm
            ),
            20.0,
        )
        seen = len(gone.statements)
        caller = await Caller.connect(restarted.port)
        await execute_when_admitted(caller, "WRITE x 1")
        for _ in range(20):
            lines, _ = await caller.execute("READ x")
            assert lines[0] == "ROW 1"
        assert all(request == "-" for request, _ in gone.statements[seen:])

    run(scenario)


def make_server(server_id="s1", domain="a"):
    return BackendServer(server_id, "g", "h", 1, domain, Role.PRIMARY, False, 5, 1)


def make_peers(count, domains="abc"):
    return [
        Peer(f"vm{number}", f"tcp://vm{number}:1", domains[number % len(domains)])
        for number in range(count)
    ]


def test_owners_are_in_the_failure_domain_of_the_server():
    owners = Owners("vm0")
    owners.set_peers(make_peers(30))
    for number in range(20):
        candidates = owners.candidates(make_server(f"s{number}", "b"))
        assert {peer.failure_domain for peer in candidates} == {"b"}
    # With no VM there, the VMs of other domains take its place.
    assert owners.candidates(make_server("s1", "z"))


def test_vm_that_leaves_moves_only_its_own_servers():
    peers = make_peers(30)
    owners, fewer = Owners("vm0"), Owners("vm0")
    owners.set_peers(peers)
    fewer.set_peers(peers[1:])
    servers = [make_server(f"s{number}") for number in range(200)]
    for server in servers:
        before = owners.candidates(server)
        after = fewer.candidates(server)
        if before[0].name == "vm0":
            assert after[0] == before[1]
        else:
            assert after[0] == before[0]


def test_servers_are_spread_over_the_vms():
    owners = Owners("vm0")
    owners.set_peers(make_peers(30, "a"))
    chosen = [owners.candidates(make_server(f"s{n}"))[0].name for n in range(300)]
    assert max(chosen.count(name) for name in set(chosen)) <= 25


def test_vms_with_more_processor_time_own_more_servers():
    owners = Owners("vm0")
    peers = make_peers(30, "a")
    owners.set_peers(
        peer._replace(processors=4.0 if number < 10 else 1.0)
        for number, peer in enumerate(peers)
    )
    strong = {peer.name for peer in peers[:10]}
    chosen = [owners.candidates(make_server(f"s{n}"))[0].name for n in range(600)]
    # 10 VMs with 40 of 60 cores.
    share = sum(name in strong for name in chosen) / len(chosen)
    assert 0.57 < share < 0.77


def test_forwarding_is_useful_only_where_connections_are_scarce():
    assert not is_forwarding_useful(60, 2, 2)
    assert is_forwarding_useful(180, 195, 141)


@pytest.fixture
def clock(monkeypatch):
    time = [100.0]
    monkeypatch.setattr(owners_module, "monotonic", lambda: time[0])
    return time


def test_silent_vm_is_asked_again_after_a_sign_of_life(clock):
    health = PeerHealth()
    health.note_silent("u")
    assert not health.may_ask("u", "s")
    assert not health.update_silence("u", 99.0)
    clock[0] += SILENT_RETRY_S + 0.1
    # It is time to ask for a sign of life, at most once in each interval.
    assert health.update_silence("u", 99.0)
    assert not health.update_silence("u", 99.0)
    assert not health.may_ask("u", "s")
    health.update_silence("u", clock[0])
    assert health.may_ask("u", "s")


def test_vm_that_hears_nobody_uses_its_own_connections(clock):
    health = PeerHealth()
    for number in range(OWN_FAILURE_COUNT):
        assert health.may_ask("healthy", "s")
        health.note_silent(f"u{number}")
    assert not health.may_ask("healthy", "s")
    clock[0] += OWN_FAILURE_S + 0.1
    assert health.may_ask("healthy", "s")


def test_loss_of_many_vms_is_not_taken_for_an_own_failure(clock):
    # Guards against all VMs using connections of their own when a failure domain is
    # lost, which the servers have no room for.
    health = PeerHealth()
    for number in range(40):
        clock[0] += 0.01
        health.note_silent(f"u{number}")
        if number % 5 == 0:
            health.note_answered()
    assert health.may_ask("healthy", "s")


def test_refusals_hold_for_a_server_and_stops_for_a_while(clock):
    health = PeerHealth()
    health.note_refused("u", "s1")
    assert not health.may_ask("u", "s1")
    assert health.may_ask("u", "s2")
    clock[0] += REFUSED_S + 0.1
    assert health.may_ask("u", "s1")
    health.note_leaving("u")
    assert not health.may_ask("u", "s2")
    clock[0] += LEAVING_S + 0.1
    assert health.may_ask("u", "s2")


def test_call_to_a_busy_peer_does_not_end_early(monkeypatch):
    # Guards against a second run of reads that only take long.
    monkeypatch.setattr(forwarding_module, "SILENCE_S", 0.02)

    async def scenario(fleet):
        caller = await Caller.connect(fleet.sender.port)
        await caller.execute("WRITE x 1")
        for server in fleet.group.servers:
            run_statement = server._run

            def run_slowly(session, text, run_statement=run_statement):
                if "READ" in text:
                    server_loop = asyncio.get_running_loop()
                    end = server_loop.time() + 0.001
                    while server_loop.time() < end:
                        continue
                return run_statement(session, text)

            server._run = run_slowly
        lines, _ = await caller.execute("READ x")
        assert lines[0] == "ROW 1"
        reads = [
            request_id
            for server in fleet.group.servers
            for request_id, text in server.statements
            if text.endswith("READ x")
        ]
        assert len(reads) == 1

    run(scenario)
