"""Tests of what an upstream says of itself in its responses to calls."""

import asyncio
import unittest
from time import monotonic

from goldcresthoist.node.tests.loopback_cluster import LoopbackCluster, wait_until

LIMIT_PER_S = 10.0
WINDOW_S = 4.0
# Calls that an upstream may get in a window.
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
INTERVAL_S = 0.04


class NamedLimitTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = LoopbackCluster(["listen", "ledger"])
        await self.cluster.start()
        self.target = self.cluster.targets[self.cluster.ips[0]]

    async def asyncTearDown(self):
        await self.cluster.stop()

    async def call_for(self, seconds):
        """Send 25 calls a second from both daemons; return the statuses."""
        calls = []
        end = monotonic() + seconds
        while monotonic() < end:
            ip = self.cluster.ips[len(calls) % 2]
            calls.append(asyncio.create_task(self.cluster.call(ip, "/read/x")))
            await asyncio.sleep(INTERVAL_S)
        return [answer.status for _, answer in await asyncio.gather(*calls)]

    async def test_upstream_gets_no_more_than_it_names(self):
        """Guards against an upstream that gets far more than the limit it has named."""
        self.target.extra_fields = [("Server-Limit", f"{LIMIT_PER_S}")]
        await self.call_for(0.2)
        before = len(self.target.runs)
        statuses = await self.call_for(WINDOW_S)
        runs = len(self.target.runs) - before
        self.assertLessEqual(runs, ALLOWED)
        self.assertGreaterEqual(runs, 0.7 * LIMIT_PER_S * WINDOW_S)
        self.assertEqual(set(statuses), {200, 503})

    async def test_limit_ends_with_the_responses_that_name_it(self):
        """Guards against a limit that stays in force after the need is over."""
        self.target.extra_fields = [("Server-Limit", "2")]
        await self.call_for(0.2)
        self.target.extra_fields = []
        await self.call_for(2.0)
        statuses = await self.call_for(1.0)
        self.assertEqual(set(statuses), {200})


class NamedDepartureTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = LoopbackCluster(["listen", "listen", "ledger"])
        await self.cluster.start()
        self.leaving_ip, _, self.entry_ip = self.cluster.ips
        self.target = self.cluster.targets[self.leaving_ip]

    async def asyncTearDown(self):
        await self.cluster.stop()

    async def call_all(self):
        """Send four reads to each daemon in turn, and check that all succeed."""
        for ip in self.cluster.ips * 4:
            _, answer = await self.cluster.call(ip, "/read/x")
            self.assertEqual(answer.status, 200)

    async def test_upstream_that_states_its_departure_gets_no_calls(self):
        """Guards against calls to an upstream whose announcements were lost.

        It states in its responses that it leaves, and its heartbeats still say that it
        is ready. The daemon beside it is restarted afterwards.
        """
        self.target.extra_fields = [("Server-Leaving", "1")]
        node = self.cluster.nodes[self.leaving_ip]
        await self.call_all()
        await wait_until(lambda: node.own.leaving)
        before = len(self.target.runs)
        await self.call_all()
        await self.cluster.stop_node(self.leaving_ip)
        await self.cluster.start_node(self.leaving_ip, "listen")
        await wait_until(self.cluster.nodes[self.leaving_ip].is_ready)
        await asyncio.sleep(0.5)
        await self.call_all()
        self.assertEqual(len(self.target.runs), before)
