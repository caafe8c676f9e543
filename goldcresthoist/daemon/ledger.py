"""Interface between the call path and the records of at-most-once operations."""

from dataclasses import dataclass
from typing import Protocol

__all__ = [
    "ResponseRecorded",
    "OperationRecorder",
    "OperationRefused",
    "OperationStarted",
    "StartDecision",
]


@dataclass(frozen=True, slots=True)
class OperationStarted:
    """This call has written the start record and must run the operation now.

    ``token`` identifies the start and is passed to ``finish`` or ``finish_unknown``.
    """

    token: object


@dataclass(frozen=True, slots=True)
class ResponseRecorded:
    """The operation has already finished with this response."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class OperationRefused:
    """The operation must not be run.

    ``code`` is one of the refusal codes in section 4.2 of the design document. The
    caller should retry after ``retry_after_ms`` milliseconds; 0 recommends no time.
    """

    code: str
    message: str
    retry_after_ms: int = 0


StartDecision = OperationStarted | ResponseRecorded | OperationRefused


class OperationRecorder(Protocol):
    """Records the start and the end of at-most-once operations."""

    async def start(self, service, key, digest) -> StartDecision:
        """Write the start record before the request is sent to the upstream.

        ``key`` is the idempotency key, and ``digest`` is the fingerprint of the request
        as bytes.
        """

    async def finish(self, token, status, headers, body):
        """Record the response. ``body`` is None when it is too large to store."""

    async def finish_unknown(self, token):
        """Record that the request was sent and no complete response was received."""
