"""Callers that follow the rules of a planned stop, and what they have seen."""

import asyncio
import random
from collections import Counter
from time import monotonic

from asyncmy.errors import MySQLError

from tests.fleet import run

SHUTDOWN = 1053
# What a driver reports for a server that does not accept connections.
NOT_CONNECTED = 2003
# What a driver reports for a connection that has ended.
LOST = (2006, 2013)
PAUSE_S = 0.02


class Report:
    """What all callers together have seen."""

    def __init__(self):
        self.failures = []
        self.counts = Counter()
        self.slow = []

    def slowest(self, user, count=3):
        """Return the longest statements of an account: time taken, start, text."""
        return sorted((one for one in self.slow if one[2] == user), reverse=True)[
            :count
        ]

    def fail(self, where, *details):
        self.failures.append((round(monotonic(), 2), where, *details))


class MovedError(Exception):
    """The VM serves this connection no longer; the statement did not run."""


class Session:
    """Session that connects again at a boundary between statements and goes on.

    Only a refusal with 1053, and an end of the connection that is seen before a
    statement is sent, lead to another connection; everything else is reported. The
    session's token goes along. When it could not be read after a write, the next
    connection goes without one, so that its floor comes from a majority.
    """

    def __init__(self, fleet, report, user):
        self._fleet = fleet
        self._report = report
        self._user = user
        self._connection = None
        self._token = None

    async def run(self, *statements):
        """Run statements outside a transaction; return the rows of the last one.

        All are repeated on another connection when one of them is told 1053.
        """
        while True:
            await self.connect()
            try:
                for sql in statements:
                    rows = await self._send(sql)
                return rows
            except MovedError:
                self.close()

    async def write(self, *statements):
        """Run a write and keep the token of its position."""
        await self.run(*statements)
        await self._keep_token()

    async def transact(self, statements, pause_s=0.0):
        """Run a transaction; only its BEGIN may be told to go elsewhere."""
        await self.run("BEGIN")
        for sql in (*statements, "COMMIT"):
            await self._send(sql)
            await asyncio.sleep(pause_s)
        await self._keep_token()

    async def _keep_token(self):
        self._token = None
        try:
            ((self._token,),) = await self._send("SELECT @citronwood_token")
        except MovedError:
            self.close()

    async def connect(self):
        """Connect, unless the connection is open, and set the token."""
        while self._connection is None or self._connection._stream_broken:
            self.close()
            try:
                self._connection = await self._open()
                if self._token is not None:
                    await self._send(f"SET @citronwood_token = '{self._token}'")
            except MovedError:
                self.close()
                await asyncio.sleep(PAUSE_S)

    async def _open(self):
        """Connect to an entry chosen by chance, as a load balancer does."""
        try:
            name = random.choice(list(self._fleet.ports))
            return await self._fleet.connect(name, user=self._user, autocommit=None)
        except (MySQLError, OSError, KeyError) as error:
            self._report.counts["not connected"] += 1
            known = (SHUTDOWN, *LOST, NOT_CONNECTED)
            if isinstance(error, MySQLError) and error.args[0] not in known:
                raise
            raise MovedError from error

    async def _send(self, sql):
        if self._connection._stream_broken:
            self._report.counts["closed between statements"] += 1
            raise MovedError
        started = monotonic()
        try:
            rows = await run(self._connection, sql)
        except MySQLError as error:
            if error.args[0] != SHUTDOWN:
                raise
            self._report.counts["told to connect again"] += 1
            raise MovedError from error
        self._report.counts["statements"] += 1
        took_s = monotonic() - started
        self._report.slow.append((took_s, started, self._user, sql))
        return rows

    def close(self):
        if self._connection is not None:
            self._connection.close()
            self._connection = None


async def repeat(work, where, stopped, report, pause_s=PAUSE_S):
    """Repeat one caller's work; an error is a failure of the test."""
    while not stopped.is_set():
        try:
            await work()
        except Exception as error:
            report.fail(where, type(error).__name__, *error.args)
            return
        await asyncio.sleep(pause_s)


async def offer(fleet, user, sql, rate, callers, stopped, report, intervals):
    """Offer requests at a fixed pace, whatever they are answered.

    ``intervals`` gets the times at which each admitted one was sent and answered.
    """

    async def one(index):
        session = Session(fleet, report, user)
        await asyncio.sleep(index / rate)
        while not stopped.is_set():
            started = monotonic()
            await session.connect()
            sent = monotonic()
            report.counts[f"{user} offered"] += 1
            try:
                await session.run(sql)
                intervals.append((sent, monotonic()))
            except (MySQLError, OSError) as error:
                report.counts[f"{user} refused {error.args[0]}"] += 1
                if error.args[0] in LOST:
                    session.close()
            await asyncio.sleep(started + callers / rate - monotonic())

    await asyncio.gather(*(one(index) for index in range(callers)))


def worst_excess(intervals, rate, burst):
    """Return by how many requests the bound is surely exceeded in any window.

    A request counts for a window only if it was sent and answered within it, so
    that it was admitted within it wherever in its interval that was.
    """
    worst = -burst
    for start in {sent for sent, _ in intervals}:
        ends = sorted(answered for sent, answered in intervals if sent >= start)
        for count, end in enumerate(ends, 1):
            worst = max(worst, count - burst - rate * (end - start))
    return worst
