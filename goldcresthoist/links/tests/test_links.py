"""Tests of links over real connections."""

import asyncio
import unittest
from types import SimpleNamespace

from goldcresthoist.links import CallFailed, LinkClosed, LinkError
from goldcresthoist.links.acceptor import SILENCE_TIMEOUT_S
from goldcresthoist.links.frames import (
    MAX_BODY_FRAME_BYTES,
    STREAM_CREDIT_BYTES,
    Body,
    Failed,
    Head,
    Ping,
    Refuse,
    Welcome,
    encode_frame,
)
from goldcresthoist.links.handshake import welcome_mac
from goldcresthoist.links.pool import PeerLink
from goldcresthoist.links.tests.builders import LinkTestCase, make_open
from goldcresthoist.tests.cluster import eventually


class HandshakeTest(LinkTestCase):
    """Guards against links to peers that do not hold the shared key."""

    async def test_wrong_key_and_wrong_instance_are_rejected(self):
        for changes in ({"key": b"x" * 32}, {"peer": "lookup-2"}):
            with self.subTest(changes=changes):
                with self.assertRaises(LinkError):
                    await self.open_link(**changes)
        self.assertGreaterEqual(self.counters.total("links_rejected"), 2)
        self.assertFalse(self.service.calls)

    async def test_frames_before_the_handshake_close_the_connection(self):
        garbage = b"\xff" * 64
        too_long = b"\x00\x00\x10\x00" + bytes(64)
        for data in (encode_frame(Ping(1)), garbage, too_long, b"GET / HTTP/1.1\r\n"):
            with self.subTest(data=bytes(data[:8])):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.server.port
                )
                writer.write(data)
                try:
                    await reader.read()
                except ConnectionError:
                    pass
                writer.close()
        await eventually(lambda: not self.server.links)
        self.assertEqual(self.counters.total("links_rejected"), 4)

    async def test_silent_peer_is_closed(self):
        _, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        await eventually(lambda: self.server.links)
        (link,) = self.server.links
        link.close_if_silent(link.last_ping_at + 3.0)
        await eventually(lambda: not self.server.links)
        writer.close()


class CallTest(LinkTestCase):
    """Guards against calls that hang, are mixed up or exceed their credit."""

    async def test_corrupt_frame_fails_the_calls_of_the_link(self):
        link, outgoing, incoming = await self.open_call()
        link.transport.write(b"\x00\x00\x00\x02\x92\x63")
        with self.assertRaises(LinkClosed):
            await outgoing.outcome()
        await eventually(lambda: self.service.cancelled == 1)
        closed = self.counters.values["links_closed", ("reason", "corrupt-frame")]
        self.assertEqual(closed, 1)

    async def test_every_outcome_arrives_with_its_load(self):
        link, outgoing, incoming = await self.open_call()
        load = self.service.load_report()
        incoming.reply(200, ((b"a", b"b"),), load, b"hello", True)
        head = await outgoing.outcome()
        self.assertIsInstance(head, Head)
        self.assertEqual(outgoing.body.take(), b"hello")
        self.assertTrue(outgoing.body.exhausted)
        self.assertIn(load, self.loads)
        self.assertFalse(link.calls)

    async def test_refusal_and_failure(self):
        _, outgoing, incoming = await self.open_call()
        incoming.refuse("saturated", "full", self.service.load_report(), 20)
        refusal = await outgoing.outcome()
        self.assertEqual((type(refusal), refusal.code), (Refuse, "saturated"))
        _, outgoing, incoming = await self.open_call()
        incoming.fail("crashed", "gone", self.service.load_report(), 1)
        failure = await outgoing.outcome()
        self.assertEqual((type(failure), failure.crash_count), (Failed, 1))

    async def test_failure_after_the_head_fails_the_body(self):
        _, outgoing, incoming = await self.open_call()
        load = self.service.load_report()
        incoming.reply(200, (), load, b"part", False)
        await outgoing.outcome()
        incoming.fail("broken", "cut", load)
        with self.assertRaises(CallFailed):
            while await outgoing.body.read():
                pass

    async def test_sender_stops_at_the_credit(self):
        _, outgoing, incoming = await self.open_call()
        incoming.reply(200, (), self.service.load_report(), b"", False)
        size = 4 * STREAM_CREDIT_BYTES
        sender = asyncio.create_task(incoming.send_body(bytes(size), True))
        await eventually(lambda: outgoing.body.size == STREAM_CREDIT_BYTES)
        self.assertFalse(sender.done())
        self.assertTrue(
            all(len(chunk) <= MAX_BODY_FRAME_BYTES for chunk in outgoing.body.chunks)
        )
        received = 0
        while data := await outgoing.body.read():
            received += len(data)
        await sender
        self.assertEqual(received, size)

    async def test_request_body_waits_until_the_call_is_admitted(self):
        _, outgoing, incoming = await self.open_call(end=False)
        sender = asyncio.create_task(outgoing.send_body(b"x" * 100_000, True))
        for _ in range(5):
            await asyncio.sleep(0)
        self.assertEqual(incoming.body.size, 0)
        incoming.admit()
        await eventually(lambda: incoming.body.ended)
        await sender
        self.assertEqual(incoming.body.size, 100_000)

    async def test_bytes_beyond_the_credit_close_the_link(self):
        link, outgoing, incoming = await self.open_call(end=False)
        for _ in range(3 * STREAM_CREDIT_BYTES // MAX_BODY_FRAME_BYTES):
            link.send(Body(outgoing.call_id, bytes(MAX_BODY_FRAME_BYTES), False))
        with self.assertRaises(LinkClosed):
            await outgoing.outcome()

    async def test_late_response_to_a_cancelled_call_is_ignored(self):
        link, outgoing, incoming = await self.open_call()
        outgoing.cancel()
        await eventually(lambda: self.service.cancelled == 1)
        incoming.reply(200, (), self.service.load_report(), b"late", True)
        second = link.call(make_open)
        await eventually(lambda: len(self.service.calls) == 2)
        self.service.calls[1].reply(201, (), self.service.load_report(), b"", True)
        self.assertEqual((await second.outcome()).status, 201)
        self.assertEqual(outgoing.body.size, 0)


class LivenessTest(LinkTestCase):
    """Guards against new calls to peers that are lost, frozen or draining."""

    def test_idle_links_of_a_large_fleet_are_not_taken_for_silent(self):
        """Guards against links that the other end closes between two pings.

        The interval grows with the number of links: it was over 30 s from 600 on.
        """
        peer = object.__new__(PeerLink)
        peer.link = SimpleNamespace(calls={})
        for count in (10, 195, 2000):
            peer.pool = SimpleNamespace(peers=range(count))
            self.assertLess(peer._ping_interval_s(), SILENCE_TIMEOUT_S / 2)

    async def test_silence_counts_from_the_first_unanswered_ping(self):
        link = await self.open_link()
        (peer,) = self.server.links
        peer.transport.pause_reading()
        link.ping()
        now = link.loop.time()
        self.assertLess(link.unanswered_ping_age(now), 1.0)
        self.assertGreaterEqual(link.unanswered_ping_age(now + 1.0), 0.999)
        peer.transport.resume_reading()
        await eventually(lambda: link.unanswered_ping_age(now + 1.0) == 0.0)

    async def test_draining_is_announced_and_new_calls_are_refused(self):
        link = await self.open_link()
        self.service.draining = True
        self.server.announce_load()
        await eventually(lambda: self.loads and self.loads[-1].draining)
        outgoing = link.call(make_open)
        refusal = await outgoing.outcome()
        self.assertEqual(refusal.code, "draining")
        self.assertFalse(self.service.calls)

    async def test_suspects_are_acknowledged(self):
        link = await self.open_link()
        await link.send_suspect(b"f" * 16, 1, "lookup-2")
        self.assertEqual(self.service.suspects, [(b"f" * 16, 1, "lookup-2")])

    async def test_suspect_on_a_closed_link_is_an_error(self):
        """Guards against a report that waits for ever, or that cancels its sender."""
        link = await self.open_link()
        pending = asyncio.create_task(link.send_suspect(b"g" * 16, 1, "lookup-2"))
        await asyncio.sleep(0)
        link.close("test")
        with self.assertRaises(LinkClosed):
            await asyncio.wait_for(pending, 5.0)
        with self.assertRaises(LinkClosed):
            await asyncio.wait_for(link.send_suspect(b"f" * 16, 1, "lookup-2"), 5.0)

    async def test_welcome_after_the_time_out_closes_no_other_link(self):
        """Guards against an InvalidStateError in the event loop.

        The opening daemon has given the handshake up when the response is read.
        """
        link = await self.open_link()
        link.ready = False
        link.handshake_done = asyncio.get_running_loop().create_future()
        link.handshake_done.cancel()
        own = (link.key, link.challenge, link.nonce, link.instance, link.peer)
        link.on_message(Welcome(link.peer, welcome_mac(*own)))
        self.assertTrue(link.ready)

    async def test_lost_connection_fails_calls_on_both_sides(self):
        link, outgoing, incoming = await self.open_call()
        (peer,) = self.server.links
        peer.transport.abort()
        with self.assertRaises(LinkClosed):
            await outgoing.outcome()
        await eventually(lambda: self.service.cancelled == 1)
        with self.assertRaises(LinkClosed):
            link.call(make_open)


if __name__ == "__main__":
    unittest.main()
