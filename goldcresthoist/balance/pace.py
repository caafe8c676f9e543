"""How fast an upstream's instance is just now."""

__all__ = ["INITIAL_MEAN_PACE", "PaceEstimator", "decayed_pace"]

# An upstream shares its instance with others and turns slow several times a second. A
# figure that is this old counts half; the rest is the long-run mean.
PACE_HALF_LIFE_S = 0.15
# Mean where nothing is known: 7 times slower for a quarter of the time.
INITIAL_MEAN_PACE = 2.5
MEAN_WEIGHT = 0.02
MAX_PACE = 100.0
# An instance that takes at least this many times the usual time is in a slow phase; an
# upstream that has just started takes about twice the usual time and is not.
SLOW_PACE = 3.0
# The pace counts as usual between these.
NORMAL_PACE_MIN, NORMAL_PACE_MAX = 0.9, 1.1


def decayed_pace(pace, age_s, mean):
    """Return the pace to expect when it was ``pace`` some seconds ago."""
    if pace <= 0.0:
        return mean
    weight = 0.5 ** (max(0.0, age_s) / PACE_HALF_LIFE_S)
    return mean + (pace - mean) * weight


class PaceEstimator:
    """The last figure that the own upstream gave, and their mean."""

    __slots__ = ("known", "mean", "pace", "pace_time", "slow_since", "last_abnormal_at")

    def __init__(self):
        self.pace = 0.0
        self.pace_time = 0.0
        self.mean = INITIAL_MEAN_PACE
        self.known = False
        # When the pace was last seen to be another than the usual one.
        self.last_abnormal_at = float("-inf")
        # When the slow phase in hand was first seen; None when there is none.
        self.slow_since = None

    def record(self, pace, now):
        """Take over a figure; 0 says nothing."""
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
        elif self.slow_since is None:
            self.slow_since = now
        self.mean += MEAN_WEIGHT * (pace - self.mean)

    def expected(self, now):
        """Return the pace to expect for work that starts now."""
        if not self.known:
            return 1.0
        return decayed_pace(self.pace, now - self.pace_time, self.mean)

    def was_normal(self, since, within_s):
        """Return whether nothing else was seen from shortly before ``since`` on."""
        return self.known and self.last_abnormal_at < since - within_s

    def is_stale(self, now, within_s):
        """Return whether the last figure is older than ``within_s`` seconds."""
        return now - self.pace_time > within_s

    def is_in_slow_phase(self, now, longest_s):
        """Return whether a slow phase goes on that began at most so long ago."""
        return self.slow_since is not None and now - self.slow_since < longest_s

    def is_slow(self, now, ratio, within_s):
        """Return whether a figure of the last ``within_s`` seconds reaches it."""
        return self.pace >= ratio and now - self.pace_time <= within_s
