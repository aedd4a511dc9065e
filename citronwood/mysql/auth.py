"""Authentication of clients by key."""

import hmac
from collections.abc import Callable
from hashlib import sha1

from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin, User

from citronwood.mysql.handler import Handler, KeyedHandler

_DUMMY_DIGEST = "0" * 40


def scramble_matches(digest: str, scramble: bytes, nonce: bytes) -> bool:
    """Compare the client's scramble of the nonce with a digest, in constant time.

    ``digest`` is the hexadecimal SHA1(SHA1(key)) of ``mysql_native_password``.
    """
    if len(scramble) != 20:
        return False
    stored = bytes.fromhex(digest)
    mask = sha1(nonce + stored).digest()
    stage1 = bytes(a ^ b for a, b in zip(scramble, mask, strict=True))
    return hmac.compare_digest(sha1(stage1).digest(), stored)


class _PasswordPlugin(NativePasswordAuthPlugin):  # type: ignore[misc]
    """Native password check against the digests of all keys of an account."""

    def __init__(
        self, handler: Handler, find_database: Callable[[], str | None]
    ) -> None:
        self._handler = handler
        self._find_database = find_database

    def password_matches(self, user: User, scramble: bytes, nonce: bytes) -> bool:
        """Compare with every digest, then let the handler check the login.

        An empty password matches no digest. A ``KeyedHandler`` decides whether it is
        accepted; with any other handler, the user must have no keys.
        """
        digests = (user.auth_string or "").split()
        matches = [
            candidate
            for candidate in digests
            if scramble_matches(candidate, scramble, nonce)
        ]
        database = self._find_database()
        keyed = self._handler if isinstance(self._handler, KeyedHandler) else None
        if matches:
            accepted = matches[0] != _DUMMY_DIGEST
        elif scramble:
            accepted = False
        elif keyed is not None:
            accepted = keyed.allows_anonymous(user.name, database)
        else:
            accepted = not digests
        if not accepted:
            return False
        if keyed is not None:
            keyed.on_key_accepted(user.name, matches[0] if matches else None)
        # The library reports success once this method returns True, so a refusal of the
        # login or its database must be raised here.
        self._handler.check_login(user.name, database)
        return True


class HandlerIdentityProvider(IdentityProvider):  # type: ignore[misc]
    """Provides the protocol library with the users of a ``Handler``."""

    def __init__(
        self, handler: Handler, find_database: Callable[[], str | None]
    ) -> None:
        self._handler = handler
        self._plugin = _PasswordPlugin(handler, find_database)

    def get_plugins(self) -> list[_PasswordPlugin]:
        """Return the native password plugin."""
        return [self._plugin]

    async def get_user(self, username: str) -> User | None:
        """Return a user whose ``auth_string`` has the digests, separated by spaces."""
        digests = await self._handler.find_key_digests(username)
        # An unknown user is handled like a wrong password, so that the response does
        # not reveal which accounts exist.
        stored = _DUMMY_DIGEST if digests is None else " ".join(digests)
        return User(name=username, auth_string=stored)
