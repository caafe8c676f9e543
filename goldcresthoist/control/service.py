"""The control services of one daemon."""

import socket
import zlib
from collections import OrderedDict

import msgspec
from grpclib import GRPCError, Status
from grpclib.config import Configuration
from grpclib.const import Cardinality, Handler
from grpclib.server import Server

from goldcresthoist.config import content_digest, split_address
from goldcresthoist.control import messages as m
from goldcresthoist.control import methods
from goldcresthoist.control.codec import SealedCodec
from goldcresthoist.control.counting import count_domain
from goldcresthoist.control.errors import ControlError
from goldcresthoist.gossip.exchange import format_address
from goldcresthoist.gossip.messages import STATE_UPDATE
from goldcresthoist.gossip.reconcile import differing_buckets, merge_entries

__all__ = ["ControlServer", "ControlService"]

# One reply must not hold a connection or this much memory for long.
MAX_FETCH_BYTES = 512 * 1024
MAX_CANDIDATES = 8
# A sync whose peer went away blocks others for this long.
SYNC_IDLE_S = 10.0
WINDOW_BYTES = 1024 * 1024


class ControlService:
    """Answers the calls of other daemons.

    Parameters
    ----------
    membership : Membership
    holder : ConfigurationHolder
    crash_suspects : callable
        Returns the daemon's `CrashSuspect` entries.
    """

    def __init__(self, membership, holder, crash_suspects=tuple):
        self.membership = membership
        self.holder = holder
        self.crash_suspects = crash_suspects
        self.candidates = OrderedDict()
        # Called with team and version of each candidate that is taken.
        self.on_candidate = None
        self.sync_peer = None
        self.sync_used_at = float("-inf")
        self.sync_left = set()

    def __mapping__(self):
        """Return the handlers, in the form that grpclib asks for."""
        answers = {
            methods.SYNC: self.sync,
            methods.ENTRIES: self.entries,
            methods.PUSH: self.push,
            methods.SUSPECTS: self.suspects,
            methods.VERSIONS: self.versions,
            methods.FETCH: self.fetch,
            methods.PREPARE: self.prepare,
            methods.COUNT: self.count,
        }
        return {
            method.path: Handler(
                self._handler(answer),
                Cardinality.UNARY_UNARY,
                method.request_type,
                method.reply_type,
            )
            for method, answer in answers.items()
        }

    async def sync(self, request):
        """Name the buckets that differ, unless another sync runs."""
        if not self.reserve_sync(request.instance):
            return m.SyncReply(request.nonce, b"", busy=True)
        buckets = differing_buckets(self.membership.view, request.digests)
        self._sync_remaining(set(buckets))
        return m.SyncReply(request.nonce, bytes(buckets))

    async def entries(self, request):
        """Merge entries of some buckets and return what the peer lacks."""
        if not self.reserve_sync(request.instance):
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "another sync runs")
        if len(request.entries) % STATE_UPDATE.size:
            raise GRPCError(Status.INVALID_ARGUMENT, "entries are cut off")
        difference = merge_entries(
            self.membership.view, request.buckets, request.entries, request.domain
        )
        self._sync_remaining(self.sync_left - set(request.buckets))
        return m.EntriesReply(
            request.nonce,
            b"".join(update.pack() for update in difference.states),
            zlib.compress(msgspec.msgpack.encode(difference.members), 1),
            tuple(difference.wanted),
        )

    async def push(self, request):
        """Take over members that this daemon asked for."""
        for member in request.members:
            self.membership.view.apply_member(member, spread=False)
        return m.PushReply(request.nonce)

    async def suspects(self, request):
        """Return the crash suspects."""
        return m.SuspectsReply(request.nonce, tuple(self.crash_suspects()))

    async def versions(self, request):
        """Return the versions in force that may differ from the peer's."""
        versions = self.membership.versions.differing(request.digests)
        return m.VersionsReply(request.nonce, tuple(versions))

    async def fetch(self, request):
        """Return the content in force of some teams."""
        items, size = [], 0
        for team in request.teams:
            if (held := self.holder.in_force(team)) is None:
                continue
            size += len(held.content)
            if items and size > MAX_FETCH_BYTES:
                break
            items.append(m.Content(team, held.version, held.digest, held.content))
        return m.FetchReply(request.nonce, tuple(items))

    async def prepare(self, request):
        """Check a candidate and keep it, so that its rumour needs no fetch."""
        held = self.holder.version_of(request.team)
        if request.version <= held:
            reason = f"version {held} is in force"
            return m.PrepareReply(request.nonce, False, reason)
        if reason := self.holder.rejection_reason(request.team, request.content):
            return m.PrepareReply(request.nonce, False, reason)
        self.candidates[content_digest(request.content)] = request.content
        if len(self.candidates) > MAX_CANDIDATES:
            self.candidates.popitem(last=False)
        if self.on_candidate is not None:
            self.on_candidate(request.team, request.version)
        return m.PrepareReply(request.nonce, True)

    async def count(self, request):
        """Count the daemons of the own failure domain with a version in force."""
        counted = await count_domain(
            self.membership, request.team, request.version, request.limit_s
        )
        domain = self.membership.view.record.failure_domain
        return m.CountReply(
            request.nonce, domain, counted.in_force, counted.behind, counted.silent
        )

    def reserve_sync(self, instance):
        """Return whether this peer may sync: one at a time bounds the bytes sent."""
        now = self.membership.view.now()
        idle = now > self.sync_used_at + SYNC_IDLE_S
        if self.sync_peer not in (None, instance) and not idle:
            return False
        self.sync_peer, self.sync_used_at = instance, now
        return True

    def _sync_remaining(self, buckets):
        """Note the buckets that are left; with none, another peer may sync."""
        self.sync_left = buckets
        if not buckets:
            self.sync_peer = None

    def _handler(self, answer):
        async def handle(stream):
            request = await stream.recv_message()
            if request is None:
                raise GRPCError(Status.INVALID_ARGUMENT, "no message")
            if request.to != self.membership.view.record.instance:
                raise GRPCError(Status.NOT_FOUND, f"no daemon {request.to!r} here")
            await stream.send_message(await answer(request))

        return handle


class ControlServer:
    """Serves the control services over TCP.

    Parameters
    ----------
    service : ControlService
    shared_key : bytes
        Key that daemons authenticate each other with.
    """

    def __init__(self, service, shared_key):
        self.codec = SealedCodec(shared_key)
        self.socket = None
        config = Configuration(
            http2_connection_window_size=WINDOW_BYTES,
            http2_stream_window_size=WINDOW_BYTES,
        )
        self.server = Server([service], codec=self.codec, config=config)

    async def start(self, address):
        """Listen at ``"ip:port"``; port 0 takes a free one.

        Raises
        ------
        ControlError
            When the address cannot be bound.
        """
        host, port = split_address(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        try:
            self.socket = socket.create_server((host, port), family=family)
        except OSError as exc:
            raise ControlError(f"cannot bind {address}: {exc}") from exc
        await self.server.start(sock=self.socket)

    def address(self):
        """Return the ``"ip:port"`` that the server listens at."""
        return format_address(self.socket.getsockname())

    async def close(self):
        """Stop listening and end open calls."""
        self.server.close()
        await self.server.wait_closed()
