"""Simulated machine: what runs on it may be paused, or end at any moment."""

from collections.abc import Callable
from contextvars import Context, ContextVar, copy_context
from typing import Any

# Machine on which the current callback or task runs; None for the outside world.
current_machine: ContextVar["Machine | None"] = ContextVar("machine", default=None)


class Machine:
    """Machine with one process.

    Parameters
    ----------
    name, host : str
        Name, and the address of all its sockets.
    clock_offset_s : float
        Difference of its time of day from the simulated time.
    """

    def __init__(self, name: str, host: str, clock_offset_s: float = 0.0) -> None:
        self.name = name
        self.host = host
        self.clock_offset_s = clock_offset_s
        self.is_running = False
        self.is_paused = False
        # Handlers of signals that the process has installed.
        self.signal_handlers: dict[int, Callable[[], object]] = {}
        self._process = 0
        self._held_callbacks: list[Callable[[], None]] = []

    @property
    def process(self) -> int:
        """Number of the current process; each start has a new one."""
        return self._process

    def start(self) -> Context:
        """Begin a process; return the context for its first task."""
        self._process += 1
        self.is_running = True
        self.is_paused = False
        self.signal_handlers = {}
        self._held_callbacks = []
        context = copy_context()
        context.run(current_machine.set, self)
        context.run(_current_process.set, self._process)
        return context

    def end(self) -> None:
        """End the process; nothing that belongs to it runs any more."""
        self.is_running = False
        self.is_paused = False
        self._held_callbacks = []

    def resume(self) -> None:
        """Run what was due during a pause, in the order in which it was due."""
        self.is_paused = False
        held, self._held_callbacks = self._held_callbacks, []
        for callback in held:
            callback()

    def run(self, process: int, callback: Callable[[], None]) -> None:
        """Run a callback of a process, later if it is paused, never if it has ended."""
        if process != self._process or not self.is_running:
            return
        if self.is_paused:
            self._held_callbacks.append(callback)
        else:
            callback()


_current_process: ContextVar[int] = ContextVar("process", default=0)


def owner_of(context: Context) -> tuple[Machine, int] | None:
    """Return the machine and the process to which a context belongs."""
    machine = context.get(current_machine)
    if machine is None:
        return None
    return machine, context.get(_current_process, 0)


def guard(
    context: Context, callback: Callable[..., Any], is_cancelled: Callable[[], bool]
) -> Callable[..., None]:
    """Return a callback that runs only while the process of its context runs."""
    owner = owner_of(context)
    if owner is None:
        return callback
    machine, process = owner

    def run(*arguments: Any) -> None:
        def call() -> None:
            if not is_cancelled():
                context.run(callback, *arguments)

        machine.run(process, call)

    return run
