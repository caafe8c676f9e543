"""One attempt to run a call at one upstream."""

from goldcresthoist.balance import Outcome
from goldcresthoist.callers import CallerError
from goldcresthoist.clock import monotonic
from goldcresthoist.links import CallFailed, LinkClosed, LinkError, LocalCall
from goldcresthoist.links.frames import Failed, FailureKind, Head

__all__ = ["Attempt"]


class Attempt:
    """Wraps an `OutgoingCall` or `LocalCall` and records its start and end.

    Parameters
    ----------
    routed : RoutedCall
        The request of the caller.
    view : UpstreamView
        The upstream to which the call is sent.
    peer
        The link to the serving daemon; None for the local upstream.
    hedge : bool
        Whether the attempt is a second copy of a read that is still running.

    Raises
    ------
    LinkClosed
        When the link is closed; nothing was sent or recorded then.
    """

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
            # The start is recorded after this, since `call` may raise LinkClosed.
            self.call = peer.link.call(
                lambda call_id: routed.open_message(call_id, now, hedge)
            )
        self.chooser.record_start(view, now)
        if not routed.body_complete:
            self.sender = routed.loop.create_task(self._send_remaining_body())

    async def outcome(self, timeout_s=None):
        """Return the `Head`, `Refuse` or `Failed` message that the call got.

        Returns None if there is none after ``timeout_s`` seconds. Without ``timeout_s``
        the wait is unlimited.
        """
        try:
            outcome = await self.call.result.wait(timeout_s)
            error = self.call.body.error
            if error is not None and type(outcome) is Head:
                # The response was cut off before its head was processed.
                outcome = _failure_for(error)
        except LinkClosed as exc:
            outcome = _failure_for(exc)
        self.latency_s = monotonic() - self.started_at
        return outcome

    def end(self, outcome, load):
        """Record how the attempt ended; only the first call has an effect.

        Parameters
        ----------
        outcome : goldcresthoist.balance.Outcome
        load : LoadReport or None
            Load in the response. It is used only for the local upstream.
        """
        if self.ended:
            return
        self.ended = True
        now = monotonic()
        # The load of other daemons is recorded when their report arrives on the link.
        report = load if self.local else None
        self.chooser.record_end(
            self.view, outcome, self.latency_s, report, now, self.routed.rule
        )

    def cancel_pending(self):
        """Cancel the call unless it has ended."""
        if self.sender is not None:
            self.sender.cancel()
        self.call.result.on_set = None
        self.call.cancel()
        self.end(Outcome.CANCELLED, None)

    async def _send_remaining_body(self):
        body = self.routed.request.body
        try:
            # The peer can still refuse the call until it grants credit, and the call is
            # then retried at another upstream. The rest of the body is therefore not
            # read from the caller before: it is not buffered, so a retry would lack it.
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
            # `outcome` reports the same failure.
            return


def _failure_for(error):
    if isinstance(error, CallFailed):
        return error.failure
    return Failed(0, FailureKind.BROKEN, str(error), None)
