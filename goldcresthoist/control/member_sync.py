"""Task that compares the member table with peers and repairs it."""

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
    """Times are in seconds, sizes in bytes."""

    interval_s: float = 60.0
    # Wait before a sync that was asked for by an observation. Random, so that the
    # daemons that see a region return do not all start at once.
    prompt_delay_s: float = 2.0
    buckets_per_call: int = 8
    bytes_per_s: float = 6_000.0
    # A new daemon needs its first members soon and starts rarely.
    first_bytes_per_s: float = 400_000.0
    # Share by which a peer knows more live members before it is asked at once.
    lag_share: float = 0.02


class MemberSync:
    """Compares the member table with one peer at a time.

    A sync is made after the join, at a regular interval, when a peer of a lost domain
    is heard of again, and when a peer knows clearly more live members.

    Parameters
    ----------
    membership : Membership
    client : ControlClient
    options : SyncOptions
    """

    def __init__(self, membership, client, options=None):
        self.membership = membership
        self.view = membership.view
        self.client = client
        self.options = options or SyncOptions()
        self.wake = asyncio.Event()
        self.preferred = None
        self.first_done = asyncio.Event()
        self.bytes_exchanged = 0
        self.completed = 0
        membership.packet_subscribers.append(self._observe)
        self.view.on_return.append(self._returned)

    async def run(self):
        """Sync for ever."""
        while True:
            await self._wait()
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
                self.first_done.set()
            else:
                self.wake.set()

    async def sync_with(self, member):
        """Compare with one member; return False when it was busy.

        Raises
        ------
        ControlError
            When the member cannot be reached or fails on the way. What was compared
            before stays applied.
        """
        own = self.view.record
        domain = member.failure_domain
        async with self.client.connect(member) as peer:
            digests = bucket_digests(self.view)
            reply = await peer.sync(own.instance, own.failure_domain, digests)
            await self._pace(len(digests) + len(reply.buckets))
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
        lacking = apply_difference(self.view, _decode(reply))
        if lacking:
            await peer.push(lacking)
        pushed = sum(len(msgspec.msgpack.encode(member)) for member in lacking)
        size = len(entries) + len(reply.states) + len(reply.members) + pushed
        await self._pace(size)

    async def _pace(self, size):
        """Wait as long as a byte rate allows for what was just exchanged."""
        self.bytes_exchanged += size
        first = not self.first_done.is_set()
        options = self.options
        rate = options.first_bytes_per_s if first else options.bytes_per_s
        await asyncio.sleep(size / rate)

    async def _wait(self):
        """Wait for the interval to pass or for a reason to sync earlier."""
        options = self.options
        soon = not self.first_done.is_set()
        limit = options.prompt_delay_s / 4 if soon else options.interval_s
        try:
            async with asyncio.timeout(limit * random.uniform(0.8, 1.2)):
                await self.wake.wait()
        except TimeoutError:
            return
        await asyncio.sleep(random.uniform(0.0, options.prompt_delay_s))
        self.wake.clear()

    def _choose_peer(self):
        instance, self.preferred = self.preferred, None
        if instance is not None:
            member = self.membership.member(instance)
            if member is not None and member.instance != self.view.record.instance:
                return member
        members = self.membership.random_members(1)
        return members[0] if members else None

    def _observe(self, packet):
        own = self.view.population()
        if packet.live > own + max(0, int(own * self.options.lag_share)):
            self._prompt(packet.sender)

    def _returned(self, slot):
        if self.view.roster.domain_of(slot) in self.view.lost_domains:
            self._prompt(self.view.roster.record(slot).instance)

    def _prompt(self, instance):
        if not self.wake.is_set():
            self.preferred = instance
            self.wake.set()


def _decode(reply):
    states = STATE_UPDATE.iter_unpack(reply.states)
    data = zlib.decompress(reply.members)
    return Difference(
        [StateUpdate(*fields) for fields in states],
        msgspec.msgpack.decode(data, type=list[Member]),
        list(reply.wanted),
    )
