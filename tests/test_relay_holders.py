"""Which servers may hold a commit that no other has, and when one no longer matters."""

import asyncio

import pytest

from citronwood.errors import ConnectionLostError, DeadlineExceededError
from citronwood.relay import fencing as fencing_module
from citronwood.relay.connection import SessionSettings
from citronwood.relay.fencing import MAX_COMMIT_CALLS, FencedVm, Fencing
from citronwood.relay.holders import (
    Holder,
    Report,
    awaited_servers,
    is_log_kept,
    new_holders,
    update_holders,
)
from citronwood.relay.messages import AskCommits, CommitsAnswer
from citronwood.relay.model import BackendServer, Position, Role
from citronwood.relay.pool import ServerPool
from citronwood.relay.positions import NewestCommits
from citronwood.relay.registry import RegisteredVm, VmListing
from citronwood.relay.statement import Answer, Statement, TransactionState, Verb
from citronwood.relay.view import LEASE_MARGIN_S, LEASE_S
from citronwood.versions import make_version
from tests.virtual_time import run_virtually


def server(name, started_at=1):
    return BackendServer(name, "g", "h", 1, "z", Role.REPLICA, False, 5, started_at)


def report(name, number, started_at=1):
    return Report(server(name, started_at), Position(1, number))


def holder(number, started_at=1):
    return Holder(started_at, Position(1, number))


P, A, B = server("p"), server("a"), server("b")
KNOWN = {"p": holder(5), "a": holder(3), "b": holder(5)}


def test_all_listed_servers_are_holders_at_the_start_of_a_term():
    holders = new_holders(report("p", 5), [P, A])
    assert holders == {"p": holder(5), "a": Holder(1, Position(0, 0))}


@pytest.mark.parametrize(
    ("position_of_a", "remaining"),
    [
        (9, {"p", "a"}),
        # The listed replica lacks what the primary has, or gave no answer.
        (8, {"p", "a", "b"}),
        (None, {"p", "a", "b"}),
    ],
)
def test_lost_replica_matters_until_all_others_have_what_the_primary_had(
    position_of_a, remaining
):
    reports = [] if position_of_a is None else [report("a", position_of_a)]
    holders = update_holders(KNOWN, report("p", 9), [P, A], reports)
    assert holders.keys() == remaining


def test_lost_replica_matters_while_no_other_one_is_listed():
    assert update_holders(KNOWN, report("p", 9), [P], []).keys() == {"p", "a", "b"}


def test_new_process_takes_the_place_of_the_former_one_once_it_has_caught_up():
    restarted = server("b", started_at=2)
    reports = [report("a", 3), report("b", 0, started_at=2)]
    holders = update_holders(KNOWN, report("p", 9), [P, A, restarted], reports)
    assert holders["b"] == KNOWN["b"]
    reports = [report("a", 3), report("b", 9, started_at=2)]
    holders = update_holders(KNOWN, report("p", 9), [P, A, restarted], reports)
    assert holders["b"] == holder(9, started_at=2)


def test_recorded_positions_never_decrease():
    holders = update_holders(KNOWN, report("p", 4), [P, A, B], [report("b", 1)])
    assert holders == KNOWN


@pytest.mark.parametrize(
    ("reported", "expected"),
    [
        (report("b", 5), True),
        # Restarted without its log, before and after its new entry is known.
        (report("b", 0), False),
        (report("b", 0, started_at=2), False),
        # Restarted with a part of its log, and with all of it.
        (report("b", 5, started_at=2), False),
        (report("b", 8, started_at=2), True),
        (report("unknown", 0), True),
    ],
)
def test_report_counts_only_if_the_log_was_kept(reported, expected):
    holders = {**KNOWN, "p": holder(8)}
    assert is_log_kept(reported, holders, "p") is expected


def test_change_waits_for_holders_and_listed_replicas_that_did_not_report():
    listed = [A, server("c")]
    assert awaited_servers(KNOWN, listed, [report("a", 3)], "p") == ["b", "c"]
    reports = [report("a", 3), report("b", 4), report("c", 0)]
    assert awaited_servers(KNOWN, listed, reports, "p") == ["b"]


class FakeRpc:
    def __init__(self, answers):
        self._answers = answers
        self.calls_to_lose = 0

    async def call(self, url, message, answer_type, deadline):
        assert isinstance(message, AskCommits)
        self.calls_to_lose -= 1
        if self._answers[url] is None or self.calls_to_lose >= 0:
            raise DeadlineExceededError("silent")
        return self._answers[url]


async def never_ended(url):
    return False


def collect(answers, processes, confirmed=True, rpc=None):
    own = Position(1, 2)
    rpc = rpc or FakeRpc(answers)
    fencing = Fencing("vm0", rpc, None, never_ended, None, lambda _: own)
    fenced = [FencedVm(RegisteredVm(name, name, 1), confirmed) for name in answers]
    return asyncio.run(fencing.collect_newest_commit("g", fenced, processes))


def test_newest_commit_is_that_of_all_vms():
    answers = {
        "vm1": CommitsAnswer(7, True, Position(1, 9)),
        "vm2": CommitsAnswer(8, False, Position(0, 0)),
    }
    assert collect(answers, {"vm1": 7}) == Position(1, 9)


@pytest.mark.parametrize(
    ("answer", "processes", "confirmed"),
    [
        # No answer, and one of a process that does not know a position.
        (None, {"vm1": 7}, True),
        (CommitsAnswer(7, False, None), {"vm1": 7}, True),
        # The process has been replaced since the primary was asked.
        (CommitsAnswer(8, False, Position(1, 9)), {"vm1": 7}, True),
        (CommitsAnswer(8, True, Position(1, 9)), {}, True),
        # The VM had not reported, or has left the list, or did not confirm the fence.
        (CommitsAnswer(7, False, Position(1, 9)), {"vm1": None}, True),
        (CommitsAnswer(7, False, Position(1, 9)), {"vm1": 7, "vm2": 3}, True),
        (CommitsAnswer(7, False, Position(1, 9)), {"vm1": 7}, False),
    ],
)
def test_newest_commit_is_unknown_if_that_of_a_process_may_be_missing(
    answer, processes, confirmed
):
    assert collect({"vm1": answer}, processes, confirmed=confirmed) is None


def test_vm_that_misses_a_request_for_its_newest_commit_is_asked_again():
    # Guards against a change of primary that waits for lost servers because one call to
    # a VM timed out.
    answer = CommitsAnswer(7, False, Position(1, 9))
    rpc = FakeRpc({"vm1": answer})
    rpc.calls_to_lose = 2
    assert collect({"vm1": answer}, {"vm1": 7}, rpc=rpc) == Position(1, 9)
    rpc.calls_to_lose = MAX_COMMIT_CALLS
    assert collect({"vm1": answer}, {"vm1": 7}, rpc=rpc) is None


@pytest.mark.parametrize(
    ("generation", "is_current"), [(1, True), (0, False), (2, False)]
)
def test_list_of_vms_of_another_generation_is_told_and_its_leases_waited_for(
    generation, is_current
):
    # Guards against a primary that a VM uses whose entry a restored store lacks.
    async def list_vms():
        return VmListing([], generation)

    async def scenario(loop):
        fencing = Fencing("vm0", None, list_vms, never_ended, never_ended, None)
        written_at = loop.time()
        blocked = await fencing.block("g", make_version(1, 5), written_at)
        assert blocked.is_list_current == is_current
        assert loop.time() == written_at
        await fencing.wait_for_leases("g", written_at)
        return loop.time() - written_at

    expected = LEASE_S + LEASE_MARGIN_S
    assert run_virtually(scenario, fencing_module) == pytest.approx(expected)


def test_newest_commit_is_unknown_after_a_commit_without_a_position():
    commits = NewestCommits()
    assert commits.of_group("g") == Position(0, 0)
    commits.note("g", Position(1, 4))
    commits.note("g", Position(1, 3))
    assert commits.of_group("g") == Position(1, 4)
    commits.note("g", None)
    commits.note("g", Position(1, 5))
    assert commits.of_group("g") is None


class RawConnection:
    """Answers each statement when the test allows it."""

    def __init__(self):
        self.is_open = True
        self.may_answer = asyncio.Event()
        self.state = TransactionState.IDLE

    async def run(self, request_id, text, deadline, after=None):
        await self.may_answer.wait()
        return Answer(state=self.state, position=Position(1, 6))

    def abort(self):
        self.is_open = False


def run_statement(verb, state=TransactionState.IDLE, abort=False):
    """Return the commits noted, and whether the statement got its answer."""
    noted = []

    async def scenario():
        raw = RawConnection()
        raw.state = state

        async def connect(*_):
            return raw

        pool = ServerPool(P, connect, 1, lambda *commit: noted.append(commit))
        deadline = asyncio.get_running_loop().time() + 5.0
        connection = await pool.acquire("acme", SessionSettings(), deadline)
        statement = Statement("r1", verb, verb.value)
        task = asyncio.create_task(
            connection.run(statement, SessionSettings(), deadline)
        )
        await asyncio.sleep(0)
        raw.may_answer.set()
        if abort:
            pool.abort_all()
        try:
            return bool(await task)
        except ConnectionLostError as error:
            assert error.sent
            return False

    return noted, asyncio.run(scenario())


def test_acknowledged_commits_are_noted():
    commit = ("g", Position(1, 6))
    assert run_statement(Verb.WRITE) == ([commit], True)
    assert run_statement(Verb.COMMIT) == ([commit], True)
    assert run_statement(Verb.WRITE, TransactionState.OPEN) == ([], True)
    assert run_statement(Verb.READ) == ([], True)


def test_answer_that_arrives_while_the_group_is_blocked_is_not_passed_on():
    # Guards against a commit that is acknowledged after the VM has named its newest.
    assert run_statement(Verb.WRITE, abort=True) == ([], False)
