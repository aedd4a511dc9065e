"""Prepared statements: placeholders and the parameters bound to them.

The protocol library inserts strings into the SQL text without escaping, decodes binary
values as text and does not support dates and decimals. This module replaces its code
for prepared statements.
"""

import re
import struct
from collections.abc import Callable
from decimal import Decimal
from io import BytesIO
from typing import NamedTuple

from mysql_mimic.errors import MysqlError
from mysql_mimic.types import (
    ColumnType,
    read_double,
    read_float,
    read_str_len,
    read_uint_1,
    read_uint_len,
)

from citronwood.errors import ErrorCode
from citronwood.mysql.codes import MysqlCode
from citronwood.mysql.lexical import QUOTED_OR_COMMENT
from citronwood.mysql.literals import Value, literal
from citronwood.mysql.results import DATE_TYPES, INTEGER_BYTES

MAX_PARAMETERS = 65_535

_PLACEHOLDER = re.compile(rf"{QUOTED_OR_COMMENT}|(\?)", re.DOTALL)
_NUMBER = re.compile(r"[-+]?(?:\d+(?:\.\d*)?|\.\d+)(?:[eE][-+]?\d+)?")
_PARAMETER_COUNT_AVAILABLE = 0x08
_UNSIGNED = 0x80
_BINARY_TYPES = {
    ColumnType.TINY_BLOB,
    ColumnType.MEDIUM_BLOB,
    ColumnType.LONG_BLOB,
    ColumnType.BLOB,
    ColumnType.BIT,
    ColumnType.GEOMETRY,
}
_DECIMAL_TYPES = {ColumnType.DECIMAL, ColumnType.NEWDECIMAL}


class Parameter(NamedTuple):
    """Type of a parameter, and its name if it is a query attribute."""

    type_code: int
    unsigned: bool
    name: str


class PreparedStatement:
    """Prepared statement of one connection.

    ``parts`` are the texts around the placeholders. ``types`` are the types that the
    client has sent last, None before the first execution.
    """

    __slots__ = ("long_data", "long_data_bytes", "parts", "types")

    def __init__(self, sql: str) -> None:
        self.parts = _split_at_placeholders(sql)
        self.types: list[Parameter] | None = None
        self.long_data: dict[int, bytearray] = {}
        self.long_data_bytes = 0
        if self.parameter_count > MAX_PARAMETERS:
            raise MysqlError("Too many placeholders", MysqlCode.WRONG_ARGUMENTS)

    @property
    def parameter_count(self) -> int:
        """Number of placeholders."""
        return len(self.parts) - 1

    def append_long_data(self, index: int, data: bytes, limit_bytes: int) -> None:
        """Add a chunk of a long parameter.

        The command has no response. Data beyond the limit is therefore only counted,
        and ``bind`` refuses the execution.
        """
        self.long_data_bytes += len(data)
        if self.long_data_bytes <= limit_bytes and index < self.parameter_count:
            self.long_data.setdefault(index, bytearray()).extend(data)

    def clear_long_data(self) -> None:
        """Discard the long parameters after an execution or a reset."""
        self.long_data = {}
        self.long_data_bytes = 0


def bind(
    statement: PreparedStatement, data: bytes, has_attributes: bool, limit_bytes: int
) -> tuple[str, dict[str, str]]:
    """Return the SQL text of an execution and its query attributes.

    ``data`` is the packet after the statement id; ``limit_bytes`` limits the long data.
    """
    if statement.long_data_bytes > limit_bytes:
        raise MysqlError(
            f"Parameters exceed {limit_bytes} bytes; send shorter ones",
            ErrorCode.STATEMENT_TOO_LONG,
        )
    reader = BytesIO(data)
    flags = read_uint_1(reader)
    reader.read(4)  # iteration count
    count = statement.parameter_count
    if has_attributes and (count or flags & _PARAMETER_COUNT_AVAILABLE):
        count = max(count, read_uint_len(reader))
    if not count:
        return statement.parts[0], {}
    values, types = _read_values(reader, count, has_attributes, statement)
    placeholder_count = statement.parameter_count
    parts = [statement.parts[0]]
    for value, part in zip(
        values[:placeholder_count], statement.parts[1:], strict=True
    ):
        parts.append(_literal(value))
        parts.append(part)
    names = [parameter.name for parameter in types[placeholder_count:]]
    return "".join(parts), named_attributes(names, values[placeholder_count:])


def read_attributes(reader: BytesIO) -> dict[str, str]:
    """Read the query attributes of COM_QUERY."""
    count = read_uint_len(reader)
    read_uint_len(reader)  # number of parameter sets, always 1
    if not count:
        return {}
    values, types = _read_values(reader, count, True, None)
    return named_attributes([parameter.name for parameter in types], values)


def named_attributes(names: list[str], values: list[Value]) -> dict[str, str]:
    """Return the query attributes that have a name and a value."""
    pairs = zip(names, values, strict=True)
    return {n: str(v) for n, v in pairs if n and v is not None}


def _split_at_placeholders(sql: str) -> list[str]:
    parts, start = [], 0
    for match in _PLACEHOLDER.finditer(sql):
        if match.group(1):
            parts.append(sql[start : match.start()])
            start = match.end()
    return [*parts, sql[start:]]


def _literal(value: Value) -> str:
    try:
        return literal(value)
    except ValueError as error:
        raise MysqlError(f"Bad parameter: {error}", MysqlCode.WRONG_ARGUMENTS) from None


def _read_values(
    reader: BytesIO, count: int, has_names: bool, statement: PreparedStatement | None
) -> tuple[list[Value], list[Parameter]]:
    if count > MAX_PARAMETERS:
        raise MysqlError("Too many parameters", MysqlCode.MALFORMED_PACKET)
    null_bitmap = reader.read((count + 7) // 8)
    if len(null_bitmap) != (count + 7) // 8:
        raise MysqlError("Malformed parameters", MysqlCode.MALFORMED_PACKET)
    if read_uint_1(reader):
        types = [_read_type(reader, has_names) for _ in range(count)]
        if statement is not None:
            statement.types = types
    elif statement is not None and statement.types is not None:
        # Clients may leave out the types after the first execution.
        types = statement.types
    else:
        types = []
    if len(types) != count:
        raise MysqlError(
            "The types of the parameters are missing", MysqlCode.WRONG_ARGUMENTS
        )
    long_data = {} if statement is None else statement.long_data
    values: list[Value] = []
    for index, parameter in enumerate(types):
        if index in long_data:
            values.append(_text_or_bytes(bytes(long_data[index]), parameter.type_code))
        elif null_bitmap[index // 8] >> (index % 8) & 1:
            values.append(None)
        else:
            values.append(_read_value(reader, parameter))
    return values, types


def _read_type(reader: BytesIO, has_name: bool) -> Parameter:
    type_code, flags = read_uint_1(reader), read_uint_1(reader)
    name = read_str_len(reader).decode() if has_name else ""
    return Parameter(type_code, bool(flags & _UNSIGNED), name)


def _read_value(reader: BytesIO, parameter: Parameter) -> Value:
    type_code = parameter.type_code
    size = INTEGER_BYTES.get(type_code)
    if size is not None:
        data = _read_exactly(reader, size)
        return int.from_bytes(data, "little", signed=not parameter.unsigned)
    read_special = _VALUE_READERS.get(type_code)
    if read_special is not None:
        return read_special(reader)
    data = read_str_len(reader)
    if type_code in _DECIMAL_TYPES:
        return _parse_decimal(data)
    return _text_or_bytes(data, type_code)


def _text_or_bytes(data: bytes, type_code: int) -> Value:
    if type_code in _BINARY_TYPES:
        return data
    try:
        return data.decode()
    except UnicodeDecodeError:
        # Some drivers send binary values with a string type.
        return data


def _parse_decimal(data: bytes) -> Value:
    text = data.decode("ascii")
    if not _NUMBER.fullmatch(text):
        raise MysqlError("Malformed decimal parameter", MysqlCode.WRONG_ARGUMENTS)
    return Decimal(text)


def _read_exactly(reader: BytesIO, size: int) -> bytes:
    data = reader.read(size)
    if len(data) != size:
        raise MysqlError("Malformed parameters", MysqlCode.MALFORMED_PACKET)
    return data


def _read_date(reader: BytesIO) -> str:
    data = _read_exactly(reader, read_uint_1(reader))
    # Fields that are zero may be left out at the end.
    data += bytes(11 - len(data))
    year, month, day, hour, minute, second, micros = struct.unpack("<HBBBBBI", data)
    date = f"{year:04}-{month:02}-{day:02}"
    if not (hour or minute or second or micros):
        return date
    fraction = f".{micros:06}" if micros else ""
    return f"{date} {hour:02}:{minute:02}:{second:02}{fraction}"


def _read_time(reader: BytesIO) -> str:
    data = _read_exactly(reader, read_uint_1(reader))
    data += bytes(12 - len(data))
    negative, days, hours, minutes, seconds, micros = struct.unpack("<BIBBBI", data)
    sign = "-" if negative else ""
    fraction = f".{micros:06}" if micros else ""
    return f"{sign}{days * 24 + hours:02}:{minutes:02}:{seconds:02}{fraction}"


_VALUE_READERS: dict[int, Callable[[BytesIO], Value]] = {
    ColumnType.NULL: lambda _: None,
    ColumnType.FLOAT: read_float,
    ColumnType.DOUBLE: read_double,
    ColumnType.TIME: _read_time,
    **dict.fromkeys(DATE_TYPES, _read_date),
}
