"""Ports that tests give to processes."""

import asyncio
import socket

import pytest

from tests.processes import free_port


def test_reserved_port_is_not_given_to_others():
    # Guards against "Address already in use" when several test runs share a machine.
    port = free_port()
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind(("127.0.0.1", port))
    assert port not in {free_port() for _ in range(200)}


def test_server_can_listen_on_a_reserved_port():
    async def scenario():
        first = free_port(3)
        for port in range(first, first + 3):
            server = await asyncio.start_server(
                lambda reader, writer: writer.close(), "127.0.0.1", port
            )
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            assert await reader.read() == b""
            writer.close()
            server.close()

    asyncio.run(scenario())
