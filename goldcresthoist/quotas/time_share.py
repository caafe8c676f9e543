"""Allotment of the time of one daemon to those that count."""

__all__ = ["MAX_ALLOTTED_S", "TimeShare"]

# Longest time that one message allots. Time that passed before a window adds to what
# may run in it, so this is less than the time of a tenth of the usual window.
MAX_ALLOTTED_S = 0.35
# Time without a message of a counter after which a later one in the order is allotted
# time. Counters in need poll each owner at least every 0.3 s.
PREFERENCE_S = 0.45
# Longest time that local admission takes at once.
MAX_LOCAL_S = 1.0
# Time without a message after which a counter no longer relies on an owner.
HEARD_S = 2.0
# Time in which an owner must have allotted time to no other counter for a counter to
# use the part of the burst that belongs to the owner. The other counter may have used
# it for `HEARD_S`, and both must not fall into one window of the usual 5 s.
EXCLUSIVE_S = 5.0 + HEARD_S
# Counters of one group that are remembered; the order of the members may change.
MAX_COUNTERS = 16
# Stands for local admission in place of the address of a counter.
LOCAL = ""


class TimeShare:
    """Time of one daemon, of which each moment is allotted at most once.

    Rates count in the time that the owners of a group allot. Counters on two sides of a
    partition, or after one another, can therefore together not use more than all of it.

    Parameters
    ----------
    started : float
        Monotonic time of the start of the daemon. Earlier time may have been allotted
        by an earlier process.
    """

    def __init__(self, started):
        self.started = started
        # By group, the time up to which it is allotted.
        self._allotted_until = {}
        # By group and rank, the time of the last message from that counter.
        self._heard = {}
        # By group, the time of the last allotment to each counter, by its address.
        self._allotted_at = {}

    def reset(self, now):
        """Drop all time before ``now``, as the groups have changed."""
        self.started = now
        self._allotted_until.clear()
        self._heard.clear()
        self._allotted_at.clear()

    def hear(self, group, rank, now):
        """Record a message from the counter of this rank."""
        self._heard[group, rank] = now

    def allot(self, group, ip, rank, now):
        """Allot the time that has passed to a counter; return it in seconds.

        It is 0 for a counter after one from which this daemon has heard lately.

        Parameters
        ----------
        group : int
        ip : str
            Address of the counter.
        rank : int
            Position of the counter in the order of the group.
        now : float
            Monotonic seconds.
        """
        for better in range(rank):
            if now - self._heard.get((group, better), float("-inf")) < PREFERENCE_S:
                return 0.0
        return self._take(group, ip, now, MAX_ALLOTTED_S)

    def take_local(self, group, now):
        """Return the time in seconds that has passed, for admission by this daemon."""
        return self._take(group, LOCAL, now, MAX_LOCAL_S)

    def is_exclusive(self, group, ip, now):
        """Return whether this daemon has lately allotted time to this counter only."""
        if now - self.started < EXCLUSIVE_S:
            return False
        allotted_at = self._allotted_at.get(group, {})
        return ip in allotted_at and all(
            other == ip or now - time >= EXCLUSIVE_S
            for other, time in allotted_at.items()
        )

    def _take(self, group, ip, now, longest_s):
        since = self._allotted_until.get(group, self.started)
        self._allotted_until[group] = now
        allotted_at = self._allotted_at.setdefault(group, {})
        allotted_at[ip] = now
        if len(allotted_at) > MAX_COUNTERS:
            del allotted_at[min(allotted_at, key=allotted_at.get)]
        return max(0.0, min(longest_s, now - since))
