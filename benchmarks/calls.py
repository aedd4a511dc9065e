"""Benchmark of calls between two processes through ``citronwood.inner.rpc``.

Usage: ``python -m benchmarks.calls``. CPU figures are process time, which other load on
the machine changes little; latencies are wall-clock time.
"""

import asyncio
import json
import subprocess
import sys
from time import monotonic, process_time
from typing import Any, NamedTuple

import uvloop

from benchmarks.report import Row, percentile, print_table
from citronwood.deadline import deadline_in
from citronwood.inner.rpc import Caller, Rpc
from citronwood.metrics import Metrics

SECRET = b"secret of the benchmarks"
CALLS_PER_S = 200.0
DURATION_S = 5.0
CONCURRENT_CALLERS = 16
BODY = b"x" * 150


class EchoRequest(NamedTuple):
    """Call whose body is about as large as a point read."""

    body: bytes


class EchoReply(NamedTuple):
    """Reply, with the CPU time that its process has used so far."""

    body: bytes
    cpu_s: float


def measure_calls() -> list[Row]:
    """Return the latency at a fixed rate, the throughput, and the CPU per call."""
    command = [sys.executable, "-m", "benchmarks.calls", "serve"]
    server = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        assert server.stdout is not None
        url = json.loads(server.stdout.readline())
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(_measure_all(url))
    finally:
        server.kill()
        server.wait()


async def _measure_all(url: str) -> list[Row]:
    rpc = Rpc("caller", SECRET, Metrics())
    rpc.start("tcp://127.0.0.1:0")
    await _call_at_fixed_rate(rpc, url, 0.5)
    rows = [
        *await _measure_load(
            rpc, url, f"{CALLS_PER_S:.0f} calls/s", _call_at_fixed_rate
        ),
        *await _measure_load(
            rpc, url, f"{CONCURRENT_CALLERS} callers", _call_continuously
        ),
    ]
    await rpc.close()
    return rows


async def _call(rpc: Rpc, url: str) -> EchoReply:
    return await rpc.call(url, EchoRequest(BODY), EchoReply, deadline_in(5))


async def _measure_load(rpc: Rpc, url: str, name: str, load: Any) -> list[Row]:
    callee_cpu = (await _call(rpc, url)).cpu_s
    started, caller_cpu = monotonic(), process_time()
    durations = await load(rpc, url, DURATION_S)
    elapsed, caller_cpu = monotonic() - started, process_time() - caller_cpu
    callee_cpu = (await _call(rpc, url)).cpu_s - callee_cpu
    count = len(durations)
    return [
        Row(f"{name}: p50", 1e3 * percentile(durations, 0.5), "ms"),
        Row(f"{name}: p99", 1e3 * percentile(durations, 0.99), "ms"),
        Row(f"{name}: calls", count / elapsed, "1/s"),
        Row(f"{name}: CPU of the caller for each call", 1e6 * caller_cpu / count, "us"),
        Row(f"{name}: CPU of the callee for each call", 1e6 * callee_cpu / count, "us"),
    ]


async def _call_at_fixed_rate(rpc: Rpc, url: str, seconds: float) -> list[float]:
    durations: list[float] = []

    async def timed_call() -> None:
        started = monotonic()
        await _call(rpc, url)
        durations.append(monotonic() - started)

    start = monotonic()
    async with asyncio.TaskGroup() as group:
        for number in range(int(CALLS_PER_S * seconds)):
            await asyncio.sleep(max(0.0, start + number / CALLS_PER_S - monotonic()))
            group.create_task(timed_call())
    return durations


async def _call_continuously(rpc: Rpc, url: str, seconds: float) -> list[float]:
    durations: list[float] = []
    end = monotonic() + seconds

    async def caller() -> None:
        while (started := monotonic()) < end:
            await _call(rpc, url)
            durations.append(monotonic() - started)

    await asyncio.gather(*(caller() for _ in range(CONCURRENT_CALLERS)))
    return durations


async def _serve() -> None:
    rpc = Rpc("callee", SECRET, Metrics())

    async def echo(request: EchoRequest, caller: Caller) -> EchoReply:
        return EchoReply(request.body, process_time())

    rpc.on_call(EchoRequest, echo)
    rpc.start("tcp://127.0.0.1:0")
    print(json.dumps(rpc.url), flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Run the benchmark, or serve calls as the second process."""
    if sys.argv[1:] == ["serve"]:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_serve())
    else:
        print_table(measure_calls())


if __name__ == "__main__":
    main()
