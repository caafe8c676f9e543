"""Refusals: error responses that the daemon itself sends to callers."""

import msgspec

__all__ = ["STATUS_BY_CODE", "Outcome", "Refusal", "Scope"]

STATUS_BY_CODE = {
    "bad-request": 400,
    "headers-too-large": 431,
    "body-too-large": 413,
    "unknown-service": 404,
    "unknown-work": 404,
    "key-required": 400,
    "key-conflict": 409,
    "saturated": 503,
    "draining": 503,
    "no-upstream": 503,
    "not-ready": 503,
    "store-unavailable": 503,
    "deadline-exceeded": 504,
    "crash-suspect": 422,
    "upstream-failed": 502,
    "operation-running": 409,
    "operation-unknown": 409,
    "operation-cancelled": 410,
    "upload-offset": 409,
    "upload-digest": 422,
    "unknown-operation": 404,
    "operation-finished": 409,
    "answer-not-kept": 409,
    "internal-error": 500,
}


class Outcome:
    """State of the refused request or operation."""

    NOT_RUN = "not-run"
    RUNNING = "running"
    UNKNOWN = "unknown"
    FAILED = "failed"
    FINISHED = "finished"


class Scope:
    """Subject of the outcome."""

    REQUEST = "request"
    OPERATION = "operation"


class Refusal(msgspec.Struct, frozen=True):
    """A refusal, which is sent as a JSON body and header fields."""

    code: str
    message: str
    outcome: str = Outcome.NOT_RUN
    scope: str = Scope.REQUEST
    retry_after_ms: int = 0

    def status(self):
        """Return the HTTP status for the code."""
        return STATUS_BY_CODE[self.code]

    def headers(self, body_length):
        """Return the HTTP header fields of the response."""
        headers = [
            (b"Content-Type", b"application/json"),
            (b"content-length", b"%d" % body_length),
            (b"Goldcrest-Refusal", self.code.encode()),
            (b"Goldcrest-Outcome", self.outcome.encode()),
        ]
        if self.retry_after_ms:
            seconds = -(-self.retry_after_ms // 1000)
            headers.append((b"Retry-After", b"%d" % seconds))
        return headers
