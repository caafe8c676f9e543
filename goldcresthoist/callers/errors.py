"""Errors of the HTTP server for callers."""

__all__ = ["BadRequest", "CallerError", "CallerGone", "HeadersTooLarge"]


class CallerError(Exception):
    """Base of all errors of this package."""

    code = "bad-request"


class BadRequest(CallerError):
    """The bytes of the caller are not a valid request."""


class HeadersTooLarge(CallerError):
    """The request line and the headers together exceed the limit."""

    code = "headers-too-large"


class CallerGone(CallerError):
    """The caller closed its connection."""
