"""Counting of the requests of workspaces."""

import math
from dataclasses import dataclass

from goldcresthoist.quotas.limits import capacity
from goldcresthoist.quotas.time_share import HEARD_S, MAX_ALLOTTED_S

__all__ = ["TICK_S", "QuotaCounter", "Verdict"]

# Time after the last query for which the owners of a group are polled. A counter uses
# only a few tokens of a full bucket until it has heard from the owners again.
ACTIVE_S = 10.0
# Interval of the checks which owners have to be polled. Few are polled in each, so that
# their time does not come in lumps that are larger than the stock of a bucket.
TICK_S = 0.025
# Owners are polled after this time without a message while a bucket of the group needs
# time, and otherwise less often. So are owners that are silent for `LOST_S`.
POLL_S = 0.2
SLOW_POLL_S = 1.0
LOST_S = 2.0
# Buckets that are at least this full need no time of owners.
FULL_SHARE = 0.75
# Time over which the returns of refused callers are spread.
SPREAD_S = 2.0


@dataclass(frozen=True, slots=True)
class Verdict:
    """Tokens granted, and the time in seconds after which more can be expected."""

    granted: int
    wait_s: float


class QuotaCounter:
    """Token buckets of the workspaces for which this daemon counts.

    Rates count in the time that the owners of a group allot, not in that of the clock.

    Parameters
    ----------
    limits : QuotaLimits
    """

    def __init__(self, limits):
        self.limits = limits
        self._groups = {}

    def __len__(self):
        return len(self._groups)

    def clear(self):
        """Drop all buckets, as the groups have changed."""
        self._groups.clear()

    def remove_others(self, names):
        """Drop the buckets of workspaces that the configuration no longer has."""
        for group in self._groups.values():
            kept = {key: item for key, item in group.buckets.items() if key in names}
            group.buckets = kept

    def group(self, number):
        """Return the state of a group, which starts with no time."""
        if number not in self._groups:
            self._groups[number] = _Group()
        return self._groups[number]

    def allot(self, number, owner, allotted_s, exclusive, owners, now):
        """Add time that an owner allots to a group.

        Parameters
        ----------
        number : int
            The group.
        owner : str
            Address of the daemon that allots its time. Others than owners are ignored.
        allotted_s : float
            In seconds; more than `MAX_ALLOTTED_S` counts as that.
        exclusive : bool
            Whether the owner has lately allotted time to no other counter.
        owners : sequence of str
            Addresses of all owners of the group.
        now : float
            Monotonic seconds.
        """
        if owner not in owners:
            return
        group = self.group(number)
        group.heard[owner] = now
        if exclusive:
            group.exclusive[owner] = now
        else:
            group.exclusive.pop(owner, None)
        group.time_s += max(0.0, min(MAX_ALLOTTED_S, allotted_s)) / len(owners)

    def take(self, number, workspace, wanted, refunded, rank, owners, now):
        """Take tokens for requests that are about to run.

        Parameters
        ----------
        number : int
            The group of the workspace.
        workspace : Workspace
            As in the configuration of this daemon.
        wanted, refunded : int
            Number of requests, and of tokens that earlier ones did not use.
        rank : int
            Position of this daemon among the owners.
        owners : sequence of str
        now : float
            Monotonic seconds.

        Returns
        -------
        Verdict
        """
        group = self.group(number)
        if wanted:
            group.active_until = now + ACTIVE_S
        bucket = group.buckets.get(workspace.name)
        if bucket is None:
            tokens = self.limits.first_tokens(workspace, rank)
            bucket = group.buckets[workspace.name] = _Bucket(tokens, group.time_s)
        share = _count_recent(group.exclusive, owners, now) / len(owners)
        bucket.refill(group.time_s)
        bucket.rate_per_s = workspace.rate_per_s
        bucket.capacity = capacity(workspace)
        bucket.set_stock(self.limits.stock(workspace, share))
        bucket.add(refunded)
        granted = min(wanted, max(0, int(bucket.tokens)))
        bucket.tokens -= granted
        if granted == wanted:
            return Verdict(granted, 0.0)
        heard = max(1, _count_recent(group.heard, owners, now))
        rate_per_s = workspace.rate_per_s * heard / len(owners)
        return Verdict(granted, bucket.reserve(wanted - granted, rate_per_s, now))

    def owners_to_poll(self, number, owners, now):
        """Return the addresses of the owners to poll in this `TICK_S`."""
        group = self.group(number)
        if now > group.active_until:
            return []
        usual_s = POLL_S if group.needs_time() else SLOW_POLL_S
        due = []
        for ip in owners:
            silent_s = now - group.heard.get(ip, float("-inf"))
            interval_s = SLOW_POLL_S if silent_s > LOST_S else usual_s
            polled_s = now - group.polled.get(ip, float("-inf"))
            if silent_s >= usual_s and polled_s >= interval_s:
                due.append(ip)
        due.sort(key=lambda ip: group.polled.get(ip, float("-inf")))
        del due[math.ceil(len(owners) * TICK_S / POLL_S) :]
        group.polled.update(dict.fromkeys(due, now))
        return due

    def active_groups(self, now):
        """Return the groups with recent queries."""
        return [key for key, item in self._groups.items() if now <= item.active_until]


class _Group:
    """Buckets and owners of one group.

    ``time_s`` is the time allotted so far, in seconds.
    """

    __slots__ = ("active_until", "buckets", "exclusive", "heard", "polled", "time_s")

    def __init__(self):
        self.time_s = 0.0
        self.active_until = float("-inf")
        self.buckets = {}
        # By owner, the monotonic times of its last message, of the last one that said
        # that it allots time to no other counter, and of the last poll.
        self.heard = {}
        self.exclusive = {}
        self.polled = {}

    def needs_time(self):
        """Return whether a bucket is not nearly full."""
        for bucket in self.buckets.values():
            bucket.refill(self.time_s)
        return any(
            item.tokens < max(1.0, FULL_SHARE * item.stock)
            for item in self.buckets.values()
        )


class _Bucket:
    """Tokens of one workspace.

    ``capacity`` is the largest number of tokens, and ``stock`` that of those which can
    be used at present; the others are in ``aside``. ``not_moved`` is the part of the
    falls of the stock for which there were no tokens to set aside. ``time_s`` is the
    time of the group up to which tokens were added, and ``free_at`` the monotonic time
    at which the next refused caller can have a token.
    """

    __slots__ = (
        "aside",
        "capacity",
        "free_at",
        "not_moved",
        "rate_per_s",
        "stock",
        "time_s",
        "tokens",
    )

    def __init__(self, tokens, time_s):
        self.tokens = tokens
        self.stock = self.capacity = max(1.0, tokens)
        self.aside = self.not_moved = 0.0
        self.time_s = time_s
        self.rate_per_s = 0.0
        self.free_at = float("-inf")

    def refill(self, time_s):
        """Add the tokens for the time that was allotted since the last call."""
        self.add(self.rate_per_s * (time_s - self.time_s))
        self.time_s = time_s

    def add(self, tokens):
        """Add tokens up to the capacity; those beyond the stock are set aside."""
        gained = min(tokens, max(0.0, self.capacity - self.tokens - self.aside))
        usable = max(0.0, min(gained, self.stock - self.tokens))
        self.tokens += usable
        self.aside += gained - usable

    def set_stock(self, stock):
        """Change the number of tokens that can be used at present.

        A rise puts back no more than falls have set aside, so that a stock that varies
        does not make the tokens usable that belong to other owners.
        """
        self.aside = max(0.0, min(self.aside, self.capacity - self.tokens))
        change = stock - self.stock
        self.stock = stock
        if change < 0.0:
            moved = max(0.0, self.tokens - stock)
            self.not_moved += max(0.0, -change - moved)
            self.tokens -= moved
            self.aside += moved
            return
        skipped = min(self.not_moved, change)
        self.not_moved -= skipped
        back = min(self.aside, change - skipped)
        self.tokens += back
        self.aside -= back

    def reserve(self, refused, rate_per_s, now):
        """Return the time until tokens come that no other refused caller waits for.

        No tokens are kept for these callers; the times only spread their returns.
        """
        earliest_at = now + (1.0 - self.tokens) / rate_per_s
        if not earliest_at <= self.free_at <= now + SPREAD_S:
            self.free_at = earliest_at
        wait_s = self.free_at - now
        self.free_at += refused / rate_per_s
        return wait_s


def _count_recent(times, owners, now):
    """Return the number of owners with a time that is not longer ago than `HEARD_S`."""
    return sum(now - times.get(ip, float("-inf")) < HEARD_S for ip in owners)
