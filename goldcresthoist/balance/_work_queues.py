"""Queues of the calls that wait for one upstream, one queue per kind of work."""

from collections import deque

__all__ = ["Slot", "Waiter", "WorkQueue", "is_short", "long_work_threshold_s"]

# Smallest ratio of two neighbouring usual times that separates long from short work.
LONG_RATIO = 4.0
# Weight of one call in the moving average of the service time.
SERVICE_TIME_WEIGHT = 0.05


def long_work_threshold_s(configuration):
    """Return the usual time, in seconds, from which on work counts as long.

    The usual times are split at the largest ratio between two neighbouring ones. The
    threshold is infinite when no ratio reaches ``LONG_RATIO``; all work is then short.
    """
    times = sorted({rule.usual_s for rule in configuration.work})
    threshold_s, largest = float("inf"), LONG_RATIO
    for shorter, longer in zip(times, times[1:]):
        if longer / shorter >= largest:
            threshold_s, largest = longer, longer / shorter
    return threshold_s


def is_short(rule, threshold_s):
    """Return whether the usual time of the work is below the threshold."""
    return rule.usual_s < threshold_s


class Slot:
    """Permission to run one call. It must be released exactly once.

    Attributes
    ----------
    queue : WorkQueue
        Queue of the kind of work of the call.
    short : bool
        Whether the call counts as short now.
    started, counts_as_long_at : float
        Monotonic seconds. From `counts_as_long_at` on, a short call counts as long.
    """

    __slots__ = ("counts_as_long_at", "queue", "short", "started")

    def __init__(self, queue, now):
        self.queue = queue
        self.short = queue.short
        self.started = now
        self.counts_as_long_at = now + queue.short_limit_s


class Waiter:
    """A call that waits for a slot until its deadline, in monotonic seconds.

    The future completes with the `Slot`, or fails with `AdmissionRefused`. ``queue`` is
    the `WorkQueue` that contains the call.
    """

    __slots__ = ("deadline", "future", "queue")

    def __init__(self, queue, deadline, future):
        self.queue = queue
        self.deadline = deadline
        self.future = future


class WorkQueue:
    """Queue of the waiting calls of one kind of work, oldest first.

    Attributes
    ----------
    rule : WorkRule
        The work of the calls.
    short : bool
        Whether the work is short.
    waiters : deque of Waiter
    short_limit_s : float
        Running time after which a short call counts as long.
    value_rate : float
        Weight of a response divided by the usual service time. Work with a higher rate
        is served first under overload.
    service_s : float
        Moving average of the time for which a call of this work holds a slot.
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
        """Record for how many seconds a call held its slot."""
        # A call that runs beyond the limit already lowers the number of slots in the
        # expected wait, so its extra time must not raise the service time as well.
        held_s = min(held_s, self.short_limit_s)
        self.service_s += SERVICE_TIME_WEIGHT * (held_s - self.service_s)
