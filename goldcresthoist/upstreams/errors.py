"""Errors of requests to the local upstream."""

__all__ = [
    "ConnectionLimitReached",
    "UpstreamBroken",
    "UpstreamCrashed",
    "UpstreamError",
    "UpstreamTimedOut",
    "UpstreamUnreachable",
]


class UpstreamError(Exception):
    """Base class of the errors of this package."""


class UpstreamUnreachable(UpstreamError):
    """No connection was available, so the request was certainly not sent."""


class ConnectionLimitReached(UpstreamUnreachable):
    """All connections that the pool may open are in use; the upstream may be up."""


class UpstreamBroken(UpstreamError):
    """The connection was lost, or the request or the response was malformed."""


class UpstreamTimedOut(UpstreamError):
    """The deadline passed before the response was complete."""


class UpstreamCrashed(UpstreamError):
    """The upstream's process ended while it handled the request."""
