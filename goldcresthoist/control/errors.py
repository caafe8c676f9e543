"""Errors of control messages between daemons."""

__all__ = ["BadMessage", "ControlError", "PeerUnavailable"]


class ControlError(Exception):
    """Base of all errors of this package."""


class BadMessage(ControlError):
    """A message has a wrong MAC, cannot be decoded or answers another request."""


class PeerUnavailable(ControlError):
    """The peer cannot be reached or did not answer in time."""
