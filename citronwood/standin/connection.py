"""Client connection of the member stand-in.

The statement path is shorter than that of the general protocol server: the stand-in
takes the place of a server written in C, and a slow one would be measured instead of
the proxy in front of it.
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
FULL_PACKET = 0xFFFFFF
# Whoever sets a stall is told at once that it is in force.
EXEMPT = "CALL standin_set("
READ_BYTES = 1 << 16

LOGIN_MARK = b"<login>"
NONCE_BYTES = 20

_STATUS = [ServerStatus(value) for value in range(4)]
_IN_TRANSACTION = int(ServerStatus.SERVER_STATUS_IN_TRANS)
_AUTOCOMMIT = int(ServerStatus.SERVER_STATUS_AUTOCOMMIT)
_STATUS_AND_WARNINGS = struct.Struct("<HH")


class PacketReader:
    """Buffered reader for packets, which keeps a record of all bytes if asked to.

    The record also has ``LOGIN_MARK``, nonce and answer for each login.
    """

    def __init__(self, reader: asyncio.StreamReader, record: BinaryIO | None) -> None:
        self._reader = reader
        self._record = record
        self._data = b""

    async def read(self, count: int) -> bytes:
        """Return a packet header, or nothing when the client has left."""
        try:
            return await self.readexactly(count)
        except asyncio.IncompleteReadError:
            return b""

    async def readexactly(self, count: int) -> bytes:
        """Return ``count`` bytes."""
        while len(self._data) < count:
            more = await self._receive()
            if not more:
                raise asyncio.IncompleteReadError(self._data, count)
            self._data += more
        data, self._data = self._data[:count], self._data[count:]
        return data

    async def command(self) -> bytes:
        """Return the next command, or nothing when the client has left."""
        if not self._data:
            data = self._data = await self._receive()
            # Mostly a command arrives alone and complete.
            if len(data) == _packet_length(data) + 4:
                self._data = b""
                return data[4:]
        payload, length = b"", FULL_PACKET
        while length == FULL_PACKET:
            header = await self.read(4)
            if not header:
                return b""
            length = _packet_length(header)
            payload += await self.readexactly(length)
        return payload

    async def _receive(self) -> bytes:
        data = await self._reader.read(READ_BYTES)
        self.record(data)
        return data

    def record(self, data: bytes) -> None:
        """Add to the record, if there is one."""
        if self._record is not None:
            self._record.write(data)
            self._record.flush()


def _packet_length(data: bytes) -> int:
    return int.from_bytes(data[:3], "little")


class MemberConnection(ServerConnection):
    """Connection whose answers wait while the member is stalled."""

    def __init__(
        self, member: Member, stream: MysqlStream, session: MemberSession
    ) -> None:
        super().__init__(stream, session, session.connection_id, None)
        self._member = member
        self._member_session = session
        self._exempt = False
        self._packets: PacketReader = stream.reader

    async def connection_phase(self) -> None:
        """Let the client log in after the member's delay."""
        await self._member.hold_answer()
        if self._member.connect_delay_ms:
            await asyncio.sleep(self._member.connect_delay_ms / 1000)
        # Drivers send SET autocommit only when it differs from what they were told.
        self._refresh_status()
        await super().connection_phase()

    async def authenticate(self, username: str, *args: Any, **kwargs: Any) -> None:
        """Record the nonce with the answer, which proves a key only together."""
        nonce, answer = self.handshake_auth_data[:NONCE_BYTES], kwargs["auth_response"]
        self._packets.record(LOGIN_MARK + nonce + answer)
        await super().authenticate(username, *args, **kwargs)

    def _refresh_status(self) -> None:
        session, flags = self._member_session, 0
        if session.variables.autocommit:
            flags |= _AUTOCOMMIT
        if session.in_transaction:
            flags |= _IN_TRANSACTION
        self.status_flags = _STATUS[flags]

    async def command_phase(self) -> None:
        """Serve commands until the client leaves."""
        sequence = self.stream.seq
        while True:
            data = await self._packets.command()
            if not data or data[0] == COM_QUIT:
                return
            # The command itself had number 0.
            sequence.value = 1
            try:
                await self._dispatch(data[0], data[1:])
            except MysqlError as error:
                await self._answer_error(error)
            finally:
                self.stream.reset_seq()

    async def _dispatch(self, command: int, data: bytes) -> None:
        self._member.questions += 1
        if (
            command != COM_QUERY
            or Capabilities.CLIENT_QUERY_ATTRIBUTES in self.capabilities
        ):
            await self._member.hold_answer()
            await super()._dispatch(command, data)
            return
        # The text may contain bytes that are not UTF-8, after _binary.
        sql = data.decode("utf-8", "surrogateescape")
        self._exempt = sql.startswith(EXEMPT)
        await self._write_result(await self._member_session.run(sql, {}), text_row)

    async def _answer_error(self, error: MysqlError) -> None:
        await self._member.hold_answer()
        await super()._answer_error(error)

    async def _write_result(
        self, result: StatementResult, encode: Callable[..., bytes]
    ) -> None:
        if self._member.holds_answers and not self._exempt:
            await self._member.hold_answer()
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
                _length(result.affected_rows),
                _length(result.last_insert_id),
                flags,
                result.info,
            )
        )


def _length(value: int) -> bytes:
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
