"""Processes of the relay while the store is restored from a copy some seconds old."""

import asyncio
import signal
import time
from contextlib import asynccontextmanager, suppress

from aiohttp import web

from tests.fleet_helpers import eventually
from tests.relay_standins import Caller, StoreServer, configuration
from tests.soak import (
    KEY,
    RECOVERY_TIMEOUT_S,
    SoakGroup,
    Vm,
    are_tokens_in_order,
    serves_write,
)

VMS = 3
START_TIMEOUT_S = 20.0
# How long the store is away before it comes back from the copy.
AWAY_S = 1.0
# The same if two such times together are shorter than a leader's lease.
SHORTLY_AWAY_S = 0.3


class Fleet:
    """VMs as processes, with stand-ins of the store and of the servers of one group."""

    def __init__(self, store, group, vms):
        self.store = store
        self.group = group
        self.vms = vms
        # Called right after the next promotion has taken effect.
        self.on_next_promotion = None

    async def promote(self, request):
        """Promote a server; stands in for the platform's call."""
        response = await self.group.on_promote(request)
        if self.on_next_promotion is not None:
            call, self.on_next_promotion = self.on_next_promotion, None
            call()
        return response

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
    def primaries(self):
        return [server for server in self.group.servers if server.is_primary]

    @property
    def primary(self):
        return self.primaries[0]

    @property
    def has_one_primary(self):
        """Whether the state names the only primary, without a change in progress."""
        named = self.state.get("groups", {}).get(self.group.name, {"changing": True})
        return not named["changing"] and (
            [named["primary"]] == [server.id for server in self.primaries]
        )

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

    async def restore(self, copy, away_s=AWAY_S):
        """Let the store be away and come back from a copy."""
        self.store.unavailable = True
        await asyncio.sleep(away_s)
        self.store.restore(copy)
        self.store.unavailable = False

    async def replace_primary(self):
        """Let the primary drain until another server is promoted."""
        former = self.primary
        self.set_draining(former, True)
        await eventually(
            lambda: not former.is_primary and self.has_one_primary, START_TIMEOUT_S
        )
        self.set_draining(former, False)

    def set_draining(self, server, is_draining):
        """Write a server's entry, with which it says whether it is about to leave."""
        server.is_draining = is_draining
        self.group.write_entry(server, self.store)

    async def begin_promotion(self):
        """Let the primary drain until its successor was promoted."""
        promoted = asyncio.Event()
        self.on_next_promotion = promoted.set
        self.set_draining(self.primary, True)
        await asyncio.wait_for(promoted.wait(), START_TIMEOUT_S)

    async def wait_for_primary_other_than(self, former):
        """Wait until the state names another server, which leads alone."""
        await eventually(
            lambda: self.has_one_primary and not former.is_primary, RECOVERY_TIMEOUT_S
        )

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
                while not await serves_write(vm, KEY, time.monotonic()):  # noqa: ASYNC110
                    await asyncio.sleep(0.05)


class Writer:
    """Caller that writes on one VM all the time."""

    def __init__(self, vm):
        self._vm = vm
        # Values of the writes that were acknowledged.
        self.acknowledged = []
        self._task = asyncio.create_task(self._run())

    async def stop(self):
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self):
        while True:
            with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(3.0):
                    caller = await Caller.connect(
                        self._vm.port, "desk", KEY, self._vm.host
                    )
                try:
                    await self._write(caller)
                finally:
                    caller.close()
            await asyncio.sleep(0.05)

    async def _write(self, caller):
        while True:
            value = f"{self._vm.name}-{time.monotonic()}"
            async with asyncio.timeout(3.0):
                lines, _ = await caller.execute(f"WRITE {self._vm.name} {value}")
            if lines[-1].startswith("DONE"):
                self.acknowledged.append(value)
            await asyncio.sleep(0.01)


@asynccontextmanager
async def writers(fleet):
    """Write on all VMs; then check that no write was acknowledged and is lost."""
    running = [Writer(vm) for vm in fleet.vms]
    try:
        yield running
    finally:
        for writer in running:
            await writer.stop()
    stored = {value for _, value in fleet.group.writes}
    acknowledged = {value for writer in running for value in writer.acknowledged}
    assert acknowledged - stored == set()
    assert are_tokens_in_order(fleet.group.promotions)


@asynccontextmanager
async def running_fleet(folder, started=VMS):
    """Run the first VMs, and after them those that the test starts."""
    async with StoreServer() as server, SoakGroup("orders") as group:
        fleet = Fleet(server.store, group, [])
        application = web.Application()
        application.router.add_post("/promote", fleet.promote)
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
        fleet.vms = [
            Vm(number, folder, store_port, promote_port) for number in range(VMS)
        ]
        try:
            for vm in fleet.vms[:started]:
                vm.start()
            await fleet.wait_until_served(fleet.vms[:started], START_TIMEOUT_S)
            yield fleet
        finally:
            for vm in fleet.vms:
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


def test_change_of_primary_that_the_store_has_forgotten_loses_no_write(tmp_path):
    async def scenario():
        async with running_fleet(tmp_path) as fleet, writers(fleet):
            copy, former = fleet.store.copy(), fleet.primary
            await fleet.begin_promotion()
            await fleet.restore(copy)
            await fleet.wait_for_primary_other_than(former)
            await fleet.wait_until_served(fleet.vms, RECOVERY_TIMEOUT_S)

    asyncio.run(scenario())


def test_leader_that_was_paused_in_a_forgotten_change_does_not_act_again(tmp_path):
    async def scenario():
        async with running_fleet(tmp_path) as fleet, writers(fleet):
            copy, leader, former = fleet.store.copy(), fleet.leader, fleet.primary
            await fleet.begin_promotion()
            leader.signal(signal.SIGSTOP)
            await fleet.restore(copy)
            others = [vm for vm in fleet.vms if vm is not leader]
            await fleet.wait_until_served(others, RECOVERY_TIMEOUT_S)
            leader.signal(signal.SIGCONT)
            await fleet.wait_until_served([leader], RECOVERY_TIMEOUT_S)
            await fleet.wait_for_primary_other_than(former)

    asyncio.run(scenario())


def test_vm_that_the_second_older_copy_lacks_writes_at_no_old_primary(tmp_path):
    async def scenario():
        async with running_fleet(tmp_path, started=VMS - 1) as fleet:
            older, unlisted = fleet.store.copy(), fleet.vms[-1]
            unlisted.start()
            await fleet.wait_until_served([unlisted], START_TIMEOUT_S)
            newer = fleet.store.copy()
            async with writers(fleet):
                # The VM cannot register again, and learns nothing from the store.
                unlisted.store.cut()
                former = fleet.primary
                # Only the lease then keeps the VM from writing there.
                former.fails_to_step_down = True
                await fleet.restore(newer, SHORTLY_AWAY_S)
                await fleet.restore(older, SHORTLY_AWAY_S)
                assert unlisted.name not in fleet.store.objects["citronwood-vms"]
                fleet.set_draining(former, True)
                await fleet.wait_for_primary_other_than(former)
                unlisted.store.heal()
                await fleet.wait_until_served(fleet.vms, RECOVERY_TIMEOUT_S)
            assert unlisted.name in fleet.store.objects["citronwood-vms"]

    asyncio.run(scenario())
