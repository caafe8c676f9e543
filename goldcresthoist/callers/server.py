"""HTTP/1.1 server with keep-alive and pipelining."""

import asyncio
import select
import socket
import struct
from collections import deque

from goldcresthoist.callers.errors import BadRequest, CallerError, CallerGone
from goldcresthoist.callers.exchange import Exchange
from goldcresthoist.callers.limits import ConnectionLimits
from goldcresthoist.callers.pipeline import ResponseOrder
from goldcresthoist.callers.refusal import Outcome, Refusal
from goldcresthoist.callers.request import RequestParser

__all__ = ["CallerConnection", "CallerServer"]

SWEEP_INTERVAL_S = 5.0
MAX_UNREAD_BODY_BYTES = 128 * 1024
MAX_PIPELINED_REQUESTS = 16
# After the response was sent, the caller may still send for this long, and bytes that
# are no request up to this number. They are discarded.
DISCARD_TIMEOUT_S = 2.0
MAX_DISCARDED_BYTES = 1024 * 1024
# With a linger time of 0, closing a socket resets the connection.
_LINGER_ZERO = struct.pack("ii", 1, 0)


class CallerServer:
    """Accepts connections of callers and passes their requests to ``handler``.

    Parameters
    ----------
    handler : coroutine function
        ``handler(request, exchange)`` writes the response to the exchange.
    counters
        Metrics registry with ``add(name, amount=1, **labels)``.
    begin : callable, optional
        ``begin(request, exchange)`` is called synchronously when a complete request
        arrives on an idle connection, before the connection's task is scheduled.
        It may set ``exchange.begin_result`` to an object with a method
        ``cancel_pending()``, which is called if the connection ends before the handler
        is called.
    runs_beside : callable, optional
        ``runs_beside(request)`` returns whether a request may run while others of its
        connection do. It is called synchronously just before the handler. Without it,
        the requests of a connection run one after the other. It excludes ``begin``.

    Attributes
    ----------
    limits : ConnectionLimits
        Replaced by `set_limits`.
    """

    def __init__(self, handler, counters, begin=None, runs_beside=None):
        self.handler = handler
        self.begin = begin
        self.runs_beside = runs_beside
        self.counters = counters
        self.connections = set()
        self.draining = False
        self.listener = None
        self.sweep_task = None
        self.limits = ConnectionLimits()
        # Called with each unexpected exception of the handler.
        self.on_error = lambda error: None
        # Called with the numbers of requests that were cancelled and that were not
        # started because a response in front of them closed the connection.
        self.on_dropped = lambda cancelled, unread: None

    def set_limits(self, limits):
        """Replace the limits, also those of open connections."""
        self.limits = limits
        for connection in self.connections:
            connection.parser.limits = limits

    async def listen(self, host, port):
        """Start accepting connections."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=1024
        )
        self.sweep_task = asyncio.create_task(self._sweep())

    @property
    def port(self):
        """The TCP port of the listening socket."""
        return self.listener.sockets[0].getsockname()[1]

    def start_draining(self):
        """Close idle connections, and the others after their current response.

        The listener stays open, so that a caller that still connects receives a refusal
        with the outcome that its request was not executed, not a connection error.
        """
        self.draining = True
        for connection in tuple(self.connections):
            connection.close_if_idle()

    def unsent_bytes(self):
        """Return the number of bytes that callers have not accepted yet."""
        return self.held_bytes() + sum(
            connection.transport.get_write_buffer_size()
            for connection in self.connections
        )

    def held_bytes(self):
        """Return the bytes of responses that wait for an earlier one."""
        return sum(connection.order.held_bytes for connection in self.connections)

    async def close(self):
        """Stop accepting and close every connection."""
        if self.sweep_task is not None:
            self.sweep_task.cancel()
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
    """One connection of a caller, with a task that starts its requests in order.

    The task handles a request that runs alone itself. With a request that runs beside
    others it leaves the connection to a new task first. Nothing can run between the
    decision that a request runs beside others and the first step of its handler, so
    both see the same configuration.

    Attributes
    ----------
    task : asyncio.Task
        The task that starts the next request.
    order : ResponseOrder
        Requests under way and their responses.
    """

    def __init__(self, server):
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.transport = None
        self.parser = RequestParser(self._on_request, self._on_consumed, server.limits)
        self.pending_requests = deque()
        self.order = ResponseOrder(self, self._wake_task)
        self.begun_exchange = None
        self.parse_error = None
        # Whether input is discarded, because no further request is handled.
        self.discarding = False
        # Whether the caller closes the connection after its last request so far.
        self.caller_closes = False
        self.discarded_bytes = 0
        self.task = None
        self.request_waiter = None
        self.drain_waiter = None
        self.write_paused = False
        self.read_paused = False
        self.closed = False
        # Start of the wait for the head of the next request.
        self.waiting_since = self.loop.time()

    def connection_made(self, transport):
        """Start the task that handles requests."""
        self.transport = transport
        self.server.connections.add(self)
        self._start_task()

    def data_received(self, data):
        """Parse received bytes and wake the task when a request is ready."""
        if self.parse_error is not None or self.discarding:
            self.discarded_bytes += len(data)
            if self.discarded_bytes > MAX_DISCARDED_BYTES:
                self.transport.abort()
            return
        try:
            self.parser.feed(data)
        except CallerError as exc:
            self.server.counters.add("caller_input_errors", code=exc.code)
            self.parse_error = exc
            self.parser.fail(exc)
            self._resume_reading()
            self._wake_task()
            return
        if self.pending_requests and self.server.begin is not None:
            self._begin_early()
        if self.pending_requests and self.server.runs_beside is not None:
            # The body of the next request may be complete now.
            self._wake_task()
        self._update_reading()

    def eof_received(self):
        """Close a half-closed connection, as if the caller had disconnected."""
        return False

    def connection_lost(self, exc):
        """Fail the request body, wake a waiting sender and cancel the tasks."""
        self.closed = True
        self.server.connections.discard(self)
        self.parser.fail(CallerGone("the caller closed its connection"))
        if self.drain_waiter is not None and not self.drain_waiter.done():
            self.drain_waiter.set_exception(
                CallerGone("the caller closed its connection")
            )
        if self.task is not None:
            self.task.cancel()
        self.order.drop_all()

    def pause_writing(self):
        """Suspend senders in `drain`."""
        self.write_paused = True

    def resume_writing(self):
        """Resume senders that wait in `drain`."""
        self.write_paused = False
        if self.drain_waiter is not None and not self.drain_waiter.done():
            self.drain_waiter.set_result(None)
        self.order.wake_waiters()
        self._wake_task()

    async def drain(self):
        """Wait until the transport accepts more data."""
        if self.closed:
            raise CallerGone("the caller closed its connection")
        if self.write_paused:
            self.drain_waiter = self.loop.create_future()
            try:
                await self.drain_waiter
            finally:
                self.drain_waiter = None

    def abort(self):
        """Close immediately; buffered output may be lost."""
        self.transport.abort()

    def reset(self):
        """Close immediately, so that the caller gets a connection error."""
        sock = self.transport.get_extra_info("socket")
        if sock is not None and not self.closed:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
        self.transport.abort()

    @property
    def busy(self):
        """Whether requests are under way or wait to be handled."""
        return bool(self.order.writers or self.pending_requests)

    def close_if_idle(self):
        """Close the connection if no request is active, partly received or unread.

        Closing a socket with unread input resets the connection. The caller would not
        know whether its request was executed.
        """
        if not self.busy and not self.parser.in_head and not self._has_unread_input():
            self.transport.close()

    def _has_unread_input(self):
        sock = self.transport.get_extra_info("socket")
        if sock is None or self.closed:
            return False
        poller = select.poll()
        poller.register(sock.fileno(), select.POLLIN)
        return bool(poller.poll(0))

    def close_if_overdue(self, now):
        """Close the connection if no complete head arrives within the time limit."""
        if self.busy:
            return
        limits = self.server.limits
        in_head = self.parser.in_head
        limit = limits.head_timeout_s if in_head else limits.idle_timeout_s
        if now - self.waiting_since > limit:
            self.server.counters.add("caller_connections_timed_out")
            self.transport.abort()

    def _on_request(self, request):
        self.pending_requests.append(request)
        self.caller_closes = not request.keep_alive
        self._wake_task()

    def _begin_early(self):
        """Start the oldest request if it is complete and no other one is handled."""
        request = self.pending_requests[0]
        idle = self.request_waiter is not None and self.begun_exchange is None
        if idle and request.body.ended:
            self.begun_exchange = self._open_exchange(request)
            self.server.begin(request, self.begun_exchange)

    def _wake_task(self):
        if self.request_waiter is not None and not self.request_waiter.done():
            self.request_waiter.set_result(None)

    def _on_consumed(self, size):
        if self.read_paused:
            self._update_reading()

    def _update_reading(self):
        too_many_requests = len(self.pending_requests) > MAX_PIPELINED_REQUESTS
        if too_many_requests or self._unread_bytes() > MAX_UNREAD_BODY_BYTES:
            self._pause_reading()
        else:
            self._resume_reading()

    def _resume_reading(self):
        if self.read_paused and not self.transport.is_closing():
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
        """Wait until the next request can start; return None if there will be none.

        A request is pending until it starts, so that the connection is never idle in
        between.
        """
        while not self._may_start_next():
            ended = self.parse_error is not None and not self.pending_requests
            if not self.order.writers and (ended or self.order.closing):
                return None
            self.request_waiter = self.loop.create_future()
            try:
                await self.request_waiter
            finally:
                self.request_waiter = None
        request = self.pending_requests.popleft()
        if self.read_paused:
            self._update_reading()
        return request

    def _may_start_next(self):
        if not self.pending_requests:
            return False
        if self.server.runs_beside is None:
            return True
        if self.order.closing or self.write_paused:
            # A caller that does not read gets no more responses, as in `_handle_next`.
            return False
        if not self.order.writers:
            return True
        return self.order.has_room() and self._runs_beside(self.pending_requests[0])

    def _runs_beside(self, request):
        """Return whether a request may run while others of the connection do.

        One whose body is incomplete may not: its body could hold up the requests
        behind it, or turn out to be invalid.
        """
        runs_beside = self.server.runs_beside
        return runs_beside is not None and request.body.ended and runs_beside(request)

    def _open_exchange(self, request):
        exchange = Exchange(self.order.open(), request, self.server.draining)
        if not exchange.keep_alive:
            exchange.connection.end_connection()
        return exchange

    def _start_task(self):
        self.task = self.loop.create_task(self._run())

    def _is_current(self):
        """Return whether the running task is the one that starts requests."""
        return self.task is asyncio.current_task()

    async def _run(self):
        try:
            while await self._handle_next():
                self.waiting_since = self.loop.time()
                if not self._is_current():
                    return
            if self.parse_error is not None or self._expects_input():
                await self._linger()
        except CallerGone:
            pass
        except CallerError as exc:
            self._refuse(exc)
            await self._linger()
        finally:
            if self._is_current():
                self._end()

    def _end(self):
        """Close the connection because no further request is handled."""
        if (
            self.begun_exchange is not None
            and self.begun_exchange.begin_result is not None
        ):
            self.begun_exchange.begin_result.cancel_pending()
            self.begun_exchange = None
        if self.server.runs_beside is not None and self.order.closing:
            self._count_dropped()
        self.order.drop_all()
        self.transport.close()

    def _expects_input(self):
        """Return whether pipelined requests may arrive behind the last response."""
        receiving = self.parser.request is not None
        return self.server.runs_beside is not None and (
            receiving or not self.caller_closes
        )

    def _count_dropped(self):
        """Count the requests behind a response that closes the connection."""
        cancelled, unread = self.order.cancelled, len(self.pending_requests)
        if cancelled or unread:
            counters = self.server.counters
            counters.add("pipelined_dropped", cancelled, state="cancelled")
            counters.add("pipelined_dropped", unread, state="unread")
            self.server.on_dropped(cancelled, unread)

    async def _handle_next(self):
        """Handle one request; return whether the connection stays open.

        If the request runs beside others, another task starts the next ones, and the
        calling task must end.
        """
        request = await self._next_request()
        if request is None:
            if not self.order.closing:
                self._refuse(self.parse_error)
            return False
        is_concurrent = bool(self.order.writers) and self.begun_exchange is None
        exchange = self.begun_exchange or self._open_exchange(request)
        self.begun_exchange = None
        if self._runs_beside(request):
            if is_concurrent:
                self.server.counters.add("pipelined_requests")
            exchange.connection.task = self.task
            self._start_task()
            await self._respond(request, exchange)
            request.body.take()
            return True
        await self._respond(request, exchange)
        if request.body.ended:
            # The body of a refused request was received but not read. It is dropped, so
            # that the connection can stay open.
            request.body.take()
        if not request.body.exhausted:
            await self._discard_body(request.body)
            return False
        if self.write_paused:
            # This bounds the memory for a caller that sends requests but does not read
            # the responses.
            await self.drain()
        return exchange.keep_alive

    async def _respond(self, request, exchange):
        """Run the handler and make sure that it leaves no incomplete response."""
        try:
            await self.server.handler(request, exchange)
        except CallerGone:
            raise
        except CallerError as exc:
            # The handler may have acted on the valid part of the body.
            if not exchange.started:
                exchange.answer(Refusal(exc.code, str(exc), Outcome.UNKNOWN))
        except Exception as exc:
            # One request must not end the process or leave its caller without a
            # response.
            self.server.counters.add("messages_failed", kind="request")
            self.server.on_error(exc)
            if not exchange.started:
                message = "the request failed by an error of the daemon"
                exchange.answer(Refusal("internal-error", message, Outcome.UNKNOWN))
        finally:
            if not exchange.finished:
                # The caller must not take a truncated response for a complete one.
                exchange.connection.abort(reset=False)
            self.order.release(exchange.connection)

    async def _discard_body(self, body):
        """Read and discard the rest of a request body.

        Closing a socket with unread input resets the connection, and the caller may
        then lose the response before it has read it.
        """
        try:
            async with asyncio.timeout(DISCARD_TIMEOUT_S):
                while await body.read():
                    pass
        except (TimeoutError, CallerError):
            body.fail(
                BadRequest("the response was sent before the request body was complete")
            )

    async def _linger(self):
        """Discard what the caller still sends until it closes the connection.

        See `_discard_body` for the reason.
        """
        self.discarding = True
        if not self.closed and not self.transport.is_closing():
            self._resume_reading()
            self.transport.write_eof()
            await asyncio.sleep(DISCARD_TIMEOUT_S)

    def _refuse(self, error):
        """Send a refusal for input that is not a valid request."""
        if self.closed or self.transport.is_closing():
            return
        exchange = Exchange(self.order.open(), None, True)
        self.server.counters.add("refusals", code=error.code)
        exchange.refuse(error.code, str(error))
        self.order.release(exchange.connection)
