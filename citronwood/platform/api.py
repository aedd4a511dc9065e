"""Interfaces to the platform's service and its object store."""

from typing import Any, NamedTuple, Protocol


class VersionedObject(NamedTuple):
    """Value of an object with its version, which increases with every change.

    Versions are those of ``citronwood.versions``.
    """

    value: dict[str, Any]
    version: int


class Vm(NamedTuple):
    """Entry of the platform's list of VMs; ``status`` is live or leaving."""

    name: str
    url: str
    failure_domain: str
    status: str


class Listing(NamedTuple):
    """All objects of a kind, with the version of the whole store."""

    objects: dict[str, VersionedObject]
    version: int


# Expected version of an update that replaces an object whatever its version is.
ANY_VERSION = -1


class ObjectStore(Protocol):
    """Store of versioned objects, which are identified by kind and name.

    All methods raise ``PlatformUnavailableError`` when they get no usable response
    before the deadline (monotonic seconds); a change may then still take effect.
    """

    async def get(self, kind: str, name: str, deadline: float) -> VersionedObject:
        """Return an object or raise ``ObjectNotFoundError``."""
        ...

    async def put(
        self,
        kind: str,
        name: str,
        value: dict[str, Any],
        expected_version: int,
        deadline: float,
    ) -> int:
        """Replace an object and return its new version.

        ``expected_version`` with revision 0 creates the object, and ``ANY_VERSION``
        replaces any existing one. Raises ``VersionConflictError``, with ``ANY_VERSION``
        if there is no object, and ``StoreRestoredError`` if the store was restored from
        a copy since the expected version was read. When a response is lost, the object
        is read back and has the value of the update if the update took effect. All
        updates of an object must therefore have distinct values.
        """
        ...

    async def delete(
        self, kind: str, name: str, expected_version: int, deadline: float
    ) -> None:
        """Delete an object if its version is ``expected_version``; 0 matches any.

        Raises ``VersionConflictError``, and ``StoreRestoredError`` as in ``put``.
        """
        ...

    async def list_objects(
        self, kind: str, deadline: float, stale_ok: bool = False
    ) -> Listing:
        """Return all objects of a kind; ``stale_ok`` allows data seconds old."""
        ...


class PlatformClient(Protocol):
    """Client of the store of versioned objects, with watches and a list of VMs.

    All methods raise ``PlatformUnavailableError`` when they get no usable response
    before the deadline (monotonic seconds); a change may then still take effect.
    """

    async def get(self, kind: str, name: str, deadline: float) -> VersionedObject:
        """Return an object or raise ``ObjectNotFoundError``."""
        ...

    async def put(
        self,
        kind: str,
        name: str,
        value: dict[str, Any],
        expected_version: int,
        deadline: float,
    ) -> int:
        """Replace an object and return its new version.

        ``expected_version`` 0 creates the object. Raises ``VersionConflictError``. When
        a response is lost, the object is read back, so that an update that took effect
        is never reported as a conflict.
        """
        ...

    async def delete(
        self, kind: str, name: str, expected_version: int, deadline: float
    ) -> None:
        """Delete an object if its version is still ``expected_version``.

        Raises ``VersionConflictError``.
        """
        ...

    async def watch(
        self, kind: str, name: str, after_version: int, deadline: float
    ) -> VersionedObject | None:
        """Wait for a version above ``after_version``; None at the deadline.

        None means that the store responded without a newer version, so
        ``after_version`` is still the newest.
        """
        ...

    async def list_vms(self, deadline: float) -> list[Vm]:
        """Return the platform's list of VMs, which may be stale."""
        ...
