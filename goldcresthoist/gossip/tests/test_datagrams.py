"""Tests of the handling of invalid datagrams."""

import asyncio
import random
import unittest
from types import SimpleNamespace

import msgspec

from goldcresthoist.gossip import MemberState
from goldcresthoist.gossip.envelope import WINDOW, Sealer, check_sequence
from goldcresthoist.gossip.errors import Replayed
from goldcresthoist.gossip.exchange import Exchange
from goldcresthoist.gossip.messages import Gossip, Packet, StateUpdate, key_of
from goldcresthoist.gossip.options import GossipOptions
from goldcresthoist.gossip.tests.builders import SHARED_KEY, Cluster, virtual_time


def death_claim(victim, check, sequence=1 << 62):
    """Return a packet of member "d1-s-1" that declares another member dead."""
    update = StateUpdate(key_of(victim), check, 1 << 40, MemberState.DEAD)
    return Packet("d1-s-1", sequence, 1, 0, 0, 3, 0, 0, Gossip(), update.pack(), ())


class BadDatagramTest(unittest.TestCase):
    """Guards against unauthenticated, corrupt or replayed datagrams being applied."""

    async def _cluster(self):
        cluster = Cluster()
        nodes = await cluster.add_many(3)
        check = nodes[2].view.check
        return cluster, nodes[0], death_claim("d1-s-2", check)

    def _deliver(self, node, data):
        node.exchange.datagram_received(data, ("10.0.0.2", 7001))

    @virtual_time
    async def test_valid_datagram_is_applied(self):
        _, node, packet = await self._cluster()
        self._deliver(node, Sealer(SHARED_KEY).seal(packet, node.exchange.address))
        self.assertEqual(node.member("d1-s-2").state, MemberState.DEAD)

    @virtual_time
    async def test_exception_in_subscriber_does_not_prevent_update(self):
        _, node, packet = await self._cluster()
        node.subscribe(lambda member: 1 / 0)
        self._deliver(node, Sealer(SHARED_KEY).seal(packet, node.exchange.address))
        self.assertEqual(node.member("d1-s-2").state, MemberState.DEAD)

    @virtual_time
    async def test_forged_datagram_is_dropped_and_counted(self):
        _, node, packet = await self._cluster()
        self._deliver(node, Sealer(b"x" * 32).seal(packet, node.exchange.address))
        self.assertEqual(node.datagrams_dropped, 1)
        self.assertEqual(node.member("d1-s-2").state, MemberState.ALIVE)

    @virtual_time
    async def test_datagram_for_another_destination_is_dropped(self):
        _, node, packet = await self._cluster()
        self._deliver(node, Sealer(SHARED_KEY).seal(packet, "10.0.0.3:7001"))
        self.assertEqual(node.datagrams_dropped, 1)

    @virtual_time
    async def test_every_corrupted_datagram_is_dropped(self):
        _, node, packet = await self._cluster()
        data = Sealer(SHARED_KEY).seal(packet, node.exchange.address)
        for _ in range(300):
            position = random.randrange(len(data))
            flipped = data[position] ^ random.randrange(1, 256)
            self._deliver(
                node, data[:position] + bytes([flipped]) + data[position + 1 :]
            )
        for size in (0, 1, 15, 16, 17, len(data) - 1):
            self._deliver(node, data[:size])
        self.assertEqual(node.datagrams_dropped, 306)
        self.assertEqual(node.member("d1-s-2").state, MemberState.ALIVE)

    @virtual_time
    async def test_undecodable_datagram_with_valid_mac_is_dropped(self):
        _, node, _ = await self._cluster()
        sealer = Sealer(SHARED_KEY)
        bodies = [random.randbytes(size) for size in range(200)]
        for body in bodies:
            mac = sealer._mac(body, node.exchange.address)
            self._deliver(node, mac + body)
        self.assertEqual(node.datagrams_dropped, len(bodies))

    @virtual_time
    async def test_replay_of_an_unknown_sender_is_dropped_each_time(self):
        """Guards against a replay that is accepted every second time.

        The state of the sender was discarded with the replay that it had revealed.
        """
        _, node, packet = await self._cluster()
        packet = msgspec.structs.replace(packet, sender="stranger", sequence=7)
        data = Sealer(SHARED_KEY).seal(packet, node.exchange.address)
        for _ in range(5):
            self._deliver(node, data)
        self.assertEqual(node.datagrams_dropped, 4)

    @virtual_time
    async def test_replayed_datagrams_are_dropped(self):
        cluster, node, _ = await self._cluster()
        cluster.network.record = True
        await asyncio.sleep(30)
        cluster.network.record = False
        recorded = [
            item for item in cluster.network.sent if item[1] == node.exchange.address
        ]
        await asyncio.sleep(30)
        last_received_at = node.exchange.last_received_at
        for source, destination, data in recorded:
            cluster.network.deliver(source, destination, data)
        self.assertGreater(len(recorded), 30)
        self.assertEqual(node.datagrams_dropped, len(recorded))
        self.assertEqual(node.exchange.last_received_at, last_received_at)


class SequenceTest(unittest.TestCase):
    """Guards against a replay window that rejects reordering or accepts replays."""

    def test_each_number_is_accepted_once_in_any_order(self):
        numbers = list(range(1, WINDOW))
        random.Random(1).shuffle(numbers)
        seen = (0, 0)
        for number in numbers:
            seen = check_sequence(number, *seen)
        for number in numbers:
            with self.assertRaises(Replayed):
                check_sequence(number, *seen)

    def test_number_behind_the_window_reports_the_highest(self):
        with self.assertRaises(Replayed) as caught:
            check_sequence(1000 - WINDOW, 1000, 1)
        self.assertEqual(caught.exception.highest, 1000)


class HeaderBytesTest(unittest.TestCase):
    def test_headers_of_both_ip_versions_are_counted(self):
        """Guards against a fleet on IPv6 that exceeds its byte rate unnoticed."""
        for address, size in (("10.0.0.1:7001", 28), ("[::1]:7001", 48)):
            with self.subTest(address=address):
                record = SimpleNamespace(gossip_address=address)
                view = SimpleNamespace(record=record, now=lambda: 0.0)
                exchange = Exchange(view, None, SHARED_KEY, GossipOptions())
                exchange.datagram_received(b"x", ("::1", 7001, 0, 0))
                self.assertEqual(exchange.bytes_received, size + 1)
