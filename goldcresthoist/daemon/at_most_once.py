"""At-most-once calls, which start only after their start record has been written."""

from goldcresthoist.clock import monotonic
from goldcresthoist.daemon.ledger import (
    OperationRefused,
    OperationStarted,
    ResponseRecorded,
)
from goldcresthoist.http_fields import end_to_end_headers
from goldcresthoist.links.errors import LinkError
from goldcresthoist.links.frames import MAX_BODY_FRAME_BYTES
from goldcresthoist.upstreams import UpstreamError

__all__ = ["AtMostOnceRunner"]

# A response with a larger body is relayed to the caller but not stored.
MAX_STORED_RESPONSE_BYTES = 1024 * 1024


class AtMostOnceRunner:
    """Runs at-most-once calls and records their start and end.

    Parameters
    ----------
    service : str
        Service of the local upstream.
    upstream : ConnectionPool
    records : OperationRecorder
    """

    def __init__(self, service, upstream, records):
        self.service = service
        self.upstream = upstream
        self.records = records

    async def run(self, upstream_call):
        """Run one admitted call; return whether the upstream responded completely.

        Returns False when the request was not sent, for example because its response
        is already recorded.
        """
        # The connection is opened before the start record is written, so that an
        # unreachable upstream does not leave an operation recorded as started.
        upstream_call.connection = self.upstream.acquire_idle()
        if upstream_call.connection is None and not await upstream_call.connect():
            return False
        try:
            match await self.start(upstream_call.call.open):
                case OperationStarted(token):
                    return await self._run_started(upstream_call, token)
                case ResponseRecorded() as stored:
                    await _send_stored_response(upstream_call, stored)
                case OperationRefused(code, text, retry_after_ms):
                    load = upstream_call.server.load_within_budget()
                    upstream_call.call.refuse(code, text, load, retry_after_ms)
        finally:
            upstream_call.release()
        return False

    async def start(self, message):
        """Write the start record of a call; return the `StartDecision`."""
        return await self.records.start(self.service, message.key, message.fingerprint)

    async def send(self, upstream_call, token):
        """Send the request to the upstream; return the `UpstreamResponse`."""
        upstream_call.send()
        return await upstream_call.connection.head()

    async def _run_started(self, upstream_call, token):
        # The result is recorded even if the caller stops waiting, so the deadline of
        # the caller does not shorten the time that the rule allows.
        full_deadline = monotonic() + upstream_call.rule.longest_s
        upstream_call.deadline = max(upstream_call.deadline, full_deadline)
        try:
            answer = await self.send(upstream_call, token)
            body = await _read_complete_body(answer)
            if body is None:
                await upstream_call.relay(answer)
        except (UpstreamError, LinkError) as exc:
            await self.on_failure(upstream_call, token, exc)
            return False
        headers = end_to_end_headers(answer.headers)
        await self.records.finish(token, answer.status, headers, body)
        if body is not None:
            await _send_stored_response(
                upstream_call, ResponseRecorded(answer.status, headers, body)
            )
        return True

    async def on_failure(self, upstream_call, token, error):
        """Record and report that a started call got no complete response."""
        await self.records.finish_unknown(token)
        await upstream_call.fail(error)


async def _read_complete_body(answer):
    """Return the body, or None when it is too large to store.

    If it is too large, the bytes read so far are put back into the stream.
    """
    parts = []
    size = 0
    while not answer.body.exhausted:
        data = await answer.body.read()
        parts.append(data)
        size += len(data)
        if size > MAX_STORED_RESPONSE_BYTES:
            answer.body.unread(b"".join(parts))
            return None
    return b"".join(parts)


async def _send_stored_response(upstream_call, stored):
    call = upstream_call.call
    load = upstream_call.server.load_within_budget()
    body = stored.body
    first, rest = body[:MAX_BODY_FRAME_BYTES], body[MAX_BODY_FRAME_BYTES:]
    call.reply(stored.status, stored.headers, load, first, not rest)
    try:
        if rest:
            await call.send_body(rest, True)
    except LinkError:
        # The link to the entry daemon is closed. A repeated request with the same
        # key gets the stored response.
        pass
