"""Idle gateways poll rarely and still react fast to requests and failures."""

import asyncio
import statistics
import time

from citronwood.backend.api import Reply
from citronwood.backend.connection import BackendConnection
from citronwood.backend.group import GroupView
from citronwood.backend.host import Host
from citronwood.backend.promotion import Promoter
from citronwood.metrics import Metrics
from citronwood.operator.records import Records
from tests.group_cluster import GROUP, LOGIN, make_status, run, wait_until

WRITE = "INSERT INTO w (n) VALUES (1)"


async def wait_for_idle_hold(*gateways):
    for gateway in gateways:
        await wait_until(lambda g=gateway: g._access._idle_hold)


def test_idle_gateway_sends_few_statements(cluster, monkeypatch):
    """Guards against status polling that is as frequent without traffic as with it."""
    calls, original, seconds = [], BackendConnection.query, 3.0

    async def counted(self, sql, deadline):
        calls.append(sql)
        return await original(self, sql, deadline)

    async def scenario():
        async with cluster.gateways() as (gateway,):
            await wait_for_idle_hold(gateway)
            monkeypatch.setattr(BackendConnection, "query", counted)
            await asyncio.sleep(seconds)
            assert gateway.view.live_primary is not None
            print(f"{len(calls) / seconds:.1f} statements/s")
            assert len(calls) < 12 * seconds

    asyncio.run(scenario())


def test_first_read_after_a_pause_is_served_by_a_replica(cluster):
    """Guards against treating a replica as failed because it is polled rarely."""

    async def scenario():
        async with cluster.gateways() as (gateway,):
            floor = (await run(gateway, WRITE, "write")).position
            for pause_s in (0.4, 0.6, 0.8, 1.1):
                await asyncio.sleep(pause_s)
                reply = await run(gateway, "SELECT n FROM w", "read", floor=floor)
                assert reply.replica
                await asyncio.sleep(pause_s)
                reply = await run(gateway, "SELECT n FROM w", "read", max_age_ms=300)
                assert reply.replica

    asyncio.run(scenario())


def test_commit_is_acknowledged_when_polls_stop_responding(start_cluster):
    """Guards against a commit that waits for the timeout of a long poll."""
    cluster = start_cluster(proxied=True)

    async def scenario():
        async with cluster.gateways() as (gateway,):
            await asyncio.sleep(0.5)
            await run(gateway, WRITE, "write")
            await asyncio.sleep(0.05)
            cluster.proxies["m2"].freeze()
            cluster.proxies["m3"].freeze()
            started = time.monotonic()
            assert isinstance(await run(gateway, WRITE, "write"), Reply)
            waited_s = time.monotonic() - started
            print(f"waited {waited_s:.3f} s")
            assert waited_s < 0.8

    asyncio.run(scenario())


def test_failover_gap_without_traffic(cluster):
    """Guards against a failover that waits for the long poll of a replica."""

    async def scenario():
        gaps = []
        async with cluster.gateways(2) as gateways:
            for turn in range(3):
                await wait_for_idle_hold(*gateways)
                old = gateways[0].view.primary.member
                cluster.kill(old)
                started = time.monotonic()
                # With a key, a write whose answer is lost with the primary is retried.
                reply = await run(
                    gateways[1], WRITE, "write", idempotency_key=f"k{turn}"
                )
                assert isinstance(reply, Reply), reply
                gaps.append(time.monotonic() - started)
                cluster.start(old)
                await wait_until(
                    lambda m=old: gateways[0].view.status(m).role == "replica"
                )
        print(f"gaps {gaps}")
        assert statistics.median(gaps) < 0.8
        assert max(gaps) < 2.0

    asyncio.run(scenario())


def test_stale_status_of_a_replica_confirms_no_failure():
    """Guards against a failover because a replica's status is old.

    The age of a status must not be added to that of the last heartbeat.
    """
    view = GroupView(GROUP)
    host = Host("vm1", LOGIN, lambda: 0, Records(), Metrics())
    promoter = Promoter("g", view, {}, host, None)
    now = time.monotonic()
    view.publish(make_status(member="m1", role="primary", received_at=now - 0.5))
    old = make_status(primary_heard_ms=250, received_at=now - 0.25)
    for name in ("m2", "m3"):
        view.publish(old._replace(member=name))
    assert promoter.find_reason() is None
    for name in ("m2", "m3"):
        view.publish(make_status(member=name, primary_heard_ms=450))
    assert promoter.find_reason() is not None


def test_first_write_during_a_planned_change_waits(cluster):
    """Guards against an idle gateway that writes during a planned change."""

    async def scenario():
        async with cluster.gateways(2) as (first, second):
            promote = first._handover._promote

            async def slow_promote(reason, target):
                await asyncio.sleep(0.1)
                return await promote(reason, target)

            first._handover._promote = slow_promote
            for term, target in enumerate(("m2", "m3", "m1"), start=2):
                await wait_for_idle_hold(first, second)
                started = time.monotonic()
                planned = asyncio.create_task(first.change_primary(target))
                await asyncio.sleep(0.05)
                reply = await run(second, WRITE, "write")
                assert isinstance(reply, Reply), reply
                assert reply.position.term == term, "written to the old primary"
                assert await planned
                assert time.monotonic() - started < 0.1 + 0.3

    asyncio.run(scenario())


def test_lost_idle_hold_lock_is_taken_again(cluster):
    """Guards against a planned change that waits for an idle gateway.

    An idle gateway holds the writes-held lock (see backend/handover.py) on its command
    connection, which is killed here.
    """

    async def scenario():
        async with cluster.gateways(2) as (first, second):
            await wait_for_idle_hold(first, second)
            connection = second._controls["m1"]._command_connection
            await cluster.command("m1", f"KILL {connection.connection_id}")
            await asyncio.sleep(1.5)
            started = time.monotonic()
            assert await first.change_primary("m2")
            assert time.monotonic() - started < 0.3

    asyncio.run(scenario())


def test_stall_without_traffic_causes_no_failover(cluster):
    """Guards against a failover after a short stall while polls are rare."""

    async def scenario():
        async with cluster.gateways(2) as gateways:
            for turn in range(10):
                await cluster.command("m1", "CALL standin_set('stall_ms', 200)")
                await asyncio.sleep(0.45 + turn * 0.03)
            for gateway in gateways:
                assert gateway.view.highest_term == 1
                assert isinstance(await run(gateway, WRITE, "write"), Reply)

    asyncio.run(scenario())
