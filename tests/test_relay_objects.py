"""Client of the platform's store, with lost answers, delays and refusals."""

import asyncio
from time import monotonic

import pytest

from citronwood.errors import (
    ObjectNotFoundError,
    PlatformUnavailableError,
    VersionConflictError,
)
from citronwood.metrics import Metrics
from citronwood.platform.objects import HttpObjectStore
from tests.fleet_helpers import eventually
from tests.relay_standins import StoreServer


def run(scenario):
    async def with_store():
        async with StoreServer() as server:
            metrics = Metrics()
            async with HttpObjectStore(server.address, metrics) as store:
                await scenario(server, store, metrics)

    asyncio.run(with_store())


def deadline_in(seconds=2.0):
    return monotonic() + seconds


def test_objects_are_created_replaced_and_deleted():
    async def scenario(server, store, metrics):
        with pytest.raises(ObjectNotFoundError):
            await store.get("k", "a", deadline_in())
        version = await store.put("k", "a", {"x": 1}, 0, deadline_in())
        assert await store.get("k", "a", deadline_in()) == ({"x": 1}, version)
        newer = await store.put("k", "a", {"x": 2}, version, deadline_in())
        assert newer > version
        with pytest.raises(VersionConflictError):
            await store.put("k", "a", {"x": 3}, version, deadline_in())
        with pytest.raises(VersionConflictError):
            await store.put("k", "a", {"x": 3}, 0, deadline_in())
        await store.delete("k", "a", 0, deadline_in())
        await store.delete("k", "a", 0, deadline_in())
        with pytest.raises(ObjectNotFoundError):
            await store.get("k", "a", deadline_in())
        with pytest.raises(VersionConflictError):
            await store.put("k", "a", {"x": 3}, newer, deadline_in())

    run(scenario)


def test_list_reads_all_pages():
    async def scenario(server, store, metrics):
        server.page_size = 3
        for number in range(8):
            server.store.put_directly("k", f"n{number}", {"x": number})
        listing = await store.list_objects("k", deadline_in())
        assert sorted(listing.objects) == [f"n{number}" for number in range(8)]
        assert listing.version == server.store.version

    run(scenario)


def test_update_whose_answer_was_lost_is_settled_by_reading():
    async def scenario(server, store, metrics):
        server.answers_to_lose = 1
        version = await store.put("k", "a", {"x": 1}, 0, deadline_in(1.0))
        assert version == server.store.objects["k"]["a"].version
        assert metrics.counters["platform.settled"] == 1

    run(scenario)


def test_update_that_may_still_take_effect_is_not_a_conflict():
    # The store may execute an update seconds after its caller has given up.
    async def scenario(server, store, metrics):
        version = await store.put("k", "a", {"x": 1}, 0, deadline_in())
        server.calls_to_delay = 1
        with pytest.raises(PlatformUnavailableError):
            await store.put("k", "a", {"x": 2}, version, deadline_in(0.4))
        await eventually(lambda: server.store.objects["k"]["a"].value == {"x": 2})

    run(scenario)


@pytest.mark.parametrize("status", [429, 503])
def test_refused_call_raises_unavailable(status):
    async def scenario(server, store, metrics):
        server.store.put_directly("k", "a", {"x": 1})
        server.refusal_statuses = [status]
        with pytest.raises(PlatformUnavailableError):
            await store.get("k", "a", deadline_in())
        assert metrics.counters["platform.failures.get.k"] == 1
        assert (await store.get("k", "a", deadline_in())).value == {"x": 1}

    run(scenario)


def test_unreachable_store_raises_unavailable():
    async def scenario():
        async with HttpObjectStore("127.0.0.1:9", Metrics()) as store:
            with pytest.raises(PlatformUnavailableError):
                await store.list_objects("k", deadline_in(0.5))

    asyncio.run(scenario())
