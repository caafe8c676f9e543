"""Detection of upstreams that slow down when nearly all of their slots are in use.

The knee of an upstream is the concurrency above which running more calls at the same
time lowers its throughput.
"""

from collections import deque

__all__ = ["KneeDetector"]

# Service times of the same work are compared between calls that started with more than
# this share of the slots in use and calls that started with less.
NEARLY_FULL_SHARE = 0.8
# Ratio of the service times above which there is a knee. If service times grow by a
# larger factor than the number of running calls, running fewer calls gives a higher
# throughput. From 9 to 12 running calls, that factor is 1.33.
KNEE_RATIO = 1.4
# Quantile of the service times that is compared. A low one belongs to calls that did
# not wait for other services, which tend to be slow at the same moments as this one is
# full.
QUANTILE = 0.08
# Number of service times that are compared at low and at high concurrency each. With
# fewer of them, waits for other services are mistaken for a knee.
SAMPLE_COUNT = 60
# Number of most recent verdicts that are kept, over all daemons of the service.
MAX_VERDICTS = 5
# Number of positive verdicts among them that confirm the knee. In a simulation of reads
# that call a full service, 1 to 2 in 100 verdicts were false positives.
REQUIRED_VERDICTS = 3


class KneeDetector:
    """Compares service times at low and at high concurrency.

    Each daemon reaches verdicts on its local upstream and sends them to the other
    daemons of the service. The knee is confirmed when enough verdicts agree.

    Only calls that ran at the usual pace from start to end should be recorded.

    Attributes
    ----------
    below, above : dict
        Service times in seconds since the last verdict, by kind of work, of calls that
        started at low and at high concurrency.
    verdicts : deque of bool
        Most recent verdicts of all daemons of the service.
    confirmed : bool
        Whether the upstreams of the service slow down when nearly full. Once set, it
        stays set.
    """

    __slots__ = ("above", "below", "confirmed", "verdicts")

    def __init__(self):
        self.below = {}
        self.above = {}
        self.verdicts = deque(maxlen=MAX_VERDICTS)
        self.confirmed = False

    def record(self, work, taken_s, running, slots):
        """Record the service time of one call.

        Parameters
        ----------
        work : str
            Name of the kind of work.
        taken_s : float
            Service time in seconds.
        running : int
            Number of calls that were running when this one started.
        slots : int
            Number of slots of the upstream.

        Returns
        -------
        bool or None
            Verdict of this daemon: whether the upstream slows down when nearly full.
            None while there are too few samples, and once the knee is confirmed.
        """
        times_by_work = (
            self.above if running > NEARLY_FULL_SHARE * slots else self.below
        )
        times = times_by_work.get(work)
        if times is None:
            times = times_by_work[work] = deque(maxlen=SAMPLE_COUNT)
        times.append(taken_s)
        above, below = self.above.get(work, ()), self.below.get(work, ())
        if self.confirmed or min(len(above), len(below)) < SAMPLE_COUNT:
            return None
        verdict = _quantile(above) > KNEE_RATIO * _quantile(below)
        del self.above[work], self.below[work]
        return verdict

    def add_verdict(self, verdict):
        """Add the verdict of any daemon of the service.

        Parameters
        ----------
        verdict : bool
            Whether that daemon has found that its upstream slows down when nearly full.

        Returns
        -------
        bool
            Whether this verdict confirmed the knee. False if it was confirmed before.
        """
        self.verdicts.append(verdict)
        if self.confirmed or sum(self.verdicts) < REQUIRED_VERDICTS:
            return False
        self.confirmed = True
        return True

    def limit(self, slots):
        """Return the concurrency limit of an upstream that has this many slots."""
        return max(1, int(NEARLY_FULL_SHARE * slots)) if self.confirmed else slots


def _quantile(times):
    return sorted(times)[int(QUANTILE * len(times))]
