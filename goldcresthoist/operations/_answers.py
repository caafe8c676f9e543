"""Translation of records to results."""

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

__all__ = ["result_of"]


async def result_of(record, objects, digest=""):
    """Return what a record, or None, tells the caller of a request.

    Parameters
    ----------
    record : Record or None
    objects : ObjectClient
        Holds the large answers.
    digest : str
        Digest of the caller's request; empty matches every record.
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
            return await _finished(record, objects)
    raise ValueError(f"record of {record.key!r} has state {record.state!r}")


async def _finished(record, objects):
    answer = record.answer
    if record.answer_object:
        try:
            answer = await objects.get(record.answer_object)
        except ObjectsUnavailable as exc:
            return StoreUnavailable(f"answer cannot be read: {exc}")
        except ObjectMissing:
            answer = None
    return AlreadyFinished(answer, record.author, record.note)
