"""Links of the entry daemon to the daemons whose upstreams it calls."""

import asyncio
import random

from goldcresthoist.addresses import split_address
from goldcresthoist.links.errors import LinkError
from goldcresthoist.links.opener import open_link

__all__ = ["LinkPool", "PeerLink"]

PING_INTERVAL_S = 0.25
# Links without a call are pinged less often when there are many, so that a daemon that
# calls hundreds of upstreams stays within its budget for control: at 20 a second, pings
# and pongs take about 6 KB a second with their headers.
IDLE_PINGS_PER_S = 20.0
# A peer that has not answered a ping for this long gets no new work.
UNRESPONSIVE_AFTER_S = 1.0
# After this long the calls on the link are given up, so that reads run elsewhere.
DEAD_AFTER_S = 4.0
BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 2.0


class PeerLink:
    """Keeps one link open by a task of its own, until it is closed.

    ``on_load(load)`` gets every `LoadReport` of the peer.
    """

    def __init__(self, pool, member, on_load):
        self.pool = pool
        self.instance = member.instance
        self.address = member.link_address
        self.on_load = on_load
        self.link = None
        self.failed_attempts = 0
        self.retiring = False
        self.first_attempt = asyncio.Event()
        self.task = asyncio.create_task(self._keep_open())

    def is_usable(self, now):
        """Return whether new work may be sent."""
        link = self.link
        if link is None or link.closed:
            return False
        return link.silent_for(now) < UNRESPONSIVE_AFTER_S

    def retire(self):
        """Close the link when no call is left on it."""
        self.retiring = True

    def close(self):
        """Close the link and stop its task."""
        self.task.cancel()
        if self.link is not None:
            self.link.close("not-needed")

    async def _keep_open(self):
        while not self.retiring:
            try:
                await self._connect()
            except (OSError, TimeoutError, LinkError):
                self.failed_attempts += 1
                self.pool.counters.add("link_connects_failed")
            else:
                self.failed_attempts = 0
                await self._ping_until_closed()
                self.link = None
            self.first_attempt.set()
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
        self.first_attempt.set()

    async def _ping_until_closed(self):
        loop = asyncio.get_running_loop()
        link = self.link
        while not link.closed:
            link.ping()
            interval_s = self._ping_interval_s()
            due = loop.time() + interval_s
            await link.wait_ping_due(interval_s)
            now = loop.time()
            if now - due > PING_INTERVAL_S and link.unanswered_since is not None:
                # This process was held up, so the answer may wait unread.
                link.unanswered_since = now
            elif self.retiring and not link.calls:
                link.close("not-needed")
            elif link.silent_for(now) > DEAD_AFTER_S:
                link.close("no-pong")

    def _ping_interval_s(self):
        if self.link.calls:
            return PING_INTERVAL_S
        return max(PING_INTERVAL_S, len(self.pool.peers) / IDLE_PINGS_PER_S)

    def _backoff_s(self):
        limit = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2 ** min(self.failed_attempts, 10))
        # Full jitter, so that daemons do not return to a restarted peer in step.
        return random.uniform(BACKOFF_MIN_S / 2, limit)


class LinkPool:
    """One `PeerLink` for each daemon that is called.

    Parameters
    ----------
    instance : str
        Name of the own daemon.
    key : bytes
        Shared key of all daemons.
    counters
        Has ``add(name, amount=1, **labels)``.
    """

    def __init__(self, instance, key, counters):
        self.instance = instance
        self.key = key
        self.counters = counters
        self.peers = {}
        self.retired = set()

    def peer(self, member, on_load):
        """Return the link to a member; it is opened in the background."""
        peer = self.peers.get(member.instance)
        if peer is not None and peer.address == member.link_address:
            return peer
        if peer is not None:
            peer.close()
        peer = self.peers[member.instance] = PeerLink(self, member, on_load)
        return peer

    def drop(self, instance):
        """Close the link to a daemon that is no longer called."""
        peer = self.peers.pop(instance, None)
        if peer is not None:
            peer.close()

    def retire(self, instance):
        """Close the link to a daemon that left, once its last call has ended."""
        peer = self.peers.pop(instance, None)
        if peer is not None:
            peer.retire()
            self.retired.add(peer)
            peer.task.add_done_callback(lambda _: self.retired.discard(peer))

    async def close(self):
        """Close all links."""
        for peer in tuple(self.retired):
            peer.close()
        for instance in tuple(self.peers):
            self.drop(instance)
        await asyncio.sleep(0)
