"""HTTP header fields that callers and upstreams have in common."""

from http import HTTPStatus

__all__ = [
    "BODYLESS_STATUSES",
    "HOP_BY_HOP",
    "MAX_HEADER_BYTES",
    "REASONS",
    "end_to_end",
    "field",
    "without_named",
]

MAX_HEADER_BYTES = 32 * 1024
BODYLESS_STATUSES = frozenset((204, 304))
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}

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

_PERSISTENCE = frozenset((b"close", b"keep-alive", b"Close", b"Keep-Alive"))


def field(headers, name):
    """Return the value of a header with a lower-case name, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end(headers):
    """Return the headers that are forwarded.

    Hop-by-hop fields and those named by ``Connection`` are left out.
    """
    kept = []
    named = None
    for item in headers:
        if item[0] not in HOP_BY_HOP:
            kept.append(item)
        elif item[0] == b"connection":
            named = item[1] if named is None else named + b"," + item[1]
    return tuple(without_named(kept, named) if named is not None else kept)


def without_named(headers, connection):
    """Return the headers that a ``Connection`` field does not name."""
    if connection in _PERSISTENCE:
        return headers
    named = {part.strip().lower() for part in connection.split(b",")}
    # A peer must not be able to remove the length of its own body.
    named.discard(b"content-length")
    return [item for item in headers if item[0] not in named]
