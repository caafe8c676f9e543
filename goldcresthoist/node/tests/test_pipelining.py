"""Tests of pipelined requests through daemons on loopback addresses."""

import asyncio
import unittest
from time import monotonic

from goldcresthoist.node.tests.loopback_cluster import (
    LoopbackCluster,
    configuration,
    read_answer,
    wait_until,
)


class PipeliningTest(unittest.IsolatedAsyncioTestCase):
    """Two upstreams for reads, with four slots each, and one for writes."""

    async def asyncSetUp(self):
        self.site = LoopbackCluster(["listen", "listen", "ledger"])
        await self.site.start()
        self.addAsyncCleanup(self.site.stop)
        self.entry = self.site.nodes[self.site.ips[0]]

    async def pipeline(self, *paths):
        """Send requests with the ids p0, p1, ... on one connection.

        Returns the reader and the writer of the connection.
        """
        reader, writer = await asyncio.open_connection(self.site.ips[0], 8629)
        self.addCleanup(writer.close)
        for number, path in enumerate(paths):
            writer.write(request(number, path))
        return reader, writer

    async def check_answers(self, reader, count):
        """Check that the next responses are those to p0, p1, ..."""
        for number in range(count):
            answer = await read_answer(reader)
            self.assertEqual(answer.status, 200)
            self.assertTrue(answer.body.endswith(b" of p%d" % number), answer.body)

    async def test_reads_run_concurrently(self):
        """Guards against pipelined reads that wait for each other."""
        started = monotonic()
        reader, _ = await self.pipeline(*(f"/read/{n}?ms=100" for n in range(10)))
        await self.check_answers(reader, 10)
        self.assertLess(monotonic() - started, 0.6)
        self.assertEqual(sorted(self.site.runs()), [f"p{n}" for n in range(10)])

    async def test_writes_run_alone(self):
        """Guards against a write beside other requests of its connection."""
        paths = ["/read/0?ms=80", "/write/1?ms=80", "/read/2?ms=80", "/read/3?ms=80"]
        reader, _ = await self.pipeline(*paths)
        await self.check_answers(reader, 4)
        starts = {}
        for target in self.site.targets.values():
            starts.update({run[0]: run[1] for run in target.runs})
        self.assertGreater(starts["p1"] - starts["p0"], 0.08)
        self.assertGreater(starts["p2"] - starts["p1"], 0.08)
        self.assertLess(abs(starts["p3"] - starts["p2"]), 0.06)

    async def test_broken_response_loses_no_write(self):
        """Guards against writes behind a response that ends the connection."""
        paths = ["/pack/0?fault=truncate&size=4000000", "/write/1", "/read/2"]
        reader, _ = await self.pipeline(*paths)
        self.assertEqual((await read_answer(reader)).status, 0)
        await wait_until(lambda: not self.entry.caller_server.connections)
        self.assertNotIn("p1", self.site.runs())

    async def test_caller_that_leaves(self):
        """Guards against upstream work for a caller that left."""
        _, writer = await self.pipeline(*(f"/read/{n}?ms=1500" for n in range(8)))
        await wait_until(lambda: len(self.site.runs()) >= 6)
        writer.close()
        started = monotonic()
        targets = self.site.targets.values()
        await wait_until(lambda: not any(target.running for target in targets))
        self.assertLess(monotonic() - started, 1.0)
        self.assertEqual(self.entry.entry.in_progress, 0)

    async def test_withdrawn_route(self):
        """Guards against the use of a withdrawn configuration on open connections."""
        reader, writer = await self.pipeline("/read/0?ms=1000")
        await wait_until(lambda: self.site.runs())
        document = configuration(2)
        document["routes"][0]["kind"] = "non_idempotent"
        self.site.configure(document)
        nodes = self.site.nodes.values()
        await wait_until(lambda: all(node.watch.version == 2 for node in nodes))
        self.assertEqual(self.entry.entry.in_progress, 1)
        writer.write(request(1, "/read/1") + request(2, "/read/2"))
        await asyncio.sleep(0.1)
        self.assertEqual(self.site.runs(), ["p0"])
        await self.check_answers(reader, 3)

    async def test_refusal_of_a_stopping_daemon(self):
        """Guards against requests that are forwarded behind a closing refusal."""
        lines = []
        event = self.entry.log.event
        self.entry.log.event = lambda name, **fields: (
            lines.append((name, fields)),
            event(name, **fields),
        )
        reader, writer = await self.pipeline("/read/0?ms=300", "/read/1?ms=300")
        await wait_until(lambda: len(self.site.runs()) == 2)
        self.entry.entry.start_stopping(_Closed(monotonic() + 5.0))
        writer.write(request(2, "/read/2") + request(3, "/read/3"))
        await self.check_answers(reader, 2)
        refusal = await read_answer(reader)
        self.assertEqual(refusal.status, 503)
        self.assertEqual(refusal.headers["connection"], "close")
        self.assertEqual(await reader.read(), b"")
        writer.close()
        name = "pipelined requests dropped"
        await wait_until(lambda: (name, {"cancelled": 0, "unread": 1}) in lines)
        self.assertNotIn("p3", self.site.runs())


class _Closed:
    """`StopDeadlines` of a daemon that takes no more requests."""

    def __init__(self, cut_off_at):
        self.cut_off_at = cut_off_at

    def accepts_request(self, now, deadline):
        """Return whether a request is still accepted."""
        return False


def request(number, path):
    """Return the bytes of a request with the id ``p<number>``."""
    method = "POST" if path.startswith("/write") else "GET"
    head = f"{method} {path} HTTP/1.1\r\nHost: site.example\r\n"
    if method == "POST":
        head += "Content-Length: 0\r\n"
    return f"{head}Request-Id: p{number}\r\n\r\n".encode()


if __name__ == "__main__":
    unittest.main()
