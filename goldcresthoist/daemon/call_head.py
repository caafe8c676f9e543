"""What the entry daemon reads from the head of a caller's request."""

import hashlib
import re

from goldcresthoist.callers import BadRequest
from goldcresthoist.http_fields import end_to_end

__all__ = ["CallHead", "fingerprint", "read_head", "split_target"]

MAX_DEADLINE_S = 24 * 3600.0
FINGERPRINT_BYTES = 16

_KEY = re.compile(rb"[\x21-\x7e]{1,255}")
_DEADLINE = re.compile(rb"[0-9]{1,9}")
_REQUEST_ID = re.compile(rb"[\x21-\x7e]{1,128}")
_OWN_HEADERS = frozenset(
    (b"goldcrest-deadline-ms", b"idempotency-key", b"goldcrest-request-id")
)


class CallHead:
    """Checked values of the headers that the daemon acts on."""

    __slots__ = ("deadline_s", "headers", "key")

    def __init__(self, deadline_s, headers, key):
        self.deadline_s = deadline_s
        self.headers = headers
        self.key = key


def split_target(target):
    """Return the service and the target at its upstream."""
    end = target.find("/", 1)
    query = target.find("?", 1)
    if query != -1 and (end == -1 or query < end):
        return target[1:query], "/" + target[query:]
    if end == -1:
        return target[1:], "/"
    return target[1:end], target[end:]


def read_head(request, new_request_id):
    """Check the headers of a request.

    Raises
    ------
    BadRequest
        When a header that the daemon acts on is not valid.
    """
    deadline_s = None
    key = ""
    request_id = None
    for name, value in request.headers:
        if name not in _OWN_HEADERS:
            continue
        if name == b"goldcrest-deadline-ms":
            deadline_s = _read_deadline(value, deadline_s)
        elif name == b"idempotency-key":
            if key or _KEY.fullmatch(value) is None:
                raise BadRequest("Idempotency-Key must be 1 to 255 visible characters")
            key = value.decode("ascii")
        elif name == b"goldcrest-request-id" and _REQUEST_ID.fullmatch(value):
            request_id = value
    headers = end_to_end(request.headers, _OWN_HEADERS)
    request_id = request_id or new_request_id()
    return CallHead(deadline_s, (*headers, (b"goldcrest-request-id", request_id)), key)


def fingerprint(service, method, target, length, body):
    """Return the digest that names a request when it crashes an upstream."""
    named = f"{service}\n{method}\n{target}\n{length}\n".encode() + body
    return hashlib.blake2b(named, digest_size=FINGERPRINT_BYTES).digest()


def _read_deadline(value, earlier):
    if earlier is not None or _DEADLINE.fullmatch(value) is None or not int(value):
        raise BadRequest("Goldcrest-Deadline-Ms must be one whole number above 0")
    return min(int(value) / 1000.0, MAX_DEADLINE_S)
