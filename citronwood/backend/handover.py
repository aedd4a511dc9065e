"""Planned change of primary, coordinated between the gateways of a group.

The gateway that performs the change takes the change lock, a named lock on the primary.
The other gateways poll for this lock, hold their writes, and each takes a writes-held
lock to report that it does so. MySQL releases a lock when the connection of its owner
ends, so a failed gateway blocks no other.

An idle gateway holds all writes in advance and keeps its writes-held lock. Its next
write ends this idle hold: the gateway releases its lock before it looks for a change
lock. The gateway that performs a change takes the change lock before it looks for
writes-held locks. So either the idle gateway sees the change lock, or the other one
sees that the writes-held lock is released and waits until it is taken again.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping

from asyncmy.errors import MySQLError

from citronwood.backend.group import GroupView
from citronwood.backend.member import MemberControl
from citronwood.backend.primary import PrimaryAccess
from citronwood.backend.seats import SEATS_PER_MEMBER
from citronwood.deadline import deadline_in, has_passed
from citronwood.errors import BackendError
from citronwood.tasks import cancel_tasks

log = logging.getLogger(__name__)

# Interval at which gateways look for the change lock. It adds to the duration of a
# planned change, which must stay below 300 ms.
CHECK_INTERVAL_S = 0.1
LOCK_POLL_INTERVAL_S = 0.01
# How long a planned change waits for open transactions before it goes on; those that
# are still open are lost.
TRANSACTIONS_TIMEOUT_S = 2.0
# How long a planned change waits for writes in flight before it goes on; the outcome of
# those that are still in flight may be unknown.
WRITES_TIMEOUT_S = 1.0
# A planned change fails if its target has not caught up within this time.
CATCH_UP_TIMEOUT_S = 1.0
COMMAND_TIMEOUT_S = 0.3
# During an idle hold, a writes-held lock that was lost with its connection is taken
# again after at most this time; a planned change waits for the lock.
IDLE_LOCK_CHECK_S = 1.0


class Handover:
    """Hold writes during planned changes of this gateway and of others.

    ``promote`` takes a reason and a target, and returns the member that was promoted or
    None if another promoter was faster.
    """

    def __init__(
        self,
        view: GroupView,
        controls: Mapping[str, MemberControl],
        access: PrimaryAccess,
        promote: Callable[[str, str], Awaitable[str | None]],
    ) -> None:
        self._view = view
        self._controls = controls
        self._access = access
        self._promote = promote
        self._lock = asyncio.Lock()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start watching for planned changes by other gateways."""
        self._task = asyncio.create_task(self._run(), name="handover")

    async def stop(self) -> None:
        """Stop watching."""
        await cancel_tasks([self._task])

    async def change_primary(self, target: str, reason: str) -> bool:
        """Make ``target`` the primary; hold writes meanwhile instead of refusing them.

        Returns False if the change failed, for example because another gateway was
        faster or the target did not catch up.
        """
        async with self._lock:
            primary = self._view.live_primary
            if primary is None or target not in self._controls:
                return False
            if primary.member == target:
                return True
            control = self._controls[primary.member]
            try:
                return await self._hand_over(control, target, reason)
            except (BackendError, MySQLError) as error:
                log.warning("group: planned change failed: %s", error)
                return False
            finally:
                self._access.resume()
                await _release_lock(control, _change_lock(control))

    async def _hand_over(
        self, control: MemberControl, target: str, reason: str
    ) -> bool:
        await self._access.hold_new_transactions(deadline_in(TRANSACTIONS_TIMEOUT_S))
        if not await _try_lock(control, _change_lock(control)):
            log.info("group: another gateway is changing the primary")
            return False
        await self._wait_until_others_hold(
            control, deadline_in(TRANSACTIONS_TIMEOUT_S + WRITES_TIMEOUT_S)
        )
        await self._access.hold_writes(deadline_in(WRITES_TIMEOUT_S))
        if not await self._wait_caught_up(control, target):
            return False
        return await self._promote(reason, target) == target

    async def _wait_until_others_hold(
        self, control: MemberControl, deadline: float
    ) -> None:
        """Wait until every other gateway with a seat on the primary holds its writes.

        The change goes on without a gateway that has not reported by the deadline; the
        outcome of its in-flight writes becomes unknown.
        """
        others = [
            number
            for number in range(SEATS_PER_MEMBER)
            if number != control.seat.number
        ]
        while not has_passed(deadline):
            seat_owners = await _lock_owners(
                control, [control.seat.seat_lock_name(n) for n in others]
            )
            hold_owners = await _lock_owners(
                control, [_held_lock(control, n) for n in others]
            )
            if all(
                held_by or not seat_owner
                for seat_owner, held_by in zip(seat_owners, hold_owners, strict=True)
            ):
                return
            await asyncio.sleep(LOCK_POLL_INTERVAL_S)

    async def _wait_caught_up(self, control: MemberControl, target: str) -> bool:
        deadline = deadline_in(CATCH_UP_TIMEOUT_S)
        needed_position = (await control.read_status(deadline)).log_position

        def caught_up() -> bool | None:
            status = self._view.status(target)
            reached = status is not None and status.log_position >= needed_position
            return True if reached else None

        return await self._view.wait_for(caught_up, deadline) is True

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            primary = self._view.live_primary
            if primary is None or self._lock.locked():
                continue
            control = self._controls.get(primary.member)
            if control is None:
                continue
            try:
                if self._access.hold_if_idle():
                    await self._hold_while_idle(control, primary.term)
                elif (await _lock_owners(control, [_change_lock(control)]))[0]:
                    await self._hold_for_other_gateway(control, primary.term)
            except (BackendError, MySQLError) as error:
                log.debug("group: cannot check for a planned change: %s", error)
            except Exception:
                log.exception(
                    "group: the check for a planned change failed unexpectedly"
                )

    async def _hold_while_idle(self, control: MemberControl, term: int) -> None:
        """Hold all writes until a write arrives or the primary changes."""
        held_lock = _held_lock(control, control.seat.number or 0)

        def is_over() -> bool | None:
            primary = self._view.primary
            primary_changed = primary is None or primary.term != term
            return True if primary_changed or self._access.has_waiting_write else None

        try:
            while not is_over():
                if not (await _lock_owners(control, [held_lock]))[0]:
                    await _try_lock(control, held_lock)
                await self._view.wait_for(is_over, deadline_in(IDLE_LOCK_CHECK_S))
            if self._access.has_waiting_write:
                await self._end_idle_hold(control, term, held_lock)
        finally:
            self._access.end_idle_hold()
            # Writes are running again, so the lock must not report them as held.
            await _release_lock(control, held_lock)

    async def _end_idle_hold(
        self, control: MemberControl, term: int, held_lock: str
    ) -> None:
        is_changing_primary = self._lock.locked()
        await _release_lock(control, held_lock)
        change_owner, hold_owner = await _lock_owners(
            control, [_change_lock(control), held_lock]
        )
        if hold_owner:
            # An old connection that the member has not closed yet still owns the lock.
            await control.kill(int(hold_owner), deadline_in(COMMAND_TIMEOUT_S))
        # During a planned change by this gateway, the change lock is its own.
        if change_owner and not is_changing_primary and not self._lock.locked():
            await self._hold_for_other_gateway(control, term)

    async def _hold_for_other_gateway(self, control: MemberControl, term: int) -> None:
        held_lock = _held_lock(control, control.seat.number or 0)
        deadline = deadline_in(TRANSACTIONS_TIMEOUT_S + WRITES_TIMEOUT_S)
        try:
            await self._access.hold_new_transactions(
                deadline_in(TRANSACTIONS_TIMEOUT_S)
            )
            await self._access.hold_writes(deadline_in(WRITES_TIMEOUT_S))
            await _try_lock(control, held_lock)
            while not has_passed(deadline):
                changed = await self._view.wait_for(
                    lambda: self._has_new_primary(term), deadline_in(CHECK_INTERVAL_S)
                )
                if (
                    changed
                    or not (await _lock_owners(control, [_change_lock(control)]))[0]
                ):
                    return
        finally:
            self._access.resume()
            await _release_lock(control, held_lock)

    def _has_new_primary(self, term: int) -> bool | None:
        primary = self._view.primary
        return True if primary is not None and primary.term > term else None


def _change_lock(control: MemberControl) -> str:
    return f"{control.seat.prefix}.change"


def _held_lock(control: MemberControl, number: int) -> str:
    return f"{control.seat.prefix}.held{number}"


async def _try_lock(control: MemberControl, lock: str) -> bool:
    sql = f"SELECT GET_LOCK('{lock}', 0) AS taken"
    rows = await control.query(sql, deadline_in(COMMAND_TIMEOUT_S))
    return rows[0]["taken"] == b"1"


async def _release_lock(control: MemberControl, lock: str) -> None:
    sql = f"SELECT RELEASE_LOCK('{lock}') AS released"
    try:
        await control.query(sql, deadline_in(COMMAND_TIMEOUT_S))
    except (BackendError, MySQLError):
        log.debug("group: cannot release lock %s; it ends with its connection", lock)


async def _lock_owners(control: MemberControl, locks: list[str]) -> list[bytes | None]:
    columns = ", ".join(
        f"IS_USED_LOCK('{lock}') AS l{index}" for index, lock in enumerate(locks)
    )
    rows = await control.query(f"SELECT {columns}", deadline_in(COMMAND_TIMEOUT_S))
    return [rows[0][f"l{index}"] for index in range(len(locks))]
