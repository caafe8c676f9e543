"""HTTP/1.1 requests of callers and their parser."""

import re

import httptools

from goldcresthoist.callers._head_fields import (
    INTERPRETED_FIELDS,
    apply_interpreted_fields,
)
from goldcresthoist.callers.errors import BadRequest, BodyTooLarge, HeadersTooLarge
from goldcresthoist.callers.limits import ConnectionLimits
from goldcresthoist.framing import (
    CHUNK_FRAMING_BYTES,
    FIELD_FRAMING_BYTES,
    START_BYTES,
    FramingMeter,
)
from goldcresthoist.streams import BodyStream

__all__ = ["CallerRequest", "RequestParser"]

# Visible ASCII except "#": a request target has no fragment.
_SAFE_TARGET = re.compile(rb"/[\x21\x22\x24-\x7e]*")
_ABSOLUTE = re.compile(rb"https?://[^/?#]*", re.IGNORECASE)


class CallerRequest:
    """One request: its head, and its body as a stream.

    Attributes
    ----------
    headers : iterable of (bytes, bytes)
        Header fields that are forwarded, with names in lower case.
    content_length : int or None
        None for a chunked body.
    deadline_s : float or None
        Time limit in seconds that the caller set; None if it set none.
    key : str
        Idempotency key; empty if the caller sent none.
    request_id : bytes or None
        None if the caller sent no valid one.
    """

    __slots__ = (
        "body",
        "chunked",
        "content_length",
        "deadline_s",
        "expects_continue",
        "headers",
        "http10",
        "keep_alive",
        "key",
        "method",
        "request_id",
        "target",
    )

    def __init__(self):
        self.method = ""
        self.target = ""
        self.headers = []
        self.content_length = 0
        self.chunked = False
        self.expects_continue = False
        self.keep_alive = True
        self.http10 = False
        self.deadline_s = None
        self.key = ""
        self.request_id = None
        self.body = None


class RequestParser:
    """Parses the bytes of one connection into requests.

    ``on_request(request)`` is called when the head of a request is complete,
    ``on_consumed(size)`` when the consumer of a body has read bytes of it.

    Attributes
    ----------
    limits : ConnectionLimits
        May be replaced while the connection is open.
    in_head : bool
        Whether the head of a request has begun and is incomplete.
    """

    def __init__(self, on_request, on_consumed, limits=None):
        self.limits = limits or ConnectionLimits()
        self.on_request = on_request
        self.on_consumed = on_consumed
        self.parser = httptools.HttpRequestParser(self)
        self.request = None
        self.interpreted_fields = []
        self.url = b""
        self.head_bytes = 0
        self.body_bytes = 0
        self.meter = FramingMeter(self.limits.max_header_bytes)
        self.in_head = False

    def feed(self, data):
        """Parse received bytes.

        Raises
        ------
        BadRequest, HeadersTooLarge, BodyTooLarge
            When the input is invalid or exceeds a limit. No more input can be parsed,
            so the connection must be closed.
        """
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise BadRequest("protocol upgrades are not supported") from exc
        except httptools.HttpParserCallbackError as exc:
            raise _callback_error(exc) from exc
        except httptools.HttpParserError as exc:
            raise BadRequest(f"invalid HTTP/1.1 request: {exc}") from exc
        self.meter.limit = self.limits.max_header_bytes
        if not self.meter.end_read(len(data)):
            raise HeadersTooLarge(
                f"bytes outside the head and the body exceed {self.meter.limit} bytes"
            )

    def on_message_begin(self):
        """Start a new request."""
        self.request = CallerRequest()
        self.interpreted_fields = []
        self.url = b""
        self.head_bytes = 0
        self.body_bytes = 0
        self.meter.start_message()
        self.in_head = True

    def on_url(self, url):
        """Append a fragment of the request target."""
        self.url += url
        self._add_to_head(len(url))

    def on_header(self, name, value):
        """Add one header field; trailer fields are discarded."""
        if not self.in_head:
            return
        if value is None:
            value = b""
        name = name.lower()
        self._add_to_head(len(name) + len(value) + FIELD_FRAMING_BYTES)
        if name in INTERPRETED_FIELDS:
            self.interpreted_fields.append((name, value))
        else:
            self.request.headers.append((name, value))

    def on_headers_complete(self):
        """Validate the head and pass the request to ``on_request``."""
        self.in_head = False
        request = self.request
        if self.parser.should_upgrade():
            # The parser treats all bytes after the head as another protocol, so the
            # boundary between the body and the next request would be unknown.
            raise BadRequest("protocol upgrades are not supported")
        method = self.parser.get_method()
        self.meter.add_content(len(method) + START_BYTES)
        request.method = method.decode("ascii")
        request.target = _origin_form(self.url)
        request.http10 = self.parser.get_http_version() != "1.1"
        request.keep_alive = self.parser.should_keep_alive()
        apply_interpreted_fields(request, self.interpreted_fields)
        request.body = BodyStream(self.on_consumed)
        self.on_request(request)

    def on_chunk_header(self):
        """Count the framing of a chunk as part of the body."""
        self.meter.add_content(CHUNK_FRAMING_BYTES)

    def on_body(self, data):
        """Add body bytes."""
        size = len(data)
        self.meter.add_content(size)
        self.body_bytes += size
        limit = self.limits.max_body_bytes
        if limit is not None and self.body_bytes > limit:
            raise BodyTooLarge(f"the body exceeds {limit} bytes")
        self.request.body.feed(data)

    def on_message_complete(self):
        """Mark the body as complete."""
        self.meter.start_message()
        self.request.body.end()
        self.request = None

    def fail(self, error):
        """Fail the request body that is being received, if any."""
        if self.request is not None and self.request.body is not None:
            self.request.body.fail(error)

    def _add_to_head(self, size):
        self.meter.add_content(size)
        self.head_bytes += size
        limit = self.limits.max_header_bytes
        if self.head_bytes > limit:
            raise HeadersTooLarge(f"headers exceed {limit} bytes")


def _callback_error(exc):
    cause = exc.__context__ or exc.__cause__
    if isinstance(cause, BadRequest | HeadersTooLarge | BodyTooLarge):
        return cause
    return BadRequest(f"invalid HTTP/1.1 request: {cause}")


def _origin_form(url):
    if not url.startswith(b"/"):
        absolute = _ABSOLUTE.match(url)
        if absolute is None:
            raise BadRequest("the request target must be a path")
        url = url[absolute.end() :] or b"/"
    if _SAFE_TARGET.fullmatch(url) is None:
        raise BadRequest("the request target contains invalid bytes")
    return url.decode("ascii")
