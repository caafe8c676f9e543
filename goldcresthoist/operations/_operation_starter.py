"""Starting an operation with one conditional write."""

import asyncio
import time
from dataclasses import replace

from goldcresthoist.access import Backoff
from goldcresthoist.operations._records import Record, State, new_nonce
from goldcresthoist.operations.results import Started, StoreUnavailable
from goldcresthoist.table import Applied, NotSent, Refused, Undecided

__all__ = ["OperationStarter", "started_from_record"]


class OperationStarter:
    """Writes the records that start operations.

    Parameters
    ----------
    records : RecordTable
    outcome_recorder : OutcomeRecorder
    background : BackgroundWrites
    """

    def __init__(self, records, outcome_recorder, background):
        self.records = records
        self.outcome_recorder = outcome_recorder
        self.background = background

    async def start(self, previous, request, deadline):
        """Start an operation if its stored record is still `previous`.

        Parameters
        ----------
        previous : Record or None
            Expected stored record; None if no record must exist.
        request : Record
            Provides the service, key, digest and owner of the operation.
        deadline : float
            Time on the clock of the running event loop, in seconds.

        Returns
        -------
        Started, StoreUnavailable or Refused
            `Refused` if the stored record is no longer `previous`.
        """
        if self.background.is_full:
            return StoreUnavailable("too many background writes are pending")
        if asyncio.get_running_loop().time() >= deadline:
            return StoreUnavailable("deadline passed before the operation was started")
        new = _start_record(previous, request)
        try:
            written = await self.records.write(previous, new, Backoff(deadline))
        except BaseException:
            # The write may have been sent already, but the operation will not be run.
            self.release_in_background(previous, new)
            raise
        match written:
            case Applied():
                return started_from_record(new)
            case NotSent(reason):
                return StoreUnavailable(reason)
            case Undecided(reason):
                self.release_in_background(previous, new)
                return StoreUnavailable(reason)
            case Refused():
                return written

    def release_in_background(self, previous, started):
        """Undo a start in the background, as `OutcomeRecorder.release` does."""
        self.background.spawn(self.outcome_recorder.release(previous, started))


def started_from_record(record):
    """Return the `Started` result for a record in state ``started``."""
    return Started(
        service=record.service,
        key=record.key,
        digest=record.digest,
        owner=record.owner,
        nonce=record.start_nonce,
        started_s=record.started_s,
        upload=record.upload,
    )


def _start_record(previous, request):
    nonce = new_nonce()
    base = previous or Record(request.service, request.key, "", "", request.digest)
    return replace(
        base,
        state=State.STARTED,
        nonce=nonce,
        start_nonce=nonce,
        owner=request.owner,
        started_s=int(time.time()),
    )
