"""Appending the body of a request to an upload."""

import time
from dataclasses import dataclass, field, replace

from goldcresthoist.access import Backoff
from goldcresthoist.objects import ObjectsUnavailable
from goldcresthoist.operations._records import Record, State
from goldcresthoist.operations.expiry import RETENTION_S
from goldcresthoist.operations.results import (
    Appended,
    MemoryLimitReached,
    OffsetMismatch,
    StoreUnavailable,
)
from goldcresthoist.table import (
    Applied,
    NotSent,
    ReadBack,
    TableUnavailable,
    Undecided,
    write_until_known,
)

__all__ = ["MAX_PART_BYTES", "UploadAppender"]

MAX_PART_BYTES = 8 * 1024 * 1024


class _AppendEnded(Exception):
    """Raised inside an append to end it early with a result."""

    def __init__(self, result):
        super().__init__(repr(result))
        self.result = result


@dataclass
class _AppendProgress:
    """Progress of one append.

    `record` is the operation record as last read or written, `buffer` contains the
    bytes that are not stored yet, and `position` is the offset of its first byte in
    the body of the upload.
    """

    record: Record
    position: int
    deadline: float
    buffer: bytearray = field(default_factory=bytearray)

    @property
    def length(self):
        return self.record.upload.length


class UploadAppender:
    """Stores the bodies of requests as parts of uploads.

    Parameters
    ----------
    records : RecordTable
    parts : PartStore
    digests : UploadDigests
    budget : MemoryBudget
    part_bytes : int
        Maximum size of one part in bytes.
    """

    def __init__(self, records, parts, digests, budget, part_bytes):
        self.records = records
        self.parts = parts
        self.digests = digests
        self.budget = budget
        self.part_bytes = part_bytes

    async def append(self, service, key, offset, chunks, deadline):
        """Store chunks of the body of an upload that begin at `offset`.

        Returns a result, or the operation record (None if there is none) if it is not
        in state ``claimed``, i.e. if the upload cannot receive bytes.
        """
        try:
            record = await self._get_claimed_record(service, key)
        except _AppendEnded as ended:
            return ended.result
        progress = _AppendProgress(record, offset, deadline)
        if offset > record.upload.offset:
            return OffsetMismatch(record.upload.offset, record.upload.length)
        try:
            await self._receive(progress, chunks)
        except _AppendEnded as ended:
            return ended.result
        finally:
            self.budget.release(len(progress.buffer))
        return Appended(progress.record.upload.offset, progress.length)

    async def _receive(self, progress, chunks):
        try:
            async for chunk in chunks:
                await self._buffer_chunk(progress, chunk)
        except _AppendEnded:
            raise
        except Exception:
            # The buffered bytes are stored, so that a caller on an unreliable
            # connection makes progress even if it never sends a whole part.
            await self._flush(progress)
            raise
        await self._flush(progress)

    async def _buffer_chunk(self, progress, chunk):
        view = memoryview(chunk)
        while view:
            end = progress.position + len(progress.buffer)
            stored = progress.record.upload.offset
            if not progress.buffer and end < stored:
                skipped = min(len(view), stored - end)
                progress.position += skipped
                view = view[skipped:]
                continue
            room = min(self.part_bytes - len(progress.buffer), progress.length - end)
            if room <= 0 and progress.length <= end:
                await self._flush(progress)
                raise _AppendEnded(OffsetMismatch(progress.length, progress.length))
            taken = view[:room]
            await self._reserve(progress, len(taken))
            progress.buffer += taken
            view = view[len(taken) :]
            if len(progress.buffer) >= self.part_bytes:
                await self._flush(progress)

    async def _reserve(self, progress, size):
        if self.budget.try_acquire(size):
            return
        await self._flush(progress)
        if not await self.budget.acquire(size, progress.deadline):
            raise _AppendEnded(
                MemoryLimitReached(progress.record.upload.offset, progress.length)
            )

    async def _flush(self, progress):
        if not progress.buffer:
            return
        data = bytes(progress.buffer)
        progress.buffer = bytearray()
        try:
            await self._store_part(progress, data)
        except (ObjectsUnavailable, TableUnavailable) as exc:
            stored = progress.record.upload.offset
            raise _AppendEnded(StoreUnavailable(str(exc), stored)) from exc
        finally:
            self.budget.release(len(data))
        progress.position += len(data)

    async def _store_part(self, progress, data):
        while True:
            record = progress.record
            offset = record.upload.offset
            # Another daemon may have stored the first bytes of `data` meanwhile.
            rest = data[offset - progress.position :]
            if not rest:
                return
            upload_id = record.upload.upload_id
            part = await self.parts.store(upload_id, offset, rest, progress.deadline)
            new = _with_appended_bytes(record, len(rest))
            written = await self._commit_part(record, new, part, progress.deadline)
            if isinstance(written, Applied):
                progress.record = new
                await self.digests.extend(upload_id, offset, rest)
                return
            if isinstance(written, NotSent | Undecided):
                # If the outcome is undecided, the part may still be committed, so its
                # object must not be deleted.
                raise _AppendEnded(StoreUnavailable(written.reason, offset))
            await self.parts.discard(part)
            progress.record = await self._get_claimed_record(new.service, new.key)

    async def _commit_part(self, record, new, part, deadline):
        puts = [self.records.conditional_put(record, new), part.to_put()]
        return await write_until_known(
            lambda: self.records.table.transact(puts),
            lambda: self._read_back(record, new, part),
            Backoff(deadline),
        )

    async def _read_back(self, previous, new, part):
        """Return whether the transaction from `previous` to `new` took effect.

        Parts that are committed later replace the nonce of `new` in the record, but
        they do not replace the table item of the part. Once the record is no longer
        `previous`, the condition of the transaction fails, so an item that is still
        missing cannot be written any more.
        """
        record = await self.records.get(new.service, new.key)
        if record.nonce == previous.nonce:
            return ReadBack.NOT_VISIBLE
        if record.nonce == new.nonce or await self.parts.is_committed(part):
            return ReadBack.APPLIED
        return ReadBack.CONFLICT

    async def _get_claimed_record(self, service, key):
        try:
            record = await self.records.get(service, key)
        except TableUnavailable as exc:
            raise _AppendEnded(StoreUnavailable(str(exc))) from exc
        if record is None or record.state != State.CLAIMED:
            raise _AppendEnded(record)
        return record


def _with_appended_bytes(record, size):
    upload = replace(
        record.upload,
        offset=record.upload.offset + size,
        expires_s=int(time.time()) + RETENTION_S,
    )
    return record.changed(State.CLAIMED, upload=upload)
