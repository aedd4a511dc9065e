"""Tests of statements on another VM: chunked results, outcomes and clean-up."""

import asyncio

import pytest
from result import Err, Ok

from citronwood.backend import service as service_module
from citronwood.backend.api import Column, Position, Reply, Request, StatementKind
from citronwood.backend.remote import RemoteExecutor
from citronwood.backend.service import ExecutorService
from citronwood.deadline import deadline_in
from citronwood.errors import BackendUnavailableError, ErrorCode, Outcome, Refusal
from tests.fleet_helpers import eventually, rpcs, run


class LocalExecutor:
    """Stub executor; the SQL text selects the result.

    ``rows BATCHES SIZE`` returns this many batches of ten rows of this size.
    """

    def __init__(self):
        self.requests = []
        self.ended_sessions = []
        self.batches_read = 0
        self.closed = 0

    async def execute(self, request):
        self.requests.append(request)
        if request.sql == "slow":
            await asyncio.sleep(0.3)
        if request.sql == "refuse":
            return Err(Refusal(9005, "failed", Outcome.NOT_RUN, True))
        if request.sql == "crash":
            raise ValueError("fault")
        rows = None
        if request.sql.startswith("rows"):
            _, batches, size = request.sql.split()
            rows = self._rows(int(batches), int(size))
        return Ok(
            Reply(
                columns=(Column("a", 253, False),),
                rows=rows,
                affected_rows=3,
                last_insert_id=7,
                position=Position(2, 9),
                in_transaction=request.in_transaction,
                served_by="m1",
                replica=True,
            )
        )

    async def _rows(self, batches, size):
        try:
            for number in range(batches):
                self.batches_read += 1
                yield [(b"%04d" % number, None, b"x" * size)] * 10
        finally:
            self.closed += 1

    async def end_session(self, session_id):
        self.ended_sessions.append(session_id)


def request(sql, timeout=5.0, **fields):
    base = Request(
        session_id="s1",
        account="acct",
        route="r",
        group="g",
        sql=sql,
        kind=StatementKind.WRITE,
        floor=Position(1, 2),
        max_age_ms=None,
        idempotency_key="k",
        in_transaction=False,
        deadline=deadline_in(timeout),
    )
    return base._replace(**fields)


def with_service(check):
    """Run a check with a service and an executor that are connected."""

    async def scenario():
        async with rpcs("entry", "gateway") as (entry, gateway):
            local = LocalExecutor()
            service = ExecutorService(gateway, local)
            await check(RemoteExecutor(entry, gateway.url), service, local, gateway)
            await service.close()

    run(scenario())


def test_statement_and_reply_arrive_complete():
    async def check(executor, service, local, gateway):
        sent = request("insert", in_transaction=True)
        reply = (await executor.execute(sent)).ok_value
        assert reply == Reply(
            (Column("a", 253, False),), None, 3, 7, Position(2, 9), True, "m1", True
        )
        received = local.requests[0]
        assert received._replace(deadline=sent.deadline) == sent
        assert abs(received.deadline - sent.deadline) < 0.5
        assert (await executor.execute(request("rows 0 0"))).ok_value.rows is not None

    with_service(check)


@pytest.mark.parametrize(("batches", "size"), [(3, 10), (40, 5000), (5, 500_000)])
def test_large_results_arrive_complete(batches, size):
    async def check(executor, service, local, gateway):
        reply = (await executor.execute(request(f"rows {batches} {size}"))).ok_value
        rows = [row async for batch in reply.rows for row in batch]
        assert len(rows) == 10 * batches
        assert [row[0] for row in rows] == sorted(row[0] for row in rows)
        assert all(row[1] is None and len(row[2]) == size for row in rows)
        assert service.stored_results == 0
        assert local.closed == 1

    with_service(check)


def test_slow_reader_holds_back_the_gateway_and_may_stop():
    # Guards against unbounded buffers and leaked connections.
    async def check(executor, service, local, gateway):
        reply = (await executor.execute(request("rows 1000 5000"))).ok_value
        await anext(reply.rows)
        await asyncio.sleep(0.1)
        assert local.batches_read <= 12
        assert service.stored_results == 1
        await reply.rows.aclose()
        await eventually(lambda: service.stored_results == 0 and local.closed == 1)

    with_service(check)


def test_result_that_is_not_fetched_is_dropped(monkeypatch):
    monkeypatch.setattr(service_module, "RESULT_IDLE_TIMEOUT_S", 0.1)

    async def check(executor, service, local, gateway):
        reply = (await executor.execute(request("rows 1000 5000"))).ok_value
        await eventually(lambda: service.stored_results == 0 and local.closed == 1)
        await anext(reply.rows)
        with pytest.raises(BackendUnavailableError):
            await anext(reply.rows)

    with_service(check)


def test_answer_after_the_time_given_to_the_gateway_is_waited_for():
    # Guards against giving up before the refusal that the gateway sends at its deadline
    # arrives. The outcome of a BEGIN would be unknown.
    async def check(executor, service, local, gateway):
        sent = request("slow", timeout=0.1, answer_deadline=deadline_in(5.0))
        assert isinstance(await executor.execute(sent), Ok)
        late = await executor.execute(request("slow", timeout=0.1))
        assert late.err_value.outcome is Outcome.UNKNOWN

    with_service(check)


def test_row_longer_than_a_message_is_an_error():
    async def check(executor, service, local, gateway):
        refusal = (await executor.execute(request("rows 1 1000000"))).err_value
        assert (refusal.code, refusal.outcome) == (9002, Outcome.UNKNOWN)
        assert local.closed == 1

    with_service(check)


def test_outcomes_tell_whether_the_statement_ran():
    # Guards against "not run" for a statement that may have run, and vice versa.
    async def check(executor, service, local, gateway):
        refusal = (await executor.execute(request("refuse"))).err_value
        assert refusal == Refusal(9005, "failed", Outcome.NOT_RUN, True)
        for sql, timeout in (("crash", 5.0), ("slow", 0.1)):
            sent = request(sql, timeout, in_transaction=True)
            refusal = (await executor.execute(sent)).err_value
            assert refusal.code == ErrorCode.OUTCOME_UNKNOWN
            assert refusal.outcome is Outcome.UNKNOWN
            assert refusal.transaction_lost
        too_long = request("x" * (1 << 20))
        refusal = (await executor.execute(too_long)).err_value
        assert (refusal.code, refusal.outcome) == (1153, Outcome.NOT_RUN)
        await gateway.close()
        await asyncio.sleep(0.1)
        refusal = (await executor.execute(request("x", 0.3))).err_value
        assert (refusal.code, refusal.outcome) == (9001, Outcome.NOT_RUN)
        assert [statement.sql for statement in local.requests] == [
            "refuse",
            "crash",
            "slow",
        ]

    with_service(check)


def test_sessions_without_a_transaction_are_not_kept():
    # Guards against memory growth with every forwarded session.
    async def check(executor, service, local, gateway):
        for number in range(50):
            await executor.execute(request("x", session_id=f"s{number}"))
        assert service.tracked_sessions == 0

    with_service(check)


def test_sessions_of_a_dead_vm_end_and_stay_ended():
    async def check(executor, service, local, gateway):
        incarnation = executor._rpc.incarnation
        await executor.execute(request("rows 1000 5000", session_id="s1"))
        await executor.execute(request("x", session_id="s2"))
        await executor.end_session("s2")
        await service.end_vm_sessions("entry", incarnation - 1)
        assert local.ended_sessions == ["s2"]
        await service.end_vm_sessions("entry", incarnation)
        assert local.ended_sessions == ["s2", "s1"]
        assert service.stored_results == 0
        refusal = (await executor.execute(request("x", session_id="s1"))).err_value
        assert (refusal.code, refusal.outcome) == (9001, Outcome.NOT_RUN)
        # Guards against callers that repeat a statement of a lost transaction forever.
        late = request("x", session_id="s1", in_transaction=True)
        refusal = (await executor.execute(late)).err_value
        assert (refusal.code, refusal.transaction_lost) == (9005, True)

    with_service(check)
