"""Tests of latency-based selection and of the shared retry budget."""

import random
import unittest

import msgspec

from goldcresthoist.balance import (
    LatencyChooser,
    Outcome,
    SharedRetryBudget,
    UpstreamPool,
    UpstreamView,
)
from goldcresthoist.config.model import Read, WorkRule
from goldcresthoist.links.frames import LoadReport

RULE = WorkRule("listen", "", "/", Read(), 0.1, 1.2, 1.0)


def make_report(pace=1.0, in_flight=0, slots=12, pace_age_ms=0):
    """Return a load report without queued calls."""
    return LoadReport(in_flight, 0, slots, 100.0, pace=pace, pace_age_ms=pace_age_ms)


class LatencyChooserTest(unittest.TestCase):
    def setUp(self):
        self.chooser = LatencyChooser(rng=random.Random(1))
        self.pool = UpstreamPool("a", "r")
        self.views = {}
        for name, domain in (("near", "a"), ("near2", "a"), ("far", "b")):
            view = self.views[name] = UpstreamView(name, domain, "r", 0.0)
            self.pool.add(view)
            self.chooser.record_load(view, make_report(), 1.0)

    def choose(self, now=1.0, size=0, exclude=()):
        """Return the name of the chosen upstream, or None."""
        view = self.chooser.choose(self.pool, RULE, now, exclude, size)
        return view.instance if view else None

    def count(self, **values):
        """Return the names that 50 calls of `choose` return."""
        return [self.choose(**values) for _ in range(50)]

    def test_near_domain_is_preferred(self):
        """Guards against traffic between failure domains without a benefit."""
        self.assertNotIn("far", self.count())

    def test_slow_instances_are_avoided(self):
        """Guards against calls sent to instances that other workloads slow down."""
        self.chooser.record_load(self.views["near"], make_report(7.0), 1.0)
        self.chooser.record_load(self.views["near2"], make_report(7.0), 1.0)
        self.assertEqual(set(self.count()), {"far"})

    def test_large_request_stays_in_its_domain_at_a_small_slowdown(self):
        """Guards against uploads sent to another domain to save a few milliseconds."""
        for name in ("near", "near2"):
            self.chooser.record_load(self.views[name], make_report(1.5), 1.0)
        self.assertIn("far", self.count())
        self.assertNotIn("far", self.count(size=60_000))

    def test_large_response_avoids_a_thin_link(self):
        """Guards against a large response that takes longer on the link than its work.

        300 kB take 300 ms at 8 Mbit/s and 3 ms at 800 Mbit/s.
        """
        self.chooser.record_load(self.views["near2"], make_report(1.5), 1.0)
        self.views["near"].link_s_per_byte = 8e-6 / 8
        self.views["near2"].link_s_per_byte = 8e-6 / 800
        self.assertEqual(set(self.count()), {"near"})
        self.assertEqual(set(self.count(size=300_000)), {"near2"})

    def test_old_pace_sample_has_little_weight(self):
        """Guards against an instance avoided long after its slow phase."""
        self.chooser.record_load(self.views["near"], make_report(7.0), 1.0)
        self.assertNotIn("near", self.count(now=1.0))
        self.chooser.record_load(self.views["near2"], make_report(2.4), 3.0)
        self.assertIn("near", self.count(now=3.0))

    def test_old_pace_sample_does_not_cause_overflow_to_another_domain(self):
        """Guards against traffic between domains for lack of a fresh pace sample.

        The serving daemon of the near upstream requests a sample itself, and refuses
        the call at once in a slow phase. In quiet-1 on tobar-mesh, over half of the
        reads left their failure domain.
        """
        self.chooser.record_load(self.views["far"], make_report(), 5.0)
        self.assertNotIn("far", self.count(now=5.0))

    def test_full_domain_overflows(self):
        """Guards against a burst that queues in one domain while others have slots."""
        for name in ("near", "near2"):
            self.chooser.record_load(self.views[name], make_report(in_flight=14), 1.0)
        self.assertEqual(set(self.count()), {"far"})

    def test_failing_upstream_is_avoided_until_it_recovers(self):
        """Guards against calls lost at an upstream that fails only some of them.

        Guards as well against never using it again after it has recovered.
        """
        view = self.views["near"]
        for _ in range(3):
            self.chooser.record_start(view, 1.0)
            self.chooser.record_end(view, Outcome.FAILED, 0.01, None, 1.0, RULE)
        self.assertNotIn("near", self.count(now=1.0))
        for name in ("near", "near2", "far"):
            self.chooser.record_load(self.views[name], make_report(), 200.0)
        self.assertIn("near", self.count(now=200.0))

    def test_failures_reported_by_the_serving_daemon_count(self):
        """Guards against entry daemons that detect failures only by their own calls.

        In incident inc-0164 of tobar-mesh, two upstreams reset some of their requests
        while they announced themselves as healthy, and each of eleven daemons had to
        detect it by itself.
        """
        view = self.views["near"]
        report = msgspec.structs.replace(make_report(), failure_share=0.4)
        self.chooser.record_load(view, report, 1.0)
        self.assertNotIn("near", self.count(now=1.0))

    def test_all_failing_upstreams_are_still_used(self):
        """Guards against a service that is unavailable because others are full.

        When the services that it calls are full, all of its upstreams respond with
        status 500, and all of them would be ejected.
        """
        for view in self.pool:
            for _ in range(20):
                self.chooser.record_start(view, 1.0)
                self.chooser.record_end(view, Outcome.FAILED, 0.01, None, 1.0, RULE)
        self.assertIsNotNone(self.choose())

    def test_draining_and_excluded_views_are_not_chosen(self):
        """Guards against calls sent where they are certain to be refused."""
        self.views["near"].draining = True
        exclude = (self.views["near2"], self.views["far"])
        self.assertIsNone(self.choose(exclude=exclude))


class NestedRetriesTest(unittest.TestCase):
    """Load: a service and the one that it calls both fail most of their calls.

    On scale-1 of haatbazar-bengal-grown, all upstreams of fee-counter refused half of
    their calls. Requests of stall-board failed by that and were retried, and each retry
    made 1.4 calls to fee-counter, which count as retries there.
    """

    WINDOW_S = 10
    SHARE, RESERVE = 0.2, 170.0
    CALLS_PER_RUN = 1.4

    def count_retries(self, daemons, caller_per_s, own_per_s):
        """Return the retries at the called service in a window, and those allowed."""
        budgets = [SharedRetryBudget(self.SHARE, self.RESERVE) for _ in range(2)]
        for budget in budgets:
            budget.set_daemon_count(daemons)
        caller, called = budgets
        requests = [0, 0]
        retries = 0.0
        caller_in_s = caller_per_s / daemons
        called_in_s = own_per_s / daemons + self.CALLS_PER_RUN * caller_in_s
        # Retries that the caller service runs at the moment, as the running share.
        running = [1.0, 0.0]
        for step in range(self.WINDOW_S * 100):
            share = running[1] / sum(running)
            running = [item * 0.95 for item in running]
            for index, per_s in enumerate((caller_in_s, called_in_s)):
                while requests[index] < per_s * (step + 1) / 100:
                    requests[index] += 1
                    running[0] += 1 - index
                    budgets[index].record_request(index * share)
            while caller.try_take():
                running[1] += 1
                retries += self.CALLS_PER_RUN
            while called.try_take():
                retries += 1
        allowed = self.SHARE * requests[1] * daemons + self.RESERVE
        return retries * daemons, allowed

    def test_calls_of_retried_runs_are_within_the_limit(self):
        """Guards against more arrivals at the called service than the budget allows."""
        for daemons in (8, 64):
            retries, allowed = self.count_retries(daemons, 250, 70)
            self.assertLessEqual(retries, allowed)


class SharedRetryBudgetTest(unittest.TestCase):
    def test_all_daemons_together_stay_within_the_limit(self):
        """Guards against a retry storm from many daemons with few retries each.

        All calls fail, so each daemon retries as often as its budget allows. Together
        they may retry 20% of all requests and 58 more.
        """
        daemons, requests = 11, 100
        retries = 0
        for _ in range(daemons):
            budget = SharedRetryBudget(0.2, 58)
            budget.set_daemon_count(daemons)
            for _ in range(requests):
                budget.record_request()
                while budget.try_take():
                    retries += 1
        self.assertLess(retries, 0.2 * daemons * requests + 58)
        self.assertGreater(retries, 0.1 * daemons * requests)

    def test_hedges_leave_tokens_for_failures(self):
        """Guards against hedges that use up the tokens needed for retries."""
        budget = SharedRetryBudget(0.2, 4.4)
        self.assertTrue(budget.try_take_for_hedge())
        self.assertTrue(budget.try_take_for_hedge())
        self.assertFalse(budget.try_take_for_hedge())
        self.assertTrue(budget.try_take())

    def test_daemons_of_a_large_fleet_can_hedge(self):
        """Guards against a reserve for failures that no bucket of a large fleet holds.

        On large/tobar-mesh-large, 195 daemons share a reserve of 430: each bucket holds
        1.54 tokens, and hedges needed 2.
        """
        budget = SharedRetryBudget(0.2, 430)
        budget.set_daemon_count(195)
        self.assertTrue(budget.try_take_for_hedge())
        self.assertFalse(budget.try_take_for_hedge())
        for _ in range(7):
            budget.record_request()
        self.assertTrue(budget.try_take())
