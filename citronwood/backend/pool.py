"""Pool of connections to one member."""

import asyncio
import logging
import re
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from itertools import count
from time import monotonic

from asyncmy.errors import MySQLError

from citronwood.backend.connection import BackendConnection
from citronwood.backend.member import MemberControl
from citronwood.backend.queue import FairQueue
from citronwood.deadline import deadline_in, timeout_at
from citronwood.errors import BackendError, BackendUnavailableError

log = logging.getLogger(__name__)

# A connection that was idle for longer is checked before it is used again.
CHECK_AFTER_IDLE_S = 5.0
CHECK_TIMEOUT_S = 0.3
CONNECT_TIMEOUT_S = 1.0
CLOSE_TIMEOUT_S = 0.3
KILL_RETRY_S = 0.5

# Statements that may leave session state that the proxy cannot detect afterwards.
_SESSION_STATE_PATTERN = re.compile(
    r"GET_LOCK|RELEASE_(ALL_)?LOCK|\bTEMPORARY\b|\bLOCK\s+TABLES?\b|\bPREPARE\b|@|"
    r"^\s*(SET|USE|HANDLER|FLUSH|XA)\b",
    re.I,
)
# The pattern cannot match a statement that contains none of these words and starts with
# none of these prefixes, so most statements avoid the search, which takes up to 20 us.
_STATE_WORDS = ("LOCK", "TEMPORARY", "PREPARE", "@")
_STATE_STARTS = ("SET", "USE", "HANDLER", "FLUSH", "XA")


class Pool:
    """Connections to one member for the statements of callers.

    A connection counts against the limit until the member has closed it. ``weight``
    returns the weight of a client account in the queue for connections.
    """

    def __init__(
        self, control: MemberControl, limit: int, weight: Callable[[str], float]
    ) -> None:
        self._control = control
        self._queue = FairQueue(limit, weight)
        self._seat_slots: dict[BackendConnection, int] = {}
        self._idle: deque[tuple[float, BackendConnection]] = deque()
        self._in_use: set[BackendConnection] = set()
        self._closing: set[asyncio.Task[None]] = set()
        self._none_in_use = asyncio.Event()
        self._stopped = False

    @property
    def in_use(self) -> int:
        """Number of connections that run a statement or a transaction."""
        return len(self._in_use)

    @property
    def limit(self) -> int:
        """Number of connections allowed."""
        return self._queue.capacity

    @property
    def connection_ids(self) -> set[int]:
        """Ids of all connections that the member may still have open."""
        return {connection.connection_id for connection in self._seat_slots}

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a connection."""
        return self._queue.waiting

    def backlog(self, account: str) -> float:
        """Return the backlog of an account (see ``FairQueue.backlog``)."""
        return self._queue.backlog(account)

    def resize(self, limit: int) -> None:
        """Change the number of connections allowed."""
        self._queue.resize(limit)
        while self._idle and len(self._idle) + self._queue.in_use > limit:
            self._close_oldest_idle()

    async def acquire(
        self,
        account: str,
        deadline: float,
        always_queue: bool = True,
        still_wanted: Callable[[], bool] | None = None,
    ) -> BackendConnection:
        """Return a connection for the use of one caller until ``release``.

        Waits as ``FairQueue.acquire`` does and raises the same errors. Raises
        ``BackendUnavailableError`` if no connection can be opened.
        """
        while True:
            await self._queue.acquire(account, deadline, always_queue, still_wanted)
            if not self._idle:
                connection = await self._open(
                    min(deadline, deadline_in(CONNECT_TIMEOUT_S))
                )
                break
            idle_since, connection = self._idle.pop()
            if await self._is_usable(connection, idle_since, deadline):
                break
        self._in_use.add(connection)
        return connection

    async def _is_usable(
        self, connection: BackendConnection, idle_since: float, deadline: float
    ) -> bool:
        """Check an idle connection; close it and release its slot if it is unusable.

        The slot of the queue is released in the background, after the member has closed
        the connection.
        """
        usable = False
        try:
            recent = monotonic() - idle_since < CHECK_AFTER_IDLE_S
            usable = connection.is_clean and (
                recent or await _is_alive(connection, deadline)
            )
        finally:
            if not usable:
                connection.close()
                self._close_in_background(connection)
        return usable

    async def _open(self, deadline: float) -> BackendConnection:
        """Open a connection for a slot of the queue; release the slot on failure.

        The connection takes the first free slot of the seat (see seats.py).
        """
        seat = self._control.seat
        try:
            if self._stopped or not seat.is_held:
                raise BackendUnavailableError(f"{self._control.name}: no seat")
            connection = await self._control.connect(deadline)
        except BaseException:
            self._queue.release()
            raise
        used_seat_slots = set(self._seat_slots.values())
        seat_slot = next(number for number in count() if number not in used_seat_slots)
        self._seat_slots[connection] = seat_slot
        try:
            await seat.claim_slot(connection, seat_slot)
        except BaseException as error:
            connection.close()
            self._close_in_background(connection)
            if isinstance(error, BackendError):
                raise BackendUnavailableError(str(error)) from error
            raise
        return connection

    def release(self, connection: BackendConnection, sql: str = "") -> None:
        """Return a connection to the pool; close it if no other caller may use it.

        It is also closed if ``sql``, the statements that ran on it, may leave session
        state.
        """
        if connection not in self._in_use:
            return
        self._in_use.discard(connection)
        if not self._in_use:
            self._none_in_use.set()
        if connection.is_clean and not self._stopped and not leaves_state(sql):
            self._idle.append((monotonic(), connection))
            self._queue.release()
        else:
            self._close_in_background(connection)

    def abort_all(self) -> None:
        """Close all connections, so that statements in flight fail at once."""
        for connection in list(self._in_use):
            connection.close()
        while self._idle:
            self._close_oldest_idle()

    def abort_transactions(self) -> None:
        """Close the connections that have an open transaction."""
        for connection in list(self._in_use):
            if connection.in_transaction:
                connection.close()

    async def close(self, deadline: float) -> None:
        """Open no more connections; close all when unused or at the deadline."""
        self._stopped = True
        if self._in_use:
            self._none_in_use.clear()
            with suppress(TimeoutError):
                async with timeout_at(deadline):
                    await self._none_in_use.wait()
        self.abort_all()
        if self._closing:
            await asyncio.wait(self._closing, timeout=CLOSE_TIMEOUT_S)
        for task in self._closing:
            task.cancel()

    def _close_oldest_idle(self) -> None:
        self._queue.occupy_slot()
        self._close_in_background(self._idle.popleft()[1])

    def _close_in_background(self, connection: BackendConnection) -> None:
        task = asyncio.create_task(self._close_on_member(connection))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def _close_on_member(self, connection: BackendConnection) -> None:
        """Close a connection, also on the member, and then release its slot.

        If only this side closes it, the connection may still count against the member's
        limit and its statement may still run.
        """
        try:
            clean = connection.is_clean
            if not (clean and await connection.quit(deadline_in(CLOSE_TIMEOUT_S))):
                connection.close()
                await self._kill(connection.connection_id)
        finally:
            self._seat_slots.pop(connection, None)
            self._queue.release()

    async def _kill(self, connection_id: int) -> None:
        while not self._stopped:
            try:
                await self._control.kill(connection_id, deadline_in(KILL_RETRY_S))
                return
            except BackendError:
                await asyncio.sleep(KILL_RETRY_S)


async def _is_alive(connection: BackendConnection, deadline: float) -> bool:
    try:
        await connection.query("SELECT 1", min(deadline, deadline_in(CHECK_TIMEOUT_S)))
    except (BackendError, MySQLError):
        connection.close()
        return False
    return True


def leaves_state(sql: str) -> bool:
    """Whether a statement may leave session state on the connection."""
    text = sql.upper()
    if not any(word in text for word in _STATE_WORDS):
        if not text.lstrip().startswith(_STATE_STARTS):
            return False
    return _SESSION_STATE_PATTERN.search(sql) is not None
