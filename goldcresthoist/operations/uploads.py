"""Resumable uploads that any daemon can take a part of."""

import hashlib
import time
from dataclasses import replace

from goldcresthoist.access import Backoff
from goldcresthoist.objects import ObjectsUnavailable
from goldcresthoist.operations._answers import result_of
from goldcresthoist.operations._appends import MOST_PART_BYTES, UploadAppends
from goldcresthoist.operations._budget import ByteBudget
from goldcresthoist.operations._digests import RunningDigests, update_digest
from goldcresthoist.operations._parts import PartStore
from goldcresthoist.operations._records import Record, State, new_nonce
from goldcresthoist.operations.errors import MissingPart
from goldcresthoist.operations.expiry import KEEP_S, index_put
from goldcresthoist.operations.results import (
    DigestMismatch,
    NotVerified,
    Receiving,
    StoreUnavailable,
    UploadFields,
    Verified,
)
from goldcresthoist.table import (
    Applied,
    NotSent,
    Refused,
    TableUnavailable,
    Undecided,
)

__all__ = ["UploadReceiver"]

TOTAL_BYTES = 32 * 1024 * 1024


class UploadReceiver:
    """Receives bodies in parts and gives them out once they are whole.

    Deadlines are times of the running loop's clock, in seconds.

    Parameters
    ----------
    ledger : OperationLedger
        Its clients are used; the record of an upload is that of its operation.
    memory_bytes : int
        Most bytes of unfinished parts in memory.
    part_bytes : int
        Most bytes of one part.
    """

    def __init__(self, ledger, memory_bytes=TOTAL_BYTES, part_bytes=MOST_PART_BYTES):
        self.ledger = ledger
        self.records = ledger.records
        self.objects = ledger.objects
        self.parts = PartStore(ledger.table, ledger.objects)
        self.digests = RunningDigests()
        self.appends = UploadAppends(
            self.records,
            self.parts,
            self.digests,
            ByteBudget(memory_bytes),
            part_bytes,
        )

    async def open(self, service, key, length, digest, deadline, sha256=""):
        """Open an upload, or find the one that is open under the key.

        Parameters
        ----------
        service, key : str
        length : int
            Bytes of the whole body.
        digest : str
            Identifies the request; another digest or length is a conflict.
        deadline : float
        sha256 : str
            Digest of the whole body in hex, if the caller states it.

        Returns
        -------
        Receiving, or another result of `OperationLedger.start` but `Started`
        """
        upload = UploadFields(
            new_nonce(), length, sha256, expires_s=int(time.time()) + KEEP_S
        )
        new = Record(service, key, State.CLAIMED, new_nonce(), digest, upload=upload)
        backoff = Backoff(deadline)
        before = None
        while True:
            index = index_put(service, key, upload.upload_id)
            match await self.records.write(before, new, backoff, (index,)):
                case Applied():
                    return Receiving(0, length)
                case NotSent(reason) | Undecided(reason):
                    return StoreUnavailable(reason)
            try:
                before = await self.records.get(service, key)
            except TableUnavailable as exc:
                return StoreUnavailable(str(exc))
            released = before is not None and before.state == State.RELEASED
            if not released or before.digest not in ("", digest):
                return await result_of(before, self.objects, digest)

    async def offset(self, service, key):
        """Return `Receiving` with the stored offset, or another state."""
        return await self.ledger.state(service, key)

    async def append(self, service, key, offset, chunks, deadline):
        """Store the bytes that begin at an offset.

        Bytes that are stored already are skipped, so a caller may repeat a part
        after a lost answer. What has arrived is stored, too, when `chunks` raises;
        the exception is then raised again.

        Parameters
        ----------
        service, key : str
        offset : int
        chunks : async iterator of bytes
        deadline : float

        Returns
        -------
        Appended, OffsetMismatch, Busy, StoreUnavailable, NoRecord, or another state
            of the record. Bytes behind the last `Appended` may be stored as well.
        """
        result = await self.appends.append(service, key, offset, chunks, deadline)
        if isinstance(result, Record | None):
            return await result_of(result, self.objects)
        return result

    async def verify(self, service, key, deadline):
        """Check the digest of a whole body.

        The body is read again from the object store unless all its parts went
        through this daemon since it started. A wrong digest refuses the operation.

        Returns
        -------
        Verified, DigestMismatch, NotVerified if bytes are missing, StoreUnavailable,
        or another state of the record
        """
        try:
            record = await self.records.get(service, key)
            if record is None or record.state != State.CLAIMED:
                return await result_of(record, self.objects)
            upload = record.upload
            if upload.offset < upload.length:
                return NotVerified(upload.offset, upload.length)
            actual = await self._digest(upload)
        except (TableUnavailable, ObjectsUnavailable, MissingPart) as exc:
            return StoreUnavailable(str(exc))
        return await self._record_digest(record, actual, deadline)

    async def start(self, service, key, owner, deadline):
        """Start the operation of a verified upload, as `OperationLedger.start`.

        Returns
        -------
        Started, NotVerified, NoRecord, or another result of `OperationLedger.start`
        """
        try:
            record = await self.records.get(service, key)
        except TableUnavailable as exc:
            return StoreUnavailable(str(exc))
        if record is None or record.state != State.CLAIMED:
            return await result_of(record, self.objects)
        if not record.upload.verified:
            return NotVerified(record.upload.offset, record.upload.length)
        request = replace(record, owner=owner)
        result = await self.ledger.starts.start(record, request, deadline)
        if isinstance(result, Refused):
            return await self.ledger.state(service, key)
        return result

    def body(self, started):
        """Iterate over the body of a started upload.

        Raises
        ------
        MissingPart, ObjectsUnavailable, TableUnavailable
            When iterated; the iteration can be begun again.
        """
        return self.parts.stream(started.upload.upload_id, started.upload.length)

    async def _digest(self, upload):
        known = self.digests.whole(upload.upload_id, upload.length)
        if known is not None:
            return known
        state = hashlib.sha256()
        async for chunk in self.parts.stream(upload.upload_id, upload.length):
            await update_digest(state, chunk)
        return state.hexdigest()

    async def _record_digest(self, record, actual, deadline):
        expected = record.upload.sha256 or actual
        if actual == expected:
            verified = replace(record.upload, verified=1)
            new = record.changed(State.CLAIMED, upload=verified)
            result = Verified(actual)
        else:
            note = f"upload has SHA-256 {actual}, stated was {expected}"
            new = record.changed(State.REFUSED, note=note)
            result = DigestMismatch(expected, actual)
        match await self.records.write(record, new, Backoff(deadline)):
            case Applied():
                self.digests.forget(record.upload.upload_id)
                return result
            case NotSent(reason) | Undecided(reason):
                return StoreUnavailable(reason)
        return await self._after_other_write(record, result)

    async def _after_other_write(self, record, result):
        try:
            state = await self.records.get(record.service, record.key)
        except TableUnavailable as exc:
            return StoreUnavailable(str(exc))
        if state.state == State.CLAIMED and state.upload.verified:
            return result
        return await result_of(state, self.objects)
