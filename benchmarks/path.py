"""Benchmarks of the path of a statement: added latency, throughput, memory."""

import asyncio
import json
import subprocess
import sys
from functools import partial
from pathlib import Path
from typing import Any

import asyncmy

from benchmarks.load import Load
from benchmarks.report import Row, percentile
from benchmarks.series import Recorder
from citronwood.fleet.placement import choose_gateways
from citronwood.inner.messages import VmState
from tests.fleet import ACCOUNT, DOMAINS, KEY, ROUTE, TABLE, Fleet, run

READ = "SELECT id, household, food FROM pledges WHERE id = 7"
READS_PER_S = 200.0
DURATION_S = 5.0
IDLE_CONNECTIONS = 3100


def start_load(port: int, rate: float, seconds: float, **load_fields: Any) -> Any:
    """Start a load generator; ``load_fields`` replace the defaults for ``Load``."""
    fields = {
        "port": port,
        "user": ACCOUNT,
        "password": KEY,
        "database": ROUTE,
        "statements": [READ],
        "connections": 4,
        "rate": rate,
        "seconds": seconds,
    } | load_fields
    command = [sys.executable, "-m", "benchmarks.load"]
    text = json.dumps(Load(**fields)._asdict())
    return subprocess.Popen([*command, text], stdout=subprocess.PIPE, text=True)


def finish_load(process: Any) -> dict[str, Any]:
    """Wait for a load generator and return its measurements."""
    output, _ = process.communicate(timeout=120)
    measurements: dict[str, Any] = json.loads(output)
    return measurements


def measure_path(fleet: Fleet, recorder: Recorder) -> list[Row]:
    """Return the added latency and the throughput."""
    gateway_names = ranked_gateways(fleet)
    forwarding_names = [name for name in fleet.entries if name not in gateway_names]
    measure = partial(_latency, recorder)
    direct = measure(
        "member itself", fleet.member_ports["m2"], user="proxy", password="proxy"
    )
    local = measure("through one entry", fleet.ports[gateway_names[0]])
    forwarded = measure("forwarded", fleet.ports[forwarding_names[0]])
    rows = []
    for name, latencies, p50_bound, p99_bound in (
        ("added latency through one entry", local, 0.4, 2.0),
        ("added latency when forwarded", forwarded, 1.2, None),
    ):
        for label, fraction, bound in (
            ("p50", 0.5, p50_bound),
            ("p99", 0.99, p99_bound),
        ):
            base = percentile(direct, fraction)
            value = percentile(latencies, fraction) - base
            rows.append(Row(f"{name} {label}", value, "ms", bound, baseline=base))
    rows.append(
        _throughput(fleet, gateway_names[0], "point reads through one entry", 4000)
    )
    rows.append(_throughput(fleet, forwarding_names[0], "point reads forwarded", 2000))
    return rows


def measure_memory(fleet: Fleet, recorder: Recorder) -> list[Row]:
    """Return the memory of an idle client connection."""
    name = next(iter(fleet.entries))
    pid = fleet.entries[name].pid
    before = _resident_kb(pid)
    after = asyncio.run(_resident_kb_with_idle_connections(fleet, name, pid))
    value = (after - before) / IDLE_CONNECTIONS
    return [Row("memory of an idle client connection", value, "KB", 20.0)]


async def populate_table(fleet: Fleet) -> None:
    """Create the table of the benchmarks and insert rows."""
    connection = await fleet.connect()
    await run(connection, TABLE)
    for number in range(20):
        await run(connection, f"INSERT INTO pledges (household) VALUES ('h{number}')")
    connection.close()


def ranked_gateways(fleet: Fleet) -> list[str]:
    """Return the names of the VMs that are gateways of the group, by rank."""
    vms = [
        VmState(name, 1, 1, "", DOMAINS[index % len(DOMAINS)], "live", 1)
        for index, name in enumerate(fleet.entries)
    ]
    return [vm.name for vm in choose_gateways("pledges", vms)]


def _latency(recorder: Recorder, line: str, port: int, **login: str) -> list[float]:
    result = finish_load(start_load(port, READS_PER_S, DURATION_S, **login))
    assert not result["errors"], result["errors"]
    durations: list[float] = result["durations_ms"]
    for started_s, duration_ms in zip(result["started_s"], durations, strict=True):
        recorder.add("latency of a point read (ms)", line, started_s, duration_ms)
    # The first tenth is warm-up.
    return durations[len(durations) // 10 :]


def _throughput(fleet: Fleet, name: str, measure: str, bound: float) -> Row:
    loads = [
        start_load(fleet.ports[name], 0, DURATION_S, connections=8) for _ in range(3)
    ]
    results = [finish_load(load) for load in loads]
    total = sum(
        len(measured["durations_ms"]) / measured["elapsed_s"] for measured in results
    )
    return Row(measure, total, "1/s", bound, at_most=False)


def _resident_kb(pid: int) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    raise ValueError("the status of the process has no VmRSS line")


async def _resident_kb_with_idle_connections(fleet: Fleet, name: str, pid: int) -> int:
    connect_limit = asyncio.Semaphore(50)

    async def connect() -> Any:
        async with connect_limit:
            connection = await asyncmy.connect(
                host="127.0.0.1",
                port=fleet.ports[name],
                user=ACCOUNT,
                password=KEY,
                database=ROUTE,
                # Without autocommit, the read would open a transaction.
                autocommit=True,
                connect_timeout=60,
            )
            await run(connection, READ)
            return connection

    connections = await asyncio.gather(*(connect() for _ in range(IDLE_CONNECTIONS)))
    await asyncio.sleep(1)
    resident = _resident_kb(pid)
    for connection in connections:
        connection.close()
    return resident
