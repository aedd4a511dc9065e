"""Evacuation of failure domains, which the operator writes to the store."""

import asyncio
import math

import pytest

from citronwood.errors import PlatformUnavailableError
from citronwood.metrics import Metrics
from citronwood.platform.api import Listing, VersionedObject
from citronwood.platform.records import EVACUATIONS_KIND, decode_evacuations
from citronwood.relay import evacuations as evacuations_module
from citronwood.relay import feeds as feeds_module
from citronwood.relay import follower as follower_module
from citronwood.relay.clock import now
from citronwood.relay.evacuations import Evacuations, StoreContact
from citronwood.relay.feeds import Feed
from citronwood.relay.follower import FeedFollower
from citronwood.relay.model import BackendServer, Role
from tests.fleet_helpers import eventually
from tests.relay_standins import Caller, MemoryStore
from tests.test_relay_fleet import Vm, fleet, primary

EVACUATION_S = 5.0
ZONES = ("z1", "z2", "z3")


def run(scenario, **options):
    options = {
        "relay_options": {"evacuation_s": EVACUATION_S},
        "zones": ZONES,
        **options,
    }

    async def with_fleet():
        async with fleet(**options) as (vms, store, group):
            await scenario(vms, store, group)

    asyncio.run(with_fleet())


def evacuate(store, *zones):
    """Make these the evacuated domains."""
    listed = store.objects.setdefault(EVACUATIONS_KIND, {})
    for zone in listed.keys() - set(zones):
        del listed[zone]
        store.version += 1
    for zone in set(zones) - listed.keys():
        store.put_directly(EVACUATIONS_KIND, zone, {})


async def until_known(vms, *zones):
    known = set(zones)
    await eventually(
        lambda: all(vm.node._evacuations._aborts_at.keys() == known for vm in vms)
    )


def requests_of_callers(server):
    """Return what ran at a server, without status requests and orders."""
    return [text for request, text in server.statements if request != "-"]


async def until_led_by(vms, server):
    await eventually(lambda: all(primary(vm) == server.id for vm in vms), 15.0)


def refused(vms):
    name = "evacuations.refused_statements"
    return sum(vm.node._metrics.counters.get(name, 0) for vm in vms)


def test_evacuated_domain_gets_nothing_and_its_primary_is_replaced():
    # Guards against statements at servers of an evacuated domain, against a successor
    # in another evacuated one, and against a primary that moves back after the removal.
    async def scenario(vms, store, group):
        caller = await Caller.connect(vms[0].port)
        await caller.execute("WRITE x 1")
        evacuate(store, "z1", "z2")
        await until_known(vms, "z1", "z2")
        sent = [requests_of_callers(server) for server in group.servers[:2]]
        await until_led_by(vms, group.servers[2])
        for _ in range(10):
            lines, _ = await caller.execute("READ x")
            assert lines[0] == "ROW 1"
        assert (await caller.execute("WRITE x 2"))[0][-1].startswith("DONE orders-2")
        assert [requests_of_callers(server) for server in group.servers[:2]] == sent
        assert vms[0].node._metrics.gauges["evacuations.domains"] == 2
        group.register(store)
        evacuate(store)
        await until_known(vms)
        replica = group.servers[0]
        while requests_of_callers(replica) == sent[0]:
            await caller.execute("READ x")
        await until_led_by(vms, group.servers[2])

    run(scenario)


def test_group_without_another_server_refuses_at_once_and_keeps_its_primary():
    # Guards against statements that wait for a primary in vain, against callers that
    # are not told why, and against a draining server elsewhere that is not used.
    async def scenario(vms, store, group):
        caller = await Caller.connect(vms[0].port)
        evacuate(store, *ZONES)
        await until_known(vms, *ZONES)
        for text in ("WRITE x 1", "READ x"):
            lines, _ = await caller.execute(text)
            assert lines[0].startswith("ERROR BUSY not run: failure domain z1")
            assert lines[0].endswith("is evacuated; retry in 2000 ms")
        assert refused(vms) == 2
        assert vms[0].node._view.named_primary("orders") == group.servers[0].id
        assert not vms[0].node._view.state.groups["orders"].changing
        assert not any(map(requests_of_callers, group.servers))
        group.servers[1].is_draining = True
        group.register(store)
        evacuate(store, "z1", "z3")
        await until_led_by(vms, group.servers[1])

    run(scenario)


@pytest.mark.parametrize(
    ("is_removed", "sync_replicas"), [(True, 0), (False, 0), (False, 1)]
)
def test_evacuations_change_during_a_change_of_primary(is_removed, sync_replicas):
    # Guards against a change that ends at a server which may not be used, and against
    # one that stops or turns back when the evacuation is removed.
    async def scenario(vms, store, group):
        promote, changes = group.promote, set()

        async def evacuate_and_promote(name, server_id, *arguments):
            changes.add(vms[0].node._view.state.groups["orders"].change)
            if not group.promotions:
                chosen = next(s for s in group.servers if s.id == server_id)
                zones = () if is_removed else ("z1", chosen.zone)
                evacuate(store, *zones)
                await until_known(vms, *zones)
            return await promote(name, server_id, *arguments)

        for vm in vms:
            vm.node._failover._succession._call_promote = evacuate_and_promote
        evacuate(store, "z1")
        count = 1 if is_removed else 2
        await eventually(lambda: len(group.promotions) == count, 15.0)
        by_id = {server.id: server for server in group.servers}
        promoted = [by_id[promotion[1]] for promotion in group.promotions]
        await until_led_by(vms, promoted[-1])
        assert len(group.promotions) == count == len(set(promoted) - {group.servers[0]})
        assert len(changes) == 1

    run(scenario, sync_replicas=sync_replicas)


def test_evacuated_primary_that_only_other_vms_reach_is_replaced():
    # Guards against a primary that stays, although no VM may use it, because the others
    # reach it.
    async def scenario(vms, store, group):
        lost = group.servers[0].id
        for vm in vms:
            probes = vm.node._probes
            status, answered = probes.status, probes.answered_within

            async def status_of_others(server, deadline, status=status):
                return None if server == lost else await status(server, deadline)

            probes.status = status_of_others
            probes.answered_within = lambda server, seconds, answered=answered: (
                server != lost and answered(server, seconds)
            )
            checks = vm.node._failover
            checks._is_reachable_by_others = lambda server: asyncio.sleep(0, True)
        evacuate(store, "z1")
        await eventually(lambda: all(primary(vm) not in (None, lost) for vm in vms))

    run(scenario)


def test_change_waits_while_all_domains_are_evacuated():
    # Guards against the promotion of a server in an evacuated domain for lack of
    # another one, and against a change that does not go on after the removal.
    async def scenario(vms, store, group):
        group.servers[0].is_draining = True
        for server in group.servers[1:]:
            # It answers, so the change begins, but cannot be promoted yet.
            server.missing_writes = 1
        group.register(store)
        await eventually(lambda: primary(vms[0]) is None, 15.0)
        evacuate(store, *ZONES)
        await until_known(vms, *ZONES)
        for server in group.servers[1:]:
            server.missing_writes = 0
        statuses = len(group.servers[1].statements)
        await eventually(lambda: len(group.servers[1].statements) > statuses + 5, 15.0)
        assert not group.promotions
        evacuate(store, "z1", "z2")
        await until_led_by(vms, group.servers[2])

    run(scenario)


@pytest.mark.parametrize("forwarded", [False, True])
def test_open_transactions_at_evacuated_servers_are_aborted(forwarded):
    # Guards against a transaction that is cut off at once, and one that goes on after
    # half of the time. The caller learns that nothing was kept.
    async def scenario(vms, store, group):
        callers = [await Caller.connect(vm.port) for vm in vms]
        for caller in callers:
            await caller.execute("BEGIN")
            await caller.execute("WRITE x 1")
        # With no server elsewhere, the transactions are not ended by a change before.
        evacuate(store, *ZONES)
        await until_known(vms, *ZONES)
        for caller in callers:
            lines, state = await caller.execute("WRITE y 1")
            assert (lines[-1][:4], state) == ("DONE", "T")
        before = requests_of_callers(group.servers[0])
        server = vms[0].node._servers.get(group.servers[0].id).server
        decisions = [vm.node._evacuations for vm in vms]
        await eventually(lambda: all(each.has_to_abort(server) for each in decisions))
        for caller in callers:
            lines, state = await caller.execute("COMMIT")
            assert (lines[0][:13], state) == ("ERROR ABORTED", "I")
        assert requests_of_callers(group.servers[0]) == before
        assert not group.writes

    run(scenario, max_conns=6 if forwarded else 60, count=4 if forwarded else 2)


def test_owner_refuses_for_a_vm_that_does_not_know_yet():
    # Guards against a VM that, refused by the owner, uses a connection of its own, and
    # against an owner that goes on with a transaction of such a VM.
    async def scenario(vms, store, group):
        server = vms[0].node._servers.get(group.servers[0].id).server
        await eventually(lambda: vms[0].node._owners.candidates(server))
        owner = vms[0].node._owners.candidates(server)[0].name
        sender = next(vm for vm in vms if vm.node._options.name != owner)
        sender.node._evacuations.update = lambda domains, generation: None
        await eventually(lambda: sender.node._forwarding._urls(server))
        caller = await Caller.connect(sender.port)
        other = await Caller.connect(sender.port)
        await other.execute("BEGIN")
        await other.execute("WRITE x 1")
        evacuate(store, *ZONES)
        others = [vm for vm in vms if vm is not sender]
        await until_known(others, *ZONES)
        lines, _ = await caller.execute("WRITE x 2")
        assert lines[0].startswith("ERROR ABORTED not run: failure domain z1 is evacu")
        decisions = [vm.node._evacuations for vm in others]
        await eventually(lambda: all(each.has_to_abort(server) for each in decisions))
        assert (await other.execute("COMMIT"))[0][0].startswith("ERROR ABORTED")
        assert requests_of_callers(group.servers[0]) == ["WRITE x 1"]

    run(scenario, count=4, max_conns=6, statement_timeout_ms=500)


def test_vm_is_not_ready_before_it_has_read_the_list():
    # Guards against a VM that starts during an evacuation and uses all servers.
    async def scenario(vms, store, group):
        evacuate(store, "z2")
        await until_known(vms, "z2")
        late = Vm("late", store, group, evacuation_s=EVACUATION_S)
        poll, fetch = late.node._feeds._poll, late.node._feeds._fetch_from

        async def poll_others(feed):
            if feed.kind != EVACUATIONS_KIND:
                await poll(feed)

        async def fetch_others(url, feed):
            if feed.kind != EVACUATIONS_KIND:
                await fetch(url, feed)

        late.node._feeds._poll = poll_others
        late.node._feeds._fetch_from = fetch_others
        await late.node.start()
        try:
            await eventually(lambda: primary(late), 15.0)
            assert late.node._server_list.is_known and late.node.rules is not None
            assert not late.node.is_ready
            late.node._feeds._poll, late.node._feeds._fetch_from = poll, fetch
            await eventually(lambda: late.node.is_ready, 15.0)
            await until_known([late], "z2")
        finally:
            await late.node.close()

    run(scenario)


def test_new_leader_reads_the_list_before_it_promotes():
    # Guards against a leader that promotes a server which its predecessor knew to be in
    # an evacuated domain.
    async def scenario(vms, store, group):
        leader = next(vm for vm in vms if vm.node._leadership.is_leader)
        decisions = leader.node._evacuations
        known_at, asked = decisions._known_at, []
        # As if it had become the leader and had not read the list since.
        leader.node._failover._leading_since = read_at = now()
        decisions._known_at = lambda: asked.append(1) or read_at - 0.1
        await group.servers[0].stop()
        await eventually(lambda: primary(leader) is None, 15.0)
        count = len(asked) + 5
        await eventually(lambda: len(asked) > count)
        assert not group.promotions
        evacuate(store, "z2")
        await until_known(vms, "z2")
        decisions._known_at = known_at
        await until_led_by(vms, group.servers[2])
        assert [promotion[1] for promotion in group.promotions] == ["orders-2"]

    run(scenario)


def test_vm_with_an_old_list_sends_nothing():
    # Guards against a VM that was paused and uses servers before it has heard whether
    # their domain was evacuated meanwhile.
    async def scenario(vms, store, group):
        caller = await Caller.connect(vms[0].port)
        known = [vm.node._evacuations._known_at for vm in vms]
        for vm in vms:
            vm.node._evacuations._known_at = lambda: now() - EVACUATION_S
        for text in ("READ x", "WRITE x 1"):
            lines, _ = await caller.execute(text)
            assert lines[0].startswith("ERROR ABORTED not run: the list of evac")
        assert not any(map(requests_of_callers, group.servers))
        write = asyncio.create_task(caller.execute("WRITE x 1"))
        for vm, known_at in zip(vms, known, strict=True):
            vm.node._evacuations._known_at = known_at
        assert (await write)[0][-1].startswith("DONE")

    run(scenario, statement_timeout_ms=300)


# Decisions without a network, in virtual time.


class Clock:
    def __init__(self, monkeypatch):
        self.time = 1000.0
        for module in (evacuations_module, feeds_module, follower_module):
            monkeypatch.setattr(module, "now", lambda: self.time)


@pytest.fixture
def clock(monkeypatch):
    return Clock(monkeypatch)


def in_domain(domain):
    return BackendServer("s1", "g", "h", 1, domain, Role.PRIMARY, False, 5, 1)


def make_evacuations(clock):
    """Return the decisions, and the time at which the list was known to be current."""
    known = {"at": clock.time, "lost": False}
    decisions = Evacuations(
        EVACUATION_S, Metrics(), lambda: known["at"], lambda: known["lost"]
    )
    return decisions, known


def test_list_that_is_too_old_stops_everything(clock):
    # Guards against a VM that was paused and sends statements before it has heard of an
    # evacuation, and against a fleet that stops in an outage of the store, or without
    # the setting.
    unused = Evacuations(None, Metrics(), lambda: -math.inf, lambda: False)
    unused.update(frozenset({"z1"}))
    assert unused.is_read and unused.reason_to_refuse(in_domain("z1")) is None
    decisions, known = make_evacuations(clock)
    known["at"] = -math.inf
    assert decisions.reason_to_refuse(in_domain("z1"))
    known["at"] = clock.time
    decisions.update(frozenset())
    assert decisions.reason_to_refuse(in_domain("z1")) is None
    clock.time += EVACUATION_S
    assert decisions.reason_to_refuse(in_domain("z1"))
    assert decisions.reason_to_abort(in_domain("z1"))
    known["lost"] = True
    assert decisions.reason_to_refuse(in_domain("z1")) is None
    assert decisions.reason_to_abort(in_domain("z1")) is None


def test_transactions_end_in_time_at_a_vm_that_learns_late(clock):
    # Guards against a full half of the time that begins only when a VM which was cut
    # off hears of the evacuation.
    decisions, known = make_evacuations(clock)
    decisions.update(frozenset())
    clock.time += 4.0
    decisions.update(frozenset({"z1"}))
    assert decisions.reason_to_abort(in_domain("z1")) is None
    clock.time += 0.6
    known["at"] = clock.time
    assert decisions.reason_to_abort(in_domain("z1"))
    assert decisions.reason_to_abort(in_domain("z2")) is None


def test_evacuation_survives_a_restore_of_the_store(clock):
    # Guards against servers that are used while the operator has not written the
    # evacuation again to a store that was restored from an earlier copy.
    decisions, _ = make_evacuations(clock)
    both = frozenset({"z1", "z2"})
    decisions.update(both, 1)
    decisions.update(frozenset(), 2)
    decisions.update(frozenset({"z1"}), 2)
    clock.time += evacuations_module.RESTORED_GRACE_S - 0.1
    decisions.end_missing()
    assert all(decisions.reason_to_refuse(in_domain(domain)) for domain in both)
    clock.time += 0.2
    decisions.end_missing()
    assert decisions.mark(in_domain("z1")).evacuated
    assert not decisions.mark(in_domain("z2")).evacuated
    decisions.update(frozenset(), 2)
    assert not decisions.mark(in_domain("z1")).evacuated


def test_store_counts_as_lost_only_after_failures_without_a_pause(clock):
    # Guards against a VM that takes its own pause for an outage of the store.
    contact = StoreContact()
    contact.note_failed(clock.time)
    clock.time += 20.0
    contact.note_failed(clock.time)
    assert not contact.is_lost
    clock.time += 1.5
    contact.note_failed(clock.time)
    assert contact.is_lost
    contact.note_heard()
    assert not contact.is_lost


def test_list_is_not_known_from_a_vm_that_does_not_read_it(clock):
    # Guards against a VM of the previous version whose answers count as news of the
    # evacuations, and against a copy that counts as current before it was fetched.
    async def scenario():
        store = MemoryStore()
        feeds = [
            Feed(kind, lambda listing: dict(listing.objects), lambda content: None)
            for kind in ("config", EVACUATIONS_KIND)
        ]
        follower = FeedFollower(feeds, store, lambda: False, lambda interval_s: 0.6)
        for feed in feeds:
            await feed.poll(store, 0.0)
        read_at, version = clock.time, feeds[0].version
        clock.time += 1.0
        follower.note_source("tcp://old", {"config": version}, clock.time)
        assert follower.known_at(EVACUATIONS_KIND) == read_at
        assert follower.current_at == read_at
        await follower._poll_unknown_to_source()
        assert store.calls.count(("list", EVACUATIONS_KIND)) == 2
        newer = {"config": version, EVACUATIONS_KIND: version + 1}
        follower.note_source("tcp://new", newer, clock.time + 1.0)
        assert follower.known_at(EVACUATIONS_KIND) == clock.time
        same = {"config": version, EVACUATIONS_KIND: version}
        follower.note_source("tcp://new", same, clock.time + 2.0)
        assert follower.known_at(EVACUATIONS_KIND) == clock.time + 2.0

    asyncio.run(scenario())


def test_failed_fetch_is_no_outage(clock):
    # Guards against a VM that knows of a newer list, cannot get it, and goes on with
    # the old one as if the store were away.
    class AwayStore:
        async def list_objects(self, *_):
            raise PlatformUnavailableError("away")

    async def scenario():
        feed = Feed(EVACUATIONS_KIND, decode_evacuations, lambda content: None)
        follower = FeedFollower(
            [feed], AwayStore(), lambda: False, lambda interval_s: 0.6
        )
        follower.note_source("tcp://new", {EVACUATIONS_KIND: 5}, clock.time)
        await follower.fetch()
        for _ in range(3):
            clock.time += 0.6
            await follower._poll(feed)
        assert follower._contact.is_lost and not follower.is_contact_lost

    asyncio.run(scenario())


def test_malformed_object_counts_by_its_name():
    objects = {"z1": VersionedObject({}, 1), "z2": VersionedObject({"a": [1]}, 2)}
    assert decode_evacuations(Listing(objects, 2)) == {"z1", "z2"}
