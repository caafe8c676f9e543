"""This daemon's part of a retry budget that all daemons share."""

__all__ = ["SharedRetryBudget"]

# Part of the shared limit that is used; the calls that a repeated call makes in turn
# count as repeats at other services, unseen by this daemon.
USED_SHARE = 0.55
USED_RESERVE = 0.7


class SharedRetryBudget:
    """Token bucket that keeps the sum over all daemons within the shared limit.

    Each daemon earns by the requests that it has seen itself. The reserve is divided by
    the number of daemons, so that all of them may use theirs at the same moment.

    Parameters
    ----------
    share : float
        Retries allowed for each request, over all daemons.
    reserve : float
        Retries allowed besides, in each window of the limit.
    """

    def __init__(self, share, reserve):
        self.share = USED_SHARE * share
        self.reserve = USED_RESERVE * reserve
        self.daemons = 1
        self.tokens = None

    @property
    def capacity(self):
        """The most tokens that are kept."""
        return max(1.0, self.reserve / max(1, self.daemons))

    def set_daemons(self, count):
        """Set how many daemons share the limit."""
        self.daemons = count
        if self.tokens is not None:
            self.tokens = min(self.tokens, self.capacity)

    def record_request(self):
        """Earn by one request of a caller."""
        self.tokens = min(self.capacity, self.available() + self.share)

    def available(self):
        """Return the tokens at hand."""
        return self.capacity if self.tokens is None else self.tokens

    def take(self, min_remaining=0.0):
        """Take one token, unless fewer than ``min_remaining`` would remain."""
        tokens = self.available()
        if tokens - 1.0 < min_remaining:
            return False
        self.tokens = tokens - 1.0
        return True

    def give_back(self):
        """Return the token of a retry that reached no upstream."""
        self.tokens = min(self.capacity, self.available() + 1.0)
