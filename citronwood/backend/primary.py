"""Connections to the primary for writes and transactions."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from functools import partial
from time import monotonic
from typing import NamedTuple

from citronwood.backend.api import Position
from citronwood.backend.connection import BackendConnection
from citronwood.backend.group import STATUS_FRESH_S, GroupView
from citronwood.backend.member import MemberStatus
from citronwood.backend.pool import Pool
from citronwood.deadline import deadline_in, has_passed
from citronwood.errors import BackendUnavailableError, OverloadedError, Refusal
from citronwood.tasks import cancel_tasks

log = logging.getLogger(__name__)

# How long transactions may still run on an old primary that responds to polls, before
# their connections are closed.
OLD_PRIMARY_GRACE_S = 1.0
RETRY_DELAY_S = 0.05
# How long a statement waits for a primary that answers polls but to which no connection
# can be opened, because this gateway holds no seat on it (see seats.py) or the primary
# has reached its connection limit. The statement is then refused, because another
# gateway may be able to run it.
UNREACHABLE_TIMEOUT_S = 0.5
# ``wait_for`` needs a deadline; the watch for a new primary starts again after it.
WATCH_TIMEOUT_S = 3600.0
# An idle hold begins after this time without writes and transactions. Longer than the
# pauses of steady traffic, because the first write after an idle hold waits for two
# round trips to the primary.
IDLE_HOLD_AFTER_S = 1.0


class Lease(NamedTuple):
    """A pooled connection to the primary of a term, in use by one caller."""

    member: str
    term: int
    connection: BackendConnection


class PrimaryAccess:
    """Leases connections to the primary for writes and transactions.

    ``lease`` waits while no primary responds and while writes are held, which happens
    during a planned change and during an idle hold (see handover.py).
    """

    def __init__(self, view: GroupView, pools: Mapping[str, Pool]) -> None:
        self._view = view
        self._pools = pools
        self._writes_held = False
        self._transactions_held = False
        self._idle_hold = False
        self._write_waiting = False
        self._last_active_at = monotonic()
        self._pending_leases = 0
        self._writes_in_flight = 0
        self._open_transactions = 0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start watching for a new primary."""
        self._task = asyncio.create_task(self._watch_primary(), name="primary")

    async def stop(self) -> None:
        """Stop watching."""
        await cancel_tasks([self._task])

    @asynccontextmanager
    async def writing(self) -> AsyncIterator[None]:
        """Count a write or COMMIT as in flight until the context ends."""
        self._writes_in_flight += 1
        try:
            yield
        finally:
            self._writes_in_flight -= 1
            self._last_active_at = monotonic()
            self._view.wake()

    @property
    def has_waiting_write(self) -> bool:
        """Whether a write or BEGIN waits for the end of an idle hold."""
        return self._write_waiting

    def hold_if_idle(self) -> bool:
        """Begin an idle hold if the gateway is idle; return whether one is active.

        During an idle hold all writes and new transactions wait. The gateway is idle
        after ``IDLE_HOLD_AFTER_S`` without writes and transactions.
        """
        idle = not (
            self._pending_leases or self._writes_in_flight or self._open_transactions
        )
        if idle and monotonic() - self._last_active_at >= IDLE_HOLD_AFTER_S:
            self._idle_hold = True
        return self._idle_hold

    def end_idle_hold(self) -> None:
        """End an idle hold; writes that wait for its end continue."""
        self._idle_hold = self._write_waiting = False
        self._last_active_at = monotonic()
        self._view.wake()

    async def lease(
        self,
        account: str,
        deadline: float,
        floor: Position | None = None,
        begin: bool = False,
        check_refusal: Callable[[], Refusal | None] | None = None,
        always_queue: bool = False,
    ) -> Lease:
        """Return a connection to the primary; wait for a primary if there is none.

        The primary must have applied the log up to ``floor``. A lease for a transaction
        (``begin``) must be returned by ``end_transaction``. ``check_refusal`` returns a
        refusal once the caller may no longer run the statement.

        Raises ``TimeoutError`` at the deadline, on such a refusal (a wait for a
        connection notices it within ``WANTED_CHECK_INTERVAL_S``), or if no connection
        can be opened for ``UNREACHABLE_TIMEOUT_S``. Raises ``OverloadedError`` if no
        connection is expected to be free in time; ``always_queue`` waits in this case
        too. No statement has been sent when an error is raised.
        """
        if self._idle_hold and not self._write_waiting:
            self._write_waiting = True
            self._view.wake()
        self._pending_leases += 1
        try:
            return await self._lease(
                account, deadline, floor, begin, check_refusal, always_queue
            )
        finally:
            self._pending_leases -= 1

    async def _lease(
        self,
        account: str,
        deadline: float,
        floor: Position | None,
        begin: bool,
        check_refusal: Callable[[], Refusal | None] | None,
        always_queue: bool,
    ) -> Lease:
        def find_primary() -> MemberStatus | None:
            return self._find_primary(floor, begin)

        def still_wanted(member: str) -> bool:
            if check_refusal is not None and check_refusal() is not None:
                return False
            # Connections of a dead member still count against its pool's limit, so
            # waiting for one would not end after a failover.
            latest = find_primary()
            return latest is not None and latest.member == member

        # UNREACHABLE_TIMEOUT_S starts again at each new term, so that an unreachable
        # old primary does not use up the time for its successor.
        unreachable_term, unreachable_until = 0, 0.0
        while not has_passed(deadline):
            primary = await self._view.wait_for(find_primary, deadline)
            if primary is None or (
                check_refusal is not None and check_refusal() is not None
            ):
                break
            pool = self._pools[primary.member]
            try:
                connection = await pool.acquire(
                    account,
                    deadline,
                    always_queue,
                    partial(still_wanted, primary.member),
                )
            except OverloadedError:
                raise
            except TimeoutError:
                # The deadline has passed or ``still_wanted`` returned False. The next
                # iteration ends the wait or continues with the current primary.
                continue
            except BackendUnavailableError as error:
                log.debug("gateway: primary not reachable: %s", error)
                if primary.term != unreachable_term:
                    unreachable_term = primary.term
                    unreachable_until = deadline_in(UNREACHABLE_TIMEOUT_S)
                elif has_passed(unreachable_until):
                    break
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            # The primary may have changed during the wait for the connection.
            latest = find_primary()
            if latest is not None and latest.term == primary.term:
                self._open_transactions += begin
                return Lease(primary.member, primary.term, connection)
            pool.release(connection)
        raise TimeoutError("no primary before the deadline")

    def _find_primary(self, floor: Position | None, begin: bool) -> MemberStatus | None:
        if self._idle_hold or self._writes_held or (begin and self._transactions_held):
            return None
        primary = self._view.live_primary
        if primary is None or primary.member not in self._pools:
            return None
        if floor is not None and primary.applied_position < floor:
            return None
        return primary

    def release(self, lease: Lease, sql: str = "") -> None:
        """Return a connection to its pool.

        The pool closes it if ``sql``, the statements that ran on it, may leave session
        state.
        """
        pool = self._pools.get(lease.member)
        if pool is None:
            lease.connection.close()
        else:
            pool.release(lease.connection, sql)

    def end_transaction(self, lease: Lease, sql: str = "") -> None:
        """Return the connection of a transaction that has ended (see ``release``)."""
        self._open_transactions -= 1
        self._last_active_at = monotonic()
        self.release(lease, sql)
        self._view.wake()

    async def wait_after_refusal(self, lease: Lease) -> None:
        """Wait up to ``RETRY_DELAY_S`` for a newer term before another attempt."""
        await self._view.wait_for(
            # ``wait_for`` waits until the result is not None.
            lambda: self._view.highest_term > lease.term or None,
            deadline_in(RETRY_DELAY_S),
        )

    async def hold_new_transactions(self, deadline: float) -> None:
        """Hold new transactions; wait until the open ones end or the deadline passes.

        Single writes still run. Otherwise they would wait for the longest transaction.
        """
        self._transactions_held = True
        await self._view.wait_for(
            lambda: True if self._open_transactions == 0 else None, deadline
        )

    async def hold_writes(self, deadline: float) -> None:
        """Hold all writes; wait until those in flight end or the deadline passes."""
        self._transactions_held = self._writes_held = True
        await self._view.wait_for(
            lambda: True if self._writes_in_flight == 0 else None, deadline
        )

    def resume(self) -> None:
        """End the holds of a planned change; an idle hold remains."""
        self._writes_held = self._transactions_held = False
        self._view.wake()

    async def _watch_primary(self) -> None:
        current: MemberStatus | None = None
        while True:
            term = 0 if current is None else current.term

            def find_newer(term: int = term) -> MemberStatus | None:
                primary = self._view.primary
                return primary if primary and primary.term > term else None

            newer = await self._view.wait_for(find_newer, deadline_in(WATCH_TIMEOUT_S))
            if newer is None:
                continue
            if current is not None and current.member != newer.member:
                await self._abort_requests_on(current.member)
            current = newer

    async def _abort_requests_on(self, member: str) -> None:
        """Abort the requests that are in flight on the old primary.

        If it is silent, all of them are aborted at once. If it responds, it answers or
        refuses them itself; transactions are aborted after ``OLD_PRIMARY_GRACE_S``.
        """
        pool = self._pools.get(member)
        status = self._view.status(member)
        if pool is None:
            return
        if status is None or status.silent_s >= STATUS_FRESH_S:
            pool.abort_all()
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(OLD_PRIMARY_GRACE_S, pool.abort_transactions)
