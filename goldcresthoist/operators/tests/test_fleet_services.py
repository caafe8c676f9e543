"""Tests of the configuration and operations services with a fake platform."""

import asyncio
from unittest import mock

from goldcresthoist.config import (
    ServiceConfiguration,
    TeamConfiguration,
)
from goldcresthoist.config.store import ConfigurationStore
from goldcresthoist.control.tests.builders import Fleet
from goldcresthoist.operations import OperationLedger
from goldcresthoist.operators import (
    Conflict,
    DomainCount,
    InvalidRequest,
    NotFound,
    Settlement,
    Unavailable,
)
from goldcresthoist.operators.fleet_configuration import FleetConfiguration
from goldcresthoist.operators.ledger_operations import LedgerOperations
from goldcresthoist.tests.fake_platform import (
    FakeObjects,
    FakeTable,
    Host,
    VirtualTimeTestCase,
)


def team(name, service, slots=12):
    services = (ServiceConfiguration(service, slots, 0, 48, 0.08, 0.05, 0.01, ()),)
    return TeamConfiguration(name, services, ("a", "b", "lost"))


class FleetConfigurationTest(VirtualTimeTestCase):
    """Guards against accepted changes that are lost or reported incorrectly."""

    async def asyncSetUp(self):
        self.fleet = Fleet()
        self.nodes = [
            await self.fleet.add(f"{domain}-{number}", domain)
            for domain in ("a", "b")
            for number in range(3)
        ]
        await asyncio.sleep(10)
        self.table, self.objects = FakeTable(), FakeObjects()
        self.first = self.service(self.nodes[0])
        self.second = self.service(self.nodes[-1])

    def service(self, node):
        host = Host(node.membership.view.record.instance)
        store = ConfigurationStore(self.table.client(host), self.objects.client(host))
        service = FleetConfiguration(store, node.holder, node.membership, node.client)
        self.addAsyncCleanup(service.close)
        return service

    async def test_apply_reports_each_domain(self):
        report = await self.first.apply(team("t", "s1"), 0, "ann")
        self.assertEqual(report.version, 1)
        self.assertEqual(
            report.counts,
            (
                DomainCount("a", 3, 3),
                DomainCount("b", 3, 3),
                DomainCount("lost", 0, 0),
            ),
        )
        for node in self.nodes:
            self.assertEqual(node.holder.version_of("t"), 1)

    async def test_conflict_lists_the_changes_of_the_other_operator(self):
        await self.first.apply(team("t", "s1"), 0, "ann")
        await self.first.apply(team("t", "s1", slots=16), 1, "ann")
        with self.assertRaises(Conflict) as caught:
            await self.second.apply(team("t", "s1", slots=14), 1, "bo")
        self.assertIn("version 2 by ann", str(caught.exception))
        self.assertEqual(caught.exception.details, ("service s1: slots 12 -> 16",))

    async def test_apply_succeeds_when_one_table_response_is_lost(self):
        self.table.faults = ["lose"]
        report = await self.first.apply(team("t", "s1"), 0, "ann")
        self.assertEqual(report.version, 1)

    async def test_change_with_unknown_outcome_is_put_in_force_once_accepted(self):
        """Guards against an accepted version that is not in force in any daemon.

        The table executes the write only after the retries of the store have ended, so
        that the store never receives a response.
        """
        # The store repeats the write until its deadline, and no write gets a response.
        self.table.faults = ["late"] * 1000
        with self.assertRaisesRegex(Unavailable, "not known whether version 1"):
            await self.first.apply(team("t", "s1"), 0, "ann")
        self.table.faults = []
        self.table.release()
        await asyncio.sleep(30)
        for node in self.nodes:
            self.assertEqual(node.holder.version_of("t"), 1)

    async def test_store_outage_changes_nothing(self):
        self.table.down = True
        with self.assertRaisesRegex(Unavailable, "nothing was changed"):
            await self.first.apply(team("t", "s1"), 0, "ann")
        with self.assertRaises(Unavailable):
            await self.first.show("t")

    async def test_service_of_another_team_is_refused(self):
        await self.first.apply(team("t", "s1"), 0, "ann")
        with self.assertRaisesRegex(InvalidRequest, "s1"):
            await self.second.check(team("u", "s1"))
        with self.assertRaisesRegex(InvalidRequest, "s1"):
            await self.second.apply(team("u", "s1"), 0, "bo")

    async def test_differences_show_and_history(self):
        self.assertEqual((await self.first.differences(team("t", "s1")))[0], 0)
        with self.assertRaises(NotFound):
            await self.first.show("t")
        await self.first.apply(team("t", "s1"), 0, "ann")
        await self.first.apply(team("t", "s2"), 1, "bo")
        version, lines = await self.second.differences(team("t", "s1"))
        self.assertEqual(version, 2)
        self.assertEqual(lines, ("service s2: removed", "service s1: added"))
        self.assertEqual((await self.second.show("t")).author, "bo")
        await self.first.apply(team("t", "s2", slots=16), 2, "cy")
        limit = "goldcresthoist.operators.fleet_configuration.MAX_HISTORY_ENTRIES"
        with mock.patch(limit, 2):
            newest = await self.second.history("t")
        self.assertEqual([entry.version for entry in newest], [3, 2])
        authors = [entry.author for entry in await self.second.history("t")]
        self.assertEqual(authors, ["cy", "bo", "ann"])


class LedgerOperationsTest(VirtualTimeTestCase):
    """Guards against operations that are not listed or can be settled wrongly."""

    async def asyncSetUp(self):
        self.table, self.objects = FakeTable(), FakeObjects()
        host = Host("d")
        self.ledger = OperationLedger(
            self.table.client(host), self.objects.client(host)
        )
        self.ended_owners = {"old"}
        holder = type("Holder", (), {"owners": {"ledger": {"t"}}})()
        self.operations = LedgerOperations(
            self.ledger,
            holder,
            self.ended_owners.__contains__,
            lambda status, headers, body: b"%d %b" % (status, body),
        )

    async def start(self, key, owner):
        deadline = asyncio.get_running_loop().time() + 5
        return await self.ledger.start("ledger", key, "digest", owner, deadline)

    async def test_only_operations_whose_owner_has_ended_are_listed(self):
        await self.start("k1", "old")
        await self.start("k2", "running")
        listed = await self.operations.list_unknown(None)
        states = [(item.key, item.state) for item in listed]
        self.assertEqual(states, [("k1", "unknown")])
        self.assertEqual((await self.operations.show("ledger", "k2")).state, "started")

    async def test_settled_operation_returns_the_response_of_the_operator(self):
        await self.start("k1", "old")
        settlement = Settlement("ran", "ann", 201, "done")
        record = await self.operations.settle("ledger", "k1", settlement)
        self.assertEqual(record.state, "finished")
        state = await self.ledger.state("ledger", "k1")
        self.assertEqual(state.answer, b"201 done")
        with self.assertRaises(Conflict):
            await self.operations.settle("ledger", "k1", settlement)

    async def test_operation_settled_as_not_run_is_refused(self):
        await self.start("k1", "old")
        settlement = Settlement("not-run", "ann")
        record = await self.operations.settle("ledger", "k1", settlement)
        self.assertEqual(record.state, "refused")

    async def test_running_operation_cannot_be_settled(self):
        """Guards against an operation that runs after it was settled as not run."""
        await self.start("k1", "running")
        with self.assertRaisesRegex(Conflict, "may still run"):
            await self.operations.settle("ledger", "k1", Settlement("not-run", "ann"))

    async def test_store_outage_and_missing_operation(self):
        with self.assertRaises(NotFound):
            await self.operations.show("ledger", "none")
        with self.assertRaises(InvalidRequest):
            await self.operations.show("ledger", "k" * 2000)
        self.table.down = True
        with self.assertRaises(Unavailable):
            await self.operations.list_unknown("ledger")
