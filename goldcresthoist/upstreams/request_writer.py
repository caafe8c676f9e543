"""Encoding of HTTP/1.1 requests to the local upstream."""

from goldcresthoist.upstreams.errors import UpstreamBroken

__all__ = ["RequestWriter", "send_remaining_body"]


class RequestWriter:
    """Encodes one request and checks the length of its body.

    Parameters
    ----------
    call : Open
        The request; its headers are end-to-end and have lower-case names.
    time_left_ms : int
        Time until the deadline, in milliseconds.
    headers : tuple of (bytes, bytes), optional
        All headers to send, with the deadline. By default, the headers of the call are
        sent together with the deadline and idempotency-key fields.

    Attributes
    ----------
    remaining : int or None
        Body bytes still to be sent; None when the length is not known.
    chunked : bool
        Whether the body is sent with chunked transfer coding, because its length is not
        known.
    """

    __slots__ = ("call", "chunked", "headers", "remaining", "time_left_ms")

    def __init__(self, call, time_left_ms, headers=None):
        self.call = call
        self.headers = headers
        self.time_left_ms = time_left_ms
        self.chunked = False
        self.remaining = None

    def start(self):
        """Return the head and the body bytes of the call.

        When these are the complete body, the bytes that end it are included.

        Raises
        ------
        UpstreamBroken
            When the body is longer than its Content-Length, or ends before it.
        """
        call = self.call
        parts = [b"%b %b HTTP/1.1\r\n" % (call.method.encode(), call.target.encode())]
        for name, value in call.headers if self.headers is None else self.headers:
            if name == b"content-length":
                self.remaining = int(value)
            parts.append(b"%b: %b\r\n" % (name, value))
        if self.headers is None:
            self._add_deadline_and_key(parts)
        if self.remaining is None:
            self._add_framing(parts)
        parts.append(b"\r\n")
        parts.append(self.frame(call.body))
        if call.end:
            parts.append(self.finish())
        return b"".join(parts)

    def frame(self, data):
        """Return further body bytes in the transfer coding in which they are sent.

        Raises
        ------
        UpstreamBroken
            When the body is longer than its Content-Length.
        """
        if not data:
            return b""
        if self.chunked:
            return b"%x\r\n%b\r\n" % (len(data), data)
        self.remaining -= len(data)
        if self.remaining < 0:
            # The upstream would parse the surplus bytes as the next request.
            raise UpstreamBroken("the request body is longer than its Content-Length")
        return data

    def finish(self):
        """Return the bytes that end the body.

        Raises
        ------
        UpstreamBroken
            When the body is shorter than its Content-Length.
        """
        if self.chunked:
            return b"0\r\n\r\n"
        if self.remaining:
            raise UpstreamBroken("the request body is shorter than its Content-Length")
        return b""

    def _add_deadline_and_key(self, parts):
        parts.append(b"goldcrest-deadline-ms: %d\r\n" % self.time_left_ms)
        if self.call.key:
            parts.append(b"idempotency-key: %b\r\n" % self.call.key.encode("latin-1"))

    def _add_framing(self, parts):
        if not self.call.end:
            self.chunked = True
            parts.append(b"transfer-encoding: chunked\r\n")
            return
        self.remaining = len(self.call.body)
        if self.remaining:
            parts.append(b"content-length: %d\r\n" % self.remaining)


async def send_remaining_body(connection, writer, body):
    """Send the rest of a request body as it arrives.

    When the body fails or has a wrong length, the exchange fails and the connection is
    closed.

    Parameters
    ----------
    connection : UpstreamConnection
    writer : RequestWriter
        The one that encoded the head of the request.
    body : BodyStream
        The rest of the request body.
    """
    try:
        while data := await body.read():
            await connection.send_body(writer.frame(data))
        await connection.send_body(writer.finish())
    except UpstreamBroken as exc:
        connection.fail_exchange(exc)
    except Exception as exc:
        connection.fail_exchange(UpstreamBroken(f"the request body failed: {exc}"))
