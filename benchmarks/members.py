"""Process that runs some VMs of a fleet: membership and configuration over sockets.

Usage: ``python -m benchmarks.members JSON`` with the fields of ``FleetPart``. Prints
JSON. CPU figures are process time, so that other load on the machine is not counted.
"""

import asyncio
import json
import sys
from pathlib import Path
from time import monotonic, process_time
from typing import Any, NamedTuple

import uvloop

from citronwood.config.distribution import ConfigDistributor, wait_until_in_force
from citronwood.config.model import Configuration
from citronwood.config.store import to_document
from citronwood.deadline import deadline_in
from citronwood.errors import PlatformUnavailableError
from citronwood.fleet.copies import ConfigurationCopies
from citronwood.fleet.membership import FleetMembership
from citronwood.inner.rpc import Rpc
from citronwood.metrics import Metrics
from citronwood.platform.api import VersionedObject, Vm

SECRET = b"secret of the benchmarks"
FIRST_VERSION = 1
IN_FORCE_LIMIT_S = 20.0


class FleetPart(NamedTuple):
    """VMs ``first`` to ``first + count - 1`` of a fleet of ``size``.

    VM number n listens on ``ports[n]``. Measuring starts at ``measure_at`` (system-wide
    monotonic clock, in seconds). From ``change_at`` on, the store returns the second
    version of the configuration.
    """

    size: int
    first: int
    count: int
    ports: list[int]
    measure_at: float
    change_at: float


class FixedPlatform:
    """Platform stub whose configuration changes once, at ``change_at``."""

    def __init__(self, part: FleetPart) -> None:
        self._part = part
        self._value = to_document(Configuration())

    async def get(self, kind: str, name: str, deadline: float) -> VersionedObject:
        """Return the configuration."""
        changed = monotonic() >= self._part.change_at
        return VersionedObject(self._value, FIRST_VERSION + changed)

    async def watch(
        self, kind: str, name: str, after_version: int, deadline: float
    ) -> VersionedObject | None:
        """Wait for the change."""
        end = min(deadline - 0.01, max(monotonic(), self._part.change_at))
        if after_version > FIRST_VERSION:
            end = deadline - 0.01
        await asyncio.sleep(max(0.0, end - monotonic()))
        current = await self.get(kind, name, deadline)
        return current if current.version > after_version else None

    async def list_vms(self, deadline: float) -> list[Vm]:
        """Return the whole fleet."""
        part = self._part
        return [
            Vm(f"vm{n}", _url(part, n), f"d{n % 9}", "live") for n in range(part.size)
        ]

    async def put(self, *arguments: Any) -> int:
        """Refuse the change."""
        raise PlatformUnavailableError("the benchmark's store is read-only")

    async def delete(self, *arguments: Any) -> None:
        """Refuse the change."""
        raise PlatformUnavailableError("the benchmark's store is read-only")


class _FleetVm:
    def __init__(self, part: FleetPart, number: int, platform: FixedPlatform) -> None:
        self.rpc = Rpc(f"vm{number}", SECRET, Metrics())
        self.rpc.start(_url(part, number))
        self.membership = FleetMembership(
            self.rpc,
            f"d{number % 9}",
            platform=platform,
            config_state=lambda: (self.config.version, self.config.validation_age_ms),
        )
        self.copies = ConfigurationCopies(self.rpc, self.membership)
        self.config = ConfigDistributor(
            platform, self.membership, Metrics(), self.copies.fetch
        )
        self.copies.serve(self.config)
        self.membership.on_heartbeat(self._on_heartbeat)
        self.in_force_at: float | None = None
        self.config.on_change(self._on_change)

    async def start(self) -> None:
        self.membership.start()
        await self.config.start(deadline_in(5))

    async def close(self) -> None:
        await self.config.stop()
        await self.membership.close()
        await self.rpc.close()

    def _on_heartbeat(self, caller: Any, heartbeat: Any) -> None:
        self.config.record_peer_validation(
            heartbeat.config_version, heartbeat.vouch_age_ms
        )
        if heartbeat.config_version > self.config.version:
            self.copies.fetch_soon(caller.url)

    def _on_change(self, config: Configuration) -> None:
        if config.version > FIRST_VERSION:
            self.in_force_at = monotonic()


def _url(part: FleetPart, number: int) -> str:
    return f"tcp://127.0.0.1:{part.ports[number]}"


def resident_kb() -> int:
    """Return the resident memory of this process."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    raise ValueError("the status of the process has no VmRSS line")


async def run_part(part: FleetPart) -> dict[str, Any]:
    """Run the VMs of this part and return what they measured together."""
    before_kb = resident_kb()
    platform = FixedPlatform(part)
    vms = [
        _FleetVm(part, number, platform)
        for number in range(part.first, part.first + part.count)
    ]
    await asyncio.gather(*(vm.start() for vm in vms))
    await asyncio.sleep(max(0.0, part.measure_at - monotonic()))
    started, cpu_s = monotonic(), process_time()
    frames, size = _count_sent(vms)
    received = sum(each_vm.rpc.transport.received_bytes for each_vm in vms)
    # The measurement ends before the change, whose costs it must not include.
    await asyncio.sleep(max(0.0, part.change_at - 0.2 - monotonic()))
    elapsed, cpu_s = monotonic() - started, process_time() - cpu_s
    frames_after, size_after = _count_sent(vms)
    received = sum(each_vm.rpc.transport.received_bytes for each_vm in vms) - received
    measured = {
        "elapsed_s": elapsed,
        "cpu_s": cpu_s,
        "frames": frames_after - frames,
        "sent_bytes": size_after - size,
        "received_bytes": received,
        "live": min(len(each_vm.membership.live) for each_vm in vms),
        "kb": resident_kb() - before_kb,
    }
    measured |= await _wait_in_force(part, vms)
    # Other processes may still be waiting for heartbeats of these VMs.
    await asyncio.sleep(2)
    await asyncio.gather(*(vm.close() for vm in vms))
    return measured


def _count_sent(vms: list[_FleetVm]) -> tuple[int, int]:
    """Return the frames and the bytes that these VMs have sent."""
    totals = [each_vm.rpc.transport.sent for each_vm in vms]
    return sum(total[0] for total in totals), sum(total[2] for total in totals)


async def _wait_in_force(part: FleetPart, vms: list[_FleetVm]) -> dict[str, Any]:
    """Return when the last VM applied the change and when one VM knew that all had."""
    end = part.change_at + IN_FORCE_LIMIT_S
    await wait_until_in_force(vms[0].membership, FIRST_VERSION + 1, end)
    confirmed = monotonic() - part.change_at
    in_force_times = [each_vm.in_force_at or end for each_vm in vms]
    return {
        "in_force_s": max(in_force_times) - part.change_at,
        "confirmed_s": confirmed,
    }


def main() -> None:
    """Run the part given on the command line."""
    part = FleetPart(**json.loads(sys.argv[1]))
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        print(json.dumps(runner.run(run_part(part))))


if __name__ == "__main__":
    main()
