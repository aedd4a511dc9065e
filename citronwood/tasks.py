"""Restart and cancellation of background tasks."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from citronwood.decisions import may_log

log = logging.getLogger(__name__)

# Pause before a loop that has failed starts again.
RESTART_DELAY_S = 0.5

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


async def keep_running(name: str, loop: Callable[[], Awaitable[None]]) -> None:
    """Run a loop, and start it again after an unexpected error.

    Without that, one malformed message would end a part of the process for good, while
    the rest of it seems to work.
    """
    while True:
        try:
            await loop()
        except Exception:
            if may_log(log, "task", name):
                log.exception(
                    "fleet: %s ended with an unexpected error and starts again", name
                )
        else:
            return
        await asyncio.sleep(RESTART_DELAY_S)
