"""Patterns and tokenizer for MySQL statements.

Every pattern also matches an unterminated literal or comment, up to the end of the
text, so that scanning takes linear time for any input.
"""

import re
from collections.abc import Iterator
from typing import NamedTuple

SINGLE_QUOTED = r"'[^'\\]*+(?:(?:\\.|'')[^'\\]*+)*+(?:'|\\?\Z)"
DOUBLE_QUOTED = r'"[^"\\]*+(?:(?:\\.|"")[^"\\]*+)*+(?:"|\\?\Z)'
BACKTICKED = r"`[^`]*+(?:``[^`]*+)*+(?:`|\Z)"
COMMENT = r"/\*.*?(?:\*/|\Z)|--(?=[\s\x00-\x1f]|\Z)[^\n]*|\#[^\n]*"
QUOTED_OR_COMMENT = f"{SINGLE_QUOTED}|{DOUBLE_QUOTED}|{BACKTICKED}|{COMMENT}"

_TOKEN = re.compile(
    rf"""
    (?P<space>\s+|{COMMENT})
    |(?P<string>{SINGLE_QUOTED}|{DOUBLE_QUOTED})
    |(?P<quoted>{BACKTICKED})
    |(?P<number>0x[0-9A-Fa-f]+|\d+(?:\.\d*)?(?:[eE][-+]?\d+)?|\.\d+)
    |(?P<word>[^\W\d][\w$]*)
    |(?P<symbol>@@|:=|.)
    """,
    re.DOTALL | re.VERBOSE,
)
_ESCAPE_SEQUENCE = re.compile(r"\\(.)|''|\"\"", re.DOTALL)
_ESCAPES = {"0": "\0", "b": "\b", "n": "\n", "r": "\r", "t": "\t", "Z": "\x1a"}


class Token(NamedTuple):
    """One token; ``kind`` is string, quoted (in backticks), number, word or symbol.

    ``text`` is the decoded value of a string or quoted name, and the source text of any
    other token. ``start`` and ``end`` are offsets in the statement.
    """

    kind: str
    text: str
    start: int = 0
    end: int = 0


def tokenize(sql: str) -> Iterator[Token]:
    """Yield the tokens of a statement without whitespace and comments."""
    for match in _TOKEN.finditer(sql):
        kind = match.lastgroup or "symbol"
        text = match.group()
        if kind == "string":
            text = unquote(text)
        elif kind == "quoted":
            text = text[1:-1].replace("``", "`")
        if kind != "space":
            yield Token(kind, text, match.start(), match.end())


def unquote(literal: str) -> str:
    """Return the value of a string literal."""
    quote, body = literal[0], literal[1:-1]

    def replace(match: re.Match[str]) -> str:
        escaped = match.group(1)
        if escaped is not None:
            return _ESCAPES.get(escaped, escaped)
        return quote if match.group()[0] == quote else match.group()

    return _ESCAPE_SEQUENCE.sub(replace, body)
