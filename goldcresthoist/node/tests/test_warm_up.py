"""Tests of upstreams that warm up while callers send more than they bear."""

import asyncio
import unittest
from time import monotonic

from goldcresthoist.balance.tests.test_warm_up import TOLERATED, largest_second
from goldcresthoist.node.tests.loopback_cluster import (
    LoopbackCluster,
    configuration,
    wait_until,
)

PER_S = 7.5
COLD_S = 2.5
# Requests a second of the callers.
OFFERED_PER_S = 40.0


class WarmUpTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = LoopbackCluster(["listen", "ledger"])
        await self.cluster.start()
        document = configuration(2)
        for service in document["services"]:
            service |= {"cold_start_s": COLD_S, "cold_per_s": PER_S}
        self.cluster.configure(document)
        self.cold_ip, self.entry_ip = self.cluster.ips
        self.target = self.cluster.targets[self.cold_ip]
        await wait_until(self.is_warm)

    async def asyncTearDown(self):
        await self.cluster.stop()

    def is_warm(self):
        node = self.cluster.nodes[self.cold_ip]
        return node.watch.version == 2 and not node.server.queue.warm_up.limits(
            monotonic()
        )

    async def call_for(self, seconds):
        """Send calls at the offered rate; return the answers."""
        calls = []
        end = monotonic() + seconds
        while monotonic() < end:
            call = self.cluster.call(self.entry_ip, "/read/x?ms=10", wait_ms=1500)
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(1.0 / OFFERED_PER_S)
        return [answer for _, answer in await asyncio.gather(*calls)]

    def worst_second(self, since):
        """Return the largest number of requests in a second of the warm-up."""
        times = self.target.arrivals
        return largest_second([t for t in times if since <= t < self.target.cold_until])

    async def test_upstream_becomes_cold_under_load(self):
        """Guards against a crash of an upstream that becomes cold without a restart.

        Of the calls, some are answered meanwhile, and the others are refused before
        their deadline. Soon afterwards all are answered.
        """
        await self.call_for(0.5)
        since = monotonic()
        self.target.cold_until = since + COLD_S
        answers = await self.call_for(COLD_S)
        self.assertLess(self.worst_second(since), TOLERATED)
        statuses = [answer.status for answer in answers]
        self.assertEqual(set(statuses), {200, 503})
        self.assertGreater(statuses.count(200), 0.7 * PER_S * COLD_S)
        refusals = [answer for answer in answers if answer.status == 503]
        self.assertTrue(all(b"warming-up" in answer.body for answer in refusals))
        self.assertTrue(all(float(a.headers["retry-after"]) > 0 for a in refusals))
        await wait_until(self.is_warm)
        statuses = [answer.status for answer in await self.call_for(0.5)]
        self.assertEqual(set(statuses), {200})

    async def test_daemon_restarts_beside_a_cold_upstream(self):
        """Guards against a daemon that forgets by its restart what it has sent."""
        since = monotonic()
        self.target.cold_until = since + 6.0
        await self.call_for(1.0)
        await self.cluster.stop_node(self.cold_ip)
        await self.cluster.start_node(self.cold_ip, "listen")
        await self.call_for(self.target.cold_until - monotonic())
        self.assertLess(self.worst_second(since), TOLERATED)
        self.assertGreater(len(self.target.runs), 2 * PER_S)

    async def test_all_daemons_restart_beside_a_cold_upstream(self):
        """Guards against a restart of the fleet that crashes what warms up."""
        since = monotonic()
        self.target.cold_until = since + 5.0
        await self.call_for(1.0)
        for ip in self.cluster.ips:
            await self.cluster.stop_node(ip)
        for ip, service in zip(self.cluster.ips, self.cluster.services):
            await self.cluster.start_node(ip, service)
        await self.call_for(self.target.cold_until - monotonic())
        self.assertLess(self.worst_second(since), TOLERATED)
        self.assertGreater(len(self.target.runs), 1.5 * PER_S)

    async def test_upstream_crashes_and_starts_cold(self):
        """Guards against calls at full rate to an upstream that has just restarted."""
        await self.call_for(0.3)
        await self.target.stop()
        since = monotonic()
        target = await self.cluster.start_target(self.cold_ip, "listen")
        self.target = target
        target.cold_until = since + COLD_S
        await self.call_for(COLD_S)
        self.assertLess(self.worst_second(since), TOLERATED)
        self.assertGreater(len(target.runs), 0.6 * PER_S * COLD_S)
