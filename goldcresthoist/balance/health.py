"""Failure detection for the local upstream, reported to other daemons."""

from goldcresthoist.balance.policy import Default

__all__ = ["UpstreamHealth"]

# Longest time between trial calls to a failing upstream. It bounds how long a service
# stays unavailable after all of its upstreams have failed and recovered.
MAX_PAUSE_S = 4.0


class UpstreamHealth:
    """Detects consecutive failures of the local upstream.

    Without it, every entry daemon would eject a failing upstream only after several of
    its own calls had failed there, and would lose another call at each trial. The
    serving daemon sees the calls of all of them.

    Attributes
    ----------
    failing : bool
        Whether the upstream is failing. It is sent in load reports, and entry daemons
        then prefer other upstreams. The serving daemon does not refuse calls because of
        it, since all upstreams may be failing.
    """

    def __init__(self, policy):
        self.policy = policy
        self.failing = False
        self.consecutive_failures = 0
        self.consecutive_pauses = 0
        self.next_trial_at = 0.0
        self.failed_at = float("-inf")

    def record(self, failed, started, now):
        """Record the end of a call.

        The success of a call that started before the last failure is ignored. Otherwise
        an upstream that has begun to fail would look healthy while earlier calls end.

        Parameters
        ----------
        failed : bool
            Whether the call failed because of the upstream.
        started, now : float
            Start and end of the call in monotonic seconds.

        Returns
        -------
        bool
            Whether `failing` changed.
        """
        if not failed and started < self.failed_at:
            return False
        if not failed:
            changed = self.failing
            self.consecutive_failures = self.consecutive_pauses = 0
            self.failing = False
            return changed
        self.failed_at = now
        self.consecutive_failures += 1
        match self.policy:
            case Default(failures_to_eject=limit, ejection_s=pause_s):
                if self.failing or self.consecutive_failures < limit:
                    return False
                self._pause(pause_s, now)
                return True
        return False

    def check(self, now):
        """Allow a trial call, by clearing `failing`, when the current pause is over.

        The count of failures is kept, so one more failure sets `failing` again.

        Returns
        -------
        bool
            Whether `failing` changed.
        """
        if not self.failing or now < self.next_trial_at:
            return False
        self.failing = False
        return True

    def _pause(self, pause_s, now):
        """Set `failing` until the next trial; each consecutive pause is twice as long.

        ``pause_s`` is the length of the first pause in seconds.
        """
        pause_s *= 2.0 ** min(self.consecutive_pauses, 8)
        self.consecutive_pauses += 1
        self.failing = True
        self.next_trial_at = now + min(pause_s, MAX_PAUSE_S)
