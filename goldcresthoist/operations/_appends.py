"""Appending the bytes of one request to an upload."""

import time
from dataclasses import dataclass, field, replace

from goldcresthoist.access import Backoff
from goldcresthoist.objects import ObjectsUnavailable
from goldcresthoist.operations._records import Record, State
from goldcresthoist.operations.expiry import KEEP_S
from goldcresthoist.operations.results import (
    Appended,
    Busy,
    OffsetMismatch,
    StoreUnavailable,
)
from goldcresthoist.table import (
    Applied,
    NotSent,
    Seen,
    TableUnavailable,
    Undecided,
    write_until_known,
)

__all__ = ["MOST_PART_BYTES", "UploadAppends"]

MOST_PART_BYTES = 8 * 1024 * 1024


class _Stop(Exception):
    """Ends an append with a result."""

    def __init__(self, result):
        super().__init__(repr(result))
        self.result = result


@dataclass
class _Append:
    """Progress of one request: the record as last seen and the bytes not yet stored.

    `position` is the offset of the first byte of `buffer`.
    """

    record: Record
    position: int
    deadline: float
    buffer: bytearray = field(default_factory=bytearray)

    @property
    def length(self):
        return self.record.upload.length


class UploadAppends:
    """Stores the bytes of requests as parts.

    Parameters
    ----------
    records : RecordTable
    parts : PartStore
    digests : RunningDigests
    budget : ByteBudget
    part_bytes : int
        Most bytes of one part.
    """

    def __init__(self, records, parts, digests, budget, part_bytes):
        self.records = records
        self.parts = parts
        self.digests = digests
        self.budget = budget
        self.part_bytes = part_bytes

    async def append(self, service, key, offset, chunks, deadline):
        """Store chunks; return a result, or the record if it takes no bytes."""
        try:
            record = await self._claimed(service, key)
        except _Stop as stop:
            return stop.result
        append = _Append(record, offset, deadline)
        if offset > record.upload.offset:
            return OffsetMismatch(record.upload.offset, record.upload.length)
        try:
            await self._receive(append, chunks)
        except _Stop as stop:
            return stop.result
        finally:
            self.budget.give(len(append.buffer))
        return Appended(append.record.upload.offset, append.length)

    async def _receive(self, append, chunks):
        try:
            async for chunk in chunks:
                await self._add(append, chunk)
        except _Stop:
            raise
        except Exception:
            # A caller on a bad link gets on, even if it never sends a whole part.
            await self._flush(append)
            raise
        await self._flush(append)

    async def _add(self, append, chunk):
        view = memoryview(chunk)
        while view:
            end = append.position + len(append.buffer)
            stored = append.record.upload.offset
            if not append.buffer and end < stored:
                skipped = min(len(view), stored - end)
                append.position += skipped
                view = view[skipped:]
                continue
            room = min(self.part_bytes - len(append.buffer), append.length - end)
            if room <= 0 and append.length <= end:
                await self._flush(append)
                raise _Stop(OffsetMismatch(append.length, append.length))
            taken = view[:room]
            await self._reserve(append, len(taken))
            append.buffer += taken
            view = view[len(taken) :]
            if len(append.buffer) >= self.part_bytes:
                await self._flush(append)

    async def _reserve(self, append, size):
        if self.budget.try_take(size):
            return
        await self._flush(append)
        if not await self.budget.take(size, append.deadline):
            raise _Stop(Busy(append.record.upload.offset, append.length))

    async def _flush(self, append):
        if not append.buffer:
            return
        data = bytes(append.buffer)
        append.buffer = bytearray()
        try:
            await self._store(append, data)
        except (ObjectsUnavailable, TableUnavailable) as exc:
            stored = append.record.upload.offset
            raise _Stop(StoreUnavailable(str(exc), stored)) from exc
        finally:
            self.budget.give(len(data))
        append.position += len(data)

    async def _store(self, append, data):
        while True:
            record = append.record
            offset = record.upload.offset
            # Another daemon may have stored the first bytes meanwhile.
            rest = data[offset - append.position :]
            if not rest:
                return
            upload_id = record.upload.upload_id
            part = await self.parts.store(upload_id, offset, rest, append.deadline)
            new = _extended(record, len(rest))
            written = await self._commit(record, new, part, append.deadline)
            if isinstance(written, Applied):
                append.record = new
                await self.digests.extend(upload_id, offset, rest)
                return
            if isinstance(written, NotSent | Undecided):
                # An undecided part may yet count, so its bytes must stay.
                raise _Stop(StoreUnavailable(written.reason, offset))
            await self.parts.discard(part)
            append.record = await self._claimed(new.service, new.key)

    async def _commit(self, record, new, part, deadline):
        puts = [self.records.put_of(record, new), part.put()]
        return await write_until_known(
            lambda: self.records.table.transact(puts),
            lambda: self._seen(record, new, part),
            Backoff(deadline),
        )

    async def _seen(self, before, new, part):
        """Return what is seen of the transaction from `before` to `new`.

        Later parts hide the nonce of `new`, but not the item of the part. Once the
        record has left `before`, an item that is not there can no longer appear.
        """
        record = await self.records.get(new.service, new.key)
        if record.nonce == before.nonce:
            return Seen.NOTHING
        if record.nonce == new.nonce or await self.parts.has_item(part):
            return Seen.OWN
        return Seen.OTHER

    async def _claimed(self, service, key):
        try:
            record = await self.records.get(service, key)
        except TableUnavailable as exc:
            raise _Stop(StoreUnavailable(str(exc))) from exc
        if record is None or record.state != State.CLAIMED:
            raise _Stop(record)
        return record


def _extended(record, size):
    upload = replace(
        record.upload,
        offset=record.upload.offset + size,
        expires_s=int(time.time()) + KEEP_S,
    )
    return record.changed(State.CLAIMED, upload=upload)
