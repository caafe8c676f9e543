"""Tests of how configuration versions reach all daemons of a fleet."""

import asyncio
import unittest

from goldcresthoist.config import content_digest
from goldcresthoist.config.tests.builders import make_content
from goldcresthoist.control import catch_up
from goldcresthoist.control.tests.builders import Fleet
from goldcresthoist.gossip import Version
from goldcresthoist.gossip.tests.builders import until, virtual_time


def in_force(nodes, team="t"):
    """Return the set of version numbers of a team that are in force in some nodes."""
    return {node.holder.version_of(team) for node in nodes}


class RumourTest(unittest.TestCase):
    """Guards against a version that does not reach every daemon or is reverted."""

    @virtual_time
    async def test_version_reaches_all_nodes_within_4_s(self):
        fleet = Fleet()
        nodes = await fleet.add_many(6, "d1") + await fleet.add_many(6, "d2")
        nodes[0].fetcher.put("t", 1, make_content("t"))
        elapsed_s = await until(lambda: in_force(nodes) == {1}, 4)
        self.assertLess(elapsed_s, 4)

    @virtual_time
    async def test_older_version_that_arrives_later_is_ignored(self):
        fleet = Fleet()
        nodes = await fleet.add_many(6)
        older, newer = make_content("t", slots=1), make_content("t", slots=2)
        nodes[0].fetcher.put("t", 2, newer)
        nodes[5].fetcher.put("t", 1, older)
        stale = Version("t", 1, content_digest(older))
        await until(lambda: in_force(nodes) == {2}, 4)
        for node in nodes:
            node.fetcher.add_reported_versions([stale], "d1-5")
        await asyncio.sleep(5)
        self.assertEqual(in_force(nodes), {2})
        self.assertEqual({n.holder.service("t-read").slots for n in nodes}, {2})

    @virtual_time
    async def test_node_that_was_cut_off_gets_missed_versions(self):
        fleet = Fleet()
        nodes = await fleet.add_many(6)
        isolated = nodes[3]
        fleet.cut([isolated], [node for node in nodes if node is not isolated])
        for team in range(40):
            nodes[0].fetcher.put(f"t{team}", 1, make_content(f"t{team}"))
        await asyncio.sleep(2)
        fleet.cluster.network.heal()
        await until(lambda: len(isolated.holder.teams) == 40, 5)

    @virtual_time
    async def test_unknown_source_is_replaced_by_another(self):
        fleet = Fleet()
        nodes = await fleet.add_many(4)
        content = make_content("t")
        nodes[0].fetcher.put("t", 1, content)
        await until(lambda: in_force(nodes[:3]) == {1}, 4)
        new_node = await fleet.add("new")
        new_node.fetcher.add_reported_versions(
            [Version("t", 1, content_digest(content))], "nobody"
        )
        await until(lambda: in_force([new_node]) == {1}, 10)

    @virtual_time
    async def test_content_that_does_not_match_the_digest_is_rejected(self):
        fleet = Fleet()
        nodes = await fleet.add_many(2)
        wrong = Version("t", 1, b"x" * 32)
        nodes[0].holder.put_if_newer("t", 1, make_content("t"))
        nodes[1].fetcher.add_reported_versions([wrong], "d1-0")
        await asyncio.sleep(5)
        self.assertEqual(in_force([nodes[1]]), {0})
        self.assertEqual(nodes[1].fetcher.pending, {})

    @virtual_time
    async def test_prepared_candidate_needs_no_fetch(self):
        fleet = Fleet()
        nodes = await fleet.add_many(2)
        content = make_content("t")
        async with nodes[0].client.connect(nodes[1].membership.view.local()) as peer:
            reply = await peer.prepare("t", 1, content)
            wrong_team = await peer.prepare("u", 1, content)
        self.assertEqual((reply.accepted, wrong_team.accepted), (True, False))
        fleet.cut(nodes[:1], nodes[1:])
        nodes[1].fetcher.add_reported_versions(
            [Version("t", 1, content_digest(content))], "d1-0"
        )
        await asyncio.sleep(0.01)
        self.assertEqual(in_force([nodes[1]]), {1})

    @virtual_time
    async def test_domain_that_was_cut_off_catches_up_within_4_s(self):
        fleet = Fleet()
        near, far = await fleet.add_many(7, "d1"), await fleet.add_many(4, "d2")
        await until(fleet.cluster.all_alive)
        fleet.cut(near, far)
        await asyncio.sleep(120)
        near[0].fetcher.put("t", 1, make_content("t"))
        await asyncio.sleep(20)
        self.assertEqual(in_force(far), {0})
        fleet.cluster.network.heal()
        await until(lambda: in_force(far) == {1}, 4)


class CatchUpTest(unittest.TestCase):
    """Guards against a new daemon that starts with an outdated configuration."""

    @virtual_time
    async def test_highest_version_of_any_reachable_domain_is_applied(self):
        fleet = Fleet()
        near = await fleet.add_many(3, "d1")
        far = await fleet.add_many(3, "d2")
        for node in near:
            node.holder.put_if_newer("t", 3, make_content("t", slots=3))
            node.membership.versions.put(_version(node))
        fleet.cut(near, far)
        far[1].fetcher.put("t", 4, make_content("t", slots=4))
        await until(lambda: in_force(far) == {4}, 10)
        fleet.cut(far, near)
        new_node = await fleet.add("new")
        await until(lambda: len(new_node.membership.members_in("d2")) == 3, 10)
        result = await catch_up(new_node.membership, new_node.fetcher, new_node.client)
        self.assertTrue(result.complete)
        self.assertEqual(result.answered_domains, {"d1", "d2"})
        self.assertEqual(new_node.holder.version_of("t"), 4)

    @virtual_time
    async def test_domain_that_does_not_answer_is_reported(self):
        fleet = Fleet()
        near = await fleet.add_many(2, "d1")
        far = await fleet.add_many(2, "d2")
        near[0].fetcher.put("t", 1, make_content("t"))
        await until(lambda: in_force(near + far) == {1}, 4)
        new_node = await fleet.add("new")
        await until(lambda: len(new_node.membership.members_in("d2")) == 2, 10)
        fleet.cut([new_node], far)
        result = await catch_up(new_node.membership, new_node.fetcher, new_node.client)
        self.assertEqual(result.silent_domains, {"d2"})
        self.assertTrue(result.complete)
        self.assertEqual(new_node.holder.version_of("t"), 1)

    @virtual_time
    async def test_catch_up_without_peers_is_not_complete(self):
        fleet = Fleet()
        node = await fleet.add("new")
        result = await catch_up(node.membership, node.fetcher, node.client)
        self.assertFalse(result.complete)


class CountTest(unittest.TestCase):
    """Guards against counting an outdated or silent daemon as up to date."""

    @virtual_time
    async def test_daemons_of_the_domain_are_counted_by_state(self):
        fleet = Fleet()
        nodes = await fleet.add_many(4, "d1")
        await fleet.add_many(2, "d2")
        for node in nodes[:2]:
            node.holder.put_if_newer("t", 1, make_content("t"))
            node.membership.versions.put(_version(node))
            node.fetcher.add_reported_versions = lambda *args: None
        for node in nodes[2:]:
            node.membership.version_subscribers.clear()
        fleet.cluster.network.block([nodes[3].membership], [nodes[0].membership])
        async with nodes[1].client.connect(nodes[0].membership.view.local()) as peer:
            reply = await peer.count("t", 1, 2.0)
        self.assertEqual(reply.domain, "d1")
        self.assertEqual((reply.in_force, reply.behind, reply.silent), (2, 1, 1))


def _version(node):
    current = node.holder.in_force("t")
    return Version("t", current.version, current.digest)
