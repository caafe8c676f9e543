"""HTTP header fields that callers and upstreams have in common."""

from http import HTTPStatus

__all__ = [
    "BODYLESS_STATUSES",
    "MAX_HEADER_BYTES",
    "REASONS",
    "end_to_end",
    "field",
]

MAX_HEADER_BYTES = 32 * 1024
BODYLESS_STATUSES = frozenset((204, 304))
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}

_HOP_BY_HOP = frozenset(
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


def field(headers, name):
    """Return the value of a header with a lower-case name, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end(headers, extra=frozenset()):
    """Return the headers that are forwarded.

    Hop-by-hop fields, those named by ``Connection`` and ``extra`` are left out.
    """
    dropped = _HOP_BY_HOP | extra if extra else _HOP_BY_HOP
    named = field(headers, b"connection")
    if named is not None and named.lower() not in (b"close", b"keep-alive"):
        dropped = dropped | {part.strip().lower() for part in named.split(b",")}
        # A caller must not be able to remove the length of its own body.
        dropped = dropped - {b"content-length", b"host"}
    return tuple(item for item in headers if item[0] not in dropped)
