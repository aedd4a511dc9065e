"""Copies of the store's objects that VMs get from each other."""

import asyncio
import json
import zlib

import pytest

from citronwood.errors import MessageError, PeerUnavailableError
from citronwood.inner.rpc import Caller
from citronwood.relay import feeds as feeds_module
from citronwood.relay.clock import now
from citronwood.relay.feeds import Feed
from citronwood.relay.follower import MAX_DIRECT_COPIES, FeedFollower
from citronwood.relay.messages import AskFeed
from tests.relay_standins import MemoryStore

KIND = "config"
VM_COUNT = 60


def make_feed():
    contents = []
    feed = Feed(KIND, lambda listing: dict(listing.objects) or None, contents.append)
    return feed, contents


class FeedFleet:
    """VMs that fetch a feed from each other; the first one is the leader."""

    def __init__(self):
        self.store = MemoryStore()
        self.calls = []
        self.lost = set()
        self.followers = {}
        self.feeds = {}
        for number in range(VM_COUNT):
            url = f"tcp://vm{number}"
            feed, _ = make_feed()
            follower = FeedFollower(
                (feed,), self.store, lambda: False, lambda interval_s: interval_s
            )
            follower._rpc = FeedRpc(self, url)
            self.followers[url], self.feeds[url] = follower, feed

    async def publish(self, version):
        self.store.put_directly(KIND, "main", {"version": version})
        leader = self.feeds["tcp://vm0"]
        await leader.poll(self.store, 0.0)
        return leader.version

    async def fetch_all(self):
        versions = {KIND: self.feeds["tcp://vm0"].version}
        others = [url for url in self.followers if url != "tcp://vm0"]
        for url in others:
            self.followers[url].note_source("tcp://vm0", versions, now())
        await asyncio.gather(*(self.followers[url].fetch() for url in others))


class FeedRpc:
    def __init__(self, fleet, url):
        self._fleet = fleet
        self._url = url

    async def call(self, url, message, answer_type, deadline):
        await asyncio.sleep(0)
        if url in self._fleet.lost:
            raise PeerUnavailableError("lost")
        caller = Caller("vm", 1, self._url, deadline)
        answer = await self._fleet.followers[url]._on_ask_feed(message, caller)
        self._fleet.calls.append((url, bool(answer.objects)))
        return answer


@pytest.fixture
def fleet():
    return FeedFleet()


def test_leader_sends_few_copies_of_a_version(fleet):
    # Guards against a leader that is held up by its copies. In a simulated day, its 195
    # VMs fetched a new configuration in a second, and their reports were not answered
    # in time.
    async def scenario():
        for version in (1, 2):
            await fleet.publish(version)
            fleet.calls.clear()
            await fleet.fetch_all()
            newest = fleet.feeds["tcp://vm0"].version
            assert all(feed.version == newest for feed in fleet.feeds.values())
            copies = fleet.calls.count(("tcp://vm0", True))
            assert copies <= 2 * MAX_DIRECT_COPIES
            assert len(fleet.store.calls) == version

    asyncio.run(scenario())


def test_vms_read_the_store_when_the_holder_of_a_copy_is_lost(fleet):
    async def scenario():
        await fleet.publish(1)
        fleet.lost = {f"tcp://vm{number}" for number in range(1, 9)}
        await fleet.fetch_all()
        newest = fleet.feeds["tcp://vm0"].version
        assert all(feed.version == newest for feed in fleet.feeds.values())

    asyncio.run(scenario())


def test_copies_are_small_and_survive_the_transfer(fleet):
    async def scenario():
        feed, _ = make_feed()
        store = MemoryStore()
        for number in range(200):
            store.put_directly(KIND, f"vm{number}", {"url": f"tcp://10.0.0.{number}:1"})
        await feed.poll(store, 0.0)
        other, contents = make_feed()
        other.receive(feed.version, feed.encode())
        assert len(feed.encode()) < 3000
        assert contents[0]["vm7"].value == {"url": "tcp://10.0.0.7:1"}
        # The encoded copy follows a later change.
        store.put_directly(KIND, "vm7", {"url": "other"})
        await feed.poll(store, 0.0)
        other.receive(feed.version, feed.encode())
        assert contents[-1]["vm7"].value == {"url": "other"}

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "data",
    [b"", b"{}", b"\0\1", zlib.compress(b"[1]"), zlib.compress(b'{"a": 1}')],
)
def test_malformed_copies_are_rejected(data):
    feed, contents = make_feed()
    with pytest.raises(MessageError):
        feed.receive(5, data)
    assert contents == []


def test_copy_that_grows_too_large_is_rejected(monkeypatch):
    # Guards against a small message that fills the memory.
    monkeypatch.setattr(feeds_module, "MAX_CONTENT_BYTES", 1000)
    feed, _ = make_feed()
    with pytest.raises(MessageError, match="oversized"):
        feed.receive(5, zlib.compress(json.dumps({"a": "x" * 5000}).encode()))


def test_request_for_an_unknown_kind_has_an_empty_answer(fleet):
    async def scenario():
        follower = fleet.followers["tcp://vm0"]
        answer = await follower._on_ask_feed(AskFeed("other", True), None)
        assert answer.version == 0

    asyncio.run(scenario())


def test_copy_is_made_beside_a_value_that_cannot_be_encoded():
    # Guards against VMs that get no list of servers from the leader because one entry
    # is nested too deeply.
    nested = []
    for _ in range(5000):
        nested = [nested]

    async def scenario():
        store = MemoryStore()
        store.put_directly(KIND, "good", {"version": 1})
        store.put_directly(KIND, "deep", {"zone": nested})
        leader, _ = make_feed()
        leader._decode = lambda listing: sorted(listing.objects)
        await leader.poll(store, 0.0)
        other, _ = make_feed()
        other.receive(leader.version, leader.encode())
        values = {name: each.value for name, each in other._content.items()}
        assert values == {"good": {"version": 1}, "deep": {}}

    asyncio.run(scenario())


def test_content_of_a_copy_is_replaced_once_it_is_written_again():
    # Guards against a VM that read the copy of a restored store and is told for ever
    # that it is up to date, because the leader's content never changed.
    async def scenario():
        store = MemoryStore()
        leader, other = make_feed()[0], make_feed()[0]
        leader._decode = other._decode = lambda listing: listing.objects["main"].value
        store.put_directly(KIND, "main", {"version": 7})
        copy = store.copy()
        store.put_directly(KIND, "main", {"version": 8})
        await leader.poll(store, 0.0)
        store.restore(copy)
        store.put_directly(KIND, "main", {"version": 7})
        await other.poll(store, 0.0)
        store.put_directly(KIND, "main", {"version": 8})
        await leader.poll(store, 0.0)
        other.receive(leader.version, leader.encode())
        assert other._content == leader._content == {"version": 8}

    asyncio.run(scenario())


def test_content_of_a_restored_store_is_applied_at_lower_revisions():
    # Guards against VMs that ignore keys or servers until the revisions are high again.
    async def scenario():
        store = MemoryStore()
        leader, other = make_feed()[0], make_feed()[0]
        copy = store.copy()
        for number in range(6):
            if number == 5:
                store.restore(copy)
            store.put_directly(KIND, "main", {"number": number})
            await leader.poll(store, 0.0)
            other.receive(leader.version, leader.encode())
            for feed in (leader, other):
                assert feed._content["main"].value == {"number": number}

    asyncio.run(scenario())
