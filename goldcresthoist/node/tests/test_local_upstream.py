"""Tests of the choice of the local upstream's run that receives the calls."""

import unittest

from goldcresthoist.node.local_upstream import AnnouncementResult, LocalUpstream
from goldcresthoist.node.tests.builders import make_announcement


class LocalUpstreamTest(unittest.TestCase):
    def setUp(self):
        self.own = LocalUpstream("10.0.0.1:8000", "ledger")

    def announce(self, *args, now=0.0, **values):
        return self.own.apply_announcement(make_announcement(*args, **values), now)

    def test_first_and_later_announcements(self):
        """Guards against an upstream that gets no calls after its announcement.

        Later announcements must update its state, such as the end of the warm-up.
        """
        self.assertFalse(self.own.usable())
        self.assertIs(self.announce(cold_s=2.0), AnnouncementResult.NEW)
        self.assertTrue(self.own.usable())
        self.assertTrue(self.own.is_warming_up(1.0))
        self.assertIs(self.announce(sequence=2), AnnouncementResult.KNOWN)
        self.assertFalse(self.own.is_warming_up(1.0))

    def test_discovered_upstream_is_the_one_that_announces_itself(self):
        """Guards against connections that are closed when the announcement arrives."""
        self.assertTrue(self.own.discover("i-1", 12))
        self.assertTrue(self.own.usable())
        self.assertIs(self.announce(), AnnouncementResult.KNOWN)
        self.assertEqual(self.own.born_ms, 1000)
        self.assertFalse(self.own.discover("i-2", 12))

    def test_discovered_upstream_can_leave(self):
        """Guards against calls after an acknowledged departure.

        The start time of the run is not known when it says that it leaves.
        """
        for born_ms in (0, 1000):
            with self.subTest(born_ms=born_ms):
                self.own = LocalUpstream("10.0.0.1:8000", "ledger")
                self.own.discover("i-1", 12)
                self.own.complete_discovery("i-1", born_ms)
                self.own.mark_departed("i-1", born_ms, now_ms=2000)
                self.assertFalse(self.own.usable())
        self.own.discover("i-1", 12)
        self.assertIs(self.announce(draining=True), AnnouncementResult.DEPARTED)
        self.assertFalse(self.own.usable())

    def test_remembered_departure_excludes_no_later_run(self):
        """Guards against an upstream without calls after a restart of its daemon.

        An earlier run with the same identity departed without a start time. The
        departure comes back from the store or from a peer after the later run has
        announced itself.
        """
        self.announce(born_ms=3000)
        self.own.restore_departure("i-1", 0, 2000)
        self.assertTrue(self.own.usable())
        self.assertIs(self.announce(born_ms=2000), AnnouncementResult.DEPARTED)
        self.own.restore_departure("i-1", 0, 3000)
        self.assertFalse(self.own.usable())

    def test_remembered_departure_excludes_the_run_that_left(self):
        """Guards against a server that had left and is in use after a restart."""
        for born_ms, before_ms in ((1000, 0), (0, 1000)):
            with self.subTest(born_ms=born_ms):
                self.own = LocalUpstream("10.0.0.1:8000", "ledger")
                self.announce()
                self.own.restore_departure("i-1", born_ms, before_ms)
                self.assertFalse(self.own.usable())
                self.assertIs(self.announce(sequence=2), AnnouncementResult.DEPARTED)

    def test_late_report_of_a_departure_stops_a_discovered_run(self):
        """Guards against a server that had left and is in use after a restart.

        The store did not have the departure, and a peer reported it only after the
        health check had named the identity. Its start time is not known until then.
        """
        self.own.discover("i-1", 12)
        self.own.restore_departure("i-1", 1000, 0)
        self.assertFalse(self.own.usable())
        self.assertIs(self.announce(), AnnouncementResult.DEPARTED)
        self.assertFalse(self.own.usable())

    def test_late_report_of_an_earlier_departure_ends_with_the_announcement(self):
        """Guards against a live upstream that never gets calls again.

        An earlier run of the same identity departed. The report stops the discovered
        run, until its announcement shows that it started later.
        """
        for born_ms, before_ms in ((1000, 0), (0, 1000)):
            with self.subTest(born_ms=born_ms):
                self.own = LocalUpstream("10.0.0.1:8000", "ledger")
                self.own.discover("i-1", 12)
                self.own.restore_departure("i-1", born_ms, before_ms)
                self.assertFalse(self.own.usable())
                self.assertIs(self.announce(born_ms=2000), AnnouncementResult.NEW)
                self.assertTrue(self.own.usable())

    def test_departed_identity_is_not_discovered(self):
        """Guards against a restarted daemon that uses an upstream that has left."""
        for born_ms in (0, 1000):
            with self.subTest(born_ms=born_ms):
                own = LocalUpstream("10.0.0.1:8000", "ledger")
                own.mark_departed("i-1", born_ms, now_ms=2000)
                self.assertFalse(own.discover("i-1", 12))
                self.assertTrue(own.discover("i-2", 12))

    def test_announcement_of_another_identity_replaces_a_discovered_one(self):
        """Guards against an upstream that is not used because it started just now."""
        self.own.discover("i-1", 12)
        self.assertIs(self.announce("i-2"), AnnouncementResult.NEW)
        self.assertEqual(self.own.identity, "i-2")

    def test_late_announcement_is_ignored(self):
        """Guards against a draining upstream that becomes usable again.

        An announcement sent before it started to drain may arrive afterwards.
        """
        self.announce(sequence=5)
        self.assertIs(
            self.announce(sequence=6, draining=True), AnnouncementResult.DRAINING
        )
        self.own.mark_departed("i-1", 1000)
        self.assertIs(self.announce(sequence=4), AnnouncementResult.DEPARTED)
        self.assertIs(self.announce(sequence=7), AnnouncementResult.DEPARTED)
        self.assertFalse(self.own.usable())

    def test_late_announcement_of_an_earlier_run(self):
        """Guards against calls that are addressed to a run that has crashed.

        Its announcement is delayed by a partition and arrives after the first one of
        the run that replaced it.
        """
        self.announce("i-2", born_ms=2000)
        self.assertIs(
            self.announce("i-1", sequence=99, born_ms=1000), AnnouncementResult.STALE
        )
        self.assertEqual(self.own.identity, "i-2")

    def test_restart_with_the_same_identity(self):
        """Guards against a departure that also excludes the next run.

        The next run has the same identity and a later start time.
        """
        self.announce(born_ms=1000, sequence=9)
        self.own.mark_departed("i-1", 1000)
        self.assertFalse(self.own.usable())
        self.assertIs(self.announce(born_ms=5000, sequence=1), AnnouncementResult.NEW)
        self.assertTrue(self.own.usable())

    def test_departure_without_a_start_time_applies_to_the_current_run(self):
        """Guards against a departure without effect when it gives no start time.

        The upstream may deregister without a draining announcement before.
        """
        self.announce(born_ms=1000)
        self.assertEqual(self.own.mark_departed("i-1", now_ms=5000), (1000, 0))
        self.assertFalse(self.own.usable())

    def test_departure_known_before_the_first_announcement(self):
        """Guards against calls to a departed run after a restart of the daemon.

        The departure is loaded before the first announcement of that run arrives.
        """
        self.own.mark_departed("i-1", 1000)
        self.assertIs(self.announce(born_ms=1000), AnnouncementResult.DEPARTED)
        self.assertFalse(self.own.usable())

    def test_departure_without_a_start_time_of_an_unknown_run(self):
        """Guards against a late announcement after a departure without a start time.

        Found in run hunt-3e1d-7 of the site tobar-mesh: a restarted daemon received the
        departure before any announcement of the upstream, and then an announcement that
        had been sent before the departure.
        """
        self.own.mark_departed("i-1", now_ms=5000)
        self.assertIs(self.announce(born_ms=1000), AnnouncementResult.DEPARTED)
        self.assertFalse(self.own.usable())
        self.assertIs(self.announce(born_ms=6000), AnnouncementResult.NEW)
        self.assertTrue(self.own.usable())

    def test_announcements_of_other_upstreams_are_rejected(self):
        """Guards against calls to the upstream of another service or address."""
        self.assertIs(self.announce(service="desk"), AnnouncementResult.FOREIGN)
        self.assertIs(self.announce(address="10.0.0.1:9"), AnnouncementResult.FOREIGN)
        self.assertIsNone(self.own.identity)

    def test_rejected_identity_is_used_after_a_newer_announcement(self):
        """Guards against calls that the process at the address refuses.

        After it has rejected the identity, only a newer announcement allows calls.
        """
        self.announce(sequence=1)
        self.own.reject_identity()
        self.assertFalse(self.own.usable())
        self.assertIs(self.announce(sequence=1), AnnouncementResult.STALE)
        self.assertIs(self.announce(sequence=2), AnnouncementResult.NEW)
        self.assertTrue(self.own.usable())

    def test_forged_identity_with_the_same_start_time(self):
        """Guards against a forged announcement that replaces a live upstream.

        An identity with the same start time is accepted only after
        `ANNOUNCEMENT_TIMEOUT_S` without an announcement of the current one.
        """
        self.announce(now=0.0)
        self.assertIs(self.announce("i-9", now=1.0), AnnouncementResult.STALE)
        self.assertIs(self.announce("i-9", now=10.0), AnnouncementResult.NEW)


class AcknowledgedDepartureTest(unittest.TestCase):
    """Announcements whose acknowledgement promises that calls end."""

    def setUp(self):
        self.own = LocalUpstream("10.0.0.1:8000", "ledger")

    def announce(self, *args, now=0.0, **values):
        return self.own.apply_announcement(make_announcement(*args, **values), now)

    def test_draining_announcement_that_was_overtaken(self):
        """Guards against calls to an upstream whose draining was acknowledged.

        The announcement arrives after one that was sent later, or twice.
        """
        self.announce(sequence=9)
        result = self.announce(sequence=5, draining=True)
        self.assertIs(result, AnnouncementResult.DRAINING)
        self.assertFalse(self.own.usable())

    def test_draining_of_an_earlier_run_is_remembered(self):
        """Guards against a run that gets calls though its draining was acknowledged."""
        self.announce("i-2", born_ms=2000)
        result = self.announce("i-1", born_ms=1000, draining=True)
        self.assertIs(result, AnnouncementResult.DRAINING)
        self.assertTrue(self.own.usable())
        self.own.mark_departed("i-1", 1000)
        self.assertIs(self.announce("i-1", 2, now=9.0), AnnouncementResult.DEPARTED)

    def test_run_that_another_writer_dated_back_is_used_again(self):
        """Guards against an upstream whose announcements never count again.

        Another writer named its id and a later start time, or its clock was set back.
        """
        self.announce(born_ms=9000)
        self.assertIs(self.announce(sequence=7, now=2.0), AnnouncementResult.STALE)
        self.assertIs(self.announce(sequence=9, now=5.0), AnnouncementResult.NEW)
        self.announce(sequence=10, now=6.0, draining=True)
        self.assertFalse(self.own.usable())

    def test_run_without_a_start_time_does_not_undo_a_departure(self):
        """Guards against a departed run that another writer brings back."""
        self.own.mark_departed("i-1", 1000)
        self.assertIs(self.announce(born_ms=0), AnnouncementResult.DEPARTED)
        self.assertFalse(self.own.usable())

    def test_late_run_does_not_replace_one_that_leaves(self):
        """Guards against calls to an upstream that leaves, under an earlier start."""
        self.announce(born_ms=2000, draining=True)
        self.assertIs(self.announce(now=9.0), AnnouncementResult.STALE)
        self.assertFalse(self.own.usable())


class UnconfirmedRunTest(unittest.TestCase):
    """Announcements to a daemon that may have lost the memory of a departure."""

    def setUp(self):
        self.own = LocalUpstream("10.0.0.1:8000", "ledger", started_ms=5000)

    def announce(self, *args, now=0.0, **values):
        return self.own.apply_announcement(make_announcement(*args, **values), now)

    def test_late_announcement_after_a_restart_is_not_enough(self):
        """Guards against calls to a run whose departure nobody remembers.

        It was acknowledged while the store was down, and all daemons were killed.
        """
        self.announce(born_ms=1000, now=10.0)
        self.assertFalse(self.own.usable())
        self.announce(born_ms=1000, sequence=2, now=10.5)
        self.assertFalse(self.own.usable())

    def test_good_health_check_confirms_a_run(self):
        """Guards against a live upstream without calls after each restart."""
        self.announce(born_ms=1000)
        self.assertFalse(self.own.confirm("i-2"))
        self.assertTrue(self.own.confirm("i-1"))
        self.assertTrue(self.own.usable())

    def test_later_announcements_confirm_a_run(self):
        """Guards against a live upstream without calls while its health check lies."""
        self.announce(born_ms=1000, now=10.0)
        self.announce(born_ms=1000, sequence=2, now=11.5)
        result = self.announce(born_ms=1000, sequence=3, now=13.0)
        self.assertIs(result, AnnouncementResult.NEW)
        self.assertTrue(self.own.usable())

    def test_run_that_started_later_needs_no_confirmation(self):
        """Guards against a new upstream that waits for its first calls."""
        self.announce(born_ms=6000)
        self.assertTrue(self.own.usable())


if __name__ == "__main__":
    unittest.main()
