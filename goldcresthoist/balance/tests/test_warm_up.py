"""Tests of the limit on the requests to an upstream that warms up."""

import unittest

from goldcresthoist.balance import Saturated
from goldcresthoist.balance.tests.builders import PER_S, make_warm_up
from goldcresthoist.balance.tests.test_slots import make_call, make_queue
from goldcresthoist.balance.warm_up import Presumed, Rising, Stated, Warm

# What the platform tolerates in any second: 7.5 x 1.5 + 8.
TOLERATED = 19.25
TICK_S = 0.005


def largest_second(times):
    """Return the largest number of the given times that lie in one second."""
    return max(sum(1 for t in times if s <= t < s + 1.0) for s in times)


def start_all(warm_up, since, until, remaining_s=None):
    """Start calls and due health checks for as long as they are allowed.

    Health checks state ``remaining_s(now)`` at once, or nothing if it is None. Return
    the times of all requests.
    """
    times = []
    for tick in range(round(since / TICK_S), round(until / TICK_S)):
        now = tick * TICK_S
        if warm_up.check_due(now):
            times.append(now)
            warm_up.record_check_sent(now)
            if remaining_s is None:
                warm_up.record_check_failed(now)
            else:
                warm_up.record_check(remaining_s(now), now, now)
        while not warm_up.needs_confirmation(now) and warm_up.wait_s(now) <= 0.0:
            times.append(now)
            warm_up.take(now)
            if len(times) > 10_000:
                raise AssertionError("the calls are not limited")
    return times


class WarmUpTest(unittest.TestCase):
    def test_upstream_that_becomes_cold_without_a_restart(self):
        """Guards against a crash of an upstream that becomes cold under full load.

        Nothing tells it before the next health check, and calls start as fast as they
        can. It becomes cold at many moments between two confirmations.
        """
        for number in range(40):
            cold_at = 105.0 + number * 0.0123
            warm_up = make_warm_up(warm_at=100.0)
            times = start_all(
                warm_up,
                100.0,
                109.0,
                lambda now, at=cold_at: 0.0 if now < at else max(0.0, at + 2.0 - now),
            )
            cold = [t for t in times if cold_at <= t < cold_at + 2.0]
            self.assertLess(largest_second(cold), TOLERATED - 4)
            self.assertGreater(len(cold), 1.6 * PER_S)

    def test_restarted_daemon_starts_nothing_on_top_of_its_predecessor(self):
        """Guards against a daemon that is killed and sends a second share at once."""
        warm_up = make_warm_up(started_at=100.0)
        times = start_all(warm_up, 100.2, 103.0, lambda now: 60.0)
        earlier = [99.99] * (int(PER_S) + 1)
        self.assertLess(largest_second(earlier + times), TOLERATED - 4)
        # One health check is made at once, so that a warm upstream gets calls.
        self.assertGreaterEqual(times[1], 101.0)

    def test_pause_of_the_daemon_earns_no_burst(self):
        """Guards against a daemon that makes up for the starts of a pause at once."""
        warm_up = make_warm_up()
        warm_up.record_check(60.0, 50.0, 50.0)
        times = start_all(warm_up, 50.0, 53.0, lambda now: 50.0)
        times += start_all(warm_up, 58.0, 60.0, lambda now: 50.0)
        self.assertLess(largest_second(times), TOLERATED - 8)

    def test_warm_up_sends_few_health_checks(self):
        """Guards against health checks that take the starts of the calls.

        Nor are there many of a warm upstream whose health check hangs, when its calls
        end before the next confirmation is needed.
        """
        warm_up = make_warm_up()
        for now, remaining_s in ((50.0, 60.0), (120.0, None), (200.0, 0.0)):
            if remaining_s is not None:
                warm_up.record_check(remaining_s, now, now)
            if remaining_s == 0.0:
                now += 9.0
                for _ in range(4):
                    warm_up.take(now)
            checks = 0
            for tick in range(400):
                if warm_up.check_due(now + tick / 100):
                    checks += 1
                    warm_up.record_check_sent(now + tick / 100)
            self.assertLessEqual(checks, 8)
            self.assertGreaterEqual(checks, 1)

    def test_rate_rises_in_steps_after_the_warm_up(self):
        """Guards against a service that gets its whole load once it is warm."""
        warm_up = make_warm_up()
        warm_up.record_check(1.0, 50.0, 50.0)
        self.assertIsInstance(warm_up.state, Stated)
        warm_up.record_check(0.0, 51.0, 51.0)
        rates = [warm_up.rate(51.0 + step * 0.2 + 0.01) for step in range(6)]
        self.assertEqual(rates[:2], [2 * PER_S, 4 * PER_S])
        self.assertEqual(rates, sorted(rates))
        self.assertIsInstance(warm_up.state, Warm)

    def test_statements_from_before_an_event_do_not_count(self):
        """Guards against a health check from before a crash that ends the warm-up."""
        warm_up = make_warm_up(warm_at=50.0)
        warm_up.presume(60.0)
        warm_up.record_check(0.0, 59.99, 60.01)
        self.assertIsInstance(warm_up.state, Presumed)
        warm_up.record_announcement(0.0, False, 60.05, 60.05)
        self.assertIsInstance(warm_up.state, Presumed)
        warm_up.record_check(0.0, 60.02, 60.03)
        self.assertIsInstance(warm_up.state, Rising)

    def test_announcements_do_not_outweigh_health_checks(self):
        """Guards against an announcement that ends a warm-up that goes on.

        The first one of a run says nothing of its warm-up, and those of an upstream
        that became cold while it ran may say that there is none.
        """
        warm_up = make_warm_up(warm_at=50.0)
        warm_up.record_announcement(0.0, True, 60.0, 60.0)
        self.assertIsInstance(warm_up.state, Presumed)
        warm_up.record_check(5.0, 61.0, 61.0)
        warm_up.record_announcement(0.0, False, 62.0, 62.0)
        self.assertTrue(warm_up.is_cold(62.0))
        warm_up.record_announcement(9.0, False, 62.0, 62.0)
        self.assertEqual(warm_up.state, Stated(71.0, True))

    def test_only_a_health_check_ends_the_wait_after_a_drained_domain(self):
        """Guards against full load on an upstream that was idle for long."""
        warm_up = make_warm_up(warm_at=50.0)
        warm_up.presume(60.0, check_only=True)
        warm_up.presume(60.5)
        warm_up.record_announcement(0.0, False, 61.0, 61.0)
        self.assertTrue(warm_up.is_cold(61.0))
        warm_up.record_check(0.0, 62.0, 62.0)
        self.assertFalse(warm_up.is_cold(62.0))

    def test_upstream_without_answers_to_health_checks_still_gets_calls(self):
        """Guards against an upstream that gets nothing because its check hangs."""
        warm_up = make_warm_up(warm_at=50.0)
        times = start_all(warm_up, 50.0, 60.0)
        self.assertGreater(len(times), 0.8 * PER_S * 10)
        self.assertLess(largest_second(times), TOLERATED)

    def test_newer_configuration_applies_at_once(self):
        """Guards against a daemon that keeps the limit of an older configuration."""
        warm_up = make_warm_up()
        warm_up.record_check(60.0, 50.0, 50.0)
        times = start_all(warm_up, 50.0, 52.0, lambda now: 50.0)
        warm_up.set_limit(PER_S / 3, 1.5, 0.0, True, 52.0)
        lower = start_all(warm_up, 52.0, 55.0, lambda now: 50.0)
        self.assertLessEqual(largest_second(lower), 1.5 * PER_S / 3 + 1)
        self.assertGreater(len(times), 2 * len(lower) - 2)
        warm_up.set_limit(None, 1.5, 8.0, True, 55.0)
        self.assertEqual(warm_up.wait_s(55.0), 0.0)

    def test_without_a_limit_nothing_waits(self):
        """Guards against a limit where the configuration has none."""
        warm_up = make_warm_up(limit=None)
        warm_up.record_check(60.0, 1.0, 1.0)
        for _ in range(100):
            warm_up.take(1.0)
        self.assertEqual(warm_up.wait_s(1.0), 0.0)
        self.assertFalse(warm_up.needs_confirmation(1.0))
        self.assertFalse(warm_up.check_due(1.0))


class WarmUpQueueTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.queue = make_queue(slots=5)
        self.queue.warm_up = make_warm_up()
        self.queue.warm_up.record_check(60.0, 50.0, 50.0)

    def admit(self, work="accession", now=50.0, wait_s=2.0, **values):
        """Return the future of a call, or the `Saturated` error if it is refused."""
        call = make_call(work, now, deadline=now + wait_s, **values)
        try:
            return self.queue.admit(call, now)
        except Saturated as exc:
            return exc

    async def test_hedges_take_no_start_of_a_cold_upstream(self):
        """Guards against hedges beyond the rate, and before the calls that wait."""
        call = make_call("accession", 51.0, deadline=53.0)
        with self.assertRaises(Saturated):
            self.queue.admit_to_spare_slot(call, 51.0)
        self.queue.warm_up = make_warm_up(warm_at=40.0)
        for _ in range(int(PER_S)):
            self.queue.warm_up.take(50.0)
        self.queue.request_pace = lambda: None
        self.assertTrue(self.queue.warm_up.needs_confirmation(50.0))
        with self.assertRaises(Saturated):
            self.queue.admit_to_spare_slot(call, 50.0)

    async def test_workspaces_take_turns_within_a_kind(self):
        """Guards against a workspace that gets all starts by flooding the queue."""
        for name in ("flood", "flood", "flood", "quiet"):
            self.admit(wait_s=30.0, workspace=name)
        order = self.queue._fair_order(self.queue.waiting, 50.0)
        # The first call of the other workspace has started already.
        names = [item.call.workspace for item in order]
        self.assertEqual(names, ["quiet", "flood", "flood"])

    async def test_works_take_turns_within_a_priority(self):
        """Guards against short work that takes all starts while a service warms up."""
        short = [self.admit("rights") for _ in range(6)]
        long = [self.admit() for _ in range(2)]
        urgent = self.admit(priority=0)
        started = []
        waiting = {"s": short, "l": long, "u": [urgent]}
        for tick in range(70):
            self.queue.running = 0
            self.queue.dispatch(50.0 + tick / 50)
            for name, futures in waiting.items():
                started += [name for item in futures if item and item.done()]
                waiting[name] = [item for item in futures if item and not item.done()]
        self.assertEqual("".join(started)[:5], "uslsl")

    async def test_call_without_a_start_in_time_is_refused_at_once(self):
        """Guards against a call that is held until its deadline and then refused.

        The time after which it may be repeated grows with the calls before it.
        """
        given = [self.admit(wait_s=1.0) for _ in range(9)]
        refused = [item for item in given if isinstance(item, Saturated)]
        self.assertGreaterEqual(len(refused), 1)
        self.assertGreater(refused[0].retry_after_s, 0.7)
        self.queue.expire(50.5)
        self.assertFalse([i for i in given[1:4] if i.done() and i.exception()])

    async def test_full_queue_makes_room_for_other_work(self):
        """Guards against one kind of work that fills the queue for all others."""
        short = [self.admit("rights", wait_s=9.0) for _ in range(12)]
        self.assertIsInstance(short[-1], Saturated)
        other = self.admit(wait_s=9.0)
        self.assertFalse(isinstance(other, Saturated) or other.done())

    async def test_load_report_shows_the_limit(self):
        """Guards against entry daemons that fill the slots of a cold upstream."""
        self.assertLess(self.queue.usable_slots(50.0), 3)
        self.assertGreater(self.queue.warm_up_pace(50.0), 1.0)

    async def test_calls_wait_for_a_confirmation(self):
        """Guards against full speed at an upstream that became cold unnoticed."""
        probes = []
        self.queue.slots = 50
        self.queue.request_pace = lambda: probes.append(1)
        self.queue.warm_up = make_warm_up(warm_at=50.0)
        given = [self.admit("rights", 60.0, alternatives=2) for _ in range(12)]
        self.assertLessEqual(given.count(None), PER_S)
        self.assertEqual(len(probes), 12 - given.count(None))
        self.queue.warm_up.record_check(0.0, 60.0, 60.01)
        self.queue.dispatch(60.01)
        self.assertTrue(given[-1].done())
