"""Runs a scenario in virtual time, which makes simulated loads deterministic."""

import pytest

from citronwood import deadline as deadline_module
from citronwood.simulation.loop import VirtualLoop


def run_virtually(scenario, *modules):
    """Run ``scenario(loop)`` in virtual time.

    ``modules`` are the modules that read the clock, besides ``citronwood.deadline``.
    """
    loop = VirtualLoop()
    with pytest.MonkeyPatch.context() as patch:
        for module in (deadline_module, *modules):
            clock = "monotonic" if hasattr(module, "monotonic") else "now"
            patch.setattr(module, clock, loop.time)
        try:
            return loop.run_until_complete(scenario(loop))
        finally:
            loop.close()
