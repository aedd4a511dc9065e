"""Cancellation of background tasks."""

import asyncio
import time

from citronwood import tasks as tasks_module
from citronwood.tasks import cancel_tasks


def test_lost_cancellation_is_repeated(monkeypatch):
    """Guards against a shutdown that never ends.

    In Python 3.11 ``asyncio.wait_for``, with which the driver connects, loses a
    cancellation that arrives together with the result, and returns the result.
    """
    monkeypatch.setattr(tasks_module, "CANCEL_RETRY_INTERVAL_S", 0.05)

    async def connect_and_wait(connected):
        await asyncio.wait_for(connected, 10)
        await asyncio.sleep(60)

    async def scenario():
        connected = asyncio.get_running_loop().create_future()
        task = asyncio.create_task(connect_and_wait(connected))
        await asyncio.sleep(0)
        connected.set_result(None)
        async with asyncio.timeout(5):
            await cancel_tasks([task, None])
        assert task.cancelled()

    started = time.monotonic()
    asyncio.run(scenario())
    assert time.monotonic() - started < 5


def test_errors_and_results_are_discarded():
    """Guards against a shutdown that fails with the error of a cancelled task."""

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


def test_loop_that_fails_starts_again(monkeypatch, caplog):
    # Guards against a part of the process that has ended while the rest goes on.
    caplog.set_level("INFO")
    monkeypatch.setattr(tasks_module, "RESTART_DELAY_S", 0.0)
    runs = []

    async def loop():
        runs.append(len(runs))
        if len(runs) < 3:
            raise ValueError("malformed")

    asyncio.run(tasks_module.keep_running("the loop", loop))
    assert runs == [0, 1, 2]
    assert "the loop ended with an unexpected error" in caplog.text
