"""Errors of links between daemons."""

__all__ = ["CorruptFrame", "LinkClosed", "LinkError", "NotAuthenticated"]


class LinkError(Exception):
    """Base of all errors of this package."""


class CorruptFrame(LinkError):
    """A received frame is not valid."""


class NotAuthenticated(LinkError):
    """The peer does not hold the shared key."""


class LinkClosed(LinkError):
    """The connection to the peer ended."""
