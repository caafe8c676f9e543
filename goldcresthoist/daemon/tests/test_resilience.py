"""Tests of retries, hedges, crashes and draining with several upstreams."""

import asyncio
import unittest
from time import monotonic

from goldcresthoist.daemon.tests.builders import RoutingCase
from goldcresthoist.tests.cluster import eventually
from goldcresthoist.tests.fakes import FakeLedger
from goldcresthoist.upstreams import UpstreamUnreachable


def total_started(nodes):
    """Return how many requests the upstream stand-ins of the nodes have started."""
    return sum(node.standin.counts["started"] for node in nodes)


def refreshed_view(node):
    """Return the current view that a node has of ``lookup-0``."""
    route = node.router.routes["lookup"]
    route.refresh(monotonic())
    return route.views.get("lookup-0")


class RetryTest(RoutingCase):
    """Guards against failures that a retry would have avoided, and retry storms."""

    async def test_read_is_retried_when_an_upstream_fails(self):
        for faults in ({"fault": "close"}, {"status": 503}, {"fault": "garbage"}):
            with self.subTest(faults=faults):
                entry, upstreams = await self.start_path(2, retry_share=1.0)
                upstreams[0].standin.faults = faults
                caller = await self.caller(entry)
                for _ in range(30):
                    answer = await caller.call("GET", "/lookup/items")
                    self.assertEqual(answer.status, 200)
                failed = upstreams[0].standin.counts["started"]
                self.assertEqual(entry.counters.total("retries"), failed)

    async def test_retries_stay_within_the_budget_when_all_upstreams_fail(self):
        entry, upstreams = await self.start_path(3)
        for upstream in upstreams:
            upstream.standin.faults = {"status": 503}
        caller = await self.caller(entry)
        calls = 200
        for _ in range(calls):
            answer = await caller.call("GET", "/lookup/items")
            self.assertIn(answer.status, (502, 503))
        self.assertLessEqual(total_started(upstreams), 1.1 * calls)
        self.assertGreater(entry.counters.total("retries_denied"), 0)

    async def test_upstream_that_is_down_is_avoided_until_it_returns(self):
        entry, upstreams = await self.start_path(2, retry_share=0.0)
        down = upstreams[0]
        for node in (entry, upstreams[1], down):
            caller = await self.caller(node)
            await caller.call("GET", "/lookup/items")
        port = down.upstream.port
        down.standin.abort_all()
        with self.assertRaises(UpstreamUnreachable):
            await down.upstream.acquire()
        for node in (entry, upstreams[1], down):
            caller = await self.caller(node)
            await eventually(lambda: refreshed_view(node).draining)
            for _ in range(10):
                answer = await caller.call("GET", "/lookup/items")
                self.assertEqual(answer.status, 200)
        await down.standin.listen("127.0.0.1", port)
        for node in (entry, upstreams[1], down):
            await eventually(lambda: not refreshed_view(node).draining)

    async def test_refused_at_most_once_work_runs_at_another_upstream(self):
        entry, upstreams = await self.start_path(
            2, ledger=FakeLedger(), retry_share=1.0
        )
        unconfigured = upstreams[0]
        unconfigured.configurations.services.clear()
        caller = await self.caller(entry)
        for number in range(20):
            headers = [("Idempotency-Key", f"k{number}")]
            answer = await caller.call("POST", "/lookup/settle", headers, b"1")
            self.assertEqual(answer.status, 200)
        self.assertEqual(upstreams[1].standin.counts["started"], 20)
        self.assertEqual(unconfigured.standin.counts["started"], 0)

    async def test_large_body_is_resent_after_a_refusal(self):
        entry, upstreams = await self.start_path(2, retry_share=1.0)
        upstreams[0].configurations.services.clear()
        caller = await self.caller(entry)
        body = b"0123456789abcdef" * 50_000
        for _ in range(5):
            answer = await caller.call("PUT", "/lookup/items?echo=1", (), body)
            self.assertEqual(answer.body, body)

    async def test_read_is_retried_when_its_daemon_ends(self):
        entry, upstreams = await self.start_path(2, retry_share=1.0)
        caller = await self.caller(entry)
        caller.send("GET", "/lookup/items?ms=300")
        await eventually(lambda: total_started(upstreams) == 1)
        for upstream in upstreams:
            if upstream.standin.counts["started"]:
                await upstream.link_server.close()
        answer = await caller.answer()
        self.assertEqual(answer.status, 200)
        self.assertEqual(total_started(upstreams), 2)

    async def test_unresponsive_peer_gets_no_new_work(self):
        entry, upstreams = await self.start_path(2)
        caller = await self.caller(entry)
        await caller.call("GET", "/lookup/items")
        peers = entry.router.routes["lookup"].peers
        await eventually(lambda: all(peer.link for peer in peers.values()))
        unresponsive = peers["lookup-0"]
        await eventually(lambda: unresponsive.link.ready)
        unresponsive.task.cancel()
        unresponsive.link.unanswered_ping_age = lambda now: 1.5
        before = upstreams[0].standin.counts["started"]
        for _ in range(20):
            answer = await caller.call("GET", "/lookup/items")
            self.assertEqual(answer.status, 200)
        self.assertEqual(upstreams[0].standin.counts["started"], before)


class HedgeTest(RoutingCase):
    """Guards against reads that wait for a slow upstream.

    Also guards against the slower of two copies continuing after the other responded.
    """

    async def test_slow_read_is_hedged_and_the_loser_cancelled(self):
        entry, upstreams = await self.start_path(
            2, usual_s=0.005, retry_share=1.0, hedge_share=1.0
        )
        slow = upstreams[0].standin
        caller = await self.caller(entry)
        for _ in range(40):
            await caller.call("GET", "/lookup/items")
        slow.faults = {"delay_ms": 15_000}
        while not slow.counts["cancelled"]:
            answer = await caller.call("GET", "/lookup/items")
            self.assertEqual(answer.status, 200)
        self.assertGreater(entry.counters.total("hedges"), 0)
        await upstreams[0].server.wait_until_idle()


class CrashSuspectTest(RoutingCase):
    """Guards against one request that crashes several upstreams, one after another.

    Each retry of such a request, and each repetition by its caller, would crash another
    upstream.
    """

    async def test_request_is_refused_after_two_crashes(self):
        entry, upstreams = await self.start_path(4, retry_share=1.0)
        for upstream in upstreams:
            upstream.standin.faults = {"crash_on": "poison"}
        caller = await self.caller(entry)
        for number in range(30):
            await caller.call("GET", f"/lookup/items/{number}")
        for _ in range(3):
            answer = await caller.call("GET", "/lookup/items/poison")
            self.assertEqual((answer.status, answer.code), (422, "crash-suspect"))
        crashed = [u for u in upstreams if not u.standin.listener.is_serving()]
        self.assertEqual(len(crashed), 2)
        suspects = [u.counters.total("crash_suspects") for u in upstreams]
        self.assertTrue(all(count >= 1 for count in suspects), suspects)
        answer = await caller.call("GET", "/lookup/items/fine")
        self.assertEqual(answer.status, 200)

    async def test_other_requests_survive_a_crash(self):
        entry, upstreams = await self.start_path(2, retry_share=1.0)
        for upstream in upstreams:
            upstream.standin.faults = {"crash_on": "poison"}
        callers = [await self.caller(entry) for _ in range(8)]
        await callers[0].call("GET", "/lookup/items")
        for number, caller in enumerate(callers):
            caller.send("GET", f"/lookup/items/{number}?ms=200")
        await eventually(lambda: total_started(upstreams) == 9)
        upstreams[0].standin.crash()
        for caller in callers:
            answer = await caller.answer()
            self.assertEqual(answer.status, 200)

    async def test_closed_connection_is_no_crash(self):
        entry, upstreams = await self.start_path(2, retry_share=1.0)
        caller = await self.caller(entry)
        for _ in range(3):
            await caller.call("GET", "/lookup/items?fault=close")
        for node in (entry, *upstreams):
            self.assertEqual(node.counters.total("crash_suspects"), 0)
            self.assertEqual(node.counters.total("upstream_crashes"), 0)

    async def test_crash_during_at_most_once_work_is_unknown(self):
        entry, upstreams = await self.start_path(2, ledger=FakeLedger())
        for upstream in upstreams:
            upstream.standin.faults = {"crash_on": "poison"}
        caller = await self.caller(entry)
        headers = [("Idempotency-Key", "k1")]
        answer = await caller.call("POST", "/lookup/settle/poison", headers)
        self.assertEqual((answer.status, answer.outcome), (502, "unknown"))
        self.assertEqual(sum(u.standin.runs["k1"] for u in upstreams), 1)


class DrainTest(RoutingCase):
    """Guards against planned stops that interrupt requests.

    This happens when a draining node stops running calls, or when new calls are still
    sent to it and fail.
    """

    async def test_planned_stop_interrupts_no_request(self):
        entry, upstreams = await self.start_path(2, retry_share=0.0)
        draining_node = upstreams[0]
        statuses = []

        async def keep_calling():
            caller = await self.caller(entry)
            while draining_node in running:
                answer = await caller.call("GET", "/lookup/items?ms=5")
                statuses.append(answer.status)

        running = {draining_node}
        callers = [asyncio.create_task(keep_calling()) for _ in range(6)]
        await eventually(lambda: draining_node.standin.counts["started"] > 5)
        draining_node.start_draining()
        await draining_node.server.wait_until_idle()
        started = draining_node.standin.counts["started"]
        done = len(statuses)
        await eventually(lambda: len(statuses) > done + 50)
        running.clear()
        await asyncio.gather(*callers)
        self.assertEqual(set(statuses), {200})
        self.assertEqual(draining_node.standin.counts["started"], started)

    async def test_running_request_body_completes_and_new_calls_are_refused(self):
        entry, (upstream,) = await self.start_path(1)
        caller = await self.caller(upstream)
        size = 500_000
        caller.write(b"PUT /lookup/items HTTP/1.1\r\nHost: a\r\n")
        caller.write(b"Content-Length: %d\r\n\r\n" % size + bytes(size // 2))
        await eventually(lambda: upstream.standin.counts["started"] == 1)
        upstream.start_draining()
        late = await self.caller(upstream)
        answer = await late.call("GET", "/lookup/items")
        self.assertEqual((answer.status, answer.code), (503, "draining"))
        self.assertEqual(answer.headers["connection"], "close")
        caller.write(bytes(size // 2))
        answer = await caller.answer()
        self.assertEqual(answer.json()["received"], size)
        await upstream.server.wait_until_idle()


if __name__ == "__main__":
    unittest.main()
