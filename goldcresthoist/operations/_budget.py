"""Limit on the memory used by the unfinished parts of uploads."""

import asyncio
from collections import deque

__all__ = ["MemoryBudget"]


class MemoryBudget:
    """Counts the bytes in use against a limit, with a first-in, first-out wait queue.

    To avoid a deadlock between requests that each hold memory and wait for more, a
    request must store and release the bytes that it holds before it waits in
    `acquire`.

    Parameters
    ----------
    limit : int
        Maximum number of bytes in use. A larger request is granted while no bytes are
        in use.
    """

    def __init__(self, limit):
        self.limit = limit
        self.used = 0
        self.waiters = deque()

    def try_acquire(self, size):
        """Acquire bytes if there is room and no other request waits.

        Return whether the bytes were acquired.
        """
        if self.waiters or not self._fits(size):
            return False
        self.used += size
        return True

    async def acquire(self, size, deadline):
        """Acquire bytes, waiting for room; return False if the deadline passes."""
        if self.try_acquire(size):
            return True
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.append((waiter, size))
        try:
            async with asyncio.timeout_at(deadline):
                await waiter
            return True
        except BaseException as exc:
            self._remove_waiter(waiter, size)
            if isinstance(exc, TimeoutError):
                return False
            raise

    def release(self, size):
        """Release bytes and grant the waiting requests that fit now."""
        self.used -= size
        while self.waiters and self._fits(self.waiters[0][1]):
            waiter, wanted = self.waiters.popleft()
            if not waiter.done():
                self.used += wanted
                waiter.set_result(None)

    def _fits(self, size):
        return self.used == 0 or self.used + size <= self.limit

    def _remove_waiter(self, waiter, size):
        granted = waiter.done() and not waiter.cancelled()
        if granted:
            self.release(size)
        elif (waiter, size) in self.waiters:
            self.waiters.remove((waiter, size))
            self.release(0)
