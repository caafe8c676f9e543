"""Tests of the parts that decide about quotas, and of their messages."""

import unittest

import msgspec

from goldcresthoist.bench.quota_fleet import LIMITS, QuotaFleet
from goldcresthoist.fleet.messages import QuotaNotice, QuotaReply, QuotaReport
from goldcresthoist.quotas import MemberOrder, QuotaCounter, TimeShare
from goldcresthoist.workspaces import Workspace

OWNERS = ["a", "b", "c", "d"]
QUOTA = Workspace("acme", (), None, 10.0, 20.0)


class CounterTest(unittest.TestCase):
    def setUp(self):
        self.counter = QuotaCounter(LIMITS)

    def allot(self, owners, now, exclusive=True, allotted_s=0.3):
        for ip in owners:
            self.counter.allot(0, ip, allotted_s, exclusive, OWNERS, now)

    def take(self, wanted, now, returned=0):
        return self.counter.take(0, QUOTA, wanted, returned, 0, OWNERS, now)

    def test_rate_and_stock_are_those_of_the_owners(self):
        """Guards against tokens for the time of daemons that are not reached."""
        self.take(50, 0.0)
        for step in range(1, 101):
            self.allot(OWNERS[:2], 0.3 * step)
        half = self.take(100, 30.0).granted
        least = LIMITS.stock(QUOTA, 0.0)
        self.assertEqual(half, int(least + 0.5 * (20.0 - least)))
        self.allot(["stranger"], 30.0)
        self.assertEqual(self.take(5, 30.0).granted, 0)

    def test_time_that_one_message_allots_is_bounded(self):
        """Guards against a malformed message that fills the buckets."""
        self.take(50, 0.0)
        self.allot(OWNERS, 0.1, allotted_s=1e9)
        self.assertLessEqual(self.take(50, 0.1).granted, 4)

    def test_stock_set_aside_comes_back(self):
        """Guards against tokens lost, or doubled, when owners are lost for a moment."""
        for step in range(100):
            self.allot(OWNERS, 0.3 * step)
            self.take(0, 0.3 * step)
        self.allot(OWNERS, 30.0, exclusive=False, allotted_s=0.0)
        few = self.take(20, 30.0).granted
        self.allot(OWNERS, 30.1, allotted_s=0.0)
        self.assertEqual(few, int(LIMITS.stock(QUOTA, 0.0)))
        self.assertAlmostEqual(few + self.take(20, 30.1).granted, 20, delta=1)

    def test_returned_tokens_are_used_again(self):
        """Guards against requests that count although they were refused."""
        granted = self.take(50, 0.0).granted
        self.assertEqual(self.take(granted, 0.0, returned=granted).granted, granted)


class TimeShareTest(unittest.TestCase):
    def test_time_is_allotted_once_and_to_the_first_counter(self):
        """Guards against two counters that grant tokens for the same time."""
        share = TimeShare(0.0)
        self.assertAlmostEqual(share.allot(0, "a", 0, 0.3), 0.3)
        self.assertEqual(share.allot(0, "b", 1, 0.3), 0.0)
        share.hear(0, 0, 0.4)
        self.assertEqual(share.allot(0, "b", 1, 0.6), 0.0)
        self.assertEqual(share.allot(0, "b", 1, 10.0), 0.35)
        self.assertFalse(share.is_exclusive(0, "b", 7.2))
        self.assertTrue(share.is_exclusive(0, "b", 7.4))
        self.assertAlmostEqual(share.take_local(0, 10.2), 0.2)


class OrderTest(unittest.TestCase):
    def test_order_does_not_depend_on_the_history(self):
        """Guards against daemons that compute different counters."""
        ips = [f"10.0.0.{number}" for number in range(120)]
        early, late = MemberOrder(), MemberOrder()
        for ip in ips:
            early.add(ip)
            early.owners(0)
        for ip in ips[::-1]:
            late.add(ip)
        for ip in ips[10:50]:
            early.discard(ip)
            late.discard(ip)
        self.assertEqual((early.groups, early.owners(1)), (16, late.owners(1)))

    def test_groups_of_a_large_fleet(self):
        """Guards against an order that takes long, or changes with each member."""
        order = MemberOrder()
        for number in range(20_000):
            order.add(f"10.1.{number // 250}.{number % 250}")
        owners = order.owners(100)
        self.assertEqual((order.groups, len(set(owners))), (128, 16))
        order.discard(owners[0])
        order.add("10.2.0.1")
        self.assertLessEqual(len(set(owners[1:]) - set(order.owners(100))), 1)


class MessageTest(unittest.TestCase):
    def test_invalid_messages_are_dropped(self):
        """Guards against state or answers for malformed and misattributed messages."""
        fleet = QuotaFleet(75, 5.0, 5.0)
        counter, other = fleet.counters()[:2]
        service = fleet.daemons[counter]
        group = service.order.group_of("acme")
        sender = fleet.daemons[other]
        groups = service.order.groups
        report = QuotaReport(
            sender._number, groups, group, 7, 1, 0, False, (("acme", 1, 0),)
        )
        replace = msgspec.structs.replace
        for bad in (
            replace(report, ip=-1),
            replace(report, ip=5),
            replace(report, group=groups),
            replace(report, groups=-1),
            replace(report, number=-1),
            replace(report, items=(("acme", -1, 0),)),
            replace(report, items=(("acme", 1, 10**9),)),
            replace(report, items=(("acme", 1, 0),) * 500),
        ):
            service._on_report(bad, other)
        service._on_notice(QuotaNotice(sender._number, groups, 99), other)
        service._on_reply(QuotaReply(sender._number, 7, 1, ((10**9, 0),)), other)
        self.assertEqual((len(service.counter), fleet.sent.total()), (0, 0))
        service._on_report(report, other)
        service._on_report(report, other)
        self.assertEqual(fleet.sent["QuotaReply"], 1)

    def test_only_one_counter_gets_returned_tokens(self):
        """Guards against a returned token that several counters add to a bucket."""
        fleet = QuotaFleet(75, 5.0, 5.0)
        order = fleet.daemons[fleet.ips[0]].order
        owners = order.owners(order.group_of("acme"))
        service = fleet.daemons[next(ip for ip in fleet.ips if ip not in owners)]
        returned = []
        service.channel.send = lambda message, ips: returned.extend(
            item[2] for item in message.items
        )
        # Another counter has granted it in vain.
        service.admission._state(fleet.workspace)
        service.admission._add_returned("acme", 1)
        service.admit(fleet.workspace)
        fleet.run_until(100.3)
        self.assertEqual((len(returned), sum(returned)), (7, 1))

    def test_messages_fit_into_a_packet(self):
        """Guards against datagrams that the network splits or drops."""
        fleet = QuotaFleet(3, 5.0, 5.0)
        service = fleet.daemons[fleet.ips[0]]
        sizes = []
        service.channel.send = lambda message, ips: sizes.append(
            len(msgspec.msgpack.encode(message))
        )
        for number in range(200):
            service.admit(Workspace(f"workspace-{number}", (), None, 5.0, 5.0))
        fleet.run_until(101.0)
        self.assertGreater(max(sizes), 600)
        self.assertLess(max(sizes), 1200 - 16)


if __name__ == "__main__":
    unittest.main()
