"""Supervision of tasks that must run as long as the process."""

import collections.abc

import anyio
import logbook

from medlardoor import logs

__all__ = ["keep_running"]

_LOG = logbook.Logger("supervision")

# Pause before a failed task is restarted, in seconds. It limits the processor
# time and the log volume of a task that fails again at once.
RESTART_PAUSE_S = 0.5


async def keep_running(
    task: collections.abc.Callable[[], collections.abc.Awaitable[None]],
) -> None:
    """Runs a task and restarts it after an unexpected exception.

    An unhandled exception would cancel all other tasks of the group and end the
    process, along with every request in progress.

    Args:
        task: The task; it ends only by cancellation or an exception.
    """
    while True:
        try:
            await task()
            return
        except Exception as error:  # noqa: BLE001
            name = getattr(task, "__qualname__", repr(task))
            logs.log_exception(_LOG, "task_failed", error, task=name)
        await anyio.sleep(RESTART_PAUSE_S)
