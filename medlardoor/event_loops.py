"""The event loop that the programs run on."""

import asyncio
import collections.abc
import contextvars
import math
import typing

import uvloop

__all__ = ["BACKEND_OPTIONS", "EventLoop"]

_MS_PER_S = 1_000.0

# A clock that counts whole milliseconds is converted to seconds and back with
# an error far below this, in milliseconds.
_ROUNDING_ERROR_MS = 0.001


class EventLoop(uvloop.Loop):
    """Event loop whose timers never run before their time.

    The clock of uvloop counts whole milliseconds, and `call_at` rounds to the
    nearest one: a callback may run before its time, and one that is due in less
    than half a millisecond runs in the next turn. A timer that checks the clock
    and sets itself again, as the deadlines of anyio do, then runs in hundreds
    of turns without a wait until the clock has reached it.
    """

    def call_at(
        self,
        when: float,
        callback: collections.abc.Callable[..., typing.Any],
        *args: typing.Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedules a callback for a time of the loop's clock, rounded up.

        Args:
            when: Time, in seconds.
            callback: Called with `args`.
            *args: Arguments of the callback.
            context: Context to run it in; the current one if it is None.
        """
        now = self.time()
        delay_s = when - now
        if 0.0 < delay_s < math.inf:
            delay_ms = math.ceil(delay_s * _MS_PER_S - _ROUNDING_ERROR_MS)
            # The clock must show a time that is not before `when`.
            if (round(now * _MS_PER_S) + delay_ms) / _MS_PER_S < when:
                delay_ms += 1
            delay_s = delay_ms / _MS_PER_S
        return self.call_later(delay_s, callback, *args, context=context)


# Options of `anyio.run`.
BACKEND_OPTIONS: dict[str, typing.Any] = {"loop_factory": EventLoop}
