"""Fakes for the tests of the callers' connections."""

__all__ = ["FakeConnection", "FakeTask"]


class FakeConnection:
    """Stands in for a `CallerConnection` and its transport.

    Attributes
    ----------
    sent : bytes
        What was written.
    ended_by : str
        "abort" or "reset"; empty while the connection is open.
    """

    def __init__(self):
        self.transport = self
        self.sent = b""
        self.closed = False
        self.write_paused = False
        self.ended_by = ""

    def write(self, data):
        """Record written bytes; a transport discards them after an abort."""
        if not self.ended_by:
            self.sent += data

    async def drain(self):
        """Return at once."""

    def abort(self):
        """Record that the connection was aborted."""
        self.ended_by = "abort"

    def reset(self):
        """Record that the connection was reset."""
        self.ended_by = "reset"


class FakeTask:
    """Records whether it was cancelled."""

    def __init__(self):
        self.cancelled = False

    def cancel(self):
        """Record the cancellation."""
        self.cancelled = True
