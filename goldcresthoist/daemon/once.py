"""At-most-once work: nothing runs before its record is surely written."""

from time import monotonic

from goldcresthoist.daemon.ledger import (
    AnswerRecorded,
    OperationRefused,
    OperationStarted,
)
from goldcresthoist.http_fields import end_to_end
from goldcresthoist.links.errors import LinkError
from goldcresthoist.links.frames import MAX_BODY_BYTES
from goldcresthoist.upstreams import UpstreamError

__all__ = ["OnceRunner"]

# A larger answer is passed on and not kept.
MAX_KEPT_ANSWER_BYTES = 1024 * 1024


class OnceRunner:
    """Runs at-most-once work between ``ledger.start`` and ``ledger.finish``."""

    def __init__(self, service, upstream, ledger):
        self.service = service
        self.upstream = upstream
        self.ledger = ledger

    async def run(self, upstream_call):
        """Run one call with a slot in hand; return whether it ended well."""
        # The connection comes first: an upstream that cannot be reached must not
        # leave a started operation behind.
        upstream_call.connection = self.upstream.acquire_idle()
        if upstream_call.connection is None and not await upstream_call.connect():
            return False
        try:
            match await self.start(upstream_call.call.open):
                case OperationStarted(token):
                    return await self._run_started(upstream_call, token)
                case AnswerRecorded() as recorded:
                    await _send_recorded(upstream_call, recorded)
                case OperationRefused(code, text, retry_after_ms):
                    load = upstream_call.server.load_within_budget()
                    upstream_call.call.refuse(code, text, load, retry_after_ms)
        finally:
            upstream_call.release()
        return False

    async def start(self, message):
        """Write the record of a call; return the verdict."""
        return await self.ledger.start(self.service, message.key, message.fingerprint)

    async def send(self, upstream_call, token):
        """Send the started request; return the `UpstreamAnswer`."""
        upstream_call.send()
        return await upstream_call.connection.head()

    async def _run_started(self, upstream_call, token):
        # The record outlives the caller's patience, so started work gets its full time.
        full = monotonic() + upstream_call.rule.longest_s
        upstream_call.deadline = max(upstream_call.deadline, full)
        try:
            answer = await self.send(upstream_call, token)
            body = await _read_whole(answer)
            if body is None:
                await upstream_call.relay(answer)
        except (UpstreamError, LinkError) as exc:
            await self.on_failure(upstream_call, token, exc)
            return False
        headers = end_to_end(answer.headers)
        await self.ledger.finish(token, answer.status, headers, body)
        if body is not None:
            await _send_recorded(
                upstream_call, AnswerRecorded(answer.status, headers, body)
            )
        return True

    async def on_failure(self, upstream_call, token, error):
        """Record and report a started call without a complete answer."""
        await self.ledger.finish_unknown(token)
        await upstream_call.fail(error)


async def _read_whole(answer):
    """Return the body, or None when it is too large to keep.

    In that case its bytes stay in the stream.
    """
    parts = []
    size = 0
    while not answer.body.exhausted:
        data = await answer.body.read()
        parts.append(data)
        size += len(data)
        if size > MAX_KEPT_ANSWER_BYTES:
            answer.body.put_back(b"".join(parts))
            return None
    return b"".join(parts)


async def _send_recorded(upstream_call, recorded):
    call = upstream_call.call
    load = upstream_call.server.load_within_budget()
    body = recorded.body
    first, rest = body[:MAX_BODY_BYTES], body[MAX_BODY_BYTES:]
    call.reply(recorded.status, recorded.headers, load, first, not rest)
    try:
        if rest:
            await call.send_body(rest, True)
    except LinkError:
        # The caller is gone; its repeat gets the recorded answer.
        pass
