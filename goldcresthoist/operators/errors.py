"""Errors of the pages for operators.

The services behind the pages raise these; each has an HTTP status and a code.
"""

__all__ = [
    "Conflict",
    "InvalidRequest",
    "NotAuthenticated",
    "NotFound",
    "OperatorsError",
    "Unavailable",
]


class OperatorsError(Exception):
    """Base of all errors of this package.

    Parameters
    ----------
    message : str
    details : iterable of str
        Further lines for the operator.
    """

    status = 500
    code = "internal"

    def __init__(self, message, details=()):
        super().__init__(message)
        self.details = tuple(details)


class InvalidRequest(OperatorsError):
    """The request or the questionnaire in it is not valid."""

    status = 400
    code = "invalid"


class NotAuthenticated(OperatorsError):
    """The request changes something and has no valid MAC."""

    status = 401
    code = "not-authenticated"


class NotFound(OperatorsError):
    """The page, team or operation does not exist."""

    status = 404
    code = "not-found"


class Conflict(OperatorsError):
    """Another operator, or the owner of an operation, was first."""

    status = 409
    code = "conflict"


class Unavailable(OperatorsError):
    """The table service or the object store cannot be reached."""

    status = 503
    code = "unavailable"
