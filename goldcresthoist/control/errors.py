"""Exceptions of the control services."""

__all__ = ["BadMessage", "ControlError", "PeerUnavailable"]


class ControlError(Exception):
    """Base class of the exceptions of this package."""


class BadMessage(ControlError):
    """A reply is missing or belongs to another request."""


class PeerUnavailable(ControlError):
    """The peer cannot be reached, rejected the request or did not reply in time."""
