"""Selection of the upstream for one call."""

import random

from goldcresthoist.balance._outliers import (
    may_start_trial,
    record_outcome,
    record_report,
)
from goldcresthoist.balance._report_delay import report_delay_s
from goldcresthoist.balance.policy import Default, Naive
from goldcresthoist.balance.views import Outcome

__all__ = ["Chooser"]

# Number of random draws from a tier before it is searched in order for an upstream that
# may be used.
RANDOM_DRAWS = 4
# Weight of one sample in the moving averages of the pool.
MEAN_WEIGHT = 0.02
# Weight of one call in the moving average of an upstream's slowness.
SLOWNESS_WEIGHT = 0.2
# Share of its slots that an upstream is given at the beginning of its slow start. The
# share grows with the time since then.
SLOW_START_MIN_SHARE = 0.1
# Number of consecutive failures beyond which the penalty on the score does not grow
# further.
FAILURE_PENALTY_LIMIT = 8


class Chooser:
    """Selects upstreams and updates their views with the results of calls.

    Parameters
    ----------
    policy : Naive or Default
        Selection policy.
    rng : random.Random, optional
        Source of randomness; tests pass a seeded one.
    """

    def __init__(self, policy, rng=None):
        self.policy = policy
        self.random = (rng or random.Random()).random

    def choose(self, pool, rule, now, exclude=()):
        """Return the upstream for a call, or None when none may be used.

        Parameters
        ----------
        pool : UpstreamPool
            The upstreams of the service.
        rule : WorkRule
            The work of the call.
        now : float
            Monotonic seconds.
        exclude : collection of UpstreamView
            Upstreams that have already been tried for this call.
        """
        match self.policy:
            case Naive():
                return self._choose_naive(pool, now, exclude)
            case Default():
                return self._choose_default(pool, rule, now, exclude)

    def record_start(self, view, now):
        """Record that a call is sent to the upstream.

        Each call must also be passed to `record_end`.
        """
        view.in_flight += 1
        if view.ejections and now >= view.ejected_until:
            view.trial_running = True

    def record_end(self, view, outcome, latency_s, load, now, rule=None):
        """Record the end of a call.

        Parameters
        ----------
        view : UpstreamView
            The upstream that ran the call.
        outcome : Outcome
            How the call ended.
        latency_s : float
            Seconds since `record_start`.
        load : LoadReport or None
            Load report in the response.
        now : float
            Monotonic seconds.
        rule : WorkRule, optional
            The work of the call; the latency is divided by its usual time. Without it,
            the latency is not recorded.
        """
        if load is not None:
            self.record_load(view, load, now)
        view.in_flight -= 1
        if outcome is Outcome.SUCCEEDED and rule is not None:
            self._record_latency(view, latency_s / rule.usual_s, now)
        match self.policy:
            case Default():
                record_outcome(view, outcome, self.policy, now, now - latency_s)

    def record_load(self, view, load, now):
        """Record a load report, received in a response or in a pong."""
        calls_of_others = load.in_flight + load.queued - view.in_flight
        view.calls_of_others = calls_of_others if calls_of_others > 0 else 0
        view.report = load
        view.report_made_at = now - report_delay_s(view, load.at_ms, now)
        view.report_time = now
        view.draining = load.draining
        if load.failing or view.ejected_by_report:
            record_report(view, now)
        if load.slots > 0:
            view.slots = load.slots
        pool = view.pool
        if pool is not None:
            pool.mean_calls_of_others += MEAN_WEIGHT * (
                view.calls_of_others - pool.mean_calls_of_others
            )

    def estimated_load(self, view, now):
        """Return the estimated number of calls that run or wait at the upstream.

        The calls of this daemon are counted exactly. The number of calls of other
        daemons is taken from the last report and approaches the mean of the pool as the
        report ages.
        """
        pool = view.pool
        mean = pool.mean_calls_of_others if pool is not None else 0.0
        if view.report is None:
            return view.in_flight + mean
        half_life = self.policy.report_half_life_s
        weight = half_life / (half_life + now - view.report_made_at)
        return view.in_flight + mean + (view.calls_of_others - mean) * weight

    def _record_latency(self, view, ratio, now):
        """Record the ratio of the latency of a call to the usual time of its work."""
        limit = getattr(self.policy, "slowness_sample_limit", ratio)
        ratio = min(ratio, limit)
        view.slowness += SLOWNESS_WEIGHT * (ratio - view.slowness)
        view.slowness_time = now
        pool = view.pool
        if pool is not None:
            pool.mean_slowness += MEAN_WEIGHT * (ratio - pool.mean_slowness)

    def _choose_naive(self, pool, now, exclude):
        """Return a random upstream that may be used, at any distance and load."""
        candidates = pool.views
        count = len(candidates)
        if not count:
            return None
        start = int(self.random() * count)
        for step in range(count):
            view = candidates[(start + step) % count]
            if not view.draining and view not in exclude:
                return view
        return None

    def _choose_default(self, pool, rule, now, exclude):
        """Return an upstream of the nearest tier that has spare capacity.

        If no tier has any, the candidate with the lowest score is returned.
        """
        best = None
        best_score = 0.0
        for tier in pool.tiers:
            if not tier:
                continue
            view, score = self._better_of_two(tier, rule, now, exclude)
            if view is None:
                continue
            if self._has_spare_capacity(score):
                return view
            if best is None or score < best_score:
                best, best_score = view, score
        return best

    def _has_spare_capacity(self, score):
        """Return whether a call should go to an upstream of this score.

        If not, it may overflow to the next tier, which is farther away. The probability
        of this rises gradually with the load. With a single threshold, delayed reports
        make all daemons leave a failure domain at the same time and return to it at the
        same time.
        """
        policy = self.policy
        excess = score - policy.overflow_from_share
        if excess <= 0.0:
            return True
        return (
            self.random() * (policy.overflow_all_share - policy.overflow_from_share)
            > excess
        )

    def _better_of_two(self, tier, rule, now, exclude):
        """Return the better of two random upstreams of a tier, and its score.

        The upstream is None if none of the tier may be used.
        """
        first = self._draw(tier, rule, now, exclude, None)
        if first is None:
            return None, 0.0
        # An upstream that is due for a trial is always chosen when it is drawn. Its
        # score would never win, and without a trial call it would stay ejected.
        if first.ejections:
            return first, 0.0
        score = self._score(first, now)
        if len(tier) == 1:
            return first, score
        second = self._draw(tier, rule, now, exclude, first)
        if second is None:
            return first, score
        if second.ejections:
            return second, 0.0
        other = self._score(second, now)
        return (second, other) if other < score else (first, score)

    def _draw(self, tier, rule, now, exclude, already_drawn):
        """Return a random upstream of the tier that may be used, or None."""
        count = len(tier)
        for _ in range(RANDOM_DRAWS):
            view = tier[int(self.random() * count)]
            if view is not already_drawn and _allowed(view, rule, now, exclude):
                return view
        # At most half of the pool is ejected, so this ends after a few steps unless the
        # tier is small or most of it is draining.
        start = int(self.random() * count)
        for step in range(count):
            view = tier[(start + step) % count]
            if view is not already_drawn and _allowed(view, rule, now, exclude):
                return view
        return None

    def _score(self, view, now):
        """Return the estimated load as a share of the slots, with penalties.

        Slowness, slow start and recent failures raise the score; the lowest one wins.
        """
        policy = self.policy
        score = (self.estimated_load(view, now) + 1.0) / view.slots
        slowness_ratio = self._relative_slowness(view, now)
        if slowness_ratio > 1.0:
            score *= slowness_ratio
            if slowness_ratio > policy.slow_ratio:
                # An upstream this slow counts as if all of its slots were in use.
                score += 1.0
        age = now - view.slow_start_at
        if age < policy.slow_start_s:
            score /= max(SLOW_START_MIN_SHARE, age / policy.slow_start_s)
        # The penalty expires by itself. An upstream that the ejection cap keeps in use
        # gets no trial calls, so only ordinary calls can show that it has recovered.
        if view.consecutive_failures and now < view.failed_at + policy.ejection_s:
            score *= 1 + min(view.consecutive_failures, FAILURE_PENALTY_LIMIT)
        return score

    def _relative_slowness(self, view, now):
        """Return the slowness of the upstream relative to the mean of its pool.

        It approaches 1 as the last measurement ages.
        """
        mean = view.pool.mean_slowness if view.pool is not None else 1.0
        half_life = self.policy.slowness_half_life_s
        weight = half_life / (half_life + now - view.slowness_time)
        return (mean + (view.slowness - mean) * weight) / max(mean, 1e-6)


def _allowed(view, rule, now, exclude):
    if view.draining or view in exclude:
        return False
    return not view.ejections or may_start_trial(view, rule, now)
