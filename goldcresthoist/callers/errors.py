"""Errors of the HTTP server for callers."""

__all__ = ["BadRequest", "CallerError", "CallerGone", "HeadersTooLarge"]


class CallerError(Exception):
    """Base class of the errors that the server raises.

    ``code`` is the code of the refusal that the caller receives.
    """

    code = "bad-request"


class BadRequest(CallerError):
    """The caller sent an invalid HTTP request."""


class HeadersTooLarge(CallerError):
    """The request target and the header fields together exceed the size limit."""

    code = "headers-too-large"


class CallerGone(CallerError):
    """The caller closed its connection."""
