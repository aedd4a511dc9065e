"""Translation of SQLite errors to MySQL error codes and messages."""

import re
import sqlite3

from mysql_mimic.errors import MysqlError

_ERROR_PATTERNS = [
    (re.compile(r"UNIQUE constraint failed: (.*)"), 1062, "Duplicate entry for key {}"),
    (re.compile(r"NOT NULL constraint failed: (.*)"), 1048, "Column {} cannot be null"),
    (re.compile(r"no such table: (\S+)"), 1146, "Table '{}' doesn't exist"),
    (
        re.compile(r"no such index: (\S+)"),
        1091,
        "Can't DROP '{}'; check that it exists",
    ),
    (re.compile(r"no such column: (\S+)"), 1054, "Unknown column '{}'"),
    (re.compile(r"has no column named (\S+)"), 1054, "Unknown column '{}'"),
    (re.compile(r"duplicate column name: (\S+)"), 1060, "Duplicate column name '{}'"),
    (re.compile(r"table (\S+) already exists"), 1050, "Table '{}' already exists"),
    (re.compile(r"index (\S+) already exists"), 1061, "Duplicate key name '{}'"),
    (re.compile(r"FOREIGN KEY constraint failed"), 1452, "A foreign key fails"),
    (re.compile(r"CHECK constraint failed: (.*)"), 3819, "Check '{}' is violated"),
    (re.compile(r"no such function: (\S+)"), 1305, "FUNCTION {} does not exist"),
    (re.compile(r"values for (\d+) columns"), 1136, "Column count doesn't match"),
    (re.compile(r"database is locked"), 1205, "Lock wait timeout exceeded"),
]
_ER_PARSE_ERROR = 1064
_ER_BAD_TABLE_ERROR = 1051
_DROP = re.compile(r"\s*DROP\b", re.I)
_NO_SUCH = re.compile(r"no such (?:table|view): (\S+)")


def mysql_error(error: sqlite3.Error, sql: str = "") -> MysqlError:
    """Return the error that MySQL reports in place of an SQLite error.

    An SQLite error that matches no pattern becomes a parse error.
    """
    text = str(error)
    missing = _NO_SUCH.search(text)
    if missing is not None and _DROP.match(sql):
        return MysqlError(f"Unknown table '{missing.group(1)}'", _ER_BAD_TABLE_ERROR)
    for pattern, code, message in _ERROR_PATTERNS:
        match = pattern.search(text)
        if match is not None:
            return MysqlError(message.format(*match.groups()), code)
    return MysqlError(f"{text}", _ER_PARSE_ERROR)
