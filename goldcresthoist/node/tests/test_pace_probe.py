"""Tests of the probe for the pace of the local upstream."""

import asyncio
import random
import unittest
from time import monotonic

from goldcresthoist.balance import CrashSuspects, SlotCall
from goldcresthoist.fleet.tests.builders import FakeCounters, FakeLog
from goldcresthoist.node.call_execution import make_connection
from goldcresthoist.node.local_upstream import LocalUpstream
from goldcresthoist.node.serving import UpstreamServer
from goldcresthoist.node.transfers import TransferBudget
from goldcresthoist.pauses import PauseDetector
from goldcresthoist.tests.standins.platform_target import PlatformTarget
from goldcresthoist.upstreams import ConnectionPool

PORT = 8628


class PaceProbeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        host = f"127.{random.randint(201, 250)}.{random.randint(1, 250)}.3"
        address = f"{host}:{PORT}"
        # Nothing listens on port 1, so the announcements are lost.
        self.target = PlatformTarget("i-1", "ledger", address, f"{host}:1")
        await self.target.start()
        self.pool = ConnectionPool(host, PORT, make_connection=make_connection)
        own = LocalUpstream(address, "ledger")
        self.log = FakeLog()
        self.server = UpstreamServer(
            own,
            self.pool,
            CrashSuspects(),
            FakeCounters(),
            self.log,
            TransferBudget(0),
            PauseDetector(),
        )
        self.probe = self.server.probe
        self.probe.health_path = lambda: "/health"

    async def asyncTearDown(self):
        await self.server.close()
        await self.pool.close()
        await self.target.stop()

    async def run_probe(self):
        self.probe.trigger()
        await self.probe.task

    async def test_pace_is_read_from_the_health_answer(self):
        """Guards against calls that start in a slow phase because the pace is stale."""
        self.target.pace = 700
        await self.run_probe()
        gauge = self.server.queue.pace
        self.assertEqual(gauge.pace, 7.0)
        self.assertFalse(gauge.is_stale(monotonic(), 5.0))

    async def test_new_upstream_is_probed_immediately(self):
        """Guards against first calls that start in a slow phase after a restart.

        Before the first response no pace is known.
        """
        self.target.pace = 700
        self.server.upstream_changed(True)
        await self.probe.task
        self.assertTrue(self.server.queue.pace.is_in_slow_phase(monotonic(), 1.0))

    async def test_concurrent_triggers_send_one_probe(self):
        """Guards against one probe for each queued call; each probe is charged for."""
        for _ in range(10):
            self.probe.trigger()
        await self.probe.task
        self.assertEqual(self.target.probes, 1)

    async def test_idle_connection_is_reused(self):
        """Guards against a new connection for each probe; these are charged for too."""
        await self.run_probe()
        await self.run_probe()
        self.assertLessEqual(self.pool.serial, 5)
        self.assertEqual(self.target.probes, 2)

    async def test_health_check_timeout_does_not_block_calls(self):
        """Guards against calls that wait for a health check that hangs.

        Calls then start without a pace for a time that grows with each failure.
        """
        self.target.health_hangs = True
        queue = self.server.queue
        await self.run_probe()
        first = queue.pace_unavailable_until
        self.assertGreater(first, monotonic())
        await self.run_probe()
        self.assertGreater(queue.pace_unavailable_until, first)
        self.assertIn("pace unknown", [name for name, _ in self.log.events])

    async def test_first_probe_that_fails_is_repeated(self):
        """Guards against a pace that stays unknown for as long as no call comes.

        Nothing else asks for the pace then, and the first calls start in a slow phase.
        """
        self.target.health_hangs = True
        await self.run_probe()
        self.target.health_hangs = False
        async with asyncio.timeout(5.0):
            while not self.server.queue.pace.known:  # noqa: ASYNC110
                await asyncio.sleep(0.02)

    async def test_one_failure_does_not_let_calls_start_at_any_pace(self):
        """Guards against calls that start in a slow phase after one late response.

        On a busy machine, a probe may end at its limit because the daemon was delayed.
        """
        self.target.pace = 700
        await self.run_probe()
        fetch = self.probe.fetch
        results = [TimeoutError, None]

        async def fetch_late(path):
            if (error := results.pop(0)) is not None:
                raise error
            return await fetch(path)

        self.probe.fetch = fetch_late
        await self.run_probe()
        queue = self.server.queue
        self.assertLess(queue.pace_unavailable_until, monotonic())
        self.assertFalse(queue.pace.is_stale(monotonic(), 0.05))
        self.assertEqual(results, [])

    async def test_connection_failure_does_not_block_calls(self):
        """Guards against calls that wait for ever because the probe raised an error."""
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
        """Guards against a probe when the configuration contains no health path."""
        for path in (None, ""):
            self.probe.health_path = lambda path=path: path
            await self.run_probe()
        self.assertEqual(self.target.probes, 0)
        self.assertGreater(self.server.queue.pace_unavailable_until, monotonic())


if __name__ == "__main__":
    asyncio.run(unittest.main())
