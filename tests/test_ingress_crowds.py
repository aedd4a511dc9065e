"""Crowds of callers that respect no limit, against a process of the platform.

Each test checks that the process stays alive, that its peak memory and its open
descriptors stay within the limits of its settings file, and that an ordinary request
is answered afterwards.
"""

import asyncio
import os
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import pytest
from aiohttp import web

from tests.callers import open_raw
from tests.fleet import Fleet
from tests.relay_standins import Caller, Group, StoreServer, configuration
from tests.soak import Vm

pytestmark = [pytest.mark.realtime, pytest.mark.timeout(180)]

MEMORY_MB = 152
MAX_DESCRIPTORS = 600
# Of the descriptors, those that crowds must leave unused.
RESERVED_DESCRIPTORS = 200
MIB = 1 << 20
CROWD = 150
STORM = 700
SLOW_READERS = 450
START = b"START shop key-1\r\n"
SERVED_TIMEOUT_S = 30.0


class Observed:
    """What a running process has used so far."""

    def __init__(self, process):
        self._proc = Path("/proc") / str(process.pid)
        self._process = process
        self.descriptors = 0

    @property
    def peak_mb(self):
        for line in (self._proc / "status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        raise AssertionError("the process has ended")

    @asynccontextmanager
    async def watched(self):
        watching = asyncio.create_task(self._watch())
        try:
            yield
        finally:
            watching.cancel()

    async def _watch(self):
        while True:
            self.count_descriptors()
            await asyncio.sleep(0.02)

    def count_descriptors(self):
        self.descriptors = max(self.descriptors, len(os.listdir(self._proc / "fd")))

    def check(self):
        assert self._process.poll() is None
        self.count_descriptors()
        print(f"VmHWM {self.peak_mb:.0f} MB, descriptors {self.descriptors}")
        assert self.peak_mb < MEMORY_MB
        assert self.descriptors <= MAX_DESCRIPTORS - RESERVED_DESCRIPTORS


@asynccontextmanager
async def promotions(group):
    """Serve the platform's call that makes a server primary; return the port.

    The servers answer late while a crowd keeps the test's own process busy, so that
    their primary may be replaced.
    """

    async def promote(request):
        body = await request.json()
        promoted = await group.promote(group.name, body["id"], "", 0, 0.0)
        return web.json_response({}, status=200 if promoted else 409)

    application = web.Application()
    application.router.add_post("/promote", promote)
    runner = web.AppRunner(application, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    try:
        yield site._server.sockets[0].getsockname()[1]
    finally:
        await runner.cleanup()


@asynccontextmanager
async def crowded_vm(folder):
    """Run a VM; afterwards check its limits and that it answers a request."""
    async with (
        StoreServer() as store,
        Group("orders") as group,
        promotions(group) as promote_port,
    ):
        store.store.put_directly("config", "main", configuration())
        group.register(store.store)
        vm = Vm(0, folder, int(store.address.split(":")[1]), promote_port)
        vm._fields["limits.memory_mb"] = str(MEMORY_MB)
        vm._fields["limits.max_fds"] = str(MAX_DESCRIPTORS)
        vm.start()
        try:
            await eventually_served(vm)
            observed = Observed(vm.process)
            async with observed.watched():
                yield vm
                await eventually_served(vm)
            observed.check()
        finally:
            vm.close()


async def eventually_served(vm):
    """Wait until an ordinary request is answered, as a caller that retries does."""
    async with asyncio.timeout(SERVED_TIMEOUT_S):
        while not await is_served(vm):  # noqa: ASYNC110
            await asyncio.sleep(0.1)


async def is_served(vm):
    with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
        async with asyncio.timeout(5.0):
            caller = await Caller.connect(vm.port, host=vm.host)
            lines, _ = await caller.execute("WRITE x 1")
            caller.close()
        return lines[-1].startswith("DONE")
    return False


class Rogue:
    """Caller that sends without regard to answers; None of its errors matter."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def send(self, data, step=None, pause_s=0.0):
        """Send everything, in pieces of ``step`` bytes; stop when it is refused."""
        with suppress(OSError):
            for first in range(0, len(data), step or len(data)):
                self.writer.write(data[first : first + (step or len(data))])
                await self.writer.drain()
                if pause_s:
                    await asyncio.sleep(pause_s)

    async def read_all(self):
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(20.0):
                while await self.reader.read(1 << 16):
                    pass


async def connect(host, port, hello=START):
    """Return a connection on which ``hello`` was sent; None if it is refused."""
    with suppress(OSError, TimeoutError):
        async with asyncio.timeout(20.0):
            reader, writer = await asyncio.open_connection(host, port, limit=1024)
            writer.write(hello)
            return Rogue(reader, writer)
    return None


@asynccontextmanager
async def crowd(host, port, count, hello=START):
    joined = await asyncio.gather(*(connect(host, port, hello) for _ in range(count)))
    rogues = [rogue for rogue in joined if rogue is not None]
    try:
        yield rogues
    finally:
        for rogue in rogues:
            rogue.writer.transport.abort()


async def send_all(rogues, *arguments, limit_s=10.0, **options):
    """Let all send at once, for at most ``limit_s``; senders may be held up."""
    tasks = [asyncio.create_task(rogue.send(*arguments, **options)) for rogue in rogues]
    if tasks:
        _, pending = await asyncio.wait(tasks, timeout=limit_s)
        for task in pending:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def message(size):
    """Return a statement whose line has this size."""
    head, end = b"QUERY r1 WRITE x ", b"\r\n"
    return head + b"v" * (size - len(head) - len(end)) + end


def run(scenario):
    asyncio.run(scenario())


def test_messages_of_legal_size_at_once(tmp_path):
    # Guards against the end of a process when 150 callers send 1 MiB in one piece.
    async def scenario():
        async with crowded_vm(tmp_path) as vm:
            async with crowd(vm.host, vm.port, CROWD) as rogues:
                await send_all(rogues, message(MIB))
                await asyncio.gather(*(rogue.read_all() for rogue in rogues[:20]))

    run(scenario)


def test_messages_of_legal_size_in_small_pieces(tmp_path):
    # Guards against buffers that grow with each piece of a message.
    async def scenario():
        async with crowded_vm(tmp_path) as vm:
            async with crowd(vm.host, vm.port, CROWD) as rogues:
                await send_all(rogues, message(MIB), step=16384, pause_s=0.01)

    run(scenario)


def test_messages_far_over_the_limit(tmp_path):
    # Guards against messages of 16 MiB that are buffered before they are refused, and
    # against a refusal without an answer.
    async def scenario():
        async with crowded_vm(tmp_path) as vm:
            async with crowd(vm.host, vm.port, CROWD) as rogues:
                await send_all(rogues, b"QUERY r1 WRITE x " + b"v" * (16 * MIB))
            one = await connect(vm.host, vm.port)
            sending = asyncio.create_task(one.send(b"QUERY r1 WRITE x " + b"v" * MIB))
            assert (await one.reader.readuntil(b"\r\n")).startswith(b"READY")
            assert b"TOOLARGE" in await one.reader.readuntil(b"\r\n")
            await sending
            one.writer.close()

    run(scenario)


def test_pipelined_messages_without_reading(tmp_path):
    # Guards against answers and further messages that pile up behind a caller that
    # never reads.
    async def scenario():
        async with crowded_vm(tmp_path) as vm:
            large = message(200_000)[:-2] + b"\r\nQUERY r2 READ x\r\n"
            async with crowd(vm.host, vm.port, CROWD) as rogues:
                await send_all(rogues, large * 20)

    run(scenario)


def test_slow_readers_and_writers(tmp_path):
    # Guards against large answers that wait for callers which read a few bytes.
    async def scenario():
        async with crowded_vm(tmp_path) as vm:
            writer = await Caller.connect(vm.port, host=vm.host)
            await writer.execute("WRITE x " + "v" * 100_000)
            writer.close()
            async with crowd(vm.host, vm.port, SLOW_READERS) as rogues:
                await send_all(rogues, b"QUERY r1 READ x\r\n" * 8)
                for _ in range(20):
                    await send_all(rogues[:50], b"Q")
                    for rogue in rogues[50:]:
                        with suppress(OSError, TimeoutError):
                            async with asyncio.timeout(0.01):
                                await rogue.reader.read(16)

    run(scenario)


def test_messages_that_stop_half_way(tmp_path):
    # Guards against callers that hold nearly 1 MiB each and never end their message.
    async def scenario():
        async with crowded_vm(tmp_path) as vm:
            async with crowd(vm.host, vm.port, CROWD) as rogues:
                await send_all(rogues, message(MIB)[:-10])
                # Ordinary callers are served beside them.
                await eventually_served(vm)

    run(scenario)


def test_storm_of_connections(tmp_path):
    # Guards against a process that runs out of descriptors, so that it can reach
    # neither servers nor the store.
    async def scenario():
        async with crowded_vm(tmp_path) as vm:
            async with (
                crowd(vm.host, vm.port, STORM),
                crowd(vm.host, vm.port, STORM, b"START"),
            ):
                await eventually_served(vm)

    run(scenario)


@pytest.mark.parametrize("listener", ["listen.ready", "port_range", "metrics"])
def test_storm_of_connections_at_another_port(tmp_path, listener):
    # Guards against the same at the ports for readiness checks, VMs and metrics.
    async def scenario():
        async with crowded_vm(tmp_path) as vm:
            address = vm._fields.get(listener, ":9464").split(",")[0]
            port = int(address.rpartition(":")[2])
            async with crowd(vm.host, port, STORM, b"GET / HTTP/1.1\r\nHost: a\r\nX: "):
                await eventually_served(vm)

    run(scenario)


def test_messages_of_vms_that_stop_half_way(tmp_path):
    # Guards against peers that begin large frames at the port for VMs and never end
    # them.
    hello = (
        b"GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"
        b"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n"
        b"\r\n"
    )
    frame = b"\x82\xff" + MIB.to_bytes(8, "big") + b"\0\0\0\0" + b"v" * (MIB - 10)

    async def scenario():
        async with crowded_vm(tmp_path) as vm:
            port = int(vm._fields["port_range"].split(",")[0])
            async with crowd(vm.host, port, CROWD, hello) as rogues:
                await asyncio.sleep(0.5)
                await send_all(rogues, frame)

    run(scenario)


def test_all_together(tmp_path):
    # Guards against limits that hold one by one but not in sum.
    async def scenario():
        async with crowded_vm(tmp_path) as vm:
            async with crowd(vm.host, vm.port, CROWD) as rogues:
                part = CROWD // 5
                await asyncio.gather(
                    send_all(rogues[:part], message(MIB)),
                    send_all(rogues[part : 2 * part], message(MIB), step=16384),
                    send_all(rogues[2 * part : 3 * part], b"Q" * (4 * MIB)),
                    send_all(rogues[3 * part : 4 * part], message(200_000) * 20),
                    send_all(rogues[4 * part :], message(MIB)[:-10]),
                )
                async with crowd(vm.host, vm.port, STORM, b"START"):
                    await eventually_served(vm)

    run(scenario)


class OpenFleet(Fleet):
    """Fleet with a route that callers use without a key."""

    async def _store(self, document):
        document["routes"]["open"] = {"group": "pledges", "open_to_all": True}
        await super()._store(document)


@pytest.fixture
def entry(processes, tmp_path):
    settings = {"memory-mb": MEMORY_MB, "max-descriptors": MAX_DESCRIPTORS}
    limits = {"anonymous": (10_000, 20_000)}
    return OpenFleet(processes, tmp_path, entries=1, limits=limits, settings=settings)


async def eventually_served_by_entry(fleet):
    async with asyncio.timeout(SERVED_TIMEOUT_S):
        while True:
            with suppress(OSError, asyncio.IncompleteReadError, AssertionError):
                client = await open_raw(fleet.ports["vm01"])
                answer = await client.command(0x03, b"SELECT 1")
                client.close()
                if answer[0] == 1:
                    return
            await asyncio.sleep(0.1)


def run_crowd_at_entry(fleet, scenario):
    """Run a crowd against an entry process; check it as ``crowded_vm`` does."""

    async def run_and_check():
        await eventually_served_by_entry(fleet)
        observed = Observed(fleet.entries["vm01"])
        async with observed.watched():
            await scenario()
            await eventually_served_by_entry(fleet)
        observed.check()

    asyncio.run(run_and_check())


def test_mysql_packets_that_stop_half_way(entry):
    # Guards against clients that log in, begin the largest packet and never end it.
    packet = MIB.to_bytes(3, "little") + b"\0\x03" + b"v" * (MIB - 10)

    async def scenario():
        rogues = []
        for _ in range(CROWD):
            with suppress(OSError, asyncio.IncompleteReadError, AssertionError):
                client = await open_raw(entry.ports["vm01"])
                rogues.append(Rogue(client.reader, client.writer))
        await send_all(rogues, packet)
        for rogue in rogues:
            rogue.writer.transport.abort()

    run_crowd_at_entry(entry, scenario)


@pytest.mark.parametrize("ports", ["ports", "operator_ports"])
def test_storm_of_connections_at_entry(entry, ports):
    # Guards against an entry process that runs out of descriptors.
    async def scenario():
        port = getattr(entry, ports)["vm01"]
        async with crowd("127.0.0.1", port, STORM, b"G"):
            await eventually_served_by_entry(entry)

    run_crowd_at_entry(entry, scenario)


def test_single_message_of_the_largest_size_is_served(tmp_path):
    # Guards against limits that a caller within the rules meets.
    async def scenario():
        async with crowded_vm(tmp_path) as vm:
            caller = await Caller.connect(vm.port, host=vm.host)
            text = "WRITE x " + "v" * (MIB - 2 - len("QUERY r1 WRITE x "))
            lines, _ = await caller.execute(text)
            assert lines[-1].startswith("DONE")
            caller.close()

    run(scenario)
