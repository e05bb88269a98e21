"""Pace of loops that call the store again and again.

A watch waits at the store, so a loop of watches needs no pause of its own while
the store behaves. One that answers at once, whatever it is asked, would turn
the loop into as many calls as the network carries.
"""

import anyio

__all__ = ["MAX_QUICK_ROUNDS", "ROUND_INTERVAL_S", "RoundPacer"]

# Mean time between the rounds of a loop, in seconds, after the first ones.
ROUND_INTERVAL_S = 0.1

# Rounds without a pause, so that changes in quick succession are not delayed.
MAX_QUICK_ROUNDS = 5


class RoundPacer:
    """Delays the rounds of a loop that goes round too often.

    Rounds that are farther apart than `ROUND_INTERVAL_S` are never delayed.

    References:
        Generic cell rate algorithm, ITU-T I.371.
    """

    def __init__(self):
        # When the next round is due at the mean rate, in seconds.
        self._due_at = 0.0

    async def wait(self) -> None:
        """Waits until another round may begin."""
        now = anyio.current_time()
        tolerance_s = (MAX_QUICK_ROUNDS - 1) * ROUND_INTERVAL_S
        self._due_at = max(self._due_at, now)
        delay_s = self._due_at - tolerance_s - now
        self._due_at += ROUND_INTERVAL_S
        if delay_s > 0:
            await anyio.sleep(delay_s)
