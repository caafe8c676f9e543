"""Tests of operations with the real clients against local protocol servers."""

import unittest

from goldcresthoist.operations import OperationLedger, UploadReceiver
from goldcresthoist.operations.results import AlreadyFinished, Appended, Started
from goldcresthoist.operations.tests.builders import chunks_of, deadline_in, sha256_of
from goldcresthoist.tests.platform_builders import make_object_client, make_table_client
from goldcresthoist.tests.standins.objects import ObjectsStandIn
from goldcresthoist.tests.standins.table import TableStandIn

MIB = 1024 * 1024


class ProtocolTest(unittest.IsolatedAsyncioTestCase):
    """Tests what could differ between the in-process fakes and the real protocols."""

    async def asyncSetUp(self):
        self.table = await self.enterAsyncContext(TableStandIn())
        self.objects = await self.enterAsyncContext(ObjectsStandIn())

    def make_ledger(self):
        clients = make_table_client(self.table), make_object_client(self.objects)
        for client in clients:
            self.addAsyncCleanup(client.close)
        return OperationLedger(*clients)

    async def test_operation_takes_two_writes_and_survives_a_lost_response(self):
        ledger = self.make_ledger()
        started = await ledger.start("s", "k", "d", "daemon-1", deadline_in(60))
        await ledger.finish(started, b"\x00", deadline_in(60))
        self.assertEqual(dict(self.table.calls), {"PutItem": 2, "total": 2})
        self.table.faults.lose_answers = 1
        lost = await ledger.start("s", "k2", "d", "daemon-1", deadline_in(60))
        self.assertIsInstance(lost, Started)
        self.assertEqual(await ledger.state("s", "k"), AlreadyFinished(b"\x00"))

    async def test_verification_reads_the_parts_only_if_daemons_shared_the_upload(self):
        body = bytes(range(256)) * (9 * MIB // 256)
        for key, daemons in (("one", 1), ("two", 2)):
            receivers = [UploadReceiver(self.make_ledger()) for _ in range(daemons)]
            await receivers[0].open(
                "s", key, len(body), "d", deadline_in(60), sha256_of(body)
            )
            half = 2 * MIB
            for offset, part in ((0, body[:half]), (half, body[half:])):
                result = await receivers[offset and -1].append(
                    "s", key, offset, chunks_of(part), deadline_in(60)
                )
                self.assertEqual(result, Appended(offset + len(part), len(body)))
            reads_before = self.objects.calls["Get"]
            await receivers[0].verify("s", key, deadline_in(60))
            parts_read = self.objects.calls["Get"] - reads_before
            self.assertEqual(parts_read, 0 if daemons == 1 else 2)
            started = await receivers[0].start("s", key, "daemon-1", deadline_in(60))
            chunks = [chunk async for chunk in receivers[0].body(started)]
            self.assertEqual(sha256_of(b"".join(chunks)), sha256_of(body))
