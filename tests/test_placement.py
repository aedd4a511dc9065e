"""Incremental choice of gateways, kept up to date with the live VMs."""

import asyncio
from time import process_time

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from citronwood.fleet import placement
from citronwood.fleet.gateways import GatewayHost
from citronwood.fleet.placement import GatewayChoice, choose_gateways
from citronwood.inner.messages import VmState

GROUPS = [f"g{number}" for number in range(6)]


def make_vm(number, domain, counter=1):
    name = f"vm{number}"
    return VmState(name, 1, counter, f"tcp://127.0.0.1:{number}", domain, "live", 0)


class FakeMembership:
    """Membership whose ``live`` is replaced when the set changes."""

    def __init__(self, vms=()):
        self.live = tuple(sorted(vms))


class ChoiceMachine(RuleBasedStateMachine):
    """Any sequence of changes gives the same gateways as the full computation.

    Guards against a gateway that has left, a joined VM that is ignored, and two
    gateways in one failure domain although there are others.
    """

    max_ranked_vms, max_pending_changes = 3, 4

    @initialize(size=st.integers(0, 25), domains=st.integers(1, 4))
    def start(self, size, domains):
        self.vms = {n: make_vm(n, f"d{n % domains}") for n in range(size)}
        self.fleet = FakeMembership(self.vms.values())
        self.choice = GatewayChoice(self.fleet)

    @rule(numbers=st.sets(st.integers(0, 30), min_size=1, max_size=6), data=st.data())
    def join(self, numbers, data):
        for number in numbers:
            # An already live VM may change its failure domain.
            domain = data.draw(st.sampled_from(["d0", "d0", "d0", "d1", "d2"]))
            self.vms[number] = make_vm(number, domain)
        self.fleet.live = tuple(sorted(self.vms.values()))

    @rule(data=st.data())
    def leave(self, data):
        if self.vms:
            names = st.sets(st.sampled_from(sorted(self.vms)), min_size=1, max_size=6)
            for number in data.draw(names):
                del self.vms[number]
        self.fleet.live = tuple(sorted(self.vms.values()))

    @rule(group=st.sampled_from(GROUPS))
    def remove_gateways_of_group(self, group):
        for vm in choose_gateways(group, self.fleet.live):
            del self.vms[int(vm.name[2:])]
        self.fleet.live = tuple(sorted(self.vms.values()))

    @rule()
    def restart(self):
        """Restart all VMs with a new incarnation."""
        for number, vm in self.vms.items():
            self.vms[number] = vm._replace(incarnation=vm.incarnation + 1)
        self.fleet.live = tuple(sorted(self.vms.values()))

    @rule(group=st.sampled_from(GROUPS))
    def check_group(self, group):
        expected = choose_gateways(group, self.fleet.live)
        assert self.choice.gateways(group) == expected

    @invariant()
    def first_group_is_correct_after_every_change(self):
        if hasattr(self, "choice"):
            self.check_group(GROUPS[0])


ChoiceMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None
)


@pytest.mark.usefixtures("small_limits")
class TestChoice(ChoiceMachine.TestCase):
    """Runs the machine with limits so low that a few VMs exceed them."""


@pytest.fixture
def small_limits(monkeypatch):
    monkeypatch.setattr(placement, "MAX_RANKED_VMS", ChoiceMachine.max_ranked_vms)
    monkeypatch.setattr(
        placement, "MAX_PENDING_CHANGES", ChoiceMachine.max_pending_changes
    )


def test_incremental_update_is_cheaper_than_the_full_choice():
    """Guards against a full choice for every group when one VM joins or leaves."""
    vms = [make_vm(number, f"d{number % 9}") for number in range(300)]
    fleet, groups = FakeMembership(vms), [f"g{number}" for number in range(100)]
    choice = GatewayChoice(fleet)

    def measure_cpu_s():
        started = process_time()
        for group in groups:
            choice.gateways(group)
        return process_time() - started

    full_s, change_times_s = measure_cpu_s(), []
    for number in range(10):
        fleet.live = tuple(sorted(vms[:number] + vms[number + 1 :]))
        change_times_s.append(measure_cpu_s())
        fleet.live = tuple(sorted(vms))
        change_times_s.append(measure_cpu_s())
    # A VM is among the eight ranked VMs of about one group in forty.
    assert sum(change_times_s) / len(change_times_s) < full_s / 10


def test_first_choice_yields_to_the_event_loop():
    """Guards against an event loop that is blocked while all VMs are ranked."""
    fleet = FakeMembership([make_vm(number, f"d{number % 9}") for number in range(300)])
    fleet.own = make_vm(7, "d7")
    groups = {f"g{number}": None for number in range(100)}
    host = GatewayHost(fleet, None, None, None, None)

    async def scenario():
        yields = 0
        task = asyncio.create_task(host._choose_groups(groups))
        while not task.done():
            await asyncio.sleep(0)
            yields += 1
        return yields

    assert asyncio.run(scenario()) >= 4
    expected = [g for g in groups if fleet.own in choose_gateways(g, fleet.live)]
    assert host._own_groups == expected
