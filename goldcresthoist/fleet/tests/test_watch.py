"""Tests of who follows the configuration and of what is taken over."""

import unittest
import zlib
from time import monotonic

from goldcresthoist.fleet import ConfigurationWatch, Directory
from goldcresthoist.fleet.messages import Announce, Beacon, Departed, Roster
from goldcresthoist.fleet.tests.builders import FakeChannel, FakeLog, make_record
from goldcresthoist.links import LinkClosed
from goldcresthoist.links.frames import ConfigurationContent


def make_content(version):
    """Return the bytes of a configuration without routes."""
    return b'{"version":%d}' % version


class ConfigurationWatchTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.channel = FakeChannel()
        self.directory = Directory(make_record("10.0.0.1"), self.channel, FakeLog())
        for number in range(2, 12):
            self.directory.learn(make_record(f"10.0.0.{number}"))
        self.answers = {}
        self.watch = ConfigurationWatch(self.directory, None, self.fetch, FakeLog())
        self.watch.quiet_since = monotonic()
        order = sorted(self.directory.members, key=self.directory.rank)
        self.own_rank = self.directory.rank("10.0.0.1")
        self.before = order[: self.own_rank]

    async def fetch(self, ip):
        if ip not in self.answers:
            raise LinkClosed(f"no link to {ip}")
        return self.answers[ip]

    def beacon(self, ip, version, age_ms):
        self.channel.deliver(Beacon(ip, version, age_ms), ip)

    def place_last(self):
        """Make the own daemon the last in the order."""
        self.directory._ranks = {
            ip: place for place, ip in enumerate(self.directory.others())
        }
        self.directory._ranks["10.0.0.1"] = len(self.directory._ranks)
        return self.directory.others()

    async def test_few_follow_the_store(self):
        """Guards against calls to the store that grow with the fleet."""
        first, second = self.place_last()[:2]
        self.beacon(first, 1, 100)
        self.beacon(second, 1, 100)
        self.assertFalse(self.watch._should_follow(monotonic() + 0.5))

    async def test_next_in_order_takes_over(self):
        """Guards against a fleet without a follower after both were lost."""
        first, second = self.place_last()[:2]
        self.beacon(first, 1, 100)
        self.beacon(second, 1, 100)
        now = monotonic()
        self.watch._should_follow(now)
        self.assertFalse(self.watch._should_follow(now + 1.5))
        self.assertTrue(self.watch._should_follow(now + 2.0))

    async def test_follower_cut_off_from_the_store_does_not_count(self):
        """Guards against a beacon that hides that its sender hears nothing new."""
        first, second = self.place_last()[:2]
        self.beacon(first, 1, 1_400)
        self.beacon(second, 1, -1)
        now = monotonic() + 0.2
        self.watch._should_follow(now)
        self.assertTrue(self.watch._should_follow(now + 0.5))

    async def test_version_never_goes_back(self):
        """Guards against an older configuration after a newer one."""
        self.watch._apply(make_content(5))
        self.watch._apply(make_content(3))
        self.assertEqual(self.watch.table.version, 5)

    async def test_newer_version_is_fetched(self):
        """Guards against a daemon that learns of a version and does not get it."""
        ip = self.directory.others()[0]
        content = zlib.compress(make_content(9))
        self.answers[ip] = ConfigurationContent(9, 10, content)
        self.beacon(ip, 9, 10)
        await self.watch.fetching
        self.assertEqual(self.watch.table.version, 9)

    async def test_new_process_takes_no_unconfirmed_version(self):
        """Guards against a process that starts with an old version, the store away."""
        ip = self.directory.others()[0]
        self.beacon(ip, 9, 5_000)
        self.beacon(ip, 9, -1)
        self.assertIsNone(self.watch.fetching)

    async def test_malformed_content_is_ignored(self):
        """Guards against a daemon that ends by what another one sends."""
        ip = self.directory.others()[0]
        for content in (b"junk", zlib.compress(b"junk"), b""):
            self.answers[ip] = ConfigurationContent(9, 10, content)
            self.beacon(ip, 9, 10)
            await self.watch.fetching
            self.assertIsNone(self.watch.table)

    async def test_beacon_under_another_name_is_ignored(self):
        """Guards against one sender that speaks for all followers."""
        self.channel.deliver(Beacon("10.0.0.5", 9, 10), "10.0.0.6")
        self.assertEqual(self.watch.heard, {})


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.channel = FakeChannel()
        self.directory = Directory(make_record("10.0.0.1"), self.channel, FakeLog())

    def test_later_record_replaces_earlier_one(self):
        """Guards against a late datagram that brings an old service back."""
        seen = []
        self.directory.on_member = seen.append
        new = make_record("10.0.0.2", "desk", born_ms=5)
        self.channel.deliver(Announce(new), "10.0.0.2")
        self.channel.deliver(Announce(make_record("10.0.0.2", born_ms=4)), "10.0.0.2")
        self.channel.deliver(Roster((make_record("10.0.0.3"),)), "10.0.0.2")
        self.assertEqual([record.ip for record in seen], ["10.0.0.2", "10.0.0.3"])
        self.assertEqual(self.directory.members["10.0.0.2"].service, "desk")

    def test_nobody_replaces_the_own_record(self):
        """Guards against a forged row that changes what this daemon is."""
        self.directory.learn(make_record("10.0.0.1", "desk", born_ms=99))
        self.assertEqual(self.directory.members["10.0.0.1"].service, "ledger")

    def test_departures_come_back_to_who_asks(self):
        """Guards against a restarted daemon that sends work to a leaving upstream."""
        departed = Departed("10.0.0.2", "i-1", 7)
        self.channel.deliver(departed, "10.0.0.2")
        self.channel.sent.clear()
        self.channel.ask_roster("10.0.0.2")
        self.assertIn((departed, ("10.0.0.2",)), self.channel.sent)

    def test_own_departure_is_told(self):
        """Guards against a reminder that has no effect."""
        seen = []
        self.directory.on_departure = seen.append
        self.channel.deliver(Departed("10.0.0.1", "i-1", 7), "10.0.0.2")
        self.assertEqual([item.identity for item in seen], ["i-1"])
