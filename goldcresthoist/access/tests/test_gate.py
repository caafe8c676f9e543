"""Tests of the concurrency limit and circuit breaker of platform calls."""

import asyncio
import random
import unittest

from goldcresthoist.access import CallFailed, CallGate, CallNotSent, GateLimits


class Clock:
    """Sets the clock of the running event loop by hand."""

    def __init__(self, test):
        self.now = 0.0
        loop = asyncio.get_running_loop()
        original = loop.time
        loop.time = lambda: self.now
        test.addCleanup(setattr, loop, "time", original)


async def call(gate, service):
    """Send one call through the gate; it fails while the service is down."""
    async with gate.admit(float("inf")):
        service.received += 1
        if service.down:
            raise CallFailed("down")


class Service:
    """Fake platform service that counts the calls it receives."""

    def __init__(self):
        self.received = 0
        self.down = False


class CallGateTest(unittest.IsolatedAsyncioTestCase):
    """Guards against overload of a service that is down or recovering.

    Every daemon of a fleet calls the same service, so retries and probes add up.
    """

    async def test_long_poll_keeps_no_other_call_waiting(self):
        """Guards against calls that fail while the service does nothing.

        After an outage one call at a time is admitted, and that was the long poll.
        """
        service = Service()
        gate = CallGate("store", GateLimits(concurrency=1))
        async with gate.admit(float("inf"), waits=True):
            await asyncio.wait_for(call(gate, service), 1.0)
        self.assertEqual((service.received, gate.in_flight), (1, 0))

    async def test_long_poll_may_be_a_probe(self):
        """Guards against a service that is never called again by a long poll."""
        service = Service()
        service.down = True
        gate = CallGate("store", GateLimits(first_probe_delay_s=0.0))
        for _ in range(3):
            with self.assertRaises(CallFailed):
                await call(gate, service)
        self.assertTrue(gate.is_open)
        async with gate.admit(float("inf"), waits=True):
            with self.assertRaises(CallNotSent):
                await call(gate, service)
        self.assertEqual((gate.is_open, gate.in_flight), (False, 0))

    async def test_urgent_call_does_not_wait_for_a_probe(self):
        """Guards against a write that is kept back after the service has recovered.

        Another call may hold the only probe until its long time limit.
        """
        service = Service()
        service.down = True
        gate = CallGate("table")
        for _ in range(4):
            with self.assertRaises((CallFailed, CallNotSent)):
                await call(gate, service)
        self.assertTrue(gate.is_open)
        service.down = False
        received = service.received
        async with gate.admit(float("inf"), urgent=True):
            service.received += 1
        self.assertEqual(service.received, received + 1)
        self.assertEqual(gate.in_flight, 0)
        with self.assertRaises(CallNotSent):
            await call(gate, service)

    async def test_outage_is_probed_by_few_calls_at_different_times(self):
        clock = Clock(self)
        service = Service()
        service.down = True
        gates = [CallGate("table", rng=random.Random(n)) for n in range(50)]
        by_step = []
        for _ in range(600):
            before = service.received
            for gate in gates:
                for _ in range(2):
                    with self.assertRaises((CallFailed, CallNotSent)):
                        await call(gate, service)
            by_step.append(service.received - before)
            clock.now += 0.1
        # 60,000 calls are attempted in 60 s. Each gate admits 3 calls before its
        # circuit opens, then about 6 probes with growing delays, then on average one
        # every 5 s.
        self.assertLess(service.received, 50 * 30)
        self.assertLess(max(by_step[300:]), 10)

    async def test_concurrency_limit_grows_from_one_after_recovery(self):
        clock = Clock(self)
        service = Service()
        gate = CallGate("table", GateLimits(concurrency=16))
        service.down = True
        for _ in range(3):
            with self.assertRaises(CallFailed):
                await call(gate, service)
        with self.assertRaises(CallNotSent):
            await call(gate, service)
        clock.now += 1
        service.down = False
        await call(gate, service)
        self.assertEqual((gate.is_open, gate.concurrency_limit), (False, 1))
        for expected in range(2, 20):
            await call(gate, service)
            self.assertEqual(gate.concurrency_limit, min(16, expected))

    async def test_open_circuit_admits_one_probe_at_a_time(self):
        clock = Clock(self)
        gate = CallGate("table", GateLimits(failure_threshold=1))
        with self.assertRaises(CallFailed):
            async with gate.admit(1):
                raise CallFailed("down")
        clock.now += 1
        async with gate.admit(2):
            with self.assertRaises(CallNotSent):
                async with gate.admit(2):
                    pass

    async def test_call_after_a_cancelled_probe_is_a_probe(self):
        clock = Clock(self)
        service = Service()
        gate = CallGate("table", GateLimits(failure_threshold=1))
        service.down = True
        with self.assertRaises(CallFailed):
            await call(gate, service)
        clock.now += 1
        with self.assertRaises(asyncio.CancelledError):
            async with gate.admit(2):
                raise asyncio.CancelledError
        service.down = False
        await call(gate, service)
        self.assertFalse(gate.is_open)

    async def test_queue_is_bounded_and_emptied_when_the_circuit_opens(self):
        gate = CallGate("table", GateLimits(1, max_waiting=2, failure_threshold=1))
        service = Service()
        with self.assertRaises(CallFailed):
            async with gate.admit(float("inf")):
                waiting = [asyncio.create_task(call(gate, service)) for _ in range(3)]
                await asyncio.sleep(0)
                with self.assertRaises(CallNotSent):
                    await waiting[2]
                raise CallFailed("down")
        results = await asyncio.gather(*waiting, return_exceptions=True)
        self.assertEqual([type(result) for result in results], [CallNotSent] * 3)
        self.assertEqual((service.received, gate.in_flight), (0, 0))

    async def test_waiting_call_is_refused_at_its_deadline(self):
        gate = CallGate("table", GateLimits(1))
        async with gate.admit(float("inf")):
            with self.assertRaisesRegex(CallNotSent, "deadline"):
                async with gate.admit(0):
                    pass
        self.assertEqual((len(gate.waiters), gate.in_flight), (0, 0))
