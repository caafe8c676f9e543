"""Decisions of the call path that follow from the record of an operation."""

import msgspec

from goldcresthoist.daemon.ledger import (
    OperationRefused,
    OperationStarted,
    ResponseRecorded,
)
from goldcresthoist.operations.results import (
    AlreadyFinished,
    AlreadyRunning,
    Cancelled,
    DigestMismatch,
    KeyConflict,
    MemoryLimitReached,
    NoRecord,
    NotVerified,
    OffsetMismatch,
    Receiving,
    Started,
    StoreUnavailable,
    Unknown,
)

__all__ = ["decision_for", "decode_response", "encode_response"]

# Time after which a caller should retry, by the cause of the refusal: the store is
# unavailable, the operation is running, or the memory for parts of uploads is in use.
STORE_RETRY_MS = 1000
RUNNING_RETRY_MS = 500
MEMORY_LIMIT_RETRY_MS = 200


class _StoredResponse(msgspec.Struct, frozen=True, array_like=True):
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


_decoder = msgspec.msgpack.Decoder(_StoredResponse)


def encode_response(status, headers, body):
    """Return the stored form of a response."""
    return msgspec.msgpack.encode(_StoredResponse(status, tuple(headers), body))


def decode_response(data):
    """Return the `ResponseRecorded` for the stored form of a response."""
    stored = _decoder.decode(data)
    return ResponseRecorded(stored.status, stored.headers, stored.body)


def decision_for(result, owner_has_ended):
    """Return the decision for a result of the operation ledger or of an upload.

    Parameters
    ----------
    result
        An instance of one of the classes in `goldcresthoist.operations.results`.
    owner_has_ended : callable
        Called with an owner; returns whether its process is regarded as ended.

    Returns
    -------
    `OperationStarted`, `ResponseRecorded` or `OperationRefused`
    """
    match result:
        case Started():
            return OperationStarted(result)
        case AlreadyFinished(answer=None):
            message = "the operation finished, but its response was not stored"
            return OperationRefused("answer-not-kept", message)
        case AlreadyFinished(answer=answer):
            return decode_response(answer)
        case AlreadyRunning(owner) if owner_has_ended(owner):
            message = f"{owner} started the operation and is no longer alive"
            return OperationRefused("operation-unknown", message)
        case AlreadyRunning(owner):
            message = f"the operation is running at {owner}"
            return OperationRefused("operation-running", message, RUNNING_RETRY_MS)
        case Unknown(owner):
            message = f"{owner} received no complete response from its upstream"
            return OperationRefused("operation-unknown", message)
        case Cancelled(note=note):
            message = "the operation was cancelled before it ran"
            return OperationRefused(
                "operation-cancelled", f"{message}: {note}" if note else message
            )
        case KeyConflict():
            message = "the idempotency key is already in use for another request"
            return OperationRefused("key-conflict", message)
        case StoreUnavailable(reason):
            return OperationRefused("store-unavailable", reason, STORE_RETRY_MS)
    return _upload_decision(result)


def _upload_decision(result):
    """Return the refusal for a result of an upload, or for a missing record."""
    match result:
        case Receiving(offset, length) | NotVerified(offset, length):
            message = f"{offset} of {length} bytes of the upload are stored"
            return OperationRefused("upload-offset", message)
        case OffsetMismatch(offset, length):
            message = f"the upload must continue at offset {offset} of {length}"
            return OperationRefused("upload-offset", message)
        case DigestMismatch(expected, actual):
            message = f"the SHA-256 of the body is {actual}, expected {expected}"
            return OperationRefused("upload-digest", message)
        case MemoryLimitReached(offset, length):
            message = (
                f"no memory for further parts; {offset} of {length} bytes are stored"
            )
            return OperationRefused("saturated", message, MEMORY_LIMIT_RETRY_MS)
        case NoRecord():
            message = "no operation is recorded under this key"
            return OperationRefused("unknown-operation", message)
    raise TypeError(f"no decision is defined for {result!r}")
