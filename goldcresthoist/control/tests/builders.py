"""Daemons with gossip and control services on a simulated network, for tests."""

import asyncio
from contextlib import asynccontextmanager

from grpclib.testing import ChannelFor

from goldcresthoist.config import ConfigurationHolder
from goldcresthoist.control import (
    ConfigurationFetcher,
    ControlClient,
    ControlService,
    MemberSync,
)
from goldcresthoist.gossip.tests.builders import SHARED_KEY, Cluster


class Node:
    """The components of a daemon that exchange gossip and control messages."""

    def __init__(self, fleet, membership):
        self.membership = membership
        self.address = membership.view.record.control_address
        self.holder = ConfigurationHolder()
        self.service = ControlService(membership, self.holder)
        self.client = ControlClient(
            SHARED_KEY, lambda address: fleet.channel(self, address)
        )
        self.fetcher = ConfigurationFetcher(
            membership, self.holder, self.client, self.service.candidates
        )
        self.sync = MemberSync(membership, self.client)
        self.tasks = []

    def start(self):
        """Start the fetch and sync tasks."""
        for run in (self.fetcher.run(), self.sync.run()):
            self.tasks.append(asyncio.get_running_loop().create_task(run))


class Fleet:
    """Nodes connected by a simulated network for gossip and in-memory channels."""

    def __init__(self, options=None):
        self.cluster = Cluster(options)
        self.nodes = {}

    async def add(self, name, domain="d1", service="s"):
        """Add a node and start its tasks."""
        membership = await self.cluster.add(name, domain, service)
        node = Node(self, membership)
        node.start()
        self.nodes[node.address] = node
        return node

    async def add_many(self, count, domain="d1"):
        """Add several nodes of a domain and wait 10 s for them to join each other."""
        nodes = [await self.add(f"{domain}-{n}", domain) for n in range(count)]
        await asyncio.sleep(10)
        return nodes

    def cut(self, one_side, other_side):
        """Block all traffic between two groups of nodes."""
        self.cluster.network.cut(
            [node.membership for node in one_side],
            [node.membership for node in other_side],
        )

    @asynccontextmanager
    async def channel(self, source, address):
        """Open an in-memory channel, which fails if the path is blocked."""
        target = self.nodes.get(address)
        pair = (
            source.membership.exchange.address,
            target and target.membership.exchange.address,
        )
        if target is None or pair in self.cluster.network.blocked:
            yield _UnreachableChannel()
            return
        codec = source.client.codec
        async with ChannelFor([target.service], codec=codec) as channel:
            yield channel


class _UnreachableChannel:
    """Channel that fails like a TCP channel to an unreachable peer."""

    def request(self, *args, **kwargs):
        """Raise the error of an unreachable peer instead of opening a stream."""
        raise OSError("unreachable")
