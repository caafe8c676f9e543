"""Errors of the table service."""

__all__ = ["ConditionFailed", "OutcomeUnknown", "TableError", "TableUnavailable"]


class TableError(Exception):
    """Base of all errors of this package; raised itself for a malformed request."""


class ConditionFailed(TableError):
    """A condition of the write did not hold; the write had no effect."""


class TableUnavailable(TableError):
    """The call could not be made or was refused; a write certainly had no effect."""


class OutcomeUnknown(TableError):
    """A write was sent and not answered: it has or may yet take effect."""
