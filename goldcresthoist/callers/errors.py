"""Errors of the HTTP server for callers."""

__all__ = [
    "BadRequest",
    "BodyTooLarge",
    "CallerError",
    "CallerGone",
    "HeadersTooLarge",
]


class CallerError(Exception):
    """Base class of the errors that the server raises.

    ``code`` is the code of the refusal that the caller receives.
    """

    code = "bad-request"


class BadRequest(CallerError):
    """The caller sent an invalid HTTP request."""


class HeadersTooLarge(CallerError):
    """The header fields, or bytes outside the head and the body, exceed the limit."""

    code = "headers-too-large"


class BodyTooLarge(CallerError):
    """The body exceeds the size limit."""

    code = "body-too-large"


class CallerGone(CallerError):
    """The caller closed its connection."""
