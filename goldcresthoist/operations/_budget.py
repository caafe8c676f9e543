"""Limit on the memory that the bodies of uploads take."""

import asyncio
from collections import deque

__all__ = ["ByteBudget"]


class ByteBudget:
    """Counts bytes in use against a limit.

    A holder that finds no more room stores what it has and gives it back, so that
    holders of parts cannot wait for each other.

    Parameters
    ----------
    limit : int
        Most bytes in use; a single larger request is granted when nothing is in use.
    """

    def __init__(self, limit):
        self.limit = limit
        self.used = 0
        self.waiters = deque()

    def try_take(self, size):
        """Take bytes if there is room and nobody waits for it; return whether."""
        if self.waiters or not self._fits(size):
            return False
        self.used += size
        return True

    async def take(self, size, deadline):
        """Take bytes, waiting for room; return False if the deadline passes."""
        if self.try_take(size):
            return True
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.append((waiter, size))
        try:
            async with asyncio.timeout_at(deadline):
                await waiter
            return True
        except BaseException as exc:
            self._leave(waiter, size)
            if isinstance(exc, TimeoutError):
                return False
            raise

    def give(self, size):
        """Give bytes back."""
        self.used -= size
        while self.waiters and self._fits(self.waiters[0][1]):
            waiter, wanted = self.waiters.popleft()
            if not waiter.done():
                self.used += wanted
                waiter.set_result(None)

    def _fits(self, size):
        return self.used == 0 or self.used + size <= self.limit

    def _leave(self, waiter, size):
        granted = waiter.done() and not waiter.cancelled()
        if granted:
            self.give(size)
        elif (waiter, size) in self.waiters:
            self.waiters.remove((waiter, size))
            self.give(0)
