"""Client of the platform's service against the stand-in and its fault switches."""

import asyncio
import contextlib
import logging
from time import monotonic

import pytest

from citronwood import decisions
from citronwood.deadline import deadline_in
from citronwood.decisions import LineBudget
from citronwood.errors import (
    ObjectNotFoundError,
    PlatformError,
    PlatformUnavailableError,
    VersionConflictError,
)
from citronwood.metrics import Metrics
from citronwood.platform.budget import URGENT_RESERVE, CallBudget
from citronwood.platform.http import HttpPlatformClient
from citronwood.standin.platform import ListedVm, StandinPlatform
from tests.processes import free_port


@contextlib.asynccontextmanager
async def service(clients=1, budget=(1000.0, 1000)):
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


async def until(condition):
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0)


def soon():
    return deadline_in(2)


def test_objects_have_versions_and_conditional_updates():
    async def scenario():
        async with service() as (_, client):
            with pytest.raises(ObjectNotFoundError):
                await client.get("config", "current", soon())
            assert await client.put("config", "current", {"a": 1}, 0, soon()) == 1
            with pytest.raises(VersionConflictError):
                await client.put("config", "current", {"a": 2}, 0, soon())
            assert await client.put("config", "current", {"a": 2}, 1, soon()) == 2
            assert await client.get("config", "current", soon()) == ({"a": 2}, 2)
            with pytest.raises(VersionConflictError):
                await client.delete("config", "current", 1, soon())
            await client.delete("config", "current", 2, soon())
            # Guards against versions that start again after a deletion.
            assert await client.put("config", "current", {}, 0, soon()) > 2
            with pytest.raises(PlatformError, match="limit"):
                await client.put("config", "big", {"a": "x" * 1_000_000}, 0, soon())
            # Two reads above and one that settles the conflict.
            assert client.status.calls["get.config"] == 3

    asyncio.run(scenario())


def test_lost_answer_is_settled_by_reading_back():
    async def scenario():
        async with service() as (platform, client):
            version = await client.put("config", "current", {"n": 0}, 0, soon())
            for n in range(1, 4):
                platform.faults.lose_answers = 1
                version = await client.put(
                    "config", "current", {"n": n}, version, soon()
                )
                found = await client.get("config", "current", soon())
                assert found == ({"n": n}, version)
            platform.faults.lose_answers = 1
            await client.delete("config", "current", version, soon())
            # Guards against repeats by the HTTP library outside the budget.
            assert client.status.calls == platform.counts

    asyncio.run(scenario())


async def update_with_lost_answer(platform, first, second, later_updates):
    base = await first.put("config", "current", {"n": 0}, 0, soon())
    platform.faults.lose_answers = 1
    update = asyncio.create_task(first.put("config", "current", {"n": 1}, base, soon()))
    await until(lambda: not platform.faults.lose_answers)
    # The updates by others reach the store before the first writer repeats its own.
    found, version = platform.store.get("config", "current")
    for number in range(later_updates):
        ids = [*found["earlier"], found["update_id"]][-16:]
        found = {"update_id": f"other{number}", "earlier": ids, "value": {"n": 2}}
        version = platform.store.put("config", "current", found, version)
    return await update


@pytest.mark.parametrize("later_updates", [1, 5, 15])
def test_lost_answer_is_settled_after_updates_by_others(later_updates):
    # Guards against a conflict report for an update that took effect and was followed
    # by others before it could be read back.
    async def scenario():
        async with service(2) as services:
            assert await update_with_lost_answer(*services, later_updates) == 2

    asyncio.run(scenario())


def test_lost_answer_that_cannot_be_settled_is_not_called_a_conflict():
    async def scenario():
        async with service(2) as services:
            with pytest.raises(PlatformUnavailableError, match="settle"):
                await update_with_lost_answer(*services, 20)
            # A conflict without a lost answer stays one, however long the history.
            with pytest.raises(VersionConflictError):
                await services[1].put("config", "current", {}, 0, soon())

    asyncio.run(scenario())


def test_lost_answer_to_a_losing_update_is_a_conflict():
    async def scenario():
        async with service(2) as (platform, first, second):
            await first.put("config", "current", {"n": 0}, 0, soon())
            platform.faults.down = True
            update = asyncio.create_task(
                first.put("config", "current", {"n": 1}, 1, deadline_in(4))
            )
            await until(lambda: "put.config" in first.status.failures)
            platform.faults.down = False
            found = platform.store.get("config", "current")[0]
            platform.store.put("config", "current", {**found}, 1)
            with pytest.raises(VersionConflictError):
                await update
            assert (await second.get("config", "current", soon())).value == {"n": 0}

    asyncio.run(scenario())


@pytest.mark.parametrize("fault", ["refused", "down", "slow"])
def test_outage_ends_calls_at_their_deadline(fault):
    async def scenario():
        async with service() as (platform, client):
            await client.put("config", "current", {}, 0, soon())
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
            assert (await client.get("config", "current", soon())).version == 1

    asyncio.run(scenario())


def test_outage_is_logged_once_with_its_length(caplog, monkeypatch):
    """Guards against an outage that only its consequences show in the log."""
    monkeypatch.setattr(decisions, "line_budget", LineBudget())

    async def scenario():
        async with service() as (platform, client):
            await client.put("config", "current", {}, 0, soon())
            platform.faults.down = True
            times = [monotonic()]
            for _ in range(2):
                with pytest.raises(PlatformUnavailableError):
                    await client.get("config", "current", deadline_in(0.3))
                times.append(monotonic())
            platform.faults.down = False
            await client.get("config", "current", soon())
            return [*times, monotonic()]

    with caplog.at_level(logging.INFO, "citronwood.platform"):
        began, failed_once, failed_twice, answered = asyncio.run(scenario())
    found = [one.decision for one in caplog.records if hasattr(one, "decision")]
    assert [one.outcome for one in found] == ["lost", "regained"]
    assert {one.event for one in found} == {"dependency"}
    # It counts from the first failure, which is during the first call.
    shortest, longest = failed_twice - failed_once, answered - began
    assert shortest * 1000 - 1 <= found[1].inputs["ms"] <= longest * 1000 + 1


def test_silent_watch_is_told_from_a_quiet_one():
    async def scenario():
        async with service() as (platform, client):
            await client.put("config", "current", {}, 0, soon())
            assert await client.watch("config", "current", 1, deadline_in(0.3)) is None
            platform.faults.silent_watches = True
            with pytest.raises(PlatformUnavailableError):
                await client.watch("config", "current", 0, deadline_in(0.3))
            platform.faults.silent_watches = False
            found = await client.watch("config", "current", 0, deadline_in(0.3))
            assert found == ({}, 1)

    asyncio.run(scenario())


def test_silent_connections_are_replaced():
    # Connections that have stopped responding while new ones work, as after a
    # failover of a load balancer.
    async def scenario():
        async with service() as (platform, client):
            await client.put("config", "current", {}, 0, soon())
            reads = [client.get("config", "current", soon()) for _ in range(6)]
            await asyncio.gather(*reads)
            platform.freeze()
            started = monotonic()
            await client.get("config", "current", soon())
            assert monotonic() - started < 1.5

    asyncio.run(scenario())


def test_budget_holds_in_an_outage_and_first_attempts_wait_for_it():
    async def scenario():
        async with service(budget=(20.0, 5)) as (platform, client):
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


def test_urgent_calls_do_not_wait_for_others():
    """Guards against a confirm that waits behind background calls.

    The calls of both kinds together stay within the budget and its reserve.
    """
    rate, burst = 10.0, 2

    async def scenario():
        budget = CallBudget(rate, burst)
        started = monotonic()
        others = [
            asyncio.create_task(budget.take(deadline_in(2))) for _ in range(burst + 3)
        ]
        await asyncio.sleep(0)
        for _ in range(4):
            assert await budget.take(deadline_in(0.001), urgent=True)
        assert monotonic() - started < 0.05
        # Calls after them pay for them.
        assert not await budget.take(deadline_in(0.6))
        # Beyond the reserve urgent calls wait as well.
        urgent = [
            budget.take(deadline_in(2), urgent=True) for _ in range(URGENT_RESERVE)
        ]
        assert all(await asyncio.gather(*others, *urgent))
        allowed = burst + URGENT_RESERVE + rate * (monotonic() - started)
        assert budget.status.taken <= allowed

    asyncio.run(scenario())


def test_clients_do_not_return_together_after_an_outage():
    async def scenario():
        async with service(30, budget=(50.0, 50)) as (platform, *clients):
            await clients[0].put("config", "current", {}, 0, soon())
            platform.faults.down = True
            calls = [
                asyncio.create_task(c.get("config", "current", deadline_in(8)))
                for c in clients
            ]
            await asyncio.sleep(1.5)
            platform.faults.down = False
            back = monotonic()
            await asyncio.gather(*calls)
            times = [call.at - back for call in platform.calls if call.at > back]
            bins = [int(t / 0.1) for t in times]
            assert max(bins.count(b) for b in set(bins)) <= 15

    asyncio.run(scenario())


def test_list_of_vms_lags():
    async def scenario():
        async with service() as (platform, client):
            platform.vms.lag_s = 0.2
            platform.vms.set("vm1", ListedVm(url="tcp://x", failure_domain="seattle"))
            assert await client.list_vms(soon()) == []
            await asyncio.sleep(0.25)
            assert [vm.name for vm in await client.list_vms(soon())] == ["vm1"]

    asyncio.run(scenario())


def test_service_runs_as_a_process(processes):
    async def scenario(port):
        async with HttpPlatformClient(f"http://127.0.0.1:{port}", Metrics()) as client:
            assert await client.put("config", "current", {}, 0, soon()) == 1

    port = free_port()
    processes.start("standin-platform", "--port", port, port=port)
    asyncio.run(scenario(port))
