"""Ends of background tasks."""

import asyncio
from collections.abc import Iterable
from typing import Any


async def cancel_tasks(tasks: Iterable[asyncio.Task[Any] | None]) -> None:
    """Cancel tasks and wait until they have ended; None stands for no task.

    Their results and errors are dropped.
    """
    ending = [task for task in tasks if task is not None]
    for task in ending:
        task.cancel()
    await asyncio.gather(*ending, return_exceptions=True)
