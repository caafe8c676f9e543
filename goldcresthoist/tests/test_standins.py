"""Tests of the stand-ins that run as separate processes."""

import asyncio
import json
import sys
import unittest

import aiohttp

from goldcresthoist.table import Key, OutcomeUnknown, Put, TableClient
from goldcresthoist.tests.platform_builders import make_settings


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
