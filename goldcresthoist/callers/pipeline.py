"""Order of the responses on one connection.

Requests that a caller pipelines may run concurrently, but their responses must be sent
in the order of the requests (RFC 9112, section 9.3.2). Each response has a writer. The
writer whose turn it is writes to the connection, the others hold their data.
"""

import asyncio
from collections import deque

from goldcresthoist.callers.errors import CallerGone

__all__ = [
    "MAX_CONCURRENT_REQUESTS",
    "MAX_HELD_BYTES",
    "ResponseOrder",
    "ResponseWriter",
]

# Requests of one connection that are under way at once, finished ones that wait for
# their turn included. Upstreams have 3 to 5 slots, so one connection takes about the
# slots of two of them and leaves the others of a service to other callers.
MAX_CONCURRENT_REQUESTS = 8
# Bytes that one connection holds for responses whose turn has not come. Each of them
# may exceed the limit by one write, because the first bytes of a response are written
# without waiting. The limit is that of unread request bodies.
MAX_HELD_BYTES = 128 * 1024


class ResponseOrder:
    """Sends the responses on one connection in the order of their requests.

    Parameters
    ----------
    connection
        Has ``transport``, ``closed``, ``write_paused``, ``drain()``, ``abort()`` and
        ``reset()`` of a `CallerConnection`.
    on_change : callable
        Called without arguments when another request may be started, or none any more.

    Attributes
    ----------
    writers : deque of ResponseWriter
        Writers of the requests under way, in the order of the requests.
    held_bytes : int
        Bytes that they hold.
    closing : bool
        Whether the last response on the connection is known.
    cancelled : int
        Number of requests that were started and get no response because an earlier
        response closes the connection.
    """

    def __init__(self, connection, on_change):
        self.connection = connection
        self.on_change = on_change
        self.writers = deque()
        self.held_bytes = 0
        self.closing = False
        self.cancelled = 0

    def open(self):
        """Return the writer of the response to the next request."""
        writer = ResponseWriter(self)
        self.writers.append(writer)
        return writer

    def has_room(self):
        """Return whether a request may be started beside those under way."""
        return len(self.writers) < MAX_CONCURRENT_REQUESTS and self.may_hold()

    def may_hold(self):
        """Return whether a response whose turn has not come may hold more data."""
        return self.held_bytes < MAX_HELD_BYTES and not self.connection.write_paused

    def end_after(self, writer):
        """Make a response the last one and cancel the requests behind it."""
        if writer not in self.writers:
            return
        self.closing = True
        while self.writers and self.writers[-1] is not writer:
            self.writers.pop().drop()
            self.cancelled += 1
        self.on_change()

    def break_off(self, writer, reset):
        """End the connection because a response cannot be completed.

        If the response is the first one, the connection is aborted at once, by a reset
        if ``reset`` is true. Otherwise nothing of it has been sent: it is discarded,
        and the responses in front are the last ones.
        """
        if writer.broken or writer not in self.writers:
            return
        if writer.is_first():
            if reset:
                self.connection.reset()
            else:
                self.connection.abort()
        else:
            writer.broken = True
            writer.discard_held()
        self.end_after(writer)

    def release(self, writer):
        """Record that the handler has ended; its response is complete or broken off."""
        writer.task = None
        if writer.dropped:
            return
        writer.ended = True
        while self.writers and self.writers[0].ended:
            self.writers.popleft()
            if self.writers:
                self.writers[0].send_held()
        self.wake_waiters()
        self.on_change()

    def drop_all(self):
        """Cancel all requests because the connection has ended."""
        while self.writers:
            self.writers.pop().drop()

    def wake_waiters(self):
        """Resume the handlers that wait for their turn or for room."""
        for writer in self.writers:
            if writer.waiter is not None and not writer.waiter.done():
                writer.waiter.set_result(None)


class ResponseWriter:
    """Takes the bytes of one response.

    Attributes
    ----------
    task : asyncio.Task or None
        Task to be cancelled with the request; None if the request runs alone.
    held : list of bytes
        Data that waits for the turn of the response.
    ended : bool
        Whether the handler of the request has ended.
    broken : bool
        Whether the response broke off before its turn. Nothing of it is sent.
    dropped : bool
        Whether the request was cancelled. Nothing more of its response is sent.
    """

    __slots__ = ("broken", "dropped", "ended", "held", "order", "task", "waiter")

    def __init__(self, order):
        self.order = order
        self.task = None
        self.held = []
        self.ended = False
        self.broken = False
        self.dropped = False
        self.waiter = None

    @property
    def closed(self):
        """Whether the caller can no longer get this response."""
        return self.dropped or self.broken or self.order.connection.closed

    def is_first(self):
        """Return whether it is the turn of this response."""
        writers = self.order.writers
        return bool(writers) and writers[0] is self

    def write(self, data):
        """Send data, or hold it until it is the turn of this response."""
        if self.dropped or self.broken:
            return
        if self.is_first():
            self.order.connection.transport.write(data)
        else:
            self.held.append(data)
            self.order.held_bytes += len(data)

    async def drain(self):
        """Wait until more data is accepted.

        Raises
        ------
        CallerGone
            When the caller can no longer get this response.
        """
        while not self.closed and not self.is_first() and not self.order.may_hold():
            self.waiter = asyncio.get_running_loop().create_future()
            try:
                await self.waiter
            finally:
                self.waiter = None
        if self.closed:
            raise CallerGone("the response can no longer be sent")
        if self.is_first():
            await self.order.connection.drain()

    def end_connection(self):
        """Make this response the last one on the connection."""
        self.order.end_after(self)

    def abort(self, reset=True):
        """End the connection because this response cannot be completed."""
        self.order.break_off(self, reset)

    def send_held(self):
        """Send the held data because it is the turn of this response now."""
        if self.held:
            self.order.connection.transport.write(b"".join(self.held))
            self.discard_held()

    def discard_held(self):
        """Forget the held data."""
        self.order.held_bytes -= sum(map(len, self.held))
        self.held.clear()

    def drop(self):
        """Cancel the request; its response is not sent."""
        self.dropped = True
        self.discard_held()
        if self.task is not None:
            self.task.cancel()
            self.task = None
