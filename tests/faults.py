"""TCP proxy that injects faults between two processes.

One proxy listens on one port in front of one target. It runs in its own thread, so that
synchronous and asynchronous tests can use it::

    with FaultProxy(member_port) as proxy:
        connect(proxy.port)
        proxy.freeze()
        proxy.release()

All methods return when the fault is in force. ``heal`` ends every fault; connections
that lost bytes stay silent for ever, because a stream with a gap cannot go on.
"""

import asyncio
import socket
import struct
import threading
from contextlib import suppress
from time import monotonic

TO_SERVER = "to_server"
TO_CLIENT = "to_client"
BOTH = (TO_SERVER, TO_CLIENT)

CHUNK_BYTES = 1 << 16
# With the chunks this bounds what is held for each direction of a connection; beyond
# that the sender is no longer read from.
QUEUE_CHUNKS = 32


class FaultProxy:
    """Forwards one port to one target until told otherwise."""

    def __init__(self, target_port, target_host="127.0.0.1", port=0):
        self.target = (target_host, target_port)
        self._delays = dict.fromkeys(BOTH, 0.0)
        self._dropped = set()
        self._refuses = False
        self._freezes_new = False
        self._links = set()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._server = self._call(self._listen(port))
        self.port = self._server.sockets[0].getsockname()[1]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    @property
    def connections(self):
        """Number of connections that pass through the proxy."""
        return len(self._links)

    def delay(self, to_server_s=0.0, to_client_s=0.0):
        """Delay all bytes from now on, each way by its own time."""
        self._set(
            lambda: self._delays.update(to_server=to_server_s, to_client=to_client_s)
        )

    def reset(self):
        """Reset (RST) all connections; new ones work."""
        self._set(self._reset_links)

    def cut(self):
        """Reset all connections and every new one until ``heal``."""

        def cut():
            self._refuses = True
            self._reset_links()

        self._set(cut)

    def drop(self, direction):
        """Discard all bytes of one direction silently, on new connections also."""
        self._set(lambda: self._dropped.add(direction))

    def freeze(self, new_connections=False):
        """Hold all bytes of the existing connections, silently, until ``release``.

        New connections work, unless they are to be frozen also.
        """

        def freeze():
            self._freezes_new = new_connections
            for link in self._links:
                link.gate.clear()

        self._set(freeze)

    def release(self):
        """Deliver the bytes that were held and go on."""

        def release():
            self._freezes_new = False
            for link in self._links:
                link.gate.set()

        self._set(release)

    def heal(self):
        """End all faults."""

        def heal():
            self._refuses = False
            self._dropped.clear()
            self._delays.update(to_server=0.0, to_client=0.0)

        self._set(heal)
        self.release()

    def close(self):
        """Reset all connections and stop."""
        if self._loop.is_closed():
            return
        self._set(self._reset_links)
        self._call(self._stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)
        self._loop.close()

    def _call(self, work):
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(5)

    def _set(self, change):
        async def run():
            change()

        self._call(run())

    async def _listen(self, port):
        return await asyncio.start_server(self._serve, "127.0.0.1", port)

    async def _stop(self):
        self._server.close()
        tasks = [
            task for task in asyncio.all_tasks() if task is not asyncio.current_task()
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _reset_links(self):
        for link in list(self._links):
            link.reset()

    async def _serve(self, reader, writer):
        if self._refuses:
            _reset(writer)
            return
        link = _Link(self, reader, writer)
        if self._freezes_new:
            link.gate.clear()
        self._links.add(link)
        try:
            await link.run()
        except asyncio.CancelledError:
            # Only ``close`` cancels; the server would log it as a failure.
            pass
        finally:
            self._links.discard(link)


class _Link:
    """One connection through the proxy."""

    def __init__(self, proxy, reader, writer):
        self.gate = asyncio.Event()
        self.gate.set()
        self._proxy = proxy
        self._client = (reader, writer)
        self._writers = [writer]
        self._gapped = set()

    def reset(self):
        for writer in self._writers:
            _reset(writer)

    async def run(self):
        await self.gate.wait()
        try:
            server = await asyncio.open_connection(*self._proxy.target)
        except OSError:
            self.reset()
            return
        self._writers.append(server[1])
        try:
            async with asyncio.TaskGroup() as group:
                self._pump(group, self._client[0], server[1], TO_SERVER)
                self._pump(group, server[0], self._client[1], TO_CLIENT)
        except* OSError:
            self.reset()
        finally:
            for writer in self._writers:
                writer.close()

    def _pump(self, group, reader, writer, direction):
        queue = asyncio.Queue(QUEUE_CHUNKS)
        group.create_task(self._read(reader, queue, direction))
        group.create_task(self._write(queue, writer))

    async def _read(self, reader, queue, direction):
        data = b"-"
        while data:
            await self.gate.wait()
            data = await reader.read(CHUNK_BYTES)
            # What arrives during a freeze belongs to it.
            await self.gate.wait()
            if direction in self._proxy._dropped:
                self._gapped.add(direction)
            if direction not in self._gapped:
                await queue.put((monotonic() + self._proxy._delays[direction], data))

    async def _write(self, queue, writer):
        while True:
            due, data = await queue.get()
            await asyncio.sleep(max(0.0, due - monotonic()))
            await self.gate.wait()
            if not data:
                writer.write_eof()
                return
            writer.write(data)
            await writer.drain()


def _reset(writer):
    raw = writer.get_extra_info("socket")
    if raw is not None:
        with suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
