"""Offers, retries and the final response to one caller's request."""

from goldcresthoist.balance import Outcome
from goldcresthoist.callers import CallerGone
from goldcresthoist.callers.refusal import STATUS_BY_CODE
from goldcresthoist.clock import monotonic
from goldcresthoist.daemon.attempt import Attempt
from goldcresthoist.daemon.relay import relay_response
from goldcresthoist.daemon.request_matching import fingerprint
from goldcresthoist.http_fields import header_value, requested_host
from goldcresthoist.links import LinkClosed
from goldcresthoist.links.frames import Failed, FailureKind, Head, Open, Refuse
from goldcresthoist.node.hedging import MIN_TIME_LEFT_SHARE, RouteAdapter
from goldcresthoist.node.outcomes import is_final, outcome_code
from goldcresthoist.node.serving import MAX_CRASHES
from goldcresthoist.node.transfers import CALL_BYTES
from goldcresthoist.platform.fields import upstream_headers
from goldcresthoist.workspaces import combined_priority

__all__ = ["EntryRequest"]

# A request body of up to this size is sent in the `Open` frame and kept for retries. A
# larger body is streamed after the serving daemon has assigned a slot; only its first
# bytes are sent with each offer. They tell requests to one path apart.
MAX_PREFIX_BYTES = 8 * 1024
LARGE_PREFIX_BYTES = 1024
# Largest number of offers of one request before it is refused.
MAX_OFFERS = 5
# Number of offers that are left to a retry at least.
RETRY_OFFERS = 3
# Bounds of the Retry-After of refusals.
MIN_RETRY_AFTER_S = 0.08
MAX_RETRY_AFTER_S = 1.0
# Retry-After of requests that can no longer meet their soft deadline, as a share of the
# time left until their deadline. Callers wait before a retry for at most a third of the
# time that they have left.
LATE_RETRY_AFTER_SHARE = 0.33
# A request is not retried once this many upstreams have crashed while it was running.
MAX_RETRIED_CRASHES = 2


class EntryRequest:
    """Offers a request to upstreams until one responds or a limit is reached.

    An offer sends the request to the serving daemon of one upstream. The serving daemon
    may refuse it without involving the upstream; such a refusal counts neither against
    the route's ``max_attempts`` nor against the retry budget.

    The outcome of an offer is a `Head`, `Refuse` or `Failed` message. It is final when
    `is_final` says so.

    Parameters
    ----------
    entry : EntryServer
    route : Route
        Route that the request matches.
    table : RoutingTable
        Configuration from which the route was taken.
    request, exchange
        The request of the caller, and the exchange that takes the response.
    fields : RequestFields
    wait_s : float
        Time in seconds for which the caller waits.
    workspace : Workspace or None
        Workspace of the request; None when it has none.

    Attributes
    ----------
    deadline : float
        Monotonic time at which the caller gets an error instead of a response
        from an upstream.
    caller_deadline : float
        Monotonic time until which the caller waits.
    first_sent : float
        Monotonic time at which the caller first sent this request.
    state : RouteState
    rule : WorkRule
        Gives the usual time of the route at the arrival of the request.
    priority : int
        Rank of the request under overload; lower numbers are served first.
    service : ServiceState
        Service that was chosen for the request.
    prefix : bytes
        Start of the request body, which is sent with each offer; up to
        `LARGE_PREFIX_BYTES` when the ``Content-Length`` exceeds `MAX_PREFIX_BYTES`.
    body_complete : bool
        Whether `prefix` is the whole body.
    body_started : bool
        Whether the rest of the body is being streamed to a serving daemon, which makes
        a retry impossible.
    crash_count : int
        Number of upstream crashes that are attributed to the request, those of earlier
        requests with the same fingerprint included. The serving daemon gets it with
        each offer, since its own memory may have been lost in a restart.
    attempts : list of Attempt
        All offers that were sent, hedges included.
    unanswered : set of Attempt
        Those of them that have no outcome.
    offers : int
        Number of offers so far, including those that failed because the link was
        closed.
    is_last_offer : bool
        Whether the current offer is the last one; see `_offer_next`.
    upstream_attempts : int
        Number of offers that reached an upstream and ended without a final outcome.
    retry_after_s : float
        Longest Retry-After, in seconds, of the serving daemons that refused the
        request.
    reserved_bytes : int
        Bytes that are reserved in the `TransferBudget` for the responses.
    transfer_denied : bool
        Whether an offer was not made because this budget was used up.
    outcome : str
        Value of the ``outcome`` label in the metrics and in the log.
    exclude : list of UpstreamView
        Upstreams that the request was already offered to; after a failure only
        `failed_views`.
    failed_views : list of UpstreamView
        Upstreams at which the request failed, or that refused it themselves.
    decisions : list of dict
        Offers and their results, for the log.
    """

    __slots__ = (
        "arrived",
        "attempts",
        "body_complete",
        "body_started",
        "caller_deadline",
        "crash_count",
        "deadline",
        "decisions",
        "entry",
        "exchange",
        "exclude",
        "failed_views",
        "fields",
        "fingerprint",
        "first_sent",
        "headers",
        "host",
        "is_last_offer",
        "loop",
        "offers",
        "outcome",
        "prefix",
        "priority",
        "request",
        "reserved_bytes",
        "retry_after_s",
        "route",
        "router",
        "rule",
        "service",
        "state",
        "target",
        "transfer_denied",
        "unanswered",
        "upstream_attempts",
        "version",
        "workspace",
    )

    def __init__(
        self, entry, route, table, request, exchange, fields, wait_s, workspace=None
    ):
        self.entry = self.router = entry
        self.loop = entry.loop
        self.request = request
        self.exchange = exchange
        self.fields = fields
        self.version = table.version
        self.arrived = now = monotonic()
        # Either the route's time-out or the caller's deadline, whichever is earlier.
        self.deadline = now + min(wait_s, route.timeout_s)
        self.caller_deadline = now + wait_s
        self.state = entry.services.route(route)
        self.rule = self.state.rule
        # `_read_prefix` sets an earlier time for a request that the caller repeats.
        self.first_sent = now
        selected = self.state.service_selector.next()
        self.service = entry.services.service(selected.service)
        # `Attempt` and `relay_response` read their attributes from this adapter.
        self.route = RouteAdapter(self.state, selected.service)
        self.target = request.target
        self.host = requested_host(request.headers)
        self.workspace = workspace
        self.priority = route.priority
        name = None
        if table.workspaces is not None:
            self.priority = combined_priority(route.priority, workspace)
            name = "" if workspace is None else workspace.name
        self.headers = upstream_headers(request.headers, entry.caller_service, name)
        self.prefix = b""
        self.body_complete = request.body.exhausted
        self.body_started = False
        self.fingerprint = b""
        self.crash_count = 0
        self.exclude = []
        self.failed_views = []
        self.attempts = []
        self.unanswered = set()
        self.offers = 0
        self.is_last_offer = False
        self.upstream_attempts = 0
        self.retry_after_s = 0.0
        self.reserved_bytes = 0
        self.transfer_denied = False
        self.outcome = "abandoned"
        self.decisions = []

    async def run(self):
        """Offer the request to upstreams and send the response to the caller.

        Raises
        ------
        CallerError
            When the caller disconnects or sends invalid bytes.
        TimeoutError
            When the deadline passes while the response is relayed.
        """
        await self._read_prefix()
        self.service.budget.record_request(
            self.entry.server.retried_share(self.service.name)
        )
        self.entry.hedging.record_request(self)
        self.crash_count = self.entry.server.suspects.count(
            self.fingerprint, monotonic()
        )
        if self.crash_count >= MAX_CRASHES:
            self._refuse_suspect()
            return
        outcome = None
        attempt = self.offer()
        try:
            while attempt is not None:
                attempt, outcome = await self.entry.hedging.await_outcome(self, attempt)
                if is_final(outcome):
                    break
                following = await self._start_retry(attempt, outcome)
                if following is None:
                    break
                attempt = following
            await self._respond(attempt, outcome)
        finally:
            for item in self.attempts:
                item.cancel_pending()

    @property
    def soft_deadline(self):
        """Monotonic time until which the response has its full value.

        It counts from the caller's first attempt, so that repeating a refused request
        gains no time.
        """
        return self.first_sent + self.state.route.aim_s

    def open_message(self, call_id, now, hedge):
        """Return the `Open` message of one offer.

        Parameters
        ----------
        call_id : int
            Identifies the call on its link; 0 for a call to the local upstream.
        now : float
            Monotonic seconds.
        hedge : bool
            Whether the offer is a hedge.
        """
        route = self.state.route
        return Open(
            call_id,
            self.service.name,
            self.rule.name,
            self.request.method,
            self.target,
            self.headers,
            max(0, int((self.deadline - now) * 1e6)),
            "",
            self.fingerprint,
            self.crash_count,
            self.prefix,
            self.body_complete,
            hedge,
            self.priority,
            max(0, int((self.soft_deadline - now) * 1e6)),
            self.count_alternatives(now),
            route.repeatable,
            "" if self.workspace is None else self.workspace.name,
            hedge or self.upstream_attempts > 0,
            self.entry.hedging.needs_spare_slot(hedge),
        )

    def on_deadline(self):
        """Send an error response because the deadline, or that of a stop, has passed.

        A request that no upstream can have executed is refused, since callers may then
        repeat it whatever its kind is.
        """
        if self.exchange.finished:
            return
        stop = self.entry.stop
        cut_off = stop is not None and stop.cut_off_at < self.deadline
        self.outcome = "cut-off" if cut_off else "deadline"
        request_id = self.fields.request_id
        if self.may_have_run():
            code = "stopping" if cut_off else "deadline-exceeded"
            self.entry.refuse(self.exchange, 504, code, request_id)
        else:
            code = "stopping" if cut_off else "deadline"
            retry_after_s = self._retry_after_s()
            self.entry.refuse(self.exchange, 503, code, request_id, retry_after_s)

    def on_caller_error(self, error):
        """End the exchange after the caller disconnected or sent an invalid body."""
        exchange = self.exchange
        if isinstance(error, CallerGone):
            self.outcome = "caller-gone"
            if not exchange.finished:
                exchange.abort()
            return
        self.outcome = "invalid-body"
        status = STATUS_BY_CODE[error.code]
        self.entry.refuse(exchange, status, error.code, self.fields.request_id)

    def finish(self):
        """Release the memory, record the metrics and write the log line."""
        self.entry.transfers.give_back(self.reserved_bytes)
        now = monotonic()
        status = self.exchange.status if self.exchange.started else 0
        if self.fingerprint and not 200 <= status < 300:
            self.entry.client_retries.record(
                self.fingerprint, self.first_sent, self.caller_deadline
            )
        self.entry.counters.add("requests", route=self.rule.name, outcome=self.outcome)
        self.entry.counters.observe(
            "request_seconds", now - self.arrived, outcome=self.outcome
        )
        request_id = self.fields.request_id
        self.entry.log.event(
            "request",
            id=request_id.decode("latin-1") if request_id else None,
            route=self.rule.name,
            service=self.service.name,
            version=self.version,
            **({} if self.workspace is None else {"workspace": self.workspace.name}),
            outcome=self.outcome,
            status=status,
            first_sent_ms=round((self.arrived - self.first_sent) * 1000),
            ms=round((now - self.arrived) * 1000, 1),
            decisions=self.decisions,
        )

    async def _read_prefix(self):
        """Read the body if it is small, and find the first attempt of the request."""
        body = self.request.body
        if not self.body_complete:
            self.exchange.send_continue()
            length = self.request.content_length
            is_large = length is not None and length > MAX_PREFIX_BYTES
            limit = LARGE_PREFIX_BYTES if is_large else MAX_PREFIX_BYTES
            self.prefix = await body.read_up_to(limit)
            self.body_complete = body.exhausted
        # Another host or workspace may have other work at the same path.
        caller = f"{self.entry.caller_service.decode()} {self.host}"
        if self.workspace is not None:
            caller += f" {self.workspace.name}"
        self.fingerprint = fingerprint(
            caller,
            self.request.method,
            self.target,
            self.request.content_length,
            self.prefix,
        )
        client_retries = self.entry.client_retries
        self.first_sent = client_retries.pop_first_attempt(
            self.fingerprint, self.arrived
        )

    def count_alternatives(self, now):
        if self.is_last_offer or self.offers >= MAX_OFFERS:
            return 0
        return self.entry.services.count_alternatives(self.service, now, self.exclude)

    def offer(self, hedge=False):
        """Offer the request to the best remaining upstream.

        Parameters
        ----------
        hedge : bool
            Whether the offer is a hedge. `MAX_OFFERS` does not limit hedges here.

        Returns
        -------
        Attempt or None
            None when no upstream is left or `MAX_OFFERS` is reached.
        """
        if not self._reserve_transfer():
            return None
        size = max(self.request.content_length or 0, len(self.prefix))
        size += self.state.response_bytes
        while self.offers < MAX_OFFERS or hedge:
            now = monotonic()
            choice = self.entry.services.choose(
                self.service, self.rule, now, self.exclude, size
            )
            if choice is None:
                return None
            view, peer = choice
            self.exclude.append(view)
            self.offers += 1
            try:
                attempt = Attempt(self, view, peer, hedge)
            except LinkClosed:
                # The link closed before the request was sent.
                continue
            self.attempts.append(attempt)
            self.unanswered.add(attempt)
            self.decisions.append(self._offer_record(view, now, hedge))
            return attempt
        return None

    def _reserve_transfer(self):
        """Reserve memory for the response of one more offer, if it will be large."""
        if not self.state.route.large_responses:
            return True
        if not self.entry.transfers.try_take(CALL_BYTES):
            self.transfer_denied = True
            self.decisions.append({"offer": "denied", "reason": "transfer-memory"})
            return False
        self.reserved_bytes += CALL_BYTES
        return True

    def _offer_next(self):
        """Offer the request to another upstream, finally once more to the best one.

        Serving daemons refuse a request more readily while it has alternatives. When
        all of them have refused, the one whose upstream has the shortest expected time
        gets one last offer that states no alternatives, and accepts it if the upstream
        has any capacity.
        """
        attempt = self.offer()
        if attempt is None and self.offers > 1 and not self.is_last_offer:
            self.is_last_offer = True
            self.exclude.clear()
            self.offers = min(self.offers, MAX_OFFERS - 1)
            attempt = self.offer()
        return attempt

    def _offer_record(self, view, now, hedge):
        """Return the entry of ``decisions`` for an offer."""
        return {
            "to": view.instance,
            "hedge": hedge,
            "ms": round((now - self.arrived) * 1000, 1),
            "load": view.in_flight + round(view.calls_of_others),
            "load_age_ms": int((now - view.report_made_at) * 1000),
            "pace": round(view.pace, 2),
            "pace_age_ms": int((now - view.pace_time) * 1000),
        }

    async def _start_retry(self, attempt, outcome):
        """Return a further attempt after one whose outcome is not final.

        Returns
        -------
        Attempt or None
            None when a limit of the request forbids a retry or no upstream is left.
        """
        self.record_unsuccessful(attempt, outcome)
        now = monotonic()
        left_s = self.deadline - now
        route = self.state.route
        if self.body_started or left_s < MIN_TIME_LEFT_SHARE * self.rule.usual_s:
            return None
        if isinstance(outcome, Refuse) and outcome.code != "upstream-refused":
            # The serving daemon refused without involving its upstream, so the next
            # offer takes nothing from the retry budget.
            return None if outcome.code == "crash-suspect" else self._offer_next()
        if self.upstream_attempts >= route.max_attempts:
            return None
        if not isinstance(outcome, Refuse) and not route.repeatable:
            return None
        if self.crash_count >= MAX_RETRIED_CRASHES:
            return None
        if now + self.rule.usual_s <= self.soft_deadline:
            self._renew_offers()
        if not self.count_alternatives(now):
            return None
        if not self.service.budget.try_take():
            self.entry.counters.add("retries_denied")
            self.decisions.append({"retry": "denied", "reason": outcome_code(outcome)})
            return None
        retry = self.offer()
        if retry is None:
            self.service.budget.refund()
        else:
            self.entry.counters.add("retries", reason=outcome_code(outcome))
        return retry

    def _renew_offers(self):
        """Allow offers again after a failure, also to upstreams that refused before.

        Under load a request is refused several times before it runs, which must not
        take the place of a retry that can be in time.
        """
        self.exclude = list(self.failed_views)
        self.offers = min(self.offers, MAX_OFFERS - RETRY_OFFERS)
        self.is_last_offer = False

    def record_unsuccessful(self, attempt, outcome):
        """Record an outcome that is not final, and end its attempt."""
        self.unanswered.discard(attempt)
        if self.reserved_bytes:
            self.reserved_bytes -= CALL_BYTES
            self.entry.transfers.give_back(CALL_BYTES)
        self.decisions.append(
            {
                "from": attempt.view.instance,
                "got": outcome_code(outcome),
                "ms": round((monotonic() - self.arrived) * 1000, 1),
            }
        )
        match outcome:
            case Refuse(code="no-upstream"):
                attempt.end(Outcome.FAILED, outcome.load)
            case Refuse():
                if outcome.code == "upstream-refused":
                    self.failed_views.append(attempt.view)
                    self.upstream_attempts += 1
                self.entry.hedging.record_refusal(self, attempt, outcome)
                self.retry_after_s = max(
                    self.retry_after_s, outcome.retry_after_ms / 1000.0
                )
                attempt.end(Outcome.REFUSED, outcome.load)
            case Failed(kind=FailureKind.CRASHED):
                self.failed_views.append(attempt.view)
                self.upstream_attempts += 1
                self.crash_count = max(outcome.crash_count, self.crash_count + 1)
                attempt.end(Outcome.FAILED, outcome.load)
            case Failed() | Head():
                self.failed_views.append(attempt.view)
                self.upstream_attempts += 1
                attempt.end(Outcome.FAILED, outcome.load)

    async def _respond(self, attempt, outcome):
        """Send the response; ``outcome`` is None when there was no upstream."""
        request_id = self.fields.request_id
        match outcome:
            case Head():
                self.outcome = "answered" if is_final(outcome) else "upstream-error"
                length = header_value(outcome.headers, b"content-length")
                if length is not None and outcome.status == 200:
                    self.state.record_response_size(int(length))
                await relay_response(self, attempt, outcome)
            case Failed(kind=FailureKind.TIMED_OUT):
                self.outcome = "timed-out"
                self.entry.refuse(self.exchange, 504, "deadline-exceeded", request_id)
            case Failed():
                self.outcome = "failed"
                self.entry.refuse(self.exchange, 502, "upstream-failed", request_id)
            case _ if self.may_have_run():
                self.outcome = "failed"
                self.entry.refuse(self.exchange, 502, "upstream-failed", request_id)
            case Refuse(code=code):
                self.outcome = "refused"
                self.entry.refuse(
                    self.exchange, 503, code, request_id, self._retry_after_s()
                )
            case None if self.transfer_denied:
                self.outcome = "refused"
                self.entry.refuse(
                    self.exchange, 503, "saturated", request_id, self._retry_after_s()
                )
            case None:
                self.outcome = "no-upstream"
                self.entry.refuse(
                    self.exchange, 503, "no-upstream", request_id, self._retry_after_s()
                )

    def _refuse_suspect(self):
        """Refuse a request that has crashed too many upstreams."""
        self.outcome = "refused"
        self.decisions.append({"refused": "crash-suspect", "crashes": self.crash_count})
        self.entry.refuse(
            self.exchange,
            503,
            "crash-suspect",
            self.fields.request_id,
            self._retry_after_s(),
        )

    def may_have_run(self):
        """Return whether an upstream may have executed the request, or still may."""
        return bool(self.unanswered) or any(
            item.get("got", "").startswith("!") for item in self.decisions
        )

    def _retry_after_s(self):
        """Return the delay after which the caller may repeat the request, in seconds.

        While the request can meet its soft deadline, the delay is short. Afterwards it
        is longer: the load peak may be over by then, and capacity is left for requests
        that can still meet theirs.
        """
        now = monotonic()
        min_s = MIN_RETRY_AFTER_S
        if now + self.rule.usual_s > self.soft_deadline:
            min_s = max(min_s, LATE_RETRY_AFTER_SHARE * (self.deadline - now))
        return min(MAX_RETRY_AFTER_S, max(min_s, self.retry_after_s))
