"""Errors of calls to the platform services."""

__all__ = ["CallFailed", "CallNotSent", "PlatformError"]


class PlatformError(Exception):
    """Base of all errors of this package."""


class CallNotSent(PlatformError):
    """The call was refused locally, or no connection could be made.

    The service has certainly not received the call, so that it is safe to repeat.
    """


class CallFailed(PlatformError):
    """The call was sent but no usable response arrived.

    The service may or may not have executed it.
    """
