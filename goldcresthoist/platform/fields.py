"""The platform's header fields in requests and responses."""

from dataclasses import dataclass

from goldcresthoist.http_fields import header_value

__all__ = [
    "RequestFields",
    "ResponseFields",
    "parse_response_fields",
    "parse_request_fields",
    "refusal_headers",
    "upstream_headers",
]

_REQUEST_ID = b"request-id"
_DEADLINE = b"deadline-ms"
_CALLER_SERVICE = b"caller-service"
_EXPECTED_INSTANCE = b"expect-instance"
_RESPONSE_SEAL = b"response-seal"
_NOT_EXECUTED = b"not-executed"
_SERVER_LOAD = b"server-load"
_CONTENT_ENCODING = b"content-encoding"

# Fields that only daemons set; values sent by a caller are removed.
_DAEMON_FIELDS = frozenset((_DEADLINE, _CALLER_SERVICE, _EXPECTED_INSTANCE))
MAX_DEADLINE_MS = 3_600_000
# An upstream reports its pace in percent: 100 when work takes its usual time, 200 when
# it takes twice as long.
USUAL_PACE_PERCENT = 100.0


@dataclass(frozen=True, slots=True)
class RequestFields:
    """The platform's fields of a request.

    ``wait_s`` is the time for which the caller waits, in seconds; None when the request
    does not give it.
    """

    request_id: bytes | None
    wait_s: float | None


@dataclass(frozen=True, slots=True)
class ResponseFields:
    """The platform's fields of a response.

    Attributes
    ----------
    not_executed : bool
        Whether the upstream states that it did not execute the request.
    sealed : bool
        Whether the response carries the upstream's signature.
    encoded : bool
        Whether the response has a content coding, so that its body is not the one of
        the upstream.
    running, waiting, slots : int
        Load of the upstream; -1 when the response does not give it.
    pace : float
        Ratio of the current to the usual processing time; 0 when the response does not
        give it.
    """

    request_id: bytes | None
    not_executed: bool
    sealed: bool
    encoded: bool
    running: int
    waiting: int
    slots: int
    pace: float


def parse_request_fields(headers):
    """Return the `RequestFields`; a deadline that is not a number is ignored."""
    wait_s = None
    value = header_value(headers, _DEADLINE)
    if value is not None and value.isdigit() and len(value) < 12:
        wait_s = min(int(value), MAX_DEADLINE_MS) / 1000.0
    return RequestFields(header_value(headers, _REQUEST_ID), wait_s)


def upstream_headers(headers, caller_service):
    """Return the headers of a request that do not depend on the upstream."""
    kept = [item for item in headers if item[0] not in _DAEMON_FIELDS]
    kept.append((_CALLER_SERVICE, caller_service))
    return tuple(kept)


def addressed_headers(headers, identity, time_left_ms):
    """Return the headers for one upstream; any other upstream refuses the request."""
    return (
        *headers,
        (_EXPECTED_INSTANCE, identity.encode()),
        (_DEADLINE, b"%d" % time_left_ms),
    )


def refusal_headers(request_id, retry_after_s):
    """Return the headers of a response that the daemon itself gives.

    Parameters
    ----------
    request_id : bytes or None
    retry_after_s : float
        Time after which the caller may retry; with 0 the field is left out.
    """
    headers = [(b"Content-Type", b"application/json")]
    if request_id is not None:
        headers.append((b"Request-Id", request_id))
    if retry_after_s > 0:
        headers.append((b"Retry-After", b"%.3f" % retry_after_s))
    return headers


def response_request_id(headers):
    """Return the id of the request that a response belongs to, or None."""
    return header_value(headers, _REQUEST_ID)


def parse_response_fields(headers):
    """Return the `ResponseFields`; a malformed load is ignored."""
    running = waiting = slots = -1
    pace = 0.0
    load = header_value(headers, _SERVER_LOAD)
    if load is not None:
        try:
            numbers = [float(item) for item in load.split(b",")]
            running, waiting, slots = (int(item) for item in numbers[:3])
            pace = numbers[3] / USUAL_PACE_PERCENT if len(numbers) > 3 else 0.0
        except (ValueError, OverflowError):
            running = waiting = slots = -1
            pace = 0.0
    return ResponseFields(
        header_value(headers, _REQUEST_ID),
        header_value(headers, _NOT_EXECUTED) is not None,
        header_value(headers, _RESPONSE_SEAL) is not None,
        header_value(headers, _CONTENT_ENCODING) is not None,
        running,
        waiting,
        slots,
        max(0.0, pace),
    )
