"""Whether the own upstream fails, as told to other daemons."""

from goldcresthoist.balance.policy import Default

__all__ = ["UpstreamHealth"]

# While an upstream fails, a trial call is invited at least this often, so that the
# service is back soon after a failure of all its upstreams.
MAX_PAUSE_S = 4.0


class UpstreamHealth:
    """Detects consecutive failures of the own upstream.

    Without this, each of many entry daemons would have to send failing calls itself
    before it ejects the upstream, and again at each trial.

    Attributes
    ----------
    failing : bool
        Told in load reports; entry daemons then choose other upstreams if they can.
        The upstream's daemon itself refuses nothing, since all upstreams may fail.
    """

    def __init__(self, policy):
        self.policy = policy
        self.failing = False
        self.consecutive_failures = 0
        self.consecutive_pauses = 0
        self.next_trial_at = 0.0
        self.failed_at = float("-inf")

    def record(self, failed, started, now):
        """Count the end of a call; return whether `failing` changed.

        A success of a call that started before the last failure is ignored: while
        calls of a healthy time end, an upstream that now fails would look healthy.
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
        """Invite a trial call when the pause is over; return whether that changed."""
        if not self.failing or now < self.next_trial_at:
            return False
        self.failing = False
        return True

    def _pause(self, pause_s, now):
        pause_s *= 2.0 ** min(self.consecutive_pauses, 8)
        self.consecutive_pauses += 1
        self.failing = True
        self.next_trial_at = now + min(pause_s, MAX_PAUSE_S)
