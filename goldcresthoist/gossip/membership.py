"""Membership service of one daemon."""

import asyncio
import random
import time

from goldcresthoist.config import split_address
from goldcresthoist.gossip._supervision import keep_running
from goldcresthoist.gossip.errors import GossipError
from goldcresthoist.gossip.exchange import Exchange, new_nonce
from goldcresthoist.gossip.joining import join_peers, rejoin_periodically, send_join
from goldcresthoist.gossip.member import Member, MemberState
from goldcresthoist.gossip.messages import Version, VersionQuery
from goldcresthoist.gossip.options import GossipOptions
from goldcresthoist.gossip.packet_handler import PacketHandler
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

# Number of random members to which a draining or leaving daemon sends its new state
# immediately.
STATE_CHANGE_FANOUT = 8


class Membership:
    """Tracks all daemons of the cluster by gossip over UDP.

    Must be created inside a running event loop. All timing depends on the clock of the
    loop. The wall clock only provides the initial incarnation and sequence number.

    Parameters
    ----------
    local : Member
        The member that this daemon represents. Its incarnation should be higher than
        at the previous start. If it is not, peers report the incarnation that they
        hold, and the daemon raises its own.
    shared_key : bytes
        Key with which daemons authenticate each other.
    options : GossipOptions
    wall_clock : callable
        Returns the time in seconds since the epoch.
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
        self.packet_handler = PacketHandler(
            self.exchange, self._on_versions, self._on_packet
        )
        self.exchange.handler = self.packet_handler.handle
        self.tasks = []

    @classmethod
    def from_settings(cls, settings, options=None, wall_clock=time.time):
        """Create the service of a daemon with the given settings."""
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
        """Start the tasks that probe members, send updates and expire states."""
        for coroutine_function in (
            probe_members,
            probe_dead,
            expire_suspicions,
            remove_expired_members,
            disseminate_updates,
        ):
            self._run(keep_running(coroutine_function, self.exchange))

    def pause(self):
        """Cancel all tasks. Datagrams are still answered."""
        for task in self.tasks:
            task.cancel()

    def join(self, addresses=(), hints=()):
        """Start a task that contacts seed peers until one of them answers.

        A second task sends join messages to them at long intervals, as long as the
        daemon runs.

        Parameters
        ----------
        addresses : sequence of str
            Gossip addresses of seed peers.
        hints : sequence of str
            Gossip addresses or networks where daemons may be reached.

        Returns
        -------
        asyncio.Task
            Completes when a peer has answered.
        """
        seeds = tuple(addresses), tuple(hints)
        self._run(keep_running(rejoin_periodically, self.exchange, *seeds))
        return self._run(join_peers(self.exchange, *seeds))

    def send_join_to(self, address):
        """Send one join message to a gossip address without waiting for the answer."""
        send_join(self.exchange, address)

    async def close(self):
        """Stop the tasks and close the socket, without notifying peers."""
        self.pause()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks.clear()
        if self.exchange.transport is not None:
            self.exchange.transport.close()

    def members_of(self, service):
        """Return the live members of a service, the local one included.

        Draining and suspect members are included. Use `Member.accepts_work` to check
        whether new work may be sent to a member.
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
        """Return the live members of a failure domain, other than the local one.

        With ``count``, at most that many of them are returned, chosen at random.
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
        """Return a `DomainCount` per failure domain, the local member included."""
        counts = self.view.roster.counts_by_domain()
        own = self.view.record.failure_domain
        count = counts.get(own, DomainCount(0, 0, 0))
        counts[own] = DomainCount(count.alive + 1, count.suspect, count.dead)
        return counts

    def alive_count(self):
        """Return the number of alive and draining members, the local one included."""
        return sum(count.alive for count in self.counts_by_domain().values())

    def subscribe(self, callback):
        """Call ``callback(member)`` whenever another member changes.

        Returns
        -------
        callable
            Cancels the subscription.
        """
        self.view.subscribers.append(callback)
        return lambda: self.view.subscribers.remove(callback)

    def subscribe_versions(self, callback):
        """Call ``callback(versions, instance, more)`` for versions in force elsewhere.

        ``versions`` are higher than those announced by this daemon. They are in force
        at ``instance``; if ``more`` is true, further ones are. The callback is called
        again for each announcement until this daemon announces the version itself.

        Returns
        -------
        callable
            Cancels the subscription.
        """
        self.version_subscribers.append(callback)
        return lambda: self.version_subscribers.remove(callback)

    def set_draining(self):
        """Announce to all members that this daemon accepts no new work."""
        self.view.set_local_state(MemberState.DRAINING)
        send_queued_updates(self.exchange, STATE_CHANGE_FANOUT)

    def leave(self):
        """Announce that this daemon is about to stop. Call `close` afterwards."""
        self.view.set_local_state(MemberState.LEFT)
        send_queued_updates(self.exchange, STATE_CHANGE_FANOUT)

    def announce_version(self, team, version, digest, all_domains=False):
        """Announce that a configuration version is in force at this daemon.

        Parameters
        ----------
        team : str
        version : int
            Ignored unless it is higher than the one announced before.
        digest : bytes
            Digest of the content.
        all_domains : bool
            Whether to also send it to some members of each failure domain. Set at the
            daemon where the change was made.
        """
        item = Version(team, version, digest)
        if self.versions.put(item):
            disseminate_version(self.exchange, item, all_domains)

    async def query_version(self, member, team, timeout_s=1.0):
        """Request the version of a team's configuration that is in force at a member.

        Returns
        -------
        int or None
            0 if no version is in force there, None if the request timed out.
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
