"""One call to the local upstream, with both bodies streamed."""

import asyncio

from goldcresthoist.clock import monotonic
from goldcresthoist.daemon.kinds import FAILURE_STATUSES
from goldcresthoist.http_fields import end_to_end_headers, header_value
from goldcresthoist.links.errors import LinkError
from goldcresthoist.links.frames import MAX_BODY_FRAME_BYTES, FailureKind
from goldcresthoist.upstreams import (
    REQUEST_ID_FIELD,
    RequestWriter,
    UpstreamError,
    UpstreamTimedOut,
    UpstreamUnreachable,
    send_remaining_body,
)

__all__ = ["UpstreamCall"]


class UpstreamCall:
    """Relays one `IncomingCall` to the upstream.

    Parameters
    ----------
    call : IncomingCall
    upstream : ConnectionPool
    rule : WorkRule
    deadline : float
        Deadline of the call, on the clock of `goldcresthoist.clock`.
    server
        Has ``load_report()``, ``load_within_budget(answer_bytes)``,
        ``crashed(call) -> int`` and ``active_calls``. The server calls `expire` of each
        member of ``active_calls`` when its deadline has passed.
    """

    __slots__ = (
        "call",
        "connection",
        "deadline",
        "relayed",
        "rule",
        "send_error",
        "sender",
        "sent",
        "server",
        "upstream",
        "upstream_failed",
    )

    def __init__(self, call, upstream, rule, deadline, server):
        self.call = call
        self.rule = rule
        self.upstream = upstream
        self.deadline = deadline
        # Whether the upstream failed to handle the call. None while that is not known,
        # and after a time-out, which does not count as a failure of the upstream.
        self.upstream_failed = None
        self.server = server
        self.connection = None
        # Task that sends the rest of the request body.
        self.sender = None
        self.sent = False
        # Whether `_relay_if_complete` has sent the response to the entry daemon.
        self.relayed = False
        # Error of `send_on_idle_connection`, which `run` reports.
        self.send_error = None

    def send_on_idle_connection(self):
        """Send the request without waiting if there is an idle connection."""
        self.connection = self.upstream.acquire_idle()
        if self.connection is not None:
            try:
                self.connection.on_response_head = self._relay_if_complete
                self.send()
                self.sent = True
            except UpstreamError as exc:
                self.send_error = exc

    async def run(self):
        """Run the call; return whether it got a complete response."""
        if self.connection is None:
            self.send_on_idle_connection()
        if self.connection is None and not await self.connect():
            return False
        try:
            return await self._finish()
        except UpstreamError as exc:
            await self.fail(exc)
        except LinkError:
            # The link to the entry daemon is closed, so the result cannot be delivered.
            pass
        finally:
            self.release()
        return False

    async def _finish(self):
        """Send the request if it is not sent yet, and relay the response.

        Returns whether the response is complete; False if the call was cancelled.
        """
        if self.call.cancelled:
            return False
        if self.send_error is not None:
            raise self.send_error
        if not self.sent:
            self.send()
        answer = await self.connection.head()
        self.upstream_failed = answer.status in FAILURE_STATUSES
        if not self.relayed:
            await self.relay(answer)
        return True

    def _relay_if_complete(self, answer):
        """Relay a complete response directly from the callback that received it."""
        body = answer.body
        if not body.ended or body.size > MAX_BODY_FRAME_BYTES or self.call.done:
            return
        self.relayed = True
        load = self.server.load_within_budget(body.size)
        headers = end_to_end_headers(answer.headers)
        self.call.reply(answer.status, headers, load, body.take(), True)

    async def connect(self):
        """Acquire a connection; refuse the call when that fails.

        Returns whether a connection was acquired.
        """
        try:
            self.connection = await self.upstream.acquire()
        except UpstreamUnreachable as exc:
            self.upstream_failed = True
            load = self.server.load_report()
            self.call.refuse("no-upstream", str(exc), load)
            return False
        return True

    def send(self):
        """Send the request; a task sends the rest of its body."""
        message = self.call.open
        self.server.active_calls.add(self)
        time_left_s = self.deadline - monotonic()
        writer = RequestWriter(message, max(1, int(time_left_s * 1000)))
        self.connection.expect(header_value(message.headers, REQUEST_ID_FIELD))
        self.connection.send(writer.start(), message.method == "HEAD")
        if not message.end:
            self.call.admit()
            self.sender = asyncio.create_task(
                send_remaining_body(self.connection, writer, self.call.body)
            )

    async def relay(self, answer):
        """Relay the response as it arrives."""
        call = self.call
        body = answer.body
        if body.error is not None:
            # Nothing has been relayed yet, so the call may still be retried.
            raise body.error
        data = body.take()
        first, rest = data, b""
        if len(data) > MAX_BODY_FRAME_BYTES:
            first, rest = data[:MAX_BODY_FRAME_BYTES], data[MAX_BODY_FRAME_BYTES:]
        ended = body.exhausted
        headers = end_to_end_headers(answer.headers)
        load = self.server.load_within_budget(len(data))
        call.reply(answer.status, headers, load, first, ended and not rest)
        if rest:
            await call.send_body(rest, ended)
        while not ended:
            data = await body.read()
            ended = body.exhausted
            await call.send_body(data, ended)

    async def fail(self, error):
        """Report to the entry daemon that the call got no complete response."""
        kind = FailureKind.BROKEN
        crash_count = 0
        self.upstream_failed = True
        if isinstance(error, UpstreamTimedOut):
            self.upstream_failed = None
            kind = FailureKind.TIMED_OUT
        elif self.connection.closed_by_peer:
            if await self.upstream.crashed(self.connection):
                kind = FailureKind.CRASHED
                crash_count = self.server.crashed(self.call)
        load = self.server.load_within_budget()
        self.call.fail(kind, str(error), load, crash_count)

    def expire(self):
        """Fail the call because its deadline has passed."""
        self.server.active_calls.discard(self)
        error = UpstreamTimedOut("the deadline passed")
        self.connection.fail_exchange(error)
        self.call.window.fail(error)

    def release(self):
        """Return the connection to the pool.

        The connection is closed unless the exchange is complete.
        """
        self.server.active_calls.discard(self)
        self.connection.on_response_head = None
        if self.sender is not None and not self.sender.done():
            # The upstream responded before it had read the whole body. The connection
            # cannot be reused, since the rest of the body would be read as a request.
            self.sender.cancel()
            self.connection.reusable = False
        self.upstream.release(self.connection)
