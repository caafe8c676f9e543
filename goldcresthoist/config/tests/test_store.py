"""Tests of the configuration store with stand-in servers for table and objects."""

import asyncio
import unittest

import msgspec

from goldcresthoist.config import ConfigurationConflict
from goldcresthoist.config.errors import (
    ConfigurationUnavailable,
    CorruptContent,
    ServiceTaken,
)
from goldcresthoist.config.model import TeamConfiguration
from goldcresthoist.config.store import ConfigurationStore
from goldcresthoist.config.tests.builders import make_stored_content
from goldcresthoist.config.versions import Accepted, NotAccepted, OutcomeNotKnown
from goldcresthoist.tests.platform_builders import (
    make_object_client,
    make_settings,
    make_table_client,
)
from goldcresthoist.tests.standins.objects import ObjectsStandIn
from goldcresthoist.tests.standins.table import TableStandIn


class ConfigurationStoreTest(unittest.IsolatedAsyncioTestCase):
    """Guards against accepted versions that are lost, reverted or misreported."""

    async def asyncSetUp(self):
        self.table = await self.enterAsyncContext(TableStandIn())
        self.objects = await self.enterAsyncContext(ObjectsStandIn())
        self.store = self.make_store()

    def make_store(self, timeout_s=30.0):
        store = ConfigurationStore(
            make_table_client(self.table),
            make_object_client(self.objects),
            timeout_s=timeout_s,
        )
        self.addAsyncCleanup(store.close)
        return store

    async def accept(self, team, content, expected):
        result = await self.store.apply(team, content, expected, "ann")
        self.assertIsInstance(result, Accepted)
        return result.version

    async def test_versions_can_be_read_back(self):
        first = await self.accept("a", make_stored_content("a", "one"), 0)
        second = await self.accept("a", make_stored_content("a", "one", "two"), 1)
        other = await self.accept("b", make_stored_content("b", "three"), 0)
        self.assertEqual(await self.store.current("a"), second)
        self.assertEqual(await self.store.history("a"), [first, second])
        self.assertEqual(await self.store.history("a", after=1), [second])
        self.assertEqual(await self.store.all_current(), {"a": second, "b": other})
        content = await self.store.content(first.digest)
        self.assertEqual(content, make_stored_content("a", "one"))
        self.assertIsNone(await self.store.current("c"))

    async def test_store_from_settings_accepts_a_version(self):
        settings = make_settings(table_url=self.table.url, objects_url=self.objects.url)
        store = ConfigurationStore.from_settings(settings)
        self.addAsyncCleanup(store.close)
        result = await store.apply("a", make_stored_content("a"), 0, "ann")
        self.assertIsInstance(result, Accepted)

    async def test_one_of_two_concurrent_applies_is_accepted(self):
        await self.accept("a", make_stored_content("a", "one"), 0)
        results = await asyncio.gather(
            self.store.apply("a", make_stored_content("a", "two"), 1, "ann"),
            self.make_store().apply("a", make_stored_content("a", "three"), 1, "bob"),
            return_exceptions=True,
        )
        [conflict] = [x for x in results if isinstance(x, ConfigurationConflict)]
        [accepted] = [x for x in results if isinstance(x, Accepted)]
        self.assertEqual(conflict.version, 2)
        self.assertEqual(conflict.author, accepted.version.author)
        self.assertEqual(conflict.time_s, accepted.version.time_s)

    async def test_unexpected_version_is_a_conflict(self):
        with self.assertRaises(ConfigurationConflict) as caught:
            await self.store.apply("a", make_stored_content("a"), 4, "ann")
        self.assertEqual(caught.exception.version, 0)

    async def test_service_belongs_to_one_team_until_released(self):
        await self.accept("a", make_stored_content("a", "one", "two"), 0)
        with self.assertRaises(ServiceTaken) as caught:
            await self.store.apply("b", make_stored_content("b", "two"), 0, "bob")
        self.assertEqual(caught.exception.team, "a")
        await self.accept("a", make_stored_content("a", "one"), 1)
        await self.accept("b", make_stored_content("b", "two"), 0)
        with self.assertRaises(ServiceTaken):
            await self.store.apply(
                "a", make_stored_content("a", "one", "two"), 2, "ann"
            )

    async def test_version_is_read_back_after_a_lost_response(self):
        self.table.faults.lose_answers = 1
        version = await self.accept("a", make_stored_content("a"), 0)
        self.assertEqual((await self.store.current("a")).nonce, version.nonce)

    async def test_outcome_stays_unknown_while_the_write_may_arrive_late(self):
        self.table.faults.change({"late_writes": 1, "late_close": True})
        store = self.make_store(timeout_s=0.0)
        result = await store.apply("a", make_stored_content("a"), 0, "ann")
        self.assertIsInstance(result, OutcomeNotKnown)
        before_arrival = await self.store.outcome(result.candidate)
        self.assertIsInstance(before_arrival, OutcomeNotKnown)
        self.table.release_held_writes()
        await asyncio.gather(*self.table.tasks)
        after_arrival = await self.store.outcome(result.candidate)
        self.assertEqual(after_arrival, Accepted(result.candidate))

    async def test_no_version_is_accepted_while_a_service_is_down(self):
        for standin in (self.objects, self.table):
            standin.faults.down = True
            result = await self.store.apply("a", make_stored_content("a"), 0, "ann")
            self.assertIsInstance(result, NotAccepted)
            with self.assertRaises(ConfigurationUnavailable):
                if standin is self.table:
                    await self.store.all_current()
                else:
                    await self.store.content("00")
            standin.faults.down = False
        self.assertIsNone(await self.store.current("a"))

    async def test_content_must_be_of_the_team_and_match_its_digest(self):
        other_team = msgspec.json.encode(TeamConfiguration("b", ()))
        for content in (b"{", other_team):
            with self.assertRaises(CorruptContent):
                await self.store.apply("a", content, 0, "ann")
        version = await self.accept("a", make_stored_content("a"), 0)
        name = f"test/configuration/{version.digest}"
        self.objects.objects[name] = b"other"
        with self.assertRaises(CorruptContent):
            await self.store.content(version.digest)
