"""Tasks that last as long as the process, whatever goes wrong in them."""

import collections.abc
import traceback

import anyio
import logbook

from medlardoor import logs

__all__ = ["keep_running"]

_LOG = logbook.Logger("supervision")

# Pause before a task that has failed is started again, in seconds. A defect
# that comes back at once must not use up the processor or the log.
RESTART_PAUSE_S = 0.5


async def keep_running(
    task: collections.abc.Callable[[], collections.abc.Awaitable[None]],
) -> None:
    """Runs a task and starts it again after an unexpected error.

    An error that leaves the task would end all others of its group and with
    them the process, and every request that it carries.

    Args:
        task: The task; it ends only by cancellation or an error.
    """
    while True:
        try:
            await task()
            return
        except Exception as error:  # noqa: BLE001
            logs.log_event(
                _LOG,
                logbook.ERROR,
                "task_failed",
                task=getattr(task, "__qualname__", repr(task)),
                error=repr(error),
                traceback="".join(traceback.format_exception(error)),
            )
        await anyio.sleep(RESTART_PAUSE_S)
