"""Check of keys at login."""

import hmac
from collections.abc import Callable
from hashlib import sha1

from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin, User

from citronwood.mysql.handler import Handler, KeyedHandler

_NO_DIGEST = "0" * 40


def scramble_matches(digest: str, scramble: bytes, nonce: bytes) -> bool:
    """Compare the client's answer to the nonce with a digest, in constant time."""
    if len(scramble) != 20:
        return False
    stored = bytes.fromhex(digest)
    mask = sha1(nonce + stored).digest()
    stage1 = bytes(a ^ b for a, b in zip(scramble, mask, strict=True))
    return hmac.compare_digest(sha1(stage1).digest(), stored)


class _PasswordPlugin(NativePasswordAuthPlugin):  # type: ignore[misc]
    """Native password check against several digests."""

    def __init__(
        self, handler: Handler, find_database: Callable[[], str | None]
    ) -> None:
        self._handler = handler
        self._find_database = find_database

    def password_matches(self, user: User, scramble: bytes, nonce: bytes) -> bool:
        """Compare with every digest, then let the handler check the login."""
        digests = (user.auth_string or "").split()
        matches = [d for d in digests if scramble_matches(d, scramble, nonce)]
        database = self._find_database()
        keyed = self._handler if isinstance(self._handler, KeyedHandler) else None
        if matches:
            accepted = matches[0] != _NO_DIGEST
        elif scramble:
            accepted = False
        elif keyed is not None:
            accepted = keyed.admits_without_key(user.name, database)
        else:
            accepted = not digests
        if not accepted:
            return False
        if keyed is not None:
            keyed.key_accepted(user.name, matches[0] if matches else None)
        # After this the library reports success, so that a refusal of the database
        # must be raised here.
        self._handler.check_login(user.name, database)
        return True


class Identity(IdentityProvider):  # type: ignore[misc]
    """Users of one connection, as the protocol library asks for them."""

    def __init__(
        self, handler: Handler, find_database: Callable[[], str | None]
    ) -> None:
        self._handler = handler
        self._plugin = _PasswordPlugin(handler, find_database)

    def get_plugins(self) -> list[_PasswordPlugin]:
        """Return the only plugin."""
        return [self._plugin]

    async def get_user(self, username: str) -> User | None:
        """Return the digests of a user in the form the plugin reads."""
        digests = await self._handler.find_digests(username)
        # An unknown user takes the same path as a wrong password, so that the
        # answer does not tell which accounts exist.
        stored = _NO_DIGEST if digests is None else " ".join(digests)
        return User(name=username, auth_string=stored)
