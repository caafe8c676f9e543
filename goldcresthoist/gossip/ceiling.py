"""Limit on the bytes sent per second."""

__all__ = ["ByteRateLimiter"]


class ByteRateLimiter:
    """Token bucket of bytes.

    Parameters
    ----------
    rate : float
        Bytes per second.
    burst : float
        Most bytes that can be saved up.
    now : float
        Time on the monotonic clock, in seconds.
    """

    def __init__(self, rate, burst, now):
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.refilled_at = now

    def available(self, now):
        """Return the bytes that may be sent now; negative after an overdraft."""
        elapsed = max(0.0, now - self.refilled_at)
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate)
        self.refilled_at = now
        return self.tokens

    def consume(self, size):
        """Take bytes out. Probes and acks are charged even when that overdraws."""
        self.tokens = max(self.tokens - size, -self.burst)
