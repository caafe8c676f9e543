"""Limits of the connections of callers."""

from dataclasses import dataclass

from goldcresthoist.http_fields import MAX_HEADER_BYTES

__all__ = ["ConnectionLimits"]


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """What a caller may send on a connection, and how long it may take.

    Attributes
    ----------
    max_header_bytes : int
        Limit of the target and the header fields of one request, and a separate one of
        the bytes of the request that belong neither to its head nor to its body.
    max_body_bytes : int or None
        Limit of the body of one request; None for no limit.
    head_timeout_s : float
        Longest time in seconds until the head of a request that has begun is complete.
    idle_timeout_s : float
        Time in seconds after which an idle connection is closed.
    """

    max_header_bytes: int = MAX_HEADER_BYTES
    max_body_bytes: int | None = None
    head_timeout_s: float = 15.0
    idle_timeout_s: float = 120.0
