"""Tests of seats with simulated named locks and a simulated clock."""

import asyncio
import re

import pytest

from citronwood.backend import seats as seats_module
from citronwood.backend.seats import RETURN_GRACE_S, SEATS_PER_MEMBER, Seat
from citronwood.standin.locks import NamedLocks

_GET_LOCK = re.compile(r"SELECT GET_LOCK\('([^']+)'")
_USED_LOCK = re.compile(r"IS_USED_LOCK\('([^']+)'\) AS (\w+)")


class LockServer:
    """In-memory named locks of a member."""

    def __init__(self):
        self.locks = NamedLocks()
        self._opened = 0

    def connect(self):
        self._opened += 1
        return LockConnection(self, self._opened)


class LockConnection:
    """Stub of the backend connection methods that seats use."""

    def __init__(self, server, connection_id):
        self.connection_id = connection_id
        self._locks = server.locks

    async def query(self, sql, deadline):
        get_lock = _GET_LOCK.match(sql)
        if get_lock:
            acquired = self._locks.acquire(get_lock[1], self.connection_id)
            return [{"taken": b"1" if acquired else b"0"}]
        if sql.startswith("KILL "):
            self._locks.release_all(int(sql.split()[1]))
            return []
        if sql == "SHOW PROCESSLIST":
            return []
        owners = {
            column: self._locks.owner(lock) for lock, column in _USED_LOCK.findall(sql)
        }
        return [
            {name: None if owner is None else str(owner).encode()}
            for name, owner in owners.items()
        ]

    def close(self):
        self._locks.release_all(self.connection_id)


class Clock:
    """Manually advanced monotonic clock."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(seats_module, "monotonic", clock)
    return clock


@pytest.fixture
def server():
    return LockServer()


def open_seat(name):
    return Seat(name, "g", lambda vm: False, lambda: (), lambda: None)


async def fill_seats(server):
    """Take all seats; return the first seat, its polling and its data connection."""
    holders = [open_seat(f"vm{number}") for number in range(SEATS_PER_MEMBER)]
    polls = [server.connect() for _ in holders]
    for holder, poll in zip(holders, polls, strict=True):
        assert await holder.ensure_held(poll)
    data = server.connect()
    await holders[0].claim_slot(data, 0)
    holders[0].own_connections = lambda: {data.connection_id}
    return holders[0], polls[0], data


def lose_polling_connection(holder, poll):
    poll.close()
    holder.mark_lost()


def test_seat_of_a_gateway_that_does_not_return_is_taken(server, clock):
    """Guards against a seat that stays free, and one taken during the grace time."""

    async def scenario():
        holder, poll, _ = await fill_seats(server)
        waiting = open_seat("waiting")
        assert not await waiting.ensure_held(server.connect())
        lose_polling_connection(holder, poll)
        assert not await waiting.ensure_held(server.connect())
        clock.now += RETURN_GRACE_S * 0.9
        assert not await waiting.ensure_held(server.connect())
        clock.now += RETURN_GRACE_S * 0.2
        assert await waiting.ensure_held(server.connect())

    asyncio.run(scenario())


def test_each_loss_of_the_poll_gives_the_whole_time_to_return(server, clock):
    """Guards against a grace time that is not restarted by a second loss.

    Between two attempts of the waiting gateway, the holder takes its seat again and
    loses its polling connection a second time. The waiting gateway thus never sees the
    seat held.
    """

    async def scenario():
        holder, poll, _ = await fill_seats(server)
        waiting = open_seat("waiting")
        lose_polling_connection(holder, poll)
        assert not await waiting.ensure_held(server.connect())
        clock.now += RETURN_GRACE_S * 0.9
        poll = server.connect()
        assert await holder.ensure_held(poll)
        lose_polling_connection(holder, poll)
        clock.now += RETURN_GRACE_S * 0.2
        assert not await waiting.ensure_held(server.connect())

    asyncio.run(scenario())
