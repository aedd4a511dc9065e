"""Benchmarks of a database group: reads served by replicas and gap in service."""

import asyncio
import signal
from pathlib import Path
from time import monotonic
from typing import Any

from asyncmy.errors import MySQLError

from benchmarks.path import finish_load, start_load
from benchmarks.report import Row, percentile
from benchmarks.series import Recorder
from tests.fleet import DOMAINS, TABLE, Fleet, run
from tests.processes import Processes

REPLICA_LAG_MS = 50
DURATION_S = 5.0
WRITE_INTERVAL_S = 0.02
GAP_TIMEOUT_S = 10.0
# Above the poll interval: a replica without new records answers once a second.
MAX_SILENCE_MS = 1300
FAULTS = ("primary frozen", "primary killed")


def measure_replica_share(fleet: Fleet, recorder: Recorder) -> list[Row]:
    """Return the share of reads on replicas at 50 ms lag and 10 % writes."""
    asyncio.run(_set_lag(fleet, REPLICA_LAG_MS))
    before = _read_counts(fleet)
    statements = ["SELECT COUNT(*) FROM pledges WHERE id < {n}"] * 9
    statements.append("INSERT INTO pledges (household) VALUES ('bench')")
    loads = [
        start_load(port, 100, DURATION_S, statements=statements, connections=10)
        for port in fleet.ports.values()
    ]
    for load in loads:
        assert not finish_load(load)["errors"]
    after = _read_counts(fleet)
    asyncio.run(_set_lag(fleet, 0))
    on_replicas = after[0] - before[0]
    total = on_replicas + after[1] - before[1]
    share = 100 * on_replicas / total
    return [Row("reads served by replicas", share, "%", 90, at_most=False, baseline=0)]


async def _set_lag(fleet: Fleet, lag_ms: int) -> None:
    for member in fleet.member_ports:
        await fleet.set_member(member, "apply_lag_ms", lag_ms)


def _read_counts(fleet: Fleet) -> tuple[int, int]:
    replica = primary = 0
    for name in fleet.entries:
        _, status = fleet.operator_call("GET", "/v1/status", name=name)
        replica += status["counters"].get("group.reads_replica", 0)
        primary += status["counters"].get("group.reads_primary", 0)
    return replica, primary


def measure_gap(folder: Path, runs: int, recorder: Recorder) -> list[Row]:
    """Return the time from a failure of the primary to the next acknowledged write."""
    processes = Processes()
    gaps: list[float] = []
    try:
        fleet = Fleet(processes, folder, entries=3)
        for number in range(runs):
            gaps.append(asyncio.run(_measure_one_gap(fleet, number)))
            fault = FAULTS[number % 2]
            recorder.add("gap in service (s) by run", fault, number, gaps[-1])
    finally:
        processes.stop_all()
    return [
        Row("gap in service, p50", percentile(gaps, 0.5), "s", 0.8),
        Row(f"gap in service, worst of {runs}", max(gaps), "s", 2.0),
    ]


async def _measure_one_gap(fleet: Fleet, number: int) -> float:
    """Return the seconds from a failure of the primary to an acknowledged write.

    The primary is frozen in even runs and killed in odd ones.
    """
    connection = await fleet.connect(list(fleet.entries)[number % 3])
    if number == 0:
        await run(connection, TABLE)
    primary = await _wait_for_primary(fleet)
    await _write(connection)
    process = fleet.members[primary]
    process.send_signal(signal.SIGKILL if number % 2 else signal.SIGSTOP)
    failed_at = monotonic()
    while True:
        connection = await _reconnect_if_closed(fleet, connection, number)
        if await _write(connection):
            break
        assert monotonic() - failed_at < GAP_TIMEOUT_S
        await asyncio.sleep(WRITE_INTERVAL_S)
    gap = monotonic() - failed_at
    if number % 2:
        process.wait()
        fleet.members[primary] = fleet.start_member(primary)
    else:
        process.send_signal(signal.SIGCONT)
    connection.close()
    return gap


async def _reconnect_if_closed(fleet: Fleet, connection: Any, number: int) -> Any:
    if connection.connected:
        return connection
    return await fleet.connect(list(fleet.entries)[number % 3])


async def _write(connection: Any) -> bool:
    try:
        await run(connection, "INSERT INTO pledges (household) VALUES ('gap')")
    except MySQLError:
        return False
    return True


async def _wait_for_primary(fleet: Fleet) -> str:
    """Return the primary once the group has recovered from the previous run.

    All members must have the same term and last record and have answered recently.
    """
    deadline = monotonic() + GAP_TIMEOUT_S
    while monotonic() < deadline:
        _, status = fleet.operator_call("GET", "/v1/status")
        group = status["groups"].get("pledges", {"members": {}})
        members = group["members"].values()
        same_term = len({m["term"] for m in members}) == 1
        roles = sorted(m["role"] for m in members)
        caught_up = len({m["received"] for m in members}) == 1
        any_silent = any(m["silent_ms"] > MAX_SILENCE_MS for m in members)
        if (
            roles == ["primary", "replica", "replica"]
            and same_term
            and caught_up
            and not any_silent
        ):
            name: str = group["primary"]
            return name
        await asyncio.sleep(0.1)
    raise AssertionError(f"the group of {len(DOMAINS)} members did not settle")
