"""Changes of primary by a leader that took over from a copy of the store."""

import asyncio
from dataclasses import dataclass

import pytest

from citronwood.metrics import Metrics
from citronwood.relay import (
    failover,
    fencing,
    holder_records,
    leadership,
    registry,
    succession,
    view,
)
from citronwood.relay.holders import Holder
from citronwood.relay.messages import GroupFenced
from citronwood.relay.model import BackendServer, Position, Role
from citronwood.relay.probes import Probe
from citronwood.relay.registry import Peer
from citronwood.relay.state_records import encode_group
from citronwood.relay.statement import ServerStatus
from citronwood.relay.view import LEASE_MARGIN_S, LEASE_S, GroupState, PrimaryView
from citronwood.tasks import cancel_tasks
from tests.relay_standins import MemoryStore
from tests.virtual_time import run_virtually

MODULES = (failover, fencing, holder_records, leadership, registry, succession, view)
NEVER = 1e9


@dataclass
class Member:
    """Backend server; ``term`` is the newest one that it knows."""

    name: str
    term: int = 1
    leads: bool = False
    position: tuple[int, int] = (1, 5)
    away_until: float = 0.0

    @property
    def entry(self):
        role = Role.PRIMARY if self.leads else Role.REPLICA
        return BackendServer(self.name, "g", "h", 1, "z", role, False, 5, 1)


async def return_none(_):
    return None


class RestoredGroup:
    """Group before a store that is restored; stands in for servers, probes and calls.

    ``fenced`` has the answers of other VMs to the order to block the group.
    """

    def __init__(self, loop, members, sync_replicas, fenced):
        self.members = {member.name: member for member in members}
        self.store = MemoryStore()
        self.view = PrimaryView()
        self.promoted = []
        self.is_draining = self.is_evacuated = lambda server: False
        self.answered_within = lambda server, seconds: False
        self.get = self.members.get
        self._loop = loop
        self._sync_replicas = lambda group: sync_replicas
        self._fenced = fenced
        self.tasks = []

    @property
    def state(self):
        return self.view.state.groups.get("g")

    async def lead(self, recorded, is_new_leader):
        """Let a VM lead in a store that is restored from a copy with this record."""
        leader = first = self._new_leadership("b", self.view)
        if is_new_leader:
            first = self._new_leadership("a", PrimaryView())
        await first._step()
        if recorded is not None:
            await first.change_groups(lambda _: {"g": recorded})
        self.store.restore(self.store.copy())
        for name in self._fenced:
            self.store.put_directly(registry.VM_KIND, name, {"url": name, "process": 1})
        self.tasks.append(asyncio.create_task(leader.run()))
        takeover_s = leadership.RESTORED_TAKEOVER_TIMEOUT_S + 2.0
        await asyncio.sleep(takeover_s if is_new_leader else 1.5)
        assert leader.is_leader
        return self._new_failover(leader)

    async def status(self, server, deadline):
        await asyncio.sleep(0.01)
        member = self.members.get(server)
        if member is None or self._loop.time() < member.away_until:
            return None
        position = Position(*member.position)
        status = ServerStatus(member.leads, member.term, position, 0.0, 0, 0)
        return Probe(self._loop.time(), status)

    async def step_down(self, server, term, deadline):
        member = self.members.get(server, Member(server))
        member.leads = member.leads and term <= member.term
        return await self.status(server, deadline)

    async def promote(self, group, server, holder, fence, deadline):
        self.promoted.append(server)
        term = max(member.term for member in self.members.values()) + 1
        self.members[server].leads, self.members[server].term = True, term
        return True

    def of_group(self, group):
        return [member.entry for member in self.members.values()]

    def others_of_group(self, group, server):
        return [entry for entry in self.of_group(group) if entry.id != server]

    async def call(self, url, message, answer_type, deadline):
        return self._fenced[url]

    def _new_leadership(self, name, known):
        known.note_registered(0.0)
        return leadership.Leadership(self.store, known, name, 1, name, lambda *_: None)

    def _new_failover(self, leader):
        peer = Peer("b", "b", "z")
        vms = registry.VmRegistry(
            self.store, self.view, leader, peer, print, return_none
        )
        fence = fencing.Fencing(
            "b", self, vms.list_vms, return_none, return_none, lambda _: Position(1, 5)
        )
        sync = self._sync_replicas
        parts = ("b", leader, self.view, self, self)
        successors = succession.Succession(*parts, self.promote, sync, Metrics())
        groups = frozenset("g")
        return failover.Failover(
            *parts, self, vms, fence, successors, lambda: groups, sync
        )


def recorded(primary="p1", term=1, **fields):
    return GroupState(primary, term, False, 1, **fields)


def recorded_with_holders(*names):
    holders = {name: Holder(1, Position(1, 5)) for name in names}
    return recorded(holders=holders, began_at=Position(1, 0))


COPY = recorded()
SYNCHRONOUS = {"copy": recorded_with_holders("p1", "p2", "r"), "sync_replicas": 1}
NEWEST = GroupFenced(7, encode_group(recorded("p2", 2)))
REMEMBERED = {"fenced": {"vm9": NEWEST, "vm8": GroupFenced(7)}}
EXCLUSION_S = succession.OLD_PRIMARY_EXCLUSION_S
# Time until all leases end; the change is written up to 2 s before the check.
MAX_WAIT_S = LEASE_S + LEASE_MARGIN_S
MIN_WAIT_S = MAX_WAIT_S - 2.0


def supervise(members, copy=COPY, sync_replicas=0, fenced=None, delay_s=0.0):
    """Let the new leader check the group; return the group and the time it took."""

    async def scenario(loop):
        group = RestoredGroup(loop, members, sync_replicas, fenced or {})
        checks = await group.lead(copy, is_new_leader=True)
        assert copy is None or group.state.uncertain
        await asyncio.sleep(delay_s)
        started_at = loop.time()
        await checks._supervise_group("g")
        took_s = loop.time() - started_at
        # A former primary steps down in the background.
        await asyncio.sleep(succession.STEP_DOWN_TIMEOUT_S + 1.0)
        await cancel_tasks(group.tasks)
        return group, took_s

    return run_virtually(scenario, *MODULES)


def p1():
    """Return the primary that the copy names."""
    return Member("p1", leads=True)


def p2(away_until=0.0):
    """Return the primary that was promoted after the copy was made."""
    return Member("p2", 2, True, (2, 7), away_until)


@pytest.mark.parametrize(
    ("p2", "r", "options", "expected", "least_s"),
    [
        # Guards against the promotion of a server beside the primary that leads
        # already, and one whose promotion is still on its way.
        (Member("p2"), Member("r"), {}, ("p1", 1), failover.LATE_PROMOTION_S),
        (p2(), Member("r"), {}, ("p2", 2), failover.LATE_PROMOTION_S),
        # Guards against a former primary that leads on because it answers first. The
        # leases end within 9.5 s, and silent servers are waited for 3 s longer.
        (p2(10.7), Member("r", 2), {}, ("p2", 2), MIN_WAIT_S),
        (p2(10.7), Member("r", 2), {"sync_replicas": 1}, ("p2", 2), MIN_WAIT_S),
        # Guards against a group without a primary, and the former one of term 1.
        (p2(NEVER), Member("r", 2, False, (2, 6)), {}, ("r", 3), EXCLUSION_S),
        # Guards against the loss of commits that were acknowledged in the lost term.
        (p2(30.0), Member("r", 2), SYNCHRONOUS, ("p2", 2), 20.0),
        # Guards against a former primary that no server contradicts, only another VM,
        # and against a primary that is replaced while a VM in no list uses it.
        (p2(), Member("r"), REMEMBERED, ("p2", 2), failover.LATE_PROMOTION_S),
        (p2(NEVER), Member("r", 1, False, (1, 6)), REMEMBERED, ("r", 3), MIN_WAIT_S),
        (None, Member("r", 1, False, (1, 6)), REMEMBERED, ("r", 2), MIN_WAIT_S),
    ],
)
def test_primary_of_the_newest_term_is_used_after_a_restore(
    p2, r, options, expected, least_s
):
    former = p1()
    members = [former, p2, r] if p2 else [former, r]
    group, took_s = supervise(members, **options)
    assert group.promoted == ["r"] * (expected[0] == "r")
    assert (group.state.primary, group.state.term) == expected
    assert not group.state.changing and not group.state.uncertain
    assert former.leads == (expected[0] == "p1")
    assert least_s <= took_s
    assert took_s <= MAX_WAIT_S or p2.away_until


@pytest.mark.parametrize("delay_s", [0.0, LEASE_S + 2.0])
def test_group_that_the_store_lost_has_no_primary_before_a_check(delay_s):
    # Guards against a primary that is recorded while VMs use the one of lost seconds,
    # and against a former primary that is listed first and claims to lead.
    group, _ = supervise([p1(), p2(), Member("r")], None, delay_s=delay_s)
    adopted = group.state and (group.state.primary, group.state.term)
    assert adopted == (("p2", 2) if delay_s else ("", 0))
    assert group.state.changing == group.state.uncertain == (not delay_s)


def test_newest_commit_is_unknown_while_vms_may_be_missing_in_the_list():
    # Guards against the loss of a commit that a VM in no list has acknowledged.
    former, ahead = p1(), Member("ahead")

    async def scenario(loop):
        group = RestoredGroup(loop, [former, Member("r"), ahead], 1, {})
        copy = recorded_with_holders("p1", "r", "ahead")
        checks = await group.lead(copy, is_new_leader=False)
        group.tasks.append(asyncio.create_task(checks.run()))
        await asyncio.sleep(1.0)
        # Another VM acknowledges a commit, which only these two servers have.
        former.position = ahead.position = (1, 6)
        former.away_until, ahead.away_until = NEVER, loop.time() + 20.0
        await asyncio.sleep(30.0)
        await cancel_tasks([*group.tasks, *checks._tasks.values()])
        assert group.promoted == ["ahead"]

    run_virtually(scenario, *MODULES)
