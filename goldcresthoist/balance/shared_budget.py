"""Local part of a retry budget that all daemons share."""

__all__ = ["SharedRetryBudget"]

# Fractions of the shared limits that the daemons use. The rest is left for what
# `SharedRetryBudget.record_request` cannot count, such as calls of runs that begin at
# other daemons at the same time.
USED_SHARE = 0.55
USED_RESERVE = 0.7
# Tokens that hedges leave for retries of failed requests, but at most this share of
# what the bucket can hold beyond one token. In a large fleet, it holds less than two.
HEDGE_RESERVE = 1.0
HEDGE_RESERVE_SHARE = 0.5


class SharedRetryBudget:
    """Token bucket that keeps the retries of all daemons together within a limit.

    Each daemon adds tokens for the requests that it received itself. The reserve is
    divided by the number of daemons, so that all of them may use it at the same time.
    The daemons do not exchange the content of their buckets.

    Parameters
    ----------
    share : float
        Retries allowed per request, over all daemons.
    reserve : float
        Additional retries allowed in each window of the limit, over all daemons.
    """

    def __init__(self, share, reserve):
        self.daemons = 1
        # None until the first change: the bucket is then full, whatever its capacity.
        self.tokens = None
        self.set_limits(share, reserve)

    @property
    def capacity(self):
        """Largest number of tokens in the bucket."""
        return max(1.0, self.reserve / max(1, self.daemons))

    def set_limits(self, share, reserve):
        """Replace the limits; the parameters are those of the class."""
        self.share = USED_SHARE * share
        self.reserve = USED_RESERVE * reserve
        if self.tokens is not None:
            self.tokens = min(self.tokens, self.capacity)

    def set_daemon_count(self, count):
        """Set how many daemons share the limit."""
        self.daemons = count
        if self.tokens is not None:
            self.tokens = min(self.tokens, self.capacity)

    def record_request(self, retried_share=0.0):
        """Add the tokens for one request of a caller or of the local upstream.

        Calls that a retried run makes count as retries at the service that they go to.

        Parameters
        ----------
        retried_share : float
            Probability that the request is such a call.
        """
        tokens = self.available() + self.share - retried_share
        self.tokens = max(-self.capacity, min(self.capacity, tokens))

    def available(self):
        """Return the number of tokens in the bucket."""
        return self.capacity if self.tokens is None else self.tokens

    def try_take(self):
        """Take one token for a retry; return whether there was one."""
        return self._try_take(0.0)

    def try_take_for_hedge(self):
        """Take one token for a hedge; return whether enough are left for retries."""
        spare = self.capacity - 1.0
        return self._try_take(min(HEDGE_RESERVE, HEDGE_RESERVE_SHARE * spare))

    def _try_take(self, min_remaining):
        tokens = self.available()
        if tokens - 1.0 < min_remaining:
            return False
        self.tokens = tokens - 1.0
        return True

    def refund(self):
        """Put back the token of a retry that reached no upstream."""
        self.tokens = min(self.capacity, self.available() + 1.0)
