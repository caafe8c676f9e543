"""Tests of the routes in force and of weighted shares."""

import random
import unittest
from collections import Counter

from goldcresthoist.routes import (
    CallerLimits,
    Idempotent,
    Part,
    Route,
    RoutingTable,
    WeightedRoundRobin,
)


def make_route(name, prefix, host="a.example"):
    """Return a route."""
    return Route(name, host, prefix, Idempotent(), 1.0, 0.4, 1, (Part("one", 1.0),), 2)


class RoutingTableTest(unittest.TestCase):
    def setUp(self):
        routes = [make_route("short", "/a/"), make_route("long", "/a/b/")]
        routes.append(make_route("other", "/a/", "b.example"))
        self.table = RoutingTable(1, routes, {}, CallerLimits())

    def find(self, host, path):
        route = self.table.route_for(host, path)
        return route.name if route else None

    def test_longest_prefix_is_taken(self):
        """Guards against a request run by the service of a shorter prefix."""
        self.assertEqual(self.find("a.example", "/a/b/2f"), "long")
        self.assertEqual(self.find("a.example", "/a/bc"), "short")
        self.assertEqual(self.find("b.example", "/a/b/2f"), "other")

    def test_nothing_else_matches(self):
        """Guards against requests passed on that no route allows."""
        self.assertIsNone(self.find("c.example", "/a/"))
        self.assertIsNone(self.find("a.example", "/a"))
        self.assertIsNone(self.find("a.example", "/"))


class WeightedRoundRobinTest(unittest.TestCase):
    def test_each_part_is_within_two_of_its_share(self):
        """Guards against shares that a small sample misses by a tenth."""
        parts = (Part("one", 90.0), Part("two", 10.0))
        for seed in range(20):
            counter = WeightedRoundRobin(parts, random.Random(seed))
            count = Counter(counter.next().service for _ in range(300))
            self.assertLessEqual(abs(count["two"] - 30), 2)

    def test_daemons_do_not_start_with_the_same_part(self):
        """Guards against many daemons with few requests that all skip a part."""
        parts = (Part("one", 80.0), Part("two", 20.0))
        first = Counter(
            WeightedRoundRobin(parts, random.Random(seed)).next().service
            for seed in range(300)
        )
        self.assertGreater(first["two"], 20)
