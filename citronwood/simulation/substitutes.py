"""Substitutes for the clocks, the random numbers and the sockets that the code uses.

The modules of the product take these from the standard library by name. While a
simulation runs, the names stand for the simulated ones.
"""

import asyncio
import random
import socket
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import ModuleType, SimpleNamespace
from typing import Any

from citronwood.ingress.acceptor import accept_peers, listen
from citronwood.simulation.loop import SimulatedLoop
from citronwood.simulation.machine import current_machine

# Modules of libraries that compare times of the monotonic clock.
LIBRARY_MODULES = ("aiohttp.connector",)
# Wall-clock time at the start of a simulation.
EPOCH_S = 1_760_000_000.0


class Clocks:
    """Clocks that follow the virtual time of a loop."""

    def __init__(self, loop: SimulatedLoop) -> None:
        self._loop = loop

    def monotonic(self) -> float:
        """Return the time in seconds; it is the time of the loop."""
        return self._loop.time()

    def clock_gettime(self, _: int) -> float:
        """Return the time since the boot of the current machine."""
        return self._loop.time() + 1000.0

    def time(self) -> float:
        """Return the time of day of the current machine."""
        machine = current_machine.get()
        offset_s = 0.0 if machine is None else machine.clock_offset_s
        return EPOCH_S + self._loop.time() + offset_s

    def time_ns(self) -> int:
        """Return the time of day in nanoseconds."""
        return int(self.time() * 1e9)


class Randomness:
    """Stands for the module ``secrets``."""

    def __init__(self, source: random.Random) -> None:
        self._source = source

    def token_hex(self, length: int = 32) -> str:
        """Return random hexadecimal digits."""
        return self._source.randbytes(length).hex()

    def randbits(self, count: int) -> int:
        """Return an integer of so many random bits."""
        return self._source.getrandbits(count)


class _ListeningSocket:
    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address

    def getsockname(self) -> tuple[str, int]:
        return self._address

    def setblocking(self, _: bool) -> None:
        return

    def close(self) -> None:
        return


def _create_server(address: tuple[str, int], **_: Any) -> _ListeningSocket:
    return _ListeningSocket(address)


async def _accept_peers(
    listening: Any, make_protocol: Callable[[], Any], budget: Any, *_: Any
) -> Any:
    loop = asyncio.get_running_loop()
    return await loop.create_server(_counted(make_protocol, budget), sock=listening)


async def _listen(
    host: str,
    port: int,
    _backlog: int,
    make_protocol: Callable[[], Any],
    budget: Any,
    *_: Any,
    **__: Any,
) -> Any:
    loop = asyncio.get_running_loop()
    return await loop.create_server(_counted(make_protocol, budget), host, port)


def _counted(make_protocol: Callable[[], Any], budget: Any) -> Callable[[], Any]:
    """Count connections, all of which are accepted in the simulated network."""

    def make_counted_protocol() -> Any:
        budget.open += 1
        return make_protocol()

    return make_counted_protocol


@contextmanager
def substituted(loop: SimulatedLoop, seed: int) -> Iterator[None]:
    """Replace clocks, random numbers and listening sockets in the loaded modules."""
    clocks = Clocks(loop)
    source = random.Random(seed)
    # ``random`` is used through the module's own generator.
    random_state = random.getstate()
    random.seed(seed)
    listening = SimpleNamespace(
        **{name: getattr(socket, name) for name in dir(socket) if name[0] != "_"}
    )
    listening.create_server = _create_server
    substitutes: dict[Any, Any] = {
        time.monotonic: clocks.monotonic,
        time.clock_gettime: clocks.clock_gettime,
        accept_peers: _accept_peers,
        listen: _listen,
    }
    modules: dict[ModuleType, Any] = {
        time: SimpleNamespace(time=clocks.time, time_ns=clocks.time_ns),
        sys.modules["secrets"]: Randomness(source),
        socket: listening,
    }
    replaced: list[tuple[ModuleType, str, Any]] = []
    for module in _product_modules():
        for name, value in list(vars(module).items()):
            try:
                new = substitutes.get(value)
            except TypeError:
                continue
            if isinstance(value, ModuleType):
                new = modules.get(value)
                if value is socket and module.__name__ != "citronwood.inner.listener":
                    new = None
            if new is not None:
                replaced.append((module, name, value))
                setattr(module, name, new)
    try:
        yield
    finally:
        random.setstate(random_state)
        for module, name, value in replaced:
            setattr(module, name, value)


def _product_modules() -> list[ModuleType]:
    return [
        module
        for name, module in sorted(sys.modules.items())
        if (name.startswith("citronwood.") or name in LIBRARY_MODULES)
        and not name.startswith("citronwood.simulation")
    ]
