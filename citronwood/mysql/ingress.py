"""Limits for MySQL clients: their connections and the memory for their packets."""

import asyncio
import logging
from collections.abc import Callable
from time import monotonic
from typing import Any

from citronwood.decisions import log_state
from citronwood.ingress.budget import ConnectionBudget, HandlingBudget, Limits
from citronwood.metrics import Metrics

log = logging.getLogger(__name__)

# Packets up to this size belong to the cost of a connection.
SMALL_PACKET_BYTES = 4 * 1024
# Received bytes that a connection buffers before its packet is read.
READER_LIMIT_BYTES = 8 * 1024
# A packet of 1 MiB takes less over the slowest link that clients may use.
PACKET_TIMEOUT_S = 30.0
# Wait of a packet for memory, after which the packets that are still on their way are
# given up for it.
MEMORY_WAIT_S = 1.0


class ClientLimits:
    """Limits of one listener, and the connections that they apply to."""

    def __init__(self, limits: Limits, metrics: Metrics) -> None:
        self.connections: ConnectionBudget[ClientProtocol] = ConnectionBudget(
            limits.connections
        )
        # Packets are received and handled within the same memory.
        self.packets: HandlingBudget[ClientProtocol] = HandlingBudget(
            limits.buffered_bytes + limits.handled_bytes
        )
        # Connections whose long packet has begun, and the time of that.
        self.receiving: dict[ClientProtocol, float] = {}
        self.metrics = metrics

    def close(self, client: "ClientProtocol", reason: str) -> None:
        """Close a connection because of a limit."""
        self.metrics.count(f"callers.closed.{reason}")
        log_state(
            log,
            "callers",
            f"closed_{reason}",
            f"entry: the connection of a client was closed: {reason}",
            connections=self.connections.open,
            packet_bytes=self.packets.total,
        )
        client.abort()

    def evict(self, client: "ClientProtocol") -> None:
        """Close an idle connection for a new one."""
        self.close(client, "idle")

    def report(self) -> None:
        """Set the gauges of what is in use."""
        self.metrics.gauge("callers.connections", self.connections.open)
        self.metrics.gauge("callers.handled_bytes", self.packets.total)

    def release(self, client: "ClientProtocol") -> None:
        """Free the memory of a packet; admit those that wait for it."""
        self.receiving.pop(client, None)
        for admitted in self.packets.release(client):
            admitted.on_admitted()

    def give_up_incomplete(self, now: float) -> None:
        """Close the connections that take long to send the packet they have begun."""
        for client, began_at in [*self.receiving.items()]:
            if now - began_at >= MEMORY_WAIT_S:
                self.close(client, "buffered")
                self.release(client)


class ClientProtocol(asyncio.StreamReaderProtocol):
    """Stream of one client, listed in the limits as long as it lasts."""

    def __init__(self, limits: ClientLimits, serve: Callable[..., Any]) -> None:
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=READER_LIMIT_BYTES, loop=loop)
        super().__init__(reader, serve, loop=loop)
        self._limits = limits
        self._own_transport: asyncio.BaseTransport | None = None
        self._admission: asyncio.Future[None] | None = None
        self._is_lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """List the connection."""
        if self._own_transport is None:
            self._limits.connections.begin(self, monotonic())
            self._limits.report()
        self._own_transport = transport
        super().connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release everything that the connection holds."""
        if not self._is_lost:
            self._is_lost = True
            self._limits.connections.remove(self)
            self._limits.release(self)
            self._limits.report()
            self.on_admitted()
        super().connection_lost(exc)

    def abort(self) -> None:
        """Close the connection at once."""
        if isinstance(self._own_transport, asyncio.Transport):
            self._own_transport.abort()
        elif self._own_transport is not None:
            self._own_transport.close()

    def set_idle(self) -> None:
        """Allow that the connection is closed for a new one."""
        if not self._is_lost:
            self._limits.connections.set_idle(self, monotonic())

    def set_started(self) -> None:
        """Note that the client has logged in."""
        self._limits.connections.set_started(self)

    def set_busy(self) -> None:
        """Forbid that the connection is closed for a new one."""
        self._limits.connections.set_busy(self)

    async def reserve(self, size: int) -> None:
        """Wait for the memory of a packet.

        Raises ``ConnectionResetError`` when the connection is lost meanwhile.
        """
        while not self._limits.packets.take(self, size):
            self._admission = asyncio.get_running_loop().create_future()
            try:
                async with asyncio.timeout(MEMORY_WAIT_S):
                    await self._admission
                break
            except TimeoutError:
                self._limits.release(self)
                self._limits.give_up_incomplete(monotonic())
            finally:
                self._admission = None
        if self._is_lost:
            self._limits.release(self)
            raise ConnectionResetError("the connection of the client is lost")
        self._limits.receiving[self] = monotonic()

    def end_packet(self) -> None:
        """Note that the packet is complete and is handled from now on."""
        self._limits.receiving.pop(self, None)

    def give_up(self) -> None:
        """Close the connection, because its packet did not arrive in time."""
        self._limits.close(self, "slow_message")

    def release(self) -> None:
        """Free the memory of the last packet."""
        self._limits.release(self)

    def on_admitted(self) -> None:
        """Read the packet that has waited."""
        if self._admission is not None and not self._admission.done():
            self._admission.set_result(None)
