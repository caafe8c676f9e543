"""What the record of an operation means for a call."""

import msgspec

from goldcresthoist.daemon.ledger import (
    AnswerRecorded,
    OperationRefused,
    OperationStarted,
)
from goldcresthoist.operations.results import (
    AlreadyFinished,
    AlreadyRunning,
    Busy,
    Cancelled,
    DigestMismatch,
    KeyConflict,
    NoRecord,
    NotVerified,
    OffsetMismatch,
    Receiving,
    Started,
    StoreUnavailable,
    Unknown,
)

__all__ = ["decode_answer", "encode_answer", "verdict_of"]

STORE_RETRY_MS = 1000
RUNNING_RETRY_MS = 500
BUSY_RETRY_MS = 200


class _StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


_decoder = msgspec.msgpack.Decoder(_StoredAnswer)


def encode_answer(status, headers, body):
    """Return the bytes that are kept of an answer."""
    return msgspec.msgpack.encode(_StoredAnswer(status, tuple(headers), body))


def decode_answer(data):
    """Return the `AnswerRecorded` for kept bytes."""
    stored = _decoder.decode(data)
    return AnswerRecorded(stored.status, stored.headers, stored.body)


def verdict_of(result, is_gone):
    """Translate a result of the ledger or of an upload for the call path.

    Parameters
    ----------
    result
        One of `goldcresthoist.operations.results`.
    is_gone : callable
        Tells whether the process of an owner has certainly ended.

    Returns
    -------
    OperationStarted, AnswerRecorded or OperationRefused
    """
    match result:
        case Started():
            return OperationStarted(result)
        case AlreadyFinished(answer=None):
            message = "the operation ran; its answer was not kept"
            return OperationRefused("answer-not-kept", message)
        case AlreadyFinished(answer=answer):
            return decode_answer(answer)
        case AlreadyRunning(owner) if is_gone(owner):
            message = f"{owner} started the operation and is gone"
            return OperationRefused("operation-unknown", message)
        case AlreadyRunning(owner):
            message = f"the operation runs at {owner}"
            return OperationRefused("operation-running", message, RUNNING_RETRY_MS)
        case Unknown(owner):
            message = f"{owner} got no complete answer from its upstream"
            return OperationRefused("operation-unknown", message)
        case Cancelled(note=note):
            message = "the operation was cancelled before it ran"
            return OperationRefused(
                "operation-cancelled", f"{message}: {note}" if note else message
            )
        case KeyConflict():
            message = "the key names another request"
            return OperationRefused("key-conflict", message)
        case StoreUnavailable(reason):
            return OperationRefused("store-unavailable", reason, STORE_RETRY_MS)
    return _upload_verdict(result)


def _upload_verdict(result):
    match result:
        case Receiving(offset, length) | NotVerified(offset, length):
            message = f"the upload has {offset} of {length} bytes"
            return OperationRefused("upload-offset", message)
        case OffsetMismatch(offset, length):
            message = f"the next byte to send is {offset} of {length}"
            return OperationRefused("upload-offset", message)
        case DigestMismatch(expected, actual):
            message = f"the body has SHA-256 {actual}, expected {expected}"
            return OperationRefused("upload-digest", message)
        case Busy(offset, length):
            message = f"no memory for more parts, {offset} of {length} bytes are stored"
            return OperationRefused("saturated", message, BUSY_RETRY_MS)
        case NoRecord():
            message = "nothing is recorded under this key"
            return OperationRefused("unknown-operation", message)
    raise TypeError(f"no verdict for {result!r}")
