"""Cached copies of the objects that operators and backend servers write to the store.

The leader polls the platform's store and announces the versions found to the other
VMs, which fetch the objects from the leader. A VM without contact to the leader or a
deputy polls the store itself. Watches are not used, because a watch that has stopped
delivering events cannot be told from one without changes.
"""

import logging
import zlib
from collections.abc import Callable
from typing import Any, Generic, TypeVar

import msgspec

from citronwood.decisions import log_state
from citronwood.errors import MessageError
from citronwood.platform.api import Listing, ObjectStore, VersionedObject
from citronwood.relay.clock import now
from citronwood.versions import generation_of

log = logging.getLogger(__name__)

# Objects of one kind, decompressed. The store's objects have 1 MiB each at most.
MAX_CONTENT_BYTES = 64 << 20

_Content = TypeVar("_Content")
# (version, value) by object name.
_Values = dict[str, tuple[int, dict[str, Any]]]


class Feed(Generic[_Content]):
    """Newest known objects of one kind.

    Parameters
    ----------
    kind : str
        Kind of the objects in the platform's store.
    decode : callable
        Decodes the objects; returns None when they are not usable.
    on_content : callable
        Called with the decoded content whenever it changes.
    read_by_all : bool
        Whether a VM that hears of no newer read reads this kind itself. Other kinds are
        read by the leader and the deputies alone.
    """

    def __init__(
        self,
        kind: str,
        decode: Callable[[Listing], _Content | None],
        on_content: Callable[[_Content], None],
        read_by_all: bool = True,
    ) -> None:
        self.kind = kind
        self.read_by_all = read_by_all
        self._decode = decode
        self._on_content = on_content
        self._version = 0
        self._content: _Content | None = None
        self._objects: dict[str, VersionedObject] = {}
        self._polled_at = -1e9
        self._encoded: bytes | None = None

    @property
    def polled_at(self) -> float:
        """Time at which this VM sent its last successful read of the store."""
        return self._polled_at

    @property
    def version(self) -> int:
        """Version of the store at the last change or received copy; 0 before both."""
        return self._version

    async def poll(self, store: ObjectStore, deadline: float) -> None:
        """Read the store; raises ``PlatformError``."""
        asked_at = now()
        self._update(await store.list_objects(self.kind, deadline))
        self._polled_at = asked_at

    def encode(self) -> bytes:
        """Encode the objects to send them to other VMs.

        They are compressed, because all VMs of a large fleet that start together fetch
        them from one VM with a slow link.
        """
        if self._encoded is None:
            values = {
                name: (stored.version, stored.value)
                for name, stored in self._objects.items()
            }
            try:
                encoded = msgspec.json.encode(values)
            except RecursionError:
                encoded = msgspec.json.encode(_without_unencodable(values))
            self._encoded = zlib.compress(encoded)
        return self._encoded

    def receive(self, version: int, data: bytes) -> None:
        """Update from objects encoded by another VM; raises ``MessageError``."""
        if version <= self._version:
            return
        try:
            values = msgspec.json.decode(
                _decompress(data), type=dict[str, tuple[int, dict[str, Any]]]
            )
        except (msgspec.DecodeError, RecursionError, zlib.error) as error:
            raise MessageError("malformed", str(error)) from None
        objects = {
            name: VersionedObject(stored[1], stored[0])
            for name, stored in values.items()
        }
        self._update(Listing(objects, version))
        # The version advances also for unchanged or unusable content, which would
        # otherwise be fetched again and again.
        self._version = max(self._version, version)

    def _update(self, listing: Listing) -> None:
        if listing.version < self._version:
            return
        content = self._decode(listing)
        if content is None:
            log_state(
                log,
                "feed",
                "unusable",
                f"platform: objects of kind {self.kind} are not usable",
            )
            return
        is_restored = generation_of(listing.version) != generation_of(self._version)
        if content == self._content and not is_restored:
            return
        # Also for the same content: VMs that have read the copy have another one.
        self._version = listing.version
        self._objects = listing.objects
        self._encoded = None
        if content != self._content:
            self._content = content
            self._on_content(content)


def _without_unencodable(values: _Values) -> _Values:
    """Return the objects, without the content of those that are nested too deeply."""
    encodable: _Values = {}
    for name, (version, value) in values.items():
        try:
            # As deeply nested as in the encoding of all objects.
            msgspec.json.encode({name: (version, value)})
        except RecursionError as error:
            log_state(log, "object", "unreadable", f"platform: {name}: {error}")
            value = {}
        encodable[name] = (version, value)
    return encodable


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(data, MAX_CONTENT_BYTES)
    if decompressor.unconsumed_tail:
        raise MessageError("oversized", "content of a feed")
    return content
