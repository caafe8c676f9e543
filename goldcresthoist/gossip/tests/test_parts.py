"""Tests of the roster, update queue, version table and rate limiter."""

import unittest

from goldcresthoist.gossip import MemberState, Version
from goldcresthoist.gossip.messages import MemberRecord
from goldcresthoist.gossip.rate_limiter import ByteRateLimiter
from goldcresthoist.gossip.roster import Roster
from goldcresthoist.gossip.tests.builders import make_member
from goldcresthoist.gossip.updates import UpdateQueue, retransmit_limit
from goldcresthoist.gossip.versions import VersionTable


def add_members(roster, count):
    """Add members of four services in two domains to a roster."""
    for n in range(count):
        member = make_member(f"m{n}", n, f"d{n % 2}", f"s{n % 4}")
        roster.put(MemberRecord.from_member(member), 1, MemberState.ALIVE, 0.0)


class RosterTest(unittest.TestCase):
    """Guards against indexes that become inconsistent with the rows."""

    def test_digest_returns_to_its_value_after_changes(self):
        roster = Roster()
        add_members(roster, 40)
        digest, buckets = roster.digest, list(roster.buckets)
        slot = roster.slot_of("m7")
        record = roster.record(slot)
        for state in (MemberState.DEAD, MemberState.DRAINING, MemberState.ALIVE):
            roster.set_state(slot, 2, state, 0.0)
        self.assertEqual((roster.digest, list(roster.buckets)), (digest, buckets))
        roster.remove(slot)
        self.assertNotEqual(roster.digest, digest)
        roster.put(record, 9, MemberState.ALIVE, 0.0)
        self.assertEqual((roster.digest, list(roster.buckets)), (digest, buckets))

    def test_dead_member_is_not_listed_and_its_slot_is_reused(self):
        roster = Roster()
        add_members(roster, 40)
        slot = roster.slot_of("m7")
        roster.set_state(slot, 1, MemberState.DEAD, 5.0)
        self.assertEqual(len(roster.members_of("s3")), 9)
        self.assertEqual(roster.counts_by_domain()["d1"].dead, 1)
        self.assertEqual(roster.expired(6.0), [slot])
        roster.remove(slot)
        self.assertEqual(len(roster), 39)
        add_members(roster, 40)
        self.assertEqual(len(roster.records), 40)

    def test_members_of_reflects_a_changed_record(self):
        roster = Roster()
        add_members(roster, 4)
        self.assertEqual(len(roster.members_of("s1")), 1)
        moved = make_member("m1", 9, "d1", "s2")
        roster.put(MemberRecord.from_member(moved), 2, MemberState.ALIVE, 0.0)
        self.assertEqual(roster.members_of("s1"), [])
        found = {member.instance for member in roster.members_of("s2")}
        self.assertEqual(found, {"m1", "m2"})


class UpdateQueueTest(unittest.TestCase):
    """Guards against updates that are sent without limit or starve others."""

    def test_each_update_is_sent_a_bounded_number_of_times(self):
        queue = UpdateQueue()
        for key in range(10):
            queue.put(key, bytes([key]) * 20, own_service=False)
        limit = retransmit_limit(1000)
        sent = []
        while taken := queue.take(60, limit):
            sent += taken
        self.assertEqual({sent.count(bytes([k]) * 20) for k in range(10)}, {limit})

    def test_order_by_own_service_and_times_sent(self):
        queue = UpdateQueue()
        queue.put(1, b"other", own_service=False)
        queue.put(2, b"own", own_service=True)
        self.assertEqual(queue.take(3, 9), [b"own"])
        queue.put(3, b"new", own_service=False)
        self.assertEqual(queue.take(11, 9), [b"own", b"other", b"new"])

    def test_updates_with_own_limit_expire_earlier_and_can_be_discarded(self):
        queue = UpdateQueue()
        queue.put(1, b"mass", own_service=False, limit=2)
        queue.put(2, b"rare", own_service=False)
        sent = [data for _ in range(9) for data in queue.take(99, 5)]
        self.assertEqual((sent.count(b"mass"), sent.count(b"rare")), (2, 5))
        queue.put(1, b"mass", own_service=False, limit=2)
        queue.put(2, b"rare", own_service=False)
        queue.discard_limited()
        self.assertEqual(queue.take(99, 5), [b"rare"])
        self.assertEqual(queue.limits, {})

    def test_newer_update_replaces_the_older_one(self):
        queue = UpdateQueue()
        queue.put(1, b"old", own_service=True)
        queue.put(1, b"new", own_service=False)
        self.assertEqual(queue.take(99, 9), [b"new"])
        self.assertEqual(len(queue), 1)


class VersionTableTest(unittest.TestCase):
    """Guards against versions that decrease and differences that are not detected."""

    def test_lower_or_equal_version_is_rejected(self):
        table = VersionTable()
        self.assertTrue(table.put(Version("t", 2, b"x")))
        self.assertFalse(table.put(Version("t", 1, b"y")))
        self.assertFalse(table.put(Version("t", 2, b"y")))
        self.assertEqual(table.version_of("t"), 2)

    def test_order_of_arrival_does_not_matter(self):
        one, other = VersionTable(), VersionTable()
        versions = [Version(f"t{n}", n, bytes([n])) for n in range(1, 50)]
        for version in versions:
            one.put(version)
        for version in reversed(versions):
            other.put(Version(version.team, version.version - 1, b""))
            other.put(version)
        self.assertEqual(one.digest, other.digest)
        self.assertEqual(one.differing(other.bucket_digests()), [])

    def test_swapped_versions_differ(self):
        one, other = VersionTable(), VersionTable()
        for table, numbers in ((one, (1, 2)), (other, (2, 1))):
            table.put(Version("a", numbers[0], b"x"))
            table.put(Version("b", numbers[1], b"x"))
        self.assertNotEqual(one.digest, other.digest)
        self.assertEqual(len(one.newer(one.differing(other.bucket_digests()))), 0)
        self.assertEqual(len(one.newer(other.differing(one.bucket_digests()))), 1)


class ByteRateLimiterTest(unittest.TestCase):
    """Guards against a token bucket with unlimited savings or overdraft."""

    def test_overdraft_and_savings_are_limited(self):
        rate_limiter = ByteRateLimiter(100.0, 500.0, 0.0)
        rate_limiter.consume(10_000)
        self.assertEqual(rate_limiter.available(5.0), 0.0)
        self.assertEqual(rate_limiter.available(1000.0), 500.0)
