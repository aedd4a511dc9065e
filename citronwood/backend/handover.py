"""Planned change of primary, agreed on between the gateways of a group.

The gateway that carries out the change takes a named lock on the primary. The others
look for the lock, hold their writes, and take a lock of their own to say so. All locks
end with their connections, so a gateway that fails holds up nobody.

A gateway without writes rests: it holds all writes in advance and keeps its own lock.
Its first write ends the rest. It gives up the lock before it looks for a change, and
the gateway that makes a change takes its lock before it looks for those of the others,
so one of the two always sees the other.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping

from asyncmy.errors import MySQLError

from citronwood.backend.group import GroupView
from citronwood.backend.member import MemberControl
from citronwood.backend.primary import PrimaryAccess
from citronwood.backend.seats import SEATS
from citronwood.deadline import deadline_in, has_passed
from citronwood.errors import BackendError
from citronwood.tasks import cancel_tasks

log = logging.getLogger(__name__)

# A hold lasts at least this long; a planned change may take 300 ms.
LOOK_EVERY_S = 0.1
ANSWER_EVERY_S = 0.01
TRANSACTIONS_S = 2.0
WRITES_S = 1.0
CATCH_UP_S = 1.0
COMMAND_S = 0.3
# How long a lock that was lost with its connection may be missing during a rest; a
# planned change waits for it.
REST_CHECK_S = 1.0


class Handover:
    """Holds writes for planned changes, its own and those of other gateways.

    ``change`` carries out the change itself and returns the new primary.
    """

    def __init__(
        self,
        view: GroupView,
        controls: Mapping[str, MemberControl],
        access: PrimaryAccess,
        change: Callable[[str, str], Awaitable[str | None]],
    ) -> None:
        self._view = view
        self._controls = controls
        self._access = access
        self._change = change
        self._lock = asyncio.Lock()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start looking for changes of other gateways."""
        self._task = asyncio.create_task(self._run(), name="handover")

    async def stop(self) -> None:
        """Stop looking."""
        await cancel_tasks([self._task])

    async def change_primary(self, target: str, reason: str) -> bool:
        """Make ``target`` the primary without refusing a request.

        Returns False when another change was faster or the target is not ready.
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
                await _release(control, _change_lock(control))

    async def _hand_over(
        self, control: MemberControl, target: str, reason: str
    ) -> bool:
        await self._access.hold_begins(deadline_in(TRANSACTIONS_S))
        if not await _take(control, _change_lock(control)):
            log.info("group: another gateway is changing the primary")
            return False
        await self._wait_others_hold(control, deadline_in(TRANSACTIONS_S + WRITES_S))
        await self._access.hold_writes(deadline_in(WRITES_S))
        if not await self._wait_caught_up(control, target):
            return False
        return await self._change(reason, target) == target

    async def _wait_others_hold(self, control: MemberControl, deadline: float) -> None:
        """Wait until each other gateway with a seat on the primary holds its writes.

        One that does not answer is left behind: its writes in flight become unknown.
        """
        others = [number for number in range(SEATS) if number != control.seat.number]
        while not has_passed(deadline):
            taken = await _owners(control, [control.seat.seat_lock(n) for n in others])
            held = await _owners(control, [_held_lock(control, n) for n in others])
            if all(h or not t for t, h in zip(taken, held, strict=True)):
                return
            await asyncio.sleep(ANSWER_EVERY_S)

    async def _wait_caught_up(self, control: MemberControl, target: str) -> bool:
        deadline = deadline_in(CATCH_UP_S)
        needed = (await control.read_status(deadline)).log_position

        def caught_up() -> bool | None:
            status = self._view.status(target)
            reached = status is not None and status.log_position >= needed
            return True if reached else None

        return await self._view.wait_for(caught_up, deadline) is True

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(LOOK_EVERY_S)
            primary = self._view.live_primary
            if primary is None or self._lock.locked():
                continue
            control = self._controls.get(primary.member)
            if control is None:
                continue
            try:
                if self._access.rest():
                    await self._rest(control, primary.term)
                elif (await _owners(control, [_change_lock(control)]))[0]:
                    await self._hold_for_other(control, primary.term)
            except (BackendError, MySQLError) as error:
                log.debug("group: cannot look for a planned change: %s", error)
            except Exception:
                log.exception("group: looking for a planned change failed")

    async def _rest(self, control: MemberControl, term: int) -> None:
        """Hold all writes until there is one, or the primary changes."""
        held = _held_lock(control, control.seat.number or 0)

        def is_over() -> bool | None:
            primary = self._view.primary
            moved = primary is None or primary.term != term
            return True if moved or self._access.is_wanted else None

        try:
            while not is_over():
                if not (await _owners(control, [held]))[0]:
                    await _take(control, held)
                await self._view.wait_for(is_over, deadline_in(REST_CHECK_S))
            if self._access.is_wanted:
                await self._end_rest(control, term, held)
        finally:
            self._access.end_rest()
            # Writes run again, which nobody must take for held.
            await _release(control, held)

    async def _end_rest(self, control: MemberControl, term: int, held: str) -> None:
        own = self._lock.locked()
        await _release(control, held)
        change, holder = await _owners(control, [_change_lock(control), held])
        if holder:
            # A former connection that the member still counts as open.
            await control.kill(int(holder), deadline_in(COMMAND_S))
        if change and not own and not self._lock.locked():
            await self._hold_for_other(control, term)

    async def _hold_for_other(self, control: MemberControl, term: int) -> None:
        held = _held_lock(control, control.seat.number or 0)
        deadline = deadline_in(TRANSACTIONS_S + WRITES_S)
        try:
            await self._access.hold_begins(deadline_in(TRANSACTIONS_S))
            await self._access.hold_writes(deadline_in(WRITES_S))
            await _take(control, held)
            while not has_passed(deadline):
                changed = await self._view.wait_for(
                    lambda: self._new_primary(term), deadline_in(LOOK_EVERY_S)
                )
                if changed or not (await _owners(control, [_change_lock(control)]))[0]:
                    return
        finally:
            self._access.resume()
            await _release(control, held)

    def _new_primary(self, term: int) -> bool | None:
        primary = self._view.primary
        return True if primary is not None and primary.term > term else None


def _change_lock(control: MemberControl) -> str:
    return f"{control.seat.prefix}.change"


def _held_lock(control: MemberControl, number: int) -> str:
    return f"{control.seat.prefix}.held{number}"


async def _take(control: MemberControl, lock: str) -> bool:
    sql = f"SELECT GET_LOCK('{lock}', 0) AS taken"
    rows = await control.rows(sql, deadline_in(COMMAND_S))
    return rows[0]["taken"] == b"1"


async def _release(control: MemberControl, lock: str) -> None:
    sql = f"SELECT RELEASE_LOCK('{lock}') AS released"
    try:
        await control.rows(sql, deadline_in(COMMAND_S))
    except (BackendError, MySQLError):
        log.debug("group: lock %s ends with its connection", lock)


async def _owners(control: MemberControl, locks: list[str]) -> list[bytes | None]:
    columns = ", ".join(
        f"IS_USED_LOCK('{lock}') AS l{index}" for index, lock in enumerate(locks)
    )
    rows = await control.rows(f"SELECT {columns}", deadline_in(COMMAND_S))
    return [rows[0][f"l{index}"] for index in range(len(locks))]
