"""Resumable uploads whose parts can be sent through different daemons."""

import hashlib
import time
from dataclasses import replace

from goldcresthoist.access import Backoff
from goldcresthoist.objects import ObjectsUnavailable
from goldcresthoist.operations._appends import MAX_PART_BYTES, UploadAppender
from goldcresthoist.operations._budget import MemoryBudget
from goldcresthoist.operations._digests import UploadDigests, update_digest
from goldcresthoist.operations._parts import PartStore
from goldcresthoist.operations._record_results import result_from_record
from goldcresthoist.operations._records import Record, State, new_nonce
from goldcresthoist.operations.errors import MissingPart
from goldcresthoist.operations.expiry import RETENTION_S, index_put
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

DEFAULT_MEMORY_BYTES = 32 * 1024 * 1024


class UploadReceiver:
    """Receives the bodies of operations in parts and returns them once complete.

    Deadlines are times on the clock of the running event loop, in seconds.

    Parameters
    ----------
    ledger : OperationLedger
        Provides the clients. The state of an upload is kept in the record of its
        operation.
    memory_bytes : int
        Maximum size of all unfinished parts in memory, in bytes.
    part_bytes : int
        Maximum size of one part in bytes.
    """

    def __init__(
        self, ledger, memory_bytes=DEFAULT_MEMORY_BYTES, part_bytes=MAX_PART_BYTES
    ):
        self.ledger = ledger
        self.records = ledger.records
        self.objects = ledger.objects
        self.parts = PartStore(ledger.table, ledger.objects)
        self.digests = UploadDigests()
        self.appender = UploadAppender(
            self.records,
            self.parts,
            self.digests,
            MemoryBudget(memory_bytes),
            part_bytes,
        )

    async def open(self, service, key, length, digest, deadline, sha256=""):
        """Open an upload, or return the state of the existing one with the key.

        Parameters
        ----------
        service, key : str
        length : int
            Size of the whole body in bytes.
        digest : str
            Digest of the request; a different digest for the same key is a conflict.
            The digest must cover `length`, which is not compared separately.
        deadline : float
        sha256 : str
            SHA-256 of the whole body in hex, if the caller states it.

        Returns
        -------
        Receiving, or any other result of `OperationLedger.start` except `Started`
        """
        upload = UploadFields(
            new_nonce(), length, sha256, expires_s=int(time.time()) + RETENTION_S
        )
        new = Record(service, key, State.CLAIMED, new_nonce(), digest, upload=upload)
        backoff = Backoff(deadline)
        current = None
        while True:
            index = index_put(service, key, upload.upload_id)
            match await self.records.write(current, new, backoff, (index,)):
                case Applied():
                    return Receiving(0, length)
                case NotSent(reason) | Undecided(reason):
                    return StoreUnavailable(reason)
            try:
                current = await self.records.get(service, key)
            except TableUnavailable as exc:
                return StoreUnavailable(str(exc))
            released = current is not None and current.state == State.RELEASED
            if not released or current.digest not in ("", digest):
                return await result_from_record(current, self.objects, digest)

    async def offset(self, service, key):
        """Return the state of an upload: `Receiving` if it is in progress.

        Returns as `OperationLedger.state`.
        """
        return await self.ledger.state(service, key)

    async def append(self, service, key, offset, chunks, deadline):
        """Store bytes of the body that begin at an offset.

        Bytes that are stored already are skipped, so that a caller can repeat a part
        whose response was lost. If `chunks` raises an exception, the bytes received
        before it are stored and the exception is raised again.

        Parameters
        ----------
        service, key : str
        offset : int
        chunks : async iterator of bytes
        deadline : float

        Returns
        -------
        Appended, OffsetMismatch, Busy or StoreUnavailable
            More bytes than the last `Appended` reported may be stored.
        NoRecord, or another result of `OperationLedger.state`
            The upload does not exist or cannot receive bytes.
        """
        result = await self.appender.append(service, key, offset, chunks, deadline)
        if isinstance(result, Record | None):
            return await result_from_record(result, self.objects)
        return result

    async def verify(self, service, key, deadline):
        """Check the digest of a complete body.

        The body is read again from the object store, unless this process has received
        all its parts. If the digest differs from the stated one, the operation is
        refused.

        Returns
        -------
        Verified, DigestMismatch or StoreUnavailable
        NotVerified
            The body is incomplete.
        NoRecord, or another result of `OperationLedger.state`
            The upload does not exist or is no longer being received.
        """
        try:
            record = await self.records.get(service, key)
            if record is None or record.state != State.CLAIMED:
                return await result_from_record(record, self.objects)
            upload = record.upload
            if upload.offset < upload.length:
                return NotVerified(upload.offset, upload.length)
            actual = await self._compute_digest(upload)
        except (TableUnavailable, ObjectsUnavailable, MissingPart) as exc:
            return StoreUnavailable(str(exc))
        return await self._record_digest(record, actual, deadline)

    async def start(self, service, key, owner, deadline):
        """Start the operation of a verified upload, like `OperationLedger.start`.

        Returns
        -------
        Started, NotVerified, NoRecord, or another result of `OperationLedger.start`
        """
        try:
            record = await self.records.get(service, key)
        except TableUnavailable as exc:
            return StoreUnavailable(str(exc))
        if record is None or record.state != State.CLAIMED:
            return await result_from_record(record, self.objects)
        if not record.upload.verified:
            return NotVerified(record.upload.offset, record.upload.length)
        request = replace(record, owner=owner)
        result = await self.ledger.starter.start(record, request, deadline)
        if isinstance(result, Refused):
            return await self.ledger.state(service, key)
        return result

    def body(self, started):
        """Iterate over the body of a started upload.

        Raises
        ------
        MissingPart, ObjectsUnavailable, TableUnavailable
            Raised during the iteration. The iteration can be repeated from the start.
        """
        return self.parts.stream(started.upload.upload_id, started.upload.length)

    async def _compute_digest(self, upload):
        known = self.digests.complete_digest(upload.upload_id, upload.length)
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
                self.digests.discard(record.upload.upload_id)
                return result
            case NotSent(reason) | Undecided(reason):
                return StoreUnavailable(reason)
        return await self._result_after_conflict(record, result)

    async def _result_after_conflict(self, record, result):
        try:
            state = await self.records.get(record.service, record.key)
        except TableUnavailable as exc:
            return StoreUnavailable(str(exc))
        if state.state == State.CLAIMED and state.upload.verified:
            return result
        return await result_from_record(state, self.objects)
