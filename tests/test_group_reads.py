"""Reads: read-your-writes, maximum age, share of replicas, leaving members."""

import asyncio
import time

import pytest

from citronwood.backend.api import Position, Reply
from citronwood.backend.group import GroupView
from citronwood.backend.pool import Pool
from citronwood.backend.queue import FairQueue
from citronwood.backend.reads import ReadRequirements, ReadRouter, may_serve
from citronwood.deadline import deadline_in
from tests.group_cluster import GROUP, make_status, run, wait_until

pytestmark = pytest.mark.realtime


@pytest.mark.parametrize(
    ("floor", "serves"),
    [((2, 9), True), ((2, 10), False), ((1, 50), True), ((3, 1), False)],
)
def test_floor_is_compared_by_term_then_lsn(floor, serves):
    """Guards against comparing LSNs of different terms.

    The floor also applies on routes with a maximum read age, because a session must
    read its own writes there too.
    """
    assert may_serve(make_status(), ReadRequirements(Position(*floor), None)) is serves
    assert may_serve(make_status(), ReadRequirements(Position(*floor), 100)) is serves


@pytest.mark.parametrize(
    ("changes", "serves"),
    [({}, True), ({"data_age_ms": None}, False), ({"data_age_ms": 120}, False)],
)
def test_unknown_or_high_age_is_too_old(changes, serves):
    """Guards against treating an unknown age as low."""
    assert may_serve(make_status(**changes), ReadRequirements(None, 100)) is serves


def test_age_of_the_status_is_added_to_the_data_age():
    """Guards against using the data age in an old status as the current one."""
    old = make_status(asked_at=time.monotonic() - 0.09)
    assert not may_serve(old, ReadRequirements(None, 100))


@pytest.mark.parametrize("role", ["primary", "replica"])
@pytest.mark.parametrize(("heard_ago_s", "serves"), [(0.05, True), (3.0, False)])
def test_member_without_majority_is_too_old(role, heard_ago_s, serves):
    """Guards against stale reads from a member cut off from the majority."""
    view = GroupView(GROUP)
    heard = time.monotonic() - heard_ago_s
    current = make_status(member="m1", role=role, data_age_ms=0)
    for status in (
        current,
        make_status(member="m2", asked_at=heard, received_at=heard),
    ):
        view.publish(status)
    router = ReadRouter(view, {})
    assert router.serves(current, ReadRequirements(None, 1000)) is serves
    # A majority at a higher term does not confirm this one.
    view.publish(make_status(member="m2", term=3))
    view.publish(make_status(member="m3", term=3))
    assert not router.serves(current, ReadRequirements(None, 1000))


def test_read_uses_the_replica_with_the_shortest_backlog_of_its_account():
    """Guards against choosing a replica by the queue of a flooding account.

    Such a choice would send an account to a replica on which it already has requests,
    although it has none on another replica.
    """

    class FullPool:
        def __init__(self):
            self.queue = FairQueue(1, lambda _: 1.0)
            self.in_use = 1
            self.backlog = self.queue.backlog

        @property
        def waiting(self):
            return self.queue.waiting

    async def scenario():
        pools = {"m2": FullPool(), "m3": FullPool()}
        view = GroupView(GROUP)
        for member in pools:
            view.publish(make_status(member=member))
        router = ReadRouter(view, pools)
        waiting = [
            asyncio.create_task(pools[member].queue.acquire(account, deadline_in(1)))
            for member, accounts in {"m2": "aaaa", "m3": "abb"}.items()
            for account in accounts
        ]
        await asyncio.sleep(0)
        requirements = ReadRequirements(Position(2, 1), None, "b")
        chosen = await router.choose(requirements, deadline_in(1), frozenset())
        assert chosen.member == "m2", "m3 has fewer requests, but two of account b"
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
        assert [pool.waiting for pool in pools.values()] == [0, 0]

    asyncio.run(scenario())


def test_replicas_with_the_same_load_take_turns():
    """Guards against all callers using one replica if each sends one read at a time."""

    async def scenario():
        view = GroupView(GROUP)
        for member in ("m3", "m2"):
            view.publish(make_status(member=member))
        pools = {member: Pool(None, 4, lambda _: 1.0) for member in ("m2", "m3")}
        router = ReadRouter(view, pools)
        requirements = ReadRequirements(Position(2, 1), None, "a")
        for _ in range(10):
            pair = [
                await router.choose(requirements, deadline_in(1), frozenset())
                for _ in range(2)
            ]
            assert {status.member for status in pair} == {"m2", "m3"}

    asyncio.run(scenario())


def test_session_reads_its_writes_mostly_from_replicas(start_cluster):
    """Guards against stale reads under lag, and against overuse of the primary."""
    cluster = start_cluster("--apply-lag-ms", 50)

    async def session(gateway, number, counts):
        floor, written = None, 0
        for step in range(60):
            if step % 10 == 0:
                n = number * 1000 + step
                reply = await run(gateway, f"INSERT INTO w (n) VALUES ({n})", "write")
                floor, written = reply.position, written + 1
            low, high = number * 1000, number * 1000 + 999
            sql = f"SELECT COUNT(*) FROM w WHERE n BETWEEN {low} AND {high}"
            reply = await run(gateway, sql, "read", floor=floor)
            assert int(reply.rows[0][0]) == written, "a session missed its own write"
            counts[reply.replica] += 1

    async def scenario():
        counts = {True: 0, False: 0}
        async with cluster.gateways() as (gateway,):
            await asyncio.gather(*(session(gateway, i, counts) for i in range(6)))
        share = counts[True] / sum(counts.values())
        print(f"replica share {share:.3f}")
        assert share >= 0.9

    asyncio.run(scenario())


def test_new_session_sees_all_acknowledged_writes(start_cluster):
    """Guards against a new session that reads stale data from a lagging replica."""
    cluster = start_cluster("--apply-lag-ms", 100)

    async def scenario():
        async with cluster.gateways(2) as (first, second):
            for number in range(5):
                sql = f"INSERT INTO w (n) VALUES ({number})"
                assert isinstance(await run(first, sql, "write"), Reply)
                reply = await run(second, "SELECT COUNT(*) FROM w", "read")
                assert int(reply.rows[0][0]) == number + 1

    asyncio.run(scenario())


def test_sessions_share_a_floor_round(cluster):
    """Guards against one round of status queries for each new session."""

    async def scenario():
        async with cluster.gateways() as (gateway,):
            control = gateway._controls["m1"]
            calls, original = [], control.read_status

            async def counted(deadline):
                calls.append(1)
                return await original(deadline)

            control.read_status = counted
            reads = [run(gateway, "SELECT 1", "read") for _ in range(50)]
            replies = await asyncio.gather(*reads)
            assert all(isinstance(reply, Reply) for reply in replies)
            assert len(calls) <= 3

    asyncio.run(scenario())


def test_session_reads_its_writes_after_a_failover(cluster):
    """Guards against a floor of the old term that a new primary cannot satisfy."""

    async def scenario():
        async with cluster.gateways() as (gateway,):
            reply = await run(gateway, "INSERT INTO w (n) VALUES (1)", "write")
            cluster.kill("m1")
            for _ in range(40):
                seen = await run(
                    gateway, "SELECT COUNT(*) FROM w", "read", floor=reply.position
                )
                assert int(seen.rows[0][0]) == 1
                await asyncio.sleep(0.03)
            assert gateway.view.primary.term == 2

    asyncio.run(scenario())


def test_age_bounded_reads_are_never_older(start_cluster):
    """Guards against reads from a replica that stopped applying the log.

    The answers of this replica are delayed at the same time, so its last status at the
    gateway is old.
    """
    cluster = start_cluster(proxied=True)
    max_age_s = 0.3

    async def scenario():
        acknowledged, replicas, stop = {0: time.monotonic()}, [], asyncio.Event()

        async def write(gateway):
            for number in range(1, 250):
                sql = f"INSERT INTO w (n) VALUES ({number})"
                if isinstance(await run(gateway, sql, "write"), Reply):
                    acknowledged[number] = time.monotonic()
                await asyncio.sleep(0.002)
            stop.set()

        async def stop_applying():
            await asyncio.sleep(0.4)
            cluster.proxies["m2"].delay(to_client_s=0.15)
            await cluster.command("m2", "CALL standin_set('apply_lag_ms', 5000)")

        async def read(gateway):
            while not stop.is_set():
                bound = time.monotonic() - max_age_s
                sql = "SELECT COALESCE(MAX(n), 0) FROM w"
                reply = await run(gateway, sql, "read", max_age_ms=max_age_s * 1000)
                must_see = max(n for n, at in acknowledged.items() if at < bound)
                assert int(reply.rows[0][0]) >= must_see, "older than the maximum age"
                replicas.append(reply.replica)
                await asyncio.sleep(0.002)

        async with cluster.gateways() as (gateway,):
            await asyncio.sleep(max_age_s)
            readers = [read(gateway) for _ in range(4)]
            await asyncio.gather(write(gateway), stop_applying(), *readers)
            assert sum(replicas) > 50

    asyncio.run(scenario())


def test_leaving_members_get_no_new_work(cluster):
    """Guards against sending requests to a member that is leaving."""

    async def scenario():
        async with cluster.gateways() as (gateway,):
            await cluster.command("m2", "CALL standin_set('leaving', 1)")
            members = dict(cluster.group.members)
            members["m1"] = members["m1"].model_copy(update={"leaving": True})
            await gateway.update(cluster.group.model_copy(update={"members": members}))
            started = time.monotonic()
            await wait_until(
                lambda: gateway.view.primary and gateway.view.primary.member == "m3",
                timeout_s=2,
            )
            await asyncio.sleep(max(0.0, 0.5 - (time.monotonic() - started)))
            for number in range(30):
                sql = f"INSERT INTO w (n) VALUES ({number})"
                kind = "write" if number % 2 else "read"
                reply = await run(gateway, sql if number % 2 else "SELECT 1", kind)
                assert reply.served_by == "m3"

    asyncio.run(scenario())


def test_read_without_answer_is_retried(start_cluster):
    """Guards against refusing a read because its connection stopped responding."""
    cluster = start_cluster(proxied=True)

    async def scenario():
        async with cluster.gateways() as (gateway,):
            for _ in range(6):
                await run(gateway, "SELECT 1", "read")
            cluster.proxies["m2"].freeze()
            cluster.proxies["m3"].freeze()
            reads = [run(gateway, "SELECT 1", "read", timeout_s=3) for _ in range(8)]
            for reply in await asyncio.gather(*reads):
                assert isinstance(reply, Reply), reply

    asyncio.run(scenario())
