"""Tests of the policy benchmark's arrivals and statistics."""

import random
import unittest

from goldcresthoist.bench.load import Arrival, Result, make_arrivals
from goldcresthoist.bench.node import NodeReport
from goldcresthoist.bench.phases import Phase
from goldcresthoist.bench.sites import SITES, is_long_work
from goldcresthoist.bench.statistics import PhaseStatistics, node_costs

LOOKUP = SITES["souss"].services[0]
SETTLE = SITES["souss"].services[1]
DURATION_S = 10.0


def draw_arrivals(service, demand, **options):
    """Return arrivals at a constant multiple of the capacity."""
    rate = service.capacity * demand
    rng = random.Random(5)
    return make_arrivals(service, lambda at_s: rate, DURATION_S, rng, **options)


def make_statistics(arrivals, outcome="ok", latency_s=0.0):
    """Return the statistics of a phase in which every call has the same outcome."""
    results = [Result(arrival, outcome, latency_s) for arrival in arrivals]
    phase = Phase("test", 1.0, duration_s=DURATION_S)
    return PhaseStatistics(SITES["souss"], phase, results)


class ArrivalsTest(unittest.TestCase):
    """Guards against a comparison of policies on different calls."""

    def test_same_seed_draws_the_same_calls(self):
        self.assertEqual(draw_arrivals(LOOKUP, 0.5), draw_arrivals(LOOKUP, 0.5))

    def test_demand_is_the_given_share_of_the_slots(self):
        work_s = sum(a.service_ms for a in draw_arrivals(LOOKUP, 0.5)) / 1000.0
        slots_s = LOOKUP.target_count * 12 * DURATION_S
        self.assertAlmostEqual(work_s / slots_s, 0.5, delta=0.05)

    def test_long_work_can_be_left_out(self):
        arrivals = draw_arrivals(SETTLE, 0.5, long_work=0.0)
        self.assertFalse(any(is_long_work(arrival.rule) for arrival in arrivals))


class StatisticsTest(unittest.TestCase):
    """Guards against statistics that look better than what callers saw."""

    def test_demand_beyond_the_slots_is_not_servable(self):
        statistics = make_statistics(draw_arrivals(LOOKUP, 3.0))
        self.assertAlmostEqual(statistics.service_of_servable(), 3.0, delta=0.2)
        self.assertEqual(statistics.service_weighted(), 1.0)

    def test_late_and_refused_calls_are_not_served(self):
        for outcome in ("late", "saturated", "wrong-answer"):
            statistics = make_statistics(draw_arrivals(LOOKUP, 0.5), outcome)
            self.assertEqual(statistics.service_weighted(), 0.0)

    def test_failed_call_counts_with_its_whole_deadline(self):
        rule = LOOKUP.work[0]
        arrival = Arrival(0.0, rule, "lookup", 100.0, 1)
        statistics = make_statistics([arrival], "deadline-exceeded", 0.001)
        longest_ms = rule.longest_s * 1000.0
        self.assertAlmostEqual(
            statistics.reads.percentile_ms(99.0), longest_ms, delta=2
        )

    def test_counts_of_a_restarted_daemon_are_not_negative(self):
        before = {"lookup-0": NodeReport("lookup-0", cpu_s=9.0, calls=100, retries=8)}
        after = {"lookup-0": NodeReport("lookup-0", cpu_s=1.0, calls=20, retries=1)}
        self.assertEqual(node_costs(before, after)["retry_share"], 0.05)
