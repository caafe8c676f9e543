"""Tests of the detection of retried requests."""

import unittest

from goldcresthoist.balance import ClientRetries
from goldcresthoist.balance.client_retries import MAX_ENTRIES


class ClientRetriesTest(unittest.TestCase):
    def setUp(self):
        self.client_retries = ClientRetries()

    def test_soft_deadline_counts_from_the_first_attempt(self):
        """Guards against late requests that take slots from timely ones.

        A retry has a new request id, so it looks like a first attempt. At the peak load
        of scale-1 on tobar-mesh, a third of the reads had been refused before. The
        response to such a read has a tenth of the value of a response to a first
        attempt.
        """
        self.assertEqual(self.client_retries.pop_first_attempt(b"read", 1.0), 1.0)
        self.client_retries.record(b"read", 1.0, 3.5)
        self.assertEqual(self.client_retries.pop_first_attempt(b"read", 1.5), 1.0)
        self.client_retries.record(b"read", 1.0, 3.5)
        self.assertEqual(self.client_retries.pop_first_attempt(b"read", 2.5), 1.0)

    def test_each_entry_is_used_for_one_retry(self):
        """Guards against mistaking all later requests to one target for retries."""
        self.client_retries.record(b"read", 1.0, 3.5)
        self.client_retries.pop_first_attempt(b"read", 1.5)
        self.assertEqual(self.client_retries.pop_first_attempt(b"read", 1.6), 1.6)

    def test_old_entries_expire(self):
        """Guards against mistaking a new request for a retry of an old one."""
        self.client_retries.record(b"read", 1.0, 3.5)
        now = 3.6
        self.assertEqual(self.client_retries.pop_first_attempt(b"read", now), now)

    def test_retry_of_a_patient_caller_is_recognized(self):
        """Guards against a bound that holds for the deadlines of some sites only.

        Callers of large/tobar-mesh-large wait up to 15.8 s, and a third of that before
        a retry.
        """
        self.client_retries.record(b"read", 1.0, 16.8)
        self.assertEqual(self.client_retries.pop_first_attempt(b"read", 6.3), 1.0)

    def test_memory_is_bounded(self):
        """Guards against unbounded memory use when very many requests are refused."""
        for number in range(MAX_ENTRIES + 10):
            self.client_retries.record(number.to_bytes(4), 1.0, 3.0)
        self.assertEqual(len(self.client_retries.entries), MAX_ENTRIES)
        self.assertEqual(
            self.client_retries.pop_first_attempt((0).to_bytes(4), 2.0), 2.0
        )


if __name__ == "__main__":
    unittest.main()
