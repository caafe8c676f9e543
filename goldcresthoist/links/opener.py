"""The end of a link at the entry daemon, which opens it and makes the calls."""

import asyncio
from collections import deque

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
    new_nonce,
    same_mac,
    welcome_mac,
)

__all__ = ["OpenerLink", "open_link"]


class OpenerLink(LinkConnection):
    """Makes calls to the daemon beside one upstream.

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
        self.unanswered_since = None
        self.ping_waiter = None
        self.acks = {}
        self.fetches = deque()
        self.opened = self.loop.create_future()
        self.ended = self.loop.create_future()

    def call(self, make_open):
        """Start a call; ``make_open(call_id)`` returns its `Open` message."""
        if self.closed:
            raise LinkClosed("the link ended")
        call = OutgoingCall(self, self.next_call_id)
        self.next_call_id += 1
        if not self.calls and self.ping_waiter is not None:
            # The first call on an idle link also finds out whether the peer is alive.
            self.ping_waiter.cancel()
        self.calls[call.call_id] = call
        self.send(make_open(call.call_id))
        return call

    async def tell_suspect(self, fingerprint, count, instance):
        """Send a crash suspect and wait for the acknowledgement."""
        waiter = self.acks.get(fingerprint)
        if waiter is None:
            waiter = self.acks[fingerprint] = self.loop.create_future()
        self.send(Suspect(fingerprint, count, instance))
        await asyncio.shield(waiter)

    async def fetch_configuration(self):
        """Return the `ConfigurationContent` of the peer."""
        if self.closed:
            raise LinkClosed("the link ended")
        waiter = self.loop.create_future()
        self.fetches.append(waiter)
        self.send(FetchConfiguration())
        return await waiter

    async def wait_ping_due(self, interval_s):
        """Wait until the next ping is due, or the link has ended."""
        self.ping_waiter = self.loop.create_future()
        waiters = (self.ended, self.ping_waiter)
        try:
            await asyncio.wait(
                waiters, timeout=interval_s, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            self.ping_waiter = None

    def ping(self):
        """Ask whether the peer is alive."""
        if self.unanswered_since is None:
            self.unanswered_since = self.loop.time()
        self.ping_seq += 1
        self.send(Ping(self.ping_seq))

    def silent_for(self, now):
        """Return for how many seconds a ping has been without an answer."""
        return now - self.unanswered_since if self.unanswered_since else 0.0

    def on_message(self, message):
        """Handle one message of the accepting daemon."""
        if not self.ready:
            self._on_handshake(message)
            return
        kind = type(message)
        if kind is Head:
            self._take_load(message.load)
            if call := self.calls.get(message.call_id):
                call.on_head(message)
        elif kind is Body:
            if call := self.calls.get(message.call_id):
                call.on_body(message)
        elif kind is Credit:
            if call := self.calls.get(message.call_id):
                call.on_credit(message)
        elif kind is Refuse or kind is Failed:
            self._take_load(message.load)
            if call := self.calls.get(message.call_id):
                call.on_ended(message)
        elif kind is Pong:
            self.unanswered_since = None
            self._take_load(message.load)
        elif kind is SuspectAck:
            self._on_ack(message)
        elif kind is ConfigurationContent:
            self._on_configuration(message)
        else:
            raise CorruptFrame(f"unexpected {kind.__name__} frame")

    def _take_load(self, load):
        # The peer leaves the load out when its measuring budget is used up.
        if load is not None:
            self.on_load(load)

    def on_closed(self):
        """Fail all calls."""
        error = LinkClosed(f"the link to {self.peer} ended: {self.close_reason}")
        for call in tuple(self.calls.values()):
            call.on_link_closed(error)
        self.calls.clear()
        for waiter in self.acks.values():
            waiter.cancel()
        self.acks.clear()
        for waiter in self.fetches:
            if not waiter.done():
                waiter.set_exception(error)
        self.fetches.clear()
        if not self.opened.done():
            self.opened.set_exception(error)
            self.opened.exception()
        if not self.ended.done():
            self.ended.set_result(None)

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
        if not same_mac(mac, message.mac):
            raise NotAuthenticated("the peer does not hold the shared key")
        if message.instance != self.peer:
            raise NotAuthenticated(f"{message.instance} answered for {self.peer}")
        self.mark_ready()
        self.opened.set_result(None)

    def _on_configuration(self, message):
        if not self.fetches:
            raise CorruptFrame("a configuration that was not asked for")
        waiter = self.fetches.popleft()
        if not waiter.done():
            waiter.set_result(message)

    def _on_ack(self, message):
        waiter = self.acks.pop(message.fingerprint, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(None)


async def open_link(host, port, instance, peer, key, counters, on_load):
    """Connect to a daemon and authenticate both sides.

    Raises
    ------
    OSError, TimeoutError, LinkError
        When there is no usable connection.
    """
    loop = asyncio.get_running_loop()
    link = None
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            _, link = await loop.create_connection(
                lambda: OpenerLink(instance, peer, key, counters, on_load), host, port
            )
            await link.opened
    except BaseException:
        if link is not None:
            link.close("handshake")
        raise
    return link
