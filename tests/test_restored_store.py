"""Processes of the relay while the store is restored from a copy some seconds old."""

import asyncio
import time
from contextlib import asynccontextmanager

import pytest
from aiohttp import web

from tests.fleet_helpers import eventually
from tests.relay_standins import Caller, StoreServer, configuration
from tests.soak import KEY, RECOVERY_TIMEOUT_S, SoakGroup, Vm, are_tokens_in_order

pytestmark = pytest.mark.realtime

VMS = 3
START_TIMEOUT_S = 20.0
# How long the store is away before it comes back from the copy.
AWAY_S = 1.0


class Fleet:
    """VMs as processes, with stand-ins of the store and of the servers of one group."""

    def __init__(self, store, group, vms):
        self.store = store
        self.group = group
        self.vms = vms

    @property
    def state(self):
        """The fleet's state in the store."""
        stored = self.store.objects.get("citronwood-fleet", {}).get("state")
        return {"leader": "", "renewal": ""} if stored is None else stored.value

    @property
    def leader(self):
        """VM that the fleet's state names as leader; None without one."""
        return next((vm for vm in self.vms if vm.name == self.state["leader"]), None)

    @property
    def primary(self):
        return next(server for server in self.group.servers if server.is_primary)

    async def kill(self, vm):
        vm.process.kill()
        await asyncio.get_running_loop().run_in_executor(None, vm.process.wait)

    async def replace_leader(self):
        """Kill the leader, wait for the next one, and start the VM again."""
        former = self.leader
        await self.kill(former)
        await eventually(lambda: self.leader not in (former, None), START_TIMEOUT_S)
        former.start()
        await self.wait_until_served([former], START_TIMEOUT_S)

    async def restore(self, copy):
        """Let the store be away and come back from a copy."""
        self.store.unavailable = True
        await asyncio.sleep(AWAY_S)
        self.store.restore(copy)
        self.store.unavailable = False

    async def replace_primary(self):
        """Let the primary drain until another server is promoted."""
        former, count = self.primary, len(self.group.promotions)
        entry = self.store.objects["servers"][former.id].value
        draining = {**entry, "state": "draining"}
        self.store.put_directly("servers", former.id, draining)
        await eventually(
            lambda: len(self.group.promotions) > count and not former.is_primary,
            START_TIMEOUT_S,
        )
        self.store.put_directly("servers", former.id, entry)

    async def wait_for_renewals(self, timeout_s):
        """Wait until a leader has renewed the state twice."""
        async with asyncio.timeout(timeout_s):
            for _ in range(2):
                renewal = self.state["renewal"]
                await eventually(
                    lambda seen=renewal: self.state["renewal"] != seen, timeout_s
                )

    async def wait_until_served(self, vms, timeout_s):
        """Wait until each VM serves a write at the primary."""
        async with asyncio.timeout(timeout_s):
            for vm in vms:
                while not await _serves_write(vm):  # noqa: ASYNC110
                    await asyncio.sleep(0.05)


async def _serves_write(vm):
    try:
        async with asyncio.timeout(3.0):
            caller = await Caller.connect(vm.port, "desk", KEY, vm.host)
            lines, _ = await caller.execute(f"WRITE x {time.monotonic()}")
            caller.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return False
    return lines[-1].startswith("DONE")


@asynccontextmanager
async def running_fleet(folder):
    async with StoreServer() as server, SoakGroup("orders") as group:
        application = web.Application()
        application.router.add_post("/promote", group.on_promote)
        runner = web.AppRunner(application, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        promote_port = site._server.sockets[0].getsockname()[1]
        spec = configuration(kind="primary", keys=(KEY,))
        spec["routes"][0]["host"] = "desk"
        server.store.put_directly("config", "main", spec)
        group.register(server.store)
        store_port = int(server.address.split(":")[1])
        vms = [Vm(number, folder, store_port, promote_port) for number in range(VMS)]
        fleet = Fleet(server.store, group, vms)
        try:
            for vm in vms:
                vm.start()
            await fleet.wait_until_served(vms, START_TIMEOUT_S)
            yield fleet
        finally:
            for vm in vms:
                vm.close()
            for proxy in group.proxies.values():
                proxy.close()
            await runner.cleanup()


def test_fleet_has_a_leader_after_the_store_has_forgotten_a_take_over(tmp_path):
    async def scenario():
        async with running_fleet(tmp_path) as fleet:
            copy = fleet.store.copy()
            await fleet.replace_leader()
            await fleet.restore(copy)
            await fleet.wait_for_renewals(RECOVERY_TIMEOUT_S)
            await fleet.wait_until_served(fleet.vms, RECOVERY_TIMEOUT_S)

    asyncio.run(scenario())


def test_fencing_token_of_a_forgotten_leader_is_not_used_again(tmp_path):
    async def scenario():
        async with running_fleet(tmp_path) as fleet:
            copy = fleet.store.copy()
            await fleet.replace_leader()
            await fleet.replace_primary()
            holder = fleet.leader
            await fleet.restore(copy)
            # A process that has seen nothing newer accepts the copy.
            other = next(vm for vm in fleet.vms if vm is not holder)
            await fleet.kill(holder)
            await fleet.kill(other)
            other.start()
            await fleet.wait_for_renewals(START_TIMEOUT_S)
            await fleet.replace_primary()
            assert are_tokens_in_order(fleet.group.promotions)
            assert len({name for name, _ in fleet.group.promotions}) > 1

    asyncio.run(scenario())
