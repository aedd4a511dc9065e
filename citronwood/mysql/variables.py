"""Session variables that are answered without a backend server.

Statements run on pooled connections, so that a variable set there would reach other
callers. The session keeps the values that have no effect on a backend server, or
whose effect the session provides itself, and refuses all others.
"""

from collections.abc import Callable
from typing import NamedTuple

from mysql_mimic.errors import MysqlError

from citronwood.mysql.codes import MysqlCode
from citronwood.mysql.connection import SERVER_VERSION
from citronwood.mysql.packets import MAX_PACKET_BYTES

VariableValue = int | str | None

_CHARSETS = ("utf8mb4", "utf8mb3", "utf8", "binary", "ascii")
_ISOLATION_LEVELS = {"READ-UNCOMMITTED", "READ-COMMITTED", "REPEATABLE-READ"}
_PARSING_MODES = {"ANSI_QUOTES", "NO_BACKSLASH_ESCAPES", "ANSI", "PIPES_AS_CONCAT"}


class Variable(NamedTuple):
    """System variable: default and check of a new value, None if read-only."""

    default: VariableValue
    check: Callable[[VariableValue], VariableValue] | None = None


class _RejectedError(ValueError):
    """A value that the session cannot keep; the message says why."""


def _anything(value: VariableValue) -> VariableValue:
    return value


def _switch(value: VariableValue) -> VariableValue:
    known = {"0": 0, "OFF": 0, "FALSE": 0, "1": 1, "ON": 1, "TRUE": 1}
    switch = known.get(str(value).upper())
    if switch is None:
        raise _RejectedError("use 0 or 1")
    return switch


def _only(*accepted: VariableValue) -> Callable[[VariableValue], VariableValue]:
    names = {str(value).upper() for value in accepted}

    def check(value: VariableValue) -> VariableValue:
        if str(value).upper() not in names:
            raise _RejectedError(
                "it would have to be set on backend connections that are shared"
            )
        # ON and OFF are the names of 1 and 0.
        return {"ON": 1, "OFF": 0}.get(str(value).upper(), value)

    return check


def _charset(value: VariableValue) -> VariableValue:
    if value is not None and str(value).lower() not in _CHARSETS:
        raise _RejectedError("only utf8mb4 is supported")
    return None if value is None else str(value).lower()


def _collation(value: VariableValue) -> VariableValue:
    if not str(value).lower().startswith(("utf8", "binary")):
        raise _RejectedError("only collations of utf8mb4 are supported")
    return value


def _isolation(value: VariableValue) -> VariableValue:
    level = str(value).upper().replace(" ", "-")
    if level not in _ISOLATION_LEVELS:
        raise _RejectedError("transactions run at REPEATABLE READ")
    return level


def _sql_mode(value: VariableValue) -> VariableValue:
    refused = _PARSING_MODES & set(str(value).upper().replace(" ", "").split(","))
    if refused:
        raise _RejectedError(f"{refused.pop()} changes how statements are parsed")
    return value


_TIMEOUT = Variable(28800, _anything)
_DEFAULT_MODE = (
    "ONLY_FULL_GROUP_BY,STRICT_TRANS_TABLES,NO_ZERO_IN_DATE,NO_ZERO_DATE,"
    "ERROR_FOR_DIVISION_BY_ZERO,NO_ENGINE_SUBSTITUTION"
)

VARIABLES: dict[str, Variable] = {
    "autocommit": Variable(1, _switch),
    "auto_increment_increment": Variable(1, _only(1)),
    "auto_increment_offset": Variable(1, _only(1)),
    "big_tables": Variable(0, _only(0, "OFF")),
    "character_set_client": Variable("utf8mb4", _charset),
    "character_set_connection": Variable("utf8mb4", _charset),
    "character_set_database": Variable("utf8mb4", _charset),
    "character_set_results": Variable("utf8mb4", _charset),
    "character_set_server": Variable("utf8mb4", _charset),
    "character_set_system": Variable("utf8mb3"),
    "collation_connection": Variable("utf8mb4_0900_ai_ci", _collation),
    "collation_database": Variable("utf8mb4_0900_ai_ci", _collation),
    "collation_server": Variable("utf8mb4_0900_ai_ci", _collation),
    "default_storage_engine": Variable("InnoDB", _only("InnoDB")),
    "error_count": Variable(0),
    "foreign_key_checks": Variable(1, _only(1, "ON")),
    "group_concat_max_len": Variable(1024, _only(1024)),
    "have_openssl": Variable("YES"),
    "have_ssl": Variable("YES"),
    "init_connect": Variable(""),
    "innodb_lock_wait_timeout": Variable(50, _only(50)),
    "interactive_timeout": _TIMEOUT,
    "lc_time_names": Variable("en_US", _only("en_US")),
    "license": Variable("GPL"),
    "lower_case_table_names": Variable(0),
    "max_allowed_packet": Variable(MAX_PACKET_BYTES),
    "max_execution_time": Variable(0, _only(0)),
    "net_buffer_length": Variable(16384),
    "net_read_timeout": _TIMEOUT,
    "net_write_timeout": _TIMEOUT,
    "performance_schema": Variable(0),
    "protocol_version": Variable(10),
    "query_cache_size": Variable(0),
    "query_cache_type": Variable("OFF"),
    "read_only": Variable(0),
    "session_track_schema": Variable(1, _anything),
    "session_track_state_change": Variable(0, _anything),
    "session_track_system_variables": Variable("", _anything),
    "session_track_gtids": Variable("OFF", _anything),
    "sql_auto_is_null": Variable(0, _only(0, "OFF")),
    "sql_big_selects": Variable(1, _only(1, "ON")),
    "sql_mode": Variable(_DEFAULT_MODE, _sql_mode),
    "sql_notes": Variable(1, _anything),
    "sql_quote_show_create": Variable(1, _only(1, "ON")),
    "sql_safe_updates": Variable(0, _only(0, "OFF")),
    "sql_select_limit": Variable((1 << 64) - 1, _only((1 << 64) - 1)),
    "sql_warnings": Variable(0, _anything),
    "super_read_only": Variable(0),
    "system_time_zone": Variable("UTC"),
    "time_zone": Variable("SYSTEM", _only("SYSTEM", "+00:00", "UTC")),
    "transaction_isolation": Variable("REPEATABLE-READ", _isolation),
    "transaction_read_only": Variable(0, _switch),
    "tx_isolation": Variable("REPEATABLE-READ", _isolation),
    "tx_read_only": Variable(0, _switch),
    "unique_checks": Variable(1, _only(1, "ON")),
    "version": Variable(SERVER_VERSION),
    "version_comment": Variable("citronwood"),
    "version_compile_machine": Variable("x86_64"),
    "version_compile_os": Variable("Linux"),
    "wait_timeout": _TIMEOUT,
    "warning_count": Variable(0),
}
_ALIASES = {
    "tx_isolation": "transaction_isolation",
    "tx_read_only": "transaction_read_only",
    "storage_engine": "default_storage_engine",
}


def canonical_name(name: str) -> str:
    """Return the name under which a system variable is kept."""
    lower = name.lower()
    return _ALIASES.get(lower, lower)


def find_variable(name: str) -> Variable:
    """Return a system variable, or raise ``MysqlError`` if it is not known here."""
    variable = VARIABLES.get(canonical_name(name))
    if variable is None:
        raise MysqlError(
            f"Unknown system variable '{name}'; it cannot be kept on shared backend"
            " connections",
            MysqlCode.UNKNOWN_VARIABLE,
        )
    return variable


def checked_value(name: str, value: VariableValue) -> VariableValue:
    """Return the value as it is kept, or raise ``MysqlError``."""
    variable = find_variable(name)
    if variable.check is None:
        raise MysqlError(
            f"Variable '{name}' is read-only", MysqlCode.READ_ONLY_VARIABLE
        )
    try:
        return variable.check(value)
    except _RejectedError as error:
        raise MysqlError(
            f"Variable '{name}' cannot be set to '{value}': {error}",
            MysqlCode.WRONG_VALUE,
        ) from None
