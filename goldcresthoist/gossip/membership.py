"""Membership service of one daemon."""

import asyncio
import random
import time

from goldcresthoist.config import split_address
from goldcresthoist.gossip._supervision import keep_running
from goldcresthoist.gossip.answering import PacketHandler
from goldcresthoist.gossip.errors import GossipError
from goldcresthoist.gossip.exchange import Exchange, new_nonce
from goldcresthoist.gossip.joining import join_peers, rejoin_periodically, send_join
from goldcresthoist.gossip.member import Member, MemberState
from goldcresthoist.gossip.messages import Version, VersionQuery
from goldcresthoist.gossip.options import GossipOptions
from goldcresthoist.gossip.probing import (
    expire_suspicions,
    probe_dead,
    probe_members,
    remove_expired_members,
)
from goldcresthoist.gossip.roster import DomainCount
from goldcresthoist.gossip.spreading import (
    disseminate_updates,
    disseminate_version,
    send_queued_updates,
)
from goldcresthoist.gossip.versions import VersionTable
from goldcresthoist.gossip.view import View

__all__ = ["Membership"]

# Members told at once that this daemon drains or leaves.
STATE_CHANGE_FANOUT = 8


class Membership:
    """Keeps track of all daemons by gossip over UDP.

    Must be made inside a running event loop, whose clock is the only one that timing
    depends on. The wall clock only seeds the incarnation and the sequence number.

    Parameters
    ----------
    local : Member
        The own member. Its incarnation must grow from start to start where possible;
        peers correct one that did not.
    shared_key : bytes
        Key that daemons authenticate each other with.
    options : GossipOptions
    wall_clock : callable
        Returns seconds since the epoch.
    """

    def __init__(self, local, shared_key, options=None, wall_clock=time.time):
        self.options = options or GossipOptions()
        self.view = View(local, asyncio.get_running_loop().time)
        self.versions = VersionTable()
        self.exchange = Exchange(
            self.view, self.versions, shared_key, self.options, wall_clock
        )
        self.version_subscribers = []
        self.packet_subscribers = []
        self.answering = PacketHandler(
            self.exchange, self._on_versions, self._on_packet
        )
        self.exchange.handler = self.answering.handle
        self.tasks = []

    @classmethod
    def from_settings(cls, settings, options=None, wall_clock=time.time):
        """Make the service for a daemon with the given settings."""
        local = Member(
            settings.instance,
            int(wall_clock() * 1000),
            settings.service,
            settings.failure_domain,
            settings.region,
            settings.gossip_address,
            settings.link_address,
            settings.control_address,
            MemberState.ALIVE,
        )
        return cls(local, settings.shared_key_bytes(), options, wall_clock)

    @property
    def datagrams_dropped(self):
        """Number of received datagrams that were forged, corrupt or replayed."""
        return self.exchange.dropped

    async def start(self):
        """Open the socket and start the tasks.

        Raises
        ------
        GossipError
            When the gossip address cannot be bound.
        """
        if self.exchange.transport is None:
            await self._open_socket()
        self.resume()

    def resume(self):
        """Start the tasks that probe, spread and expire."""
        for coroutine_function in (
            probe_members,
            probe_dead,
            expire_suspicions,
            remove_expired_members,
            disseminate_updates,
        ):
            self._run(keep_running(coroutine_function, self.exchange))

    def pause(self):
        """Stop all tasks. Datagrams are still answered."""
        for task in self.tasks:
            task.cancel()

    def join(self, addresses=(), hints=()):
        """Look for first peers, in a task of its own, until one answers.

        A second task greets them now and then, for as long as the daemon runs.

        Parameters
        ----------
        addresses : sequence of str
            Gossip addresses of daemons.
        hints : sequence of str
            Gossip addresses or networks where daemons may be.

        Returns
        -------
        asyncio.Task
            Ends when a peer has answered.
        """
        where = tuple(addresses), tuple(hints)
        self._run(keep_running(rejoin_periodically, self.exchange, *where))
        return self._run(join_peers(self.exchange, *where))

    def greet(self, address):
        """Tell the daemon at a gossip address of this one, without waiting for it."""
        send_join(self.exchange, address)

    async def close(self):
        """Stop the tasks and close the socket, without telling peers."""
        self.pause()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks.clear()
        if self.exchange.transport is not None:
            self.exchange.transport.close()

    def members_of(self, service):
        """Return the members of a service that are neither dead nor gone.

        The own member is included. Members in state draining or suspect are included;
        `Member.accepts_work` tells whether to send them work.
        """
        members = self.view.roster.members_of(service)
        own = self.view.local()
        if service == own.service and own.state != MemberState.LEFT:
            members.append(own)
        return members

    def member(self, instance):
        """Return the member with the given instance name, or None."""
        if instance == self.view.record.instance:
            return self.view.local()
        slot = self.view.roster.slot_of(instance)
        return None if slot is None else self.view.roster.member(slot)

    def members_in(self, failure_domain, count=None):
        """Return other members of a domain that are neither dead nor gone.

        With ``count``, as many of them chosen at random.
        """
        roster = self.view.roster
        slots = roster.live_in(failure_domain)
        if count is not None and count < len(slots):
            slots = random.sample(slots, count)
        return [roster.member(slot) for slot in slots]

    def random_members(self, count):
        """Return up to ``count`` other live members, chosen at random."""
        roster = self.view.roster
        return [roster.member(slot) for slot in roster.random_live(count)]

    def counts_by_domain(self):
        """Return a `DomainCount` per failure domain; the own member is included."""
        counts = self.view.roster.counts_by_domain()
        own = self.view.record.failure_domain
        count = counts.get(own, DomainCount(0, 0, 0))
        counts[own] = DomainCount(count.alive + 1, count.suspect, count.dead)
        return counts

    def live_count(self):
        """Return the number of live members, the own one included."""
        return sum(count.alive for count in self.counts_by_domain().values())

    def subscribe(self, callback):
        """Call ``callback(member)`` whenever another member changes.

        Returns
        -------
        callable
            Ends the subscription.
        """
        self.view.subscribers.append(callback)
        return lambda: self.view.subscribers.remove(callback)

    def subscribe_versions(self, callback):
        """Call ``callback(versions, instance, more)`` for versions in force elsewhere.

        ``versions`` are higher than the ones announced here; ``instance`` has them in
        force, and others too if ``more`` is true. Called again for each rumour until
        the version is announced here.
        """
        self.version_subscribers.append(callback)
        return lambda: self.version_subscribers.remove(callback)

    def set_draining(self):
        """Tell all members that this daemon takes no new work."""
        self.view.set_local_state(MemberState.DRAINING)
        send_queued_updates(self.exchange, STATE_CHANGE_FANOUT)

    def leave(self):
        """Tell members that this daemon is about to end. Call `close` afterwards."""
        self.view.set_local_state(MemberState.LEFT)
        send_queued_updates(self.exchange, STATE_CHANGE_FANOUT)

    def announce_version(self, team, version, digest, everywhere=False):
        """Tell members that a configuration version is in force here.

        Parameters
        ----------
        team : str
        version : int
            Ignored when it is not higher than the one announced before.
        digest : bytes
            Digest of the content.
        everywhere : bool
            Tell some members of each failure domain too. Set by the daemon where the
            change was made.
        """
        item = Version(team, version, digest)
        if self.versions.put(item):
            disseminate_version(self.exchange, item, everywhere)

    async def query_version(self, member, team, timeout_s=1.0):
        """Ask a member which version is in force there.

        Returns
        -------
        int or None
            0 when it has none, None when there was no answer in time.
        """
        query = VersionQuery(new_nonce(), team)
        address = member.gossip_address
        answer = await self.exchange.request(query, address, timeout_s)
        return None if answer is None else answer.version

    async def _open_socket(self):
        address = self.view.record.gossip_address
        loop = asyncio.get_running_loop()
        try:
            await loop.create_datagram_endpoint(
                lambda: self.exchange, local_addr=split_address(address)
            )
        except OSError as exc:
            raise GossipError(f"cannot bind gossip_address {address}: {exc}") from exc

    def _run(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.append(task)
        task.add_done_callback(self._discard_task)
        return task

    def _discard_task(self, task):
        if task in self.tasks:
            self.tasks.remove(task)

    def _on_versions(self, versions, instance, more):
        for callback in tuple(self.version_subscribers):
            callback(versions, instance, more)

    def _on_packet(self, packet):
        for callback in tuple(self.packet_subscribers):
            callback(packet)
