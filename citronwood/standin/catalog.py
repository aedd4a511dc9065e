"""``SHOW`` and ``DESCRIBE`` statements of the member stand-in."""

import re
from collections.abc import Callable
from time import monotonic
from typing import TYPE_CHECKING

from mysql_mimic.errors import MysqlError

from citronwood.standin.calls import (
    ResultSet,
    integer_column,
    status_result_set,
    text_column,
)
from citronwood.standin.group import Member
from citronwood.standin.store import INTERNAL_TABLES, quote_name

if TYPE_CHECKING:
    from citronwood.standin.session import MemberSession

_LIKE = re.compile(r"\b(?:LIKE|Variable_name\s*=)\s*'((?:[^'\\]|\\.)*)'", re.I)
_LAST_NAME = re.compile(r"(?:`?\w+`?\s*\.\s*)?`?(\w+)`?\s*;?\s*$")
_DESCRIBE_NAME = re.compile(r"\S+\s+(?:`?\w+`?\s*\.\s*)?`?(\w+)`?", re.I)


class Catalog:
    """Result sets that describe the member, its sessions and its schema."""

    def __init__(self, member: Member, session: "MemberSession") -> None:
        self._member = member
        self._session = session

    def show(self, sql: str) -> ResultSet:
        """Return the result of a ``SHOW``, ``DESCRIBE`` or ``EXPLAIN`` statement."""
        words = sql.split(maxsplit=1)
        if words[0].upper() != "SHOW":
            return self._describe(sql)
        for pattern, handler in _SHOW_HANDLERS:
            if pattern.match(words[1] if len(words) > 1 else ""):
                return handler(self, sql)
        raise MysqlError(f"This SHOW statement is not supported: {sql[:60]}", 1064)

    def _group_status(self, sql: str) -> ResultSet:
        return status_result_set(self._member)

    def _processes(self, sql: str) -> ResultSet:
        now = monotonic()
        columns = [
            integer_column("Id"),
            text_column("User"),
            text_column("Host"),
            text_column("db"),
            text_column("Command"),
            integer_column("Time"),
            text_column("State"),
            text_column("Info"),
        ]
        rows: list[tuple[object, ...]] = [
            (
                client.connection_id,
                client.user,
                client.host,
                client.database,
                client.command,
                int(now - client.state_since),
                "",
                client.statement,
            )
            for client in self._member.clients.values()
        ]
        return columns, rows

    def _variables(self, sql: str) -> ResultSet:
        values = self._session.variables.all_system_values()
        values["max_connections"] = self._member.max_connections
        shown = {name: _display_text(value) for name, value in values.items()}
        return _name_value_rows(shown, sql)

    def _status(self, sql: str) -> ResultSet:
        member = self._member
        return _name_value_rows(
            {
                "Max_used_connections": str(member.max_used_connections),
                "Threads_connected": str(member.connection_count),
                "Connections": str(member.total_connections),
                "Questions": str(member.questions),
            },
            sql,
        )

    def _warnings(self, sql: str) -> ResultSet:
        return [
            text_column("Level"),
            integer_column("Code"),
            text_column("Message"),
        ], []

    def _databases(self, sql: str) -> ResultSet:
        return [text_column("Database")], [(self._session.database or "citronwood",)]

    def _engines(self, sql: str) -> ResultSet:
        return [text_column("Engine"), text_column("Support")], [("InnoDB", "DEFAULT")]

    def _collations(self, sql: str) -> ResultSet:
        columns = [
            text_column("Collation"),
            text_column("Charset"),
            integer_column("Id"),
        ]
        return columns, [("utf8mb4_general_ci", "utf8mb4", 45)]

    def _tables(self, sql: str) -> ResultSet:
        rows = self._member.store.writer.execute(
            "SELECT name, type FROM sqlite_master WHERE type IN ('table', 'view')"
            " AND name NOT LIKE 'sqlite_%' ORDER BY name"
        )
        matches = _like_filter(sql)
        tables = [
            (name, "BASE TABLE" if kind == "table" else "VIEW")
            for name, kind in rows
            if name not in INTERNAL_TABLES and matches(name)
        ]
        column = text_column(f"Tables_in_{self._session.database or 'citronwood'}")
        if re.match(r"\s*SHOW\s+FULL\b", sql, re.I):
            return [column, text_column("Table_type")], list(tables)
        return [column], [(name,) for name, _ in tables]

    def _describe(self, sql: str) -> ResultSet:
        match = _DESCRIBE_NAME.match(sql.strip())
        if match is None:
            raise MysqlError(f"This statement is not supported: {sql[:60]}", 1064)
        return self._describe_table(match.group(1))

    def _show_columns(self, sql: str) -> ResultSet:
        match = re.search(r"\b(?:FROM|IN)\s+`?(\w+)`?", sql, re.I)
        if match is None:
            raise MysqlError("SHOW COLUMNS needs a table", 1064)
        return self._describe_table(match.group(1))

    def _describe_table(self, table: str) -> ResultSet:
        columns = [
            text_column(name)
            for name in ("Field", "Type", "Null", "Key", "Default", "Extra")
        ]
        has_auto_increment = "AUTOINCREMENT" in self._table_sql(table)
        rows: list[tuple[object, ...]] = []
        for _, name, kind, not_null, default, key in self._table_info(table):
            rows.append(
                (
                    name,
                    kind.lower(),
                    "NO" if not_null or key else "YES",
                    "PRI" if key else "",
                    default,
                    "auto_increment" if key and has_auto_increment else "",
                )
            )
        return columns, rows

    def _table_info(self, table: str) -> list[tuple[int, str, str, int, str, int]]:
        return self._member.store.writer.execute(
            f"PRAGMA table_info({quote_name(table)})"
        ).fetchall()

    def _table_sql(self, table: str) -> str:
        row = self._member.store.writer.execute(
            "SELECT sql FROM sqlite_master WHERE name = ? COLLATE NOCASE"
            " AND type IN ('table', 'view')",
            (table,),
        ).fetchone()
        if row is None or table in INTERNAL_TABLES:
            database = self._session.database or "citronwood"
            raise MysqlError(f"Table '{database}.{table}' doesn't exist", 1146)
        return str(row[0])

    def _create_table(self, sql: str) -> ResultSet:
        match = _LAST_NAME.search(sql)
        assert match is not None
        table = match.group(1)
        has_auto_increment = "AUTOINCREMENT" in self._table_sql(table)
        info = self._table_info(table)
        lines = []
        for _, name, kind, not_null, default, key in info:
            line = f"  `{name}` {kind.lower()}"
            line += " NOT NULL" if not_null or key else " DEFAULT NULL"
            if default is not None:
                line = line.replace(" DEFAULT NULL", "") + f" DEFAULT {default}"
            lines.append(
                line + (" AUTO_INCREMENT" if key and has_auto_increment else "")
            )
        keys = [f"`{row[1]}`" for row in sorted(info, key=lambda row: row[5]) if row[5]]
        if keys:
            lines.append(f"  PRIMARY KEY ({','.join(keys)})")
        lines += self._index_lines(table)
        body = ",\n".join(lines)
        definition = f"CREATE TABLE `{table}` (\n{body}\n) ENGINE=InnoDB"
        return [text_column("Table"), text_column("Create Table")], [
            (table, definition)
        ]

    def _index_lines(self, table: str) -> list[str]:
        writer, lines = self._member.store.writer, []
        indexes = writer.execute(f"PRAGMA index_list({quote_name(table)})").fetchall()
        for _, name, unique, origin, _ in indexes:
            if origin == "pk":
                continue
            info = writer.execute(f"PRAGMA index_info({quote_name(name)})").fetchall()
            columns = ",".join(f"`{row[2]}`" for row in info)
            # ``index_name`` in ddl.py gives an index from CREATE INDEX (origin "c") the
            # SQLite name ``table.index``. SQLite generates the name for a UNIQUE
            # constraint; the name of its first column is shown instead, as in MySQL.
            shown = name.rpartition(".")[2] if origin == "c" else info[0][2]
            word = "UNIQUE KEY" if unique else "KEY"
            lines.append(f"  {word} `{shown}` ({columns})")
        return lines


_SHOW_HANDLERS: list[tuple[re.Pattern[str], Callable[[Catalog, str], ResultSet]]] = [
    (re.compile(pattern, re.I), handler)
    for pattern, handler in [
        (r"GROUP\s+STATUS\b", Catalog._group_status),
        (r"(FULL\s+)?PROCESSLIST\b", Catalog._processes),
        (r"((SESSION|GLOBAL)\s+)?VARIABLES\b", Catalog._variables),
        (r"((SESSION|GLOBAL)\s+)?STATUS\b", Catalog._status),
        (r"(WARNINGS|ERRORS)\b", Catalog._warnings),
        (r"(DATABASES|SCHEMAS)\b", Catalog._databases),
        (r"(STORAGE\s+)?ENGINES\b", Catalog._engines),
        (r"(COLLATION|CHARACTER\s+SET|CHARSET)\b", Catalog._collations),
        (r"(FULL\s+)?TABLES\b", Catalog._tables),
        (r"(FULL\s+)?(COLUMNS|FIELDS)\b", Catalog._show_columns),
        (r"CREATE\s+(TABLE|VIEW)\b", Catalog._create_table),
    ]
]


def _display_text(value: object) -> str:
    return "" if value is None else str(value)


def _name_value_rows(values: dict[str, str], sql: str) -> ResultSet:
    matches = _like_filter(sql)
    rows: list[tuple[object, ...]] = [
        (name, value) for name, value in values.items() if matches(name)
    ]
    return [text_column("Variable_name"), text_column("Value")], rows


def _like_filter(sql: str) -> Callable[[str], bool]:
    match = _LIKE.search(sql)
    if match is None:
        return lambda _: True
    parts = re.split(r"(\\.|%|_)", match.group(1))
    wildcards = {"%": ".*", "_": "."}
    source = "".join(
        wildcards.get(part, re.escape(part.removeprefix("\\"))) for part in parts
    )
    pattern = re.compile(source, re.I | re.S)
    return lambda name: pattern.fullmatch(name) is not None
