"""Tests of budgets, hedge delays, upstream health and crash suspects."""

import unittest

from goldcresthoist.balance import (
    CrashSuspects,
    Default,
    HedgeTimer,
    Naive,
    ProbeBudget,
    RetryBudget,
)
from goldcresthoist.balance.health import UpstreamHealth
from goldcresthoist.balance.tests.builders import SHORT, make_configuration

FIRST = b"first"
SECOND = b"second"
MINUTE = 60.0


class RetryBudgetTest(unittest.TestCase):
    """Guards against retries that multiply the load of an overloaded service.

    Overload makes calls fail, and each retry of a failed call adds to it.
    """

    def make_budget(self, policy):
        return RetryBudget.from_configuration(make_configuration(), policy)

    def test_extra_calls_stay_under_a_tenth_when_every_call_fails(self):
        budget = self.make_budget(Default())
        for _ in range(1000):
            budget.record_call()
            while budget.try_hedge() or budget.try_retry():
                pass
        self.assertLess(budget.retries + budget.hedges, 100)
        self.assertLessEqual(budget.hedges, 50)

    def test_unused_retries_do_not_accumulate_into_a_burst(self):
        budget = self.make_budget(Default())
        for _ in range(100_000):
            budget.record_call()
        taken = sum(budget.try_retry() for _ in range(1000))
        self.assertLessEqual(taken, 2)

    def test_calls_cut_off_by_a_crash_have_a_reserve_within_a_tenth(self):
        budget = self.make_budget(Default())
        self.assertTrue(all(budget.try_retry_after_crash() for _ in range(24)))
        before = budget.retries
        for _ in range(1000):
            budget.record_call()
            while budget.try_retry_after_crash() or budget.try_hedge():
                pass
        self.assertLess(budget.retries + budget.hedges - before, 100)

    def test_first_failure_can_be_retried(self):
        budget = self.make_budget(Default())
        budget.record_call()
        self.assertTrue(budget.try_retry())

    def test_naive_policy_retries_without_limit_and_never_hedges(self):
        budget = self.make_budget(Naive())
        self.assertTrue(all(budget.try_retry() for _ in range(100)))
        self.assertFalse(budget.try_hedge())


class ProbeBudgetTest(unittest.TestCase):
    """Guards against load measurement that costs more than its share.

    Probes sent at a fixed rate would exceed it while there are few calls.
    """

    def test_probes_stay_within_the_share_in_every_phase(self):
        budget = ProbeBudget(0.01)
        for calls in (10_000, 100, 0, 50_000):
            before = budget.probe_bytes
            for _ in range(calls):
                budget.record_calls(1000, 0.0001)
                budget.try_probe(200, 0.00002)
            spent = budget.probe_bytes - before
            self.assertLessEqual(spent, 0.01 * 1000 * calls + 4 * 200)

    def test_processor_time_limits_probes_as_well(self):
        budget = ProbeBudget(0.01)
        budget.record_calls(10**9, 0.001)
        self.assertFalse(budget.try_probe(200, 0.0001))

    def test_no_probe_without_calls(self):
        self.assertFalse(ProbeBudget(0.01).try_probe(200, 0.00002))

    def test_probe_that_cost_more_than_expected_delays_the_next(self):
        budget = ProbeBudget(0.01)
        budget.record_calls(100_000, 1.0)
        self.assertTrue(budget.try_probe(200, 0.00002))
        budget.correct(600, 0.0)
        self.assertTrue(budget.bytes_left < 200)
        self.assertFalse(budget.try_probe(200, 0.00002))


class HedgeTimerTest(unittest.TestCase):
    """Guards against hedges that are sent for calls of usual latency.

    They add load without making the responses faster. The delay must therefore follow
    the latencies of the work.
    """

    def test_delay_is_the_95th_percentile(self):
        timer = HedgeTimer()
        for index in range(1000):
            timer.record(SHORT, 0.1 if index % 10 == 0 else 0.005)
        self.assertAlmostEqual(timer.delay_s(SHORT), 0.1, delta=0.01)

    def test_delay_follows_recent_calls(self):
        timer = HedgeTimer()
        for latency_s in (0.1, 0.01):
            for _ in range(5000):
                timer.record(SHORT, latency_s)
        self.assertAlmostEqual(timer.delay_s(SHORT), 0.01, delta=0.001)

    def test_delay_is_at_least_the_usual_time(self):
        timer = HedgeTimer()
        for _ in range(100):
            timer.record(SHORT, 0.0001)
        self.assertEqual(timer.delay_s(SHORT), SHORT.usual_s)

    def test_unknown_work_is_hedged_late(self):
        self.assertGreater(HedgeTimer().delay_s(SHORT), SHORT.usual_s)


class UpstreamHealthTest(unittest.TestCase):
    """Guards against every entry daemon detecting a failing upstream by lost calls.

    Each of them would lose several calls there, and another one at each trial.
    """

    def setUp(self):
        self.health = UpstreamHealth(Default())

    def test_consecutive_failures_are_reported_once(self):
        changes = [self.health.record(True, 0.0, 0.0) for _ in range(5)]
        self.assertEqual(changes, [False, False, True, False, False])
        self.assertTrue(self.health.failing)

    def test_first_failed_trial_is_reported_at_once(self):
        for _ in range(3):
            self.health.record(True, 0.0, 0.0)
        self.assertFalse(self.health.check(0.9))
        self.assertTrue(self.health.check(1.0))
        self.assertFalse(self.health.failing)
        self.assertTrue(self.health.record(True, 1.0, 1.0))
        self.assertFalse(self.health.check(2.9))
        self.assertTrue(self.health.check(3.0))

    def test_pause_between_trials_is_bounded(self):
        now = 0.0
        for _ in range(20):
            for _ in range(3):
                self.health.record(True, now, now)
            now += 4.0
            self.assertTrue(self.health.check(now))

    def test_success_of_an_earlier_call_does_not_end_the_failure(self):
        for _ in range(3):
            self.health.record(True, 0.2, 0.2)
        self.assertFalse(self.health.record(False, 0.1, 0.3))
        self.assertTrue(self.health.failing)

    def test_success_ends_the_failure(self):
        for _ in range(3):
            self.health.record(True, 0.0, 0.0)
        self.assertTrue(self.health.record(False, 0.5, 0.5))
        self.assertFalse(self.health.failing)


class CrashSuspectsTest(unittest.TestCase):
    """Guards against one request that crashes upstream after upstream.

    When a request crashes the upstream that runs it, its retry crashes the next one.
    """

    def setUp(self):
        self.suspects = CrashSuspects()

    def test_second_crash_refuses_the_request(self):
        self.suspects.record_crash(FIRST, 0.0)
        self.assertFalse(self.suspects.refused(FIRST, 1.0))
        self.suspects.record_crash(FIRST, 1.0)
        self.assertTrue(self.suspects.refused(FIRST, 2.0))

    def test_count_of_the_entry_daemon_is_respected(self):
        self.assertTrue(self.suspects.refused(FIRST, 0.0, crash_count=2))

    def test_only_one_suspect_runs_at_a_time(self):
        for fingerprint in (FIRST, SECOND):
            self.suspects.record_crash(fingerprint, 0.0)
        self.assertTrue(self.suspects.try_start(FIRST, 1.0))
        self.assertFalse(self.suspects.try_start(SECOND, 1.0))
        self.assertTrue(self.suspects.try_start(b"other", 1.0))
        self.suspects.end(FIRST, succeeded=False)
        self.assertTrue(self.suspects.try_start(SECOND, 1.0))

    def test_request_that_is_no_suspect_does_not_end_the_isolation(self):
        self.suspects.record_crash(FIRST, 0.0)
        self.suspects.try_start(FIRST, 1.0)
        self.suspects.end(b"other", succeeded=True)
        self.suspects.record_crash(SECOND, 1.0)
        self.assertFalse(self.suspects.try_start(SECOND, 1.0))

    def test_success_clears_the_suspicion(self):
        self.suspects.record_crash(FIRST, 0.0)
        self.suspects.try_start(FIRST, 1.0)
        self.suspects.end(FIRST, succeeded=True)
        self.assertEqual(self.suspects.count(FIRST, 1.0), 0)

    def test_suspicion_expires_ten_minutes_after_the_last_crash(self):
        self.suspects.record_crash(FIRST, 0.0)
        self.suspects.record_crash(FIRST, 5 * MINUTE)
        self.assertEqual(self.suspects.count(FIRST, 14 * MINUTE), 2)
        self.assertEqual(self.suspects.count(FIRST, 15 * MINUTE), 0)

    def test_new_daemon_takes_over_counts_and_remaining_time(self):
        self.suspects.record_crash(FIRST, 0.0)
        self.suspects.record_crash(FIRST, 0.0)
        other = CrashSuspects()
        # The clock of the new daemon has another origin.
        other.load(self.suspects.export(9 * MINUTE), 5000.0)
        self.assertTrue(other.refused(FIRST, 5000.0 + 0.9 * MINUTE))
        self.assertFalse(other.refused(FIRST, 5000.0 + 1.1 * MINUTE))

    def test_lower_count_of_another_daemon_is_ignored(self):
        self.suspects.add_report(FIRST, 2, 0.0)
        self.suspects.add_report(FIRST, 1, 0.0)
        self.assertTrue(self.suspects.refused(FIRST, 0.0))
