"""Result sets in the MySQL protocol.

The backend server sends values in the text protocol. They are passed on unchanged in
the text protocol, and converted by column type for the binary protocol.
"""

import struct
from collections.abc import Callable
from functools import lru_cache
from typing import NamedTuple

from mysql_mimic.charset import CharacterSet
from mysql_mimic.packets import make_column_definition_41
from mysql_mimic.results import ResultColumn
from mysql_mimic.types import ColumnDefinition, ColumnType, uint_len

from citronwood.backend.api import Column, Row

MAX_COLUMNS_PER_CACHED_RESULT = 64

INTEGER_BYTES = {
    ColumnType.TINY: 1,
    ColumnType.BOOL: 1,
    ColumnType.SHORT: 2,
    ColumnType.YEAR: 2,
    ColumnType.LONG: 4,
    ColumnType.INT24: 4,
    ColumnType.LONGLONG: 8,
}
_FLOAT_FORMATS = {ColumnType.FLOAT: "<f", ColumnType.DOUBLE: "<d"}
DATE_TYPES = {ColumnType.DATE, ColumnType.DATETIME, ColumnType.TIMESTAMP}
_TYPES_WITHOUT_CHARSET = {*INTEGER_BYTES, *_FLOAT_FORMATS, *DATE_TYPES, ColumnType.TIME}

TEXT_COLUMN = ResultColumn("", ColumnType.STRING)
"""Column for all values of the text protocol; its encoder leaves bytes unchanged."""


@lru_cache(maxsize=4096)
def result_column(column: Column) -> ResultColumn:
    """Convert a column to the protocol library's class.

    The binary encoder of the returned column takes values in the form of the text
    protocol. The library's own encoders truncate small integers to 0 or 1, and fail for
    unsigned integers and for dates with zeros.
    """
    encode = _make_encoder(column.type_code)
    binary = column.binary or column.type_code in _TYPES_WITHOUT_CHARSET
    return ResultColumn(
        name=column.name,
        type=ColumnType(column.type_code),
        character_set=CharacterSet.binary if binary else CharacterSet.utf8mb4,
        binary_encoder=lambda _, value: encode(value),
    )


class Header(NamedTuple):
    """Packets that precede the rows, and the sequence number of the next packet."""

    data: bytes
    next_sequence: int


def header(columns: tuple[Column, ...], end: bytes, sequence: int) -> Header:
    """Return the column count and definitions, then the packet ``end`` if not empty.

    ``sequence`` is the sequence number of the first packet.
    """
    if len(columns) > MAX_COLUMNS_PER_CACHED_RESULT:
        return _cached_header.__wrapped__(columns, end, sequence)
    return _cached_header(columns, end, sequence)


@lru_cache(maxsize=512)
def _cached_header(columns: tuple[Column, ...], end: bytes, sequence: int) -> Header:
    packets = [
        uint_len(len(columns)),
        *[_column_definition(column) for column in columns],
    ]
    if end:
        packets.append(end)
    data = b"".join(
        frame(packet, sequence + number) for number, packet in enumerate(packets)
    )
    return Header(data, (sequence + len(packets)) & 0xFF)


def frame(packet: bytes, sequence: int) -> bytes:
    """Prepend the packet header to a payload of less than 16 MB."""
    return struct.pack("<I", len(packet) | (sequence & 0xFF) << 24) + packet


def _column_definition(column: Column) -> bytes:
    library_column = result_column(column)
    packet: bytes = make_column_definition_41(
        server_charset=CharacterSet.utf8mb4,
        name=column.name,
        column_type=library_column.type,
        column_length=column.length or 1024,
        character_set=library_column.character_set,
        flags=ColumnDefinition(column.flags),
        decimals=column.decimals,
    )
    return packet


def text_row(
    row: Row, columns: tuple[Column, ...], encoders: list[ResultColumn]
) -> bytes:
    """Encode a row in the text protocol."""
    return b"".join(
        [b"\xfb" if value is None else _encode_string(value) for value in row]
    )


def binary_row(
    row: Row, columns: tuple[Column, ...], encoders: list[ResultColumn]
) -> bytes:
    """Encode a row in the binary protocol."""
    null_bitmap = bytearray((len(row) + 9) // 8)
    parts = []
    for index, value in enumerate(row):
        if value is None:
            null_bitmap[(index + 2) // 8] |= 1 << (index + 2) % 8
        else:
            parts.append(encoders[index].binary_encode(value))
    return b"".join((b"\0", null_bitmap, *parts))


def _make_encoder(type_code: int) -> Callable[[bytes], bytes]:
    size = INTEGER_BYTES.get(type_code)
    if size is not None:
        mask = (1 << 8 * size) - 1
        # Masking gives the right bytes for signed and unsigned values.
        return lambda value: (int(value) & mask).to_bytes(size, "little")
    struct_format = _FLOAT_FORMATS.get(type_code)
    if struct_format is not None:
        return lambda value: struct.pack(struct_format, float(value))
    if type_code in DATE_TYPES:
        return _encode_date
    return _encode_time if type_code == ColumnType.TIME else _encode_string


def _encode_string(value: bytes) -> bytes:
    length = len(value)
    if length < 251:
        return b"%c%b" % (length, value)
    prefix: bytes = uint_len(length)
    return prefix + value


def _encode_date(value: bytes) -> bytes:
    date, _, time = value.decode().replace("T", " ").partition(" ")
    year, month, day = (int(part) for part in date.split("-"))
    hour, minute, second, micros = _parse_time(time) if time else (0, 0, 0, 0)
    if micros:
        return struct.pack(
            "<BHBBBBBI", 11, year, month, day, hour, minute, second, micros
        )
    if hour or minute or second:
        return struct.pack("<BHBBBBB", 7, year, month, day, hour, minute, second)
    return struct.pack("<BHBB", 4, year, month, day)


def _encode_time(value: bytes) -> bytes:
    text = value.decode()
    negative = text.startswith("-")
    hours, minutes, seconds, micros = _parse_time(text.lstrip("-"))
    days, hours = divmod(hours, 24)
    if micros:
        return struct.pack(
            "<BBIBBBI", 12, negative, days, hours, minutes, seconds, micros
        )
    return struct.pack("<BBIBBB", 8, negative, days, hours, minutes, seconds)


def _parse_time(text: str) -> tuple[int, int, int, int]:
    whole, _, fraction = text.partition(".")
    hours, minutes, seconds = (int(part) for part in whole.split(":"))
    return hours, minutes, seconds, int(fraction.ljust(6, "0")[:6] or 0)
