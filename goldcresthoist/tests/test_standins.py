"""Tests of the stand-ins that run as separate processes."""

import asyncio
import json
import random
import sys
import unittest

import aiohttp

from goldcresthoist.table import Key, OutcomeUnknown, Put, TableClient
from goldcresthoist.tests.platform_builders import make_settings
from goldcresthoist.tests.standins.platform_store import PlatformStore


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    """Tests the command line and the control paths that other tests use."""

    async def start(self, name):
        """Start a stand-in on a free port and return the URL that it prints."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            f"goldcresthoist.tests.standins.{name}",
            "--port=0",
            stdout=asyncio.subprocess.PIPE,
        )
        self.addAsyncCleanup(process.wait)
        self.addCleanup(process.kill)
        line = await process.stdout.readline()
        return line.decode().split()[-1]

    async def test_table_process_takes_faults_and_counts_calls(self):
        """Guards against faults that a test sets but the stand-in does not apply.

        Such a test would pass without the fault, for instance after a misspelling of
        the fault's name.
        """
        url = await self.start("table")
        client = TableClient.from_settings(make_settings(table_url=url))
        self.addAsyncCleanup(client.close)
        async with aiohttp.ClientSession(url) as session:
            answer = await session.post("/-/faults", json={"lose_answers": 1})
            self.assertEqual(answer.status, 200)
            with self.assertRaises(OutcomeUnknown):
                await client.put(Put(Key("a"), {"n": 1}))
            self.assertEqual((await client.get(Key("a")))["n"], 1)
            calls = json.loads(await (await session.get("/-/calls")).read())
            self.assertEqual(calls, {"PutItem": 1, "GetItem": 1, "total": 2})
            answer = await session.post("/-/faults", json={"no_such_fault": 1})
            self.assertEqual(answer.status, 400)

    async def test_objects_process_answers(self):
        """Guards against an object store stand-in that does not start by itself."""
        url = await self.start("objects")
        async with aiohttp.ClientSession(url) as session:
            answer = await session.get("/-/calls")
            self.assertEqual(await answer.json(), {})


class RestoredStoreTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a stand-in that differs from the restore that the issue states."""

    async def asyncSetUp(self):
        self.store = PlatformStore()
        host = f"127.{random.randint(201, 250)}.{random.randint(0, 255)}.1"
        await self.store.start(host, 8627)
        self.addAsyncCleanup(self.store.stop)
        self.session = aiohttp.ClientSession(f"http://{host}:8627")
        self.addAsyncCleanup(self.session.close)

    async def get(self, path, **query):
        """Return the status, the era and the document of a response."""
        async with self.session.get(path, params=query) as answer:
            era = int(answer.headers["Store-Era"])
            document = await answer.json() if answer.status == 200 else None
            return answer.status, era, document

    async def read_changes(self, after):
        """Return the status of a feed and its rows as (key, version)."""
        status, _, document = await self.get(
            "/rows-feed", table="op", after=after, wait_ms=0
        )
        rows = document["rows"] if document else ()
        return status, [(row["key"], row["ver"]) for row in rows]

    async def test_versions_are_given_out_again(self):
        """A feed from a lost version gets 410 until the counter has reached it."""
        self.store.put("op", "kept", "")
        await asyncio.sleep(0.2)
        self.store.put("op", "config", "bmV3")
        self.store.put("mine", "row", "")
        self.store.remove("op", "kept")
        lost = self.store.restore(0.1)
        self.assertEqual(lost, {"config": "bmV3", "kept": None})
        status, era, document = await self.get("/rows-get", table="op")
        self.assertEqual((status, era, document["ver"]), (200, 2, 1))
        self.assertEqual([row["key"] for row in document["rows"]], ["kept"])
        self.assertEqual(self.store.keys("mine"), set())
        self.assertEqual(await self.read_changes(4), (410, []))
        self.store.write_again(lost)
        self.assertEqual(await self.read_changes(4), (410, []))
        self.store.put("op", "config", "bmV3ZXI=")
        self.assertEqual(await self.read_changes(4), (200, []))
        found = [("kept", 2), ("config", 4)]
        self.assertEqual(await self.read_changes(1), (200, found))
        self.assertEqual(await self.read_changes(0), (410, []))

    async def test_each_response_has_the_era(self):
        """Failed calls have it, too, and a store of before may have none."""
        self.store.faults = {"down": True}
        self.assertEqual((await self.get("/rows-get", table="op"))[:2], (503, 1))
        self.store.faults = {}
        self.store.restore(5.0)
        self.store.restore(5.0)
        self.assertEqual((await self.get("/rows-get", table="op"))[:2], (200, 3))
        self.store.era = None
        async with self.session.get("/rows-get", params={"table": "op"}) as answer:
            self.assertNotIn("Store-Era", answer.headers)

    async def test_fault_call_restores(self):
        """The process is restored by the call that sets faults."""
        self.store.put("op", "config", "bmV3")
        async with self.session.post("/-/faults", json={"restore": 60}) as answer:
            self.assertEqual(await answer.json(), {"config": "bmV3"})
        self.assertEqual((self.store.version, self.store.era), (0, 2))
