"""Errors of at-most-once operations and uploads."""

__all__ = ["InvalidOperationKey", "MissingPart", "OperationsError"]


class OperationsError(Exception):
    """Base of all errors of this package."""


class InvalidOperationKey(OperationsError):
    """An idempotency key is empty or too long for the table."""


class MissingPart(OperationsError):
    """A stored part of an upload is missing or has another size than recorded."""
