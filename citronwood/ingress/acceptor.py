"""Accepts connections one by one, as long as the budget admits them.

The servers of asyncio and libuv accept everything that waits in the backlog before the
first protocol can refuse anything, up to 4,096 descriptors at once.
"""

import asyncio
import logging
import socket
from collections.abc import Callable
from contextlib import suppress
from ssl import SSLContext
from time import monotonic
from typing import Any

from citronwood.decisions import log_state
from citronwood.ingress.budget import ConnectionBudget, Refused
from citronwood.metrics import Metrics

log = logging.getLogger(__name__)

# Connections that are accepted before other events are handled.
ACCEPT_BATCH = 64
# Pause after an error such as a lack of descriptors.
RETRY_AFTER_S = 0.2
# Sizes of the kernel's buffers of one connection. They count as memory of the process
# on the users' platform; the kernel doubles the values. Without them it may hold 32 MB
# of received data and 4 MB of answers for one connection.
RECEIVE_BUFFER_BYTES = 32 * 1024
SEND_BUFFER_BYTES = 16 * 1024
# Received data of another VM: a frame is about 128 KiB at most under load.
PEER_BUFFER_BYTES = 128 * 1024


def limit_kernel_buffers(listening: socket.socket) -> None:
    """Set the buffers of the connections that are accepted from now on."""
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


class Acceptor:
    """Listener that asks a ``ConnectionBudget`` before each connection.

    Each protocol must call ``budget.remove`` when its connection is lost. ``evict``
    closes a connection that the budget gives up for a new one. ``name`` is the first
    part of the metrics, ``refusal`` is sent to a caller whose connection is refused.
    """

    def __init__(
        self,
        listening: socket.socket,
        make_protocol: Callable[[], asyncio.BaseProtocol],
        budget: ConnectionBudget[Any],
        evict: Callable[[Any], None],
        metrics: Metrics,
        name: str,
        refusal: bytes = b"",
        on_refused: Callable[[], None] | None = None,
        ssl: SSLContext | None = None,
    ) -> None:
        listening.setblocking(False)
        self._listening = listening
        self._make_protocol = make_protocol
        self._budget = budget
        self._evict = evict
        self._metrics = metrics
        self._name = name
        self._refusal = refusal
        self._on_refused = on_refused
        self._ssl = ssl
        self._loop = asyncio.get_running_loop()
        self._is_closed = False
        self._attaching: set[asyncio.Task[None]] = set()
        self._loop.add_reader(listening, self._accept)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port, the actual one for port 0."""
        host, port = self._listening.getsockname()[:2]
        return str(host), int(port)

    def close(self) -> None:
        """Stop listening; open connections are not affected."""
        if not self._is_closed:
            self._is_closed = True
            self._loop.remove_reader(self._listening)
            self._listening.close()

    async def wait_closed(self) -> None:
        """Return at once, as the servers of asyncio do."""

    def _accept(self) -> None:
        for _ in range(ACCEPT_BATCH):
            try:
                accepted, _ = self._listening.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                # Without a pause, the event loop would call this method all the time.
                self._metrics.count(f"{self._name}.accept_failed")
                log_state(
                    log,
                    self._name,
                    "accept_failed",
                    f"entry: no connection accepted: {error}",
                )
                self._loop.remove_reader(self._listening)
                self._loop.call_later(RETRY_AFTER_S, self._resume)
                return
            self._admit(accepted)

    def _resume(self) -> None:
        if not self._is_closed:
            self._loop.add_reader(self._listening, self._accept)

    def _admit(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        given_up = self._budget.admit(monotonic())
        if given_up is Refused.REFUSED:
            self._metrics.count(f"{self._name}.refused.connections")
            log_state(
                log,
                self._name,
                "refused",
                f"entry: a connection was refused, {self._budget.open} are open",
                limit=self._budget.limit,
            )
            if self._refusal:
                with suppress(OSError):
                    accepted.send(self._refusal)
            accepted.close()
            if self._on_refused is not None:
                self._on_refused()
            return
        if given_up is not None:
            self._evict(given_up)
        task = self._loop.create_task(self._attach(accepted))
        self._attaching.add(task)
        task.add_done_callback(self._attaching.discard)

    async def _attach(self, accepted: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(
                self._make_protocol, accepted, ssl=self._ssl
            )
        except OSError:
            # With TLS, a failed handshake; without it, the protocol was not connected.
            accepted.close()
            self._budget.open -= 1


async def listen(
    host: str,
    port: int,
    backlog: int,
    make_protocol: Callable[[], asyncio.BaseProtocol],
    budget: ConnectionBudget[Any],
    evict: Callable[[Any], None],
    metrics: Metrics,
    name: str,
    refusal: bytes = b"",
    ssl: SSLContext | None = None,
) -> Acceptor:
    """Listen for callers; the simulation replaces this function."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.create_server((host, port), family=family, backlog=backlog)
    limit_kernel_buffers(listening)
    return Acceptor(
        listening, make_protocol, budget, evict, metrics, name, refusal, ssl=ssl
    )


async def accept_peers(
    listening: socket.socket,
    make_protocol: Callable[[], asyncio.BaseProtocol],
    budget: ConnectionBudget[Any],
    evict: Callable[[Any], None],
    metrics: Metrics,
    on_refused: Callable[[], None],
) -> Acceptor:
    """Accept connections of other VMs; the simulation replaces this function."""
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PEER_BUFFER_BYTES)
    return Acceptor(
        listening,
        make_protocol,
        budget,
        evict,
        metrics,
        "inner",
        on_refused=on_refused,
    )
