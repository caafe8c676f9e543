"""Whether the upstreams of a service turn slower when nearly all slots are in use."""

from collections import deque

__all__ = ["KneeDetector"]

# Below and above this share of the slots, times of the same work are compared.
NEARLY_FULL_SHARE = 0.8
# With a larger ratio than that of the slots, fewer running calls answer more: 12 slots
# against 9 are 1.33.
KNEE_RATIO = 1.4
# The shorter times are compared: those of calls that did not wait for other services,
# which are slow at the same moments as this one is full. With fewer times on each side,
# calls of other services are taken for a knee.
QUANTILE = 0.08
SAMPLE_COUNT = 60
# Verdicts of the service's daemons that are kept, and how many of them must agree. In a
# model of reads that call a full service, 1 to 2 in 100 verdicts found a knee wrongly.
MAX_VERDICTS = 5
REQUIRED_VERDICTS = 3


class KneeDetector:
    """Compares the times of work that ran at the usual pace from start to end.

    Attributes
    ----------
    found : bool
        Whether the upstreams of the service turn slower when nearly full.
    """

    __slots__ = ("above", "below", "found", "verdicts")

    def __init__(self):
        # Times in seconds by work, since the last verdict.
        self.below = {}
        self.above = {}
        self.verdicts = deque(maxlen=MAX_VERDICTS)
        self.found = False

    def record(self, work, taken_s, running, slots):
        """Count a time; ``running`` calls were at the upstream when it started.

        Returns
        -------
        bool or None
            The verdict of this daemon when it has seen enough, else None.
        """
        side = self.above if running > NEARLY_FULL_SHARE * slots else self.below
        times = side.get(work)
        if times is None:
            times = side[work] = deque(maxlen=SAMPLE_COUNT)
        times.append(taken_s)
        above, below = self.above.get(work, ()), self.below.get(work, ())
        if self.found or min(len(above), len(below)) < SAMPLE_COUNT:
            return None
        verdict = _quantile(above) > KNEE_RATIO * _quantile(below)
        del self.above[work], self.below[work]
        return verdict

    def learn(self, verdict):
        """Take over a verdict of any daemon of the service; return whether it decides.

        Parameters
        ----------
        verdict : bool
            Whether that daemon has found its upstream to turn slower.
        """
        self.verdicts.append(verdict)
        if self.found or sum(self.verdicts) < REQUIRED_VERDICTS:
            return False
        self.found = True
        return True

    def limit(self, slots):
        """Return how many calls should run at the same time."""
        return max(1, int(NEARLY_FULL_SHARE * slots)) if self.found else slots


def _quantile(times):
    return sorted(times)[int(QUANTILE * len(times))]
