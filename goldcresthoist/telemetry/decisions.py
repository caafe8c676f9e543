"""Non-blocking JSON log of load balancing decisions."""

import asyncio
import os
import time

import msgspec

__all__ = ["DecisionLog"]

# Buffered lines are written together at this interval.
FLUSH_INTERVAL_S = 0.05
# When the reader of the log is too slow, lines beyond this size are dropped, so that
# the memory of the daemon stays bounded.
MAX_BUFFERED_BYTES = 256 * 1024
# Token bucket that limits the lines of one process. Lines beyond the limit are dropped
# and counted.
MAX_LINES_PER_S = 300.0
BURST_LINES = 600.0


class DecisionLog:
    """Writes one JSON line per event.

    Each line has the Unix time in ``t``, the instance in ``at`` and the name of the
    event in ``event``.

    Parameters
    ----------
    instance : str
        Name of the daemon's instance.
    descriptor : int
        File descriptor that lines are written to. It is set to non-blocking mode.

    Attributes
    ----------
    dropped : int
        Lines dropped by the limits on rate and buffer size. The next line that is
        written reports the total in ``lines_dropped``.
    """

    def __init__(self, instance, descriptor=1):
        self.instance = instance
        self.descriptor = descriptor
        self.encoder = msgspec.json.Encoder()
        self.buffered_lines = []
        self.buffered_bytes = 0
        self.unwritten = b""
        self.tokens = BURST_LINES
        self.refilled_at = time.monotonic()
        self.dropped = 0
        self.reported_dropped = 0
        self.flush_handle = None
        try:
            os.set_blocking(descriptor, False)
        except OSError:
            # The descriptor is closed or cannot be non-blocking. Lines are discarded,
            # but requests must not fail because of the log.
            self.descriptor = -1

    def event(self, name, **fields):
        """Log one event; it is dropped when a limit is reached."""
        if not self._take_token():
            self.dropped += 1
            return
        line = {"t": round(time.time(), 4), "at": self.instance, "event": name}
        line.update(fields)
        if self.dropped > self.reported_dropped:
            line["lines_dropped"] = self.dropped
            self.reported_dropped = self.dropped
        data = self.encoder.encode(line) + b"\n"
        if self.buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self.buffered_lines.append(data)
        self.buffered_bytes += len(data)
        if not self._schedule_flush():
            self.flush()

    def flush(self):
        """Write as many buffered lines as the descriptor accepts without blocking."""
        self.flush_handle = None
        data = self.unwritten + b"".join(self.buffered_lines)
        self.buffered_lines.clear()
        self.buffered_bytes = 0
        self.unwritten = b""
        if not data or self.descriptor < 0:
            return
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed the log. The daemon continues without it.
            self.descriptor = -1
            return
        self.unwritten = data[written:]
        self.buffered_bytes = len(self.unwritten)
        if self.unwritten:
            self._schedule_flush()

    def _schedule_flush(self):
        """Schedule a flush; return False when no event loop is running."""
        if self.flush_handle is not None:
            return True
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return False
        self.flush_handle = loop.call_later(FLUSH_INTERVAL_S, self.flush)
        return True

    def _take_token(self):
        now = time.monotonic()
        refill = (now - self.refilled_at) * MAX_LINES_PER_S
        self.tokens = min(BURST_LINES, self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
