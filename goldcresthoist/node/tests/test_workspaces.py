"""Tests of workspaces and keys through daemons on loopback addresses."""

import asyncio
import unittest

from goldcresthoist.node.tests.loopback_cluster import (
    LoopbackCluster,
    configuration,
    read_answer,
    wait_until,
)

KEY = "k-3f9a71"
OTHER_KEY = "k-77c0d2"


def with_workspaces(version, keys=(KEY,)):
    """Return a configuration with two workspaces; uploads are public."""
    document = configuration(version)
    for route in document["routes"]:
        route["public"] = route["name"] == "upload"
    document["tenants"] = [
        {"name": "first", "api_keys": list(keys), "priority": 1},
        {"name": "second", "api_keys": [OTHER_KEY]},
    ]
    return document


class WorkspaceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.site = LoopbackCluster(["listen", "ledger"])
        await self.site.start()
        self.first, self.second = self.site.ips
        await self.configure(with_workspaces(2))

    async def asyncTearDown(self):
        await self.site.stop()

    async def configure(self, document):
        """Put a configuration in force at all daemons."""
        self.site.configure(document)
        nodes = self.site.nodes.values()
        await wait_until(
            lambda: all(node.watch.version == document["version"] for node in nodes)
        )

    async def send(self, path, key, method="GET", **options):
        """Send a request that claims to be of another workspace."""
        headers = ["Tenant-Id: forged"]
        if key is not None:
            headers.append(f"X-Api-Key: {key}")
        _, answer = await self.site.call(
            self.first, path, method, headers=headers, **options
        )
        return answer

    def received_fields(self):
        """Return the header fields of each request that an upstream executed."""
        targets = self.site.targets.values()
        return [fields for target in targets for fields in target.received]

    async def test_upstreams_get_the_name_and_not_the_key(self):
        """Guards against a key that is passed on, and a name that the caller chose."""
        self.assertEqual((await self.send("/read/1", KEY)).status, 200)
        self.assertEqual((await self.send("/write/1", OTHER_KEY, "POST")).status, 200)
        for fields, name in zip(self.received_fields(), ("first", "second")):
            self.assertEqual(fields["tenant-id"], name)
            self.assertNotIn("x-api-key", fields)

    async def test_requests_without_a_known_key(self):
        """Guards against requests that run without a key, and refused public ones."""
        for key in (None, "", "unknown", "first"):
            self.assertEqual((await self.send("/read/1", key)).status, 401)
        self.assertEqual(self.site.runs(), [])
        answer = await self.send("/upload/1", None, "PUT", body=b"x")
        self.assertEqual(answer.status, 200)
        self.assertNotIn("tenant-id", self.received_fields()[0])

    async def test_no_configuration_has_workspaces(self):
        """Guards against a field that is dropped where the system does not own it."""
        await self.configure(configuration(3))
        self.assertEqual((await self.send("/read/1", KEY)).status, 200)
        self.assertEqual(self.received_fields()[0]["x-api-key"], KEY)

    async def test_daemon_without_configuration(self):
        """Guards against a 401 of a daemon that does not know the keys yet."""
        self.site.nodes[self.first].watch.table = None
        self.assertEqual((await self.send("/read/1", KEY)).status, 503)

    async def test_key_withdrawn_between_pipelined_requests(self):
        """Guards against an open connection that keeps a withdrawn key in use."""
        reader, writer = await asyncio.open_connection(self.first, 8629)

        def send(number, query):
            head = f"GET /read/{number}{query} HTTP/1.1\r\nHost: site.example\r\n"
            head += f"Request-Id: p{number}\r\nX-Api-Key: {KEY}\r\n\r\n"
            writer.write(head.encode())

        send(1, "?ms=20")
        self.assertEqual((await read_answer(reader)).status, 200)
        await self.configure(with_workspaces(3, keys=("k-new",)))
        send(2, "")
        self.assertEqual((await read_answer(reader)).status, 401)
        writer.close()
        self.assertEqual((await self.send("/read/1", "k-new")).status, 200)

    async def test_keys_are_not_logged(self):
        """Guards against keys in the log, the metrics and the crash suspects."""
        lines = []
        node = self.site.nodes[self.first]
        event = node.log.event
        node.log.event = lambda name, **fields: (
            lines.append(repr((name, fields))),
            event(name, **fields),
        )
        await self.send("/read/1", KEY)
        await self.send("/read/1?fault=status", KEY)
        await self.send("/read/1", "k-unknown")
        shown = "\n".join(lines) + node.counters.text().decode()
        self.assertIn("'workspace': 'first'", shown)
        for key in (KEY, "k-unknown"):
            self.assertNotIn(key, shown)


if __name__ == "__main__":
    unittest.main()
