"""Deadlines: times of the monotonic clock, in seconds."""

import asyncio
from time import monotonic


def deadline_in(seconds: float) -> float:
    """Return the deadline that is this many seconds from now."""
    return monotonic() + seconds


def time_left(deadline: float) -> float:
    """Return the seconds until the deadline, zero if it has passed."""
    return max(0.0, deadline - monotonic())


def has_passed(deadline: float) -> bool:
    """Return whether the deadline has passed."""
    return monotonic() >= deadline


def timeout_at(deadline: float) -> asyncio.Timeout:
    """Return a context manager that raises ``TimeoutError`` at the deadline."""
    return asyncio.timeout(time_left(deadline))
