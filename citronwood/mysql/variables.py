"""System variables that the session keeps without a backend server.

Statements run on pooled connections, where a changed variable would affect other
clients. The session stores values that have no effect on a backend server or whose
effect it implements itself, and refuses all others.
"""

from collections.abc import Callable
from typing import NamedTuple

from mysql_mimic.errors import MysqlError

from citronwood.mysql.codes import MysqlCode
from citronwood.mysql.connection import SERVER_VERSION
from citronwood.mysql.packets import MAX_PACKET_BYTES

VariableValue = int | str | None

_CHARSETS = ("utf8mb4", "utf8mb3", "utf8", "binary", "ascii")
# Transactions run at REPEATABLE READ; the weaker levels are accepted without effect.
_ISOLATION_LEVELS = {"READ-UNCOMMITTED", "READ-COMMITTED", "REPEATABLE-READ"}
_PARSING_MODES = {"ANSI_QUOTES", "NO_BACKSLASH_ESCAPES", "ANSI", "PIPES_AS_CONCAT"}


class Variable(NamedTuple):
    """System variable with its default and the check of new values.

    ``check`` returns the value to store or rejects the new value. It is None if the
    variable is read-only.
    """

    default: VariableValue
    check: Callable[[VariableValue], VariableValue] | None = None


class _RejectedError(ValueError):
    """A variable cannot be set to a value; the message is the reason."""


def _any_value(value: VariableValue) -> VariableValue:
    return value


def _boolean(value: VariableValue) -> VariableValue:
    booleans = {"0": 0, "OFF": 0, "FALSE": 0, "1": 1, "ON": 1, "TRUE": 1}
    boolean = booleans.get(str(value).upper())
    if boolean is None:
        raise _RejectedError("use 0 or 1")
    return boolean


def _one_of(*accepted: VariableValue) -> Callable[[VariableValue], VariableValue]:
    names = {str(value).upper() for value in accepted}

    def check(value: VariableValue) -> VariableValue:
        if str(value).upper() not in names:
            raise _RejectedError(
                "it would have to be set on backend connections that are shared"
            )
        # ON and OFF are stored as 1 and 0.
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


_IGNORED_TIMEOUT = Variable(28800, _any_value)
_DEFAULT_SQL_MODE = (
    "ONLY_FULL_GROUP_BY,STRICT_TRANS_TABLES,NO_ZERO_IN_DATE,NO_ZERO_DATE,"
    "ERROR_FOR_DIVISION_BY_ZERO,NO_ENGINE_SUBSTITUTION"
)

VARIABLES: dict[str, Variable] = {
    "autocommit": Variable(1, _boolean),
    "auto_increment_increment": Variable(1, _one_of(1)),
    "auto_increment_offset": Variable(1, _one_of(1)),
    "big_tables": Variable(0, _one_of(0, "OFF")),
    "character_set_client": Variable("utf8mb4", _charset),
    "character_set_connection": Variable("utf8mb4", _charset),
    "character_set_database": Variable("utf8mb4", _charset),
    "character_set_results": Variable("utf8mb4", _charset),
    "character_set_server": Variable("utf8mb4", _charset),
    "character_set_system": Variable("utf8mb3"),
    "collation_connection": Variable("utf8mb4_0900_ai_ci", _collation),
    "collation_database": Variable("utf8mb4_0900_ai_ci", _collation),
    "collation_server": Variable("utf8mb4_0900_ai_ci", _collation),
    "default_storage_engine": Variable("InnoDB", _one_of("InnoDB")),
    "error_count": Variable(0),
    "foreign_key_checks": Variable(1, _one_of(1, "ON")),
    "group_concat_max_len": Variable(1024, _one_of(1024)),
    "have_openssl": Variable("YES"),
    "have_ssl": Variable("YES"),
    "init_connect": Variable(""),
    "innodb_lock_wait_timeout": Variable(50, _one_of(50)),
    "interactive_timeout": _IGNORED_TIMEOUT,
    "lc_time_names": Variable("en_US", _one_of("en_US")),
    "license": Variable("GPL"),
    "lower_case_table_names": Variable(0),
    "max_allowed_packet": Variable(MAX_PACKET_BYTES),
    "max_execution_time": Variable(0, _one_of(0)),
    "net_buffer_length": Variable(16384),
    "net_read_timeout": _IGNORED_TIMEOUT,
    "net_write_timeout": _IGNORED_TIMEOUT,
    "performance_schema": Variable(0),
    "protocol_version": Variable(10),
    "query_cache_size": Variable(0),
    "query_cache_type": Variable("OFF"),
    "read_only": Variable(0),
    "session_track_schema": Variable(1, _any_value),
    "session_track_state_change": Variable(0, _any_value),
    "session_track_system_variables": Variable("", _any_value),
    "session_track_gtids": Variable("OFF", _any_value),
    "sql_auto_is_null": Variable(0, _one_of(0, "OFF")),
    "sql_big_selects": Variable(1, _one_of(1, "ON")),
    "sql_mode": Variable(_DEFAULT_SQL_MODE, _sql_mode),
    "sql_notes": Variable(1, _any_value),
    "sql_quote_show_create": Variable(1, _one_of(1, "ON")),
    "sql_safe_updates": Variable(0, _one_of(0, "OFF")),
    "sql_select_limit": Variable((1 << 64) - 1, _one_of((1 << 64) - 1)),
    "sql_warnings": Variable(0, _any_value),
    "super_read_only": Variable(0),
    "system_time_zone": Variable("UTC"),
    "time_zone": Variable("SYSTEM", _one_of("SYSTEM", "+00:00", "UTC")),
    "transaction_isolation": Variable("REPEATABLE-READ", _isolation),
    "transaction_read_only": Variable(0, _boolean),
    "tx_isolation": Variable("REPEATABLE-READ", _isolation),
    "tx_read_only": Variable(0, _boolean),
    "unique_checks": Variable(1, _one_of(1, "ON")),
    "version": Variable(SERVER_VERSION),
    "version_comment": Variable("citronwood"),
    "version_compile_machine": Variable("x86_64"),
    "version_compile_os": Variable("Linux"),
    "wait_timeout": _IGNORED_TIMEOUT,
    "warning_count": Variable(0),
}
_ALIASES = {
    "tx_isolation": "transaction_isolation",
    "tx_read_only": "transaction_read_only",
    "storage_engine": "default_storage_engine",
}


def canonical_name(name: str) -> str:
    """Return the name under which a system variable is stored."""
    lower = name.lower()
    return _ALIASES.get(lower, lower)


def find_variable(name: str) -> Variable:
    """Return a system variable, or raise ``MysqlError`` if it is not supported."""
    variable = VARIABLES.get(canonical_name(name))
    if variable is None:
        raise MysqlError(
            f"Unknown system variable '{name}'; it cannot be kept on shared backend"
            " connections",
            MysqlCode.UNKNOWN_VARIABLE,
        )
    return variable


def validate_value(name: str, value: VariableValue) -> VariableValue:
    """Return a new value as it is stored, or raise ``MysqlError``."""
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
