"""A command with its arguments, run after the whole command line was checked."""


class Invocation:
    """What a command returns to fire.

    fire calls a command before it finds flags that it does not know. Commands
    therefore only return what to run.
    """

    def __init__(self, function, *arguments):
        self.function = function
        self.arguments = arguments

    def __dir__(self):
        """Offer no members, so that fire refuses arguments that are left over."""
        return []

    def __str__(self):
        """Keep fire from printing help for the result."""
        return ""
