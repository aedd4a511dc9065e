"""Rate limits of accounts while the leader does not answer, in virtual time."""

import asyncio
import random

import pytest

from citronwood.errors import DeadlineExceededError
from citronwood.relay import grantors as grantors_module
from citronwood.relay import limiter as limiter_module
from citronwood.relay import reports as reports_module
from citronwood.relay.grantors import (
    DEPUTY_RETRY_INTERVAL_S,
    MAX_DEPUTIES,
    SHARE_LEASE_S,
    GrantorChoice,
    choose_deputies,
)
from citronwood.relay.limiter import AccountBuckets, AccountLimiter, Grants
from citronwood.relay.messages import LeaderAnswer, ReportToLeader, StoreReads
from citronwood.relay.model import Account, Rules
from citronwood.relay.registry import Peer
from citronwood.relay.reports import REPORT_INTERVAL_S, Reports
from citronwood.relay.view import FleetState

VMS = 18
RATE, BURST = 40.0, 40.0
WINDOW_S = 5.0
# The platform's limit for the operations of an account in a window.
MAX_IN_WINDOW = (RATE * WINDOW_S + BURST) * 1.1 + 20
STEP_S = 0.01
READS = StoreReads(1, 1, 0, {}, 0)
LEADER = 0


class View:
    def __init__(self, state):
        self.state = state


class Leadership:
    def note_leader_ended(self, leader, process):
        pass


class Vm:
    """VM with the parts that enforce limits.

    It is its own ``Rpc``, so that the test can make its calls fail.
    """

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.url = f"tcp://vm{number}:1"
        self.calls = []
        rules = Rules(1, {}, fleet.accounts, {}, {}, {}, 3.0)
        self.buckets = AccountBuckets(lambda: rules)
        self.buckets.set_vm_count(VMS)
        self.view = View(fleet.state)
        self.reports = Reports(
            f"vm{number}",
            1,
            self.url,
            self.view,
            Leadership(),
            self.buckets,
            self,
        )
        self.reports.start(self)
        self.limiter = AccountLimiter(self.reports.request_grants, lambda: VMS)

    vm_count = VMS

    def apply_leader_answer(self, asked_at, answer):
        return

    def store_reads(self):
        return READS

    def apply_store_reads(self, url, asked_at, reads):
        return

    def are_reads_stale(self):
        return False

    def on_call(self, message_type, handler):
        self.on_ask_deputy = handler

    async def call(self, url, message, answer_type, deadline):
        self.calls.append((url, message))
        target = next(vm for vm in self.fleet.vms if vm.url == url)
        if not self.fleet.is_connected(self, target):
            raise DeadlineExceededError("no answer")
        caller = Peer(f"vm{self.number}", self.url, "z")
        if isinstance(message, ReportToLeader):
            return target.answer_report(caller.name, message)
        return await target.on_ask_deputy(message, caller)

    def answer_report(self, vm, report):
        leads = self.view.state.leader == f"vm{self.number}"
        grants = Grants({}, {})
        if leads and report.lends:
            grants = self.buckets.grant(vm, report.wanted, report.unused)
        else:
            self.buckets.remove_lender(vm)
        vms = [Peer(f"vm{peer.number}", peer.url, "z") for peer in self.fleet.vms]
        deputies = choose_deputies(vms, self.buckets.lenders)
        return LeaderAnswer(
            leads, leads, READS, VMS, grants.granted, grants.retry_ms, {},
            deputies if self.fleet.names_deputies else [],
        )  # fmt: skip


class Fleet:
    """VMs whose leader is vm0, in virtual time, during an outage of the store."""

    def __init__(self, monkeypatch):
        self.time = 100.0
        for module in (limiter_module, grantors_module, reports_module):
            monkeypatch.setattr(module, "now", lambda: self.time)
        monkeypatch.setattr(limiter_module, "monotonic", lambda: self.time)

        async def has_ended(url):
            return url in self.ended

        monkeypatch.setattr(reports_module, "has_ended", has_ended)
        self.accounts = {f"a{number}": Account(f"a{number}", RATE, BURST) for number
                         in range(6)}  # fmt: skip
        self.state = FleetState(1, "vm0", "tcp://vm0:1", 1, 1, "", "", {}, {})
        self.names_deputies = True
        self.unreachable = set()
        self.ended = set()
        self.failed_links = set()
        self.vms = [Vm(self, number) for number in range(VMS)]
        self.admitted = []
        self.refused = []

    def is_connected(self, source, destination):
        return not (
            {source.number, destination.number} & self.unreachable
            or (source.number, destination.number) in self.failed_links
        )

    def name_leader(self, number):
        for vm in self.vms:
            if vm.number not in self.unreachable:
                state = vm.view.state
                vm.view.state = state._replace(
                    leader=f"vm{number}", leader_url=f"tcp://vm{number}:1"
                )

    async def run(self, seconds, arrivals, each_step=lambda: None):
        """Send operations; ``arrivals`` has (account, operations/s, VMs' numbers)."""
        end = self.time + seconds
        report_at = {vm: self.time + random.random() / 2 for vm in self.vms}
        while self.time < end:
            each_step()
            for vm in self.vms:
                if self.time >= report_at[vm] and vm.number not in self.unreachable:
                    report_at[vm] += REPORT_INTERVAL_S
                    await vm.reports.report(vm.limiter.pop_unused())
            for name, rate, numbers in arrivals:
                for _ in range(int(rate * STEP_S + random.random())):
                    number = random.choice(numbers)
                    if number not in self.unreachable:
                        await self.send_operation(self.vms[number], name)
            # Let the background checks of ended processes run.
            await asyncio.sleep(0)
            self.time += STEP_S

    async def send_operation(self, vm, name):
        retry_s = await vm.limiter.acquire(self.accounts[name], self.time + 1)
        record = self.admitted if retry_s is None else self.refused
        record.append((self.time, name))

    def max_in_window(self, name):
        times = [time for time, account in self.admitted if account == name]
        return max(
            sum(1 for other in times if time <= other < time + WINDOW_S)
            for time in times[::5]
        )

    def admitted_share(self, since):
        admitted_count = sum(1 for time, _ in self.admitted if time >= since)
        refused_count = sum(1 for time, _ in self.refused if time >= since)
        return admitted_count / (admitted_count + refused_count)


@pytest.fixture
def fleet(monkeypatch):
    random.seed(3)
    return Fleet(monkeypatch)


# Each account stays below its rate and uses three of the eighteen VMs.
NORMAL_LOAD = [
    (f"a{number}", 25, [number + 1, number + 7, number + 12]) for number in range(6)
]
OVERLOAD = [("a0", 400, list(range(VMS)))]


def test_accounts_below_their_rate_are_served_without_a_leader(fleet):
    # Guards against VMs that use only their equal shares when the leader fails during
    # an outage of the store. In a simulated day, they refused 5,816 operations in 22 s.
    async def scenario():
        await fleet.run(5, NORMAL_LOAD)
        fleet.unreachable = {LEADER}
        await fleet.run(10, NORMAL_LOAD)

    asyncio.run(scenario())
    assert fleet.admitted_share(105 + 2 * REPORT_INTERVAL_S) > 0.99
    for number in range(6):
        assert fleet.max_in_window(f"a{number}") <= MAX_IN_WINDOW


def test_end_of_the_leader_frees_the_shares_at_once(fleet):
    async def scenario():
        await fleet.run(5, NORMAL_LOAD)
        fleet.unreachable, fleet.ended = {LEADER}, {"tcp://vm0:1"}
        await fleet.run(5, NORMAL_LOAD)

    asyncio.run(scenario())
    assert fleet.admitted_share(105 + REPORT_INTERVAL_S) > 0.99


def test_next_deputy_is_asked_when_the_first_is_lost_too(fleet):
    async def scenario():
        await fleet.run(5, NORMAL_LOAD)
        first = fleet.vms[5].reports._grantors._deputies[0]
        fleet.unreachable = {LEADER, int(first.split(":")[1][4:])}
        await fleet.run(12, NORMAL_LOAD)

    asyncio.run(scenario())
    assert fleet.admitted_share(105 + 2 * (SHARE_LEASE_S + REPORT_INTERVAL_S)) > 0.99


@pytest.mark.parametrize("seed", range(6))
def test_flood_stays_within_the_limit_while_connections_fail(fleet, seed):
    # Guards against two VMs that grant from the same shares at the same time.
    random.seed(seed)

    def inject_faults():
        if random.random() < STEP_S:
            numbers = range(VMS)
            fleet.failed_links = {
                (a, b) for a in numbers for b in numbers if random.random() < 0.5
            }
        if random.random() < STEP_S / 2:
            fleet.unreachable = {LEADER} if not fleet.unreachable else set()

    asyncio.run(fleet.run(40, OVERLOAD, inject_faults))
    assert fleet.max_in_window("a0") <= MAX_IN_WINDOW


def test_flood_stays_within_the_limit_while_leaders_change(fleet):
    async def scenario():
        await fleet.run(5, OVERLOAD)
        for leader in (3, 4, 3):
            fleet.unreachable, fleet.ended = {LEADER}, {"tcp://vm0:1"}
            await fleet.run(1, OVERLOAD)
            fleet.name_leader(leader)
            await fleet.run(1, OVERLOAD)
            fleet.unreachable, fleet.ended = set(), set()

    asyncio.run(scenario())
    assert fleet.max_in_window("a0") <= MAX_IN_WINDOW


def test_shares_go_back_to_a_leader_that_answers_again(fleet):
    async def scenario():
        await fleet.run(3, NORMAL_LOAD)
        fleet.unreachable = {LEADER}
        await fleet.run(6, NORMAL_LOAD)
        fleet.unreachable = set()
        await fleet.run(3, NORMAL_LOAD)

    asyncio.run(scenario())
    leader = fleet.vms[LEADER]
    assert {vm.reports._grantors.lent_to for vm in fleet.vms} == {leader.url}
    assert len(leader.buckets.lenders) == VMS
    assert fleet.admitted_share(109 + REPORT_INTERVAL_S) > 0.99


def test_requests_do_not_wait_for_a_leader_that_gave_no_answer(fleet):
    # Guards against requests that wait for calls to a failed leader and for the check
    # whether its process has ended: in a simulated day, up to 0.55 s of their 1.2 s.
    async def scenario():
        await fleet.run(3, NORMAL_LOAD)
        fleet.unreachable = {LEADER}
        for vm in fleet.vms:
            vm.calls.clear()
        await fleet.run(4, NORMAL_LOAD)

    asyncio.run(scenario())
    for vm in fleet.vms[1:]:
        leader_requests = [
            message
            for url, message in vm.calls
            if url == fleet.vms[LEADER].url and message.wanted
        ]
        assert len(leader_requests) <= 1


def test_deputies_are_vms_that_reported():
    vms = [Peer(f"vm{number}", f"tcp://vm{number}:1", "z") for number in range(9)]
    reporting = frozenset(f"vm{number}" for number in range(1, 9))
    chosen = choose_deputies(vms, reporting)
    assert len(chosen) == MAX_DEPUTIES
    without_first = reporting - {chosen[0].removeprefix("tcp://").removesuffix(":1")}
    assert choose_deputies(vms, without_first)[:2] == chosen[1:]
    assert choose_deputies(vms, frozenset()) == []


def test_shares_are_lent_to_one_vm_at_a_time(monkeypatch):
    time = [100.0]
    monkeypatch.setattr(grantors_module, "now", lambda: time[0])
    choice = GrantorChoice()
    choice.set_deputies(["d1", "d2"])
    assert choice.choose("leader") == "leader"
    choice.lend("leader")
    choice.note_answer("leader")
    # The first missing answer in EARLY_RECLAIM_INTERVAL_S frees the shares at once.
    choice.note_leader_timeout("leader")
    assert choice.choose("leader") == "d1"
    choice.lend("d1")
    choice.note_answer("d1")
    choice.note_deputy_timeout("d1")
    assert choice.choose("leader") == ""
    time[0] += SHARE_LEASE_S + 0.01
    assert choice.choose("leader") == "d2"
    # A deputy that never answered does not hold the shares.
    choice.lend("d2")
    choice.note_deputy_timeout("d2")
    assert choice.choose("leader") == ""
    time[0] += DEPUTY_RETRY_INTERVAL_S
    assert choice.choose("leader") == "d1"
    choice.lend("d1")
    choice.note_answer("d1")
    choice.note_answer("leader")
    assert choice.choose("leader") == "d1"
    assert not choice.may_lend_to("leader")
    choice.reclaim("d1")
    assert choice.choose("leader") == "leader"


def test_former_leader_is_asked_as_a_deputy(monkeypatch):
    # Guards against a deputy that is never asked because it did not answer as leader.
    monkeypatch.setattr(grantors_module, "now", lambda: 100.0)
    choice = GrantorChoice()
    choice.note_leader_timeout("former")
    assert choice.choose("former") == ""
    choice.set_deputies(["former", "d2"])
    assert choice.choose("") == "former"


def test_vms_with_more_processor_time_become_deputies():
    # Guards against a deputy, and with it the next leader, on the weakest VM.
    vms = [
        Peer(f"vm{number}", f"tcp://vm{number}:1", "z", 2.0 if number > 5 else 0.5)
        for number in range(9)
    ]
    deputies = choose_deputies(vms, frozenset(vm.name for vm in vms))
    assert set(deputies) == {"tcp://vm6:1", "tcp://vm7:1", "tcp://vm8:1"}
