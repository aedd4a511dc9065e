"""Types and encoding of result columns of the member stand-in."""

import sqlite3
from collections.abc import Callable, Sequence
from functools import partial

from mysql_mimic.types import ColumnType

from citronwood.backend.api import Column, Row

Encoder = Callable[[object], bytes | None]

_COLUMN_TYPES = {
    "INTEGER": ColumnType.LONGLONG,
    "INT": ColumnType.LONG,
    "BIGINT": ColumnType.LONGLONG,
    "SMALLINT": ColumnType.SHORT,
    "MEDIUMINT": ColumnType.INT24,
    "TINYINT": ColumnType.TINY,
    "BOOL": ColumnType.TINY,
    "BOOLEAN": ColumnType.TINY,
    "YEAR": ColumnType.YEAR,
    "DECIMAL": ColumnType.NEWDECIMAL,
    "NUMERIC": ColumnType.NEWDECIMAL,
    "FLOAT": ColumnType.FLOAT,
    "DOUBLE": ColumnType.DOUBLE,
    "REAL": ColumnType.DOUBLE,
    "DATE": ColumnType.DATE,
    "DATETIME": ColumnType.DATETIME,
    "TIMESTAMP": ColumnType.TIMESTAMP,
    "TIME": ColumnType.TIME,
    "CHAR": ColumnType.STRING,
    "VARCHAR": ColumnType.VAR_STRING,
    "JSON": ColumnType.JSON,
    "TEXT": ColumnType.BLOB,
    "LONGTEXT": ColumnType.BLOB,
    "MEDIUMTEXT": ColumnType.BLOB,
    "TINYTEXT": ColumnType.BLOB,
    "BLOB": ColumnType.BLOB,
    "LONGBLOB": ColumnType.BLOB,
    "MEDIUMBLOB": ColumnType.BLOB,
    "TINYBLOB": ColumnType.BLOB,
    "BINARY": ColumnType.STRING,
    "VARBINARY": ColumnType.VAR_STRING,
}
_BINARY_TYPES = {"BLOB", "LONGBLOB", "MEDIUMBLOB", "TINYBLOB", "BINARY", "VARBINARY"}


def declared_column(name: str, declared: str) -> tuple[Column, Encoder] | None:
    """Return the column and encoder of a declared type, None if it is unknown."""
    type_name = declared.split("(")[0].split(" ")[0].upper()
    type_code = _COLUMN_TYPES.get(type_name)
    if type_code is None:
        return None
    column = Column(name, type_code, type_name in _BINARY_TYPES)
    if type_code == ColumnType.NEWDECIMAL:
        return column, partial(_encode_decimal, _scale(declared))
    if type_code in (ColumnType.DATETIME, ColumnType.TIMESTAMP):
        return column, _encode_datetime
    if type_code == ColumnType.DATE:
        return column, _encode_date
    return column, encode_value


def sampled_column(name: str, sample: Sequence[object]) -> tuple[Column, Encoder]:
    """Return a column and encoder whose type fits the sampled values."""
    kinds = {type(value) for value in sample if value is not None}
    if kinds == {int}:
        return Column(name, ColumnType.LONGLONG, False), encode_value
    if kinds and kinds <= {int, float}:
        return Column(name, ColumnType.DOUBLE, False), encode_value
    if bytes in kinds:
        return Column(name, ColumnType.BLOB, True), encode_value
    return Column(name, ColumnType.VAR_STRING, False), encode_value


def encode_value(value: object) -> bytes | None:
    """Encode a value for the text protocol."""
    if value is None or isinstance(value, bytes):
        return value
    return str(value).encode()


def encode_rows(rows: list[tuple[object, ...]], encoders: list[Encoder]) -> list[Row]:
    """Encode a batch of rows."""
    if all(encoder is encode_value for encoder in encoders):
        return [tuple([encode_value(value) for value in row]) for row in rows]
    return [
        tuple([encode(value) for encode, value in zip(encoders, row, strict=True)])
        for row in rows
    ]


def _scale(declared: str) -> int:
    _, _, arguments = declared.partition("(")
    _, _, scale = arguments.rstrip(")").partition(",")
    return int(scale) if scale.strip().isdigit() else 0


def _encode_decimal(scale: int, value: object) -> bytes | None:
    if isinstance(value, int | float):
        return f"{value:.{scale}f}".encode()
    return encode_value(value)


def _encode_datetime(value: object) -> bytes | None:
    if isinstance(value, str):
        text = value.replace("T", " ")
        return (text if len(text) > 10 else text + " 00:00:00").encode()
    return encode_value(value)


def _encode_date(value: object) -> bytes | None:
    if isinstance(value, str):
        return value[:10].encode()
    return encode_value(value)


class ColumnTypes:
    """Cache of the declared types of result columns, by statement.

    SQLite resolves the types: the columns of a temporary view of the statement have the
    declared types of the table columns.
    """

    def __init__(self, connection: sqlite3.Connection) -> None:
        self._connection = connection
        self._declared_types: dict[str, list[str]] = {}
        self._cached_columns: dict[str, tuple[tuple[Column, ...], list[Encoder]]] = {}
        self._auto_increment: dict[str, bool] = {}
        self._schema_version = -1

    def declared_types(self, sql: str, schema_version: int) -> list[str]:
        """Return the declared type of each result column, "" if it has none.

        The list is empty if SQLite cannot create a view of the statement.
        """
        self._clear_if_stale(schema_version)
        types = self._declared_types.get(sql)
        if types is None:
            types = self._declared_types[sql] = self._resolve_types(sql)
        return types

    def has_auto_increment(self, table: str, schema_version: int) -> bool:
        """Return whether a table has an AUTO_INCREMENT column."""
        self._clear_if_stale(schema_version)
        cached = self._auto_increment.get(table)
        if cached is None:
            row = self._connection.execute(
                "SELECT sql FROM sqlite_master WHERE name = ? COLLATE NOCASE", (table,)
            ).fetchone()
            cached = row is not None and "AUTOINCREMENT" in row[0]
            self._auto_increment[table] = cached
        return cached

    def _clear_if_stale(self, schema_version: int) -> None:
        if schema_version != self._schema_version or len(self._declared_types) > 4096:
            self._declared_types.clear()
            self._cached_columns.clear()
            self._auto_increment.clear()
            self._schema_version = schema_version

    def cached_columns(
        self, sql: str
    ) -> tuple[tuple[Column, ...], list[Encoder]] | None:
        """Return the columns and encoders of a statement, None if not cached.

        ``declared_types`` must be called first, because it clears a stale cache.
        """
        return self._cached_columns.get(sql)

    def cache_columns(
        self, sql: str, columns: tuple[Column, ...], encoders: list[Encoder]
    ) -> None:
        """Cache columns whose types do not depend on the values."""
        self._cached_columns[sql] = columns, encoders

    def _resolve_types(self, sql: str) -> list[str]:
        try:
            self._connection.execute(
                "CREATE TEMP VIEW citronwood_types AS " + sql.replace("?", "NULL")
            )
        except sqlite3.Error:
            return []
        try:
            rows = self._connection.execute("PRAGMA table_info(citronwood_types)")
            return [row[2] for row in rows.fetchall()]
        except sqlite3.Error:
            return []
        finally:
            self._connection.execute("DROP VIEW citronwood_types")
