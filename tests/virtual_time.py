"""Event loop in virtual time, which makes simulated loads deterministic."""

import asyncio

import pytest

from citronwood import deadline as deadline_module


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer instead of waiting for it."""

    def __init__(self):
        super().__init__()
        self._now = 0.0
        select = self._selector.select

        def advance(timeout):
            if timeout:
                self._now += timeout
            return select(0)

        self._selector.select = advance

    def time(self):
        return self._now


def run_virtually(scenario, *modules):
    """Run ``scenario(loop)`` in virtual time.

    ``modules`` are the modules that read the clock, besides ``citronwood.deadline``.
    """
    loop = VirtualLoop()
    with pytest.MonkeyPatch.context() as patch:
        for module in (deadline_module, *modules):
            patch.setattr(module, "monotonic", loop.time)
        try:
            return loop.run_until_complete(scenario(loop))
        finally:
            loop.close()
