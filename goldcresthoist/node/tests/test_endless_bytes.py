"""Tests of real daemons against peers that send bytes without end."""

import asyncio
import unittest

import psutil

from goldcresthoist.node.tests.loopback_cluster import LoopbackCluster, read_answer
from goldcresthoist.tests.soak.fleet import SoakFleet
from goldcresthoist.tests.standins.platform_target import (
    ENDLESS_BODIES,
    ENDLESS_FAULTS,
    ENDLESS_STARTS,
)

MIB = 1024 * 1024
# What a peer sends at most before the test gives up.
SENT_BYTES = 64 * MIB
MAX_GROWTH_BYTES = 8 * MIB
PIECE = 64 * 1024

CHUNKED_UPLOAD = (
    b"POST /write/1 HTTP/1.1\r\nHost: site.example\r\nRequest-Id: q\r\n"
    b"Deadline-Ms: 20000\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
)


class EndlessBytesTest(unittest.IsolatedAsyncioTestCase):
    """Guards against memory or time that any peer can take from a daemon.

    The parser library keeps a trailer line until it ends, so that one connection could
    end a daemon on an instance with 200 MB.
    """

    async def asyncSetUp(self):
        self.fleet = SoakFleet(["listen", "ledger"])
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)
        self.ip = self.fleet.ips[0]
        self.serving = psutil.Process(self.fleet.processes[self.ip].pid)

    async def test_callers(self):
        runs = self.fleet.runs()
        cases = {
            "trailer line": (CHUNKED_UPLOAD + b"0\r\nx: ", b"a"),
            "trailer lines": (CHUNKED_UPLOAD + b"0\r\n", b"x: 1234\r\n"),
            "chunk extension": (CHUNKED_UPLOAD + b"1;x=", b"a"),
            "line ends": (b"", b"\r\n"),
            "header line": (b"GET /read/1 HTTP/1.1\r\nx: ", b"a"),
            "header lines": (b"GET /read/1 HTTP/1.1\r\n", b"x: 1234\r\n"),
            "target": (b"GET /read/", b"a"),
        }
        for name, (start, repeated) in cases.items():
            with self.subTest(name):
                before = self.serving.memory_info().rss
                answer = await self._send_without_end(start, repeated)
                self.assertEqual(answer.status, 431)
                growth = self.serving.memory_info().rss - before
                self.assertLess(growth, MAX_GROWTH_BYTES)
        self.assertEqual(self.fleet.runs(), runs)
        _, answer = await self.fleet.call(self.ip, "/read/1")
        self.assertEqual(answer.status, 200)

    async def test_upstreams(self):
        for fault in (
            "endless-head",
            "endless-line",
            "endless-interim",
            "endless-trailer",
            "endless-extension",
            "endless-other",
            "endless-refusal",
            "endless-tiny-chunks",
            *ENDLESS_STARTS,
        ):
            with self.subTest(fault):
                before = self.serving.memory_info().rss
                started = asyncio.get_running_loop().time()
                _, answer = await self.fleet.call(
                    self.ip, f"/read/1?fault={fault}", wait_ms=20000
                )
                refused = fault == "endless-refusal"
                self.assertEqual(answer.status, 503 if refused else 502)
                # The route's time-out would end the request too.
                taken_s = asyncio.get_running_loop().time() - started
                self.assertLess(taken_s, 1.5)
                growth = self.serving.memory_info().rss - before
                self.assertLess(growth, MAX_GROWTH_BYTES)
        self.assertTrue(self.serving.is_running())

    async def test_bodies(self):
        """Guards against the memory of a body that does not end, at either daemon.

        One caller reads all of it, another one stops reading.
        """
        processes = [
            psutil.Process(process.pid) for process in self.fleet.processes.values()
        ]
        for fault in ENDLESS_BODIES:
            for entry in self.fleet.ips:
                with self.subTest(fault, entry=entry):
                    before = [process.memory_info().rss for process in processes]
                    url = f"/read/1?fault={fault}"
                    stalled = await self._send_and_stall(entry, url)
                    _, answer = await self.fleet.call(entry, url, wait_ms=20000)
                    self.assertEqual(answer.status, 0, answer.body)
                    after = [process.memory_info().rss for process in processes]
                    stalled.transport.abort()
                    for old, new in zip(before, after):
                        self.assertLess(new - old, MAX_GROWTH_BYTES)

    async def _send_and_stall(self, ip, path):
        """Send a request and never read the response; return the writer."""
        _, writer = await asyncio.open_connection(ip, 8629, limit=1024)
        lines = [f"GET {path} HTTP/1.1", "Host: site.example", "Request-Id: stalled"]
        lines.append("Deadline-Ms: 20000")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        return writer

    async def _send_without_end(self, start, repeated):
        """Send a start and repeated bytes until the daemon answers or ends."""
        reader, writer = await asyncio.open_connection(self.ip, 8629)
        piece = repeated * (PIECE // len(repeated))
        answer = asyncio.create_task(read_answer(reader))
        try:
            writer.write(start)
            for _ in range(SENT_BYTES // PIECE):
                writer.write(piece)
                await asyncio.wait((answer,), timeout=0.001)
                if answer.done():
                    break
                await writer.drain()
            return await answer
        finally:
            writer.transport.abort()


class EndlessHealthCheckTest(unittest.IsolatedAsyncioTestCase):
    async def test_health_checks(self):
        """Guards against health checks that read for ever, or keep what they read."""
        fleet = LoopbackCluster(["listen"])
        await fleet.start()
        self.addAsyncCleanup(fleet.stop)
        node, target = fleet.nodes[fleet.ips[0]], fleet.targets[fleet.ips[0]]
        for fault in (*ENDLESS_FAULTS, *ENDLESS_STARTS):
            with self.subTest(fault):
                target.health_fault = fault
                async with asyncio.timeout(1.0):
                    await node.server.probe._probe_once()
                held = [item for item in node.pool.connections if item.answer]
                self.assertEqual(held, [])


if __name__ == "__main__":
    unittest.main()
