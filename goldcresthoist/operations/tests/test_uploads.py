"""Tests of resumable uploads; `UploadMachine` covers their interleavings."""

import asyncio

from goldcresthoist.operations import UploadExpiry
from goldcresthoist.operations._budget import MemoryBudget
from goldcresthoist.operations.expiry import MIN_IDLE_S, RETENTION_S
from goldcresthoist.operations.results import (
    AlreadyFinished,
    Appended,
    Cancelled,
    DigestMismatch,
    KeyConflict,
    MemoryLimitReached,
    NoRecord,
    NotVerified,
    OffsetMismatch,
    Receiving,
    Started,
    StoreUnavailable,
    Verified,
)
from goldcresthoist.operations.tests.builders import (
    Platform,
    chunks_of,
    deadline_in,
    sha256_of,
)
from goldcresthoist.tests.fake_platform import VirtualTimeTestCase

BODY = bytes(range(100))
BODY_SHA256 = sha256_of(BODY)


class UploadTest(VirtualTimeTestCase):
    """Tests that an upload keeps its bytes and is started at most once."""

    async def asyncSetUp(self):
        self.platform = Platform()
        self.first = self.platform.daemon("daemon-1", part_bytes=16)
        self.second = self.platform.daemon("daemon-2", part_bytes=16)

    async def open(self, daemon, sha256=BODY_SHA256, length=len(BODY), digest="d"):
        return await daemon.receiver.open(
            "s", "k", length, digest, deadline_in(), sha256
        )

    async def append(self, daemon, offset, data, size=7, then=None):
        chunks = chunks_of(data, size, then)
        return await daemon.receiver.append("s", "k", offset, chunks, deadline_in())

    async def start(self, daemon):
        return await daemon.receiver.start("s", "k", daemon.name, deadline_in())

    async def body(self, started, daemon):
        return b"".join([chunk async for chunk in daemon.receiver.body(started)])

    async def test_upload_through_two_daemons_reaches_the_upstream(self):
        self.assertEqual(await self.open(self.first), Receiving(0, 100))
        self.assertEqual(await self.append(self.first, 0, BODY[:50]), Appended(50, 100))
        self.assertEqual(await self.open(self.second), Receiving(50, 100))
        self.assertEqual(await self.start(self.second), NotVerified(50, 100))
        result = await self.append(self.second, 50, BODY[50:])
        self.assertEqual(result, Appended(100, 100))
        self.assertEqual(await self.start(self.second), NotVerified(100, 100))
        verified = await self.second.receiver.verify("s", "k", deadline_in())
        self.assertEqual(verified, Verified(BODY_SHA256))
        started = await self.start(self.first)
        self.assertEqual(await self.body(started, self.first), BODY)
        self.assertNotIsInstance(await self.start(self.second), Started)
        await self.first.ledger.finish(started, b"ok", deadline_in())
        self.assertEqual(await self.open(self.second), AlreadyFinished(b"ok"))

    async def test_parts_that_were_stored_before_are_skipped(self):
        await self.open(self.first)
        await self.append(self.first, 0, BODY[:40])
        result = await self.append(self.second, 0, BODY[:30])
        self.assertEqual(result, Appended(40, 100))
        result = await self.append(self.second, 20, BODY[20:])
        self.assertEqual(result, Appended(100, 100))
        result = await self.second.receiver.verify("s", "k", deadline_in())
        self.assertEqual(result, Verified(BODY_SHA256))

    async def test_gap_and_excess_return_the_stored_offset(self):
        await self.open(self.first)
        result = await self.append(self.first, 1, BODY)
        self.assertEqual(result, OffsetMismatch(0, 100))
        result = await self.append(self.first, 0, BODY + b"more")
        self.assertEqual(result, OffsetMismatch(100, 100))
        result = await self.first.receiver.verify("s", "k", deadline_in())
        self.assertEqual(result, Verified(BODY_SHA256))

    async def test_concurrent_daemons_store_each_byte_once(self):
        await self.open(self.first)
        results = await asyncio.gather(
            self.append(self.first, 0, BODY), self.append(self.second, 0, BODY)
        )
        self.assertEqual(results, [Appended(100, 100)] * 2)
        stored = sum(map(len, self.platform.objects.objects.values()))
        self.assertEqual(stored, 100)

    async def test_bytes_before_a_connection_error_are_stored(self):
        await self.open(self.first)
        with self.assertRaises(ConnectionError):
            await self.append(self.first, 0, BODY[:21], then=ConnectionError())
        state = await self.second.receiver.offset("s", "k")
        self.assertEqual(state, Receiving(21, 100))

    async def test_wrong_digest_refuses_the_operation(self):
        await self.open(self.first, sha256=sha256_of(b"other"))
        await self.append(self.first, 0, BODY)
        result = await self.first.receiver.verify("s", "k", deadline_in())
        self.assertEqual(result, DigestMismatch(sha256_of(b"other"), BODY_SHA256))
        self.assertIsInstance(await self.start(self.first), Cancelled)

    async def test_digest_and_state_must_match(self):
        self.assertEqual(await self.append(self.first, 0, BODY), NoRecord())
        await self.open(self.first)
        self.assertEqual(await self.open(self.second, digest="e"), KeyConflict())
        await self.first.ledger.cancel("s", "k", deadline_in())
        self.assertEqual(await self.append(self.first, 0, BODY), Cancelled())

    async def test_unavailable_store_returns_the_stored_offset(self):
        await self.open(self.first)
        await self.append(self.first, 0, BODY[:10])
        self.platform.objects.down = True
        result = await self.append(self.first, 10, BODY[10:])
        self.assertIsInstance(result, StoreUnavailable)
        self.assertEqual(result.offset, 10)
        self.platform.objects.down = False
        result = await self.append(self.first, 10, BODY[10:])
        self.assertEqual(result, Appended(100, 100))

    async def test_release_keeps_the_body_for_the_next_start(self):
        await self.open(self.first)
        await self.append(self.first, 0, BODY)
        await self.first.receiver.verify("s", "k", deadline_in())
        started = await self.start(self.first)
        await self.first.ledger.release_start(started, deadline_in())
        again = await self.start(self.second)
        self.assertEqual(await self.body(again, self.second), BODY)

    async def test_empty_body_can_be_uploaded(self):
        await self.open(self.first, sha256=sha256_of(b""), length=0)
        result = await self.second.receiver.verify("s", "k", deadline_in())
        self.assertEqual(result, Verified(sha256_of(b"")))
        started = await self.start(self.first)
        self.assertEqual(await self.body(started, self.first), b"")

    async def test_memory_of_all_uploads_is_bounded(self):
        daemon = self.platform.daemon("daemon-3", memory_bytes=32, part_bytes=16)
        budget = daemon.receiver.appender.budget
        await self.open(daemon)
        self.assertTrue(await budget.acquire(32, deadline_in()))
        result = await self.append(daemon, 0, BODY)
        self.assertEqual(result, MemoryLimitReached(0, 100))
        budget.release(32)
        self.assertEqual(await self.append(daemon, 0, BODY), Appended(100, 100))
        self.assertEqual(budget.used, 0)

    async def test_memory_budget_serves_in_order_and_skips_timed_out_waiters(self):
        budget = MemoryBudget(10)
        self.assertTrue(budget.try_acquire(8))
        timed_out = asyncio.create_task(budget.acquire(9, deadline_in(1)))
        waiting = asyncio.create_task(budget.acquire(2, deadline_in(60)))
        await asyncio.sleep(0)
        self.assertFalse(budget.try_acquire(1))
        self.assertFalse(await timed_out)
        self.assertTrue(await waiting)
        self.assertEqual(budget.used, 10)


class ExpiryTest(VirtualTimeTestCase):
    """Tests that uploads in progress are kept and that ended ones are deleted."""

    async def asyncSetUp(self):
        self.platform = Platform()
        self.daemon = self.platform.daemon()
        self.wall = 0.0
        self.expiry = UploadExpiry(
            self.daemon.table, self.daemon.objects, clock=lambda: self.wall
        )
        receiver = self.daemon.receiver
        await receiver.open("s", "k", 100, "d", deadline_in())
        await receiver.append("s", "k", 0, chunks_of(BODY[:50]), deadline_in())
        self.expires_s = (
            await self.daemon.ledger.records.get("s", "k")
        ).upload.expires_s

    async def test_abandoned_upload_is_deleted_after_its_expiry_time(self):
        self.wall = self.expires_s + 1.0
        self.assertEqual(await self.expiry.sweep("s"), 0)
        await asyncio.sleep(MIN_IDLE_S + 1)
        self.platform.objects.objects["uploads/other/1"] = b""
        self.assertEqual(await self.expiry.sweep("s"), 1)
        self.assertEqual(list(self.platform.objects.objects), ["uploads/other/1"])
        self.assertEqual(len(self.platform.table.items), 1)
        self.assertIsInstance(await self.daemon.ledger.state("s", "k"), Cancelled)

    async def test_clock_jump_does_not_expire_an_upload_in_progress(self):
        self.wall = self.expires_s + 10.0 * RETENTION_S
        for offset in range(50, 60):
            self.assertEqual(await self.expiry.sweep("s"), 0)
            await asyncio.sleep(MIN_IDLE_S - 60)
            chunks = chunks_of(BODY[offset : offset + 1])
            await self.daemon.receiver.append("s", "k", offset, chunks, deadline_in())
        self.assertEqual(
            await self.daemon.receiver.offset("s", "k"), Receiving(60, 100)
        )

    async def test_parts_are_kept_until_the_operation_ends(self):
        receiver = self.daemon.receiver
        await receiver.append("s", "k", 50, chunks_of(BODY[50:]), deadline_in())
        await receiver.verify("s", "k", deadline_in())
        started = await receiver.start("s", "k", "daemon-1", deadline_in())
        await self.daemon.ledger.mark_unknown(started, "crashed", deadline_in())
        self.wall = self.expires_s + 10.0 * RETENTION_S
        self.assertEqual(await self.expiry.sweep("s"), 0)
        await self.daemon.ledger.finish(started, b"ok", deadline_in())
        self.assertEqual(await self.expiry.sweep("s"), 1)
        self.assertEqual(self.platform.objects.objects, {})
