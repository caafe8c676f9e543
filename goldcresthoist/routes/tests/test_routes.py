"""Tests of the routing table and of the weighted round robin."""

import random
import unittest
from collections import Counter

from goldcresthoist.routes import (
    CallerLimits,
    Idempotent,
    Route,
    RoutingTable,
    WeightedRoundRobin,
    WeightedService,
)


def make_route(name, prefix, host="a.example"):
    """Return a route."""
    return Route(
        name, host, prefix, Idempotent(), 1.0, 0.4, 1, (WeightedService("one", 1.0),), 2
    )


class RoutingTableTest(unittest.TestCase):
    def setUp(self):
        routes = [make_route("short", "/a/"), make_route("long", "/a/b/")]
        routes.append(make_route("other", "/a/", "b.example"))
        self.table = RoutingTable(1, routes, {}, CallerLimits())

    def find(self, host, path):
        route = self.table.route_for(host, path)
        return route.name if route else None

    def test_longest_prefix_wins(self):
        """Guards against a request that is sent to the service of a shorter prefix."""
        self.assertEqual(self.find("a.example", "/a/b/2f"), "long")
        self.assertEqual(self.find("a.example", "/a/bc"), "short")
        self.assertEqual(self.find("b.example", "/a/b/2f"), "other")

    def test_other_hosts_and_paths_do_not_match(self):
        """Guards against requests that are forwarded although no route matches."""
        self.assertIsNone(self.find("c.example", "/a/"))
        self.assertIsNone(self.find("a.example", "/a"))
        self.assertIsNone(self.find("a.example", "/"))


class WeightedRoundRobinTest(unittest.TestCase):
    def test_each_service_is_within_two_requests_of_its_share(self):
        """Guards against a distribution that deviates by a tenth in a small sample.

        Random selection does so; the test allows 2 requests in 300.
        """
        parts = (WeightedService("one", 90.0), WeightedService("two", 10.0))
        for seed in range(20):
            counter = WeightedRoundRobin(parts, random.Random(seed))
            count = Counter(counter.next().service for _ in range(300))
            self.assertLessEqual(abs(count["two"] - 30), 2)

    def test_daemons_do_not_start_with_the_same_service(self):
        """Guards against a service without requests when each daemon gets only a few.

        If all daemons started at the same point, all of them would select the service
        with the largest weight first.
        """
        parts = (WeightedService("one", 80.0), WeightedService("two", 20.0))
        first = Counter(
            WeightedRoundRobin(parts, random.Random(seed)).next().service
            for seed in range(300)
        )
        self.assertGreater(first["two"], 20)
