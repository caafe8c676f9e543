"""Tests of the slot queue of an upstream under the load that each rule is meant for."""

import random
import unittest

from goldcresthoist.balance import Draining, Saturated, SlotCall, SlotQueue

LONG_S = 0.2
SHORT_S = 0.03


def make_queue(slots=4, running=0):
    """Return a queue with recorded service times of two kinds of work.

    ``accession`` takes `LONG_S` seconds and ``rights`` takes `SHORT_S`.
    """
    queue = SlotQueue(slots)
    for work, usual_s in (("rights", SHORT_S), ("accession", LONG_S)) * 50:
        queue.record(work, usual_s, 1.0, 1, 0.0)
    queue.running = running
    return queue


def make_call(work="accession", now=0.0, **values):
    """Return a call that arrives at ``now`` and has no alternatives by default."""
    defaults = {
        "work": work,
        "priority": 1,
        "deadline": now + 2.0,
        "soft_deadline": now + 0.5,
        "alternatives": 0,
    }
    return SlotCall(**(defaults | values))


class SlotQueueTest(unittest.IsolatedAsyncioTestCase):
    async def test_slots_are_never_exceeded(self):
        """Guards against more calls than an upstream can take.

        It resets connections or hangs when it is full.
        """
        queue = make_queue(slots=3)
        given = [queue.admit(make_call("rights"), 0.0) for _ in range(5)]
        self.assertEqual([item is None for item in given], [True] * 3 + [False] * 2)
        self.assertEqual(queue.running, 3)

    async def test_short_work_is_served_before_long_work(self):
        """Guards against short calls that starve while their parent calls hold slots.

        In a burst at a service that runs short and long work, the parent calls at the
        other service held their slots and failed when their short calls were refused
        (2,104 of 5,790 runs of scale-2 on tobar-mesh).
        """
        queue = make_queue(running=4)
        long = queue.admit(make_call(), 0.0)
        short = queue.admit(make_call("rights"), 0.0)
        queue.release(0.01)
        self.assertTrue(short.done())
        self.assertFalse(long.done())

    async def test_short_work_waits_until_its_deadline(self):
        """Guards against parent calls that fail although a response was possible.

        The soft deadline of the short call has passed, but its deadline has not.
        """
        queue = make_queue(running=4)
        call = make_call("rights", soft_deadline=0.01, deadline=0.4)
        self.assertIsNotNone(queue.admit(call, 0.0))
        queue.expire(0.2)
        self.assertEqual(len(queue.waiting), 1)
        queue.expire(0.39)
        self.assertEqual(queue.waiting, [])

    async def test_long_work_leaves_slots_for_short_work(self):
        """Guards against long work that takes the last slots at peak load."""
        queue = make_queue(slots=12)
        started = 0
        while queue.admit(make_call(), 0.0) is None:
            started += 1
        self.assertEqual(started, 10)
        self.assertIsNone(queue.admit(make_call("rights"), 0.0))

    async def test_rare_long_work_does_not_make_other_work_short(self):
        """Guards against ordinary work that is classified as short.

        It then waits until its deadline. On spb-crates this was caused by a route with
        a few very long requests: 270 lookups of scale-1 waited from within milliseconds
        of their arrival until their deadline and were not started.
        """
        queue = SlotQueue(4)
        for number in range(400):
            work, usual_s = ("lookup", 0.17) if number % 50 else ("export", 1.0)
            queue.record(work, usual_s, 1.0, 1, 0.0)
        self.assertFalse(queue.is_short("lookup"))

    async def test_queue_without_any_response_is_as_short_as_the_deadlines_ask(self):
        """Guards against calls that wait in vain after a restart of the daemon.

        Before the first response, calls were taken to need 0.1 s. On tobar-mesh-large
        they need four times as long, and after a loss of all daemons each queue was
        filled with calls that could not be served in time.
        """
        queue = SlotQueue(6)
        call = make_call(deadline=10.0, soft_deadline=1.6)
        given = 0
        with self.assertRaises(Saturated):
            for given in range(50):
                queue.admit(call, 0.0)
        # A call is taken to need 0.48 s, so that one of six ends every 0.08 s. One that
        # waits has to end after half of the 1.6 s.
        self.assertEqual(given, 6 + 4)

    async def test_call_that_would_be_late_is_refused_at_once(self):
        """Guards against calls that wait at peak load until their deadline.

        They then fail without time for a retry.
        """
        queue = make_queue(running=4)
        for _ in range(8):
            try:
                queue.admit(make_call(), 0.0)
            except Saturated:
                break
        with self.assertRaises(Saturated) as caught:
            queue.admit(make_call(), 0.0)
        self.assertGreater(caught.exception.retry_after_s, 0.04)

    async def test_higher_priority_evicts_lower_priority(self):
        """Guards against urgent calls refused for a queue full of less urgent ones."""
        queue = make_queue(slots=2, running=2)
        far_deadlines = {"soft_deadline": 50.0, "deadline": 50.0}
        waiting = [
            queue.admit(make_call(priority=2, **far_deadlines), 0.0) for _ in range(4)
        ]
        with self.assertRaises(Saturated):
            queue.admit(make_call(priority=2, **far_deadlines), 0.0)
        urgent = queue.admit(make_call(priority=0, **far_deadlines), 0.0)
        self.assertIsInstance(waiting[-1].exception(), Saturated)
        queue.release(0.0)
        self.assertTrue(urgent.done())

    async def test_late_calls_rank_below_timely_calls(self):
        """Guards against retried calls that crowd out timely ones at peak load."""
        queue = make_queue(running=4)
        late = queue.admit(make_call(soft_deadline=0.0, deadline=3.0), 0.0)
        timely = queue.admit(make_call(soft_deadline=1.0), 0.0)
        queue.release(0.05)
        self.assertTrue(timely.done())
        self.assertFalse(late.done())

    async def test_late_call_is_evicted_for_a_timely_one(self):
        """Guards against timely calls refused for a queue full of late ones."""
        queue = make_queue(slots=1, running=1)
        far_deadlines = {"deadline": 50.0}
        late = [
            queue.admit(make_call(soft_deadline=0.0, **far_deadlines), 0.0)
            for _ in range(2)
        ]
        with self.assertRaises(Saturated):
            queue.admit(make_call(soft_deadline=0.0, **far_deadlines), 0.0)
        queue.admit(make_call(soft_deadline=50.0, **far_deadlines), 0.0)
        self.assertIsInstance(late[1].exception(), Saturated)

    async def test_late_call_does_not_wait_until_its_deadline(self):
        """Guards against calls that wait until no time is left for a retry."""
        queue = make_queue(running=4)
        late = queue.admit(make_call(soft_deadline=0.0, deadline=3.0), 0.0)
        queue.expire(0.5)
        self.assertFalse(late.done())
        queue.expire(0.9)
        self.assertIsInstance(late.exception(), Saturated)

    async def test_call_with_alternatives_is_not_queued(self):
        """Guards against a queue at one upstream while others have free slots."""
        queue = make_queue(running=4)
        with self.assertRaises(Saturated):
            queue.admit(make_call(alternatives=2), 0.0)

    async def test_slow_upstream_refuses_calls_with_alternatives(self):
        """Guards against calls that start on an instance in a slow phase.

        Other workloads make the instance 7 times slower for fractions of a second.
        """
        queue = make_queue()
        queue.pace.record(7.0, 1.0)
        with self.assertRaises(Saturated):
            queue.admit(make_call(now=1.05, alternatives=1), 1.05)
        self.assertIsNone(queue.admit(make_call(now=1.05, alternatives=0), 1.05))
        self.assertIsNone(queue.admit(make_call(now=1.5, alternatives=1), 1.5))

    async def test_no_calls_start_after_the_upstream_reported_full(self):
        """Guards against calls that a full upstream rejects one after the other."""
        queue = make_queue(running=1)
        queue.pause_until(0.03)
        self.assertIsNotNone(queue.admit(make_call(), 0.0))
        queue.release(0.01)
        self.assertEqual(queue.running, 1)

    async def test_draining_refuses_new_and_waiting_calls(self):
        """Guards against calls sent to an upstream that is about to stop."""
        queue = make_queue(running=4)
        waiting = queue.admit(make_call("rights"), 0.0)
        queue.drain()
        self.assertIsInstance(waiting.exception(), Draining)
        with self.assertRaises(Draining):
            queue.admit(make_call(), 0.0)

    async def test_abandoned_call_leaves_the_queue(self):
        """Guards against slots given to calls whose caller has gone while waiting."""
        queue = make_queue(running=4)
        future = queue.admit(make_call("rights"), 0.0)
        queue.abandon(future)
        queue.release(0.0)
        self.assertEqual((queue.running, queue.waiting), (3, []))


def make_queue_with_pace(pace=1.0, now=0.0, **values):
    """Return a queue with one pace sample, taken at ``now``.

    Also return the list to which each of its requests for a further sample is added.
    """
    queue = make_queue(**values)
    pace_requests = []
    queue.request_pace = lambda: pace_requests.append(True)
    queue.pace.record(pace, now)
    return queue, pace_requests


class SlotQueueWithoutPaceTest(unittest.IsolatedAsyncioTestCase):
    async def test_call_behind_a_paused_one_is_queued(self):
        """Guards against a queue that needs a source of pace samples to admit calls."""
        queue = make_queue(slots=4, running=1)
        queue.pause_until(1.1)
        for now in (1.0, 1.2):
            call = make_call("accession", now, deadline=9.0, soft_deadline=9.0)
            self.assertIsNotNone(queue.admit(call, now))
        queue.dispatch(1.2)
        self.assertEqual(queue.running, 3)


class SlotQueuePaceTest(unittest.IsolatedAsyncioTestCase):
    """Start of calls at upstreams with slow phases of about half a second and pace 7.

    Calls keep the pace at which they start. On a day of low load on tobar-mesh, 36 of
    199 deposits were late, and nearly all of them had started in a slow phase that was
    not detected.
    """

    async def test_unknown_work_is_not_refused_for_its_assumed_time(self):
        """Guards against a refusal that only an assumption speaks for.

        The time-out of a route may be shorter than its soft deadline. A call of it that
        waited for a pace sample was refused as too late before the sample came.
        """
        queue = SlotQueue(4)
        queue.pace.record(1.0, 0.0)
        queue.request_pace = lambda: None
        waiting = queue.admit(make_call("new", 1.0, deadline=1.3, soft_deadline=2.0), 1)
        queue.expire(1.02)
        self.assertFalse(waiting.done())
        queue.expire(1.25)
        self.assertIsNone(waiting.exception())
        self.assertEqual(queue.running, 1)

    async def test_fresh_pace_sample_starts_calls_at_once(self):
        """Guards against unnecessary pace probes, each of which has a cost."""
        queue, pace_requests = make_queue_with_pace()
        self.assertIsNone(queue.admit(make_call(now=0.05), 0.05))
        self.assertEqual(pace_requests, [])

    async def test_mild_slow_phases_need_no_fresh_sample(self):
        """Guards against a priced probe for each call on a site with mild slow phases.

        Work of 100 ms loses 600 ms in a slow phase of pace 7, and 300 ms at pace 4.
        """
        queue = SlotQueue(4)
        queue.request_pace = lambda: None
        call = make_call("new", 9.0, soft_deadline=9.34)
        queue.pace.record(1.0, 8.0)
        self.assertIsNotNone(queue.admit(call, 9.0))
        queue.abandon(queue.waiting[0].future)
        for _ in range(50):
            queue.pace.record(4.0, 8.0)
        queue.pace.record(1.0, 8.5)
        self.assertIsNone(queue.admit(call, 9.0))

    async def test_old_pace_sample_is_refreshed_first(self):
        """Guards against calls started on an outdated pace sample."""
        queue, pace_requests = make_queue_with_pace()
        waiting = queue.admit(make_call(now=0.5, alternatives=2), 0.5)
        self.assertEqual((queue.running, pace_requests), (0, [True]))
        queue.pace.record(1.0, 0.502)
        queue.dispatch(0.502)
        self.assertTrue(waiting.done())
        self.assertEqual(queue.running, 1)

    async def test_slow_phase_refuses_calls_with_alternatives(self):
        """Guards against calls queued at a slow upstream while others are fast."""
        queue, _ = make_queue_with_pace()
        waiting = queue.admit(make_call(now=0.5, alternatives=2), 0.5)
        queue.pace.record(7.0, 0.502)
        queue.dispatch(0.502)
        self.assertIsInstance(waiting.exception(), Saturated)
        with self.assertRaises(Saturated):
            queue.admit(make_call(now=0.51, alternatives=2), 0.51)
        self.assertEqual((queue.running, queue.waiting), (0, []))

    async def test_call_without_alternatives_waits_for_the_end_of_the_slow_phase(self):
        """Guards against late responses and slots held 7 times longer than needed."""
        queue, pace_requests = make_queue_with_pace(7.0)
        waiting = queue.admit(make_call(now=0.01), 0.01)
        queue.expire(0.1)
        self.assertFalse(waiting.done())
        self.assertEqual(len(pace_requests), 2)
        queue.pace.record(1.0, 0.12)
        queue.dispatch(0.12)
        self.assertTrue(waiting.done())

    async def test_short_work_starts_at_any_pace(self):
        """Guards against short calls that wait longer than they would take to run."""
        queue, pace_requests = make_queue_with_pace(7.0)
        self.assertIsNone(queue.admit(make_call("rights", now=0.01), 0.01))
        self.assertIsNone(queue.admit(make_call("rights", now=2.0), 2.0))
        self.assertEqual(pace_requests, [])

    async def test_short_work_avoids_a_cold_upstream_in_a_slow_phase(self):
        """Guards against calls that start although they cannot end in time.

        An upstream that has just started is cold: its pace is about 2 even outside slow
        phases, so slow phases delay short work as well. After the power loss at the
        end of scale-2 on spb-crates, upstreams were at times 14 times slower, and 33 of
        170 calls ended at their deadline.
        """
        queue, pace_requests = make_queue_with_pace(15.0)
        with self.assertRaises(Saturated):
            queue.admit(make_call("rights", now=0.01, alternatives=1), 0.01)
        waiting = queue.admit(make_call("rights", now=0.01), 0.01)
        queue.expire(0.1)
        self.assertFalse(waiting.done())
        self.assertEqual(len(pace_requests), 2)
        queue.pace.record(2.0, 0.11)
        queue.dispatch(0.11)
        self.assertTrue(waiting.done())

    async def test_call_that_cannot_end_in_time_on_a_cold_upstream_is_refused(self):
        """Guards against slots that are held by calls without a chance.

        After the loss of all daemons on trouble-1 of sdnp-mesh, cold upstreams took
        twice the usual time. 48 calls that had waited for the end of a slow phase
        started when less was left, and held their slots until the deadline.
        """
        queue = make_queue(slots=4)
        queue.request_pace = lambda: None
        queue.pace.record(2.0, 0.0)
        queue.pace.record(8.0, 0.1)
        call = make_call(now=0.1, deadline=0.9, soft_deadline=0.5)
        waiting = queue.admit(call, 0.1)
        queue.expire(0.45)
        self.assertFalse(waiting.done())
        queue.expire(0.55)
        self.assertIsInstance(waiting.exception(), Saturated)
        queue.pace.record(2.0, 0.6)
        with self.assertRaises(Saturated):
            queue.admit(make_call(now=0.6, deadline=0.75, soft_deadline=0.7), 0.6)
        queue.pace.record(1.0, 0.6)
        self.assertIsNone(queue.admit(make_call(now=0.6, deadline=0.75), 0.6))

    async def test_calls_start_at_a_permanently_slow_upstream(self):
        """Guards against a permanently slow upstream that never gets any calls."""
        queue, _ = make_queue_with_pace(7.0)
        queue.pace.record(7.0, 1.6)
        self.assertIsNone(queue.admit(make_call(now=1.61), 1.61))

    async def test_calls_start_at_an_upstream_that_reports_no_pace(self):
        """Guards against calls that wait for pace samples the upstream never sends."""
        queue, pace_requests = make_queue_with_pace()
        queue.pace_unavailable_until = 1.0
        self.assertIsNone(queue.admit(make_call(now=0.9), 0.9))
        self.assertIsNotNone(queue.admit(make_call(now=1.1), 1.1))
        self.assertEqual(pace_requests, [True])

    async def test_number_of_calls_waiting_for_a_pace_sample_is_bounded(self):
        """Guards against an unbounded queue during a slow phase."""
        queue, _ = make_queue_with_pace(7.0, slots=4)
        far_deadlines = {"soft_deadline": 50.0, "deadline": 50.0}
        waiting_count = 0
        with self.assertRaises(Saturated):
            for _ in range(20):
                queue.admit(make_call(**far_deadlines), 0.01)
                waiting_count += 1
        self.assertLessEqual(waiting_count, 12)
        queue.pace.record(1.0, 0.02)
        queue.dispatch(0.02)
        self.assertEqual(queue.running, 4)


def run_reads(queue, slower, rng, calls=1200):
    """Record reads, about half of them at a nearly full upstream; return the queue.

    When nearly full, the upstream is slower by the factor ``slower``. 70% of the reads
    call another service, which is full at the same moments.
    """
    queue.pace.record(1.0, 0.0)
    for number in range(calls):
        full = rng.random() < 0.5
        taken_s = 0.1 * rng.lognormvariate(0.0, 0.3) * (slower if full else 1.0)
        if rng.random() < 0.7:
            taken_s += 0.06 * (1.0 + rng.random() * (4.0 if full else 0.3))
        queue.record("listen", taken_s, 1.0, 11 if full else 5, 10.0 + number)
    return queue


class KneeDetectorTest(unittest.TestCase):
    def test_upstream_that_slows_down_is_limited_below_its_knee(self):
        """Guards against 12 running calls with a lower throughput than 9 would have.

        On spb-crates, work takes 1.7 times longer when more than 80% of the slots are
        in use.
        """
        rng = random.Random(1)
        for _ in range(20):
            queue = run_reads(SlotQueue(12), 1.7, rng)
            self.assertEqual(queue.limit_for(True), 9)

    def test_upstream_without_a_knee_uses_all_slots(self):
        """Guards against slots left idle at peak load by a false detection of a knee.

        In scale-1 on tobar-mesh, three of four upstreams were limited to 9 of 12 slots
        although work there takes equally long at any load.
        """
        rng = random.Random(2)
        limits = [run_reads(SlotQueue(12), 1.0, rng).limit_for(True) for _ in range(50)]
        self.assertEqual(limits, [12] * 50)

    def test_waits_for_other_services_are_not_taken_for_a_knee(self):
        """Guards against a knee detected because other services are full as well.

        In scale-2 on tobar-mesh, only 9 of 12 slots were used for that reason.
        """
        queue = SlotQueue(12)
        queue.pace.record(1.0, 0.0)
        for number in range(800):
            running = 11 if number % 2 else 5
            waited_s = 0.2 if running == 11 and number % 10 > 3 else 0.0
            queue.record("listen", 0.1 + waited_s, 1.0, running, 10.0 + number)
        self.assertEqual(queue.limit_for(True), 12)

    def test_slow_phases_are_not_taken_for_a_knee(self):
        """Guards against slow phases caused by other workloads on the instance."""
        queue = SlotQueue(12)
        queue.pace.record(1.0, 0.0)
        for number in range(800):
            running = 11 if number % 2 else 5
            now = 10.0 + number
            queue.pace.record(7.0 if running == 11 else 1.0, now - 0.05)
            queue.record("lookup", 0.7 if running == 11 else 0.1, 1.0, running, now)
            queue.pace.record(1.0, now)
        self.assertFalse(queue.knee.confirmed)

    def test_mixed_verdicts_do_not_confirm_a_knee(self):
        """Guards against one false verdict that costs a quarter of the slots."""
        queue = SlotQueue(12)
        for verdict in (True, False, True, False, False, True):
            self.assertFalse(queue.knee.add_verdict(verdict))
        self.assertEqual(queue.limit_for(True), 12)

    def test_agreeing_verdicts_confirm_a_knee_once(self):
        """Guards against a knee that each daemon must detect by itself.

        A daemon can detect it only while its own upstream is nearly full.
        """
        queue = SlotQueue(12)
        confirmed = [queue.knee.add_verdict(True) for _ in range(4)]
        self.assertEqual(confirmed, [False, False, True, False])
        self.assertEqual(queue.limit_for(True), 9)


class SpareSlotTest(unittest.IsolatedAsyncioTestCase):
    def assert_refused(self, queue, call, now=0.0):
        """Check that the call is refused and leaves the queue as it is."""
        before = (queue.running, list(queue.waiting))
        with self.assertRaises(Saturated):
            queue.admit_to_spare_slot(call, now)
        self.assertEqual((queue.running, list(queue.waiting)), before)

    async def test_hedge_starts_only_on_a_free_slot(self):
        """Guards against hedges that take the last slot from a first copy."""
        queue = make_queue(slots=5, running=3)
        queue.admit_to_spare_slot(make_call(), 0.0)
        self.assertEqual(queue.running, 4)
        self.assert_refused(queue, make_call())

    async def test_urgent_hedge_evicts_no_waiting_call(self):
        """Guards against first copies that are refused in favour of a hedge."""
        queue = make_queue(slots=4, running=4)
        queue.admit(make_call(priority=5), 0.0)
        self.assert_refused(queue, make_call("rights", priority=0))

    async def test_hedge_leaves_free_slots_to_waiting_calls(self):
        """Guards against calls that lose their slot while they wait for the pace."""
        queue = make_queue(slots=5, running=2)
        queue.request_pace = lambda: None
        queue.pace.record(7.0, 0.0)
        queue.pace.record(1.0, 1.0)
        for _ in range(2):
            self.assertIsNotNone(queue.admit(make_call(now=1.1), 1.1))
        self.assert_refused(queue, make_call(now=1.1), 1.1)

    async def test_hedge_does_not_start_in_a_slow_phase(self):
        """Guards against a second copy that is as slow as the first one."""
        queue = make_queue(slots=5)
        queue.request_pace = lambda: None
        queue.pace.record(1.0, 0.0)
        queue.pace.record(7.0, 1.0)
        self.assert_refused(queue, make_call(now=1.01), 1.01)

    async def test_hedge_respects_drain_and_named_limit(self):
        """Guards against hedges that an upstream has asked not to get."""
        queue = make_queue(slots=5)
        queue.rate.set(1.0, 0.0)
        queue.admit_to_spare_slot(make_call(), 0.0)
        self.assert_refused(queue, make_call())
        queue.draining = True
        with self.assertRaises(Draining):
            queue.admit_to_spare_slot(make_call(), 5.0)


if __name__ == "__main__":
    unittest.main()
