"""Tests of requests through daemons, upstreams and a store on loopback addresses."""

import asyncio
import json
import unittest
from collections import Counter
from time import monotonic

from goldcresthoist.balance.slots import PACE_MAX_AGE_S
from goldcresthoist.fleet.registration import MEMBER_PREFIX, MEMBER_TABLE
from goldcresthoist.node.assembly import METRICS_PORT
from goldcresthoist.node.lifecycle import drain
from goldcresthoist.node.tests.loopback_cluster import (
    LoopbackCluster,
    configuration,
    read_answer,
    wait_until,
)
from goldcresthoist.tests.standins.platform_target import response_seal


class PathTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.site = LoopbackCluster(["listen", "listen", "ledger"])
        await self.site.start()
        self.first, self.second, self.third = self.site.ips

    async def asyncTearDown(self):
        await self.site.stop()

    def assert_served(self, request_id, answer):
        """Check that the response is complete and belongs to this request."""
        self.assertEqual(answer.status, 200)
        identity, _, named = answer.body.decode().partition(" of ")
        self.assertEqual(named, request_id)
        seal = response_seal(identity, request_id, answer.body)
        self.assertEqual(answer.headers["response-seal"], seal)

    async def test_requests_of_each_kind(self):
        """Guards against a route kind that some instance does not serve."""
        for ip in self.site.ips:
            self.assert_served(*await self.site.call(ip, "/read/1"))
            self.assert_served(
                *await self.site.call(ip, "/write/1", "POST", b"x" * 300)
            )
            body = bytes(360_000)
            self.assert_served(*await self.site.call(ip, "/upload/1", "PUT", body))
        uploads = [
            run[3] for run in self.site.targets[self.third].runs if "upload" in run[2]
        ]
        self.assertEqual([len(body) for body in uploads], [360_000] * 3)

    async def test_late_refusal_does_not_end_the_next_offer(self):
        """Guards against "not run" for a request that an upstream is running.

        The upstream refused the request, then got it again on the same connection, and
        its refusal arrived once more, with the same id.
        """
        url = "/write/1?fault=late-refusal"
        _, answer = await self.site.call(self.first, url, "POST", request_id="again")
        self.assertEqual(answer.status, 503)
        pool = self.site.nodes[self.third].pool
        for connection in tuple(pool.idle):
            if connection.request_id != b"again":
                pool.idle.remove(connection)
                connection.close()
        _, answer = await self.site.call(
            self.first, "/write/1?ms=300", "POST", request_id="again"
        )
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.site.runs().count("again"), 1)

    async def test_response_that_ends_in_its_head_is_no_success(self):
        """Guards against a 200 with an empty body that is framed as whole."""
        for path, method in (("/write/1", "POST"), ("/read/1", "GET")):
            url = f"{path}?fault=half-head"
            _, answer = await self.site.call(self.first, url, method)
            self.assertEqual(answer.status, 502)

    async def test_repeated_request_keeps_its_soft_deadline(self):
        """Guards against a soft deadline that is extended by each repetition.

        Callers repeat a refused request; its soft deadline counts from the first time.
        """
        client_retries = self.site.nodes[self.first].entry.client_retries
        _, answer = await self.site.call(self.first, "/read/1?fault=shed")
        self.assertEqual(answer.status, 503)
        ((first, _),) = client_retries.entries.values()
        await self.site.call(self.first, "/read/1?fault=shed")
        ((again, deadline),) = client_retries.entries.values()
        self.assertEqual(again, first)
        self.assertGreater(deadline, first)
        self.assert_served(*await self.site.call(self.first, "/read/2"))
        self.assertEqual(len(client_retries.entries), 1)

    async def test_upstream_that_refuses_at_random_looks_failing(self):
        """Guards against an upstream that is preferred because it refuses its calls.

        On the day scale-1 of large/tobar-mesh-large.toml, a part of the upstreams
        refuse 45% of their calls although slots are free. They look less loaded than
        the others, so they got more calls than these.
        """
        node = self.site.nodes[self.third]
        for number in range(10):
            _, answer = await self.site.call(self.third, f"/write/{number}?fault=shed")
            self.assertEqual(answer.status, 503)
        self.assertGreater(node.server.load_report().failure_share, 0.3)
        self.assertEqual(node.server.queue.paused_until, 0.0)

    async def test_upstream_in_a_slow_phase_gets_no_calls(self):
        """Guards against calls to an upstream in a slow phase of its instance.

        They would take 7 times their usual time, while another upstream is not slow.
        """
        gauge = self.site.nodes[self.first].server.queue.pace
        await wait_until(lambda: gauge.known)
        self.site.targets[self.first].pace = 700
        # Until the last pace sample is stale, calls may still start.
        await wait_until(lambda: gauge.is_stale(monotonic(), PACE_MAX_AGE_S))
        calls = [self.site.call(self.first, f"/read/{n}?ms=100") for n in range(3)]
        for found in await asyncio.gather(*calls):
            self.assert_served(*found)
        self.assertEqual(self.site.targets[self.first].runs, [])
        self.assertEqual(len(self.site.targets[self.second].runs), 3)

    async def test_stopping_daemon_still_serves_its_upstream(self):
        """Guards against unreachable upstreams while daemons are stopped one by one.

        In run scale-1 of the site tobar-mesh, three daemons of one service were stopped
        1.2 s apart and each refused calls for 3 s: 490 requests found no upstream.
        """
        node = self.site.nodes[self.third]
        stopping = asyncio.create_task(drain(node))
        await wait_until(lambda: not node.is_ready())
        self.assert_served(*await self.site.call(self.first, "/write/1", "POST"))
        await wait_until(lambda: node.server.draining)
        self.assertFalse(stopping.done())
        _, answer = await self.site.call(self.first, "/write/2", "POST")
        self.assertEqual(answer.status, 503)
        await stopping
        self.assertFalse(node.busy())

    async def test_unknown_kind_runs_once_and_the_rest_is_served(self):
        """Guards against one new kind that takes every route out of service."""
        document = configuration(2)
        document["routes"][0]["kind"] = "stream"
        self.site.configure(document)
        await wait_until(lambda: self.site.nodes[self.first].watch.version == 2)
        self.assert_served(*await self.site.call(self.first, "/read/1"))
        self.assert_served(*await self.site.call(self.first, "/write/1", "POST"))
        for fault in ("close", "shed"):
            await self.site.call(self.first, f"/read/2?fault={fault}")
        tried = [run for target in self.site.targets.values() for run in target.runs]
        self.assertEqual(sum("close" in run[2] for run in tried), 1)
        rejected = [target.rejected for target in self.site.targets.values()]
        self.assertEqual(sum(rejected), 1)
        status = await self.get_status(self.first)
        self.assertEqual(status["configuration_unknown"], ["kind 'stream'"])
        self.assertEqual(status["configuration_version"], 2)

    async def get_status(self, ip):
        """Return the status that the daemon shows to operators."""
        reader, writer = await asyncio.open_connection(ip, METRICS_PORT)
        writer.write(b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n")
        answer = await read_answer(reader)
        writer.close()
        return json.loads(answer.body)

    async def test_unknown_routes_are_refused(self):
        """Guards against requests that are forwarded although no route matches."""
        _, answer = await self.site.call(self.first, "/other/1")
        self.assertEqual(answer.status, 404)
        self.assertEqual(self.site.runs(), [])

    async def test_headers_over_the_limit(self):
        """Guards against unlimited memory use by request headers."""
        self.site.configure(configuration(2) | {"limits": {"max_header_bytes": 2000}})
        await wait_until(lambda: self.site.nodes[self.first].watch.version == 2)
        _, answer = await self.site.call(
            self.first, "/read/1", headers=[f"X-Long: {'y' * 3000}"]
        )
        self.assertEqual(answer.status, 431)

    async def test_body_over_the_limit(self):
        """Guards against request bodies over the configured limit."""
        self.site.configure(configuration(2) | {"limits": {"max_body_bytes": 100}})
        await wait_until(lambda: self.site.nodes[self.first].watch.version == 2)
        _, answer = await self.site.call(self.first, "/upload/1", "PUT", b"x" * 200)
        self.assertEqual(answer.status, 413)

    async def test_invalid_answers_are_not_relayed(self):
        """Guards against relaying a response that is incomplete or not sealed."""
        for fault in ("close", "truncate", "unsealed"):
            with self.subTest(fault=fault):
                _, answer = await self.site.call(self.first, f"/read/1?fault={fault}")
                # Both upstreams send an invalid response, so the retry fails too.
                self.assertEqual(answer.status, 502)

    async def test_surplus_answers_are_dropped(self):
        """Guards against bytes of an earlier response in that to a later request.

        The upstream sends a second response, which stays on the connection.
        """
        for _ in range(5):
            self.assert_served(*await self.site.call(self.first, "/read/1?fault=extra"))
            self.assert_served(*await self.site.call(self.first, "/read/2"))

    async def test_answer_without_length(self):
        """Guards against a complete response that is rejected for its framing.

        It has no length and ends with the connection.
        """
        self.assert_served(*await self.site.call(self.first, "/read/1?fault=unframed"))

    async def test_non_repeatable_request_runs_once(self):
        """Guards against a second execution after a lost response.

        The upstream closes the connection after it has executed the request.
        """
        request_id, answer = await self.site.call(
            self.first, "/write/1?fault=close", "POST", b"x"
        )
        self.assertEqual(answer.status, 502)
        self.assertEqual(Counter(self.site.runs())[request_id], 1)

    async def test_refusal_by_the_upstream_is_answered_with_503(self):
        """Guards against a 502 for a request that was certainly not executed.

        The upstream responds with 503 and states that it did not execute the request.
        """
        request_id, answer = await self.site.call(
            self.first, "/write/1?fault=shed", "POST", b"x"
        )
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.assertNotIn(request_id, self.site.runs())

    async def test_time_out_of_the_route(self):
        """Guards against a request that takes longer than its route's time-out."""
        self.site.configure(configuration(2, timeout_s=0.3))
        await wait_until(lambda: self.site.nodes[self.first].watch.version == 2)
        _, answer = await self.site.call(self.first, "/write/1?ms=5000", "POST", b"x")
        self.assertEqual(answer.status, 504)

    async def test_request_that_did_not_run_in_its_time_is_refused(self):
        """Guards against a 504 for a request that callers may repeat.

        Callers repeat a request that is not repeatable only after a refusal.
        """
        self.site.configure(configuration(2, timeout_s=0.3))
        await wait_until(lambda: self.site.nodes[self.first].watch.version == 2)
        reader, writer = await asyncio.open_connection(self.first, 8629)
        writer.write(
            b"POST /write/1 HTTP/1.1\r\nHost: site.example\r\nRequest-Id: late\r\n"
            b"Deadline-Ms: 3000\r\nContent-Length: 2\r\n\r\nx"
        )
        answer = await read_answer(reader)
        writer.close()
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.assertNotIn("late", self.site.runs())

    async def test_disconnected_caller_cancels_its_read(self):
        """Guards against reads that keep a slot after their caller disconnected."""
        task = asyncio.create_task(self.site.call(self.first, "/read/1?ms=20000"))
        await wait_until(lambda: any(t.running for t in self.site.targets.values()))
        task.cancel()
        await wait_until(lambda: not any(t.running for t in self.site.targets.values()))

    async def test_draining_upstream_gets_no_new_calls(self):
        """Guards against calls after the draining announcement is acknowledged."""
        target = self.site.targets[self.first]
        await target.drain()
        for _ in range(10):
            self.assert_served(*await self.site.call(self.first, "/read/1"))
        self.assertEqual(target.runs, [])

    async def test_daemon_of_a_departed_upstream_leaves_the_fleet(self):
        """Guards against a fleet that keeps every instance it ever had.

        A daemon that stops while its upstream runs stays a member, since it is back
        soon.
        """
        await self.site.targets[self.second].drain()
        for ip in (self.second, self.third):
            await drain(self.site.nodes[ip])
        directory = self.site.nodes[self.first].directory
        await wait_until(lambda: self.second not in directory.members)
        self.assertIn(self.third, directory.members)
        rows = self.site.store.keys(MEMBER_TABLE)
        self.assertNotIn(MEMBER_PREFIX + self.second, rows)
        self.assertIn(MEMBER_PREFIX + self.third, rows)

    async def test_departure_survives_a_daemon_restart(self):
        """Guards against calls to an upstream that departed before a daemon restart.

        After the restart, the daemon gets announcements of the same run that do not say
        that it drains, such as late ones.
        """
        target = self.site.targets[self.first]
        await target.drain()
        await self.site.stop_node(self.first)
        target.state = "ready"
        await self.site.start_node(self.first, "listen")
        await wait_until(
            lambda: self.site.nodes[self.first].own.identity or target.sequence > 15
        )
        _, answer = await self.site.call(self.second, "/read/1")
        self.assertEqual(answer.status, 200)
        self.assertEqual(target.runs, [])

    async def test_departure_that_nobody_remembers(self):
        """Guards against calls to an upstream that left in an outage of the store.

        All daemons are lost before the store is back, and an announcement arrives that
        the upstream had sent before it left.
        """
        target = self.site.targets[self.first]
        self.site.store.faults = {"down": True}
        await target.drain()
        target.heartbeat_task.cancel()
        target.healthy = False
        for ip in self.site.ips:
            await self.site.stop_node(ip)
        self.site.store.faults = {}
        for ip, service in zip(self.site.ips, self.site.services):
            await self.site.start_node(ip, service)
        own = self.site.nodes[self.first].own
        await wait_until(lambda: self.site.nodes[self.third].own.usable())
        target.state = "ready"
        self.assertTrue(await target.announce())
        await wait_until(lambda: own.identity is not None)
        for _ in range(10):
            await self.site.call(self.second, "/read/1")
            await asyncio.sleep(0.05)
        self.assertEqual(target.runs, [])
        self.assertFalse(own.usable())

    async def test_restarted_daemon_serves_calls(self):
        """Guards against a restarted daemon that gets no calls from the others.

        The links of the other daemons closed when it stopped and must be opened again.
        """
        await self.site.stop_node(self.third)
        _, answer = await self.site.call(self.first, "/write/1", "POST", b"x")
        self.assertEqual(answer.status, 503)
        await self.site.start_node(self.third, "ledger")
        await wait_until(self.site.settled)
        self.assert_served(*await self.site.call(self.first, "/write/1", "POST", b"x"))

    async def test_restarted_daemon_needs_no_announcement(self):
        """Guards against upstreams without calls until their next announcement.

        After a loss of all daemons, every upstream is in this state.
        """
        target = self.site.targets[self.third]
        target.heartbeat_task.cancel()
        await self.site.stop_node(self.third)
        await self.site.start_node(self.third, "ledger")
        await wait_until(self.site.settled)
        self.assert_served(*await self.site.call(self.first, "/write/1", "POST", b"x"))
        sequence = target.sequence
        await target.announce()
        self.assertEqual(target.sequence, sequence + 1)
        self.assertEqual(self.site.nodes[self.third].own.born_ms, target.born_ms)

    async def test_draining_upstream_is_not_discovered(self):
        """Guards against new calls to an upstream that leaves.

        Its health check fails then; the daemon that restarts knows nothing else.
        """
        target = self.site.targets[self.third]
        target.heartbeat_task.cancel()
        target.healthy = False
        await self.site.stop_node(self.third)
        node = await self.site.start_node(self.third, "ledger")
        probes = target.probes
        await wait_until(lambda: target.probes >= probes + 2)
        self.assertFalse(node.own.usable())

    async def test_configuration_reaches_all_daemons_and_is_not_downgraded(self):
        """Guards against daemons that keep using different versions.

        An older version in the store must not replace a newer one.
        """
        self.site.configure(configuration(5))
        await wait_until(
            lambda: all(n.watch.version == 5 for n in self.site.nodes.values())
        )
        self.site.configure(configuration(4))
        await asyncio.sleep(0.5)
        self.assertEqual({n.watch.version for n in self.site.nodes.values()}, {5})

    async def test_store_outage(self):
        """Guards against requests that depend on the store.

        A daemon that starts during the outage has no configuration and must refuse
        requests until the store returns.
        """
        self.site.store.faults = {"down": True}
        self.assert_served(*await self.site.call(self.first, "/read/1"))
        await self.site.stop_node(self.third)
        await asyncio.sleep(2.5)
        await self.site.start_node(self.third, "ledger")
        await asyncio.sleep(0.6)
        _, answer = await self.site.call(self.third, "/read/1")
        self.assertEqual(answer.status, 503)
        self.site.store.faults = {}
        await wait_until(self.site.settled)
        self.assert_served(*await self.site.call(self.third, "/read/1"))
