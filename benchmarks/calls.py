"""Cost of calls between two processes through ``citronwood.inner.rpc``.

Usage: ``python -m benchmarks.calls``. CPU is process time, so that
other work on the machine counts little; latency is wall-clock time.
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
RATE = 200.0
SECONDS = 5.0
CALLERS = 16
BODY = b"x" * 150


class Question(NamedTuple):
    """Call with a body of about the size of a point read."""

    body: bytes


class Solution(NamedTuple):
    """Answer, with the CPU time of the answering process so far."""

    body: bytes
    cpu_s: float


def measure_calls() -> list[Row]:
    """Return latency at a fixed rate and throughput, with CPU for each call."""
    command = [sys.executable, "-m", "benchmarks.calls", "serve"]
    server = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        assert server.stdout is not None
        url = json.loads(server.stdout.readline())
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(_measure(url))
    finally:
        server.kill()
        server.wait()


async def _measure(url: str) -> list[Row]:
    rpc = Rpc("caller", SECRET, Metrics())
    rpc.start("tcp://127.0.0.1:0")
    await _paced(rpc, url, 0.5)
    rows = [
        *await _rows(rpc, url, f"{RATE:.0f} calls/s", _paced),
        *await _rows(rpc, url, f"{CALLERS} callers", _unpaced),
    ]
    await rpc.close()
    return rows


async def _call(rpc: Rpc, url: str) -> Solution:
    return await rpc.call(url, Question(BODY), Solution, deadline_in(5))


async def _rows(rpc: Rpc, url: str, name: str, load: Any) -> list[Row]:
    other = (await _call(rpc, url)).cpu_s
    started, cpu = monotonic(), process_time()
    durations = await load(rpc, url, SECONDS)
    elapsed, cpu = monotonic() - started, process_time() - cpu
    other = (await _call(rpc, url)).cpu_s - other
    count = len(durations)
    return [
        Row(f"{name}: p50", 1e3 * percentile(durations, 0.5), "ms"),
        Row(f"{name}: p99", 1e3 * percentile(durations, 0.99), "ms"),
        Row(f"{name}: calls", count / elapsed, "1/s"),
        Row(f"{name}: CPU of the caller for each call", 1e6 * cpu / count, "us"),
        Row(f"{name}: CPU of the callee for each call", 1e6 * other / count, "us"),
    ]


async def _paced(rpc: Rpc, url: str, seconds: float) -> list[float]:
    durations: list[float] = []

    async def one() -> None:
        started = monotonic()
        await _call(rpc, url)
        durations.append(monotonic() - started)

    start = monotonic()
    async with asyncio.TaskGroup() as group:
        for number in range(int(RATE * seconds)):
            await asyncio.sleep(max(0.0, start + number / RATE - monotonic()))
            group.create_task(one())
    return durations


async def _unpaced(rpc: Rpc, url: str, seconds: float) -> list[float]:
    durations: list[float] = []
    end = monotonic() + seconds

    async def caller() -> None:
        while (started := monotonic()) < end:
            await _call(rpc, url)
            durations.append(monotonic() - started)

    await asyncio.gather(*(caller() for _ in range(CALLERS)))
    return durations


async def _serve() -> None:
    rpc = Rpc("callee", SECRET, Metrics())

    async def answer(question: Question, caller: Caller) -> Solution:
        return Solution(question.body, process_time())

    rpc.serve(Question, answer)
    rpc.start("tcp://127.0.0.1:0")
    print(json.dumps(rpc.url), flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Measure, or answer calls as the second process."""
    if sys.argv[1:] == ["serve"]:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_serve())
    else:
        print_table(measure_calls())


if __name__ == "__main__":
    main()
