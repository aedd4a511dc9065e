"""Signed session tokens.

A token carries the minimum position for a session's reads of one database group, so
that the client can continue the session on another connection or VM.
"""

import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from binascii import Error as BinasciiError
from typing import NamedTuple

import msgspec

from citronwood.backend.api import Position

MAX_TOKEN_CHARS = 512
MAX_INT64 = (1 << 63) - 1

_MAC_BYTES = 16  # HMAC-SHA256, truncated to half as RFC 2104 permits


class SessionToken(NamedTuple):
    """Content of a session token."""

    account: str
    group: str
    term: int
    lsn: int

    @property
    def position(self) -> Position:
        """Minimum position for the reads of the session."""
        return Position(self.term, self.lsn)


_decoder = msgspec.msgpack.Decoder(SessionToken)


def issue_token(secret: bytes, account: str, group: str, position: Position) -> str:
    """Return a signed token as text."""
    body = msgspec.msgpack.encode(SessionToken(account, group, *position))
    return urlsafe_b64encode(body + _mac(secret, body)).decode().rstrip("=")


def read_token(secret: bytes, text: str) -> SessionToken | None:
    """Return the content of a token, None if it is malformed or forged."""
    if len(text) > MAX_TOKEN_CHARS:
        return None
    try:
        data = urlsafe_b64decode(text.encode("ascii") + b"=" * (-len(text) % 4))
    except (BinasciiError, UnicodeEncodeError, ValueError):
        return None
    body, mac = data[:-_MAC_BYTES], data[-_MAC_BYTES:]
    if not hmac.compare_digest(mac, _mac(secret, body)):
        return None
    try:
        token = _decoder.decode(body)
    except msgspec.MsgspecError:
        return None
    in_range = 0 <= token.term <= MAX_INT64 and 0 <= token.lsn <= MAX_INT64
    return token if in_range else None


def _mac(secret: bytes, body: bytes) -> bytes:
    # The prefix separates tokens from other uses of the fleet secret.
    mac = hmac.digest(secret, b"citronwood session token\0" + body, "sha256")
    return mac[:_MAC_BYTES]
