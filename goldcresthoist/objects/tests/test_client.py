"""Tests of the object store client against a local S3 server."""

import unittest

from goldcresthoist.objects import ObjectClient, ObjectMissing, ObjectsUnavailable
from goldcresthoist.tests.platform_builders import make_object_client, make_settings
from goldcresthoist.tests.standins.objects import ObjectsStandIn


class ObjectClientTest(unittest.IsolatedAsyncioTestCase):
    """Tests the S3 requests, and how faults map to exceptions."""

    async def asyncSetUp(self):
        self.standin = await self.enterAsyncContext(ObjectsStandIn())
        self.client = make_object_client(self.standin)
        self.addAsyncCleanup(self.client.close)

    async def test_object_is_read_as_written(self):
        data = bytes(range(256)) * 4096
        name = "uploads/a b+c%é/1"
        await self.client.put(name, data)
        self.assertEqual(await self.client.get(name), data)
        chunks = [chunk async for chunk in self.client.stream(name)]
        self.assertEqual(b"".join(chunks), data)
        self.assertLessEqual(max(map(len, chunks)), 64 * 1024)
        self.assertEqual(await self.client.list("uploads/"), [name])
        await self.client.delete(name)
        with self.assertRaises(ObjectMissing):
            await self.client.get(name)
        with self.assertRaises(ObjectMissing):
            await anext(self.client.stream(name))
        await self.client.delete(name)

    async def test_client_from_settings_works(self):
        client = ObjectClient.from_settings(make_settings(objects_url=self.standin.url))
        self.addAsyncCleanup(client.close)
        await client.put("empty", b"")
        self.assertEqual(await client.get("empty"), b"")

    async def test_list_reads_all_pages(self):
        names = [f"p/{number:05}" for number in range(2500)]
        self.standin.objects.update({f"test/{name}": b"" for name in names})
        self.standin.objects["test/q"] = b""
        self.assertEqual(await self.client.list("p/"), names)
        self.assertEqual(self.standin.calls["List"], 3)

    async def test_service_faults_raise_unavailable(self):
        # aiohttp repeats a PUT once if a reused keep-alive connection is closed, so
        # two responses must be lost for the call to fail.
        for faults in ({"down": True}, {"down": False, "lose_answers": 2}):
            self.standin.faults.change(faults)
            with self.assertRaises(ObjectsUnavailable):
                await self.client.put("a", b"1")
        self.assertEqual(await self.client.get("a"), b"1")
        self.standin.faults.expired = 1
        with self.assertRaises(ObjectsUnavailable):
            await self.client.get("a")
        await self.standin.refuse_connections()
        with self.assertRaises(ObjectsUnavailable):
            await anext(self.client.stream("a"))
