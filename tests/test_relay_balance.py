"""Choice of servers for reads: each failure alone, and the load in a replay."""

import asyncio
import math
import random

import pytest

from citronwood.errors import ConnectionLostError
from citronwood.metrics import Metrics
from citronwood.relay import balance as balance_module
from citronwood.relay.balance import (
    FAILURES_IN_A_ROW,
    FIRST_MAX_WAIT_S,
    LEFT_OUT_S,
    MAX_DECLINES,
    MAX_REPORT_AGE_S,
    Candidate,
    Choice,
    ReadAttempts,
    ReadBalance,
    Result,
    judge,
    judge_loss,
)
from citronwood.relay.messages import OpenLease
from citronwood.relay.server_load import ServerLoad
from citronwood.relay.statement import Answer, Failure, Reason
from tests import balance_model
from tests.relay_standins import Caller
from tests.test_relay_forwarding import run

FULL = ServerLoad(4, 4, 8, 15.0)
IDLE = ServerLoad(4, 0, 0, 15.0)
PRIMARY = Candidate("p", 4, False, True, False, None)
NEAR = Candidate("near", 4, True, False, False, None)
FAR = Candidate("far", 4, False, False, False, None)
GROUP = (PRIMARY, NEAR, FAR)


class Knowledge:
    """A VM's knowledge of the servers, with a clock that the test sets."""

    def __init__(self, **loads):
        self.time = 100.0
        self.metrics = Metrics()
        self.balance = ReadBalance(self.metrics, lambda: self.time, random.Random(1))
        for server, load in loads.items():
            self.balance.note_load(server, load)

    def choose(self, candidates=GROUP, **declined):
        attempts = ReadAttempts(self.balance)
        attempts.declined.update(declined)
        return self.balance.choose(candidates, attempts)

    def servers(self, candidates=GROUP, count=50):
        """Return the servers that are chosen for a number of reads."""
        return {self.choose(candidates).server for _ in range(count)}

    def end_read(self, candidate, result):
        attempts = ReadAttempts(self.balance)
        attempts.start(candidate)
        attempts.finish(result)


def test_own_domain_is_left_only_for_a_free_slot():
    assert Knowledge().servers() == {"near"}
    assert Knowledge(near=IDLE, far=IDLE).servers() == {"near"}
    knowledge = Knowledge(near=FULL, far=IDLE, p=FULL)
    choice = knowledge.choose()
    assert choice.server == "far"
    # It may wait there until waiting in the own domain would take as long.
    assert FIRST_MAX_WAIT_S < choice.max_wait_s < 0.04
    assert Knowledge().choose().max_wait_s == FIRST_MAX_WAIT_S


def test_report_that_is_too_old_is_ignored():
    knowledge, replicas = Knowledge(near=FULL, far=FULL), (NEAR, FAR)
    knowledge.time += MAX_REPORT_AGE_S - 0.01
    assert knowledge.choose(replicas).max_wait_s > FIRST_MAX_WAIT_S
    knowledge.time += 0.01
    assert knowledge.choose(replicas).max_wait_s == FIRST_MAX_WAIT_S


def test_own_reads_since_the_last_report_count():
    # Guards against a burst that one VM sends to the server of its last report.
    knowledge = Knowledge(near=IDLE, far=IDLE)
    knowledge.time += 0.01
    for _ in range(6):
        ReadAttempts(knowledge.balance).start(NEAR)
    assert knowledge.choose().server != "near"


def test_faults_of_callers_and_lagging_replicas_are_no_failures_of_servers():
    faults = {
        reason
        for reason in Reason
        if judge(Answer(failure=Failure(reason, ""))) is Result.FAILED
    }
    assert faults == {Reason.TIMED_OUT, Reason.OVERLOADED}
    assert judge_loss(ConnectionLostError("", sent=False)) is Result.UNKNOWN


@pytest.mark.parametrize(
    "load",
    [
        FULL._replace(mean_ms=math.nan),
        FULL._replace(mean_ms=math.inf),
        FULL._replace(mean_ms=-1.0),
        FULL._replace(slots=0),
        FULL._replace(running=-5),
    ],
)
def test_malformed_report_is_ignored(load):
    knowledge = Knowledge(near=IDLE)
    knowledge.balance.note_load("near", load)
    assert knowledge.servers() == {"near"}
    assert knowledge.metrics.counters["reads.malformed_load"] == 1


def test_reads_do_not_wait_at_the_primary():
    # Guards against reads that delay the writes, which only the primary can run.
    assert Knowledge(near=FULL, far=FULL, p=IDLE).choose() == Choice("p", 0.0)
    knowledge = Knowledge(near=FULL, far=FULL, p=FULL._replace(waiting=0))
    assert "p" not in knowledge.servers()
    assert knowledge.choose(near=0.09, far=0.02) == Choice("far", None)
    assert knowledge.choose((PRIMARY,)) is None


def test_vms_without_knowledge_do_not_choose_the_same_server():
    others = [Candidate(f"r{number}", 4, False, False, False, None) for number in "123"]
    assert len(Knowledge().servers(others)) == len(others)


def test_server_that_fails_reads_in_a_row_is_left_out_and_then_tried_once():
    knowledge = Knowledge()
    for _ in range(FAILURES_IN_A_ROW):
        knowledge.end_read(NEAR, Result.FAILED)
    assert "near" not in knowledge.servers()
    # A declined read does not go there either.
    assert knowledge.choose(far=0.05, p=0.0).server == "far"
    knowledge.time += LEFT_OUT_S
    attempts = ReadAttempts(knowledge.balance)
    assert knowledge.balance.choose(GROUP, attempts).server == "near"
    attempts.start(NEAR)
    assert "near" not in knowledge.servers()
    attempts.finish(Result.GOOD)
    assert "near" in knowledge.servers()


def test_replica_that_was_behind_is_left_out_for_the_same_database_only():
    knowledge = Knowledge()
    attempts = ReadAttempts(knowledge.balance, "shop")
    attempts.start(NEAR)
    attempts.note_behind(has_own_commit=False)
    assert knowledge.balance.choose(GROUP, attempts).server != "near"
    assert knowledge.servers() == {"near"}
    knowledge.time += balance_module.BEHIND_S
    assert knowledge.balance.choose(GROUP, attempts).server == "near"


class BalancedFleet:
    """VMs that balance reads, one of which is the owner of no server."""

    def __init__(self, fleet):
        self.vms, self.servers = fleet.vms, fleet.group.servers
        self.fleet = fleet
        owners = [self.owner(server.id) for server in self.servers]
        self.sender = next(vm for vm in fleet.vms if vm not in owners)
        fleet.sender = self.sender
        self.balance = self.sender.node._servers.balance
        self.calls = []
        call = self.sender.node._rpc.call

        async def record(url, message, *arguments, **options):
            if isinstance(message, OpenLease):
                self.calls.append(message)
                self.before_call(message)
            answer = await call(url, message, *arguments, **options)
            return self.change_answer(answer)

        self.sender.node._rpc.call = record

    def before_call(self, message):
        pass

    def change_answer(self, answer):
        return answer

    def owner(self, server):
        node = self.fleet.vms[0].node
        known = node._servers.get(server).server
        name = node._owners.candidates(known)[0].name
        return next(vm for vm in self.vms if vm.node._options.name == name)

    def report_full_replicas(self):
        for server in self.servers[1:]:
            self.balance.note_load(server.id, FULL)

    def reads_at(self, server):
        return sum("READ x" in text for _, text in server.statements)


def run_balanced(scenario):
    async def with_caller(fleet):
        balanced = BalancedFleet(fleet)
        caller = await Caller.connect(balanced.sender.port)
        lines, _ = await caller.execute("WRITE x 1")
        assert lines[0].startswith("DONE")
        await asyncio.sleep(0.15)
        balanced.calls.clear()
        await scenario(balanced, caller)

    run(with_caller, relay_options={"balances_reads": True})


async def read(caller):
    lines, _ = await caller.execute("READ x")
    return lines[0]


def test_reads_are_answered_while_owners_are_silent():
    async def scenario(fleet, caller):
        for server in fleet.servers[1:]:
            fleet.fleet.silence(fleet.owner(server.id))
        assert {await read(caller) for _ in range(5)} == {"ROW 1"}

    run_balanced(scenario)


def test_reads_are_answered_after_an_owner_has_gone():
    async def scenario(fleet, caller):
        await fleet.owner("orders-1").node.close()
        assert {await read(caller) for _ in range(10)} == {"ROW 1"}

    run_balanced(scenario)


def test_read_whose_answer_was_lost_runs_again():
    async def scenario(fleet, caller):
        fleet.fleet.lose_answers(OpenLease)
        assert await read(caller) == "ROW 1"
        assert len(fleet.calls) == 2

    run_balanced(scenario)


def test_malformed_report_costs_no_read():
    async def scenario(fleet, caller):
        fleet.change_answer = lambda answer: answer._replace(
            load=ServerLoad(0, -1, 0, math.inf)
        )
        assert await read(caller) == "ROW 1"
        counters = fleet.sender.node._metrics.counters
        assert counters["reads.malformed_load"] == 1

    run_balanced(scenario)


def test_read_on_its_way_to_a_replaced_primary_runs_elsewhere():
    async def scenario(fleet, caller):
        def replace_primary(message):
            if message.max_wait_ms == 0:
                for vm in fleet.vms:
                    vm.node._view.primary_of = lambda group: "orders-1"

        fleet.before_call = replace_primary
        fleet.report_full_replicas()
        assert await read(caller) == "ROW 1"
        assert fleet.calls[0].server == "orders-0"
        assert fleet.reads_at(fleet.servers[0]) == 0

    run_balanced(scenario)


def test_read_that_all_servers_decline_runs_without_a_limit(monkeypatch):
    monkeypatch.setattr(balance_module, "expected_wait_s", lambda *_: 0.05)

    async def scenario(fleet, caller):
        assert await read(caller) == "ROW 1"
        assert len(fleet.calls) == MAX_DECLINES + 1
        limits = [call.max_wait_ms for call in fleet.calls]
        assert None not in limits[:-1]
        assert limits[-1] is None
        assert sum(fleet.reads_at(server) for server in fleet.servers) == 1

    run_balanced(scenario)


def test_read_transaction_begins_where_a_slot_is_free():
    async def scenario(fleet, caller):
        fleet.report_full_replicas()
        await caller.execute("BEGIN READ")
        assert await read(caller) == "ROW 1"
        assert fleet.reads_at(fleet.servers[0]) == 1

    run_balanced(scenario)


def test_read_that_fails_at_a_server_runs_at_another():
    async def scenario(fleet, caller):
        failing = fleet.servers[1]
        failing._read = lambda session, parameters: "ERROR FAILED disk\r\n"
        assert {await read(caller) for _ in range(40)} == {"ROW 1"}
        assert 0 < fleet.reads_at(failing) <= FAILURES_IN_A_ROW + 1

    run_balanced(scenario)


def test_statement_that_fails_everywhere_does_not_count_against_servers():
    async def scenario(fleet, caller):
        for server in fleet.servers:
            server._read = lambda session, parameters: "ERROR FAILED syntax\r\n"
        for _ in range(5):
            assert (await read(caller)).startswith("ERROR FAILED syntax")
        assert sum(fleet.reads_at(server) for server in fleet.servers) <= 10
        assert "reads.left_out" not in fleet.sender.node._metrics.counters

    run_balanced(scenario)


@pytest.mark.parametrize("scenario", balance_model.SCENARIOS)
def test_load_is_even_in_a_replay(scenario):
    # Guards against a server with twice the mean load beside idle ones, as measured
    # when the choice depended on the failure domain alone.
    today, perfect, balanced = (
        balance_model.replay(scenario, policy)
        for policy in ("today", "perfect knowledge", "balanced")
    )
    assert balanced.imbalance <= 1.15
    assert balanced.p99_ms <= 1.5 * perfect.p99_ms
    assert today.imbalance > 1.15
