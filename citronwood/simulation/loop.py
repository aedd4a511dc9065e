"""Event loop in virtual time, whose sockets belong to a simulated network."""

import asyncio
import socket
from collections.abc import Callable, Iterable
from contextvars import Context, copy_context
from typing import Any
from weakref import WeakSet

from citronwood.simulation.machine import Machine, current_machine, guard
from citronwood.simulation.network import Address, Network, SimulatedServer


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self._now = 0.0
        select = self._selector.select  # type: ignore[attr-defined]

        def advance(timeout: float | None) -> Any:
            if timeout:
                self._now += timeout
            return select(0)

        self._selector.select = advance  # type: ignore[attr-defined]

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now


class SimulatedLoop(VirtualLoop):
    """Event loop of simulated machines.

    A callback belongs to the machine of its context. While the machine is paused, its
    callbacks are held back, and those of a process that has ended never run.
    """

    def __init__(self) -> None:
        super().__init__()
        self.network = Network(self)
        self._connecting: dict[int, Any] = {}
        self._tasks: dict[Machine, WeakSet[asyncio.Task[Any]]] = {}
        # Kept until the end: clean-up code of ended processes must not run.
        self._abandoned: list[asyncio.Task[Any]] = []
        self.set_task_factory(self._create_task)

    def abandon_tasks(self, machine: Machine) -> None:
        """Leave the tasks of a process that has ended as they are."""
        self._abandon(self._tasks.pop(machine, ()))

    def abandon(self) -> None:
        """Close the loop with all of its tasks, which are not resumed any more."""
        self._abandon(asyncio.all_tasks(self))
        self.close()

    def _abandon(self, tasks: Iterable[asyncio.Task[Any]]) -> None:
        for task in tasks:
            # The attribute of tasks that suppresses a warning about this.
            task._log_destroy_pending = False  # type: ignore[attr-defined]
            self._abandoned.append(task)

    def _create_task(
        self, _: asyncio.AbstractEventLoop, coroutine: Any, **options: Any
    ) -> asyncio.Task[Any]:
        context = options.get("context") or copy_context()
        task: asyncio.Task[Any] = asyncio.Task(coroutine, loop=self, context=context)
        machine = context.get(current_machine)
        if machine is not None:
            self._tasks.setdefault(machine, WeakSet()).add(task)
        return task

    def call_soon(  # type: ignore[override]
        self,
        callback: Callable[..., Any],
        *arguments: Any,
        context: Context | None = None,
    ) -> asyncio.Handle:
        """Run a callback in the next round."""
        context = copy_context() if context is None else context
        handle: asyncio.Handle
        guarded = guard(context, callback, lambda: handle.cancelled())
        run_in = context if guarded is callback else Context()
        handle = super().call_soon(guarded, *arguments, context=run_in)
        return handle

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., Any],
        *arguments: Any,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Run a callback at a time."""
        context = copy_context() if context is None else context
        handle: asyncio.TimerHandle
        guarded = guard(context, callback, lambda: handle.cancelled())
        run_in = context if guarded is callback else Context()
        handle = super().call_at(when, guarded, *arguments, context=run_in)
        return handle

    def add_signal_handler(  # type: ignore[override]
        self, sig: int, callback: Callable[..., object], *arguments: Any
    ) -> None:
        """Install a handler on the current machine."""
        machine = current_machine.get()
        if machine is not None:
            machine.signal_handlers[sig] = lambda: callback(*arguments)

    async def sock_connect(self, sock: socket.socket, address: Any) -> None:
        """Connect to an address of the simulated network."""
        target = Address(address[0], address[1])
        self._connecting[sock.fileno()] = await self.network.connect(target)

    async def create_connection(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], Any],
        host: str | None = None,
        port: int | None = None,
        *,
        sock: socket.socket | None = None,
        **_: Any,
    ) -> tuple[Any, Any]:
        """Open a connection in the simulated network."""
        if sock is not None:
            connection = self._connecting.pop(sock.fileno())
            sock.close()
        else:
            assert host is not None
            assert port is not None
            connection = await self.network.connect(_checked(host, port))
        protocol = protocol_factory()
        return connection.attach(protocol), protocol

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], Any],
        host: str | None = None,
        port: int | None = None,
        *,
        sock: Any = None,
        **_: Any,
    ) -> SimulatedServer:
        """Listen in the simulated network."""
        if sock is not None:
            host, port = sock.getsockname()[:2]
        assert host is not None
        return self.network.listen(Address(host, port or 0), protocol_factory)


def _checked(host: str, port: int) -> Address:
    """Fail as the socket functions do for an unusable address."""
    host.encode("idna")
    if not 0 <= port < 65536:
        raise OverflowError("port must be 0-65535")
    return Address(host, port)
