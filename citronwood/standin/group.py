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

# The connection of a waiting client is not read, so its disconnect is polled.
DISCONNECT_CHECK_INTERVAL_S = 0.2


class MemberOptions(NamedTuple):
    """Settings of a member; ``standin_set`` can change the limits and delays later."""

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
    """The row of ``SHOW GROUP STATUS``.

    ``log_term`` and ``received`` are the term and LSN of the last received entry,
    ``applied_term`` and ``applied`` those of the last applied one. ``data_age_ms`` is
    how long ago the member was last known to have applied the whole log of the primary.
    """

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
    """Session that holds the write lock."""

    def on_write_aborted(self) -> None:
        """Handle the rollback of the open transaction by a change of term."""
        ...


class Client(Protocol):
    """Connected client, as the process list shows it."""

    connection_id: int
    user: str
    host: str
    database: str | None
    command: str
    state_since: float
    statement: str | None

    def kill(self) -> None:
        """Close the connection."""
        ...


class Member:
    """State that all connections of a member share."""

    def __init__(self, options: MemberOptions, store: Store) -> None:
        self.options = options
        self.store = store
        self.locks = NamedLocks()
        self.clients: dict[int, Client] = {}
        self.connection_count = 0
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
        # Starts at now: a new member must not report its primary as long silent.
        self.primary_heard_at = monotonic()
        self._write_lock = asyncio.Lock()
        self._write_waiters = 0
        self._write_owner: WriteOwner | None = None
        # Latest time at which all entries of the primary's log are known to be among
        # those applied here.
        self._synced_at: float | None = None
        # Ends of the primary's log that are not applied here yet, each with the time at
        # which it was read.
        self._primary_log_ends: deque[tuple[int, float]] = deque()
        self._changed = asyncio.Event()
        self._change_waiters = 0
        self._role_changed = asyncio.Event()

    @property
    def is_primary(self) -> bool:
        """Whether this member believes that it is the primary."""
        return self.store.role is Role.PRIMARY

    @property
    def delays_responses(self) -> bool:
        """Whether responses are delayed now."""
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
            0 if self.is_primary else _ms_since(self.primary_heard_at, now),
            0 if self.is_primary else _ms_since(self._synced_at, now),
            int(self.leaving),
        )

    def admit_connection(self) -> None:
        """Count a client that has logged in, or refuse it at ``max_connections``."""
        if self.connection_count >= self.max_connections:
            raise MysqlError("Too many connections", ErrorCode.TOO_MANY_CONNECTIONS)
        self.connection_count += 1
        self.total_connections += 1
        self.max_used_connections = max(
            self.max_used_connections, self.connection_count
        )

    async def sleep(self, seconds: float, is_disconnected: Callable[[], bool]) -> None:
        """Sleep on behalf of a client; return early when it disconnects."""
        deadline = monotonic() + seconds
        while not is_disconnected():
            remaining = deadline - monotonic()
            if remaining <= 0:
                return
            await asyncio.sleep(min(remaining, DISCONNECT_CHECK_INTERVAL_S))

    def notify(self) -> None:
        """Wake all tasks that wait for a change of the status."""
        if self._change_waiters:
            self._change_waiters = 0
            self._changed.set()
            self._changed = asyncio.Event()

    async def poll_status_change(
        self, remaining_s: float, is_disconnected: Callable[[], bool]
    ) -> bool:
        """Wait for a change of the status, for one check interval at most.

        Returns False without waiting if no time remains or the client has disconnected,
        and True otherwise, even if nothing has changed.
        """
        if remaining_s <= 0 or is_disconnected():
            return False
        await self.wait_status_change(min(remaining_s, DISCONNECT_CHECK_INTERVAL_S))
        return True

    async def wait_status_change(self, timeout_s: float) -> None:
        """Wait until the status changes or the timeout passes."""
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
        self, owner: WriteOwner, timeout_s: float, is_disconnected: Callable[[], bool]
    ) -> None:
        """Acquire the write lock; raise ``TimeoutError`` on timeout or disconnect."""
        # Waiters are checked too: while asyncio hands the lock to a waiter, locked() is
        # briefly false.
        if self._write_lock.locked() or self._write_waiters:
            await self._wait_for_write_lock(timeout_s, is_disconnected)
        else:
            await self._write_lock.acquire()
        self._write_owner = owner

    async def _wait_for_write_lock(
        self, timeout_s: float, is_disconnected: Callable[[], bool]
    ) -> None:
        acquiring = asyncio.ensure_future(self._write_lock.acquire())
        deadline = monotonic() + timeout_s
        self._write_waiters += 1
        try:
            while not acquiring.done():
                remaining = deadline - monotonic()
                if remaining <= 0 or is_disconnected():
                    raise TimeoutError
                await asyncio.wait(
                    [acquiring], timeout=min(remaining, DISCONNECT_CHECK_INTERVAL_S)
                )
            if is_disconnected():
                raise TimeoutError
        except BaseException:
            # If the task cannot be cancelled, it has just acquired the lock.
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
            owner.on_write_aborted()
            self.unlock_writes()

    def commit(self) -> Position:
        """Commit the open write transaction."""
        try:
            return self.store.commit()
        finally:
            self.notify()

    # Group operations.

    def fence(self, term: int) -> None:
        """Raise the term and give up the role of primary or replica."""
        if term > self.store.term:
            self._abort_writer()
        self.store.fence(term)
        log.info("standin: fenced at term %d", term)
        self._notify_role()

    def promote(self, term: int) -> None:
        """Become primary of the term in which the member is fenced."""
        self.store.promote(term)
        log.info(
            "standin: promoted to primary of term %d at %s", term, self.store.received
        )
        self._notify_role()

    def follow(self, term: int, address: str) -> None:
        """Follow a primary; replication removes entries that differ from its log."""
        if term > self.store.term:
            self._abort_writer()
        self.store.follow(term, address)
        self._primary_log_ends.clear()
        self._synced_at = None
        self.primary_heard_at = monotonic()
        log.info("standin: following %s in term %d", address, term)
        self._notify_role()

    def truncate(self, lsn: int) -> None:
        """Remove the log entries after ``lsn``, which the primary does not have."""
        log.info("standin: rolling back log entries after LSN %d", lsn)
        self.store.truncate(lsn)
        self.notify()

    # Replication.

    def record_primary_contact(self, primary_end_lsn: int, at: float) -> None:
        """Record that the primary's log ended at ``primary_end_lsn`` at time ``at``."""
        self.primary_heard_at = monotonic()
        self._primary_log_ends.append((primary_end_lsn, at))
        self._update_synced_at()

    def _update_synced_at(self) -> None:
        log_ends, applied = self._primary_log_ends, self.store.applied.lsn
        while log_ends and log_ends[0][0] <= applied:
            self._synced_at = log_ends.popleft()[1]

    def apply(self, up_to_lsn: int) -> None:
        """Apply received entries."""
        self.store.apply(up_to_lsn)
        self._update_synced_at()
        self.notify()

    async def delay_response(self) -> None:
        """Sleep for the configured response delay and until the end of the stall."""
        if self.answer_delay_ms:
            await asyncio.sleep(self.answer_delay_ms / 1000)
        if self.stalled_until > monotonic():
            await asyncio.sleep(self.stalled_until - monotonic())


def _ms_since(moment: float | None, now: float) -> int | None:
    return None if moment is None else int((now - moment) * 1000)
