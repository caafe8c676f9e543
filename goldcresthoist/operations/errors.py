"""Exceptions raised for at-most-once operations and uploads."""

__all__ = ["InvalidOperationKey", "MissingPart", "OperationsError"]


class OperationsError(Exception):
    """Base class of the errors of this package."""


class InvalidOperationKey(OperationsError):
    """An idempotency key is empty or exceeds the key length limit of the table."""


class MissingPart(OperationsError):
    """A stored part of an upload is missing, or its size differs from the record."""
