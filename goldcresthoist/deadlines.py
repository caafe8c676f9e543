"""Deadlines of a process that may be paused."""

import asyncio

from goldcresthoist.clock import monotonic

__all__ = ["PAUSE_GRACE_S", "deadline_at", "passed_in_pause"]

# The event loop was paused if it notices a deadline later than this after it.
PAUSE_S = 0.25
# Time to read what arrived during a pause.
PAUSE_GRACE_S = 0.1


def passed_in_pause(deadline, now):
    """Return whether a deadline passed while the process was paused.

    Timers run before sockets are read. What arrived during the pause must be read
    before a call ends for the lack of it.

    Parameters
    ----------
    deadline, now : float
        Monotonic seconds.
    """
    return now - deadline > PAUSE_S


class deadline_at:
    """Asynchronous context manager that raises TimeoutError at a deadline.

    If the deadline passed during a pause of the process, the body gets
    `PAUSE_GRACE_S` seconds more.

    Parameters
    ----------
    deadline : float
        Monotonic seconds.
    """

    def __init__(self, deadline):
        self.deadline = deadline
        self.timeout = asyncio.timeout(None)
        self.handle = None

    async def __aenter__(self):
        self._schedule()
        await self.timeout.__aenter__()

    async def __aexit__(self, kind, error, traceback):
        self.handle.cancel()
        return await self.timeout.__aexit__(kind, error, traceback)

    def advance(self, deadline):
        """Replace the deadline by another one if that is earlier."""
        if deadline < self.deadline:
            self.handle.cancel()
            self.deadline = deadline
            self._schedule()

    def _schedule(self):
        loop = asyncio.get_running_loop()
        self.handle = loop.call_later(max(0.0, self.deadline - monotonic()), self._end)

    def _end(self):
        loop = asyncio.get_running_loop()
        now = monotonic()
        if passed_in_pause(self.deadline, now):
            self.deadline = now + PAUSE_GRACE_S
            self.handle = loop.call_later(PAUSE_GRACE_S, self._end)
        else:
            self.timeout.reschedule(loop.time())
