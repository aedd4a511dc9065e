"""Model of reads from many VMs to the servers of one group, in virtual time.

Each server has slots and a queue at its owner. Knowledge of its load reaches the other
VMs with the answers, or later. The choice under test is ``ReadBalance``; the others are
there to compare.
"""

import heapq
import random
from collections import defaultdict
from itertools import count
from statistics import mean, median
from typing import NamedTuple

from citronwood.metrics import Metrics
from citronwood.relay.balance import (
    Candidate,
    Choice,
    ReadAttempts,
    ReadBalance,
    Result,
)
from citronwood.relay.server_load import INITIAL_MEAN_S, SAMPLE_WEIGHT, ServerLoad
from citronwood.relay.statement import Urgency

SLOTS = 4
DOMAINS = ("z1", "z2", "z3")
# One-way latency of a message within and between failure domains.
LOCAL_S, REMOTE_S = 0.0002, 0.0009
MEAN_WORK_S = 0.015
WARM_UP_S = 2.0


class Scenario(NamedTuple):
    """Load and faults of a replay.

    ``demand`` are the shares of the failure domains, ``speeds`` the relative speeds of
    the servers, of which the first one is the primary. ``failing`` is the fraction of
    its requests that the last server fails. Reports of load arrive ``report_delay_s``
    after the answers.
    """

    vms: int = 24
    load: float = 0.6
    demand: tuple[float, ...] = (0.45, 0.33, 0.22)
    speeds: tuple[float, ...] = (1.0, 1.0, 1.0)
    failing: float = 0.0
    writes: float = 0.15
    report_delay_s: float = 0.0
    duration_s: float = 30.0


class Figures(NamedTuple):
    """Result of a replay; ``declined`` and ``remote`` are fractions of the reads."""

    imbalance: float
    p50_ms: float
    p99_ms: float
    declined: float
    remote: float


class ModelServer:
    """Server with its owner; stands in for a ``ServerPool`` in the owner's decision."""

    def __init__(self, replay, number, speed):
        self.id = DOMAINS[number]
        self.server = self
        self.speed = speed
        self.failing = replay.scenario.failing if number == len(DOMAINS) - 1 else 0.0
        self.balance = ReadBalance(Metrics(), lambda: replay.time)
        self.running = 0
        self.mean_s = INITIAL_MEAN_S
        self.queue = []
        self.busy_s = defaultdict(float)
        self._replay = replay

    @property
    def server_load(self):
        return ServerLoad(SLOTS, self.running, len(self.queue), self.mean_s * 1000)

    def expected_wait_s(self, account, urgency):
        return self.server_load.expected_wait_s

    def run(self, work_s=None, on_end=None):
        if on_end is not None:
            self.queue.append((work_s, on_end))
        while self.queue and self.running < SLOTS:
            work_s, on_end = self.queue.pop(0)
            self.running += 1
            took_s = work_s / self.speed
            self.busy_s[int(self._replay.time)] += took_s
            self._replay.after(took_s, self._end, took_s, on_end)

    def _end(self, took_s, on_end):
        self.running -= 1
        self.mean_s += SAMPLE_WEIGHT * (took_s - self.mean_s)
        on_end()
        self.run()


class Replay:
    """Reads and writes of one scenario with one way to choose."""

    def __init__(self, scenario, policy, seed):
        self.scenario = scenario
        self.time = 0.0
        self.rng = random.Random(seed)
        self.choice_rng = random.Random(seed + 1)
        self.servers = {
            DOMAINS[number]: ModelServer(self, number, speed)
            for number, speed in enumerate(scenario.speeds)
        }
        self.policy = policy
        self.balances = [
            ReadBalance(Metrics(), lambda: self.time, self.choice_rng)
            for _ in range(scenario.vms)
        ]
        # By VM and server: the last reported load.
        self.reports = [{} for _ in range(scenario.vms)]
        self.latencies = []
        self.declined = self.remote = 0
        self._events, self._order = [], count()

    def after(self, delay_s, action, *arguments):
        event = (self.time + delay_s, next(self._order), action, arguments)
        heapq.heappush(self._events, event)

    def run(self):
        capacity = SLOTS * sum(self.scenario.speeds) / MEAN_WORK_S
        self.after(0.0, self._arrive, capacity * self.scenario.load)
        while self._events[0][0] < self.scenario.duration_s:
            self.time, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self._figures()

    def _arrive(self, rate):
        self.after(self.rng.expovariate(rate), self._arrive, rate)
        work_s = self.rng.gammavariate(2.0, MEAN_WORK_S / 2)
        domain = self.rng.choices(DOMAINS, self.scenario.demand)[0]
        index = self.rng.randrange(self.scenario.vms // len(DOMAINS))
        vm = index * len(DOMAINS) + DOMAINS.index(domain)
        if self.rng.random() < self.scenario.writes:
            self.servers[DOMAINS[0]].run(work_s, lambda: None)
        else:
            Read(self, vm, domain, work_s).attempt()

    def _figures(self):
        ratios = []
        for second in range(int(WARM_UP_S), int(self.scenario.duration_s) - 1):
            busy = [server.busy_s[second] for server in self.servers.values()]
            ratios.append(max(busy) / mean(busy))
        latencies_ms = sorted(latency_s * 1000 for latency_s in self.latencies)
        reads = len(latencies_ms)
        figures = (
            median(ratios),
            latencies_ms[reads // 2],
            latencies_ms[reads * 99 // 100],
            self.declined / reads,
            self.remote / reads,
        )
        return Figures(*(round(figure, 3) for figure in figures))


class Read:
    """One read: its attempts at servers until one has answered."""

    def __init__(self, replay, vm, domain, work_s):
        self.replay = replay
        self.vm = vm
        self.domain = domain
        self.work_s = work_s
        self.arrived_at = replay.time
        self.balance = replay.balances[vm]
        self.attempts = ReadAttempts(self.balance)
        self.first = None

    def attempt(self):
        replay = self.replay
        excluded = self.attempts.excluded
        allowed = [name for name in DOMAINS if name not in excluded]
        name, max_wait_s = replay.policy(self, allowed, replay.choice_rng)
        server = replay.servers[name]
        latency_s = LOCAL_S if name == self.domain else REMOTE_S
        replay.after(latency_s, self._arrive, server, max_wait_s, latency_s)

    def _arrive(self, server, max_wait_s, latency_s):
        urgency = Urgency(0, 0.0, max_wait_s)
        wait_s = server.balance.accepts(server, "", urgency)
        if wait_s is not None:
            self._answer(server, latency_s, self._on_declined, wait_s)
        else:
            server.run(
                self.work_s,
                lambda: self._answer(server, latency_s, self._on_answer),
            )

    def _answer(self, server, latency_s, action, *arguments):
        replay, load = self.replay, server.server_load
        report_s = latency_s + replay.scenario.report_delay_s
        replay.after(report_s, self._on_report, server.id, load)
        replay.after(latency_s, action, server, *arguments)

    def _on_report(self, name, load):
        self.balance.note_load(name, load)
        self.replay.reports[self.vm][name] = load

    def _on_declined(self, server, wait_s):
        self.replay.declined += self.replay.time > WARM_UP_S
        self.attempts.note_declined(server.id, wait_s)
        self.attempt()

    def _on_answer(self, server):
        replay = self.replay
        is_failed = replay.rng.random() < server.failing
        if is_failed and self.first is None:
            self.attempts.excluded.add(server.id)
            self.first = self.attempts.set_aside() or ReadAttempts(None)
            self.attempt()
            return
        if self.first is not None:
            self.first.finish(Result.UNKNOWN if is_failed else Result.FAILED)
        self.attempts.finish(Result.UNKNOWN if is_failed else Result.GOOD)
        if replay.time > WARM_UP_S:
            replay.remote += server.id != self.domain
            replay.latencies.append(replay.time - self.arrived_at)


def choose_as_before(read, allowed, rng):
    replicas = [one for one in allowed if one != DOMAINS[0]] or [DOMAINS[0]]
    return (read.domain if read.domain in replicas else rng.choice(replicas)), None


def choose_randomly(read, allowed, rng):
    return rng.choice(allowed), None


def choose_of_two(read, allowed, rng):
    drawn = rng.sample(allowed, 2)
    reports = read.replay.reports[read.vm]
    known = {one: reports[one].expected_wait_s for one in drawn if one in reports}
    return min(drawn, key=lambda one: known.get(one, 0.0)), None


def choose_knowing_all(read, allowed, rng):
    def rank(name):
        load = read.replay.servers[name].server_load
        return load.expected_wait_s, load.running, name != read.domain

    return min(allowed, key=rank), None


def choose_balanced(read, allowed, rng):
    candidates = {
        name: Candidate(name, SLOTS, name == read.domain, name == "z1", False, None)
        for name in DOMAINS
    }
    choice = read.balance.choose(candidates.values(), read.attempts)
    choice = choice or Choice(DOMAINS[0], None)
    read.attempts.start(candidates[choice.server])
    return choice


POLICIES = {
    "today": choose_as_before,
    "random": choose_randomly,
    "two choices": choose_of_two,
    "perfect knowledge": choose_knowing_all,
    "balanced": choose_balanced,
}
SCENARIOS = {
    "uneven demand": Scenario(),
    "slow server": Scenario(speeds=(1.0, 1.0, 0.5)),
    "partly failing server": Scenario(failing=0.15),
    "reports 2 s old": Scenario(report_delay_s=2.0),
    "few reads per VM": Scenario(vms=240),
    "heavy load": Scenario(load=0.85),
}


def replay(scenario, policy, seed=1):
    """Return the figures of one replay."""
    return Replay(SCENARIOS[scenario], POLICIES[policy], seed).run()


if __name__ == "__main__":
    for scenario in SCENARIOS:
        for policy in POLICIES:
            print(f"{scenario:22} {policy:18} {replay(scenario, policy)}")
