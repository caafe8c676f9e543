"""Tests of routes with large responses, on loopback addresses."""

import asyncio
import unittest

from goldcresthoist.node.call_execution import MAX_WHOLE_ANSWER_BYTES
from goldcresthoist.node.tests.loopback_cluster import (
    LoopbackCluster,
    read_answer,
    wait_until,
)
from goldcresthoist.node.transfers import CALL_BYTES
from goldcresthoist.tests.standins.platform_target import response_seal

PACK_BYTES = 300_000


def held_bytes(node):
    """Return the bytes of responses that a daemon received and has not passed on."""
    links = [peer.link for peer in node.links.peers.values() if peer.link]
    return sum(call.body.size for link in links for call in link.calls.values())


class LargeResponseTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.site = LoopbackCluster(["listen", "listen", "ledger"])
        await self.site.start()
        self.addAsyncCleanup(self.site.stop)
        self.first, self.second, self.third = self.site.ips
        self.transfers = [node.transfers for node in self.site.nodes.values()]

    def assert_complete(self, request_id, answer, size):
        """Check that the response is the whole one of an upstream."""
        self.assertEqual(answer.status, 200)
        identity, _, rest = answer.body.partition(b" of ")
        self.assertEqual(rest, request_id.encode() + bytes(size))
        seal = response_seal(identity.decode(), request_id, answer.body)
        self.assertEqual(answer.headers["response-seal"], seal)

    async def test_sizes_on_both_sides_of_each_limit(self):
        """Guards against a response that loses or repeats bytes on one of the paths."""
        for size in (0, 60_000, 70_000, PACK_BYTES, MAX_WHOLE_ANSWER_BYTES, 2_000_000):
            for ip in self.site.ips:
                found = await self.site.call(ip, f"/pack/1?size={size}")
                self.assert_complete(*found, size)
        self.assertEqual([budget.used for budget in self.transfers], [0, 0, 0])

    async def test_response_that_breaks_off_is_retried(self):
        """Guards against half of a response after which the caller gets a reset.

        Nothing of it has been sent, so another upstream can still respond.
        """
        target = self.site.targets[self.first]
        target.breaks = 1
        async with asyncio.timeout(20.0):
            while target.breaks:
                found = await self.site.call(self.third, f"/pack/1?size={PACK_BYTES}")
                self.assert_complete(*found, PACK_BYTES)

    async def test_broken_response_never_looks_complete(self):
        """Guards against a success with a part of the body.

        The response is too large to be buffered, so its start has been sent.
        """
        size = 4 * MAX_WHOLE_ANSWER_BYTES
        path = f"/pack/1?size={size}&fault=truncate"
        _, answer = await self.site.call(self.third, path)
        self.assertEqual(answer.status, 0)

    async def test_memory_for_slow_callers_is_bounded(self):
        """Guards against daemons that end because many callers read slowly.

        Those beyond the budget are refused at once and told when to come back.
        """
        node = self.site.nodes[self.third]
        node.transfers.limit = 2 * CALL_BYTES
        head = (
            b"GET /pack/1?size=5000000 HTTP/1.1\r\nHost: site.example\r\n"
            b"Request-Id: slow-%d\r\nDeadline-Ms: 20000\r\n\r\n"
        )
        writers = []
        for number in range(2):
            _, writer = await asyncio.open_connection(self.third, 8629, limit=1024)
            writer.write(head % number)
            writers.append(writer)
        await wait_until(lambda: node.transfers.used == 2 * CALL_BYTES)
        await wait_until(lambda: len(self.site.runs()) >= 2)
        reader, writer = await asyncio.open_connection(self.third, 8629)
        writer.write(head % 9)
        answer = await read_answer(reader)
        writers.append(writer)
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.assertNotIn("slow-9", self.site.runs())
        await wait_until(lambda: held_bytes(node) > 0)
        self.assertLessEqual(held_bytes(node), node.transfers.used)
        for writer in writers:
            writer.close()
        await wait_until(lambda: node.transfers.used == 0)


if __name__ == "__main__":
    unittest.main()
