"""Plays a plan and judges what was seen."""

import asyncio
import hashlib
import logging
from typing import Any, NamedTuple

from citronwood.simulation.checks import Bounds, find_violations
from citronwood.simulation.history import History, Violation
from citronwood.simulation.loop import SimulatedLoop
from citronwood.simulation.machine import current_machine
from citronwood.simulation.plan import SERVER_KINDS, Plan
from citronwood.simulation.substitutes import substituted
from citronwood.simulation.troubles import apply_trouble
from citronwood.simulation.world import GROUP, World

# Time from the end of the last trouble to the end of the run.
RECOVERY_S, JUDGED_S = 12.0, 5.0
DRAIN_S = 7.0


class Result(NamedTuple):
    """Outcome of a run.

    ``digest`` is a digest of the whole history, ``steps`` the pairs of an event and an
    outcome that the product has logged, and ``log`` its lines.
    """

    plan: Plan
    violations: list[Violation]
    digest: str
    served: int
    requests: int
    promotions: int
    steps: frozenset[tuple[str, str]]
    log: list[str]


class _LogCollector(logging.Handler):
    """Collects the product's log lines with the virtual time and the VM."""

    def __init__(self, loop: SimulatedLoop) -> None:
        super().__init__()
        self._loop = loop
        self.lines: list[str] = []
        self.steps: set[tuple[str, str]] = set()

    def emit(self, record: logging.LogRecord) -> None:
        machine = current_machine.get()
        name = "-" if machine is None else machine.name
        self.lines.append(f"{self._loop.time():8.3f} {name} {record.getMessage()}")
        decision = getattr(record, "decision", None)
        if decision is not None:
            self.steps.add((decision.event, decision.outcome))


def run_plan(plan: Plan) -> Result:
    """Play a plan and judge what was seen."""
    loop = SimulatedLoop()
    collector = _LogCollector(loop)
    product_log = logging.getLogger("citronwood")
    product_log.addHandler(collector)
    previous_level = product_log.level
    product_log.setLevel(logging.INFO)
    world = World(plan, loop)
    calm_from = max((each.at + each.for_s for each in plan.troubles), default=6.0)
    until = calm_from + RECOVERY_S + JUDGED_S

    async def play() -> None:
        for trouble in plan.troubles:
            world.keep(apply_trouble(world, trouble))
        await world.run(until)

    try:
        with substituted(loop, plan.seed):
            asyncio.set_event_loop(loop)
            loop.run_until_complete(play())
    finally:
        product_log.removeHandler(collector)
        product_log.setLevel(previous_level)
        asyncio.set_event_loop(None)
        loop.abandon()
    bounds = Bounds(
        sync_replicas={GROUP: plan.sync_replicas},
        drain_s=DRAIN_S,
        recovery_s=RECOVERY_S,
        calm_from=calm_from,
        ended_at=until,
        is_fleet_calm=all(each.kind in SERVER_KINDS for each in plan.troubles),
    )
    history = world.history
    digest = hashlib.blake2b(repr(_sortable(history)).encode(), digest_size=16)
    return Result(
        plan,
        find_violations(history, bounds),
        digest.hexdigest(),
        sum(request.succeeded for request in history.requests),
        len(history.requests),
        len(history.promoted),
        frozenset(collector.steps),
        collector.lines,
    )


def _sortable(history: History) -> list[Any]:
    """Return the history with sets as sorted lists, for the digest."""
    return [
        [
            tuple(sorted(v) if isinstance(v, frozenset) else v for v in record)
            for record in records
        ]
        for records in history
    ]
