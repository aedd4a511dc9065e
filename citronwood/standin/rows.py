"""Result sets of the member stand-in, in batches of rows."""

import sqlite3
from collections.abc import AsyncIterator

from citronwood.backend.api import Column, Row
from citronwood.mysql.server import StatementResult
from citronwood.standin.calls import ResultSet
from citronwood.standin.columns import (
    ColumnTypes,
    Encoder,
    declared_column,
    encode_rows,
    encode_value,
    sampled_column,
)
from citronwood.standin.failures import mysql_error
from citronwood.standin.sql import Statement, restore_literals

BATCH_ROWS = 500


def buffered_result(result_set: ResultSet) -> StatementResult:
    """Return a result whose rows are all in memory."""
    columns, rows = result_set
    encoded = [tuple(encode_value(value) for value in row) for row in rows]
    return StatementResult(tuple(columns), _one_batch(encoded))


def stream_rows(
    statement: Statement,
    cursor: sqlite3.Cursor,
    types: ColumnTypes,
    schema_version: int,
) -> StatementResult:
    """Return a result that reads the cursor as the client consumes the rows."""
    first = cursor.fetchmany(BATCH_ROWS)
    columns, encoders = _columns(statement, cursor, first, types, schema_version)
    rows = encode_rows(first, encoders)
    if len(first) < BATCH_ROWS:
        return StatementResult(columns, _one_batch(rows))
    return StatementResult(columns, _batches(cursor, rows, encoders))


def _columns(
    statement: Statement,
    cursor: sqlite3.Cursor,
    first: list[tuple[object, ...]],
    types: ColumnTypes,
    schema_version: int,
) -> tuple[tuple[Column, ...], list[Encoder]]:
    sql = statement.plan.sql
    # This call also clears the cached columns after a schema change.
    declared = types.declared_types(sql, schema_version)
    cached = types.cached_columns(sql)
    if cached is not None:
        return cached
    names = restore_literals(statement, [entry[0] for entry in cursor.description])
    typed_columns = []
    for i, name in enumerate(names):
        column = declared_column(name, declared[i]) if i < len(declared) else None
        typed_columns.append(column or sampled_column(name, [row[i] for row in first]))
    columns = tuple(column for column, _ in typed_columns)
    encoders = [encode for _, encode in typed_columns]
    if declared and all(declared_column("", kind) for kind in declared):
        types.cache_columns(sql, columns, encoders)
    return columns, encoders


async def _one_batch(rows: list[Row]) -> AsyncIterator[list[Row]]:
    yield rows


async def _batches(
    cursor: sqlite3.Cursor, first: list[Row], encoders: list[Encoder]
) -> AsyncIterator[list[Row]]:
    try:
        yield first
        while True:
            try:
                rows = cursor.fetchmany(BATCH_ROWS)
            except sqlite3.Error as error:
                raise mysql_error(error) from error
            if not rows:
                return
            yield encode_rows(rows, encoders)
    finally:
        cursor.close()
