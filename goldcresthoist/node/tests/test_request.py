"""Tests of the hedging of one request."""

import unittest
from time import monotonic
from types import SimpleNamespace

from goldcresthoist.balance import SharedRetryBudget
from goldcresthoist.fleet.tests.builders import FakeCounters
from goldcresthoist.node.request import EntryRequest


class FakeServices:
    """Reports one alternative, but has no upstream when one is to be chosen."""

    def count_alternatives(self, service, now, exclude):
        """Return that one upstream is left."""
        return 1

    def choose(self, *arguments):
        """Return None, as when no upstream can be called."""
        return


def make_request():
    """Return an `EntryRequest` that waits for its first response."""
    request = object.__new__(EntryRequest)
    request.entry = SimpleNamespace(services=FakeServices(), counters=FakeCounters())
    request.state = SimpleNamespace(
        route=SimpleNamespace(max_attempts=3, large_responses=False), response_bytes=0
    )
    request.service = SimpleNamespace(
        name="listen", budget=SharedRetryBudget(0.2, 58.0)
    )
    request.rule = SimpleNamespace(usual_s=0.1)
    request.request = SimpleNamespace(content_length=0)
    request.deadline = monotonic() + 2.0
    request.prefix = b""
    request.exclude = []
    request.upstream_attempts = request.offers = 0
    request.is_last_offer = False
    return request


class HedgeTest(unittest.TestCase):
    def test_unsent_hedge_uses_no_budget(self):
        """Guards against a retry budget that is used up by hedges that were not sent.

        The alternative may become unreachable between the count and the choice.
        """
        request = make_request()
        budget = request.service.budget
        before = budget.available()
        self.assertIsNone(request._start_hedge())
        self.assertEqual(budget.available(), before)
        self.assertEqual(request.entry.counters.total("hedges"), 0)


if __name__ == "__main__":
    unittest.main()
