"""Named locks of the member stand-in."""

import asyncio
from collections.abc import Callable
from time import monotonic

# A waiting client is not read from, so that its leaving is noticed by polling.
GONE_CHECK_S = 0.1


class NamedLocks:
    """Locks by name; each is owned by one session, which may take it repeatedly."""

    def __init__(self) -> None:
        self._owners: dict[str, int] = {}
        self._counts: dict[str, int] = {}
        self._released = asyncio.Event()

    def owner(self, name: str) -> int | None:
        """Return the connection id of the owner."""
        return self._owners.get(name.lower())

    def take(self, name: str, connection_id: int) -> bool:
        """Take a lock if it is free or already owned by the connection."""
        key = name.lower()
        if self._owners.setdefault(key, connection_id) != connection_id:
            return False
        self._counts[key] = self._counts.get(key, 0) + 1
        return True

    async def wait_free(
        self,
        name: str,
        connection_id: int,
        timeout_s: float,
        is_gone: Callable[[], bool],
    ) -> None:
        """Wait until the connection could take the lock or the time is over."""
        deadline = monotonic() + timeout_s if timeout_s >= 0 else float("inf")
        while self.owner(name) not in (None, connection_id) and not is_gone():
            left = deadline - monotonic()
            if left <= 0:
                return
            try:
                async with asyncio.timeout(min(left, GONE_CHECK_S)):
                    await self._released.wait()
            except TimeoutError:
                continue

    def release(self, name: str, connection_id: int) -> int | None:
        """Release a lock once: 1 if owned, 0 if another owns it, None if free."""
        key = name.lower()
        owner = self._owners.get(key)
        if owner is None:
            return None
        if owner != connection_id:
            return 0
        self._counts[key] -= 1
        if self._counts[key] == 0:
            self._drop(key)
        return 1

    def release_all(self, connection_id: int) -> int:
        """Release all locks of a connection and return their number."""
        names = [name for name, owner in self._owners.items() if owner == connection_id]
        for name in names:
            self._drop(name)
        return len(names)

    def _drop(self, key: str) -> None:
        del self._owners[key], self._counts[key]
        self._released.set()
        self._released = asyncio.Event()
