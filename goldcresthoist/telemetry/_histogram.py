"""Latency histogram with logarithmic buckets."""

import math
from bisect import bisect_left

# With four buckets per octave, a quantile is at most 19% too large. The bounds range
# from 50 us to about 100 s.
BUCKETS_PER_OCTAVE = 4
SMALLEST_BOUND_S = 50e-6
OCTAVES = 21
BOUNDS_S = tuple(
    SMALLEST_BOUND_S * 2 ** (step / BUCKETS_PER_OCTAVE)
    for step in range(OCTAVES * BUCKETS_PER_OCTAVE + 1)
)
# The metrics page shows only one bound per octave, which keeps it small.
EXPOSED_STEP = BUCKETS_PER_OCTAVE


class LatencyHistogram:
    """Histogram of latencies in fixed buckets, so that its memory is constant."""

    __slots__ = ("counts", "sum_s")

    def __init__(self):
        self.counts = [0] * (len(BOUNDS_S) + 1)
        self.sum_s = 0.0

    def record(self, seconds):
        """Add one latency in seconds."""
        self.counts[bisect_left(BOUNDS_S, seconds)] += 1
        self.sum_s += seconds

    def quantile(self, share):
        """Return the upper bound in seconds of the bucket that holds a quantile.

        ``share`` is the quantile, from 0 to 1. The result is NaN for an empty
        histogram, and the largest bound for latencies above it.
        """
        total = sum(self.counts)
        if not total:
            return math.nan
        rank = max(1, math.ceil(share * total))
        cumulative_count = 0
        for bound, count in zip(BOUNDS_S, self.counts):
            cumulative_count += count
            if cumulative_count >= rank:
                return bound
        return BOUNDS_S[-1]

    def cumulative(self):
        """Return ``(upper bound, count at or below it)`` pairs, ending with +Inf."""
        pairs = []
        cumulative_count = 0
        for index, bound in enumerate(BOUNDS_S):
            cumulative_count += self.counts[index]
            if index % EXPOSED_STEP == 0:
                pairs.append((f"{bound:.6g}", cumulative_count))
        pairs.append(("+Inf", cumulative_count + self.counts[-1]))
        return pairs
