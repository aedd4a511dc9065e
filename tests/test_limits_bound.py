"""No account exceeds burst + rate * W in any window of length W, despite faults."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from citronwood.limits import weights
from citronwood.limits.bucket import ShareBucket
from citronwood.limits.ledger import DELEGATION_S, WANTED_GRANT_TTL_S
from citronwood.limits.shares import RENEW_AFTER_S
from tests.limits_world import ACCOUNT, Simulation, total_weight

SMALL_INTEGERS = st.integers(0, 5)
MAX_SHARES = weights.MAX_SHARES


class LimiterMachine(RuleBasedStateMachine):
    @initialize(
        burst=st.integers(1, 40),
        rate=st.sampled_from([1.0, 20.0, 100.0]),
        slots=st.integers(1, 5),
        shares=st.sampled_from([2, 3, 18]),
        clock_offsets=st.lists(st.floats(-500, 500), min_size=3, max_size=3),
    )
    def start(self, burst, rate, slots, shares, clock_offsets):
        weights.MAX_SHARES = shares
        self.sim = Simulation(burst, rate, slots, 5, clock_offsets)

    @rule(seconds=st.floats(0.0, 0.4))
    def advance(self, seconds):
        self.sim.advance(seconds)

    @rule(vm=st.integers(0, 4), ledger=st.integers(0, 1), wanted=st.integers(0, 50))
    def exchange(self, vm, ledger, wanted):
        self.sim.ask(vm, ledger, wanted)
        self.sim.deliver(-1)
        self.sim.deliver(-1)

    @rule(
        vm=st.integers(0, 4),
        ledger=st.integers(0, 1),
        wanted=st.integers(0, 50),
        ahead=SMALL_INTEGERS,
    )
    def ask(self, vm, ledger, wanted, ahead):
        self.sim.ask(vm, ledger, wanted, ahead)

    @rule(wanted=st.sampled_from([0, 1, 50]), lost=st.sets(SMALL_INTEGERS))
    def exchange_with_both_ledgers(self, wanted, lost):
        for vm in range(len(self.sim.vms)):
            self.sim.ask_both_ledgers(vm, wanted)
            for _ in range(4):
                if vm not in lost:
                    self.sim.deliver(-1)

    @rule(assigned_ledgers=st.sampled_from([[0, 1], [1, 0], [0, 0], [1, 1]]))
    def reassign_ledgers(self, assigned_ledgers):
        self.sim.assigned_ledgers = assigned_ledgers

    @rule(unreachable=st.sets(st.integers(0, 1)))
    def stop_ledgers(self, unreachable):
        self.sim.unreachable = unreachable

    @rule(index=SMALL_INTEGERS, duplicate=st.booleans())
    def deliver(self, index, duplicate):
        self.sim.deliver(index, duplicate)

    @rule(index=SMALL_INTEGERS)
    def lose(self, index):
        self.sim.lose(index)

    @rule(vm=st.integers(0, 4), count=st.integers(1, 50))
    def take(self, vm, count):
        self.sim.take(vm, count)

    @rule(vm=st.integers(0, 4))
    def restart_vm(self, vm):
        self.sim.restart_vm(vm)

    @rule(vm=st.integers(0, 4), other=st.integers(0, 4))
    def move_slot(self, vm, other):
        self.sim.move_slot(vm, other)

    @rule(wanted=st.integers(1, 6))
    def change_slot_count(self, wanted):
        self.sim.change_slot_count(wanted)

    @rule(vms=st.lists(st.integers(0, 4)), seconds=st.sampled_from([0.0, 1.0]))
    def check_slots(self, vms, seconds):
        for _ in range(2):
            for vm in vms:
                self.sim.check(vm)
            self.sim.advance(seconds)

    @rule(ledger=st.integers(0, 1))
    def restart_ledger(self, ledger):
        self.sim.restart_ledger(ledger)

    def teardown(self):
        weights.MAX_SHARES = MAX_SHARES


LimiterMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)
TestLimiterMachine = LimiterMachine.TestCase


def _renew_with_fresh_timestamps(sim, rng, ledger):
    """Renew with timestamps 2 ms old, so that delegations last as long as possible."""
    for pause in (RENEW_AFTER_S + 0.05, RENEW_AFTER_S - 0.001, 0.002):
        sim.advance(pause)
        _renew(sim, rng, ledger, 0.0)


def _renew(sim, rng, ledger, loss):
    """Renew the delegations of all VMs; a part of the messages gets no answer."""
    for vm in range(len(sim.vms)):
        sim.ask(vm, ledger, 0)
        if rng.random() >= loss:
            sim.deliver(-1, rng.random() < 0.2)
            sim.deliver(-1)


def _fill_buckets(sim, rng, ledger):
    """Delegate to one ledger until all buckets are full."""
    step = DELEGATION_S / 4
    for _ in range(int(sim.burst / sim.rate / step) + 8):
        _renew(sim, rng, ledger, 0.0)
        sim.advance(step)


def _drain(sim, rng):
    """Take every available token."""
    for ledger in (0, 1):
        sim.ask(rng.randrange(len(sim.vms)), ledger, 10_000)
    for _ in range(30):
        sim.deliver(-1, rng.random() < 0.1)
    for vm in range(len(sim.vms)):
        sim.take(vm, 10_000)


def _delay_requests(sim, rng):
    """Deliver a round of messages after most of a delegation's duration."""
    _renew(sim, rng, rng.randrange(2), 1.0)
    sim.advance(DELEGATION_S * rng.choice([0.4, 0.8, 0.95]))
    for _ in range(3 * len(sim.vms)):
        sim.deliver(rng.randrange(1000), rng.random() < 0.3)


def _hold_grants(sim, rng):
    """Use grants made shortly before the delegations end, at the end of their TTL."""
    ledger = rng.randrange(2)
    _fill_buckets(sim, rng, ledger)
    _renew_with_fresh_timestamps(sim, rng, ledger)
    sim.advance(DELEGATION_S * 0.9)
    sim.ask(rng.randrange(len(sim.vms)), ledger, 10_000)
    sim.deliver(-1)
    sim.deliver(-1)
    sim.advance(WANTED_GRANT_TTL_S * 0.9)
    _drain(sim, rng)


def _replay_messages(sim, rng):
    """Hand over full shares after the delegations end, and repeat the messages."""
    ledger = rng.randrange(2)
    sim.advance(DELEGATION_S + sim.burst / sim.rate)
    sim.in_flight.clear()
    for vm in range(len(sim.vms)):
        sim.ask(vm, ledger, 0)
        sim.deliver(-1)
        sim.deliver(-1)
        sim.ask(vm, ledger, 0)
        sim.deliver(-1, True)
        sim.deliver(-1)
    _drain(sim, rng)
    for _ in range(10):
        sim.deliver(rng.randrange(1000), True)


def _inject_fault(sim, rng):
    vm, other = rng.randrange(len(sim.vms)), rng.randrange(len(sim.vms))
    kind = rng.randrange(4)
    if kind == 0:
        sim.restart_vm(vm)
    elif kind == 1:
        sim.move_slot(vm, other)
    elif kind == 2:
        sim.restart_ledger(rng.randrange(2))
    else:
        for _ in range(len(sim.in_flight)):
            if rng.random() < 0.5:
                sim.lose(rng.randrange(1000))


def run_faults(seed, steps=150):
    """Mix phases of traffic and faults that bring the admissions close to the bound."""
    rng = random.Random(seed)
    burst, rate = rng.choice([(5, 2.0), (40, 20.0), (100, 300.0), (60, 10.0)])
    slots = rng.choice([1, 2, 4, 12])
    clock_offsets = [rng.uniform(-500, 500) for _ in range(4)]
    sim = Simulation(burst, rate, slots, slots + 2, clock_offsets)
    for _ in range(steps):
        action = rng.random()
        if action < 0.12:
            _fill_buckets(sim, rng, rng.randrange(2))
        elif action < 0.45:
            _drain(sim, rng)
        elif action < 0.55:
            _renew(sim, rng, rng.randrange(2), rng.choice([0.0, 0.5]))
        elif action < 0.65:
            _delay_requests(sim, rng)
        elif action < 0.72:
            _inject_fault(sim, rng)
        elif action < 0.78:
            _hold_grants(sim, rng)
        elif action < 0.82:
            _replay_messages(sim, rng)
            _drain(sim, rng)
        elif action < 0.84:
            for vm in range(len(sim.vms)):
                sim.restart_vm(vm)
        else:
            part = rng.choice([0.005, 0.1, 0.25, 0.4, 0.6, 1.0, 1.04])
            sim.advance(DELEGATION_S * part)
    return sim


def run_random_traffic(seed, steps=1500):
    """Mix random traffic and faults; random VMs take all tokens they have."""
    rng = random.Random(seed)
    burst, rate = rng.choice([(5, 20.0), (30, 20.0), (100, 300.0)])
    slots = rng.choice([2, 4, 18])
    clock_offsets = [rng.uniform(-500, 500) for _ in range(4)]
    sim = Simulation(burst, rate, slots, slots + 2, clock_offsets)
    vms = slots + 2
    for step in range(steps):
        action = rng.random()
        vm, ledger = rng.randrange(vms), int(rng.random() < 0.1)
        if step % 4 == 0:
            for other_vm in range(vms):
                sim.ask(other_vm, ledger, 0)
                if rng.random() < 0.9:
                    sim.deliver(-1)
                    sim.deliver(-1)
        if action < 0.35:
            sim.ask(vm, ledger, rng.choice([0, 1, 100]), rng.choice([0, 9]))
            if rng.random() < 0.8:
                sim.deliver(-1, rng.random() < 0.05)
                sim.deliver(-1, rng.random() < 0.05)
        elif action < 0.6:
            sim.take(rng.randrange(vms), 100)
        elif action < 0.93:
            sim.advance(DELEGATION_S * rng.choice([0.0, 0.005, 0.02, 0.15]))
        elif action < 0.96:
            sim.deliver(rng.randrange(10_000), rng.random() < 0.3)
        elif action < 0.985:
            sim.lose(rng.randrange(10_000))
        elif action < 0.99:
            sim.restart_vm(vm)
        elif action < 0.995:
            sim.move_slot(vm, rng.randrange(vms))
        elif action < 0.997:
            sim.restart_ledger(ledger)
        else:
            sim.advance(rng.uniform(0, 3))
    return sim


def _renew_at_both_ledgers(sim, rng, loss):
    """Renew the delegations of all VMs; a part of the messages is lost."""
    for vm in range(len(sim.vms)):
        sim.ask_both_ledgers(vm, 0)
        for _ in range(4):
            if rng.random() >= loss:
                sim.deliver(-1, rng.random() < 0.1)
            else:
                sim.lose(-1)


def _fill_both_ledgers(sim, rng):
    """Delegate to both ledgers until all buckets are full."""
    for _ in range(int(4 * sim.burst / sim.rate / DELEGATION_S) + 8):
        _renew_at_both_ledgers(sim, rng, 0.0)
        sim.advance(DELEGATION_S / 4)


def _drain_both_ledgers(sim, rng):
    """Take every available token, from both ledgers and at all VMs."""
    for _ in range(3):
        sim.ask_both_ledgers(rng.randrange(len(sim.vms)), 10_000)
        for _ in range(4):
            sim.deliver(-1, rng.random() < 0.1)
    for vm in range(len(sim.vms)):
        sim.take(vm, 10_000)


def _swap_ledgers(sim, rng):
    """Swap the ledgers while the shares are still delegated to the old ones."""
    _fill_both_ledgers(sim, rng)
    # Timestamps 2 ms old make the delegations last as long as possible.
    for pause in (RENEW_AFTER_S + 0.05, RENEW_AFTER_S - 0.001, 0.002):
        sim.advance(pause)
        _renew_at_both_ledgers(sim, rng, 0.0)
    sim.assigned_ledgers.reverse()
    for _ in range(2):
        _renew_at_both_ledgers(sim, rng, 0.0)
    sim.advance(DELEGATION_S * 0.6)
    _drain_both_ledgers(sim, rng)


def _fail_over_ledger(sim, rng):
    """Lose a ledger; the other one gets all shares until it is back."""
    dead = rng.randrange(2)
    sim.unreachable = {dead}
    if rng.random() < 0.7:
        # Otherwise the ledger was only unreachable, and keeps its shares and grants.
        sim.restart_ledger(dead)
    _renew_at_both_ledgers(sim, rng, 0.0)
    sim.assigned_ledgers = [1 - dead, 1 - dead]
    for _ in range(rng.randrange(8)):
        _renew_at_both_ledgers(sim, rng, 0.0)
        if rng.random() < 0.5:
            _drain_both_ledgers(sim, rng)
        sim.advance(DELEGATION_S * rng.choice([0.02, 0.25, 0.3]))
    sim.unreachable = set()
    sim.assigned_ledgers = rng.choice([[0, 1], [1, 0]])


def run_two_ledgers(seed, steps=120):
    """Use two ledgers at once, which are lost, unreachable and swapped."""
    rng = random.Random(seed)
    burst, rate = rng.choice([(5, 2.0), (40, 20.0), (100, 300.0), (60, 10.0)])
    slots = rng.choice([1, 2, 5, 12])
    clock_offsets = [rng.uniform(-500, 500) for _ in range(4)]
    sim = Simulation(burst, rate, slots, slots + 2, clock_offsets)
    for _ in range(steps):
        action = rng.random()
        if action < 0.2:
            _fill_both_ledgers(sim, rng)
        elif action < 0.5:
            _drain_both_ledgers(sim, rng)
        elif action < 0.6:
            _renew_at_both_ledgers(sim, rng, rng.choice([0.0, 0.3]))
        elif action < 0.7:
            _swap_ledgers(sim, rng)
        elif action < 0.8:
            _fail_over_ledger(sim, rng)
        elif action < 0.85:
            _inject_fault(sim, rng)
        else:
            part = rng.choice([0.005, 0.1, 0.25, 0.4, 0.6, 1.0, 1.04])
            sim.advance(DELEGATION_S * part)
    return sim


def _finish_slot_count_change(sim):
    """Let all VMs follow the number of slots, and check that all weight is in use."""
    for _ in range(6):
        for vm in range(len(sim.vms)):
            sim.check(vm)
        sim.advance(1.0)
    claims = sim.store.value["claims"]
    assert total_weight(claims, ACCOUNT) == 1


def run_slot_count_changes(seed, steps=120):
    """Change the number of slots, above and below ``MAX_SHARES``."""
    rng = random.Random(seed)
    weights.MAX_SHARES = rng.choice([2, 3, 4])
    burst, rate = rng.choice([(40, 20.0), (100, 300.0), (60, 10.0)])
    slots = rng.choice([1, 3, 6, 12])
    clock_offsets = [rng.uniform(-500, 500) for _ in range(4)]
    sim = Simulation(burst, rate, slots, 14, clock_offsets)
    for _ in range(steps):
        action = rng.random()
        if action < 0.15:
            _fill_both_ledgers(sim, rng)
        elif action < 0.5:
            _drain_both_ledgers(sim, rng)
        elif action < 0.6:
            _finish_slot_count_change(sim)
        elif action < 0.75:
            _fill_both_ledgers(sim, rng)
            sim.change_slot_count(rng.choice([1, 2, 3, 5, 8, 12]))
            # Some VMs follow at once, others keep an old number for a long time.
            for _ in range(4):
                for vm in rng.sample(range(14), rng.choice([3, 9, 14])):
                    sim.check(vm)
                _drain_both_ledgers(sim, rng)
                sim.advance(DELEGATION_S * rng.choice([0.05, 0.25, 1.04]))
        elif action < 0.9:
            _inject_fault(sim, rng)
        else:
            sim.advance(DELEGATION_S * rng.choice([0.005, 0.25, 0.6, 1.04, 3.0]))
    return sim


@pytest.fixture(autouse=True)
def restore_max_shares(monkeypatch):
    monkeypatch.setattr(weights, "MAX_SHARES", MAX_SHARES)


@pytest.mark.parametrize("seed", range(30))
@pytest.mark.parametrize(
    "run", [run_random_traffic, run_faults, run_two_ledgers, run_slot_count_changes]
)
def test_random_faults_never_exceed_the_bound(run, seed):
    sim = run(seed)
    assert len(sim.admitted) > sim.burst, (
        "too few requests are admitted to test the bound"
    )


@pytest.mark.parametrize("restart", [False, True])
def test_weight_of_a_released_claim_is_used_after_its_delegations_end(restart):
    # Guards against a weight that increases while the share of a slot that was
    # released, or whose process has restarted, is still delegated.
    sim, rng = Simulation(60, 300.0, 2, 2, [0.0] * 4), random.Random(1)
    _fill_both_ledgers(sim, rng)
    holder = next(vm for vm in (0, 1) if sim.vms[vm][1].slot.number == 0)
    sim.change_slot_count(1)
    sim.check(holder)
    for _ in range(4):
        sim.advance(0.24)
        _renew_at_both_ledgers(sim, rng, 0.0)
    if restart:
        sim.restart_vm(1 - holder)
    for _ in range(60):
        sim.check(holder)
        sim.check(1 - holder)
        for vm in (0, 1):
            sim.ask_both_ledgers(vm, 10_000)
            for _ in range(4):
                sim.deliver(-1)
            sim.take(vm, 10_000)
        sim.advance(0.05)
    assert sim.vms[holder][1].slot.divisor == 1


def test_small_bursts_are_summed_up_over_the_slots():
    # Guards against shares of less than one token, none of which can admit a request.
    sim = Simulation(5, 10.0, 18, 18, [0.0] * 4)
    for _ in range(30):
        sim.advance(0.2)
        for vm in range(18):
            sim.ask(vm, 0, 0)
            sim.deliver(-1)
            sim.deliver(-1)
    sim.ask(3, 0, 10)
    sim.deliver(-1)
    sim.deliver(-1)
    sim.take(3, 10)
    assert len(sim.admitted) == 5


def test_bucket_reserves_capacity_for_drawn_tokens():
    bucket = ShareBucket(2.0, 1.0, 0.0)
    assert bucket.refill(10.0) == 2.0
    bucket.draw(1.5, 10.0)
    assert bucket.refill(20.0) == 0.5
    bucket.settle(1.5, 0.5, 20.0)
    assert bucket.refill(20.0) == 1.0
    assert bucket.refill(30.0) == 2.0
    bucket.resize(1.0, 1.0, 30.0)
    assert bucket.refill(30.0) == 1.0
    bucket.stay_empty_until(40.0)
    assert bucket.refill(39.0) == 0.0
    assert bucket.refill(40.5) == 0.5
    assert not bucket.take(1.0, 40.5)
