"""Latency histogram with logarithmic buckets."""

import math
from bisect import bisect_left

# Four buckets an octave keep the error of a quantile under 19%; the range is 50 us to
# about 100 s.
BUCKETS_PER_OCTAVE = 4
SMALLEST_BOUND_S = 50e-6
OCTAVES = 21
BOUNDS_S = tuple(
    SMALLEST_BOUND_S * 2 ** (step / BUCKETS_PER_OCTAVE)
    for step in range(OCTAVES * BUCKETS_PER_OCTAVE + 1)
)
# Metrics expose one bound an octave, to keep the page small.
EXPOSED_EVERY = BUCKETS_PER_OCTAVE


class LatencyHistogram:
    """Counts of latencies by bucket. Memory is constant."""

    __slots__ = ("counts", "sum_s")

    def __init__(self):
        self.counts = [0] * (len(BOUNDS_S) + 1)
        self.sum_s = 0.0

    def record(self, seconds):
        """Count one latency."""
        self.counts[bisect_left(BOUNDS_S, seconds)] += 1
        self.sum_s += seconds

    def quantile(self, share):
        """Return the upper bound of the bucket that holds the quantile, in seconds."""
        total = sum(self.counts)
        if not total:
            return math.nan
        rank = max(1, math.ceil(share * total))
        seen = 0
        for bound, count in zip(BOUNDS_S, self.counts):
            seen += count
            if seen >= rank:
                return bound
        return BOUNDS_S[-1]

    def cumulative(self):
        """Return ``(upper bound, count at or below it)`` pairs, ending with +Inf."""
        pairs = []
        seen = 0
        for index, bound in enumerate(BOUNDS_S):
            seen += self.counts[index]
            if index % EXPOSED_EVERY == 0:
                pairs.append((f"{bound:.6g}", seen))
        pairs.append(("+Inf", seen + self.counts[-1]))
        return pairs
