"""Model of the callers, from the users' page on the wire ("Clients").

Each caller has one session at a time, on a VM that it changes when the session ends.
Its operations are single statements and transactions, some of which it leaves or rolls
back.
"""

import asyncio
import random
from collections.abc import Callable

from citronwood.simulation.history import History, Request

ANSWER_TIMEOUT_S = 4.0
CONNECT_TIMEOUT_S = 2.0
MEAN_PAUSE_S = 0.15
ITEMS = 6
MAX_OPERATIONS_PER_SESSION = 25


class CallerClosedError(Exception):
    """The session has ended."""


class Caller:
    """Caller of one database.

    Parameters
    ----------
    number : int
        Number of the caller; its sessions have numbers of their own.
    database, key : str
        Database and key of its sessions.
    addresses : callable
        Returns the addresses of the VMs to which sessions may be opened now.
    """

    def __init__(
        self,
        number: int,
        database: str,
        key: str,
        addresses: Callable[[], list[tuple[str, int]]],
        history: History,
        source: random.Random,
        time: Callable[[], float],
    ) -> None:
        self._number = number
        self._database = database
        self._key = key
        self._addresses = addresses
        self._history = history
        self._random = source
        self._time = time
        self._sessions = 0
        self._requests = 0
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def run(self, until: float) -> None:
        """Send operations until a time."""
        while self._time() < until:
            try:
                await self._connect()
                for _ in range(self._random.randrange(1, MAX_OPERATIONS_PER_SESSION)):
                    if self._time() >= until:
                        break
                    await self._operate()
                    await asyncio.sleep(self._random.expovariate(1 / MEAN_PAUSE_S))
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                await asyncio.sleep(MEAN_PAUSE_S)
            except CallerClosedError:
                pass
            self._close()

    async def _connect(self) -> None:
        addresses = self._addresses()
        if not addresses:
            await asyncio.sleep(MEAN_PAUSE_S)
            raise CallerClosedError
        host, port = self._random.choice(addresses)
        self._sessions += 1
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            self._reader, self._writer = await asyncio.open_connection(host, port)
            self._writer.write(f"START {self._database} {self._key}\r\n".encode())
            if not (await self._read_line()).startswith("READY"):
                raise CallerClosedError

    async def _operate(self) -> None:
        kind = self._random.random()
        item = f"x{self._random.randrange(ITEMS)}"
        if kind < 0.4:
            await self._request(f"READ {item}")
        elif kind < 0.75:
            await self._request(f"WRITE {item} {self._next_data()}")
        else:
            await self._transact(item)

    async def _transact(self, item: str) -> None:
        if (await self._request("BEGIN")).code:
            return
        writes: list[str] = []
        for _ in range(self._random.randrange(1, 3)):
            data = self._next_data()
            request = await self._request(f"WRITE {item} {data}")
            if request.code:
                await self._request("ROLLBACK")
                return
            writes.append(request.id)
            await asyncio.sleep(self._random.random() * 0.05)
        end = self._random.random()
        if end < 0.1:
            raise CallerClosedError
        if end < 0.2:
            await self._request("ROLLBACK")
        else:
            await self._request("COMMIT", tuple(writes))

    def _next_data(self) -> str:
        return f"d{self._number}.{self._requests}"

    async def _request(self, text: str, writes: tuple[str, ...] = ()) -> Request:
        """Send a statement; return it with its answer.

        Raises ``CallerClosedError`` if there was no complete answer.
        """
        assert self._writer is not None
        self._requests += 1
        request_id = f"c{self._number}-{self._requests}"
        sent_at = self._time()
        self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
        result, rows, is_complete = None, [], False
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while not is_complete:
                    line = await self._read_line()
                    if line.startswith("ROW "):
                        rows.append(line[4:])
                    elif line.startswith("READY"):
                        is_complete = True
                    else:
                        result = line
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            result = None
        own = (request_id,) if text.startswith("WRITE") and not writes else writes
        request = Request(
            sent_at,
            self._time(),
            request_id,
            self._number * 1000 + self._sessions,
            text,
            result,
            tuple(rows),
            own,
        )
        self._history.requests.append(request)
        if result is None:
            raise CallerClosedError
        return request

    async def _read_line(self) -> str:
        assert self._reader is not None
        return (await self._reader.readuntil(b"\r\n"))[:-2].decode("latin-1")

    def _close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
