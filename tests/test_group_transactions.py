"""Tests of transactions and at-most-once execution on a group."""

import asyncio

import pytest
from asyncmy.errors import InterfaceError

from citronwood.backend.api import Reply
from citronwood.backend.connection import BackendConnection
from citronwood.deadline import deadline_in
from citronwood.errors import ConnectionLostError, ErrorCode, Outcome
from tests.group_cluster import run, wait_until

COUNT = "SELECT COUNT(*) FROM w"


async def begin(gateway, session, **fields):
    reply = await run(gateway, "BEGIN", "begin", session=session, **fields)
    assert isinstance(reply, Reply) and reply.in_transaction, reply


async def run_in_transaction(gateway, session, sql, kind="write", **fields):
    return await run(gateway, sql, kind, session=session, in_transaction=True, **fields)


def test_transaction_commits_or_rolls_back(cluster):
    async def scenario():
        async with cluster.gateways() as (gateway,):
            for end in ("commit", "rollback"):
                await begin(gateway, "s")
                await run_in_transaction(gateway, "s", "INSERT INTO w (n) VALUES (1)")
                count = await run_in_transaction(gateway, "s", COUNT, "read")
                assert count.rows == [(b"1" if end == "commit" else b"2",)]
                reply = await run_in_transaction(gateway, "s", end.upper(), end)
                assert not reply.in_transaction
            assert (await run(gateway, COUNT, "read")).rows == [(b"1",)]
            assert gateway.open_transactions == 0
            # Guards against a transaction that stays open when its session ends, and
            # blocks other writes.
            await begin(gateway, "t")
            await run_in_transaction(gateway, "t", "INSERT INTO w (n) VALUES (3)")
            await gateway.end_session("t")
            assert isinstance(await run(gateway, "DELETE FROM w", "write"), Reply)

    asyncio.run(scenario())


@pytest.mark.parametrize("fault", ["kill", "freeze"])
def test_lost_transaction_is_reported_once(cluster, fault):
    """Guards against running statements outside a transaction that was lost."""

    async def scenario():
        async with cluster.gateways() as (gateway,):
            await begin(gateway, "s")
            await run_in_transaction(gateway, "s", "INSERT INTO w (n) VALUES (1)")
            getattr(cluster, fault)("m1")
            answer = await run_in_transaction(
                gateway, "s", "INSERT INTO w (n) VALUES (2)"
            )
            assert (answer.code, answer.outcome, answer.transaction_lost) == (
                ErrorCode.TRANSACTION_FAILED,
                Outcome.NOT_RUN,
                True,
            )
            reply = await run_in_transaction(gateway, "s", "ROLLBACK", "rollback")
            assert isinstance(reply, Reply)
            assert (await run(gateway, COUNT, "read")).rows == [(b"0",)]

    asyncio.run(scenario())


@pytest.mark.parametrize("key", [None, "k"])
def test_lost_answer_of_commit(start_cluster, key):
    """Guards against reporting a committed transaction as rolled back."""
    cluster = start_cluster(proxied=True)

    async def scenario():
        async with cluster.gateways() as (gateway,):
            await begin(gateway, "s", idempotency_key=key)
            await run_in_transaction(gateway, "s", "INSERT INTO w (n) VALUES (1)")
            cluster.proxies["m1"].delay(to_client_s=0.3)
            commit = asyncio.create_task(
                run_in_transaction(gateway, "s", "COMMIT", "commit")
            )
            await asyncio.sleep(0.7 if key else 0.2)
            cluster.proxies["m1"].reset()
            cluster.proxies["m1"].heal()
            answer = await commit
            if key is None:
                assert answer.code == ErrorCode.OUTCOME_UNKNOWN
                assert answer.outcome is Outcome.UNKNOWN
            else:
                assert isinstance(answer, Reply), answer
                again = await run(gateway, "BEGIN", "begin", idempotency_key=key)
                assert again.code == ErrorCode.ALREADY_COMMITTED
            # The commit is in the log of the primary and is replicated eventually.
            primary = gateway.view.primary.log_position
            reply = await run(gateway, COUNT, "read", floor=primary)
            assert reply.rows == [(b"1",)]

    asyncio.run(scenario())


def test_repeat_under_a_key_gets_the_first_answer(cluster):
    """Guards against running a keyed statement twice, or another with the same key."""

    async def scenario():
        async with cluster.gateways(2) as (first, second):
            sql = "INSERT INTO w (n) VALUES (5), (6)"
            answers = await asyncio.gather(
                *(
                    run(gateway, sql, "write", idempotency_key="k")
                    for gateway in (first, second) * 4
                )
            )
            assert all(isinstance(answer, Reply) for answer in answers), answers
            assert {(a.affected_rows, a.last_insert_id) for a in answers} == {
                (answers[0].affected_rows, answers[0].last_insert_id)
            }
            assert answers[0].affected_rows == 2
            cluster.kill("m1")
            repeat = await run(second, sql, "write", idempotency_key="k")
            assert isinstance(repeat, Reply), repeat
            assert repeat.last_insert_id == answers[0].last_insert_id
            assert repeat.position.term == 2
            other = await run(second, "DELETE FROM w", "write", idempotency_key="k")
            assert other.code == ErrorCode.IDEMPOTENCY_KEY_REUSED
            assert (await run(second, COUNT, "read")).rows == [(b"2",)]

    asyncio.run(scenario())


def test_failed_statement_leaves_no_record(cluster):
    """Guards against an idempotency record of a statement that did not run."""

    async def scenario():
        async with cluster.gateways() as (gateway,):
            bad = await run(
                gateway, "INSERT INTO nowhere VALUES (1)", "write", idempotency_key="k"
            )
            assert (bad.code, bad.outcome) == (1146, Outcome.FAILED)
            good = await run(
                gateway, "INSERT INTO w (n) VALUES (1)", "write", idempotency_key="k"
            )
            assert isinstance(good, Reply)

    asyncio.run(scenario())


def test_late_answers_are_never_matched_to_other_statements(start_cluster):
    """Guards against reusing a connection on which an answer is still in flight."""
    cluster = start_cluster(proxied=True, max_connections=60)

    async def scenario():
        async with cluster.gateways() as (gateway,):

            async def ask(number):
                sql = f"SELECT {number}"
                reply = await run(gateway, sql, "read", timeout_s=0.25)
                if isinstance(reply, Reply):
                    assert reply.rows == [(str(number).encode(),)], "crossed answers"
                    return 1
                return 0

            async def write(number):
                session = f"t{number}"
                start = await run(
                    gateway, "BEGIN", "begin", session=session, timeout_s=0.4
                )
                if not isinstance(start, Reply):
                    return
                sql = f"INSERT INTO w (n) VALUES ({number})"
                answer = await run_in_transaction(gateway, session, sql, timeout_s=0.2)
                if isinstance(answer, Reply):
                    await run_in_transaction(gateway, session, "ROLLBACK", "rollback")

            answered = 0
            for round_number in range(6):
                delay = 0.3 if round_number % 2 else 0.0
                for proxy in cluster.proxies.values():
                    proxy.delay(to_client_s=delay)
                numbers = range(round_number * 100, round_number * 100 + 12)
                found = await asyncio.gather(*map(ask, numbers), *map(write, numbers))
                answered += sum(filter(None, found))
            assert answered > 10
            for proxy in cluster.proxies.values():
                proxy.heal()
            await wait_until(lambda: gateway.view.live_primary is not None)
            # Every transaction was rolled back, so no row may have been committed on
            # a connection that was reused with another session's transaction open.
            assert (await run(gateway, COUNT, "read")).rows == [(b"0",)]

    asyncio.run(scenario())


class OpenConnection:
    """Stub of an open driver connection."""

    connected = True
    _stream_broken = False
    _transport = None

    def thread_id(self):
        return 1

    def close(self):
        self.connected = False


def test_statement_on_a_connection_that_is_closed_meanwhile_may_have_run():
    """Guards against repeating a write whose connection the gateway closed itself.

    The driver then reports "not connected", as it does if a statement was never sent.
    """

    async def read_answer():
        raise InterfaceError(0, "Not connected")

    async def scenario():
        connection = BackendConnection(OpenConnection())
        with pytest.raises(ConnectionLostError) as caught:
            await connection._call(read_answer(), deadline_in(1.0))
        assert caught.value.sent
        with pytest.raises(ConnectionLostError) as caught:
            await connection.run("INSERT INTO w VALUES (1)", deadline_in(1.0))
        assert not caught.value.sent

    asyncio.run(scenario())
