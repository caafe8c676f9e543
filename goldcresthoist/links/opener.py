"""The end of a link at the entry daemon, which opens it and sends the calls."""

import asyncio
from collections import deque

from goldcresthoist.clock import monotonic
from goldcresthoist.links.calls import OutgoingCall
from goldcresthoist.links.connection import HANDSHAKE_TIMEOUT_S, LinkConnection
from goldcresthoist.links.errors import CorruptFrame, LinkClosed, NotAuthenticated
from goldcresthoist.links.frames import (
    Body,
    Challenge,
    ConfigurationContent,
    Credit,
    Failed,
    FetchConfiguration,
    Head,
    Hello,
    Ping,
    Pong,
    Refuse,
    Suspect,
    SuspectAck,
    Welcome,
)
from goldcresthoist.links.handshake import (
    hello_mac,
    macs_equal,
    new_nonce,
    welcome_mac,
)

__all__ = ["OpenerLink", "open_link"]


class OpenerLink(LinkConnection):
    """Sends calls to the serving daemon of one upstream.

    ``on_load(load)`` is called with every `LoadReport` of the peer.
    """

    def __init__(self, instance, peer, key, counters, on_load):
        super().__init__(counters)
        self.instance = instance
        self.peer = peer
        self.key = key
        self.on_load = on_load
        self.nonce = new_nonce()
        self.challenge = None
        self.calls = {}
        self.next_call_id = 1
        self.ping_seq = 0
        self.ping_unanswered_since = None
        self.ping_waiter = None
        self.ack_waiters = {}
        self.fetch_waiters = deque()
        self.handshake_done = self.loop.create_future()
        self.disconnected = self.loop.create_future()

    def call(self, make_open):
        """Start a call; ``make_open(call_id)`` returns its `Open` message."""
        if self.closed:
            raise LinkClosed("the link is closed")
        call = OutgoingCall(self, self.next_call_id)
        self.next_call_id += 1
        if not self.calls and self.ping_waiter is not None:
            # The first call on an idle link also triggers a ping, which checks that the
            # peer is alive.
            self.ping_waiter.cancel()
        self.calls[call.call_id] = call
        self.send(make_open(call.call_id))
        return call

    async def send_suspect(self, fingerprint, count, instance):
        """Report a crash suspect and wait for the acknowledgement.

        Raises
        ------
        LinkClosed
            When the link is closed before the acknowledgement.
        """
        if self.closed:
            raise LinkClosed("the link is closed")
        waiter = self.ack_waiters.get(fingerprint)
        if waiter is None:
            waiter = self.ack_waiters[fingerprint] = self.loop.create_future()
        self.send(Suspect(fingerprint, count, instance))
        await asyncio.shield(waiter)

    async def fetch_configuration(self):
        """Request and return the `ConfigurationContent` of the peer."""
        if self.closed:
            raise LinkClosed("the link is closed")
        waiter = self.loop.create_future()
        self.fetch_waiters.append(waiter)
        self.send(FetchConfiguration())
        return await waiter

    async def wait_for_ping_due(self, interval_s):
        """Wait until the next ping is due or the link is closed."""
        self.ping_waiter = self.loop.create_future()
        waiters = (self.disconnected, self.ping_waiter)
        try:
            await asyncio.wait(
                waiters, timeout=interval_s, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            self.ping_waiter = None

    def ping(self):
        """Send a ping to check whether the peer is alive."""
        if self.ping_unanswered_since is None:
            self.ping_unanswered_since = monotonic()
        self.ping_seq += 1
        self.send(Ping(self.ping_seq))

    def unanswered_ping_age(self, now):
        """Return the age in seconds of the oldest unanswered ping, or 0.0."""
        return now - self.ping_unanswered_since if self.ping_unanswered_since else 0.0

    def on_message(self, message):
        """Handle one message from the serving daemon."""
        if not self.ready:
            self._on_handshake(message)
            return
        kind = type(message)
        if kind is Head:
            self._forward_load(message.load)
            if call := self.calls.get(message.call_id):
                call.on_head(message)
        elif kind is Body:
            if call := self.calls.get(message.call_id):
                call.on_body(message)
        elif kind is Credit:
            if call := self.calls.get(message.call_id):
                call.on_credit(message)
        elif kind is Refuse or kind is Failed:
            self._forward_load(message.load)
            if call := self.calls.get(message.call_id):
                call.on_terminated(message)
        elif kind is Pong:
            self.ping_unanswered_since = None
            self._forward_load(message.load)
        elif kind is SuspectAck:
            self._on_suspect_ack(message)
        elif kind is ConfigurationContent:
            self._on_configuration(message)
        else:
            raise CorruptFrame(f"unexpected {kind.__name__} frame")

    def _forward_load(self, load):
        # The peer omits the load when its budget for measurement traffic is exhausted.
        if load is not None:
            self.on_load(load)

    def on_closed(self):
        """Fail all calls and pending requests of the link."""
        error = LinkClosed(f"the link to {self.peer} was closed: {self.close_reason}")
        for call in tuple(self.calls.values()):
            call.on_link_closed(error)
        self.calls.clear()
        waiters = (
            *self.ack_waiters.values(),
            *self.fetch_waiters,
            self.handshake_done,
        )
        for waiter in waiters:
            if not waiter.done():
                waiter.set_exception(error)
                # Marks the error as seen, since nobody may wait any more.
                waiter.exception()
        self.ack_waiters.clear()
        self.fetch_waiters.clear()
        if not self.disconnected.done():
            self.disconnected.set_result(None)

    def _on_handshake(self, message):
        if type(message) is Challenge and self.challenge is None:
            self.challenge = message.nonce
            mac = hello_mac(self.key, message.nonce, self.nonce, self.instance)
            self.send(Hello(self.instance, self.nonce, mac))
            return
        if type(message) is not Welcome or self.challenge is None:
            raise NotAuthenticated("unexpected frame in the handshake")
        mac = welcome_mac(
            self.key, self.challenge, self.nonce, self.instance, message.instance
        )
        if not macs_equal(mac, message.mac):
            raise NotAuthenticated("the peer does not hold the shared key")
        if message.instance != self.peer:
            raise NotAuthenticated(
                f"the peer is {message.instance}, expected {self.peer}"
            )
        self.mark_ready()
        if not self.handshake_done.done():
            self.handshake_done.set_result(None)

    def _on_configuration(self, message):
        if not self.fetch_waiters:
            raise CorruptFrame("unsolicited configuration content")
        waiter = self.fetch_waiters.popleft()
        if not waiter.done():
            waiter.set_result(message)

    def _on_suspect_ack(self, message):
        waiter = self.ack_waiters.pop(message.fingerprint, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(None)


async def open_link(host, port, instance, peer, key, counters, on_load):
    """Connect to a daemon and authenticate both sides.

    Raises
    ------
    OSError, TimeoutError, LinkError
        When the connection or the handshake fails.
    """
    loop = asyncio.get_running_loop()
    link = None
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            _, link = await loop.create_connection(
                lambda: OpenerLink(instance, peer, key, counters, on_load), host, port
            )
            await link.handshake_done
    except BaseException:
        if link is not None:
            link.close("handshake")
        raise
    return link
