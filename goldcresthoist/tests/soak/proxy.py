"""Loopback proxies that delay or drop data and reset connections."""

import asyncio
import contextlib

__all__ = ["DatagramProxy", "FaultProxy", "PeerProxy"]

CHUNK_BYTES = 64 * 1024


class FaultProxy:
    """Forwards TCP connections to one address.

    Attributes
    ----------
    delay_s : float
        Delay of each piece of data in seconds.
    dropped_direction : str
        Which data is dropped: what goes ``"to"`` the target, what comes ``"from"`` it,
        or ``"both"``; empty for none.
    """

    def __init__(self, host, port, target_host, target_port):
        self.listen_address = (host, port)
        self.target = (target_host, target_port)
        self.delay_s = 0.0
        self.dropped_direction = ""
        self.writers = set()
        # Writers of the connections that deliver nothing any more.
        self.silenced = set()
        self.server = None

    async def start(self):
        """Start to listen."""
        self.server = await asyncio.start_server(self._forward, *self.listen_address)

    async def stop(self):
        """Stop listening and reset all connections."""
        self.server.close()
        self.reset()

    def reset(self):
        """Reset all connections."""
        for writer in tuple(self.writers):
            writer.transport.abort()

    def silence(self):
        """Let the open connections deliver nothing any more; new ones work."""
        self.silenced |= self.writers

    def clear_faults(self):
        """Stop delaying and dropping data; silent connections stay silent."""
        self.delay_s, self.dropped_direction = 0.0, ""

    async def _forward(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._copy(reader, target_writer, "to"))
                group.create_task(self._copy(target_reader, writer, "from"))
        except* OSError:
            pass
        finally:
            self.writers -= {writer, target_writer}
            self.silenced -= {writer, target_writer}
            writer.transport.abort()
            target_writer.transport.abort()

    async def _copy(self, reader, writer, direction):
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if writer in self.silenced:
                continue
            if self.dropped_direction not in (direction, "both"):
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()


class DatagramProxy(asyncio.DatagramProtocol):
    """Forwards the datagrams of one sender to one address.

    The receiver sees the sender's IP address as their source.

    Attributes
    ----------
    drops : bool
        Whether datagrams are dropped.
    """

    def __init__(self, host, port, sender_ip, target_host, target_port):
        self.listen_address = (host, port)
        self.sender_ip = sender_ip
        self.target = (target_host, target_port)
        self.drops = False
        self.listener = None
        self.sender = None

    async def start(self):
        """Open both sockets."""
        loop = asyncio.get_running_loop()
        self.listener, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.listen_address
        )
        self.sender, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=(self.sender_ip, 0)
        )

    def datagram_received(self, data, addr):
        """Forward one datagram unless it is to be dropped."""
        if not self.drops:
            self.sender.sendto(data, self.target)

    def stop(self):
        """Close both sockets."""
        self.listener.close()
        self.sender.close()


class PeerProxy:
    """Carries what one daemon sends to another one, and the answers over its link.

    Parameters
    ----------
    host, port : str, int
        Address of the proxy for links and for datagrams.
    sender_ip, target_ip : str
        Addresses of both daemons.
    link_port, gossip_port : int
        Ports of the daemon that is called.
    """

    def __init__(self, host, port, sender_ip, target_ip, link_port, gossip_port):
        self.links = FaultProxy(host, port, target_ip, link_port)
        self.datagrams = DatagramProxy(host, port, sender_ip, target_ip, gossip_port)

    async def start(self):
        """Start to forward."""
        await self.links.start()
        await self.datagrams.start()

    async def stop(self):
        """Stop forwarding and reset the links."""
        await self.links.stop()
        self.datagrams.stop()

    def cut(self, direction):
        """Drop what goes ``"to"`` the target, comes ``"from"`` it, or ``"both"``."""
        self.links.dropped_direction = direction
        self.datagrams.drops = direction != "from"

    def clear_faults(self):
        """Forward everything, and without a delay.

        Links that have lost data are reset, as a frame may have been cut.
        """
        if self.links.dropped_direction:
            self.links.reset()
        self.links.clear_faults()
        self.datagrams.drops = False
