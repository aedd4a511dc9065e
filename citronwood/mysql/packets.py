"""Parsing of MySQL packets that the protocol library does not handle safely."""

import asyncio
import struct
from collections.abc import Awaitable
from io import BytesIO
from typing import Any, NamedTuple

from mysql_mimic.errors import MysqlError
from mysql_mimic.stream import ConnectionClosed
from mysql_mimic.types import Capabilities, read_uint_1, read_uint_len

from citronwood.errors import ErrorCode
from citronwood.mysql.codes import MysqlCode
from citronwood.mysql.ingress import (
    PACKET_TIMEOUT_S,
    SMALL_PACKET_BYTES,
    ClientProtocol,
)

MAX_PACKET_BYTES = 1 << 20
MAX_LOGIN_BYTES = 1 << 16
MAX_AUTH_RESPONSE_BYTES = 1024

_MAX_PAYLOAD_BYTES = 0xFFFFFF
_SSL_REQUEST_BYTES = 32


class OversizedError(MysqlError):  # type: ignore[misc]
    """A packet was too long; ``next_sequence`` is the number of the error packet."""

    def __init__(self, limit: int, next_sequence: int) -> None:
        super().__init__(
            f"Statement exceeds {limit} bytes; send a shorter one",
            ErrorCode.STATEMENT_TOO_LONG,
        )
        self.next_sequence = next_sequence


class LimitedReader:
    """Reader that refuses packets above a size without buffering them.

    ``MysqlStream`` is a compiled class that cannot be extended. It calls ``read`` for
    the four bytes of a packet header, then ``readexactly`` for the payload.
    """

    __slots__ = ("_client", "_has_reserved", "limit", "reader")

    def __init__(
        self, reader: asyncio.StreamReader, client: ClientProtocol | None = None
    ) -> None:
        self.reader = reader
        self._client = client
        self._has_reserved = False
        # Raised to MAX_PACKET_BYTES after the login.
        self.limit = MAX_LOGIN_BYTES

    async def read(self, count: int) -> bytes:
        """Return a packet header, empty if the client has disconnected."""
        if self._has_reserved and self._client is not None:
            self._has_reserved = False
            self._client.release()
        try:
            header = await self.reader.readexactly(count)
        except asyncio.IncompleteReadError:
            return b""
        length = struct.unpack("<I", header)[0] & _MAX_PAYLOAD_BYTES
        if length > self.limit:
            sequence = await self._discard(header)
            raise OversizedError(self.limit, (sequence + 1) & 0xFF)
        return header

    def readexactly(self, count: int) -> Awaitable[bytes]:
        """Return the payload of a packet."""
        if self._client is None or count <= SMALL_PACKET_BYTES:
            return self.reader.readexactly(count)
        return self._read_long(self._client, count)

    async def _read_long(self, client: ClientProtocol, count: int) -> bytes:
        """Read a payload for which memory is reserved, until the next header."""
        self._has_reserved = True
        await client.reserve(count)
        try:
            async with asyncio.timeout(PACKET_TIMEOUT_S):
                payload = await self.reader.readexactly(count)
        except TimeoutError:
            client.give_up()
            raise
        client.end_packet()
        return payload

    async def _discard(self, header: bytes) -> int:
        """Skip a packet and its continuations; return the last sequence number."""
        while True:
            remaining = length = struct.unpack("<I", header)[0] & _MAX_PAYLOAD_BYTES
            while remaining:
                data = await self.reader.read(min(remaining, 1 << 16))
                if not data:
                    raise ConnectionClosed
                remaining -= len(data)
            if length < _MAX_PAYLOAD_BYTES:
                return header[3]
            header = await self.reader.readexactly(4)


class ChangeUser(NamedTuple):
    """Content of COM_CHANGE_USER."""

    username: str
    database: str | None


class LoginRequest(NamedTuple):
    """Client's response to the handshake; a request for TLS has no user name."""

    capabilities: Capabilities
    username: str | None
    auth_response: bytes = b""
    database: str | None = None
    plugin: str | None = None


def parse_login(capabilities: Capabilities, data: bytes) -> LoginRequest:
    """Parse the response to the handshake, or raise ``MysqlError``.

    The protocol library's parser loops forever when a terminating zero is missing.
    Text is decoded as UTF-8, whichever character set the client announces.
    """
    if len(data) < _SSL_REQUEST_BYTES:
        raise MysqlError("Malformed login", MysqlCode.BAD_HANDSHAKE)
    negotiated = Capabilities(struct.unpack_from("<I", data)[0]) & capabilities
    if Capabilities.CLIENT_PROTOCOL_41 not in negotiated:
        raise MysqlError("Use a driver for MySQL 4.1", MysqlCode.BAD_HANDSHAKE)
    if len(data) == _SSL_REQUEST_BYTES:
        return LoginRequest(negotiated, None)
    try:
        return _parse_credentials(negotiated, data[_SSL_REQUEST_BYTES:])
    except (struct.error, ValueError) as error:
        raise MysqlError("Malformed login", MysqlCode.BAD_HANDSHAKE) from error


def _parse_credentials(negotiated: Capabilities, data: bytes) -> LoginRequest:
    username, _, rest = data.partition(b"\0")
    reader = BytesIO(rest)
    if Capabilities.CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA in negotiated:
        length = read_uint_len(reader)
    else:
        length = read_uint_1(reader)
    if length > MAX_AUTH_RESPONSE_BYTES:
        raise ValueError("authentication data are too long")
    auth_response = reader.read(length)
    rest = reader.read()
    database = plugin = b""
    if Capabilities.CLIENT_CONNECT_WITH_DB in negotiated:
        database, _, rest = rest.partition(b"\0")
    if Capabilities.CLIENT_PLUGIN_AUTH in negotiated:
        plugin, _, rest = rest.partition(b"\0")
    return LoginRequest(
        negotiated,
        username.decode(),
        auth_response,
        database.decode() or None,
        plugin.decode() or None,
    )


def parse_change_user(data: bytes) -> ChangeUser:
    """Parse COM_CHANGE_USER up to the database.

    The response to the old nonce is skipped, because the key is always checked with a
    new nonce.
    """
    try:
        name, _, rest = data.partition(b"\0")
        database = rest[1 + rest[0] :].partition(b"\0")[0]
        return ChangeUser(name.decode(), database.decode() or None)
    except (IndexError, UnicodeDecodeError) as error:
        raise MysqlError("Malformed command", MysqlCode.MALFORMED_PACKET) from error


def peer_address(writer: asyncio.StreamWriter) -> str:
    """Return the client's IP address, empty if the client has disconnected."""
    peer: Any = writer.get_extra_info("peername")
    return str(peer[0]) if peer else ""
