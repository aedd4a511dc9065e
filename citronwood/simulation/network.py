"""Network in memory: connections with delays, cuts, silence and resets.

Each direction of a connection keeps the order of its data. A connection to a machine
that runs, but has no listener at the port, is refused; to one without power or behind a
cut it hangs, as the platform's page on machines says.
"""

import asyncio
import random
from collections.abc import Callable
from contextvars import Context, copy_context
from typing import Any, NamedTuple, Protocol

from citronwood.simulation.machine import Machine, current_machine

# One-way delay between machines and its random part.
DELAY_S = 0.0014
JITTER_S = 0.0006
FIRST_FREE_PORT = 40000
# Interval at which the opening packet is sent again.
CONNECT_RETRY_S = 1.0
MIN_GAP_S = 1e-6
# Interval at which data that met a cut is sent again.
RETRANSMISSION_S = 0.2
OUTSIDE = "outside"
STORE_HOST, CLOUD_HOST = "10.200.1.7", "10.200.0.2"
# Extra information of a transport: when the data that it last received was sent.
SENT_AT = "sent_at"


class Address(NamedTuple):
    """Host and port of a listener."""

    host: str
    port: int


class Scheduler(Protocol):
    """Part of the event loop that the network uses."""

    def time(self) -> float:
        """Return the virtual time."""
        ...

    def call_at(
        self,
        when: float,
        callback: Callable[..., Any],
        *arguments: Any,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Run a callback at a time."""
        ...

    def abandon_tasks(self, machine: Machine) -> None:
        """Leave the tasks of a process that has ended as they are."""
        ...


class _Listener(NamedTuple):
    protocol_factory: Callable[[], Any]
    context: Context
    machine: Machine | None
    process: int


class Network:
    """Listeners and connections of all machines."""

    def __init__(self, loop: Scheduler) -> None:
        self._loop = loop
        self._listeners: dict[Address, _Listener] = {}
        self._next_port = FIRST_FREE_PORT
        self._connections: list[Connection] = []
        self.random = random.Random(0)
        # Pairs of hosts between which nothing passes, in this direction.
        self.cuts: set[tuple[str, str]] = set()
        # Further one-way delay by pair of hosts.
        self.delays: dict[tuple[str, str], float] = {}

    def listen(
        self, address: Address, protocol_factory: Callable[[], Any]
    ) -> "SimulatedServer":
        """Accept connections; port 0 selects a free port."""
        if not address.port:
            address = Address(address.host, self._next_port)
            self._next_port += 1
        known = self._listeners.get(address)
        if known is not None and _runs(known):
            raise OSError(98, f"address already in use: {address}")
        machine = current_machine.get()
        process = 0 if machine is None else machine.process
        listener = _Listener(protocol_factory, copy_context(), machine, process)
        self._listeners[address] = listener
        return SimulatedServer(self, address)

    def stop_listening(self, address: Address) -> None:
        """Refuse further connections."""
        self._listeners.pop(address, None)

    async def connect(self, address: Address) -> "Endpoint":
        """Return the near end of a new connection."""
        machine = current_machine.get()
        host = OUTSIDE if machine is None else machine.host
        await asyncio.sleep(self.delay(host, address.host))
        while True:
            if not (self.is_cut(host, address.host) or self.is_cut(address.host, host)):
                break
            await asyncio.sleep(CONNECT_RETRY_S)
        listener = self._listeners.get(address)
        if listener is not None and not _runs(listener):
            if listener.machine is not None and not listener.machine.is_running:
                await asyncio.sleep(self.delay(address.host, host))
            listener = None
        if listener is None:
            raise ConnectionRefusedError(111, f"no listener at {address}")
        connection = Connection(self, host, address, copy_context(), listener.context)
        self._connections.append(connection)
        self._loop.call_at(
            self._loop.time(),
            connection.far.accept,
            listener.protocol_factory,
            context=listener.context.copy(),
        )
        await asyncio.sleep(self.delay(address.host, host))
        return connection.near

    def is_cut(self, source: str, target: str) -> bool:
        """Whether nothing passes from one host to another."""
        return (source, target) in self.cuts

    def delay(self, source: str, target: str) -> float:
        """Return the one-way delay of the next packet."""
        extra = self.delays.get((source, target), 0.0)
        return DELAY_S + self.random.random() * JITTER_S + extra

    def reset(self, is_chosen: Callable[["Connection"], bool]) -> None:
        """Reset connections: both ends learn of it at once."""
        for connection in self._open_connections():
            if is_chosen(connection):
                connection.reset()

    def silence(self, is_chosen: Callable[["Connection"], bool]) -> None:
        """Let connections go silent for good, without a reset."""
        for connection in self._open_connections():
            if is_chosen(connection):
                connection.is_silent = True

    def end_process(self, machine: Machine) -> None:
        """Reset the connections of a process that has just ended."""
        self._loop.abandon_tasks(machine)
        for address, listener in list(self._listeners.items()):
            if listener.machine is machine:
                del self._listeners[address]
        self.reset(lambda each: machine.host in (each.source, each.target.host))

    def _open_connections(self) -> list["Connection"]:
        self._connections = [each for each in self._connections if not each.is_closed]
        return list(self._connections)

    def schedule(
        self,
        when: float,
        callback: Callable[..., Any],
        *arguments: Any,
        context: Context,
    ) -> None:
        """Run a callback of an end of a connection."""
        self._loop.call_at(when, callback, *arguments, context=context.copy())

    def time(self) -> float:
        """Return the virtual time."""
        return self._loop.time()


class Connection:
    """Connection between two ends."""

    def __init__(
        self,
        network: Network,
        source: str,
        target: Address,
        near_context: Context,
        far_context: Context,
    ) -> None:
        self.network = network
        self.source = source
        self.target = target
        self.is_silent = False
        self.near = Endpoint(self, source, target.host, near_context)
        self.far = Endpoint(self, target.host, source, far_context)
        self.near.other, self.far.other = self.far, self.near

    @property
    def is_closed(self) -> bool:
        """Whether both ends have been closed."""
        return self.near.is_lost and self.far.is_lost

    def reset(self) -> None:
        """Reset both ends."""
        for end in (self.near, self.far):
            error = ConnectionResetError(104, "connection reset by peer")
            end.schedule_lost(self.network.time(), error)


class Endpoint(asyncio.Transport):
    """End of a connection, and the transport of its protocol."""

    other: "Endpoint"

    def __init__(
        self, connection: Connection, host: str, peer: str, context: Context
    ) -> None:
        super().__init__()
        self._connection = connection
        self._network = connection.network
        self._host = host
        self._peer = peer
        self._context = context
        self._protocol: Any = None
        self._is_closing = False
        self._is_reading = True
        self._received: list[bytes | None] = []
        self._sent_until = 0.0
        self._unsent: list[tuple[float, bytes | None]] = []
        # Time at which the other end sent what was last received.
        self._received_sent_at = 0.0
        self.is_lost = False

    def attach(self, protocol: Any) -> "Endpoint":
        """Connect the protocol; return the transport."""
        self._protocol = protocol
        protocol.connection_made(self)
        self._deliver_received()
        return self

    def accept(self, protocol_factory: Callable[[], Any]) -> None:
        """Create the protocol of an accepted connection."""
        if not self.is_lost:
            self.attach(protocol_factory())

    # Interface of transports.

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the addresses or the age of received data; there is no socket."""
        if name == "peername":
            return (self._peer, 0)
        if name == "sockname":
            return (self._host, 0)
        if name == SENT_AT:
            return self._received_sent_at
        return default

    def is_closing(self) -> bool:
        """Whether the transport is closing."""
        return self._is_closing

    def set_protocol(self, protocol: Any) -> None:
        """Replace the protocol."""
        self._protocol = protocol

    def get_protocol(self) -> Any:
        """Return the protocol."""
        return self._protocol

    def is_reading(self) -> bool:
        """Whether received data is passed on."""
        return self._is_reading

    def pause_reading(self) -> None:
        """Keep received data."""
        self._is_reading = False

    def resume_reading(self) -> None:
        """Pass received data on."""
        self._is_reading = True
        self._deliver_received()

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Do nothing: writers are never paused."""

    def get_write_buffer_size(self) -> int:
        """Return the bytes that the network does not take while it is cut."""
        return sum(len(data or b"") for _, data in self._unsent)

    def write(self, data: Any) -> None:
        """Send data to the other end."""
        if not self._is_closing and data:
            self._send(bytes(data))

    def writelines(self, list_of_data: Any) -> None:
        """Send several pieces of data."""
        self.write(b"".join(bytes(data) for data in list_of_data))

    def write_eof(self) -> None:
        """Tell the other end that nothing more follows."""
        self._send(None)

    def can_write_eof(self) -> bool:
        """Whether the end of the data can be sent."""
        return True

    def close(self) -> None:
        """Close after the data has been sent."""
        if not self._is_closing:
            self._is_closing = True
            self._send(None)
            self.schedule_lost(self._network.time(), None)

    def abort(self) -> None:
        """Close at once; the other end sees a reset."""
        if self.is_lost:
            return
        self._is_closing = True
        self.schedule_lost(self._network.time(), None)
        if not self._is_blocked():
            error = ConnectionResetError(104, "connection reset by peer")
            self.other.schedule_lost(self._arrival(), error)

    # Passage of data.

    def _is_blocked(self) -> bool:
        return self._connection.is_silent or self._network.is_cut(
            self._host, self._peer
        )

    def _arrival(self) -> float:
        at = self._network.time() + self._network.delay(self._host, self._peer)
        # Timers of the same time do not keep their order.
        self._sent_until = max(at, self._sent_until + MIN_GAP_S)
        return self._sent_until

    def _send(self, data: bytes | None) -> None:
        self._unsent.append((self._network.time(), data))
        if len(self._unsent) == 1:
            self._pass_on()

    def _pass_on(self) -> None:
        """Send what is queued; while the way is cut, try again later."""
        if self.is_lost:
            self._unsent.clear()
        elif self._is_blocked():
            if not self._connection.is_silent:
                self._network.schedule(
                    self._network.time() + RETRANSMISSION_S,
                    self._pass_on,
                    context=self._context,
                )
        else:
            for sent_at, data in self._unsent:
                self._network.schedule(
                    self._arrival(),
                    self.other.receive,
                    data,
                    sent_at,
                    context=self.other._context,
                )
            self._unsent.clear()

    def receive(self, data: bytes | None, sent_at: float) -> None:
        """Take data from the other end; None is the end of the data."""
        if self.is_lost or self._connection.is_silent:
            return
        self._received_sent_at = sent_at
        self._received.append(data)
        self._deliver_received()

    def _hand_over(self, data: bytes) -> None:
        if not isinstance(self._protocol, asyncio.BufferedProtocol):
            self._protocol.data_received(data)
            return
        while data:
            view = memoryview(self._protocol.get_buffer(len(data)))
            count = min(len(view), len(data))
            view[:count] = data[:count]
            self._protocol.buffer_updated(count)
            data = data[count:]

    def _deliver_received(self) -> None:
        while self._received and self._is_reading and self._protocol is not None:
            data = self._received.pop(0)
            if data is not None:
                self._hand_over(data)
            elif not self._protocol.eof_received():
                self.close()

    def schedule_lost(self, when: float, error: Exception | None) -> None:
        """Report the loss of the connection to the protocol."""
        self._network.schedule(when, self._lose, error, context=self._context)

    def _lose(self, error: Exception | None) -> None:
        if self.is_lost:
            return
        self.is_lost = self._is_closing = True
        if self._protocol is not None:
            self._protocol.connection_lost(error)


class SimulatedServer:
    """Listener; has what is used of ``asyncio.Server``."""

    def __init__(self, network: Network, address: Address) -> None:
        self._network = network
        self._address = address
        self.sockets = (_SocketName(address),)

    @property
    def address(self) -> Address:
        """Address of the listener."""
        return self._address

    def close(self) -> None:
        """Refuse further connections."""
        self._network.stop_listening(self._address)

    async def wait_closed(self) -> None:
        """Return at once: connections that are open end by themselves."""

    def is_serving(self) -> bool:
        """Whether connections are accepted."""
        return True

    async def start_serving(self) -> None:
        """Do nothing, connections are accepted from the start."""


class _SocketName:
    def __init__(self, address: Address) -> None:
        self._address = address

    def getsockname(self) -> tuple[str, int]:
        """Return the address."""
        return (self._address.host, self._address.port)


def _runs(listener: _Listener) -> bool:
    machine = listener.machine
    return machine is None or (
        machine.is_running and machine.process == listener.process
    )
