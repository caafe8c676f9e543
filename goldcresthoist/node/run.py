"""One call at the own upstream."""

import asyncio
from time import monotonic

from goldcresthoist.http_fields import end_to_end, field
from goldcresthoist.links.errors import LinkError
from goldcresthoist.links.frames import MAX_BODY_BYTES, FailureKind
from goldcresthoist.platform.fields import (
    addressed_headers,
    answer_id,
    read_answer_fields,
    read_request_fields,
)
from goldcresthoist.upstreams import (
    IdentifiedConnection,
    RequestWriter,
    UpstreamBroken,
    UpstreamError,
    UpstreamTimedOut,
    UpstreamUnreachable,
    send_rest,
)

__all__ = ["FRESH_IDLE_S", "UpstreamRun", "make_connection", "note_end", "take_idle"]

# An answer of up to this many bytes is passed on only when it is whole, so that one
# that breaks off can still be replaced by another upstream's.
WHOLE_ANSWER_BYTES = 64 * 1024
# An upstream that says it is full gets no further call for this long.
FULL_PAUSE_S = 0.03
MISDIRECTED = 421
# An upstream may close an idle connection at the moment at which a request is sent. A
# request that may run only once takes no connection that was idle for longer.
FRESH_IDLE_S = 3.0
OLD_IDLE_S = 8.0
# Margin to the time after which the upstream says that it closes idle connections.
IDLE_MARGIN_S = 1.5


def make_connection(on_lost):
    """Return a connection that takes only answers with the id of the request."""
    return IdentifiedConnection(on_lost, answer_id)


def take_idle(pool, limit_s):
    """Return a connection that was idle for at most ``limit_s`` seconds, or None."""
    now = monotonic()
    while (connection := pool.acquire_idle()) is not None:
        allowed_s = limit_s
        if connection.idle_limit_s is not None:
            allowed_s = min(limit_s, connection.idle_limit_s - IDLE_MARGIN_S)
        if not connection.idle_since or now - connection.idle_since < allowed_s:
            return connection
        connection.close()
    return None


def note_end(connection, headers):
    """Note when a connection became idle, and for how long it may stay so."""
    connection.idle_since = monotonic()
    keep_alive = field(headers, b"keep-alive")
    if keep_alive is None:
        return
    _, _, value = keep_alive.partition(b"timeout=")
    digits = value.split(b",")[0].strip()
    if digits.isdigit():
        connection.idle_limit_s = float(digits)


class UpstreamRun:
    """Runs one admitted call and answers it through the link."""

    __slots__ = (
        "call",
        "connection",
        "future",
        "request_id",
        "sender",
        "server",
        "slot_call",
    )

    def __init__(self, server, call, slot_call, future):
        self.server = server
        self.call = call
        self.slot_call = slot_call
        # None when the call has its slot already.
        self.future = future
        self.request_id = read_request_fields(call.open.headers).request_id
        self.connection = None
        self.sender = None

    async def wait_for_slot(self):
        """Wait for a slot.

        Raises
        ------
        AdmissionRefused
            When the call gets none.
        """
        if self.future is not None:
            await self.future

    def abandon(self):
        """Give the slot or the place in the queue back."""
        queue = self.server.queue
        if self.future is None:
            queue.release(monotonic())
        elif self.future.done():
            if not self.future.cancelled() and self.future.exception() is None:
                queue.release(monotonic())
        else:
            queue.abandon(self.future)

    async def run(self):
        """Send the call to the upstream and pass the answer on."""
        server = self.server
        server.running.add(self)
        started = monotonic()
        pace_before = server.queue.pace.expected(started)
        running = server.queue.running
        succeeded = False
        try:
            async with asyncio.timeout_at(self._loop_deadline(started)):
                succeeded = await self._run()
        except TimeoutError:
            await self._fail(UpstreamTimedOut("the deadline passed"))
        except UpstreamError as exc:
            await self._fail(exc)
        except LinkError:
            # The entry daemon is gone, and with it everybody who could be answered.
            pass
        except Exception as exc:
            server.fail_internal(self.call, exc)
        finally:
            server.running.discard(self)
            now = monotonic()
            if succeeded:
                server.queue.record(
                    self.slot_call.work, now - started, pace_before, running, now
                )
            self._release()
            server.queue.release(now)

    async def _run(self):
        """Return whether the upstream ran the call to a good end."""
        server = self.server
        call = self.call
        message = call.open
        reason = server.refusal_reason()
        if reason is not None:
            call.refuse(reason, reason, server.load_report())
            return False
        try:
            idle_s = OLD_IDLE_S if message.repeatable else FRESH_IDLE_S
            self.connection = take_idle(server.pool, idle_s)
            if self.connection is None:
                self.connection = await server.pool.acquire()
        except UpstreamUnreachable as exc:
            call.refuse("no-upstream", str(exc), server.load_report())
            return False
        reason = server.refusal_reason()
        if reason is not None:
            call.refuse(reason, reason, server.load_report())
            return False
        self._send(message)
        answer = await self.connection.head()
        fields = read_answer_fields(answer.headers)
        server.queue.pace.record(fields.pace, monotonic())
        if fields.not_run and self._refused_by_upstream(answer, fields):
            return False
        return await self._relay(answer, fields)

    def _send(self, message):
        own = self.server.own
        time_left_ms = max(1, int((self.slot_call.deadline - monotonic()) * 1000))
        headers = addressed_headers(message.headers, own.identity, time_left_ms)
        writer = RequestWriter(message, time_left_ms, headers)
        data = writer.start()
        self.connection.expect(self.request_id)
        self.connection.send(data, message.method == "HEAD")
        if not message.end:
            self.call.admit()
            self.sender = asyncio.create_task(
                send_rest(self.connection, writer, self.call.body)
            )

    def _refused_by_upstream(self, answer, fields):
        """Refuse the call if the upstream did not run it; return whether it was."""
        server = self.server
        if answer.status == MISDIRECTED:
            server.own.deny()
            server.log.event("upstream denied its identity", known=server.own.identity)
            server.upstream_changed(False)
        elif answer.status == 503 or answer.status == 429:
            # One that refuses with free slots does so by chance; a pause would only
            # leave them idle.
            if fields.running < 0 or fields.running >= fields.slots:
                server.queue.hold(monotonic() + FULL_PAUSE_S)
        else:
            return False
        load = server.load_report()
        server.counters.add("upstream_refusals", status=str(answer.status))
        text = f"the upstream answered {answer.status}"
        self.call.refuse("upstream-refused", text, load, int(FULL_PAUSE_S * 1000))
        return True

    async def _relay(self, answer, fields):
        """Pass the answer on, whole if it is not large."""
        call = self.call
        body = answer.body
        good = 200 <= answer.status < 300
        server = self.server
        if good or answer.status >= 500:
            server.record_end(not good, monotonic())
        if good and (not fields.sealed or fields.encoded):
            raise UpstreamBroken("the answer is not the upstream's own")
        data = await self._first_bytes(body)
        ended = body.exhausted
        if ended:
            note_end(self.connection, answer.headers)
        first, rest = data[:MAX_BODY_BYTES], data[MAX_BODY_BYTES:]
        headers = end_to_end(answer.headers)
        load = self.server.load_report()
        if good and ended:
            self.server.succeeded(call.open)
        if call.done:
            return good
        call.reply(answer.status, headers, load, first, ended and not rest)
        if rest:
            await call.send_body(rest, ended)
        while not ended:
            data = await body.read()
            ended = body.exhausted
            await call.send_body(data, ended)
        return good

    async def _first_bytes(self, body):
        parts = []
        size = 0
        while size < WHOLE_ANSWER_BYTES:
            data = await body.read()
            if not data:
                break
            parts.append(data)
            size += len(data)
        return b"".join(parts)

    async def _fail(self, error):
        """Tell the entry daemon that the call has no complete answer."""
        call = self.call
        server = self.server
        kind = FailureKind.BROKEN
        count = 0
        if isinstance(error, UpstreamTimedOut):
            kind = FailureKind.TIMED_OUT
        elif self.connection is not None and self.connection.lost_by_peer:
            if await server.pool.crashed(self.connection):
                kind = FailureKind.CRASHED
                count = server.crashed(call.open)
        server.log.event(
            "upstream failed",
            id=_text(self.request_id),
            upstream=server.own.identity,
            kind=kind,
            error=str(error),
            crashes=count,
        )
        server.counters.add("upstream_failures", kind=kind)
        if kind != FailureKind.TIMED_OUT:
            server.record_end(True, monotonic())
        if not call.done:
            call.fail(kind, str(error), server.load_report(), count)

    def _release(self):
        if self.sender is not None and not self.sender.done():
            # The upstream answered early; the rest of the body must not be read as
            # another request.
            self.sender.cancel()
            if self.connection is not None:
                self.connection.reusable = False
        if self.connection is not None:
            self.server.pool.release(self.connection)

    def _loop_deadline(self, now):
        loop_now = asyncio.get_running_loop().time()
        return loop_now + max(0.0, self.slot_call.deadline - now)


def _text(request_id):
    return request_id.decode("latin-1") if request_id else None
