"""Interface between the MySQL protocol and the session of a client connection."""

from collections.abc import AsyncIterator
from typing import NamedTuple, Protocol, runtime_checkable

from citronwood.backend.api import Column, Row


class StatementResult(NamedTuple):
    """Result of one statement.

    ``info`` is sent in the OK packet; ``rows`` is None without a result set.
    ``changed_rows``, if it is set, replaces ``affected_rows`` for clients that did not
    request the number of found rows (CLIENT_FOUND_ROWS).
    """

    columns: tuple[Column, ...] = ()
    rows: AsyncIterator[list[Row]] | None = None
    affected_rows: int = 0
    last_insert_id: int = 0
    info: bytes = b""
    warnings: int = 0
    changed_rows: int | None = None


class Handler(Protocol):
    """Session of one client connection."""

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open, as reported in the status flags."""
        ...

    async def find_key_digests(self, username: str) -> list[str] | None:
        """Return the digests of a user's keys, None if there is no such user.

        With an empty list the user can log in with an empty password only.
        """
        ...

    def check_login(self, username: str, database: str | None) -> None:
        """Raise ``MysqlError`` if the user may not log in or use the database."""
        ...

    async def open(self, username: str, database: str | None) -> None:
        """Start the session after a successful login."""
        ...

    async def run(self, sql: str, attributes: dict[str, str]) -> StatementResult:
        """Run one statement or raise ``MysqlError``."""
        ...

    async def use(self, database: str) -> None:
        """Change the default database."""
        ...

    async def reset(self) -> None:
        """Roll back and discard the session variables; the database stays selected."""
        ...

    async def close(self) -> None:
        """Release all resources of the session."""
        ...


@runtime_checkable
class KeyedHandler(Handler, Protocol):
    """Handler that distinguishes the keys of an account and the client's address."""

    @property
    def autocommit(self) -> bool:
        """Whether statements outside a transaction commit on their own."""
        ...

    @property
    def closing(self) -> bool:
        """Whether the connection must be closed after the current response."""
        ...

    def connected(self, connection_id: int, peer: str) -> None:
        """Receive the connection id and the client's address, before the login."""
        ...

    def allows_anonymous(self, username: str, database: str | None) -> bool:
        """Whether an empty password is accepted for the database."""
        ...

    def on_key_accepted(self, username: str, digest: str | None) -> None:
        """Store the digest that the key matched, None for an empty password."""
        ...

    async def login_failed(self, username: str) -> None:
        """Wait before the error for a wrong key is sent."""
        ...

    def expire_transaction(self, idle_s: float) -> bool:
        """Fail an open transaction if the client was idle for too long or lost access.

        ``idle_s`` is the time since the client's last command ended. If the result is
        True, ``release_transaction`` must be called.
        """
        ...

    async def release_transaction(self) -> None:
        """Roll back the expired transaction."""
        ...
