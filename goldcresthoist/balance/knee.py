"""Whether an upstream turns slower when nearly all of its slots are in use."""

__all__ = ["KneeGauge"]

# Below and above this share of the slots, times of the same work are compared.
NEARLY_FULL_SHARE = 0.8
# With a larger ratio than that of the slots, fewer running calls answer more: 12 slots
# against 9 are 1.33.
RATIO_OF_KNEE = 1.3
# Fewer samples on either side say too little.
LEAST_SAMPLES = 12
WEIGHT = 0.1


class KneeGauge:
    """Compares the times of work that ran at the usual pace from start to end."""

    __slots__ = ("above", "below", "found")

    def __init__(self):
        # (samples, mean in seconds) by work.
        self.below = {}
        self.above = {}
        self.found = False

    def record(self, work, taken_s, running, slots):
        """Count a time; ``running`` calls were at the upstream when it started."""
        side = self.above if running > NEARLY_FULL_SHARE * slots else self.below
        count, mean = side.get(work, (0, taken_s))
        weight = max(WEIGHT, 1.0 / (count + 1))
        side[work] = (count + 1, mean + weight * (taken_s - mean))
        if side is self.above and not self.found:
            self.found = self._is_knee(work)

    def limit(self, slots):
        """Return how many calls should run at the same time."""
        return max(1, int(NEARLY_FULL_SHARE * slots)) if self.found else slots

    def _is_knee(self, work):
        count, slow = self.above[work]
        count_below, usual = self.below.get(work, (0, 0.0))
        if min(count, count_below) < LEAST_SAMPLES:
            return False
        return slow > RATIO_OF_KNEE * usual
