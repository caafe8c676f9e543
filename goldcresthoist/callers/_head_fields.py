"""Validation of the request header fields that the daemon interprets itself."""

import re

from goldcresthoist.callers.errors import BadRequest
from goldcresthoist.http_fields import HOP_BY_HOP, without_connection_options

__all__ = ["INTERPRETED_FIELDS", "apply_interpreted_fields"]

# Longer deadlines are reduced to this one.
MAX_DEADLINE_S = 24 * 3600.0

INTERPRETED_FIELDS = HOP_BY_HOP | {
    b"content-length",
    b"host",
    b"goldcrest-deadline-ms",
    b"goldcrest-request-id",
    b"idempotency-key",
}

_IDEMPOTENCY_KEY = re.compile(rb"[\x21-\x7e]{1,255}")
_DEADLINE = re.compile(rb"[0-9]{1,9}")
_REQUEST_ID = re.compile(rb"[\x21-\x7e]{1,128}")


def apply_interpreted_fields(request, fields):
    """Validate the fields and set the attributes of the request from them.

    Of the fields, only Host and Content-Length are forwarded. Headers that Connection
    names are removed from the request.

    Raises
    ------
    BadRequest
        When a field is invalid, is repeated or conflicts with another field.
    """
    hosts = []
    lengths = []
    for name, value in fields:
        if name == b"host":
            hosts.append((name, value))
        elif name == b"content-length":
            lengths.append((name, value))
        elif name == b"connection":
            request.headers = without_connection_options(request.headers, value)
        else:
            _apply_rare_field(request, name, value)
    if len(hosts) != 1 and (hosts or not request.http10):
        raise BadRequest("exactly one Host header is required")
    if request.chunked or lengths:
        _check_framing(request, lengths)
    request.headers = (*hosts, *lengths, *request.headers)


def _apply_rare_field(request, name, value):
    if name == b"transfer-encoding":
        if value.strip().lower() != b"chunked" or request.chunked:
            raise BadRequest("the only supported transfer encoding is chunked")
        request.chunked = True
    elif name == b"expect":
        if value.lower() != b"100-continue":
            raise BadRequest("the only supported expectation is 100-continue")
        request.expects_continue = True
    elif name == b"goldcrest-deadline-ms":
        request.deadline_s = _parse_deadline(value, request.deadline_s)
    elif name == b"idempotency-key":
        if request.key or _IDEMPOTENCY_KEY.fullmatch(value) is None:
            raise BadRequest(
                "Idempotency-Key must be 1 to 255 visible ASCII characters"
            )
        request.key = value.decode("ascii")
    elif name == b"goldcrest-request-id" and _REQUEST_ID.fullmatch(value):
        request.request_id = value


def _parse_deadline(value, previous):
    if previous is not None or _DEADLINE.fullmatch(value) is None or not int(value):
        raise BadRequest("Goldcrest-Deadline-Ms must be a single positive integer")
    return min(int(value) / 1000.0, MAX_DEADLINE_S)


def _check_framing(request, lengths):
    if request.chunked:
        if lengths:
            raise BadRequest(
                "Content-Length and Transfer-Encoding must not be combined"
            )
        if request.http10:
            raise BadRequest("HTTP/1.0 does not support Transfer-Encoding")
        request.content_length = None
        return
    if len(lengths) > 1 or not lengths[0][1].isdigit():
        raise BadRequest("Content-Length must be a single non-negative integer")
    request.content_length = int(lengths[0][1])
