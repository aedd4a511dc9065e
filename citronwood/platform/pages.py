"""Decoding of the store's objects, some of which may be unreadable.

Load pattern: one object whose bytes cannot be decoded stands among hundreds that can. A
decoder of whole pages fails on it, at a place that it does not tell. Then the page is
split into the texts of its objects, and each is decoded by itself.
"""

import logging
import re
from typing import Any

import msgspec

from citronwood.decisions import log_state
from citronwood.errors import MessageError

log = logging.getLogger(__name__)

# A string, or a character that delimits values.
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},]', re.DOTALL)
_MEMBER = re.compile(rb'\s*("[^"\\]*(?:\\.[^"\\]*)*")\s*:(.*)', re.DOTALL)
# RecursionError is raised for values that are nested too deeply.
_DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


class Meta(msgspec.Struct):
    """Name and version of an object."""

    name: str
    revision: int
    deleting: bool = False


class StoredObject(msgspec.Struct):
    """Object of the store; ``spec`` is what its writer has written."""

    meta: Meta
    spec: Any = None


class Page(msgspec.Struct):
    """Objects of one kind, in the order of their names; ``more`` follow."""

    items: list[StoredObject]
    store_revision: int
    more: bool = False


def decode_page(body: bytes) -> Page:
    """Decode a page; raises ``MessageError``.

    An object with an unreadable ``spec`` is returned without one. It is left out if its
    name or version cannot be read.
    """
    try:
        return msgspec.json.decode(body, type=Page)
    except _DECODE_ERRORS:
        members = _members(body)
    revision = _decode_member(members, "store_revision", int)
    more = _decode_member(members, "more", bool) if "more" in members else False
    items = []
    for text in _split(members.get("items", b"")):
        try:
            items.append(decode_object(text))
        except MessageError as error:
            log_state(log, "object", "unreadable", f"platform: left out: {error}")
    return Page(items, revision, more)


def decode_object(body: bytes) -> StoredObject:
    """Decode an object, without ``spec`` if that cannot be read.

    Raises ``MessageError`` if its name or version cannot be read.
    """
    try:
        return msgspec.json.decode(body, type=StoredObject)
    except _DECODE_ERRORS as error:
        meta = _decode_member(_members(body), "meta", Meta)
        log_state(
            log,
            "object",
            "unreadable",
            f"platform: the content of {meta.name} cannot be read: {error}",
        )
        return StoredObject(meta)


def _decode_member(members: dict[str, bytes], name: str, value_type: Any) -> Any:
    try:
        return msgspec.json.decode(members.get(name, b""), type=value_type)
    except _DECODE_ERRORS as error:
        raise MessageError("malformed", f"{name}: {error}") from None


def _members(text: bytes) -> dict[str, bytes]:
    """Return the texts of an object's values; the values are not checked."""
    matches = (_MEMBER.fullmatch(part) for part in _split(text))
    return {
        match[1][1:-1].decode("ascii", "replace"): match[2].strip()
        for match in matches
        if match is not None
    }


def _split(text: bytes) -> list[bytes]:
    """Return the texts between the commas of an array or an object."""
    parts: list[bytes] = []
    depth, start = 0, 0
    for token in _TOKEN.finditer(text):
        symbol = token[0]
        if symbol in (b"[", b"{"):
            depth += 1
            if depth == 1:
                start = token.end()
        elif symbol in (b"]", b"}") or (symbol == b"," and depth == 1):
            if depth == 1:
                parts.append(text[start : token.start()])
                start = token.end()
            if symbol != b",":
                depth -= 1
                if depth == 0:
                    return [part for part in parts if part.strip()]
    raise MessageError("malformed", "the end of a value is missing")
