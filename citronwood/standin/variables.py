"""System and user variables of a member session."""

import re
from collections.abc import Callable

from mysql_mimic.errors import MysqlError

from citronwood.standin.store import Value

ER_UNKNOWN_SYSTEM_VARIABLE = 1193

# Defaults, with the variables that MySQL 8.0 has removed but older connectors query
# (query_cache_*, tx_isolation, tx_read_only).
SYSTEM_VARIABLES: dict[str, Value] = {
    # The current value is ``Variables.autocommit``.
    "autocommit": 1,
    "auto_increment_increment": 1,
    "character_set_client": "utf8mb4",
    "character_set_connection": "utf8mb4",
    "character_set_database": "utf8mb4",
    "character_set_results": "utf8mb4",
    "character_set_server": "utf8mb4",
    "collation_connection": "utf8mb4_general_ci",
    "collation_database": "utf8mb4_general_ci",
    "collation_server": "utf8mb4_general_ci",
    "default_storage_engine": "InnoDB",
    "foreign_key_checks": 1,
    "init_connect": "",
    "innodb_lock_wait_timeout": 50,
    "interactive_timeout": 28800,
    "license": "GPL",
    "lower_case_table_names": 0,
    "max_allowed_packet": 1 << 20,
    "max_execution_time": 0,
    "net_write_timeout": 60,
    "performance_schema": 0,
    "query_cache_size": 0,
    "query_cache_type": "OFF",
    "sql_mode": "STRICT_TRANS_TABLES",
    "sql_select_limit": None,
    "system_time_zone": "UTC",
    "time_zone": "SYSTEM",
    "transaction_isolation": "REPEATABLE-READ",
    "transaction_read_only": 0,
    "tx_isolation": "REPEATABLE-READ",
    "tx_read_only": 0,
    "unique_checks": 1,
    "version": "8.0.29",
    "version_comment": "citronwood stand-in",
    "wait_timeout": 28800,
}

# The scope is matched and ignored: GLOBAL also sets the variable of the session only.
_ASSIGNMENT = re.compile(
    r"\s*(?:(?:GLOBAL|SESSION|LOCAL)\s+)?"
    r"(?P<name>@@?(?:(?:global|session|local)\.)?[\w$]+|\w+)\s*:?=\s*(?P<value>.*)$",
    re.I | re.S,
)
# SET statements that are accepted without an effect.
_SET_WITHOUT_EFFECT = re.compile(
    r"\s*SET\s+(?:(?:SESSION|GLOBAL)\s+)?(?:NAMES|CHARACTER\s+SET|CHARSET"
    r"|TRANSACTION|PASSWORD|ROLE)\b",
    re.I,
)
_SCOPE = re.compile(r"^@@(?:(?:global|session|local)\.)?", re.I)
_BOOLEAN_WORDS = {"on": 1, "true": 1, "off": 0, "false": 0}


class Variables:
    """Variables of one session."""

    def __init__(self) -> None:
        self._assigned_system: dict[str, Value] = {}
        self._user_variables: dict[str, Value] = {}
        self.autocommit = True

    def lookup(self, reference: str) -> Value:
        """Return the value of ``@name`` or ``@@name``."""
        if reference.startswith("@@"):
            return self.system_value(_SCOPE.sub("", reference))
        return self._user_variables.get(reference[1:].lower())

    def system_value(self, name: str) -> Value:
        """Return the value of a system variable."""
        key = name.lower()
        if key == "autocommit":
            return int(self.autocommit)
        if key in self._assigned_system:
            return self._assigned_system[key]
        if key not in SYSTEM_VARIABLES:
            raise MysqlError(
                f"Unknown system variable '{name}'", ER_UNKNOWN_SYSTEM_VARIABLE
            )
        return SYSTEM_VARIABLES[key]

    def all_system_values(self) -> dict[str, Value]:
        """Return the values of all system variables by name."""
        names = SYSTEM_VARIABLES.keys() | self._assigned_system.keys()
        return {name: self.system_value(name) for name in sorted(names)}

    def assign(self, sql: str, evaluate: Callable[[str], Value]) -> None:
        """Run a ``SET`` statement; ``evaluate`` computes SQL expressions."""
        if _SET_WITHOUT_EFFECT.match(sql):
            return
        body = re.sub(r"^\s*SET\s+", "", sql, flags=re.I).rstrip().rstrip(";")
        for part in split_top_level(body):
            match = _ASSIGNMENT.match(part)
            if match is None:
                # 1064 is ER_PARSE_ERROR.
                raise MysqlError(f"SET is not understood near '{part[:40]}'", 1064)
            self._assign_one(match.group("name"), match.group("value"), evaluate)

    def _assign_one(
        self, name: str, text: str, evaluate: Callable[[str], Value]
    ) -> None:
        if name.startswith("@") and not name.startswith("@@"):
            self._user_variables[name[1:].lower()] = evaluate(text)
            return
        key, word = _SCOPE.sub("", name).lower(), text.strip().lower()
        if word in _BOOLEAN_WORDS:
            value: Value = _BOOLEAN_WORDS[word]
        elif word == "default":
            value = SYSTEM_VARIABLES.get(key)
        elif re.fullmatch(r"[a-z_]\w*", word) and word != "null":
            # An unquoted word is a string: SET sql_mode = ANSI.
            value = text.strip()
        else:
            value = evaluate(text)
        if key == "autocommit":
            self.autocommit = value not in (0, "0")
        else:
            self._assigned_system[key] = value


def split_top_level(text: str) -> list[str]:
    """Split SQL at the commas outside of quotes and parentheses."""
    parts, depth, start = [], 0, 0
    for match in re.finditer(
        r"'(?:[^'\\]|\\.|'')*'|\"(?:[^\"\\]|\\.|\"\")*\"|`[^`]*`|[(),]", text, re.S
    ):
        token = match.group()
        if token == "(":
            depth += 1
        elif token == ")":
            depth -= 1
        elif token == "," and depth == 0:
            parts.append(text[start : match.start()])
            start = match.end()
    return [*parts, text[start:]]
