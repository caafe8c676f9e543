"""Selection of the upstream with the lowest expected latency."""

from goldcresthoist.balance.chooser import Chooser
from goldcresthoist.balance.pace import decayed_pace
from goldcresthoist.balance.policy import Default
from goldcresthoist.balance.views import Outcome

__all__ = ["LatencyChooser"]

# Number of upstreams that are compared in each tier. Comparing more would cost time and
# make all daemons choose the same upstream at the same moment.
SAMPLE_SIZE = 6
# Cost of a call to an upstream in the own failure domain, in the rest of the region and
# in another region: in seconds, and in seconds per byte of both bodies. It stands for
# the longer network path and for the price of traffic between failure domains. A
# farther upstream is normally chosen only when its expected latency is lower by more
# than the additional cost: a call without a body goes to another failure domain to save
# more than 40 ms, and to another region to save more than 150 ms.
TIER_COST_S = (0.0, 0.04, 0.15)
BYTE_COST_S = (0.0, 2.5e-6, 2.5e-5)
# The pace that is expected of an upstream approaches this value as its last sample
# ages. The serving daemon starts most work only at a normal pace and otherwise refuses
# it within milliseconds, so an old high sample is no reason to avoid the upstream.
PACE_AT_ADMISSION = 1.0
# Share of slots in use above which an upstream may slow down, and the factor by which
# its processing time is then expected to grow.
NEARLY_FULL_SHARE = 0.8
NEARLY_FULL_FACTOR = 1.7
# Share by which the expected processing time is increased when all slots are in use. At
# a lower load, the increase is proportional to the share of slots in use, so that the
# less loaded of otherwise equal upstreams is chosen.
LOAD_PENALTY = 0.5
# Largest random increase of the cost, as a share of it. It distributes calls among
# upstreams of nearly equal cost.
JITTER = 0.1
# Weight of one call in the moving average of the failure share.
FAILURE_WEIGHT = 0.15
# Half-life of the failure share. Its age is counted from the last failure, or from the
# load report that contains it.
FAILURE_HALF_LIFE_S = 3.0


class LatencyChooser(Chooser):
    """Chooses the upstream with the lowest sum of expected latency and network cost.

    Both are in seconds. The network cost depends on the tier of the upstream, the
    bandwidth between the instances and the size of both bodies (see `TIER_COST_S`). All
    tiers are compared, so a farther upstream is chosen when the nearer ones are slower
    by more than the additional cost.

    Failing upstreams are not ejected. Failures increase the expected latency instead.
    """

    def __init__(self, policy=None, rng=None):
        super().__init__(policy or Default(), rng)

    def choose(self, pool, rule, now, exclude=(), size=0, reachable=None):
        """Return the upstream for a call, or None when none may be used.

        The other parameters are those of `Chooser.choose`.

        Parameters
        ----------
        size : int
            Size of the request body and of the expected response body in bytes. Traffic
            between failure domains is expensive, so large ones tend to stay in theirs.
        reachable : callable, optional
            ``reachable(view)`` returns whether the serving daemon of the upstream can
            be called. Without it, all of them count as reachable.
        """
        best, best_cost = None, 0.0
        for tier, base_s, byte_s in zip(pool.tiers, TIER_COST_S, BYTE_COST_S):
            for view in self._sample(tier):
                if view.draining or view in exclude:
                    continue
                if reachable is not None and not reachable(view):
                    continue
                cost = self.expected_latency_s(view, rule, now) + base_s
                cost += (byte_s + view.link_s_per_byte) * size
                cost *= 1.0 + JITTER * self.random()
                if best is None or cost < best_cost:
                    best, best_cost = view, cost
        return best

    def expected_latency_s(self, view, rule, now):
        """Return the expected latency of a call to the upstream, in seconds.

        It is the sum of three times:

        - The processing time: the usual time of the work multiplied by the expected
          pace. It grows with the load, and by a further factor when the upstream is
          nearly full.
        - The queueing time: for each call by which the load exceeds the number of
          slots, the usual time at that pace divided by the number of slots.
        - The cost of failures: the share of calls that are expected to fail, multiplied
          by the longest time of the work.

        The load is the estimated number of calls at the upstream, including this one.
        """
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

        It is the higher of the share that this daemon has measured with its own calls
        and the share in the last load report, each reduced according to its age. The
        serving daemon sees the failures of the calls of all daemons, so its reports
        show a fault long before the calls of this daemon do.
        """
        decay = 0.5 ** (max(0.0, now - view.failed_at) / FAILURE_HALF_LIFE_S)
        share = view.failure_share * decay
        report = view.report
        if report is not None and report.failure_share > share:
            age_s = max(0.0, now - view.report_made_at)
            reported = report.failure_share * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)
            share = max(share, reported)
        return share

    def record_load(self, view, load, now):
        """Record a load report and the pace sample in it.

        Reports may arrive out of order. A sample that was taken before the last known
        one is ignored.
        """
        super().record_load(view, load, now)
        if load.pace > 0.0:
            at = view.report_made_at - load.pace_age_ms / 1000.0
            if at >= view.pace_time or view.pace <= 0.0:
                view.pace = load.pace
                view.pace_time = at

    def record_end(self, view, outcome, latency_s, load, now, rule=None):
        """Record the end of a call and update the failure share of the upstream.

        The parameters are those of `Chooser.record_end`. Refused and cancelled calls do
        not change the failure share. The latency and the work are not used.
        """
        if load is not None:
            self.record_load(view, load, now)
        view.in_flight -= 1
        if outcome is Outcome.SUCCEEDED:
            view.failure_share -= FAILURE_WEIGHT * view.failure_share
        elif outcome is Outcome.FAILED:
            # An upstream is not ejected for failing some of its calls. The cause may be
            # overload of the services that it calls, which affects its peers as well.
            view.failed_at = now
            view.failure_share += FAILURE_WEIGHT * (1.0 - view.failure_share)

    def _sample(self, tier):
        """Return up to `SAMPLE_SIZE` random upstreams of the tier.

        The sample begins at a random place and advances by a random step, which takes
        two random numbers instead of one per upstream. Since the step is random too,
        an upstream is not always compared with the same neighbours. Places repeat when
        the step and the number of upstreams have a common divisor, so the sample may be
        smaller.
        """
        count = len(tier)
        if count <= SAMPLE_SIZE:
            return tier
        start = int(self.random() * count)
        step = 1 + int(self.random() * (count - 1))
        sampled = [tier[(start + step * place) % count] for place in range(SAMPLE_SIZE)]
        return dict.fromkeys(sampled)
