"""Connections to upstreams that include the request id in each response."""

from goldcresthoist.http_fields import header_value
from goldcresthoist.upstreams.connection import UpstreamConnection
from goldcresthoist.upstreams.errors import UpstreamBroken

__all__ = ["EchoedIdConnection", "RequestIdConnection", "make_echoed_id_connection"]

REQUEST_ID_FIELD = b"goldcrest-request-id"
# An upstream may send a second response to an earlier request. After more than this
# many for one request, the connection is closed, as its state is unknown.
MAX_UNMATCHED_RESPONSES = 4
# Limit on the body bytes of these responses, so that an endless one is not received
# until the deadline of the request.
MAX_UNMATCHED_BYTES = 4 * 1024 * 1024
# The connection is not reused after this many refused requests, whose ids it remembers.
MAX_REFUSED_REQUESTS = 1000


class RequestIdConnection(UpstreamConnection):
    """Accepts only the response that has the id of the request.

    Responses with another id before it are dropped. A response without a length
    is delimited by the end of the connection; it is complete only when the upstream
    ended the connection with FIN.

    Parameters
    ----------
    on_lost : callable
        See `UpstreamConnection`.
    identify : callable
        ``identify(headers)`` returns the request id of a response, or None.

    Attributes
    ----------
    close_delimited : bool
        Whether the current response has no length and ends with the connection.
    unmatched_count, unmatched_bytes : int
        Responses to other requests since the last request was sent, and the size of
        their bodies.
    refused_ids : set of bytes
        Ids of the requests that the upstream refused on this connection. None of them
        may be sent on it again: a late copy of the refusal would have its id.
    idle_since : float
        Monotonic time at which the connection became idle; 0 when it has not been used.
    idle_limit_s : float or None
        Seconds after which the upstream closes idle connections; None if unknown.
    """

    def __init__(self, on_lost, identify):
        super().__init__(on_lost)
        self.identify = identify
        self.request_id = None
        self.skipping = False
        self.unmatched_count = 0
        self.unmatched_bytes = 0
        self.close_delimited = False
        self.refused_ids = set()
        self.idle_since = 0.0
        self.idle_limit_s = None

    def expect(self, request_id):
        """Set the request id that the next response must have; None for no id."""
        self.request_id = request_id
        self.skipping = False
        self.unmatched_count = 0
        self.unmatched_bytes = 0
        self.close_delimited = False

    def record_refusal(self):
        """Remember that the upstream refused the current request without running it."""
        self.refused_ids.add(self.request_id)
        if len(self.refused_ids) >= MAX_REFUSED_REQUESTS:
            self.reusable = False

    def matches(self, request_id):
        """Return whether a response with this id, or None, is for the request."""
        return request_id == self.request_id

    def on_header(self, name, value):
        """Add one header, unless the response is dropped."""
        if not self.skipping:
            super().on_header(name, value)

    def on_headers_complete(self):
        """Check the head; a response to another request is dropped."""
        if self.complete or self.skipping:
            return
        status = self.parser.get_status_code()
        if status >= 200 and not self.matches(self.identify(self.answer.headers)):
            self._skip_response()
            return
        super().on_headers_complete()

    def on_body(self, data):
        """Add body bytes, unless the response is dropped."""
        if not self.skipping:
            super().on_body(data)
            return
        self._count_body(data)
        self.unmatched_bytes += len(data)
        if self.unmatched_bytes > MAX_UNMATCHED_BYTES:
            raise UpstreamBroken("the response to another request does not end")

    def on_message_complete(self):
        """End the response; after a dropped one, wait for the next response."""
        if self.skipping:
            self.skipping = False
            self.answer.headers.clear()
            return
        super().on_message_complete()

    def eof_received(self):
        """Complete a response that is delimited by the end of the connection."""
        if self.close_delimited and self.busy and not self.complete:
            self._complete()
        return super().eof_received()

    def _skip_response(self):
        self.unmatched_count += 1
        headers = self.answer.headers
        has_framing = header_value(headers, b"content-length") or header_value(
            headers, b"transfer-encoding"
        )
        if self.unmatched_count > MAX_UNMATCHED_RESPONSES or not has_framing:
            raise UpstreamBroken("the response belongs to another request")
        self.skipping = True

    def _check_framing(self):
        headers = self.answer.headers
        length = header_value(headers, b"content-length")
        coding = header_value(headers, b"transfer-encoding")
        if length is None and coding is None and not self.bodyless:
            self.close_delimited = True
            self.reusable = False
            return
        super()._check_framing()


class EchoedIdConnection(RequestIdConnection):
    """Drops a response with the id of another request; one without an id is accepted.

    A late second response to an earlier request arrives on a connection that is in use
    again. It can be told only if the upstream repeats the id of the request. Every
    response must state its length.
    """

    def matches(self, request_id):
        """Return whether a response with this id, or None, is for the request."""
        return request_id is None or super().matches(request_id)

    def _check_framing(self):
        UpstreamConnection._check_framing(self)


def make_echoed_id_connection(on_lost):
    """Return a connection for upstreams that may repeat `REQUEST_ID_FIELD`."""
    return EchoedIdConnection(
        on_lost, lambda headers: header_value(headers, REQUEST_ID_FIELD)
    )
