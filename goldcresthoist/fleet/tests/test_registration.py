"""Tests of the rows of the members."""

import asyncio
import unittest

from goldcresthoist.fleet import Directory, Registration
from goldcresthoist.fleet.messages import Departed, Renew, encode_record
from goldcresthoist.fleet.registration import DEPARTED_PREFIX, MEMBER_PREFIX
from goldcresthoist.fleet.tests.builders import (
    FakeChannel,
    FakeLog,
    FakeStore,
    make_record,
)
from goldcresthoist.platform import StoreUnavailable


class FakeWatch:
    """Always the first follower."""

    def is_first(self):
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
        """Guards against forged rows that name members or end the daemon."""
        await self.registration._read()
        self.assertEqual(set(self.directory.members), {"10.0.0.1", "10.0.0.2"})

    async def test_own_departure_is_remembered(self):
        """Guards against an acknowledgement that a restart forgets."""
        seen = []
        self.directory.on_departure = seen.append
        await self.registration._read()
        self.assertEqual([item.identity for item in seen], ["i-1"])
        self.assertTrue(self.registration.loaded.is_set())

    async def test_lost_rows_remove_no_member_and_are_written_again(self):
        """Guards against upstreams lost because the store dropped their rows."""
        self.directory.learn(make_record("10.0.0.5"))
        self.store.kept.clear()
        await self.registration._compare()
        self.assertIn(MEMBER_PREFIX + "10.0.0.1", self.store.kept)
        self.assertIn("10.0.0.5", self.directory.members)
        self.assertIn((Renew(), ("10.0.0.5",)), self.channel.sent)

    async def test_departure_is_acknowledged_with_the_store_away(self):
        """Guards against an upstream that waits for an acknowledgement in vain."""
        self.store.error = StoreUnavailable("away")
        await self.registration.record_departure(Departed("10.0.0.1", "i-1", 7))
        self.assertEqual(self.log.events[-1][0], "departure not stored")

    async def test_members_of_all_pages_are_found(self):
        """Guards against a large fleet of which only the first rows are known.

        The store answers 500 rows at a time; the departures sort before the members.
        """
        for number in range(40):
            ip = f"10.0.1.{number}"
            self.store.kept[MEMBER_PREFIX + ip] = encode_record(make_record(ip))
        present = await self.registration._read()
        self.assertEqual(len(present), 41)
        self.assertEqual(len(self.directory.members), 42)

    async def test_knee_of_a_service_outlives_its_daemons(self):
        """Guards against upstreams filled beyond their knee after a loss of power."""
        self.registration.record_knee("lookup")
        await asyncio.gather(*self.registration.tasks)
        found = []
        self.directory.on_knee = found.append
        await self.registration._read()
        self.assertEqual(found, ["lookup"])

    async def test_store_errors_are_tried_again(self):
        """Guards against a daemon that gives up joining."""
        self.store.error = StoreUnavailable("away")
        self.assertFalse(await self.registration._try(self.registration._write))
        self.store.error = None
        self.assertTrue(await self.registration._try(self.registration._write))
