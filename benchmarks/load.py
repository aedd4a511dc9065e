"""Load generator: a process that sends statements and prints their durations.

Usage: ``python -m benchmarks.load JSON`` with the fields of ``Load``; prints JSON.
"""

import asyncio
import json
import sys
from time import monotonic
from typing import Any, NamedTuple

import asyncmy
import uvloop
from asyncmy.errors import MySQLError


class Load(NamedTuple):
    """Statements that one process sends over ``connections`` for ``seconds``.

    ``rate`` is in statements per second over all connections; with zero, each
    connection sends its next statement as soon as the previous one is answered.
    Statements are sent in turn, with ``{n}`` replaced by an increasing number.
    """

    port: int
    user: str
    password: str
    database: str
    statements: list[str]
    connections: int
    rate: float
    seconds: float
    first_number: int = 1


class _LoadRun:
    """One run of a load, with the start and duration of each answered statement."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.durations_ms: list[float] = []
        self.errors: dict[str, int] = {}
        self.started_s: list[float] = []
        self._sent = 0
        self._started_at = 0.0

    async def run(self) -> dict[str, Any]:
        """Send statements for the given time."""
        connections = [await self._connect() for _ in range(self.load.connections)]
        self._started_at = monotonic()
        await asyncio.gather(*(self._send_statements(opened) for opened in connections))
        elapsed = monotonic() - self._started_at
        for connection in connections:
            connection.close()
        return {
            "durations_ms": self.durations_ms,
            "started_s": self.started_s,
            "errors": self.errors,
            "elapsed_s": elapsed,
        }

    async def _connect(self) -> Any:
        load = self.load
        return await asyncmy.connect(
            host="127.0.0.1",
            port=load.port,
            user=load.user,
            password=load.password,
            database=load.database,
            autocommit=True,
        )

    async def _send_statements(self, connection: Any) -> None:
        load = self.load
        end = self._started_at + load.seconds
        async with connection.cursor() as cursor:
            while True:
                number = self._sent
                self._sent += 1
                due = (
                    self._started_at + number / load.rate if load.rate else monotonic()
                )
                if max(due, monotonic()) >= end:
                    return
                await asyncio.sleep(max(0.0, due - monotonic()))
                sql = load.statements[number % len(load.statements)]
                await self._time_statement(
                    cursor, sql.replace("{n}", str(load.first_number + number))
                )

    async def _time_statement(self, cursor: Any, sql: str) -> None:
        started = monotonic()
        try:
            await cursor.execute(sql)
            await cursor.fetchall()
        except MySQLError as error:
            code = str(error.args[0])
            self.errors[code] = self.errors.get(code, 0) + 1
            return
        self.durations_ms.append((monotonic() - started) * 1000)
        self.started_s.append(started - self._started_at)


def main() -> None:
    """Run the load given on the command line."""
    load = Load(**json.loads(sys.argv[1]))
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        print(json.dumps(runner.run(_LoadRun(load).run())))


if __name__ == "__main__":
    main()
