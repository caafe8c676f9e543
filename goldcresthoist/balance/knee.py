"""Whether an upstream turns slower when nearly all of its slots are in use."""

from collections import deque

__all__ = ["KneeGauge"]

# Below and above this share of the slots, times of the same work are compared.
NEARLY_FULL_SHARE = 0.8
# With a larger ratio than that of the slots, fewer running calls answer more: 12 slots
# against 9 are 1.33.
RATIO_OF_KNEE = 1.4
# The shorter times are compared: those of calls that did not wait for other services,
# which are slow at the same moments as this one is full.
QUANTILE = 0.2
SAMPLES = 40
LEAST_SAMPLES = 25


class KneeGauge:
    """Compares the times of work that ran at the usual pace from start to end."""

    __slots__ = ("above", "below", "found")

    def __init__(self):
        # Recent times in seconds by work.
        self.below = {}
        self.above = {}
        self.found = False

    def record(self, work, taken_s, running, slots):
        """Count a time; ``running`` calls were at the upstream when it started."""
        side = self.above if running > NEARLY_FULL_SHARE * slots else self.below
        times = side.get(work)
        if times is None:
            times = side[work] = deque(maxlen=SAMPLES)
        times.append(taken_s)
        if side is self.above and not self.found:
            self.found = self._is_knee(work)

    def limit(self, slots):
        """Return how many calls should run at the same time."""
        return max(1, int(NEARLY_FULL_SHARE * slots)) if self.found else slots

    def _is_knee(self, work):
        above, below = self.above[work], self.below.get(work, ())
        if min(len(above), len(below)) < LEAST_SAMPLES:
            return False
        return _quantile(above) > RATIO_OF_KNEE * _quantile(below)


def _quantile(times):
    return sorted(times)[int(QUANTILE * len(times))]
