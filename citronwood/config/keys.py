"""Secrets of the keys of client accounts; only their digests are stored."""

import secrets
from hashlib import sha1

SECRET_BYTES = 20


def new_secret() -> str:
    """Return a secret of 160 random bits as hexadecimal digits."""
    return secrets.token_hex(SECRET_BYTES)


def key_digest(secret: str) -> str:
    """Return the double SHA-1 digest that ``mysql_native_password`` requires."""
    return sha1(sha1(secret.encode()).digest()).hexdigest()
