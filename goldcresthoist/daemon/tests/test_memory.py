"""Tests of the memory use of daemons during large transfers."""

import unittest

import psutil

from goldcresthoist.config import Repeatable
from goldcresthoist.tests.cluster import RawCaller
from goldcresthoist.tests.processes import (
    Processes,
    make_member,
    make_plan,
    make_rule,
    make_service,
)

MIB = 1024 * 1024
TRANSFER_BYTES = 128 * MIB
MAX_GROWTH_BYTES = 16 * MIB
CHUNK = bytes(MIB)


def memory_of(processes):
    """Return the resident set size of each process, in bytes."""
    return [psutil.Process(process.pid).memory_info().rss for process in processes]


class TransferMemoryTest(unittest.IsolatedAsyncioTestCase):
    """Guards against bodies that accumulate in a daemon when the receiver is slower.

    This happens when a daemon goes on reading a body although it cannot send on what it
    has read.
    """

    async def test_large_bodies_are_not_buffered_completely(self):
        service = make_service(
            "lookup",
            make_rule(longest_s=600.0),
            make_rule("put", "PUT", "/", Repeatable(), longest_s=600.0),
        )
        with Processes() as processes:
            _, port = processes.start_upstream()
            members = [make_member("front-1", "front"), make_member("l-1", "lookup")]
            plans = [make_plan(m, port, members, [service]) for m in members]
            nodes = [processes.start_node(plan) for plan in plans]
            caller = await RawCaller.connect(plans[0].caller_address)
            await caller.call("GET", "/lookup/a")
            before = memory_of(nodes)
            await self._download(caller, nodes, before)
            await self._upload(caller, nodes, before)
            await caller.close()

    def _check(self, nodes, before):
        for current, start in zip(memory_of(nodes), before):
            self.assertLess(current - start, MAX_GROWTH_BYTES)

    async def _download(self, caller, nodes, before):
        caller.send("GET", f"/lookup/a?size={TRANSFER_BYTES}")
        await caller.reader.readuntil(b"\r\n\r\n")
        for _ in range(TRANSFER_BYTES // MIB):
            await caller.reader.readexactly(MIB)
            self._check(nodes, before)

    async def _upload(self, caller, nodes, before):
        caller.write(b"PUT /lookup/a HTTP/1.1\r\nHost: a\r\n")
        caller.write(b"Content-Length: %d\r\n\r\n" % TRANSFER_BYTES)
        for _ in range(TRANSFER_BYTES // MIB):
            caller.write(CHUNK)
            await caller.writer.drain()
            self._check(nodes, before)
        answer = await caller.answer()
        self.assertEqual(answer.json()["received"], TRANSFER_BYTES)


if __name__ == "__main__":
    unittest.main()
