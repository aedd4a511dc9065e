"""Result sets in the MySQL protocol.

Values stay as the backend server sent them in the text protocol; the binary protocol
needs them converted by the type of their column.
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

MAX_CACHED_COLUMNS = 64

INTEGER_BYTES = {
    ColumnType.TINY: 1,
    ColumnType.BOOL: 1,
    ColumnType.SHORT: 2,
    ColumnType.YEAR: 2,
    ColumnType.LONG: 4,
    ColumnType.INT24: 4,
    ColumnType.LONGLONG: 8,
}
_FLOATS = {ColumnType.FLOAT: "<f", ColumnType.DOUBLE: "<d"}
DATE_TYPES = {ColumnType.DATE, ColumnType.DATETIME, ColumnType.TIMESTAMP}
_WITHOUT_CHARSET = {*INTEGER_BYTES, *_FLOATS, *DATE_TYPES, ColumnType.TIME}

TEXT_COLUMN = ResultColumn("", ColumnType.STRING)
"""Column whose encoder passes bytes on, for all values of the text protocol."""


@lru_cache(maxsize=4096)
def result_column(column: Column) -> ResultColumn:
    """Return the protocol library's form of a column, with an encoder of text values.

    The library's own encoders cut small integers to 0 and 1 and fail for unsigned
    ones and for dates with zeros.
    """
    encode = _encoder(column.type_code)
    binary = column.binary or column.type_code in _WITHOUT_CHARSET
    return ResultColumn(
        name=column.name,
        type=ColumnType(column.type_code),
        character_set=CharacterSet.binary if binary else CharacterSet.utf8mb4,
        binary_encoder=lambda _, value: encode(value),
    )


class Header(NamedTuple):
    """Framed packets before the rows, and the sequence number of the next packet."""

    data: bytes
    next_sequence: int


def header(columns: tuple[Column, ...], end: bytes, sequence: int) -> Header:
    """Return column count and definitions, followed by the packet ``end`` if any."""
    if len(columns) > MAX_CACHED_COLUMNS:
        return _header.__wrapped__(columns, end, sequence)
    return _header(columns, end, sequence)


@lru_cache(maxsize=512)
def _header(columns: tuple[Column, ...], end: bytes, sequence: int) -> Header:
    packets = [uint_len(len(columns)), *[_definition(column) for column in columns]]
    if end:
        packets.append(end)
    data = b"".join(
        frame(packet, sequence + number) for number, packet in enumerate(packets)
    )
    return Header(data, (sequence + len(packets)) & 0xFF)


def frame(packet: bytes, sequence: int) -> bytes:
    """Return a packet of less than 16 MB with its header."""
    return struct.pack("<I", len(packet) | (sequence & 0xFF) << 24) + packet


def _definition(column: Column) -> bytes:
    converted = result_column(column)
    packet: bytes = make_column_definition_41(
        server_charset=CharacterSet.utf8mb4,
        name=column.name,
        column_type=converted.type,
        column_length=column.length or 1024,
        character_set=converted.character_set,
        flags=ColumnDefinition(column.flags),
        decimals=column.decimals,
    )
    return packet


def text_row(
    row: Row, columns: tuple[Column, ...], encoders: list[ResultColumn]
) -> bytes:
    """Return a row in the text protocol."""
    return b"".join([b"\xfb" if value is None else _string(value) for value in row])


def binary_row(
    row: Row, columns: tuple[Column, ...], encoders: list[ResultColumn]
) -> bytes:
    """Return a row in the binary protocol."""
    nulls = bytearray((len(row) + 9) // 8)
    parts = []
    for index, value in enumerate(row):
        if value is None:
            nulls[(index + 2) // 8] |= 1 << (index + 2) % 8
        else:
            parts.append(encoders[index].binary_encode(value))
    return b"".join((b"\0", nulls, *parts))


def _encoder(type_code: int) -> Callable[[bytes], bytes]:
    size = INTEGER_BYTES.get(type_code)
    if size is not None:
        mask = (1 << 8 * size) - 1
        # The mask serves signed and unsigned values alike.
        return lambda value: (int(value) & mask).to_bytes(size, "little")
    layout = _FLOATS.get(type_code)
    if layout is not None:
        return lambda value: struct.pack(layout, float(value))
    if type_code in DATE_TYPES:
        return _date
    return _time if type_code == ColumnType.TIME else _string


def _string(value: bytes) -> bytes:
    length = len(value)
    if length < 251:
        return b"%c%b" % (length, value)
    prefix: bytes = uint_len(length)
    return prefix + value


def _date(value: bytes) -> bytes:
    date, _, time = value.decode().replace("T", " ").partition(" ")
    year, month, day = (int(part) for part in date.split("-"))
    hour, minute, second, micros = _clock(time) if time else (0, 0, 0, 0)
    if micros:
        return struct.pack(
            "<BHBBBBBI", 11, year, month, day, hour, minute, second, micros
        )
    if hour or minute or second:
        return struct.pack("<BHBBBBB", 7, year, month, day, hour, minute, second)
    return struct.pack("<BHBB", 4, year, month, day)


def _time(value: bytes) -> bytes:
    text = value.decode()
    negative = text.startswith("-")
    hours, minutes, seconds, micros = _clock(text.lstrip("-"))
    days, hours = divmod(hours, 24)
    if micros:
        return struct.pack(
            "<BBIBBBI", 12, negative, days, hours, minutes, seconds, micros
        )
    return struct.pack("<BBIBBB", 8, negative, days, hours, minutes, seconds)


def _clock(text: str) -> tuple[int, int, int, int]:
    whole, _, fraction = text.partition(".")
    hours, minutes, seconds = (int(part) for part in whole.split(":"))
    return hours, minutes, seconds, int(fraction.ljust(6, "0")[:6] or 0)
