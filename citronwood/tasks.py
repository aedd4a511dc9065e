"""Ends of background tasks."""

import asyncio
from collections.abc import Iterable
from typing import Any

# A cancellation can be lost in ``asyncio.wait_for`` of Python 3.11, which returns a
# result that arrives in the same moment. A slow cleanup is cancelled again.
CANCEL_AGAIN_S = 2.0


async def cancel_tasks(tasks: Iterable[asyncio.Task[Any] | None]) -> None:
    """Cancel tasks and wait until they have ended; None stands for no task.

    Their results and errors are dropped.
    """
    ending = {task for task in tasks if task is not None}
    while ending:
        for task in ending:
            task.cancel()
        done, ending = await asyncio.wait(ending, timeout=CANCEL_AGAIN_S)
        # Marks the errors as seen, so that they are not logged as forgotten.
        await asyncio.gather(*done, return_exceptions=True)
