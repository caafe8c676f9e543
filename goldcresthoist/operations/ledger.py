"""At-most-once operations, recorded in the table."""

import asyncio

from goldcresthoist.access import Backoff
from goldcresthoist.objects import ObjectClient
from goldcresthoist.operations._answers import result_of
from goldcresthoist.operations._background import BackgroundWrites, result_before
from goldcresthoist.operations._ends import OperationEnds
from goldcresthoist.operations._records import (
    Record,
    RecordTable,
    State,
    record_partition,
)
from goldcresthoist.operations._starts import OperationStarts
from goldcresthoist.operations.results import (
    Cancelled,
    Finished,
    MarkedUnknown,
    OpenOperation,
    OpenPage,
    Recording,
    Settled,
    Settlement,
    StoreUnavailable,
)
from goldcresthoist.table import (
    Applied,
    NotSent,
    Refused,
    TableClient,
    TableUnavailable,
    Undecided,
)

__all__ = ["OperationLedger", "open_operation"]

# Records with their answers are at most 26 MiB then.
SCAN_RECORDS = 100
_OPEN = (State.STARTED, State.UNKNOWN)


class OperationLedger:
    """Starts, ends and resolves at-most-once operations.

    Deadlines are times of the running loop's clock, in seconds.

    Parameters
    ----------
    table : TableClient
    objects : ObjectClient
    """

    def __init__(self, table, objects):
        self.table = table
        self.objects = objects
        self.records = RecordTable(table)
        self.background = BackgroundWrites()
        self.ends = OperationEnds(self.records, objects)
        self.starts = OperationStarts(self.records, self.ends, self.background)

    @classmethod
    def from_settings(cls, settings):
        """Make a ledger with its own clients from a daemon's settings."""
        table = TableClient.from_settings(settings)
        return cls(table, ObjectClient.from_settings(settings))

    async def start(self, service, key, digest, owner, deadline):
        """Start an operation unless there is a record of it.

        One conditional write in the usual case. The caller holds a free slot, and
        runs the operation only if the result is `Started`.

        Parameters
        ----------
        service, key : str
        digest : str
            Digest of the request; the same key with another digest is a conflict.
        owner : str
            Names the process that runs the operation, not only its instance.
        deadline : float

        Returns
        -------
        Started, AlreadyFinished, AlreadyRunning, Receiving, Cancelled, KeyConflict,
        Unknown or StoreUnavailable
        """
        request = Record(service, key, "", "", digest, owner)
        before = None
        while True:
            result = await self.starts.start(before, request, deadline)
            if not isinstance(result, Refused):
                return result
            try:
                before = await self.records.get(service, key)
            except TableUnavailable as exc:
                return StoreUnavailable(str(exc))
            if not _may_start(before, digest):
                return await result_of(before, self.objects, digest)

    async def finish(self, started, answer, deadline):
        """Record the answer of an operation that ran to its end.

        The write is repeated in the background until the table takes it. If
        `Recording` is returned, the caller may get the answer with the outcome
        `running`: the work ran, and a repeat is answered as running until the answer
        is recorded, and as unknown if this daemon is lost before.

        Returns
        -------
        Finished, Recording or Superseded
        """
        base = _base_of(started)
        held = self.background.hold_answer(answer)
        end = self._finish(base, held)
        return await self._record(end, deadline)

    async def mark_unknown(self, started, note, deadline):
        """Record that the operation may have run, e.g. after a crash upstream.

        Returns
        -------
        MarkedUnknown, Recording or Superseded
        """
        end = self.ends.mark_unknown(_base_of(started), note, MarkedUnknown())
        return await self._record(end, deadline)

    async def fail_not_run(self, started, deadline):
        """Give up a start whose work certainly did not reach the upstream.

        The key may be started again by any daemon.

        Returns
        -------
        Released or Recording
        """
        end = self.ends.release(None, _base_of(started))
        return await self._record(end, deadline)

    async def cancel(self, service, key, deadline, author="", note=""):
        """Make sure that nothing can start under a key, if nothing has.

        Returns
        -------
        Cancelled, AlreadyRunning, AlreadyFinished, Unknown or StoreUnavailable
            After `StoreUnavailable` the cancellation may still take effect.
        """
        backoff = Backoff(deadline)
        while True:
            try:
                before = await self.records.get(service, key)
            except TableUnavailable as exc:
                return StoreUnavailable(str(exc))
            if before is not None and not _may_cancel(before):
                return await result_of(before, self.objects)
            base = before or Record(service, key, "", "")
            new = base.changed(State.REFUSED, author=author, note=note)
            match await self.records.write(before, new, backoff):
                case Applied():
                    return Cancelled(author, note)
                case NotSent(reason) | Undecided(reason):
                    return StoreUnavailable(reason)
            if asyncio.get_running_loop().time() >= deadline:
                return StoreUnavailable("the record keeps changing")

    async def state(self, service, key):
        """Return the state of an operation as a result of `start`, or `NoRecord`."""
        try:
            record = await self.records.get(service, key)
        except TableUnavailable as exc:
            return StoreUnavailable(str(exc))
        return await result_of(record, self.objects)

    async def list_unknown(self, service, is_gone, after=""):
        """Return one page of the operations whose end nobody will record.

        Scans the records of the service, 100 at a time, answers included.

        Parameters
        ----------
        service : str
        is_gone : callable
            Tells whether the process of an owner has certainly ended.
        after : str
            `after` of the last page.

        Raises
        ------
        TableUnavailable
        """
        items = await self.table.query(
            record_partition(service), limit=SCAN_RECORDS, after=after
        )
        records = [Record.from_item(service, item["sk"], item) for item in items]
        found = tuple(
            open_operation(record)
            for record in records
            if record.state == State.UNKNOWN
            or (record.state == State.STARTED and is_gone(record.owner))
        )
        return OpenPage(found, records[-1].key if len(items) == SCAN_RECORDS else "")

    async def settle(self, operation, settlement, author, note, deadline, answer=None):
        """End an unknown operation by the word of an operator.

        `Settlement.REFUSED` lets callers be told that nothing ran and nothing can:
        the operator vouches that the owner's process has ended and that the upstream
        did not run the work. An end that the owner still records replaces the
        settlement.

        Parameters
        ----------
        operation : OpenOperation
            As listed; the record must still have this owner and start.
        settlement : Settlement
        author, note : str
        deadline : float
        answer : bytes, optional
            Answer for repeats, if the operator has it.

        Returns
        -------
        Settled, StoreUnavailable, or a result of `start` if the record has changed
        """
        try:
            record = await self.records.get(operation.service, operation.key)
        except TableUnavailable as exc:
            return StoreUnavailable(str(exc))
        if record is None or not _is_listed(record, operation):
            return await result_of(record, self.objects)
        new = record.changed(
            Settlement(settlement).value,
            settled=1,
            author=author,
            note=note,
            answer=answer,
        )
        match await self.records.write(record, new, Backoff(deadline)):
            case Applied():
                return Settled()
            case NotSent(reason) | Undecided(reason):
                return StoreUnavailable(reason)
        return await self.state(operation.service, operation.key)

    async def wait_recorded(self, deadline):
        """Wait for the writes in the background; return how many are left."""
        return await self.background.wait(deadline)

    async def _finish(self, base, answer):
        try:
            return await self.ends.finish(base, answer, Finished())
        finally:
            self.background.drop_answer(answer)

    async def _record(self, end, deadline):
        task = self.background.spawn(end)
        return await result_before(task, deadline, Recording())


def _may_start(record, digest):
    if record is None:
        return True
    return record.state == State.RELEASED and record.digest in ("", digest)


def _may_cancel(record):
    return record.state in (State.CLAIMED, State.RELEASED)


def _base_of(started):
    return Record(
        service=started.service,
        key=started.key,
        state=State.STARTED,
        nonce=started.nonce,
        digest=started.digest,
        owner=started.owner,
        start_nonce=started.nonce,
        started_s=started.started_s,
        upload=started.upload,
    )


def _is_listed(record, operation):
    return record.state in _OPEN and record.start_nonce == operation.start_nonce


def open_operation(record):
    """Return what operators are shown of an operation without a known end."""
    return OpenOperation(
        service=record.service,
        key=record.key,
        state=record.state,
        owner=record.owner,
        started_s=record.started_s,
        start_nonce=record.start_nonce,
        note=record.note,
    )
