"""Tests of the slots of an upstream, each under the load that it answers."""

import random
import unittest

from goldcresthoist.balance import Draining, Saturated, SlotCall, SlotQueue

LONG_S = 0.2
SHORT_S = 0.03


def make_queue(slots=4, running=0):
    """Return a queue that knows one long and one short kind of work."""
    queue = SlotQueue(slots)
    for work, usual_s in (("rights", SHORT_S), ("accession", LONG_S)) * 50:
        queue.record(work, usual_s, 1.0, 1, 0.0)
    queue.running = running
    return queue


def make_call(work="accession", now=0.0, **values):
    """Return a call that arrives at ``now``."""
    found = {
        "work": work,
        "priority": 1,
        "deadline": now + 2.0,
        "soft_deadline": now + 0.5,
        "alternatives": 0,
    }
    return SlotCall(**(found | values))


class SlotQueueTest(unittest.IsolatedAsyncioTestCase):
    async def test_slots_are_never_exceeded(self):
        """Guards against an upstream that resets or hangs because it is full."""
        queue = make_queue(slots=3)
        given = [queue.admit(make_call("rights"), 0.0) for _ in range(5)]
        self.assertEqual([item is None for item in given], [True] * 3 + [False] * 2)
        self.assertEqual(queue.running, 3)

    async def test_short_work_goes_before_long_work_that_waits(self):
        """Guards against calls that starve behind long work while their parent waits.

        Burst at a register that serves both: the parents at the other service held
        their slots and failed when their calls were refused (2,104 of 5,790 runs of
        scale-2 on tobar-mesh).
        """
        queue = make_queue(running=4)
        long = queue.admit(make_call(), 0.0)
        short = queue.admit(make_call("rights"), 0.0)
        queue.release(0.01)
        self.assertTrue(short.done())
        self.assertFalse(long.done())

    async def test_short_work_waits_until_its_deadline(self):
        """Guards against a parent that fails though its call could still be answered.

        The call's own aim has passed, its deadline has not.
        """
        queue = make_queue(running=4)
        call = make_call("rights", soft_deadline=0.01, deadline=0.4)
        self.assertIsNotNone(queue.admit(call, 0.0))
        queue.expire(0.2)
        self.assertEqual(len(queue.waiting), 1)
        queue.expire(0.39)
        self.assertEqual(queue.waiting, [])

    async def test_long_work_leaves_slots_for_short_work(self):
        """Guards against long work that takes the last slots at a crest."""
        queue = make_queue(slots=12)
        started = 0
        while queue.admit(make_call(), 0.0) is None:
            started += 1
        self.assertEqual(started, 10)
        self.assertIsNone(queue.admit(make_call("rights"), 0.0))

    async def test_rare_long_work_makes_nothing_else_short(self):
        """Guards against usual work that waits until its deadline like short work.

        On spb-crates a route with a few very long requests did that: 270 lookups of
        scale-1 waited from their first milliseconds to their deadline, untried.
        """
        queue = SlotQueue(4)
        for number in range(400):
            work, usual_s = ("lookup", 0.17) if number % 50 else ("export", 1.0)
            queue.record(work, usual_s, 1.0, 1, 0.0)
        self.assertFalse(queue.is_short("lookup"))

    async def test_late_work_is_refused_at_once(self):
        """Guards against calls that are held to their end at a crest, untried."""
        queue = make_queue(running=4)
        for _ in range(8):
            try:
                queue.admit(make_call(), 0.0)
            except Saturated:
                break
        with self.assertRaises(Saturated) as caught:
            queue.admit(make_call(), 0.0)
        self.assertGreater(caught.exception.retry_after_s, 0.04)

    async def test_work_of_higher_priority_displaces_lower(self):
        """Guards against urgent work refused behind less urgent work in the queue."""
        queue = make_queue(slots=2, running=2)
        patient = {"soft_deadline": 50.0, "deadline": 50.0}
        waiting = [queue.admit(make_call(priority=2, **patient), 0.0) for _ in range(4)]
        with self.assertRaises(Saturated):
            queue.admit(make_call(priority=2, **patient), 0.0)
        urgent = queue.admit(make_call(priority=0, **patient), 0.0)
        self.assertIsInstance(waiting[-1].exception(), Saturated)
        queue.release(0.0)
        self.assertTrue(urgent.done())

    async def test_late_work_waits_behind_work_in_time(self):
        """Guards against a crest at which those that come back crowd out the rest."""
        queue = make_queue(running=4)
        late = queue.admit(make_call(soft_deadline=0.0, deadline=3.0), 0.0)
        fresh = queue.admit(make_call(soft_deadline=1.0), 0.0)
        queue.release(0.05)
        self.assertTrue(fresh.done())
        self.assertFalse(late.done())

    async def test_late_work_gives_its_place_up(self):
        """Guards against a full queue of late work that refuses work in time."""
        queue = make_queue(slots=1, running=1)
        patient = {"deadline": 50.0}
        late = [
            queue.admit(make_call(soft_deadline=0.0, **patient), 0.0) for _ in range(2)
        ]
        with self.assertRaises(Saturated):
            queue.admit(make_call(soft_deadline=0.0, **patient), 0.0)
        queue.admit(make_call(soft_deadline=50.0, **patient), 0.0)
        self.assertIsInstance(late[1].exception(), Saturated)

    async def test_late_work_is_not_held_to_its_end(self):
        """Guards against callers that wait untried and have no time to come back."""
        queue = make_queue(running=4)
        late = queue.admit(make_call(soft_deadline=0.0, deadline=3.0), 0.0)
        queue.expire(0.5)
        self.assertFalse(late.done())
        queue.expire(0.9)
        self.assertIsInstance(late.exception(), Saturated)

    async def test_work_with_other_choices_is_sent_on(self):
        """Guards against a queue at one upstream while others have free slots."""
        queue = make_queue(running=4)
        with self.assertRaises(Saturated):
            queue.admit(make_call(alternatives=2), 0.0)

    async def test_slow_upstream_sends_work_on(self):
        """Guards against work started on an instance that is slow just now.

        Its neighbours make it 7 times slower for parts of a second.
        """
        queue = make_queue()
        queue.pace.record(7.0, 1.0)
        with self.assertRaises(Saturated):
            queue.admit(make_call(now=1.05, alternatives=1), 1.05)
        self.assertIsNone(queue.admit(make_call(now=1.05, alternatives=0), 1.05))
        self.assertIsNone(queue.admit(make_call(now=1.5, alternatives=1), 1.5))

    async def test_upstream_that_says_it_is_full_gets_a_pause(self):
        """Guards against arrivals that the upstream rejects one after the other."""
        queue = make_queue(running=1)
        queue.hold(0.03)
        self.assertIsNotNone(queue.admit(make_call(), 0.0))
        queue.release(0.01)
        self.assertEqual(queue.running, 1)

    async def test_draining_refuses_new_and_waiting_calls(self):
        """Guards against work sent to an upstream after it was said to leave."""
        queue = make_queue(running=4)
        waiting = queue.admit(make_call("rights"), 0.0)
        queue.drain()
        self.assertIsInstance(waiting.exception(), Draining)
        with self.assertRaises(Draining):
            queue.admit(make_call(), 0.0)

    async def test_abandoned_call_keeps_no_place(self):
        """Guards against slots lost to callers that left while they waited."""
        queue = make_queue(running=4)
        future = queue.admit(make_call("rights"), 0.0)
        queue.abandon(future)
        queue.release(0.0)
        self.assertEqual((queue.running, queue.waiting), (3, []))


def make_paced_queue(pace=1.0, now=0.0, **values):
    """Return a queue whose upstream told its pace at ``now``, and the questions."""
    queue = make_queue(**values)
    asked = []
    queue.ask_pace = lambda: asked.append(True)
    queue.pace.record(pace, now)
    return queue, asked


class PaceGateTest(unittest.IsolatedAsyncioTestCase):
    """Upstreams whose instances turn 7 times slower for half a second at a time.

    Work keeps the pace at which it starts: on the calm day of tobar-mesh 36 of 199
    deposits were late, nearly all started in a slow phase that nobody had noticed.
    """

    async def test_fresh_figure_starts_work_at_once(self):
        """Guards against questions that nothing needs; each is priced."""
        queue, asked = make_paced_queue()
        self.assertIsNone(queue.admit(make_call(now=0.05), 0.05))
        self.assertEqual(asked, [])

    async def test_old_figure_is_asked_for_first(self):
        """Guards against work started on a figure that is out of date."""
        queue, asked = make_paced_queue()
        waiting = queue.admit(make_call(now=0.5, alternatives=2), 0.5)
        self.assertEqual((queue.running, asked), (0, [True]))
        queue.pace.record(1.0, 0.502)
        queue.fill(0.502)
        self.assertTrue(waiting.done())
        self.assertEqual(queue.running, 1)

    async def test_slow_upstream_refuses_what_can_go_elsewhere(self):
        """Guards against work held where it is slow while others are fast."""
        queue, _ = make_paced_queue()
        waiting = queue.admit(make_call(now=0.5, alternatives=2), 0.5)
        queue.pace.record(7.0, 0.502)
        queue.fill(0.502)
        self.assertIsInstance(waiting.exception(), Saturated)
        with self.assertRaises(Saturated):
            queue.admit(make_call(now=0.51, alternatives=2), 0.51)
        self.assertEqual((queue.running, queue.waiting), (0, []))

    async def test_last_choice_waits_for_the_end_of_the_slow_phase(self):
        """Guards against slots held 7 times longer than needed, and late answers."""
        queue, asked = make_paced_queue(7.0)
        waiting = queue.admit(make_call(now=0.01), 0.01)
        queue.expire(0.1)
        self.assertFalse(waiting.done())
        self.assertEqual(len(asked), 2)
        queue.pace.record(1.0, 0.12)
        queue.fill(0.12)
        self.assertTrue(waiting.done())

    async def test_short_work_starts_at_any_pace(self):
        """Guards against calls that wait longer than they would take."""
        queue, asked = make_paced_queue(7.0)
        self.assertIsNone(queue.admit(make_call("rights", now=0.01), 0.01))
        self.assertIsNone(queue.admit(make_call("rights", now=2.0), 2.0))
        self.assertEqual(asked, [])

    async def test_short_work_avoids_a_cold_upstream_in_a_slow_phase(self):
        """Guards against calls that start though they cannot end in time.

        After the closing loss of power on scale-2 of spb-crates, upstreams were 14
        times slower at moments, and 33 of 170 calls ended at their deadline.
        """
        queue, asked = make_paced_queue(15.0)
        with self.assertRaises(Saturated):
            queue.admit(make_call("rights", now=0.01, alternatives=1), 0.01)
        waiting = queue.admit(make_call("rights", now=0.01), 0.01)
        queue.expire(0.1)
        self.assertFalse(waiting.done())
        self.assertEqual(len(asked), 2)
        queue.pace.record(2.0, 0.11)
        queue.fill(0.11)
        self.assertTrue(waiting.done())

    async def test_lasting_slowness_is_no_reason_to_wait(self):
        """Guards against an upstream that is slow for good and never gets work."""
        queue, _ = make_paced_queue(7.0)
        queue.pace.record(7.0, 1.6)
        self.assertIsNone(queue.admit(make_call(now=1.61), 1.61))

    async def test_upstream_that_tells_no_pace_gets_work(self):
        """Guards against work that waits for figures that never come."""
        queue, asked = make_paced_queue()
        queue.unasked_until = 1.0
        self.assertIsNone(queue.admit(make_call(now=0.9), 0.9))
        self.assertIsNotNone(queue.admit(make_call(now=1.1), 1.1))
        self.assertEqual(asked, [True])

    async def test_no_more_wait_for_a_figure_than_there_are_slots(self):
        """Guards against a queue without bound behind a slow phase."""
        queue, _ = make_paced_queue(7.0, slots=4)
        patient = {"soft_deadline": 50.0, "deadline": 50.0}
        held = 0
        with self.assertRaises(Saturated):
            for _ in range(20):
                queue.admit(make_call(**patient), 0.01)
                held += 1
        self.assertLessEqual(held, 12)
        queue.pace.record(1.0, 0.02)
        queue.fill(0.02)
        self.assertEqual(queue.running, 4)


def run_reads(queue, slower, rng, calls=1200):
    """Record reads of which 7 in 10 call a service that is full at the same moments."""
    queue.pace.record(1.0, 0.0)
    for number in range(calls):
        full = rng.random() < 0.5
        taken_s = 0.1 * rng.lognormvariate(0.0, 0.3) * (slower if full else 1.0)
        if rng.random() < 0.7:
            taken_s += 0.06 * (1.0 + rng.random() * (4.0 if full else 0.3))
        queue.record("listen", taken_s, 1.0, 11 if full else 5, 10.0 + number)
    return queue


class KneeTest(unittest.TestCase):
    def test_upstream_that_turns_slower_is_kept_below(self):
        """Guards against 12 running calls that answer less than 9 would.

        On spb-crates work takes 1.7 times longer with over 0.8 of the slots in use.
        """
        rng = random.Random(1)
        for _ in range(20):
            queue = run_reads(SlotQueue(12), 1.7, rng)
            self.assertEqual(queue.limit_for(True), 9)

    def test_other_upstreams_use_all_slots(self):
        """Guards against slots left idle at a crest where nothing turns slower.

        On scale-1 of tobar-mesh three of four upstreams were kept at 9 of 12 slots,
        though work there takes equally long at any load.
        """
        rng = random.Random(2)
        limits = [run_reads(SlotQueue(12), 1.0, rng).limit_for(True) for _ in range(50)]
        self.assertEqual(limits, [12] * 50)

    def test_slow_calls_to_other_services_prove_nothing(self):
        """Guards against slots given up because other services are full as well.

        On scale-2 of tobar-mesh nine of twelve slots were used for that reason.
        """
        queue = SlotQueue(12)
        queue.pace.record(1.0, 0.0)
        for number in range(800):
            running = 11 if number % 2 else 5
            waited_s = 0.2 if running == 11 and number % 10 > 3 else 0.0
            queue.record("listen", 0.1 + waited_s, 1.0, running, 10.0 + number)
        self.assertEqual(queue.limit_for(True), 12)

    def test_slow_moments_prove_nothing(self):
        """Guards against a neighbour's load taken for the upstream's own."""
        queue = SlotQueue(12)
        queue.pace.record(1.0, 0.0)
        for number in range(800):
            running = 11 if number % 2 else 5
            now = 10.0 + number
            queue.pace.record(7.0 if running == 11 else 1.0, now - 0.05)
            queue.record("lookup", 0.7 if running == 11 else 0.1, 1.0, running, now)
            queue.pace.record(1.0, now)
        self.assertFalse(queue.knee.found)

    def test_one_daemon_alone_decides_nothing(self):
        """Guards against one wrong verdict that costs a quarter of the slots."""
        queue = SlotQueue(12)
        for verdict in (True, False, True, False, False, True):
            self.assertFalse(queue.knee.learn(verdict))
        self.assertEqual(queue.limit_for(True), 12)

    def test_daemons_of_a_service_decide_together(self):
        """Guards against each daemon that must fill its upstream to find out."""
        queue = SlotQueue(12)
        decided = [queue.knee.learn(True) for _ in range(4)]
        self.assertEqual(decided, [False, False, True, False])
        self.assertEqual(queue.limit_for(True), 9)


if __name__ == "__main__":
    unittest.main()
