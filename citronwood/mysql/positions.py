"""Minimum replication positions for the reads of a session."""

from mysql_mimic.errors import MysqlError

from citronwood.backend.api import Position
from citronwood.errors import ErrorCode
from citronwood.mysql.access import Access
from citronwood.mysql.token import issue_token, read_token


class Positions:
    """Highest position per group from the replies and tokens of the session."""

    __slots__ = ("_position_by_group",)

    def __init__(self) -> None:
        self._position_by_group: dict[str, Position] | None = None

    def get(self, group: str) -> Position | None:
        """Return the minimum position for reads of a group, None if there is none."""
        return (
            None
            if self._position_by_group is None
            else self._position_by_group.get(group)
        )

    def advance(self, group: str, position: Position) -> None:
        """Raise the minimum position of a group; a lower position is ignored."""
        if self._position_by_group is None:
            self._position_by_group = {}
        current = self._position_by_group.get(group)
        if current is None or position > current:
            self._position_by_group[group] = position

    def issue(self, secret: bytes, account: str, group: str) -> str | None:
        """Return a token with the position of a group, None without a position."""
        position = self.get(group)
        return (
            None if position is None else issue_token(secret, account, group, position)
        )

    def accept(self, secret: bytes, access: Access, text: str) -> None:
        """Raise the minimum position to that of a token, or raise ``MysqlError``."""
        token = read_token(secret, text)
        if token is None or token.account != access.account:
            raise MysqlError(
                "The session token is malformed or of another account; use the value"
                " of @citronwood_token unchanged",
                ErrorCode.BAD_SESSION_TOKEN,
            )
        if token.group not in access.groups():
            raise MysqlError(
                f"The session token is of database group '{token.group}', which"
                " none of the account's routes uses",
                ErrorCode.BAD_SESSION_TOKEN,
            )
        self.advance(token.group, token.position)
