"""Client connection of the member stand-in.

The statement path is shorter than that of the general protocol server. The stand-in
replaces a server written in C; with a slow one, benchmarks would measure the stand-in
instead of the proxy.
"""

import asyncio
import struct
from collections.abc import Callable
from functools import lru_cache
from typing import Any, BinaryIO

from mysql_mimic.charset import CharacterSet
from mysql_mimic.errors import MysqlError
from mysql_mimic.packets import make_column_count, make_column_definition_41
from mysql_mimic.stream import MysqlStream
from mysql_mimic.types import Capabilities, ServerStatus

from citronwood.backend.api import Column, close_rows
from citronwood.mysql.results import result_column, text_row
from citronwood.mysql.server import (
    BATCH_BYTES,
    ServerConnection,
    StatementResult,
)
from citronwood.standin.group import Member
from citronwood.standin.session import MemberSession

COM_QUIT = 0x01
COM_QUERY = 0x03
FULL_PACKET_BYTES = 0xFFFFFF
# The result of a statement with this prefix is never delayed, so that a client that
# sets a stall gets its response at once.
UNDELAYED_PREFIX = "CALL standin_set("
READ_CHUNK_BYTES = 1 << 16

LOGIN_MARKER = b"<login>"
NONCE_BYTES = 20

# All combinations of the two flags below.
_STATUS_BY_FLAGS = [ServerStatus(value) for value in range(4)]
_IN_TRANSACTION = int(ServerStatus.SERVER_STATUS_IN_TRANS)
_AUTOCOMMIT = int(ServerStatus.SERVER_STATUS_AUTOCOMMIT)
_STATUS_AND_WARNINGS = struct.Struct("<HH")


class PacketReader:
    """Buffered packet reader that can record all received bytes in a file.

    For each login the recording also has ``LOGIN_MARKER``, the nonce and the response.
    """

    def __init__(self, reader: asyncio.StreamReader, record: BinaryIO | None) -> None:
        self._reader = reader
        self._recording = record
        self._data = b""

    async def read(self, count: int) -> bytes:
        """Return a packet header, empty when the client has disconnected."""
        try:
            return await self.readexactly(count)
        except asyncio.IncompleteReadError:
            return b""

    async def readexactly(self, count: int) -> bytes:
        """Return exactly ``count`` bytes."""
        while len(self._data) < count:
            more = await self._receive()
            if not more:
                raise asyncio.IncompleteReadError(self._data, count)
            self._data += more
        data, self._data = self._data[:count], self._data[count:]
        return data

    async def read_command(self) -> bytes:
        """Return the next command, empty when the client has disconnected."""
        if not self._data:
            data = self._data = await self._receive()
            # Fast path: a command usually arrives alone and complete.
            if len(data) == _packet_length(data) + 4:
                self._data = b""
                return data[4:]
        payload, length = b"", FULL_PACKET_BYTES
        while length == FULL_PACKET_BYTES:
            header = await self.read(4)
            if not header:
                return b""
            length = _packet_length(header)
            payload += await self.readexactly(length)
        return payload

    async def _receive(self) -> bytes:
        data = await self._reader.read(READ_CHUNK_BYTES)
        self.record(data)
        return data

    def record(self, data: bytes) -> None:
        """Append to the recording, if there is one."""
        if self._recording is not None:
            self._recording.write(data)
            self._recording.flush()


def _packet_length(data: bytes) -> int:
    return int.from_bytes(data[:3], "little")


class MemberConnection(ServerConnection):
    """Client connection that can delay its login and its responses."""

    def __init__(
        self, member: Member, stream: MysqlStream, session: MemberSession
    ) -> None:
        super().__init__(stream, session, session.connection_id, None)
        self._member = member
        self._member_session = session
        self._is_undelayed = False
        self._packets: PacketReader = stream.reader

    async def connection_phase(self) -> None:
        """Log the client in after the configured delay."""
        await self._member.delay_response()
        if self._member.connect_delay_ms:
            await asyncio.sleep(self._member.connect_delay_ms / 1000)
        # Drivers send SET autocommit only if it differs from the handshake's flags.
        self._refresh_status()
        await super().connection_phase()

    async def authenticate(self, username: str, *args: Any, **kwargs: Any) -> None:
        """Record the nonce and the response, from which tests check the login's key."""
        nonce, answer = self.handshake_auth_data[:NONCE_BYTES], kwargs["auth_response"]
        self._packets.record(LOGIN_MARKER + nonce + answer)
        await super().authenticate(username, *args, **kwargs)

    def _refresh_status(self) -> None:
        session, flags = self._member_session, 0
        if session.variables.autocommit:
            flags |= _AUTOCOMMIT
        if session.in_transaction:
            flags |= _IN_TRANSACTION
        self.status_flags = _STATUS_BY_FLAGS[flags]

    async def command_phase(self) -> None:
        """Serve commands until the client disconnects."""
        sequence = self.stream.seq
        while True:
            data = await self._packets.read_command()
            if not data or data[0] == COM_QUIT:
                return
            # The command packet had sequence number 0.
            sequence.value = 1
            try:
                await self._dispatch(data[0], data[1:])
            except MysqlError as error:
                await self._send_error(error)
            finally:
                self.stream.reset_seq()

    async def _dispatch(self, command: int, data: bytes) -> None:
        self._member.questions += 1
        if (
            command != COM_QUERY
            or Capabilities.CLIENT_QUERY_ATTRIBUTES in self.capabilities
        ):
            await self._member.delay_response()
            await super()._dispatch(command, data)
            return
        # String literals after _binary may contain bytes that are not UTF-8.
        sql = data.decode("utf-8", "surrogateescape")
        self._is_undelayed = sql.startswith(UNDELAYED_PREFIX)
        await self._write_result(await self._member_session.run(sql, {}), text_row)

    async def _send_error(self, error: MysqlError) -> None:
        await self._member.delay_response()
        await super()._send_error(error)

    async def _write_result(
        self, result: StatementResult, encode: Callable[..., bytes]
    ) -> None:
        if self._member.delays_responses and not self._is_undelayed:
            await self._member.delay_response()
        self._refresh_status()
        stream = self.stream
        if result.rows is None:
            stream.write_many([self._ok_packet(result)])
        else:
            eof = self.deprecate_eof()
            stream.write_many(_header_packets(result.columns, self.capabilities, eof))
            if not eof:
                stream.write_many([self.eof()])
            await self._write_batches(result, encode)
            stream.write_many([self.ok_or_eof()])
        writer = stream.writer
        writer.write(stream._buffer)
        stream._buffer = bytearray()
        if writer.transport.get_write_buffer_size():
            await writer.drain()

    async def _write_batches(
        self, result: StatementResult, encode: Callable[..., bytes]
    ) -> None:
        assert result.rows is not None
        stream, columns = self.stream, result.columns
        encoders = [] if encode is text_row else [result_column(c) for c in columns]
        try:
            async for batch in result.rows:
                stream.write_many([encode(row, columns, encoders) for row in batch])
                if len(stream._buffer) >= BATCH_BYTES:
                    await stream.drain()
        finally:
            await close_rows(result.rows)

    def _ok_packet(self, result: StatementResult) -> bytes:
        flags = _STATUS_AND_WARNINGS.pack(self.status_flags.value, 0)
        return b"".join(
            (
                b"\x00",
                _length_encoded(result.affected_rows),
                _length_encoded(result.last_insert_id),
                flags,
                result.info,
            )
        )


def _length_encoded(value: int) -> bytes:
    if value < 251:
        return bytes((value,))
    if value < 1 << 16:
        return b"\xfc" + value.to_bytes(2, "little")
    if value < 1 << 24:
        return b"\xfd" + value.to_bytes(3, "little")
    return b"\xfe" + value.to_bytes(8, "little")


@lru_cache(maxsize=4096)
def _header_packets(
    columns: tuple[Column, ...], capabilities: Capabilities, deprecate_eof: bool
) -> list[bytes]:
    packets = [make_column_count(capabilities=capabilities, column_count=len(columns))]
    for column in map(result_column, columns):
        packets.append(
            make_column_definition_41(
                server_charset=CharacterSet.utf8mb4,
                name=column.name,
                column_type=column.type,
                character_set=column.character_set,
            )
        )
    return packets
