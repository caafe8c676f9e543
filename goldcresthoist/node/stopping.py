"""Deadlines of a planned stop of the daemon."""

from dataclasses import dataclass

__all__ = ["StopDeadlines"]

# The platform checks readiness once a second, and callers switch to another daemon
# after two failed checks. Until then the stopping daemon must respond to them.
CALLERS_LEAVE_S = 2.0
# Time for which a stopping daemon still accepts requests, or half of the stop grace
# period if that is less. A caller whose request was sent later than 3 s after the
# signal may count on its answer, and the signal may be handled a little late.
LINGER_S = 2.75
# New calls to the local upstream are refused after this share of the linger time, and
# the rest is left to the running calls. New calls are not refused at once because the
# local upstream keeps running when only its serving daemon stops, and entry daemons
# reach it only through the serving daemon.
UPSTREAM_LINGER_SHARE = 0.93
# Share of the platform's stop grace period after which running requests are cut off.
CUT_OFF_SHARE = 0.93


@dataclass(frozen=True, slots=True)
class StopDeadlines:
    """Decides which work a stopping daemon still takes.

    All times are in monotonic seconds.

    Attributes
    ----------
    callers_leave_at : float
        Time by which callers have had the chance to switch to another daemon.
    upstream_closing_at : float
        Time from which no more calls to the local upstream are accepted.
    closing_at : float
        Time from which no more requests of callers are accepted.
    cut_off_at : float
        Time at which whatever is still in progress ends.
    """

    callers_leave_at: float
    upstream_closing_at: float
    closing_at: float
    cut_off_at: float

    @classmethod
    def from_grace(cls, started, grace_s):
        """Return the deadlines of a stop.

        Parameters
        ----------
        started : float
            Monotonic time at which the stop began.
        grace_s : float
            Seconds after which the platform kills the process.
        """
        linger_s = min(LINGER_S, grace_s / 2)
        return cls(
            started + min(CALLERS_LEAVE_S, linger_s),
            started + UPSTREAM_LINGER_SHARE * linger_s,
            started + linger_s,
            started + CUT_OFF_SHARE * grace_s,
        )

    def accepts_request(self, now, deadline):
        """Return whether a request of a caller is still accepted.

        One that might be cut off is accepted only while its caller cannot know that
        this daemon stops.
        """
        if now >= self.closing_at:
            return False
        return deadline <= self.cut_off_at or now < self.callers_leave_at

    def accepts_call(self, now, deadline):
        """Return whether a call to the local upstream is still accepted.

        One that might be cut off never is, since entry daemons can offer it elsewhere.
        """
        return now < self.upstream_closing_at and deadline <= self.cut_off_at
