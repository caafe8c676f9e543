"""Tests of the comparison and repair of member tables."""

import asyncio
import unittest

from goldcresthoist.control.tests.builders import Fleet
from goldcresthoist.gossip import MemberState
from goldcresthoist.gossip.messages import MemberRecord
from goldcresthoist.gossip.reconcile import (
    apply_difference,
    bucket_digests,
    entries_of,
    merge_entries,
)
from goldcresthoist.gossip.tests.builders import make_member, until, virtual_time
from goldcresthoist.gossip.view import View

ALIVE, DEAD = MemberState.ALIVE, MemberState.DEAD


def make_view(name, number, domain):
    """Return the view of a daemon without other members."""
    return View(make_member(name, number, domain), lambda: 0.0)


def update_of(view, member, state):
    """Return the update that sets a known member to another state."""
    slot = view.roster.slot_of(member.instance)
    return view.roster.update_of(slot)._replace(state=state)


def put(node, name, number, state=MemberState.ALIVE, incarnation=1, domain="d9"):
    """Add a member to a node's table, without starting a daemon for it."""
    record = MemberRecord.from_member(make_member(name, number, domain))
    node.membership.view.roster.put(record, incarnation, state, 0.0)


def state_of(node, name):
    """Return the incarnation and state that a node has for a member, or None."""
    member = node.membership.member(name)
    return member and (member.incarnation, member.state)


class SyncTest(unittest.TestCase):
    """Guards against member tables that still differ after a sync."""

    async def _start_pair(self):
        fleet = Fleet()
        nodes = await fleet.add_many(2)
        for node in nodes:
            await node.membership.close()
            node.membership.exchange.transport = None
            for task in node.tasks:
                task.cancel()
        return nodes

    async def _sync(self, nodes):
        await nodes[0].sync.sync_with(nodes[1].membership.view.local())

    @virtual_time
    async def test_both_tables_contain_all_members_after_a_sync(self):
        nodes = await self._start_pair()
        for number in range(300):
            put(nodes[number % 2], f"m{number}", 100 + number)
        await self._sync(nodes)
        tables = [bucket_digests(node.membership.view) for node in nodes]
        self.assertEqual(tables[0], tables[1])
        self.assertEqual(len(nodes[0].membership.members_in("d9")), 300)

    @virtual_time
    async def test_higher_state_and_incarnation_win_on_both_sides(self):
        nodes = await self._start_pair()
        pairs = {
            "death": ((1, MemberState.ALIVE), (1, MemberState.DEAD)),
            "return": ((2, MemberState.ALIVE), (1, MemberState.DEAD)),
            "drain": ((1, MemberState.DRAINING), (1, MemberState.ALIVE)),
        }
        for number, (name, states) in enumerate(pairs.items()):
            for node, (incarnation, state) in zip(nodes, states, strict=True):
                put(node, name, 50 + number, state, incarnation)
        await self._sync(nodes)
        for name, states in pairs.items():
            self.assertEqual({state_of(n, name) for n in nodes}, {max(states)})

    @virtual_time
    async def test_changed_record_replaces_the_older_one(self):
        nodes = await self._start_pair()
        for node, number, incarnation in ((nodes[0], 60, 1), (nodes[1], 70, 2)):
            put(node, "moved", number, incarnation=incarnation)
        await self._sync(nodes)
        addresses = {n.membership.member("moved").gossip_address for n in nodes}
        self.assertEqual(addresses, {"10.0.0.71:7001"})

    @virtual_time
    async def test_node_refutes_that_it_is_dead(self):
        nodes = await self._start_pair()
        name = nodes[0].membership.view.record.instance
        slot = nodes[1].membership.view.roster.slot_of(name)
        nodes[1].membership.view.roster.set_state(slot, 1, MemberState.DEAD, 0.0)
        await self._sync(nodes)
        self.assertEqual(state_of(nodes[0], name), (2, MemberState.ALIVE))

    @virtual_time
    async def test_busy_peer_rejects_a_sync(self):
        nodes = await self._start_pair()
        await asyncio.sleep(20)
        self.assertTrue(nodes[1].service.reserve_sync("another"))
        member = nodes[1].membership.view.local()
        self.assertFalse(await nodes[0].sync.sync_with(member))
        await asyncio.sleep(20)
        self.assertTrue(await nodes[0].sync.sync_with(member))


class PartitionRecoveryTest(unittest.TestCase):
    """Guards against wrong member states after a network partition.

    Members that were only unreachable must not stay dead, and members that did end
    must not become alive again.
    """

    def _make_partitioned_views(self):
        """Return the views of two daemons that consider each other's domain lost."""
        views = [make_view("a", 1, "d1"), make_view("b", 2, "d2")]
        for view, near, far in ((views[0], "d1", "d2"), (views[1], "d2", "d1")):
            for n in range(20):
                for domain, state in ((near, ALIVE), (far, DEAD)):
                    number = 100 * int(domain[1]) + n
                    member = make_member(f"{domain}-{n}", number, domain)
                    view.apply_member(member, propagate=False)
                    view.apply_state(update_of(view, member, state), propagate=False)
        return views

    def _sync(self, one, other):
        buckets = bytes(range(256))
        entries = entries_of(one, buckets, other.record.failure_domain)
        difference = merge_entries(other, buckets, entries, one.record.failure_domain)
        for member in apply_difference(one, difference):
            other.apply_member(member, propagate=False)

    @virtual_time
    async def test_both_sides_end_with_the_same_live_members(self):
        one, other = self._make_partitioned_views()
        self.assertEqual((one.lost_domains, other.lost_domains), ({"d2"}, {"d1"}))
        self._sync(one, other)
        for view in (one, other):
            self.assertEqual(len(view.roster.dead), 0)
            self.assertEqual(view.lost_domains, set())
        self.assertEqual(one.digest(), other.digest())

    @virtual_time
    async def test_member_that_ended_during_the_partition_stays_dead(self):
        one, other = self._make_partitioned_views()
        ended = make_member("d1-3", 103, "d1")
        one.apply_state(update_of(one, ended, DEAD), propagate=False)
        self._sync(one, other)
        rosters = one.roster, other.roster
        states = {roster.states[roster.slot_of("d1-3")] for roster in rosters}
        self.assertEqual(states, {DEAD})

    @virtual_time
    async def test_death_after_the_recovery_overrides_an_outdated_view(self):
        one, other = self._make_partitioned_views()
        self._sync(one, other)
        member = make_member("d2-5", 205, "d2")
        one.apply_state(update_of(one, member, DEAD), propagate=False)
        self._sync(other, one)
        self.assertEqual(other.roster.states[other.roster.slot_of("d2-5")], DEAD)

    @virtual_time
    async def test_deaths_from_the_partition_are_not_sent_after_it(self):
        one, _ = self._make_partitioned_views()
        member = make_member("d2-5", 205, "d2")
        record = MemberRecord.from_member(member)
        one.apply_member(record.with_state(2, ALIVE))
        one.apply_state(update_of(one, member, DEAD))
        self.assertEqual(len(one.queue), 1)
        recovered = make_member("d2-6", 206, "d2")
        one.apply_member(MemberRecord.from_member(recovered).with_state(2, ALIVE))
        self.assertEqual(len(one.queue), 0)


class PartitionTrafficTest(unittest.TestCase):
    """Guards against a region that stays lost, or recovers with a burst of traffic."""

    @virtual_time
    async def test_both_sides_recover_below_6000_bytes_per_s(self):
        fleet = Fleet()
        near = await fleet.add_many(6, "r1-a")
        far = await fleet.add_many(6, "r2-a")
        await until(fleet.cluster.all_alive, 30)
        fleet.cut(near, far)
        await until(lambda: _dead_counts(near, "r2-a") == {6}, 200)
        await until(lambda: _dead_counts(far, "r1-a") == {6}, 200)
        await asyncio.sleep(300)
        fleet.cluster.network.heal()
        before = fleet.cluster.network.bytes
        elapsed_s = await until(fleet.cluster.all_alive, 30)
        bytes_per_s = (fleet.cluster.network.bytes - before) / 12 / elapsed_s
        self.assertLess(bytes_per_s, 6000)


def _dead_counts(nodes, domain):
    return {node.membership.counts_by_domain()[domain].dead for node in nodes}
