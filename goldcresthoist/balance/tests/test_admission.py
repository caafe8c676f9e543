"""Tests of admission control."""

import asyncio
import unittest

from goldcresthoist.balance import Admission, Default, Draining, Naive, Saturated
from goldcresthoist.balance.tests.builders import (
    BULK,
    LONG,
    SHORT,
    make_configuration,
)

FAR_DEADLINE = 1000.0


def make_admission(policy=None, **changes):
    """Return an `Admission`; ``changes`` replace fields of its configuration."""
    return Admission(make_configuration(**changes), policy or Default())


def acquire_free(admission, rule, count, now=0.0, deadline=FAR_DEADLINE):
    """Acquire slots that must be free, and return them."""
    slots = [admission.acquire_nowait(rule, deadline, now) for _ in range(count)]
    assert None not in slots, f"{slots.count(None)} of {count} slots not free"
    return slots


class NoQueueTest(unittest.IsolatedAsyncioTestCase):
    async def test_full_upstream_without_a_queue_refuses(self):
        """Guards against an error for each call that finds all slots taken."""
        admission = make_admission(queue_limit=0)
        acquire_free(admission, LONG, 8)
        with self.assertRaises(Saturated):
            await admission.acquire(LONG, FAR_DEADLINE, 0.0)


class AdmissionSlotsTest(unittest.TestCase):
    """Guards against long work that takes the slots reserved for short work.

    The long calls would hold them for many times as long as short calls need. A short
    call that runs beyond its limit has the same effect, so it counts as long.
    """

    def test_long_work_leaves_the_reserved_slots_free(self):
        admission = make_admission()
        acquire_free(admission, LONG, 8)
        self.assertIsNone(admission.acquire_nowait(LONG, FAR_DEADLINE, 0.0))
        acquire_free(admission, SHORT, 4)
        self.assertIsNone(admission.acquire_nowait(SHORT, FAR_DEADLINE, 0.0))

    def test_long_running_short_call_counts_as_long(self):
        admission = make_admission()
        acquire_free(admission, SHORT, 3, now=0.0)
        acquire_free(admission, LONG, 5, now=0.0)
        self.assertIsNone(admission.acquire_nowait(LONG, FAR_DEADLINE, 0.021))
        self.assertEqual((admission.short_running, admission.long_running), (0, 8))

    def test_release_of_a_reclassified_call_restores_the_counts(self):
        admission = make_admission()
        slots = acquire_free(admission, SHORT, 3, now=0.0)
        for slot in slots:
            admission.release(slot, 0.5)
        self.assertEqual(admission.in_flight, 0)
        self.assertEqual((admission.short_running, admission.long_running), (0, 0))

    def test_work_of_one_length_may_use_every_slot(self):
        admission = make_admission(work=(LONG,), short_slots=0)
        acquire_free(admission, LONG, 12)

    def test_naive_policy_has_no_limit(self):
        admission = make_admission(Naive())
        acquire_free(admission, LONG, 500)
        self.assertEqual(admission.report().in_flight, 500)

    def test_expired_call_is_refused_although_a_slot_is_free(self):
        admission = make_admission()
        with self.assertRaises(Saturated):
            admission.acquire_nowait(SHORT, 1.0, 1.0)

    def test_new_configuration_keeps_running_calls(self):
        admission = make_admission()
        slots = acquire_free(admission, SHORT, 12)
        admission.apply(make_configuration(slots=13))
        acquire_free(admission, SHORT, 1)
        admission.release(slots[0], 0.001)
        self.assertEqual(admission.in_flight, 12)


class AdmissionQueueTest(unittest.IsolatedAsyncioTestCase):
    """Guards against calls that wait past their deadline, and against leaked slots.

    A slot leaks when it is given to a call whose caller has gone, and is never
    released: the upstream then runs fewer calls than it could.
    """

    async def wait(self, admission, rule, deadline=FAR_DEADLINE, now=0.0):
        """Return the task of a call that has begun to wait for a slot."""
        task = asyncio.create_task(admission.acquire(rule, deadline, now))
        self.addCleanup(task.cancel)
        await asyncio.sleep(0)
        return task

    async def test_short_work_never_waits_behind_long_work(self):
        admission = make_admission()
        slots = acquire_free(admission, LONG, 8) + acquire_free(admission, SHORT, 4)
        long = await self.wait(admission, LONG)
        short = await self.wait(admission, SHORT)
        admission.release(slots[0], 0.01)
        await asyncio.sleep(0)
        self.assertTrue(short.done())
        self.assertFalse(long.done())

    async def test_short_work_alone_cannot_starve_long_work(self):
        admission = make_admission()
        slots = acquire_free(admission, SHORT, 12)
        long = await self.wait(admission, LONG)
        short = await self.wait(admission, SHORT)
        admission.release(slots[0], 0.005)
        await asyncio.sleep(0)
        self.assertTrue(long.done())
        self.assertFalse(short.done())

    async def test_call_that_would_miss_its_deadline_is_refused_at_once(self):
        admission = make_admission()
        acquire_free(admission, SHORT, 12)
        with self.assertRaises(Saturated) as caught:
            await admission.acquire(SHORT, 0.002, 0.0)
        self.assertGreater(caught.exception.retry_after_s, 0.0)
        self.assertEqual(admission.queued, 0)

    async def test_expected_wait_is_bounded_by_a_multiple_of_the_usual_time(self):
        admission = make_admission(queue_limit=1000)
        acquire_free(admission, SHORT, 12)
        for _ in range(48):
            await self.wait(admission, SHORT)
        with self.assertRaises(Saturated):
            await admission.acquire(SHORT, FAR_DEADLINE, 0.0)

    async def test_valuable_work_evicts_less_valuable_work(self):
        admission = make_admission(queue_limit=4)
        slots = acquire_free(admission, SHORT, 12)
        bulk = [await self.wait(admission, BULK) for _ in range(4)]
        short = await self.wait(admission, SHORT)
        with self.assertRaises(Saturated):
            await bulk[3]
        with self.assertRaises(Saturated):
            await admission.acquire(BULK, FAR_DEADLINE, 0.0)
        admission.release(slots[0], 0.005)
        await asyncio.sleep(0)
        self.assertTrue(short.done())

    async def test_waiting_call_that_cannot_meet_its_deadline_gets_no_slot(self):
        admission = make_admission()
        slots = acquire_free(admission, SHORT, 12)
        late = await self.wait(admission, SHORT, deadline=0.02)
        good = await self.wait(admission, SHORT)
        admission.release(slots[0], 0.018)
        await asyncio.sleep(0)
        with self.assertRaises(Saturated):
            await late
        self.assertTrue(good.done())
        self.assertEqual((admission.in_flight, admission.queued), (12, 0))

    async def test_expire_refuses_late_calls_without_a_release(self):
        admission = make_admission()
        acquire_free(admission, SHORT, 12)
        late = await self.wait(admission, SHORT, deadline=0.02)
        admission.expire(0.02)
        with self.assertRaises(Saturated):
            await late
        self.assertEqual(admission.queued, 0)

    async def test_cancelled_call_leaves_the_queue(self):
        admission = make_admission()
        slots = acquire_free(admission, SHORT, 12)
        task = await self.wait(admission, SHORT)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(admission.queued, 0)
        admission.release(slots[0], 0.005)
        self.assertEqual(admission.in_flight, 11)

    async def test_slot_granted_to_a_cancelled_call_is_released(self):
        admission = make_admission()
        slots = acquire_free(admission, SHORT, 12)
        task = await self.wait(admission, SHORT)
        admission.release(slots[0], 0.005)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual((admission.in_flight, admission.queued), (11, 0))

    async def test_call_cancelled_before_its_grant_does_not_use_up_the_slot(self):
        admission = make_admission()
        slots = acquire_free(admission, SHORT, 12)
        first = await self.wait(admission, SHORT)
        second = await self.wait(admission, SHORT)
        first.cancel()
        admission.release(slots[0], 0.005)
        await asyncio.gather(first, return_exceptions=True)
        await asyncio.sleep(0)
        self.assertTrue(second.done())
        self.assertEqual((admission.in_flight, admission.queued), (12, 0))

    async def test_drain_refuses_waiting_and_new_calls_and_keeps_running_ones(self):
        admission = make_admission()
        slots = acquire_free(admission, SHORT, 12)
        waiting = await self.wait(admission, SHORT)
        admission.drain()
        with self.assertRaises(Draining):
            await waiting
        with self.assertRaises(Draining):
            admission.acquire_nowait(SHORT, FAR_DEADLINE, 0.0)
        for slot in slots:
            admission.release(slot, 0.005)
        self.assertEqual((admission.in_flight, admission.queued), (0, 0))
        self.assertTrue(admission.report().draining)
