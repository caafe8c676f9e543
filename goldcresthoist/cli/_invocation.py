"""Deferred call of a command, run after the whole command line was validated."""


class Invocation:
    """Function and arguments that a command returns to fire instead of running.

    fire calls a command before it detects unknown flags. If commands did their work
    when called, a command line with an invalid flag would still take effect.
    """

    def __init__(self, function, *arguments):
        self.function = function
        self.arguments = arguments

    def __dir__(self):
        """Return no members, so that fire rejects surplus arguments."""
        return []

    def __str__(self):
        """Return no text, so that fire does not print help for the result."""
        return ""
