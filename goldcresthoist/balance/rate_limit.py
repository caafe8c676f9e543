"""Limit on the rate at which calls start at an upstream."""

__all__ = ["RateLimit"]

# Calls that may start at once after a pause: those of this many seconds, at least one.
BURST_S = 0.1
# A limit below this is treated as this one. An upstream tells the end of its limit in
# the responses to calls, so some must be sent.
MIN_RATE_PER_S = 1.0


class RateLimit:
    """Token bucket for the calls that start at an upstream.

    Without a limit, every call may start at once.

    Attributes
    ----------
    per_s : float or None
        Calls that may start in one second; None while there is no limit.
    """

    def __init__(self):
        self.per_s = None
        # Number of calls that could start at the time below, in monotonic seconds.
        self._tokens = 0.0
        self._counted_at = 0.0

    def set(self, per_s, now):
        """Set the limit in calls per second, or remove it with None."""
        if per_s is not None:
            per_s = max(MIN_RATE_PER_S, per_s)
        if per_s == self.per_s:
            return
        self._refill(now)
        was_limited = self.per_s is not None
        self.per_s = per_s
        if per_s is not None:
            capacity = self._capacity()
            self._tokens = min(self._tokens, capacity) if was_limited else capacity

    def wait_s(self, now, calls_before=0):
        """Return the time in seconds until a call may start.

        ``calls_before`` is the number of calls that start before it.
        """
        if self.per_s is None:
            return 0.0
        self._refill(now)
        return max(0.0, (calls_before + 1 - self._tokens) / self.per_s)

    def take(self, now):
        """Count one call that starts."""
        if self.per_s is not None:
            self._refill(now)
            self._tokens -= 1.0

    def _capacity(self):
        return max(1.0, BURST_S * self.per_s)

    def _refill(self, now):
        if self.per_s is not None:
            gained = max(0.0, now - self._counted_at) * self.per_s
            self._tokens = min(self._capacity(), self._tokens + gained)
        self._counted_at = now
