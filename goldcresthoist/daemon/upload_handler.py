"""Handling of upload requests at the entry daemon.

A caller opens an upload, appends bytes, queries the offset and completes the upload, or
sends the whole body in one request.
"""

import re

from goldcresthoist.callers import BadRequest, CallerRequest
from goldcresthoist.clock import loop_time, monotonic
from goldcresthoist.daemon.ledger import OperationRefused, ResponseRecorded
from goldcresthoist.daemon.operation_decisions import decision_for
from goldcresthoist.daemon.refusals import refusal_from_frame
from goldcresthoist.daemon.request_matching import fingerprint
from goldcresthoist.daemon.routed_call import RoutedCall
from goldcresthoist.http_fields import header_value
from goldcresthoist.operations.results import (
    Appended,
    Receiving,
    Verified,
)
from goldcresthoist.streams import BodyStream

__all__ = ["UploadHandler"]

LENGTH_HEADER = b"goldcrest-upload-length"
DIGEST_HEADER = b"goldcrest-upload-digest"
OFFSET_HEADER = b"goldcrest-upload-offset"
# Time limit for recording a new upload in the table.
OPEN_TIMEOUT_S = 5.0

_INTEGER = re.compile(rb"[0-9]{1,15}")
_SHA256 = re.compile(rb"(?:sha256:)?([0-9a-fA-F]{64})")
_UPLOAD_HEADERS = frozenset(
    (LENGTH_HEADER, DIGEST_HEADER, OFFSET_HEADER, b"content-length")
)


class UploadHandler:
    """Handles requests for upload work at the entry daemon.

    Parameters
    ----------
    router : CallRouter
    receiver : UploadReceiver
    owner_has_ended : callable
        Called with an owner; returns whether its process is regarded as ended.
    counters
        Has ``add(name, amount=1, **labels)``.
    """

    def __init__(self, router, receiver, owner_has_ended, counters):
        self.router = router
        self.receiver = receiver
        self.owner_has_ended = owner_has_ended
        self.counters = counters

    async def handle(self, call):
        """Handle one request of upload work; ``call`` is its `RoutedCall`."""
        request = call.request
        upload = _UploadRequest(self, call)
        if request.method == "HEAD":
            await upload.send_offset()
        elif request.method == "PATCH":
            await upload.append()
        elif header_value(request.headers, LENGTH_HEADER) is not None:
            await upload.open()
        else:
            await upload.receive_complete()


class _UploadRequest:
    """One request of an upload."""

    def __init__(self, handler, call):
        self.handler = handler
        self.receiver = handler.receiver
        self.call = call
        self.request = call.request
        self.exchange = call.exchange
        self.rule = call.rule
        self.target = call.target
        self.service = call.route.name
        self.key = call.key
        self.deadline = call.deadline

    async def send_offset(self):
        """Respond with the number of bytes that are stored."""
        result = await self.receiver.offset(self.service, self.key)
        if isinstance(result, Receiving):
            self._acknowledge(200, result.offset, result.length)
        else:
            self._send_result(result)

    async def open(self):
        """Open an upload whose bytes follow in PATCH requests."""
        length = _integer_header(self.request, LENGTH_HEADER)
        result = await self._open(length)
        if isinstance(result, Receiving):
            self._acknowledge(201, result.offset, result.length)
        else:
            self._send_result(result)

    async def append(self):
        """Store bytes from an offset on; complete the upload after its last byte."""
        offset = _integer_header(self.request, OFFSET_HEADER)
        result = await self._store(offset)
        if not isinstance(result, Appended):
            self._send_result(result)
        elif result.offset < result.length:
            self._acknowledge(204, result.offset, result.length)
        else:
            await self._complete(result.length)

    async def receive_complete(self):
        """Handle a request that contains the whole body as one upload."""
        length = self.request.content_length
        if length is None:
            raise BadRequest("an upload requires a Content-Length header")
        result = await self._open(length)
        if not isinstance(result, Receiving):
            self._send_result(result)
            return
        result = await self._store(0)
        if isinstance(result, Appended):
            await self._complete(length)
        else:
            self._send_result(result)

    async def _open(self, length):
        sha256 = _sha256_header(self.request)
        identity = fingerprint(
            self.service, self.rule.method, self.target, length, sha256.encode()
        )
        # The receiver compares deadlines with the time of the loop.
        deadline = loop_time(min(self.deadline, monotonic() + OPEN_TIMEOUT_S))
        return await self.receiver.open(
            self.service, self.key, length, identity.hex(), deadline, sha256
        )

    async def _store(self, offset):
        self.exchange.send_continue()
        chunks = self._chunks()
        return await self.receiver.append(
            self.service, self.key, offset, chunks, loop_time(self.deadline)
        )

    async def _chunks(self):
        body = self.request.body
        while not body.exhausted:
            data = await body.read()
            self.handler.counters.add("upload_bytes", len(data), service=self.service)
            yield data

    async def _complete(self, length):
        """Check the digest and run the upload at an upstream."""
        deadline = loop_time(self.deadline)
        result = await self.receiver.verify(self.service, self.key, deadline)
        if not isinstance(result, Verified):
            self._send_result(result)
            return
        call = RoutedCall(
            self.handler.router,
            self.call.route,
            self.rule,
            self._upstream_request(),
            self.exchange,
            self.target,
        )
        call.deadline = self.deadline
        call.fingerprint = fingerprint(
            self.service, self.rule.method, self.target, length, result.sha256.encode()
        )
        try:
            await call.run()
        except TimeoutError:
            call.on_deadline()

    def _upstream_request(self):
        """Return the request without its body, which the object store holds."""
        request = CallerRequest()
        request.method = self.rule.method
        request.key = self.key
        request.request_id = self.request.request_id
        request.headers = tuple(
            item for item in self.request.headers if item[0] not in _UPLOAD_HEADERS
        )
        request.body = BodyStream()
        request.body.end()
        return request

    def _acknowledge(self, status, offset, length):
        headers = (
            (OFFSET_HEADER, b"%d" % offset),
            (LENGTH_HEADER, b"%d" % length),
        )
        self.exchange.start(status, headers, b"", True)

    def _send_result(self, result):
        """Respond with the stored response or the refusal that ``result`` leads to."""
        router = self.handler.router
        match decision_for(result, self.handler.owner_has_ended):
            case ResponseRecorded(status, headers, body):
                self.exchange.start(status, headers, body, True)
            case OperationRefused() as refused:
                router.answer(self.exchange, refusal_from_frame(refused))


def _integer_header(request, name):
    """Return the value of a required header; raise `BadRequest` if it is invalid."""
    value = header_value(request.headers, name)
    if value is None or _INTEGER.fullmatch(value) is None:
        shown = None if value is None else value.decode("latin-1")
        raise BadRequest(f"{name.decode()} is {shown!r}, expected an integer")
    return int(value)


def _sha256_header(request):
    """Return the SHA-256 that the caller states, in hex, or an empty string."""
    value = header_value(request.headers, DIGEST_HEADER)
    if value is None:
        return ""
    match = _SHA256.fullmatch(value)
    if match is None:
        raise BadRequest("goldcrest-upload-digest must be a SHA-256 as 64 hex digits")
    return match[1].decode().lower()
