"""Tests of the state of the services at the entry daemon."""

import unittest
from time import monotonic
from unittest import mock

from goldcresthoist.links.frames import LoadReport
from goldcresthoist.node.services import FleetServices
from goldcresthoist.node.tests.builders import FakeLinks, make_record
from goldcresthoist.platform import Bounds, decode_configuration

CONFIGURATION = (
    b'{"version":1,"routes":[{"name":"pack","host":"h","prefix":"/","kind":"download",'
    b'"timeout_s":2,"service":"listen"}]}'
)
READY = LoadReport(0, 0, 12, 100.0, draining=False, pace=1.0)


def run_now(function):
    """Stand in for ``call_soon`` of the event loop."""
    function()


class FleetServicesTest(unittest.TestCase):
    def setUp(self):
        self.links = FakeLinks()
        own = make_record("10.0.0.1", "ledger")
        self.services = FleetServices(own, self.links, None, Bounds(), 7600, run_now)

    def test_restarted_daemon_gets_calls(self):
        """Guards against a view that gets no load reports after a daemon restart.

        In run scale-2 of the site tobar-mesh, 5,028 requests found no upstream although
        all four were up: each restart had replaced the view, while the link still
        reported to the old one.
        """
        self.services.add_member(make_record("10.0.0.2", "listen", born_ms=1))
        self.links.report("10.0.0.2", READY)
        self.services.add_member(make_record("10.0.0.2", "listen", born_ms=2))
        self.links.report("10.0.0.2", READY)
        view = self.services.views["10.0.0.2"]
        self.assertFalse(view.draining)
        self.assertIs(self.services.service("listen").pool.get("10.0.0.2"), view)

    def test_address_reused_by_another_service_gets_a_new_link(self):
        """Guards against load reports of the old service applied to the new one."""
        self.services.add_member(make_record("10.0.0.2", "listen", born_ms=1))
        self.services.add_member(make_record("10.0.0.2", "desk", born_ms=2))
        self.assertEqual(self.links.closed_peers, ["10.0.0.2"])
        self.assertIsNone(self.services.service("listen").pool.get("10.0.0.2"))
        self.links.report("10.0.0.2", READY)
        self.assertFalse(self.services.views["10.0.0.2"].draining)

    def test_member_that_left_gives_back_its_part_of_the_budget(self):
        """Guards against connection attempts to an instance that is gone for good."""
        budget = self.services.service("listen").budget
        before = budget.capacity
        record = make_record("10.0.0.2", "listen")
        self.services.add_member(record)
        self.assertLess(budget.capacity, before)
        self.services.remove_member(record)
        self.services.update_links()
        self.assertEqual(budget.capacity, before)
        self.assertEqual(self.links.closed_peers, ["10.0.0.2"])
        self.assertNotIn("10.0.0.2", self.services.views)
        self.assertEqual(self.services.service("listen").subset.select(), [])

    def test_bandwidth_between_instances_is_that_of_the_thinner_link(self):
        """Guards against large responses that are sent over a thin link.

        A daemon of an earlier release does not announce its bandwidth.
        """
        own = make_record("10.0.0.1", "ledger", link_mbit_s=100.0)
        services = FleetServices(own, self.links, None, Bounds(), 7600, run_now)
        for number, mbit_s in ((2, 8.0), (3, 1000.0), (4, 0.0)):
            record = make_record(f"10.0.0.{number}", "listen", link_mbit_s=mbit_s)
            services.add_member(record)
        found = [view.link_s_per_byte for view in services.views.values()]
        self.assertEqual(found, [0.0, 1e-6, 8e-8, 0.0])

    def test_changed_bounds_apply_to_budgets_in_use(self):
        """Guards against bounds that take effect only after a restart."""
        budget = self.services.service("listen").budget
        before = budget.capacity
        self.services.set_bounds(Bounds(retry_reserve=10 * Bounds().retry_reserve))
        self.assertAlmostEqual(budget.capacity, 10 * before)

    def test_usual_size_of_responses_is_learned(self):
        """Guards against a choice of upstream that ignores what the response costs."""
        route = decode_configuration(CONFIGURATION).routes[0]
        state = self.services.route(route)
        before = state.response_bytes
        self.assertGreater(before, 0)
        for _ in range(200):
            state.record_response_size(500_000)
        self.assertAlmostEqual(state.response_bytes, 500_000, delta=5_000)

    def test_new_member_gets_no_calls_before_its_first_report(self):
        """Guards against calls to a daemon whose local upstream may not be ready."""
        self.services.add_member(make_record("10.0.0.2", "listen"))
        self.assertTrue(self.services.views["10.0.0.2"].draining)


class LinkSubsetTest(unittest.TestCase):
    """Links to 60 daemons of one service in the failure domain of this daemon."""

    def setUp(self):
        self.links = FakeLinks()
        self.later = []
        own = make_record("10.0.0.1", "ledger")
        self.services = FleetServices(
            own, self.links, None, Bounds(), 7600, self.later.append
        )
        for number in range(60):
            self.services.add_member(make_record(f"10.0.1.{number}", "listen"))
        self.run_later()
        self.now = monotonic()

    def run_later(self):
        for function in self.later:
            function()
        self.later.clear()

    def update_links(self, after_s=0.0):
        self.now += after_s
        with mock.patch("goldcresthoist.node.services.monotonic", lambda: self.now):
            self.services.update_links()

    def callable_upstreams(self):
        service = self.services.service("listen")
        return self.services.count_alternatives(service, self.now, ())

    def test_members_read_together_cause_one_update(self):
        """Guards against links that are opened and closed while rows are read."""
        self.assertEqual(len(self.links.peers), 32)
        self.assertEqual(self.links.closed_peers, [])

    def test_budget_is_shared_by_all_members(self):
        """Guards against a subset of links that multiplies the retries of the fleet."""
        self.assertEqual(self.services.service("listen").budget.daemons, 61)

    def test_lost_upstreams_are_replaced(self):
        """Guards against a daemon that has links to a lost failure domain only."""
        lost = set(list(self.links.peers)[:20])
        for ip in self.links.peers:
            if ip not in lost:
                self.links.report(ip, READY)
        self.update_links()
        self.assertEqual(len(self.links.peers), 32)
        self.update_links(2.1)
        self.assertEqual(len(self.links.peers), 52)
        for ip in set(self.links.peers) - lost:
            self.links.report(ip, READY)
        self.assertEqual(self.callable_upstreams(), 32)

    def test_returned_upstreams_take_their_places_again(self):
        """Guards against links that accumulate with each fault."""
        first = set(self.links.peers)
        self.update_links()
        self.update_links(2.1)
        self.assertEqual(len(self.links.peers), 60)
        for ip in first:
            self.links.report(ip, READY)
        self.update_links(0.5)
        self.assertEqual(set(self.links.peers), first)
        self.assertEqual(set(self.services.views) - {"10.0.0.1"}, first)
