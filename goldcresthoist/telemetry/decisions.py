"""Structured log of decisions, written without ever blocking the daemon."""

import asyncio
import os
import time

import msgspec

__all__ = ["DecisionLog"]

# Lines are written together this often.
FLUSH_INTERVAL_S = 0.05
# A reader that does not keep up costs lines, not memory.
MOST_WAITING_BYTES = 256 * 1024
# Lines a second of one process; the rest are counted and dropped.
MOST_LINES_PER_S = 300.0
BURST_LINES = 600.0


class DecisionLog:
    """One JSON line for each event, with the time of day in ``t``.

    Parameters
    ----------
    instance : str
        Name that each line carries.
    descriptor : int
        Where lines go; set to not block.

    Attributes
    ----------
    dropped : int
        Lines lost to the limits, told by the next line that is written.
    """

    def __init__(self, instance, descriptor=1):
        self.instance = instance
        self.descriptor = descriptor
        self.encoder = msgspec.json.Encoder()
        self.waiting = []
        self.waiting_bytes = 0
        self.rest = b""
        self.allowance = BURST_LINES
        self.allowed_at = time.monotonic()
        self.dropped = 0
        self.told_dropped = 0
        self.flush_handle = None
        try:
            os.set_blocking(descriptor, False)
        except OSError:
            # A closed or odd descriptor loses lines, never requests.
            self.descriptor = -1

    def event(self, name, **fields):
        """Write one line."""
        if not self._admit():
            self.dropped += 1
            return
        line = {"t": round(time.time(), 4), "at": self.instance, "event": name}
        line.update(fields)
        if self.dropped > self.told_dropped:
            line["lines_dropped"] = self.dropped
            self.told_dropped = self.dropped
        data = self.encoder.encode(line) + b"\n"
        if self.waiting_bytes + len(data) > MOST_WAITING_BYTES:
            self.dropped += 1
            return
        self.waiting.append(data)
        self.waiting_bytes += len(data)
        if not self._schedule():
            self.flush()

    def flush(self):
        """Write what the descriptor takes now."""
        self.flush_handle = None
        data = self.rest + b"".join(self.waiting)
        self.waiting.clear()
        self.waiting_bytes = 0
        self.rest = b""
        if not data or self.descriptor < 0:
            return
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads the log any more; the daemon goes on without it.
            self.descriptor = -1
            return
        self.rest = data[written:]
        self.waiting_bytes = len(self.rest)
        if self.rest:
            self._schedule()

    def _schedule(self):
        """Flush soon; return False when there is no event loop to do it."""
        if self.flush_handle is not None:
            return True
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return False
        self.flush_handle = loop.call_later(FLUSH_INTERVAL_S, self.flush)
        return True

    def _admit(self):
        now = time.monotonic()
        earned = (now - self.allowed_at) * MOST_LINES_PER_S
        self.allowance = min(BURST_LINES, self.allowance + earned)
        self.allowed_at = now
        if self.allowance < 1.0:
            return False
        self.allowance -= 1.0
        return True
