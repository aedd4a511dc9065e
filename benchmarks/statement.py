"""CPU time of a point read: in the client protocol alone, and in a fleet's processes.

Usage: ``python -m benchmarks.statement [callers|fleet] [--profile FILE]``. CPU figures
are process time, which other load on the machine changes little.
"""

import asyncio
import cProfile
import logging
import os
import struct
import sys
import time
from argparse import ArgumentParser
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from tempfile import TemporaryDirectory
from time import process_time
from typing import Any, NamedTuple

import uvloop
from mysql_mimic.stream import MysqlStream
from mysql_mimic.types import Capabilities
from result import Ok

from benchmarks.path import (
    READ,
    READS_PER_S,
    finish_load,
    populate_table,
    ranked_gateways,
    start_load,
)
from benchmarks.report import Row, percentile, print_table
from citronwood.backend.api import Column, Position, Reply, Request
from citronwood.config.keys import key_digest
from citronwood.config.model import Configuration
from citronwood.fleet.membership import FleetMembership
from citronwood.fleet.routing import GroupRouter
from citronwood.inner.rpc import Rpc
from citronwood.limits.api import Unlimited
from citronwood.logs import configure_logs
from citronwood.metrics import Metrics
from citronwood.mysql.connection import ServerConnection
from citronwood.mysql.login_backoff import LoginBackoff
from citronwood.mysql.packets import LimitedReader
from citronwood.mysql.responses import SERVER_CAPABILITIES
from citronwood.mysql.session import CallerSession, EntryServices
from citronwood.operator.records import Records
from tests.fleet import ACCOUNT, KEY, ROUTE, Fleet
from tests.processes import Processes

DURATION_S = 3.0
STATEMENTS = 500
ROUNDS = 80
LOAD_PROCESSES = 2
CONNECTIONS = 8
ROW = (b"7", b"h6", None)
COLUMNS = (
    Column("id", 8, True, 0, 20),
    Column("household", 253, False, 0, 320),
    Column("food", 253, False, 0, 320),
)


class OneRowExecutor:
    """Executor that immediately returns one row and counts the statements."""

    def __init__(self) -> None:
        self.statements = 0

    async def execute(self, request: Request) -> Any:
        """Return one row."""
        self.statements += 1
        position = Position(1, 1)
        return Ok(Reply(COLUMNS, self._rows(), 0, 0, position, False, "m1", True))

    async def _rows(self) -> AsyncIterator[list[tuple[bytes | None, ...]]]:
        yield [ROW]

    async def end_session(self, session_id: str) -> None:
        """Do nothing, because no session state is kept."""


class _StaticConfig:
    may_serve = True
    validation_age_ms = 0

    def __init__(self) -> None:
        account = {"rate": 1000, "burst": 1000, "keys": {"k1": key_digest(KEY)}}
        document = {
            "version": 1,
            "accounts": {ACCOUNT: account},
            "groups": {"pledges": {"database": "demo", "members": {}}},
            "routes": {ROUTE: {"group": "pledges"}},
        }
        self.current = Configuration.model_validate(document)


class _ClientTransport(asyncio.Transport):
    """Transport that acts as the client and sends the next command on each answer.

    Without sockets and a second process, other load hardly changes the figure.
    """

    def __init__(
        self, connection_made: Callable[["_ClientTransport"], asyncio.StreamReader]
    ):
        super().__init__()
        self.answers = 0
        self.expected_answers = 0
        self.finished = asyncio.Event()
        self.reader = connection_made(self)

    def write(self, data: Any) -> None:
        """Count an answer and send the next command, unless it was the last."""
        self.answers += 1
        if self.answers < self.expected_answers:
            self.reader.feed_data(_QUERY_PACKET)
        else:
            self.finished.set()

    def is_closing(self) -> bool:
        """Return False, because the transport is never closed."""
        return False

    def close(self) -> None:
        """Do nothing, because no socket is open."""

    def get_write_buffer_size(self) -> int:
        """Return 0, because written data is consumed at once."""
        return 0


_QUERY_PACKET = struct.pack("<I", len(READ) + 1) + b"\x03" + READ.encode()


def measure_callers(profile: Path | None = None) -> list[Row]:
    """Return the CPU time of the client protocol, with a stub as the executor."""
    with open(os.devnull, "w") as stream:
        handler = configure_logs(stream=stream)
        without_log, with_log = uvloop.run(_measure_callers(profile))
        handler.close()
    name = "callers' side: CPU of a point read, no sockets"
    return [
        Row(f"{name}, without log", without_log, "us"),
        Row(f"{name}, with log", with_log, "us"),
    ]


async def _measure_callers(profile: Path | None) -> tuple[float, float]:
    """Return the CPU of a read in the fastest round without and with the log.

    Rounds without and with the log alternate; the first of each is left out.
    """
    rpc = Rpc("vm01", b"secret of the benchmarks", Metrics())
    rpc.start("tcp://127.0.0.1:0")
    executor = OneRowExecutor()
    config: Any = _StaticConfig()
    services = EntryServices(
        config,
        GroupRouter(FleetMembership(rpc, "d1"), executor, lambda vm: executor),
        Unlimited(),
        Metrics(),
        Records(),
        b"secret",
        LoginBackoff(),
    )
    session = CallerSession(services)
    session.on_key_accepted(ACCOUNT, key_digest(KEY))
    await session.open(ACCOUNT, ROUTE)
    transport, connection = _connect(session)
    command_task = asyncio.create_task(connection.command_phase())
    profiler = cProfile.Profile()
    rounds = []
    for number in range(ROUNDS):
        # The profile leaves out the first round.
        if profile is not None and number == 1:
            profiler.enable()
        level = logging.INFO if number % 2 else logging.WARNING
        logging.getLogger("citronwood").setLevel(level)
        started = process_time()
        transport.answers, transport.expected_answers = 0, STATEMENTS
        transport.finished.clear()
        transport.reader.feed_data(_QUERY_PACKET)
        await transport.finished.wait()
        rounds.append(1e6 * (process_time() - started) / STATEMENTS)
    if profile is not None:
        profiler.disable()
        profiler.dump_stats(str(profile))
    assert executor.statements == ROUNDS * STATEMENTS
    command_task.cancel()
    await rpc.close()
    return min(rounds[2::2]), min(rounds[3::2])


def _connect(session: CallerSession) -> tuple[_ClientTransport, ServerConnection]:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(loop=loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport = _ClientTransport(lambda _: reader)
    writer = asyncio.StreamWriter(transport, protocol, reader, loop)
    stream = MysqlStream(LimitedReader(reader), writer)
    connection = ServerConnection(stream, session, 1, None)
    connection._set_capabilities(
        SERVER_CAPABILITIES & ~Capabilities.CLIENT_QUERY_ATTRIBUTES
    )
    return transport, connection


def cpu_s(pid: int) -> float:
    """Return the CPU time that all threads of a process have used."""
    total_ns = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        total_ns += int((task / "schedstat").read_text().split()[0])
    return total_ns / 1e9


def measure_fleet(fleet: Fleet) -> list[Row]:
    """Return the CPU time per process, the rate and the latency of point reads."""
    asyncio.run(populate_table(fleet))
    gateway_names = ranked_gateways(fleet)
    forwarding = next(name for name in fleet.entries if name not in gateway_names)
    rows = []
    for label, name in (("local", gateway_names[0]), ("forwarded", forwarding)):
        rows += _measure_vm(fleet, label, name)
    return rows


def _measure_vm(fleet: Fleet, label: str, name: str) -> list[Row]:
    port = fleet.ports[name]
    idle = _measure_usage(fleet, lambda: time.sleep(DURATION_S))
    saturated = _measure_usage(fleet, lambda: _saturate(port))
    paced = _measure_usage(
        fleet, lambda: [finish_load(start_load(port, READS_PER_S, DURATION_S))]
    )
    rows = []
    for kind, usage in (("full load", saturated), (f"{READS_PER_S:.0f}/s", paced)):
        reads = sum(len(load["durations_ms"]) for load in usage.loads)
        for part, entries in (("entry", {name}), ("others", {*fleet.entries} - {name})):
            used_s = sum(usage.cpu_s[entry] - idle.cpu_s[entry] for entry in entries)
            measure = f"{label}, {kind}: CPU, {part}"
            rows.append(Row(measure, 1e6 * used_s / reads, "us"))
    rate = sum(
        len(load["durations_ms"]) / load["elapsed_s"] for load in saturated.loads
    )
    durations = paced.loads[0]["durations_ms"]
    return [
        *rows,
        Row(f"{label}: point reads", rate, "1/s"),
        Row(f"{label}: p50 at {READS_PER_S:.0f}/s", percentile(durations, 0.5), "ms"),
        Row(f"{label}: p99 at {READS_PER_S:.0f}/s", percentile(durations, 0.99), "ms"),
        Row(f"{label}: idle entry", 100 * idle.cpu_s[name] / DURATION_S, "%"),
    ]


class _Usage(NamedTuple):
    cpu_s: dict[str, float]
    loads: list[dict[str, Any]]


def _measure_usage(fleet: Fleet, function: Callable[[], Any]) -> _Usage:
    """Run a function; return its loads and the CPU time of each VM meanwhile."""
    before = {name: cpu_s(process.pid) for name, process in fleet.entries.items()}
    loads = function() or []
    after = {name: cpu_s(process.pid) for name, process in fleet.entries.items()}
    return _Usage({name: after[name] - before[name] for name in before}, loads)


def _saturate(port: int) -> list[dict[str, Any]]:
    loads = [
        start_load(port, 0, DURATION_S, connections=CONNECTIONS)
        for _ in range(LOAD_PROCESSES)
    ]
    return [finish_load(load) for load in loads]


def main() -> None:
    """Run the benchmark that the command line selects."""
    parser = ArgumentParser(description="Measure the CPU time of a point read.")
    parser.add_argument("part", choices=["callers", "fleet"])
    parser.add_argument("--profile", type=Path)
    arguments = parser.parse_args()
    if arguments.part == "callers":
        print_table(measure_callers(arguments.profile))
        return
    processes = Processes()
    with TemporaryDirectory(prefix="citronwood-bench-") as folder:
        try:
            print_table(measure_fleet(Fleet(processes, Path(folder), entries=3)))
        finally:
            processes.stop_all()


if __name__ == "__main__":
    sys.exit(main())
