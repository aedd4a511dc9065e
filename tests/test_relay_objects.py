"""Client of the platform's store, with lost answers, delays and refusals."""

import asyncio
import json
from time import monotonic

import pytest
from hypothesis import given
from hypothesis import strategies as st

from citronwood.errors import (
    MessageError,
    ObjectNotFoundError,
    PlatformUnavailableError,
    StoreRestoredError,
    VersionConflictError,
)
from citronwood.metrics import Metrics
from citronwood.platform.objects import HttpObjectStore
from citronwood.platform.pages import decode_page
from citronwood.versions import MAX_GENERATION, make_version
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


UNREADABLE = {
    # Half of a surrogate pair, as a text that was cut has it.
    "surrogate": rb'"pnw-sea \ud83c"',
    "bytes": b'"\xff\xfe"',
    "escape": rb'"\x"',
    "control character": b'"a\x01b"',
    "brackets in a text": rb'"]}, \" {[ \ud83c"',
    "number": b"1e999",
    "depth": b"[" * 5000 + b"]" * 5000,
}


@pytest.mark.parametrize("content", UNREADABLE.values(), ids=UNREADABLE)
def test_unreadable_object_does_not_hide_the_others(content):
    # Guards against a list of servers that stays as it was while one entry of another
    # writer cannot be decoded.
    async def scenario(server, store, metrics):
        server.page_size = 2
        for number in range(3):
            server.store.put_directly("k", f"n{number}", {"x": number})
        server.foreign_items = [
            b'{"meta": {"name": "n9", "revision": 4}, "spec": {"zone": %s}}' % content
        ]
        listing = await store.list_objects("k", deadline_in())
        values = {name: stored.value for name, stored in listing.objects.items()}
        assert values == {"n0": {"x": 0}, "n1": {"x": 1}, "n2": {"x": 2}, "n9": {}}
        assert listing.objects["n9"].version == 4
        assert listing.version == server.store.version

    run(scenario)


@pytest.mark.parametrize(
    "item",
    [
        b"5",
        b"null",
        b"[]",
        b"{}",
        b'{"meta": {"name": 7, "revision": 4}, "spec": {}}',
        b'{"meta": {"name": "n9", "revision": "new"}, "spec": {}}',
        rb'{"meta": {"name": "n9 \ud83c", "revision": 4}, "spec": {}}',
        rb'{"meta": {"revision": 4}, "spec": "\ud83c"}',
    ],
)
def test_object_without_a_readable_name_or_version_is_left_out(item):
    async def scenario(server, store, metrics):
        server.store.put_directly("k", "n0", {"x": 0})
        server.foreign_items = [item]
        listing = await store.list_objects("k", deadline_in())
        assert {name: each.value for name, each in listing.objects.items()} == {
            "n0": {"x": 0}
        }

    run(scenario)


@pytest.mark.parametrize(
    "body",
    [b"", b"[]", b'{"items": [', b'{"items": [5]}', rb'{"items": "\ud83c", "more": 1}'],
)
def test_page_that_is_malformed_as_a_whole_is_refused(body):
    with pytest.raises(MessageError):
        decode_page(body)


json_values = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**53), 2**53) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)


@given(st.lists(json_values), st.booleans(), st.sampled_from([None, 1]))
def test_objects_beside_an_unreadable_one_are_decoded_as_without_it(
    specs, ensure_ascii, indent
):
    items = [
        {"meta": {"name": f"n{number}", "revision": number}, "spec": spec}
        for number, spec in enumerate(specs)
    ]
    page = {"store_revision": 7, "items": items, "more": True}
    readable = json.dumps(page, ensure_ascii=ensure_ascii, indent=indent)
    foreign = {"meta": {"name": "z", "revision": 9}, "spec": "CUT"}
    page["items"] = [foreign, *items]
    unreadable = json.dumps(page, ensure_ascii=ensure_ascii, indent=indent)
    cut = unreadable.replace('"CUT"', r'"\ud83c"', 1)
    first, *others = decode_page(cut.encode()).items
    assert (first.meta.name, first.spec) == ("z", None)
    assert others == decode_page(readable.encode()).items


def restore(server):
    """Restore the store from a copy that lacks nothing, so that revisions are equal."""
    server.store.restore(server.store.copy())


def test_versions_name_the_generation_of_the_store(caplog):
    # Guards against equal versions of different contents, versions that go back, and
    # objects that cannot be created again.
    async def scenario(server, store, metrics):
        first = await store.put("k", "a", {"x": 1}, 0, deadline_in())
        for generation in (1, 2):
            restore(server)
            expected = make_version(generation, first)
            assert (await store.get("k", "a", deadline_in())).version == expected
            listing = await store.list_objects("k", deadline_in())
            assert listing.objects["a"].version == expected
            assert listing.version == expected + generation - 1
            name = f"b{generation}"
            with pytest.raises(ObjectNotFoundError) as missing:
                await store.get("k", name, deadline_in())
            version = missing.value.version
            assert version == make_version(generation, 0)
            earlier = make_version(generation - 1, 0)
            with pytest.raises(StoreRestoredError):
                await store.put("k", name, {"x": 2}, earlier, deadline_in())
            version = await store.put("k", name, {"x": 2}, version, deadline_in())
            assert version == server.store.objects["k"][name].version
        assert metrics.counters["platform.restored"] == 2
        lines = [each for each in caplog.messages if "the store was restored" in each]
        assert [line[-1] for line in lines] == ["1", "2"]

    with caplog.at_level("INFO"):
        run(scenario)


@pytest.mark.parametrize(
    "text",
    ["", "x", "-1", "1.5", "\u0661", str(MAX_GENERATION + 1), "9" * 5000],
    ids=["missing", "word", "negative", "fraction", "digit", "too high", "too long"],
)
def test_answer_without_a_readable_generation_is_not_used(text):
    # Guards against content of a restored store that is taken for the former one. A
    # store that never names a generation is used.
    async def scenario(server, store, metrics):
        server.generation_text = ""
        version = await store.put("k", "a", {"x": 1}, 0, deadline_in())
        assert version == server.store.version
        await store.put("k", "a", {"x": 2}, version, deadline_in())
        server.generation_text = None
        await store.get("k", "a", deadline_in())
        server.generation_text = text
        with pytest.raises(PlatformUnavailableError):
            await store.get("k", "a", deadline_in())
        server.generation_text = None
        await store.get("k", "a", deadline_in())
        assert metrics.counters["platform.malformed"] == 1

    run(scenario)


@pytest.mark.parametrize("is_known", [True, False])
@pytest.mark.parametrize("call", ["put", "delete"])
def test_version_from_before_a_restore_does_not_confirm_a_change(call, is_known):
    # Guards against a condition that holds only because a revision was given out again.
    async def scenario(server, store, metrics):
        version = await store.put("k", "a", {"x": 1}, 0, deadline_in())
        restore(server)
        if is_known:
            await store.list_objects("other", deadline_in())
        arguments = [{"x": 2}, version] if call == "put" else [version]
        with pytest.raises(StoreRestoredError):
            await getattr(store, call)("k", "a", *arguments, deadline_in())
        stored = server.store.objects["k"].get("a")
        assert (stored is not None and stored.value == {"x": 1}) == is_known

    run(scenario)


def test_pages_from_before_and_after_a_restore_are_not_joined():
    # Guards against a list of VMs that lacks some of them in both contents.
    async def scenario(server, store, metrics):
        server.page_size = 1
        for name in "ab":
            server.store.put_directly("k", name, {})
        server.after_answer = lambda: restore(server)
        with pytest.raises(PlatformUnavailableError):
            await store.list_objects("k", deadline_in())
        assert len((await store.list_objects("k", deadline_in())).objects) == 2

    run(scenario)


@pytest.mark.parametrize("restored", ["with update", "without update", "empty"])
def test_lost_answer_is_not_settled_in_a_restored_store(restored):
    # Guards against an update that is taken as done, or as refused by another writer.
    async def scenario(server, store, metrics):
        copies = {"empty": server.store.copy()}
        version = await store.put("k", "a", {"x": 1}, 0, deadline_in())
        copies["without update"] = server.store.copy()
        server.answers_to_lose = 1
        put = store.put("k", "a", {"x": 2}, version, deadline_in(0.4))
        update = asyncio.create_task(put)
        await eventually(lambda: server.store.objects["k"]["a"].value == {"x": 2})
        copies["with update"] = server.store.copy()
        server.store.restore(copies[restored])
        with pytest.raises(StoreRestoredError):
            await update

    run(scenario)
