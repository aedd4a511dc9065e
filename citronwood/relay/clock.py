"""Clock that includes the time during which this VM was suspended.

Leases and ages must also run while the VM is paused, but the monotonic clock stops
then.
"""

from time import CLOCK_BOOTTIME, clock_gettime


def now() -> float:
    """Return the seconds since the VM was booted, including pauses."""
    return clock_gettime(CLOCK_BOOTTIME)
