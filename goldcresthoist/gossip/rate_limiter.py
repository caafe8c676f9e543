"""Rate limit of the bytes sent."""

__all__ = ["ByteRateLimiter"]


class ByteRateLimiter:
    """Token bucket of bytes.

    Parameters
    ----------
    rate : float
        Bytes per second.
    burst : float
        Capacity of the bucket, in bytes.
    now : float
        Time on the monotonic clock, in seconds.
    """

    def __init__(self, rate, burst, now):
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.refilled_at = now

    def available(self, now):
        """Return the number of bytes that may be sent now; negative when overdrawn."""
        elapsed = max(0.0, now - self.refilled_at)
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate)
        self.refilled_at = now
        return self.tokens

    def consume(self, size):
        """Charge sent bytes to the bucket.

        Probes and acks are sent and charged even when the bucket is empty. The
        overdraft is limited to the capacity of the bucket.
        """
        self.tokens = max(self.tokens - size, -self.burst)
