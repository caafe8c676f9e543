"""One request of a caller, with its retries and hedges."""

import asyncio

from goldcresthoist.balance import Outcome
from goldcresthoist.callers import Refusal
from goldcresthoist.clock import monotonic
from goldcresthoist.config.model import Read
from goldcresthoist.daemon.attempt import Attempt
from goldcresthoist.daemon.crash_report import report_crash
from goldcresthoist.daemon.kinds import FAILURE_STATUSES, RETRYABLE_KINDS
from goldcresthoist.daemon.refusals import (
    MAX_CRASHES,
    RETRYABLE_CODES,
    refusal_after_failure,
    refusal_from_frame,
)
from goldcresthoist.daemon.relay import (
    record_success,
    relay_complete_response,
    relay_response,
)
from goldcresthoist.daemon.request_matching import fingerprint
from goldcresthoist.links import LinkClosed
from goldcresthoist.links.frames import Failed, FailureKind, Head, Open, Refuse

__all__ = ["MAX_RETRY_BODY_BYTES", "RoutedCall"]

# The first bytes of a request body are buffered for retries. A call with a larger body
# can be retried until its upstream has granted flow-control credit for the rest.
MAX_RETRY_BODY_BYTES = 64 * 1024
# Longest single wait until the first connection attempt to any upstream ends.
LINK_WAIT_TIMEOUT_S = 1.0
# When the last upstream of a service is replaced, every daemon knows the replacement
# well within this time.
UPSTREAM_WAIT_TIMEOUT_S = 3.0
UPSTREAM_POLL_INTERVAL_S = 0.05
# Calls of one service that may wait for an upstream at a time. This bounds the memory
# that they take.
MAX_WAITING_CALLS = 500


class RoutedCall:
    """Sends a request to upstreams until one responds, within the retry budget.

    Parameters
    ----------
    router : CallRouter
    route : ServiceRoute
    rule : WorkRule
    request : CallerRequest
    exchange : Exchange
        Sends the response to the caller.
    target : str
        Request target at the upstream, without the service.
    """

    __slots__ = (
        "attempts",
        "body_complete",
        "body_started",
        "crash_count",
        "deadline",
        "exchange",
        "exclude",
        "fingerprint",
        "first_attempt_made",
        "headers",
        "key",
        "loop",
        "prefix",
        "relayed",
        "request",
        "route",
        "router",
        "rule",
        "started",
        "started_at",
        "target",
    )

    def __init__(self, router, route, rule, request, exchange, target):
        self.router = router
        self.route = route
        self.rule = rule
        self.request = request
        self.exchange = exchange
        self.started_at = now = monotonic()
        # The request may have arrived during a pause of this process.
        sent_at = now - router.server.pauses.input_age_s()
        self.deadline = sent_at + (request.deadline_s or rule.longest_s)
        self.loop = router.loop
        self.target = target
        request_id = request.request_id or router.new_request_id()
        self.headers = (*request.headers, (b"goldcrest-request-id", request_id))
        self.key = request.key
        # First bytes of the body, kept for retries and for the fingerprint.
        self.prefix = b""
        self.body_complete = request.body.exhausted
        self.fingerprint = self._fingerprint()
        # Whether an attempt sends the body after the prefix. Then no retry is possible.
        self.body_started = False
        # Number of upstreams that crashed while they ran the request.
        self.crash_count = 0
        # Views of the upstreams that were already chosen for this call.
        self.exclude = ()
        self.attempts = []
        self.first_attempt_made = False
        # Whether `_relay_if_complete` has sent the response to the caller.
        self.relayed = False
        # Whether an upstream may have run the request.
        self.started = False

    def open_message(self, call_id, now, hedge):
        """Return the `Open` message of one attempt."""
        return Open(
            call_id,
            self.route.name,
            self.rule.name,
            self.request.method,
            self.target,
            self.headers,
            max(0, int((self.deadline - now) * 1e6)),
            self.key,
            self.fingerprint,
            self.crash_count,
            self.prefix,
            self.body_complete,
            hedge,
        )

    def take_complete_body(self):
        """Buffer a body that was received completely, for retries."""
        if not self.body_complete:
            self.prefix = self.request.body.take()
            self.body_complete = True
            self.fingerprint = self._fingerprint()

    async def buffer_body_prefix(self):
        """Wait for the first bytes of the body and buffer them for retries."""
        self.exchange.send_continue()
        body = self.request.body
        async with asyncio.timeout(self.deadline - monotonic()):
            self.prefix = await body.read_up_to(MAX_RETRY_BODY_BYTES)
        self.body_complete = body.exhausted
        self.fingerprint = self._fingerprint()

    def send_first_attempt(self):
        """Send the request to an upstream without waiting.

        Nothing is sent if no upstream can be reached; `run` then waits for one.
        """
        self.first_attempt_made = True
        self.route.budget.record_call()
        attempt = self._start_attempt()
        if attempt is not None:
            attempt.call.result.on_set = self._relay_if_complete

    def _relay_if_complete(self, head):
        """Relay a complete successful response from the callback that received it.

        The task of the call does the accounting later, so that the caller does not
        wait for it.
        """
        if type(head) is Head and head.end and head.status not in FAILURE_STATUSES:
            if not self.exchange.started and not self.exchange.connection.closed:
                self.relayed = relay_complete_response(self, self.attempts[0], head)

    async def run(self):
        """Run the request and send the response to the caller."""
        if not self.first_attempt_made:
            self.send_first_attempt()
        attempt = (
            self.attempts[0] if self.attempts else await self._attempt_after_link_wait()
        )
        if attempt is None:
            if monotonic() >= self.deadline:
                raise TimeoutError
            message = f"no upstream of {self.route.name} can be reached"
            self.router.refuse(self.exchange, "no-upstream", message, 1000)
            return
        try:
            while True:
                attempt, outcome = await self._await_or_hedge(attempt)
                if self.relayed:
                    break
                retry = await self._retry(attempt, outcome)
                if retry is None:
                    break
                attempt = retry
            if self.relayed:
                record_success(self, self.attempts[0])
            else:
                await self._answer(attempt, outcome)
        finally:
            self.cancel_pending()

    def cancel_pending(self):
        """Cancel all attempts that are still running."""
        for attempt in self.attempts:
            attempt.cancel_pending()
        # Attempts refer to this call. The list is cleared to break the reference cycle,
        # since garbage collections would pause other calls.
        self.attempts.clear()

    def on_deadline(self):
        """Refuse a request whose deadline has passed, or abort its response."""
        if self.exchange.finished:
            return
        if self.exchange.started:
            self.exchange.abort()
            return
        message = "the deadline passed"
        if self.started:
            failure = Failed(0, FailureKind.TIMED_OUT, message, None)
            refusal = refusal_after_failure(self.rule.kind, failure)
        else:
            refusal = Refusal("deadline-exceeded", message)
        self.router.answer(self.exchange, refusal)

    def _fingerprint(self):
        request = self.request
        return fingerprint(
            self.route.name,
            request.method,
            self.target,
            request.content_length,
            self.prefix,
        )

    async def _attempt_after_link_wait(self):
        """Wait for the first link of the service to open and start an attempt.

        Returns None when no upstream can be reached in time.
        """
        attempt = self._start_attempt()
        while attempt is None:
            wait_s = min(LINK_WAIT_TIMEOUT_S, self.deadline - monotonic())
            if not await self.route.wait_for_link(wait_s):
                break
            attempt = self._start_attempt()
        return attempt or await self._attempt_after_upstream_wait()

    async def _attempt_after_upstream_wait(self):
        """Wait until an upstream can be reached and start an attempt there.

        This covers the time between the drain of the last upstream of a service and
        the start of its replacement. Returns None when no upstream becomes available
        in time, or when too many calls are waiting already.
        """
        route = self.route
        if route.waiting_calls >= MAX_WAITING_CALLS:
            return None
        wait_deadline = min(self.deadline, monotonic() + UPSTREAM_WAIT_TIMEOUT_S)
        attempt = None
        route.waiting_calls += 1
        try:
            while attempt is None and monotonic() < wait_deadline:
                await asyncio.sleep(UPSTREAM_POLL_INTERVAL_S)
                attempt = self._start_attempt()
        finally:
            route.waiting_calls -= 1
        return attempt

    def _start_attempt(self, hedge=False):
        """Send the request to an upstream that was not chosen before.

        Returns None when no such upstream can be reached.
        """
        while True:
            choice = self.route.choose(self.rule, monotonic(), self.exclude)
            if choice is None:
                return None
            view, peer = choice
            self.exclude = (*self.exclude, view)
            try:
                attempt = Attempt(self, view, peer, hedge)
            except LinkClosed:
                # Nothing was sent.
                continue
            self.attempts.append(attempt)
            self.started = True
            return attempt

    async def _await_or_hedge(self, attempt):
        """Wait for the outcome of an attempt; hedge a read that takes too long.

        Returns the attempt whose outcome counts, and that outcome.
        """
        if not isinstance(self.rule.kind, Read) or not self.body_complete:
            return attempt, await self._await_outcome(attempt)
        delay_s = self.route.hedges.delay_s(self.rule)
        if delay_s >= self.deadline - monotonic():
            return attempt, await self._await_outcome(attempt)
        outcome = await attempt.outcome(delay_s)
        if outcome is not None:
            return attempt, outcome
        hedge = self._start_hedge()
        if hedge is None:
            return attempt, await self._await_outcome(attempt)
        return await self._race_attempts(attempt, hedge)

    async def _await_outcome(self, attempt):
        """Wait for the outcome; raise `TimeoutError` at the deadline."""
        outcome = await attempt.outcome(self.deadline - monotonic())
        if outcome is None:
            raise TimeoutError
        return outcome

    def _start_hedge(self):
        if len(self.attempts) > 1 or not self.route.budget.try_hedge():
            return None
        hedge = self._start_attempt(hedge=True)
        if hedge is not None:
            self.router.counters.add("hedges", service=self.route.name)
        return hedge

    async def _race_attempts(self, *attempts):
        """Return the first attempt that gets a final response, and its outcome.

        The other attempt is cancelled. If none gets a final response, the attempt that
        failed last is returned.
        """
        tasks = {self.loop.create_task(item.outcome()): item for item in attempts}
        try:
            while True:
                done, _ = await asyncio.wait(
                    tasks,
                    timeout=self.deadline - monotonic(),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    raise TimeoutError
                for task in done:
                    attempt, outcome = tasks.pop(task), task.result()
                    if _is_final_response(outcome) or not tasks:
                        self._cancel_others(attempt)
                        return attempt, outcome
                    await self._record_failure(attempt, outcome)
        finally:
            for task in tasks:
                task.cancel()

    def _cancel_others(self, winner):
        for attempt in self.attempts:
            if attempt is not winner:
                attempt.cancel_pending()

    async def _retry(self, attempt, outcome):
        """Start another attempt after a failure or a refusal.

        Returns None when the outcome is final: it is a final response, a retry is not
        allowed, or no other upstream can be reached.
        """
        if _is_final_response(outcome):
            return None
        await self._record_failure(attempt, outcome)
        reason = self._retry_reason(outcome)
        if reason is None or self.body_started:
            return None
        if not self._may_retry(reason):
            self.router.counters.add("retries_denied")
            return None
        retry = self._start_attempt()
        if retry is None and reason == "draining":
            retry = await self._attempt_after_upstream_wait()
        if retry is not None:
            self.router.counters.add("retries", reason=reason)
            attempt.cancel_pending()
        return retry

    def _may_retry(self, reason):
        budget = self.route.budget
        match reason:
            case "draining":
                # These retries are not charged to the budget, so that a planned stop
                # fails no call. They are few, because a draining upstream announces
                # its state to all daemons at once.
                return True
            case FailureKind.CRASHED | FailureKind.BROKEN:
                return budget.try_retry_after_crash()
        return budget.try_retry()

    def _retry_reason(self, outcome):
        """Return why a call with this outcome can be retried, or None if it cannot.

        The reason is a refusal code, a `FailureKind` or ``"failed-status"``. A refused
        call did not run, so it can be retried for work of any kind.
        """
        repeatable = isinstance(self.rule.kind, RETRYABLE_KINDS)
        match outcome:
            case Refuse(code=code):
                return code if code in RETRYABLE_CODES else None
            case Failed(kind=FailureKind.TIMED_OUT):
                return None
            case Failed(kind=kind) if repeatable and self.crash_count < MAX_CRASHES:
                return kind
            case Head() if repeatable:
                return "failed-status"
        return None

    async def _record_failure(self, attempt, outcome):
        """Record the end of an attempt that got no final response.

        A crash is also reported to the other daemons of the service.
        """
        match outcome:
            case Refuse(code="no-upstream"):
                # The serving daemon responds, but its upstream accepts no connections.
                attempt.end(Outcome.FAILED, outcome.load)
            case Refuse():
                attempt.end(Outcome.REFUSED, outcome.load)
            case Failed(kind=FailureKind.TIMED_OUT):
                attempt.end(Outcome.CANCELLED, outcome.load)
            case Failed(kind=FailureKind.CRASHED):
                attempt.end(Outcome.FAILED, outcome.load)
                self.crash_count = max(outcome.crash_count, self.crash_count + 1)
                await report_crash(self, attempt)
            case _:
                attempt.end(Outcome.FAILED, outcome.load)

    async def _answer(self, attempt, outcome):
        match outcome:
            case Head():
                await relay_response(self, attempt, outcome)
            case Refuse():
                self.router.answer(self.exchange, refusal_from_frame(outcome))
            case Failed():
                refusal = refusal_after_failure(
                    self.rule.kind, outcome, self.crash_count
                )
                self.router.answer(self.exchange, refusal)


def _is_final_response(outcome):
    return type(outcome) is Head and outcome.status not in FAILURE_STATUSES
