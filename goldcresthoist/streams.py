"""Body streams with flow control, for a producer and a consumer on one event loop."""

import asyncio
from collections import deque

__all__ = ["BodyStream", "CreditWindow"]


# Pieces of less than this size are joined into larger ones, of up to the second size. A
# body in chunks of one byte would otherwise take 50 times its size in memory.
SMALL_PIECE_BYTES = 512
MAX_JOINED_BYTES = 16 * 1024


class BodyStream:
    """Buffer of the body bytes that were received and not yet consumed.

    The producer calls `feed`, `end` and `fail`. There is a single consumer.

    Parameters
    ----------
    on_consumed : callable, optional
        Called with the number of bytes after each read, so that the producer can
        grant more credit or resume reading.
    """

    __slots__ = ("chunks", "ended", "error", "on_consumed", "size", "waiter")

    def __init__(self, on_consumed=None):
        # Most bodies are empty or have a single chunk, so the deque is created only
        # when data arrives.
        self.chunks = ()
        self.size = 0
        self.ended = False
        self.error = None
        self.waiter = None
        self.on_consumed = on_consumed

    @property
    def exhausted(self):
        """Whether the body is complete and every byte of it was consumed."""
        return self.ended and not self.chunks and self.error is None

    def feed(self, data):
        """Add received bytes."""
        if data and self.error is None:
            if not self.chunks:
                self.chunks = deque((data,))
            elif len(data) < SMALL_PIECE_BYTES:
                self._append_small(data)
            else:
                self.chunks.append(data)
            self.size += len(data)
            if self.waiter is not None:
                self._wake_waiter()

    def end(self):
        """Mark the body as complete."""
        self.ended = True
        if not self.chunks:
            self._drop_callback()
        if self.waiter is not None:
            self._wake_waiter()

    def fail(self, error):
        """Make reads raise ``error``; has no effect after `end` or an earlier error."""
        if not self.ended and self.error is None:
            self.error = error
            self._drop_callback()
            self._wake_waiter()

    def take(self):
        """Return all buffered bytes without waiting; ``b""`` if there are none."""
        if not self.chunks:
            return b""
        data = b"".join(self.chunks)
        self.chunks = ()
        self._record_consumed(len(data))
        return data

    async def read(self):
        """Wait for the next chunk and return it, or ``b""`` at the end of the body.

        Raises
        ------
        Exception
            The error that the producer passed to `fail`.
        """
        while not self.chunks:
            if self.error is not None:
                raise self.error
            if self.ended:
                return b""
            await self._wait_for_change()
        data = bytes(self.chunks.popleft())
        self._record_consumed(len(data))
        return data

    def unread(self, data):
        """Put consumed bytes back in front of the buffered ones."""
        self.chunks = deque((data, *self.chunks))
        self.size += len(data)

    async def read_up_to(self, limit):
        """Wait for ``limit`` bytes or the end of the body.

        Returns at most ``limit`` bytes; the rest stays buffered.
        """
        while self.size < limit and not self.ended:
            if self.error is not None:
                raise self.error
            await self._wait_for_change()
        data = b"".join(self.chunks)
        self.chunks = ()
        if len(data) > limit:
            self.chunks = deque((data[limit:],))
            data = data[:limit]
        self._record_consumed(len(data))
        return data

    def _append_small(self, data):
        last = self.chunks[-1]
        if len(last) >= MAX_JOINED_BYTES:
            self.chunks.append(data)
        elif type(last) is bytearray:
            last += data
        else:
            self.chunks[-1] = bytearray(last) + data

    def _record_consumed(self, size):
        self.size -= size
        if self.on_consumed is not None:
            self.on_consumed(size)
            if self.ended and not self.chunks:
                self._drop_callback()

    def _drop_callback(self):
        # The producer usually holds a reference to this stream, so a callback of the
        # producer closes a reference cycle. Without the cycle, both are freed by
        # reference counting at once. The garbage collector would pause the daemon.
        self.on_consumed = None

    async def _wait_for_change(self):
        self.waiter = asyncio.get_running_loop().create_future()
        try:
            await self.waiter
        finally:
            self.waiter = None

    def _wake_waiter(self):
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)


class CreditWindow:
    """Flow-control window: the number of bytes that the peer lets a sender send."""

    __slots__ = ("available", "error", "waiter")

    def __init__(self, available):
        self.available = available
        self.error = None
        self.waiter = None

    def grant(self, size):
        """Add ``size`` bytes to the window."""
        self.available += size
        self._wake_waiter()

    def fail(self, error):
        """Make the waiting sender raise ``error``, and later ones without credit."""
        self.error = error
        self._wake_waiter()

    async def take(self, wanted):
        """Wait for credit; deduct and return at most ``wanted`` bytes of it."""
        await self.wait()
        size = min(wanted, self.available)
        self.available -= size
        return size

    async def wait(self):
        """Wait until at least one byte may be sent."""
        while self.available <= 0:
            if self.error is not None:
                raise self.error
            self.waiter = asyncio.get_running_loop().create_future()
            try:
                await self.waiter
            finally:
                self.waiter = None

    def _wake_waiter(self):
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)
