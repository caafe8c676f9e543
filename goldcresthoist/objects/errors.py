"""Exceptions raised by the object store client."""

__all__ = ["ObjectMissing", "ObjectsError", "ObjectsUnavailable"]


class ObjectsError(Exception):
    """Base class of the errors of this package.

    Raised directly when the store rejects a request.
    """


class ObjectMissing(ObjectsError):
    """No object with this name exists."""


class ObjectsUnavailable(ObjectsError):
    """The object store did not respond, throttled the request or denied access.

    If the call was a write, it may have taken effect, or may still do so later.
    """
