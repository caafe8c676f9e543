"""Calls to the local upstream, which need no link."""

import asyncio

from goldcresthoist.links.calls import CallFailed, OutcomeWaiter
from goldcresthoist.links.frames import STREAM_CREDIT_BYTES, Failed, Head, Refuse
from goldcresthoist.streams import BodyStream, CreditWindow

__all__ = ["LOCAL_CALL_ID", "LocalCall"]

LOCAL_CALL_ID = 0


class LocalCall:
    """The sending end of a local call, with the interface of `OutgoingCall`.

    ``incoming`` is the other end, with the interface of `IncomingCall`.
    """

    def __init__(self, service, message):
        loop = asyncio.get_running_loop()
        self.window = CreditWindow(0)
        self.result = OutcomeWaiter(loop)
        self.incoming = LocalIncomingCall(self, message)
        self.request_body = self.incoming.body
        self.body = BodyStream(self.incoming.window.grant)
        self.done = False
        if service.draining:
            load = service.load_report()
            self.incoming.refuse("draining", "the upstream is draining", load)
            return
        incoming = self.incoming
        service.begin(incoming)
        if not incoming.done:
            incoming.task = loop.create_task(service.serve(incoming))

    async def outcome(self, timeout_s=None):
        """Return the outcome, or None if there is none within ``timeout_s``."""
        return await self.result.wait(timeout_s)

    async def send_body(self, data, end=False):
        """Transfer a chunk of the request body."""
        await _transfer(data, self.window, self.request_body)
        if end:
            self.request_body.end()

    def cancel(self):
        """Cancel the call."""
        if not self.done:
            self.done = True
            self.incoming.cancel()

    def abort(self, error):
        """Cancel the call and make pending operations on it raise ``error``."""
        self.cancel()
        self.fail(error)

    def finish(self, message):
        """Handle a refusal or a failure."""
        self.done = True
        self.result.set(message)
        self.fail(CallFailed(message))

    def fail(self, error):
        """Make pending operations on the call raise ``error``."""
        self.result.fail(error)
        self.body.fail(error)
        self.window.fail(error)


class LocalIncomingCall:
    """The receiving end of a local call, with the interface of `IncomingCall`."""

    def __init__(self, outgoing, message):
        self.outgoing = outgoing
        self.open = message
        self.body = BodyStream(outgoing.window.grant)
        self.window = CreditWindow(STREAM_CREDIT_BYTES)
        # The service's ``begin`` sets this, and its ``serve`` reads it.
        self.begin_result = None
        self.started = False
        self.cancelled = False
        self.task = None
        self.done = False
        if message.end:
            self.body.end()

    def admit(self):
        """Grant the sending end credit for the rest of the request body."""
        if not self.body.ended:
            self.outgoing.window.grant(STREAM_CREDIT_BYTES)

    def reply(self, status, headers, load, body, end):
        """Deliver the head and the first bytes of the response body."""
        self.window.available -= len(body)
        self.outgoing.body.feed(body)
        if end:
            self._complete()
        head = Head(LOCAL_CALL_ID, status, headers, load, body, end)
        self.outgoing.result.set(head)

    async def send_body(self, data, end=False):
        """Transfer a chunk of the response body."""
        await _transfer(data, self.window, self.outgoing.body)
        if end:
            self._complete()

    def refuse(self, code, message, load, retry_after_ms=0):
        """Report that the call has not been executed and will not be."""
        self.done = True
        refusal = Refuse(LOCAL_CALL_ID, code, message, retry_after_ms, load)
        self.outgoing.finish(refusal)
        self._break_cycle()

    def fail(self, kind, message, load, crash_count=0):
        """Report that the call was started and has no complete response."""
        self.done = True
        self.outgoing.finish(Failed(LOCAL_CALL_ID, kind, message, load, crash_count))
        self._break_cycle()

    def cancel(self):
        """Cancel the task that serves the call, as `IncomingCall.cancel` does."""
        self.done = True
        self.cancelled = True
        if self.started and self.task is not None:
            self.task.cancel()

    def _complete(self):
        self.done = True
        self.outgoing.done = True
        self.outgoing.body.end()
        self._break_cycle()

    def _break_cycle(self):
        # The two ends refer to each other, and the task to this end. Without these
        # references, a finished call is freed without a run of the garbage collector.
        self.outgoing.incoming = None
        self.task = None


async def _transfer(data, window, stream):
    transferred = 0
    while transferred < len(data):
        size = await window.take(len(data) - transferred)
        stream.feed(data[transferred : transferred + size])
        transferred += size
