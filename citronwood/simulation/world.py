"""What takes part in a run: VMs with the product's own process, and the models."""

import asyncio
import random
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from citronwood.platform import process
from citronwood.platform.nodefile import Address, NodeSettings
from citronwood.simulation.callers import Caller
from citronwood.simulation.history import Disturbance, History, new_history
from citronwood.simulation.loop import SimulatedLoop
from citronwood.simulation.machine import Machine
from citronwood.simulation.network import CLOUD_HOST, STORE_HOST, Network
from citronwood.simulation.plan import SERVERS, Plan
from citronwood.simulation.servers import Group, Server
from citronwood.simulation.store import Cloud, Store
from citronwood.simulation.substitutes import EPOCH_S

PLATFORM_PORT = 8466
CALLER_PORT, READY_PORT, INNER_PORT = 8465, 8460, 7560
SERVER_PORT = 8080
GROUP, DATABASE, KEY = "almsdb", "pledges", "key-1"
RESTART_S = 0.4
GRACE_S = 6.0
STORE_INTERVAL_S = 0.1


class World:
    """Machines, store, servers and callers of one run."""

    def __init__(self, plan: Plan, loop: SimulatedLoop) -> None:
        self.plan = plan
        self.loop = loop
        self.network: Network = loop.network
        self.random = random.Random(plan.seed)
        self.network.random = random.Random(plan.seed + 1)
        self.history: History = new_history()
        self.store = Store(random.Random(plan.seed + 2), loop.time)
        self.servers: dict[str, Server] = {}
        self.cloud = Cloud(self.servers, self.history, loop.time)
        self.group = Group(
            GROUP,
            plan.sync_replicas,
            self.network,
            self.history,
            self.store.write_server,
            lambda: int((EPOCH_S + loop.time()) * 1000),
        )
        self.vms = [
            Machine(f"front-{number}", f"10.1.0.{number}")
            for number in range(1, plan.vms + 1)
        ]
        self.stopping: set[str] = set()
        self.settings_version = 7
        self._tasks: list[asyncio.Task[Any]] = []

    async def run(self, until: float) -> None:
        """Start everything and let callers work until a time."""
        await self.store.start(STORE_HOST, PLATFORM_PORT)
        await self.cloud.start(CLOUD_HOST, PLATFORM_PORT)
        for number in range(SERVERS):
            server = self.add_server()
            server.is_primary = number == 0
            server.start(self.loop)
        self.write_configuration(self.plan.sync_replicas)
        for vm in self.vms:
            self.start_vm(vm)
        self.keep(self._maintain_store())
        callers = [
            Caller(
                number,
                DATABASE,
                KEY,
                self.open_addresses,
                self.history,
                random.Random(self.plan.seed * 1000 + number),
                self.loop.time,
            )
            for number in range(self.plan.callers)
        ]
        await asyncio.sleep(3.0)
        await asyncio.gather(*(caller.run(until) for caller in callers))

    def write_configuration(self, sync_replicas: int) -> None:
        """Write the operator's configuration."""
        self.settings_version += 3
        route = {
            "name": "r1",
            "host": DATABASE,
            "service": GROUP,
            "kind": "primary",
            "timeout_ms": 1000,
            "target_latency_ms": 400,
            "priority": 1,
            "allow_anonymous": False,
        }
        spec = {
            "version": self.settings_version,
            "routes": [route],
            "services": [
                {"name": GROUP, "max_conns": 124, "sync_replicas": sync_replicas}
            ],
            "limits": {"tx_idle_ms": 3000},
            "tenants": [
                {"name": "t1", "api_keys": [KEY], "rate_per_s": 10000, "burst": 10000}
            ],
        }
        self.store.write("config", "main", spec)

    def add_server(self) -> Server:
        """Return a new server of the group, which is not started."""
        number = len(self.servers)
        machine = Machine(f"server-{number}", f"10.2.0.{number + 1}")
        server = Server(self.group, f"i-{number}", machine, SERVER_PORT)
        self.group.servers.append(server)
        self.servers[server.id] = server
        return server

    def open_addresses(self) -> list[tuple[str, int]]:
        """Return the VMs to which the platform forwards new sessions."""
        return [
            (vm.host, CALLER_PORT)
            for vm in self.vms
            if vm.is_running and vm.name not in self.stopping
        ]

    def start_vm(self, vm: Machine) -> None:
        """Start the product's process on a VM."""
        settings = NodeSettings(
            name=vm.name,
            failure_domain="z1",
            callers=Address(vm.host, CALLER_PORT),
            readiness=Address(vm.host, READY_PORT),
            first_inner_port=INNER_PORT,
            store=Address(STORE_HOST, PLATFORM_PORT),
            promotions=Address(CLOUD_HOST, PLATFORM_PORT),
            grace_s=GRACE_S,
            processors=0.7,
            is_first_start=self.loop.time() == 0.0,
        )
        self.note_disturbance(vm.host)
        context = vm.start()
        self.stopping.discard(vm.name)
        run = process._run(settings, Path("settings"))
        self._tasks.append(self.loop.create_task(run, context=context))

    def kill_vm(self, vm: Machine) -> None:
        """End the process of a VM at once."""
        self.note_disturbance(vm.host)
        vm.end()
        self.network.end_process(vm)

    def note_disturbance(self, host: str, peer: str = "", for_s: float = 0.0) -> None:
        """Record that a machine, or its links to another host, are disturbed."""
        time = self.loop.time()
        self.history.disturbances.append(Disturbance(time, time + for_s, host, peer))

    def keep(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine beside the others until the end of the run."""
        self._tasks.append(self.loop.create_task(coroutine))

    async def _maintain_store(self) -> None:
        while True:
            await asyncio.sleep(STORE_INTERVAL_S)
            if not self.store.is_down:
                self.store.expire_entries()
                self.store.keep_copy()
