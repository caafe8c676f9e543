"""Concurrency slots of the local upstream and the priority queue in front of them.

The pace of an upstream is the ratio of the current to the usual processing time of its
work. The instance of an upstream has slow phases, in which the pace is several times
higher.
"""

import asyncio
import enum
import math

from goldcresthoist.balance.errors import Draining, Saturated, WarmingUp
from goldcresthoist.balance.knee import KneeDetector
from goldcresthoist.balance.pace import PaceEstimator
from goldcresthoist.balance.ranking import CallRanking
from goldcresthoist.balance.rate_limit import RateLimit
from goldcresthoist.balance.slot_calls import Waiter
from goldcresthoist.balance.warm_up import WarmUp

__all__ = ["SlotQueue"]

# Weight of one call in the moving average of the service time of its kind of work.
SERVICE_TIME_WEIGHT = 0.1
# Weight of one call in the moving averages over all calls.
OVERALL_MEAN_WEIGHT = 0.02
# Mean service time over all work that is assumed before the first response.
INITIAL_SERVICE_S = 0.1
# Service time of one kind of work that is assumed before its first response, as a
# share of the time until the soft deadline or the deadline of the call, whichever is
# earlier. It is thus never the reason to refuse a call.
INITIAL_SERVICE_SHARE = 0.3
# A service time is capped at this multiple of the average of its kind of work, so that
# a single outlier does not make all calls of that work look slow.
SAMPLE_LIMIT = 4.0
# An upstream may slow down when more than this share of its slots is in use, so calls
# that have alternatives and are not short are refused above it.
NEARLY_FULL_SHARE = 0.8
# An upstream counts as slow, for calls that have alternatives, when its last pace
# sample is at least `SLOW_RATIO` and not older than `SLOW_PACE_MAX_AGE_S`.
SLOW_RATIO = 2.0
SLOW_PACE_MAX_AGE_S = 0.12
# Service times vary, so a call counts as certain to miss a deadline only when less than
# this share of its usual time is left. A slow upstream refuses a call that has
# alternatives if it would take more than this share of the time that is left.
MIN_SERVICE_SHARE = 0.5
# Number of waiting calls per slot at which the queue is full. A new call is then queued
# only if it evicts a less urgent one.
QUEUE_PER_SLOT = 2
# Service times vary, so a call is queued only when its expected end lies within this
# share of the time until its soft deadline.
SAFETY_SHARE = 0.5
# The same for a call that can outlast a slow phase (see `CallRanking.can_wait`). Its
# expected end includes the rest of the phase, so less is left to chance.
PATIENT_SAFETY_SHARE = 0.8
# A call that can no longer meet its soft deadline ranks below all others. It waits for
# at most this share of the time until its deadline.
LATE_WAIT_SHARE = 0.3
# Work is short when its service time is at most this share of the mean service time of
# the call in a randomly chosen busy slot. Short work is mostly requested by calls that
# hold a slot at another service meanwhile, so a refusal wastes their work as well.
SHORT_WORK_SHARE = 0.5
# Share of the slots that is reserved for short work when the upstream has any.
RESERVED_SLOTS_SHARE = 0.17
# Lower bound of the retry-after time of refusals.
MIN_RETRY_AFTER_S = 0.05
# A call keeps the pace at which it starts, so work that would lose much time in a slow
# phase (see `PaceEstimator.slow_mean`) starts only on a pace sample of at most this
# age. If slow phases begin every 1.5 s, 4 in 100 calls that start on a normal sample of
# this age run in a slow phase and get a late response.
PACE_MAX_AGE_S = 0.06
# Mean remaining time of a slow phase. A call waits for the end of the phase when it
# would lose more than this by starting at once, and work that would lose less starts
# without a fresh pace sample.
MEAN_SLOW_REMAINDER_S = 0.4
# Slow phases end within this time. An upstream that is slow for longer is slow
# permanently, so calls no longer wait for it to recover.
MAX_SLOW_PHASE_S = 1.5


class _StartDecision(enum.Enum):
    """Whether a call may start, judged by the pace of the upstream."""

    START = "now"
    # The last pace sample is too old; the call waits for a new one.
    REFRESH_PACE = "unknown"
    # The call must not start until the slow phase of the instance is over.
    WAIT = "later"


class SlotQueue:
    """Assigns slots to calls, and refuses at once those that would end too late.

    `CallRanking` orders the waiting calls. While the upstream warms up, they are served
    by priority instead, and within a priority by turns between the kinds of work.

    Attributes
    ----------
    slots : int
        Number of calls that the upstream may run at the same time.
    running : int
        Number of calls that hold a slot.
    waiting : list
        Waiting calls in the order of their arrival.
    service_s : dict
        Moving average of the service time in seconds, normalized to pace 1, by kind of
        work.
    paused_until : float
        Time until which no calls start while another one is running.
    pace : PaceEstimator
        Pace of the upstream.
    knee : KneeDetector
        Detects whether the upstream slows down when nearly full.
    rate : RateLimit
        Limit that the upstream names on the calls that start in one second.
    warm_up : WarmUp
        Limit on the calls that start while the upstream warms up.
    request_pace : callable or None
        ``request_pace()`` requests a new pace sample from the upstream without waiting
        for it. Once the sample has been recorded, `dispatch` must be called. While
        ``request_pace`` is None, calls start at any pace.
    pace_unavailable_until : float
        Calls start at any pace until this time because the upstream reports none.
    ranking : CallRanking
        Order of the calls, and the recent use by workspaces.
    on_evicted : callable
        ``on_evicted(victim, call)`` is called with two `SlotCall` when a waiting call
        is refused in favour of a new one.
    on_knee_verdict : callable
        ``on_knee_verdict(verdict)`` is called with each verdict of this daemon on
        whether the upstream slows down when nearly full.
    """

    def __init__(self, slots=1):
        self.slots = slots
        self.pace = PaceEstimator()
        self.knee = KneeDetector()
        self.rate = RateLimit()
        self.warm_up = WarmUp(0.0)
        # Time of the last start while there is a limit for the warm-up, by kind of
        # work.
        self.last_start_at = {}
        self.running = 0
        self.waiting = []
        self.service_s = {}
        # Moving averages, over all calls, of the service time in seconds and of its
        # square. The mean square divided by the mean is the mean service time of the
        # call in a busy slot. Work that is long and rare has little influence on it.
        self.mean_s = 0.0
        self.mean_square = 0.0
        self.draining = False
        self.paused_until = 0.0
        self.arrivals = 0
        self.request_pace = None
        self.pace_unavailable_until = 0.0
        self.ranking = CallRanking(self.usual_s, self.is_short)
        self.on_evicted = lambda victim, call: None
        self.on_knee_verdict = self.knee.add_verdict

    def mean_service_s(self):
        """Return the mean service time in seconds over all calls, at pace 1."""
        return self.mean_s or INITIAL_SERVICE_S

    def usual_s(self, call, now):
        """Return the mean service time in seconds of the call's work, at pace 1.

        It is estimated from the deadlines while no call of that work has ended.
        """
        known = self.service_s.get(call.work)
        if known is None:
            left_s = min(call.soft_deadline, call.deadline) - now
            return max(0.005, INITIAL_SERVICE_SHARE * left_s)
        return known

    def is_short(self, work):
        """Return whether the work is short compared with the upstream's other work.

        Work is not short while no call of it has ended.
        """
        known = self.service_s.get(work)
        if known is None or not self.mean_s:
            return False
        return known <= SHORT_WORK_SHARE * self.mean_square / self.mean_s

    def limit_for(self, short):
        """Return the number of running calls below which a call may start.

        Parameters
        ----------
        short : bool
            Whether the work of the call is short.
        """
        limit = self.knee.limit(self.slots)
        if short or not any(map(self.is_short, self.service_s)):
            return limit
        return max(1, limit - int(RESERVED_SLOTS_SHARE * limit))

    def start_rate(self, now):
        """Return the calls that may start in one second; infinite without a limit."""
        named = math.inf if self.rate.per_s is None else self.rate.per_s
        return min(named, self.warm_up.rate(now))

    def usable_slots(self, now):
        """Return the number of slots that are in use at the limit on the rate.

        It is at most `slots`, and at least 1.
        """
        rate = self.start_rate(now)
        if rate == math.inf:
            return self.slots
        in_use = math.ceil(rate * self.mean_service_s())
        return max(1, min(self.slots, in_use))

    def warm_up_pace(self, now):
        """Return the pace at which calls end in the usable slots during a warm-up.

        Short work could run more often in them than it may start. It is 0 when the
        warm-up does not limit the calls.
        """
        rate = self.warm_up.rate(now)
        if rate == math.inf:
            return 0.0
        return self.usable_slots(now) / (rate * self.mean_service_s())

    def expected_wait_s(self, call, now):
        """Return the expected queueing time of a new call, in seconds."""
        before = self.ranking.count_before(call, self.waiting, now)
        rate_wait_s = self.rate.wait_s(now, before)
        free = self.limit_for(self.is_short(call.work)) - self.running
        if before < free:
            return rate_wait_s
        pace = self._pace_of_start(call, now)
        # Without any response, the other calls are taken to be like this one.
        mean_s = self.mean_s or self.usual_s(call, now)
        slot_wait_s = (before - free + 1) * mean_s * pace / max(1, self.slots)
        return max(rate_wait_s, slot_wait_s)

    def admit(self, call, now):
        """Assign a slot to the call, or queue it.

        Returns
        -------
        asyncio.Future or None
            None when the call holds a slot. Otherwise a future that completes when the
            call is given one, or fails with one of the errors below.

        Raises
        ------
        Draining, Saturated, WarmingUp
            The call was refused. It neither holds a slot nor waits for one.
        """
        if self.draining:
            raise Draining
        self.ranking.observe(call)
        usual_s = self.usual_s(call, now)
        if now + MIN_SERVICE_SHARE * usual_s * self.pace.base > call.deadline:
            raise Saturated(MIN_RETRY_AFTER_S)
        short = self.is_short(call.work)
        limit = self.limit_for(short)
        if call.alternatives > 0:
            if not short:
                limit = min(limit, max(1, int(NEARLY_FULL_SHARE * self.slots)))
            if self._too_slow_for(call, usual_s, now):
                raise Saturated(MIN_RETRY_AFTER_S)
        if self.warm_up.limits(now):
            return self._admit_in_warm_up(call, usual_s, limit, now)
        paused = self._is_paused(now)
        ahead = self.waiting if not short else self._waiting_short_calls()
        if self.running < limit and not ahead and not paused:
            start = self._decide_start(usual_s, now)
            if start is _StartDecision.START:
                self._take_slot(call, now)
                return None
            if start is _StartDecision.WAIT and call.alternatives > 0:
                raise Saturated(MIN_RETRY_AFTER_S)
            return self._enqueue_and_request_pace(call, now)
        if not paused and len(self.waiting) < limit - self.running:
            # Slots are free: the calls ahead wait for a pace sample or for the end of a
            # slow phase.
            if call.alternatives == 0 or not self._is_slow_phase(now):
                return self._enqueue_and_request_pace(call, now)
        wait_s = self.expected_wait_s(call, now)
        end = now + wait_s + usual_s * self._pace_of_start(call, now)
        if self._can_outlast_slow_phase(call, now) and self._is_slow_phase(now):
            end += MEAN_SLOW_REMAINDER_S
        places = QUEUE_PER_SLOT * self.slots
        queue_full = self.ranking.is_full(call, self.waiting, places, now)
        respond_by = self._respond_by(call, usual_s, now)
        if call.alternatives > 0 or queue_full or end > respond_by:
            if not self._evict_less_urgent(call, now):
                self.ranking.record_refusal(call, now)
                raise Saturated(max(MIN_RETRY_AFTER_S, wait_s))
        return self._enqueue(call, now)

    def admit_to_spare_slot(self, call, now):
        """Assign a slot to a call that must take none from other calls.

        The call starts at once on a free slot that no waiting call needs, or it is
        refused. It is not queued and evicts nothing. A last part of the slots is left
        free, since an upstream may slow down above `NEARLY_FULL_SHARE` and the next
        calls need slots.

        Raises
        ------
        Draining, Saturated
            The call was refused. It holds no slot.
        """
        if self.draining:
            raise Draining
        usual_s = self.usual_s(call, now)
        limit = min(
            self.limit_for(self.is_short(call.work)),
            max(1, int(NEARLY_FULL_SHARE * self.slots)),
        )
        if (
            self.running + len(self.waiting) >= limit
            or self.warm_up.limits(now)
            or self.warm_up.needs_confirmation(now)
            or (self.waiting and self.rate.per_s is not None)
            or self._is_paused(now)
            or self._is_slow_phase(now)
            or self._too_slow_for(call, usual_s, now)
            or now + MIN_SERVICE_SHARE * usual_s * self.pace.base > call.deadline
        ):
            raise Saturated(MIN_RETRY_AFTER_S)
        self._take_slot(call, now)

    def release(self, now):
        """Release a slot and start the calls that wait for one."""
        self.running -= 1
        self.dispatch(now)

    def record(self, work, taken_s, pace_at_start, running, now):
        """Record the service time of a call that ended.

        Parameters
        ----------
        work : str
            Name of the kind of work.
        taken_s : float
            Seconds between the start and the end of the call.
        pace_at_start : float
            Pace that was expected when the call started.
        running : int
            Number of calls that were running when the call started.
        now : float
            Monotonic seconds.
        """
        if self.pace.was_normal(now - taken_s, SLOW_PACE_MAX_AGE_S):
            verdict = self.knee.record(work, taken_s, running, self.slots)
            if verdict is not None:
                self.on_knee_verdict(verdict)
        sample = taken_s / self._pace_of_run(pace_at_start, now)
        known = self.service_s.get(work, sample)
        sample = min(sample, SAMPLE_LIMIT * known)
        known += SERVICE_TIME_WEIGHT * (sample - known)
        self.service_s[work] = known
        if not self.mean_s:
            self.mean_s, self.mean_square = known, known * known
        self.mean_s += OVERALL_MEAN_WEIGHT * (known - self.mean_s)
        self.mean_square += OVERALL_MEAN_WEIGHT * (known * known - self.mean_square)

    def pause_until(self, until):
        """Start no calls before a time, after the upstream has rejected one as full.

        A call may still start while none is running.

        Parameters
        ----------
        until : float
            Monotonic seconds. An earlier pause that ends later stays in force.
        """
        self.paused_until = max(self.paused_until, until)

    def dispatch(self, now):
        """Start the next waiting calls while slots are free and the pace allows it.

        If the next call needs a fresh pace sample, one is requested. During a slow
        phase, a call that loses too much by starting stays in the queue if it has no
        alternatives, and is refused otherwise. Calls of other work may then pass it
        where workspaces are in use.
        """
        candidates = list(self.waiting)
        while candidates and self.running < self.slots:
            if self._is_paused(now):
                return
            if self.warm_up.limits(now):
                waiter = self._fair_order(candidates, now)[0]
            else:
                waiter = self.ranking.next(candidates, now)
            if self._try_start(waiter, now):
                candidates.remove(waiter)
            else:
                candidates = self.ranking.without_blocked(candidates, waiter)

    def expire(self, now):
        """Refuse the waiting calls that would end too late, and start others.

        It must be called regularly, since slow phases and pauses end without a release.
        """
        if self.warm_up.limits(now):
            self._expire_in_warm_up(now)
            self.dispatch(now)
            return
        for waiter in tuple(self.waiting):
            call = waiter.call
            usual_s = self.usual_s(call, now)
            wait_until_deadline = self.is_short(call.work) or self._is_slow_phase(now)
            respond_by = call.deadline if wait_until_deadline else waiter.respond_by
            late = now + MIN_SERVICE_SHARE * usual_s > respond_by
            if late or now + usual_s * self.pace.base > call.deadline:
                self._fail(waiter, Saturated(MIN_RETRY_AFTER_S), now)
        self.dispatch(now)

    def drain(self):
        """Refuse waiting and new calls from now on; running calls continue."""
        self.draining = True
        for waiter in tuple(self.waiting):
            self._fail(waiter, Draining(), 0.0)

    def abandon(self, future):
        """Remove the waiting call of this future; its caller no longer needs a slot."""
        for waiter in self.waiting:
            if waiter.future is future:
                self.waiting.remove(waiter)
                return

    def record_end(self, call, taken_s, pace_at_start, now):
        """Record that a call that held a slot has ended, for the order of others.

        Parameters
        ----------
        call : SlotCall
        taken_s : float
            Seconds for which the call ran; 0 when it was not sent to the upstream.
        pace_at_start : float
            Pace that was expected when the call started.
        now : float
            Monotonic seconds.
        """
        used_s = taken_s / self._pace_of_run(pace_at_start, now)
        self.ranking.record_end(call, used_s, now)

    def _try_start(self, waiter, now):
        """Start a waiting call, or refuse it; return False when it must still wait."""
        call = waiter.call
        if self.running >= self.limit_for(self.is_short(call.work)):
            return False
        if not waiter.future.done():
            start = self._decide_start(self.usual_s(call, now), now)
            if start is _StartDecision.REFRESH_PACE:
                self.request_pace()
                return False
            if start is _StartDecision.WAIT:
                if call.alternatives == 0:
                    return False
                self._fail(waiter, Saturated(MIN_RETRY_AFTER_S), now)
                return True
        self.waiting.remove(waiter)
        if not waiter.future.done():
            self._take_slot(call, now)
            waiter.future.set_result(None)
        return True

    def _is_paused(self, now):
        """Return whether no call may start now, whatever slots are free."""
        after_rejection = now < self.paused_until and self.running > 0
        return (
            after_rejection
            or self.rate.wait_s(now) > 0.0
            or self.warm_up.wait_s(now) > 0.0
        )

    def _take_slot(self, call, now):
        self.running += 1
        self.rate.take(now)
        self.ranking.record_start(call, now)
        if self.warm_up.per_s is not None:
            self.warm_up.take(now)
            self.last_start_at[call.work] = now

    def _admit_in_warm_up(self, call, usual_s, limit, now):
        """Assign a slot to a call, queue or refuse it while the warm-up limits starts.

        A call that cannot start in time from its place among the waiting ones is
        refused. When the queue is full, the last call in the order is.

        Parameters
        ----------
        call : SlotCall
        usual_s : float
            Mean service time of the call's work.
        limit : int
            Number of running calls below which the call may start.
        now : float
        """
        new = Waiter(call, None, self.arrivals + 1, call.deadline, False)
        order = self._fair_order((*self.waiting, new), now)
        place = order.index(new)
        wait_s = self._warm_up_wait_s(call, usual_s, place, limit, now)
        if self._too_late_after(wait_s, call, usual_s, now):
            raise WarmingUp(max(MIN_RETRY_AFTER_S, wait_s))
        if place == 0 and self.running < limit and not self._is_paused(now):
            start = self._decide_start(usual_s, now)
            if start is _StartDecision.START:
                self._take_slot(call, now)
                return None
            if start is _StartDecision.REFRESH_PACE or call.alternatives == 0:
                return self._enqueue_and_request_pace(call, now)
            raise Saturated(MIN_RETRY_AFTER_S)
        if call.alternatives > 0:
            raise WarmingUp(max(MIN_RETRY_AFTER_S, wait_s))
        if len(self.waiting) >= QUEUE_PER_SLOT * self.slots:
            last = order[-1]
            after_all_s = self.warm_up.wait_s(now, len(self.waiting))
            error = WarmingUp(max(MIN_RETRY_AFTER_S, after_all_s))
            if last is new:
                raise error
            self._fail(last, error, now)
            self.on_evicted(last.call, call)
        return self._enqueue(call, now)

    def _warm_up_wait_s(self, call, usual_s, place, limit, now):
        """Return the expected wait in seconds of a call with ``place`` calls before."""
        wait_s = max(self.warm_up.wait_s(now, place), self.rate.wait_s(now, place))
        busy = place - (limit - self.running)
        if busy >= 0:
            mean_s = self.mean_s or usual_s
            slot_wait_s = (busy + 1) * mean_s * self.pace.base / max(1, self.slots)
            wait_s = max(wait_s, slot_wait_s)
        return wait_s

    def _too_late_after(self, wait_s, call, usual_s, now):
        """Return whether a call that waits this long ends after its deadline."""
        end = now + wait_s + MIN_SERVICE_SHARE * usual_s * self.pace.base
        return end > call.deadline

    def _expire_in_warm_up(self, now):
        """Refuse the waiting calls that cannot start in time from their places."""
        place = 0
        for waiter in self._fair_order(self.waiting, now):
            call = waiter.call
            usual_s = self.usual_s(call, now)
            limit = self.limit_for(self.is_short(call.work))
            wait_s = self._warm_up_wait_s(call, usual_s, place, limit, now)
            if self._too_late_after(wait_s, call, usual_s, now):
                self._fail(waiter, WarmingUp(max(MIN_RETRY_AFTER_S, wait_s)), now)
            else:
                place += 1

    def _fair_order(self, waiters, now):
        """Return waiting calls in the order in which they are served in a warm-up.

        Priorities come first. Within a priority, the kinds of work take turns, from the
        one that has started a call least recently, so that no work takes all starts.
        Among calls of one kind, those go first whose workspace has used least.
        """
        turns = {}
        keys = {}
        for waiter in self.ranking.by_use(waiters, now):
            call = waiter.call
            turn = turns[call.priority, call.work] = (
                turns.get((call.priority, call.work), -1) + 1
            )
            last_at = self.last_start_at.get(call.work, -math.inf)
            keys[waiter] = (call.priority, turn, last_at, waiter.order)
        return sorted(keys, key=keys.get)

    def _too_slow_for(self, call, usual_s, now):
        """Return whether the upstream is too slow for the call to end in time.

        Another upstream may then still meet its soft deadline.
        """
        if not self.pace.is_slow(now, SLOW_RATIO, SLOW_PACE_MAX_AGE_S):
            return False
        left_s = min(call.soft_deadline, call.deadline) - now
        return (
            left_s > 0
            and usual_s * self.pace.expected(now) > MIN_SERVICE_SHARE * left_s
        )

    def _decide_start(self, usual_s, now):
        """Return whether work of this usual time may start at the current pace.

        The answer to a health check tells both the pace and whether the upstream is
        warm. A cold upstream bears few requests, so calls there start at any pace.
        """
        estimator = self.pace
        if self.request_pace is not None and self.warm_up.needs_confirmation(now):
            return _StartDecision.REFRESH_PACE
        if (
            self.request_pace is None
            or self.warm_up.is_cold(now)
            or not estimator.known
            or now < self.pace_unavailable_until
        ):
            return _StartDecision.START
        stale = estimator.is_stale(now, PACE_MAX_AGE_S)
        if (
            self._is_slow_phase(now)
            and usual_s * (estimator.pace - 1.0) > MEAN_SLOW_REMAINDER_S
        ):
            return _StartDecision.REFRESH_PACE if stale else _StartDecision.WAIT
        if stale and usual_s * (estimator.slow_mean - 1.0) > MEAN_SLOW_REMAINDER_S:
            return _StartDecision.REFRESH_PACE
        return _StartDecision.START

    def _is_slow_phase(self, now):
        if self.request_pace is None or now < self.pace_unavailable_until:
            return False
        return self.pace.is_in_slow_phase(now, MAX_SLOW_PHASE_S)

    def _enqueue_and_request_pace(self, call, now):
        future = self._enqueue(call, now)
        if self.request_pace is not None:
            self.request_pace()
        return future

    def _enqueue(self, call, now):
        self.arrivals += 1
        future = asyncio.get_running_loop().create_future()
        respond_by = call.soft_deadline
        can_wait = self.ranking.can_wait(call, now)
        if now + self.usual_s(call, now) > call.soft_deadline:
            respond_by = _late_response_limit(call, now)
        elif can_wait:
            respond_by = _late_response_limit(call, call.soft_deadline)
        waiter = Waiter(call, future, self.arrivals, respond_by, can_wait)
        self.waiting.append(waiter)
        return future

    def _waiting_short_calls(self):
        return [item for item in self.waiting if self.is_short(item.call.work)]

    def _evict_less_urgent(self, call, now):
        """Refuse a less urgent waiting call in favour of a new one, if there is any.

        A call that has alternatives evicts none. Return whether a call was refused.
        """
        if call.alternatives > 0:
            return False
        victim = self.ranking.select_victim(call, self.waiting, now)
        if victim is None:
            return False
        self._fail(victim, Saturated(MIN_RETRY_AFTER_S), now)
        self.on_evicted(victim.call, call)
        return True

    def _respond_by(self, call, usual_s, now):
        """Return the time by which a new call must be expected to end to be queued."""
        if self.is_short(call.work):
            # The parent call still succeeds with a response after the soft deadline.
            return call.deadline
        if now + usual_s > call.soft_deadline:
            return _late_response_limit(call, now)
        share = SAFETY_SHARE
        if self.ranking.can_wait(call, now):
            share = PATIENT_SAFETY_SHARE
        return now + share * (min(call.soft_deadline, call.deadline) - now)

    def _pace_of_start(self, call, now):
        """Return the pace at which a new call is expected to start."""
        if self._can_outlast_slow_phase(call, now):
            return self.pace.base
        return self.pace.expected(now)

    def _pace_of_run(self, pace_at_start, now):
        """Return the mean pace of a call that ends now."""
        return max(0.2, (pace_at_start + self.pace.expected(now)) / 2.0)

    def _can_outlast_slow_phase(self, call, now):
        """Return whether a call waits for the end of slow phases, and can."""
        return self.request_pace is not None and self.ranking.can_wait(call, now)

    def _fail(self, waiter, error, now):
        self.waiting.remove(waiter)
        if not waiter.future.done():
            if isinstance(error, Saturated):
                self.ranking.record_refusal(waiter.call, now)
            waiter.future.set_exception(error)


def _late_response_limit(call, now):
    """Return the time by which a call past its soft deadline should end."""
    return now + LATE_WAIT_SHARE * (call.deadline - now)
