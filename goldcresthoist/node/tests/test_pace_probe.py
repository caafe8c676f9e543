"""Tests of the question for the pace of the own upstream."""

import asyncio
import random
import unittest
from time import monotonic

from goldcresthoist.balance import CrashSuspects, SlotCall
from goldcresthoist.fleet.tests.builders import FakeCounters, FakeLog
from goldcresthoist.node.own_upstream import LocalUpstream
from goldcresthoist.node.serving import UpstreamServer
from goldcresthoist.node.upstream_run import make_connection
from goldcresthoist.tests.standins.platform_target import PlatformTarget
from goldcresthoist.upstreams import ConnectionPool

PORT = 8628


class PaceProbeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        host = f"127.{random.randint(201, 250)}.{random.randint(1, 250)}.3"
        address = f"{host}:{PORT}"
        # Nobody listens for its announcements here.
        self.target = PlatformTarget("i-1", "ledger", address, f"{host}:1")
        await self.target.start()
        self.pool = ConnectionPool(host, PORT, make_connection=make_connection)
        own = LocalUpstream(address, "ledger")
        self.log = FakeLog()
        self.server = UpstreamServer(
            own, self.pool, CrashSuspects(), FakeCounters(), self.log
        )
        self.probe = self.server.probe
        self.probe.health_path = lambda: "/health"

    async def asyncTearDown(self):
        await self.server.close()
        await self.pool.close()
        await self.target.stop()

    async def trigger(self):
        self.probe.trigger()
        await self.probe.task

    async def test_pace_is_read_from_the_health_answer(self):
        """Guards against work started in a slow phase that no answer has told yet."""
        self.target.pace = 700
        await self.trigger()
        gauge = self.server.queue.pace
        self.assertEqual(gauge.pace, 7.0)
        self.assertFalse(gauge.is_stale(monotonic(), 5.0))

    async def test_new_upstream_is_asked_at_once(self):
        """Guards against first calls that start in a slow phase after a restart."""
        self.target.pace = 700
        self.server.upstream_changed(True)
        await self.probe.task
        self.assertTrue(self.server.queue.pace.is_in_slow_phase(monotonic(), 1.0))

    async def test_questions_at_the_same_time_are_one(self):
        """Guards against a probe for each waiting call; each probe is priced."""
        for _ in range(10):
            self.probe.trigger()
        await self.probe.task
        self.assertEqual(self.target.probes, 1)

    async def test_kept_connection_is_used_again(self):
        """Guards against a new connection for each probe; those are priced too."""
        await self.trigger()
        await self.trigger()
        self.assertLessEqual(self.pool.serial, 5)
        self.assertEqual(self.target.probes, 2)

    async def test_silent_health_check_stops_no_work(self):
        """Guards against calls that wait for a health check that hangs."""
        self.target.health_hangs = True
        queue = self.server.queue
        await self.trigger()
        first = queue.unasked_until
        self.assertGreater(first, monotonic())
        await self.trigger()
        self.assertGreater(queue.unasked_until, first)
        self.assertIn("pace unknown", [name for name, _ in self.log.events])

    async def test_failed_connection_stops_no_work(self):
        """Guards against calls that wait for ever because the question failed."""
        queue = self.server.queue
        queue.pace.record(1.0, monotonic() - 1.0)

        async def fail():
            raise RuntimeError("the handler is closed")

        self.pool.acquire = fail
        now = monotonic()
        call = SlotCall("listen", 1, now + 2.0, now + 1.0, 0)
        waiting = queue.admit(call, now)
        await self.probe.task
        self.assertTrue(waiting.done())
        self.assertEqual(queue.running, 1)

    async def test_without_a_health_path_nothing_is_sent(self):
        """Guards against a probe to a path that the configuration does not name."""
        for path in (None, ""):
            self.probe.health_path = lambda path=path: path
            await self.trigger()
        self.assertEqual(self.target.probes, 0)
        self.assertGreater(self.server.queue.unasked_until, monotonic())


if __name__ == "__main__":
    asyncio.run(unittest.main())
