"""Tests of the store client against a stand-in for the platform's store."""

import asyncio
import base64
import random
import unittest

from goldcresthoist.fleet.tests.builders import FakeCounters
from goldcresthoist.platform import (
    OutcomeUnknown,
    StoreClient,
    StoreUnavailable,
    WriteConflict,
)
from goldcresthoist.tests.standins.platform_store import PlatformStore
from goldcresthoist.tests.suspension import suspended_for

TABLE = "members"


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = PlatformStore()
        # A random loopback address keeps tests in other processes apart.
        host = f"127.{random.randint(201, 250)}.{random.randint(0, 255)}.1"
        await self.store.start(host, 8627)
        self.counters = FakeCounters()
        self.client = StoreClient(f"{host}:8627", self.counters)

    async def asyncTearDown(self):
        await self.client.close()
        await self.store.stop()

    async def test_rows(self):
        """Guards against values that change on their way, as the store takes only text.

        Also guards against a page that does not start at the given key.
        """
        await self.client.put(TABLE, {"a/1": b"one", "b/1": b"\x00\xff"})
        page = await self.client.rows(TABLE)
        found = {row.key: row.value for row in page.rows}
        self.assertEqual(found, {"a/1": b"one", "b/1": b"\x00\xff"})
        page = await self.client.rows(TABLE, "b/")
        self.assertEqual([row.key for row in page.rows], ["b/1"])

    async def test_long_tables_are_paged(self):
        """Guards against rows that are never read because a page has at most 500."""
        values = {f"row/{number:04}": b"x" for number in range(700)}
        for start in range(0, 700, 100):
            keys = sorted(values)[start : start + 100]
            await self.client.put(TABLE, {key: values[key] for key in keys})
        page = await self.client.rows(TABLE)
        self.assertEqual(page.next_key, "row/0499")
        rest = await self.client.rows(TABLE, page.next_key)
        self.assertEqual(rest.next_key, "")
        found = {row.key for row in page.rows + rest.rows}
        self.assertEqual(found, set(values))

    async def test_malformed_row_is_left_out(self):
        """Guards against a forged row that makes all others unreadable."""
        self.store.put(TABLE, "bad", "not base64!")
        self.store.put(TABLE, "good", base64.b64encode(b"x").decode())
        page = await self.client.rows(TABLE)
        self.assertEqual([row.key for row in page.rows], ["good"])
        self.assertEqual(self.counters.total("store_rows_malformed"), 1)

    async def test_changes_are_returned_once(self):
        """Guards against changes that one long poll misses or the next one repeats."""
        page = await self.client.rows(TABLE)
        task = asyncio.create_task(
            self.client.wait_for_changes(TABLE, page.version, 5.0)
        )
        await asyncio.sleep(0.05)
        await self.client.put(TABLE, {"a": b"1"})
        page = await task
        self.assertEqual([row.value for row in page.rows], [b"1"])
        page = await self.client.wait_for_changes(TABLE, page.version, 0.05)
        self.assertEqual(page.rows, ())

    async def test_changed_row_is_not_removed(self):
        """Guards against the removal of a row that has been written again."""
        await self.client.put(TABLE, {"a": b"1"})
        version = (await self.client.rows(TABLE)).rows[0].version
        await self.client.put(TABLE, {"a": b"2"})
        with self.assertRaises(WriteConflict):
            await self.client.remove(TABLE, "a", version)

    async def test_each_response_tells_the_era(self):
        """Guards against a restore of the store that nobody notices.

        A failed call may be the first one after it.
        """
        eras = []
        self.client.on_era = eras.append
        self.assertEqual((await self.client.rows(TABLE)).era, 1)
        self.store.restore(60.0)
        self.store.faults = {"down": True}
        with self.assertRaises(StoreUnavailable):
            await self.client.rows(TABLE)
        self.assertEqual((self.client.era, eras), (2, [1, 2]))

    async def test_response_of_an_earlier_era_counts_as_lost(self):
        """Guards against a lost write that is taken for stored, and old rows for new.

        The response was under way while the store was restored.
        """
        self.store.era = 2
        await self.client.rows(TABLE)
        self.store.era = 1
        with self.assertRaises(OutcomeUnknown):
            await self.client.put(TABLE, {"a": b"1"})
        with self.assertRaises(OutcomeUnknown):
            await self.client.rows(TABLE)

    async def test_odd_eras_are_ignored(self):
        """Guards against a header that keeps daemons from reading the store."""
        await self.client.rows(TABLE)
        for era in ("x", "-1", "9" * 5000, ""):
            self.store.era = era
            self.assertEqual((await self.client.rows(TABLE)).era, 1)
        self.store.era = None
        self.assertEqual((await self.client.rows(TABLE)).era, 1)
        self.assertEqual(self.counters.total("store_eras_malformed"), 4)

    async def test_refused_call_has_no_effect(self):
        """Guards against a write that is reported as possibly done.

        Status 503 means that the store did not execute the call.
        """
        self.store.faults = {"down": True}
        with self.assertRaises(StoreUnavailable):
            await self.client.put(TABLE, {"a": b"1"})

    async def test_lost_response_leaves_the_outcome_unknown(self):
        """Guards against a write reported as not done although it took effect."""
        self.store.faults = {"lose_answers": 1}
        with self.assertRaises(OutcomeUnknown):
            await self.client.put(TABLE, {"a": b"1"})
        self.assertIn((TABLE, "a"), self.store.rows)

    async def test_silent_store_ends_the_call_in_time(self):
        """Guards against a call that waits forever on a silent connection."""
        self.store.faults = {"silent": True}
        with self.assertRaises(OutcomeUnknown):
            await self.client.rows(TABLE, timeout_s=0.1)

    async def test_connection_that_fell_silent_delays_no_call(self):
        """Guards against an old configuration at daemons that must take over.

        All connections fell silent while new ones work. The first call on a kept
        connection waited for its timeout, and so did the next ones.
        """
        await asyncio.gather(*(self.client.rows(TABLE) for _ in range(3)))
        self.store.silence_connections()
        with suspended_for(2.0):
            await self.client.rows(TABLE, timeout_s=0.5)

    async def test_other_connections_are_closed_after_one_fell_silent(self):
        """Guards against calls that meet one silent connection after the other."""
        await asyncio.gather(*(self.client.rows(TABLE) for _ in range(3)))
        self.store.silence_connections()
        with self.assertRaises(OutcomeUnknown):
            await self.client.rows(TABLE, timeout_s=0.1)
        await self.client.rows(TABLE, timeout_s=0.5)

    async def test_calls_stop_while_the_store_is_down(self):
        """Guards against calls at full rate to a store that is down.

        Each call costs money, so the gate refuses calls after the first failures.
        """
        self.store.faults = {"down": True}
        for _ in range(20):
            with self.assertRaises(StoreUnavailable):
                await self.client.rows(TABLE)
        self.assertLess(self.store.calls, 6)
