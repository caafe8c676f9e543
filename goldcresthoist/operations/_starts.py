"""Start of an operation by one conditional write."""

import asyncio
import time
from dataclasses import replace

from goldcresthoist.access import Backoff
from goldcresthoist.operations._records import Record, State, new_nonce
from goldcresthoist.operations.results import Started, StoreUnavailable
from goldcresthoist.table import Applied, NotSent, Refused, Undecided

__all__ = ["OperationStarts", "started_of"]


class OperationStarts:
    """Makes `started` records.

    Parameters
    ----------
    records : RecordTable
    ends : OperationEnds
    background : BackgroundWrites
    """

    def __init__(self, records, ends, background):
        self.records = records
        self.ends = ends
        self.background = background

    async def start(self, before, request, deadline):
        """Replace the record `before`, or none, by a start.

        Parameters
        ----------
        before : Record or None
        request : Record
            Service, key, digest and owner of the start.
        deadline : float
            Time of the running loop's clock, in seconds.

        Returns
        -------
        Started, StoreUnavailable, or Refused
            `Refused` if the record is no longer `before`.
        """
        if self.background.is_full:
            return StoreUnavailable("too many writes wait for the table")
        if asyncio.get_running_loop().time() >= deadline:
            return StoreUnavailable("deadline passed before the start")
        new = _start_record(before, request)
        try:
            written = await self.records.write(before, new, Backoff(deadline))
        except BaseException:
            # The write may have been sent; nobody will run the operation.
            self.release_later(before, new)
            raise
        match written:
            case Applied():
                return started_of(new)
            case NotSent(reason):
                return StoreUnavailable(reason)
            case Undecided(reason):
                self.release_later(before, new)
                return StoreUnavailable(reason)
            case Refused():
                return written

    def release_later(self, before, started):
        """Void a start in the background."""
        self.background.spawn(self.ends.release(before, started))


def started_of(record):
    """Return the result that lets the caller run the operation."""
    return Started(
        service=record.service,
        key=record.key,
        digest=record.digest,
        owner=record.owner,
        nonce=record.start_nonce,
        started_s=record.started_s,
        upload=record.upload,
    )


def _start_record(before, request):
    nonce = new_nonce()
    base = before or Record(request.service, request.key, "", "", request.digest)
    return replace(
        base,
        state=State.STARTED,
        nonce=nonce,
        start_nonce=nonce,
        owner=request.owner,
        started_s=int(time.time()),
    )
