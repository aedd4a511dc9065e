"""Translation of MySQL schema statements to SQLite.

Declared types keep their MySQL names, which determine the types of result columns.
Options that SQLite lacks (engine, character set, comment) are dropped.
"""

import re
from collections.abc import Callable

from sqlglot import exp, parse_one
from sqlglot.errors import SqlglotError

from citronwood.standin.store import quote_name

_ALTER_ADD_INDEX = re.compile(
    r"^ALTER\s+TABLE\s+(?P<table>\S+)\s+ADD\s+(?P<unique>UNIQUE\s+)?(?:INDEX|KEY)\s+"
    r"(?P<name>[`\w]+)\s*\((?P<columns>.*)\)\s*;?\s*$",
    re.I | re.S,
)
_ALTER_COLUMN = re.compile(
    r"^ALTER\s+TABLE\s+(?P<table>\S+)\s+(?P<verb>ADD|DROP)\s+(?:COLUMN\s+)?"
    r"(?P<rest>.*?);?\s*$",
    re.I | re.S,
)
_ALTER_RENAME = re.compile(
    r"^(?:ALTER\s+TABLE\s+(\S+)\s+RENAME\s+(?:TO\s+|AS\s+)?|RENAME\s+TABLE\s+(\S+)\s+TO"
    r"\s+)(\S+?)\s*;?\s*$",
    re.I,
)
_DROP_INDEX = re.compile(r"^DROP\s+INDEX\s+(\S+)\s+ON\s+(\S+?)\s*;?\s*$", re.I)
_DROP_TABLE = re.compile(
    r"^DROP\s+(TABLE|VIEW)\s+(IF\s+EXISTS\s+)?(.*?)(?:\s+CASCADE|\s+RESTRICT)?\s*;?\s*$",
    re.I | re.S,
)
_TRUNCATE = re.compile(r"^TRUNCATE\s+(?:TABLE\s+)?(\S+?)\s*;?\s*$", re.I)
_DATABASE = re.compile(r"^(?:CREATE|DROP|ALTER)\s+(?:DATABASE|SCHEMA)\b", re.I)
_CREATE_VIEW = re.compile(r"^CREATE\s+(?:OR\s+REPLACE\s+)?VIEW\b", re.I)


class SchemaSyntaxError(Exception):
    """Schema statement that cannot be translated."""


def translate_schema(sql: str) -> list[str]:
    """Return the SQLite statements for a MySQL schema statement."""
    sql = sql.strip()
    for pattern, translate in _TRANSLATIONS:
        match = pattern.match(sql)
        if match is not None:
            return translate(match)
    try:
        tree = parse_one(sql, read="mysql")
    except SqlglotError as error:
        raise SchemaSyntaxError(str(error).split("\n")[0]) from error
    if isinstance(tree, exp.Create) and tree.kind == "TABLE":
        return _create_table(tree)
    if isinstance(tree, exp.Create) and tree.kind == "INDEX":
        return [_create_index(tree)]
    raise SchemaSyntaxError(f"This schema statement is not supported: {sql[:80]}")


def _quoted_name(text: str) -> str:
    """Return a name without its database, quoted for SQLite."""
    return quote_name(text.strip().split(".")[-1].strip('`"'))


def index_name(table: str, index: str) -> str:
    """Return the SQLite name of an index; it must be unique across all tables."""
    return f"{table}.{index}"


def _drop_table(match: re.Match[str]) -> list[str]:
    kind, condition, names = match.groups()
    return [
        f"DROP {kind} {condition or ''}{_quoted_name(name)}"
        for name in names.split(",")
    ]


def _drop_index(match: re.Match[str]) -> list[str]:
    index, table = (part.strip("`") for part in match.groups())
    return [f"DROP INDEX {quote_name(index_name(table, index))}"]


def _truncate(match: re.Match[str]) -> list[str]:
    table = _quoted_name(match.group(1))
    return [
        f"DELETE FROM {table}",
        f"DELETE FROM sqlite_sequence WHERE name = '{table[1:-1]}'",
    ]


def _add_index(match: re.Match[str]) -> list[str]:
    table = match.group("table").strip("`")
    name = quote_name(index_name(table, match.group("name").strip("`")))
    columns = re.sub(r"\(\d+\)", "", match.group("columns"))
    unique = "UNIQUE " if match.group("unique") else ""
    return [f"CREATE {unique}INDEX {name} ON {_quoted_name(table)} ({columns})"]


def _alter_column(match: re.Match[str]) -> list[str]:
    table, rest = _quoted_name(match.group("table")), match.group("rest")
    if match.group("verb").upper() == "DROP":
        return [f"ALTER TABLE {table} DROP COLUMN {_quoted_name(rest)}"]
    table_tree = parse_one(f"CREATE TABLE t ({rest})", read="mysql")
    definition = table_tree.find(exp.ColumnDef)
    if definition is None:
        raise SchemaSyntaxError(f"This column is not understood: {rest[:80]}")
    return [f"ALTER TABLE {table} ADD COLUMN {_column_sql(definition, False)}"]


def _rename(match: re.Match[str]) -> list[str]:
    old = match.group(1) or match.group(2)
    return [f"ALTER TABLE {_quoted_name(old)} RENAME TO {_quoted_name(match.group(3))}"]


def _create_view(match: re.Match[str]) -> list[str]:
    sql = match.string
    name = re.search(r"\bVIEW\s+(\S+)", sql, re.I)
    assert name is not None
    drop = f"DROP VIEW IF EXISTS {_quoted_name(name.group(1))}"
    create = re.sub(r"\bOR\s+REPLACE\s+", "", sql, count=1, flags=re.I)
    return [drop, create] if create != sql else [sql]


_TRANSLATIONS: list[tuple[re.Pattern[str], Callable[[re.Match[str]], list[str]]]] = [
    (_DATABASE, lambda _: []),
    (_DROP_TABLE, _drop_table),
    (_DROP_INDEX, _drop_index),
    (_TRUNCATE, _truncate),
    (_ALTER_ADD_INDEX, _add_index),
    (_ALTER_RENAME, _rename),
    (_ALTER_COLUMN, _alter_column),
    (_CREATE_VIEW, _create_view),
]


def _create_index(tree: exp.Create) -> str:
    index = tree.this
    table = index.args["table"].name
    columns = ", ".join(
        _index_column(column) for column in index.args["params"].args["columns"]
    )
    unique = "UNIQUE " if tree.args.get("unique") else ""
    name = quote_name(index_name(table, index.name))
    return f"CREATE {unique}INDEX {name} ON {quote_name(table)} ({columns})"


def _index_column(column: exp.Expression) -> str:
    # sqlglot parses a prefix length as a function call; SQLite has no prefix indexes.
    inner = column.this if isinstance(column, exp.Ordered) else column
    return quote_name(inner.name)


def _create_table(tree: exp.Create) -> list[str]:
    schema = tree.this
    if not isinstance(schema, exp.Schema):
        raise SchemaSyntaxError("CREATE TABLE needs a list of columns")
    table = schema.this.name
    parts = schema.expressions
    auto_increment_column = next(
        (part.name for part in parts if _is_auto_increment(part)), None
    )
    lines: list[str] = []
    indexes: list[str] = []
    for part in parts:
        if isinstance(part, exp.IndexColumnConstraint):
            indexes.append(_table_index_sql(table, part))
        elif isinstance(part, exp.ColumnDef):
            lines.append(_column_sql(part, part.name == auto_increment_column))
        # An AUTO_INCREMENT column declares the primary key itself.
        elif not (
            isinstance(part, exp.PrimaryKey) and auto_increment_column is not None
        ):
            lines.append(_constraint_sql(part))
    condition = "IF NOT EXISTS " if tree.args.get("exists") else ""
    body = ", ".join(lines)
    return [f"CREATE TABLE {condition}{quote_name(table)} ({body})", *indexes]


def _table_index_sql(table: str, part: exp.Expression) -> str:
    columns = [quote_name(column.name) for column in part.expressions]
    name = part.name or "_".join(column.name for column in part.expressions)
    return (
        f"CREATE INDEX IF NOT EXISTS {quote_name(index_name(table, name))} ON"
        f" {quote_name(table)} ({', '.join(columns)})"
    )


def _is_auto_increment(part: exp.Expression) -> bool:
    return isinstance(part, exp.ColumnDef) and any(
        isinstance(constraint.kind, exp.AutoIncrementColumnConstraint)
        for constraint in part.constraints
    )


def _column_sql(part: exp.ColumnDef, auto_increment: bool) -> str:
    name = quote_name(part.name)
    if auto_increment:
        return f"{name} INTEGER PRIMARY KEY AUTOINCREMENT"
    words = [name, _type_sql(part.args["kind"])]
    for constraint in part.constraints:
        words.append(_column_constraint_sql(constraint.kind))
    return " ".join(word for word in words if word)


def _type_sql(kind: exp.DataType) -> str:
    if kind.this in (exp.DataType.Type.ENUM, exp.DataType.Type.SET):
        return "VARCHAR(255)"
    return str(kind.sql(dialect="mysql")).replace(", ", ",")


def _column_constraint_sql(kind: exp.Expression) -> str:
    if isinstance(kind, exp.NotNullColumnConstraint):
        return "NULL" if kind.args.get("allow_null") else "NOT NULL"
    if isinstance(kind, exp.PrimaryKeyColumnConstraint):
        return "NOT NULL PRIMARY KEY"
    if isinstance(kind, exp.UniqueColumnConstraint):
        return "UNIQUE"
    if isinstance(kind, exp.DefaultColumnConstraint):
        return f"DEFAULT {_default_sql(kind.this)}"
    if isinstance(kind, exp.CheckColumnConstraint):
        return f"CHECK ({kind.this.sql(dialect='sqlite')})"
    return ""


def _default_sql(value: exp.Expression) -> str:
    if value.find(exp.CurrentTimestamp) is not None:
        # SQLite's CURRENT_TIMESTAMP would differ between members; now() returns the
        # logged time of the statement.
        return "(now())"
    return f"({value.sql(dialect='sqlite')})"


def _constraint_sql(part: exp.Expression) -> str:
    if isinstance(part, exp.PrimaryKey):
        return f"PRIMARY KEY ({_column_list(part)})"
    if isinstance(part, exp.UniqueColumnConstraint):
        return f"UNIQUE ({_column_list(part.this)})"
    if isinstance(part, exp.CheckColumnConstraint):
        return f"CHECK ({part.this.sql(dialect='sqlite')})"
    if isinstance(part, exp.Constraint):
        return _constraint_sql(part.expressions[0])
    if isinstance(part, exp.ForeignKey):
        reference = part.args["reference"]
        target = reference.this
        options = " ".join(reference.args.get("options") or [])
        return (
            f"FOREIGN KEY ({_column_list(part)}) REFERENCES"
            f" {quote_name(target.this.name)} ({_column_list(target)}) {options}"
        ).rstrip()
    raise SchemaSyntaxError(f"This constraint is not supported: {part.sql('mysql')}")


def _column_list(part: exp.Expression) -> str:
    return ", ".join(quote_name(column.name) for column in part.expressions)
