"""Real daemons of the fleet model, whose control calls are counted."""

import asyncio
from contextlib import asynccontextmanager

from grpclib.encoding.base import CodecBase
from grpclib.testing import ChannelFor

from goldcresthoist.config import ConfigurationHolder
from goldcresthoist.control import (
    ConfigurationFetcher,
    ControlClient,
    ControlService,
    MemberSync,
    PeerUnavailable,
)
from goldcresthoist.gossip import Membership, MemberState

KEY = bytes(range(32))
# Estimate for one connection with one call, in each direction: TCP handshake and
# teardown, HTTP/2 connection preface, settings and headers.
CALL_OVERHEAD_BYTES = 1000


class Representative:
    """One real daemon of the model."""

    def __init__(self, model, member):
        self.domain = member.failure_domain
        self.membership = Membership(member, KEY, wall_clock=lambda: 1.7e9)
        # Probes name their receiver. A representative also answers those that are
        # meant for the members it stands for.
        self.membership.packet_handler.is_own = lambda key: True
        self.holder = ConfigurationHolder()
        self.service = ControlService(self.membership, self.holder)
        self.client = _ModelClient(model, self)
        self.fetcher = ConfigurationFetcher(
            self.membership, self.holder, self.client, self.service.candidates
        )
        self.sync = MemberSync(self.membership, self.client)
        self.sync.first_sync_done.set()
        self.control_bytes = 0
        self.calls = 0

    def fill(self, records):
        """Put all members into the member table, without gossip."""
        own = self.membership.view.record.instance
        for record in records:
            if record.instance != own:
                self.membership.view.roster.put(
                    record, 1_700_000_000_000, MemberState.ALIVE, 0.0
                )

    async def start(self):
        """Start gossip, configuration fetching and member synchronization."""
        await self.membership.start()
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self.fetcher.run()),
            loop.create_task(self.sync.run()),
        ]

    def gossip_bytes(self):
        """Return the bytes received and the bytes sent over UDP, with headers."""
        exchange = self.membership.exchange
        return exchange.bytes_received, exchange.bytes_sent


class _ModelClient(ControlClient):
    """Control client that connects to the representative of a member.

    The bytes of each call count for both ends.
    """

    def __init__(self, model, source):
        super().__init__(KEY)
        self.model = model
        self.source = source

    @asynccontextmanager
    async def connect(self, member):
        """Connect to the representative of a member, without a network."""
        target = self.model.representative(member.gossip_address)
        if not self.model.reachable(self.source, member.gossip_address):
            raise PeerUnavailable(f"{member.instance}: unreachable")
        local = target.membership.view.local()
        self.open_channel = lambda address: self._channel(target)
        async with super().connect(local) as peer:
            yield peer

    @asynccontextmanager
    async def _channel(self, target):
        codec = _CountingCodec(self.codec, (self.source, target))
        async with ChannelFor([target.service], codec=codec) as channel:
            yield channel


class _CountingCodec(CodecBase):
    __content_subtype__ = "msgpack"

    def __init__(self, codec, ends):
        self.codec = codec
        self.ends = ends
        for end in ends:
            end.control_bytes += 2 * CALL_OVERHEAD_BYTES
            end.calls += 1

    def encode(self, message, message_type):
        data = self.codec.encode(message, message_type)
        for end in self.ends:
            end.control_bytes += len(data)
        return data

    def decode(self, data, message_type):
        return self.codec.decode(data, message_type)
