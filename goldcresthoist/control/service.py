"""Server side of the control services of a daemon."""

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
from goldcresthoist.control.codec import AuthenticatedCodec
from goldcresthoist.control.counting import count_domain
from goldcresthoist.control.errors import ControlError
from goldcresthoist.gossip.exchange import format_address
from goldcresthoist.gossip.messages import STATE_UPDATE
from goldcresthoist.gossip.reconcile import differing_buckets, merge_entries

__all__ = ["ControlServer", "ControlService"]

# This limits the time and the memory that one reply takes.
MAX_FETCH_BYTES = 512 * 1024
MAX_CANDIDATES = 8
# If a peer disappears during a sync, other peers can sync after this time.
SYNC_RESERVATION_S = 10.0
HTTP2_WINDOW_BYTES = 1024 * 1024


class ControlService:
    """Implementation of the control services.

    Parameters
    ----------
    membership : Membership
    holder : ConfigurationHolder
    crash_suspects : callable
        Returns the daemon's `CrashSuspect` entries.

    Attributes
    ----------
    candidates : OrderedDict
        Content of the last `MAX_CANDIDATES` valid candidates, by digest.
    on_candidate : callable or None
        Called with the team and the version of each valid candidate.
    sync_peer : str or None
        Instance of the peer whose member sync is in progress.
    """

    def __init__(self, membership, holder, crash_suspects=tuple):
        self.membership = membership
        self.holder = holder
        self.crash_suspects = crash_suspects
        self.candidates = OrderedDict()
        self.on_candidate = None
        self.sync_peer = None
        self.sync_last_call_at = float("-inf")
        self.sync_remaining_buckets = set()

    def __mapping__(self):
        """Return the handlers by path. grpclib calls this method."""
        handlers = {
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
                self._make_handler(answer),
                Cardinality.UNARY_UNARY,
                method.request_type,
                method.reply_type,
            )
            for method, answer in handlers.items()
        }

    async def sync(self, request):
        """Return the buckets that differ, or a busy reply if another sync runs."""
        if not self.reserve_sync(request.instance):
            return m.SyncReply(request.nonce, b"", busy=True)
        buckets = differing_buckets(self.membership.view, request.digests)
        self._set_remaining_buckets(set(buckets))
        return m.SyncReply(request.nonce, bytes(buckets))

    async def entries(self, request):
        """Merge a peer's entries of some buckets and return what the peer lacks."""
        if not self.reserve_sync(request.instance):
            raise GRPCError(
                Status.RESOURCE_EXHAUSTED, "a sync with another peer is in progress"
            )
        if len(request.entries) % STATE_UPDATE.size:
            raise GRPCError(Status.INVALID_ARGUMENT, "entries are truncated")
        difference = merge_entries(
            self.membership.view, request.buckets, request.entries, request.domain
        )
        self._set_remaining_buckets(self.sync_remaining_buckets - set(request.buckets))
        return m.EntriesReply(
            request.nonce,
            b"".join(update.pack() for update in difference.states),
            zlib.compress(msgspec.msgpack.encode(difference.members), 1),
            tuple(difference.wanted),
        )

    async def push(self, request):
        """Add the members that this daemon requested in its reply to `entries`."""
        for member in request.members:
            self.membership.view.apply_member(member, propagate=False)
        return m.PushReply(request.nonce)

    async def suspects(self, request):
        """Return the crash suspects of this daemon."""
        return m.SuspectsReply(request.nonce, tuple(self.crash_suspects()))

    async def versions(self, request):
        """Return the versions in the buckets that differ from the peer's digests."""
        versions = self.membership.versions.differing(request.digests)
        return m.VersionsReply(request.nonce, tuple(versions))

    async def fetch(self, request):
        """Return the content in force of the requested teams.

        Stops at `MAX_FETCH_BYTES`, but returns at least one content if there is any.
        """
        items, size = [], 0
        for team in request.teams:
            if (current := self.holder.in_force(team)) is None:
                continue
            size += len(current.content)
            if items and size > MAX_FETCH_BYTES:
                break
            items.append(
                m.Content(team, current.version, current.digest, current.content)
            )
        return m.FetchReply(request.nonce, tuple(items))

    async def prepare(self, request):
        """Validate a candidate and keep its content.

        If the candidate is accepted, this daemon can put it in force as soon as the
        version is announced by gossip, without fetching the content.
        """
        current = self.holder.version_of(request.team)
        if request.version <= current:
            reason = f"version {current} is already in force"
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
        """Count the daemons of this failure domain that have a version in force."""
        counts = await count_domain(
            self.membership, request.team, request.version, request.limit_s
        )
        domain = self.membership.view.record.failure_domain
        return m.CountReply(
            request.nonce, domain, counts.in_force, counts.behind, counts.silent
        )

    def reserve_sync(self, instance):
        """Reserve the member sync for a peer, or return False if it is reserved.

        Syncs run with one peer at a time, which bounds the rate of bytes sent. The
        reservation expires `SYNC_RESERVATION_S` after the last call of the peer.
        """
        now = self.membership.view.now()
        expired = now > self.sync_last_call_at + SYNC_RESERVATION_S
        if self.sync_peer not in (None, instance) and not expired:
            return False
        self.sync_peer, self.sync_last_call_at = instance, now
        return True

    def _set_remaining_buckets(self, buckets):
        """Record the buckets still to compare; end the reservation if none is left."""
        self.sync_remaining_buckets = buckets
        if not buckets:
            self.sync_peer = None

    def _make_handler(self, answer):
        async def handle_call(stream):
            request = await stream.recv_message()
            if request is None:
                raise GRPCError(Status.INVALID_ARGUMENT, "the request has no message")
            if request.to != self.membership.view.record.instance:
                raise GRPCError(
                    Status.NOT_FOUND, f"the request is for daemon {request.to!r}"
                )
            await stream.send_message(await answer(request))

        return handle_call


class ControlServer:
    """Serves the control services over TCP.

    Parameters
    ----------
    service : ControlService
    shared_key : bytes
        Key with which daemons authenticate each other's messages.
    """

    def __init__(self, service, shared_key):
        self.codec = AuthenticatedCodec(shared_key)
        self.socket = None
        config = Configuration(
            http2_connection_window_size=HTTP2_WINDOW_BYTES,
            http2_stream_window_size=HTTP2_WINDOW_BYTES,
        )
        self.server = Server([service], codec=self.codec, config=config)

    async def start(self, address):
        """Listen on an address in the form ``"ip:port"``; port 0 selects a free port.

        Raises
        ------
        ControlError
            If the address cannot be bound.
        """
        host, port = split_address(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        try:
            self.socket = socket.create_server((host, port), family=family)
        except OSError as exc:
            raise ControlError(f"cannot bind {address}: {exc}") from exc
        await self.server.start(sock=self.socket)

    def address(self):
        """Return the address on which the server listens, as ``"ip:port"``."""
        return format_address(self.socket.getsockname())

    async def close(self):
        """Stop listening and cancel the open calls."""
        self.server.close()
        await self.server.wait_closed()
