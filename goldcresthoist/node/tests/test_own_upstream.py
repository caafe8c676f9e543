"""Tests of which run of the upstream calls are sent to."""

import unittest

from goldcresthoist.node.own_upstream import AnnouncementResult, LocalUpstream
from goldcresthoist.node.tests.builders import make_announcement


class LocalUpstreamTest(unittest.TestCase):
    def setUp(self):
        self.own = LocalUpstream("10.0.0.1:8000", "ledger")

    def announce(self, *args, now=0.0, **values):
        return self.own.apply_announcement(make_announcement(*args, **values), now)

    def test_first_and_later_announcements(self):
        """Guards against an upstream that is not used, or not followed."""
        self.assertFalse(self.own.usable())
        self.assertIs(self.announce(cold_s=2.0), AnnouncementResult.NEW)
        self.assertTrue(self.own.usable())
        self.assertTrue(self.own.is_warming_up(1.0))
        self.assertIs(self.announce(sequence=2), AnnouncementResult.KNOWN)
        self.assertFalse(self.own.is_warming_up(1.0))

    def test_late_announcement_changes_nothing(self):
        """Guards against an upstream that is draining and looks ready again."""
        self.announce(sequence=5)
        self.assertIs(
            self.announce(sequence=6, draining=True), AnnouncementResult.DRAINING
        )
        self.own.mark_departed("i-1", 1000)
        self.assertIs(self.announce(sequence=4), AnnouncementResult.DEPARTED)
        self.assertIs(self.announce(sequence=7), AnnouncementResult.DEPARTED)
        self.assertFalse(self.own.usable())

    def test_late_announcement_of_an_earlier_run(self):
        """Guards against calls named for a run that has crashed.

        It arrives after a partition, when its successor is already known.
        """
        self.announce("i-2", born_ms=2000)
        self.assertIs(
            self.announce("i-1", sequence=99, born_ms=1000), AnnouncementResult.STALE
        )
        self.assertEqual(self.own.identity, "i-2")

    def test_same_identity_starts_again(self):
        """Guards against a departure that sticks to the successor of the same name."""
        self.announce(born_ms=1000, sequence=9)
        self.own.mark_departed("i-1", 1000)
        self.assertFalse(self.own.usable())
        self.assertIs(self.announce(born_ms=5000, sequence=1), AnnouncementResult.NEW)
        self.assertTrue(self.own.usable())

    def test_departure_without_a_start_time_is_of_the_known_run(self):
        """Guards against a departure without a word before that does not bind."""
        self.announce(born_ms=1000)
        self.assertEqual(self.own.mark_departed("i-1", now_ms=5000), (1000, 0))
        self.assertFalse(self.own.usable())

    def test_departure_known_before_the_first_announcement(self):
        """Guards against a restarted daemon that forgot what it acknowledged."""
        self.own.mark_departed("i-1", 1000)
        self.assertIs(self.announce(born_ms=1000), AnnouncementResult.DEPARTED)
        self.assertFalse(self.own.usable())

    def test_departure_without_a_start_time_of_an_unknown_run(self):
        """Guards against a late announcement after a departure that names no start.

        Hunt day hunt-3e1d-7 of tobar-mesh: a daemon started again and was told of the
        departure before it knew the upstream; an announcement from before followed.
        """
        self.own.mark_departed("i-1", now_ms=5000)
        self.assertIs(self.announce(born_ms=1000), AnnouncementResult.DEPARTED)
        self.assertFalse(self.own.usable())
        self.assertIs(self.announce(born_ms=6000), AnnouncementResult.NEW)
        self.assertTrue(self.own.usable())

    def test_other_upstreams_are_not_taken(self):
        """Guards against calls to the upstream of another service or address."""
        self.assertIs(self.announce(service="desk"), AnnouncementResult.FOREIGN)
        self.assertIs(self.announce(address="10.0.0.1:9"), AnnouncementResult.FOREIGN)
        self.assertIsNone(self.own.identity)

    def test_denied_identity_is_used_again_after_a_newer_announcement(self):
        """Guards against calls that another upstream at the address must refuse."""
        self.announce(sequence=1)
        self.own.reject_identity()
        self.assertFalse(self.own.usable())
        self.assertIs(self.announce(sequence=1), AnnouncementResult.STALE)
        self.assertIs(self.announce(sequence=2), AnnouncementResult.NEW)
        self.assertTrue(self.own.usable())

    def test_forged_identity_with_the_same_start(self):
        """Guards against a forged entry that takes the place of a live upstream."""
        self.announce(now=0.0)
        self.assertIs(self.announce("i-9", now=1.0), AnnouncementResult.STALE)
        self.assertIs(self.announce("i-9", now=10.0), AnnouncementResult.NEW)
