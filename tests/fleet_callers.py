"""Callers that reconnect during planned stops, and a report of their results."""

import asyncio
import random
from collections import Counter
from time import monotonic

from asyncmy.errors import MySQLError

from tests.fleet import run

SHUTDOWN = 1053
# Driver error for a server that does not accept connections.
NOT_CONNECTED = 2003
# Driver errors for a closed connection.
CONNECTION_LOST = (2006, 2013)
PAUSE_S = 0.02


class Report:
    """Results of all callers together."""

    def __init__(self):
        self.failures = []
        self.counts = Counter()
        self.statement_times = []

    def slowest(self, user, count=3):
        """Return an account's slowest statements: duration, start, account, text."""
        return sorted(
            (statement for statement in self.statement_times if statement[2] == user),
            reverse=True,
        )[:count]

    def add_failure(self, where, *details):
        self.failures.append((round(monotonic(), 2), where, *details))


class MovedError(Exception):
    """The VM no longer serves this connection; the statement was not executed."""


class Session:
    """Session that reconnects between statements and continues.

    It reconnects only after a refusal with 1053, or if the connection was closed before
    a statement is sent; every other error is raised. The session's token, which holds
    the position of its last write, is set on the new connection. If the token could not
    be read after a write, the new connection has none and reads at a position that the
    gateway gets from a majority of the members.
    """

    def __init__(self, fleet, report, user):
        self._fleet = fleet
        self._report = report
        self._user = user
        self._connection = None
        self._token = None

    async def run(self, *statements):
        """Run statements outside a transaction; return the rows of the last one.

        If a statement is refused with 1053, all are repeated on another connection.
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
        """Run a write and store the token of its position."""
        await self.run(*statements)
        await self._save_token()

    async def run_transaction(self, statements, pause_s=0.0):
        """Run a transaction; only its BEGIN may be refused with 1053."""
        await self.run("BEGIN")
        for sql in (*statements, "COMMIT"):
            await self._send(sql)
            await asyncio.sleep(pause_s)
        await self._save_token()

    async def _save_token(self):
        self._token = None
        try:
            ((self._token,),) = await self._send("SELECT @citronwood_token")
        except MovedError:
            self.close()

    async def connect(self):
        """Connect and set the token, unless the connection is open."""
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
        """Connect to a random entry, as a load balancer does."""
        try:
            name = random.choice(list(self._fleet.ports))
            return await self._fleet.connect(name, user=self._user, autocommit=None)
        except (MySQLError, OSError, KeyError) as error:
            self._report.counts["not connected"] += 1
            retryable = (SHUTDOWN, *CONNECTION_LOST, NOT_CONNECTED)
            if isinstance(error, MySQLError) and error.args[0] not in retryable:
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
        self._report.statement_times.append((took_s, started, self._user, sql))
        return rows

    def close(self):
        if self._connection is not None:
            self._connection.close()
            self._connection = None


async def repeat(run_once, where, stopped, report, pause_s=PAUSE_S):
    """Repeat one step of a caller; an error ends the caller and fails the test."""
    while not stopped.is_set():
        try:
            await run_once()
        except Exception as error:
            report.add_failure(where, type(error).__name__, *error.args)
            return
        await asyncio.sleep(pause_s)


async def offer(fleet, user, sql, rate, callers, stopped, report, intervals):
    """Offer requests at a fixed rate, whether they are admitted or not.

    ``intervals`` receives the send and answer times of each admitted request.
    """

    async def caller(index):
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
                if error.args[0] in CONNECTION_LOST:
                    session.close()
            await asyncio.sleep(started + callers / rate - monotonic())

    await asyncio.gather(*(caller(index) for index in range(callers)))


def worst_excess(intervals, rate, burst):
    """Return a lower bound of the worst excess over the limit in any window.

    A request counts for a window only if it was both sent and answered within it,
    because only then it was certainly admitted within it.
    """
    worst = -burst
    for start in {sent for sent, _ in intervals}:
        answer_times = sorted(answered for sent, answered in intervals if sent >= start)
        for count, end in enumerate(answer_times, 1):
            worst = max(worst, count - burst - rate * (end - start))
    return worst
