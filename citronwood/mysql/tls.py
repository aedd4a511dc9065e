"""Change of a client connection to TLS."""

import asyncio
from ssl import SSLContext
from typing import Any


async def start_tls(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, context: SSLContext
) -> None:
    """Continue the connection with TLS.

    Clients send their first TLS message right after the request for TLS. When both
    arrive in one read, the message is already in the buffer of the reader, where the
    event loop's TLS protocol does not look, so it is handed over here.
    """
    loop = asyncio.get_running_loop()
    old: Any = writer.transport
    protocol = old.get_protocol()
    # Nothing may arrive between the look into the buffer and the change of protocol.
    old.pause_reading()
    buffered: bytearray = reader._buffer  # type: ignore[attr-defined]
    early = bytes(buffered)
    buffered.clear()
    upgrade = loop.create_task(loop.start_tls(old, protocol, context, server_side=True))
    if early:
        # The first step starts the upgrade, the second one connects its protocol.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        _feed(old.get_protocol(), early)
    transport = await upgrade
    writer._transport = transport  # type: ignore[attr-defined]
    reader._transport = transport  # type: ignore[attr-defined]
    protocol._over_ssl = True


def _feed(protocol: Any, data: bytes) -> None:
    while data:
        buffer = protocol.get_buffer(len(data))
        count = min(len(buffer), len(data))
        buffer[:count] = data[:count]
        protocol.buffer_updated(count)
        data = data[count:]
