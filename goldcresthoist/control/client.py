"""Client side of the control services of other daemons."""

import asyncio
import random
from contextlib import asynccontextmanager

from grpclib import GRPCError
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.exceptions import ProtocolError, StreamTerminatedError

from goldcresthoist.config import split_address
from goldcresthoist.control import methods
from goldcresthoist.control.codec import AuthenticatedCodec
from goldcresthoist.control.errors import BadMessage, PeerUnavailable

__all__ = ["ControlClient", "Peer"]

DEFAULT_TIMEOUT_S = 5.0


class ControlClient:
    """Opens connections to the control services of members.

    Parameters
    ----------
    shared_key : bytes
        Key with which daemons authenticate each other's messages.
    open_channel : callable, optional
        Called with an address in the form ``"ip:port"``; returns an asynchronous
        context manager that yields a channel. By default a TCP channel is opened.
    """

    def __init__(self, shared_key, open_channel=None):
        self.codec = AuthenticatedCodec(shared_key)
        self.open_channel = open_channel or self._open_tcp_channel

    @asynccontextmanager
    async def connect(self, member):
        """Open a connection to a member for the time of the context.

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

    Each method raises `PeerUnavailable` if the daemon cannot be reached, rejects the
    request or does not reply in time, and `BadMessage` if the reply is missing or
    belongs to another request.
    """

    def __init__(self, instance, channel):
        self.instance = instance
        self.channel = channel

    async def sync(self, instance, domain, digests):
        """Send bucket digests of the member table; return a `SyncReply`."""
        return await self.call(methods.SYNC, instance, domain, digests)

    async def entries(self, instance, domain, buckets, entries):
        """Send the entries of some buckets; return an `EntriesReply`."""
        return await self.call(methods.ENTRIES, instance, domain, buckets, entries)

    async def push(self, members):
        """Send the members that the peer requested in an `EntriesReply`."""
        await self.call(methods.PUSH, tuple(members))

    async def crash_suspects(self):
        """Return the peer's `CrashSuspect` entries."""
        return (await self.call(methods.SUSPECTS)).suspects

    async def versions(self, digests=b""):
        """Return the peer's versions in force.

        With bucket digests, only the versions in buckets that differ are returned.
        """
        return (await self.call(methods.VERSIONS, digests)).versions

    async def fetch(self, teams, timeout_s=DEFAULT_TIMEOUT_S):
        """Return the `Content` of some teams, of at least one if the peer has any."""
        reply = await self.call(methods.FETCH, tuple(teams), timeout_s=timeout_s)
        return reply.items

    async def prepare(self, team, version, content):
        """Send the content of a candidate in advance; return a `PrepareReply`."""
        return await self.call(methods.PREPARE, team, version, content)

    async def count(self, team, version, limit_s):
        """Return the `CountReply` of the peer's domain, counted within ``limit_s``."""
        return await self.call(
            methods.COUNT, team, version, limit_s, timeout_s=limit_s + 1.0
        )

    async def call(self, method, *fields, timeout_s=DEFAULT_TIMEOUT_S):
        """Call a `Method` and check that the reply belongs to the request."""
        nonce = random.getrandbits(63)
        request = method.request_type(self.instance, nonce, *fields)
        call = UnaryUnaryMethod(
            self.channel, method.path, method.request_type, method.reply_type
        )
        try:
            async with asyncio.timeout(timeout_s):
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
            raise BadMessage(
                f"{self.instance} {method.path}: the reply does not match the request"
            )
        return reply
