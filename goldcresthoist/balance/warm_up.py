"""Limit on the requests to an upstream that warms up."""

import math
from collections import deque
from dataclasses import dataclass

__all__ = ["Presumed", "Rising", "Stated", "Warm", "WarmUp"]

# Calls that may start at once after a pause: those of this many seconds, at least one.
# Queues are served every 20 ms, so a capacity of one call would lose starts.
BURST_S = 0.25
# Share of what the platform tolerates above the rate that the daemon may use. The rest
# covers requests that are delayed on their way and arrive together with later ones.
EXCESS_SHARE = 0.6
# Length of the window in which the platform counts requests.
WINDOW_S = 1.0
# After the warm-up, the rate starts at this multiple of the limit and is multiplied by
# it again with each step.
STEP_FACTOR = 2.0
STEP_S = 0.2
STEPS = 5
# Pauses after health checks that have no answer yet, or none that tells the state. They
# double from the first to the second value.
MIN_CHECK_PAUSE_S = 0.1
MAX_CHECK_PAUSE_S = 1.0
# Pause between health checks during a warm-up whose remaining time is known.
STATED_CHECK_PAUSE_S = 2.0
# An announcement tells the state of the upstream this long before its arrival.
ANNOUNCEMENT_DELAY_S = 0.1


@dataclass(frozen=True, slots=True)
class Presumed:
    """The upstream may be cold, since nothing says otherwise after ``since``.

    With ``check_only``, only a health check can say so.
    """

    since: float
    check_only: bool = False


@dataclass(frozen=True, slots=True)
class Stated:
    """The upstream says that it warms up until a time.

    ``by_check`` tells whether a health check or a call said so, and no announcement.
    """

    until: float
    by_check: bool


@dataclass(frozen=True, slots=True)
class Rising:
    """The warm-up ended at ``since``, and the rate rises in steps."""

    since: float


@dataclass(frozen=True, slots=True)
class Warm:
    """The rate is not limited."""


class WarmUp:
    """Decides when calls may start at an upstream that is or may be cold.

    Requests are the calls and the health checks. While the upstream is presumed or
    stated to be cold, they start at the rate that it bears. Since an upstream may
    become cold at any time, few calls start between two confirmations that it is warm.
    The state is kept without a limit, too, so that a limit applies from the start.

    Times are monotonic seconds.

    Parameters
    ----------
    started_at : float
        Start of the daemon. The process before it is assumed to have used all that was
        allowed.

    Attributes
    ----------
    per_s : float or None
        Requests a second that the upstream bears while it is cold; None when the
        configuration has no limit.
    can_check : bool
        Whether health checks are possible. Without them, announcements alone tell the
        state, and the number of calls between two confirmations is not limited.
    state : Presumed, Stated, Rising or Warm
    on_change : callable
        ``on_change(state)`` is called after each change of the state while there is a
        limit.
    """

    def __init__(self, started_at):
        self.per_s = None
        self.can_check = False
        self.state = Presumed(started_at)
        self.on_change = lambda state: None
        # Largest number of requests in a window, and of calls between confirmations.
        self._window_limit = 0
        self._unconfirmed_limit = 0
        # Since the last confirmation: times of the requests of the last window, and
        # start times of the calls, of which only as many as the limit are kept.
        self._requests = deque()
        self._unconfirmed = deque()
        self._tokens = 0.0
        self._counted_at = started_at
        self._check_pause_s = MIN_CHECK_PAUSE_S
        self._next_check_at = started_at

    def set_limit(self, per_s, share, reserve, can_check, now):
        """Set the rate that a cold upstream bears, or remove the limit with None.

        Parameters
        ----------
        per_s : float or None
        share, reserve : float
            The platform tolerates ``per_s * share + reserve`` requests in a second.
        can_check : bool
        now : float
        """
        self.can_check = can_check
        if per_s is None:
            self.per_s = None
            self._requests.clear()
            self._unconfirmed.clear()
            return
        is_first = self.per_s is None
        excess = EXCESS_SHARE * max(0.0, per_s * (share - 1.0) + reserve)
        self._window_limit = max(1, int(per_s + excess))
        self._unconfirmed_limit = max(1, int(min(per_s, excess)))
        self._refill(now)
        self.per_s = per_s
        if is_first:
            self._tokens = 0.0
            self._counted_at = now
            # What was sent before the limit was known is not counted, so the window
            # has room for a health check only.
            self._requests.extend([now] * (self._window_limit - 1))
            self.on_change(self.state)

    def is_cold(self, now):
        """Return whether the upstream is or may be cold and the limit is in force."""
        if self.per_s is None:
            return False
        self._advance(now)
        match self.state:
            case Presumed() | Stated():
                return True
        return False

    def limits(self, now):
        """Return whether the rate of the calls is limited."""
        return self.per_s is not None and (
            self.is_cold(now) or isinstance(self.state, Rising)
        )

    def rate(self, now):
        """Return the calls that may start in one second; infinite without a limit."""
        if not self.limits(now):
            return math.inf
        match self.state:
            case Rising(since):
                step = int((now - since) / STEP_S)
                return self.per_s * STEP_FACTOR ** (1 + step)
        return self.per_s

    def wait_s(self, now, calls_before=0):
        """Return the time in seconds until a call may start.

        ``calls_before`` is the number of calls that start before it.
        """
        rate = self.rate(now)
        if rate == math.inf:
            return 0.0
        self._refill(now)
        wait_s = max(0.0, (calls_before + 1 - self._tokens) / rate)
        if not self.is_cold(now):
            return wait_s
        return max(wait_s, self._window_wait_s(now) + calls_before / rate)

    def needs_confirmation(self, now):
        """Return whether no call may start before a health check was made."""
        return (
            self.per_s is not None
            and self.can_check
            and len(self._unconfirmed) >= self._unconfirmed_limit
            and not self.is_cold(now)
        )

    def check_due(self, now):
        """Return whether a health check should be made.

        During a warm-up this is seldom the case. Otherwise it is once half of the calls
        between two confirmations have started, so that calls seldom wait for a check.
        """
        if self.per_s is None or not self.can_check:
            return False
        is_cold = self.is_cold(now)
        if now < self._next_check_at:
            return False
        if is_cold:
            return self._window_wait_s(now) <= 0.0
        return len(self._unconfirmed) >= (self._unconfirmed_limit + 1) // 2

    def may_check(self, now):
        """Return whether a health check may be made, for whatever reason."""
        return not self.is_cold(now) or self.check_due(now)

    def take(self, now):
        """Count one call that starts."""
        if self.per_s is None:
            return
        self._count_request(now)
        self._unconfirmed.append(now)
        if len(self._unconfirmed) > self._unconfirmed_limit:
            self._unconfirmed.popleft()

    def record_check_sent(self, now):
        """Count one health check that starts."""
        if self.per_s is None:
            return
        self._count_request(now)
        match self.state:
            case Stated():
                self._next_check_at = now + STATED_CHECK_PAUSE_S
            case _:
                self._next_check_at = now + self._check_pause_s
                self._check_pause_s = min(MAX_CHECK_PAUSE_S, 2.0 * self._check_pause_s)

    def record_check_failed(self, now):
        """Record a health check that told nothing.

        The upstream counts as cold if no call may start without a confirmation.
        """
        if self.needs_confirmation(now):
            self.presume(now)

    def record_check(self, remaining_s, sent_at, now):
        """Record the remaining warm-up that a response states; 0 when it is over.

        Parameters
        ----------
        remaining_s : float
        sent_at : float
            Time at which the request was sent. Calls that started later are not
            covered.
        now : float
        """
        self._advance(now)
        if remaining_s > 0.0:
            self._enter_cold(Stated(now + remaining_s, True), now)
            self._next_check_at = now + min(remaining_s, STATED_CHECK_PAUSE_S)
        else:
            self._confirm(sent_at, now)

    def record_announcement(self, remaining_s, is_new_run, sent_at, now):
        """Record the remaining warm-up in an announcement; 0 when it gives none.

        A remaining time that a health check has stated is not shortened. The first
        announcement of a run does not end the warm-up, since one without a remaining
        time cannot be told from that of an upstream that does not give it.

        Parameters
        ----------
        remaining_s : float
        is_new_run : bool
            Whether it is the first announcement of its run.
        sent_at : float
            Time of its arrival, which may be before a pause of the daemon.
        now : float
        """
        self._advance(now)
        until = now + remaining_s
        match self.state:
            case Stated(known, by_check) if not is_new_run and by_check:
                if until > known:
                    self._enter_cold(Stated(until, True), now)
                return
        if remaining_s > 0.0:
            self._enter_cold(Stated(until, False), now)
        elif is_new_run:
            self.presume(now)
        else:
            match self.state:
                case Presumed(check_only=True) if self.can_check:
                    return
            self._confirm(sent_at - ANNOUNCEMENT_DELAY_S, now)

    def presume(self, now, check_only=False):
        """Treat the upstream as cold until something says otherwise.

        It may have restarted, since it has announced a new run, has lost or refused
        connections, or got no calls for some time. ``check_only`` as in `Presumed`.
        """
        self._check_pause_s = MIN_CHECK_PAUSE_S
        next_check_at = now
        if self.is_cold(now):
            # Events that follow each other closely cause no health check each.
            next_check_at = min(self._next_check_at, now + MIN_CHECK_PAUSE_S)
        self._next_check_at = next_check_at
        match self.state:
            case Presumed(check_only=True):
                check_only = True
        self._enter_cold(Presumed(now, check_only), now)

    def _confirm(self, sent_at, now):
        match self.state:
            case Presumed(since) if sent_at < since:
                return
        for times in (self._requests, self._unconfirmed):
            while times and times[0] <= sent_at:
                times.popleft()
        self._check_pause_s = MIN_CHECK_PAUSE_S
        self._next_check_at = now
        match self.state:
            case Presumed() | Stated():
                self._refill(now)
                self._set_state(Rising(now))

    def _enter_cold(self, state, now):
        self._refill(now)
        match self.state:
            case Rising() | Warm():
                self._tokens = min(self._tokens, 0.0)
        self._set_state(state)

    def _advance(self, now):
        match self.state:
            case Stated(until) if now >= until:
                self._check_pause_s = MIN_CHECK_PAUSE_S
                self._next_check_at = min(self._next_check_at, now)
                self._set_state(Presumed(until))
            case Rising(since) if now - since >= STEPS * STEP_S:
                self._set_state(Warm())

    def _set_state(self, state):
        earlier = self.state
        self.state = state
        if type(earlier) is not type(state) and self.per_s is not None:
            self.on_change(state)

    def _count_request(self, now):
        self._refill(now)
        self._tokens -= 1.0
        self._drop_old_requests(now)
        self._requests.append(now)

    def _window_wait_s(self, now):
        """Return the time in seconds until the window has room for one request."""
        self._drop_old_requests(now)
        excess = len(self._requests) - self._window_limit
        return 0.0 if excess < 0 else self._requests[excess] + WINDOW_S - now

    def _drop_old_requests(self, now):
        while self._requests and self._requests[0] <= now - WINDOW_S:
            self._requests.popleft()

    def _refill(self, now):
        rate = self.rate(now)
        if rate == math.inf:
            # The next limit starts with an empty bucket.
            self._tokens = 0.0
        else:
            capacity = max(1.0, BURST_S * rate)
            gained = max(0.0, now - self._counted_at) * rate
            self._tokens = min(capacity, self._tokens + gained)
        self._counted_at = now
