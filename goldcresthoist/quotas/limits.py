"""How far the parts of the quotas may each exceed a quota."""

from dataclasses import dataclass

__all__ = ["QuotaLimits", "capacity"]

# Parts of the reserve of the bound: one for the tokens at the start of each of the
# first four owners that count, and two for those of local admission. Later owners
# start without tokens and can only collect as many.
RESERVE_PARTS = 6
LOCAL_PARTS = 2
FIRST_COUNTERS = 4
# Part of the allowed excess that a counter may have in stock without any owners.
COUNTER_SHARE = 0.05
# Part of the allowed excess that local admission may have in stock in the whole fleet.
# It is less than the part of the time that one message may allot, 0.7 with the usual
# bounds; the time of an owner is in one of both.
LOCAL_SHARE = 0.5


def capacity(workspace):
    """Return the tokens that the bucket of a workspace holds, at least one."""
    return max(1.0, workspace.burst)


@dataclass(frozen=True, slots=True)
class QuotaLimits:
    """Stocks of tokens that together keep the bound of a quota.

    Attributes
    ----------
    window_s : float
        Length in seconds of the windows for which the bound holds.
    share : float
        Excess that is allowed in a window, as a share of the quota.
    reserve : float
        Requests that are allowed in a window in addition.
    """

    window_s: float = 5.0
    share: float = 0.1
    reserve: float = 20.0

    @classmethod
    def from_bounds(cls, bounds):
        """Return the limits for the `Bounds` of the settings."""
        return cls(bounds.quota_window_s, bounds.quota_share, bounds.quota_reserve)

    def excess(self, workspace):
        """Return the requests over the quota that the share allows in a window."""
        quota = workspace.rate_per_s * self.window_s + workspace.burst
        return self.share * quota

    def bound(self, workspace):
        """Return the largest number of requests that may run in any window."""
        quota = workspace.rate_per_s * self.window_s + workspace.burst
        return quota + self.excess(workspace) + self.reserve

    def first_tokens(self, workspace, rank):
        """Return the tokens with which the owner of this rank starts to count."""
        if rank >= FIRST_COUNTERS:
            return 0.0
        return min(capacity(workspace), self.reserve / RESERVE_PARTS)

    def stock(self, workspace, share):
        """Return the tokens that a counter may have, at least one.

        Parameters
        ----------
        workspace : Workspace
        share : float
            Share of the owners that have lately allotted time to no other counter. The
            shares of all counters add up to 1 at most.
        """
        full = capacity(workspace)
        least = self.reserve / RESERVE_PARTS + COUNTER_SHARE * self.excess(workspace)
        least = min(full, max(1.0, least))
        return least + share * (full - least)

    def local_tokens(self, members):
        """Return the tokens with which local admission starts at each daemon."""
        return self._local_reserve() / members

    def local_capacity(self, workspace, owners):
        """Return the tokens that local admission may have at a daemon that owns time.

        Parameters
        ----------
        workspace : Workspace
        owners : int
            Number of daemons that own the time of the group.
        """
        stock = self._local_reserve() + LOCAL_SHARE * self.excess(workspace)
        return stock / owners

    def _local_reserve(self):
        return self.reserve * LOCAL_PARTS / RESERVE_PARTS
