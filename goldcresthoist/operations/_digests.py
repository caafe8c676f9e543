"""SHA-256 of uploads, computed while their bytes pass through this daemon."""

import asyncio
import hashlib
from collections import OrderedDict

__all__ = ["UploadDigests", "update_digest"]

MAX_TRACKED_UPLOADS = 1000
MAX_EVENT_LOOP_HASH_BYTES = 256 * 1024


async def update_digest(state, data):
    """Update a hashlib object; large data is hashed outside the event loop thread."""
    if len(data) > MAX_EVENT_LOOP_HASH_BYTES:
        await asyncio.to_thread(state.update, data)
    else:
        state.update(data)


class UploadDigests:
    """Digest states of the uploads stored so far, in a least-recently-used cache.

    If all parts of an upload passed through this daemon, its body need not be read
    again to compute the digest. If another daemon stored a part, the offsets differ
    and the state is discarded.
    """

    def __init__(self):
        self.states = OrderedDict()

    async def extend(self, upload_id, offset, data):
        """Add stored bytes if they directly follow the bytes added before."""
        known, state = self.states.pop(upload_id, (0, None))
        if state is None:
            state = hashlib.sha256()
        if known != offset:
            return
        await update_digest(state, data)
        self.states[upload_id] = (offset + len(data), state)
        if len(self.states) > MAX_TRACKED_UPLOADS:
            self.states.popitem(last=False)

    def complete_digest(self, upload_id, length):
        """Return the digest in hex, or None if not all bytes were added."""
        if length == 0:
            return hashlib.sha256().hexdigest()
        known, state = self.states.get(upload_id, (0, None))
        return state.hexdigest() if state is not None and known == length else None

    def discard(self, upload_id):
        """Remove the state of an upload."""
        self.states.pop(upload_id, None)
