"""Base class of both ends of a link."""

import asyncio

from goldcresthoist.links.errors import LinkError
from goldcresthoist.links.frames import MAX_FRAME_BYTES, FrameDecoder, encode_frame

__all__ = ["HANDSHAKE_TIMEOUT_S", "MAX_HANDSHAKE_FRAME_BYTES", "LinkConnection"]

HANDSHAKE_TIMEOUT_S = 2.0
MAX_HANDSHAKE_FRAME_BYTES = 1024


class LinkConnection(asyncio.Protocol):
    """Sends and receives frames over one TCP connection.

    Subclasses handle received messages in `on_message` and the loss of the connection
    in `on_closed`.
    """

    def __init__(self, counters):
        self.counters = counters
        self.loop = asyncio.get_running_loop()
        self.transport = None
        self.decoder = FrameDecoder(MAX_HANDSHAKE_FRAME_BYTES)
        self.writable = asyncio.Event()
        self.writable.set()
        self.ready = False
        self.closed = False
        self.close_reason = "peer-closed"

    def connection_made(self, transport):
        """Store the transport."""
        self.transport = transport

    def data_received(self, data):
        """Decode and handle frames; an invalid frame closes the link."""
        if self.closed:
            return
        try:
            for message in self.decoder.feed(data):
                self.on_message(message)
        except LinkError as exc:
            reason = "corrupt-frame" if self.ready else "handshake"
            self.close(reason, exc)

    def eof_received(self):
        """Close the connection when the peer closes its sending side."""
        return False

    def connection_lost(self, exc):
        """Count the closed link, resume waiting senders and call `on_closed`."""
        self.closed = True
        self.writable.set()
        if self.ready:
            self.counters.add("links_closed", reason=self.close_reason)
        self.on_closed()

    def pause_writing(self):
        """Suspend the senders of body chunks."""
        self.writable.clear()

    def resume_writing(self):
        """Resume the senders of body chunks."""
        self.writable.set()

    def send(self, message):
        """Write one frame; do nothing if the link is closed."""
        if not self.closed:
            self.transport.write(encode_frame(message))

    async def drain(self):
        """Wait until the transport accepts more data."""
        if not self.writable.is_set():
            await self.writable.wait()

    def close(self, reason, error=None):
        """Abort the connection and keep the reason for the metrics.

        A link that is closed before the end of the handshake counts as rejected.
        """
        if self.closed:
            return
        self.close_reason = reason
        if not self.ready:
            self.counters.add("links_rejected", reason=reason)
        self.closed = True
        self.transport.abort()

    def mark_ready(self):
        """Complete the handshake: count the link and allow frames of full size."""
        self.ready = True
        self.decoder.max_bytes = MAX_FRAME_BYTES
        self.counters.add("links_opened")

    def on_message(self, message):
        """Handle one received message."""
        raise NotImplementedError

    def on_closed(self):
        """Release what depends on the connection, which is closed."""
        raise NotImplementedError
