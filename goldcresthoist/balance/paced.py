"""Choice of the upstream that is expected to answer first."""

from goldcresthoist.balance.chooser import Chooser
from goldcresthoist.balance.pace import decayed_pace
from goldcresthoist.balance.policy import Default
from goldcresthoist.balance.views import Outcome

__all__ = ["PacedChooser"]

# Candidates that are compared in each group; more would cost time and make all daemons
# choose the same upstream at once.
SAMPLE_SIZE = 6
# Cost of a farther group, in seconds: what its longer way and its bytes are worth.
TIER_COST_S = (0.0, 0.04, 0.15)
BYTE_COST_S = (0.0, 2.5e-6, 2.5e-5)
# The daemon beside an upstream starts usual work only at its usual pace and refuses it
# within milliseconds else. So an old figure says little against asking it.
PACE_AT_ADMISSION = 1.0
# Near its last slots an upstream may turn slower.
NEARLY_FULL_SHARE = 0.8
NEARLY_FULL_FACTOR = 1.7
# Among equal upstreams the emptier one is chosen.
LOAD_PENALTY = 0.5
JITTER = 0.1
FAILURE_WEIGHT = 0.15
# Without new calls, half of the failures are forgotten in this time.
FAILURE_HALF_LIFE_S = 3.0


class PacedChooser(Chooser):
    """Compares upstreams by the time in which each is expected to answer."""

    def __init__(self, policy=None, rng=None):
        super().__init__(policy or Default(), rng)

    def choose(self, views, rule, now, exclude=(), size=0, reachable=None):
        """Return the best view for a call, or None.

        Parameters
        ----------
        size : int
            Bytes of the request body, which are dear between failure domains.
        reachable : callable, optional
            ``reachable(view)`` tells whether the daemon there can be called.
        """
        best, best_cost = None, 0.0
        for tier, base_s, byte_s in zip(views.tiers, TIER_COST_S, BYTE_COST_S):
            for view in self._sample(tier):
                if view.draining or view in exclude:
                    continue
                if reachable is not None and not reachable(view):
                    continue
                cost = self.expected_latency_s(view, rule, now) + base_s + byte_s * size
                cost *= 1.0 + JITTER * self.random()
                if best is None or cost < best_cost:
                    best, best_cost = view, cost
        return best

    def expected_latency_s(self, view, rule, now):
        """Return the expected time to an answer of a view, in seconds."""
        pace = decayed_pace(view.pace, now - view.pace_time, PACE_AT_ADMISSION)
        load = self.estimated_load(view, now) + 1.0
        slots = max(1, view.slots)
        share = load / slots
        work_s = rule.usual_s * pace
        if share > NEARLY_FULL_SHARE:
            work_s *= NEARLY_FULL_FACTOR
        work_s *= 1.0 + LOAD_PENALTY * min(share, 1.0)
        if load > slots:
            work_s += (load - slots) * rule.usual_s * pace / slots
        return work_s + self._failure_share(view, now) * rule.longest_s

    def _failure_share(self, view, now):
        """Return the share of calls that are expected to fail at the upstream.

        The daemon beside it sees the failures of everybody and tells them long before
        this one has met as many.
        """
        decay = 0.5 ** (max(0.0, now - view.failed_at) / FAILURE_HALF_LIFE_S)
        share = view.failure_share * decay
        report = view.report
        if report is not None and report.failure_share > share:
            age_s = max(0.0, now - view.report_age_from)
            reported = report.failure_share * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)
            share = max(share, reported)
        return share

    def record_load(self, view, load, now):
        """Take over a load report with the pace in it."""
        super().record_load(view, load, now)
        if load.pace > 0.0:
            at = view.report_age_from - load.pace_age_ms / 1000.0
            if at >= view.pace_time or view.pace <= 0.0:
                view.pace = load.pace
                view.pace_time = at

    def record_end(self, view, outcome, latency_s, load, now, rule=None):
        """Count the end of a call, and how often calls fail there."""
        if load is not None:
            self.record_load(view, load, now)
        view.in_flight -= 1
        if outcome is Outcome.SUCCEEDED:
            view.failure_share -= FAILURE_WEIGHT * view.failure_share
        elif outcome is Outcome.FAILED:
            # An upstream that fails part of its calls is not ejected: it may fail
            # because the services that it calls are full, like all its peers.
            view.failed_at = now
            view.failure_share += FAILURE_WEIGHT * (1.0 - view.failure_share)

    def _sample(self, tier):
        count = len(tier)
        if count <= SAMPLE_SIZE:
            return tier
        start = int(self.random() * count)
        step = 1 + int(self.random() * (count - 1))
        found = [tier[(start + step * place) % count] for place in range(SAMPLE_SIZE)]
        return dict.fromkeys(found)
