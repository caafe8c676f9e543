"""Errors of the translation and of calls to the platform's store."""

__all__ = [
    "HistoryGone",
    "InvalidMessage",
    "InvalidNodeSettings",
    "OutcomeUnknown",
    "PlatformFormatError",
    "StoreError",
    "StoreRefused",
    "StoreUnavailable",
    "WriteConflict",
]


class PlatformFormatError(Exception):
    """Base of the errors of malformed input."""


class InvalidMessage(PlatformFormatError):
    """A message or row of the platform is malformed; it names the bad value."""


class InvalidNodeSettings(PlatformFormatError):
    """The settings file lacks a value or has one that is not allowed."""


class StoreError(Exception):
    """Base of the errors of calls to the store."""


class StoreUnavailable(StoreError):
    """The call certainly had no effect."""


class OutcomeUnknown(StoreError):
    """The call was sent and has no answer: it may have taken effect, or may later."""


class StoreRefused(StoreError):
    """The store understood the call and does not allow it."""


class WriteConflict(StoreError):
    """A row has another version than the call expects."""


class HistoryGone(StoreError):
    """The changes since the given version are no longer known."""
