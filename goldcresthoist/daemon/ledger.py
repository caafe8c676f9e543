"""What the call path needs of the records of at-most-once work."""

from dataclasses import dataclass
from typing import Protocol

__all__ = [
    "AnswerRecorded",
    "OperationLedger",
    "OperationRefused",
    "OperationStarted",
    "StartVerdict",
]


@dataclass(frozen=True, slots=True)
class OperationStarted:
    """The record is surely this call's own: the work must be run now.

    ``token`` is passed back at the end.
    """

    token: object


@dataclass(frozen=True, slots=True)
class AnswerRecorded:
    """The operation ended before, with this answer."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class OperationRefused:
    """The work must not be run; ``code`` is one of section 4.2 of the design."""

    code: str
    message: str
    retry_after_ms: int = 0


StartVerdict = OperationStarted | AnswerRecorded | OperationRefused


class OperationLedger(Protocol):
    """Records of at-most-once operations."""

    async def start(self, service, key, digest) -> StartVerdict:
        """Write the record before the upstream is called."""

    async def finish(self, token, status, headers, body):
        """Record the answer. ``body`` is None when it is too large to keep."""

    async def finish_unknown(self, token):
        """Record that the upstream was called and gave no complete answer."""
