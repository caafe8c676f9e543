"""Tests of deadlines of a process that was paused."""

import asyncio
import socket
import time
import unittest
from time import monotonic

from goldcresthoist.deadlines import PAUSE_S, deadline_at


class DeadlineTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        near, self.far = socket.socketpair()
        self.addCleanup(self.far.close)
        self.reader, writer = await asyncio.open_connection(sock=near)
        self.addCleanup(writer.close)

    async def test_what_arrived_in_a_pause_is_read_first(self):
        """Guards against a response that is ready and counts as missing.

        A daemon that was frozen for 20 s ended the call at its deadline before it read
        the response, so the outcome of an operation that had run was unknown.
        """
        async with deadline_at(monotonic() + 0.05):
            asyncio.get_running_loop().call_soon(self._pause_while_data_arrives)
            data = await self.reader.read(10)
        self.assertEqual(data, b"ready")

    def _pause_while_data_arrives(self):
        self.far.send(b"ready")
        time.sleep(2 * PAUSE_S)

    async def test_deadline_without_a_pause(self):
        """Guards against calls that are given more than their time."""
        started = monotonic()
        with self.assertRaises(TimeoutError):
            async with deadline_at(started + 0.05):
                await self.reader.read(10)
        self.assertLess(monotonic() - started, 0.05 + PAUSE_S)

    async def test_pause_without_data(self):
        """Guards against a deadline that never passes after a pause."""
        started = monotonic()
        with self.assertRaises(TimeoutError):
            async with deadline_at(started + 0.05):
                asyncio.get_running_loop().call_soon(time.sleep, 2 * PAUSE_S)
                await self.reader.read(10)
        self.assertLess(monotonic() - started, 4 * PAUSE_S)

    async def test_deadline_that_has_passed(self):
        """Guards against a call without a time limit."""
        with self.assertRaises(TimeoutError):
            async with deadline_at(monotonic() - 0.01):
                await self.reader.read(10)


if __name__ == "__main__":
    unittest.main()
