"""Calls to the control services of other daemons."""

import asyncio
import random
from contextlib import asynccontextmanager

from grpclib import GRPCError
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.exceptions import ProtocolError, StreamTerminatedError

from goldcresthoist.config import split_address
from goldcresthoist.control import methods
from goldcresthoist.control.codec import SealedCodec
from goldcresthoist.control.errors import BadMessage, PeerUnavailable

__all__ = ["ControlClient", "Peer"]

DEFAULT_LIMIT_S = 5.0


class ControlClient:
    """Opens connections to the control services of members.

    Parameters
    ----------
    shared_key : bytes
        Key that daemons authenticate each other with.
    open_channel : callable, optional
        Makes the asynchronous context manager of a channel from an ``"ip:port"``
        address; by default a TCP channel.
    """

    def __init__(self, shared_key, open_channel=None):
        self.codec = SealedCodec(shared_key)
        self.open_channel = open_channel or self._open_tcp_channel

    @asynccontextmanager
    async def connect(self, member):
        """Connect to a member for some calls.

        Yields
        ------
        Peer
        """
        async with self.open_channel(member.control_address) as channel:
            yield Peer(member.instance, channel)

    def _open_tcp_channel(self, address):
        host, port = split_address(address)
        return Channel(host, port, codec=self.codec)


class Peer:
    """One connection to the control services of a daemon.

    Each method raises `PeerUnavailable` when the daemon cannot be reached, refuses
    the message or does not answer in time, and `BadMessage` for a wrong answer.
    """

    def __init__(self, instance, channel):
        self.instance = instance
        self.channel = channel

    async def sync(self, instance, domain, digests):
        """Compare bucket digests; return a `SyncReply`."""
        return await self.call(methods.SYNC, instance, domain, digests)

    async def entries(self, instance, domain, buckets, entries):
        """Exchange the entries of some buckets; return an `EntriesReply`."""
        return await self.call(methods.ENTRIES, instance, domain, buckets, entries)

    async def push(self, members):
        """Hand over members that the peer asked for."""
        await self.call(methods.PUSH, tuple(members))

    async def crash_suspects(self):
        """Return the peer's `CrashSuspect` entries."""
        return (await self.call(methods.SUSPECTS)).suspects

    async def versions(self, digests=b""):
        """Return the versions in force, or those in differing buckets."""
        return (await self.call(methods.VERSIONS, digests)).versions

    async def fetch(self, teams, limit_s=DEFAULT_LIMIT_S):
        """Return `Content` of some teams, at least one if the peer has any."""
        reply = await self.call(methods.FETCH, tuple(teams), limit_s=limit_s)
        return reply.items

    async def prepare(self, team, version, content):
        """Send a candidate; return a `PrepareReply`."""
        return await self.call(methods.PREPARE, team, version, content)

    async def count(self, team, version, limit_s):
        """Count the peer's domain within a time; return a `CountReply`."""
        return await self.call(
            methods.COUNT, team, version, limit_s, limit_s=limit_s + 1.0
        )

    async def call(self, method, *fields, limit_s=DEFAULT_LIMIT_S):
        """Call one method within a time and check that the reply is its answer."""
        nonce = random.getrandbits(63)
        request = method.request_type(self.instance, nonce, *fields)
        call = UnaryUnaryMethod(
            self.channel, method.path, method.request_type, method.reply_type
        )
        try:
            async with asyncio.timeout(limit_s):
                reply = await call(request)
        except (
            GRPCError,
            OSError,
            ProtocolError,
            StreamTerminatedError,
            TimeoutError,
        ) as exc:
            raise PeerUnavailable(f"{self.instance} {method.path}: {exc!r}") from exc
        if reply is None or reply.nonce != nonce:
            raise BadMessage(f"{self.instance} {method.path}: answer to another call")
        return reply
