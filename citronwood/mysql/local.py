"""Statements that are answered from the state of the session.

A query that asks only for variables and functions of the session is answered here;
in any other statement they are replaced by literals before it goes to a backend
server, because the pooled connection there knows nothing of the session.
"""

import re
from collections.abc import AsyncIterator, Callable, Iterable
from functools import lru_cache
from typing import NamedTuple

from mysql_mimic.types import ColumnType

from citronwood.backend.api import Column, Row
from citronwood.mysql.handler import StatementResult
from citronwood.mysql.lexical import BACKTICKED, OPAQUE, STRING, Token, tokens, unquote
from citronwood.mysql.literals import Value, literal
from citronwood.mysql.variables import VARIABLES

# The longest query of this kind that a known driver sends has about 1,500 characters.
MAX_LOCAL_CHARS = 4096

_FUNCTIONS = {
    "DATABASE",
    "SCHEMA",
    "VERSION",
    "CONNECTION_ID",
    "USER",
    "CURRENT_USER",
    "SESSION_USER",
    "SYSTEM_USER",
    "LAST_INSERT_ID",
    "ROW_COUNT",
}
# The name of the backend's own database is needed inside of other statements, for
# instance to search information_schema.
_SUBSTITUTED_FUNCTIONS = "|".join(sorted(_FUNCTIONS - {"DATABASE", "SCHEMA"}))
_SESSION_PART = re.compile(
    rf"""
    {OPAQUE}
    |@@(?:(?:global|session|local)\.)?(?P<system>[^\W\d][\w$]*)
    |@(?P<user>[\w$.]+|{BACKTICKED}|{STRING})
    |\b(?P<function>{_SUBSTITUTED_FUNCTIONS})\s*\(\s*\)
    """,
    re.DOTALL | re.VERBOSE | re.IGNORECASE,
)
_BINARY_STRING = re.compile(
    rf"(?P<introducer>\b_binary\s*)?(?P<string>{STRING})|{OPAQUE}",
    re.DOTALL | re.IGNORECASE,
)
_UNDECODED = re.compile("[\udc80-\udcff]")
_CONSTANTS: dict[str, Value] = {"NULL": None, "TRUE": 1, "FALSE": 0}


class Item(NamedTuple):
    """One item of a SELECT list; ``kind`` is system, user, function or value."""

    kind: str
    name: str
    value: Value
    label: str


def select_items(sql: str) -> tuple[Item, ...] | None:
    """Return the items of a query on the session, None for any other query."""
    if len(sql) > MAX_LOCAL_CHARS:
        return None
    return _select_items(sql)


@lru_cache(maxsize=512)
def _select_items(sql: str) -> tuple[Item, ...] | None:
    found = _ItemParser(sql).items()
    if found is None or all(item.kind == "value" for item in found):
        return None
    return tuple(found)


class _ItemParser:
    def __init__(self, sql: str) -> None:
        self._sql = sql
        self._tokens = [*tokens(sql), *[Token("end", "")] * 6]
        self._next = 1

    def items(self) -> list[Item] | None:
        """Return the items, None if there is anything else."""
        found = []
        while True:
            item = self._item()
            if item is None:
                return None
            found.append(item)
            if self._text() != ",":
                break
            self._next += 1
        return found if self._at_end() else None

    def _text(self, ahead: int = 0) -> str:
        return self._tokens[self._next + ahead].text.upper()

    def _at_end(self) -> bool:
        if (self._text(), self._text(1)) == ("FROM", "DUAL"):
            self._next += 2
        if self._text() == "LIMIT" and self._text(1).isdigit() and self._text(1) != "0":
            self._next += 2
        if self._text() == ";":
            self._next += 1
        return self._tokens[self._next].kind == "end"

    def _item(self) -> Item | None:
        start = self._next
        token = self._tokens[start]
        following = self._tokens[start + 1]
        value: Value = None
        if token.text == "@@" and following.kind == "word":
            scoped = self._text(2) == "."
            kind, name = "system", self._tokens[start + (3 if scoped else 1)].text
            self._next += 4 if scoped else 2
        elif token.text == "@" and following.kind in ("word", "quoted", "string"):
            kind, name = "user", following.text.lower()
            self._next += 2
        elif token.kind == "word" and token.text.upper() in _FUNCTIONS:
            if (self._text(1), self._text(2)) != ("(", ")"):
                return None
            kind, name = "function", token.text.upper()
            self._next += 3
        elif token.kind == "string":
            kind, name, value = "value", "", token.text
            self._next += 1
        elif token.kind == "number" and token.text.isdigit():
            kind, name, value = "value", "", int(token.text)
            self._next += 1
        elif token.kind == "word" and token.text.upper() in _CONSTANTS:
            kind, name, value = "value", "", _CONSTANTS[token.text.upper()]
            self._next += 1
        else:
            return None
        label = self._sql[token.start : self._tokens[self._next - 1].end]
        return Item(kind, name, value, self._alias() or label)

    def _alias(self) -> str | None:
        has_as = self._text() == "AS"
        token = self._tokens[self._next + has_as]
        is_name = token.kind in ("quoted", "string") or (
            token.kind == "word" and token.text.upper() not in ("FROM", "LIMIT")
        )
        if not is_name:
            return None
        self._next += 1 + has_as
        return token.text


def substitute(
    sql: str,
    system: Callable[[str], Value],
    user: Callable[[str], Value],
    function: Callable[[str], Value],
) -> str:
    """Replace variables and functions of the session by literals."""

    def replace(match: re.Match[str]) -> str:
        if match.group("system"):
            return literal(system(match.group("system")))
        if match.group("user"):
            name = match.group("user")
            plain = unquote(name) if name[0] in "'`" else name
            return literal(user(plain.lower()))
        if match.group("function"):
            return literal(function(match.group("function").upper()))
        return match.group()

    return _SESSION_PART.sub(replace, sql)


def needs_hexadecimal(sql: str) -> bool:
    """Tell whether the text contains binary values as drivers write them."""
    if "_binary" in sql:
        return True
    return not sql.isascii() and _UNDECODED.search(sql) is not None


def with_hexadecimal(sql: str) -> str | None:
    """Return the text with binary values as hexadecimal literals.

    Such values are not valid UTF-8, which statements are on their way through the
    fleet. Returns None if anything else is not valid.
    """

    def replace(match: re.Match[str]) -> str:
        string = match.group("string")
        if string is None:
            return match.group()
        if match.group("introducer") is None and not _UNDECODED.search(string):
            return match.group()
        return f"x'{unquote(string).encode(errors='surrogateescape').hex()}'"

    converted = _BINARY_STRING.sub(replace, sql)
    return None if _UNDECODED.search(converted) else converted


def result_of(
    names: Iterable[str], rows: list[tuple[Value, ...]], strings: bool = False
) -> StatementResult:
    """Return a result set of values that are known here."""
    first = rows[0] if rows else ()
    columns = []
    for index, name in enumerate(names):
        value = first[index] if index < len(first) else None
        is_integer = isinstance(value, int) and not strings
        columns.append(
            Column(name, ColumnType.LONGLONG, True)
            if is_integer
            else Column(name, ColumnType.VAR_STRING, False, length=1024)
        )
    return StatementResult(tuple(columns), _batches([_encode(row) for row in rows]))


def show_variables(sql: str, system: Callable[[str], Value]) -> StatementResult:
    """Answer SHOW VARIABLES."""
    found = list(tokens(sql))
    words = [token.text.upper() for token in found]
    strings = [token.text.lower() for token in found if token.kind == "string"]
    if "LIKE" in words and strings:
        pattern = _like_pattern(strings[0])
        names = [name for name in VARIABLES if pattern.fullmatch(name)]
    elif strings:
        names = [name for name in VARIABLES if name in strings]
    else:
        names = list(VARIABLES)
    rows: list[tuple[Value, ...]] = [(name, _shown(system(name))) for name in names]
    return result_of(("Variable_name", "Value"), rows, strings=True)


def _like_pattern(text: str) -> re.Pattern[str]:
    parts = {"%": ".*", "_": "."}
    return re.compile("".join(parts.get(c) or re.escape(c) for c in text))


def _shown(value: Value) -> str:
    return "" if value is None else str(value)


def _encode(row: tuple[Value, ...]) -> Row:
    return tuple(
        value if value is None or isinstance(value, bytes) else str(value).encode()
        for value in row
    )


async def _batches(rows: list[Row]) -> AsyncIterator[list[Row]]:
    if rows:
        yield rows
