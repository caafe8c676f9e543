"""Tests of requests that come again."""

import unittest

from goldcresthoist.balance import ReturningRequests
from goldcresthoist.balance.returning import MAX_ENTRIES, RETENTION_S


class ReturningRequestsTest(unittest.TestCase):
    def setUp(self):
        self.returning = ReturningRequests()

    def test_aim_counts_from_the_first_attempt(self):
        """Guards against late requests that take slots from those still in time.

        At the crest of scale-1 on tobar-mesh a third of the reads had been refused
        before; they earn a tenth of what a first attempt earns.
        """
        self.assertEqual(self.returning.first_attempt(b"read", 1.0), 1.0)
        self.returning.record(b"read", 1.0, 1.1)
        self.assertEqual(self.returning.first_attempt(b"read", 1.5), 1.0)
        self.returning.record(b"read", 1.0, 1.6)
        self.assertEqual(self.returning.first_attempt(b"read", 2.5), 1.0)

    def test_each_return_is_counted_once(self):
        """Guards against all later callers of one target that are taken for late."""
        self.returning.record(b"read", 1.0, 1.1)
        self.returning.first_attempt(b"read", 1.5)
        self.assertEqual(self.returning.first_attempt(b"read", 1.6), 1.6)

    def test_old_refusals_are_forgotten(self):
        """Guards against a new caller that is taken for one of long ago."""
        self.returning.record(b"read", 1.0, 1.1)
        now = 1.2 + RETENTION_S
        self.assertEqual(self.returning.first_attempt(b"read", now), now)

    def test_memory_is_bounded(self):
        """Guards against a storm of refusals that fills the memory."""
        for number in range(MAX_ENTRIES + 10):
            self.returning.record(number.to_bytes(4), 1.0, 1.0)
        self.assertEqual(len(self.returning.first_sent), MAX_ENTRIES)
        self.assertEqual(self.returning.first_attempt((0).to_bytes(4), 2.0), 2.0)


if __name__ == "__main__":
    unittest.main()
