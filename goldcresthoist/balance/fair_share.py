"""Recent use of an upstream by each workspace."""

import heapq

__all__ = ["FairShare"]

# A use of this age counts half. It spans several calls of long work, so that one call
# does not decide the order, and a burst is forgotten within seconds of its end.
HALF_LIFE_S = 4.0
# Accounts that are kept; the design size is 1,000 workspaces.
MAX_ACCOUNTS = 2048
# When there are too many accounts, those below this use in seconds are removed, which
# is far less than one call, and as many of the smallest as this share of the bound.
NEGLIGIBLE_USE_S = 0.001
REMOVED_SHARE = 0.125
# Half-lives after which the stored values are scaled again, far below the range of a
# float.
MAX_HALF_LIVES = 64.0


class FairShare:
    """Accounts of the slot time that workspaces have used recently at one upstream.

    Use is in seconds of slot time at normal pace and decays with `HALF_LIFE_S`. The
    accounts are held in memory only: after a restart of the daemon all workspaces are
    equal, and within seconds the accounts are as before.

    Attributes
    ----------
    accounts : dict
        Use by workspace, scaled up by the decay since the time ``origin``. Values of
        different workspaces are thus comparable without their times.
    origin : float
        Monotonic seconds.
    """

    def __init__(self):
        self.accounts = {}
        self.origin = 0.0
        self._level = 0.0

    def use_s(self, workspace, now):
        """Return the recent use of a workspace in seconds; 0 when it has none."""
        return self.accounts.get(workspace, 0.0) * self._decay(now)

    def level_s(self, now):
        """Return the recent use of the workspace whose call started last.

        Calls without a workspace are ranked at this level, so that they neither wait
        behind all workspaces nor go before all of them.
        """
        return self._level * self._decay(now)

    def charge(self, workspace, used_s, now):
        """Add the expected use of a call that starts, in seconds."""
        self._scale(now)
        self._level = self.accounts.get(workspace, 0.0)
        if workspace not in self.accounts and len(self.accounts) >= MAX_ACCOUNTS:
            self._remove_smallest(now)
        self.accounts[workspace] = self._level + used_s / self._decay(now)

    def correct(self, workspace, difference_s, now):
        """Add the difference between the use of a call and what was charged for it."""
        self._scale(now)
        used = self.accounts.get(workspace)
        if used is not None:
            used += difference_s / self._decay(now)
            self.accounts[workspace] = max(0.0, used)

    def _decay(self, now):
        return 0.5 ** ((now - self.origin) / HALF_LIFE_S)

    def _scale(self, now):
        """Move ``origin`` to ``now`` before the scaled values become too large."""
        if now - self.origin <= MAX_HALF_LIVES * HALF_LIFE_S:
            return
        decay = self._decay(now)
        scaled = {name: used * decay for name, used in self.accounts.items()}
        self.accounts = {
            name: used for name, used in scaled.items() if used >= NEGLIGIBLE_USE_S
        }
        self._level *= decay
        self.origin = now

    def _remove_smallest(self, now):
        decay = self._decay(now)
        for name, used in tuple(self.accounts.items()):
            if used * decay < NEGLIGIBLE_USE_S:
                del self.accounts[name]
        if len(self.accounts) >= MAX_ACCOUNTS:
            count = int(REMOVED_SHARE * MAX_ACCOUNTS)
            for name in heapq.nsmallest(count, self.accounts, self.accounts.get):
                del self.accounts[name]
