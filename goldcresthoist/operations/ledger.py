"""Ledger of at-most-once operations, with one record per operation in the table."""

import asyncio

from goldcresthoist.access import Backoff
from goldcresthoist.objects import ObjectClient
from goldcresthoist.operations._background import BackgroundWrites, result_or_default
from goldcresthoist.operations._operation_starter import OperationStarter
from goldcresthoist.operations._outcome_recorder import OutcomeRecorder
from goldcresthoist.operations._record_results import result_from_record
from goldcresthoist.operations._records import (
    Record,
    RecordTable,
    State,
    record_partition,
)
from goldcresthoist.operations.results import (
    Cancelled,
    Finished,
    MarkedUnknown,
    OpenOperation,
    OpenPage,
    RecordPending,
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

__all__ = ["OperationLedger", "make_open_operation"]

# With the responses that they contain, 100 records have at most 26 MiB.
RECORDS_PER_PAGE = 100
_OPEN_STATES = (State.STARTED, State.UNKNOWN)


class OperationLedger:
    """Starts at-most-once operations and records their outcomes.

    Deadlines are times on the clock of the running event loop, in seconds.

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
        self.outcome_recorder = OutcomeRecorder(self.records, objects)
        self.starter = OperationStarter(
            self.records, self.outcome_recorder, self.background
        )

    @classmethod
    def from_settings(cls, settings):
        """Create a ledger with its own clients from the settings of a daemon."""
        table = TableClient.from_settings(settings)
        return cls(table, ObjectClient.from_settings(settings))

    async def start(self, service, key, digest, owner, deadline):
        """Start an operation unless a record of it forbids that.

        This usually takes one conditional write. The caller must have acquired a slot
        of an upstream before, and must run the operation only if the result is
        `Started`.

        Parameters
        ----------
        service, key : str
        digest : str
            Digest of the request; a different digest for the same key is a conflict.
        owner : str
            Identifies the process that runs the operation; the identity of the
            instance alone is not sufficient.
        deadline : float

        Returns
        -------
        Started, AlreadyFinished, AlreadyRunning, Receiving, Cancelled, KeyConflict,
        Unknown or StoreUnavailable
        """
        request = Record(service, key, "", "", digest, owner)
        current = None
        while True:
            result = await self.starter.start(current, request, deadline)
            if not isinstance(result, Refused):
                return result
            try:
                current = await self.records.get(service, key)
            except TableUnavailable as exc:
                return StoreUnavailable(str(exc))
            if not _may_start(current, digest):
                return await result_from_record(current, self.objects, digest)

    async def finish(self, started, answer, deadline):
        """Record the response of an operation that ran to completion.

        The write is retried in the background until it succeeds. After
        `RecordPending`, the response may be sent to the caller with the outcome
        `running`: the operation ran, and a repeated request gets the state running
        until the response is recorded. If this daemon fails before that, the operation
        becomes unknown.

        Returns
        -------
        Finished, RecordPending or Superseded
        """
        base = _record_from_started(started)
        reserved = self.background.reserve_answer(answer)
        write = self._finish(base, reserved)
        return await self._wait_until_recorded(write, deadline)

    async def mark_unknown(self, started, note, deadline):
        """Record that the operation may have run, e.g. after a crash of the upstream.

        Returns
        -------
        MarkedUnknown, RecordPending or Superseded
        """
        write = self.outcome_recorder.mark_unknown(
            _record_from_started(started), note, MarkedUnknown()
        )
        return await self._wait_until_recorded(write, deadline)

    async def release_start(self, started, deadline):
        """Undo a start after which the request certainly did not reach the upstream.

        Any daemon may start an operation with the key again.

        Returns
        -------
        Released or RecordPending
        """
        write = self.outcome_recorder.release(None, _record_from_started(started))
        return await self._wait_until_recorded(write, deadline)

    async def cancel(self, service, key, deadline, author="", note=""):
        """Prevent that an operation is started, if it has not been started yet.

        Returns
        -------
        Cancelled, AlreadyRunning, AlreadyFinished, Unknown or StoreUnavailable
            After `StoreUnavailable` the cancellation may still take effect.
        """
        backoff = Backoff(deadline)
        while True:
            try:
                current = await self.records.get(service, key)
            except TableUnavailable as exc:
                return StoreUnavailable(str(exc))
            if current is not None and not _may_cancel(current):
                return await result_from_record(current, self.objects)
            base = current or Record(service, key, "", "")
            new = base.changed(State.REFUSED, author=author, note=note)
            match await self.records.write(current, new, backoff):
                case Applied():
                    return Cancelled(author, note)
                case NotSent(reason) | Undecided(reason):
                    return StoreUnavailable(reason)
            if asyncio.get_running_loop().time() >= deadline:
                return StoreUnavailable("the record was changed by other writes")

    async def state(self, service, key):
        """Return the state of an operation.

        Returns
        -------
        NoRecord, or any result of `start` except `Started` and `KeyConflict`
        """
        try:
            record = await self.records.get(service, key)
        except TableUnavailable as exc:
            return StoreUnavailable(str(exc))
        return await result_from_record(record, self.objects)

    async def list_unknown(self, service, owner_has_ended, after=""):
        """Return the operations of one page of records that have an unknown outcome.

        These include the started operations whose owner has ended, as their outcome
        will never be recorded. One call reads up to 100 records of the service together
        with the responses that they contain.

        Parameters
        ----------
        service : str
        owner_has_ended : callable
            Returns whether the process identified by an owner has certainly ended.
        after : str
            `OpenPage.after` of the previous page; empty for the first page.

        Raises
        ------
        TableUnavailable
        """
        items = await self.table.query(
            record_partition(service), limit=RECORDS_PER_PAGE, after=after
        )
        records = [Record.from_item(service, item["sk"], item) for item in items]
        found = tuple(
            make_open_operation(record)
            for record in records
            if record.state == State.UNKNOWN
            or (record.state == State.STARTED and owner_has_ended(record.owner))
        )
        return OpenPage(
            found, records[-1].key if len(items) == RECORDS_PER_PAGE else ""
        )

    async def settle(self, operation, settlement, author, note, deadline, answer=None):
        """Record the outcome that an operator determined for an unknown operation.

        After `Settlement.REFUSED`, callers are informed that the operation did not run
        and can no longer run. The operator must therefore have verified that the
        process of the owner has ended and that the upstream did not run the operation.
        If the owner records an outcome nevertheless, it replaces the settlement.

        Parameters
        ----------
        operation : OpenOperation
            Operation as returned by `list_unknown`. The settlement is recorded only if
            the record still has the same start and no known outcome.
        settlement : Settlement
        author, note : str
        deadline : float
        answer : bytes, optional
            Response for repeated requests, if the operator can provide it.

        Returns
        -------
        Settled, StoreUnavailable, or a result of `state` if the record has changed
        """
        try:
            record = await self.records.get(operation.service, operation.key)
        except TableUnavailable as exc:
            return StoreUnavailable(str(exc))
        if record is None or not _matches_listed(record, operation):
            return await result_from_record(record, self.objects)
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

    async def wait_for_background_writes(self, deadline):
        """Wait for the background writes; return how many are unfinished."""
        return await self.background.wait(deadline)

    async def _finish(self, base, answer):
        try:
            return await self.outcome_recorder.finish(base, answer, Finished())
        finally:
            self.background.release_answer(answer)

    async def _wait_until_recorded(self, write, deadline):
        task = self.background.spawn(write)
        return await result_or_default(task, deadline, RecordPending())


def _may_start(record, digest):
    if record is None:
        return True
    return record.state == State.RELEASED and record.digest in ("", digest)


def _may_cancel(record):
    return record.state in (State.CLAIMED, State.RELEASED)


def _record_from_started(started):
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


def _matches_listed(record, operation):
    return record.state in _OPEN_STATES and record.start_nonce == operation.start_nonce


def make_open_operation(record):
    """Return the fields of a record that operators need to settle its operation."""
    return OpenOperation(
        service=record.service,
        key=record.key,
        state=record.state,
        owner=record.owner,
        started_s=record.started_s,
        start_nonce=record.start_nonce,
        note=record.note,
    )
