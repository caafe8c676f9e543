"""Results of operations on the ledger, used with ``match``."""

import enum
from dataclasses import dataclass

__all__ = [
    "AlreadyFinished",
    "AlreadyRunning",
    "Appended",
    "Busy",
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
    "Recording",
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
    """What the record of an upload keeps of its body.

    `sha256` is in hex, or empty if the caller did not state it. `expires_s` is in
    Unix seconds.
    """

    upload_id: str
    length: int
    sha256: str = ""
    offset: int = 0
    verified: int = 0
    expires_s: int = 0


@dataclass(frozen=True, slots=True)
class Started:
    """The caller of `start`, and nobody else, may run the operation, once.

    It ends with `finish`, `mark_unknown` or `fail_not_run`.
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
    """The operation ran to its end.

    `answer` is None if it could not be kept or an operator settled without it.
    """

    answer: bytes | None
    author: str = ""
    note: str = ""


@dataclass(frozen=True, slots=True)
class AlreadyRunning:
    """The operation was started by this owner, whose end is not recorded."""

    owner: str


@dataclass(frozen=True, slots=True)
class Receiving:
    """The body of the operation is being uploaded; `offset` bytes are stored."""

    offset: int
    length: int


@dataclass(frozen=True, slots=True)
class NotVerified:
    """The upload is not complete or its digest has not been checked."""

    offset: int
    length: int


@dataclass(frozen=True, slots=True)
class Cancelled:
    """Nothing ran under the key and nothing can: `not-run`, scope `operation`."""

    author: str = ""
    note: str = ""


@dataclass(frozen=True, slots=True)
class KeyConflict:
    """The key belongs to a request with another digest."""


@dataclass(frozen=True, slots=True)
class Unknown:
    """The operation was started and nobody knows whether it ran."""

    owner: str
    note: str = ""


@dataclass(frozen=True, slots=True)
class NoRecord:
    """Nothing runs under the key now; it may be started later."""


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store did not answer; this call ran nothing: `not-run`, scope `request`.

    `offset` is the stored offset of an upload as last seen, if it is known.
    """

    reason: str
    offset: int | None = None


@dataclass(frozen=True, slots=True)
class Finished:
    """The answer is recorded."""


@dataclass(frozen=True, slots=True)
class MarkedUnknown:
    """The record says that the outcome is unknown."""


@dataclass(frozen=True, slots=True)
class Released:
    """The record says that nothing ran; the key may be started again."""


@dataclass(frozen=True, slots=True)
class Recording:
    """The end is not recorded yet; its write goes on in the background."""


@dataclass(frozen=True, slots=True)
class Superseded:
    """The record has moved on and does not take the end."""

    state: str


class Settlement(enum.Enum):
    """How an operator ends an unknown operation."""

    FINISHED = "finished"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Settled:
    """The operator's word is recorded."""


@dataclass(frozen=True, slots=True)
class OpenOperation:
    """An operation that was started and has no recorded end.

    `started_s` is in Unix seconds by the owner's clock.
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
    """Open operations of one scanned page; go on with `after` unless it is empty."""

    operations: tuple[OpenOperation, ...]
    after: str


@dataclass(frozen=True, slots=True)
class Appended:
    """The body up to `offset` is stored; it can be acknowledged."""

    offset: int
    length: int


@dataclass(frozen=True, slots=True)
class OffsetMismatch:
    """The part starts behind the stored offset, from where the caller goes on."""

    offset: int
    length: int


@dataclass(frozen=True, slots=True)
class Busy:
    """No memory for the part; the body up to `offset` is stored."""

    offset: int
    length: int


@dataclass(frozen=True, slots=True)
class Verified:
    """The whole body is stored and has this SHA-256, in hex."""

    sha256: str


@dataclass(frozen=True, slots=True)
class DigestMismatch:
    """The body has another SHA-256 than stated; the operation was refused."""

    expected: str
    actual: str
