"""Waiting calls of one upstream, by work."""

from collections import deque

__all__ = ["Lane", "Slot", "Waiter", "is_short", "long_work_threshold_s"]

# Work counts as long next to work that is at least this many times shorter.
LONG_RATIO = 4.0
SERVICE_TIME_WEIGHT = 0.05


def long_work_threshold_s(configuration):
    """Return the usual time, in seconds, at or above which work counts as long.

    The border is the largest gap between neighbouring usual times. It is infinite when
    no gap reaches ``LONG_RATIO``: then all work is equally short.
    """
    times = sorted({rule.usual_s for rule in configuration.work})
    threshold_s, largest = float("inf"), LONG_RATIO
    for shorter, longer in zip(times, times[1:]):
        if longer / shorter >= largest:
            threshold_s, largest = longer, longer / shorter
    return threshold_s


def is_short(rule, threshold_s):
    """Return whether work counts as short next to the given border in seconds."""
    return rule.usual_s < threshold_s


class Slot:
    """The right to run one call. It must be released exactly once."""

    __slots__ = ("lane", "counts_as_long_at", "short", "started")

    def __init__(self, lane, now):
        self.lane = lane
        self.short = lane.short
        self.started = now
        self.counts_as_long_at = now + lane.short_limit_s


class Waiter:
    """One call that waits for a slot until its deadline."""

    __slots__ = ("deadline", "future", "lane")

    def __init__(self, lane, deadline, future):
        self.lane = lane
        self.deadline = deadline
        self.future = future


class Lane:
    """Waiting calls of one work, oldest first.

    Attributes
    ----------
    value_rate : float
        Weight of an answer per usual second of a slot. Under overload, work with a
        higher rate is served first.
    service_s : float
        Moving average of the time that a call of this work holds a slot.
    """

    __slots__ = ("rule", "service_s", "short", "short_limit_s", "value_rate", "waiters")

    def __init__(self, rule, short, short_multiple):
        self.rule = rule
        self.short = short
        self.short_limit_s = short_multiple * rule.usual_s
        self.value_rate = rule.weight / rule.usual_s
        self.service_s = rule.usual_s
        self.waiters = deque()

    def record_service(self, held_s):
        """Count the seconds for which a call held its slot."""
        # Time beyond the limit is counted through the slots that long-running calls
        # hold, so it must not also raise the expected time of this work.
        held_s = min(held_s, self.short_limit_s)
        self.service_s += SERVICE_TIME_WEIGHT * (held_s - self.service_s)
