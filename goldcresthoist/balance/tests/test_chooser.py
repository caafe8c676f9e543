"""Tests of the selection of upstreams."""

import unittest
from collections import Counter

from goldcresthoist.balance import Naive, Outcome
from goldcresthoist.balance._report_delay import clock_ms
from goldcresthoist.balance.tests.builders import (
    LONG,
    SHORT,
    make_chooser,
    make_load,
    make_pool,
)

CALLS = 400
# The upstreams are added at time 0, so their slow start is over by then.
AFTER_SLOW_START = 100.0


def count_choices(chooser, pool, now, rule=SHORT, count=CALLS, exclude=()):
    """Return how often each instance is chosen when no calls are recorded."""
    chosen = (chooser.choose(pool, rule, now, exclude) for _ in range(count))
    return Counter(view.instance if view else None for view in chosen)


def record_calls(chooser, view, outcome, now, count=1):
    """Record calls that start and end at the upstream."""
    for _ in range(count):
        chooser.record_start(view, now)
        chooser.record_end(view, outcome, 0.0, None, now, SHORT)


class ChooserTest(unittest.TestCase):
    """Guards against calls sent to loaded or distant upstreams without need.

    The load of an upstream must be estimated from reports that are always out of date,
    and from the calls that this daemon has sent there since.
    """

    def setUp(self):
        self.chooser = make_chooser()
        self.pool = make_pool()

    def report(self, instance, now, **load):
        self.chooser.record_load(self.pool.get(instance), make_load(**load), now)

    def test_upstreams_with_free_slots_in_the_own_domain_are_used_first(self):
        self.assertLessEqual(
            set(count_choices(self.chooser, self.pool, AFTER_SLOW_START)), {"u0", "u1"}
        )

    def test_calls_overflow_when_the_own_domain_is_full(self):
        for instance in ("u0", "u1"):
            self.report(instance, AFTER_SLOW_START, in_flight=12)
        chosen = count_choices(self.chooser, self.pool, AFTER_SLOW_START)
        self.assertFalse({"u0", "u1"} & set(chosen))

    def test_own_calls_since_the_report_count(self):
        view = self.pool.get("u0")
        self.report("u0", AFTER_SLOW_START, in_flight=0)
        for _ in range(3):
            self.chooser.record_start(view, AFTER_SLOW_START)
        self.assertEqual(self.chooser.estimated_load(view, AFTER_SLOW_START), 3)

    def test_own_calls_are_not_counted_twice(self):
        view = self.pool.get("u0")
        for _ in range(3):
            self.chooser.record_start(view, AFTER_SLOW_START)
        self.report("u0", AFTER_SLOW_START, in_flight=5)
        self.assertAlmostEqual(self.chooser.estimated_load(view, AFTER_SLOW_START), 5)

    def test_old_report_has_less_weight(self):
        view = self.pool.get("u0")
        self.report("u0", AFTER_SLOW_START, in_flight=12)
        fresh = self.chooser.estimated_load(view, AFTER_SLOW_START)
        old = self.chooser.estimated_load(view, AFTER_SLOW_START + 60.0)
        self.assertLess(old, fresh / 4)

    def test_late_report_counts_as_old_although_it_has_just_arrived(self):
        for late_s, now in ((0.0, AFTER_SLOW_START), (0.5, AFTER_SLOW_START + 0.7)):
            # The clock of the peer is 7 s ahead.
            at_ms = clock_ms(now + 7.0 - late_s)
            self.report("u0", now, in_flight=12, at_ms=at_ms)
        view = self.pool.get("u0")
        self.assertAlmostEqual(view.report_made_at, AFTER_SLOW_START + 0.2, delta=0.002)
        self.assertLess(self.chooser.estimated_load(view, AFTER_SLOW_START + 0.7), 6)

    def test_restarted_peer_with_another_clock_is_not_late(self):
        self.report("u0", AFTER_SLOW_START, at_ms=clock_ms(AFTER_SLOW_START))
        self.report(
            "u0", AFTER_SLOW_START + 5.0, at_ms=clock_ms(AFTER_SLOW_START - 20.0)
        )
        self.assertEqual(self.pool.get("u0").report_made_at, AFTER_SLOW_START + 5.0)

    def test_slow_upstream_loses_to_a_farther_one(self):
        for instance in ("u0", "u1", "u2", "u3", "u4", "u5"):
            view = self.pool.get(instance)
            latency_s = 0.04 if instance in ("u0", "u1") else 0.005
            for _ in range(30):
                self.chooser.record_start(view, AFTER_SLOW_START)
                self.chooser.record_end(
                    view, Outcome.SUCCEEDED, latency_s, None, AFTER_SLOW_START, SHORT
                )
        chosen = count_choices(self.chooser, self.pool, AFTER_SLOW_START)
        self.assertLess(chosen["u0"] + chosen["u1"], CALLS * 0.05)

    def test_slow_upstream_is_tried_again_later(self):
        self.test_slow_upstream_loses_to_a_farther_one()
        chosen = count_choices(self.chooser, self.pool, AFTER_SLOW_START + 60.0)
        self.assertGreater(chosen["u0"] + chosen["u1"], CALLS * 0.5)

    def test_new_upstream_gets_few_calls_at_first(self):
        pool = make_pool("aa")
        view = pool.get("u1")
        view.slow_start_at = AFTER_SLOW_START
        other = pool.get("u0")
        for _ in range(4):
            self.chooser.record_start(other, AFTER_SLOW_START)
        early = count_choices(self.chooser, pool, AFTER_SLOW_START + 0.1)
        late = count_choices(self.chooser, pool, AFTER_SLOW_START + 5.0)
        self.assertEqual(early["u1"], 0)
        self.assertEqual(late["u0"], 0)

    def test_excluded_and_draining_upstreams_are_never_chosen(self):
        self.report("u1", AFTER_SLOW_START, draining=True)
        exclude = (self.pool.get("u0"), self.pool.get("u2"))
        for policy in (None, Naive()):
            chooser = make_chooser(policy)
            chosen = count_choices(
                chooser, self.pool, AFTER_SLOW_START, exclude=exclude
            )
            self.assertLessEqual(set(chosen), {"u3", "u4", "u5"})

    def test_none_is_returned_when_all_are_excluded(self):
        exclude = tuple(self.pool)
        for policy in (None, Naive()):
            chooser = make_chooser(policy)
            self.assertIsNone(
                chooser.choose(self.pool, SHORT, AFTER_SLOW_START, exclude)
            )
        self.assertIsNone(
            self.chooser.choose(make_pool(""), SHORT, AFTER_SLOW_START, ())
        )

    def test_removed_upstream_is_not_chosen_while_its_calls_end(self):
        view = self.pool.get("u0")
        self.chooser.record_start(view, AFTER_SLOW_START)
        self.pool.discard("u0")
        load = make_load(in_flight=1)
        self.chooser.record_end(
            view, Outcome.FAILED, 0.1, load, AFTER_SLOW_START, SHORT
        )
        self.assertNotIn("u0", count_choices(self.chooser, self.pool, AFTER_SLOW_START))


class ChooserEjectionTest(unittest.TestCase):
    """Guards against calls that are still sent to a failing upstream.

    Guards as well against upstreams that stay ejected although they have recovered, and
    against ejections that leave too few upstreams for the load.
    """

    def setUp(self):
        self.chooser = make_chooser()
        self.pool = make_pool("aaaa")
        self.failing_view = self.pool.get("u0")

    def eject(self, view, now):
        record_calls(self.chooser, view, Outcome.FAILED, now, count=3)

    def test_three_failures_in_a_row_eject(self):
        self.eject(self.failing_view, AFTER_SLOW_START)
        chosen = count_choices(self.chooser, self.pool, AFTER_SLOW_START + 0.9)
        self.assertNotIn("u0", chosen)

    def test_success_resets_the_count(self):
        record_calls(
            self.chooser, self.failing_view, Outcome.FAILED, AFTER_SLOW_START, count=2
        )
        record_calls(
            self.chooser, self.failing_view, Outcome.SUCCEEDED, AFTER_SLOW_START
        )
        record_calls(
            self.chooser, self.failing_view, Outcome.FAILED, AFTER_SLOW_START, count=2
        )
        self.assertEqual(self.failing_view.ejections, 0)

    def test_success_of_an_earlier_call_does_not_reset_the_count(self):
        self.chooser.record_start(self.failing_view, AFTER_SLOW_START)
        record_calls(
            self.chooser,
            self.failing_view,
            Outcome.FAILED,
            AFTER_SLOW_START + 0.1,
            count=2,
        )
        now = AFTER_SLOW_START + 0.2
        self.chooser.record_end(
            self.failing_view, Outcome.SUCCEEDED, 0.2, None, now, SHORT
        )
        record_calls(self.chooser, self.failing_view, Outcome.FAILED, now)
        self.assertEqual(self.failing_view.ejections, 1)

    def test_refusals_do_not_eject(self):
        record_calls(
            self.chooser, self.failing_view, Outcome.REFUSED, AFTER_SLOW_START, count=20
        )
        self.assertEqual(self.failing_view.ejections, 0)

    def test_never_more_than_half_are_ejected(self):
        for view in self.pool:
            self.eject(view, AFTER_SLOW_START)
        self.assertEqual(self.pool.ejected, 2)
        self.assertEqual(sum(1 for view in self.pool if view.ejections), 2)
        self.assertIsNotNone(
            self.chooser.choose(self.pool, SHORT, AFTER_SLOW_START, ())
        )

    def test_trial_and_report_restore_an_upstream_once(self):
        """Guards against more ejections than the cap allows.

        The count of ejected upstreams fell by two for one of them.
        """
        now = AFTER_SLOW_START
        self.chooser.record_load(self.failing_view, make_load(failing=True), now)
        self.assertEqual(self.pool.ejected, 1)
        self.failing_view.trial_running = True
        record_calls(self.chooser, self.failing_view, Outcome.SUCCEEDED, now)
        self.chooser.record_load(self.failing_view, make_load(), now)
        self.assertEqual(self.pool.ejected, 0)

    def test_failing_upstream_that_may_not_be_ejected_is_tried_again(self):
        """Guards against a failing upstream that is avoided for good.

        Half of the pool is ejected already, so it gets no trial calls. Its penalty must
        expire, so that ordinary calls show whether it has recovered.
        """
        for view in self.pool:
            self.eject(view, AFTER_SLOW_START)
        kept = {view.instance for view in self.pool if not view.ejections}
        self.pool.get(min(kept)).consecutive_failures = 0
        early = count_choices(self.chooser, self.pool, AFTER_SLOW_START + 0.5)
        late = count_choices(self.chooser, self.pool, AFTER_SLOW_START + 1.0)
        self.assertNotIn(max(kept), early)
        self.assertIn(max(kept), late)

    def test_one_trial_call_at_a_time_after_ejection(self):
        self.eject(self.failing_view, AFTER_SLOW_START)
        later = AFTER_SLOW_START + 1.0
        self.assertIn("u0", count_choices(self.chooser, self.pool, later))
        self.chooser.record_start(self.failing_view, later)
        self.assertNotIn("u0", count_choices(self.chooser, self.pool, later))

    def test_work_that_cannot_be_repeated_is_not_the_first_trial(self):
        self.eject(self.failing_view, AFTER_SLOW_START)
        chosen = count_choices(
            self.chooser, self.pool, AFTER_SLOW_START + 1.5, rule=LONG
        )
        self.assertNotIn("u0", chosen)
        chosen = count_choices(
            self.chooser, self.pool, AFTER_SLOW_START + 2.0, rule=LONG
        )
        self.assertIn("u0", chosen)

    def test_failed_trials_double_the_ejection_up_to_its_limit(self):
        self.eject(self.failing_view, AFTER_SLOW_START)
        durations = []
        for _ in range(7):
            now = self.failing_view.ejected_until
            record_calls(self.chooser, self.failing_view, Outcome.FAILED, now)
            durations.append(self.failing_view.ejected_until - now)
        self.assertEqual(durations, [2.0, 4.0, 8.0, 16.0, 30.0, 30.0, 30.0])

    def report_failing(self, view, failing, now):
        self.chooser.record_load(view, make_load(failing=failing), now)

    def test_failure_report_ejects_until_the_serving_daemon_allows_a_trial(self):
        for now in (AFTER_SLOW_START, AFTER_SLOW_START + 0.9, AFTER_SLOW_START + 1.8):
            self.report_failing(self.failing_view, True, now)
            chosen = count_choices(self.chooser, self.pool, now + 0.8)
            self.assertNotIn("u0", chosen)
        self.report_failing(self.failing_view, False, AFTER_SLOW_START + 2.0)
        self.assertEqual((self.failing_view.ejections, self.pool.ejected), (0, 0))

    def test_failure_reports_eject_at_most_half(self):
        for view in self.pool:
            self.report_failing(view, True, AFTER_SLOW_START)
        self.assertEqual(self.pool.ejected, 2)
        self.assertIsNotNone(
            self.chooser.choose(self.pool, SHORT, AFTER_SLOW_START, ())
        )

    def test_ejection_by_a_failure_report_ends_if_it_is_not_renewed(self):
        self.report_failing(self.failing_view, True, AFTER_SLOW_START)
        self.assertTrue(self.failing_view.usable(AFTER_SLOW_START + 1.0))

    def test_successful_trial_restores_the_upstream_with_a_slow_start(self):
        self.eject(self.failing_view, AFTER_SLOW_START)
        record_calls(
            self.chooser, self.failing_view, Outcome.SUCCEEDED, AFTER_SLOW_START + 1.0
        )
        self.assertEqual((self.failing_view.ejections, self.pool.ejected), (0, 0))
        self.assertEqual(self.failing_view.slow_start_at, AFTER_SLOW_START + 1.0)

    def test_cancelled_trial_allows_the_next_one(self):
        self.eject(self.failing_view, AFTER_SLOW_START)
        record_calls(
            self.chooser, self.failing_view, Outcome.CANCELLED, AFTER_SLOW_START + 1.0
        )
        self.assertTrue(self.failing_view.usable(AFTER_SLOW_START + 1.0))
        self.assertEqual(self.failing_view.ejections, 1)

    def test_call_from_before_the_ejection_does_not_end_it(self):
        self.chooser.record_start(self.failing_view, AFTER_SLOW_START)
        self.eject(self.failing_view, AFTER_SLOW_START)
        self.chooser.record_end(
            self.failing_view, Outcome.SUCCEEDED, 0.1, None, AFTER_SLOW_START, SHORT
        )
        self.assertEqual(self.failing_view.ejections, 1)

    def test_removal_of_an_ejected_upstream_allows_another_ejection(self):
        self.eject(self.failing_view, AFTER_SLOW_START)
        self.pool.discard("u0")
        self.assertEqual(self.pool.ejected, 0)
