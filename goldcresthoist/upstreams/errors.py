"""Errors of calls to the own upstream."""

__all__ = [
    "UpstreamBroken",
    "UpstreamCrashed",
    "UpstreamError",
    "UpstreamTimedOut",
    "UpstreamUnreachable",
]


class UpstreamError(Exception):
    """Base of all errors of this package."""


class UpstreamUnreachable(UpstreamError):
    """No connection could be made, so the request was certainly not sent."""


class UpstreamBroken(UpstreamError):
    """The upstream closed the connection or answered wrongly."""


class UpstreamTimedOut(UpstreamError):
    """The deadline passed before the answer was complete."""


class UpstreamCrashed(UpstreamError):
    """The upstream ended while the request was running."""
