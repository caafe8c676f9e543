"""Tests of quotas through daemons on loopback addresses."""

import asyncio
import unittest
from time import monotonic

from goldcresthoist.node.tests.loopback_cluster import (
    LoopbackCluster,
    configuration,
    wait_until,
)
from goldcresthoist.quotas import QuotaLimits
from goldcresthoist.workspaces import Workspace

KEY = "k-3f9a71"
RATE_PER_S = 5.0
BOUND = QuotaLimits().bound(Workspace("first", (), None, RATE_PER_S, RATE_PER_S))


class QuotaTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.site = LoopbackCluster(["listen", "listen"])
        await self.site.start()
        document = configuration(2)
        for route in document["routes"]:
            route["public"] = route["name"] == "pack"
        quota = {"rate_per_s": RATE_PER_S, "burst": RATE_PER_S}
        document["tenants"] = [{"name": "first", "api_keys": [KEY]} | quota]
        self.site.configure(document)
        nodes = self.site.nodes.values()
        await wait_until(lambda: all(node.watch.version == 2 for node in nodes))

    async def asyncTearDown(self):
        await self.site.stop()

    async def send(self, ip, path="/read/1"):
        """Send a request; return its id and the answer."""
        return await self.site.call(ip, path, headers=[f"X-Api-Key: {KEY}"])

    async def test_requests_at_once_through_two_daemons(self):
        """Guards against daemons that each admit the whole quota."""
        started = monotonic()
        answers = await asyncio.gather(
            *(self.send(ip) for ip in self.site.ips for _ in range(30))
        )
        self.assertLess(monotonic() - started, 5.0)
        ran = {name for name, answer in answers if answer.status == 200}
        refused = [answer for _, answer in answers if answer.status == 429]
        self.assertEqual(len(ran) + len(refused), 60)
        self.assertEqual(set(self.site.runs()), ran)
        self.assertGreaterEqual(len(ran), 3)
        self.assertLessEqual(len(ran), BOUND)
        times = {answer.headers["retry-after"] for answer in refused}
        self.assertGreater(len(times), len(refused) // 2)
        self.assertTrue(all(0.0 < float(time) <= 5.0 for time in times))

    async def test_requests_that_do_not_count(self):
        """Guards against requests on public routes that use up the quota."""
        for _ in range(10):
            _, answer = await self.send(self.site.ips[0], "/pack/1")
            self.assertEqual(answer.status, 200)
        node = self.site.nodes[self.site.ips[0]]
        self.assertEqual(node.counters.total("quota_decisions"), 0)

    async def test_refused_requests_count(self):
        """Guards against tokens that come back and run beyond the bound later.

        When requests were refused in an outage of 10 s and their tokens returned,
        2,823 of 1,261 allowed requests were on their way at its end, in virtual time.
        """
        # Nothing serves writes here, so they are refused without a run.
        calls = (self.send(self.site.ips[0], "/write/1") for _ in range(60))
        answers = [answer.status for _, answer in await asyncio.gather(*calls)]
        self.assertEqual(set(answers), {429, 503})
        self.assertLessEqual(answers.count(503), BOUND)


if __name__ == "__main__":
    unittest.main()
