"""Named locks of the member stand-in."""

import asyncio
from collections.abc import Callable
from time import monotonic

# The connection of a waiting client is not read, so its disconnect is polled.
DISCONNECT_CHECK_INTERVAL_S = 0.1


class NamedLocks:
    """Reentrant locks by name, each owned by one connection."""

    def __init__(self) -> None:
        self._owners: dict[str, int] = {}
        self._hold_counts: dict[str, int] = {}
        self._released = asyncio.Event()

    def owner(self, name: str) -> int | None:
        """Return the connection id of the owner, None if the lock is free."""
        return self._owners.get(name.lower())

    def acquire(self, name: str, connection_id: int) -> bool:
        """Acquire a lock that is free or owned by the connection; return success."""
        key = name.lower()
        if self._owners.setdefault(key, connection_id) != connection_id:
            return False
        self._hold_counts[key] = self._hold_counts.get(key, 0) + 1
        return True

    async def wait_until_available(
        self,
        name: str,
        connection_id: int,
        timeout_s: float,
        is_disconnected: Callable[[], bool],
    ) -> None:
        """Wait until the connection can acquire the lock; do not acquire it.

        Also returns on timeout or disconnect. A negative timeout means no timeout.
        """
        deadline = monotonic() + timeout_s if timeout_s >= 0 else float("inf")
        while self.owner(name) not in (None, connection_id) and not is_disconnected():
            remaining = deadline - monotonic()
            if remaining <= 0:
                return
            try:
                async with asyncio.timeout(min(remaining, DISCONNECT_CHECK_INTERVAL_S)):
                    await self._released.wait()
            except TimeoutError:
                continue

    def release(self, name: str, connection_id: int) -> int | None:
        """Release a lock once and return 1.

        Returns 0 if another connection owns the lock, None if it is free.
        """
        key = name.lower()
        owner = self._owners.get(key)
        if owner is None:
            return None
        if owner != connection_id:
            return 0
        self._hold_counts[key] -= 1
        if self._hold_counts[key] == 0:
            self._drop(key)
        return 1

    def release_all(self, connection_id: int) -> int:
        """Release all locks of a connection; return their number."""
        names = [name for name, owner in self._owners.items() if owner == connection_id]
        for name in names:
            self._drop(name)
        return len(names)

    def _drop(self, key: str) -> None:
        del self._owners[key], self._hold_counts[key]
        self._released.set()
        self._released = asyncio.Event()
