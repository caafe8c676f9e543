"""Authenticated datagrams between the daemons of a fleet."""

import asyncio

from goldcresthoist.fleet.messages import Datagram
from goldcresthoist.gossip.envelope import Sealer
from goldcresthoist.gossip.errors import DatagramRejected

__all__ = ["FleetChannel"]


class FleetChannel(asyncio.DatagramProtocol):
    """Sends and receives sealed datagrams; invalid ones are counted and dropped.

    Parameters
    ----------
    ip : str
        Address of this daemon.
    port : int
        Port that all daemons of the fleet use.
    key : bytes
        Key shared by all daemons of the fleet.
    counters
        Has ``add(name, amount=1, **labels)``.
    log
        Has ``event(name, **fields)``.

    Attributes
    ----------
    handlers : dict
        ``handler(message, sender_ip)`` by message class. Messages without a handler are
        dropped.
    """

    def __init__(self, ip, port, key, counters, log):
        self.ip = ip
        self.port = port
        self.sealer = Sealer(key, Datagram)
        self.counters = counters
        self.log = log
        self.handlers = {}
        self.transport = None

    async def listen(self):
        """Open the UDP socket.

        Raises
        ------
        OSError
            When the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.port)
        )

    def connection_made(self, transport):
        """Store the transport."""
        self.transport = transport

    def datagram_received(self, data, addr):
        """Verify a datagram and call the handler of its message."""
        try:
            message = self.sealer.open(data, self._gossip_address(self.ip))
        except DatagramRejected:
            self.counters.add("datagrams_dropped")
            return
        handler = self.handlers.get(type(message))
        if handler is None:
            return
        try:
            handler(message, addr[0])
        except Exception as exc:
            # One message must not end the process or keep others from being handled.
            kind = type(message).__name__
            self.counters.add("messages_failed", kind=kind)
            self.log.event("message failed", kind=kind, error=repr(exc))

    def error_received(self, exc):
        """Count a datagram that the network reports as undeliverable."""
        self.counters.add("datagrams_undelivered")

    def send(self, message, ips):
        """Send a message to the daemons at these IP addresses.

        Nothing is sent while the socket is not open.
        """
        if self.transport is None or self.transport.is_closing():
            return
        for ip in ips:
            data = self.sealer.seal(message, self._gossip_address(ip))
            self.counters.add("gossip_bytes", len(data), direction="out")
            self.transport.sendto(data, (ip, self.port))

    def close(self):
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    def _gossip_address(self, ip):
        return f"{ip}:{self.port}"
