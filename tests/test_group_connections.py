"""Tests of gateway connections: seats, limits, fair queue, dead connections."""

import asyncio
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from citronwood.backend import member as member_module
from citronwood.backend import pool as pool_module
from citronwood.backend.api import Reply
from citronwood.backend.connection import open_connection
from citronwood.backend.queue import FairQueue
from citronwood.deadline import deadline_in
from citronwood.errors import ConnectionLostError, ErrorCode, Outcome, Refusal
from tests.faults import FaultProxy
from tests.group_cluster import LOGIN, run, wait_until

pytestmark = pytest.mark.realtime

MAX_CONNECTIONS = 15


async def most_connections(cluster):
    """Return the highest number of gateway connections that any member has had."""
    found = []
    for name in cluster.running:
        rows = await cluster.command(name, "SHOW STATUS LIKE 'Max_used_connections'")
        found.append(int(rows[0][1]))
    print("most connections", found)
    # The test's own connection counts as well.
    return max(found) - 1


async def flood(gateway, until, **fields):
    while time.monotonic() < until:
        await run(gateway, "SELECT SLEEP(0.002)", "read", 0.5, **fields)
        await run(gateway, "INSERT INTO w (n) VALUES (1)", "write", 0.5)


def test_connection_limit_holds_during_a_takeover(start_cluster):
    """Guards against exceeding max_connections while a third gateway takes a seat."""
    cluster = start_cluster()
    proxies = [FaultProxy(port) for port in cluster.real_ports]
    direct = cluster.group
    members = {
        name: member.model_copy(update={"port": proxy.port})
        for (name, member), proxy in zip(direct.members.items(), proxies, strict=True)
    }
    proxied = direct.model_copy(update={"members": members})
    dead = set()
    options = {"is_dead": dead.__contains__, "peers": lambda: ("vm1", "vm2", "vm3")}

    async def scenario():
        async with cluster.gateways(1, **options) as (first,):
            cluster.group = proxied
            second = cluster.open("vm2", 1, **options)
            await wait_until(lambda: holds_seats(second))
            cluster.group = direct
            third = cluster.open("vm3", 1, **options)
            until = time.monotonic() + 0.7
            await asyncio.gather(*(flood(g, until) for g in (first, second) * 10))
            assert not any(c.seat.is_held for c in third._controls.values())
            refused = await run(third, "SELECT 1", "read", 0.3)
            assert (refused.code, refused.outcome) == (
                ErrorCode.NOT_RUN,
                Outcome.NOT_RUN,
            )
            for proxy in proxies:
                proxy.freeze(new_connections=True)
            dead.add("vm2")
            started = time.monotonic()
            await wait_until(lambda: holds_seats(third))
            assert time.monotonic() - started < 2.0
            until = time.monotonic() + 0.7
            await asyncio.gather(*(flood(g, until) for g in (first, third) * 10))
            for proxy in proxies:
                proxy.heal()
            until = time.monotonic() + 0.7
            gateways = (first, second, third) * 10
            await asyncio.gather(*(flood(g, until) for g in gateways))
            assert not any(c.seat.is_held for c in second._controls.values())
            assert await most_connections(cluster) <= MAX_CONNECTIONS
            await asyncio.gather(
                second.stop(deadline_in(0)), third.stop(deadline_in(0))
            )

    try:
        asyncio.run(scenario())
    finally:
        for proxy in proxies:
            proxy.close()


def test_lost_poll_does_not_cost_the_transactions(cluster, monkeypatch):
    """Guards against a waiting gateway that takes the seat of a live one.

    Taking a seat kills all connections of its last holder and thus ends its
    transactions. The seat of a holder that does not return must still be taken.
    """
    # The waiting gateway tries several times before the holder reconnects.
    monkeypatch.setattr(member_module, "RETRY_DELAY_S", 0.3)
    monkeypatch.setattr(member_module, "NO_SEAT_RETRY_S", 0.05)
    in_transaction = {"session": "t", "in_transaction": True}

    async def scenario():
        async with cluster.gateways(2) as (first, second):
            for gateway in (first, second):
                await wait_until(lambda gateway=gateway: holds_seats(gateway))
            third = cluster.open("vm3", 2)
            control, waiting = first._controls["m1"], third._controls["m1"].seat
            await wait_until(lambda: waiting.is_denied)
            for _ in range(3):
                await run(first, "BEGIN", "begin", session="t")
                await cluster.command("m1", f"KILL {control.seat._holder_id}")
                await wait_until(lambda: not control.seat.is_held)
                await wait_until(lambda: control.seat.is_held or waiting.is_held)
                sql = "INSERT INTO w (n) VALUES (1)"
                assert isinstance(
                    await run(first, sql, "write", **in_transaction), Reply
                )
                assert isinstance(
                    await run(first, "COMMIT", "commit", **in_transaction), Reply
                )
            assert first.view.highest_term == 1
            await control.stop()
            started = time.monotonic()
            await wait_until(lambda: waiting.is_held)
            assert time.monotonic() - started < 2.0
            await third.stop(deadline_in(0.5))

    asyncio.run(scenario())


def holds_seats(gateway):
    return all(control.seat.is_held for control in gateway._controls.values())


def test_connection_that_stopped_responding_is_found_before_use(
    start_cluster, monkeypatch
):
    """Guards against sending a write on an idle connection that no longer responds."""
    monkeypatch.setattr(pool_module, "CHECK_AFTER_IDLE_S", 0.2)
    cluster = start_cluster(proxied=True)

    async def scenario():
        async with cluster.gateways() as (gateway,):
            writes = [
                run(gateway, f"INSERT INTO w (n) VALUES ({n})", "write")
                for n in range(4)
            ]
            await asyncio.gather(*writes)
            await asyncio.sleep(0.3)
            cluster.proxies["m1"].freeze()
            await asyncio.sleep(0.6)
            # New connections work, so the primary must not be replaced.
            assert gateway.view.highest_term == 1, "unneeded failover"
            answers = await asyncio.gather(
                *(
                    run(gateway, f"INSERT INTO w (n) VALUES ({n})", "write", 5.0)
                    for n in range(10, 14)
                )
            )
            assert all(isinstance(answer, Reply) for answer in answers), answers

    asyncio.run(scenario())


@pytest.mark.parametrize("closes", [False, True])
def test_statement_that_cannot_be_sent_ends_at_its_deadline(start_cluster, closes):
    """Guards against a connection that waits without a limit for its peer to read.

    This includes a connection that is closed while it has unsent data.
    """
    cluster = start_cluster(proxied=True)
    proxy = cluster.proxies["m1"]

    async def scenario():
        connection = await open_connection(
            "127.0.0.1", proxy.port, "demo", LOGIN, deadline_in(2.0)
        )
        proxy.freeze()
        if closes:
            asyncio.get_running_loop().call_later(0.1, connection.close)
        started = time.monotonic()
        with pytest.raises(ConnectionLostError) as caught:
            await connection.run("#" * 15_000_000, deadline_in(0.4))
        assert 0.35 < time.monotonic() - started < 1.0
        assert caught.value.sent
        assert not connection.is_open

    asyncio.run(scenario())


def test_wait_for_a_connection_ends_at_the_deadline(cluster):
    """Guards against a request that waits forever or runs after its refusal."""

    async def scenario():
        async with cluster.gateways() as (gateway,):
            for number in range(4):
                await run(gateway, "BEGIN", "begin", session=f"t{number}")
            started = time.monotonic()
            sql = "INSERT INTO w (n) VALUES (1)"
            answer = await run(gateway, sql, "write", 0.3)
            assert (answer.code, answer.outcome) == (
                ErrorCode.NOT_RUN,
                Outcome.NOT_RUN,
            )
            assert time.monotonic() - started < 0.5

    asyncio.run(scenario())


def test_statement_of_a_withdrawn_key_is_not_sent(cluster):
    """Guards against a key that is checked only before the wait for a connection."""
    withdrawn = Refusal(ErrorCode.KEY_WITHDRAWN, "withdrawn")

    async def scenario():
        async with cluster.gateways() as (gateway,):
            sql = "INSERT INTO w (n) VALUES (1)"
            for kind, key in (
                ("read", None), ("write", None), ("write", "k"), ("begin", None)
            ):  # fmt: skip
                answer = await run(
                    gateway,
                    sql,
                    kind,
                    check_refusal=lambda: withdrawn,
                    idempotency_key=key,
                )
                assert answer == withdrawn, kind
            count = await run(gateway, "SELECT COUNT(*) FROM w", "read")
            assert count.rows == [(b"0",)]
            assert not any(pool.in_use for pool in gateway._pools.values())

    asyncio.run(scenario())


def percentile(values, share):
    return sorted(values)[int(len(values) * share)]


async def offer_load(gateway, account, rate, seconds, times):
    """Send reads at a fixed rate (open loop); record the latency of those that ran."""

    async def send():
        started = time.monotonic()
        reply = await run(gateway, "SELECT SLEEP(0.02)", "read", 1.0, account=account)
        if isinstance(reply, Reply):
            times.append(time.monotonic() - started)

    tasks, started = [], time.monotonic()
    for number in range(int(rate * seconds)):
        await asyncio.sleep(max(0.0, started + number / rate - time.monotonic()))
        tasks.append(asyncio.create_task(send()))
    await asyncio.gather(*tasks)


def test_account_that_floods_delays_only_itself(cluster):
    """Guards against serving requests in order of arrival under an overload."""
    # Two replicas with four connections each and reads of 20 ms serve at most 400/s,
    # or 100/s for each of four accounts, less the overhead of the members. With 800
    # requests per account a single stall of the machine does not determine the 99th
    # percentile.
    share, seconds = 80, 10.0

    async def scenario():
        async with cluster.gateways() as (gateway,):
            alone, contended = [], {name: [] for name in "bcd"}
            await offer_load(gateway, "b", share, seconds, alone)
            flood = asyncio.create_task(
                offer_load(gateway, "a", 5 * share, seconds + 0.5, [])
            )
            await asyncio.sleep(0.3)
            await asyncio.gather(
                *(
                    offer_load(gateway, n, share, seconds, t)
                    for n, t in contended.items()
                )
            )
            await flood
            p99 = percentile(alone, 0.99)
            for name, times in contended.items():
                print(name, len(times), len(alone), percentile(times, 0.99), p99)
                assert len(times) >= 0.95 * len(alone)
                assert percentile(times, 0.99) <= 3 * p99

    asyncio.run(scenario())


@pytest.mark.parametrize("weights", [{"a": 1, "b": 1}, {"a": 3, "b": 1}])
def test_waiting_accounts_are_served_by_weight(weights):
    """Guards against ignored weights and slots lost to cancelled waits."""

    async def scenario():
        queue = FairQueue(1, lambda account: weights[account])
        await queue.acquire("a", deadline_in(1))
        served = []

        async def wait(account):
            await queue.acquire(account, deadline_in(2))
            served.append(account)
            queue.release()

        cancelled = asyncio.create_task(queue.acquire("a", deadline_in(2)))
        expired = asyncio.create_task(queue.acquire("b", deadline_in(0.01)))
        tasks = [asyncio.create_task(wait(account)) for account in "a" * 40 + "b" * 40]
        await asyncio.sleep(0.05)
        cancelled.cancel()
        assert isinstance(
            (await asyncio.gather(expired, return_exceptions=True))[0], TimeoutError
        )
        queue.release()
        await asyncio.gather(*tasks)
        first = served[:40].count("a") / served[:40].count("b")
        assert first == pytest.approx(weights["a"] / weights["b"], rel=0.25)
        assert queue.in_use == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("kind", ["write", "read"])
def test_gateway_without_a_seat_refuses_soon(cluster, kind):
    """Guards against requests that wait until their deadline for a seat."""

    async def scenario():
        async with cluster.gateways(2) as gateways:
            sql = "INSERT INTO w (n) VALUES (1)"
            for gateway in gateways:
                assert isinstance(await run(gateway, sql, "write"), Reply)
            third = cluster.open("vm3", 2)
            started = time.monotonic()
            sql = sql if kind == "write" else "SELECT COUNT(*) FROM w"
            refusal = await run(third, sql, kind)
            assert refusal.outcome is Outcome.NOT_RUN
            assert time.monotonic() - started < 3.0
            await third.stop(deadline_in(0.5))

    asyncio.run(scenario())


def test_gateway_with_a_seat_on_a_minority_refuses_soon(cluster):
    """Guards against a read that keeps asking a majority for its floor.

    Retries without a pause until the deadline would keep the CPU busy.
    """

    async def scenario():
        async with cluster.gateways(2) as (_, second):
            for control in second._controls.values():
                await wait_until(lambda seat=control.seat: seat.is_held)
            await second._controls["m3"].stop()
            third = cluster.open("vm3", 2)
            await wait_until(lambda: third._controls["m3"].seat.is_held)
            started, cpu = time.monotonic(), time.process_time()
            refusal = await run(third, "SELECT COUNT(*) FROM w", "read")
            assert refusal.outcome is Outcome.NOT_RUN
            assert time.monotonic() - started < 3.0
            assert time.process_time() - cpu < 1.0
            await third.stop(deadline_in(0.5))

    asyncio.run(scenario())


STATE_SAMPLES = (
    "get_lock( Release_All_Locks() temporary LOCK tables prepare @a SET use xa select"
    " flush handler locked settle users pages unprepared x /**/"
)
SQL_PIECES = st.sampled_from([*STATE_SAMPLES.split(), " ", "\t", "\n", ";", "é"])


@given(st.lists(SQL_PIECES, max_size=6).map("".join))
def test_quick_check_finds_all_session_state(sql):
    """Guards against reuse of a connection that still has session state.

    The quick check for words must not miss a statement that the pattern matches.
    """
    found = pool_module._SESSION_STATE_PATTERN.search(sql) is not None
    assert pool_module.leaves_state(sql) is found
