"""The end of a link at the serving daemon, which accepts the calls."""

import asyncio

from goldcresthoist.clock import monotonic
from goldcresthoist.links.calls import IncomingCall
from goldcresthoist.links.connection import HANDSHAKE_TIMEOUT_S, LinkConnection
from goldcresthoist.links.errors import CorruptFrame, NotAuthenticated
from goldcresthoist.links.frames import (
    Body,
    Cancel,
    Challenge,
    Credit,
    FetchConfiguration,
    Hello,
    Open,
    Ping,
    Pong,
    Suspect,
    SuspectAck,
    Welcome,
)
from goldcresthoist.links.handshake import (
    NONCE_BYTES,
    hello_mac,
    macs_equal,
    new_nonce,
    welcome_mac,
)

__all__ = ["AcceptorLink", "LinkServer"]

# Time without a ping after which a link is closed. The opening daemon pings several
# times per second, so it is gone when it is silent for this long.
SILENCE_TIMEOUT_S = 30.0
SWEEP_INTERVAL_S = 5.0


class LinkServer:
    """Accepts links from other daemons and passes their calls to a service.

    Parameters
    ----------
    instance : str
        Instance name of this daemon.
    key : bytes
        Key that all daemons share, for the handshake.
    service
        Executes the calls. ``begin(call)`` may start or refuse an `IncomingCall`
        synchronously, and the coroutine ``serve(call)`` does the rest. Also has
        ``load_report()``, ``load_for_pong()``, ``draining``,
        ``add_suspect(fingerprint, count, instance)`` and, if daemons distribute the
        configuration over links, ``configuration_content()``.
    counters
        Metrics registry with ``add(name, amount=1, **labels)``.
    """

    def __init__(self, instance, key, service, counters):
        self.instance = instance
        self.key = key
        self.service = service
        service.announce_load = self.announce_load
        self.counters = counters
        # Callback that gets the instance name of each daemon that completes the
        # handshake.
        self.on_peer = None
        self.links = set()
        self.listener = None
        self.sweep_task = None

    async def listen(self, host, port):
        """Start accepting links."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: AcceptorLink(self), host, port, backlog=1024
        )
        self.sweep_task = asyncio.create_task(self._sweep())

    @property
    def port(self):
        """The TCP port of the listening socket."""
        return self.listener.sockets[0].getsockname()[1]

    def announce_load(self):
        """Send the load on every link immediately, for example when draining starts."""
        load = self.service.load_report()
        for link in self.links:
            if link.ready:
                link.send(Pong(0, load))

    def unsent_bytes(self):
        """Return the number of bytes that other daemons have not accepted yet."""
        return sum(link.transport.get_write_buffer_size() for link in self.links)

    async def close(self):
        """Stop accepting and close every link."""
        if self.sweep_task is not None:
            self.sweep_task.cancel()
        if self.listener is not None:
            self.listener.close()
        for link in tuple(self.links):
            link.close("shutdown")
        await asyncio.sleep(0)

    async def _sweep(self):
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = monotonic()
            for link in tuple(self.links):
                link.close_if_silent(now)


class AcceptorLink(LinkConnection):
    """Receives the calls of one entry daemon and serves each in its own task."""

    def __init__(self, server):
        super().__init__(server.counters)
        self.server = server
        self.service = server.service
        self.challenge = new_nonce()
        self.peer = ""
        self.calls = {}
        self.last_ping_at = monotonic()

    def connection_made(self, transport):
        """Start the handshake with a challenge to the opening daemon."""
        super().connection_made(transport)
        self.server.links.add(self)
        self.send(Challenge(self.challenge))

    def close_if_silent(self, now):
        """Close the link if pings have stopped or the handshake takes too long."""
        limit = SILENCE_TIMEOUT_S if self.ready else HANDSHAKE_TIMEOUT_S
        if now - self.last_ping_at > limit:
            self.close("silent" if self.ready else "handshake-timeout")

    def on_message(self, message):
        """Handle one message from the entry daemon."""
        if not self.ready:
            self._on_hello(message)
            return
        kind = type(message)
        if kind is Open:
            self._on_open(message)
        elif kind is Body:
            if call := self.calls.get(message.call_id):
                call.on_body(message)
        elif kind is Credit:
            if call := self.calls.get(message.call_id):
                call.on_credit(message)
        elif kind is Cancel:
            if call := self.calls.get(message.call_id):
                call.cancel()
        elif kind is Ping:
            self.last_ping_at = monotonic()
            self.send(Pong(message.seq, self.service.load_for_pong()))
        elif kind is Suspect:
            self.service.add_suspect(
                message.fingerprint, message.count, message.instance
            )
            self.send(SuspectAck(message.fingerprint))
        elif kind is FetchConfiguration:
            self.send(self.service.configuration_content())
        else:
            raise CorruptFrame(f"unexpected {kind.__name__} frame")

    def on_closed(self):
        """Cancel all calls of the link."""
        self.server.links.discard(self)
        for call in tuple(self.calls.values()):
            call.cancel()

    def _on_hello(self, message):
        if type(message) is not Hello or len(message.nonce) != NONCE_BYTES:
            raise NotAuthenticated("unexpected frame in the handshake")
        key = self.server.key
        mac = hello_mac(key, self.challenge, message.nonce, message.instance)
        if not macs_equal(mac, message.mac):
            raise NotAuthenticated("the peer does not hold the shared key")
        self.peer = message.instance
        own_instance = self.server.instance
        mac = welcome_mac(key, self.challenge, message.nonce, self.peer, own_instance)
        self.mark_ready()
        if self.server.on_peer is not None:
            self.server.on_peer(self.peer)
        self.send(Welcome(own_instance, mac))
        self.send(Pong(0, self.service.load_report()))

    def _on_open(self, message):
        if message.call_id in self.calls:
            raise CorruptFrame(f"call {message.call_id} is already open")
        call = IncomingCall(self, message)
        if self.service.draining:
            load = self.service.load_report()
            call.refuse("draining", "the upstream is draining", load)
            return
        self.service.begin(call)
        if call.done:
            return
        self.calls[message.call_id] = call
        call.task = self.loop.create_task(self._serve(call))

    async def _serve(self, call):
        call.started = True
        try:
            await self.service.serve(call)
        finally:
            del self.calls[call.call_id]
            # The task refers to the call. Without the reference back, both are freed
            # without a run of the garbage collector.
            call.task = None
