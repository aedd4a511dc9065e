"""Parser of SET statements."""

import re
from decimal import Decimal
from functools import lru_cache
from typing import NamedTuple

from mysql_mimic.errors import MysqlError

from citronwood.mysql.codes import MysqlCode
from citronwood.mysql.lexical import Token, tokenize
from citronwood.mysql.literals import Value

# Longer statements are parsed without the cache.
MAX_CACHED_SQL_CHARS = 200

_SESSION_SCOPES = {"SESSION", "LOCAL"}
_GLOBAL_SCOPES = {"GLOBAL", "PERSIST", "PERSIST_ONLY"}
_CHARACTERISTIC = re.compile(
    r"ISOLATION LEVEL (READ UNCOMMITTED|READ COMMITTED|REPEATABLE READ|SERIALIZABLE)"
    r"|READ ONLY|READ WRITE"
)
_END = Token("end", "")


class Reference(NamedTuple):
    """User (``@name``) or system variable whose current value is assigned."""

    name: str
    is_user: bool


class Assignment(NamedTuple):
    """Assignment to a variable.

    ``next_transaction_only`` limits it to the next transaction. ``value`` is
    ``DEFAULT`` if the variable is reset to its default.
    """

    name: str
    is_user: bool
    value: "Value | Reference | Default"
    next_transaction_only: bool = False


class Default(NamedTuple):
    """The default value of a system variable."""


DEFAULT = Default()


def parse_set(sql: str) -> tuple[Assignment, ...]:
    """Return the assignments of a SET statement, or raise ``MysqlError``."""
    return _parse_cached(sql) if len(sql) <= MAX_CACHED_SQL_CHARS else _parse(sql)


def _parse(sql: str) -> tuple[Assignment, ...]:
    return tuple(_Parser(sql).parse_statement())


_parse_cached = lru_cache(maxsize=512)(_parse)


class _Parser:
    def __init__(self, sql: str) -> None:
        self._tokens = list(tokenize(sql))
        # The first token is SET.
        self._position = 1
        self._sql = sql

    def parse_statement(self) -> list[Assignment]:
        if self._is_set_transaction():
            return self._parse_transaction()
        assignments = self._parse_item()
        while self._accept(","):
            assignments += self._parse_item()
        self._accept(";")
        if self._peek() is not _END:
            raise self._unsupported_error()
        return assignments

    def _parse_item(self) -> list[Assignment]:
        word = self._peek_word()
        if word == "NAMES":
            self._advance()
            return self._parse_names()
        if word in ("CHARSET", "CHARACTER"):
            self._advance()
            if self._peek_word() == "SET":
                self._advance()
            return _charset_assignments(self._parse_name_or_default())
        return [self._parse_assignment()]

    def _parse_names(self) -> list[Assignment]:
        assignments = _charset_assignments(self._parse_name_or_default())
        if self._peek_word() == "COLLATE":
            self._advance()
            assignments.append(
                Assignment("collation_connection", False, self._parse_name_or_default())
            )
        return assignments

    def _is_set_transaction(self) -> bool:
        words = [t.text.upper() for t in self._tokens[1:3]]
        return words[:1] == ["TRANSACTION"] or (
            words[1:] == ["TRANSACTION"]
            and words[0] in _SESSION_SCOPES | _GLOBAL_SCOPES
        )

    def _parse_transaction(self) -> list[Assignment]:
        scope = self._advance().text.upper()
        if scope in _GLOBAL_SCOPES:
            raise _global_scope_error()
        next_transaction_only = scope == "TRANSACTION"
        if not next_transaction_only:
            self._advance()
        text = " ".join(t.text.upper() for t in self._tokens[self._position :])
        assignments = []
        for part in text.rstrip("; ").split(" , "):
            match = _CHARACTERISTIC.fullmatch(part)
            if match is None:
                raise self._unsupported_error()
            if match.group(1):
                level = match.group(1).replace(" ", "-")
                assignments.append(
                    Assignment(
                        "transaction_isolation", False, level, next_transaction_only
                    )
                )
            else:
                read_only = int(part == "READ ONLY")
                assignments.append(
                    Assignment(
                        "transaction_read_only", False, read_only, next_transaction_only
                    )
                )
        return assignments

    def _parse_assignment(self) -> Assignment:
        name, is_user, next_transaction_only = self._parse_target()
        if not (self._accept("=") or self._accept(":=")):
            raise self._unsupported_error()
        if not is_user and name.lower() == "sql_mode" and self._skip_mode_function():
            # Many drivers extend the current mode with CONCAT or REPLACE. The call is
            # ignored and the mode stays as it is, because the session's mode is never
            # set on backend connections.
            return Assignment(name, False, Reference(name, False))
        value = self._parse_value(is_user)
        return Assignment(name, is_user, value, next_transaction_only)

    def _skip_mode_function(self) -> bool:
        """Skip a call of CONCAT or REPLACE; return whether there was one."""
        if self._peek_word() not in ("CONCAT", "REPLACE"):
            return False
        depth = 0
        while self._peek() is not _END:
            text = self._advance().text
            depth += (text == "(") - (text == ")")
            if depth == 0 and text == ")":
                break
        return True

    def _parse_target(self) -> tuple[str, bool, bool]:
        """Return the name, ``is_user`` and ``next_transaction_only``."""
        if self._accept("@"):
            return self._parse_name().lower(), True, False
        if self._accept("@@"):
            name, scoped = self._parse_system_name()
            # Without a scope, @@transaction_... applies to the next transaction only.
            return name, False, not scoped and name.startswith(("transaction_", "tx_"))
        word = self._peek_word()
        if word in _GLOBAL_SCOPES:
            raise _global_scope_error()
        if word in _SESSION_SCOPES:
            self._advance()
        return self._parse_name(), False, False

    def _parse_system_name(self) -> tuple[str, bool]:
        """Return the name after @@, and whether a scope precedes it."""
        name = self._parse_name()
        if self._accept("."):
            if name.upper() in _GLOBAL_SCOPES:
                raise _global_scope_error()
            return self._parse_name(), True
        return name, False

    def _parse_name(self) -> str:
        token = self._advance()
        if token.kind not in ("word", "quoted", "string"):
            raise self._unsupported_error()
        return token.text

    def _parse_value(self, is_user: bool) -> Value | Reference | Default:
        negative = self._accept("-")
        token = self._advance()
        if token.kind == "number":
            return _parse_number(token.text, negative)
        if negative:
            raise self._unsupported_error()
        if token.kind == "string":
            return token.text
        if token.text == "@":
            return Reference(self._parse_name().lower(), True)
        if token.text == "@@":
            return Reference(self._parse_system_name()[0], False)
        if token.kind in ("word", "quoted"):
            return self._parse_word_value(token, is_user)
        raise self._unsupported_error()

    def _parse_word_value(self, token: Token, is_user: bool) -> Value | Default:
        word = token.text.upper()
        if word in ("X", "_BINARY") and self._peek().kind == "string":
            text = self._advance().text
            return bytes.fromhex(text) if word == "X" else text.encode()
        if word.startswith("_UTF8") and self._peek().kind == "string":
            return self._advance().text
        if self._peek().text == "(":
            raise self._unsupported_error()
        constants: dict[str, Value | Default] = {
            "NULL": None,
            "TRUE": 1,
            "FALSE": 0,
            "DEFAULT": DEFAULT,
        }
        if word in constants:
            return constants[word]
        if is_user:
            raise self._unsupported_error()
        return token.text

    def _parse_name_or_default(self) -> str | Default:
        token = self._advance()
        return DEFAULT if token.text.upper() == "DEFAULT" else token.text

    def _peek(self) -> Token:
        return (
            self._tokens[self._position] if self._position < len(self._tokens) else _END
        )

    def _peek_word(self) -> str:
        token = self._peek()
        return token.text.upper() if token.kind == "word" else ""

    def _advance(self) -> Token:
        token = self._peek()
        self._position += 1
        return token

    def _accept(self, symbol: str) -> bool:
        token = self._peek()
        if token.kind == "symbol" and token.text == symbol:
            self._position += 1
            return True
        return False

    def _unsupported_error(self) -> MysqlError:
        return MysqlError(
            "This SET is not supported; assign literals or other variables",
            MysqlCode.NOT_SUPPORTED,
        )


def _charset_assignments(value: str | Default) -> list[Assignment]:
    names = ("character_set_client", "character_set_connection")
    return [Assignment(n, False, value) for n in (*names, "character_set_results")]


def _parse_number(text: str, negative: bool) -> int | Decimal | float:
    sign = "-" if negative else ""
    if text.isdigit() or text[:2].lower() == "0x":
        return int(sign + text, 16 if text[1:2] in ("x", "X") else 10)
    return float(sign + text) if "e" in text.lower() else Decimal(sign + text)


def _global_scope_error() -> MysqlError:
    return MysqlError(
        "Global variables are managed by your operator", MysqlCode.ACCESS_DENIED
    )
