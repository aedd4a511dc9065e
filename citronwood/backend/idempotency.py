"""Records of requests with an idempotency key, stored in the group's database.

A record is written in the same transaction as the effect of its request, so neither
exists without the other.
"""

from hashlib import sha256
from typing import NamedTuple

import msgspec

from citronwood.backend.connection import BackendConnection, StatementAnswer
from citronwood.errors import ErrorCode, Refusal

TABLE = "citronwood_requests"
MAX_KEY_CHARACTERS = 190

_CREATE = (
    f"CREATE TABLE IF NOT EXISTS {TABLE} (account VARCHAR(63) NOT NULL,"
    f" request_key VARCHAR({MAX_KEY_CHARACTERS}) NOT NULL, digest CHAR(64) NOT NULL,"
    " answer VARCHAR(255) NOT NULL, created TIMESTAMP DEFAULT CURRENT_TIMESTAMP,"
    " PRIMARY KEY (account, request_key))"
)


class RequestKey(NamedTuple):
    """Idempotency key of a client account's request, and digest of its statements."""

    account: str
    key: str
    digest: str


class StoredAnswer(NamedTuple):
    """Numbers from the first execution, which answer a repeated request."""

    affected_rows: int
    last_insert_id: int


class StoredRequest(NamedTuple):
    """Record of a request as read from the table."""

    digest: str
    answer: StoredAnswer


def digest_statements(statements: list[str]) -> str:
    """Return the digest of the statements of a request."""
    joined = "\0".join(statements).encode(errors="surrogateescape")
    return sha256(joined).hexdigest()


def quote(text: str) -> str:
    """Return text as a hexadecimal literal, which is safe in every SQL mode."""
    return f"X'{text.encode(errors='surrogateescape').hex()}'"


def refuse_other_statement() -> Refusal:
    """Return the refusal for a key that was used for another statement."""
    return Refusal(
        ErrorCode.IDEMPOTENCY_KEY_REUSED,
        "The idempotency key was used for another statement; use a new key",
    )


def refuse_committed() -> Refusal:
    """Return the refusal for a transaction that was already committed."""
    return Refusal(
        ErrorCode.ALREADY_COMMITTED,
        "The transaction with this idempotency key has been committed already;"
        " do not repeat it",
    )


async def create_table(connection: BackendConnection, deadline: float) -> None:
    """Create the table of request records if it does not exist."""
    await connection.run(_CREATE, deadline)


async def find_record(
    connection: BackendConnection, account: str, key: str, deadline: float
) -> StoredRequest | None:
    """Return the record of a request; None if there is none."""
    sql = (
        f"SELECT digest, answer FROM {TABLE} WHERE account = {quote(account)}"
        f" AND request_key = {quote(key)}"
    )
    rows = await connection.query(sql, deadline)
    if not rows:
        return None
    digest, answer = rows[0]["digest"], rows[0]["answer"]
    assert digest is not None
    stored = msgspec.json.decode(answer or b"[0,0]", type=StoredAnswer)
    return StoredRequest(digest.decode(), stored)


async def insert_record(
    connection: BackendConnection, request: RequestKey, deadline: float
) -> None:
    """Insert the record in the open transaction; a duplicate key raises an error."""
    await connection.run(
        f"INSERT INTO {TABLE} (account, request_key, digest, answer) VALUES"
        f" ({quote(request.account)}, {quote(request.key)}, '{request.digest}',"
        " '[0,0]')",
        deadline,
    )


async def store_answer(
    connection: BackendConnection,
    request: RequestKey,
    answer: StatementAnswer,
    deadline: float,
) -> None:
    """Store the answer in the request's record, in the open transaction.

    Nothing is written if both numbers are zero, because ``insert_record`` has
    stored zeros.
    """
    if not answer.affected_rows and not answer.last_insert_id:
        return
    stored = f"[{answer.affected_rows},{answer.last_insert_id}]"
    await connection.run(
        f"UPDATE {TABLE} SET answer = '{stored}' WHERE account ="
        f" {quote(request.account)} AND request_key = {quote(request.key)}",
        deadline,
    )
