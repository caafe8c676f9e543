"""A loopback TCP proxy that delays or drops data and resets connections."""

import asyncio
import contextlib

__all__ = ["FaultProxy"]

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

    def clear_faults(self):
        """Stop delaying and dropping data."""
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
            writer.transport.abort()
            target_writer.transport.abort()

    async def _copy(self, reader, writer, direction):
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if self.dropped_direction not in (direction, "both"):
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()
