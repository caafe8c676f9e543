"""Tests of hedges under the operator's limit, over loopback addresses."""

import asyncio
import unittest
from time import monotonic

from goldcresthoist.balance import HedgeSettings
from goldcresthoist.config.model import Read, WorkRule
from goldcresthoist.node.tests.loopback_cluster import LoopbackCluster, wait_until

USUAL_S = 0.02
DELAY_S = 0.1


class HedgingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.site = LoopbackCluster(
            ["listen", "listen", "ledger"], hedge_settings=HedgeSettings(0.5)
        )
        await self.site.start()
        self.entry = self.site.nodes[self.site.ips[2]]
        self.limit = self.entry.hedging.limit
        rule = WorkRule("read", "", "", Read(), USUAL_S, 2.0, 1.0)
        (route,) = (r for r in self.entry.watch.table.routes if r.name == rule.name)
        self.entry.services.route(route).rule = rule
        for _ in range(64):
            self.limit.record_latency(rule, DELAY_S)
        self.limit.tokens = 2.0

    async def asyncTearDown(self):
        await self.site.stop()

    async def read(self, ms):
        """Send a request whose work takes ``ms`` milliseconds at any upstream."""
        _, answer = await self.site.call(self.site.ips[2], f"/read/1?ms={ms}")
        self.assertEqual(answer.status, 200)

    async def test_slow_request_gets_one_hedge_after_the_percentile(self):
        """Guards against hedges after a share of the aim, or for usual requests.

        The hedge starts after the first copy, whose response is used. The latency of
        the route counts from the start of the first copy.
        """
        await self.read(0)
        self.assertEqual(self.entry.counters.total("hedges"), 0)
        await self.read(300)
        self.assertEqual(self.entry.counters.total("hedges"), 1)
        first, second = sorted(
            run[1]
            for target in self.site.targets.values()
            for run in target.runs
            if "ms=300" in run[2]
        )
        self.assertAlmostEqual(second - first, DELAY_S, delta=0.05)

    async def test_hedge_at_a_full_upstream_is_refused_at_once(self):
        """Guards against hedges that queue for a slot, and count as extra work."""
        queues = [self.site.nodes[ip].server.queue for ip in self.site.ips[:2]]
        for ip in self.site.ips[:2]:
            self.site.targets[ip].slots = 1
        await wait_until(lambda: all(queue.slots == 1 for queue in queues))
        for queue in queues:
            # A call that is not a hedge would now wait for the slot.
            queue.record("read", USUAL_S, 1.0, 1, monotonic())
        calls = [asyncio.create_task(self.read(400)) for _ in range(2)]
        await asyncio.gather(*calls)
        refused = [
            self.site.nodes[ip].counters.total("calls_refused")
            for ip in self.site.ips[:2]
        ]
        self.assertGreater(sum(refused), 0)
        self.assertEqual(len(self.site.runs()), 2)
        self.assertEqual(self.entry.counters.total("hedges_won"), 0)
        self.assertEqual(self.limit.tokens, 2.0)


if __name__ == "__main__":
    unittest.main()
