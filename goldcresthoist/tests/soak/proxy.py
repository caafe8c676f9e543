"""A loopback proxy that delays, resets, silences or cuts connections one way."""

import asyncio
import contextlib

__all__ = ["FaultProxy"]

CHUNK_BYTES = 64 * 1024


class FaultProxy:
    """Passes TCP connections on to one address.

    Attributes
    ----------
    delay_s : float
        Added to each piece of data.
    silent : str
        ``"to"`` or ``"from"`` drops what goes that way, ``"both"`` all; else empty.
    """

    def __init__(self, host, port, target_host, target_port):
        self.listen_at = (host, port)
        self.target = (target_host, target_port)
        self.delay_s = 0.0
        self.silent = ""
        self.writers = set()
        self.server = None

    async def start(self):
        """Listen."""
        self.server = await asyncio.start_server(self._pass, *self.listen_at)

    async def stop(self):
        """Stop listening and reset all connections."""
        self.server.close()
        self.reset()

    def reset(self):
        """Reset all connections."""
        for writer in tuple(self.writers):
            writer.transport.abort()

    def heal(self):
        """End all faults."""
        self.delay_s, self.silent = 0.0, ""

    async def _pass(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._copy(reader, far_writer, "to"))
                group.create_task(self._copy(far_reader, writer, "from"))
        except* OSError:
            pass
        finally:
            self.writers -= {writer, far_writer}
            writer.transport.abort()
            far_writer.transport.abort()

    async def _copy(self, reader, writer, way):
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if self.silent not in (way, "both"):
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()
