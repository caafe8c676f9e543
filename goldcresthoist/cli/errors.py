"""Errors of the command line."""

__all__ = ["CommandError", "CommandFailed", "UsageError"]


class CommandError(Exception):
    """Base of all errors of this package. The text is one line for the operator."""

    status = 1


class CommandFailed(CommandError):
    """The command was understood but did not succeed.

    ``details`` are further lines.
    """

    def __init__(self, message, details=()):
        super().__init__(message)
        self.details = tuple(details)


class UsageError(CommandError):
    """The command line is not valid."""

    status = 2
