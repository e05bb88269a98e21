"""Clock that also counts the time for which the machine was suspended."""

import asyncio
import time

__all__ = ["now"]


def now() -> float:
    """Current time of the event loop plus all suspended time, in seconds.

    The clock of the event loop stops while the machine is suspended, but other
    nodes go on. What a node may use for a bounded time is measured by this one.
    """
    suspended_s = time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(
        time.CLOCK_MONOTONIC
    )
    return asyncio.get_running_loop().time() + suspended_s
