"""The two ends of one call on a link, with flow control."""

from goldcresthoist.links.errors import CorruptFrame, LinkClosed
from goldcresthoist.links.frames import (
    MAX_BODY_BYTES,
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

# Granting credit for every body frame would double the number of frames.
CREDIT_STEP_BYTES = STREAM_CREDIT_BYTES // 4


class CallFailed(Exception):
    """The answer broke off; ``failure`` is the `Failed` message."""

    def __init__(self, failure):
        super().__init__(failure.message)
        self.failure = failure


class OutcomeWaiter:
    """The first outcome of a call, for one waiting task.

    ``on_set(message)`` is called before the task gets its turn.
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
        """Set the outcome, unless there is one."""
        if not self.known:
            self.known = True
            self.message = message
            if self.on_set is not None:
                self.on_set(message)
                self.on_set = None
            self._wake()

    def fail(self, error):
        """Make the waiting task raise ``error``, unless there is an outcome."""
        if not self.known:
            self.known = True
            self.error = error
            self._wake()

    async def wait(self, timeout_s=None):
        """Return the outcome, or None when there is none after ``timeout_s``."""
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


class CallEnd:
    """Flow control that both ends of a call share."""

    def __init__(self, link, call_id, credit):
        self.link = link
        self.call_id = call_id
        self.body = BodyStream(self._on_consumed)
        self.window = CreditWindow(credit)
        self.owed_credit = 0
        self.done = False

    async def send_body(self, data, end=False):
        """Send body bytes as the peer's credit allows.

        Raises
        ------
        LinkClosed
            When the link has ended.
        """
        start = 0
        size = len(data)
        while start < size:
            taken = await self.window.take(min(size - start, MAX_BODY_BYTES))
            piece = data[start : start + taken]
            start += taken
            self._check_open()
            self.link.send(Body(self.call_id, piece, end and start == size))
            await self.link.drain()
        if end and not size:
            self._check_open()
            self.link.send(Body(self.call_id, b"", True))

    def on_body(self, message):
        """Take body bytes from the peer."""
        if self.body.ended:
            raise CorruptFrame(f"call {message.call_id}: body bytes after the end")
        if self.body.size + len(message.data) > 2 * STREAM_CREDIT_BYTES:
            raise CorruptFrame(f"call {message.call_id}: body bytes beyond the credit")
        self.body.feed(message.data)
        if message.end:
            self.body.end()

    def on_credit(self, message):
        """Take permission to send more body bytes."""
        if message.size <= 0:
            raise CorruptFrame(f"call {message.call_id}: credit of {message.size}")
        self.window.grant(message.size)

    def _check_open(self):
        if self.link.closed:
            raise LinkClosed("the link ended")

    def _on_consumed(self, size):
        self.owed_credit += size
        if self.owed_credit >= CREDIT_STEP_BYTES and not self.body.ended:
            self.link.send(Credit(self.call_id, self.owed_credit))
            self.owed_credit = 0


class OutgoingCall(CallEnd):
    """A call as its entry daemon sees it.

    It has no credit at first, so that the rest of a large body stays with the caller
    until the call is certain to run and need not be sent to another upstream.
    """

    def __init__(self, link, call_id):
        super().__init__(link, call_id, 0)
        self.result = OutcomeWaiter(link.loop)

    async def outcome(self, timeout_s=None):
        """Return the `Head`, `Refuse` or `Failed` of the call.

        The result is None when there is none after ``timeout_s``.

        Raises
        ------
        LinkClosed
            When the link ended first.
        """
        return await self.result.wait(timeout_s)

    def abort(self, error):
        """Give the call up and make those who wait for it raise ``error``."""
        self.cancel()
        self.on_link_closed(error)

    def cancel(self):
        """Give the call up; later messages of it are dropped."""
        if not self.done:
            self.link.send(Cancel(self.call_id))
            self.forget()

    def forget(self):
        """End the call on this side."""
        self.done = True
        self.link.calls.pop(self.call_id, None)

    def on_head(self, message):
        """Take the start of the answer."""
        if self.result.known:
            raise CorruptFrame(f"call {message.call_id}: a second outcome")
        self.body.feed(message.body)
        if message.end:
            self.body.end()
            self.forget()
        self.result.set(message)

    def on_body(self, message):
        """Take a piece of the answer."""
        if not self.result.known:
            raise CorruptFrame(f"call {message.call_id}: body before the head")
        super().on_body(message)
        if message.end:
            self.forget()

    def on_ended(self, message):
        """Take a refusal or a failure."""
        self.forget()
        error = CallFailed(message) if isinstance(message, Failed) else None
        if not self.result.known:
            self.result.set(message)
        elif error is None:
            raise CorruptFrame(f"call {message.call_id}: a refusal after the head")
        self.window.fail(error or LinkClosed("the call was refused"))
        if error is not None:
            self.body.fail(error)

    def on_link_closed(self, error):
        """Fail whoever waits for the call."""
        self.done = True
        self.result.fail(error)
        self.body.fail(error)
        self.window.fail(error)


class IncomingCall(CallEnd):
    """A call as the daemon beside the upstream sees it."""

    def __init__(self, link, message):
        super().__init__(link, message.call_id, STREAM_CREDIT_BYTES)
        self.open = message
        self.begun = None
        self.started = False
        self.cancelled = False
        self.task = None
        if message.end:
            self.body.end()

    def admit(self):
        """Let the peer send the rest of the request body."""
        if not self.body.ended:
            self.link.send(Credit(self.call_id, STREAM_CREDIT_BYTES))

    def reply(self, status, headers, load, body, end):
        """Send the head and the first bytes of the answer, at most one frame full.

        The bytes must fit the credit, which is full at this time.
        """
        self.window.available -= len(body)
        self.link.send(Head(self.call_id, status, headers, load, body, end))
        self.done = self.done or end

    def refuse(self, code, message, load, retry_after_ms=0):
        """Say that the call did not and will not run."""
        self.done = True
        self.link.send(Refuse(self.call_id, code, message, retry_after_ms, load))

    def fail(self, kind, message, load, crash_count=0):
        """Say that the call was started and has no complete answer."""
        self.done = True
        self.link.send(Failed(self.call_id, kind, message, load, crash_count))

    async def send_body(self, data, end=False):
        """Send a piece of the answer."""
        await super().send_body(data, end)
        self.done = self.done or end

    def cancel(self):
        """Stop the task that serves the call."""
        self.done = True
        self.cancelled = True
        # A task that is cancelled before its first step runs none of its code, and so
        # would not release what the call holds. It looks at ``cancelled`` instead.
        if self.started and self.task is not None:
            self.task.cancel()
