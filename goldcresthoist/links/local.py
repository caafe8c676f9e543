"""A call to the own upstream, without a connection in between."""

import asyncio

from goldcresthoist.links.calls import CallFailed, OutcomeWaiter
from goldcresthoist.links.frames import STREAM_CREDIT_BYTES, Failed, Head, Refuse
from goldcresthoist.streams import BodyStream, CreditWindow

__all__ = ["LOCAL_CALL_ID", "LocalCall"]

LOCAL_CALL_ID = 0


class LocalCall:
    """Has the interface of `OutgoingCall`; `serving` has that of `IncomingCall`."""

    def __init__(self, service, message):
        loop = asyncio.get_running_loop()
        self.window = CreditWindow(0)
        self.result = OutcomeWaiter(loop)
        self.serving = ServingEnd(self, message)
        self.request_body = self.serving.body
        self.body = BodyStream(self.serving.window.grant)
        self.done = False
        if service.draining:
            load = service.load_report()
            self.serving.refuse("draining", "the upstream is leaving", load)
            return
        serving = self.serving
        service.begin(serving)
        if not serving.done:
            serving.task = loop.create_task(service.serve(serving))

    async def outcome(self, timeout_s=None):
        """Return the outcome, or None when there is none after ``timeout_s``."""
        return await self.result.wait(timeout_s)

    async def send_body(self, data, end=False):
        """Pass a piece of the request body."""
        await _pass(data, self.window, self.request_body)
        if end:
            self.request_body.end()

    def cancel(self):
        """Give the call up."""
        if not self.done:
            self.done = True
            self.serving.cancel()

    def abort(self, error):
        """Give the call up and make those who wait for it raise ``error``."""
        self.cancel()
        self.fail(error)

    def finish(self, message):
        """Take a refusal or a failure."""
        self.done = True
        self.result.set(message)
        self.fail(CallFailed(message))

    def fail(self, error):
        """Make those who wait for the call raise ``error``."""
        self.result.fail(error)
        self.body.fail(error)
        self.window.fail(error)


class ServingEnd:
    """The end of a local call at the upstream."""

    def __init__(self, caller, message):
        self.caller = caller
        self.open = message
        self.body = BodyStream(caller.window.grant)
        self.window = CreditWindow(STREAM_CREDIT_BYTES)
        self.begun = None
        self.started = False
        self.cancelled = False
        self.task = None
        self.done = False
        if message.end:
            self.body.end()

    def admit(self):
        """Let the entry side send the rest of the request body."""
        if not self.body.ended:
            self.caller.window.grant(STREAM_CREDIT_BYTES)

    def reply(self, status, headers, load, body, end):
        """Pass the head and the first bytes of the answer."""
        self.window.available -= len(body)
        self.caller.body.feed(body)
        if end:
            self._end()
        head = Head(LOCAL_CALL_ID, status, headers, load, body, end)
        self.caller.result.set(head)

    async def send_body(self, data, end=False):
        """Pass a piece of the answer."""
        await _pass(data, self.window, self.caller.body)
        if end:
            self._end()

    def refuse(self, code, message, load, retry_after_ms=0):
        """Say that the call did not and will not run."""
        self.done = True
        refusal = Refuse(LOCAL_CALL_ID, code, message, retry_after_ms, load)
        self.caller.finish(refusal)
        self._part()

    def fail(self, kind, message, load, crash_count=0):
        """Say that the call was started and has no complete answer."""
        self.done = True
        self.caller.finish(Failed(LOCAL_CALL_ID, kind, message, load, crash_count))
        self._part()

    def cancel(self):
        """Stop the task that serves the call, as `IncomingCall.cancel` does."""
        self.done = True
        self.cancelled = True
        if self.started and self.task is not None:
            self.task.cancel()

    def _end(self):
        self.done = True
        self.caller.done = True
        self.caller.body.end()
        self._part()

    def _part(self):
        # The two ends refer to each other, and the task to this end; no cycle may be
        # left for the collector.
        self.caller.serving = None
        self.task = None


async def _pass(data, window, stream):
    passed = 0
    while passed < len(data):
        size = await window.take(len(data) - passed)
        stream.feed(data[passed : passed + size])
        passed += size
