"""Troubles of a run, each after a sentence of the users' pages."""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from typing import Any

from citronwood.relay.leadership import STATE_KIND, STATE_NAME
from citronwood.simulation.machine import Machine
from citronwood.simulation.network import CLOUD_HOST, OUTSIDE, STORE_HOST, Connection
from citronwood.simulation.plan import Trouble
from citronwood.simulation.servers import HEARTBEAT_S, Server
from citronwood.simulation.world import GROUP, World

Action = Callable[[World, Trouble], Coroutine[Any, Any, None]]

# A drill restores a copy that is 0.5 s to 8 s old.
COPY_AGE_STEP_S = 0.5
COPY_AGES = 16
# Time until the operator writes the configuration again that a restore has lost.
OPERATOR_DELAY_S = 0.5

FOREIGN_TEXTS = (
    '{"meta": {"name": "x-1", "revision": 9}, "spec": {"zone": "z \\ud83c"}}',
    '{"meta": {"name": "x-1", "revision": 9}, "spec": "\\x"}',
    "{}",
)
FOREIGN_SPECS: tuple[dict[str, Any], ...] = (
    {"address": "a" * 64 + ":8080"},
    {"address": "10.2.0.1:99999"},
    {"service": "almsdb\r\nQUERY 1 WRITE x 1"},
    {"state": "resting"},
    {"db_role": 5},
    {"slots": 2**70},
)
MALFORMED_ENTRY = {
    "service": GROUP,
    "address": "10.2.0.1:8080",
    "zone": "z1",
    "state": "ready",
    "db_role": "replica",
    "slots": 5,
    "born": 1,
}


async def apply_trouble(world: World, trouble: Trouble) -> None:
    """Apply a trouble when its time has come, and end it after its duration."""
    await asyncio.sleep(max(0.0, trouble.at - world.loop.time()))
    await ACTIONS[trouble.kind](world, trouble)


def _vm(world: World, trouble: Trouble) -> Machine | None:
    running = [vm for vm in world.vms if vm.is_running and not vm.is_paused]
    return running[trouble.target % len(running)] if running else None


def _server(world: World, trouble: Trouble, is_primary: bool | None) -> Server | None:
    servers = [
        server
        for server in world.group.running()
        if is_primary is None or server.is_primary == is_primary
    ]
    return servers[trouble.target % len(servers)] if servers else None


def _leader(world: World) -> Machine | None:
    """Return the VM that the newest content of the store names as leader."""
    state = world.store.objects.get(STATE_KIND, {}).get(STATE_NAME)
    name = None if state is None else state["spec"]["leader"]
    running = [vm for vm in world.vms if vm.is_running and not vm.is_paused]
    return next((vm for vm in running if vm.name == name), None)


async def _kill(world: World, vm: Machine | None, trouble: Trouble) -> None:
    if vm is not None:
        world.kill_vm(vm)
        await asyncio.sleep(trouble.for_s)
        if not vm.is_running:
            world.start_vm(vm)


async def _kill_vm(world: World, trouble: Trouble) -> None:
    """Kill single processes."""
    await _kill(world, _vm(world, trouble), trouble)


async def _kill_leader(world: World, trouble: Trouble) -> None:
    """Kill the process of the leader."""
    await _kill(world, _leader(world), trouble)


async def _kill_all_vms(world: World, trouble: Trouble) -> None:
    """Kill many processes at the same moment."""
    killed = [vm for vm in world.vms if vm.is_running]
    for vm in killed:
        world.kill_vm(vm)
    await asyncio.sleep(trouble.for_s)
    for vm in killed:
        if not vm.is_running:
            world.start_vm(vm)


async def _pause(world: World, vm: Machine | None, trouble: Trouble) -> None:
    if vm is not None:
        process = vm.process
        vm.is_paused = True
        world.note_disturbance(vm.host, for_s=trouble.for_s)
        await asyncio.sleep(trouble.for_s)
        if vm.is_running and vm.process == process:
            vm.resume()


async def _pause_vm(world: World, trouble: Trouble) -> None:
    """Freeze a machine, which wakes again."""
    await _pause(world, _vm(world, trouble), trouble)


async def _pause_leader(world: World, trouble: Trouble) -> None:
    """Freeze the machine of the leader, which wakes again."""
    await _pause(world, _leader(world), trouble)


async def _stop_vm(world: World, trouble: Trouble) -> None:
    """Stop a machine by plan and start it again."""
    vm = _vm(world, trouble)
    if vm is None or signal.SIGTERM not in vm.signal_handlers:
        return
    process = vm.process
    world.note_disturbance(vm.host)
    vm.signal_handlers[signal.SIGTERM]()
    # The platform notices after two questions, a second apart.
    await asyncio.sleep(2.0)
    world.stopping.add(vm.name)
    await asyncio.sleep(4.5)
    if vm.process == process:
        world.kill_vm(vm)
        await asyncio.sleep(trouble.for_s)
        if not vm.is_running:
            world.start_vm(vm)


async def _step_clock(world: World, trouble: Trouble) -> None:
    """Let the time of day of a machine differ."""
    vm = _vm(world, trouble)
    if vm is not None:
        world.note_disturbance(vm.host)
        vm.clock_offset_s += (trouble.variant % 41) - 20.0


async def _store_down(world: World, trouble: Trouble) -> None:
    """Let the platform's store be down."""
    world.note_disturbance(STORE_HOST, for_s=trouble.for_s)
    world.store.is_down = True
    await asyncio.sleep(trouble.for_s)
    world.store.is_down = False


async def _store_loses(world: World, trouble: Trouble) -> None:
    """Let answers of the platform's store be lost."""
    world.note_disturbance(STORE_HOST, for_s=trouble.for_s)
    world.store.lost_share = 0.3
    await asyncio.sleep(trouble.for_s)
    world.store.lost_share = 0.0


async def _restore_store(world: World, trouble: Trouble) -> None:
    """Let the store be away and come back from a copy; the operator writes again.

    Servers write their entries again with their next reports.
    """
    store = world.store
    copied_at = world.loop.time() - (trouble.variant % COPY_AGES + 1) * COPY_AGE_STEP_S
    world.note_disturbance(STORE_HOST, for_s=trouble.for_s)
    store.is_down = True
    await asyncio.sleep(trouble.for_s)
    written = dict(store.objects["config"])
    store.restore(copied_at)
    store.is_down = False
    await asyncio.sleep(OPERATOR_DELAY_S)
    for name, item in written.items():
        if store.objects["config"].get(name, {}).get("spec") != item["spec"]:
            store.write("config", name, item["spec"])


async def _store_refuses(world: World, trouble: Trouble) -> None:
    """Let the store turn some machines away and serve the others."""
    chosen = {
        vm.host
        for index, vm in enumerate(world.vms)
        if (trouble.variant >> index) & 1 or index == trouble.target % len(world.vms)
    }
    for host in sorted(chosen):
        world.note_disturbance(host, STORE_HOST, trouble.for_s)
    world.store.refuses |= chosen
    await asyncio.sleep(trouble.for_s)
    world.store.refuses -= chosen


async def _cut(world: World, pairs: set[tuple[str, str]], trouble: Trouble) -> None:
    """Cut links, in one direction or in both."""
    direction = trouble.variant % 3
    cuts = set()
    if direction != 1:
        cuts |= pairs
    if direction != 0:
        cuts |= {(target, source) for source, target in pairs}
    for host, peer in sorted(pairs):
        world.note_disturbance(host, peer, trouble.for_s)
    world.network.cuts |= cuts
    await asyncio.sleep(trouble.for_s)
    world.network.cuts -= cuts


async def _cut_vm(world: World, trouble: Trouble) -> None:
    """Cut off a single machine."""
    vm = _vm(world, trouble)
    if vm is not None:
        others = [other.host for other in world.vms if other is not vm]
        others += [server.machine.host for server in world.servers.values()]
        others += [STORE_HOST, CLOUD_HOST, OUTSIDE]
        await _cut(world, {(vm.host, other) for other in others}, trouble)


async def _cut_vm_from_store(world: World, trouble: Trouble) -> None:
    """Partition a single machine from the store."""
    vm = _vm(world, trouble)
    if vm is not None:
        await _cut(world, {(vm.host, STORE_HOST)}, trouble)


async def _cut_vm_from_server(world: World, trouble: Trouble) -> None:
    """Cut a machine off from one server."""
    vm, server = _vm(world, trouble), _server(world, trouble, None)
    if vm is not None and server is not None:
        await _cut(world, {(vm.host, server.machine.host)}, trouble)


async def _cut_primary_from_replicas(world: World, trouble: Trouble) -> None:
    """Partition a primary from its replicas."""
    server = _server(world, trouble, True)
    if server is not None:
        others = [each.machine.host for each in world.servers.values()]
        pairs = {(server.machine.host, other) for other in others}
        await _cut(world, pairs - {(server.machine.host,) * 2}, trouble)


async def _cut_primary_from_vms(world: World, trouble: Trouble) -> None:
    """Partition a primary from some or all machines."""
    server = _server(world, trouble, True)
    if server is not None:
        chosen = [
            vm
            for index, vm in enumerate(world.vms)
            if trouble.target % 2 or (trouble.variant >> index) & 1
        ]
        pairs = {(vm.host, server.machine.host) for vm in chosen}
        await _cut(world, pairs, trouble)


def _concerns(host: str) -> Callable[[Connection], bool]:
    return lambda each: host in (each.source, each.target.host)


async def _reset_connections(world: World, trouble: Trouble) -> None:
    """Reset the connections of a machine."""
    vm = _vm(world, trouble)
    if vm is not None:
        world.note_disturbance(vm.host)
        world.network.reset(_concerns(vm.host))


async def _silence_connections(world: World, trouble: Trouble) -> None:
    """Let open connections go silent for good, while new ones work."""
    vm = _vm(world, trouble)
    if vm is not None:
        world.note_disturbance(vm.host)
        world.network.silence(_concerns(vm.host))


async def _slow_link(world: World, trouble: Trouble) -> None:
    """Let the links of a machine be slow."""
    vm = _vm(world, trouble)
    if vm is not None:
        others = [other.host for other in world.vms if other is not vm]
        others += [server.machine.host for server in world.servers.values()]
        pairs = {(vm.host, other) for other in others}
        pairs |= {(other, vm.host) for other in others}
        delays = dict.fromkeys(pairs, 0.05 + 0.3 * (trouble.variant % 3))
        world.note_disturbance(vm.host, for_s=trouble.for_s)
        world.network.delays.update(delays)
        await asyncio.sleep(trouble.for_s)
        for pair in sorted(delays):
            world.network.delays.pop(pair, None)


async def _crash(
    world: World, server: Server | None, trouble: Trouble, keeps_log: bool = True
) -> None:
    if server is None:
        return
    server.crash()
    await asyncio.sleep(trouble.for_s)
    if not server.machine.is_running:
        if not keeps_log:
            server.lose_log()
        server.start(world.loop)


async def _crash_primary(world: World, trouble: Trouble) -> None:
    """Crash the primary, which comes back with its log."""
    await _crash(world, _server(world, trouble, True), trouble)


async def _crash_replica(world: World, trouble: Trouble) -> None:
    """Crash a replica, which comes back with its log."""
    await _crash(world, _server(world, trouble, False), trouble)


async def _empty_server(world: World, trouble: Trouble) -> None:
    """Let a server start again under its id, knowing nothing of before."""
    await _crash(world, _server(world, trouble, False), trouble, keeps_log=False)


async def _lose_replica(world: World, trouble: Trouble) -> None:
    """Lose a replica for good; a new server takes its place."""
    server = _server(world, trouble, False)
    if server is not None:
        server.crash()
        await asyncio.sleep(trouble.for_s)
        world.add_server().start(world.loop)


async def _deafen_replica(world: World, trouble: Trouble) -> None:
    """Let a replica receive nothing for a while."""
    server = _server(world, trouble, False)
    if server is not None:
        server.is_deaf = True
        await asyncio.sleep(trouble.for_s)
        server.is_deaf = False


async def _busy_server(world: World, trouble: Trouble) -> None:
    """Let all slots of a server be in use when its status is asked for."""
    server = _server(world, trouble, None)
    if server is not None:
        server.is_busy = True
        await asyncio.sleep(trouble.for_s)
        server.is_busy = False


async def _drain(world: World, server: Server | None, trouble: Trouble) -> None:
    """Replace a server: its log goes to a new one at its address."""
    if server is None or server.is_draining:
        return
    process = server.machine.process
    server.drain()
    await asyncio.sleep(trouble.for_s)
    if server.machine.process != process or not server.machine.is_running:
        return
    server.crash()
    world.store.write_server(server.id, None)
    new = world.add_server()
    new.machine.host = server.machine.host
    new.log, new.term = list(server.log), server.term
    await asyncio.sleep(HEARTBEAT_S)
    new.start(world.loop)


async def _drain_primary(world: World, trouble: Trouble) -> None:
    """Replace the primary by plan."""
    await _drain(world, _server(world, trouble, True), trouble)


async def _drain_replica(world: World, trouble: Trouble) -> None:
    """Replace a replica by plan."""
    await _drain(world, _server(world, trouble, False), trouble)


async def _unlist_server(world: World, trouble: Trouble) -> None:
    """Cut a server off from the store alone, so that its entry expires."""
    server = _server(world, trouble, None)
    if server is not None:
        server.reaches_store = False
        await asyncio.sleep(trouble.for_s)
        server.reaches_store = True


async def _foreign_entry(world: World, trouble: Trouble) -> None:
    """Let another writer create an entry that names no server to use."""
    if trouble.variant % 2:
        text = FOREIGN_TEXTS[trouble.target % len(FOREIGN_TEXTS)]
        world.store.texts.append(text)
        world.store.revision += 1
        await asyncio.sleep(trouble.for_s)
        world.store.texts.remove(text)
        world.store.revision += 1
    else:
        change = FOREIGN_SPECS[trouble.target % len(FOREIGN_SPECS)]
        world.store.write("servers", "x-2", {**MALFORMED_ENTRY, **change})
        await asyncio.sleep(trouble.for_s)
        world.store.remove("servers", "x-2")


async def _promote_late(world: World, trouble: Trouble) -> None:
    """Let promotions take effect late."""
    world.cloud.is_late = True
    await asyncio.sleep(trouble.for_s)
    world.cloud.is_late = False


async def _lose_promote_answer(world: World, trouble: Trouble) -> None:
    """Let the answers to promotions be lost."""
    world.cloud.loses_answers = True
    await asyncio.sleep(trouble.for_s)
    world.cloud.loses_answers = False


ACTIONS: dict[str, Action] = {
    "vm_kill": _kill_vm,
    "all_vms_kill": _kill_all_vms,
    "vm_pause": _pause_vm,
    "leader_kill": _kill_leader,
    "leader_pause": _pause_leader,
    "vm_stop": _stop_vm,
    "vm_clock": _step_clock,
    "store_down": _store_down,
    "store_loses_answers": _store_loses,
    "store_refuses_vms": _store_refuses,
    "store_restored": _restore_store,
    "cut_vm": _cut_vm,
    "cut_vm_from_store": _cut_vm_from_store,
    "cut_vm_from_server": _cut_vm_from_server,
    "cut_primary_from_replicas": _cut_primary_from_replicas,
    "cut_primary_from_vms": _cut_primary_from_vms,
    "reset_connections": _reset_connections,
    "silence_connections": _silence_connections,
    "slow_link": _slow_link,
    "primary_crash": _crash_primary,
    "replica_crash": _crash_replica,
    "server_empty": _empty_server,
    "replica_lost": _lose_replica,
    "replica_deaf": _deafen_replica,
    "server_busy": _busy_server,
    "primary_drain": _drain_primary,
    "replica_drain": _drain_replica,
    "server_unlisted": _unlist_server,
    "foreign_entry": _foreign_entry,
    "promote_late": _promote_late,
    "promote_answer_lost": _lose_promote_answer,
}
