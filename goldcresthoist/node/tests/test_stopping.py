"""Tests of the requests that a stopping daemon takes, answers and refuses."""

import asyncio
import unittest
from dataclasses import replace
from time import monotonic

from goldcresthoist.node.lifecycle import drain
from goldcresthoist.node.stopping import StopDeadlines
from goldcresthoist.node.tests.loopback_cluster import (
    LoopbackCluster,
    configuration,
    wait_until,
)


class StopDeadlinesTest(unittest.TestCase):
    def setUp(self):
        self.stop = StopDeadlines.from_grace(100.0, 6.0)

    def test_no_request_is_taken_that_is_neither_excused_nor_answered(self):
        """Guards against requests that are cut off although they came late in a stop.

        Callers may count on the answer of a request that they sent more than 3 s after
        the signal, and the signal may be handled a little late.
        """
        for after_ms in range(2000, 6000, 10):
            now = 100.0 + after_ms / 1000
            for wait_s in (0.4, 1.5, 3.0, 10.0):
                if self.stop.accepts_request(now, now + wait_s):
                    self.assertLess(now, 102.8)
                    self.assertLessEqual(now + wait_s, 105.58)

    def test_requests_are_taken_until_callers_know_of_the_stop(self):
        """Guards against refused callers that cannot know of another daemon yet."""
        self.assertTrue(self.stop.accepts_request(101.9, 130.0))
        self.assertTrue(self.stop.accepts_request(102.5, 104.0))

    def test_calls_that_might_be_cut_off_are_left_to_other_upstreams(self):
        """Guards against a call that its serving daemon breaks off when it stops."""
        self.assertTrue(self.stop.accepts_call(102.0, 105.0))
        self.assertFalse(self.stop.accepts_call(100.1, 106.0))
        self.assertFalse(self.stop.accepts_call(102.6, 103.0))


class StopTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = LoopbackCluster(["listen", "listen", "ledger"])
        await self.fleet.start()
        self.ip = self.fleet.ips[0]
        self.node = self.fleet.nodes[self.ip]

    async def asyncTearDown(self):
        await self.fleet.stop()

    def start_stop(self, grace_s):
        """Stop the first daemon as its process does, in a task."""
        bounds = replace(self.node.settings.bounds, stop_grace_s=grace_s)
        self.node.settings = replace(self.node.settings, bounds=bounds)
        return asyncio.create_task(self._stop())

    async def _stop(self):
        await drain(self.node)
        await self.fleet.stop_node(self.ip)

    async def test_request_that_comes_late_is_not_cut_off(self):
        """Guards against requests that run and get no answer as their daemon stops.

        They came when callers could know of the stop, and their work was longer than
        the rest of the grace period.
        """
        self.fleet.configure(configuration(2, timeout_s=6.0))
        await wait_until(lambda: self.node.watch.version == 2)
        started = monotonic()
        stopping = self.start_stop(grace_s=6.0)
        await asyncio.sleep(started + 2.4 - monotonic())
        number, answer = await self.fleet.call(
            self.ip, "/write/1?ms=4000", "POST", wait_ms=9000
        )
        self.assertEqual(answer.status, 503)
        self.assertNotIn(number, self.fleet.runs())
        await stopping

    async def test_unfinished_request_gets_an_answer_at_the_cut_off(self):
        """Guards against connections that close although the daemon read the request.

        A caller does not know then whether it may repeat a request that has not run.
        """
        calls = [
            asyncio.create_task(
                self.fleet.call(self.ip, "/write/1?ms=1800", "POST", wait_ms=9000)
            )
            for _ in range(6)
        ]
        await wait_until(lambda: len(self.fleet.runs()) >= 4)
        await self.start_stop(grace_s=1.0)
        answers = await asyncio.gather(*calls)
        self.assertEqual({answer.status for _, answer in answers} - {503, 504}, set())
        refused = [number for number, answer in answers if answer.status == 503]
        self.assertFalse(set(refused) & set(self.fleet.runs()))


if __name__ == "__main__":
    unittest.main()
