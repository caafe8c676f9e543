"""Tests of one request on its way through upstreams."""

import unittest
from time import monotonic
from types import SimpleNamespace

from goldcresthoist.balance import SharedRetryBudget
from goldcresthoist.fleet.tests.builders import FakeCounters
from goldcresthoist.node.request import EntryRequest


class FakeServices:
    """Tells of another upstream that is gone when it is chosen."""

    def count_alternatives(self, service, now, exclude):
        """Return how many upstreams are left."""
        return 1

    def choose(self, *arguments):
        """Return that there is none."""
        return


def make_request():
    """Return a request that waits for its first answer."""
    request = object.__new__(EntryRequest)
    request.entry = SimpleNamespace(services=FakeServices(), counters=FakeCounters())
    request.state = SimpleNamespace(route=SimpleNamespace(max_attempts=3))
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
    def test_second_copy_that_was_not_sent_costs_no_budget(self):
        """Guards against a budget used up by copies that reached nobody."""
        request = make_request()
        budget = request.service.budget
        before = budget.available()
        self.assertIsNone(request._hedge())
        self.assertEqual(budget.available(), before)
        self.assertEqual(request.entry.counters.total("hedges"), 0)


if __name__ == "__main__":
    unittest.main()
