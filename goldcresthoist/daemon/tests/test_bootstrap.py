"""Tests of the discovery of daemons through their announcements."""

import asyncio
import unittest

from goldcresthoist.daemon.bootstrap import contact_unknown_daemons
from goldcresthoist.gossip import Membership
from goldcresthoist.gossip.tests.builders import (
    SHARED_KEY,
    FakeNetwork,
    make_member,
    until,
    virtual_time,
)


class FakeAnnouncements:
    """A fixed list of announcements, which may include daemons that no longer run."""

    def __init__(self, items):
        self.items = items

    async def sample_announcements(self):
        return [
            {"instance": name, "gossip_address": address}
            for name, address in self.items.items()
        ]


class ContactUnknownDaemonsTest(unittest.TestCase):
    """Guards against groups of daemons that remain separate permanently.

    Such groups form when daemons start at the same time, since each of them joins
    through the first peer that responds.
    """

    async def start_nodes(self, network, count):
        nodes = []
        for number in range(1, count + 1):
            member = make_member(f"m{number}", number)
            node = Membership(member, SHARED_KEY, wall_clock=lambda: 1.7e9)
            network.attach(node)
            await node.start()
            nodes.append(node)
        return nodes

    @virtual_time
    async def test_separate_groups_are_merged(self):
        nodes = await self.start_nodes(FakeNetwork(), 8)
        for first, *others in (nodes[:2], nodes[2:]):
            for node in others:
                node.join([first.view.record.gossip_address])
        await asyncio.sleep(60)
        self.assertEqual(len(nodes[0].random_members(100)), 1)
        items = {
            node.view.record.instance: node.view.record.gossip_address for node in nodes
        }
        items["gone"] = make_member("gone", 200).gossip_address
        tasks = [
            asyncio.create_task(contact_unknown_daemons(FakeAnnouncements(items), node))
            for node in nodes
        ]
        await until(lambda: all(len(n.random_members(100)) == 7 for n in nodes))
        # Repeated contacts of the daemon that no longer runs must not accumulate tasks.
        await asyncio.sleep(600)
        self.assertLess(len(nodes[0].tasks), 10)
        for task in tasks:
            task.cancel()
