"""Interface of the platform's service as the other parts use it."""

from typing import Any, NamedTuple, Protocol


class Versioned(NamedTuple):
    """Value of an object with its version, which rises with every change."""

    value: dict[str, Any]
    version: int


class Vm(NamedTuple):
    """One entry of the platform's list of VMs; ``status`` is live or leaving."""

    name: str
    url: str
    failure_domain: str
    status: str


class Listing(NamedTuple):
    """All objects of a kind at one version of the whole store."""

    objects: dict[str, Versioned]
    version: int


class ObjectStore(Protocol):
    """Objects by kind and name, with versions and watches of whole kinds.

    All methods raise ``PlatformUnavailableError`` when there is no answer before the
    deadline (monotonic seconds).
    """

    async def get(self, kind: str, name: str, deadline: float) -> Versioned:
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

        ``expected_version`` 0 creates it. Raises ``VersionConflictError``. No two
        updates of an object may have equal values, so that an update whose answer was
        lost can be settled by reading back.
        """
        ...

    async def delete(
        self, kind: str, name: str, expected_version: int, deadline: float
    ) -> None:
        """Delete an object if it still has this version; 0 stands for any."""
        ...

    async def list_objects(
        self, kind: str, deadline: float, stale_ok: bool = False
    ) -> Listing:
        """Return all objects of a kind; ``stale_ok`` accepts data seconds old."""
        ...


class PlatformClient(Protocol):
    """Objects with versions, watches and the list of VMs.

    All methods raise ``PlatformUnavailableError`` when there is no answer before the
    deadline (monotonic seconds).
    """

    async def get(self, kind: str, name: str, deadline: float) -> Versioned:
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

        ``expected_version`` 0 creates it. Raises ``VersionConflictError``. An update
        whose answer was lost is settled by reading back, so that an update that took
        effect is never reported as a conflict.
        """
        ...

    async def delete(
        self, kind: str, name: str, expected_version: int, deadline: float
    ) -> None:
        """Delete an object if it still has this version."""
        ...

    async def watch(
        self, kind: str, name: str, after_version: int, deadline: float
    ) -> Versioned | None:
        """Wait for a version above ``after_version``; None at the deadline.

        None means that the store answered, so the known version is the newest.
        """
        ...

    async def list_vms(self, deadline: float) -> list[Vm]:
        """Return the platform's list of VMs, which lags."""
        ...
