"""Stand-in of a client."""

import asyncio
from itertools import count

_ids = count(1)


class Lost(Exception):
    """The connection ended or gave no answer in time."""


class Client:
    """Session of a client on one connection; one statement at a time."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(cls, address, database, key, timeout_s=2.0):
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(*address, limit=1 << 21)
                client = cls(reader, writer)
                writer.write(f"START {database} {key}\r\n".encode())
                line = await client._line()
        except (OSError, TimeoutError) as error:
            raise Lost(f"no session: {type(error).__name__}") from None
        if not line.startswith("READY"):
            client.close()
            raise Lost(line)
        return client

    async def _line(self):
        try:
            return (await self._reader.readuntil(b"\r\n")).decode("latin-1")[:-2]
        except (OSError, asyncio.IncompleteReadError) as error:
            raise Lost(type(error).__name__) from None

    async def query(self, text, timeout_s=4.0):
        """Return the request id, the lines before READY, the state and the position."""
        request = f"{next(_ids):016x}"
        lines = []
        try:
            async with asyncio.timeout(timeout_s):
                self._writer.write(f"QUERY {request} {text}\r\n".encode("latin-1"))
                await self._writer.drain()
                while True:
                    line = await self._line()
                    if line.startswith("READY "):
                        _, state, position = line.split(" ")
                        return request, lines, state, position
                    lines.append(line)
        except TimeoutError:
            self.close()
            raise Lost("no answer in time") from None
        except OSError as error:
            raise Lost(type(error).__name__) from None

    def close(self):
        self._writer.transport.abort()
