"""Errors of the command line interface."""

__all__ = ["CommandError", "CommandFailed", "UsageError"]


class CommandError(Exception):
    """Base class of the errors of this package.

    The message is one line of text for the operator. ``status`` is the exit status.
    """

    status = 1


class CommandFailed(CommandError):
    """The command line is valid, but the command failed.

    ``details`` are lines of text that are printed after the message.
    """

    def __init__(self, message, details=()):
        super().__init__(message)
        self.details = tuple(details)


class UsageError(CommandError):
    """The command line is not valid."""

    status = 2
