"""Classification of SQL statements.

The class depends on the normalized text only: literals are replaced by placeholders,
and comments are removed. Results are cached by this text, so that statements which
differ only in their values are analysed once.
"""

import re
from functools import lru_cache
from itertools import pairwise
from typing import NamedTuple

from citronwood.backend.api import StatementKind
from citronwood.mysql.functions import READ_ONLY_FUNCTIONS, REFUSED_FUNCTIONS
from citronwood.mysql.lexical import QUOTED_OR_COMMENT

# With these names a client could affect others: change the table of idempotency keys,
# change the primary or see the statements on shared connections.
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

# The proxy's user on the backend servers can read them, for instance the password
# digests of other users.
SYSTEM_SCHEMAS = frozenset({"MYSQL", "PERFORMANCE_SCHEMA"})

# Longer normalized texts are not cached. The cache takes 16 MiB for 4096 ASCII texts of
# this length.
MAX_CACHED_NORMALIZED_CHARS = 4096
# Longer statements are normalized each time.
MAX_CACHED_SQL_CHARS = 256

_LITERAL_OR_COMMENT = re.compile(rf"{QUOTED_OR_COMMENT}|(?<![\w$])\d[\w.]*+", re.DOTALL)
_PLACEHOLDER_LIST = re.compile(r"\?(?:\s*,\s*\?)++")
_PLACEHOLDER_ROWS = re.compile(r"\(\s*\?\s*\)(?:\s*,\s*\(\s*\?\s*\))++")
_TOKEN = re.compile(r"`[^`]*`|/\*!|[^\W\d][\w$]*|@@|@|:=|\S")
_SESSION_FUNCTION = re.compile(
    r"\b(?:LAST_INSERT_ID|ROW_COUNT|CONNECTION_ID|DATABASE|SCHEMA|VERSION|USER"
    r"|CURRENT_USER|SESSION_USER|SYSTEM_USER)\s*\(\s*\)|\bCURRENT_USER\b",
    re.I,
)
_KINDS_BY_VERB = {
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
_WRITE_KEYWORDS = frozenset(
    {"INTO", "UPDATE", "DELETE", "INSERT", "REPLACE", "SHARE", "LOCK", "CALL", ":="}
)
_MAIN_VERBS = frozenset(
    {"SELECT", "UPDATE", "DELETE", "INSERT", "REPLACE", "TABLE", "VALUES"}
)
_REFUSED_PREFIXES: dict[tuple[str, ...], str] = {
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
    """Class of an SQL statement.

    Attributes
    ----------
    kind : StatementKind
    words : tuple of str
        Up to four words or symbols from the start, in upper case and without leading
        parentheses.
    uses_session : bool
        Whether the statement may refer to variables or functions whose values the
        session holds.
    refusal : str or None
        Why the statement is refused for every client, None if it is not.
    """

    kind: StatementKind
    words: tuple[str, ...]
    uses_session: bool
    refusal: str | None


def classify(sql: str) -> Statement:
    """Classify a statement; one that is not known to be a read counts as a write."""
    return _classify(sql) if len(sql) > MAX_CACHED_SQL_CHARS else _classify_cached(sql)


def _classify(sql: str) -> Statement:
    normalized = _normalize(sql)
    if len(normalized) > MAX_CACHED_NORMALIZED_CHARS:
        return _analyse.__wrapped__(normalized)
    return _analyse(normalized)


# For a repeated statement, a cache look-up is faster than normalizing its text.
_classify_cached = lru_cache(maxsize=1024)(_classify)


def _normalize(sql: str) -> str:
    # A constant replacement takes half the time of a function. This matters for long
    # inserts, because normalizing a statement of 1 MB blocks the event loop.
    has_only_literals = not ("`" in sql or "/*" in sql or "--" in sql or "#" in sql)
    normalized = _LITERAL_OR_COMMENT.sub(
        "?" if has_only_literals else _replacement, sql
    )
    if normalized.count("?") > 1:
        # Value lists of different lengths get the same normalized text.
        normalized = _PLACEHOLDER_LIST.sub("?", normalized)
        normalized = _PLACEHOLDER_ROWS.sub("(?)", normalized)
    return normalized


def _replacement(match: re.Match[str]) -> str:
    text = match.group()
    first = text[0]
    if first == "`":
        return text
    # Executable comments start with /*! in MySQL and /*M! in MariaDB. Only the first
    # character is checked, so any comment that starts with M counts as executable.
    if first == "/" and text[2:3] in ("!", "M"):
        return " /*! "
    return " " if first in "/-#" else "?"


@lru_cache(maxsize=4096)
def _analyse(normalized: str) -> Statement:
    words = [word.upper() for word in _TOKEN.findall(normalized)]
    start = next((i for i, word in enumerate(words) if word != "("), len(words))
    body = words[start:]
    while body and body[-1] == ";":
        body.pop()
    uses_session = "@" in normalized or _SESSION_FUNCTION.search(normalized) is not None
    return Statement(_kind(body), tuple(body[:4]), uses_session, _find_refusal(body))


def _kind(words: list[str]) -> StatementKind:
    if not words:
        return StatementKind.OTHER
    verb = words[0]
    if verb == "WITH":
        verb = _main_verb(words)
    kind = _KINDS_BY_VERB.get(verb, StatementKind.WRITE)
    # ROLLBACK TO SAVEPOINT does not end the transaction.
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
    """Return whether a query locks rows, stores a value or calls an unknown function.

    An unknown function may be a stored function that writes.
    """
    for word, following in pairwise([*words, ""]):
        if word in _WRITE_KEYWORDS and following != "(":
            return True
        is_name = word[0].isalpha() or word[0] in "_`"
        if following == "(" and is_name and word not in READ_ONLY_FUNCTIONS:
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
        message = _REFUSED_PREFIXES.get(tuple(words[:length]))
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
