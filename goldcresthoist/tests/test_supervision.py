"""Tests that unexpected errors and malformed messages end no part of a daemon."""

import unittest

import msgspec

from goldcresthoist.fleet import FleetChannel
from goldcresthoist.fleet.messages import (
    MemberRecord,
    RowMissing,
    SuspectNotice,
    decode_record,
)
from goldcresthoist.fleet.tests.builders import FakeCounters, FakeLog
from goldcresthoist.gossip.envelope import Sealer
from goldcresthoist.gossip.errors import DatagramRejected
from goldcresthoist.links.errors import CorruptFrame
from goldcresthoist.links.frames import FrameDecoder
from goldcresthoist.platform import (
    InvalidMessage,
    decode_announcement,
    decode_configuration,
    decode_departure,
)
from goldcresthoist.supervision import keep_running

NESTED_JSON = b'{"x":' + b"[" * 100_000
NESTED_MSGPACK = b"\x91" * 100_000
KEY = b"k" * 32


class SupervisionTest(unittest.IsolatedAsyncioTestCase):
    async def test_task_is_started_again_after_an_error(self):
        """Guards against a part of the daemon that is missing after one error.

        Without its watch of the store, a daemon would never get a configuration again.
        """
        log, counters = FakeLog(), FakeCounters()
        results = [ValueError("first"), KeyError("second"), "done"]

        async def run():
            result = results.pop(0)
            if isinstance(result, Exception):
                raise result
            return result

        self.assertEqual(await keep_running("watch", run, log, counters), "done")
        self.assertEqual(counters.total("task_errors"), 2)
        self.assertEqual([name for name, _ in log.events], ["task failed"] * 2)

    async def test_failing_handler_does_not_stop_the_channel(self):
        """Guards against one datagram that keeps all later ones from being handled."""
        log, counters = FakeLog(), FakeCounters()
        channel = FleetChannel("10.0.0.1", 7601, KEY, counters, log)
        seen = []

        def fail(message, sender):
            raise KeyError(sender)

        channel.handlers = {
            SuspectNotice: fail,
            RowMissing: lambda message, sender: seen.append(sender),
        }
        for message in (SuspectNotice(b"x", 1), RowMissing()):
            data = channel.sealer.seal(message, "10.0.0.1:7601")
            channel.datagram_received(data, ("10.0.0.2", 7601))
        self.assertEqual(seen, ["10.0.0.2"])
        self.assertEqual(counters.total("messages_failed"), 1)


class DeepNestingTest(unittest.TestCase):
    """Guards against input that raises an error which no decoder expects.

    The decoder library raises RecursionError for deeply nested values.
    """

    def test_platform_formats(self):
        for decode in (
            decode_configuration,
            lambda content: decode_announcement("i-1", content),
            lambda content: decode_departure("i-1", content),
        ):
            with self.assertRaises(InvalidMessage):
                decode(NESTED_JSON)

    def test_messages_of_daemons(self):
        self.assertIsNone(decode_record(b"\x97" + NESTED_MSGPACK, MemberRecord))
        frame = len(NESTED_MSGPACK).to_bytes(4) + NESTED_MSGPACK
        with self.assertRaises(CorruptFrame):
            FrameDecoder().feed(frame)
        sealer = Sealer(KEY, msgspec.Raw | None)
        sealer.decoder = msgspec.msgpack.Decoder()
        body = NESTED_MSGPACK
        with self.assertRaises(DatagramRejected):
            sealer.open(sealer._mac(body, "a:1") + body, "a:1")


if __name__ == "__main__":
    unittest.main()
