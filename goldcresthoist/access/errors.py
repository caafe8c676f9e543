"""Errors of calls to the platform services."""

__all__ = ["CallFailed", "CallNotSent", "PlatformError"]


class PlatformError(Exception):
    """Base of all errors of this package."""


class CallNotSent(PlatformError):
    """The call was refused in this process or no connection could be made.

    The service certainly did not see the call.
    """


class CallFailed(PlatformError):
    """The call was sent and no usable answer arrived; its effect is not known."""
