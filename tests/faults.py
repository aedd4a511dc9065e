"""TCP proxy that injects network faults between two processes.

One proxy listens on one port in front of one target. It runs in its own thread, so that
synchronous and asynchronous tests can use it::

    with FaultProxy(member_port) as proxy:
        connect(proxy.port)
        proxy.freeze()
        proxy.release()

All methods return once the fault is active. ``heal`` ends every fault, but a direction
of a connection that has lost bytes stays silent, because a stream with a gap cannot be
continued.
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

MAX_CHUNK_BYTES = 1 << 16
# Limits the bytes buffered for each direction of a connection, together with
# MAX_CHUNK_BYTES. The proxy does not read from the sender while the queue is full.
MAX_QUEUED_CHUNKS = 32


class FaultProxy:
    """Forwards connections on one port to one target, with the active faults."""

    def __init__(self, target_port, target_host="127.0.0.1", port=0):
        self.target = (target_host, target_port)
        self._delays = dict.fromkeys(BOTH, 0.0)
        self._dropped = set()
        self._refuse_new = False
        self._freeze_new = False
        self._connections = set()
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
        """Number of open connections through the proxy."""
        return len(self._connections)

    def delay(self, to_server_s=0.0, to_client_s=0.0):
        """Delay all further bytes of each direction by its own time."""
        self._apply(
            lambda: self._delays.update(to_server=to_server_s, to_client=to_client_s)
        )

    def reset(self):
        """Reset all connections with TCP RST; connecting again works."""
        self._apply(self._reset_connections)

    def cut(self):
        """Reset all existing and new connections until ``heal``."""

        def cut():
            self._refuse_new = True
            self._reset_connections()

        self._apply(cut)

    def drop(self, direction):
        """Silently discard all bytes of one direction, also on new connections."""
        self._apply(lambda: self._dropped.add(direction))

    def freeze(self, new_connections=False):
        """Silently hold back all bytes of existing connections until ``release``.

        New connections work unless ``new_connections`` freezes them too.
        """

        def freeze():
            self._freeze_new = new_connections
            for connection in self._connections:
                connection.unfrozen.clear()

        self._apply(freeze)

    def release(self):
        """Deliver the bytes that were held back and forward all further bytes."""

        def release():
            self._freeze_new = False
            for connection in self._connections:
                connection.unfrozen.set()

        self._apply(release)

    def heal(self):
        """End all faults."""

        def heal():
            self._refuse_new = False
            self._dropped.clear()
            self._delays.update(to_server=0.0, to_client=0.0)

        self._apply(heal)
        self.release()

    def close(self):
        """Reset all connections and stop the proxy."""
        if self._loop.is_closed():
            return
        self._apply(self._reset_connections)
        self._call(self._stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)
        self._loop.close()

    def _call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(5)

    def _apply(self, change):
        """Call a function in the thread of the loop and wait for it."""

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

    def _reset_connections(self):
        for connection in list(self._connections):
            connection.reset()

    async def _serve(self, reader, writer):
        if self._refuse_new:
            _reset(writer)
            return
        connection = _ProxiedConnection(self, reader, writer)
        if self._freeze_new:
            connection.unfrozen.clear()
        self._connections.add(connection)
        try:
            await connection.run()
        except asyncio.CancelledError:
            # Only ``close`` cancels this task; asyncio would log it as a failure.
            pass
        finally:
            self._connections.discard(connection)


class _ProxiedConnection:
    """One connection through the proxy."""

    def __init__(self, proxy, reader, writer):
        self.unfrozen = asyncio.Event()
        self.unfrozen.set()
        self._proxy = proxy
        self._client = (reader, writer)
        self._writers = [writer]
        self._lossy_directions = set()

    def reset(self):
        for writer in self._writers:
            _reset(writer)

    async def run(self):
        await self.unfrozen.wait()
        try:
            server = await asyncio.open_connection(*self._proxy.target)
        except OSError:
            self.reset()
            return
        self._writers.append(server[1])
        try:
            async with asyncio.TaskGroup() as group:
                self._forward(group, self._client[0], server[1], TO_SERVER)
                self._forward(group, server[0], self._client[1], TO_CLIENT)
        except* OSError:
            self.reset()
        finally:
            for writer in self._writers:
                writer.close()

    def _forward(self, group, reader, writer, direction):
        queue = asyncio.Queue(MAX_QUEUED_CHUNKS)
        group.create_task(self._read(reader, queue, direction))
        group.create_task(self._write(queue, writer))

    async def _read(self, reader, queue, direction):
        data = b"-"  # Not empty, which means the end of the stream.
        while data:
            await self.unfrozen.wait()
            data = await reader.read(MAX_CHUNK_BYTES)
            # Bytes that arrive during a freeze are held back too.
            await self.unfrozen.wait()
            if direction in self._proxy._dropped:
                self._lossy_directions.add(direction)
            if direction not in self._lossy_directions:
                await queue.put((monotonic() + self._proxy._delays[direction], data))

    async def _write(self, queue, writer):
        while True:
            due, data = await queue.get()
            await asyncio.sleep(max(0.0, due - monotonic()))
            await self.unfrozen.wait()
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
