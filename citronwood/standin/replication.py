"""Replication of a member: fetches log entries and applies them.

A replica fetches entries from its primary by long polls over the MySQL protocol. Each
entry is stored durably before it is applied.
"""

import asyncio
import logging
from collections import deque
from contextlib import suppress
from time import monotonic
from typing import Any

import asyncmy
from aiomisc.service import Service
from asyncmy.errors import MySQLError

from citronwood.backend.api import Position
from citronwood.standin.calls import ER_LOG_DIVERGED
from citronwood.standin.group import Member
from citronwood.standin.store import Entry, Role, StoreError, TermRun

log = logging.getLogger(__name__)

REPLICATION_USER = "replication"
LONG_POLL_TIMEOUT_MS = 50
MAX_BATCH_ENTRIES = 500
# Limits the time to connect, and to respond after the end of the long poll. A slower
# connection is treated as dead or frozen and is replaced.
RESPONSE_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.1


class Replication:
    """Copies the primary's log to a replica and applies it."""

    def __init__(self, member: Member) -> None:
        self._member = member
        self._store = member.store
        # Last LSN and arrival time of each batch that is not due yet; a batch is due
        # ``apply_lag_ms`` after its arrival.
        self._arrivals: deque[tuple[int, float]] = deque()
        # Entries received before a restart have no arrival time; they are due now.
        self._due_lsn = member.store.received.lsn

    async def run(self) -> None:
        """Fetch and apply until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._fetch_forever())
            group.create_task(self._apply_forever())

    async def _fetch_forever(self) -> None:
        while True:
            if self._store.role is not Role.REPLICA:
                await self._member.wait_role_change()
                continue
            following = asyncio.create_task(self._follow())
            role_change = asyncio.create_task(self._member.wait_role_change())
            try:
                await asyncio.wait(
                    [following, role_change], return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                await _cancel(following)
                await _cancel(role_change)

    async def _follow(self) -> None:
        """Fetch from the current primary until an error, then wait before a retry."""
        term, address = self._store.term, self._store.primary_address
        connection = None
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                connection = await self._connect(address)
            while True:
                await self._fetch_once(connection, term)
        except (TimeoutError, OSError, RuntimeError, MySQLError) as error:
            # The driver raises RuntimeError when a new connection is reset at once.
            log.debug("standin: cannot replicate from %s: %r", address, error)
        except StoreError as error:
            log.info("standin: log entries refused: %s", error)
        finally:
            if connection is not None:
                connection.close()
        await asyncio.sleep(RETRY_DELAY_S)

    async def _connect(self, address: str) -> Any:
        host, _, port = address.rpartition(":")
        return await asyncmy.connect(
            host=host,
            port=int(port),
            user=REPLICATION_USER,
            password=self._member.options.password,
            autocommit=True,
            use_unicode=False,
            conv={},
        )

    async def _fetch_once(self, connection: Any, term: int) -> None:
        after, sent_at = self._store.received, monotonic()
        try:
            rows = await _query(
                connection,
                f"CALL group_fetch({term}, {after.term}, {after.lsn},"
                f" {MAX_BATCH_ENTRIES}, {LONG_POLL_TIMEOUT_MS})",
            )
        except MySQLError as error:
            if error.args[0] != ER_LOG_DIVERGED:
                raise
            await self._roll_back_divergence(connection, term)
            return
        self._store_entries(term, after, sent_at, rows)

    def _store_entries(
        self, term: int, after: Position, sent_at: float, rows: list[tuple[Any, ...]]
    ) -> None:
        header, entries = rows[0], [Entry(int(t), int(n), b) for t, n, b in rows[1:]]
        self._store.append(term, after, entries)
        if entries:
            self._arrivals.append((entries[-1].lsn, monotonic()))
        # The header has the primary's last LSN and the time (in us) that the primary
        # waited before it read this LSN.
        self._member.record_primary_contact(
            int(header[1]), sent_at + int(header[2]) / 1e6
        )
        self._member.notify()

    async def _roll_back_divergence(self, connection: Any, term: int) -> None:
        rows = await _query(connection, f"CALL group_terms({term})")
        runs = [TermRun(int(t), int(first), int(last)) for t, first, last in rows]
        if self._store.term == term and self._store.role is Role.REPLICA:
            self._arrivals.clear()
            self._due_lsn = prefix = self._store.common_prefix(runs)
            self._member.truncate(prefix)

    async def _apply_forever(self) -> None:
        member, store = self._member, self._store
        while True:
            if member.is_primary:
                self._arrivals.clear()
                await member.wait_role_change()
                self._due_lsn = store.received.lsn
            wait_s = self._advance_due_lsn()
            last = min(self._due_lsn, store.applied.lsn + MAX_BATCH_ENTRIES)
            if last > store.applied.lsn:
                member.apply(last)
                await asyncio.sleep(0)
            else:
                await member.wait_status_change(wait_s)

    def _advance_due_lsn(self) -> float:
        """Advance ``_due_lsn``; return the seconds until the next entry is due.

        Returns 1 second if no entry is waiting; an arrival ends the wait early.
        """
        lag_s, now = self._member.apply_lag_ms / 1000, monotonic()
        while self._arrivals and self._arrivals[0][1] + lag_s <= now:
            self._due_lsn = self._arrivals.popleft()[0]
        return self._arrivals[0][1] + lag_s - now if self._arrivals else 1.0


async def _query(connection: Any, sql: str) -> list[tuple[Any, ...]]:
    async with asyncio.timeout(RESPONSE_TIMEOUT_S + LONG_POLL_TIMEOUT_MS / 1000):
        async with connection.cursor() as cursor:
            await cursor.execute(sql)
            return list(await cursor.fetchall())


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task


class ReplicationService(Service):  # type: ignore[misc]
    """Runs the replication of a member in its process."""

    def __init__(self, member: Member, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self._replication = Replication(member)

    async def start(self) -> None:
        """Run until the process stops."""
        await self._replication.run()
