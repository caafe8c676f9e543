"""The two ends of one call on a link, with credit-based flow control."""

from goldcresthoist.links.errors import CorruptFrame, LinkClosed
from goldcresthoist.links.frames import (
    MAX_BODY_FRAME_BYTES,
    STREAM_CREDIT_BYTES,
    Body,
    Cancel,
    Credit,
    Failed,
    Head,
    Refuse,
)
from goldcresthoist.streams import BodyStream, CreditWindow

__all__ = ["CallFailed", "IncomingCall", "OutcomeWaiter", "OutgoingCall"]

# Credit for consumed body bytes is granted in steps of at least this size. A grant for
# every body frame would double the number of frames.
MIN_CREDIT_GRANT_BYTES = STREAM_CREDIT_BYTES // 4


class CallFailed(Exception):
    """The response ended early; ``failure`` is the `Failed` message."""

    def __init__(self, failure):
        super().__init__(failure.message)
        self.failure = failure


class OutcomeWaiter:
    """Holds the first outcome of a call and wakes the one task that waits for it.

    ``on_set(message)`` is called synchronously, before the task is scheduled.
    """

    __slots__ = ("error", "known", "loop", "message", "on_set", "waiter")

    def __init__(self, loop):
        self.loop = loop
        self.message = None
        self.error = None
        self.known = False
        self.on_set = None
        self.waiter = None

    def set(self, message):
        """Set the outcome, unless one is set already."""
        if not self.known:
            self.known = True
            self.message = message
            if self.on_set is not None:
                self.on_set(message)
                self.on_set = None
            self._wake()

    def fail(self, error):
        """Make `wait` raise ``error``, unless an outcome is set already."""
        if not self.known:
            self.known = True
            self.error = error
            self._wake()

    async def wait(self, timeout_s=None):
        """Return the outcome, or None if there is none within ``timeout_s``."""
        if not self.known:
            self.waiter = self.loop.create_future()
            timer = None
            if timeout_s is not None:
                timer = self.loop.call_later(timeout_s, self._wake)
            try:
                await self.waiter
            finally:
                self.waiter = None
                if timer is not None:
                    timer.cancel()
        if self.error is not None:
            raise self.error
        return self.message

    def _wake(self):
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)


class CallEndpoint:
    """Body streams and flow control, common to both ends of a call."""

    def __init__(self, link, call_id, credit):
        self.link = link
        self.call_id = call_id
        self.body = BodyStream(self._on_consumed)
        self.window = CreditWindow(credit)
        self.pending_credit = 0
        self.done = False

    async def send_body(self, data, end=False):
        """Send body bytes as far as the credit granted by the peer allows.

        Raises
        ------
        LinkClosed
            When the link is closed.
        """
        start = 0
        size = len(data)
        while start < size:
            granted = await self.window.take(min(size - start, MAX_BODY_FRAME_BYTES))
            chunk = data[start : start + granted]
            start += granted
            self._check_open()
            self.link.send(Body(self.call_id, chunk, end and start == size))
            await self.link.drain()
        if end and not size:
            self._check_open()
            self.link.send(Body(self.call_id, b"", True))

    def on_body(self, message):
        """Handle body bytes from the peer."""
        if self.body.ended:
            raise CorruptFrame(
                f"call {message.call_id}: body bytes after the end of the body"
            )
        if self.body.size + len(message.data) > 2 * STREAM_CREDIT_BYTES:
            raise CorruptFrame(f"call {message.call_id}: body bytes beyond the credit")
        self.body.feed(message.data)
        if message.end:
            self.body.end()

    def on_credit(self, message):
        """Handle a credit grant, which allows more body bytes to be sent."""
        if message.size <= 0:
            raise CorruptFrame(
                f"call {message.call_id}: invalid credit of {message.size} bytes"
            )
        self.window.grant(message.size)

    def _check_open(self):
        if self.link.closed:
            raise LinkClosed("the link is closed")

    def _on_consumed(self, size):
        self.pending_credit += size
        if self.pending_credit >= MIN_CREDIT_GRANT_BYTES and not self.body.ended:
            self.link.send(Credit(self.call_id, self.pending_credit))
            self.pending_credit = 0


class OutgoingCall(CallEndpoint):
    """The end of a call at the entry daemon, which sends the request.

    The initial credit is 0: the rest of a large request body is read from the caller
    only after the serving daemon has admitted the call. Until then the call may be
    refused and sent to another upstream.
    """

    def __init__(self, link, call_id):
        super().__init__(link, call_id, 0)
        self.result = OutcomeWaiter(link.loop)

    async def outcome(self, timeout_s=None):
        """Return the `Head`, `Refuse` or `Failed` of the call.

        The result is None if none of them arrives within ``timeout_s``.

        Raises
        ------
        LinkClosed
            When the link closes before the outcome arrives.
        """
        return await self.result.wait(timeout_s)

    def abort(self, error):
        """Cancel the call and make pending operations on it raise ``error``."""
        self.cancel()
        self.on_link_closed(error)

    def cancel(self):
        """Cancel the call; messages that still arrive for it are ignored."""
        if not self.done:
            self.link.send(Cancel(self.call_id))
            self.unregister()

    def unregister(self):
        """Mark the call as done and remove it from the link."""
        self.done = True
        self.link.calls.pop(self.call_id, None)

    def on_head(self, message):
        """Handle the head of the response."""
        if self.result.known:
            raise CorruptFrame(f"call {message.call_id}: second outcome received")
        self.body.feed(message.body)
        if message.end:
            self.body.end()
            self.unregister()
        self.result.set(message)

    def on_body(self, message):
        """Handle a chunk of the response body."""
        if not self.result.known:
            raise CorruptFrame(f"call {message.call_id}: body bytes before the head")
        super().on_body(message)
        if message.end:
            self.unregister()

    def on_terminated(self, message):
        """Handle a refusal or a failure, after which no message of the call follows."""
        self.unregister()
        error = CallFailed(message) if isinstance(message, Failed) else None
        if not self.result.known:
            self.result.set(message)
        elif error is None:
            raise CorruptFrame(
                f"call {message.call_id}: refusal received after the head"
            )
        self.window.fail(error or LinkClosed("the call was refused"))
        if error is not None:
            self.body.fail(error)

    def on_link_closed(self, error):
        """Make pending operations on the call raise ``error``."""
        self.done = True
        self.result.fail(error)
        self.body.fail(error)
        self.window.fail(error)


class IncomingCall(CallEndpoint):
    """The end of a call at the serving daemon, which sends the response."""

    def __init__(self, link, message):
        super().__init__(link, message.call_id, STREAM_CREDIT_BYTES)
        self.open = message
        # The service's ``begin`` sets this, and its ``serve`` reads it.
        self.begin_result = None
        self.started = False
        self.cancelled = False
        self.task = None
        if message.end:
            self.body.end()

    def admit(self):
        """Grant the peer credit for the rest of the request body."""
        if not self.body.ended:
            self.link.send(Credit(self.call_id, STREAM_CREDIT_BYTES))

    def reply(self, status, headers, load, body, end):
        """Send the head and at most `MAX_BODY_FRAME_BYTES` of the response body.

        These bytes never exceed the credit, because none of it has been used before.
        """
        self.window.available -= len(body)
        self.link.send(Head(self.call_id, status, headers, load, body, end))
        self.done = self.done or end

    def refuse(self, code, message, load, retry_after_ms=0):
        """Report that the call has not been executed and will not be."""
        self.done = True
        self.link.send(Refuse(self.call_id, code, message, retry_after_ms, load))

    def fail(self, kind, message, load, crash_count=0):
        """Report that the call was started and has no complete response."""
        self.done = True
        self.link.send(Failed(self.call_id, kind, message, load, crash_count))

    async def send_body(self, data, end=False):
        """Send a chunk of the response body."""
        await super().send_body(data, end)
        self.done = self.done or end

    def cancel(self):
        """Cancel the task that serves the call."""
        self.done = True
        self.cancelled = True
        # A task that is cancelled before its first step runs none of its code, so it
        # would not release the resources of the call. Such a task is left to run and
        # checks ``cancelled`` instead.
        if self.started and self.task is not None:
            self.task.cancel()
