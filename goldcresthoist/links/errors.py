"""Errors of links between daemons."""

__all__ = ["CorruptFrame", "LinkClosed", "LinkError", "NotAuthenticated"]


class LinkError(Exception):
    """Base class of the errors that links raise."""


class CorruptFrame(LinkError):
    """A received frame is malformed or violates the protocol."""


class NotAuthenticated(LinkError):
    """The peer failed to prove that it holds the shared key."""


class LinkClosed(LinkError):
    """The connection to the peer is closed."""
