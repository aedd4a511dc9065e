"""Distribution of the configuration and ``may_serve``, with a fake fleet."""

import asyncio
import contextlib

import pytest

from citronwood.config import distribution
from citronwood.config.distribution import ConfigDistributor, wait_until_in_force
from citronwood.config.model import Configuration
from citronwood.deadline import deadline_in
from citronwood.inner.messages import VmState
from citronwood.metrics import Metrics
from citronwood.platform.budget import CallBudget
from citronwood.platform.http import HttpPlatformClient
from citronwood.standin.platform import StandinPlatform

DOCUMENT = {"accounts": {}, "groups": {}, "routes": {}}


def vm_state(name, version=0):
    return VmState(name, 1, 1, "tcp://127.0.0.1:1", "seattle", "live", version)


class FakeMembership:
    def __init__(self, names=("vm1", "vm2", "vm3")):
        self.own = vm_state(names[0])
        self.live = tuple(vm_state(name) for name in names)
        self.majority = True

    def is_dead(self, name):
        return False

    def heard_majority(self, within_s):
        return self.majority


class Fixture:
    """One VM's distributor on a stand-in platform."""

    def __init__(self, platform, client):
        self.platform = platform
        self.client = client
        self.membership = FakeMembership()
        self.peer_copy = None
        self.metrics = Metrics()
        self.config = ConfigDistributor(
            client, self.membership, self.metrics, self.fetch
        )

    async def fetch(self, after_version):
        return self.peer_copy

    async def change(self, rate):
        """Store a configuration whose only account has this rate."""
        stored = self.platform.store.get("config", "current")
        document = DOCUMENT | {"accounts": {"a": {"rate": rate, "burst": 1}}}
        async with HttpPlatformClient(self.platform.url, Metrics()) as client:
            version = stored[1] if stored else 0
            deadline = deadline_in(8)
            return await client.put("config", "current", document, version, deadline)


@contextlib.asynccontextmanager
async def vm(started=True):
    platform = StandinPlatform("127.0.0.1", 0)
    await platform.start()
    client = HttpPlatformClient(platform.url, Metrics(), CallBudget(100, 100))
    fixture = Fixture(platform, client)
    try:
        if started:
            assert await fixture.config.start(deadline_in(2))
        yield fixture
    finally:
        await fixture.config.stop()
        await client.close()
        await platform.stop()


@pytest.fixture
def short_validation(monkeypatch):
    """Let a validation expire after 0.6 s."""
    monkeypatch.setattr(distribution, "VALIDATION_LIFETIME_S", 0.6)
    monkeypatch.setattr(distribution, "WATCH_TIMEOUT_S", 0.3)
    monkeypatch.setattr(distribution, "READ_TIMEOUT_S", 0.3)


def copy_of(version, rate=1.0):
    """Return a configuration as peers send it: (version, JSON)."""
    config = Configuration.model_validate(
        {"version": version, "accounts": {"a": {"rate": rate, "burst": 1}}}
    )
    return version, config.model_dump_json().encode()


def test_change_reaches_the_vm_and_its_callbacks():
    async def scenario():
        async with vm() as fixture:
            received = []
            fixture.config.on_change(lambda config: 1 / 0)
            fixture.config.on_change(lambda config: received.append(config.version))
            version = await fixture.change(5)
            # Guards against a failing callback that keeps others from being called.
            assert await fixture.config.wait_for(version, deadline_in(1))
            assert received == [version]
            assert not await fixture.config.wait_for(version + 1, deadline_in(0.1))

    asyncio.run(scenario())


def test_unanswered_watch_falls_back_to_reads():
    # Guards against a withdrawn key that stays valid because the store accepts watches
    # but never answers them.
    async def scenario():
        async with vm() as fixture:
            fixture.platform.faults.silent_watches = True
            await asyncio.sleep(0.5)
            version = await fixture.change(5)
            assert await fixture.config.wait_for(version, deadline_in(1.3))
            assert fixture.metrics.counters["config.watches_failed"] >= 1

    asyncio.run(scenario())


def test_slow_store_delays_but_does_not_hide_a_change():
    async def scenario():
        async with vm() as fixture:
            version = await fixture.change(5)
            fixture.platform.faults.delay_ms = 700
            version = await fixture.change(6)
            assert await fixture.config.wait_for(version, deadline_in(6))

    asyncio.run(scenario())


def test_versions_never_revert():
    async def scenario():
        async with vm() as fixture:
            await fixture.change(5)
            assert fixture.config.install_copy(*copy_of(9))
            assert not fixture.config.install_copy(*copy_of(8))
            # Invalid copies from peers are refused.
            assert not fixture.config.install_copy(10, copy_of(11)[1])
            assert not fixture.config.install_copy(10, b"{")
            await fixture.change(6)
            await asyncio.sleep(1.5)
            assert fixture.config.version == 9
            assert fixture.config.newer_copy(9) is None
            assert fixture.config.newer_copy(8) == copy_of(9)

    asyncio.run(scenario())


def test_vm_that_starts_in_an_outage_fetches_from_peers():
    async def scenario():
        async with vm(started=False) as fixture:
            await fixture.platform.refuse_connections()
            assert not await fixture.config.start(deadline_in(0.5))
            assert not fixture.config.may_serve
            await fixture.config.stop()
            fixture.peer_copy = copy_of(4)
            assert await fixture.config.start(deadline_in(6))
            assert fixture.config.version == 4
            assert fixture.config.may_serve

    asyncio.run(scenario())


def test_isolated_vm_stops_serving_until_it_reconnects(short_validation):
    async def scenario():
        async with vm() as fixture:
            fixture.membership.majority = False
            await asyncio.sleep(0.8)
            # Validations by the store suffice without a majority.
            assert fixture.config.may_serve
            await fixture.platform.refuse_connections()
            await asyncio.sleep(0.8)
            assert not fixture.config.may_serve
            fixture.config.record_peer_validation(fixture.config.version, 100)
            assert fixture.config.may_serve
            await asyncio.sleep(0.8)
            assert not fixture.config.may_serve
            fixture.membership.majority = True
            assert fixture.config.may_serve
            fixture.membership.majority = False
            await fixture.platform.listen()
            await asyncio.sleep(2.5)
            assert fixture.config.may_serve

    asyncio.run(scenario())


def test_fleet_serves_in_a_store_outage_unless_it_missed_a_version(
    short_validation,
):
    async def scenario():
        async with vm() as fixture:
            config = fixture.config
            await fixture.platform.refuse_connections()
            await asyncio.sleep(0.8)
            assert config.may_serve
            # A peer has a newer version, which may withdraw a key.
            fixture.membership.live = (vm_state("vm1"), vm_state("vm2", 7))
            assert not config.may_serve
            assert config.install_copy(*copy_of(7))
            assert config.may_serve
            # A peer's validation shows that a newer version is in force.
            config.record_peer_validation(8, 0)
            assert not config.may_serve
            assert config.install_copy(*copy_of(8))
            assert config.may_serve
            assert config.validation_age_ms < 600

    asyncio.run(scenario())


def test_buffered_heartbeats_after_a_pause_are_not_trusted(short_validation):
    # After a pause a process reads heartbeats from its socket buffers that were fresh
    # only before the pause.
    async def scenario():
        async with vm() as fixture:
            await fixture.platform.refuse_connections()
            await asyncio.sleep(0.8)
            assert fixture.config.may_serve
            # Simulates a pause of 5 s.
            fixture.config._last_tick_at -= 5
            fixture.config.record_peer_validation(fixture.config.version, 0)
            assert not fixture.config.may_serve
            await asyncio.sleep(0.2)
            fixture.config.record_peer_validation(fixture.config.version, 0)
            assert not fixture.config.may_serve
            await asyncio.sleep(distribution.DISTRUST_AFTER_PAUSE_S)
            fixture.config.record_peer_validation(fixture.config.version, 0)
            assert fixture.config.may_serve

    asyncio.run(scenario())


def test_number_of_watchers_is_limited(monkeypatch):
    monkeypatch.setattr(distribution, "MAX_WATCHERS", 3)

    async def scenario():
        names = [f"vm{n}" for n in range(20)]
        watchers = []
        for name in names:
            membership = FakeMembership(names)
            membership.own = vm_state(name)
            watchers.append(
                ConfigDistributor(None, membership, Metrics())._is_watcher()
            )
        assert sum(watchers) == 3

    asyncio.run(scenario())


def test_wait_returns_the_vms_that_are_behind():
    async def scenario():
        membership = FakeMembership()
        waiting = wait_until_in_force(membership, 3, deadline_in(0.3))
        membership.live = (vm_state("vm1", 3), vm_state("vm2", 2), vm_state("vm3", 4))
        assert await waiting == ["vm2"]

    asyncio.run(scenario())
