"""One persistent HTTP/1.1 connection, to an upstream or the platform's store."""

import asyncio
import select

import httptools

from goldcresthoist.clock import monotonic
from goldcresthoist.framing import (
    CHUNK_FRAMING_BYTES,
    FIELD_FRAMING_BYTES,
    FramingMeter,
)
from goldcresthoist.http_fields import BODYLESS_STATUSES, MAX_HEADER_BYTES, header_value
from goldcresthoist.streams import BodyStream
from goldcresthoist.upstreams.errors import UpstreamBroken

__all__ = ["UpstreamResponse", "UpstreamConnection"]

# Reading from the socket is paused while more received body bytes than this wait to be
# consumed.
MAX_UNREAD_BODY_BYTES = 128 * 1024
SWITCHING_PROTOCOLS = 101


class UpstreamResponse:
    """Head of a response, and its body as a stream.

    Attributes
    ----------
    status : int
        Status code; 0 until the head is complete.
    headers : list of (bytes, bytes)
        Names, in lower case, and values.
    body : BodyStream
    """

    __slots__ = ("body", "headers", "status")

    def __init__(self, body):
        self.status = 0
        self.headers = []
        self.body = body


class UpstreamConnection(asyncio.Protocol):
    """Sends one request at a time and parses its response.

    Parameters
    ----------
    on_lost : callable
        ``on_lost(connection)`` is called once, when the connection has ended.

    Attributes
    ----------
    on_response_head : callable or None
        ``on_response_head(answer)`` is called with the `UpstreamResponse` when the head
        of a response has arrived.
    busy : bool
        Whether an exchange has started and the connection was not released since.
    complete : bool
        Whether the response of the exchange is complete.
    reusable : bool
        Whether the connection may be used for another request.
    bodyless : bool
        Whether the response has no body, because of the request method or the status.
    head_bytes : int
        Bytes of the header fields of the response, interim responses included.
    closed : bool
        Whether the connection has ended.
    closed_locally : bool
        Whether this side closed the connection.
    closed_by_peer : bool
        Whether the upstream, and not this side, ended the connection.
    serial, serial_at_checkout : int
        Set by `ConnectionPool`, which describes them.
    sent_at, lost_at : float
        Monotonic times at which the last request was sent and the connection ended; 0
        before.
    """

    def __init__(self, on_lost):
        self.on_lost = on_lost
        self.loop = asyncio.get_running_loop()
        self.on_response_head = None
        self.transport = None
        self.poller = None
        self.parser = None
        self.answer = None
        self.head_waiter = None
        self.drain_waiter = None
        self.write_paused = False
        self.read_paused = False
        self.busy = False
        self.complete = False
        self.bodyless = False
        self.head_bytes = 0
        self.meter = FramingMeter(MAX_HEADER_BYTES)
        # Bytes of the framing of the current chunk that may still count as content.
        self.chunk_framing = 0
        self.reusable = True
        self.closed = False
        self.closed_locally = False
        self.closed_by_peer = False
        self.serial = 0
        self.serial_at_checkout = 0
        self.sent_at = 0.0
        self.lost_at = 0.0

    def connection_made(self, transport):
        """Store the transport and prepare the check for unexpected bytes."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        self.poller = select.poll()
        self.poller.register(sock.fileno(), select.POLLIN)

    def is_clean(self):
        """Return whether a new request may be sent.

        When the socket is readable before a request is sent, it holds bytes that belong
        to no request, or the connection has ended. Such bytes must not be taken for the
        next response.
        """
        return not self.closed and self.reusable and not self.poller.poll(0)

    def expect(self, request_id):
        """Set the id of the next request, for connections that check it."""

    def send(self, data, is_head_request):
        """Start an exchange: send a request head with the first body bytes.

        Parameters
        ----------
        data : bytes
        is_head_request : bool
            Whether the method is HEAD, so that the response has no body.
        """
        self.busy = True
        self.complete = False
        self.sent_at = monotonic()
        self.bodyless = is_head_request
        self.head_bytes = 0
        self.meter.start_message()
        self.chunk_framing = 0
        self.parser = httptools.HttpResponseParser(self)
        self.answer = UpstreamResponse(BodyStream(self._on_consumed))
        self.head_waiter = self.loop.create_future()
        self.transport.write(data)

    async def send_body(self, data):
        """Send body bytes; wait while the send buffer is full.

        Raises
        ------
        UpstreamBroken
            When the connection is closed.
        """
        if self.closed:
            raise UpstreamBroken("the upstream closed the connection")
        self.transport.write(data)
        if self.write_paused:
            self.drain_waiter = self.loop.create_future()
            try:
                await self.drain_waiter
            finally:
                self.drain_waiter = None

    async def head(self):
        """Wait for the head of the response; return the `UpstreamResponse`.

        The caller limits the time of the wait.

        Raises
        ------
        UpstreamBroken
            When the connection is lost or the response is malformed, or the error that
            was given to `fail_exchange`.
        """
        await self.head_waiter
        return self.answer

    def fail_exchange(self, error):
        """Fail the exchange with this exception and close the connection.

        Because the connection is closed, a late response cannot be taken for that of
        another request.
        """
        self._fail(error)

    def release(self):
        """End the exchange; return whether the connection may be reused.

        The connection is closed when it may not, as after an incomplete response.
        """
        ended = self.complete or not self.busy
        usable = ended and self.reusable and not self.closed
        self.busy = False
        if not usable:
            self.close()
        elif self.read_paused:
            # The body arrived completely and was not consumed.
            self._resume_reading()
        self.answer = None
        return usable

    def close(self):
        """Close the connection immediately."""
        self.reusable = False
        self.closed_locally = True
        self.transport.abort()

    def data_received(self, data):
        """Parse response bytes; bytes outside an exchange close the connection."""
        if not self.busy or self.complete:
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
            UpstreamBroken,
        ) as exc:
            self._fail(UpstreamBroken(f"the response is not valid HTTP/1.1: {exc}"))
            return
        within_limit = self.meter.end_read(len(data))
        # Bytes after a complete response belong to no request and do not spoil it.
        if not within_limit and not self.complete:
            limit = self.meter.limit
            reason = f"over {limit} bytes of the response are neither head nor body"
            self._fail(UpstreamBroken(reason))
            return
        if self.answer.status == 0:
            return
        if not self.head_waiter.done():
            if self.on_response_head is not None:
                self.on_response_head(self.answer)
            self.head_waiter.set_result(None)
        if self.answer.body.size > MAX_UNREAD_BODY_BYTES and not self.read_paused:
            self.read_paused = True
            self.transport.pause_reading()

    def eof_received(self):
        """Close the connection at the end of the upstream's stream."""
        return False

    def connection_lost(self, exc):
        """Fail the exchange in progress and call ``on_lost``."""
        self.closed = True
        self.lost_at = monotonic()
        # After a parse error or a cancellation, this side closes the connection.
        self.closed_by_peer = not self.closed_locally
        self.reusable = False
        self._fail(UpstreamBroken("the upstream closed the connection"))
        self.on_lost(self)

    def pause_writing(self):
        """Make `send_body` wait because the send buffer is full."""
        self.write_paused = True

    def resume_writing(self):
        """Let `send_body` continue."""
        self.write_paused = False
        if self.drain_waiter is not None and not self.drain_waiter.done():
            self.drain_waiter.set_result(None)

    def on_message_begin(self):
        """Prevent reuse of the connection after a second response to one request."""
        if self.complete:
            self.reusable = False

    def on_header(self, name, value):
        """Add one header; trailer fields are dropped."""
        if self.answer.status != 0 or self.complete:
            return
        value = value or b""
        size = len(name) + len(value) + FIELD_FRAMING_BYTES
        self.meter.add_content(size)
        self.head_bytes += size
        if self.head_bytes > MAX_HEADER_BYTES:
            raise UpstreamBroken("the headers of the response are too large")
        self.answer.headers.append((name.lower(), value))

    def on_chunk_header(self):
        """Allow the framing of a chunk, up to the size of the chunk itself.

        Parsing chunks of one byte takes so long that the daemon does little else.
        """
        self.chunk_framing = CHUNK_FRAMING_BYTES

    def on_headers_complete(self):
        """Check the status and the framing; interim (1xx) responses are skipped."""
        if self.complete:
            return
        status = self.parser.get_status_code()
        if status < 200:
            if status == SWITCHING_PROTOCOLS:
                raise UpstreamBroken("unexpected protocol switch")
            return
        self.bodyless = self.bodyless or status in BODYLESS_STATUSES
        self._check_framing()
        self.answer.status = status
        if not self.parser.should_keep_alive():
            self.reusable = False
        if self.bodyless:
            self._complete()

    def on_body(self, data):
        """Add body bytes to the stream."""
        if self.complete:
            self.reusable = False
        else:
            self._count_body(data)
            self.answer.body.feed(data)

    def on_message_complete(self):
        """End the body, or discard the headers of an interim response."""
        if self.answer.status == 0:
            self.answer.headers.clear()
        elif not self.complete:
            self._complete()

    def _count_body(self, data):
        framing = min(self.chunk_framing, len(data))
        self.chunk_framing -= framing
        self.meter.add_content(len(data) + framing)

    def _complete(self):
        self.complete = True
        self.answer.body.end()

    def _check_framing(self):
        headers = self.answer.headers
        lengths = [value for name, value in headers if name == b"content-length"]
        coding = header_value(headers, b"transfer-encoding")
        if coding is not None and (lengths or coding.strip().lower() != b"chunked"):
            raise UpstreamBroken("the framing of the response is ambiguous")
        if len(lengths) > 1:
            raise UpstreamBroken("the response has more than one Content-Length")
        if not lengths and coding is None and not self.bodyless:
            # The body would end with the connection, and a complete one could not be
            # distinguished from a truncated one.
            raise UpstreamBroken("the response states no length")

    def _fail(self, error):
        self.reusable = False
        if self.answer is not None:
            self.answer.body.fail(error)
        if self.head_waiter is not None and not self.head_waiter.done():
            self.head_waiter.set_exception(error)
            # This marks the exception as retrieved: while the request body is being
            # sent, nothing may be waiting for the head.
            self.head_waiter.exception()
        if self.drain_waiter is not None and not self.drain_waiter.done():
            self.drain_waiter.set_exception(error)
        if not self.closed:
            self.close()

    def _on_consumed(self, size):
        if self.read_paused and self.answer.body.size <= MAX_UNREAD_BODY_BYTES:
            self._resume_reading()

    def _resume_reading(self):
        self.read_paused = False
        if not self.closed:
            self.transport.resume_reading()
