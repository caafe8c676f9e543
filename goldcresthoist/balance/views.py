"""What an entry daemon knows of the upstreams of one service."""

import enum

__all__ = ["Outcome", "UpstreamPool", "UpstreamView"]


class Outcome(enum.Enum):
    """How one call to an upstream ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    REFUSED = "refused"
    CANCELLED = "cancelled"


class UpstreamView:
    """State of one upstream as seen by this entry daemon.

    Mutable and with slots, since it is read and written on every call. All times are
    monotonic seconds.

    Attributes
    ----------
    in_flight : int
        Own calls that run or wait there.
    others : float
        Calls of other daemons there at the time of the last report.
    report_age_from : float
        When the last report was made, as far as its lateness is known.
    slowness : float
        Moving average of latency divided by the usual time of the work.
    pace, pace_time : float
        How many times longer than usual work took there, 0 when not known, and when.
    failure_share : float
        Moving average of the share of own calls that failed there.
    ejections : int
        Consecutive ejections; 0 when the upstream is in use.
    """

    __slots__ = (
        "clock_offset_ms",
        "clock_drift_due",
        "consecutive_failures",
        "draining",
        "ejected_by_report",
        "ejected_until",
        "ejections",
        "failed_at",
        "failure_domain",
        "failure_share",
        "slow_start_at",
        "in_flight",
        "instance",
        "others",
        "pace",
        "pace_time",
        "pool",
        "region",
        "report",
        "report_age_from",
        "report_time",
        "slots",
        "slowness",
        "slowness_time",
        "trial_any_work_from",
        "trial_running",
    )

    def __init__(self, instance, failure_domain, region, now, slots=12):
        self.instance = instance
        self.failure_domain = failure_domain
        self.region = region
        self.slots = slots
        self.slow_start_at = now
        self.in_flight = 0
        self.others = 0.0
        self.report = None
        self.report_time = now
        self.report_age_from = now
        self.clock_offset_ms = -1
        self.clock_drift_due = now
        self.slowness = 1.0
        self.slowness_time = now
        self.consecutive_failures = 0
        self.failed_at = float("-inf")
        self.ejections = 0
        self.ejected_until = 0.0
        self.ejected_by_report = False
        self.trial_any_work_from = 0.0
        self.trial_running = False
        self.draining = False
        self.pace = 0.0
        self.pace_time = now
        self.failure_share = 0.0
        self.pool = None

    def __repr__(self):
        return f"<UpstreamView {self.instance} in_flight={self.in_flight}>"

    def usable(self, now):
        """Return whether a call may be sent there, a trial call included."""
        if self.draining:
            return False
        if not self.ejections:
            return True
        return now >= self.ejected_until and not self.trial_running


class UpstreamPool:
    """The upstreams of one service, grouped by distance from the entry daemon.

    The groups are kept up to date when members change so that choosing does not have
    to look at every upstream.

    Attributes
    ----------
    tiers : tuple of list of UpstreamView
        Upstreams in the own failure domain, in the rest of the region, elsewhere.
    mean_others : float
        Moving average of ``UpstreamView.others`` over recent reports.
    mean_slowness : float
        Moving average of ``UpstreamView.slowness`` over recent calls.
    ejected : int
        Number of upstreams that are ejected or on trial.
    """

    def __init__(self, failure_domain, region):
        self.failure_domain = failure_domain
        self.region = region
        self.views = []
        self.tiers = ([], [], [])
        self.by_instance = {}
        self.mean_others = 0.0
        self.mean_slowness = 1.0
        self.ejected = 0

    def __len__(self):
        return len(self.views)

    def __iter__(self):
        return iter(self.views)

    def get(self, instance):
        """Return the view of that instance, or None."""
        return self.by_instance.get(instance)

    def add(self, view):
        """Add an upstream; one of the same name is replaced."""
        self.discard(view.instance)
        view.pool = self
        self.by_instance[view.instance] = view
        self.views.append(view)
        self._tier_of(view).append(view)

    def discard(self, instance):
        """Remove an upstream. Calls in flight there may still be recorded."""
        view = self.by_instance.pop(instance, None)
        if view is None:
            return
        self.views.remove(view)
        self._tier_of(view).remove(view)
        if view.ejections:
            self.ejected -= 1
        view.pool = None

    def _tier_of(self, view):
        if view.region != self.region:
            return self.tiers[2]
        if view.failure_domain != self.failure_domain:
            return self.tiers[1]
        return self.tiers[0]
