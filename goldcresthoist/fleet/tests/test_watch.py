"""Tests of the configuration watch and of the directory."""

import asyncio
import unittest
import zlib
from unittest import mock

from goldcresthoist.clock import monotonic
from goldcresthoist.fleet import ConfigurationWatch, Directory
from goldcresthoist.fleet.directory import LEFT_MEMORY_S, _rank_key
from goldcresthoist.fleet.messages import (
    Departed,
    MemberAnnouncement,
    MemberLeft,
    Roster,
    VersionNotice,
    VersionReport,
)
from goldcresthoist.fleet.tests.builders import (
    FakeChannel,
    FakeCounters,
    FakeLog,
    FakeStore,
    make_record,
)
from goldcresthoist.links import LinkClosed
from goldcresthoist.links.frames import ConfigurationContent
from goldcresthoist.pauses import PauseDetector
from goldcresthoist.platform import Row, RowPage
from goldcresthoist.tests.suspension import suspended_for


def make_content(version):
    """Return the bytes of a configuration without routes."""
    return b'{"version":%d}' % version


class ConfigurationWatchTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.channel = FakeChannel()
        self.directory = Directory(make_record("10.0.0.1"), self.channel, FakeLog())
        for number in range(2, 12):
            self.directory.merge_record(make_record(f"10.0.0.{number}"))
        self.answers = {}
        self.boot_time = 100.0
        self.log = FakeLog()
        self.counters = FakeCounters()
        self.watch = ConfigurationWatch(
            self.directory,
            FakeStore(),
            self.fetch,
            self.log,
            self.counters,
            PauseDetector(lambda: self.boot_time),
        )
        self.watch.shortfall_since = monotonic()
        order = sorted(self.directory.members, key=self.directory.rank)
        self.own_rank = self.directory.rank("10.0.0.1")
        self.ranked_before = order[: self.own_rank]

    async def fetch(self, ip):
        if ip not in self.answers:
            raise LinkClosed(f"no link to {ip}")
        return self.answers[ip]

    def deliver_report(self, ip, version, age_ms):
        self.channel.deliver(VersionReport(ip, version, age_ms), ip)

    def rank_own_last(self):
        """Give the tested daemon the last rank; return the others in their order."""
        self.directory._ranks = {
            ip: rank for rank, ip in enumerate(self.directory.other_addresses())
        }
        self.directory._ranks["10.0.0.1"] = len(self.directory._ranks)
        return self.directory.other_addresses()

    async def test_number_of_watchers_is_limited(self):
        """Guards against a rate of calls to the store that grows with the fleet.

        A daemon must not watch the store while two daemons of lower rank do so.
        """
        first, second = self.rank_own_last()[:2]
        self.deliver_report(first, 1, 100)
        self.deliver_report(second, 1, 100)
        self.assertFalse(self.watch._should_watch(monotonic() + 0.5))

    async def test_next_in_order_takes_over(self):
        """Guards against a fleet without a watcher after both were lost.

        The reports of both become invalid, and the last daemon in the order takes over.
        """
        first, second = self.rank_own_last()[:2]
        self.deliver_report(first, 1, 100)
        self.deliver_report(second, 1, 100)
        now = monotonic()
        self.watch._should_watch(now)
        self.assertFalse(self.watch._should_watch(now + 1.5))
        self.assertTrue(self.watch._should_watch(now + 2.0))

    async def test_watcher_without_the_store_does_not_count(self):
        """Guards against a fleet whose only watchers cannot reach the store.

        Such a watcher continues to send reports, but with an old confirmation or none.
        """
        first, second = self.rank_own_last()[:2]
        self.deliver_report(first, 1, 1_400)
        self.deliver_report(second, 1, -1)
        now = monotonic() + 0.2
        self.watch._should_watch(now)
        self.assertTrue(self.watch._should_watch(now + 0.5))

    async def test_version_never_decreases(self):
        """Guards against a newer configuration that is replaced by an older one."""
        self.watch._apply(make_content(5))
        self.watch._apply(make_content(3))
        self.assertEqual(self.watch.table.version, 5)

    async def test_newer_version_is_fetched(self):
        """Guards against a daemon that does not fetch a newer reported version."""
        ip = self.directory.other_addresses()[0]
        content = zlib.compress(make_content(9))
        self.answers[ip] = ConfigurationContent(9, 10, content)
        self.deliver_report(ip, 9, 10)
        await self.watch.fetch_task
        self.assertEqual(self.watch.table.version, 9)

    async def test_new_process_accepts_no_unconfirmed_version(self):
        """Guards against a daemon that starts with an outdated version.

        The version that is reported during an outage of the store may be an old one.
        """
        ip = self.directory.other_addresses()[0]
        self.deliver_report(ip, 9, 5_000)
        self.deliver_report(ip, 9, -1)
        self.assertIsNone(self.watch.fetch_task)

    async def process(self, content=None):
        """Process a response of the store with this configuration, or without one."""
        rows = () if content is None else (Row("config", content, 1, False),)
        await self.watch._process_page(RowPage(rows, 1))

    async def test_what_arrived_in_a_pause_confirms_nothing_new(self):
        """Guards against a daemon that was frozen and takes an old version for new.

        The report lay in its socket for as long as the freeze lasted.
        """
        ip = self.directory.other_addresses()[0]
        self.boot_time += 5.0
        self.deliver_report(ip, 9, 10)
        self.assertIsNone(self.watch.fetch_task)
        await self.process(make_content(5))
        self.assertGreater(self.watch.age_s(monotonic()), 4.9)
        self.boot_time += 0.2
        await self.process(make_content(6))
        self.assertLess(self.watch.age_s(monotonic()), 1.0)

    async def test_suspension_counts_for_the_age_of_a_version(self):
        """Guards against a version that is passed on as confirmed and is outdated.

        The machine of a watcher was suspended, and the clock of its timers stood still.
        A daemon that starts without the store would put the version in force.
        """
        await self.process(make_content(5))
        with suspended_for(8.0):
            self.watch._send_version_report()
            content = self.watch.current_content()
        report, _ = self.channel.sent[-1]
        self.assertGreaterEqual(report.age_ms, 8_000)
        self.assertGreaterEqual(report.watch_age_ms, 8_000)
        self.assertGreaterEqual(content.age_ms, 8_000)

    async def test_malformed_configuration_is_not_confirmed(self):
        """Guards against an outdated version that is reported as the newest.

        The last valid version stays in force, but daemons that start must not take it,
        and it is not confirmed by later responses without a change either.
        """
        await self.process(make_content(5))
        confirmed_at = self.watch.confirmed_at
        for content in (b"junk", None):
            await self.process(content)
            self.assertEqual(self.watch.table.version, 5)
            self.assertEqual(self.watch.confirmed_at, confirmed_at)
            self.assertGreater(self.watch.watched_at, confirmed_at)
        self.assertEqual(self.counters.total("configurations_malformed"), 1)
        await self.process(make_content(6))
        self.assertEqual(self.watch.confirmed_at, self.watch.watched_at)

    async def test_malformed_configuration_adds_no_watchers(self):
        """Guards against a fleet in which every daemon calls the store.

        The watchers still watch while the newest configuration is malformed.
        """
        for ip in self.rank_own_last()[:2]:
            self.channel.deliver(VersionReport(ip, 5, 9_000, 100), ip)
        self.assertFalse(self.watch._should_watch(monotonic() + 0.5))

    async def test_unknown_parts_are_logged_once_for_each_version(self):
        """Guards against a log that hides, or repeats, what has no effect."""
        for version in (5, 5, 6):
            await self.process(b'{"version":%d,"x":1}' % version)
        logged = [fields for name, fields in self.log.events if "understood" in name]
        self.assertEqual([fields["version"] for fields in logged], [5, 6])
        self.assertEqual(logged[0]["unknown"], ("field x",))

    async def test_malformed_content_is_ignored(self):
        """Guards against a daemon that crashes on the content another one sends."""
        ip = self.directory.other_addresses()[0]
        for content in (b"junk", zlib.compress(b"junk"), b""):
            self.answers[ip] = ConfigurationContent(9, 10, content)
            self.deliver_report(ip, 9, 10)
            await self.watch.fetch_task
            self.assertIsNone(self.watch.table)

    async def test_store_is_read_when_no_watcher_can_be_reached(self):
        """Guards against an old configuration behind connections that fell silent.

        The reports of the watchers are datagrams and arrive, but fetches get no
        response.
        """

        async def fetch(_ip):
            await asyncio.Event().wait()

        store = FakeStore({"config": make_content(9)})
        self.watch.fetch = fetch
        self.watch.store = store
        first, second = self.rank_own_last()[:2]
        deadline = monotonic() + 1.0
        while self.watch.version < 9 and monotonic() < deadline:
            self.deliver_report(first, 9, 10)
            self.deliver_report(second, 9, 10)
            await asyncio.sleep(0.1)
        self.assertEqual(self.watch.version, 9)
        self.assertEqual(store.reads, 1)

    async def test_rows_are_read_again_in_each_era(self):
        """Guards against changes that a cursor from before a restore skips.

        The changes after it are in the page of the new era, the one before is not.
        """
        store = FakeStore({"config": make_content(5)})
        self.watch.store = store
        store.era = 1
        await self.watch._poll_store()
        store.values["config"] = make_content(6)
        store.era = 2
        await self.watch._poll_store()
        self.assertIsNone(self.watch.cursor)
        await self.watch._poll_store()
        self.assertEqual(self.watch.version, 6)
        self.assertEqual(store.reads, 2)

    async def test_watcher_behind_gets_few_offers(self):
        """Guards against a datagram of each daemon for each report of a watcher.

        A watcher that is only about to read a change gets none.
        """
        ip = self.directory.other_addresses()[0]
        self.watch._apply(make_content(5))
        self.deliver_report(ip, 4, 10)
        self.assertEqual(self.channel.sent, [])
        for _ in range(1_000):
            self.deliver_report(ip, 4, 10)
        offers = [item for item, ips in self.channel.sent if ips == (ip,)]
        self.assertEqual({item.version for item in offers}, {5})
        # One of eleven daemons sends 4 / 11 offers for each report.
        self.assertAlmostEqual(len(offers), 364, delta=80)

    async def test_offer_is_followed_by_a_daemon_with_a_configuration(self):
        """Guards against an older configuration that a running daemon keeps.

        The store has not confirmed the newer one since its restore.
        """
        ip = self.directory.other_addresses()[0]
        self.answers[ip] = ConfigurationContent(9, -1, zlib.compress(make_content(9)))
        self.watch._apply(make_content(5))
        for age_ms in (5_000, -1):
            self.channel.deliver(VersionNotice(ip, 9, age_ms), ip)
        await self.watch.fetch_task
        self.assertEqual(self.watch.version, 9)
        self.assertEqual(self.watch.confirmed_at, float("-inf"))

    async def test_report_with_another_address_is_ignored(self):
        """Guards against a daemon that sends reports in the name of other watchers."""
        self.channel.deliver(VersionReport("10.0.0.5", 9, 10), "10.0.0.6")
        self.assertEqual(self.watch.reports, {})


class FetchTreeTest(unittest.IsolatedAsyncioTestCase):
    """A daemon in a fleet of 200 whose source is not the first watcher."""

    def setUp(self):
        self.channel = FakeChannel()
        records = [make_record(f"10.0.1.{number}") for number in range(200)]
        order = sorted(records, key=lambda record: _rank_key(record.ip))
        self.watcher, self.source, self.own = (order[n].ip for n in (0, 2, 40))
        self.directory = Directory(order[40], self.channel, FakeLog())
        for record in records:
            self.directory.merge_record(record)
        self.fetched = []
        self.answers = {}
        self.watch = ConfigurationWatch(
            self.directory, None, self.fetch, FakeLog(), FakeCounters(), PauseDetector()
        )

    async def fetch(self, ip):
        self.fetched.append(ip)
        if ip not in self.answers:
            raise LinkClosed(f"no link to {ip}")
        return self.answers[ip]

    def answer(self, ip, version):
        content = zlib.compress(make_content(version))
        self.answers[ip] = ConfigurationContent(version, 10, content)

    async def wait_for_version(self, version):
        async with asyncio.timeout(5.0):
            while self.watch.version < version:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    def test_each_member_has_one_source_and_few_dependents(self):
        """Guards against a watcher that hands the configuration to the whole fleet."""
        directories = []
        for record in self.directory.members.values():
            directory = Directory(record, FakeChannel(), FakeLog())
            directory.members = self.directory.members
            directories.append(directory)
        served = [ip for item in directories for ip in item.dependents()]
        self.assertEqual(len(served), 199)
        self.assertEqual(len(set(served)), 199)
        for directory in directories:
            self.assertLessEqual(len(directory.dependents()), 16)
            for ip in directory.dependents():
                other = next(item for item in directories if item.own.ip == ip)
                self.assertEqual(other.source(), directory.own.ip)

    async def test_notice_of_the_source_is_followed_at_once(self):
        """Guards against a version that waits at each level of the tree."""
        self.watch._apply(make_content(5))
        self.answer(self.source, 9)
        self.channel.deliver(VersionReport(self.watcher, 9, 10), self.watcher)
        self.channel.deliver(VersionNotice(self.source, 9, 10), self.source)
        await self.wait_for_version(9)
        self.assertEqual(self.fetched, [self.source])

    async def test_watcher_replaces_a_lost_source(self):
        """Guards against an old configuration below a lost daemon of the tree."""
        self.watch._apply(make_content(5))
        self.answer(self.watcher, 9)
        started = monotonic()
        self.channel.deliver(VersionReport(self.watcher, 9, 10), self.watcher)
        await self.wait_for_version(9)
        self.assertLess(monotonic() - started, 1.0)

    async def test_new_process_drops_an_older_version_of_its_source(self):
        """Guards against a daemon that starts with an outdated version."""
        self.answer(self.source, 7)
        self.answer(self.watcher, 9)
        self.channel.deliver(VersionReport(self.watcher, 9, 10), self.watcher)
        await self.wait_for_version(1)
        self.assertEqual(self.watch.version, 9)
        self.assertEqual(self.fetched, [self.source, self.watcher])

    async def test_fetched_version_is_passed_on(self):
        """Guards against a tree that ends after its first level."""
        self.directory.own = self.directory.members[self.source]
        self.answer(self.watcher, 9)
        self.channel.deliver(VersionReport(self.watcher, 9, 10), self.watcher)
        await self.wait_for_version(9)
        await asyncio.sleep(0)
        notices = [
            ips for item, ips in self.channel.sent if isinstance(item, VersionNotice)
        ]
        self.assertEqual(notices, [tuple(self.directory.dependents())])
        self.assertIn(self.own, notices[0])

    async def test_outdated_notice_is_not_followed(self):
        """Guards against an unconfirmed version that passes down the tree."""
        for age_ms in (-1, 5_000):
            self.channel.deliver(VersionNotice(self.source, 9, age_ms), self.source)
        self.channel.deliver(VersionNotice(self.source, 9, 10), "10.0.9.9")
        self.assertIsNone(self.watch.fetch_task)


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.channel = FakeChannel()
        self.directory = Directory(make_record("10.0.0.1"), self.channel, FakeLog())

    def test_later_record_replaces_earlier_one(self):
        """Guards against a delayed datagram that restores an earlier service."""
        seen = []
        self.directory.on_member = seen.append
        new = make_record("10.0.0.2", "desk", born_ms=5)
        self.channel.deliver(MemberAnnouncement(new), "10.0.0.2")
        self.channel.deliver(
            MemberAnnouncement(make_record("10.0.0.2", born_ms=4)), "10.0.0.2"
        )
        self.channel.deliver(Roster((make_record("10.0.0.3"),)), "10.0.0.2")
        self.assertEqual([record.ip for record in seen], ["10.0.0.2", "10.0.0.3"])
        self.assertEqual(self.directory.members["10.0.0.2"].service, "desk")

    def test_members_are_logged_together(self):
        """Guards against a log line for each pair of daemons at the start of a fleet.

        At 195 daemons these were 38,000 lines in the first second.
        """
        for number in range(2, 196):
            self.directory.merge_record(make_record(f"10.0.0.{number}"))
        self.directory.log_changes()
        self.directory.log_changes()
        ((name, fields),) = self.directory.log.events
        self.assertEqual(
            (name, fields["known"], fields["changed"]), ("members", 195, 194)
        )
        self.assertLess(len(str(fields)), 400)
        self.assertEqual(fields["digest"], self.directory.digest().hex())

    def test_member_that_leaves_is_removed(self):
        """Guards against a fleet that keeps every instance it ever had.

        Each of them had a part of the retry budget, a connection attempt every 2 s from
        the daemons that had selected it, and a place among the watchers of the store.
        """
        removed = []
        self.directory.on_member_left = removed.append
        for number in (2, 3):
            self.directory.merge_record(make_record(f"10.0.0.{number}", born_ms=5))
        before = self.directory.digest()
        self.channel.deliver(MemberLeft("10.0.0.2", 5), "10.0.0.2")
        self.channel.deliver(MemberLeft("10.0.0.2", 5), "10.0.0.2")
        self.assertEqual([record.ip for record in removed], ["10.0.0.2"])
        self.assertEqual(set(self.directory.members), {"10.0.0.1", "10.0.0.3"})
        self.assertNotEqual(self.directory.digest(), before)
        late = make_record("10.0.0.2", born_ms=5)
        self.assertFalse(self.directory.merge_record(late))
        self.assertTrue(self.directory.merge_record(make_record("10.0.0.2", "desk", 6)))

    def test_only_the_last_daemon_of_an_address_can_leave(self):
        """Guards against a live member that is removed.

        Another daemon says that it leaves, or the message of an earlier process comes
        late.
        """
        self.directory.merge_record(make_record("10.0.0.2", born_ms=5))
        self.channel.deliver(MemberLeft("10.0.0.2", 9), "10.0.0.3")
        self.channel.deliver(MemberLeft("10.0.0.2", 4), "10.0.0.2")
        self.channel.deliver(MemberLeft("10.0.0.1", 9), "10.0.0.1")
        self.assertEqual(set(self.directory.members), {"10.0.0.1", "10.0.0.2"})

    def test_successor_with_a_clock_behind_is_found(self):
        """Guards against an instance that nobody calls since its clock was set back."""
        self.directory.merge_record(make_record("10.0.0.2", born_ms=5))
        self.channel.deliver(MemberLeft("10.0.0.2", 5), "10.0.0.2")
        successor = make_record("10.0.0.2", "desk", born_ms=4)
        later = monotonic() + LEFT_MEMORY_S
        with mock.patch("goldcresthoist.fleet.directory.monotonic", lambda: later):
            self.assertTrue(self.directory.merge_record(successor))

    def test_own_record_is_not_replaced(self):
        """Guards against a forged row that replaces the daemon's own record."""
        self.directory.merge_record(make_record("10.0.0.1", "desk", born_ms=99))
        self.assertEqual(self.directory.members["10.0.0.1"].service, "ledger")

    def test_roster_request_returns_the_departure(self):
        """Guards against a restarted daemon that uses an upstream that has left."""
        departed = Departed("10.0.0.2", "i-1", 7)
        self.channel.deliver(departed, "10.0.0.2")
        self.channel.sent.clear()
        self.channel.deliver_roster_request("10.0.0.2")
        self.assertIn((departed, ("10.0.0.2",)), self.channel.sent)

    def test_earlier_departure_does_not_replace_a_later_one(self):
        """Guards against a restarted daemon that uses an upstream that has left.

        A datagram or row with the departure of an earlier run arrives last.
        """
        later = Departed("10.0.0.2", "i-2", 9)
        for departed in (later, Departed("10.0.0.2", "i-1", 7)):
            self.channel.deliver(departed, "10.0.0.2")
        unknown_start = Departed("10.0.0.3", "i-3", 0, 20)
        for departed in (unknown_start, Departed("10.0.0.3", "i-1", 7)):
            self.channel.deliver(departed, "10.0.0.3")
        self.channel.sent.clear()
        for ip, departed in (("10.0.0.2", later), ("10.0.0.3", unknown_start)):
            self.channel.deliver_roster_request(ip)
            self.assertIn((departed, (ip,)), self.channel.sent)

    def test_each_own_departure_calls_the_handler(self):
        """Guards against an earlier run that is in use after a later one has left."""
        seen = []
        self.directory.on_departure = seen.append
        for departed in (
            Departed("10.0.0.1", "i-2", 9),
            Departed("10.0.0.1", "i-1", 7),
        ):
            self.channel.deliver(departed, "10.0.0.2")
        self.assertEqual([item.identity for item in seen], ["i-2", "i-1"])

    def test_own_departure_calls_the_handler(self):
        """Guards against a departure of the local upstream that has no effect.

        Another daemon sends the departure back after this one has restarted.
        """
        seen = []
        self.directory.on_departure = seen.append
        self.channel.deliver(Departed("10.0.0.1", "i-1", 7), "10.0.0.2")
        self.assertEqual([item.identity for item in seen], ["i-1"])
