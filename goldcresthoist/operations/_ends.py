"""Ends of started operations, repeated until the table takes them."""

import math

from goldcresthoist.access import Backoff
from goldcresthoist.objects import ObjectsUnavailable
from goldcresthoist.operations._records import State
from goldcresthoist.operations.results import Released, Superseded
from goldcresthoist.table import Applied, NotSent, Refused, TableUnavailable

__all__ = ["OperationEnds"]

LONGEST_PAUSE_S = 5.0
# Larger answers go to the object store.
MOST_INLINE_BYTES = 256 * 1024


class OperationEnds:
    """Writes the end of an operation, however long the store is away.

    Parameters
    ----------
    records : RecordTable
    objects : ObjectClient
    """

    def __init__(self, records, objects):
        self.records = records
        self.objects = objects

    async def finish(self, base, answer, result):
        """Record the answer, or only the end if `answer` is None."""
        new = base.changed(State.FINISHED)
        if answer is not None and len(answer) > MOST_INLINE_BYTES:
            name = f"answers/{new.nonce}"
            await self._put_object(name, answer)
            return await self._replace(base, new, result, {"answer_object": name})
        return await self._replace(base, new, result, {"answer": answer})

    async def mark_unknown(self, base, note, result):
        """Record that nobody knows whether the operation ran."""
        new = base.changed(State.UNKNOWN)
        return await self._replace(base, new, result, {"note": note})

    async def release(self, before, started):
        """Make a start void that certainly ran nothing.

        Parameters
        ----------
        before : Record or None
            What the start replaced. If it is still there, the write of the start may
            yet arrive, so it is replaced too.
        started : Record
        """
        backoff = Backoff(math.inf, longest_s=LONGEST_PAUSE_S)
        replaced = {started.nonce} | ({before.nonce} if before else set())
        released = started.released()
        while True:
            written = NotSent("")
            try:
                record = await self.records.get(started.service, started.key)
                if record is not None and record.nonce not in replaced:
                    return Released()
                written = await self.records.write(record, released, backoff)
            except TableUnavailable:
                pass
            if isinstance(written, Applied):
                return Released()
            await backoff.pause()

    async def _replace(self, base, new, result, changes):
        backoff = Backoff(math.inf, longest_s=LONGEST_PAUSE_S)
        start_nonce = base.start_nonce
        while True:
            written = await self._write(base, new, changes, backoff)
            if isinstance(written, Applied):
                return result
            if isinstance(written, Refused):
                current = await self._read(new, backoff)
                if current.nonce == new.nonce:
                    return result
                if not _takes_end(current, start_nonce):
                    return Superseded(current.state)
                base = current
            await backoff.pause()

    async def _write(self, base, new, changes, backoff):
        # An operator's settlement is replaced, but its author and note are kept.
        kept = {"author": base.author, "note": base.note} | changes
        values = {name: getattr(new, name) for name in new.__slots__} | kept
        return await self.records.write(base, type(new)(**values), backoff)

    async def _read(self, new, backoff):
        while True:
            try:
                return await self.records.get(new.service, new.key)
            except TableUnavailable:
                await backoff.pause()

    async def _put_object(self, name, answer):
        backoff = Backoff(math.inf, longest_s=LONGEST_PAUSE_S)
        while True:
            try:
                return await self.objects.put(name, answer)
            except ObjectsUnavailable:
                await backoff.pause()


def _takes_end(record, start_nonce):
    # The owner knows what ran better than an operator who settled meanwhile.
    open_states = (State.STARTED, State.UNKNOWN)
    return record.start_nonce == start_nonce and (
        record.settled or record.state in open_states
    )
