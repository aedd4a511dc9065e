"""Failover and planned changes lose no acknowledged write and run none twice."""

import asyncio
import itertools
import time

import pytest

from citronwood.backend.api import Reply
from citronwood.backend.group import GroupView
from citronwood.backend.member import MemberControl
from citronwood.backend.primary import PrimaryAccess
from citronwood.deadline import deadline_in
from citronwood.errors import BackendUnavailableError, Outcome
from tests.group_cluster import GROUP, History, make_status, run, wait_until
from tests.processes import free_port

pytestmark = pytest.mark.realtime


def primary_of(gateway):
    primary = gateway.view.primary
    return None if primary is None else primary.member


async def wait_for_new_primary(gateways, old):
    for gateway in gateways:
        await wait_until(lambda g=gateway: primary_of(g) not in (None, old))


@pytest.mark.parametrize("keyed", [False, True])
@pytest.mark.parametrize("fault", ["kill", "freeze"])
def test_no_acknowledged_write_is_lost(cluster, fault, keyed):
    """Guards against acknowledging a write that only the old primary holds."""

    async def scenario():
        history = History()
        async with cluster.gateways(2) as gateways:
            async with history.load(gateways, keyed=keyed):
                await asyncio.sleep(0.3)
                getattr(cluster, fault)("m1")
                await wait_for_new_primary(gateways, "m1")
                await asyncio.sleep(0.3)
                if fault == "freeze":
                    cluster.unfreeze("m1")
                else:
                    cluster.start("m1")
                await asyncio.sleep(0.8)
            assert len(history.numbers(None)) > 50
            if keyed:
                # A write with a key whose answer was lost must be answered from its
                # record.
                assert not history.numbers(Outcome.UNKNOWN)
            found = await history.check(gateways[0])
            # The old primary must rejoin as a replica and drop unacknowledged writes.
            await wait_until(lambda: gateways[0].view.status("m1").role == "replica")
            await wait_until(lambda: _caught_up(gateways[0], "m1"))
            rows = await cluster.command("m1", "SELECT n FROM w")
            assert sorted(row[0] for row in rows) == sorted(found)

    asyncio.run(scenario())


def test_write_on_an_isolated_primary_is_not_acknowledged(start_cluster):
    """Guards against acknowledging a write that no replica has received."""
    cluster = start_cluster(proxied=True)

    async def scenario():
        history = History()
        async with cluster.gateways(2) as gateways:
            await history.write(gateways[0])
            cluster.replication.cut()
            async with history.load(gateways):
                await asyncio.sleep(0.3)
                rows = await cluster.command("m1", "SELECT n FROM w")
                assert len(rows) > 1, "the isolated primary must commit locally"
                cluster.kill("m1")
                await wait_for_new_primary(gateways, "m1")
                await asyncio.sleep(0.2)
            assert history.numbers(Outcome.UNKNOWN)
            await history.check(gateways[0])

    asyncio.run(scenario())


def test_isolated_primary_is_replaced_and_rejoins(start_cluster):
    """Guards against an old primary that serves or acknowledges after a partition.

    Its unacknowledged writes must be gone once it is a replica again.
    """
    cluster = start_cluster(proxied=True)

    async def scenario():
        history = History()
        async with cluster.gateways(2) as gateways:
            async with history.load(gateways):
                await asyncio.sleep(0.2)
                cluster.proxies["m1"].freeze(new_connections=True)
                cluster.replication.cut()
                await wait_for_new_primary(gateways, "m1")
                term = gateways[0].view.highest_term
                await cluster.command("m1", "INSERT INTO w (n) VALUES (-1)")
                await asyncio.sleep(0.2)
                cluster.proxies["m1"].heal()
                await asyncio.sleep(0.8)
            await history.check(gateways[0])
            rows = (await run(gateways[0], "SELECT n FROM w", "read")).rows
            assert (b"-1",) not in rows
            assert gateways[0].view.highest_term == term, "more than one failover"
            await wait_until(lambda: _caught_up(gateways[0], "m1"))
            assert gateways[0].view.status("m1").role == "replica"

    asyncio.run(scenario())


def test_primary_without_replication_is_replaced(start_cluster, monkeypatch):
    """Guards against writes that never finish on a primary without replicas.

    The gateways can reach the primary, but its replicas cannot.
    """
    cluster = start_cluster(proxied=True)
    closed_address = f"127.0.0.1:{free_port()}"
    address = MemberControl.address.fget
    monkeypatch.setattr(
        MemberControl,
        "address",
        property(lambda self: closed_address if self.name == "m1" else address(self)),
    )

    async def scenario():
        history = History()
        async with cluster.gateways(2) as gateways:
            cluster.replication.cut()
            answer = await history.write(gateways[0], timeout_s=8.0)
            assert answer.outcome is Outcome.UNKNOWN
            assert isinstance(await history.write(gateways[0]), Reply)
            assert primary_of(gateways[1]) != "m1"
            assert len(await history.check(gateways[1])) == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("fault", ["kill", "freeze"])
def test_failover_gap_without_answers(cluster, fault):
    """Guards against a slow failover: at most 2 s without an acknowledged write."""

    async def scenario():
        history = History()
        async with cluster.gateways(2) as gateways:
            async with history.load(gateways, writers=2):
                await asyncio.sleep(0.4)
                getattr(cluster, fault)("m1")
                await wait_for_new_primary(gateways, "m1")
                await asyncio.sleep(0.3)
            answered = sorted(
                write.at
                for write in history.writes.values()
                if isinstance(write.answer, Reply)
            )
            gap = max(b - a for a, b in itertools.pairwise(answered))
            print(f"gap {gap:.3f} s")
            assert gap < 2.0
            assert not history.numbers(Outcome.NOT_RUN)

    asyncio.run(scenario())


def _caught_up(gateway, member):
    primary, status = gateway.view.primary, gateway.view.status(member)
    return primary and status.applied_position >= primary.log_position


def test_promoter_fails_between_fence_and_promote(cluster):
    """Guards against a fenced group that the other gateways do not repair."""

    async def scenario():
        async with cluster.gateways(2) as (first, second):
            control = first._controls["m1"]

            async def fail_promote(term, deadline):
                first._promoter._task.cancel()
                raise BackendUnavailableError("the promoter has failed")

            for control in first._controls.values():
                control.promote = fail_promote
            assert isinstance(await History().write(first), Reply)
            with pytest.raises(BackendUnavailableError):
                await first._promoter.change("test")
            await first._promoter.stop()
            answer = await run(second, "INSERT INTO w (n) VALUES (7)", "write")
            assert isinstance(answer, Reply)
            assert second.view.primary.term >= 3

    asyncio.run(scenario())


def test_two_promoters_at_once(cluster):
    """Guards against two primaries that both acknowledge writes."""

    async def scenario():
        history = History()
        async with cluster.gateways(2) as gateways:
            async with history.load(gateways, writers=2):
                for _ in range(5):
                    changes = [g._promoter.change("test") for g in gateways]
                    await asyncio.gather(*changes, return_exceptions=True)
                    await asyncio.sleep(0.05)
                await wait_until(lambda: primary_of(gateways[0]) is not None)
                await asyncio.sleep(0.5)
            assert len(history.numbers(None)) > 50
            await history.check(gateways[1])

    asyncio.run(scenario())


def test_planned_change_refuses_no_write(cluster):
    """Guards against a planned change that refuses or delays the writes of callers."""

    async def scenario():
        history = History()
        async with cluster.gateways(2) as gateways:
            async with history.load(gateways):
                for target in ("m2", "m3", "m1"):
                    await asyncio.sleep(0.2)
                    assert await gateways[0].change_primary(target)
                await asyncio.sleep(0.2)
            assert history.numbers(None) == set(history.writes)
            assert max(write.waited_s for write in history.writes.values()) < 0.3
            await history.check(gateways[1])
            changes = [r.details for r in gateways[0].records.list("primary_change")]
            assert [c["new_primary"] for c in changes] == ["m2", "m3", "m1"]
            assert {"reason", "old_primary", "term", "duration_ms"} <= set(changes[0])

    asyncio.run(scenario())


def test_stall_of_200_ms_causes_no_failover(cluster):
    """Guards against a failover after a short stall of the primary."""

    async def scenario():
        history = History()
        async with cluster.gateways(2) as gateways:
            async with history.load(gateways, writers=1):
                for _ in range(10):
                    await cluster.command("m1", "CALL standin_set('stall_ms', 200)")
                    await asyncio.sleep(0.45)
            assert history.numbers(None) == set(history.writes)
            assert gateways[0].view.highest_term == 1

    asyncio.run(scenario())


def test_connection_timeout_restarts_for_a_new_primary():
    """Guards against a refusal because an old primary used up the connect timeout."""

    class FailingPool:
        def __init__(self, until):
            self.until = until

        async def acquire(
            self, account, deadline, always_queue=True, still_wanted=None
        ):
            if time.monotonic() < self.until:
                raise BackendUnavailableError("no connection")
            return "connection"

    async def scenario():
        view = GroupView(GROUP)
        started = time.monotonic()
        pools = {"m1": FailingPool(started + 60), "m2": FailingPool(started + 0.8)}
        access = PrimaryAccess(view, pools)

        async def report():
            while True:
                name = "m1" if time.monotonic() < started + 0.45 else "m2"
                term = int(name[1])
                view.publish(
                    make_status(member=name, term=term, log_term=term, role="primary")
                )
                await asyncio.sleep(0.05)

        reports = asyncio.create_task(report())
        try:
            lease = await access.lease("a", deadline_in(5))
        finally:
            reports.cancel()
        assert (lease.member, lease.connection) == ("m2", "connection")

    asyncio.run(scenario())
