"""Recording the outcome of started operations, with retries and no deadline."""

import math

from goldcresthoist.access import Backoff
from goldcresthoist.objects import ObjectsUnavailable
from goldcresthoist.operations._records import State
from goldcresthoist.operations.results import Released, Superseded
from goldcresthoist.table import Applied, NotSent, Refused, TableUnavailable

__all__ = ["OutcomeRecorder"]

MAX_RETRY_PAUSE_S = 5.0
# Larger responses are stored in the object store instead of the table.
MAX_INLINE_ANSWER_BYTES = 256 * 1024


class OutcomeRecorder:
    """Records outcomes, retrying until the table and the object store are available.

    Parameters
    ----------
    records : RecordTable
    objects : ObjectClient
    """

    def __init__(self, records, objects):
        self.records = records
        self.objects = objects

    async def finish(self, base, answer, result):
        """Record that an operation finished, with its response unless that is None.

        Returns `result`, or `Superseded` if the record does not accept the outcome.
        """
        new = base.changed(State.FINISHED)
        if answer is not None and len(answer) > MAX_INLINE_ANSWER_BYTES:
            name = f"answers/{new.nonce}"
            await self._put_object(name, answer)
            return await self._record_outcome(
                base, new, result, {"answer_object": name}
            )
        return await self._record_outcome(base, new, result, {"answer": answer})

    async def mark_unknown(self, base, note, result):
        """Record that it is unknown whether an operation ran.

        Returns `result`, or `Superseded` if the record does not accept the outcome.
        """
        new = base.changed(State.UNKNOWN)
        return await self._record_outcome(base, new, result, {"note": note})

    async def release(self, previous, started):
        """Undo a start after which the operation certainly did not run.

        Parameters
        ----------
        previous : Record or None
            Record that the start replaced. If the table still contains it, the write
            of the start may be delayed. It is then replaced too, so that the condition
            of the delayed write fails.
        started : Record
            Record written by the start.
        """
        backoff = Backoff(math.inf, longest_s=MAX_RETRY_PAUSE_S)
        replaced = {started.nonce} | ({previous.nonce} if previous else set())
        released = started.without_start()
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

    async def _record_outcome(self, base, new, result, changes):
        backoff = Backoff(math.inf, longest_s=MAX_RETRY_PAUSE_S)
        start_nonce = base.start_nonce
        while True:
            written = await self._write(base, new, changes, backoff)
            if isinstance(written, Applied):
                return result
            if isinstance(written, Refused):
                current = await self._read(new, backoff)
                if current.nonce == new.nonce:
                    return result
                if not _accepts_outcome(current, start_nonce):
                    return Superseded(current.state)
                base = current
            await backoff.pause()

    async def _write(self, base, new, changes, backoff):
        # The outcome replaces one set by an operator, but keeps its author and note.
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
        backoff = Backoff(math.inf, longest_s=MAX_RETRY_PAUSE_S)
        while True:
            try:
                return await self.objects.put(name, answer)
            except ObjectsUnavailable:
                await backoff.pause()


def _accepts_outcome(record, start_nonce):
    # An outcome set by an operator is replaced, because the owner of the operation
    # knows reliably whether it ran.
    open_states = (State.STARTED, State.UNKNOWN)
    return record.start_nonce == start_nonce and (
        record.settled or record.state in open_states
    )
