"""Tests with connections that fall silent without a reset, while new ones work."""

import unittest
from time import monotonic

from goldcresthoist.node.tests.loopback_cluster import (
    LoopbackCluster,
    configuration,
    wait_until,
)

# A configuration is to be in force this long after it was written, while the daemons
# have not been disturbed for `CONTACT_S`.
APPLY_S = 2.0
CONTACT_S = 3.0


class SilentConnectionsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = LoopbackCluster(["listen", "listen", "ledger", "ledger"])
        await self.cluster.start()

    async def asyncTearDown(self):
        await self.cluster.stop()

    def silence_all(self):
        """Let nothing pass any more on the links and on the calls to the store."""
        self.cluster.store.silence_connections()
        for node in self.cluster.nodes.values():
            for link in node.link_server.links:
                link.transport.pause_reading()

    async def test_change_is_in_force_in_time(self):
        """Guards against callers who get 404 on a route that was added.

        Version reports went on as datagrams, so daemons waited for links to the
        watchers that no longer delivered anything.
        """
        self.silence_all()
        silenced_at = monotonic()
        await wait_until(lambda: monotonic() > silenced_at + CONTACT_S - APPLY_S)
        self.cluster.configure(configuration(version=2))
        await wait_until(lambda: monotonic() > silenced_at + CONTACT_S)
        versions = [node.watch.version for node in self.cluster.nodes.values()]
        self.assertEqual(versions, [2] * 4)
