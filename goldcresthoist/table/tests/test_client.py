"""Tests of the table client against a local server that implements the protocol."""

import asyncio
import unittest

from goldcresthoist.access import GateLimits
from goldcresthoist.table import (
    Absent,
    Always,
    ConditionFailed,
    Equals,
    Key,
    OutcomeUnknown,
    Put,
    TableClient,
    TableError,
    TableUnavailable,
)
from goldcresthoist.tests.platform_builders import make_settings, make_table_client
from goldcresthoist.tests.standins.table import TableStandIn

ITEM = {"state": "started", "count": 7, "answer": b"\x00\xff"}


class TableClientTest(unittest.IsolatedAsyncioTestCase):
    """Tests how responses and faults map to return values and exceptions."""

    async def asyncSetUp(self):
        self.standin = await self.enterAsyncContext(TableStandIn())
        self.client = make_table_client(self.standin)
        self.addAsyncCleanup(self.client.close)

    async def test_item_is_read_as_written(self):
        key = Key("operation#a#b")
        await self.client.put(Put(key, ITEM, Always()))
        stored = ITEM | {"pk": key.partition, "sk": "-"}
        self.assertEqual(await self.client.get(key), stored)
        self.assertIsNone(await self.client.get(Key("other")))

    async def test_client_from_settings_works(self):
        settings = make_settings(table_url=self.standin.url)
        client = TableClient.from_settings(settings)
        self.addAsyncCleanup(client.close)
        await client.put(Put(Key("a"), ITEM))
        self.assertIsNotNone(await client.get(Key("a")))

    async def test_write_requires_its_condition(self):
        key = Key("a")
        await self.client.put(Put(key, ITEM, Absent()))
        for condition in (Absent(), Equals("count", 8), Equals("missing", "x")):
            with self.assertRaises(ConditionFailed):
                await self.client.put(Put(key, {}, condition))
            with self.assertRaises(ConditionFailed):
                await self.client.delete(key, condition)
        await self.client.delete(key, Equals("answer", b"\x00\xff"))
        self.assertIsNone(await self.client.get(key))

    async def test_transaction_writes_all_or_none(self):
        await self.client.put(Put(Key("a"), ITEM))
        puts = [Put(Key("b"), ITEM, Absent()), Put(Key("a"), ITEM, Absent())]
        with self.assertRaises(ConditionFailed):
            await self.client.transact(puts)
        self.assertIsNone(await self.client.get(Key("b")))
        await self.client.transact(puts[:1])
        self.assertIsNotNone(await self.client.get(Key("b")))

    async def test_query_reads_all_pages_in_order(self):
        large = {"answer": bytes(300 * 1024)}
        for sort in ("n4", "n1", "m1", "n2", "n3", "n5"):
            await self.client.put(Put(Key("p", sort), large))
        found = [item["sk"] for item in await self.client.query("p", "n")]
        self.assertEqual(found, ["n1", "n2", "n3", "n4", "n5"])
        items = await self.client.query("p", limit=2, after="n1")
        self.assertEqual([item["sk"] for item in items], ["n2", "n3"])

    async def test_lost_response_leaves_outcome_unknown(self):
        self.standin.faults.lose_answers = 1
        with self.assertRaises(OutcomeUnknown):
            await self.client.put(Put(Key("a"), ITEM))
        self.assertIsNotNone(await self.client.get(Key("a")))

    async def test_delayed_write_has_unknown_outcome_then_takes_effect(self):
        self.standin.faults.change({"late_writes": 1, "late_close": True})
        with self.assertRaises(OutcomeUnknown):
            await self.client.put(Put(Key("a"), ITEM))
        self.assertIsNone(await self.client.get(Key("a")))
        self.standin.release_held_writes()
        await asyncio.gather(*self.standin.tasks)
        self.assertIsNotNone(await self.client.get(Key("a")))

    async def test_write_timeout_leaves_outcome_unknown(self):
        client = make_table_client(self.standin, timeout_s=0.05)
        self.addAsyncCleanup(client.close)
        self.standin.faults.late_writes = 1
        with self.assertRaises(OutcomeUnknown):
            await client.put(Put(Key("a"), ITEM))

    async def test_refused_connection_has_no_effect(self):
        await self.standin.refuse_connections()
        with self.assertRaises(TableUnavailable):
            await self.client.put(Put(Key("a"), ITEM))
        await self.standin.listen()
        self.assertIsNone(await self.client.get(Key("a")))

    async def test_server_error_leaves_outcome_unknown(self):
        self.standin.faults.change({"down": True, "down_status": 500})
        with self.assertRaises(OutcomeUnknown):
            await self.client.put(Put(Key("a"), ITEM))
        with self.assertRaises(TableUnavailable):
            await self.client.get(Key("a"))

    async def test_throttled_write_has_no_effect_and_halves_the_limit(self):
        self.standin.faults.throttle = 1
        with self.assertRaises(TableUnavailable):
            await self.client.put(Put(Key("a"), ITEM))
        self.assertEqual(self.client.http.gate.concurrency_limit, 8)
        self.assertIsNone(await self.client.get(Key("a")))

    async def test_expired_signature_is_unavailable_without_effect(self):
        self.standin.faults.expired = 1
        with self.assertRaises(TableUnavailable):
            await self.client.put(Put(Key("a"), ITEM))
        self.assertIsNone(await self.client.get(Key("a")))

    async def test_open_circuit_is_probed_by_reads_only(self):
        limits = GateLimits(first_probe_delay_s=0.0, max_probe_delay_s=0.0)
        client = make_table_client(self.standin, limits=limits)
        self.addAsyncCleanup(client.close)
        self.standin.faults.down = True
        for _ in range(3):
            with self.assertRaises(OutcomeUnknown):
                await client.put(Put(Key("a"), ITEM))
        for _ in range(10):
            with self.assertRaises(TableUnavailable):
                await client.put(Put(Key("a"), ITEM))
        calls = dict(self.standin.calls)
        self.assertEqual(calls, {"PutItem": 3, "GetItem": 10, "total": 13})
        self.standin.faults.down = False
        await client.put(Put(Key("a"), ITEM))

    async def test_item_over_the_size_limit_is_an_error(self):
        with self.assertRaisesRegex(TableError, "400 KB"):
            await self.client.put(Put(Key("a"), {"answer": bytes(401 * 1024)}))
