"""Cancellation of background tasks."""

import asyncio
from collections.abc import Iterable
from typing import Any

# Cancellation is repeated, because ``asyncio.wait_for`` of Python 3.11 loses it if a
# result arrives at the same moment. A cleanup that takes longer than this interval is
# cancelled as well.
CANCEL_RETRY_INTERVAL_S = 2.0


async def cancel_tasks(tasks: Iterable[asyncio.Task[Any] | None]) -> None:
    """Cancel tasks and wait until they have ended; None is ignored.

    Their results and exceptions are discarded.
    """
    pending = {task for task in tasks if task is not None}
    while pending:
        for task in pending:
            task.cancel()
        done, pending = await asyncio.wait(pending, timeout=CANCEL_RETRY_INTERVAL_S)
        # Retrieves the exceptions, so that asyncio does not log them.
        await asyncio.gather(*done, return_exceptions=True)
