"""Tests of the hedging of one request."""

import unittest
from time import monotonic
from types import SimpleNamespace

from goldcresthoist.balance import HedgeLimit, SharedRetryBudget
from goldcresthoist.fleet.tests.builders import FakeCounters
from goldcresthoist.links.frames import Failed, FailureKind, Refuse
from goldcresthoist.node.hedging import Hedging
from goldcresthoist.node.request import MAX_OFFERS, EntryRequest


class FakeServices:
    """Reports one alternative, but has no upstream when one is to be chosen.

    Attributes
    ----------
    excluded : list
        The upstreams excluded from each choice.
    """

    def __init__(self):
        self.excluded = []

    def count_alternatives(self, service, now, exclude):
        """Return that one upstream is left."""
        return 1

    def choose(self, service, rule, now, exclude, size):
        """Return None, as when no upstream can be called."""
        self.excluded.append(list(exclude))


class FakeAttempt:
    """Attempt at an upstream of its own."""

    hedge = False

    def __init__(self):
        self.view = SimpleNamespace(instance="broken")

    def end(self, outcome, load):
        """Ignore the end."""


def make_request():
    """Return an `EntryRequest` that waits for its first response."""
    request = object.__new__(EntryRequest)
    request.entry = SimpleNamespace(services=FakeServices(), counters=FakeCounters())
    request.state = SimpleNamespace(
        route=SimpleNamespace(
            max_attempts=3, large_responses=False, repeatable=True, aim_s=0.5
        ),
        response_bytes=0,
    )
    request.service = SimpleNamespace(
        name="listen", budget=SharedRetryBudget(0.2, 58.0)
    )
    request.rule = SimpleNamespace(usual_s=0.1)
    request.request = SimpleNamespace(content_length=0)
    request.deadline = monotonic() + 2.0
    request.prefix = b""
    request.exclude = []
    request.failed_views = []
    request.decisions = []
    request.unanswered = set()
    request.arrived = request.first_sent = monotonic()
    request.body_started = False
    request.crash_count = request.reserved_bytes = 0
    request.upstream_attempts = request.offers = 0
    request.is_last_offer = False
    request.retry_after_s = 0.0
    return request


def make_hedging(request, limit=None):
    """Give the request a `Hedging` with this `HedgeLimit`, and return it."""
    request.entry.hedging = Hedging(limit, request.entry.counters)
    return request.entry.hedging


class HedgeTest(unittest.TestCase):
    def test_unsent_hedge_uses_no_budget(self):
        """Guards against a retry budget that is used up by hedges that were not sent.

        The alternative may become unreachable between the count and the choice.
        """
        request = make_request()
        budget = request.service.budget
        before = budget.available()
        self.assertIsNone(make_hedging(request).start_hedge(request))
        self.assertEqual(budget.available(), before)
        self.assertEqual(request.entry.counters.total("hedges"), 0)

    def test_unsent_hedge_uses_nothing_of_the_limit(self):
        """Guards against a limit that is used up by hedges that were not sent.

        Neither an upstream that cannot be reached nor a used-up retry budget may take
        from it.
        """
        request = make_request()
        limit = HedgeLimit(0.5)
        limit.tokens = 1.0
        hedging = make_hedging(request, limit)
        self.assertIsNone(hedging.start_hedge(request))
        self.assertEqual(limit.tokens, 1.0)
        while request.service.budget.try_take():
            pass
        self.assertIsNone(hedging.start_hedge(request))
        self.assertEqual(limit.tokens, 1.0)
        self.assertEqual(request.decisions[-1]["reason"], "retry-budget")

    def test_refused_hedge_uses_no_budget(self):
        """Guards against refusals without a run that use up retries and hedges.

        They also say nothing about the capacity for first copies.
        """
        request = make_request()
        limit = HedgeLimit(0.5)
        hedging = make_hedging(request, limit)
        budget = request.service.budget
        budget.try_take()
        before = budget.available()
        attempt = FakeAttempt()
        attempt.hedge = True
        refusal = Refuse(1, "no-spare-slot", "", 0, None)
        request.record_unsuccessful(attempt, refusal)
        self.assertEqual(limit.tokens, 1.0)
        self.assertEqual(budget.available(), before + 1.0)
        self.assertFalse(limit.is_overloaded("listen", monotonic()))
        request.record_unsuccessful(FakeAttempt(), Refuse(1, "saturated", "", 0, None))
        self.assertTrue(limit.is_overloaded("listen", monotonic()))
        self.assertIsNone(hedging.start_hedge(request))
        self.assertEqual(request.decisions[-1]["reason"], "overloaded")


class RetryTest(unittest.IsolatedAsyncioTestCase):
    async def test_refusals_do_not_take_the_place_of_a_retry(self):
        """Guards against a repeatable request that fails at its first upstream.

        In inc-6f2b of sdnp-mesh, lookups that were refused by four daemons before one
        ran them were not tried again when its upstream closed the connection: 52 of
        them failed so.
        """
        request = make_request()
        attempt = FakeAttempt()
        request.offers = MAX_OFFERS
        request.exclude = ["full"] * 4 + [attempt.view]
        before = request.service.budget.available()
        failure = Failed(1, FailureKind.BROKEN, "closed", None)
        self.assertIsNone(await request._start_retry(attempt, failure))
        self.assertEqual(request.entry.services.excluded, [[attempt.view]])
        self.assertEqual(request.service.budget.available(), before)

    async def test_late_retry_takes_no_further_offers(self):
        """Guards against retries that take slots from requests that can be in time."""
        request = make_request()
        request.first_sent -= 0.45
        request.offers = MAX_OFFERS
        failure = Failed(1, FailureKind.BROKEN, "closed", None)
        await request._start_retry(FakeAttempt(), failure)
        self.assertEqual(request.offers, MAX_OFFERS)


if __name__ == "__main__":
    unittest.main()
