"""One member of a database group: status, write lock, sessions and named locks."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from time import monotonic
from typing import NamedTuple, Protocol

from mysql_mimic.errors import MysqlError

from citronwood.backend.api import Position
from citronwood.errors import ErrorCode
from citronwood.standin.columns import ColumnTypes
from citronwood.standin.functions import StatementContext
from citronwood.standin.locks import NamedLocks
from citronwood.standin.store import Role, Store, open_database

log = logging.getLogger(__name__)

# A waiting client is not read from, so that its leaving is noticed by polling.
GONE_CHECK_S = 0.2


class MemberOptions(NamedTuple):
    """Settings of a member; the numbers can be changed at run time."""

    name: str
    host: str
    port: int
    user: str
    password: str
    failure_domain: str = ""
    max_connections: int = 150
    apply_lag_ms: int = 0
    connect_delay_ms: int = 0


class Status(NamedTuple):
    """The row of ``SHOW GROUP STATUS``."""

    member: str
    term: int
    log_term: int
    received: int
    applied_term: int
    applied: int
    role: str
    primary_heard_ms: int | None
    data_age_ms: int | None
    leaving: int


class WriteOwner(Protocol):
    """The session that holds the write lock."""

    def write_lost(self) -> None:
        """Take note that the open transaction has been rolled back."""
        ...


class Client(Protocol):
    """A connected client, as the process list shows it."""

    connection_id: int
    user: str
    host: str
    database: str | None
    command: str
    since: float
    statement: str | None

    def kill(self) -> None:
        """Close the connection."""
        ...


class Member:
    """State of the member that all its connections share."""

    def __init__(self, options: MemberOptions, store: Store) -> None:
        self.options = options
        self.store = store
        self.locks = NamedLocks()
        self.clients: dict[int, Client] = {}
        self.connected = 0
        self.max_used_connections = 0
        self.total_connections = 0
        self.questions = 0
        self.max_connections = options.max_connections
        self.apply_lag_ms = options.apply_lag_ms
        self.connect_delay_ms = options.connect_delay_ms
        self.answer_delay_ms = 0
        self.stalled_until = 0.0
        self.leaving = False
        self.types = ColumnTypes(open_database(store.path, StatementContext()))
        # A member that has just started gives its primary time to be heard.
        self.heard_at = monotonic()
        self._write_lock = asyncio.Lock()
        self._write_waiters = 0
        self._write_owner: WriteOwner | None = None
        self._synced_at: float | None = None
        self._known_ends: deque[tuple[int, float]] = deque()
        self._changed = asyncio.Event()
        self._change_waiters = 0
        self._role_changed = asyncio.Event()

    @property
    def is_primary(self) -> bool:
        """Whether this member believes that it is the primary."""
        return self.store.role is Role.PRIMARY

    @property
    def holds_answers(self) -> bool:
        """Whether answers are delayed at present."""
        return self.answer_delay_ms > 0 or self.stalled_until > monotonic()

    def status(self) -> Status:
        """Return the current status."""
        store, now = self.store, monotonic()
        return Status(
            self.options.name,
            store.term,
            store.received.term,
            store.received.lsn,
            store.applied.term,
            store.applied.lsn,
            store.role.value,
            0 if self.is_primary else _ms_since(self.heard_at, now),
            0 if self.is_primary else _ms_since(self._synced_at, now),
            int(self.leaving),
        )

    def count_connection(self) -> None:
        """Count a client that has logged in, or refuse it above the cap."""
        if self.connected >= self.max_connections:
            raise MysqlError("Too many connections", ErrorCode.TOO_MANY_CONNECTIONS)
        self.connected += 1
        self.total_connections += 1
        self.max_used_connections = max(self.max_used_connections, self.connected)

    async def sleep(self, seconds: float, is_gone: Callable[[], bool]) -> None:
        """Sleep for a client, as long as it is connected."""
        deadline = monotonic() + seconds
        while not is_gone():
            left = deadline - monotonic()
            if left <= 0:
                return
            await asyncio.sleep(min(left, GONE_CHECK_S))

    def notify(self) -> None:
        """Wake everyone who waits for a change of the status."""
        if self._change_waiters:
            self._change_waiters = 0
            self._changed.set()
            self._changed = asyncio.Event()

    async def wait_change_for(self, left_s: float, is_gone: Callable[[], bool]) -> bool:
        """Wait for a change on behalf of a client; return whether to go on."""
        if left_s <= 0 or is_gone():
            return False
        await self.wait_change(min(left_s, GONE_CHECK_S))
        return True

    async def wait_change(self, timeout_s: float) -> None:
        """Wait until the status changes or the time is over."""
        self._change_waiters += 1
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            pass

    async def wait_role_change(self) -> None:
        """Wait until the term or the role changes."""
        await self._role_changed.wait()

    def _notify_role(self) -> None:
        self._role_changed.set()
        self._role_changed = asyncio.Event()
        self.notify()

    # Write lock.

    async def lock_writes(
        self, owner: WriteOwner, timeout_s: float, is_gone: Callable[[], bool]
    ) -> None:
        """Take the write lock, or raise ``TimeoutError`` also if the client leaves."""
        # A lock that is being handed to a waiter is not locked for a moment.
        if self._write_lock.locked() or self._write_waiters:
            await self._wait_for_write_lock(timeout_s, is_gone)
        else:
            await self._write_lock.acquire()
        self._write_owner = owner

    async def _wait_for_write_lock(
        self, timeout_s: float, is_gone: Callable[[], bool]
    ) -> None:
        acquiring = asyncio.ensure_future(self._write_lock.acquire())
        deadline = monotonic() + timeout_s
        self._write_waiters += 1
        try:
            while not acquiring.done():
                left = deadline - monotonic()
                if left <= 0 or is_gone():
                    raise TimeoutError
                await asyncio.wait([acquiring], timeout=min(left, GONE_CHECK_S))
            if is_gone():
                raise TimeoutError
        except BaseException:
            # The lock may have been acquired at the same moment.
            if not acquiring.cancel():
                self._write_lock.release()
            raise
        finally:
            self._write_waiters -= 1

    def unlock_writes(self) -> None:
        """Release the write lock."""
        self._write_owner = None
        self._write_lock.release()

    def _abort_writer(self) -> None:
        owner = self._write_owner
        if owner is not None:
            self.store.rollback()
            owner.write_lost()
            self.unlock_writes()

    def commit(self) -> Position:
        """Commit the open write transaction."""
        try:
            return self.store.commit()
        finally:
            self.notify()

    # Group operations.

    def fence(self, term: int) -> None:
        """Raise the term and stop being primary or replica."""
        if term > self.store.term:
            self._abort_writer()
        self.store.fence(term)
        log.info("standin: fenced at term %d", term)
        self._notify_role()

    def promote(self, term: int) -> None:
        """Become primary."""
        self.store.promote(term)
        log.info("standin: primary of term %d from %s", term, self.store.received)
        self._notify_role()

    def follow(self, term: int, address: str) -> None:
        """Follow a primary; replication rolls back what diverges from its log."""
        if term > self.store.term:
            self._abort_writer()
        self.store.follow(term, address)
        self._known_ends.clear()
        self._synced_at = None
        self.heard_at = monotonic()
        log.info("standin: following %s in term %d", address, term)
        self._notify_role()

    def truncate(self, lsn: int) -> None:
        """Roll back a divergent suffix of the log."""
        log.info("standin: rolling back entries after %d", lsn)
        self.store.truncate(lsn)
        self.notify()

    # Replication.

    def heard(self, primary_end: int, at: float) -> None:
        """Take note that the primary's log ended at ``primary_end`` at that time."""
        self.heard_at = monotonic()
        self._known_ends.append((primary_end, at))
        self._update_age()

    def _update_age(self) -> None:
        ends, applied = self._known_ends, self.store.applied.lsn
        while ends and ends[0][0] <= applied:
            self._synced_at = ends.popleft()[1]

    def apply(self, up_to_lsn: int) -> None:
        """Apply received entries."""
        self.store.apply(up_to_lsn)
        self._update_age()
        self.notify()

    async def hold_answer(self) -> None:
        """Delay an answer while the member is stalled or slow."""
        if self.answer_delay_ms:
            await asyncio.sleep(self.answer_delay_ms / 1000)
        if self.stalled_until > monotonic():
            await asyncio.sleep(self.stalled_until - monotonic())


def _ms_since(moment: float | None, now: float) -> int | None:
    return None if moment is None else int((now - moment) * 1000)
