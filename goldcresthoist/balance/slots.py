"""Slots of the own upstream, given by priority, and the calls that wait for them."""

import asyncio
import enum
from dataclasses import dataclass

from goldcresthoist.balance.errors import Draining, Saturated
from goldcresthoist.balance.knee import KneeDetector
from goldcresthoist.balance.pace import PaceEstimator

__all__ = ["SlotCall", "SlotQueue"]

SERVICE_TIME_WEIGHT = 0.1
OVERALL_MEAN_WEIGHT = 0.02
# Before the first answer: the usual time of all work, and that of one kind as a share
# of its aim.
INITIAL_SERVICE_S = 0.1
INITIAL_SERVICE_SHARE = 0.3
# One straggler must not make all work look slow.
SAMPLE_LIMIT = 4.0
# Above this share of its slots an upstream may turn slower, so a call that can go
# elsewhere is refused there.
NEARLY_FULL_SHARE = 0.8
# A slow figure that is this old no longer turns calls away that can go elsewhere.
SLOW_RATIO = 2.0
SLOW_PACE_MAX_AGE_S = 0.12
# A call is known to be late only when far less than its usual time is left.
MIN_SERVICE_SHARE = 0.5
QUEUE_PER_SLOT = 2
# Times vary, so a call is taken only when it is expected to end well before its aim.
SAFETY_SHARE = 0.5
# A call that is late already waits behind all others, for this share of its time.
LATE_WAIT_SHARE = 0.3
# Work is short when it takes at most this share of what a busy slot usually holds.
# Mostly it is called by work that holds a slot elsewhere all the while, so that its
# refusal wastes more than itself.
SHORT_WORK_SHARE = 0.5
# Slots that only short work may use, where there is any.
RESERVED_SLOTS_SHARE = 0.17
MIN_RETRY_AFTER_S = 0.05
# Work keeps the pace at which it starts, so usual work starts only on a figure that is
# this fresh. Slow phases begin about every 1.5 s: of starts on a fast figure of this
# age, 4 in 100 are slow, and such an answer is late.
FRESH_PACE_S = 0.06
# What is left of a slow phase on average. Work waits for its end when it would lose
# more than this by starting now.
MEAN_SLOW_REMAINDER_S = 0.4
# Times the usual time that work takes in a slow phase (7 on both sites). Work so short
# that it would still lose less than `MEAN_SLOW_REMAINDER_S` asks for no figure.
SLOW_PHASE_PACE = 7.0
# An upstream that is slow for longer than this stays so, and waiting gains nothing.
MAX_SLOW_PHASE_S = 1.5


@dataclass(frozen=True, slots=True)
class SlotCall:
    """What the queue must know of a call. Times are monotonic seconds."""

    work: str
    priority: int
    deadline: float
    # The answer has its full value until then.
    soft_deadline: float
    # Other upstreams that the call could still be offered to.
    alternatives: int


class _StartDecision(enum.Enum):
    """Whether a call may start at the pace that is known."""

    START = "now"
    # The figure is too old; a newer one is asked for.
    REFRESH_PACE = "unknown"
    # The slow phase of the instance should end first.
    WAIT = "later"


class _Waiter:
    __slots__ = ("call", "future", "answer_by", "order")

    def __init__(self, call, future, order, answer_by):
        self.call = call
        self.future = future
        self.order = order
        # The answer should come until then, unless there is a reason for patience.
        self.answer_by = answer_by


class SlotQueue:
    """Gives out slots; refuses at once what would come too late.

    Waiting calls get slots by length (short ones first), priority and age. One that
    can no longer be answered within its aim goes behind those that can.

    Attributes
    ----------
    slots : int
        Calls that the upstream runs at the same time.
    pace : PaceGauge
    ask_pace : callable or None
        ``ask_pace()`` asks the upstream for its pace; `fill` follows when it is known.
        Without it, calls start at any pace.
    unasked_until : float
        Calls start at any pace until then, as the upstream does not tell it.
    """

    def __init__(self, slots=1):
        self.slots = slots
        self.pace = PaceEstimator()
        self.knee = KneeDetector()
        self.running = 0
        self.waiting = []
        self.service_s = {}
        # Moving means over all calls of their time and of its square; the ratio is the
        # time of the call in a busy slot. Work that is long and rare moves it little.
        self.mean_s = 0.0
        self.mean_square = 0.0
        self.draining = False
        self.paused_until = 0.0
        self.arrivals = 0
        self.ask_pace = None
        self.unasked_until = 0.0
        # Called with the verdict whether the upstream turns slower near its last slots.
        self.on_knee_verdict = self.knee.learn

    def mean_service_s(self):
        """Return the usual time of a call at usual pace, over all calls."""
        return self.mean_s or INITIAL_SERVICE_S

    def usual_s(self, call, now):
        """Return the time that a call usually takes at usual pace."""
        known = self.service_s.get(call.work)
        if known is None:
            return max(0.005, INITIAL_SERVICE_SHARE * (call.soft_deadline - now))
        return known

    def is_short(self, work):
        """Return whether the work is short beside the other work of the upstream."""
        known = self.service_s.get(work)
        if known is None or not self.mean_s:
            return False
        return known <= SHORT_WORK_SHARE * self.mean_square / self.mean_s

    def limit_for(self, short):
        """Return how many calls may run when one more of this length starts."""
        limit = self.knee.limit(self.slots)
        if short or not any(map(self.is_short, self.service_s)):
            return limit
        return max(1, limit - int(RESERVED_SLOTS_SHARE * limit))

    def expected_wait_s(self, call, now):
        """Return the expected wait of a new call behind those that go before it."""
        rank = self._rank(call, now)
        before = sum(1 for item in self.waiting if self._rank(item.call, now) <= rank)
        free = self.limit_for(rank[1] == 0) - self.running
        if before < free:
            return 0.0
        pace = self.pace.expected(now)
        return (before - free + 1) * self.mean_service_s() * pace / max(1, self.slots)

    def admit(self, call, now):
        """Return None when the call got a slot, else a future that it waits for.

        Raises
        ------
        Draining, Saturated
            The call gets no slot and none is held for it.
        """
        if self.draining:
            raise Draining
        usual_s = self.usual_s(call, now)
        if now + MIN_SERVICE_SHARE * usual_s > call.deadline:
            raise Saturated(MIN_RETRY_AFTER_S)
        short = self.is_short(call.work)
        limit = self.limit_for(short)
        if call.alternatives > 0:
            if not short:
                limit = min(limit, max(1, int(NEARLY_FULL_SHARE * self.slots)))
            if self._too_slow_for(call, usual_s, now):
                raise Saturated(MIN_RETRY_AFTER_S)
        paused = now < self.paused_until and self.running
        ahead = self.waiting if not short else self._waiting_short_calls()
        if self.running < limit and not ahead and not paused:
            start = self._start(usual_s, now)
            if start is _StartDecision.START:
                self.running += 1
                return None
            if start is _StartDecision.WAIT and call.alternatives > 0:
                raise Saturated(MIN_RETRY_AFTER_S)
            return self._enqueue_and_request_pace(call, now)
        if not paused and len(self.waiting) < limit - self.running:
            # Those ahead wait for a figure or a slow phase, not for a slot.
            if call.alternatives == 0 or not self._is_slow_phase(now):
                return self._enqueue_and_request_pace(call, now)
        wait_s = self.expected_wait_s(call, now)
        end = now + wait_s + usual_s * self.pace.expected(now)
        queue_full = len(self.waiting) >= QUEUE_PER_SLOT * self.slots
        if short:
            # Late short work still lets the work that called it end well.
            answer_by = call.deadline
        elif now + usual_s > call.soft_deadline:
            answer_by = _late_answer_limit(call, now)
        else:
            answer_by = now + SAFETY_SHARE * (
                min(call.soft_deadline, call.deadline) - now
            )
        if call.alternatives > 0 or queue_full or end > answer_by:
            if not self._evict_less_urgent(call, short, now):
                raise Saturated(max(MIN_RETRY_AFTER_S, wait_s))
        return self._enqueue(call, now)

    def release(self, now):
        """Give a slot back and start the calls that wait for it."""
        self.running -= 1
        self.fill(now)

    def record(self, work, taken_s, pace_at_start, running, now):
        """Count the time that a call took.

        Parameters
        ----------
        work : str
        taken_s : float
        pace_at_start : float
            The pace that was expected when it started.
        running : int
            Calls that ran when it started.
        now : float
        """
        if self.pace.was_normal(now - taken_s, SLOW_PACE_MAX_AGE_S):
            verdict = self.knee.record(work, taken_s, running, self.slots)
            if verdict is not None:
                self.on_knee_verdict(verdict)
        pace = max(0.2, (pace_at_start + self.pace.expected(now)) / 2.0)
        sample = taken_s / pace
        known = self.service_s.get(work, sample)
        sample = min(sample, SAMPLE_LIMIT * known)
        known += SERVICE_TIME_WEIGHT * (sample - known)
        self.service_s[work] = known
        if not self.mean_s:
            self.mean_s, self.mean_square = known, known * known
        self.mean_s += OVERALL_MEAN_WEIGHT * (known - self.mean_s)
        self.mean_square += OVERALL_MEAN_WEIGHT * (known * known - self.mean_square)

    def hold(self, until):
        """Start no call until then: the upstream itself has said that it is full."""
        self.paused_until = max(self.paused_until, until)

    def fill(self, now):
        """Start waiting calls while there are free slots."""
        while self.waiting and self.running < self.slots:
            if now < self.paused_until and self.running:
                return
            waiter = self._next_waiter(now)
            call = waiter.call
            if self.running >= self.limit_for(self.is_short(call.work)):
                return
            if not waiter.future.done():
                start = self._start(self.usual_s(call, now), now)
                if start is _StartDecision.REFRESH_PACE:
                    self.ask_pace()
                    return
                if start is _StartDecision.WAIT:
                    if call.alternatives == 0:
                        return
                    self._fail(waiter, Saturated(MIN_RETRY_AFTER_S))
                    continue
            self.waiting.remove(waiter)
            if waiter.future.done():
                continue
            self.running += 1
            waiter.future.set_result(None)

    def expire(self, now):
        """Refuse waiting calls whose answer would come too late."""
        for waiter in tuple(self.waiting):
            call = waiter.call
            usual_s = self.usual_s(call, now)
            patient = self.is_short(call.work) or self._is_slow_phase(now)
            answer_by = call.deadline if patient else waiter.answer_by
            late = now + MIN_SERVICE_SHARE * usual_s > answer_by
            if late or now + usual_s > call.deadline:
                self._fail(waiter, Saturated(MIN_RETRY_AFTER_S))
        self.fill(now)

    def drain(self):
        """Refuse waiting and new calls."""
        self.draining = True
        for waiter in tuple(self.waiting):
            self._fail(waiter, Draining())

    def abandon(self, future):
        """Forget a call that no longer waits."""
        for waiter in self.waiting:
            if waiter.future is future:
                self.waiting.remove(waiter)
                return

    def _too_slow_for(self, call, usual_s, now):
        """Return whether the slow upstream would miss the aim that others may keep."""
        if not self.pace.is_slow(now, SLOW_RATIO, SLOW_PACE_MAX_AGE_S):
            return False
        left_s = min(call.soft_deadline, call.deadline) - now
        return (
            left_s > 0
            and usual_s * self.pace.expected(now) > MIN_SERVICE_SHARE * left_s
        )

    def _start(self, usual_s, now):
        """Return whether work of this usual time may start now."""
        gauge = self.pace
        if self.ask_pace is None or not gauge.known or now < self.unasked_until:
            return _StartDecision.START
        stale = gauge.is_stale(now, FRESH_PACE_S)
        if (
            self._is_slow_phase(now)
            and usual_s * (gauge.pace - 1.0) > MEAN_SLOW_REMAINDER_S
        ):
            return _StartDecision.REFRESH_PACE if stale else _StartDecision.WAIT
        if stale and usual_s * (SLOW_PHASE_PACE - 1.0) > MEAN_SLOW_REMAINDER_S:
            return _StartDecision.REFRESH_PACE
        return _StartDecision.START

    def _is_slow_phase(self, now):
        if self.ask_pace is None or now < self.unasked_until:
            return False
        return self.pace.is_in_slow_phase(now, MAX_SLOW_PHASE_S)

    def _enqueue_and_request_pace(self, call, now):
        future = self._enqueue(call, now)
        self.ask_pace()
        return future

    def _enqueue(self, call, now):
        self.arrivals += 1
        future = asyncio.get_running_loop().create_future()
        answer_by = call.soft_deadline
        if now + self.usual_s(call, now) > call.soft_deadline:
            answer_by = _late_answer_limit(call, now)
        self.waiting.append(_Waiter(call, future, self.arrivals, answer_by))
        return future

    def _rank(self, call, now):
        """Return the place of a call among those that wait; lower ones go first."""
        late = now + self.usual_s(call, now) > call.soft_deadline
        short = self.is_short(call.work)
        return (late and not short, 0 if short else 1, call.priority)

    def _next_waiter(self, now):
        return min(
            self.waiting, key=lambda item: (*self._rank(item.call, now), item.order)
        )

    def _waiting_short_calls(self):
        return [item for item in self.waiting if self.is_short(item.call.work)]

    def _evict_less_urgent(self, call, short, now):
        """Refuse the newest waiting call of less urgency, if there is one."""
        if call.alternatives > 0:
            return False
        rank = self._rank(call, now)
        less_urgent = [
            item
            for item in self.waiting
            if item.call.priority > call.priority
            or (short and not self.is_short(item.call.work))
            or self._rank(item.call, now)[0] > rank[0]
        ]
        if not less_urgent:
            return False
        victim = max(
            less_urgent,
            key=lambda item: (
                self._rank(item.call, now)[0],
                item.call.priority,
                item.order,
            ),
        )
        self._fail(victim, Saturated(MIN_RETRY_AFTER_S))
        return True

    def _fail(self, waiter, error):
        self.waiting.remove(waiter)
        if not waiter.future.done():
            waiter.future.set_exception(error)


def _late_answer_limit(call, now):
    """Return until when the answer of a call that is late already should come."""
    return now + LATE_WAIT_SHARE * (call.deadline - now)
