"""Anti-entropy of the member table: comparison and repair with one peer at a time."""

import asyncio
import random
import zlib
from dataclasses import dataclass

import msgspec
from loguru import logger

from goldcresthoist.control.errors import ControlError
from goldcresthoist.gossip.member import Member
from goldcresthoist.gossip.messages import STATE_UPDATE, StateUpdate
from goldcresthoist.gossip.reconcile import (
    Difference,
    apply_difference,
    bucket_digests,
    entries_of,
)

__all__ = ["MemberSync", "SyncOptions"]


@dataclass(frozen=True, slots=True)
class SyncOptions:
    """Intervals and rate limits of the member sync."""

    interval_s: float = 60.0
    # Longest delay before a sync that a received packet or a recovered member
    # triggered. The delay is random, so that the daemons that detect the recovery of
    # a region do not all sync at the same time.
    triggered_sync_delay_s: float = 2.0
    buckets_per_call: int = 8
    bytes_per_s: float = 6_000.0
    # The first sync after the start may run faster, because a new daemon needs the
    # member table soon and daemons start rarely.
    first_sync_bytes_per_s: float = 400_000.0
    # A peer that reports more live members than known here by more than this fraction
    # triggers a sync with it.
    lag_threshold: float = 0.02


class MemberSync:
    """Compares the member table with that of one peer at a time and repairs both.

    A sync runs after the join, at a regular interval, when a member of a lost failure
    domain recovers, and when a peer reports notably more live members.

    Parameters
    ----------
    membership : Membership
    client : ControlClient
    options : SyncOptions, optional

    Attributes
    ----------
    sync_requested : asyncio.Event
        Set when a sync is due without waiting for the interval.
    requested_peer : str or None
        Instance of the peer for that sync; None for a random peer.
    first_sync_done : asyncio.Event
        Set when the first sync is complete.
    bytes_exchanged, completed : int
        Total bytes and number of syncs since the start.
    """

    def __init__(self, membership, client, options=None):
        self.membership = membership
        self.view = membership.view
        self.client = client
        self.options = options or SyncOptions()
        self.sync_requested = asyncio.Event()
        self.requested_peer = None
        self.first_sync_done = asyncio.Event()
        self.bytes_exchanged = 0
        self.completed = 0
        membership.packet_subscribers.append(self._on_packet)
        self.view.on_recovery.append(self._on_member_recovered)

    async def run(self):
        """Sync at intervals and on request until cancelled."""
        while True:
            await self._wait_for_next_sync()
            peer = self._choose_peer()
            if peer is None:
                continue
            try:
                done = await self.sync_with(peer)
            except ControlError as exc:
                logger.info(
                    "event=member_sync_failed peer={} reason={!r}",
                    peer.instance,
                    str(exc),
                )
                continue
            if done:
                self.completed += 1
                self.first_sync_done.set()
            else:
                self.sync_requested.set()

    async def sync_with(self, member):
        """Sync with one member.

        Returns
        -------
        bool
            False if the member was busy with the sync of another peer.

        Raises
        ------
        ControlError
            If the member cannot be reached or a call fails. The buckets synced before
            keep their changes.
        """
        own = self.view.record
        domain = member.failure_domain
        async with self.client.connect(member) as peer:
            digests = bucket_digests(self.view)
            reply = await peer.sync(own.instance, own.failure_domain, digests)
            await self._throttle(len(digests) + len(reply.buckets))
            if reply.busy:
                return False
            buckets = reply.buckets
            step = self.options.buckets_per_call
            for start in range(0, len(buckets), step):
                await self._sync_buckets(peer, domain, buckets[start : start + step])
        return True

    async def _sync_buckets(self, peer, domain, buckets):
        own = self.view.record
        entries = entries_of(self.view, buckets, domain)
        reply = await peer.entries(own.instance, own.failure_domain, buckets, entries)
        requested = apply_difference(self.view, _decode_difference(reply))
        if requested:
            await peer.push(requested)
        pushed_bytes = sum(len(msgspec.msgpack.encode(member)) for member in requested)
        size = len(entries) + len(reply.states) + len(reply.members) + pushed_bytes
        await self._throttle(size)

    async def _throttle(self, size):
        """Sleep long enough to keep to the byte rate after exchanging some bytes."""
        self.bytes_exchanged += size
        first = not self.first_sync_done.is_set()
        options = self.options
        rate = options.first_sync_bytes_per_s if first else options.bytes_per_s
        await asyncio.sleep(size / rate)

    async def _wait_for_next_sync(self):
        """Wait until the interval has passed or a sync is requested.

        Before the first sync, the interval is a quarter of `triggered_sync_delay_s`.
        """
        options = self.options
        is_first = not self.first_sync_done.is_set()
        limit = options.triggered_sync_delay_s / 4 if is_first else options.interval_s
        try:
            async with asyncio.timeout(limit * random.uniform(0.8, 1.2)):
                await self.sync_requested.wait()
        except TimeoutError:
            return
        await asyncio.sleep(random.uniform(0.0, options.triggered_sync_delay_s))
        self.sync_requested.clear()

    def _choose_peer(self):
        instance, self.requested_peer = self.requested_peer, None
        if instance is not None:
            member = self.membership.member(instance)
            if member is not None and member.instance != self.view.record.instance:
                return member
        members = self.membership.random_members(1)
        return members[0] if members else None

    def _on_packet(self, packet):
        live = self.view.cluster_size()
        if packet.live > live + max(0, int(live * self.options.lag_threshold)):
            self._request_sync(packet.sender)

    def _on_member_recovered(self, slot):
        if self.view.roster.domain_of(slot) in self.view.lost_domains:
            self._request_sync(self.view.roster.record(slot).instance)

    def _request_sync(self, instance):
        if not self.sync_requested.is_set():
            self.requested_peer = instance
            self.sync_requested.set()


def _decode_difference(reply):
    states = STATE_UPDATE.iter_unpack(reply.states)
    data = zlib.decompress(reply.members)
    return Difference(
        [StateUpdate(*fields) for fields in states],
        msgspec.msgpack.decode(data, type=list[Member]),
        list(reply.wanted),
    )
