"""What both ends of a link have in common."""

import asyncio

from goldcresthoist.links.errors import LinkError
from goldcresthoist.links.frames import MAX_FRAME_BYTES, FrameDecoder, encode_frame

__all__ = ["HANDSHAKE_TIMEOUT_S", "MAX_HANDSHAKE_FRAME_BYTES", "LinkConnection"]

HANDSHAKE_TIMEOUT_S = 2.0
MAX_HANDSHAKE_FRAME_BYTES = 1024


class LinkConnection(asyncio.Protocol):
    """Frames over one TCP connection.

    Subclasses handle messages in `on_message` and the end in `on_closed`.
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
        """Remember the transport."""
        self.transport = transport

    def data_received(self, data):
        """Decode and handle frames; a frame that is not valid ends the link."""
        if self.closed:
            return
        try:
            for message in self.decoder.feed(data):
                self.on_message(message)
        except LinkError as exc:
            reason = "corrupt-frame" if self.ready else "handshake"
            self.close(reason, exc)

    def eof_received(self):
        """Close when the peer sends no more."""
        return False

    def connection_lost(self, exc):
        """Tell the subclass once."""
        self.closed = True
        self.writable.set()
        if self.ready:
            self.counters.add("links_closed", reason=self.close_reason)
        self.on_closed()

    def pause_writing(self):
        """Make senders of bodies wait."""
        self.writable.clear()

    def resume_writing(self):
        """Let senders of bodies go on."""
        self.writable.set()

    def send(self, message):
        """Write one frame; does nothing when the link is closed."""
        if not self.closed:
            self.transport.write(encode_frame(message))

    async def drain(self):
        """Wait while the peer is slow."""
        if not self.writable.is_set():
            await self.writable.wait()

    def close(self, reason, error=None):
        """Close at once and count the reason."""
        if self.closed:
            return
        self.close_reason = reason
        if not self.ready:
            self.counters.add("links_rejected", reason=reason)
        self.closed = True
        self.transport.abort()

    def mark_ready(self):
        """Allow frames of full size after the handshake."""
        self.ready = True
        self.decoder.max_bytes = MAX_FRAME_BYTES
        self.counters.add("links_opened")

    def on_message(self, message):
        """Handle one message."""
        raise NotImplementedError

    def on_closed(self):
        """Clean up after the end of the connection."""
        raise NotImplementedError
