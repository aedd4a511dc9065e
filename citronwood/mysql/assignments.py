"""Parser of SET statements."""

import re
from decimal import Decimal
from functools import lru_cache
from typing import NamedTuple

from mysql_mimic.errors import MysqlError

from citronwood.mysql.codes import MysqlCode
from citronwood.mysql.lexical import Token, tokens
from citronwood.mysql.literals import Value

MAX_CACHED_CHARS = 200

_SCOPES = {"SESSION", "LOCAL"}
_GLOBAL_SCOPES = {"GLOBAL", "PERSIST", "PERSIST_ONLY"}
_LEVEL = re.compile(
    r"ISOLATION LEVEL (READ UNCOMMITTED|READ COMMITTED|REPEATABLE READ|SERIALIZABLE)"
    r"|READ ONLY|READ WRITE"
)
_END = Token("end", "")


class Reference(NamedTuple):
    """Value that is read from another variable."""

    name: str
    is_user: bool


class Assignment(NamedTuple):
    """One assignment; ``next_only`` restricts it to the next transaction.

    ``value`` is ``DEFAULT`` for the default of the variable.
    """

    name: str
    is_user: bool
    value: "Value | Reference | Default"
    next_only: bool = False


class Default(NamedTuple):
    """The default value of a system variable."""


DEFAULT = Default()


def parse_set(sql: str) -> tuple[Assignment, ...]:
    """Return the assignments of a SET statement, or raise ``MysqlError``."""
    return _parse_short(sql) if len(sql) <= MAX_CACHED_CHARS else _parse(sql)


def _parse(sql: str) -> tuple[Assignment, ...]:
    return tuple(_Parser(sql).statement())


_parse_short = lru_cache(maxsize=512)(_parse)


class _Parser:
    def __init__(self, sql: str) -> None:
        self._tokens = list(tokens(sql))
        self._next = 1
        self._sql = sql

    def statement(self) -> list[Assignment]:
        if self._is_transaction():
            return self._transaction()
        found = self._item()
        while self._accept(","):
            found += self._item()
        self._accept(";")
        if self._peek() is not _END:
            raise self._error()
        return found

    def _item(self) -> list[Assignment]:
        word = self._peek_word()
        if word == "NAMES":
            self._take()
            return self._names()
        if word in ("CHARSET", "CHARACTER"):
            self._take()
            if self._peek_word() == "SET":
                self._take()
            return _charset(self._value_text())
        return [self._assignment()]

    def _names(self) -> list[Assignment]:
        found = _charset(self._value_text())
        if self._peek_word() == "COLLATE":
            self._take()
            found.append(Assignment("collation_connection", False, self._value_text()))
        return found

    def _is_transaction(self) -> bool:
        words = [t.text.upper() for t in self._tokens[1:3]]
        return words[:1] == ["TRANSACTION"] or (
            words[1:] == ["TRANSACTION"] and words[0] in _SCOPES | _GLOBAL_SCOPES
        )

    def _transaction(self) -> list[Assignment]:
        scope = self._take().text.upper()
        if scope in _GLOBAL_SCOPES:
            raise _forbidden()
        next_only = scope == "TRANSACTION"
        if not next_only:
            self._take()
        text = " ".join(t.text.upper() for t in self._tokens[self._next :])
        found = []
        for part in text.rstrip("; ").split(" , "):
            match = _LEVEL.fullmatch(part)
            if match is None:
                raise self._error()
            if match.group(1):
                level = match.group(1).replace(" ", "-")
                found.append(
                    Assignment("transaction_isolation", False, level, next_only)
                )
            else:
                read_only = int(part == "READ ONLY")
                found.append(
                    Assignment("transaction_read_only", False, read_only, next_only)
                )
        return found

    def _assignment(self) -> Assignment:
        name, is_user, next_only = self._target()
        if not (self._accept("=") or self._accept(":=")):
            raise self._error()
        if not is_user and name.lower() == "sql_mode" and self._skip_concat():
            # Many drivers add to the present mode; it has no effect here.
            return Assignment(name, False, Reference(name, False))
        value = self._value(is_user)
        return Assignment(name, is_user, value, next_only)

    def _skip_concat(self) -> bool:
        """Skip a call of CONCAT or REPLACE on the present mode."""
        if self._peek_word() not in ("CONCAT", "REPLACE"):
            return False
        depth = 0
        while self._peek() is not _END:
            text = self._take().text
            depth += (text == "(") - (text == ")")
            if depth == 0 and text == ")":
                break
        return True

    def _target(self) -> tuple[str, bool, bool]:
        if self._accept("@"):
            return self._name().lower(), True, False
        if self._accept("@@"):
            name, scoped = self._system_name()
            # Without a scope, @@transaction_... concerns the next transaction only.
            return name, False, not scoped and name.startswith(("transaction_", "tx_"))
        word = self._peek_word()
        if word in _GLOBAL_SCOPES:
            raise _forbidden()
        if word in _SCOPES:
            self._take()
        return self._name(), False, False

    def _system_name(self) -> tuple[str, bool]:
        name = self._name()
        if self._accept("."):
            if name.upper() in _GLOBAL_SCOPES:
                raise _forbidden()
            return self._name(), True
        return name, False

    def _name(self) -> str:
        token = self._take()
        if token.kind not in ("word", "quoted", "string"):
            raise self._error()
        return token.text

    def _value(self, is_user: bool) -> Value | Reference | Default:
        negative = self._accept("-")
        token = self._take()
        if token.kind == "number":
            return _number(token.text, negative)
        if negative:
            raise self._error()
        if token.kind == "string":
            return token.text
        if token.text == "@":
            return Reference(self._name().lower(), True)
        if token.text == "@@":
            return Reference(self._system_name()[0], False)
        if token.kind in ("word", "quoted"):
            return self._word_value(token, is_user)
        raise self._error()

    def _word_value(self, token: Token, is_user: bool) -> Value | Default:
        word = token.text.upper()
        if word in ("X", "_BINARY") and self._peek().kind == "string":
            text = self._take().text
            return bytes.fromhex(text) if word == "X" else text.encode()
        if word.startswith("_UTF8") and self._peek().kind == "string":
            return self._take().text
        if self._peek().text == "(":
            raise self._error()
        named: dict[str, Value | Default] = {
            "NULL": None,
            "TRUE": 1,
            "FALSE": 0,
            "DEFAULT": DEFAULT,
        }
        if word in named:
            return named[word]
        if is_user:
            raise self._error()
        return token.text

    def _value_text(self) -> str | Default:
        token = self._take()
        return DEFAULT if token.text.upper() == "DEFAULT" else token.text

    def _peek(self) -> Token:
        return self._tokens[self._next] if self._next < len(self._tokens) else _END

    def _peek_word(self) -> str:
        token = self._peek()
        return token.text.upper() if token.kind == "word" else ""

    def _take(self) -> Token:
        token = self._peek()
        self._next += 1
        return token

    def _accept(self, symbol: str) -> bool:
        token = self._peek()
        if token.kind == "symbol" and token.text == symbol:
            self._next += 1
            return True
        return False

    def _error(self) -> MysqlError:
        return MysqlError(
            "This SET is not supported; assign literals or other variables",
            MysqlCode.NOT_SUPPORTED,
        )


def _charset(value: str | Default) -> list[Assignment]:
    names = ("character_set_client", "character_set_connection")
    return [Assignment(n, False, value) for n in (*names, "character_set_results")]


def _number(text: str, negative: bool) -> int | Decimal | float:
    sign = "-" if negative else ""
    if text.isdigit() or text[:2].lower() == "0x":
        return int(sign + text, 16 if text[1:2] in ("x", "X") else 10)
    return float(sign + text) if "e" in text.lower() else Decimal(sign + text)


def _forbidden() -> MysqlError:
    return MysqlError(
        "Global variables are managed by your operator", MysqlCode.ACCESS_DENIED
    )
