"""Tests of the memory of requests that crash the upstreams that run them."""

import asyncio
import time
import unittest

from goldcresthoist.fleet.messages import SuspectNotice
from goldcresthoist.node.tests.loopback_cluster import (
    LoopbackCluster,
    configuration,
    wait_until,
)

CRASHING = "/write/1?fault=crash"


class CrashSuspectTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = LoopbackCluster(["listen", "listen", "ledger"])
        await self.fleet.start()
        self.first, self.second, self.third = self.fleet.ips
        self.target = self.fleet.targets[self.third]

    async def asyncTearDown(self):
        await self.fleet.stop()

    async def crash(self, count=3, **request):
        """Let a request crash its upstream some times; the upstream is restarted."""
        runs = len(self.target.runs)
        for _ in range(count):
            # The service of the sender is a part of what identifies the request.
            await self.fleet.call(self.first, CRASHING, "POST", **request)
            self.target.born_ms = max(int(time.time() * 1000), self.target.born_ms + 1)
            self.target.sequence = 0
            await self.target.start()
            await wait_until(self.fleet.settled)
        self.assertEqual(len(self.target.runs), runs + count)

    def counts(self):
        """Return the crash counts that the serving daemon has, in order."""
        suspects = self.fleet.nodes[self.third].suspects.by_fingerprint.values()
        return sorted(item.count for item in suspects)

    async def assert_refused(self, ip):
        """Check that the request is refused at this daemon and does not run."""
        runs = len(self.target.runs)
        _, answer = await self.fleet.call(ip, CRASHING, "POST")
        self.assertEqual(answer.status, 503)
        self.assertIn(b"crash-suspect", answer.body)
        self.assertEqual(len(self.target.runs), runs)

    async def restart(self, ips):
        for ip in ips:
            await self.fleet.stop_node(ip)
        for ip in ips:
            await self.fleet.start_node(
                ip, self.fleet.services[self.fleet.ips.index(ip)]
            )
        await wait_until(self.fleet.settled)

    async def test_restarts_in_turn(self):
        """Guards against a crashing request that runs again after each restart.

        The daemon that restarts is the one that refused the request.
        """
        await self.crash()
        for ip in self.fleet.ips:
            await self.restart([ip])
            await self.assert_refused(self.first)

    async def test_loss_of_all_daemons(self):
        """Guards against a crashing request that runs again after a power failure."""
        await self.crash()
        await wait_until(
            lambda: (
                not any(
                    node.registration.pending_suspects
                    for node in self.fleet.nodes.values()
                )
            )
        )
        await self.restart(self.fleet.ips)
        await self.assert_refused(self.first)

    async def test_serving_daemon_that_missed_the_crashes(self):
        """Guards against a crashing request that runs where no datagram arrived."""
        await self.crash()
        self.fleet.nodes[self.third].suspects.by_fingerprint.clear()
        await self.assert_refused(self.first)

    async def test_entry_daemon_that_missed_the_crashes(self):
        """Guards against a crashing request that runs if its entry daemon is new."""
        await self.crash()
        self.fleet.nodes[self.first].suspects.by_fingerprint.clear()
        await self.assert_refused(self.first)

    async def test_outage_of_the_store(self):
        """Guards against crash counts that an outage keeps from the store."""
        self.fleet.store.faults = {"down": True}
        await self.crash()
        self.fleet.store.faults = {}
        await asyncio.sleep(1.0)
        await self.restart(self.fleet.ips)
        await self.assert_refused(self.first)

    async def test_request_that_succeeds_is_no_suspect(self):
        """Guards against a sound request that is refused for ten minutes.

        It ran while another one crashed the upstream, and daemons restart afterwards.
        """
        await self.crash(2)
        serving = self.fleet.nodes[self.third]
        (fingerprint,) = serving.suspects.by_fingerprint
        serving.suspects.end(fingerprint, True)
        serving.server.on_suspect(fingerprint, 0, 2)
        await wait_until(lambda: not serving.registration.pending_suspects)
        await self.restart(self.fleet.ips)
        counts = [node.suspects.by_fingerprint for node in self.fleet.nodes.values()]
        self.assertEqual(counts, [{}, {}, {}])

    async def test_other_host(self):
        """Guards against a crashing request that the answer of another host clears.

        The other host has other work at the same path, from the same callers.
        """
        document = configuration(2)
        route = next(item for item in document["routes"] if item["name"] == "write")
        document["routes"].append(route | {"name": "other", "host": "other.example"})
        self.fleet.configure(document)
        await wait_until(lambda: self.fleet.nodes[self.first].watch.version == 2)
        await self.crash(2)
        await self.crash(1, host="other.example")
        self.assertEqual(self.counts(), [1, 2])

    async def test_large_bodies(self):
        """Guards against a crashing upload that another one of its length clears."""
        await self.crash(2, body=b"a" * 20_000)
        await self.crash(1, body=b"b" * 20_000)
        self.assertEqual(self.counts(), [1, 2])

    async def test_report_does_not_extend_the_suspicion(self):
        """Guards against a suspicion that daemons pass on to each other for ever."""
        node = self.fleet.nodes[self.first]
        node.channel.handlers[SuspectNotice](
            SuspectNotice(b"mark", 3, 0.05), self.second
        )
        await asyncio.sleep(0.1)
        self.assertEqual(node.server.reported_suspects(), [])


if __name__ == "__main__":
    unittest.main()
