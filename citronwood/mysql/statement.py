"""Classification of SQL statements.

The class of a statement depends on its shape: the text without literals and comments.
Shapes are analysed once and kept, so that statements which differ only in their
values share one analysis.
"""

import re
from functools import lru_cache
from itertools import pairwise
from typing import NamedTuple

from citronwood.backend.api import StatementKind
from citronwood.mysql.functions import PURE_FUNCTIONS, REFUSED_FUNCTIONS
from citronwood.mysql.lexical import OPAQUE

# A caller that could change the table of idempotency keys, change the primary or see
# the statements on shared connections would affect other callers.
RESERVED_NAMES = frozenset(
    {
        "CITRONWOOD_REQUESTS",
        "GROUP_FENCE",
        "GROUP_FOLLOW",
        "GROUP_PROMOTE",
        "GROUP_WAIT",
        "INNODB_TRX",
        "PROCESSLIST",
    }
)

# The proxy's own user on the backend servers can read other users' password digests.
SYSTEM_SCHEMAS = frozenset({"MYSQL", "PERFORMANCE_SCHEMA"})

# Bounds the memory of the cache to 16 MB.
MAX_CACHED_CHARS = 4096
MAX_REMEMBERED_CHARS = 256

_LITERAL = re.compile(rf"{OPAQUE}|(?<![\w$])\d[\w.]*+", re.DOTALL)
_LIST = re.compile(r"\?(?:\s*,\s*\?)++")
_TUPLES = re.compile(r"\(\s*\?\s*\)(?:\s*,\s*\(\s*\?\s*\))++")
_WORD = re.compile(r"`[^`]*`|/\*!|[^\W\d][\w$]*|@@|@|:=|\S")
_SESSION_FUNCTION = re.compile(
    r"\b(?:LAST_INSERT_ID|ROW_COUNT|CONNECTION_ID|DATABASE|SCHEMA|VERSION|USER"
    r"|CURRENT_USER|SESSION_USER|SYSTEM_USER)\s*\(\s*\)|\bCURRENT_USER\b",
    re.I,
)
_KINDS = {
    "SELECT": StatementKind.READ,
    "TABLE": StatementKind.READ,
    "SHOW": StatementKind.READ,
    "DESCRIBE": StatementKind.READ,
    "DESC": StatementKind.READ,
    "EXPLAIN": StatementKind.READ,
    "VALUES": StatementKind.READ,
    "BEGIN": StatementKind.BEGIN,
    "START": StatementKind.BEGIN,
    "COMMIT": StatementKind.COMMIT,
    "ROLLBACK": StatementKind.ROLLBACK,
    "SET": StatementKind.OTHER,
    "USE": StatementKind.OTHER,
}
_WRITING_WORDS = frozenset(
    {"INTO", "UPDATE", "DELETE", "INSERT", "REPLACE", "SHARE", "LOCK", "CALL", ":="}
)
_MAIN_VERBS = frozenset(
    {"SELECT", "UPDATE", "DELETE", "INSERT", "REPLACE", "TABLE", "VALUES"}
)
_REFUSED_STARTS: dict[tuple[str, ...], str] = {
    ("LOCK",): "LOCK TABLES is not supported; use a transaction",
    ("UNLOCK",): "UNLOCK TABLES is not supported; use a transaction",
    ("CREATE", "TEMPORARY"): "Temporary tables are not supported",
    ("DROP", "TEMPORARY"): "Temporary tables are not supported",
    ("PREPARE",): "PREPARE is not supported; use the driver's prepared statements",
    ("EXECUTE",): "EXECUTE is not supported; use the driver's prepared statements",
    ("DEALLOCATE",): "DEALLOCATE is not supported",
    ("HANDLER",): "HANDLER is not supported; use SELECT",
    ("XA",): "XA transactions are not supported",
    ("FLUSH",): "FLUSH is not allowed",
    ("KILL",): "KILL is not allowed",
    ("SHUTDOWN",): "SHUTDOWN is not allowed",
    ("RESTART",): "RESTART is not allowed",
    ("RESET",): "RESET is not allowed",
    ("PURGE",): "PURGE is not allowed",
    ("CHANGE",): "Replication is controlled by the proxy",
    ("START", "REPLICA"): "Replication is controlled by the proxy",
    ("START", "SLAVE"): "Replication is controlled by the proxy",
    ("STOP",): "Replication is controlled by the proxy",
    ("SHOW", "GROUP"): "SHOW GROUP STATUS is reserved for the proxy",
    ("LOAD",): "LOAD is not supported; use INSERT",
    ("CREATE", "DATABASE"): "Databases are managed by your operator",
    ("CREATE", "SCHEMA"): "Databases are managed by your operator",
    ("ALTER", "DATABASE"): "Databases are managed by your operator",
    ("ALTER", "SCHEMA"): "Databases are managed by your operator",
    ("DROP", "DATABASE"): "Databases are managed by your operator",
    ("DROP", "SCHEMA"): "Databases are managed by your operator",
    ("RENAME", "USER"): "Accounts are managed by your operator",
    ("CREATE", "ROLE"): "Accounts are managed by your operator",
    ("DROP", "ROLE"): "Accounts are managed by your operator",
    ("GRANT",): "Accounts are managed by your operator",
    ("REVOKE",): "Accounts are managed by your operator",
    ("CREATE", "USER"): "Accounts are managed by your operator",
    ("ALTER", "USER"): "Accounts are managed by your operator",
    ("DROP", "USER"): "Accounts are managed by your operator",
    ("INSTALL",): "INSTALL is not allowed",
    ("UNINSTALL",): "UNINSTALL is not allowed",
}


class Statement(NamedTuple):
    """Class of a statement.

    Attributes
    ----------
    kind : StatementKind
    words : tuple of str
        The first words in upper case, without leading parentheses.
    uses_session : bool
        Whether it names variables or functions that belong to the session.
    refusal : str or None
        Why it cannot run on a pooled connection.
    """

    kind: StatementKind
    words: tuple[str, ...]
    uses_session: bool
    refusal: str | None


def inspect(sql: str) -> Statement:
    """Return the class of a statement; whatever is not known to read is a write."""
    return _inspect(sql) if len(sql) > MAX_REMEMBERED_CHARS else _remembered(sql)


def _inspect(sql: str) -> Statement:
    shape = _shape(sql)
    if len(shape) > MAX_CACHED_CHARS:
        return _analyse.__wrapped__(shape)
    return _analyse(shape)


# The search for literals takes longer than the look-up of a text that is repeated.
_remembered = lru_cache(maxsize=1024)(_inspect)


def _shape(sql: str) -> str:
    # A constant takes half the time of a function, which matters for long inserts: a
    # statement of 1 MB holds up the event loop meanwhile.
    is_plain = not ("`" in sql or "/*" in sql or "--" in sql or "#" in sql)
    shape = _LITERAL.sub("?" if is_plain else _replace_literal, sql)
    if shape.count("?") > 1:
        # Lists of different lengths share one shape.
        shape = _LIST.sub("?", shape)
        shape = _TUPLES.sub("(?)", shape)
    return shape


def _replace_literal(match: re.Match[str]) -> str:
    text = match.group()
    first = text[0]
    if first == "`":
        return text
    if first == "/" and text[2:3] in ("!", "M"):
        return " /*! "
    return " " if first in "/-#" else "?"


@lru_cache(maxsize=4096)
def _analyse(shape: str) -> Statement:
    words = [word.upper() for word in _WORD.findall(shape)]
    start = next((i for i, word in enumerate(words) if word != "("), len(words))
    body = words[start:]
    while body and body[-1] == ";":
        body.pop()
    uses_session = "@" in shape or _SESSION_FUNCTION.search(shape) is not None
    return Statement(_kind(body), tuple(body[:4]), uses_session, _find_refusal(body))


def _kind(words: list[str]) -> StatementKind:
    if not words:
        return StatementKind.OTHER
    verb = words[0]
    if verb == "WITH":
        verb = _main_verb(words)
    kind = _KINDS.get(verb, StatementKind.WRITE)
    if kind is StatementKind.ROLLBACK and "TO" in words:
        return StatementKind.WRITE
    if kind is StatementKind.BEGIN and verb == "START" and "TRANSACTION" not in words:
        return StatementKind.WRITE
    if kind is StatementKind.READ and verb != "SHOW" and _may_write(words):
        return StatementKind.WRITE
    return kind


def _main_verb(words: list[str]) -> str:
    depth = 0
    for word in words:
        depth += (word == "(") - (word == ")")
        if depth == 0 and word in _MAIN_VERBS:
            return word
    return ""


def _may_write(words: list[str]) -> bool:
    """Tell whether a query locks, stores or calls something not known to be pure.

    A function that is not known may be a stored one that writes.
    """
    for word, following in pairwise([*words, ""]):
        if word in _WRITING_WORDS and following != "(":
            return True
        is_name = word[0].isalpha() or word[0] in "_`"
        if following == "(" and is_name and word not in PURE_FUNCTIONS:
            return True
    return False


def _find_refusal(words: list[str]) -> str | None:
    if ";" in words:
        return "Only one statement can be sent at a time"
    if "/*!" in words:
        return "Executable comments are not supported"
    if words and words[0] != "SET" and ":=" in words:
        return "User variables can be assigned with SET only"
    for length in (1, 2, 3):
        message = _REFUSED_STARTS.get(tuple(words[:length]))
        if message is not None:
            return message
    for word, following in pairwise([*words, ""]):
        if word == "INTO" and following == "@":
            return "SELECT INTO is not supported; read the result"
        name = word.strip("`")
        if name in SYSTEM_SCHEMAS and following == ".":
            return "The system tables of the backend servers are not available"
        if name in RESERVED_NAMES:
            return f"{name} is reserved for the proxy"
        if name in REFUSED_FUNCTIONS and following == "(":
            return f"{name} is not supported: its effect belongs to one connection"
        if word in ("OUTFILE", "DUMPFILE") or word == "SQL_CALC_FOUND_ROWS":
            return f"{word} is not supported"
    return None
