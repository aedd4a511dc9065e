"""Encoding of messages and frames between VMs.

A frame is the protocol version (one byte), a MAC (16 bytes) and a MessagePack array of
envelopes. The MAC is a keyed BLAKE2b over version and array, with a key derived from
the fleet's secret, so that frames of a process without the secret are rejected.
Computing the MAC of a small frame takes about 1 µs. Replayed frames are not detected;
the network between the VMs is assumed not to be readable by an attacker.
"""

import hmac
from collections.abc import Iterable
from hashlib import blake2b
from typing import Any, TypeVar

import msgspec

from citronwood.errors import MessageError
from citronwood.inner.messages import MAX_MESSAGE_BYTES, PROTOCOL_VERSION, Envelope

MAC_BYTES = 16
HEADER_BYTES = 1 + MAC_BYTES
# 1024 bytes are reserved for the frame header and the other fields of the envelope.
MAX_BODY_BYTES = MAX_MESSAGE_BYTES - 1024

_Message = TypeVar("_Message")
_encoder = msgspec.msgpack.Encoder()
_frame_decoder = msgspec.msgpack.Decoder(list[Envelope])
_body_decoders: dict[type, msgspec.msgpack.Decoder[Any]] = {}


class Codec:
    """Encodes and decodes frames with the fleet's secret."""

    def __init__(self, secret: bytes) -> None:
        self._secret: bytes | None = None
        self.set_secret(secret)

    def set_secret(self, secret: bytes) -> None:
        """Use this secret from now on."""
        if secret == self._secret:
            return
        self._secret = secret
        key = blake2b(secret, digest_size=32, person=b"citronwood-inner").digest()
        self._mac = blake2b(bytes([PROTOCOL_VERSION]), digest_size=MAC_BYTES, key=key)

    def encode_frame(self, envelopes: Iterable[bytes]) -> bytes:
        """Build a frame from encoded envelopes."""
        payload = _encoder.encode([msgspec.Raw(encoded) for encoded in envelopes])
        return b"".join(
            (bytes([PROTOCOL_VERSION]), self._compute_mac(payload), payload)
        )

    def decode_frame(self, frame: bytes) -> list[Envelope]:
        """Check version and MAC and return the envelopes.

        Raises
        ------
        MessageError
            The frame is invalid; ``error.args[0]`` is a short reason such as
            ``bad_mac``.
        """
        if len(frame) > MAX_MESSAGE_BYTES:
            raise MessageError("oversized", f"{len(frame)} bytes")
        if len(frame) < HEADER_BYTES:
            raise MessageError("malformed", f"{len(frame)} bytes")
        if frame[0] != PROTOCOL_VERSION:
            raise MessageError("foreign_version", f"version {frame[0]}")
        payload = frame[HEADER_BYTES:]
        if not hmac.compare_digest(frame[1:HEADER_BYTES], self._compute_mac(payload)):
            raise MessageError("bad_mac", f"{len(frame)} bytes")
        try:
            return _frame_decoder.decode(payload)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise MessageError("malformed", str(error)) from error

    def _compute_mac(self, payload: bytes) -> bytes:
        mac = self._mac.copy()
        mac.update(payload)
        return mac.digest()


def encode_body(message: Any) -> bytes:
    """Encode a message as MessagePack or raise ``MessageError`` if it is too long."""
    body = _encoder.encode(message)
    if len(body) > MAX_BODY_BYTES:
        name = type(message).__name__
        raise MessageError("oversized", f"{name} of {len(body)} bytes")
    return body


def decode_body(body: bytes, message_type: type[_Message]) -> _Message:
    """Decode a message as ``message_type`` or raise ``MessageError``."""
    decoder = _body_decoders.get(message_type)
    if decoder is None:
        decoder = _body_decoders[message_type] = msgspec.msgpack.Decoder(message_type)
    try:
        message: _Message = decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MessageError("malformed", f"{message_type.__name__}: {error}") from error
    return message


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode an envelope as MessagePack, for ``Codec.encode_frame``."""
    return _encoder.encode(envelope)
