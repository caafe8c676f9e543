"""One persistent connection to the own upstream."""

import asyncio
import select
from time import monotonic

import httptools

from goldcresthoist.http_fields import BODYLESS_STATUSES, MAX_HEADER_BYTES, field
from goldcresthoist.streams import BodyStream
from goldcresthoist.upstreams.errors import UpstreamBroken

__all__ = ["UpstreamAnswer", "UpstreamConnection"]

MAX_UNREAD_BODY_BYTES = 128 * 1024
SWITCHING_PROTOCOLS = 101


class UpstreamAnswer:
    """Head of an answer and its body as a stream. Header names are lower case."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, body):
        self.status = 0
        self.headers = []
        self.body = body


class UpstreamConnection(asyncio.Protocol):
    """Sends one request at a time and parses its answer.

    ``on_lost(connection)`` is called once when the connection has ended, and
    ``on_answer(answer)`` when the head of an answer has arrived.
    """

    def __init__(self, on_lost):
        self.on_lost = on_lost
        self.loop = asyncio.get_running_loop()
        self.on_answer = None
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
        self.reusable = True
        self.closed = False
        self.ended_here = False
        self.lost_by_peer = False
        self.serial = 0
        self.call_serial = 0
        self.sent_at = 0.0
        self.lost_at = 0.0

    def connection_made(self, transport):
        """Prepare the check for unexpected bytes."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        self.poller = select.poll()
        self.poller.register(sock.fileno(), select.POLLIN)

    def is_clean(self):
        """Return whether a new request may be sent.

        Bytes that wait in the socket belong to no request, or are the end of the
        connection; an answer must not be mixed with them.
        """
        return not self.closed and self.reusable and not self.poller.poll(0)

    def send(self, data, is_head_request):
        """Send a request head with the first body bytes."""
        self.busy = True
        self.complete = False
        self.sent_at = monotonic()
        self.bodyless = is_head_request
        self.head_bytes = 0
        self.parser = httptools.HttpResponseParser(self)
        self.answer = UpstreamAnswer(BodyStream(self._on_consumed))
        self.head_waiter = self.loop.create_future()
        self.transport.write(data)

    async def send_body(self, data):
        """Send body bytes and wait while the upstream is slow."""
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
        """Wait for the head of the answer."""
        await self.head_waiter
        return self.answer

    def give_up(self, error):
        """Fail the exchange and close, so that no late answer can be mistaken."""
        self._fail(error)

    def release(self):
        """End the exchange; return whether the connection may be used again."""
        ended = self.complete or not self.busy
        usable = ended and self.reusable and not self.closed
        self.busy = False
        if not usable:
            self.close()
        self.answer = None
        return usable

    def close(self):
        """Close at once."""
        self.reusable = False
        self.ended_here = True
        self.transport.abort()

    def data_received(self, data):
        """Parse bytes of the answer; bytes without a request end the connection."""
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
            self._fail(UpstreamBroken(f"the answer is not valid HTTP/1.1: {exc}"))
            return
        if self.answer.status == 0:
            self.head_bytes += len(data)
            if self.head_bytes > 2 * MAX_HEADER_BYTES:
                self._fail(UpstreamBroken("the headers of the answer are too large"))
            return
        if not self.head_waiter.done():
            if self.on_answer is not None:
                self.on_answer(self.answer)
            self.head_waiter.set_result(None)
        if self.answer.body.size > MAX_UNREAD_BODY_BYTES and not self.read_paused:
            self.read_paused = True
            self.transport.pause_reading()

    def eof_received(self):
        """Close when the upstream sends no more."""
        return False

    def connection_lost(self, exc):
        """Fail what is in progress."""
        self.closed = True
        self.lost_at = monotonic()
        # Parse errors and cancellation end the connection from this side.
        self.lost_by_peer = not self.ended_here
        self.reusable = False
        self._fail(UpstreamBroken("the upstream closed the connection"))
        self.on_lost(self)

    def pause_writing(self):
        """Make the sender wait."""
        self.write_paused = True

    def resume_writing(self):
        """Let the sender go on."""
        self.write_paused = False
        if self.drain_waiter is not None and not self.drain_waiter.done():
            self.drain_waiter.set_result(None)

    def on_message_begin(self):
        """Refuse a second answer to one request."""
        if self.complete:
            self.reusable = False

    def on_header(self, name, value):
        """Add one header."""
        if not self.complete:
            self.answer.headers.append((name.lower(), value or b""))

    def on_headers_complete(self):
        """Check the head."""
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
        """Add body bytes."""
        if self.complete:
            self.reusable = False
        else:
            self.answer.body.feed(data)

    def on_message_complete(self):
        """End the body, unless it was the head of an interim answer."""
        if self.answer.status == 0:
            self.answer.headers.clear()
        elif not self.complete:
            self._complete()

    def _complete(self):
        self.complete = True
        self.answer.body.end()

    def _check_framing(self):
        headers = self.answer.headers
        lengths = [value for name, value in headers if name == b"content-length"]
        coding = field(headers, b"transfer-encoding")
        if coding is not None and (lengths or coding.strip().lower() != b"chunked"):
            raise UpstreamBroken("the framing of the answer is ambiguous")
        if len(lengths) > 1:
            raise UpstreamBroken("the answer has more than one Content-Length")
        if not lengths and coding is None and not self.bodyless:
            # The end of such a body cannot be told from a cut connection.
            raise UpstreamBroken("the answer states no length")

    def _fail(self, error):
        self.reusable = False
        if self.answer is not None:
            self.answer.body.fail(error)
        if self.head_waiter is not None and not self.head_waiter.done():
            self.head_waiter.set_exception(error)
            # The owner may be sending the body and never look at the head.
            self.head_waiter.exception()
        if self.drain_waiter is not None and not self.drain_waiter.done():
            self.drain_waiter.set_exception(error)
        if not self.closed:
            self.close()

    def _on_consumed(self, size):
        if self.read_paused and self.answer.body.size <= MAX_UNREAD_BODY_BYTES:
            self.read_paused = False
            if not self.closed:
                self.transport.resume_reading()
