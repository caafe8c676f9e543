"""HTTP/1.1 server for callers."""

import asyncio
from collections import deque

from goldcresthoist.callers.errors import BadRequest, CallerError, CallerGone
from goldcresthoist.callers.exchange import Exchange
from goldcresthoist.callers.request import RequestParser
from goldcresthoist.http_fields import MAX_HEADER_BYTES

__all__ = ["CallerConnection", "CallerServer"]

HEAD_TIMEOUT_S = 15.0
IDLE_TIMEOUT_S = 120.0
SWEEP_INTERVAL_S = 5.0
MAX_UNREAD_BODY_BYTES = 128 * 1024
MAX_PIPELINED = 16
# Time in which a caller may finish a body after it got its answer.
DISCARD_LIMIT_S = 2.0


class CallerServer:
    """Accepts connections of callers and passes their requests to ``handler``.

    Parameters
    ----------
    handler : coroutine function
        ``handler(request, exchange)`` answers through the exchange.
    counters
        Has ``add(name, amount=1, **labels)``.
    begin : callable, optional
        ``begin(request, exchange)`` starts a request that arrived whole on an idle
        connection, before the task of the connection gets its turn. It may set
        ``exchange.begun`` to something with ``give_up()``, which is called when the
        handler does not get the request any more.
    """

    def __init__(self, handler, counters, begin=None):
        self.handler = handler
        self.begin = begin
        self.counters = counters
        self.connections = set()
        self.draining = False
        self.listener = None
        self.sweeper = None
        self.max_header_bytes = MAX_HEADER_BYTES
        self.head_timeout_s = HEAD_TIMEOUT_S
        self.idle_timeout_s = IDLE_TIMEOUT_S

    async def listen(self, host, port):
        """Start to accept connections."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=1024
        )
        self.sweeper = asyncio.create_task(self._sweep())

    @property
    def port(self):
        """The port that is listened on."""
        return self.listener.sockets[0].getsockname()[1]

    def start_draining(self):
        """Close idle connections and answer the others with ``Connection: close``.

        The listener stays open: a caller that does not know yet gets a refusal that
        says its request did not run, instead of a connection error.
        """
        self.draining = True
        for connection in tuple(self.connections):
            connection.close_if_idle()

    async def close(self):
        """Stop accepting and close every connection."""
        if self.sweeper is not None:
            self.sweeper.cancel()
        if self.listener is not None:
            self.listener.close()
        for connection in tuple(self.connections):
            connection.abort()
        await asyncio.sleep(0)

    async def _sweep(self):
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            for connection in tuple(self.connections):
                connection.close_if_overdue(now)


class CallerConnection(asyncio.Protocol):
    """One connection of a caller; a task answers its requests in order."""

    def __init__(self, server):
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.transport = None
        self.parser = RequestParser(
            self._on_request, self._on_consumed, server.max_header_bytes
        )
        self.requests = deque()
        self.current = None
        self.begun = None
        self.broken = None
        self.task = None
        self.request_waiter = None
        self.drain_waiter = None
        self.write_paused = False
        self.read_paused = False
        self.closed = False
        self.waiting_since = self.loop.time()

    def connection_made(self, transport):
        """Start the task of the connection."""
        self.transport = transport
        self.server.connections.add(self)
        self.task = self.loop.create_task(self._run())

    def data_received(self, data):
        """Parse bytes; the task is told of new requests."""
        if self.broken is not None:
            return
        try:
            self.parser.feed(data)
        except CallerError as exc:
            self.broken = exc
            self.parser.fail(exc)
            self._pause_reading()
            self._wake()
            return
        if self.requests and self.server.begin is not None:
            self._begin()
        self._adjust_reading()

    def eof_received(self):
        """Treat the end of the caller's bytes as the end of its interest."""
        return False

    def connection_lost(self, exc):
        """Cancel what runs for the caller."""
        self.closed = True
        self.server.connections.discard(self)
        self.parser.fail(CallerGone("the caller closed its connection"))
        if self.drain_waiter is not None and not self.drain_waiter.done():
            self.drain_waiter.set_exception(CallerGone("the caller is gone"))
        if self.task is not None:
            self.task.cancel()

    def pause_writing(self):
        """Make senders wait."""
        self.write_paused = True

    def resume_writing(self):
        """Let senders go on."""
        self.write_paused = False
        if self.drain_waiter is not None and not self.drain_waiter.done():
            self.drain_waiter.set_result(None)

    async def drain(self):
        """Wait until the caller has taken most of what was written."""
        if self.closed:
            raise CallerGone("the caller closed its connection")
        if self.write_paused:
            self.drain_waiter = self.loop.create_future()
            try:
                await self.drain_waiter
            finally:
                self.drain_waiter = None

    def abort(self):
        """Close at once; what was written may be lost."""
        self.transport.abort()

    def close_if_idle(self):
        """Close a connection that has no request and no bytes of one."""
        if self.current is None and not self.requests and not self.parser.in_head:
            self.transport.close()

    def close_if_overdue(self, now):
        """Close a connection that sent no complete head for too long."""
        if self.current is not None or self.requests:
            return
        server = self.server
        in_head = self.parser.in_head
        limit = server.head_timeout_s if in_head else server.idle_timeout_s
        if now - self.waiting_since > limit:
            self.server.counters.add("caller_connections_timed_out")
            self.transport.abort()

    def _on_request(self, request):
        self.requests.append(request)
        self._wake()

    def _begin(self):
        """Start the oldest request if it is whole and no other one is answered."""
        request = self.requests[0]
        idle = self.request_waiter is not None and self.begun is None
        if idle and request.body.ended:
            self.begun = Exchange(self, request, self.server.draining)
            self.server.begin(request, self.begun)

    def _wake(self):
        if self.request_waiter is not None and not self.request_waiter.done():
            self.request_waiter.set_result(None)

    def _on_consumed(self, size):
        if self.read_paused:
            self._adjust_reading()

    def _adjust_reading(self):
        waiting = len(self.requests) > MAX_PIPELINED
        if waiting or self._unread_bytes() > MAX_UNREAD_BODY_BYTES:
            self._pause_reading()
        elif self.read_paused and self.broken is None:
            self.read_paused = False
            self.transport.resume_reading()

    def _pause_reading(self):
        if not self.read_paused and not self.transport.is_closing():
            self.read_paused = True
            self.transport.pause_reading()

    def _unread_bytes(self):
        request = self.parser.request
        return request.body.size if request is not None and request.body else 0

    async def _next_request(self):
        while not self.requests:
            if self.broken is not None:
                return None
            self.request_waiter = self.loop.create_future()
            try:
                await self.request_waiter
            finally:
                self.request_waiter = None
        request = self.requests.popleft()
        if self.read_paused:
            self._adjust_reading()
        return request

    async def _run(self):
        try:
            while await self._answer_next():
                self.waiting_since = self.loop.time()
        except CallerGone:
            pass
        except CallerError as exc:
            self._refuse_and_close(exc)
        finally:
            if self.begun is not None and self.begun.begun is not None:
                self.begun.begun.give_up()
                self.begun = None
            self.transport.close()

    async def _answer_next(self):
        """Answer one request; return whether the connection goes on."""
        request = await self._next_request()
        if request is None:
            self._refuse_and_close(self.broken)
            return False
        exchange = self.begun or Exchange(self, request, self.server.draining)
        self.current = exchange
        self.begun = None
        try:
            await self.server.handler(request, exchange)
        finally:
            self.current = None
            if not exchange.finished:
                # A response that is not complete must not look complete.
                self.transport.abort()
        if request.body.ended:
            # A refused request leaves its body, which must not end the connection.
            request.body.take()
        if not request.body.exhausted:
            await self._discard_rest(request.body)
            return False
        if self.write_paused:
            # A caller that sends requests and reads no answers must not fill memory.
            await self.drain()
        return exchange.keep_alive

    async def _discard_rest(self, body):
        """Read what the caller still sends of a body that nobody wants.

        A connection that is closed with unread bytes is reset, which may destroy the
        answer before the caller has read it.
        """
        try:
            async with asyncio.timeout(DISCARD_LIMIT_S):
                while await body.read():
                    pass
        except (TimeoutError, CallerError):
            body.fail(BadRequest("the answer was sent before the body ended"))

    def _refuse_and_close(self, error):
        """Answer bytes that are not a request."""
        if self.closed or self.transport.is_closing():
            return
        exchange = Exchange(self, None, True)
        self.server.counters.add("refusals", code=error.code)
        exchange.refuse(error.code, str(error))
