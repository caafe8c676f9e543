"""HTTP/1.1 header fields, as used on connections to callers and to upstreams."""

from http import HTTPStatus

__all__ = [
    "BODYLESS_STATUSES",
    "HOP_BY_HOP",
    "MAX_HEADER_BYTES",
    "REASON_PHRASES",
    "end_to_end_headers",
    "header_value",
    "requested_host",
    "without_connection_options",
]

MAX_HEADER_BYTES = 32 * 1024
BODYLESS_STATUSES = frozenset((204, 304))
REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)

# Values of ``Connection`` that list no other header field.
_PERSISTENCE_OPTIONS = frozenset((b"close", b"keep-alive", b"Close", b"Keep-Alive"))


def header_value(headers, name):
    """Return the value of a header with a lower-case name, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


def requested_host(headers):
    """Return the host name in the ``Host`` header in lower case, without the port.

    It is empty when there is no such header.
    """
    value = header_value(headers, b"host") or b""
    return value.decode("latin-1").partition(":")[0].lower()


def end_to_end_headers(headers):
    """Return the end-to-end headers, which a proxy forwards.

    Hop-by-hop fields and those that a ``Connection`` field lists are left out.
    """
    kept = []
    connection = None
    for item in headers:
        if item[0] not in HOP_BY_HOP:
            kept.append(item)
        elif item[0] == b"connection":
            connection = item[1] if connection is None else connection + b"," + item[1]
    return tuple(
        without_connection_options(kept, connection) if connection is not None else kept
    )


def without_connection_options(headers, connection):
    """Return the headers without those that a ``Connection`` field lists."""
    if connection in _PERSISTENCE_OPTIONS:
        return headers
    options = {part.strip().lower() for part in connection.split(b",")}
    # If a peer could remove the Content-Length of its own message, the recipient
    # would see another end of the body (request smuggling).
    options.discard(b"content-length")
    return [item for item in headers if item[0] not in options]
