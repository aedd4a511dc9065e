"""Upgrade of a client connection to TLS."""

import asyncio
from ssl import SSLContext
from typing import Any


async def start_tls(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, context: SSLContext
) -> None:
    """Upgrade the connection to TLS.

    Clients send their first TLS message right after the request for TLS. If both arrive
    in one read, the message is already in the buffer of the reader, which the event
    loop's TLS protocol does not read, so it is passed on here.
    """
    loop = asyncio.get_running_loop()
    plain_transport: Any = writer.transport
    protocol = plain_transport.get_protocol()
    # No data may arrive between reading the buffer and replacing the protocol.
    plain_transport.pause_reading()
    buffered: bytearray = reader._buffer  # type: ignore[attr-defined]
    early_data = bytes(buffered)
    buffered.clear()
    upgrade = loop.create_task(
        loop.start_tls(plain_transport, protocol, context, server_side=True)
    )
    if early_data:
        # The first iteration of the loop starts the upgrade, the second connects the
        # TLS protocol.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        _feed_protocol(plain_transport.get_protocol(), early_data)
    transport = await upgrade
    writer._transport = transport  # type: ignore[attr-defined]
    reader._transport = transport  # type: ignore[attr-defined]
    protocol._over_ssl = True


def _feed_protocol(protocol: Any, data: bytes) -> None:
    while data:
        buffer = protocol.get_buffer(len(data))
        count = min(len(buffer), len(data))
        buffer[:count] = data[:count]
        protocol.buffer_updated(count)
        data = data[count:]
