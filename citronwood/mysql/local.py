"""Statements that are answered from the session state.

A query that reads only session variables and functions is answered by the proxy. In any
other statement, references to them are replaced by literals before it is sent to a
backend server, because the pooled connection does not have the state of the session.
"""

import re
from collections.abc import AsyncIterator, Callable, Iterable
from functools import lru_cache
from typing import NamedTuple

from mysql_mimic.types import ColumnType

from citronwood.backend.api import Column, Row
from citronwood.mysql.handler import StatementResult
from citronwood.mysql.lexical import (
    BACKTICKED,
    QUOTED_OR_COMMENT,
    SINGLE_QUOTED,
    Token,
    tokenize,
    unquote,
)
from citronwood.mysql.literals import Value, literal
from citronwood.mysql.variables import VARIABLES

# Longer queries are not answered by the proxy. The longest query for session variables
# that a known driver sends has about 1,500 characters.
MAX_LOCAL_QUERY_CHARS = 4096

_SESSION_FUNCTIONS = {
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
# DATABASE() and SCHEMA() are left to the backend server: other statements need the name
# of the backend database, not of the route, for instance to search information_schema.
_SUBSTITUTED_FUNCTIONS = "|".join(sorted(_SESSION_FUNCTIONS - {"DATABASE", "SCHEMA"}))
_SESSION_REFERENCE = re.compile(
    rf"""
    {QUOTED_OR_COMMENT}
    |@@(?:(?:global|session|local)\.)?(?P<system>[^\W\d][\w$]*)
    |@(?P<user>[\w$.]+|{BACKTICKED}|{SINGLE_QUOTED})
    |\b(?P<function>{_SUBSTITUTED_FUNCTIONS})\s*\(\s*\)
    """,
    re.DOTALL | re.VERBOSE | re.IGNORECASE,
)
_BINARY_STRING = re.compile(
    rf"(?P<introducer>\b_binary\s*)?(?P<string>{SINGLE_QUOTED})|{QUOTED_OR_COMMENT}",
    re.DOTALL | re.IGNORECASE,
)
# Invalid UTF-8 bytes of a statement, decoded with ``surrogateescape``.
_SURROGATE_ESCAPE = re.compile("[\udc80-\udcff]")
_CONSTANTS: dict[str, Value] = {"NULL": None, "TRUE": 1, "FALSE": 0}


class SelectItem(NamedTuple):
    """One item of a SELECT list; ``kind`` is system, user, function or value.

    ``value`` is set for the kind value only, ``label`` is the name of the column.
    """

    kind: str
    name: str
    value: Value
    label: str


def select_items(sql: str) -> tuple[SelectItem, ...] | None:
    """Return the items of a SELECT of session values and constants, or None.

    None also for a SELECT of constants only, which a backend server answers.
    """
    if len(sql) > MAX_LOCAL_QUERY_CHARS:
        return None
    return _select_items_cached(sql)


@lru_cache(maxsize=512)
def _select_items_cached(sql: str) -> tuple[SelectItem, ...] | None:
    parsed = _ItemParser(sql).parse_items()
    if parsed is None or all(item.kind == "value" for item in parsed):
        return None
    return tuple(parsed)


class _ItemParser:
    def __init__(self, sql: str) -> None:
        self._sql = sql
        # The end tokens let the parser look ahead. The first token is SELECT.
        self._tokens = [*tokenize(sql), *[Token("end", "")] * 6]
        self._position = 1

    def parse_items(self) -> list[SelectItem] | None:
        """Return the items, None if the query contains anything else."""
        items = []
        while True:
            item = self._parse_item()
            if item is None:
                return None
            items.append(item)
            if self._peek_text() != ",":
                break
            self._position += 1
        return items if self._accept_end() else None

    def _peek_text(self, ahead: int = 0) -> str:
        return self._tokens[self._position + ahead].text.upper()

    def _accept_end(self) -> bool:
        if (self._peek_text(), self._peek_text(1)) == ("FROM", "DUAL"):
            self._position += 2
        if (
            self._peek_text() == "LIMIT"
            and self._peek_text(1).isdigit()
            and self._peek_text(1) != "0"
        ):
            self._position += 2
        if self._peek_text() == ";":
            self._position += 1
        return self._tokens[self._position].kind == "end"

    def _parse_item(self) -> SelectItem | None:
        start = self._position
        token = self._tokens[start]
        following = self._tokens[start + 1]
        value: Value = None
        if token.text == "@@" and following.kind == "word":
            scoped = self._peek_text(2) == "."
            kind, name = "system", self._tokens[start + (3 if scoped else 1)].text
            self._position += 4 if scoped else 2
        elif token.text == "@" and following.kind in ("word", "quoted", "string"):
            kind, name = "user", following.text.lower()
            self._position += 2
        elif token.kind == "word" and token.text.upper() in _SESSION_FUNCTIONS:
            if (self._peek_text(1), self._peek_text(2)) != ("(", ")"):
                return None
            kind, name = "function", token.text.upper()
            self._position += 3
        elif token.kind == "string":
            kind, name, value = "value", "", token.text
            self._position += 1
        elif token.kind == "number" and token.text.isdigit():
            kind, name, value = "value", "", int(token.text)
            self._position += 1
        elif token.kind == "word" and token.text.upper() in _CONSTANTS:
            kind, name, value = "value", "", _CONSTANTS[token.text.upper()]
            self._position += 1
        else:
            return None
        label = self._sql[token.start : self._tokens[self._position - 1].end]
        return SelectItem(kind, name, value, self._parse_alias() or label)

    def _parse_alias(self) -> str | None:
        has_as = self._peek_text() == "AS"
        token = self._tokens[self._position + has_as]
        is_name = token.kind in ("quoted", "string") or (
            token.kind == "word" and token.text.upper() not in ("FROM", "LIMIT")
        )
        if not is_name:
            return None
        self._position += 1 + has_as
        return token.text


def substitute_session_values(
    sql: str,
    system_value: Callable[[str], Value],
    user_value: Callable[[str], Value],
    function_value: Callable[[str], Value],
) -> str:
    """Replace session variables and functions by literals of their values."""

    def replace(match: re.Match[str]) -> str:
        if match.group("system"):
            return literal(system_value(match.group("system")))
        if match.group("user"):
            name = match.group("user")
            unquoted = unquote(name) if name[0] in "'`" else name
            return literal(user_value(unquoted.lower()))
        if match.group("function"):
            return literal(function_value(match.group("function").upper()))
        return match.group()

    return _SESSION_REFERENCE.sub(replace, sql)


def may_contain_binary(sql: str) -> bool:
    """Return whether a driver may have put binary values into the text."""
    if "_binary" in sql:
        return True
    return not sql.isascii() and _SURROGATE_ESCAPE.search(sql) is not None


def hex_encode_binary_strings(sql: str) -> str | None:
    """Replace binary strings by hexadecimal literals.

    Statements are sent between VMs as UTF-8, and binary values need not be valid UTF-8.
    Returns None if anything outside of single-quoted strings is not valid UTF-8.
    """

    def replace(match: re.Match[str]) -> str:
        string = match.group("string")
        if string is None:
            return match.group()
        if match.group("introducer") is None and not _SURROGATE_ESCAPE.search(string):
            return match.group()
        return f"x'{unquote(string).encode(errors='surrogateescape').hex()}'"

    converted = _BINARY_STRING.sub(replace, sql)
    return None if _SURROGATE_ESCAPE.search(converted) else converted


def local_result(
    names: Iterable[str], rows: list[tuple[Value, ...]], as_text: bool = False
) -> StatementResult:
    """Return a result set of local values.

    Columns with an integer in the first row are declared integers, unless ``as_text``.
    """
    first_row = rows[0] if rows else ()
    columns = []
    for index, name in enumerate(names):
        value = first_row[index] if index < len(first_row) else None
        is_integer = isinstance(value, int) and not as_text
        columns.append(
            Column(name, ColumnType.LONGLONG, True)
            if is_integer
            else Column(name, ColumnType.VAR_STRING, False, length=1024)
        )
    return StatementResult(
        tuple(columns), _single_batch([_encode_row(row) for row in rows])
    )


def show_variables(sql: str, system: Callable[[str], Value]) -> StatementResult:
    """Answer SHOW VARIABLES.

    Without LIKE, the strings of a condition select variables by their exact names.
    """
    statement_tokens = list(tokenize(sql))
    words = [token.text.upper() for token in statement_tokens]
    strings = [
        token.text.lower() for token in statement_tokens if token.kind == "string"
    ]
    if "LIKE" in words and strings:
        pattern = _like_regex(strings[0])
        names = [name for name in VARIABLES if pattern.fullmatch(name)]
    elif strings:
        names = [name for name in VARIABLES if name in strings]
    else:
        names = list(VARIABLES)
    rows: list[tuple[Value, ...]] = [
        (name, _display_text(system(name))) for name in names
    ]
    return local_result(("Variable_name", "Value"), rows, as_text=True)


def _like_regex(text: str) -> re.Pattern[str]:
    wildcards = {"%": ".*", "_": "."}
    return re.compile("".join(wildcards.get(c) or re.escape(c) for c in text))


def _display_text(value: Value) -> str:
    return "" if value is None else str(value)


def _encode_row(row: tuple[Value, ...]) -> Row:
    return tuple(
        value if value is None or isinstance(value, bytes) else str(value).encode()
        for value in row
    )


async def _single_batch(rows: list[Row]) -> AsyncIterator[list[Row]]:
    if rows:
        yield rows
