"""Seats: named locks on a member that limit the connections of gateways.

A seat is held by the polling connection of a gateway, and each data connection holds
a numbered lock that belongs to the seat. The member itself therefore knows whose
connections are open, and a successor can end exactly those of the former holder.
"""

import logging
from collections.abc import Callable, Iterable
from hashlib import sha256
from time import monotonic

from asyncmy.errors import MySQLError

from citronwood.backend.connection import BackendConnection
from citronwood.config.model import Group
from citronwood.deadline import deadline_in
from citronwood.errors import BackendUnavailableError

log = logging.getLogger(__name__)

SEATS = 2
# A polling and a command connection for each member.
CONTROL_CONNECTIONS = 2
# A lost connection is replaced before the member has noticed its end, and a gateway
# that was paused opens one before it learns that its seat is gone; without a reserve
# 17 connections were seen under a cap of 15.
RESERVE_CONNECTIONS = 1
QUERY_S = 0.35
# A live holder sends its next poll at once, so that its connection never sleeps long.
IDLE_HOLDER_S = 2
# A gateway that lives needs a connection and two answers to take its seat again after
# its polling connection was lost, for example in a stall of the member of 350 ms. A
# successor that was faster would end its transactions.
RETURN_S = 1.0
LOCKS_PER_QUERY = 100


def seat_connections(group: Group) -> int:
    """Return the number of connections of a seat, control connections included."""
    return (group.max_connections // group.slots - 1) // SEATS


def data_connections(group: Group) -> int:
    """Return the number of connections for statements to one member."""
    return max(1, seat_connections(group) - CONTROL_CONNECTIONS - RESERVE_CONNECTIONS)


class Seat:
    """Seat of this gateway on one member.

    ``peers`` names the VMs that may hold a seat and ``is_dead`` tells which of them
    have failed. ``on_lost`` is called when another gateway has taken the seat.
    """

    def __init__(
        self,
        name: str,
        group_name: str,
        is_dead: Callable[[str], bool],
        peers: Callable[[], Iterable[str]],
        on_lost: Callable[[], None],
    ) -> None:
        self.prefix = f"citronwood.{_short(group_name)}"
        self._name = name
        self._is_dead = is_dead
        self._peers = peers
        self._on_lost = on_lost
        self._number: int | None = None
        self._holder_id = 0
        self._held = False
        self._denied = False
        self._free_since: dict[int, float] = {}
        self.slots = 1
        self.own_connections: Callable[[], set[int]] = set

    @property
    def is_held(self) -> bool:
        """Whether data connections may be opened."""
        return self._held

    @property
    def is_denied(self) -> bool:
        """Whether other gateways had all seats when the member was last asked."""
        return self._denied

    def slot_lock(self, slot: int) -> str:
        """Return the name of the lock of a data connection."""
        return self._slot_lock(self._number or 0, slot)

    @property
    def number(self) -> int | None:
        """Number of the seat that was held last."""
        return self._number

    def seat_lock(self, number: int) -> str:
        """Return the name of the lock of a seat."""
        return f"{self.prefix}.seat{number}"

    def _slot_lock(self, number: int, slot: int) -> str:
        return f"{self.prefix}.seat{number}.{slot}"

    def _vm_lock(self, vm: str) -> str:
        return f"{self.prefix}.vm.{_short(vm)}"

    def release(self) -> None:
        """Take note that the polling connection, and the lock with it, is gone."""
        self._held = False

    async def ensure(self, connection: BackendConnection) -> bool:
        """Take a seat unless one is held; False if both have live holders."""
        if self._held:
            return True
        preferred = self._number
        numbers = sorted(range(SEATS), key=lambda number: number != preferred)
        for number in numbers:
            if await self._take(connection, number):
                self._number, self._held, self._denied = number, True, False
                self._free_since.clear()
                self._holder_id = connection.connection_id
                await _get_lock(connection, self._vm_lock(self._name))
                return True
            if number == preferred:
                log.warning("gateway: the seat was taken by another gateway")
                self._number = None
                self._on_lost()
        self._denied = True
        return False

    async def _take(self, connection: BackendConnection, number: int) -> bool:
        lock = self.seat_lock(number)
        holder = (await _lock_owners(connection, [lock]))[0]
        if holder is not None and holder != connection.connection_id:
            own = number == self._number and holder == self._holder_id
            if not own and not await self._has_failed(connection, holder):
                self._free_since.pop(number, None)
                return False
            await _kill(connection, holder)
        elif number != self._number and await self._may_return(connection, number):
            return False
        # The lock is taken before the old connections are ended, so that a rival
        # does not end the new ones in turn.
        if not await _get_lock(connection, lock):
            return False
        await self._end_old_connections(connection, number)
        return True

    async def _has_failed(self, connection: BackendConnection, holder: int) -> bool:
        names = list(self._peers())
        owners = await _lock_owners(connection, [self._vm_lock(vm) for vm in names])
        for vm, owner in zip(names, owners, strict=True):
            if owner == holder and self._is_dead(vm):
                log.info("gateway: taking over the seat of %s", vm)
                return True
        for row in await connection.query("SHOW PROCESSLIST", deadline_in(QUERY_S)):
            if int(row["Id"] or 0) == holder:
                sleeping = row["Command"] == b"Sleep"
                return sleeping and int(row["Time"] or 0) >= IDLE_HOLDER_S
        # It has ended since the lock was looked at, so the next attempt finds it free.
        return False

    async def _may_return(self, connection: BackendConnection, number: int) -> bool:
        """Whether the former holder of a free seat lives and may take it again.

        The connections of a process that has ended are closed all together.
        """
        if not await self._data_connections(connection, number):
            return False
        since = self._free_since.setdefault(number, monotonic())
        return monotonic() - since < RETURN_S

    async def _data_connections(
        self, connection: BackendConnection, number: int
    ) -> set[int]:
        locks = [self._slot_lock(number, slot) for slot in range(self.slots)]
        owners = await _lock_owners(connection, locks)
        return {owner for owner in owners if owner is not None}

    async def _end_old_connections(
        self, connection: BackendConnection, number: int
    ) -> None:
        kept = self.own_connections() if number == self._number else set()
        for owner in await self._data_connections(connection, number) - kept:
            await _kill(connection, owner)

    async def claim_slot(self, connection: BackendConnection, slot: int) -> None:
        """Take the lock of a data connection, or refuse the connection."""
        lock = self.slot_lock(slot)
        try:
            if await self._try_slot(connection, lock):
                return
            owner = (await _lock_owners(connection, [lock]))[0]
            if owner is not None:
                # The seat is this gateway's, so the owner is a former connection of
                # its pool, which has hung.
                await _kill(connection, owner)
            if await self._try_slot(connection, lock):
                return
        except MySQLError as error:
            connection.close()
            raise BackendUnavailableError(f"no slot: {error}") from error
        connection.close()
        raise BackendUnavailableError("the slot is still in use")

    async def _try_slot(self, connection: BackendConnection, lock: str) -> bool:
        """Take a slot; refuse if the member has given the seat to another gateway.

        A gateway that was paused does not know yet that it has lost its seat.
        """
        taken = await _get_lock(connection, lock)
        seat = self.seat_lock(self._number or 0)
        owner = (await _lock_owners(connection, [seat]))[0]
        if owner != self._holder_id:
            connection.close()
            raise BackendUnavailableError("the seat is lost")
        return taken


def _short(name: str) -> str:
    # Names of locks have at most 64 characters.
    return sha256(name.encode()).hexdigest()[:16]


async def _get_lock(connection: BackendConnection, lock: str) -> bool:
    rows = await connection.query(
        f"SELECT GET_LOCK('{lock}', 0.1) AS taken", deadline_in(QUERY_S)
    )
    return rows[0]["taken"] == b"1"


async def _lock_owners(
    connection: BackendConnection, locks: list[str]
) -> list[int | None]:
    owners: list[int | None] = []
    for start in range(0, len(locks), LOCKS_PER_QUERY):
        part = locks[start : start + LOCKS_PER_QUERY]
        columns = ", ".join(
            f"IS_USED_LOCK('{lock}') AS l{index}" for index, lock in enumerate(part)
        )
        rows = await connection.query(f"SELECT {columns}", deadline_in(QUERY_S))
        found = [rows[0][f"l{index}"] for index in range(len(part))]
        owners.extend(None if value is None else int(value) for value in found)
    return owners


async def _kill(connection: BackendConnection, connection_id: int) -> None:
    try:
        await connection.query(f"KILL {connection_id}", deadline_in(QUERY_S))
    except MySQLError:
        log.debug("gateway: connection %s had ended already", connection_id)
