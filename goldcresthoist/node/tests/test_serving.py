"""Tests of the admission of calls to the local upstream."""

import unittest
from time import monotonic

from goldcresthoist.balance import CrashSuspects
from goldcresthoist.fleet.tests.builders import FakeCounters, FakeLog
from goldcresthoist.links.frames import Open
from goldcresthoist.node.local_upstream import LocalUpstream
from goldcresthoist.node.serving import UpstreamServer
from goldcresthoist.node.tests.builders import make_announcement
from goldcresthoist.node.transfers import TransferBudget
from goldcresthoist.pauses import PauseDetector
from goldcresthoist.tests.suspension import suspended_for


class FakePool:
    """Has the attributes of `ConnectionPool` that `UpstreamServer` uses."""

    def __init__(self):
        self.down = False
        self.idle = []
        self.on_change = None


class FakeCall:
    """Has the interface of `IncomingCall` and records the code of a refusal."""

    def __init__(self, service, crash_count, **fields):
        self.open = Open(
            call_id=1,
            service=service,
            work="rights",
            method="GET",
            target="/",
            headers=(),
            time_left_us=2_000_000,
            key="",
            fingerprint=b"mark",
            crash_count=crash_count,
            body=b"",
            end=True,
            soft_deadline_us=500_000,
            **fields,
        )
        self.refused = None
        self.cancelled = False
        self.begin_result = None
        self.done = False

    def refuse(self, code, message, load, retry_after_ms=0):
        """Record the code."""
        self.refused = code
        self.done = True


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.own = LocalUpstream("10.0.0.1:8000", "ledger")
        self.pool = FakePool()
        self.boot_time = 100.0
        self.server = UpstreamServer(
            self.own,
            self.pool,
            CrashSuspects(),
            FakeCounters(),
            FakeLog(),
            TransferBudget(0),
            PauseDetector(lambda: self.boot_time),
        )
        self.own.apply_announcement(make_announcement(), 0.0)
        self.server.upstream_changed(True)

    async def asyncTearDown(self):
        await self.server.close()

    def begin(self, service="ledger", crash_count=0, **fields):
        call = FakeCall(service, crash_count, **fields)
        self.server.begin(call)
        return call

    async def test_warm_up_is_counted_once(self):
        """Guards against a cold upstream that looks four times slower than usual.

        On sdnp-mesh upstreams include the warm-up in the pace that they report; on
        tobar-mesh they did not.
        """
        self.own.apply_announcement(make_announcement(sequence=2, cold_s=60.0), 1e9)
        for reported, expected in ((1.0, 2.0), (2.0, 2.0), (8.0, 8.0)):
            self.server.queue.pace.record(reported, monotonic())
            self.assertEqual(self.server.load_report().pace, expected)

    async def test_only_marked_hedges_are_never_queued(self):
        """Guards against hedges that wait, and against refusals of those that may.

        A daemon without the operator's limit on hedges does not mark them.
        """
        self.server.queue.slots = 2
        self.begin()
        self.begin()
        self.assertEqual(
            self.begin(hedge=True, spare_slot_only=True).refused, "no-spare-slot"
        )
        self.assertIsNone(self.begin(hedge=True).refused)
        self.assertEqual(len(self.server.queue.waiting), 1)

    async def test_call_that_arrived_in_a_pause_keeps_its_deadline(self):
        """Guards against a frozen daemon that runs a call after its time was over.

        The time left in the message counts from its arrival in the socket, and the
        entry daemon has given the call up meanwhile. Calls have 2 s here.
        """
        self.boot_time += 1.5
        call = self.begin()
        self.assertIsNone(call.refused)
        left_s = call.begin_result.slot_call.deadline - monotonic()
        self.assertAlmostEqual(left_s, 0.5, delta=0.1)
        self.boot_time += 2.5
        self.assertEqual(self.begin().refused, "deadline")
        self.boot_time += 0.1
        self.assertIsNone(self.begin().refused)

    async def test_call_that_waited_in_a_suspension_is_not_run(self):
        """Guards against a call that runs after its time was over.

        It waits for a slot when the machine is suspended for longer than the 2 s that
        it has. The entry daemon has given it up meanwhile, and the caller is gone.
        """
        self.server.queue.slots = 2
        first, _, waiting = self.begin(), self.begin(), self.begin()
        self.assertIsNotNone(waiting.begin_result.future)
        with suspended_for(3.0):
            first.begin_result.abandon()
            await self.server.serve(waiting)
        self.assertEqual(waiting.refused, "deadline")

    async def test_cancelled_call_leaves_the_queue(self):
        """Guards against a queue that is full of calls whose callers have left."""
        self.server.queue.slots = 2
        _, _, waiting = self.begin(), self.begin(), self.begin()
        self.assertEqual(len(self.server.queue.waiting), 1)
        waiting.begin_result.future.cancel()
        waiting.begin_result.abandon()
        self.assertEqual(self.server.queue.waiting, [])

    async def test_call_for_another_service_is_refused(self):
        """Guards against a call that is executed by the wrong service.

        The address of an instance may be reused by another service.
        """
        self.assertEqual(self.begin(service="desk").refused, "not-ready")

    async def test_departed_upstream_gets_no_calls(self):
        """Guards against calls after an acknowledged departure."""
        self.assertIsNone(self.begin().refused)
        self.own.mark_departed("i-1")
        self.server.upstream_changed(False)
        self.assertEqual(self.begin().refused, "draining")

    async def test_upstream_without_connections(self):
        """Guards against calls that queue for an upstream that accepts no connections.

        They are refused at once, so that the entry daemon can offer them elsewhere.
        """
        self.pool.down = True
        self.assertEqual(self.begin().refused, "no-upstream")

    async def test_request_that_crashed_three_upstreams(self):
        """Guards against a request that crashes one upstream after another."""
        for count in (1, 2):
            self.server.update_suspect(b"mark", count)
            self.assertIsNone(self.begin().refused)
        self.server.update_suspect(b"mark", 3)
        self.assertEqual(self.begin().refused, "crash-suspect")
        self.server.update_suspect(b"mark", 0)
        self.assertIsNone(self.begin().refused)
        self.assertEqual(self.begin(crash_count=3).refused, "crash-suspect")

    async def test_load_report_signals_draining(self):
        """Guards against calls to a daemon that has started to drain.

        If its load report did not say so, other daemons would send calls until the
        first one is refused.
        """
        self.assertFalse(self.server.load_report().draining)
        self.server.start_draining()
        self.assertTrue(self.server.load_report().draining)

    async def test_knee_verdicts_are_reported(self):
        """Guards against daemons that fill their upstreams to find a knee once more.

        The knee is the concurrency above which the upstreams of a service are slower.
        Three agreeing verdicts lower the limit, and a daemon that starts later applies
        the stored result at once.
        """
        reported = []
        self.server.on_knee_verdict = lambda *args: reported.append(args)
        for _ in range(3):
            self.server.queue.on_knee_verdict(True)
        self.assertEqual(reported, [(True, False), (True, False), (True, True)])
        other = UpstreamServer(
            self.own,
            FakePool(),
            CrashSuspects(),
            FakeCounters(),
            FakeLog(),
            TransferBudget(0),
            PauseDetector(lambda: self.boot_time),
        )
        other.restore_knee()
        self.assertTrue(other.queue.knee.confirmed)
        await other.close()

    async def test_failure_share_rises_and_decays(self):
        """Guards against a partly failing upstream whose load report hides it.

        Daemons without failed calls of their own would keep sending calls to it.
        """
        for _ in range(20):
            self.server.record_end(True, 100.0)
        self.assertGreater(self.server.failure_share(100.0), 0.5)
        self.assertLess(self.server.failure_share(130.0), 0.05)
