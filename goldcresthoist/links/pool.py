"""Links of the entry daemon to the serving daemons that it calls."""

import asyncio
import random

from goldcresthoist.addresses import split_address
from goldcresthoist.clock import monotonic
from goldcresthoist.links.errors import LinkError
from goldcresthoist.links.opener import open_link

__all__ = ["LinkPool", "PeerLink"]

PING_INTERVAL_S = 0.25
# This limits the total ping rate of links without calls, so that a daemon with hundreds
# of links stays within its budget for control traffic. At 20 pings per second, pings
# and pongs take about 6 KB per second, including packet headers.
IDLE_PINGS_PER_S = 20.0
# Links are pinged at least this often, or the other end closes them as silent.
MAX_PING_INTERVAL_S = 12.0
# Time without a response to a ping after which the peer gets no new calls.
UNRESPONSIVE_AFTER_S = 1.0
# Time without a response to a ping after which the link is closed. Its calls then fail,
# so that reads are retried at other upstreams.
PING_TIMEOUT_S = 4.0
BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 2.0


class PeerLink:
    """Maintains the link to one peer in a background task that reconnects as needed.

    ``on_load(load)`` is called with every `LoadReport` of the peer.
    """

    def __init__(self, pool, member, on_load):
        self.pool = pool
        self.instance = member.instance
        self.address = member.link_address
        self.on_load = on_load
        self.link = None
        self.failed_attempts = 0
        self.closing_when_idle = False
        self.first_attempt_done = asyncio.Event()
        self.task = asyncio.create_task(self._maintain_link())

    def is_usable(self, now):
        """Return whether new calls may be sent to the peer."""
        link = self.link
        if link is None or link.closed:
            return False
        return link.unanswered_ping_age(now) < UNRESPONSIVE_AFTER_S

    def close_when_idle(self):
        """Close the link once it carries no call."""
        self.closing_when_idle = True

    def close(self):
        """Close the link and stop its task."""
        self.task.cancel()
        if self.link is not None:
            self.link.close("not-needed")

    async def _maintain_link(self):
        while not self.closing_when_idle:
            try:
                await self._connect()
            except (OSError, TimeoutError, LinkError):
                self.failed_attempts += 1
                self.pool.counters.add("link_connects_failed")
            else:
                self.failed_attempts = 0
                await self._ping_until_closed()
                self.link = None
            self.first_attempt_done.set()
            await asyncio.sleep(self._backoff_s())

    async def _connect(self):
        pool = self.pool
        host, port = split_address(self.address)
        self.link = await open_link(
            host,
            port,
            pool.instance,
            self.instance,
            pool.key,
            pool.counters,
            self.on_load,
        )
        self.first_attempt_done.set()

    async def _ping_until_closed(self):
        link = self.link
        while not link.closed:
            link.ping()
            interval_s = self._ping_interval_s()
            due = monotonic() + interval_s
            await link.wait_for_ping_due(interval_s)
            now = monotonic()
            if now - due > PING_INTERVAL_S and link.ping_unanswered_since is not None:
                # The event loop of this process was delayed, so a pong may have arrived
                # that is not read yet.
                link.ping_unanswered_since = now
            elif self.closing_when_idle and not link.calls:
                link.close("not-needed")
            elif link.unanswered_ping_age(now) > PING_TIMEOUT_S:
                link.close("no-pong")

    def _ping_interval_s(self):
        if self.link.calls:
            return PING_INTERVAL_S
        interval_s = len(self.pool.peers) / IDLE_PINGS_PER_S
        return min(MAX_PING_INTERVAL_S, max(PING_INTERVAL_S, interval_s))

    def _backoff_s(self):
        limit = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2 ** min(self.failed_attempts, 10))
        # Full jitter, so that daemons do not all reconnect to a restarted peer at once.
        return random.uniform(BACKOFF_MIN_S / 2, limit)


class LinkPool:
    """Holds one `PeerLink` for each serving daemon.

    Parameters
    ----------
    instance : str
        Instance name of this daemon.
    key : bytes
        Key that all daemons share, for the handshake.
    counters
        Metrics registry with ``add(name, amount=1, **labels)``.
    """

    def __init__(self, instance, key, counters):
        self.instance = instance
        self.key = key
        self.counters = counters
        self.peers = {}
        self.closing_peers = set()

    def peer(self, member, on_load):
        """Return the `PeerLink` of a member, which connects in the background."""
        peer = self.peers.get(member.instance)
        if peer is not None and peer.address == member.link_address:
            return peer
        if peer is not None:
            peer.close()
        peer = self.peers[member.instance] = PeerLink(self, member, on_load)
        return peer

    async def open_once(self, member):
        """Return a new link to a member to which none is kept; the caller closes it.

        Raises
        ------
        OSError, TimeoutError, LinkError
            When the connection or the handshake fails.
        """
        host, port = split_address(member.link_address)
        return await open_link(
            host,
            port,
            self.instance,
            member.instance,
            self.key,
            self.counters,
            lambda load: None,
        )

    def close_peer(self, instance):
        """Close the link to a daemon that is no longer called, without waiting."""
        peer = self.peers.pop(instance, None)
        if peer is not None:
            peer.close()

    def close_when_idle(self, instance):
        """Close the link to a departed daemon when its last call is complete."""
        peer = self.peers.pop(instance, None)
        if peer is not None:
            peer.close_when_idle()
            self.closing_peers.add(peer)
            peer.task.add_done_callback(lambda _: self.closing_peers.discard(peer))

    async def close(self):
        """Close all links."""
        for peer in tuple(self.closing_peers):
            peer.close()
        for instance in tuple(self.peers):
            self.close_peer(instance)
        await asyncio.sleep(0)
