"""Tests of the registration of members in the store."""

import asyncio
import unittest

from goldcresthoist.fleet import Directory, Registration
from goldcresthoist.fleet.messages import Departed, RowMissing, encode_record
from goldcresthoist.fleet.registration import DEPARTED_PREFIX, MEMBER_PREFIX
from goldcresthoist.fleet.tests.builders import (
    FakeChannel,
    FakeLog,
    FakeStore,
    make_record,
)
from goldcresthoist.platform import StoreUnavailable


class FakeWatch:
    """Stands in for the `ConfigurationWatch` of the first watcher."""

    def is_first_watcher(self):
        """Return True."""
        return True


class RegistrationTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.channel = FakeChannel()
        self.log = FakeLog()
        self.own = make_record("10.0.0.1")
        self.directory = Directory(self.own, self.channel, self.log)
        other = make_record("10.0.0.2")
        self.store = FakeStore(
            {
                MEMBER_PREFIX + "10.0.0.2": encode_record(other),
                MEMBER_PREFIX + "10.0.0.3": b"\xff not a record",
                MEMBER_PREFIX + "10.0.0.4": encode_record(make_record("10.0.0.9")),
                DEPARTED_PREFIX + "10.0.0.1": encode_record(
                    Departed("10.0.0.1", "i-1", 7)
                ),
                "something else": b"",
            }
        )
        self.registration = Registration(
            self.directory, self.store, FakeWatch(), self.log
        )

    async def test_rows_of_other_writers_are_ignored(self):
        """Guards against forged rows that add members or crash the daemon."""
        await self.registration._read()
        self.assertEqual(set(self.directory.members), {"10.0.0.1", "10.0.0.2"})

    async def test_own_departure_is_remembered(self):
        """Guards against an acknowledged departure that is lost in a restart.

        A restarted daemon reads the departure from its row in the store.
        """
        seen = []
        self.directory.on_departure = seen.append
        await self.registration._read()
        self.assertEqual([item.identity for item in seen], ["i-1"])
        self.assertTrue(self.registration.rows_loaded.is_set())

    async def test_lost_rows_remove_no_member_and_are_written_again(self):
        """Guards against members removed because the store lost their rows."""
        self.directory.merge_record(make_record("10.0.0.5"))
        self.store.values.clear()
        await self.registration._compare()
        self.assertIn(MEMBER_PREFIX + "10.0.0.1", self.store.values)
        self.assertIn("10.0.0.5", self.directory.members)
        self.assertIn((RowMissing(), ("10.0.0.5",)), self.channel.sent)

    async def test_departure_is_acknowledged_without_the_store(self):
        """Guards against a departure that is not acknowledged while the store is down.

        The call has to return, as the acknowledgement waits for it.
        """
        self.store.error = StoreUnavailable("the store is down")
        await self.registration.record_departure(Departed("10.0.0.1", "i-1", 7))
        self.assertEqual(self.log.events[-1][0], "departure not stored")

    async def test_members_of_all_pages_are_found(self):
        """Guards against members missed because only the first page of rows is read.

        The store returns up to 500 rows in a page, and the rows of departures come
        before those of members in the order of the keys.
        """
        for number in range(40):
            ip = f"10.0.1.{number}"
            self.store.values[MEMBER_PREFIX + ip] = encode_record(make_record(ip))
        registered = await self.registration._read()
        self.assertEqual(len(registered), 41)
        self.assertEqual(len(self.directory.members), 42)

    async def test_knee_of_a_service_survives_a_loss_of_all_daemons(self):
        """Guards against upstreams filled beyond their knee after a power failure.

        All daemons then start without the verdicts that they had exchanged, so the knee
        has to be read from the store.
        """
        self.registration.record_knee("lookup")
        await asyncio.gather(*self.registration.tasks)
        services = []
        self.directory.on_knee = services.append
        await self.registration._read()
        self.assertEqual(services, ["lookup"])

    async def test_calls_are_repeated_after_store_errors(self):
        """Guards against a daemon that never joins because its first call failed."""
        self.store.error = StoreUnavailable("the store is down")
        self.assertFalse(await self.registration._attempt(self.registration._write))
        self.store.error = None
        self.assertTrue(await self.registration._attempt(self.registration._write))
