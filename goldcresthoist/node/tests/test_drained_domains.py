"""Tests of failure domains that the operator drains."""

import asyncio
import unittest
from time import monotonic

from goldcresthoist.node.tests.loopback_cluster import (
    LoopbackCluster,
    configuration,
    wait_until,
)

# Time in which the platform expects a drain to be in force.
DRAIN_S = 5.0
EMPTY_OBJECT = "e30="


class DrainedDomainTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = LoopbackCluster(["listen", "listen", "ledger"], "aba")
        await self.cluster.start()
        self.drained_ip, self.other_ip, self.entry_ip = self.cluster.ips
        self.target = self.cluster.targets[self.drained_ip]

    async def asyncTearDown(self):
        await self.cluster.stop()

    def server(self):
        return self.cluster.nodes[self.drained_ip].server

    def states(self):
        return [node.server.domain_drained for node in self.cluster.nodes.values()]

    async def set_drained(self, drained):
        """Write or remove the row of domain ``a``; return the seconds until in force.

        It has two of the three upstreams.
        """
        if drained:
            self.cluster.store.put("op", "evacuate/a", EMPTY_OBJECT)
        else:
            self.cluster.store.remove("op", "evacuate/a")
        since = monotonic()
        await wait_until(lambda: self.states() == [drained, False, drained])
        return monotonic() - since

    async def call_all(self, path="/read/x", times=1):
        """Send reads to each daemon, and return the set of the statuses."""
        calls = [self.cluster.call(ip, path) for ip in self.cluster.ips * times]
        return {answer.status for _, answer in await asyncio.gather(*calls)}

    async def test_domain_is_drained_and_taken_back(self):
        """Guards against requests to upstreams whose domain the operator evacuates.

        Running calls end well, and callers notice nothing as long as another domain
        serves. Nothing is sent there meanwhile, health checks included.
        """
        running = asyncio.create_task(self.call_all("/pack/x?ms=800"))
        await wait_until(lambda: self.target.running > 0)
        self.assertLess(await self.set_drained(True), DRAIN_S)
        self.assertEqual(await running, {200})
        before, runs = len(self.target.arrivals), len(self.target.runs)
        self.assertEqual(await self.call_all(), {200})
        self.assertEqual(len(self.target.arrivals), before)
        self.assertTrue(self.server().load_report().draining)
        _, answer = await self.cluster.call(self.entry_ip, "/write/x")
        # Its only upstream is drained, so the request is offered to none.
        self.assertEqual(answer.status, 503)
        self.assertIn(b"no-upstream", answer.body)
        self.assertLess(await self.set_drained(False), DRAIN_S)
        async with asyncio.timeout(DRAIN_S):
            while len(self.target.runs) == runs:
                self.assertEqual(await self.call_all(), {200})

    async def test_set_outlives_daemons_and_the_store(self):
        """Guards against a restart during a drain that sends requests again.

        The store is away: the daemon learns the set from the others.
        """
        await self.set_drained(True)
        self.cluster.store.faults["down"] = True
        before = len(self.target.runs)
        await self.cluster.stop_node(self.drained_ip)
        await self.cluster.start_node(self.drained_ip, "listen")
        since = monotonic()
        await wait_until(lambda: self.states() == [False, True, True])
        self.assertLess(monotonic() - since, 2.0)
        await asyncio.sleep(2.0)
        self.assertEqual(self.server().refusal_reason(), "drained-domain")
        await self.call_all()
        self.assertEqual(len(self.target.runs), before)

    async def test_waiting_calls_are_refused(self):
        """Guards against calls that stay in the queue of a drained upstream."""
        self.server().queue.slots = 1
        calls = asyncio.create_task(self.call_all("/read/x?ms=300", 6))
        await wait_until(lambda: self.server().queue.waiting)
        self.server().set_domain_drained(True)
        self.assertFalse(self.server().queue.waiting)
        await calls
        self.assertGreater(
            self.server().counters.text().count(b'code="drained-domain"'), 0
        )

    async def test_upstream_is_taken_back_as_if_cold(self):
        """Guards against full load on an upstream that was idle during the drain.

        It counts as warming up until a health check says otherwise.
        """
        document = configuration(2)
        for service in document["services"]:
            service["cold_per_s"] = 7.5
        self.cluster.configure(document)
        warm_up = self.server().queue.warm_up
        await wait_until(lambda: warm_up.per_s and not warm_up.limits(monotonic()))
        await self.set_drained(True)
        self.target.cold_until = monotonic() + 60.0
        before = self.target.probes
        await self.set_drained(False)
        self.assertTrue(warm_up.is_cold(monotonic()))
        await wait_until(lambda: self.target.probes > before)
        await asyncio.sleep(0.1)
        self.assertTrue(warm_up.is_cold(monotonic()))
        self.target.cold_until = 0.0
        await wait_until(lambda: not warm_up.limits(monotonic()))
