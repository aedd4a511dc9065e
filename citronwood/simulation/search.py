"""Search for plans that break a rule, in several processes, and their reduction."""

import time
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ProcessPoolExecutor, as_completed
from multiprocessing import get_context
from typing import NamedTuple

from citronwood.simulation.history import Violation
from citronwood.simulation.plan import Plan, draw_plan
from citronwood.simulation.runner import run_plan

# Plans that are given to a process at a time.
BATCH = 10
# Times of troubles are rounded to this when a plan is reduced.
ROUNDING_S = 0.5


class Finding(NamedTuple):
    """Plan that breaks rules, and the first violations."""

    plan: Plan
    violations: list[Violation]

    @property
    def rules(self) -> str:
        """Names of the broken rules."""
        return ",".join(sorted({each.rule for each in self.violations}))


class Batch(NamedTuple):
    """Outcome of several plans.

    ``pairs`` counts the kinds of troubles by the steps of the product in their runs.
    """

    runs: int
    simulated_requests: int
    findings: list[Finding]
    pairs: Counter[tuple[str, tuple[str, str]]]


def play_seeds(first: int, count: int) -> Batch:
    """Play the plans of so many seeds."""
    findings: list[Finding] = []
    pairs: Counter[tuple[str, tuple[str, str]]] = Counter()
    requests = 0
    for seed in range(first, first + count):
        result = run_plan(draw_plan(seed))
        requests += result.requests
        for trouble in result.plan.troubles:
            pairs.update((trouble.kind, step) for step in sorted(result.steps))
        if result.violations:
            findings.append(Finding(result.plan, result.violations[:5]))
    return Batch(count, requests, findings, pairs)


def search(first_seed: int, seconds: float, jobs: int) -> Iterator[Batch]:
    """Play plans of consecutive seeds for some time; yield each finished batch."""
    end = time.monotonic() + seconds
    # Fork would copy the state of this process into the runs.
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn")) as pool:
        seed = first_seed
        waiting: set[Future[Batch]] = set()
        while time.monotonic() < end or waiting:
            while len(waiting) < jobs and time.monotonic() < end:
                waiting.add(pool.submit(play_seeds, seed, BATCH))
                seed += BATCH
            done = next(as_completed(waiting))
            waiting.remove(done)
            yield done.result()


def shrink(plan: Plan, is_broken: Callable[[Plan], bool]) -> Plan:
    """Return a plan with fewer troubles and rounder times that is still broken."""
    reduced = True
    while reduced:
        reduced = False
        for index in range(len(plan.troubles)):
            fewer = plan.troubles[:index] + plan.troubles[index + 1 :]
            if is_broken(plan._replace(troubles=fewer)):
                plan, reduced = plan._replace(troubles=fewer), True
                break
    for index, trouble in enumerate(plan.troubles):
        rounder = trouble._replace(
            at=_round(trouble.at),
            for_s=max(ROUNDING_S, _round(trouble.for_s)),
            target=trouble.target % 6,
            variant=trouble.variant % 6,
        )
        troubles = (*plan.troubles[:index], rounder, *plan.troubles[index + 1 :])
        if is_broken(plan._replace(troubles=troubles)):
            plan = plan._replace(troubles=troubles)
    return plan


def breaks(rules: frozenset[str]) -> Callable[[Plan], bool]:
    """Return whether a plan breaks one of these rules."""
    return lambda plan: any(
        violation.rule in rules for violation in run_plan(plan).violations
    )


def _round(seconds: float) -> float:
    return round(seconds / ROUNDING_S) * ROUNDING_S
