"""The response to one request of a caller."""

import msgspec

from goldcresthoist.callers.errors import CallerGone
from goldcresthoist.callers.refusal import Refusal
from goldcresthoist.http_fields import BODYLESS_STATUSES, REASON_PHRASES, header_value

__all__ = ["Exchange"]


class Exchange:
    """Writes the response to one request and enforces correct HTTP framing.

    The response is complete only if `finished` is true. The connection is aborted if
    the handler ends without a complete response.

    Parameters
    ----------
    connection : ResponseWriter
        Takes the bytes of the response.
    request : CallerRequest or None
        None for a response to input that is no request.
    closing : bool
        Whether the connection is closed after the response.
    """

    __slots__ = (
        "begin_result",
        "bodyless",
        "chunked",
        "connection",
        "continue_pending",
        "finished",
        "http10",
        "keep_alive",
        "remaining",
        "request_body",
        "started",
        "status",
    )

    def __init__(self, connection, request, closing):
        self.connection = connection
        self.keep_alive = not closing and request.keep_alive
        self.http10 = request is not None and request.http10
        self.bodyless = request is not None and request.method == "HEAD"
        self.continue_pending = request is not None and request.expects_continue
        # The server's ``begin`` callback sets this, and the handler reads it.
        self.begin_result = None
        self.request_body = request.body if request is not None else None
        self.started = False
        self.status = 0
        self.finished = False
        self.chunked = False
        self.remaining = None

    def send_continue(self):
        """Send ``100 Continue`` if the caller expects it before it sends the body."""
        if self.continue_pending and not self.started:
            self.continue_pending = False
            self.connection.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def start(self, status, headers, body=b"", end=False):
        """Write the head and the first bytes of the body.

        ``headers`` are end-to-end headers. If ``end`` is true, ``body`` is the complete
        body.
        """
        self.started = True
        self.status = status
        bodyless = self.bodyless or status in BODYLESS_STATUSES
        self.bodyless = bodyless
        parts = [
            b"HTTP/1.1 %d %b\r\n" % (status, REASON_PHRASES.get(status, b"Unknown"))
        ]
        for name, value in headers:
            parts.append(b"%b: %b\r\n" % (name, value))
        self._add_framing(parts, headers, body, end)
        if not self.keep_alive or (self.continue_pending and not end):
            parts.append(b"Connection: close\r\n")
            self.keep_alive = False
        elif self.http10:
            parts.append(b"Connection: keep-alive\r\n")
        parts.append(b"\r\n")
        if body and not bodyless:
            parts.append(self._frame_body(body))
        if end:
            self._finish(parts)
        self.connection.write(b"".join(parts))
        if not self.keep_alive:
            self.connection.end_connection()

    async def send(self, body):
        """Write body bytes and wait until the transport accepts more data."""
        if body and not self.bodyless:
            if not self.connection.is_first():
                # Otherwise it could hold one write more for each request.
                await self.connection.drain()
            self.connection.write(self._frame_body(body))
        await self.connection.drain()

    def finish(self):
        """Mark the body as complete.

        Raises
        ------
        ValueError
            When the body is shorter than its Content-Length.
        """
        parts = []
        self._finish(parts)
        if parts:
            self.connection.write(b"".join(parts))

    def refuse(self, code, message, retry_after_ms=0):
        """Send a refusal with the outcome that the request was not executed."""
        self.answer(Refusal(code, message, retry_after_ms=retry_after_ms))

    def answer(self, refusal):
        """Send a refusal with the HTTP status of its code."""
        self.answer_with_status(refusal.status(), refusal)

    def answer_with_status(self, status, refusal):
        """Send a refusal with the given HTTP status."""
        if self.request_body is not None and not self.request_body.ended:
            # The rest of the request body is not read, so the connection cannot be
            # used for another request.
            self.keep_alive = False
        body = msgspec.json.encode(refusal)
        self.start(status, refusal.headers(len(body)), body, True)

    def abort(self):
        """Reset the connection, so that the caller detects a truncated response."""
        self.connection.abort()

    def _add_framing(self, parts, headers, body, end):
        length = header_value(headers, b"content-length")
        if self.bodyless:
            self.remaining = None
        elif length is not None:
            self.remaining = int(length)
        elif end:
            self.remaining = len(body)
            parts.append(b"Content-Length: %d\r\n" % len(body))
        elif self.http10:
            self.keep_alive = False
        else:
            self.chunked = True
            parts.append(b"Transfer-Encoding: chunked\r\n")

    def _frame_body(self, body):
        if self.connection.closed:
            raise CallerGone("the caller closed its connection")
        if self.remaining is not None:
            self.remaining -= len(body)
            if self.remaining < 0:
                raise ValueError("the body is longer than its Content-Length")
        if self.chunked:
            return b"%x\r\n%b\r\n" % (len(body), body)
        return body

    def _finish(self, parts):
        if self.remaining:
            raise ValueError("the body is shorter than its Content-Length")
        if self.chunked:
            parts.append(b"0\r\n\r\n")
        self.finished = True
