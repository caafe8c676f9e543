"""Errors of the object store."""

__all__ = ["ObjectMissing", "ObjectsError", "ObjectsUnavailable"]


class ObjectsError(Exception):
    """Base of all errors of this package; raised itself for a refused request."""


class ObjectMissing(ObjectsError):
    """There is no object of this name."""


class ObjectsUnavailable(ObjectsError):
    """The store did not answer; a write may have or may yet take effect."""
