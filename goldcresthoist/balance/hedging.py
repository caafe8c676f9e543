"""Delay after which a call is hedged, that is, sent to a second upstream as well."""

import math

__all__ = ["HedgeTimer"]

# Quantile of the recent latencies that is used as the delay.
PERCENTILE = 0.95
# Bucket bounds grow by 10% each, from 10 us to about 350 s.
LOG_GROWTH = math.log(1.1)
SMALLEST_S = 1e-5
BUCKET_COUNT = 184
# Counts of the histogram are halved when their sum reaches this value, so that the
# percentile follows recent calls.
WINDOW_CALLS = 512
# The percentile is computed anew after this many calls.
REFRESH_CALLS = 32
# Delay as a multiple of the usual time until the percentile is first computed.
INITIAL_MULTIPLE = 4.0


class _LatencyHistogram:
    """Decaying histogram of the latencies of one kind of work."""

    __slots__ = ("counts", "percentile_s", "since_refresh", "total")

    def __init__(self):
        self.counts = [0] * BUCKET_COUNT
        self.total = 0
        self.since_refresh = 0
        self.percentile_s = None

    def record(self, latency_s):
        scaled = math.log(max(latency_s, SMALLEST_S) / SMALLEST_S) / LOG_GROWTH
        self.counts[min(int(scaled), BUCKET_COUNT - 1)] += 1
        self.total += 1
        self.since_refresh += 1
        if self.since_refresh >= REFRESH_CALLS:
            self.refresh()

    def refresh(self):
        """Compute the percentile, and halve the counts if their sum is too large."""
        self.since_refresh = 0
        above = self.total * (1.0 - PERCENTILE)
        for index in range(BUCKET_COUNT - 1, -1, -1):
            above -= self.counts[index]
            if above < 0:
                break
        self.percentile_s = SMALLEST_S * math.exp((index + 1) * LOG_GROWTH)
        if self.total >= WINDOW_CALLS:
            self.counts = [count >> 1 for count in self.counts]
            self.total = sum(self.counts)


class HedgeTimer:
    """Estimates the 95th percentile of recent latencies for each work rule."""

    def __init__(self):
        self.by_work = {}

    def record(self, rule, latency_s):
        """Record the latency, in seconds, of a successful call."""
        latencies = self.by_work.get(rule.name)
        if latencies is None:
            latencies = self.by_work[rule.name] = _LatencyHistogram()
        latencies.record(latency_s)

    def keep(self, names):
        """Discard the latencies of all work rules but those of these names."""
        self.by_work = {
            name: latencies for name, latencies in self.by_work.items() if name in names
        }

    def delay_s(self, rule):
        """Return the delay in seconds after which a call of this work may be hedged."""
        latencies = self.by_work.get(rule.name)
        if latencies is None or latencies.percentile_s is None:
            return INITIAL_MULTIPLE * rule.usual_s
        return max(rule.usual_s, latencies.percentile_s)
