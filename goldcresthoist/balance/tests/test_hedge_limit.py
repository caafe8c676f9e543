"""Tests of the operator's limit on hedges."""

import unittest

from goldcresthoist.balance import (
    HedgeDecision,
    HedgeLimit,
    HedgeSettings,
    InvalidHedgeShare,
)
from goldcresthoist.balance.hedge_limit import SHARE_VARIABLE, TOKEN_CAPACITY
from goldcresthoist.balance.tests.builders import BULK, SHORT, make_load


def decide(limit, now=0.0, service="souss", left_s=1.0):
    """Decide on the hedge of a request whose work usually takes 0.1 s."""
    return limit.decide(service, 0.1, now + left_s, now)


class HedgeSettingsTest(unittest.TestCase):
    def test_values_outside_the_range_are_rejected(self):
        """Guards against a limit that is not the one the operator meant."""
        for text in ("", "x", "nan", "inf", "-0.1", "0.51", "5%"):
            with self.assertRaises(InvalidHedgeShare) as caught:
                HedgeSettings.from_environment({SHARE_VARIABLE: text})
            self.assertEqual(
                str(caught.exception),
                f"GOLDCRESTHOIST_HEDGE_SHARE is {text!r}, "
                "expected a number from 0 to 0.5",
            )

    def test_missing_and_zero_set_no_limit(self):
        """Guards against a changed behaviour where the operator has set nothing."""
        for environment in ({}, {SHARE_VARIABLE: "0"}):
            settings = HedgeSettings.from_environment(environment)
            self.assertIsNone(HedgeLimit.from_settings(settings))
        settings = HedgeSettings.from_environment({SHARE_VARIABLE: "0.5"})
        self.assertEqual(HedgeLimit.from_settings(settings).share, 0.5)


class HedgeLimitTest(unittest.TestCase):
    def test_hedges_stay_within_the_share_at_any_time(self):
        """Guards against added work beyond the limit, from the start on."""
        limit = HedgeLimit(0.05)
        sent = 0
        for count in range(1, 2000):
            limit.record_request("souss", True, count * 0.01)
            sent += decide(limit, count * 0.01) is HedgeDecision.SEND
            self.assertLessEqual(sent, 0.05 * count + 1e-6)
        self.assertGreater(sent, 95)

    def test_requests_that_must_not_be_repeated_allow_no_hedges(self):
        """Guards against hedges beyond the share of the repeatable requests."""
        limit = HedgeLimit(0.5)
        for count in range(100):
            limit.record_request("souss", False, count * 0.01)
        self.assertIs(decide(limit, 1.0), HedgeDecision.LIMIT)

    def test_unused_hedges_are_not_saved_up(self):
        """Guards against a burst of hedges after a time without slow requests."""
        limit = HedgeLimit(0.5)
        for count in range(1000):
            limit.record_request("souss", True, count * 0.01)
        sent = 0
        while decide(limit, 10.0) is HedgeDecision.SEND:
            sent += 1
        self.assertEqual(sent, TOKEN_CAPACITY)

    def test_copy_that_cannot_end_in_time_is_not_sent(self):
        """Guards against work of which the caller gets nothing."""
        limit = HedgeLimit(0.5)
        for _ in range(4):
            limit.record_request("souss", True, 0.0)
        self.assertIs(decide(limit, left_s=0.09), HedgeDecision.TOO_LATE)
        self.assertIs(decide(limit, left_s=0.11), HedgeDecision.SEND)

    def test_no_hedges_while_the_service_refuses_requests(self):
        """Guards against hedges that take capacity from first copies in overload.

        Refusals in a slow phase, while slots are free, are no overload. Another service
        of the same entry daemon is not affected.
        """
        limit = HedgeLimit(0.5)
        for _ in range(10):
            limit.record_request("souss", True, 0.0)
            limit.record_request("draa", True, 0.0)
            limit.record_refusal("souss", make_load(in_flight=8), 0.0)
        self.assertFalse(limit.is_overloaded("souss", 0.0))
        for _ in range(4):
            limit.record_refusal("souss", make_load(in_flight=9), 0.0)
        self.assertIs(decide(limit), HedgeDecision.OVERLOADED)
        self.assertIs(decide(limit, service="draa"), HedgeDecision.SEND)
        self.assertIs(decide(limit, now=3.0), HedgeDecision.SEND)

    def test_refund_of_a_refused_hedge(self):
        """Guards against hedges that are used up by refusals of serving daemons."""
        limit = HedgeLimit(0.5)
        limit.record_request("souss", True, 0.0)
        limit.record_request("souss", True, 0.0)
        self.assertIs(decide(limit), HedgeDecision.SEND)
        self.assertIs(decide(limit), HedgeDecision.LIMIT)
        limit.refund()
        self.assertIs(decide(limit), HedgeDecision.SEND)

    def test_delay_is_the_percentile_of_the_route(self):
        """Guards against hedges of usual requests, or after the delay of another route.

        A removed route that returns must not get the latencies from before.
        """
        limit = HedgeLimit(0.1)
        for index in range(1000):
            limit.record_latency(SHORT, 0.7 if index % 10 == 0 else 0.1)
            limit.record_latency(BULK, 0.2)
        self.assertAlmostEqual(limit.delay_s(SHORT), 0.7, delta=0.07)
        self.assertAlmostEqual(limit.delay_s(BULK), 0.2, delta=0.02)
        limit.keep_routes({BULK.name})
        self.assertEqual(limit.delay_s(SHORT), 4 * SHORT.usual_s)
        self.assertAlmostEqual(limit.delay_s(BULK), 0.2, delta=0.02)


if __name__ == "__main__":
    unittest.main()
