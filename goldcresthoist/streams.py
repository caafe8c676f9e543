"""Body streams between one producer and one consumer of the same event loop."""

import asyncio
from collections import deque

__all__ = ["BodyStream", "CreditWindow"]


class BodyStream:
    """Body bytes that were received and not yet consumed.

    The producer calls `feed`, `end` and `fail` and is told by ``on_consumed(size)``
    how many bytes the consumer took, so that it can grant more credit or resume
    reading. There is one consumer.
    """

    __slots__ = ("chunks", "ended", "error", "on_consumed", "size", "waiter")

    def __init__(self, on_consumed=None):
        # Most bodies are empty or one chunk, so the queue is made when it is needed.
        self.chunks = ()
        self.size = 0
        self.ended = False
        self.error = None
        self.waiter = None
        self.on_consumed = on_consumed

    @property
    def exhausted(self):
        """Whether the body ended well and every byte was consumed."""
        return self.ended and not self.chunks and self.error is None

    def feed(self, data):
        """Add received bytes."""
        if data and self.error is None:
            if not self.chunks:
                self.chunks = deque((data,))
            else:
                self.chunks.append(data)
            self.size += len(data)
            if self.waiter is not None:
                self._wake()

    def end(self):
        """Mark the body as complete."""
        self.ended = True
        if not self.chunks:
            self._let_go()
        if self.waiter is not None:
            self._wake()

    def fail(self, error):
        """Make reads raise ``error``, unless the body is complete."""
        if not self.ended and self.error is None:
            self.error = error
            self._let_go()
            self._wake()

    def take(self):
        """Return all bytes that are here, without waiting."""
        if not self.chunks:
            return b""
        data = self.chunks[0] if len(self.chunks) == 1 else b"".join(self.chunks)
        self.chunks = ()
        self._consumed(len(data))
        return data

    async def read(self):
        """Return the next bytes, or ``b""`` after the end.

        Raises
        ------
        Exception
            The error the producer failed the stream with.
        """
        while not self.chunks:
            if self.error is not None:
                raise self.error
            if self.ended:
                return b""
            await self._wait()
        data = self.chunks.popleft()
        self._consumed(len(data))
        return data

    def put_back(self, data):
        """Make consumed bytes the next ones to be read."""
        self.chunks = deque((data, *self.chunks))
        self.size += len(data)

    async def read_up_to(self, limit):
        """Wait for ``limit`` bytes or the end; return at most ``limit`` bytes."""
        while self.size < limit and not self.ended:
            if self.error is not None:
                raise self.error
            await self._wait()
        data = b"".join(self.chunks)
        self.chunks = ()
        if len(data) > limit:
            self.chunks = deque((data[limit:],))
            data = data[:limit]
        self._consumed(len(data))
        return data

    def _consumed(self, size):
        self.size -= size
        if self.on_consumed is not None:
            self.on_consumed(size)
            if self.ended and not self.chunks:
                self._let_go()

    def _let_go(self):
        # The producer usually holds this stream. Without the reference back, both are
        # freed at once and not by the garbage collector, which would cost a pause.
        self.on_consumed = None

    async def _wait(self):
        self.waiter = asyncio.get_running_loop().create_future()
        try:
            await self.waiter
        finally:
            self.waiter = None

    def _wake(self):
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)


class CreditWindow:
    """Bytes that the peer allows one sender to send."""

    __slots__ = ("available", "error", "waiter")

    def __init__(self, available):
        self.available = available
        self.error = None
        self.waiter = None

    def grant(self, size):
        """Allow ``size`` more bytes."""
        self.available += size
        self._wake()

    def fail(self, error):
        """Make the waiting sender raise ``error``."""
        self.error = error
        self._wake()

    async def take(self, wanted):
        """Wait until something may be sent; return how much, at most ``wanted``."""
        await self.wait()
        size = min(wanted, self.available)
        self.available -= size
        return size

    async def wait(self):
        """Wait until something may be sent."""
        while self.available <= 0:
            if self.error is not None:
                raise self.error
            self.waiter = asyncio.get_running_loop().create_future()
            try:
                await self.waiter
            finally:
                self.waiter = None

    def _wake(self):
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)
