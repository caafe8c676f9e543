"""Hedges, that is, second copies of slow requests, and the race of both copies."""

import asyncio

from goldcresthoist.balance import HedgeDecision, aim_delay_s
from goldcresthoist.clock import monotonic
from goldcresthoist.node.outcomes import is_final

__all__ = ["MIN_TIME_LEFT_SHARE", "Hedging", "RouteAdapter"]

# No retry is sent when less than this share of the usual time of the work is left until
# the deadline, because its response would come too late. Nor is a hedge without the
# operator's limit, which has a stricter rule.
MIN_TIME_LEFT_SHARE = 0.7


class Hedging:
    """Sends hedges for the requests of one entry daemon.

    Parameters
    ----------
    limit : HedgeLimit or None
        Limit of the operator. Without it, hedges are sent after a share of the route's
        ``aim_s``, and serving daemons may queue them.
    counters
        Has ``add(name, amount=1, **labels)``.
    """

    def __init__(self, limit, counters):
        self.limit = limit
        self.counters = counters

    def record_request(self, request):
        """Count an `EntryRequest` before its first offer."""
        if self.limit is not None:
            repeatable = request.state.route.repeatable
            self.limit.record_request(request.service.name, repeatable, monotonic())

    def record_refusal(self, request, attempt, refusal):
        """Count a `Refuse`; return the budgets of a hedge that reached no upstream."""
        if refusal.code == "upstream-refused":
            return
        if attempt.hedge:
            request.service.budget.refund()
        if self.limit is None:
            return
        if attempt.hedge:
            self.limit.refund()
            self.counters.add("hedges_refused", service=request.service.name)
        elif refusal.code == "saturated":
            self.limit.record_refusal(request.service.name, refusal.load, monotonic())

    def keep_routes(self, names):
        """Discard what is known of all routes but those of these names."""
        if self.limit is not None:
            self.limit.keep_routes(names)

    def needs_spare_slot(self, hedge):
        """Return whether an offer may start only on a slot that no other call needs."""
        return hedge and self.limit is not None

    async def await_outcome(self, request, attempt):
        """Wait for an outcome, sending a hedge after a delay if that is allowed.

        Parameters
        ----------
        request : EntryRequest
        attempt : Attempt

        Returns
        -------
        (Attempt, Head or Refuse or Failed)
            The attempt that determines the next step, and its outcome.
        """
        delay_s = self._delay_s(request)
        outcome = await attempt.outcome(delay_s)
        if outcome is not None:
            return attempt, outcome
        hedge = self.start_hedge(request)
        if hedge is None:
            return attempt, await attempt.outcome()
        winner, outcome = await self._race(request, attempt, hedge)
        if winner is hedge and is_final(outcome):
            request.route.head_start_s = hedge.started_at - attempt.started_at
            self.counters.add("hedges_won", service=request.service.name)
        return winner, outcome

    def start_hedge(self, request):
        """Return the `Attempt` of a hedge, or None when none can be sent."""
        now = monotonic()
        if self.limit is None:
            left_s = request.deadline - now
            if left_s < MIN_TIME_LEFT_SHARE * request.rule.usual_s:
                return None
        max_attempts = request.state.route.max_attempts
        if (
            request.upstream_attempts + 2 > max_attempts
            or not request.count_alternatives(now)
        ):
            return None
        if not self._try_take(request, now):
            return None
        hedge = request.offer(hedge=True)
        if hedge is None:
            request.service.budget.refund()
            if self.limit is not None:
                self.limit.refund()
        else:
            self.counters.add("hedges", service=request.service.name)
        return hedge

    def _delay_s(self, request):
        """Return the delay of a hedge in seconds; None when none may be sent."""
        route = request.state.route
        if not route.repeatable or not request.body_complete:
            return None
        if self.limit is not None:
            request.route.limit = self.limit
            return self.limit.delay_s(request.rule)
        if request.soft_deadline <= monotonic():
            return None
        return aim_delay_s(route.aim_s, request.rule.usual_s)

    def _try_take(self, request, now):
        """Take the tokens of a hedge; return whether it may be sent."""
        budget = request.service.budget
        if self.limit is None:
            decision = HedgeDecision.SEND
        else:
            decision = self.limit.decide(
                request.service.name, request.rule.usual_s, request.deadline, now
            )
        if decision is not HedgeDecision.SEND:
            self._record_not_sent(request, decision.value)
            return False
        if budget.try_take_for_hedge():
            return True
        self.counters.add("retries_denied")
        if self.limit is not None:
            self.limit.refund()
            self._record_not_sent(request, "retry-budget")
        return False

    def _record_not_sent(self, request, reason):
        self.counters.add("hedges_not_sent", reason=reason)
        request.decisions.append({"hedge": "not-sent", "reason": reason})

    async def _race(self, request, *attempts):
        """Return the first attempt with a final outcome; cancel the other ones.

        Returns
        -------
        (Attempt, Head or Refuse or Failed)
            When no attempt has a final outcome, the one that ended last, and its
            outcome.
        """
        tasks = {request.loop.create_task(item.outcome()): item for item in attempts}
        try:
            while True:
                done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    attempt, outcome = tasks.pop(task), task.result()
                    if is_final(outcome) or not tasks:
                        for other in request.attempts:
                            if other is not attempt:
                                other.cancel_pending()
                        return attempt, outcome
                    request.record_unsuccessful(attempt, outcome)
        finally:
            for task in tasks:
                task.cancel()


class RouteAdapter:
    """Adapts the route of a request to what `Attempt` and `relay_response` use.

    Attributes
    ----------
    name : str
        Name of the service.
    limit : HedgeLimit or None
        Takes the latency of a request that may be hedged under the operator's limit.
    head_start_s : float
        Time in seconds from the start of the first copy to that of the hedge whose
        response was used; 0 for the response to the first copy.
    """

    __slots__ = ("head_start_s", "limit", "name", "state")

    def __init__(self, state, service):
        self.state = state
        self.name = service
        self.limit = None
        self.head_start_s = 0.0

    @property
    def hedges(self):
        """The object whose `record` `relay_response` calls."""
        return self

    def record(self, rule, latency_s):
        """Record the latency, in seconds, of the attempt whose response was relayed."""
        self.state.record(rule, latency_s)
        if self.limit is not None:
            self.limit.record_latency(rule, latency_s + self.head_start_s)
