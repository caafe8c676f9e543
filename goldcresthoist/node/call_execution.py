"""Execution of one admitted call at the local upstream."""

import asyncio

from goldcresthoist.clock import monotonic
from goldcresthoist.deadlines import deadline_at
from goldcresthoist.http_fields import end_to_end_headers, header_value
from goldcresthoist.links.errors import LinkError
from goldcresthoist.links.frames import MAX_BODY_FRAME_BYTES, FailureKind
from goldcresthoist.platform.fields import (
    addressed_headers,
    parse_request_fields,
    parse_response_fields,
    response_request_id,
)
from goldcresthoist.upstreams import (
    ConnectionLimitReached,
    RequestIdConnection,
    RequestWriter,
    UpstreamBroken,
    UpstreamError,
    UpstreamTimedOut,
    UpstreamUnreachable,
    send_remaining_body,
)

__all__ = [
    "MAX_IDLE_S",
    "CallExecution",
    "acquire_recent_idle",
    "make_connection",
    "mark_idle",
]

# A response of up to the first size is buffered and relayed only when complete, so that
# the entry daemon can still retry at another upstream if the response breaks off. So is
# one whose length is stated and at most the second size, if there is memory for it.
MAX_BUFFERED_ANSWER_BYTES = 64 * 1024
MAX_WHOLE_ANSWER_BYTES = 1024 * 1024
# After the upstream has responded with 503 or 429 while all slots were in use, or
# without its load, no call is started for this long while others run.
OVERLOAD_PAUSE_S = 0.03
MISDIRECTED_REQUEST = 421
# Longest idle times of connections that are reused: for pace probes and for requests
# that must not be repeated, and for repeatable ones. An upstream may close an idle
# connection just when a request is sent. Only a repeatable request can be retried then,
# so the others use connections with a shorter idle time.
MAX_IDLE_S = 3.0
MAX_IDLE_REPEATABLE_S = 8.0
# A connection is not reused this close to the keep-alive timeout that the upstream
# announced.
IDLE_MARGIN_S = 1.5


def make_connection(on_lost):
    """Return a connection that accepts only responses with the id of the request."""
    return RequestIdConnection(on_lost, response_request_id)


def acquire_recent_idle(pool, limit_s, request_id=None):
    """Return a connection that was idle for less than ``limit_s`` seconds, or None.

    Connections that have been idle for longer are closed, and so are those on which the
    request with this id was refused before.
    """
    now = monotonic()
    while (connection := pool.acquire_idle()) is not None:
        max_idle_s = limit_s
        if connection.idle_limit_s is not None:
            max_idle_s = min(limit_s, connection.idle_limit_s - IDLE_MARGIN_S)
        recent = not connection.idle_since or now - connection.idle_since < max_idle_s
        if recent and request_id not in connection.refused_ids:
            return connection
        connection.close()
    return None


def mark_idle(connection, headers):
    """Record that a connection became idle now, and its keep-alive timeout.

    The timeout is the number of seconds in the ``Keep-Alive`` header of the response.
    It is left as it is when there is no such header.
    """
    connection.idle_since = monotonic()
    keep_alive = header_value(headers, b"keep-alive")
    if keep_alive is None:
        return
    _, _, value = keep_alive.partition(b"timeout=")
    digits = value.split(b",")[0].strip()
    if digits.isdigit():
        connection.idle_limit_s = float(digits)


class CallExecution:
    """Executes one admitted call and sends the response to the entry daemon.

    Parameters
    ----------
    server : UpstreamServer
    call : IncomingCall or LocalIncomingCall
    slot_call : SlotCall
        Deadline of the call and the work under which its service time is recorded.
    future : asyncio.Future or None
        Resolves when the call gets a slot; None when it already has one.
    """

    __slots__ = (
        "call",
        "connection",
        "ended",
        "future",
        "pace_at_start",
        "request_id",
        "running_at_start",
        "sender",
        "server",
        "slot_call",
        "started_at",
        "upstream_run",
    )

    def __init__(self, server, call, slot_call, future):
        self.server = server
        self.call = call
        self.slot_call = slot_call
        self.future = future
        self.request_id = parse_request_fields(call.open.headers).request_id
        self.connection = None
        self.sender = None
        # Identity and start time of the run of the upstream that gets the call.
        self.upstream_run = None
        # Whether the call has released its slot and its connection.
        self.ended = False

    async def wait_for_slot(self):
        """Wait for a slot.

        Raises
        ------
        AdmissionRefused
            When the call is refused while it waits.
        """
        if self.future is not None:
            await self.future

    def abandon(self):
        """Release the slot, or leave the queue, without running the call."""
        queue = self.server.queue
        future = self.future
        if future is not None and (not future.done() or future.cancelled()):
            # Cancelling the task that waits for the future cancels the future as well.
            queue.abandon(future)
        elif future is None or not future.exception():
            now = monotonic()
            queue.record_end(self.slot_call, 0.0, 1.0, now)
            queue.release(now)

    async def run(self):
        """Send the call to the upstream, relay the response and release the slot.

        Errors of the upstream are reported to the entry daemon and not raised.
        """
        server = self.server
        server.running.add(self)
        self.started_at = started = monotonic()
        self.pace_at_start = server.queue.pace.expected(started)
        self.running_at_start = server.queue.running
        succeeded = False
        try:
            async with deadline_at(self.slot_call.deadline):
                succeeded = await self._forward()
        except TimeoutError:
            await self._report_failure(UpstreamTimedOut("the deadline passed"))
        except UpstreamError as exc:
            await self._report_failure(exc)
        except LinkError:
            # The link to the entry daemon is closed, so no response can be sent.
            pass
        except Exception as exc:
            server.report_internal_error(self.call, exc)
        finally:
            server.running.discard(self)
            self._end(succeeded)

    def _end(self, succeeded):
        """Release the slot and the connection; only the first call has an effect."""
        if self.ended:
            return
        self.ended = True
        queue = self.server.queue
        now = monotonic()
        taken_s = now - self.started_at
        used_s = 0.0 if self.upstream_run is None else taken_s
        queue.record_end(self.slot_call, used_s, self.pace_at_start, now)
        if succeeded:
            queue.record(
                self.slot_call.work,
                taken_s,
                self.pace_at_start,
                self.running_at_start,
                now,
            )
        self._release_connection()
        queue.release(now)

    async def _forward(self):
        """Forward the call; return whether the status of the response is 2xx."""
        server = self.server
        call = self.call
        message = call.open
        reason = self._refusal_reason()
        if reason is not None:
            call.refuse(reason, reason, server.load_report())
            return False
        try:
            idle_s = MAX_IDLE_REPEATABLE_S if message.repeatable else MAX_IDLE_S
            self.connection = acquire_recent_idle(server.pool, idle_s, self.request_id)
            if self.connection is None:
                self.connection = await server.pool.acquire()
        except ConnectionLimitReached as exc:
            call.refuse("saturated", str(exc), server.load_report())
            return False
        except UpstreamUnreachable as exc:
            call.refuse("no-upstream", str(exc), server.load_report())
            return False
        reason = self._refusal_reason()
        if reason is not None:
            call.refuse(reason, reason, server.load_report())
            return False
        self._send_request(message)
        answer = await self.connection.head()
        fields = parse_response_fields(answer.headers)
        server.queue.pace.record(fields.pace, monotonic())
        server.update_limit(fields.limit_per_s)
        if fields.warm_up_s is not None:
            server.queue.warm_up.record_check(
                fields.warm_up_s, self.started_at, monotonic()
            )
        if fields.leaving:
            server.apply_leaving(*self.upstream_run)
        if fields.not_executed and self._refuse_if_not_run(answer, fields):
            return False
        return await self._relay_answer(answer, fields)

    def _refusal_reason(self):
        """Return why the call must not be sent to the upstream, or None."""
        if monotonic() >= self.slot_call.deadline:
            return "deadline"
        return self.server.refusal_reason()

    def _send_request(self, message):
        own = self.server.own
        time_left_ms = max(1, int((self.slot_call.deadline - monotonic()) * 1000))
        self.upstream_run = (own.identity, own.born_ms)
        headers = addressed_headers(message.headers, own.identity, time_left_ms)
        writer = RequestWriter(message, time_left_ms, headers)
        data = writer.start()
        self.server.counters.add("upstream_requests", kind="call")
        self.connection.expect(self.request_id)
        self.connection.send(data, message.method == "HEAD")
        if not message.end:
            self.call.admit()
            self.sender = asyncio.create_task(
                send_remaining_body(self.connection, writer, self.call.body)
            )

    def _refuse_if_not_run(self, answer, fields):
        """Refuse a call that the upstream did not execute.

        Returns
        -------
        bool
            False for statuses other than 421, 429 and 503; such a response is relayed.
        """
        server = self.server
        if answer.status == MISDIRECTED_REQUEST:
            server.own.reject_identity()
            server.log.event("upstream denied its identity", known=server.own.identity)
            server.upstream_changed(False)
        elif answer.status == 503 or answer.status == 429:
            now = monotonic()
            if fields.running < 0 or fields.running >= fields.slots:
                server.queue.pause_until(now + OVERLOAD_PAUSE_S)
            else:
                # An upstream that refuses although it has free slots does so at random.
                # A pause would only leave these slots idle, but others are preferred.
                server.record_end(True, now)
        else:
            return False
        self.connection.record_refusal()
        load = server.load_report()
        server.counters.add("upstream_refusals", status=str(answer.status))
        text = f"the upstream answered {answer.status}"
        self.call.refuse("upstream-refused", text, load, int(OVERLOAD_PAUSE_S * 1000))
        return True

    async def _relay_answer(self, answer, fields):
        """Relay the response to the entry daemon.

        A response of up to `MAX_BUFFERED_ANSWER_BYTES`, or `MAX_WHOLE_ANSWER_BYTES`
        while there is memory, is relayed only if complete.

        Returns
        -------
        bool
            Whether the status is 2xx.

        Raises
        ------
        UpstreamError
            When the response breaks off, or when a response with a 2xx status has no
            seal or has a content encoding.
        LinkError
            When the link to the entry daemon closes.
        """
        is_success = 200 <= answer.status < 300
        server = self.server
        if is_success or answer.status >= 500:
            server.record_end(not is_success, monotonic())
        if is_success and (not fields.sealed or fields.encoded):
            # Upstreams sign their responses with a seal and use no content encoding, so
            # this response comes from another source or was altered.
            raise UpstreamBroken("the answer is unsealed or has a content encoding")
        length = _stated_length(answer.headers)
        limit = MAX_BUFFERED_ANSWER_BYTES
        reserved = 0
        if limit < length <= MAX_WHOLE_ANSWER_BYTES:
            if server.transfers.try_take(length):
                limit = reserved = length
        try:
            return await self._relay_body(answer, is_success, limit)
        finally:
            server.transfers.give_back(reserved)

    async def _relay_body(self, answer, is_success, limit):
        """Relay a response after the first ``limit`` bytes of its body have arrived.

        The slot is released as soon as the body is complete: the upstream is done then,
        while the rest of the transfer may take long on a thin link.
        """
        call = self.call
        body = answer.body
        data = await self._read_first_bytes(body, limit)
        ended = body.exhausted
        if ended:
            mark_idle(self.connection, answer.headers)
        first, rest = data[:MAX_BODY_FRAME_BYTES], data[MAX_BODY_FRAME_BYTES:]
        headers = end_to_end_headers(answer.headers)
        load = self.server.load_report()
        if is_success and ended:
            self.server.record_success(call.open)
        if call.done:
            return is_success
        call.reply(answer.status, headers, load, first, ended and not rest)
        if ended and rest:
            self._end(is_success)
        if rest:
            await call.send_body(rest, ended)
        while not ended:
            data = await body.read()
            ended = body.exhausted
            await call.send_body(data, ended)
        return is_success

    async def _read_first_bytes(self, body, limit):
        """Return the body, or at least its first ``limit`` bytes if it is longer."""
        parts = []
        size = 0
        while size < limit:
            data = await body.read()
            if not data:
                break
            parts.append(data)
            size += len(data)
        return b"".join(parts)

    async def _report_failure(self, error):
        """Report to the entry daemon that the call has no complete response."""
        call = self.call
        server = self.server
        kind = FailureKind.BROKEN
        count = 0
        if isinstance(error, UpstreamTimedOut):
            kind = FailureKind.TIMED_OUT
        elif self.connection is not None and self.connection.closed_by_peer:
            server.queue.warm_up.presume(monotonic())
            if await server.pool.crashed(self.connection):
                kind = FailureKind.CRASHED
                count = server.record_crash(call.open)
        server.log.event(
            "upstream failed",
            id=_decode_id(self.request_id),
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

    def _release_connection(self):
        if self.sender is not None and not self.sender.done():
            # The upstream sent its response before it had received the whole request
            # body. If the connection were reused, the upstream would parse the next
            # request as the rest of this body.
            self.sender.cancel()
            if self.connection is not None:
                self.connection.reusable = False
        if self.connection is not None:
            self.server.pool.release(self.connection)


def _stated_length(headers):
    """Return the length of the body that the headers state, or 0."""
    value = header_value(headers, b"content-length")
    return int(value) if value is not None and value.isdigit() else 0


def _decode_id(request_id):
    return request_id.decode("latin-1") if request_id else None
