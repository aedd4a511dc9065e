"""HTTP client of the platform's service, against the stand-in with injected faults."""

import asyncio
import contextlib
import logging
from time import monotonic

import pytest

from citronwood import decisions
from citronwood.deadline import deadline_in
from citronwood.decisions import LineRateLimiter
from citronwood.errors import (
    ObjectNotFoundError,
    PlatformError,
    PlatformUnavailableError,
    VersionConflictError,
)
from citronwood.metrics import Metrics
from citronwood.platform.budget import URGENT_RESERVE_CALLS, CallBudget
from citronwood.platform.http import HttpPlatformClient
from citronwood.standin.platform import ListedVm, StandinPlatform
from tests.processes import free_port


@contextlib.asynccontextmanager
async def platform_with_clients(clients=1, budget=(1000.0, 1000)):
    platform = StandinPlatform("127.0.0.1", 0)
    await platform.start()
    opened = [
        HttpPlatformClient(platform.url, Metrics(), CallBudget(*budget))
        for _ in range(clients)
    ]
    try:
        yield platform, *opened
    finally:
        for client in opened:
            await client.close()
        await platform.stop()


async def wait_until(condition):
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0)


def in_2_s():
    return deadline_in(2)


def test_objects_have_versions_and_conditional_updates():
    async def scenario():
        async with platform_with_clients() as (_, client):
            with pytest.raises(ObjectNotFoundError):
                await client.get("config", "current", in_2_s())
            assert await client.put("config", "current", {"a": 1}, 0, in_2_s()) == 1
            with pytest.raises(VersionConflictError):
                await client.put("config", "current", {"a": 2}, 0, in_2_s())
            assert await client.put("config", "current", {"a": 2}, 1, in_2_s()) == 2
            assert await client.get("config", "current", in_2_s()) == ({"a": 2}, 2)
            with pytest.raises(VersionConflictError):
                await client.delete("config", "current", 1, in_2_s())
            await client.delete("config", "current", 2, in_2_s())
            # Guards against versions that restart after a deletion.
            assert await client.put("config", "current", {}, 0, in_2_s()) > 2
            with pytest.raises(PlatformError, match="limit"):
                await client.put("config", "big", {"a": "x" * 1_000_000}, 0, in_2_s())
            # Two reads above and one that resolves the conflict.
            assert client.status.calls["get.config"] == 3

    asyncio.run(scenario())


def test_lost_response_is_resolved_by_reading_back():
    async def scenario():
        async with platform_with_clients() as (platform, client):
            version = await client.put("config", "current", {"n": 0}, 0, in_2_s())
            for n in range(1, 4):
                platform.faults.lose_answers = 1
                version = await client.put(
                    "config", "current", {"n": n}, version, in_2_s()
                )
                stored = await client.get("config", "current", in_2_s())
                assert stored == ({"n": n}, version)
            platform.faults.lose_answers = 1
            await client.delete("config", "current", version, in_2_s())
            # Guards against retries by the HTTP library, outside of the budget.
            assert client.status.calls == platform.counts

    asyncio.run(scenario())


async def update_with_lost_response(platform, first, second, later_updates):
    base = await first.put("config", "current", {"n": 0}, 0, in_2_s())
    platform.faults.lose_answers = 1
    update = asyncio.create_task(
        first.put("config", "current", {"n": 1}, base, in_2_s())
    )
    await wait_until(lambda: not platform.faults.lose_answers)
    # Other updates reach the store before the first writer retries its own.
    stored, version = platform.store.get("config", "current")
    for number in range(later_updates):
        ids = [*stored["earlier"], stored["update_id"]][-16:]
        stored = {"update_id": f"other{number}", "earlier": ids, "value": {"n": 2}}
        version = platform.store.put("config", "current", stored, version)
    return await update


@pytest.mark.parametrize("later_updates", [1, 5, 15])
def test_lost_response_is_resolved_after_updates_by_others(later_updates):
    # Guards against a conflict for an update that took effect: other updates followed
    # before it was read back.
    async def scenario():
        async with platform_with_clients(2) as platform_and_clients:
            assert (
                await update_with_lost_response(*platform_and_clients, later_updates)
                == 2
            )

    asyncio.run(scenario())


def test_unresolved_lost_response_is_not_reported_as_a_conflict():
    async def scenario():
        async with platform_with_clients(2) as platform_and_clients:
            with pytest.raises(PlatformUnavailableError, match="settle"):
                await update_with_lost_response(*platform_and_clients, 20)
            # Without a lost response it is a conflict, however long the history.
            with pytest.raises(VersionConflictError):
                await platform_and_clients[1].put("config", "current", {}, 0, in_2_s())

    asyncio.run(scenario())


def test_lost_response_to_a_conflicting_update_is_a_conflict():
    async def scenario():
        async with platform_with_clients(2) as (platform, first, second):
            await first.put("config", "current", {"n": 0}, 0, in_2_s())
            platform.faults.down = True
            update = asyncio.create_task(
                first.put("config", "current", {"n": 1}, 1, deadline_in(4))
            )
            await wait_until(lambda: "put.config" in first.status.failures)
            platform.faults.down = False
            stored = platform.store.get("config", "current")[0]
            platform.store.put("config", "current", {**stored}, 1)
            with pytest.raises(VersionConflictError):
                await update
            assert (await second.get("config", "current", in_2_s())).value == {"n": 0}

    asyncio.run(scenario())


@pytest.mark.parametrize("fault", ["refused", "down", "slow"])
def test_outage_ends_calls_at_their_deadline(fault):
    async def scenario():
        async with platform_with_clients() as (platform, client):
            await client.put("config", "current", {}, 0, in_2_s())
            if fault == "refused":
                await platform.refuse_connections()
            platform.faults.down = fault == "down"
            platform.faults.delay_ms = 5000 if fault == "slow" else 0
            started = monotonic()
            with pytest.raises(PlatformUnavailableError):
                await client.get("config", "current", deadline_in(0.5))
            assert monotonic() - started < 0.8
            platform.faults.down, platform.faults.delay_ms = False, 0
            await platform.listen()
            assert (await client.get("config", "current", in_2_s())).version == 1

    asyncio.run(scenario())


def test_outage_is_logged_once_with_its_duration(caplog, monkeypatch):
    """Guards against an outage that shows in the log only by its consequences."""
    monkeypatch.setattr(decisions, "line_limiter", LineRateLimiter())

    async def scenario():
        async with platform_with_clients() as (platform, client):
            await client.put("config", "current", {}, 0, in_2_s())
            platform.faults.down = True
            times = [monotonic()]
            for _ in range(2):
                with pytest.raises(PlatformUnavailableError):
                    await client.get("config", "current", deadline_in(0.3))
                times.append(monotonic())
            platform.faults.down = False
            await client.get("config", "current", in_2_s())
            return [*times, monotonic()]

    with caplog.at_level(logging.INFO, "citronwood.platform"):
        began, failed_once, failed_twice, answered = asyncio.run(scenario())
    decision_lines = [
        record.decision for record in caplog.records if hasattr(record, "decision")
    ]
    assert [line.outcome for line in decision_lines] == ["lost", "regained"]
    assert {line.event for line in decision_lines} == {"dependency"}
    # The outage starts with the first failed attempt, which is during the first call.
    shortest, longest = failed_twice - failed_once, answered - began
    assert shortest * 1000 - 1 <= decision_lines[1].inputs["ms"] <= longest * 1000 + 1


def test_unresponsive_watch_is_distinguished_from_an_unchanged_object():
    async def scenario():
        async with platform_with_clients() as (platform, client):
            await client.put("config", "current", {}, 0, in_2_s())
            assert await client.watch("config", "current", 1, deadline_in(0.3)) is None
            platform.faults.silent_watches = True
            with pytest.raises(PlatformUnavailableError):
                await client.watch("config", "current", 0, deadline_in(0.3))
            platform.faults.silent_watches = False
            stored = await client.watch("config", "current", 0, deadline_in(0.3))
            assert stored == ({}, 1)

    asyncio.run(scenario())


def test_unresponsive_connections_are_replaced():
    # Pooled connections stop responding while new ones work, as after the failover of
    # a load balancer.
    async def scenario():
        async with platform_with_clients() as (platform, client):
            await client.put("config", "current", {}, 0, in_2_s())
            reads = [client.get("config", "current", in_2_s()) for _ in range(6)]
            await asyncio.gather(*reads)
            platform.freeze()
            started = monotonic()
            await client.get("config", "current", in_2_s())
            assert monotonic() - started < 1.5

    asyncio.run(scenario())


def test_call_budget_limits_retries_and_delays_first_attempts_in_an_outage():
    async def scenario():
        async with platform_with_clients(budget=(20.0, 5)) as (platform, client):
            platform.faults.down = True
            started = monotonic()
            calls = [client.get("config", str(n), deadline_in(1)) for n in range(20)]
            results = await asyncio.gather(*calls, return_exceptions=True)
            assert {type(result) for result in results} == {PlatformUnavailableError}
            allowed = 5 + 20 * (monotonic() - started)
            assert 15 <= len(platform.calls) <= allowed
            assert client.status.budget.refused > 0
            assert client.status.budget.delayed > 0

    asyncio.run(scenario())


def test_urgent_calls_do_not_wait_for_background_calls():
    """Guards against an operator's confirmation that waits for background calls.

    All calls together stay within the budget and its urgent reserve.
    """
    rate, burst = 10.0, 2

    async def scenario():
        budget = CallBudget(rate, burst)
        started = monotonic()
        background = [
            asyncio.create_task(budget.take(deadline_in(2))) for _ in range(burst + 3)
        ]
        await asyncio.sleep(0)
        for _ in range(4):
            assert await budget.take(deadline_in(0.001), urgent=True)
        assert monotonic() - started < 0.05
        # Later calls wait until the overdrawn tokens are refilled.
        assert not await budget.take(deadline_in(0.6))
        # Urgent calls beyond the reserve wait too.
        urgent = [
            budget.take(deadline_in(2), urgent=True)
            for _ in range(URGENT_RESERVE_CALLS)
        ]
        assert all(await asyncio.gather(*background, *urgent))
        allowed = burst + URGENT_RESERVE_CALLS + rate * (monotonic() - started)
        assert budget.status.taken <= allowed

    asyncio.run(scenario())


def test_retries_of_many_clients_are_spread_after_an_outage():
    async def scenario():
        async with platform_with_clients(30, budget=(50.0, 50)) as (platform, *clients):
            await clients[0].put("config", "current", {}, 0, in_2_s())
            platform.faults.down = True
            calls = [
                asyncio.create_task(
                    http_client.get("config", "current", deadline_in(8))
                )
                for http_client in clients
            ]
            await asyncio.sleep(1.5)
            platform.faults.down = False
            restored_at = monotonic()
            await asyncio.gather(*calls)
            times = [
                call.at - restored_at
                for call in platform.calls
                if call.at > restored_at
            ]
            intervals = [int(time / 0.1) for time in times]
            assert max(intervals.count(interval) for interval in set(intervals)) <= 15

    asyncio.run(scenario())


def test_list_of_vms_may_be_stale():
    async def scenario():
        async with platform_with_clients() as (platform, client):
            platform.vms.lag_s = 0.2
            platform.vms.set("vm1", ListedVm(url="tcp://x", failure_domain="seattle"))
            assert await client.list_vms(in_2_s()) == []
            await asyncio.sleep(0.25)
            assert [vm.name for vm in await client.list_vms(in_2_s())] == ["vm1"]

    asyncio.run(scenario())


def test_service_runs_as_a_process(processes):
    async def scenario(port):
        async with HttpPlatformClient(f"http://127.0.0.1:{port}", Metrics()) as client:
            assert await client.put("config", "current", {}, 0, in_2_s()) == 1

    port = free_port()
    processes.start("standin-platform", "--port", port, port=port)
    asyncio.run(scenario(port))
