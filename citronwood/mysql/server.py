"""TCP service that speaks the MySQL protocol to clients."""

import asyncio
import logging
import socket
from collections.abc import Callable
from ssl import SSLContext
from typing import Any

from aiomisc.service import TCPServer
from mysql_mimic.stream import ConnectionClosed, MysqlStream

from citronwood.deadline import deadline_in, time_left
from citronwood.ingress.acceptor import Acceptor, limit_kernel_buffers
from citronwood.ingress.budget import Limits, derive_limits
from citronwood.metrics import Metrics
from citronwood.mysql.connection import LOGIN_TIMEOUT_S, ServerConnection
from citronwood.mysql.handler import Handler, KeyedHandler, StatementResult
from citronwood.mysql.ingress import ClientLimits, ClientProtocol
from citronwood.mysql.packets import MAX_PACKET_BYTES, LimitedReader
from citronwood.mysql.responses import BATCH_BYTES

__all__ = [
    "BATCH_BYTES",
    "LOGIN_TIMEOUT_S",
    "MAX_PACKET_BYTES",
    "Handler",
    "KeyedHandler",
    "MysqlService",
    "ServerConnection",
    "StatementResult",
]

log = logging.getLogger(__name__)

# Time for running statements after the deadline of a drain; longer than the timeout of
# a statement.
STATEMENT_GRACE_S = 15.0
# Connections that may wait to be accepted, for example when all clients of a failed VM
# connect at once. The limit of the system (net.core.somaxconn) is 4,096 by default.
BACKLOG = 4096


class MysqlService(TCPServer):  # type: ignore[misc]
    """TCP server that runs a ``ServerConnection`` for each client."""

    def __init__(
        self,
        make_handler: Callable[[int], Handler],
        ssl: SSLContext | None = None,
        limits: Limits | None = None,
        metrics: Metrics | None = None,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._limits = ClientLimits(limits or derive_limits(), metrics or Metrics())
        self._make_handler = make_handler
        self._ssl = ssl
        self._last_connection_id = 0
        self._draining = False
        self._connections: dict[ServerConnection, asyncio.Task[Any]] = {}

    @property
    def connections(self) -> int:
        """Number of connected clients."""
        return len(self._connections)

    async def start(self) -> None:
        """Listen with a larger backlog than the library, and with limits."""
        self.socket = self.make_socket()
        self.socket.listen(BACKLOG)
        limit_kernel_buffers(self.socket)
        self.server = Acceptor(
            self.socket,
            lambda: ClientProtocol(self._limits, self.make_client_handler),
            self._limits.connections,
            self._limits.evict,
            self._limits.metrics,
            "callers",
        )

    async def drain(self, deadline: float) -> None:
        """Stop accepting clients and let sessions finish their work.

        Clients without a transaction are disconnected at once or after their
        statement. Transactions may continue until the deadline, after which they are
        rolled back between two statements. A running statement is not interrupted.
        """
        self._draining = True
        self.server.close()
        log.info("entry: draining %d client connections", len(self._connections))
        for connection in list(self._connections):
            connection.drain()
        await self._wait_for_clients(deadline)
        for connection in list(self._connections):
            connection.end_transactions()
        await self._wait_for_clients(deadline_in(STATEMENT_GRACE_S))

    async def _wait_for_clients(self, deadline: float) -> None:
        if self._connections:
            await asyncio.wait(self._connections.values(), timeout=time_left(deadline))

    async def handle_client(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one client until it disconnects."""
        self._last_connection_id += 1
        connection_id = self._last_connection_id
        client = writer.transport.get_protocol()
        assert isinstance(client, ClientProtocol)
        connection = ServerConnection(
            MysqlStream(LimitedReader(reader, client), writer),
            self._make_handler(connection_id),
            connection_id,
            self._ssl,
            client,
        )
        task = asyncio.current_task()
        assert task is not None
        self._connections[connection] = task
        if self._draining:
            connection.drain()
        try:
            _enable_keepalive(writer)
            await connection._start()
        except (ConnectionError, ConnectionClosed, asyncio.IncompleteReadError):
            log.debug("entry: client %d disconnected", connection_id)
        except TimeoutError:
            log.info("entry: client %d did not respond in time", connection_id)
        except OSError as error:
            log.info("entry: connection of client %d failed: %s", connection_id, error)
        except Exception:
            # An error in one connection must not affect the others.
            log.exception("entry: connection of client %d failed", connection_id)
        finally:
            del self._connections[connection]
            writer.close()


def _enable_keepalive(writer: asyncio.StreamWriter) -> None:
    """Let the system detect clients that vanished without closing."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 60)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 10)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3)
