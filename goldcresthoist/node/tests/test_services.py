"""Tests of what the entry side knows of the services."""

import unittest

from goldcresthoist.links.frames import LoadReport
from goldcresthoist.node.services import FleetServices
from goldcresthoist.node.tests.builders import FakeLinks, make_record
from goldcresthoist.platform import Bounds

READY = LoadReport(0, 0, 12, 100.0, draining=False, pace=1.0)


class FleetServicesTest(unittest.TestCase):
    def setUp(self):
        self.links = FakeLinks()
        self.services = FleetServices(
            make_record("10.0.0.1", "ledger"), self.links, None, Bounds(), 7600
        )

    def test_restarted_daemon_is_used_again(self):
        """Guards against a view that no link reports to after a restart.

        On scale-2 of tobar-mesh, 5,028 requests found no upstream though all four
        were up: each restart had replaced the view, while the link kept the old one.
        """
        self.services.add_member(make_record("10.0.0.2", "listen", born_ms=1))
        self.links.report("10.0.0.2", READY)
        self.services.add_member(make_record("10.0.0.2", "listen", born_ms=2))
        self.links.report("10.0.0.2", READY)
        _, view = self.services.views["10.0.0.2"]
        self.assertFalse(view.draining)
        self.assertIs(self.services.service("listen").pool.get("10.0.0.2"), view)

    def test_address_of_another_service_gets_a_new_link(self):
        """Guards against loads of the old service counted for the new one."""
        self.services.add_member(make_record("10.0.0.2", "listen", born_ms=1))
        self.services.add_member(make_record("10.0.0.2", "desk", born_ms=2))
        self.assertEqual(self.links.dropped, ["10.0.0.2"])
        self.assertIsNone(self.services.service("listen").pool.get("10.0.0.2"))
        self.links.report("10.0.0.2", READY)
        self.assertFalse(self.services.views["10.0.0.2"][1].draining)

    def test_new_member_is_not_used_before_it_reports(self):
        """Guards against calls to a daemon whose upstream is not known to be ready."""
        self.services.add_member(make_record("10.0.0.2", "listen"))
        self.assertTrue(self.services.views["10.0.0.2"][1].draining)
