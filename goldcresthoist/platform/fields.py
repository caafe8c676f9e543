"""Header fields of requests and answers on the platform."""

from dataclasses import dataclass

from goldcresthoist.http_fields import field

__all__ = [
    "AnswerFields",
    "RequestFields",
    "read_answer_fields",
    "read_request_fields",
    "refusal_headers",
    "upstream_headers",
]

_REQUEST_ID = b"request-id"
_DEADLINE = b"deadline-ms"
_CALLER_SERVICE = b"caller-service"
_EXPECTED = b"expect-instance"
_SEAL = b"response-seal"
_NOT_RUN = b"not-executed"
_LOAD = b"server-load"
_ENCODING = b"content-encoding"

# Set by the daemons, whatever a caller sent.
_OWN_FIELDS = frozenset((_DEADLINE, _CALLER_SERVICE, _EXPECTED))
MAX_DEADLINE_MS = 3_600_000
# The platform writes the pace as a percentage of the usual time of work.
PACE_UNIT = 100.0


@dataclass(frozen=True, slots=True)
class RequestFields:
    """What the platform's fields of a request say.

    ``wait_s`` is how long the caller waits, in seconds, None when it does not say.
    """

    request_id: bytes | None
    wait_s: float | None


@dataclass(frozen=True, slots=True)
class AnswerFields:
    """What the platform's fields of an answer say.

    Attributes
    ----------
    not_run : bool
        The upstream vouches that it did not run the request.
    sealed : bool
        The answer carries the upstream's signature.
    encoded : bool
        The body is not the upstream's own.
    running, waiting, slots : int
        Load of the upstream; -1 when it does not say.
    pace : float
        How many times longer than usual work takes just now; 0 when it does not say.
    """

    request_id: bytes | None
    not_run: bool
    sealed: bool
    encoded: bool
    running: int
    waiting: int
    slots: int
    pace: float


def read_request_fields(headers):
    """Return the `RequestFields`; a deadline that is no number counts as absent."""
    wait_s = None
    value = field(headers, _DEADLINE)
    if value is not None and value.isdigit() and len(value) < 12:
        wait_s = min(int(value), MAX_DEADLINE_MS) / 1000.0
    return RequestFields(field(headers, _REQUEST_ID), wait_s)


def upstream_headers(headers, caller_service):
    """Return the headers that a request carries to any upstream."""
    kept = [item for item in headers if item[0] not in _OWN_FIELDS]
    kept.append((_CALLER_SERVICE, caller_service))
    return tuple(kept)


def addressed_headers(headers, identity, time_left_ms):
    """Return the headers for one upstream, which any other one refuses."""
    return (
        *headers,
        (_EXPECTED, identity.encode()),
        (_DEADLINE, b"%d" % time_left_ms),
    )


def refusal_headers(request_id, retry_after_s):
    """Return the headers of an answer of the daemon's own.

    Parameters
    ----------
    request_id : bytes or None
    retry_after_s : float
        When the caller may come back; 0 leaves the field out.
    """
    headers = [(b"Content-Type", b"application/json")]
    if request_id is not None:
        headers.append((b"Request-Id", request_id))
    if retry_after_s > 0:
        headers.append((b"Retry-After", b"%.3f" % retry_after_s))
    return headers


def answer_id(headers):
    """Return the id of the request that an answer belongs to, or None."""
    return field(headers, _REQUEST_ID)


def read_answer_fields(headers):
    """Return the `AnswerFields`; a load that cannot be read counts as absent."""
    running = waiting = slots = -1
    pace = 0.0
    load = field(headers, _LOAD)
    if load is not None:
        try:
            figures = [float(item) for item in load.split(b",")]
            running, waiting, slots = (int(item) for item in figures[:3])
            pace = figures[3] / PACE_UNIT if len(figures) > 3 else 0.0
        except (ValueError, OverflowError):
            running = waiting = slots = -1
            pace = 0.0
    return AnswerFields(
        field(headers, _REQUEST_ID),
        field(headers, _NOT_RUN) is not None,
        field(headers, _SEAL) is not None,
        field(headers, _ENCODING) is not None,
        running,
        waiting,
        slots,
        max(0.0, pace),
    )
