"""Ends of background tasks."""

import asyncio
import time

from citronwood import tasks as tasks_module
from citronwood.tasks import cancel_tasks


def test_task_that_loses_a_cancellation_is_cancelled_again(monkeypatch):
    """Guards against a stop that waits for ever.

    ``asyncio.wait_for`` of Python 3.11, with which the driver connects, returns its
    result when it is cancelled in the moment in which that arrives.
    """
    monkeypatch.setattr(tasks_module, "CANCEL_AGAIN_S", 0.05)

    async def watch(connected):
        await asyncio.wait_for(connected, 10)
        await asyncio.sleep(60)

    async def scenario():
        connected = asyncio.get_running_loop().create_future()
        watching = asyncio.create_task(watch(connected))
        await asyncio.sleep(0)
        connected.set_result(None)
        async with asyncio.timeout(5):
            await cancel_tasks([watching, None])
        assert watching.cancelled()

    started = time.monotonic()
    asyncio.run(scenario())
    assert time.monotonic() - started < 5


def test_errors_and_results_are_dropped():
    """Guards against a stop that fails with the error of a task it ends."""

    async def fail():
        raise ValueError("of a task")

    async def scenario():
        failing = asyncio.create_task(fail())
        waiting = asyncio.create_task(asyncio.sleep(60))
        await asyncio.sleep(0)
        await cancel_tasks([failing, waiting, None])
        assert (failing.done(), waiting.cancelled()) == (True, True)
        await cancel_tasks([])

    asyncio.run(scenario())
