"""Translation of MySQL statements to SQLite.

In statements such as SELECT and INSERT, literals and variables become parameters. The
remaining text is the shape of the statement. The translation of a shape is cached if it
has at most ``MAX_CACHED_SHAPE_CHARS`` characters. Statements of equal shape also share
one entry of SQLite's cache of prepared statements.

Other statements are passed on unchanged. Those that change the schema are translated by
ddl.py.
"""

import re
from collections.abc import Callable
from enum import StrEnum, auto
from functools import lru_cache
from typing import NamedTuple

from sqlglot import transpile

from citronwood.standin.store import Value

# Below SQLite's default limit of 32,766. If a statement has more parameters, all their
# values are written into its text instead.
MAX_PARAMETERS = 30_000
# A longer shape is translated for each statement.
MAX_CACHED_SHAPE_CHARS = 8192

# Each match begins with one of a few characters, so that the regex engine skips other
# text quickly; an alternation of words would be tried at every character.
_TOKEN = re.compile(
    r"""['"`@\#/\-\d](?:
        (?<=')(?P<single>[^'\\]*(?:(?:\\.|'')[^'\\]*)*')
      | (?<=")(?P<double>[^"\\]*(?:(?:\\.|"")[^"\\]*)*")
      | (?<=\d)(?<![\w.$]\d)(?P<number>
            (?:(?<=0)x[0-9a-fA-F]+|\d*(?:\.\d*)?(?:[eE][+-]?\d+)?)(?!\w))
      | (?<=`)(?P<name>[^`]*`)
      | (?<=@)(?P<variable>@?[\w$.]+)
      | (?P<comment>(?<=/)\*(?!!).*?\*/|(?<=-)-[ \t][^\n]*|(?<=\#)[^\n]*)
    )""",
    re.VERBOSE | re.DOTALL,
)
_STRING_PREFIX = re.compile(
    r"(?:_(?:binary|utf8mb4|utf8mb3|utf8|latin1|ascii)\s*|\b[xXnN])$", re.I
)
_SIZED_TYPE = re.compile(
    r"\b(?:char|varchar|decimal|numeric|binary|varbinary|datetime|time)\s*\($", re.I
)
_ESCAPE_SINGLE = re.compile(r"\\(.)|''", re.DOTALL)
_ESCAPE_DOUBLE = re.compile(r'\\(.)|""', re.DOTALL)
_ESCAPE_VALUES = {"n": "\n", "r": "\r", "t": "\t", "0": "\0", "b": "\b", "Z": "\x1a"}
_FIRST_WORD = re.compile(
    r"(?:\s|/\*.*?\*/|--[ \t][^\n]*\n|\#[^\n]*\n|\()*([A-Za-z]+)", re.S
)
# First words of the statements that are translated here.
_TRANSLATED_KEYWORDS = {"SELECT", "INSERT", "UPDATE", "DELETE", "REPLACE", "WITH", "DO"}


class Kind(StrEnum):
    """How the member handles a statement.

    ``IGNORE`` is accepted without an effect, ``UNKNOWN`` is refused as a syntax error.
    """

    READ = auto()
    WRITE = auto()
    SCHEMA = auto()
    BEGIN = auto()
    COMMIT = auto()
    ROLLBACK = auto()
    SAVEPOINT = auto()
    SET = auto()
    SHOW = auto()
    CALL = auto()
    KILL = auto()
    IGNORE = auto()
    UNKNOWN = auto()


class Plan(NamedTuple):
    """Part of a statement that does not depend on the values of its parameters.

    ``sql`` is the translation of ``shape``. Both are the text of the statement if it is
    passed on unchanged. ``waits`` is set if the statement calls GET_LOCK or SLEEP,
    ``locking`` if it is a locking read such as SELECT ... FOR UPDATE.
    """

    kind: Kind
    sql: str
    shape: str
    locking: bool = False
    waits: bool = False


class Statement(NamedTuple):
    """Statement: its plan, its parameters and the original text of its literals."""

    plan: Plan
    params: list[Value]
    literals: list[str]


_KINDS = {
    "SELECT": Kind.READ,
    "WITH": Kind.READ,
    "DO": Kind.READ,
    "INSERT": Kind.WRITE,
    "UPDATE": Kind.WRITE,
    "DELETE": Kind.WRITE,
    "REPLACE": Kind.WRITE,
    "CREATE": Kind.SCHEMA,
    "DROP": Kind.SCHEMA,
    "ALTER": Kind.SCHEMA,
    "TRUNCATE": Kind.SCHEMA,
    "RENAME": Kind.SCHEMA,
    "BEGIN": Kind.BEGIN,
    "START": Kind.BEGIN,
    "COMMIT": Kind.COMMIT,
    "ROLLBACK": Kind.ROLLBACK,
    "SAVEPOINT": Kind.SAVEPOINT,
    "RELEASE": Kind.SAVEPOINT,
    "SET": Kind.SET,
    "SHOW": Kind.SHOW,
    "DESCRIBE": Kind.SHOW,
    "DESC": Kind.SHOW,
    "EXPLAIN": Kind.SHOW,
    "CALL": Kind.CALL,
    "KILL": Kind.KILL,
    "USE": Kind.IGNORE,
    "LOCK": Kind.IGNORE,
    "UNLOCK": Kind.IGNORE,
    "FLUSH": Kind.IGNORE,
    "ANALYZE": Kind.IGNORE,
}

VariableLookup = Callable[[str], Value]


def first_word(sql: str) -> str:
    """Return the first word of a statement in upper case."""
    match = _FIRST_WORD.match(sql)
    return "" if match is None else match.group(1).upper()


def parse_statement(sql: str, lookup: VariableLookup) -> Statement:
    """Split a statement into its plan and its parameters.

    ``lookup`` returns the value of a variable such as ``@name`` or ``@@name``.
    """
    if first_word(sql) not in _TRANSLATED_KEYWORDS:
        return Statement(_plan_unchanged(sql), [], [])
    shape, params, literals = _extract_literals(sql, lookup)
    if len(params) > MAX_PARAMETERS:
        inlined_literals = iter([sqlite_literal(value) for value in params])
        shape = re.sub(r"\?", lambda _: next(inlined_literals), shape)
        return Statement(_plan_translated.__wrapped__(shape), [], [])
    if len(shape) > MAX_CACHED_SHAPE_CHARS:
        return Statement(_plan_translated.__wrapped__(shape), params, literals)
    return Statement(_plan_translated(shape), params, literals)


def _extract_literals(
    sql: str, lookup: VariableLookup
) -> tuple[str, list[Value], list[str]]:
    parts: list[str] = []
    params: list[Value] = []
    literals: list[str] = []
    position, syntax_end = 0, -1
    for match in _TOKEN.finditer(sql):
        group, start, end = match.lastgroup, match.start(), match.end()
        if group == "name":
            continue
        if group == "comment":
            parts += (sql[position:start], " ")
            position = end
            continue
        if group == "number":
            if _is_part_of_syntax(sql, start, syntax_end):
                syntax_end = end
                continue
            params.append(_number(sql[start:end]))
        elif group == "variable":
            params.append(lookup(sql[start:end]))
        else:
            start = _prefix_start(sql, start)
            params.append(unquote(sql[start:end]))
        literals.append(sql[start:end])
        parts += (sql[position:start], "?")
        position = end
    parts.append(sql[position:])
    return "".join(parts), params, literals


def _is_part_of_syntax(sql: str, start: int, syntax_end: int) -> bool:
    """Return whether a number is part of the syntax: ORDER BY 1, DECIMAL(10, 2).

    Such a number cannot become a parameter. ``syntax_end`` is the end of the previous
    number that is part of the syntax, -1 if there is none.
    """
    before = sql[max(0, start - 16) : start].rstrip()
    last = before[-1:]
    if last == ",":
        return syntax_end >= 0 and sql[syntax_end:start].strip() == ","
    if last == "(":
        return _SIZED_TYPE.search(before) is not None
    # The cheap test of the last letter comes first.
    return last in ("Y", "y", "L", "l") and before.upper().endswith((" BY", "INTERVAL"))


def _prefix_start(sql: str, start: int) -> int:
    if start == 0 or not (sql[start - 1].isalnum() or sql[start - 1] == "_"):
        return start
    match = _STRING_PREFIX.search(sql[max(0, start - 10) : start])
    return start if match is None else start - len(match.group())


def _number(text: str) -> int | float | bytes:
    if text.isdigit():
        value = int(text)
        # SQLite has 64-bit signed integers only.
        return value if value < 1 << 63 else float(value)
    if text[1] == "x":
        return _from_hex(text[2:])
    return float(text)


def _from_hex(digits: str) -> bytes:
    return bytes.fromhex(digits if len(digits) % 2 == 0 else "0" + digits)


def unquote(text: str) -> str | bytes:
    """Return the value of a string literal that may have a prefix and escapes."""
    binary = False
    if text[0] not in "'\"":
        # The prefix ends at the first quote. ``% 99`` turns the -1 of a kind of quote
        # that the text does not contain into 98, which is beyond any prefix.
        prefix = text.rstrip("'\"")[: min(text.find("'") % 99, text.find('"') % 99)]
        text = text[len(prefix) :]
        if prefix in ("x", "X"):
            return _from_hex(text[1:-1])
        binary = prefix.strip().lower() == "_binary"
    body = text[1:-1]
    if "\\" in body or text[0] in body:
        pattern = _ESCAPE_SINGLE if text[0] == "'" else _ESCAPE_DOUBLE
        body = pattern.sub(_unescape, body)
    if binary:
        return body.encode("utf-8", "surrogateescape")
    try:
        body.encode()
    except UnicodeEncodeError:
        # The client sent bytes that are not UTF-8 without a _binary prefix.
        return body.encode("utf-8", "surrogateescape")
    return body


def _unescape(match: re.Match[str]) -> str:
    character = match.group(1)
    if character is None:
        return match.group()[0]
    if character in "%_":
        return "\\" + character
    return _ESCAPE_VALUES.get(character, character)


def sqlite_literal(value: Value) -> str:
    """Return a value as an SQLite literal."""
    if value is None:
        return "NULL"
    if isinstance(value, bytes):
        return f"x'{value.hex()}'"
    if isinstance(value, str):
        return "'" + value.replace("'", "''") + "'"
    return repr(value)


@lru_cache(maxsize=1024)
def _plan_unchanged(sql: str) -> Plan:
    kind = _KINDS.get(first_word(sql), Kind.UNKNOWN)
    return Plan(kind, sql, sql)


_LOCKING_CLAUSE = re.compile(
    r"\s+(?:FOR\s+(?:UPDATE|SHARE)(?:\s+(?:NOWAIT|SKIP\s+LOCKED))?"
    r"|LOCK\s+IN\s+SHARE\s+MODE)\b",
    re.I,
)
_WAIT_CALL = re.compile(r"\b(?:GET_LOCK|SLEEP)\s*\(", re.I)
_WRITE_KEYWORD = re.compile(r"\b(?:INSERT|UPDATE|DELETE)\b", re.I)
_REWRITES: list[tuple[re.Pattern[str], str]] = [
    (re.compile(r"^(\s*)DO\b", re.I), r"\1SELECT"),
    (re.compile(r"\bINSERT\s+IGNORE\b", re.I), "INSERT OR IGNORE"),
    (re.compile(r"\(\s*\)\s*VALUES\s*\(\s*\)", re.I), "DEFAULT VALUES"),
    (re.compile(r"<=>"), " IS "),
    (re.compile(r"\bFROM\s+DUAL\b", re.I), ""),
    (re.compile(r"&&"), " AND "),
    (re.compile(r"\bCURRENT_TIMESTAMP\b(?:\s*\(\s*\))?", re.I), "now()"),
    (re.compile(r"\bCURRENT_DATE\b(?:\s*\(\s*\))?", re.I), "curdate()"),
    (re.compile(r"\bTRUE\b", re.I), "1"),
    (re.compile(r"\bFALSE\b", re.I), "0"),
]
_UPSERT = re.compile(r"\bON\s+DUPLICATE\s+KEY\s+UPDATE\b", re.I)
_ROW_ALIAS = re.compile(r"\bAS\s+(\w+)\s*$", re.I)
_VALUES_CALL = re.compile(r"\bVALUES\s*\(\s*(`?\w+`?)\s*\)", re.I)
# Only statements with these constructs are translated by sqlglot.
_NEEDS_TRANSLATION = re.compile(
    r"\b(?:INTERVAL|CONVERT|DIV|XOR|REGEXP|RLIKE|STRAIGHT_JOIN|DATE_FORMAT|SUBSTRING"
    r"|LOCATE|GROUP_CONCAT|EXTRACT|(?:LEFT|RIGHT|YEAR|MONTH|DAY|DATEDIFF)\s*\()"
    r"|\bCAST\s*\(",
    re.I,
)
_LIMITED_WRITE = re.compile(
    r"^\s*(?:DELETE\s+FROM|UPDATE)\s+(?P<table>`?\w+`?)(?P<set>\s+SET\s.*?)?"
    r"(?P<where>\s+WHERE\s.*?)?(?P<order>\s+ORDER\s+BY\s.*?)?(?P<limit>\s+LIMIT\s+\S+)"
    r"\s*$",
    re.I | re.S,
)


@lru_cache(maxsize=4096)
def _plan_translated(shape: str) -> Plan:
    word = first_word(shape)
    kind = _KINDS[word]
    if word == "WITH" and _WRITE_KEYWORD.search(shape):
        kind = Kind.WRITE
    locking = kind is Kind.READ and _LOCKING_CLAUSE.search(shape) is not None
    sql = _LOCKING_CLAUSE.sub("", shape) if kind is Kind.READ else shape
    for pattern, replacement in _REWRITES:
        sql = pattern.sub(replacement, sql)
    if kind is Kind.WRITE:
        sql = _rewrite_limit(_rewrite_upsert(sql))
    if _NEEDS_TRANSLATION.search(sql):
        sql = ";".join(transpile(sql, read="mysql", write="sqlite"))
    waits = _WAIT_CALL.search(shape) is not None
    return Plan(kind, sql.strip().rstrip(";"), shape, locking, waits)


def _rewrite_upsert(sql: str) -> str:
    match = _UPSERT.search(sql)
    if match is None:
        return sql
    head, tail = sql[: match.start()].rstrip(), sql[match.end() :]
    alias = _ROW_ALIAS.search(head)
    if alias is not None:
        head = head[: alias.start()]
        tail = re.sub(rf"(`?)\b{alias.group(1)}\b\1\.", "excluded.", tail)
    tail = _VALUES_CALL.sub(r"excluded.\1", tail)
    return f"{head} ON CONFLICT DO UPDATE SET {tail}"


def _rewrite_limit(sql: str) -> str:
    match = _LIMITED_WRITE.match(sql)
    if match is None:
        return sql
    clauses = {name: text or "" for name, text in match.groupdict().items()}
    head = f"UPDATE {clauses['table']}{clauses['set']}"
    if not clauses["set"]:
        head = f"DELETE FROM {clauses['table']}"
    return (
        f"{head} WHERE rowid IN (SELECT rowid FROM {clauses['table']}"
        f"{clauses['where']}{clauses['order']}{clauses['limit']})"
    )


def restore_literals(statement: Statement, names: list[str]) -> list[str]:
    """Return column names with the original literals instead of ``?``.

    MySQL names the column of an expression after the text of the expression.
    """
    if not any("?" in name for name in names):
        return names
    match = re.match(r"\s*SELECT\s+(.*)", statement.plan.shape, re.I | re.S)
    items = [] if match is None else _split_select_list(match.group(1))
    if len(items) != len(names):
        return names
    literals = iter(statement.literals)
    restored = [re.sub(r"\?", lambda _: next(literals, "?"), item) for item in items]
    return [
        text.strip() if "?" in name else name
        for name, text in zip(names, restored, strict=True)
    ]


def _split_select_list(text: str) -> list[str]:
    """Split a select list at its commas; it ends at FROM, LIMIT or a similar word."""
    items, depth, start = [], 0, 0
    for match in re.finditer(r"[(),]|\b(?:FROM|LIMIT|WHERE|ORDER|UNION)\b", text, re.I):
        token = match.group()
        if token == "(":
            depth += 1
        elif token == ")":
            depth -= 1
        elif depth == 0:
            items.append(text[start : match.start()])
            start = match.end()
            if token != ",":
                return items
    return [*items, text[start:].rstrip("; \n")]
