"""Errors of the HTTP interface for operators.

The services and the request handlers raise these. Each class has the HTTP status and
the error code of its response.
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
    """Base class of the errors of this package.

    Parameters
    ----------
    message : str
    details : iterable of str
        Further lines of text for the operator.
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
    """The request makes a change but carries no valid MAC."""

    status = 401
    code = "not-authenticated"


class NotFound(OperatorsError):
    """The page, team or operation does not exist."""

    status = 404
    code = "not-found"


class Conflict(OperatorsError):
    """The change conflicts with one made meanwhile.

    The other change comes from another operator or from the owner of the operation.
    """

    status = 409
    code = "conflict"


class Unavailable(OperatorsError):
    """A store is unavailable, or the outcome of a write to it is unknown."""

    status = 503
    code = "unavailable"
