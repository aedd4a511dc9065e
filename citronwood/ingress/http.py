"""Limits for the connections to HTTP ports: readiness, metrics, the operator API."""

import asyncio
from collections.abc import Callable
from ssl import SSLContext
from time import monotonic

from aiohttp import web

from citronwood.ingress.acceptor import Acceptor, listen
from citronwood.ingress.budget import SERVICE_CONNECTIONS, ConnectionBudget
from citronwood.metrics import Metrics

BACKLOG = 128


class LimitedSite:
    """Site of an ``AppRunner`` that serves a fixed number of connections.

    Load pattern: requests that never end, by the hundred. The oldest connection is
    closed for each new one. A readiness check or a scrape takes milliseconds and is
    answered long before its connection is the oldest.
    """

    def __init__(
        self,
        runner: web.AppRunner,
        host: str,
        port: int,
        metrics: Metrics,
        name: str,
        ssl: SSLContext | None = None,
    ) -> None:
        self._runner = runner
        self._address = (host, port)
        self._metrics = metrics
        self._name = name
        self._ssl = ssl
        self._budget: ConnectionBudget[_GuardedProtocol] = ConnectionBudget(
            SERVICE_CONNECTIONS, min_unstarted_s=0.0
        )
        self._acceptor: Acceptor | None = None

    async def start(self) -> tuple[str, int]:
        """Listen after the runner's setup; return the actual address."""
        self._acceptor = await listen(
            *self._address,
            BACKLOG,
            self._make_protocol,
            self._budget,
            self._evict,
            self._metrics,
            self._name,
            ssl=self._ssl,
        )
        return self._acceptor.address

    def close(self) -> None:
        """Stop listening; the runner's cleanup closes the connections."""
        if self._acceptor is not None:
            self._acceptor.close()

    def _make_protocol(self) -> asyncio.BaseProtocol:
        server: Callable[[], asyncio.Protocol] | None = self._runner.server
        assert server is not None
        return _GuardedProtocol(server(), self._budget)

    def _evict(self, connection: "_GuardedProtocol") -> None:
        self._metrics.count(f"{self._name}.closed.oldest")
        connection.abort()


class _GuardedProtocol(asyncio.Protocol):
    """Protocol of a connection that is listed in a budget as long as it lasts."""

    def __init__(
        self,
        protocol: asyncio.Protocol,
        budget: "ConnectionBudget[_GuardedProtocol]",
    ) -> None:
        self._protocol = protocol
        self._budget = budget
        self._transport: asyncio.BaseTransport | None = None

    def abort(self) -> None:
        """Close the connection at once."""
        if isinstance(self._transport, asyncio.Transport):
            self._transport.abort()
        elif self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._budget.begin(self, monotonic())
        self._protocol.connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._budget.remove(self)
        self._protocol.connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        self._protocol.data_received(data)

    def eof_received(self) -> bool | None:
        return self._protocol.eof_received()

    def pause_writing(self) -> None:
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        self._protocol.resume_writing()
