"""Uploads as callers see them: open, append, ask for the offset, complete."""

import asyncio
import re

from goldcresthoist.callers import BadRequest, CallerRequest
from goldcresthoist.daemon.call_head import fingerprint
from goldcresthoist.daemon.ledger import AnswerRecorded, OperationRefused
from goldcresthoist.daemon.operation_decisions import decision_for
from goldcresthoist.daemon.refusals import refusal_from_frame
from goldcresthoist.daemon.routed_call import RoutedCall
from goldcresthoist.http_fields import field
from goldcresthoist.operations.results import (
    Appended,
    Receiving,
    Verified,
)
from goldcresthoist.streams import BodyStream

__all__ = ["UploadEntry"]

LENGTH_HEADER = b"goldcrest-upload-length"
DIGEST_HEADER = b"goldcrest-upload-digest"
OFFSET_HEADER = b"goldcrest-upload-offset"
OPEN_TIMEOUT_S = 5.0

_NUMBER = re.compile(rb"[0-9]{1,15}")
_SHA256 = re.compile(rb"(?:sha256:)?([0-9a-fA-F]{64})")
_OWN_HEADERS = frozenset(
    (LENGTH_HEADER, DIGEST_HEADER, OFFSET_HEADER, b"content-length")
)


class UploadEntry:
    """Answers the requests of one upload at the entry daemon.

    Parameters
    ----------
    router : CallRouter
    receiver : UploadReceiver
    is_gone : callable
        Tells whether the process of an owner has certainly ended.
    counters
        Has ``add(name, amount=1, **labels)``.
    """

    def __init__(self, router, receiver, is_gone, counters):
        self.router = router
        self.receiver = receiver
        self.is_gone = is_gone
        self.counters = counters

    async def handle(self, call):
        """Answer one request of upload work; ``call`` is its `RoutedCall`."""
        request = call.request
        upload = _Upload(self, call)
        if request.method == "HEAD":
            await upload.tell_offset()
        elif request.method == "PATCH":
            await upload.append()
        elif field(request.headers, LENGTH_HEADER) is not None:
            await upload.open()
        else:
            await upload.receive_whole()


class _Upload:
    """One request of an upload."""

    def __init__(self, entry, call):
        self.entry = entry
        self.receiver = entry.receiver
        self.call = call
        self.request = call.request
        self.exchange = call.exchange
        self.rule = call.rule
        self.target = call.target
        self.service = call.route.name
        self.key = call.key
        self.loop = asyncio.get_running_loop()
        # The clocks of the loop and of `monotonic` are the same, but for rounding.
        self.deadline = call.deadline

    async def tell_offset(self):
        """Answer with the number of bytes that are stored."""
        result = await self.receiver.offset(self.service, self.key)
        if isinstance(result, Receiving):
            self._acknowledge(200, result.offset, result.length)
        else:
            self._answer(result)

    async def open(self):
        """Open an upload whose bytes follow with PATCH."""
        length = _number(self.request, LENGTH_HEADER)
        result = await self._open(length)
        if isinstance(result, Receiving):
            self._acknowledge(201, result.offset, result.length)
        else:
            self._answer(result)

    async def append(self):
        """Store bytes from an offset; complete the upload with its last byte."""
        offset = _number(self.request, OFFSET_HEADER)
        result = await self._store(offset)
        if not isinstance(result, Appended):
            self._answer(result)
        elif result.offset < result.length:
            self._acknowledge(204, result.offset, result.length)
        else:
            await self._complete(result.length)

    async def receive_whole(self):
        """Take a request with the whole body as one upload."""
        length = self.request.content_length
        if length is None:
            raise BadRequest("an upload needs a Content-Length")
        result = await self._open(length)
        if not isinstance(result, Receiving):
            self._answer(result)
            return
        result = await self._store(0)
        if isinstance(result, Appended):
            await self._complete(length)
        else:
            self._answer(result)

    async def _open(self, length):
        sha256 = _digest(self.request)
        named = fingerprint(
            self.service, self.rule.method, self.target, length, sha256.encode()
        )
        deadline = min(self.deadline, self.loop.time() + OPEN_TIMEOUT_S)
        return await self.receiver.open(
            self.service, self.key, length, named.hex(), deadline, sha256
        )

    async def _store(self, offset):
        self.exchange.allow_body()
        chunks = self._chunks()
        return await self.receiver.append(
            self.service, self.key, offset, chunks, self.deadline
        )

    async def _chunks(self):
        body = self.request.body
        while not body.exhausted:
            data = await body.read()
            self.entry.counters.add("upload_bytes", len(data), service=self.service)
            yield data

    async def _complete(self, length):
        """Check the digest and run the upload at an upstream."""
        result = await self.receiver.verify(self.service, self.key, self.deadline)
        if not isinstance(result, Verified):
            self._answer(result)
            return
        call = RoutedCall(
            self.entry.router,
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
        """Return the request without its body, which is in the object store."""
        request = CallerRequest()
        request.method = self.rule.method
        request.key = self.key
        request.request_id = self.request.request_id
        request.headers = tuple(
            item for item in self.request.headers if item[0] not in _OWN_HEADERS
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

    def _answer(self, result):
        """Answer with what the record says."""
        router = self.entry.router
        match decision_for(result, self.entry.is_gone):
            case AnswerRecorded(status, headers, body):
                self.exchange.start(status, headers, body, True)
            case OperationRefused() as refused:
                router.answer(self.exchange, refusal_from_frame(refused))


def _number(request, name):
    value = field(request.headers, name)
    if value is None or _NUMBER.fullmatch(value) is None:
        shown = None if value is None else value.decode("latin-1")
        raise BadRequest(f"{name.decode()} is {shown!r}, expected a whole number")
    return int(value)


def _digest(request):
    value = field(request.headers, DIGEST_HEADER)
    if value is None:
        return ""
    match = _SHA256.fullmatch(value)
    if match is None:
        raise BadRequest("goldcrest-upload-digest must be a SHA-256 in 64 hex digits")
    return match[1].decode().lower()
