"""Connections to upstreams that name the request in each answer."""

from goldcresthoist.http_fields import field
from goldcresthoist.upstreams.connection import UpstreamConnection
from goldcresthoist.upstreams.errors import UpstreamBroken

__all__ = ["IdentifiedConnection"]

# An upstream may send a second answer to an earlier request; more than this many in a
# row mean that the connection is not understood.
MOST_STRAY_ANSWERS = 4


class IdentifiedConnection(UpstreamConnection):
    """Takes only the answer that bears the id of the request.

    Answers of other requests that come first are read and dropped. An answer may have
    no length and end with its connection; it is complete only when the upstream ended
    the connection in order.

    Attributes
    ----------
    identify : callable
        ``identify(headers)`` returns the request id of an answer, or None.
    """

    def __init__(self, on_lost, identify):
        super().__init__(on_lost)
        self.identify = identify
        self.request_id = None
        self.skipping = False
        self.stray = 0
        self.unframed = False
        self.idle_since = 0.0
        self.idle_limit_s = None

    def expect(self, request_id):
        """Set the id that the next answer must bear."""
        self.request_id = request_id
        self.skipping = False
        self.stray = 0
        self.unframed = False

    def on_header(self, name, value):
        """Add one header of an answer that is not dropped."""
        if not self.skipping:
            super().on_header(name, value)

    def on_headers_complete(self):
        """Drop an answer of another request, else check its head."""
        if self.complete or self.skipping:
            return
        status = self.parser.get_status_code()
        if status >= 200 and self.identify(self.answer.headers) != self.request_id:
            self._skip()
            return
        super().on_headers_complete()

    def on_body(self, data):
        """Add body bytes of an answer that is not dropped."""
        if not self.skipping:
            super().on_body(data)

    def on_message_complete(self):
        """End the answer, or go on to the next one after a dropped one."""
        if self.skipping:
            self.skipping = False
            self.answer.headers.clear()
            return
        super().on_message_complete()

    def eof_received(self):
        """Complete an answer without a length."""
        if self.unframed and self.busy and not self.complete:
            self._complete()
        return super().eof_received()

    def _skip(self):
        self.stray += 1
        headers = self.answer.headers
        framed = field(headers, b"content-length") or field(
            headers, b"transfer-encoding"
        )
        if self.stray > MOST_STRAY_ANSWERS or not framed:
            raise UpstreamBroken("an answer of another request")
        self.skipping = True

    def _check_framing(self):
        headers = self.answer.headers
        length = field(headers, b"content-length")
        coding = field(headers, b"transfer-encoding")
        if length is None and coding is None and not self.bodyless:
            self.unframed = True
            self.reusable = False
            return
        super()._check_framing()
