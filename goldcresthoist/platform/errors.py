"""Errors of decoding the platform's formats and of calls to its store."""

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
    """Base class for malformed input."""


class InvalidMessage(PlatformFormatError):
    """A message or row of the platform is malformed; the error names the bad value."""


class InvalidNodeSettings(PlatformFormatError):
    """The settings file is unreadable, lacks a required value or has an invalid one."""


class StoreError(Exception):
    """Base class for failed calls to the store."""


class StoreUnavailable(StoreError):
    """The call was certainly not executed, so it had no effect."""


class OutcomeUnknown(StoreError):
    """The call was sent but got no response; it may have taken effect, or still may."""


class StoreRefused(StoreError):
    """The store processed the call and rejected it."""


class WriteConflict(StoreError):
    """A row has another version than the call expected."""


class HistoryGone(StoreError):
    """The store no longer has all changes after the given version."""
