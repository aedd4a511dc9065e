"""Responses to one client: result sets and status flags."""

import asyncio
from collections.abc import Callable
from functools import lru_cache
from ssl import SSLContext
from typing import Any

from mysql_mimic.charset import CharacterSet
from mysql_mimic.connection import Connection
from mysql_mimic.constants import DEFAULT_SERVER_CAPABILITIES
from mysql_mimic.packets import make_eof, make_ok
from mysql_mimic.session import BaseSession
from mysql_mimic.stream import MysqlStream
from mysql_mimic.types import Capabilities, ServerStatus

from citronwood.backend.api import Column, close_rows
from citronwood.mysql.auth import HandlerIdentityProvider
from citronwood.mysql.handler import Handler, KeyedHandler, StatementResult
from citronwood.mysql.results import (
    TEXT_COLUMN,
    frame,
    header,
    result_column,
    text_row,
)

# A client that does not accept the buffered rows within this time is disconnected,
# because an unfinished result occupies a backend connection.
SEND_TIMEOUT_S = 30.0
# Rows are buffered up to this size before they are sent.
BATCH_BYTES = 1 << 15
SERVER_CAPABILITIES = (
    DEFAULT_SERVER_CAPABILITIES
    | Capabilities.CLIENT_FOUND_ROWS
    | Capabilities.CLIENT_LONG_FLAG
    | Capabilities.CLIENT_TRANSACTIONS
)

_MAX_SINGLE_PACKET_BYTES = 0xFFFFFF - 1


class _LoginSession(BaseSession):  # type: ignore[misc]
    """Session attributes that the library's login uses."""

    __slots__ = ("database", "username")

    def __init__(self) -> None:
        self.username: str | None = None
        self.database: str | None = None


class RespondingConnection(Connection):  # type: ignore[misc]
    """Connection that writes the results of a ``Handler``."""

    server_charset = CharacterSet.utf8mb4
    client_charset = CharacterSet.utf8mb4
    stream: Any

    def __init__(
        self, stream: MysqlStream, handler: Handler, ssl: SSLContext | None
    ) -> None:
        session = _LoginSession()
        super().__init__(
            stream=stream,
            session=session,
            control=None,
            identity_provider=HandlerIdentityProvider(
                handler, lambda: session.database
            ),
            server_capabilities=SERVER_CAPABILITIES,
            ssl=ssl,
        )
        self._writer: asyncio.StreamWriter = stream.writer
        self._handler = handler
        self._keyed_handler = handler if isinstance(handler, KeyedHandler) else None
        self._has_attributes = False
        self._wants_found_rows = False
        self._deprecates_eof = False

    async def _send(self, packet: bytes) -> None:
        stream = self.stream
        if len(packet) <= _MAX_SINGLE_PACKET_BYTES:
            sequence = stream.seq.value
            stream._buffer.extend(frame(packet, sequence))
            stream.seq.value = (sequence + 1) & 0xFF
        else:
            await stream.write(packet, drain=False)
        await self._flush()

    async def _flush(self) -> None:
        data = self.stream._buffer
        unsent_bytes = self._writer.transport.get_write_buffer_size()
        if not unsent_bytes and len(data) <= BATCH_BYTES:
            # The transport buffers this much without blocking the writer, so draining
            # is not needed. The next read detects a lost connection.
            self.stream._buffer = bytearray()
            self._writer.write(data)
            return
        async with asyncio.timeout(SEND_TIMEOUT_S):
            await self.stream.drain()

    def _refresh_status(self) -> None:
        autocommit = self._keyed_handler is None or self._keyed_handler.autocommit
        self.status_flags = _STATUS_FLAGS[self._handler.in_transaction, autocommit]

    def _set_capabilities(self, capabilities: Capabilities) -> None:
        self.capabilities = capabilities
        self._deprecates_eof = Capabilities.CLIENT_DEPRECATE_EOF in capabilities
        self._wants_found_rows = Capabilities.CLIENT_FOUND_ROWS in capabilities
        self._has_attributes = Capabilities.CLIENT_QUERY_ATTRIBUTES in capabilities

    async def _write_result(
        self, result: StatementResult, encode: Callable[..., bytes]
    ) -> None:
        self._refresh_status()
        if result.rows is None:
            packet = self.ok(
                affected_rows=self._reported_rows(result),
                last_insert_id=result.last_insert_id,
                warnings=result.warnings,
            )
            await self._send(packet + result.info)
            return
        try:
            self._write_header(result.columns)
            await self._write_rows(result, encode)
        except BaseException:
            await close_rows(result.rows)
            raise
        await self._send(_end_packet(self._deprecates_eof, self.status_flags))

    def _write_header(self, columns: tuple[Column, ...]) -> None:
        stream = self.stream
        end = b"" if self._deprecates_eof else _end_packet(False, self.status_flags)
        data, stream.seq.value = header(columns, end, stream.seq.value)
        stream._buffer.extend(data)

    def _reported_rows(self, result: StatementResult) -> int:
        if result.changed_rows is None or self._wants_found_rows:
            return result.affected_rows
        return result.changed_rows

    async def _write_rows(
        self, result: StatementResult, encode: Callable[..., bytes]
    ) -> None:
        assert result.rows is not None
        columns = result.columns
        text_columns = [TEXT_COLUMN] * len(columns)
        async for batch in result.rows:
            if encode is text_row and not _has_large_row(batch):
                self.stream.write_text_rows(batch, text_columns)
            else:
                encoders = [result_column(column) for column in columns]
                packets = [encode(row, columns, encoders) for row in batch]
                await self._write_packets(packets)
            if len(self.stream._buffer) >= BATCH_BYTES:
                await self._flush()
                # Yield, so that a client that reads fast does not starve the others.
                await asyncio.sleep(0)

    async def _write_packets(self, packets: list[bytes]) -> None:
        if all(len(packet) <= _MAX_SINGLE_PACKET_BYTES for packet in packets):
            self.stream.write_many(packets)
            return
        for packet in packets:
            await self.stream.write(packet, drain=False)
            await self._flush()


def _has_large_row(batch: list[tuple[bytes | None, ...]]) -> bool:
    """Whether a row might not fit into one packet."""
    longest = 0
    for row in batch:
        for value in row:
            if value is not None and len(value) > longest:
                longest = len(value)
    return (
        longest * max(1, len(batch[0]) if batch else 1) > _MAX_SINGLE_PACKET_BYTES >> 1
    )


@lru_cache(maxsize=256)
def _end_packet(as_ok: bool, flags: int) -> bytes:
    """Return the EOF or OK packet that ends column definitions or rows."""
    status, protocol = ServerStatus(flags), Capabilities.CLIENT_PROTOCOL_41
    packet: bytes = (
        make_ok(protocol, status, eof=True) if as_ok else make_eof(protocol, status)
    )
    return packet


_STATUS_FLAGS = {
    (in_transaction, autocommit): ServerStatus(
        (ServerStatus.SERVER_STATUS_IN_TRANS if in_transaction else 0)
        | (ServerStatus.SERVER_STATUS_AUTOCOMMIT if autocommit else 0)
    )
    for in_transaction in (False, True)
    for autocommit in (False, True)
}
