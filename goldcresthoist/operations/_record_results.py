"""Conversion of operation records to the results returned to callers."""

from goldcresthoist.objects import ObjectMissing, ObjectsUnavailable
from goldcresthoist.operations._records import State
from goldcresthoist.operations.results import (
    AlreadyFinished,
    AlreadyRunning,
    Cancelled,
    KeyConflict,
    NoRecord,
    Receiving,
    StoreUnavailable,
    Unknown,
)

__all__ = ["result_from_record"]


async def result_from_record(record, objects, digest=""):
    """Return the result that describes the state of an operation.

    Parameters
    ----------
    record : Record or None
        Stored record of the operation.
    objects : ObjectClient
        Object store that contains the responses too large for the table.
    digest : str
        Digest of the caller's request; an empty digest matches every record.
    """
    if record is None:
        return NoRecord()
    if digest and record.digest and digest != record.digest:
        return KeyConflict()
    match record.state:
        case State.RELEASED:
            return NoRecord()
        case State.CLAIMED:
            return Receiving(record.upload.offset, record.upload.length)
        case State.STARTED:
            return AlreadyRunning(record.owner)
        case State.UNKNOWN:
            return Unknown(record.owner, record.note)
        case State.REFUSED:
            return Cancelled(record.author, record.note)
        case State.FINISHED:
            return await _finished_result(record, objects)
    raise ValueError(
        f"operation record {record.key!r} has unexpected state {record.state!r}"
    )


async def _finished_result(record, objects):
    answer = record.answer
    if record.answer_object:
        try:
            answer = await objects.get(record.answer_object)
        except ObjectsUnavailable as exc:
            return StoreUnavailable(f"recorded response cannot be read: {exc}")
        except ObjectMissing:
            answer = None
    return AlreadyFinished(answer, record.author, record.note)
