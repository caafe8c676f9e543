"""One try of a call at one upstream."""

from time import monotonic

from goldcresthoist.balance import Outcome
from goldcresthoist.callers import CallerError
from goldcresthoist.links import CallFailed, LinkClosed, LinkError, LocalCall
from goldcresthoist.links.frames import Failed, FailureKind, Head

__all__ = ["Attempt"]


class Attempt:
    """Wraps an `OutgoingCall` or `LocalCall` and keeps the counts of its upstream."""

    __slots__ = (
        "call",
        "chooser",
        "ended",
        "hedge",
        "latency_s",
        "local",
        "routed",
        "sender",
        "started_at",
        "view",
    )

    def __init__(self, routed, view, peer, hedge=False):
        router = routed.router
        self.routed = routed
        self.view = view
        self.chooser = router.chooser
        self.local = peer is None
        self.hedge = hedge
        self.sender = None
        self.ended = False
        self.latency_s = 0.0
        self.started_at = now = monotonic()
        if self.local:
            self.call = LocalCall(router.server, routed.open_message(0, now, hedge))
        else:
            # May raise LinkClosed, so nothing is counted before.
            self.call = peer.link.call(
                lambda call_id: routed.open_message(call_id, now, hedge)
            )
        self.chooser.record_start(view, now)
        if not routed.body_complete:
            self.sender = routed.loop.create_task(self._send_rest())

    async def outcome(self, timeout_s=None):
        """Return `Head`, `Refuse` or `Failed`; None when there is none in time."""
        try:
            outcome = await self.call.result.wait(timeout_s)
            error = self.call.body.error
            if error is not None and type(outcome) is Head:
                # The answer broke off before its head was looked at.
                outcome = _failure_from(error)
        except LinkClosed as exc:
            outcome = _failure_from(exc)
        self.latency_s = monotonic() - self.started_at
        return outcome

    def end(self, outcome, load):
        """Count how the attempt ended, once."""
        if self.ended:
            return
        self.ended = True
        now = monotonic()
        # Reports of other daemons are taken over when they arrive on the link.
        report = load if self.local else None
        self.chooser.record_end(
            self.view, outcome, self.latency_s, report, now, self.routed.rule
        )

    def give_up(self):
        """Cancel what still runs."""
        if self.sender is not None:
            self.sender.cancel()
        self.call.result.on_set = None
        self.call.cancel()
        self.end(Outcome.CANCELLED, None)

    async def _send_rest(self):
        body = self.routed.request.body
        try:
            # Without credit the call may still be refused and sent elsewhere, so the
            # rest of the body is not taken from the caller before.
            await self.call.window.wait()
            self.routed.body_started = True
            ended = False
            while not ended:
                data = await body.read()
                ended = body.exhausted
                await self.call.send_body(data, ended)
        except CallerError as exc:
            self.call.abort(exc)
        except (LinkError, CallFailed):
            # The outcome of the call tells the same.
            return


def _failure_from(error):
    if isinstance(error, CallFailed):
        return error.failure
    return Failed(0, FailureKind.BROKEN, str(error), None)
