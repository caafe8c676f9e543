"""Estimation of the current pace of an upstream.

Pace is the ratio of the current to the usual processing time: 1 is normal and higher
values are slower.
"""

__all__ = ["INITIAL_MEAN_PACE", "PaceEstimator", "decayed_pace"]

# An upstream shares its instance with other workloads, which slow it down several times
# a second. A sample of this age has half of the weight in the estimate, and the
# long-run mean has the other half.
PACE_HALF_LIFE_S = 0.15
# Long-run mean assumed without samples: a pace of 7 for a quarter of the time, else 1.
INITIAL_MEAN_PACE = 2.5
# Weight of one sample in the long-run mean.
MEAN_WEIGHT = 0.02
# Mean pace in slow phases that is assumed without samples, and the weight of one sample
# in it.
INITIAL_SLOW_PACE = 7.0
SLOW_PACE_WEIGHT = 0.1
# Samples are capped at this value.
MAX_PACE = 100.0
# A pace of at least this value marks a slow phase. It is above the pace of an upstream
# that has just started, which is about 2.
SLOW_PACE = 3.0
# Range in which the pace counts as normal.
NORMAL_PACE_MIN, NORMAL_PACE_MAX = 0.9, 1.1


def decayed_pace(pace, age_s, mean):
    """Return the expected pace, given a sample and its age.

    Parameters
    ----------
    pace : float
        Last sample; 0 when there is none.
    age_s : float
        Age of the sample in seconds.
    mean : float
        Value that the estimate approaches as the sample ages, usually the long-run
        mean.
    """
    if pace <= 0.0:
        return mean
    weight = 0.5 ** (max(0.0, age_s) / PACE_HALF_LIFE_S)
    return mean + (pace - mean) * weight


class PaceEstimator:
    """Estimates the pace from the samples that the local upstream reports.

    Attributes
    ----------
    pace, pace_time : float
        Last sample, and the monotonic time at which it was recorded.
    mean : float
        Moving average of the samples.
    slow_mean : float
        Moving average of the samples in slow phases.
    known : bool
        Whether there is any sample.
    last_abnormal_at : float
        Time of the last sample outside the normal range.
    base : float
        Last sample outside slow phases: 1, or more while the upstream warms up.
    slow_since : float or None
        Time of the first sample of the current slow phase; None outside slow phases.
    """

    __slots__ = (
        "base",
        "known",
        "last_abnormal_at",
        "mean",
        "pace",
        "pace_time",
        "slow_mean",
        "slow_since",
    )

    def __init__(self):
        self.pace = 0.0
        self.pace_time = 0.0
        self.mean = INITIAL_MEAN_PACE
        self.slow_mean = INITIAL_SLOW_PACE
        self.base = 1.0
        self.known = False
        self.last_abnormal_at = float("-inf")
        self.slow_since = None

    def record(self, pace, now):
        """Record a sample; 0 stands for an unknown pace and is ignored."""
        if pace <= 0.0:
            return
        pace = min(pace, MAX_PACE)
        if not self.known:
            self.known = True
            self.mean = min(INITIAL_MEAN_PACE, pace)
        self.pace = pace
        self.pace_time = now
        if not NORMAL_PACE_MIN <= pace <= NORMAL_PACE_MAX:
            self.last_abnormal_at = now
        if pace < SLOW_PACE:
            self.slow_since = None
            self.base = max(1.0, pace)
        else:
            self.slow_mean += SLOW_PACE_WEIGHT * (pace - self.slow_mean)
            if self.slow_since is None:
                self.slow_since = now
        self.mean += MEAN_WEIGHT * (pace - self.mean)

    def expected(self, now):
        """Return the expected pace of a call that starts now; 1 without any sample."""
        if not self.known:
            return 1.0
        return decayed_pace(self.pace, now - self.pace_time, self.mean)

    def was_normal(self, since, margin_s):
        """Return whether all samples since ``since`` were in the normal range.

        Samples of the ``margin_s`` seconds before ``since`` are included.
        """
        return self.known and self.last_abnormal_at < since - margin_s

    def is_stale(self, now, max_age_s):
        """Return whether the last sample is older than ``max_age_s`` seconds."""
        return now - self.pace_time > max_age_s

    def is_in_slow_phase(self, now, longest_s):
        """Return whether a slow phase is in progress that is not too long.

        It must have begun less than ``longest_s`` seconds ago. An upstream that is slow
        for longer is taken to be slow permanently.
        """
        return self.slow_since is not None and now - self.slow_since < longest_s

    def is_slow(self, now, ratio, max_age_s):
        """Return whether the last sample shows a pace of at least ``ratio``.

        A sample that is older than ``max_age_s`` seconds does not count.
        """
        return self.pace >= ratio and now - self.pace_time <= max_age_s
