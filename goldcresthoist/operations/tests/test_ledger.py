"""Tests of at-most-once operations; `LedgerMachine` covers their interleavings."""

import asyncio

from goldcresthoist.operations import InvalidOperationKey
from goldcresthoist.operations import _background as background
from goldcresthoist.operations.results import (
    AlreadyFinished,
    AlreadyRunning,
    Cancelled,
    Finished,
    KeyConflict,
    MarkedUnknown,
    NoRecord,
    RecordPending,
    Released,
    Settled,
    Settlement,
    Started,
    StoreUnavailable,
    Unknown,
)
from goldcresthoist.operations.tests.builders import Platform, deadline_in
from goldcresthoist.tests.fake_platform import VirtualTimeTestCase


class LedgerTest(VirtualTimeTestCase):
    """Tests the results that callers of the ledger rely on."""

    async def asyncSetUp(self):
        self.platform = Platform()
        self.daemon = self.platform.daemon()
        self.ledger = self.daemon.ledger

    async def start(self, digest="d", seconds=5.0):
        return await self.ledger.start(
            "s", "k", digest, "daemon-1", deadline_in(seconds)
        )

    async def test_repeated_request_returns_the_recorded_response(self):
        started = await self.start()
        self.assertIsInstance(started, Started)
        self.assertEqual(await self.start(), AlreadyRunning("daemon-1"))
        result = await self.ledger.finish(started, b"answer", deadline_in())
        self.assertEqual(result, Finished())
        self.assertEqual(await self.start(), AlreadyFinished(b"answer"))
        self.assertEqual(await self.start("other"), KeyConflict())
        self.assertEqual(
            await self.ledger.cancel("s", "k", deadline_in()),
            AlreadyFinished(b"answer"),
        )

    async def test_large_response_is_kept_in_the_object_store(self):
        answer = bytes(300 * 1024)
        await self.ledger.finish(await self.start(), answer, deadline_in())
        self.assertEqual(len(self.platform.objects.objects), 1)
        self.assertEqual(await self.start(), AlreadyFinished(answer))
        self.platform.objects.down = True
        self.assertIsInstance(await self.start(), StoreUnavailable)

    async def test_cancelled_key_never_starts(self):
        result = await self.ledger.cancel("s", "k", deadline_in(), "ann", "mistake")
        self.assertEqual(result, Cancelled("ann", "mistake"))
        self.assertEqual(await self.start(), Cancelled("ann", "mistake"))

    async def test_operation_that_did_not_run_can_be_started_again(self):
        started = await self.start()
        result = await self.ledger.release_start(started, deadline_in())
        self.assertEqual(result, Released())
        self.assertEqual(await self.ledger.state("s", "k"), NoRecord())
        self.assertEqual(await self.start("other"), KeyConflict())
        self.assertIsInstance(await self.start(), Started)

    async def test_outcome_is_recorded_when_the_table_recovers(self):
        started = await self.start()
        self.platform.table.down = True
        result = await self.ledger.finish(started, b"answer", deadline_in(0.05))
        self.assertEqual(result, RecordPending())
        self.assertEqual(
            await self.ledger.wait_for_background_writes(deadline_in(0)), 1
        )
        self.platform.table.down = False
        self.assertEqual(
            await self.ledger.wait_for_background_writes(deadline_in(60)), 0
        )
        self.assertEqual(await self.start(), AlreadyFinished(b"answer"))

    async def test_memory_for_unrecorded_responses_is_bounded(self):
        started = await self.start()
        self.platform.table.down = True
        reserved = background.MAX_PENDING_ANSWER_BYTES
        self.ledger.background.pending_answer_bytes = reserved
        await self.ledger.finish(started, b"answer", deadline_in(0))
        self.platform.table.down = False
        await self.ledger.wait_for_background_writes(deadline_in(60))
        self.assertEqual(await self.start(), AlreadyFinished(None))
        self.assertEqual(self.ledger.background.pending_answer_bytes, reserved)

    async def test_start_with_a_delayed_write_is_released(self):
        self.daemon.host.faults = ["late"]
        result = await self.start(seconds=0.01)
        self.assertIsInstance(result, StoreUnavailable)
        await self.ledger.wait_for_background_writes(deadline_in(60))
        self.platform.table.release()
        self.assertEqual(await self.ledger.state("s", "k"), NoRecord())
        self.assertIsInstance(await self.start(), Started)

    async def test_start_by_a_cancelled_caller_is_released(self):
        self.platform.table.slow_s = 0.01
        self.daemon.host.faults = ["late"]
        task = asyncio.create_task(self.start())
        await asyncio.sleep(0.015)
        task.cancel()
        await asyncio.wait({task})
        self.platform.table.release()
        await self.ledger.wait_for_background_writes(deadline_in(60))
        self.assertEqual(await self.ledger.state("s", "k"), NoRecord())

    async def test_operator_settles_an_operation_of_a_lost_owner(self):
        started = await self.start()
        page = await self.ledger.list_unknown("s", lambda owner: False)
        self.assertEqual(page.operations, ())
        page = await self.ledger.list_unknown("s", {"daemon-1"}.__contains__)
        [operation] = page.operations
        result = await self.ledger.settle(
            operation, Settlement.REFUSED, "ann", "not in the books", deadline_in()
        )
        self.assertEqual(result, Settled())
        self.assertEqual(await self.start(), Cancelled("ann", "not in the books"))
        await self.ledger.finish(started, b"answer", deadline_in())
        expected = AlreadyFinished(b"answer", "ann", "not in the books")
        self.assertEqual(await self.start(), expected)
        result = await self.ledger.settle(
            operation, Settlement.FINISHED, "bob", "", deadline_in()
        )
        self.assertEqual(result, expected)

    async def test_crash_of_the_upstream_is_listed_as_unknown(self):
        started = await self.start()
        result = await self.ledger.mark_unknown(started, "crashed", deadline_in())
        self.assertEqual(result, MarkedUnknown())
        self.assertEqual(await self.start(), Unknown("daemon-1", "crashed"))
        page = await self.ledger.list_unknown("s", lambda owner: False)
        self.assertEqual([found.key for found in page.operations], ["k"])

    async def test_unknown_operations_are_listed_in_pages(self):
        for number in range(120):
            await self.ledger.start("s", f"{number:03}", "d", "daemon-1", deadline_in())
        first = await self.ledger.list_unknown("s", lambda owner: True)
        second = await self.ledger.list_unknown("s", lambda owner: True, first.after)
        found = first.operations + second.operations
        self.assertEqual([each.key for each in found], [f"{n:03}" for n in range(120)])
        self.assertEqual(second.after, "")

    async def test_key_length_is_limited(self):
        for key in ("", "x" * 901):
            with self.assertRaises(InvalidOperationKey):
                await self.ledger.start("s", key, "d", "daemon-1", deadline_in())
