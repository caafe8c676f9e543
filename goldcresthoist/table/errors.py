"""Exceptions raised by the table client."""

__all__ = ["ConditionFailed", "OutcomeUnknown", "TableError", "TableUnavailable"]


class TableError(Exception):
    """Base class of the errors of this package.

    Raised directly when the service rejects a request as invalid, e.g. because an item
    exceeds the size limit.
    """


class ConditionFailed(TableError):
    """A condition of the write did not hold, so the write had no effect."""


class TableUnavailable(TableError):
    """The table service is unreachable or rejected the call.

    If the call was a write, it has had no effect and will have none.
    """


class OutcomeUnknown(TableError):
    """A write was sent, but its response is missing or inconclusive.

    The write may have taken effect already, or may still do so later.
    """
