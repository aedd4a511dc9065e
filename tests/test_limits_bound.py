"""No account exceeds burst + rate * W in any window, through any faults."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from citronwood.limits import weights
from citronwood.limits.bucket import ShareBucket
from citronwood.limits.ledger import LEND_S, WANTED_GRANT_S
from citronwood.limits.shares import RENEW_AFTER_S
from tests.limits_world import ACCOUNT, World, weight

SMALL = st.integers(0, 5)
MAX_SHARES = weights.MAX_SHARES


class LimiterMachine(RuleBasedStateMachine):
    @initialize(
        burst=st.integers(1, 40),
        rate=st.sampled_from([1.0, 20.0, 100.0]),
        slots=st.integers(1, 5),
        shares=st.sampled_from([2, 3, 18]),
        offsets=st.lists(st.floats(-500, 500), min_size=3, max_size=3),
    )
    def start(self, burst, rate, slots, shares, offsets):
        weights.MAX_SHARES = shares
        self.world = World(burst, rate, slots, 5, offsets)

    @rule(seconds=st.floats(0.0, 0.4))
    def advance(self, seconds):
        self.world.advance(seconds)

    @rule(vm=st.integers(0, 4), ledger=st.integers(0, 1), wanted=st.integers(0, 50))
    def exchange(self, vm, ledger, wanted):
        self.world.ask(vm, ledger, wanted)
        self.world.deliver(-1)
        self.world.deliver(-1)

    @rule(
        vm=st.integers(0, 4),
        ledger=st.integers(0, 1),
        wanted=st.integers(0, 50),
        ahead=SMALL,
    )
    def ask(self, vm, ledger, wanted, ahead):
        self.world.ask(vm, ledger, wanted, ahead)

    @rule(wanted=st.sampled_from([0, 1, 50]), lost=st.sets(SMALL))
    def exchange_halves(self, wanted, lost):
        for vm in range(len(self.world.vms)):
            self.world.ask_halves(vm, wanted)
            for _ in range(4):
                if vm not in lost:
                    self.world.deliver(-1)

    @rule(halves=st.sampled_from([[0, 1], [1, 0], [0, 0], [1, 1]]))
    def place(self, halves):
        self.world.halves = halves

    @rule(down=st.sets(st.integers(0, 1)))
    def stop_ledgers(self, down):
        self.world.down = down

    @rule(index=SMALL, duplicate=st.booleans())
    def deliver(self, index, duplicate):
        self.world.deliver(index, duplicate)

    @rule(index=SMALL)
    def lose(self, index):
        self.world.lose(index)

    @rule(vm=st.integers(0, 4), count=st.integers(1, 50))
    def take(self, vm, count):
        self.world.take(vm, count)

    @rule(vm=st.integers(0, 4))
    def restart_vm(self, vm):
        self.world.restart_vm(vm)

    @rule(vm=st.integers(0, 4), other=st.integers(0, 4))
    def move_slot(self, vm, other):
        self.world.move_slot(vm, other)

    @rule(wanted=st.integers(1, 6))
    def change_count(self, wanted):
        self.world.change_count(wanted)

    @rule(vms=st.lists(st.integers(0, 4)), seconds=st.sampled_from([0.0, 1.0]))
    def check_slots(self, vms, seconds):
        for _ in range(2):
            for vm in vms:
                self.world.check(vm)
            self.world.advance(seconds)

    @rule(ledger=st.integers(0, 1))
    def restart_ledger(self, ledger):
        self.world.restart_ledger(ledger)

    def teardown(self):
        weights.MAX_SHARES = MAX_SHARES


LimiterMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)
TestLimiterMachine = LimiterMachine.TestCase


def _renew_with_fresh_stamps(world, source, ledger):
    """Delegate with stamps that are 2 ms old, which leaves the least slack."""
    for pause in (RENEW_AFTER_S + 0.05, RENEW_AFTER_S - 0.001, 0.002):
        world.advance(pause)
        _renew(world, source, ledger, 0.0)


def _renew(world, source, ledger, loss):
    for vm in range(len(world.vms)):
        world.ask(vm, ledger, 0)
        if source.random() >= loss:
            world.deliver(-1, source.random() < 0.2)
            world.deliver(-1)


def _saturate(world, source, ledger):
    """Let all buckets run full at one ledger."""
    step = LEND_S / 4
    for _ in range(int(world.burst / world.rate / step) + 8):
        _renew(world, source, ledger, 0.0)
        world.advance(step)


def _drain(world, source):
    """Take every token that can be had at this moment."""
    for ledger in (0, 1):
        world.ask(source.randrange(len(world.vms)), ledger, 10_000)
    for _ in range(30):
        world.deliver(-1, source.random() < 0.1)
    for vm in range(len(world.vms)):
        world.take(vm, 10_000)


def _late(world, source):
    """Delay a round of requests by most of a delegation's length."""
    _renew(world, source, source.randrange(2), 1.0)
    world.advance(LEND_S * source.choice([0.4, 0.8, 0.95]))
    for _ in range(3 * len(world.vms)):
        world.deliver(source.randrange(1000), source.random() < 0.3)


def _hold(world, source):
    """Keep grants that were made shortly before the delegations end."""
    ledger = source.randrange(2)
    _saturate(world, source, ledger)
    _renew_with_fresh_stamps(world, source, ledger)
    world.advance(LEND_S * 0.9)
    world.ask(source.randrange(len(world.vms)), ledger, 10_000)
    world.deliver(-1)
    world.deliver(-1)
    world.advance(WANTED_GRANT_S * 0.9)
    _drain(world, source)


def _replay(world, source):
    """Hand over full shares after a silence, and deliver the messages again."""
    ledger = source.randrange(2)
    world.advance(LEND_S + world.burst / world.rate)
    world.network.clear()
    for vm in range(len(world.vms)):
        world.ask(vm, ledger, 0)
        world.deliver(-1)
        world.deliver(-1)
        world.ask(vm, ledger, 0)
        world.deliver(-1, True)
        world.deliver(-1)
    _drain(world, source)
    for _ in range(10):
        world.deliver(source.randrange(1000), True)


def _fault(world, source):
    vm, other = source.randrange(len(world.vms)), source.randrange(len(world.vms))
    kind = source.randrange(4)
    if kind == 0:
        world.restart_vm(vm)
    elif kind == 1:
        world.move_slot(vm, other)
    elif kind == 2:
        world.restart_ledger(source.randrange(2))
    else:
        for _ in range(len(world.network)):
            if source.random() < 0.5:
                world.lose(source.randrange(1000))


def run_faults(seed, steps=150):
    """Phases of traffic and faults that leave no slack between tokens and bound."""
    source = random.Random(seed)
    burst, rate = source.choice([(5, 2.0), (40, 20.0), (100, 300.0), (60, 10.0)])
    slots = source.choice([1, 2, 4, 12])
    offsets = [source.uniform(-500, 500) for _ in range(4)]
    world = World(burst, rate, slots, slots + 2, offsets)
    for _ in range(steps):
        action = source.random()
        if action < 0.12:
            _saturate(world, source, source.randrange(2))
        elif action < 0.45:
            _drain(world, source)
        elif action < 0.55:
            _renew(world, source, source.randrange(2), source.choice([0.0, 0.5]))
        elif action < 0.65:
            _late(world, source)
        elif action < 0.72:
            _fault(world, source)
        elif action < 0.78:
            _hold(world, source)
        elif action < 0.82:
            _replay(world, source)
            _drain(world, source)
        elif action < 0.84:
            for vm in range(len(world.vms)):
                world.restart_vm(vm)
        else:
            part = source.choice([0.005, 0.1, 0.25, 0.4, 0.6, 1.0, 1.04])
            world.advance(LEND_S * part)
    return world


def run_noise(seed, steps=1500):
    """Random traffic and faults; a few hot VMs take whatever they can get."""
    source = random.Random(seed)
    burst, rate = source.choice([(5, 20.0), (30, 20.0), (100, 300.0)])
    slots = source.choice([2, 4, 18])
    offsets = [source.uniform(-500, 500) for _ in range(4)]
    world = World(burst, rate, slots, slots + 2, offsets)
    vms = slots + 2
    for step in range(steps):
        action = source.random()
        vm, ledger = source.randrange(vms), int(source.random() < 0.1)
        if step % 4 == 0:
            for each in range(vms):
                world.ask(each, ledger, 0)
                if source.random() < 0.9:
                    world.deliver(-1)
                    world.deliver(-1)
        if action < 0.35:
            world.ask(vm, ledger, source.choice([0, 1, 100]), source.choice([0, 9]))
            if source.random() < 0.8:
                world.deliver(-1, source.random() < 0.05)
                world.deliver(-1, source.random() < 0.05)
        elif action < 0.6:
            world.take(source.randrange(vms), 100)
        elif action < 0.93:
            world.advance(LEND_S * source.choice([0.0, 0.005, 0.02, 0.15]))
        elif action < 0.96:
            world.deliver(source.randrange(10_000), source.random() < 0.3)
        elif action < 0.985:
            world.lose(source.randrange(10_000))
        elif action < 0.99:
            world.restart_vm(vm)
        elif action < 0.995:
            world.move_slot(vm, source.randrange(vms))
        elif action < 0.997:
            world.restart_ledger(ledger)
        else:
            world.advance(source.uniform(0, 3))
    return world


def _renew_halves(world, source, loss):
    for vm in range(len(world.vms)):
        world.ask_halves(vm, 0)
        for _ in range(4):
            if source.random() >= loss:
                world.deliver(-1, source.random() < 0.1)
            else:
                world.lose(-1)


def _saturate_halves(world, source):
    """Let all buckets run full at both ledgers."""
    for _ in range(int(4 * world.burst / world.rate / LEND_S) + 8):
        _renew_halves(world, source, 0.0)
        world.advance(LEND_S / 4)


def _drain_halves(world, source):
    """Take every token that can be had at this moment, at any VM."""
    for _ in range(3):
        world.ask_halves(source.randrange(len(world.vms)), 10_000)
        for _ in range(4):
            world.deliver(-1, source.random() < 0.1)
    for vm in range(len(world.vms)):
        world.take(vm, 10_000)


def _exchange_ledgers(world, source):
    """Let each ledger take the other one's half while its own is still delegated."""
    _saturate_halves(world, source)
    # Stamps that are 2 ms old make the delegations last as long as possible.
    for pause in (RENEW_AFTER_S + 0.05, RENEW_AFTER_S - 0.001, 0.002):
        world.advance(pause)
        _renew_halves(world, source, 0.0)
    world.halves.reverse()
    for _ in range(2):
        _renew_halves(world, source, 0.0)
    world.advance(LEND_S * 0.6)
    _drain_halves(world, source)


def _replace_ledger(world, source):
    """Lose a ledger; the other one takes its half until it is back."""
    dead = source.randrange(2)
    world.down = {dead}
    if source.random() < 0.7:
        # Otherwise it was only cut off, and keeps its shares and grants.
        world.restart_ledger(dead)
    _renew_halves(world, source, 0.0)
    world.halves = [1 - dead, 1 - dead]
    for _ in range(source.randrange(8)):
        _renew_halves(world, source, 0.0)
        if source.random() < 0.5:
            _drain_halves(world, source)
        world.advance(LEND_S * source.choice([0.02, 0.25, 0.3]))
    world.down = set()
    world.halves = source.choice([[0, 1], [1, 0]])


def run_halves(seed, steps=120):
    """Two ledgers in use at once, which are lost, cut off and exchanged."""
    source = random.Random(seed)
    burst, rate = source.choice([(5, 2.0), (40, 20.0), (100, 300.0), (60, 10.0)])
    slots = source.choice([1, 2, 5, 12])
    offsets = [source.uniform(-500, 500) for _ in range(4)]
    world = World(burst, rate, slots, slots + 2, offsets)
    for _ in range(steps):
        action = source.random()
        if action < 0.2:
            _saturate_halves(world, source)
        elif action < 0.5:
            _drain_halves(world, source)
        elif action < 0.6:
            _renew_halves(world, source, source.choice([0.0, 0.3]))
        elif action < 0.7:
            _exchange_ledgers(world, source)
        elif action < 0.8:
            _replace_ledger(world, source)
        elif action < 0.85:
            _fault(world, source)
        else:
            part = source.choice([0.005, 0.1, 0.25, 0.4, 0.6, 1.0, 1.04])
            world.advance(LEND_S * part)
    return world


def _finish_change(world):
    """Let all VMs follow the number of slots; no weight stays unused."""
    for _ in range(6):
        for vm in range(len(world.vms)):
            world.check(vm)
        world.advance(1.0)
    claims = world.store.value["claims"]
    assert weight(claims, ACCOUNT) == 1


def run_counts(seed, steps=120):
    """Changes of the number of slots, above and below the bound of the shares."""
    source = random.Random(seed)
    weights.MAX_SHARES = source.choice([2, 3, 4])
    burst, rate = source.choice([(40, 20.0), (100, 300.0), (60, 10.0)])
    slots = source.choice([1, 3, 6, 12])
    offsets = [source.uniform(-500, 500) for _ in range(4)]
    world = World(burst, rate, slots, 14, offsets)
    for _ in range(steps):
        action = source.random()
        if action < 0.15:
            _saturate_halves(world, source)
        elif action < 0.5:
            _drain_halves(world, source)
        elif action < 0.6:
            _finish_change(world)
        elif action < 0.75:
            _saturate_halves(world, source)
            world.change_count(source.choice([1, 2, 3, 5, 8, 12]))
            # Some follow at once, others keep an old number for a long time.
            for _ in range(4):
                for vm in source.sample(range(14), source.choice([3, 9, 14])):
                    world.check(vm)
                _drain_halves(world, source)
                world.advance(LEND_S * source.choice([0.05, 0.25, 1.04]))
        elif action < 0.9:
            _fault(world, source)
        else:
            world.advance(LEND_S * source.choice([0.005, 0.25, 0.6, 1.04, 3.0]))
    return world


@pytest.fixture(autouse=True)
def bound_of_shares(monkeypatch):
    monkeypatch.setattr(weights, "MAX_SHARES", MAX_SHARES)


@pytest.mark.parametrize("seed", range(30))
@pytest.mark.parametrize("run", [run_noise, run_faults, run_halves, run_counts])
def test_random_faults_never_exceed_the_bound(run, seed):
    world = run(seed)
    assert len(world.admitted) > world.burst, "the run admits requests at all"


@pytest.mark.parametrize("restart", [False, True])
def test_room_of_a_given_up_claim_is_used_after_its_delegations(restart):
    # Guards against a weight that grows while the share of a slot that was given up, or
    # whose process has ended, is still delegated.
    world, source = World(60, 300.0, 2, 2, [0.0] * 4), random.Random(1)
    _saturate_halves(world, source)
    holder = next(vm for vm in (0, 1) if world.vms[vm][1].slot.number == 0)
    world.change_count(1)
    world.check(holder)
    for _ in range(4):
        world.advance(0.24)
        _renew_halves(world, source, 0.0)
    if restart:
        world.restart_vm(1 - holder)
    for _ in range(60):
        world.check(holder)
        world.check(1 - holder)
        for vm in (0, 1):
            world.ask_halves(vm, 10_000)
            for _ in range(4):
                world.deliver(-1)
            world.take(vm, 10_000)
        world.advance(0.05)
    assert world.vms[holder][1].slot.divisor == 1


def test_small_bursts_are_summed_up_over_the_slots():
    # Guards against shares of less than one token that admit nothing.
    world = World(5, 10.0, 18, 18, [0.0] * 4)
    for _ in range(30):
        world.advance(0.2)
        for vm in range(18):
            world.ask(vm, 0, 0)
            world.deliver(-1)
            world.deliver(-1)
    world.ask(3, 0, 10)
    world.deliver(-1)
    world.deliver(-1)
    world.take(3, 10)
    assert len(world.admitted) == 5


def test_bucket_keeps_room_for_drawn_tokens():
    bucket = ShareBucket(2.0, 1.0, 0.0)
    assert bucket.level(10.0) == 2.0
    bucket.draw(1.5, 10.0)
    assert bucket.level(20.0) == 0.5
    bucket.settle(1.5, 0.5, 20.0)
    assert bucket.level(20.0) == 1.0
    assert bucket.level(30.0) == 2.0
    bucket.resize(1.0, 1.0, 30.0)
    assert bucket.level(30.0) == 1.0
    bucket.stay_empty_until(40.0)
    assert bucket.level(39.0) == 0.0
    assert bucket.level(40.5) == 0.5
    assert not bucket.take(1.0, 40.5)
