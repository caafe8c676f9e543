"""Detection of pauses of the process."""

import asyncio

from goldcresthoist.clock import monotonic

__all__ = ["PauseDetector"]

TICK_S = 0.1
# The process was paused if a tick is late by more than this.
PAUSE_S = 0.25
# What is read within this time after a pause may have arrived during the pause.
READ_WINDOW_S = 0.05


class PauseDetector:
    """Tells how old input may be that is read now.

    Times in messages, such as the time left for a call, count from their arrival. A
    process that was frozen, or whose machine was suspended, reads them later. It must
    not act on a permission that has run out meanwhile.

    Attributes
    ----------
    last_tick : float
        Time of the last sign of progress, on a clock that counts suspension.
    paused_s : float
        Length of the last pause in seconds.
    resumed_at : float
        End of that pause, on the same clock; minus infinity before the first one.
    """

    def __init__(self, clock=monotonic):
        self.clock = clock
        self.last_tick = clock()
        self.paused_s = 0.0
        self.resumed_at = float("-inf")

    async def run(self):
        """Watch the progress of the event loop until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self.tick()

    def tick(self):
        """Record progress, and a pause if the last one was long ago."""
        now = self.clock()
        gap_s = now - self.last_tick
        if gap_s > TICK_S + PAUSE_S:
            self.paused_s = gap_s
            self.resumed_at = now
        self.last_tick = now

    def input_age_s(self):
        """Return the largest age in seconds of input that is read now.

        It is 0 unless the process was paused just before.
        """
        self.tick()
        if self.last_tick - self.resumed_at <= READ_WINDOW_S:
            return self.paused_s
        return 0.0
