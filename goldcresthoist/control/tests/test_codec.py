"""Tests of message authentication, and of the control services over TCP."""

import asyncio
import socket
import unittest

from grpclib import GRPCError

from goldcresthoist.config import ConfigurationHolder
from goldcresthoist.config.tests.builders import make_content
from goldcresthoist.control import (
    BadMessage,
    ControlClient,
    ControlPlane,
    ControlServer,
    ControlService,
    CrashSuspect,
    PeerUnavailable,
)
from goldcresthoist.control import messages as m
from goldcresthoist.control.codec import AuthenticatedCodec
from goldcresthoist.gossip import Member, Membership, MemberState
from goldcresthoist.gossip.tests.builders import SHARED_KEY, make_member

SUSPECT = CrashSuspect(b"f" * 16, 2, 1.5)


class AuthenticatedCodecTest(unittest.TestCase):
    """Guards against accepting messages of a sender without the shared key."""

    def test_change_of_any_byte_is_detected(self):
        codec = AuthenticatedCodec(SHARED_KEY)
        data = codec.encode(m.PushReply(7), m.PushReply)
        self.assertEqual(codec.decode(data, m.PushReply), m.PushReply(7))
        for position in range(len(data)):
            changed = bytearray(data)
            changed[position] ^= 1
            with self.assertRaises(GRPCError):
                codec.decode(bytes(changed), m.PushReply)
        self.assertEqual(codec.rejected, len(data))

    def test_other_key_and_other_type_are_rejected(self):
        codec = AuthenticatedCodec(SHARED_KEY)
        data = AuthenticatedCodec(b"y" * 32).encode(m.PushReply(7), m.PushReply)
        with self.assertRaises(GRPCError):
            codec.decode(data, m.PushReply)
        data = codec.encode(m.SuspectsRequest("a", 7), m.SuspectsRequest)
        with self.assertRaises(GRPCError):
            codec.decode(data, m.VersionsRequest)


class TcpTest(unittest.IsolatedAsyncioTestCase):
    """Guards against control services that work in memory but not over TCP."""

    async def asyncSetUp(self):
        membership = Membership(make_member("a"), SHARED_KEY)
        self.service = ControlService(
            membership, ConfigurationHolder(), lambda: [SUSPECT]
        )
        self.server = ControlServer(self.service, SHARED_KEY)
        await self.server.start("127.0.0.1:0")
        self.addAsyncCleanup(self.server.close)
        self.member = self._member_at(self.server.address())

    def _member_at(self, address):
        member = make_member("a")
        fields = [getattr(member, name) for name in member.__struct_fields__]
        fields[member.__struct_fields__.index("control_address")] = address
        return type(member)(*fields)

    async def test_crash_suspects_are_returned(self):
        async with ControlClient(SHARED_KEY).connect(self.member) as peer:
            self.assertEqual(await peer.crash_suspects(), (SUSPECT,))

    async def test_wrong_key_is_rejected_and_counted(self):
        async with ControlClient(b"y" * 32).connect(self.member) as peer:
            with self.assertRaises(PeerUnavailable):
                await peer.crash_suspects()
        self.assertEqual(self.server.codec.rejected, 1)

    async def test_request_for_another_daemon_is_rejected(self):
        async with ControlClient(SHARED_KEY).connect(self.member) as peer:
            peer.instance = "someone-else"
            with self.assertRaises(PeerUnavailable):
                await peer.crash_suspects()

    async def test_reply_to_another_request_is_rejected(self):
        async def replayed(request):
            return m.SuspectsReply(request.nonce ^ 1, ())

        self.service.suspects = replayed
        server = ControlServer(self.service, SHARED_KEY)
        await server.start("127.0.0.1:0")
        self.addAsyncCleanup(server.close)
        member = self._member_at(server.address())
        async with ControlClient(SHARED_KEY).connect(member) as peer:
            with self.assertRaises(BadMessage):
                await peer.crash_suspects()

    async def test_closed_port_raises_peer_unavailable(self):
        listener = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        listener.close()
        await listener.wait_closed()
        member = self._member_at(f"127.0.0.1:{port}")
        async with ControlClient(SHARED_KEY).connect(member) as peer:
            with self.assertRaises(PeerUnavailable):
                await peer.versions()


class ControlPlaneTest(unittest.IsolatedAsyncioTestCase):
    """Guards against components that work alone but are not connected correctly."""

    async def test_two_daemons_exchange_members_and_a_version(self):
        planes = [await self._start_plane(number) for number in range(2)]
        first, second = (plane.membership for plane in planes)
        await second.join([first.exchange.address])
        arrived = asyncio.Event()
        planes[1].fetcher.holder.subscribe(lambda in_force: arrived.set())
        planes[0].fetcher.put("t", 1, make_content("t"))
        async with asyncio.timeout(60):
            await arrived.wait()
        self.assertTrue((await planes[1].catch_up()).complete)

    async def _start_plane(self, number):
        membership = Membership(_make_loopback_member(number), SHARED_KEY)
        plane = ControlPlane(membership, ConfigurationHolder(), SHARED_KEY)
        await membership.start()
        await plane.start()
        self.addAsyncCleanup(membership.close)
        self.addAsyncCleanup(plane.close)
        return plane


def _make_loopback_member(number):
    """Return a member whose addresses are free ports on the loopback interface."""
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        tcp.bind(("127.0.0.1", 0))
        udp.bind(("127.0.0.1", 0))
        control = f"127.0.0.1:{tcp.getsockname()[1]}"
        gossip = f"127.0.0.1:{udp.getsockname()[1]}"
    return Member(
        f"n{number}", 1, "s", "d", "r", gossip, control, control, MemberState.ALIVE
    )
