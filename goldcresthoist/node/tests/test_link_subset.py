"""Tests of daemons that keep links to a part of the fleet only."""

import unittest
from functools import partial
from time import monotonic
from unittest import mock

from goldcresthoist.balance import UpstreamSubset
from goldcresthoist.node.tests.loopback_cluster import (
    LoopbackCluster,
    configuration,
    wait_until,
)

SERVICES = ["listen"] * 7 + ["ledger"]


class LinkSubsetPathTest(unittest.IsolatedAsyncioTestCase):
    """Eight daemons, each with links to two upstreams of the same service."""

    async def asyncSetUp(self):
        for name, value in (
            ("node.services.UpstreamSubset", partial(UpstreamSubset, tier_sizes=(2,))),
            ("fleet.directory.MAX_DIRECT_MEMBERS", 2),
            ("fleet.directory.FETCH_FANOUT", 2),
        ):
            patch = mock.patch(f"goldcresthoist.{name}", value)
            patch.start()
            self.addCleanup(patch.stop)
        self.site = LoopbackCluster(SERVICES)
        self.addAsyncCleanup(self.site.stop)
        await self.site.start()
        self.entry = self.site.nodes[self.site.ips[-1]]

    def linked(self):
        """Return the addresses to which the entry daemon has links."""
        return [ip for ip in self.entry.links.peers if ip in self.site.ips[:-1]]

    async def test_lost_daemons_are_replaced(self):
        """Guards against requests that find no upstream although others are up."""
        self.assertEqual(len(self.linked()), 2)
        for ip in self.linked():
            await self.site.stop_node(ip)
        await wait_until(lambda: len(self.linked()) == 4)
        services = self.entry.services
        service = services.service("listen")
        # The lost ones stay selected and are not known to drain, so those are counted
        # that can be called.
        await wait_until(
            lambda: services.count_alternatives(service, monotonic(), ()) == 2
        )
        _, answer = await self.site.call(self.entry.settings.ip, "/read/a")
        self.assertEqual(answer.status, 200)

    async def test_configuration_reaches_all_daemons_over_the_tree(self):
        """Guards against daemons without a link to the one that has the new version."""
        self.site.configure(configuration(version=7))
        await wait_until(
            lambda: all(node.watch.version == 7 for node in self.site.nodes.values())
        )
        opened = [len(node.links.peers) for node in self.site.nodes.values()]
        self.assertLessEqual(max(opened), 3)

    async def test_configuration_passes_lost_daemons(self):
        """Guards against an old configuration below a lost daemon of the tree."""
        order = sorted(self.site.ips, key=self.entry.directory.rank)
        for ip in (order[0], order[2]):
            await self.site.stop_node(ip)
        self.site.configure(configuration(version=7))
        await wait_until(
            lambda: all(node.watch.version == 7 for node in self.site.nodes.values())
        )
