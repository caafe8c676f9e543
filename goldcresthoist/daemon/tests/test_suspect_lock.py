"""Tests of the mutual exclusion of crash suspects."""

import asyncio
import unittest
from time import monotonic

import msgspec

from goldcresthoist.balance import CrashSuspects
from goldcresthoist.daemon.suspect_lock import SuspectLock
from goldcresthoist.links.tests.builders import make_open


class SuspectLockTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.suspects = CrashSuspects()
        self.lock = SuspectLock(self.suspects)
        self.messages = []
        for mark in (b"a", b"b"):
            self.suspects.add_report(mark * 16, 1, monotonic())
            message = msgspec.structs.replace(make_open(1), fingerprint=mark * 16)
            self.messages.append(message)

    async def test_request_that_gives_up_leaves_no_waiter(self):
        """Guards against waiters that accumulate while one suspect runs for long."""
        first, second = self.messages
        self.assertTrue(await self.lock.acquire(first, monotonic() + 5.0))
        for _ in range(3):
            self.assertFalse(await self.lock.acquire(second, monotonic() + 0.01))
        self.assertEqual(self.lock.waiters, [])

    async def test_request_that_is_cancelled_leaves_no_waiter(self):
        """Guards against a waiter of a caller that has left."""
        first, second = self.messages
        await self.lock.acquire(first, monotonic() + 5.0)
        task = asyncio.create_task(self.lock.acquire(second, monotonic() + 5.0))
        await asyncio.sleep(0.01)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual(self.lock.waiters, [])
