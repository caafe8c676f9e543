"""Results of the methods of `OperationLedger` and `UploadReceiver`.

Callers distinguish them with ``match``.
"""

import enum
from dataclasses import dataclass

__all__ = [
    "AlreadyFinished",
    "AlreadyRunning",
    "Appended",
    "MemoryLimitReached",
    "Cancelled",
    "DigestMismatch",
    "Finished",
    "KeyConflict",
    "MarkedUnknown",
    "NoRecord",
    "NotVerified",
    "OffsetMismatch",
    "OpenOperation",
    "OpenPage",
    "Receiving",
    "RecordPending",
    "Released",
    "Settled",
    "Settlement",
    "Started",
    "StoreUnavailable",
    "Superseded",
    "Unknown",
    "UploadFields",
    "Verified",
]


@dataclass(frozen=True, slots=True)
class UploadFields:
    """Fields of an operation record that describe its upload.

    `length` is the size of the whole body in bytes, `offset` the number of bytes
    stored so far. `sha256` is the digest of the whole body in hex as stated by the
    caller, or empty if the caller did not state one. `verified` is 1 once the digest
    has been checked. `expires_s` is in Unix seconds.
    """

    upload_id: str
    length: int
    sha256: str = ""
    offset: int = 0
    verified: int = 0
    expires_s: int = 0


@dataclass(frozen=True, slots=True)
class Started:
    """The operation is started; only the caller of `start` may run it, and only once.

    The caller must pass this object to `OperationLedger.finish`, `mark_unknown` or
    `release_start` afterwards.
    """

    service: str
    key: str
    digest: str
    owner: str
    nonce: str
    started_s: int = 0
    upload: UploadFields | None = None


@dataclass(frozen=True, slots=True)
class AlreadyFinished:
    """The operation ran to completion.

    `answer` is the recorded response. It is None if the response could not be stored,
    or if an operator settled the operation without one.
    """

    answer: bytes | None
    author: str = ""
    note: str = ""


@dataclass(frozen=True, slots=True)
class AlreadyRunning:
    """The operation was started by `owner`, and no outcome is recorded yet."""

    owner: str


@dataclass(frozen=True, slots=True)
class Receiving:
    """The body of the operation is being uploaded.

    `offset` of its `length` bytes are stored.
    """

    offset: int
    length: int


@dataclass(frozen=True, slots=True)
class NotVerified:
    """The upload is incomplete, or its digest has not been checked yet."""

    offset: int
    length: int


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The operation did not run and can no longer be started.

    This is reported to the caller as `not-run` with scope `operation`.
    """

    author: str = ""
    note: str = ""


@dataclass(frozen=True, slots=True)
class KeyConflict:
    """The key is already used by a request with a different digest."""


@dataclass(frozen=True, slots=True)
class Unknown:
    """The operation was started by `owner`, but it is unknown whether it ran."""

    owner: str
    note: str = ""


@dataclass(frozen=True, slots=True)
class NoRecord:
    """No operation with the key is running or finished; it may still be started."""


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The table or the object store is unavailable, so this call ran nothing.

    This is reported to the caller as `not-run` with scope `request`. `offset` is the
    last known stored offset of an upload, or None.
    """

    reason: str
    offset: int | None = None


@dataclass(frozen=True, slots=True)
class Finished:
    """The response of the operation is recorded."""


@dataclass(frozen=True, slots=True)
class MarkedUnknown:
    """The outcome of the operation is recorded as unknown."""


@dataclass(frozen=True, slots=True)
class Released:
    """It is recorded that the operation did not run; it may be started again."""


@dataclass(frozen=True, slots=True)
class RecordPending:
    """The outcome is not recorded yet; the write is retried in the background."""


@dataclass(frozen=True, slots=True)
class Superseded:
    """The outcome was discarded, because the record is in another state by now."""

    state: str


class Settlement(enum.Enum):
    """Outcome that an operator can set for an operation with an unknown outcome."""

    FINISHED = "finished"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Settled:
    """The outcome set by the operator is recorded."""


@dataclass(frozen=True, slots=True)
class OpenOperation:
    """An operation that was started and has no known outcome.

    `started_s` is in Unix seconds, from the clock of the owner.
    """

    service: str
    key: str
    state: str
    owner: str
    started_s: int
    start_nonce: str
    note: str


@dataclass(frozen=True, slots=True)
class OpenPage:
    """Operations without a known outcome, found in one page of records.

    `after` is the key to continue the scan from, or empty after the last page.
    """

    operations: tuple[OpenOperation, ...]
    after: str


@dataclass(frozen=True, slots=True)
class Appended:
    """The body is stored up to `offset`, which can be acknowledged to the caller."""

    offset: int
    length: int


@dataclass(frozen=True, slots=True)
class OffsetMismatch:
    """The sent bytes do not fit the stored part of the body.

    They begin after the stored `offset` or exceed the `length` of the body. The caller
    must continue at `offset`.
    """

    offset: int
    length: int


@dataclass(frozen=True, slots=True)
class MemoryLimitReached:
    """The memory limit for unfinished parts left no room before the deadline.

    The body is stored up to `offset`.
    """

    offset: int
    length: int


@dataclass(frozen=True, slots=True)
class Verified:
    """The whole body is stored, and `sha256` is its digest in hex."""

    sha256: str


@dataclass(frozen=True, slots=True)
class DigestMismatch:
    """The digest of the body differs from the stated one.

    The operation is refused. Both digests are SHA-256 in hex.
    """

    expected: str
    actual: str
