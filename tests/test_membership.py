"""Membership of several VMs in one process, over sockets and in virtual time."""

import asyncio
import heapq
import random
import time
from contextlib import asynccontextmanager

import pytest

from citronwood.errors import PlatformUnavailableError
from citronwood.fleet import entries as entries_module
from citronwood.fleet import membership as membership_module
from citronwood.fleet.entries import Liveness
from citronwood.fleet.membership import FleetMembership
from citronwood.fleet.placement import choose_gateways, choose_ledgers, rank
from citronwood.inner.codec import encode_body
from citronwood.inner.messages import VmState
from citronwood.inner.rpc import Caller
from citronwood.platform.api import Vm
from tests.fleet_helpers import eventually, make_rpc, run

pytestmark = pytest.mark.realtime


class FakePlatform:
    """Platform that only lists VMs; ``vms`` is None during an outage."""

    def __init__(self, vms=None):
        self.vms = vms

    async def list_vms(self, deadline):
        if self.vms is None:
            raise PlatformUnavailableError("outage")
        return self.vms


def make_member(name, seeds=(), platform=None, url="tcp://127.0.0.1:0"):
    rpc = make_rpc(name, url=url)
    member = FleetMembership(rpc, f"d{int(name[2:]) % 3}", tuple(seeds), platform)
    member.changes = []
    member.on_vm_change(member.changes.append)
    member.start()
    return member


async def stop(member):
    await member.close()
    await member._rpc.close()


@asynccontextmanager
async def fleet(size):
    members = [make_member("vm0")]
    seeds = [members[0].own.url]
    members += [make_member(f"vm{number}", seeds) for number in range(1, size)]
    await eventually(lambda: all(len(peer.live) == size for peer in members), 10)
    yield members
    for member in members:
        await stop(member)


def test_dead_vm_is_suspected_in_time_and_its_process_ends():
    # Guards against roles that stay with a dead VM, and against late failure detection.
    async def scenario():
        async with fleet(18) as members:
            stopped_member = members.pop()
            name, incarnation = stopped_member.own.name, stopped_member.own.incarnation
            await stop(stopped_member)
            stopped = time.monotonic()
            await eventually(lambda: all(len(peer.live) == 17 for peer in members), 4)
            assert 1.0 < time.monotonic() - stopped < 3.5
            await eventually(lambda: all(peer.is_dead(name) for peer in members), 8)
            assert 4.0 < time.monotonic() - stopped < 9
            for member in members:
                ended = [
                    observed
                    for observed in member.changes
                    if observed.ended_incarnation
                ]
                assert [(peer.name, peer.ended_incarnation) for peer in ended] == [
                    (name, incarnation)
                ]
                assert member.heard_majority(2.0)

    run(scenario())


def _drop_messages(member, duration_s):
    """Drop everything that the VM sends and receives for a while."""
    ends_at = time.monotonic() + duration_s
    send_heartbeat, receive = member._send_heartbeat, member._rpc._receive

    def wrapped(function):
        return lambda *args: function(*args) if time.monotonic() > ends_at else None

    member._send_heartbeat = wrapped(send_heartbeat)
    member._rpc._transport._receiver = wrapped(receive)


def test_pauses_of_300_ms_cause_no_suspicion():
    # Guards against roles that move because a VM paused briefly.
    async def scenario():
        async with fleet(12) as members:
            for member in members:
                member.changes.clear()
            for turn in range(8):
                for number in range(3):
                    _drop_messages(members[(turn * 3 + number) % 12], 0.3)
                await asyncio.sleep(0.5)
            assert [observed for member in members for observed in member.changes] == []

    run(scenario())


def test_restarted_vm_ends_its_earlier_process_and_returns():
    async def scenario():
        async with fleet(3) as members:
            stopped_member = members[2]
            old = stopped_member.own
            await stop(stopped_member)
            await asyncio.sleep(0.05)
            members[2] = make_member("vm2", [members[0].own.url], url=old.url)
            await eventually(
                lambda: any(
                    observed.ended_incarnation == old.incarnation
                    for observed in members[0].changes
                )
            )
            await eventually(lambda: len(members[0].live) == 3, 6)
            assert not members[0].is_dead("vm2")

    run(scenario())


def test_vm_that_comes_back_from_a_partition_is_live_again():
    async def scenario():
        async with fleet(3) as members:
            _drop_messages(members[2], 5.6)
            await eventually(lambda: members[0].is_dead("vm2"), 8)
            assert not members[2].heard_majority(2.0)
            assert members[0].heard_majority(2.0)
            await eventually(
                lambda: all(len(peer.live) == 3 for peer in members), timeout=7
            )

    run(scenario())


def test_leaving_vm_loses_its_roles_but_is_not_dead():
    async def scenario():
        async with fleet(3) as members:
            members[1].announce_leaving()
            await eventually(lambda: len(members[0].live) == 2)
            assert not members[0].is_dead("vm1")
            assert [vm.name for vm in members[1].live] == ["vm0", "vm2"]

    run(scenario())


def test_vm_that_announces_its_stop_is_dead_at_once():
    # Guards against peers that wait for a process that has stopped, and against an old
    # heartbeat that makes it live again.
    async def scenario():
        async with fleet(3) as members:
            ended = members[1].own.incarnation
            members[1].announce_leaving()
            members[1].announce_stopped()
            peers = (members[0], members[2])
            await eventually(lambda: all(peer.is_dead("vm1") for peer in peers), 0.5)
            for peer in peers:
                last = [change for change in peer.changes if change.name == "vm1"][-1]
                assert last.ended_incarnation == ended
            await asyncio.sleep(0.5)
            assert all(peer.is_dead("vm1") for peer in peers)

    run(scenario())


def test_platform_list_adds_and_removes_and_tolerates_outages():
    # Guards against a VM that cannot join without seeds, and against a VM that takes
    # roles after the platform has removed it.
    async def scenario():
        platform = FakePlatform()
        first = make_member("vm0", platform=platform)
        second = make_member("vm1")
        await asyncio.sleep(0.1)
        assert not first.heard_majority(2.0), "no VM of the fleet is known"
        own, other = (
            Vm(peer.own.name, peer.own.url, "d", "live") for peer in (first, second)
        )
        absent = Vm("vm9", "tcp://127.0.0.1:1", "d", "live")
        first.apply_list([own, other, absent])
        await eventually(lambda: len(first.live) == 2 and len(second.live) == 2)
        assert first.heard_majority(2.0), "2 of the 3 listed VMs"
        first.apply_list([])
        assert len(first.live) == 2, "an empty list is a platform fault"
        first.apply_list([own, absent])
        assert first.is_dead("vm1")
        await asyncio.sleep(0.5)
        assert first.is_dead("vm1"), "heartbeats of a removed VM do not count"
        first.apply_list([own, other])
        await eventually(lambda: len(first.live) == 2)
        for member in (first, second):
            await stop(member)

    run(scenario())


@pytest.mark.parametrize("falls_silent", [False, True])
def test_leaving_vm_removed_from_list_is_dead_only_when_it_stops(falls_silent):
    # Guards against transactions that are lost because the list drops a VM before it
    # stops, and against a removed VM that stays forever or becomes live again.
    async def scenario():
        async with fleet(3) as members:
            first, leaving = members[:2]
            listed = [Vm(peer.own.name, peer.own.url, "d", "live") for peer in members]
            first.apply_list(listed)
            leaving.announce_leaving()
            await eventually(lambda: len(first.live) == 2)
            first.apply_list([listed[0], listed[2]])
            await asyncio.sleep(2.0)
            assert not first.is_dead("vm1")
            if falls_silent:
                _drop_messages(leaving, 3.0)
                await eventually(lambda: first.is_dead("vm1"), 2.5)
                await asyncio.sleep(1.0)
            else:
                leaving.announce_stopped()
                await eventually(lambda: first.is_dead("vm1"), 0.5)
            await asyncio.sleep(1.0)
            assert first.is_dead("vm1")
            ended = [
                observed.ended_incarnation for observed in first.changes if observed[2]
            ]
            assert ended == [leaving.own.incarnation]

    run(scenario())


def test_table_is_bounded_in_large_fleets():
    async def scenario():
        member = make_member("vm0")
        await member.close()
        now = time.monotonic()
        names = {f"vm{number}" for number in range(1, 620)}
        for counter in (1, 2):
            for name in names:
                state = VmState(name, 1, counter, "tcp://127.0.0.1:9", "d", "live", 7)
                member._merge(state, now, direct=False)
        assert len(member.live) == 620
        seen = set()
        for _ in range(30):
            table = member._build_table(now)
            assert len(table) <= 49
            seen |= {state.name for state in table}
        assert len(seen) > 600, "almost every entry is sent within 30 heartbeats"
        assert 5 < member.suspect_after_s < 6
        await member._rpc.close()

    run(scenario())


def _vms(count):
    return [
        VmState(f"vm{n}", 1, 1, f"tcp://127.0.0.1:{n}", f"d{n % 3}", "live", 0)
        for n in range(count)
    ]


def test_gateways_lie_in_different_failure_domains():
    vms = _vms(18)
    first_gateways = set()
    for number in range(200):
        chosen = choose_gateways(f"g{number}", vms)
        assert len({vm.failure_domain for vm in chosen}) == 2
        first_gateways.add(chosen[0].name)
    assert len(first_gateways) == 18
    one_domain = [vm for vm in vms if vm.failure_domain == "d1"]
    assert len(choose_gateways("g", one_domain)) == 2
    assert len(choose_gateways("g", vms[:1])) == 1
    assert choose_gateways("g", []) == []


def test_removed_vm_moves_only_its_own_roles():
    vms = _vms(18)
    remaining = [vm for vm in vms if vm.name != "vm3"]
    moved_second = 0
    for number in range(100):
        first, second = choose_ledgers(f"a{number}", vms)
        assert first.failure_domain != second.failure_domain
        now_first, now_second = choose_ledgers(f"a{number}", remaining)
        assert now_first == first or first.name == "vm3"
        if second.name != "vm3" and second != now_second:
            assert first.name == "vm3"
            assert now_first.failure_domain != first.failure_domain
            moved_second += 1
    assert moved_second <= 5
    assert len({choose_ledgers(f"a{n}", vms)[1].name for n in range(200)}) == 18


def test_ledgers_of_small_fleets():
    vms = _vms(18)
    one_domain = [vm for vm in vms if vm.failure_domain == "d1"]
    assert len({vm.name for vm in choose_ledgers("a", one_domain)}) == 2
    assert choose_ledgers("a", vms[:1]) == vms[:1]
    assert choose_ledgers("a", []) == []
    assert rank("key", ["a", "b", "c"]) == rank("key", ["c", "a", "b"])


@pytest.mark.parametrize("name", ["vm0", "vm5"])
def test_unknown_vms_are_not_dead(name):
    async def scenario():
        member = make_member("vm0")
        expected = Liveness.LIVE if name == "vm0" else Liveness.UNHEARD
        assert member.liveness(name) is expected
        assert not member.is_dead(name)
        assert member.heard_majority(2.0), "a fleet of one"
        await stop(member)

    run(scenario())


ENVELOPE_BYTES = 80


class VirtualFleet:
    """Memberships in virtual time; messages take 3 ms and none is lost."""

    def __init__(self, size, monkeypatch):
        self.now = 1000.0
        monkeypatch.setattr(membership_module, "monotonic", lambda: self.now)
        self.probes = self.sent_bytes = 0
        self.stopped = set()
        self.changes = []
        self._events = []
        self._sequence = 0
        self._random = random.Random(5)
        self._receivers = {}
        vms = [Vm(f"vm{n}", f"url{n}", f"d{n % 9}", "live") for n in range(size)]
        self.members = [self._make(vm, vms) for vm in vms]

    def advance(self, seconds):
        end = self.now + seconds
        while self._events[0][0] < end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def _make(self, vm, vms):
        rpc = VirtualRpc(vm, self)
        member = FleetMembership(rpc, vm.failure_domain, platform=FakePlatform())
        member._random = random.Random(vm.name)
        member.apply_list(vms)
        member.on_vm_change(self.changes.append)
        self._receivers[vm.url] = rpc
        self._schedule(
            self._random.uniform(0, 0.2), lambda: self._send_heartbeat(member)
        )
        return member

    def _send_heartbeat(self, member):
        if member._rpc.url in self.stopped:
            return
        member._send_heartbeat()
        self._schedule(
            member._interval_s * self._random.uniform(0.9, 1.1),
            lambda: self._send_heartbeat(member),
        )

    def send(self, url, message, caller):
        if url in self.stopped:
            return
        self.probes += message.answer_wanted
        self.sent_bytes += len(encode_body(message)) + ENVELOPE_BYTES
        self._schedule(0.003, lambda: self._receivers[url].receive(message, caller))

    def _schedule(self, delay, action):
        self._sequence += 1
        heapq.heappush(self._events, (self.now + delay, self._sequence, action))


class VirtualRpc:
    incarnation = 1

    def __init__(self, vm, fleet):
        self.name, self.url, self._fleet = vm.name, vm.url, fleet

    def on_notification(self, message_type, receive):
        self.receive = receive

    def reconnect(self, url):
        pass

    def notify(self, url, message):
        caller = Caller(self.name, self.incarnation, self.url, 0.0)
        self._fleet.send(url, message, caller)


def test_large_fleet_probes_rarely_and_suspects_no_live_vm(monkeypatch):
    # With bounded tables, VMs hear of each other less often. Guards against constant
    # probes, mostly over new connections, against suspicion without a fault, and
    # against heartbeats that exceed the bandwidth limit of control traffic.
    size, seconds = 150, 4
    fleet = VirtualFleet(size, monkeypatch)
    fleet.advance(6)
    fleet.probes = fleet.sent_bytes = 0
    fleet.changes.clear()
    fleet.advance(seconds)
    assert fleet.changes == []
    assert all(len(member.live) == size for member in fleet.members)
    assert fleet.probes / size / seconds < 3
    assert 2 * fleet.sent_bytes / size / seconds < 10_000


def test_dead_vms_of_a_large_fleet_are_noticed_in_time(monkeypatch):
    # Guards against detection times that grow with the fleet, and against old counters
    # that still circulate after a VM has died and count as signs of life.
    fleet = VirtualFleet(150, monkeypatch)
    fleet.advance(8)
    fleet.changes.clear()
    # A whole failure domain, which includes watchers of other VMs.
    stopped_urls = {
        m._rpc.name: m._rpc.url for m in fleet.members if m._failure_domain == "d1"
    }
    fleet.stopped |= set(stopped_urls.values())
    remaining = [peer for peer in fleet.members if peer._rpc.name not in stopped_urls]
    fleet.advance(5)
    assert all(len(peer.live) == len(remaining) for peer in remaining)
    fleet.advance(5)
    assert all(peer.is_dead(name) for peer in remaining for name in stopped_urls)
    assert {observed.name for observed in fleet.changes} == set(stopped_urls)


@pytest.mark.parametrize("shared_id", [False, True])
def test_processes_are_identified_by_short_ids(monkeypatch, shared_id):
    # Guards against VMs that never learn of a process because they only received its
    # short id, against id collisions, and against an overflow of the low counter bits.
    if shared_id:
        for module in (entries_module, membership_module):
            monkeypatch.setattr(module, "process_id", lambda *process: 1)
    else:
        monkeypatch.setattr(membership_module, "FULL_ENTRY_S", 0.0)
    fleet = VirtualFleet(4, monkeypatch)
    for member in fleet.members:
        member._counter = membership_module.COUNTER_MASK - 8
    fleet.advance(3)
    assert all(len(peer.live) == 4 for peer in fleet.members)
    assert all(vm.counter > 65535 for vm in fleet.members[0].live)
    fleet.changes.clear()
    fleet.advance(3)
    assert fleet.changes == []
    fleet.stopped.add("url1")
    fleet.advance(7)
    assert {observed.name for observed in fleet.changes} == {"vm1"}
    assert all(fleet.members[number].is_dead("vm1") for number in (0, 2, 3))


def test_vm_that_receives_no_heartbeats_suspects_no_live_vm(monkeypatch):
    # Guards against a VM that receives no heartbeats, may probe only a few VMs at once
    # and suspects all others, although a single answer carries the whole table.
    fleet = VirtualFleet(40, monkeypatch)
    fleet.advance(6)
    fleet.changes.clear()
    member = fleet.members[0]
    for other in fleet.members[1:]:
        other._choose_peers = lambda choose=other._choose_peers: [
            url for url in choose() if url != member._rpc.url
        ]
    fleet.advance(3)
    assert [
        observed for observed in fleet.changes if observed.liveness is not Liveness.LIVE
    ] == []
