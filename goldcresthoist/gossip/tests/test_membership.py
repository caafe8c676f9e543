"""Tests of membership on a simulated network in virtual time."""

import asyncio
import unittest

from goldcresthoist.gossip import GossipOptions, Membership, MemberState
from goldcresthoist.gossip.tests.builders import (
    SHARED_KEY,
    Cluster,
    make_member,
    until,
    virtual_time,
)


class JoinTest(unittest.TestCase):
    """Guards against daemons that do not discover each other."""

    @virtual_time
    async def test_all_members_are_known_to_all(self):
        cluster = Cluster()
        await cluster.add_many(11)
        for name in cluster.nodes:
            self.assertEqual(cluster.states_of(name), {MemberState.ALIVE})

    @virtual_time
    async def test_join_waits_for_the_first_peer(self):
        cluster = Cluster()
        late = make_member("late", 50)
        node = Membership(late, SHARED_KEY)
        cluster.network.attach(node)
        await node.start()
        joining = node.join(hints=("10.0.0.0/29:7001",))
        await asyncio.sleep(30)
        self.assertFalse(joining.done())
        await cluster.add("a")
        await until(lambda: node.member("a") is not None)
        self.assertIsNotNone(cluster.nodes["a"].member("late"))

    @virtual_time
    async def test_clusters_that_formed_separately_merge(self):
        cluster = Cluster()
        first = [await cluster.add("a0"), await cluster.add("a1")]
        second = [await cluster.add("b0", peers=()), await cluster.add("b1", peers=())]
        cluster.network.cut(first, second)
        seeds = [node.exchange.address for node in (first[0], *second)]
        joins = [node.join(seeds) for node in second]
        await until(lambda: all(join.done() for join in joins))
        await asyncio.sleep(100)
        self.assertIsNone(cluster.nodes["a0"].member("b0"))
        cluster.network.heal()
        await until(cluster.all_alive, 100)

    @virtual_time
    async def test_members_of_lists_one_service(self):
        cluster = Cluster()
        await cluster.add_many(3, service="read")
        await cluster.add_many(2, service="write")
        node = cluster.nodes["d1-read-0"]
        self.assertEqual(len(node.members_of("read")), 3)
        self.assertEqual(len(node.members_of("write")), 2)
        self.assertEqual(node.counts_by_domain()["d1"].alive, 5)


class FailureTest(unittest.TestCase):
    """Guards against undetected failures and false detections."""

    @virtual_time
    async def test_killed_member_is_declared_dead(self):
        cluster = Cluster()
        await cluster.add_many(8)
        await cluster.kill("d1-s-3")
        await until(lambda: cluster.states_of("d1-s-3") == {MemberState.DEAD}, 30)

    @virtual_time
    async def test_suspect_accepts_no_work_before_it_is_declared_dead(self):
        cluster = Cluster()
        nodes = await cluster.add_many(8)
        await cluster.kill("d1-s-3")
        node = nodes[0]
        elapsed_s = await until(lambda: not node.member("d1-s-3").accepts_work(), 10)
        self.assertEqual(node.member("d1-s-3").state, MemberState.SUSPECT)
        self.assertLess(elapsed_s, 6)

    @virtual_time
    async def test_stable_cluster_has_no_state_changes(self):
        cluster = Cluster()
        nodes = await cluster.add_many(8)
        seen = []
        nodes[0].subscribe(seen.append)
        await asyncio.sleep(200)
        self.assertEqual(seen, [])

    @virtual_time
    async def test_paused_member_recovers_from_a_stale_view(self):
        cluster = Cluster()
        nodes = await cluster.add_many(6)
        paused, others = nodes[2], nodes[:2] + nodes[3:]
        paused.pause()
        cluster.network.cut([paused], others)
        await until(lambda: cluster.states_of("d1-s-2") == {MemberState.DEAD})
        await cluster.kill("d1-s-5")
        await until(lambda: nodes[0].member("d1-s-5").state == MemberState.DEAD)
        cluster.network.heal()
        paused.resume()
        await until(lambda: cluster.states_of("d1-s-2") == {MemberState.ALIVE})
        await until(lambda: paused.member("d1-s-5").state == MemberState.DEAD)

    @virtual_time
    async def test_one_way_loss_to_one_peer_causes_no_state_changes(self):
        cluster = Cluster()
        nodes = await cluster.add_many(6)
        cluster.network.block([nodes[0]], [nodes[1]])
        seen = []
        nodes[3].subscribe(seen.append)
        await asyncio.sleep(120)
        self.assertEqual(seen, [])

    @virtual_time
    async def test_member_that_only_receives_is_declared_dead(self):
        cluster = Cluster()
        nodes = await cluster.add_many(6)
        cluster.network.block([nodes[0]], nodes[1:])
        await until(lambda: cluster.states_of("d1-s-0") == {MemberState.DEAD})

    @virtual_time
    async def test_isolated_daemon_suspects_few_members(self):
        cluster = Cluster()
        nodes = await cluster.add_many(6)
        cluster.network.cut([nodes[0]], nodes[1:])
        await asyncio.sleep(60)
        suspected = [
            m for m in nodes[0].members_of("s") if m.state != MemberState.ALIVE
        ]
        self.assertLessEqual(len(suspected), 3)
        cluster.network.heal()
        await until(cluster.all_alive, 30)

    @virtual_time
    async def test_suspended_process_suspects_no_members(self):
        cluster = Cluster()
        nodes = await cluster.add_many(6)
        loop = asyncio.get_running_loop()
        for _ in range(5):
            loop.jump(30)
            await asyncio.sleep(20)
        for name in cluster.nodes:
            self.assertEqual(cluster.states_of(name), {MemberState.ALIVE})
        self.assertEqual(sum(node.datagrams_dropped for node in nodes), 0)

    @virtual_time
    async def test_new_daemon_does_not_answer_probes_of_old_one_at_its_address(self):
        cluster = Cluster()
        await cluster.add_many(6)
        await cluster.kill("d1-s-3")
        node = Membership(make_member("new", 4), SHARED_KEY)
        cluster.network.attach(node)
        await node.start()
        cluster.nodes["new"] = node
        node.join(["10.0.0.2:7001"])
        await until(lambda: cluster.states_of("d1-s-3") == {MemberState.DEAD}, 30)
        await until(lambda: cluster.states_of("new") == {MemberState.ALIVE}, 30)


class LeavingTest(unittest.TestCase):
    """Guards against work for members that are draining or have left."""

    @virtual_time
    async def test_draining_is_announced_within_3_s(self):
        cluster = Cluster()
        nodes = await cluster.add_many(11)
        nodes[4].set_draining()
        elapsed_s = await until(lambda: cluster.states_of("d1-s-4") == {1}, 3)
        self.assertLess(elapsed_s, 3)
        self.assertFalse(nodes[0].member("d1-s-4").accepts_work())

    @virtual_time
    async def test_left_member_is_not_suspected_and_not_listed(self):
        cluster = Cluster()
        nodes = await cluster.add_many(6)
        nodes[4].leave()
        await nodes[4].close()
        del cluster.nodes["d1-s-4"]
        await until(lambda: cluster.states_of("d1-s-4") == {MemberState.LEFT}, 5)
        self.assertEqual(len(nodes[0].members_of("s")), 5)

    @virtual_time
    async def test_dead_members_are_removed_after_the_retention_time(self):
        cluster = Cluster(GossipOptions(dead_retention_s=300.0))
        await cluster.add_many(4)
        await cluster.kill("d1-s-3")
        await until(lambda: cluster.states_of("d1-s-3") == {MemberState.DEAD})
        await asyncio.sleep(250)
        self.assertEqual(cluster.states_of("d1-s-3"), {MemberState.DEAD})
        await asyncio.sleep(150)
        self.assertEqual(cluster.states_of("d1-s-3"), {None})


class RestartTest(unittest.TestCase):
    """Guards against peers that ignore a restarted daemon."""

    @virtual_time
    async def test_restart_with_lower_incarnation_and_sequence(self):
        cluster = Cluster()
        await cluster.add_many(4)
        await cluster.add("b", incarnation=5000)
        await until(lambda: cluster.states_of("b") == {MemberState.ALIVE})
        await cluster.kill("b")
        await until(lambda: cluster.states_of("b") == {MemberState.DEAD})
        cluster.wall_clock_s -= 86400
        await cluster.add("b", service="other", incarnation=7)
        await until(lambda: cluster.states_of("b") == {MemberState.ALIVE})
        member = cluster.nodes["d1-s-0"].member("b")
        self.assertGreater(member.incarnation, 5000)
        self.assertEqual(member.service, "other")

    @virtual_time
    async def test_restart_before_failure_is_detected(self):
        cluster = Cluster()
        nodes = await cluster.add_many(4)
        await cluster.kill("d1-s-1")
        await cluster.add("d1-s-1", incarnation=2)
        await until(lambda: nodes[0].member("d1-s-1").incarnation >= 2, 10)
        await asyncio.sleep(30)
        self.assertEqual(cluster.states_of("d1-s-1"), {MemberState.ALIVE})

    @virtual_time
    async def test_wall_clock_jump_has_no_effect(self):
        cluster = Cluster()
        nodes = await cluster.add_many(4)
        for jump in (-86400.0, 10 * 86400.0):
            cluster.wall_clock_s += jump
            await asyncio.sleep(60)
        for name in cluster.nodes:
            self.assertEqual(cluster.states_of(name), {MemberState.ALIVE})
        self.assertEqual(sum(node.datagrams_dropped for node in nodes), 0)


class PartitionTest(unittest.TestCase):
    """Guards against a domain that stays marked as lost after a partition heals."""

    @virtual_time
    async def test_partitioned_domain_recovers(self):
        cluster = Cluster()
        near = await cluster.add_many(4, "d1")
        far = await cluster.add_many(4, "d2")
        await until(lambda: near[0].counts_by_domain()["d2"].alive == 4)
        cluster.network.cut(near, far)
        await until(lambda: near[0].counts_by_domain()["d2"].dead == 4, 120)
        await until(lambda: far[0].counts_by_domain()["d1"].dead == 4, 120)
        await asyncio.sleep(600)
        self.assertEqual(far[0].counts_by_domain()["d2"].alive, 4)
        cluster.network.heal()
        await until(cluster.all_alive, 60)

    @virtual_time
    async def test_domain_recovers_after_the_retention_time_of_its_members(self):
        cluster = Cluster(GossipOptions(dead_retention_s=120.0))
        near = await cluster.add_many(3, "d1")
        far = await cluster.add_many(3, "d2")
        await until(cluster.all_alive)
        cluster.network.cut(near, far)
        await asyncio.sleep(600)
        self.assertEqual(near[0].counts_by_domain()["d2"].dead, 3)
        cluster.network.heal()
        await until(cluster.all_alive, 60)
