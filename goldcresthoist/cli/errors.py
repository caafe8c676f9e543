"""Errors of the command line interface."""

__all__ = ["CommandError", "CommandFailed", "InvalidConfiguration", "UsageError"]


class CommandError(Exception):
    """Base class of the errors of this package.

    The message is one line of text for the operator, and ``details`` are lines that are
    printed after it. ``status`` is the exit status.
    """

    status = 1

    def __init__(self, message, details=()):
        super().__init__(message)
        self.details = tuple(details)


class CommandFailed(CommandError):
    """The command line is valid, but the command failed."""


class InvalidConfiguration(CommandError):
    """A configuration has errors, which the message and the details name."""

    status = 2


class UsageError(CommandError):
    """The command line is not valid."""

    status = 2
