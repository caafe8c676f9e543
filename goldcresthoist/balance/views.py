"""State that an entry daemon keeps about the upstreams of one service.

The entry daemon of a call is the one that received the request from the caller. The
serving daemon is the one on the instance of the chosen upstream, to which it passes the
call.
"""

import enum

__all__ = ["Outcome", "UpstreamPool", "UpstreamView"]


class Outcome(enum.Enum):
    """Result of one call to an upstream."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    REFUSED = "refused"
    CANCELLED = "cancelled"


class UpstreamView:
    """State of one upstream as seen by this entry daemon.

    The class is mutable and uses ``__slots__`` because instances are read and written
    on every call. All times are monotonic seconds.

    Attributes
    ----------
    pool : UpstreamPool or None
        The pool to which the upstream belongs; None once it has been removed.
    slots : int
        Number of calls that the upstream runs at the same time, as last reported.
    in_flight : int
        Calls of this daemon that run or wait at the upstream.
    calls_of_others : float
        Calls of other daemons that ran or waited there at the time of the last report.
    report, report_time : LoadReport or None, float
        Last load report and the time of its arrival.
    report_made_at : float
        Time at which the last report was made: its arrival minus its estimated delay.
    clock_offset_ms : int
        Smallest difference seen between the arrival time of reports and their time
        stamps, modulo 65,536 ms; negative when it is not known.
    clock_drift_due : float
        Time at which the clock offset is next raised by 1 ms.
    slowness, slowness_time : float
        Moving average of the latency divided by the usual time of the work, and the
        time of its last change.
    slow_start_at : float
        Start of the current or last slow start.
    pace, pace_time : float
        Last pace sample and the time at which it was taken. The pace is the ratio of
        the current to the usual processing time, or 0 when it is not known.
    failure_share : float
        Moving average of the share of calls of this daemon that failed there.
    consecutive_failures, failed_at : int, float
        Failed calls of this daemon since the last successful one, and the time of the
        last failure.
    ejections : int
        Consecutive ejections; 0 when the upstream is in use.
    ejected_until : float
        Time from which an ejected upstream may get a trial call.
    ejected_by_report : bool
        Whether a load report caused or extended the ejection.
    trial_running : bool
        Whether a trial call is in flight. There is at most one at a time.
    link_s_per_byte : float
        Seconds for the transfer of one byte between the instances; 0 if unknown.
    trial_any_work_from : float
        Time from which an ejected upstream may get a trial call of any work, including
        work that cannot be repeated.
    """

    __slots__ = (
        "calls_of_others",
        "clock_drift_due",
        "clock_offset_ms",
        "consecutive_failures",
        "draining",
        "ejected_by_report",
        "ejected_until",
        "ejections",
        "failed_at",
        "failure_domain",
        "failure_share",
        "in_flight",
        "instance",
        "link_s_per_byte",
        "pace",
        "pace_time",
        "pool",
        "region",
        "report",
        "report_made_at",
        "report_time",
        "slots",
        "slow_start_at",
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
        self.calls_of_others = 0.0
        self.report = None
        self.report_time = now
        self.report_made_at = now
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
        self.link_s_per_byte = 0.0
        self.pool = None

    def __repr__(self):
        return f"<UpstreamView {self.instance} in_flight={self.in_flight}>"

    def usable(self, now):
        """Return whether a call, possibly a trial call, may be sent to the upstream."""
        if self.draining:
            return False
        if not self.ejections:
            return True
        return now >= self.ejected_until and not self.trial_running


class UpstreamPool:
    """The upstreams of one service, grouped into tiers by their distance.

    The tiers are updated when upstreams are added or removed, so that selection does
    not have to examine every upstream.

    Attributes
    ----------
    tiers : tuple of list of UpstreamView
        Upstreams in the failure domain of this daemon, in the rest of its region, and
        in other regions.
    mean_calls_of_others : float
        Moving average of ``UpstreamView.calls_of_others`` over recent reports.
    mean_slowness : float
        Moving average over recent calls of the latency divided by the usual time.
    ejected : int
        Number of upstreams that are ejected, including those on trial.
    """

    def __init__(self, failure_domain, region):
        self.failure_domain = failure_domain
        self.region = region
        self.views = []
        self.tiers = ([], [], [])
        self.by_instance = {}
        self.mean_calls_of_others = 0.0
        self.mean_slowness = 1.0
        self.ejected = 0

    def __len__(self):
        return len(self.views)

    def __iter__(self):
        return iter(self.views)

    def get(self, instance):
        """Return the view of the upstream on the instance, or None."""
        return self.by_instance.get(instance)

    def add(self, view):
        """Add an upstream and replace any earlier one on the same instance."""
        self.discard(view.instance)
        view.pool = self
        self.by_instance[view.instance] = view
        self.views.append(view)
        self._tier_of(view).append(view)

    def discard(self, instance):
        """Remove an upstream if present.

        The end of calls that are in flight there may still be recorded afterwards.
        """
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
