"""The platform's header fields in requests and responses."""

import math
from dataclasses import dataclass, field

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
_SERVER_LIMIT = b"server-limit"
_SERVER_LEAVING = b"server-leaving"
_INSTANCE_ID = b"instance-id"
_API_KEY = b"x-api-key"
_TENANT_ID = b"tenant-id"
_COLD_REMAINING = b"cold-remaining-ms"

# Fields that a daemon sets in requests to an upstream; those of the caller are removed.
_DAEMON_FIELDS = frozenset((_DEADLINE, _CALLER_SERVICE, _EXPECTED_INSTANCE))
# Further fields that are removed where the configuration has workspaces.
_WORKSPACE_FIELDS = _DAEMON_FIELDS | {_API_KEY, _TENANT_ID}
MAX_IDENTITY_BYTES = 200
# A longer wait that a caller gives is reduced to this one.
MAX_DEADLINE_MS = 3_600_000
# An upstream reports its pace in percent: 100 when requests take their usual time, 200
# when they take twice as long.
USUAL_PACE_PERCENT = 100.0


@dataclass(frozen=True, slots=True)
class RequestFields:
    """The platform's fields of a request.

    ``request_id`` is the id that the caller gave to the request. ``wait_s`` is the time
    for which the caller waits for the response, in seconds. ``key`` is the secret key
    of a workspace. Each is None when the request does not give it.
    """

    request_id: bytes | None
    wait_s: float | None
    key: bytes | None = field(default=None, repr=False)


@dataclass(frozen=True, slots=True)
class ResponseFields:
    """The platform's fields of a response.

    Attributes
    ----------
    request_id : bytes or None
        Id of the request that the response belongs to.
    not_executed : bool
        Whether the upstream states that it did not execute the request.
    sealed : bool
        Whether the response carries the upstream's signature.
    encoded : bool
        Whether the response has a Content-Encoding. Upstreams send none, so the
        response was altered on its way or comes from another source.
    running, waiting, slots : int
        Load of the upstream: the requests that it processes, those that it queues, and
        its slots. All are -1 when the response does not give them.
    pace : float
        Ratio of the current to the usual processing time; 0 when the response does not
        give it.
    identity : str or None
        Identity of the upstream.
    limit_per_s : float or None
        Requests a second that the upstream takes from all daemons together; None when
        it names no limit.
    leaving : bool
        Whether the upstream states that it leaves.
    warm_up_s : float or None
        Time for which the upstream still warms up, in seconds; None when it does not
        say so.
    """

    request_id: bytes | None
    not_executed: bool
    sealed: bool
    encoded: bool
    running: int
    waiting: int
    slots: int
    pace: float
    identity: str | None = None
    limit_per_s: float | None = None
    leaving: bool = False
    warm_up_s: float | None = None


def parse_request_fields(headers):
    """Return the `RequestFields`; a deadline that is not a whole number is ignored."""
    wait_s = None
    value = header_value(headers, _DEADLINE)
    if value is not None and value.isdigit() and len(value) < 12:
        wait_s = min(int(value), MAX_DEADLINE_MS) / 1000.0
    return RequestFields(
        header_value(headers, _REQUEST_ID), wait_s, header_value(headers, _API_KEY)
    )


def upstream_headers(headers, caller_service, workspace=None):
    """Return the headers of a request that do not depend on the upstream.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Headers of the caller's request, with lower-case names.
    caller_service : bytes
    workspace : str or None
        Name of the workspace of the request, "" if it has none; None where the
        configuration has no workspaces.
    """
    removed = _DAEMON_FIELDS if workspace is None else _WORKSPACE_FIELDS
    kept = [item for item in headers if item[0] not in removed]
    kept.append((_CALLER_SERVICE, caller_service))
    if workspace:
        kept.append((_TENANT_ID, workspace.encode()))
    return tuple(kept)


def addressed_headers(headers, identity, time_left_ms):
    """Return the headers for one upstream; any other upstream refuses the request.

    Parameters
    ----------
    headers : tuple of (bytes, bytes)
        The result of `upstream_headers`.
    identity : str
        Identity of the upstream.
    time_left_ms : int
        Time until the deadline, in milliseconds.
    """
    return (
        *headers,
        (_EXPECTED_INSTANCE, identity.encode()),
        (_DEADLINE, b"%d" % time_left_ms),
    )


def refusal_headers(request_id, retry_after_s):
    """Return the headers of an error response that the daemon itself generates.

    Parameters
    ----------
    request_id : bytes or None
    retry_after_s : float
        Time in seconds after which the caller may retry; with 0, there is no
        Retry-After field. The field may have a fraction.
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
    """Return the `ResponseFields`; a malformed load or limit is ignored.

    The load has the form ``running,waiting,slots`` or, with the pace in percent,
    ``running,waiting,slots,pace``.
    """
    running = waiting = slots = -1
    pace = 0.0
    load = header_value(headers, _SERVER_LOAD)
    if load is not None:
        try:
            numbers = [float(item) for item in load.split(b",")]
            if not all(map(math.isfinite, numbers)):
                raise ValueError("not a finite number")
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
        _identity(header_value(headers, _INSTANCE_ID)),
        _limit_per_s(header_value(headers, _SERVER_LIMIT)),
        header_value(headers, _SERVER_LEAVING) == b"1",
        _warm_up_s(header_value(headers, _COLD_REMAINING)),
    )


def _warm_up_s(value):
    """Return a time given in whole milliseconds, or None."""
    if value is None or not value.isdigit() or len(value) > 9:
        return None
    return int(value) / 1000.0


def _limit_per_s(value):
    """Return a limit that is a finite decimal number and not negative, or None."""
    try:
        limit = float(value)
    except (TypeError, ValueError):
        return None
    return limit if 0.0 <= limit < math.inf else None


def _identity(value):
    """Return a valid identity as text, or None."""
    if not value or len(value) > MAX_IDENTITY_BYTES or not value.isascii():
        return None
    return value.decode()
