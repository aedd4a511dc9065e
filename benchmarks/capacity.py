"""Growth of the fleet's own costs with its size, for docs/CAPACITY.md."""

import asyncio
import json
import selectors
import subprocess
import sys
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, process_time, thread_time
from typing import Any, cast
from unittest.mock import patch

from result import Ok

from benchmarks.fits import Slope, print_slopes
from benchmarks.limits import measure_limits
from benchmarks.members import FleetPart, resident_kb
from benchmarks.report import Row
from benchmarks.series import Recorder
from citronwood.backend.api import Column, Position, Reply, Request, StatementKind
from citronwood.backend.gateway import open_gateway
from citronwood.backend.host import Host
from citronwood.backend.remote import RemoteExecutor
from citronwood.backend.service import ExecutorService
from citronwood.config.api import FixedConfig
from citronwood.config.model import Account, Configuration, Group, Member, Route
from citronwood.deadline import deadline_in
from citronwood.fleet.membership import HEARTBEAT_INTERVAL_S
from citronwood.fleet.placement import (
    GatewayChoice,
    choose_gateways,
    choose_ledgers,
)
from citronwood.inner.messages import LendShares, TokenGrants, VmState
from citronwood.limits import limiter as limiter_module
from citronwood.limits.ledger import Ledger
from citronwood.limits.limiter import EXCHANGE_INTERVAL_S, FleetLimiter
from citronwood.limits.shares import Demand, Slot, VmShares
from citronwood.metrics import Metrics
from citronwood.operator.records import Records
from tests.fleet_helpers import rpcs
from tests.group_cluster import LOGIN, Cluster
from tests.processes import Processes, free_port

TARGET_VMS = 620
TARGET_GROUPS = 940
CHANGED_VMS = 10
FLEET_SIZES = (18, 36, 72, 150)
VMS_PER_PROCESS = 6
SHORT_FLEET_SIZE = 18
STARTUP_S = 4.0
MEASURE_S = 6.0
STATEMENTS = 3000
# Long enough for two exchanges: idle VMs call each ledger every 30 s.
IDLE_MEASURE_S = 60.0
SAMPLED_VMS = 4


def measure_capacity() -> list[Row]:
    """Measure and print all slopes, which have no bounds."""
    slopes = [
        *measure_placement(),
        *measure_ledger(),
        measure_exchanges(),
        *measure_configuration(),
        *measure_gateways(),
        *measure_membership(FLEET_SIZES),
    ]
    rows = [Row("CPU of a forwarded statement, both VMs", measure_forwarding(), "us")]
    print_slopes(slopes, VMs=TARGET_VMS, groups=TARGET_GROUPS, slots=TARGET_VMS)
    return rows


def measure_short() -> list[Row]:
    """Return ratios and counts that do not depend on the machine's speed."""
    results = _run_fleet(SHORT_FLEET_SIZE)
    sent = results["membership: messages sent per VM"] * HEARTBEAT_INTERVAL_S
    limits = {row.measure: row for row in measure_limits(Recorder(), seconds=3.0)}
    size = len(make_configuration(TARGET_GROUPS).model_dump_json())
    return [
        Row("VMs that see the whole fleet as live", results["live"], "VMs",
            SHORT_FLEET_SIZE, at_most=False),
        Row("messages sent per heartbeat", sent, "messages", 3.0),
        Row("size of 940 groups, of the store's largest value", size / 1e4, "%", 100),
        limits["requests above burst + rate * W in any window"],
        limits["worst-served account, of its entitlement"]._replace(bound=None),
        limits["requests refused wrongly"]._replace(bound=None),
        limits["wait of accounts within their rate, p99"],
    ]  # fmt: skip


def measure_membership(sizes: tuple[int, ...]) -> list[Slope]:
    """Return the costs of membership per VM and how fast a configuration spreads."""
    by_size = {size: _run_fleet(size) for size in sizes}
    for size, result in by_size.items():
        assert result["live"] == size, f"{result['live']} of {size} VMs were live"
    names = {
        "membership: messages sent per VM": "1/s",
        "membership: bytes sent and received per VM": "B/s",
        "membership: CPU per VM": "% of a core",
        "membership: memory per VM": "KB",
        "configuration: last VM in force": "s",
        "configuration: in force known at one VM": "s",
    }
    return [
        Slope(name, unit, "VMs", [(s, result[name]) for s, result in by_size.items()])
        for name, unit in names.items()
    ]


def _run_fleet(size: int) -> dict[str, float]:
    # Beside other test runs, a quarter of all ports may be in the state TIME_WAIT, so
    # that no range of many consecutive ports is free.
    ports = [free_port() for _ in range(size)]
    # Starting the processes of 150 VMs keeps 10 cores busy for about 10 s, so measuring
    # starts 0.1 s later for each VM.
    start = monotonic() + STARTUP_S + size / 10
    commands = []
    for first in range(0, size, VMS_PER_PROCESS):
        count = min(VMS_PER_PROCESS, size - first)
        part = FleetPart(size, first, count, ports, start, start + MEASURE_S)
        text = json.dumps(part._asdict())
        commands.append([sys.executable, "-m", "benchmarks.members", text])
    running = [
        subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        for command in commands
    ]
    try:
        parts = [json.loads(process.communicate(timeout=60)[0]) for process in running]
    finally:
        for process in running:
            process.kill()
    total = {key: sum(totals[key] for totals in parts) for key in parts[0]}
    seconds = total["elapsed_s"] / len(parts)
    traffic = total["sent_bytes"] + total["received_bytes"]
    return {
        "membership: messages sent per VM": total["frames"] / seconds / size,
        "membership: bytes sent and received per VM": traffic / seconds / size,
        "membership: CPU per VM": 100 * total["cpu_s"] / seconds / size,
        "membership: memory per VM": total["kb"] / size,
        "configuration: last VM in force": max(
            totals["in_force_s"] for totals in parts
        ),
        "configuration: in force known at one VM": parts[0]["confirmed_s"],
        "live": min(totals["live"] for totals in parts),
    }


def make_vms(count: int) -> list[VmState]:
    """Return live VMs in nine failure domains."""
    return [
        VmState(f"vm{n}", 1, 1, f"tcp://127.0.0.1:{n}", f"d{n % 9}", "live", 0)
        for n in range(count)
    ]


def measure_placement() -> list[Slope]:
    """Return the CPU of choosing gateways and ledgers by fleet size."""
    gateways, ledgers, changes = [], [], []
    for size in (18, 72, 150, 300, TARGET_VMS):
        vms = make_vms(size)
        gateways.append((size, _cpu_us(partial(_choose_gateways_of, vms), 200)))
        ledgers.append((size, _cpu_us(partial(_choose_ledgers_of, vms), 200)))
        changes.append((size, _membership_change_ms(vms)))
    return [
        Slope("placement: CPU of choose_gateways", "us", "VMs", gateways),
        Slope("placement: CPU of choose_ledgers", "us", "VMs", ledgers),
        Slope("placement: CPU of a VM that joins or leaves", "ms", "VMs", changes),
    ]


class _StaticMembership:
    def __init__(self, vms: list[VmState]) -> None:
        self.live = tuple(vms)


def _membership_change_ms(vms: list[VmState]) -> float:
    """Return the CPU in ms to choose all gateways again after a VM joined or left."""
    fleet = _StaticMembership(vms)
    choice = GatewayChoice(cast(Any, fleet))
    groups, cpu_s = [f"g{number}" for number in range(TARGET_GROUPS)], 0.0
    memberships = [fleet.live]
    for number in range(CHANGED_VMS):
        memberships += [tuple(vms[:number] + vms[number + 1 :]), tuple(vms)]
    # The first membership fills the cache of the choice and is not measured.
    for index, live in enumerate(memberships):
        fleet.live = live
        started = thread_time()
        for group in groups:
            choice.gateways(group)
        cpu_s += (thread_time() - started) * (index > 0)
    return 1e3 * cpu_s / (len(memberships) - 1)


def _choose_gateways_of(vms: list[VmState], number: int) -> None:
    choose_gateways(f"g{number}", vms)


def _choose_ledgers_of(vms: list[VmState], number: int) -> None:
    choose_ledgers(f"a{number}", vms)


def _cpu_us(function: Any, repeats: int) -> float:
    started = thread_time()
    for number in range(repeats):
        function(number)
    return 1e6 * (thread_time() - started) / repeats


def measure_ledger() -> list[Slope]:
    """Return the CPU of a ledger per exchange, without the transport."""
    by_slots = [(slots, _exchange_us(8, slots)) for slots in (18, 72, 150, 300, 620)]
    by_accounts = [(count, _exchange_us(count, 18)) for count in (1, 8, 32, 128)]
    return [
        Slope("ledger: CPU of an exchange, 8 accounts", "us", "slots", by_slots),
        Slope("ledger: CPU of an exchange, 18 slots", "us", "accounts", by_accounts),
    ]


def _exchange_us(accounts: int, slots: int) -> float:
    names = [f"a{n}" for n in range(accounts)]
    config = Configuration(
        share_slots=slots,
        accounts={name: Account(rate=1000, burst=2000) for name in names},
    )
    ledger = Ledger(lambda: config)
    vms = []
    for number in range(slots):
        vm = VmShares(lambda: config)
        vm.use_slot(Slot(number, number + 1, (slots,)), 0.0)
        vms.append(vm)
    demand = Demand(dict.fromkeys(names, 1), {})
    cpu_s = 0.0
    # The first three rounds establish the stamp and the delegation (see
    # citronwood/limits/shares.py) and are not measured.
    for round_number in range(6):
        # Rounds follow each other at the limiter's interval, because an exchange with
        # an older stamp delegates nothing.
        now = 1000.0 + round_number * EXCHANGE_INTERVAL_S
        for number, vm in enumerate(vms):
            message = vm.compose("l", names, demand, now)
            started = thread_time()
            answer = ledger.handle(f"vm{number}", message, now)
            cpu_s += (thread_time() - started) * (round_number >= 3)
            vm.apply("l", message, answer, now)
            assert round_number != 3 or answer.granted, "the exchange granted no tokens"
    return 1e6 * cpu_s / (3 * slots)


class _VirtualClockSelector(selectors.SelectSelector):
    """Selector that advances a virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def time(self) -> float:
        """Return the virtual time."""
        return self.now

    def select(self, timeout: float | None = None) -> Any:
        """Return the ready files and advance the clock by the timeout."""
        self.now += timeout or 0.0
        return super().select(0)

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """Return an event loop that uses the virtual clock."""
        loop = asyncio.SelectorEventLoop(self)
        loop.time = self.time  # type: ignore[method-assign]
        return loop


class _CountingRpc:
    """RPC stub that counts calls and answers as a ledger without tokens."""

    def __init__(self, clock: _VirtualClockSelector) -> None:
        self._clock = clock
        self.calls = 0

    def on_call(self, message_type: type, handler: Any) -> None:
        """Accept the handler, which is never called."""

    on_notification = on_call

    async def call(self, url: str, message: LendShares, *_: Any) -> TokenGrants:
        """Count the call and grant nothing."""
        self.calls += 1
        stamp_us = int(self._clock.now * 1e6)
        return TokenGrants(ledger_epoch=1, stamp_us=stamp_us, granted={}, retry_ms={})


def measure_exchanges() -> Slope:
    """Return the exchanges per VM of a fleet without clients, in virtual time."""
    points: list[tuple[float, float]] = []
    for size in (18, 72, 150, 300, TARGET_VMS):
        numbers = range(0, size, size // SAMPLED_VMS)
        rates = [_idle_exchange_rate(size, number) for number in numbers]
        points.append((size, sum(rates) / len(rates)))
    return Slope("limiter: exchanges per VM, 940 accounts", "1/s", "VMs", points)


def _idle_exchange_rate(size: int, number: int) -> float:
    clock = _VirtualClockSelector()
    with (
        patch.object(limiter_module, "monotonic", clock.time),
        asyncio.Runner(loop_factory=clock.new_event_loop) as runner,
    ):
        return runner.run(_measure_idle_vm(clock, size, number))


async def _measure_idle_vm(
    clock: _VirtualClockSelector, size: int, number: int
) -> float:
    rpc, fleet = _CountingRpc(clock), _StaticMembership(make_vms(size))
    accounts = make_configuration(TARGET_GROUPS).accounts
    config = FixedConfig(Configuration(share_slots=size, accounts=accounts))
    limiter = FleetLimiter(
        cast(Any, rpc), config, cast(Any, fleet), Metrics(), Records()
    )
    limiter.shares.use_slot(Slot(number, 1, (size,)), clock.now)
    limiter.start()
    await asyncio.sleep(STARTUP_S)
    before = rpc.calls
    await asyncio.sleep(IDLE_MEASURE_S)
    await limiter.close()
    return (rpc.calls - before) / IDLE_MEASURE_S


def measure_configuration() -> list[Slope]:
    """Return the size and parsing time of a configuration by number of groups."""
    sizes, times = [], []
    for groups in (18, 94, 300, TARGET_GROUPS):
        text = make_configuration(groups).model_dump_json()
        sizes.append((groups, len(text) / 1000))
        parse = _cpu_us(lambda _, t=text: Configuration.model_validate_json(t), 10)
        times.append((groups, parse / 1000))
    return [
        Slope("configuration: size", "KB", "groups", sizes),
        Slope("configuration: CPU to parse", "ms", "groups", times),
    ]


def make_configuration(groups: int) -> Configuration:
    """Return a configuration of groups with three members, a route and an account."""
    names = [f"group-{n:04}" for n in range(groups)]
    members = {
        f"member-{n}": Member(host="10.0.0.1", port=3306, failure_domain=f"domain-{n}")
        for n in range(3)
    }
    keys = {"key-1": "0" * 40}
    return Configuration(
        version=1,
        accounts={name: Account(rate=100, burst=200, keys=keys) for name in names},
        groups={name: Group(database=name, members=members) for name in names},
        routes={name: Route(group=name, accounts=(name,)) for name in names},
    )


def measure_gateways(counts: tuple[int, ...] = (1, 5, 10, 20)) -> list[Slope]:
    """Return the CPU and memory of idle gateways that share the same members."""
    processes = Processes()
    try:
        with TemporaryDirectory(prefix="citronwood-bench-") as folder:
            cluster = Cluster(processes, Path(folder), "--max-connections", 500)
            measured = [
                (n, *asyncio.run(_measure_idle_gateways(cluster, n))) for n in counts
            ]
    finally:
        processes.stop_all()
    return [
        Slope(
            "gateway: CPU at rest", "% of a core", "gateways", [m[:2] for m in measured]
        ),
        Slope("gateway: memory", "KB", "gateways", [(m[0], m[2]) for m in measured]),
    ]


async def _measure_idle_gateways(cluster: Cluster, count: int) -> tuple[float, float]:
    before_kb = resident_kb()
    # One group name per gateway, because at most SEATS_PER_MEMBER gateways of a group
    # can use a member (see citronwood/backend/seats.py).
    host = Host("vm1", LOGIN, lambda: 0, Records(), Metrics())
    gateways = [
        open_gateway(f"g{number}", cluster.group, host) for number in range(count)
    ]
    for opened in gateways:
        opened.start()
    await asyncio.sleep(2)
    assert all(opened.view.live_primary is not None for opened in gateways)
    started, cpu = monotonic(), process_time()
    await asyncio.sleep(4)
    cpu_percent = 100 * (process_time() - cpu) / (monotonic() - started)
    used_kb = float(resident_kb() - before_kb)
    await asyncio.gather(*(opened.stop(deadline_in(0.5)) for opened in gateways))
    return cpu_percent, used_kb


class _OneRowExecutor:
    """Executor that immediately returns one row."""

    async def execute(self, request: Request) -> Any:
        return Ok(
            Reply(
                columns=(Column("household", 253, False),),
                rows=self._rows(),
                affected_rows=0,
                last_insert_id=0,
                position=Position(1, 1),
                in_transaction=False,
                served_by="m1",
                replica=True,
            )
        )

    async def _rows(self) -> Any:
        yield [(b"household",)]

    async def end_session(self, session_id: str) -> None:
        return None


def measure_forwarding() -> float:
    """Return the CPU in microseconds per forwarded statement, for both VMs."""
    return asyncio.run(_measure_forwarding_us())


async def _measure_forwarding_us() -> float:
    request = Request(
        session_id="s1",
        account="a",
        route="r",
        group="g",
        sql="SELECT household FROM pledges WHERE id = 7",
        kind=StatementKind.READ,
        floor=Position(1, 1),
        max_age_ms=None,
        idempotency_key=None,
        in_transaction=False,
        deadline=deadline_in(60),
    )
    async with rpcs("entry", "gateway") as (entry, gateway):
        service = ExecutorService(gateway, _OneRowExecutor())
        remote = RemoteExecutor(entry, gateway.url)

        async def send() -> None:
            for _ in range(STATEMENTS // 10):
                reply = (await remote.execute(request)).ok_value
                assert [row async for batch in reply.rows for row in batch]

        await send()
        started = process_time()
        await asyncio.gather(*(send() for _ in range(10)))
        cpu_s = process_time() - started
        await service.close()
    return 1e6 * cpu_s / STATEMENTS
