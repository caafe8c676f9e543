"""SHA-256 of uploads that this daemon has received from their first byte."""

import asyncio
import hashlib
from collections import OrderedDict

__all__ = ["RunningDigests", "update_digest"]

MOST_UPLOADS = 1000
LONGEST_INLINE_BYTES = 256 * 1024


async def update_digest(state, data):
    """Add data to a hashlib object without holding up the event loop."""
    if len(data) > LONGEST_INLINE_BYTES:
        await asyncio.to_thread(state.update, data)
    else:
        state.update(data)


class RunningDigests:
    """Digests of the stored prefix of uploads, dropped least recently used first.

    An upload whose parts all went through this daemon needs no second read of its
    body. A part that another daemon took makes the offsets differ.
    """

    def __init__(self):
        self.states = OrderedDict()

    async def extend(self, upload_id, offset, data):
        """Add stored bytes if they follow the bytes added before."""
        known, state = self.states.pop(upload_id, (0, None))
        if state is None:
            state = hashlib.sha256()
        if known != offset:
            return
        await update_digest(state, data)
        self.states[upload_id] = (offset + len(data), state)
        if len(self.states) > MOST_UPLOADS:
            self.states.popitem(last=False)

    def whole(self, upload_id, length):
        """Return the digest in hex if all bytes were added, else None."""
        if length == 0:
            return hashlib.sha256().hexdigest()
        known, state = self.states.get(upload_id, (0, None))
        return state.hexdigest() if state is not None and known == length else None

    def forget(self, upload_id):
        """Drop the state of an upload."""
        self.states.pop(upload_id, None)
