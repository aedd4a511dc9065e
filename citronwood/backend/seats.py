"""Seats: named locks on a member that limit the connections of gateways.

Each member grants ``SEATS_PER_MEMBER`` seats, and a seat entitles its holder to a fixed
number of connections. The polling connection of a gateway holds the lock of its seat,
and each data connection holds the lock of a numbered slot of that seat. The member
itself therefore records whose connections are open, and the next holder of a seat can
kill exactly the connections of the previous one.
"""

import logging
from collections.abc import Callable, Iterable
from hashlib import sha256
from time import monotonic
from typing import NamedTuple

from asyncmy.errors import MySQLError

from citronwood.backend.connection import BackendConnection
from citronwood.config.model import Group
from citronwood.deadline import deadline_in
from citronwood.errors import BackendUnavailableError

log = logging.getLogger(__name__)

SEATS_PER_MEMBER = 2
# One polling connection and one command connection.
CONTROL_CONNECTIONS = 2
# A lost connection is replaced before the member has noticed its end, and a gateway
# that was paused may open a connection before it learns that it has lost its seat.
# Without a reserve, 17 connections were seen with max_connections set to 15.
RESERVE_CONNECTIONS = 1
QUERY_TIMEOUT_S = 0.35
# A live holder sends its next poll at once, so a polling connection that has been idle
# for this long belongs to a dead gateway.
DEAD_HOLDER_IDLE_S = 2
# How long a free seat stays reserved for its last holder. A live gateway that has lost
# its polling connection, for example in a stall of the member of 350 ms, needs a new
# connection and two answers to take its seat again. Another gateway that took the seat
# earlier would kill its transactions.
RETURN_GRACE_S = 1.0
MAX_LOCKS_PER_QUERY = 100


def seat_connections(group: Group) -> int:
    """Return the number of connections per seat, including control connections.

    ``group.slots`` is the maximum number of members, and each member has an equal part
    of ``max_connections``. One connection to each member is left to poll for a seat
    without holding one.
    """
    return (group.max_connections // group.slots - 1) // SEATS_PER_MEMBER


def data_connections(group: Group) -> int:
    """Return the number of connections to one member for statements."""
    return max(1, seat_connections(group) - CONTROL_CONNECTIONS - RESERVE_CONNECTIONS)


class _Absence(NamedTuple):
    """Time since which a seat is free without interruption.

    ``marked_by`` is the connection that holds the lock marking the absence. The holder
    kills that connection when it takes its seat again.
    """

    marked_by: int
    since: float


class Seat:
    """Seat of this gateway on one member.

    ``peers`` returns the VMs that may hold a seat and ``is_dead`` tells whether one of
    them has failed. ``on_lost`` is called after another gateway has taken the seat.
    ``slot_count`` is the number of slots of each seat. ``own_connections`` returns the
    ids of this gateway's data connections, which survive if it takes its seat again.
    """

    def __init__(
        self,
        vm_name: str,
        group_name: str,
        is_dead: Callable[[str], bool],
        peers: Callable[[], Iterable[str]],
        on_lost: Callable[[], None],
    ) -> None:
        self.prefix = f"citronwood.{_short_hash(group_name)}"
        self._vm_name = vm_name
        self._is_dead = is_dead
        self._peers = peers
        self._on_lost = on_lost
        self._number: int | None = None
        self._holder_id = 0
        self._held = False
        self._denied = False
        self._absences: dict[int, _Absence] = {}
        self.slot_count = 1
        self.own_connections: Callable[[], set[int]] = set

    @property
    def is_held(self) -> bool:
        """Whether the seat is held and data connections may be opened."""
        return self._held

    @property
    def is_denied(self) -> bool:
        """Whether no seat was free at the last attempt to take one."""
        return self._denied

    @property
    def is_reserved(self) -> bool:
        """Whether a seat was free but reserved for its last holder at the last attempt.

        The connection of that attempt must stay open until the next one, because it
        may mark since when the seat is free.
        """
        return bool(self._absences)

    def own_slot_lock_name(self, slot: int) -> str:
        """Return the lock name of a slot of this gateway's seat."""
        return self._slot_lock_name(self._number or 0, slot)

    @property
    def number(self) -> int | None:
        """Number of the current seat, or of the last one held."""
        return self._number

    def seat_lock_name(self, number: int) -> str:
        """Return the lock name of a seat."""
        return f"{self.prefix}.seat{number}"

    def _slot_lock_name(self, number: int, slot: int) -> str:
        return f"{self.prefix}.seat{number}.{slot}"

    def _vm_lock_name(self, vm: str) -> str:
        """Return the name of the lock that shows which VM holds a seat."""
        return f"{self.prefix}.vm.{_short_hash(vm)}"

    def _absence_lock_name(self, number: int) -> str:
        """Return the name of the lock that marks a seat as free."""
        return f"{self.prefix}.free{number}"

    def mark_lost(self) -> None:
        """Record that the polling connection, and with it the seat lock, is lost."""
        self._held = False

    async def ensure_held(self, connection: BackendConnection) -> bool:
        """Take a seat unless one is held; False if none is free.

        A seat that is reserved for its last holder is not free.
        """
        if self._held:
            return True
        preferred = self._number
        numbers = sorted(
            range(SEATS_PER_MEMBER), key=lambda number: number != preferred
        )
        for number in numbers:
            if await self._try_take_seat(connection, number):
                self._number, self._held, self._denied = number, True, False
                self._absences.clear()
                self._holder_id = connection.connection_id
                await _get_lock(connection, self._vm_lock_name(self._vm_name))
                return True
            if number == preferred:
                log.warning("gateway: the seat was taken by another gateway")
                self._number = None
                self._on_lost()
        self._denied = True
        return False

    async def _try_take_seat(self, connection: BackendConnection, number: int) -> bool:
        lock = self.seat_lock_name(number)
        holder = (await _lock_owners(connection, [lock]))[0]
        if holder is not None and holder != connection.connection_id:
            is_own = number == self._number and holder == self._holder_id
            if not is_own and not await self._has_holder_failed(connection, holder):
                self._absences.pop(number, None)
                return False
            await _kill_connection(connection, holder)
        elif number != self._number and await self._may_holder_return(
            connection, number
        ):
            return False
        # Take the lock before killing the old connections. Otherwise a competing
        # gateway could take the seat as well and kill the new connections.
        if not await _get_lock(connection, lock):
            return False
        await self._end_absence(connection, number)
        await self._kill_old_connections(connection, number)
        return True

    async def _has_holder_failed(
        self, connection: BackendConnection, holder: int
    ) -> bool:
        names = list(self._peers())
        owners = await _lock_owners(
            connection, [self._vm_lock_name(vm) for vm in names]
        )
        for vm, owner in zip(names, owners, strict=True):
            if owner == holder and self._is_dead(vm):
                log.info("gateway: taking over the seat of %s", vm)
                return True
        for row in await connection.query(
            "SHOW PROCESSLIST", deadline_in(QUERY_TIMEOUT_S)
        ):
            if int(row["Id"] or 0) == holder:
                sleeping = row["Command"] == b"Sleep"
                return sleeping and int(row["Time"] or 0) >= DEAD_HOLDER_IDLE_S
        # The holder has disconnected since its lock was read, so the next attempt finds
        # the seat free.
        return False

    async def _may_holder_return(
        self, connection: BackendConnection, number: int
    ) -> bool:
        """Whether a free seat is still reserved for its last holder.

        Open data connections show that the holder is alive: if its process had ended,
        all of its connections would have been closed together.
        """
        if not await self._slot_owners(connection, number):
            self._absences.pop(number, None)
            return False
        marked_by = await self._mark_absence(connection, number)
        if marked_by is None:
            self._absences.pop(number, None)
            return True
        absence = self._absences.get(number)
        if absence is None or absence.marked_by != marked_by:
            absence = self._absences[number] = _Absence(marked_by, monotonic())
        return monotonic() - absence.since < RETURN_GRACE_S

    async def _mark_absence(
        self, connection: BackendConnection, number: int
    ) -> int | None:
        """Mark a free seat; return the connection that holds the mark.

        Returns None if another gateway changes the mark or the holder has returned.
        """
        mark = self._absence_lock_name(number)
        owner = (await _lock_owners(connection, [mark]))[0]
        if owner is not None:
            return owner
        if not await _get_lock(connection, mark):
            return None
        # A holder that returned before the mark was set has not seen it.
        holder = (await _lock_owners(connection, [self.seat_lock_name(number)]))[0]
        return connection.connection_id if holder is None else None

    async def _end_absence(self, connection: BackendConnection, number: int) -> None:
        """Remove the mark of another gateway, for which the seat was free."""
        owner = (await _lock_owners(connection, [self._absence_lock_name(number)]))[0]
        if owner is not None and owner != connection.connection_id:
            await _kill_connection(connection, owner)

    async def _slot_owners(
        self, connection: BackendConnection, number: int
    ) -> set[int]:
        locks = [self._slot_lock_name(number, slot) for slot in range(self.slot_count)]
        owners = await _lock_owners(connection, locks)
        return {owner for owner in owners if owner is not None}

    async def _kill_old_connections(
        self, connection: BackendConnection, number: int
    ) -> None:
        own = self.own_connections() if number == self._number else set()
        for owner in await self._slot_owners(connection, number) - own:
            await _kill_connection(connection, owner)

    async def claim_slot(self, connection: BackendConnection, slot: int) -> None:
        """Take the slot lock for a data connection; on failure close it and raise."""
        lock = self.own_slot_lock_name(slot)
        try:
            if await self._try_take_slot(connection, lock):
                return
            owner = (await _lock_owners(connection, [lock]))[0]
            if owner is not None:
                # This gateway holds the seat, so the slot belongs to an old connection
                # of its own pool that hangs.
                await _kill_connection(connection, owner)
            if await self._try_take_slot(connection, lock):
                return
        except MySQLError as error:
            connection.close()
            raise BackendUnavailableError(f"no slot: {error}") from error
        connection.close()
        raise BackendUnavailableError("the slot is still in use")

    async def _try_take_slot(self, connection: BackendConnection, lock: str) -> bool:
        """Take a slot lock; raise if this gateway no longer holds the seat.

        A gateway that was paused may not know yet that it has lost its seat.
        """
        taken = await _get_lock(connection, lock)
        seat = self.seat_lock_name(self._number or 0)
        owner = (await _lock_owners(connection, [seat]))[0]
        if owner != self._holder_id:
            connection.close()
            raise BackendUnavailableError("the seat is lost")
        return taken


def _short_hash(name: str) -> str:
    # MySQL limits the name of a lock to 64 characters.
    return sha256(name.encode()).hexdigest()[:16]


async def _get_lock(connection: BackendConnection, lock: str) -> bool:
    rows = await connection.query(
        f"SELECT GET_LOCK('{lock}', 0.1) AS taken", deadline_in(QUERY_TIMEOUT_S)
    )
    return rows[0]["taken"] == b"1"


async def _lock_owners(
    connection: BackendConnection, locks: list[str]
) -> list[int | None]:
    owners: list[int | None] = []
    for start in range(0, len(locks), MAX_LOCKS_PER_QUERY):
        part = locks[start : start + MAX_LOCKS_PER_QUERY]
        columns = ", ".join(
            f"IS_USED_LOCK('{lock}') AS l{index}" for index, lock in enumerate(part)
        )
        rows = await connection.query(f"SELECT {columns}", deadline_in(QUERY_TIMEOUT_S))
        values = [rows[0][f"l{index}"] for index in range(len(part))]
        owners.extend(None if value is None else int(value) for value in values)
    return owners


async def _kill_connection(connection: BackendConnection, connection_id: int) -> None:
    try:
        await connection.query(f"KILL {connection_id}", deadline_in(QUERY_TIMEOUT_S))
    except MySQLError:
        log.debug("gateway: connection %s had ended already", connection_id)
