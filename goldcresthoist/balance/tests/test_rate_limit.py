"""Tests of the limit on the rate of calls to an upstream."""

import unittest

from goldcresthoist.balance import RateLimit, Saturated
from goldcresthoist.balance.tests.test_slots import make_call, make_queue

LIMIT_PER_S = 10.0
WINDOW_S = 4.0
# An upstream may get this many times its limit in a window, and some calls more.
TOLERANCE = 1.5
EXTRA_CALLS = 5


def largest_window(times):
    """Return the largest number of the given times that lie in one window."""
    return max(
        sum(1 for t in times if start <= t < start + WINDOW_S) for start in times
    )


class RateLimitTest(unittest.TestCase):
    def test_a_pause_earns_no_burst(self):
        """Guards against an upstream in need that gets the calls of a quiet minute."""
        rate = RateLimit()
        rate.set(LIMIT_PER_S, 0.0)
        started = []
        for step in range(10):
            while rate.wait_s(60.0 + step / 10) == 0.0:
                rate.take(60.0 + step / 10)
                started.append(step)
        self.assertLessEqual(len(started), LIMIT_PER_S + 1)

    def test_wait_grows_with_the_calls_before(self):
        """Guards against calls that are queued although they cannot start in time."""
        rate = RateLimit()
        rate.set(LIMIT_PER_S, 0.0)
        rate.take(0.0)
        self.assertAlmostEqual(rate.wait_s(0.0), 0.1)
        self.assertAlmostEqual(rate.wait_s(0.0, 4), 0.5)

    def test_calls_go_on_at_a_limit_of_zero(self):
        """Guards against a limit that stays in force for want of a response."""
        rate = RateLimit()
        rate.set(0.0, 0.0)
        rate.take(0.0)
        self.assertLessEqual(rate.wait_s(0.0), 1.0)


class LimitedQueueTest(unittest.IsolatedAsyncioTestCase):
    async def test_upstream_gets_no_more_than_the_limit_it_names(self):
        """Guards against an upstream in need that gets its usual share of the calls.

        Slots are free all the time. A hundred calls a second arrive, and some wait.
        """
        queue = make_queue(slots=12)
        queue.rate.set(LIMIT_PER_S, 0.0)
        started = []
        for step in range(800):
            now = step / 100
            queue.expire(now)
            try:
                queue.admit(make_call("rights", now), now)
            except Saturated:
                pass
            # Each call ends before the next one arrives, and starts no other one.
            started += [now] * queue.running
            queue.running = 0
        allowed = TOLERANCE * LIMIT_PER_S * WINDOW_S + EXTRA_CALLS
        self.assertLessEqual(largest_window(started), allowed)
        self.assertGreaterEqual(largest_window(started), 0.8 * LIMIT_PER_S * WINDOW_S)
